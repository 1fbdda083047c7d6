//! Limits that operators may set. The defaults apply to everything that the operators' file omits.

use asterlatch::time::TimeSpan;

/// A share in millionths, so that comparisons and products are exact.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share(pub u32);

impl Share {
    /// This share of `whole`, rounded down.
    pub fn of(self, whole: usize) -> usize {
        (whole as u128 * u128::from(self.0) / 1_000_000) as usize
    }

    /// The share as a fraction from 0 to 1.
    pub fn ratio(self) -> f64 {
        f64::from(self.0) / 1e6
    }
}

/// An idle timeout that applies while active clients occupy much of the capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CrowdedIdleTimeout {
    /// Minimum share of active clients in the capacity for this timeout to apply.
    pub min_active_share: Share,
    /// Idle time between two statements.
    pub timeout: TimeSpan,
}

/// Limits of the whole process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Descriptors for uses other than client and member connections.
    pub reserved_descriptors: usize,
    /// Share of the remaining descriptors for clients. Clients may outnumber member connections, because
    /// clients with queued statements need none.
    pub client_share: Share,
    /// Share of memory for input from clients and for answers that they have not read yet.
    pub client_memory_share: Share,
    /// Share of memory for incomplete answers from members.
    pub member_memory_share: Share,
    /// Time from accepting a client to its first complete statement.
    pub first_statement_timeout: TimeSpan,
    /// Time from the first byte of a message to its last.
    pub message_timeout: TimeSpan,
    /// Idle time of a client between two statements.
    pub client_idle_timeout: TimeSpan,
    /// Shorter idle timeouts by share of active clients, the highest share first. Without them, idle clients
    /// could occupy the capacity that new clients need.
    pub crowded_idle_timeouts: [CrowdedIdleTimeout; 2],
    /// Time after accepting a client in which its first statement may still be in transit.
    pub arrival_grace: TimeSpan,
    /// Delay before a failed accept is retried.
    pub accept_backoff: TimeSpan,
    /// Upper bound of statement timeouts that clients request.
    pub max_statement_timeout: TimeSpan,
    /// Share of the deployment's idle timeout for which an idle member connection is reused. It stays below
    /// the timeout because a query written to a connection that the member has closed counts as lost.
    pub member_idle_share: Share,
    /// Time that a watch may wait for a change of the endpoint list.
    pub watch_timeout: TimeSpan,
    /// Additional time for the response to a watch. A dead connection goes unnoticed for the sum of both.
    pub watch_grace: TimeSpan,
    /// Timeout of a request for the complete list.
    pub list_timeout: TimeSpan,
    /// Backoff after the first failed discovery request; doubled after each further one.
    pub initial_backoff: TimeSpan,
    /// Upper bound of the discovery backoff.
    pub max_backoff: TimeSpan,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            reserved_descriptors: 48,
            client_share: Share(666_667),
            client_memory_share: Share(250_000),
            member_memory_share: Share(250_000),
            first_statement_timeout: TimeSpan::millis(2500),
            message_timeout: TimeSpan::millis(2500),
            client_idle_timeout: TimeSpan::millis(10_000),
            crowded_idle_timeouts: [
                CrowdedIdleTimeout {
                    min_active_share: Share(400_000),
                    timeout: TimeSpan::millis(100),
                },
                CrowdedIdleTimeout {
                    min_active_share: Share(250_000),
                    timeout: TimeSpan::millis(2200),
                },
            ],
            arrival_grace: TimeSpan::millis(300),
            accept_backoff: TimeSpan::millis(50),
            max_statement_timeout: TimeSpan::millis(86_400_000),
            member_idle_share: Share(850_000),
            watch_timeout: TimeSpan::millis(2000),
            watch_grace: TimeSpan::millis(1000),
            list_timeout: TimeSpan::millis(1000),
            initial_backoff: TimeSpan::millis(100),
            max_backoff: TimeSpan::millis(2000),
        }
    }
}

/// Limits on the statements of one workload; `None` where the operators' file sets none.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkloadLimits {
    /// Upper bound of statement timeouts that clients request.
    pub max_timeout: Option<TimeSpan>,
    /// Maximum length of a statement in bytes.
    pub max_bytes: Option<usize>,
}
