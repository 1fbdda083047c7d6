//! Counters and gauges of the event loop. Their names are those of the log line that SIGUSR1 asks for.

use super::member_requests::OpenReason;

macro_rules! metrics {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// Counters since the start of the process, and gauges where it is said.
        #[derive(Clone, Debug, Default)]
        pub struct Metrics {
            $($(#[$doc])* pub $name: u64,)*
        }

        impl Metrics {
            /// All metrics with their names, in the order of the log line.
            pub fn named(&self) -> impl Iterator<Item = (&'static str, u64)> {
                [$((stringify!($name), self.$name),)*].into_iter()
            }
        }
    };
}
metrics! {
    /// Clients accepted, adopted ones included.
    clients_accepted,
    /// Accepts that failed.
    accepts_failed,
    /// Clients rejected on arrival, for all places were taken.
    clients_rejected,
    /// Clients evicted in favour of others.
    clients_evicted,
    /// Clients disconnected because a statement did not arrive in time.
    clients_too_slow,
    /// Clients disconnected because they were idle for too long.
    clients_closed_idle,
    /// Statements accepted.
    statements_taken,
    /// Statements that could not be routed.
    statements_unreadable,
    /// Clients that violated the protocol.
    clients_malformed,
    /// Statements whose client disconnected.
    withdrawn,
    /// Statements answered with rows.
    completed,
    /// Statements answered as rejected.
    rejected,
    /// Statements answered as aborted.
    aborted,
    /// Statements rejected, or clients disconnected, for lack of memory.
    rejected_for_memory,
    /// Executions that the policy decided on.
    executions_sent,
    /// Connections opened to members.
    connections_opened,
    /// Of these, the first one to its member.
    opened_first,
    /// Of these, opened because all others were in use.
    opened_busy,
    /// Of these, opened because the former one had expired or ended.
    opened_again,
    /// Of these, opened because the former one was evicted.
    opened_crowded,
    /// Executions that were answered.
    ended_completed,
    /// Executions that were answered with an error.
    ended_errored,
    /// Executions that the member rejected.
    ended_rejected,
    /// Executions without an answer in time.
    ended_timed_out,
    /// Executions whose connection could not be established.
    ended_no_connection,
    /// Executions whose connection was lost behind the last byte.
    ended_connection_lost,
    /// Executions that were cancelled.
    ended_cancelled,
    /// Executions of which nothing was sent.
    ended_never_sent,
    /// Executions that the member was not eligible for.
    ended_missed,
    /// Answers from data that were too old for their statement.
    answers_too_old,
    /// Members that violated the protocol.
    members_malformed,
    /// Connections to members that had closed while idle.
    idle_connections_stale,
    /// Connections to members adopted from another process.
    connections_adopted,
    /// Clients adopted from another process.
    clients_adopted,
    /// Clients taken back from a crashed successor.
    clients_taken_back,
    /// Clients that could not be taken back or handed over.
    clients_cut,
    /// Drains learned from the peer process.
    drains_from_peer_process,
    /// Executions of the peer process in flight (gauge).
    in_flight_at_peer_process,
    /// Records received from other drivers.
    records_from_peers,
    /// Drains learned from other drivers.
    drains_from_peers,
    /// Statements that other drivers were asked about.
    inquiries,
    /// Of these, with a prior attempt that may have been executed.
    inquiries_in_doubt,
    /// Of these, not answered in time.
    inquiries_unanswered,
    /// Statements ceded to other drivers.
    statements_given_away,
    /// Drivers that disappeared.
    peers_lost,
    /// Budgets computed for warming members.
    warm_up_budgets,
    /// Statements of clients taken back that were answered as rejected.
    taken_back_rejected,
    /// Statements of clients taken back that were answered as aborted.
    taken_back_aborted,
    /// Health checks sent.
    health_checks_sent,
    /// Health checks left to the lease holder.
    health_checks_left_to_peers,
    /// Health checks sent as lease holder.
    health_checks_for_fleet,
    /// Members found unresponsive by the failure consensus.
    unresponsive_by_consensus,
    /// Admission shares aggregated over the fleet.
    shares_drawn,
    /// Health checks answered.
    health_checks_answered,
    /// Endpoint lists applied.
    endpoint_lists_applied,
    /// Endpoint lists that could not be read.
    endpoint_lists_unreadable,
    /// Entries of endpoint lists that could not be read.
    endpoints_skipped,
    /// Requests to discovery.
    discovery_calls,
    /// Configurations reloaded.
    reloads,
    /// Configurations that could not be reloaded.
    reloads_failed,
    /// Answers to statements that had their final answer already.
    late_answers_dropped,
    /// Log lines left out by the rate limit.
    log_lines_left_out,
    /// Most events handled in one wake-up (maximum).
    queue_longest,
    /// Largest delay of a wake-up in microseconds (maximum).
    wake_up_latest_us,
    /// Open statements (gauge).
    open_statements,
    /// Connected clients (gauge).
    open_clients,
    /// Connections to members (gauge).
    open_member_connections,
}

impl Metrics {
    /// Counts a connection that was opened to a member.
    pub fn count_opened(&mut self, reason: OpenReason) {
        self.connections_opened += 1;
        let counter = match reason {
            OpenReason::First => &mut self.opened_first,
            OpenReason::AllBusy => &mut self.opened_busy,
            OpenReason::Reopened => &mut self.opened_again,
            OpenReason::Evicted => &mut self.opened_crowded,
        };
        *counter += 1;
    }
}
