//! Counters and gauges of the event loop, under the names that SIGUSR1 logs.

use super::member_requests::OpenReason;

macro_rules! metrics {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// Counters since the start of the process, unless marked as gauge or maximum.
        #[derive(Clone, Debug, Default)]
        pub struct Metrics {
            $($(#[$doc])* pub $name: u64,)*
        }

        impl Metrics {
            /// All metrics with their names, in the order in which they are logged.
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
    /// Clients rejected because no client could be evicted for them.
    clients_rejected,
    /// Clients evicted to make room for others.
    clients_evicted,
    /// Clients disconnected because a statement was not complete in time.
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
    /// Statements rejected or clients disconnected for lack of memory.
    rejected_for_memory,
    /// Executions ordered by the routing policy.
    executions_sent,
    /// Connections opened to members.
    connections_opened,
    /// Of these, the first connection to a member.
    opened_first,
    /// Of these, because all other connections were in use.
    opened_busy,
    /// Of these, because the previous connection had expired or closed.
    opened_again,
    /// Of these, because the previous connection was evicted.
    opened_crowded,
    /// Executions answered with rows.
    ended_completed,
    /// Executions answered with an error.
    ended_errored,
    /// Executions rejected by the member.
    ended_rejected,
    /// Executions that timed out.
    ended_timed_out,
    /// Executions whose connection was not established, or was lost before all of the query was written.
    ended_no_connection,
    /// Executions whose connection was lost after all of the query was written.
    ended_connection_lost,
    /// Executions that were cancelled.
    ended_cancelled,
    /// Executions that ended before anything was sent.
    ended_never_sent,
    /// Executions that the member was not eligible for.
    ended_missed,
    /// Answers withheld because their data was too old for the statement.
    answers_too_old,
    /// Members that violated the protocol.
    members_malformed,
    /// Second copies of members' answers that were dropped.
    answer_copies_dropped,
    /// Connections to members that turned out to have closed while idle.
    idle_connections_stale,
    /// Connections to members adopted from another process.
    connections_adopted,
    /// Clients adopted from another process.
    clients_adopted,
    /// Clients reclaimed from a crashed successor.
    clients_taken_back,
    /// Clients disconnected because they could not be reclaimed or handed over.
    clients_cut,
    /// Draining members learned from the peer process.
    drains_from_peer_process,
    /// Facts learned from the peer process.
    facts_from_peer_process,
    /// Statements whose id was sent to a member before and may have been executed.
    ids_repeated,
    /// Executions in flight of the peer process (gauge).
    in_flight_at_peer_process,
    /// Records received from other drivers.
    records_from_peers,
    /// Draining members learned from other drivers.
    drains_from_peers,
    /// Inquiries to other drivers about statements.
    inquiries,
    /// Of these, resolved as possibly executed.
    inquiries_in_doubt,
    /// Of these, not answered in time.
    inquiries_unanswered,
    /// Statements ceded to other drivers.
    statements_given_away,
    /// Drivers that went down.
    peers_lost,
    /// Budgets computed for members that are warming up.
    warm_up_budgets,
    /// Statements of reclaimed clients that were answered as rejected.
    taken_back_rejected,
    /// Statements of reclaimed clients that were answered as aborted.
    taken_back_aborted,
    /// Health checks sent.
    health_checks_sent,
    /// Health checks left to another driver, the lease holder.
    health_checks_left_to_peers,
    /// Health checks sent as lease holder.
    health_checks_for_fleet,
    /// Members declared unresponsive by the failure consensus.
    unresponsive_by_consensus,
    /// Admission shares aggregated over the fleet.
    shares_drawn,
    /// Health checks answered.
    health_checks_answered,
    /// Endpoint lists applied.
    endpoint_lists_applied,
    /// Responses of discovery that could not be parsed.
    endpoint_lists_unreadable,
    /// Entries of endpoint lists that could not be parsed.
    endpoints_skipped,
    /// Requests to discovery.
    discovery_calls,
    /// Configurations reloaded.
    reloads,
    /// Configurations that could not be reloaded.
    reloads_failed,
    /// Answers to statements that already had their final answer.
    late_answers_dropped,
    /// Log lines suppressed by the rate limit.
    log_lines_left_out,
    /// Events handled in one turn of the event loop (maximum).
    queue_longest,
    /// Delay of a wake-up in microseconds (maximum).
    wake_up_latest_us,
    /// Duration of a turn in microseconds, after which timeouts and signals are handled (maximum).
    turn_longest_us,
    /// Open statements (gauge).
    open_statements,
    /// Connected clients (gauge).
    open_clients,
    /// Connections to members (gauge).
    open_member_connections,
}

impl Metrics {
    /// Counts an opened connection by its reason.
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
