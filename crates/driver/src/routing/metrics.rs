//! Counts of what was taken in, sent and answered.

use super::member_requests::OpenReason;

macro_rules! metrics {
    ($($name:ident,)*) => {
        #[derive(Clone, Debug, Default)]
        pub struct Metrics {
            $(pub $name: u64,)*
        }
        impl Metrics {
            pub fn named(&self) -> impl Iterator<Item = (&'static str, u64)> {
                [$((stringify!($name), self.$name),)*].into_iter()
            }
        }
    };
}
metrics! {
    clients_accepted,
    accepts_failed,
    clients_turned_away,
    clients_closed_for_room,
    clients_too_slow,
    clients_rested,
    statements_taken,
    statements_unreadable,
    clients_malformed,
    withdrawn,
    completed,
    rejected,
    aborted,
    rejected_for_memory,
    executions_sent,
    connections_opened,
    opened_first,
    opened_busy,
    opened_again,
    opened_crowded,
    ended_completed,
    ended_errored,
    ended_turned_away,
    ended_timed_out,
    ended_no_connection,
    ended_connection_lost,
    ended_cancelled,
    ended_never_sent,
    ended_missed,
    answers_too_old,
    members_malformed,
    idle_connections_stale,
    connections_adopted,
    clients_adopted,
    clients_taken_back,
    clients_cut,
    drains_from_beside,
    open_from_beside,
    facts_from_others,
    drains_from_others,
    inquiries,
    inquiries_in_doubt,
    inquiries_unanswered,
    statements_given_away,
    peers_lost,
    cold_shares,
    taken_back_rejected,
    taken_back_aborted,
    probes_sent,
    probes_left_to_others,
    probes_for_all,
    silent_by_word,
    shares_drawn,
    probes_answered,
    rosters_told,
    rosters_unreadable,
    roster_entries_left_out,
    discovery_calls,
    reloads,
    reloads_failed,
    late_answers_dropped,
    log_lines_left_out,
    queue_longest,
    wake_up_latest_us,
    open_statements,
    open_clients,
    open_member_connections,
}

impl Metrics {
    /// A connection was opened for this, if any was.
    pub fn opened(&mut self, cause: Option<OpenReason>) {
        let Some(cause) = cause else { return };
        self.connections_opened += 1;
        let of = match cause {
            OpenReason::First => &mut self.opened_first,
            OpenReason::AllBusy => &mut self.opened_busy,
            OpenReason::Reopened => &mut self.opened_again,
            OpenReason::Evicted => &mut self.opened_crowded,
        };
        *of += 1;
    }
}
