//! Limits that operators may set: shares, times and rates. The defaults here apply where the operators' file states
//! nothing.

use asterlatch::time::TimeSpan;

/// A share in millionths: shares are compared and multiplied without rounding.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share(pub u32);

impl Share {
    /// This share of a number, rounded down.
    pub fn of(self, whole: usize) -> usize {
        (whole as u128 * u128::from(self.0) / 1_000_000) as usize
    }

    /// The share as a number from zero to one.
    pub fn ratio(self) -> f64 {
        f64::from(self.0) / 1e6
    }
}

/// An idle timeout that applies while many places are taken by active clients.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CrowdedIdleTimeout {
    /// Share of all places that active clients take, from which on the timeout applies.
    pub min_active_share: Share,
    /// Idle time between two statements.
    pub timeout: TimeSpan,
}

/// Limits of the whole process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Descriptors kept for what is neither a client's nor a member's.
    pub reserved_descriptors: usize,
    /// Share of the other descriptors that is for clients. One whose statement is queued has no execution in flight.
    pub client_share: Share,
    /// Share of the memory for what clients have sent and what they have not read yet.
    pub client_memory_share: Share,
    /// Share of the memory for incomplete answers of members.
    pub member_memory_share: Share,
    /// From a client's arrival to its first complete statement. A client that sends nothing, or not enough, occupies a
    /// connection that another may need.
    pub first_statement_timeout: TimeSpan,
    /// From the first byte of a message to its last.
    pub message_timeout: TimeSpan,
    /// Idle time of clients between two statements.
    pub client_idle_timeout: TimeSpan,
    /// Shorter idle times that apply from these shares of active clients on, the highest share first. Clients that ask
    /// once and stay would otherwise keep out those that are still to ask: they may hold a share of the descriptors
    /// only, and have to wait for it.
    pub crowded_idle_timeouts: [CrowdedIdleTimeout; 2],
    /// A client that arrived within this time may have sent its first statement already.
    pub arrival_grace: TimeSpan,
    /// A failed accept is retried after this.
    pub accept_backoff: TimeSpan,
    /// Upper bound for the statement timeout of clients.
    pub max_statement_timeout: TimeSpan,
    /// Share of the deployment's idle timeout for which an idle connection to a member is used: what is written to one
    /// that the member has closed counts as lost.
    pub member_idle_share: Share,
    /// How long a watch may wait for a change of the endpoint list.
    pub watch_timeout: TimeSpan,
    /// How much longer the answer to a watch may take. A connection may fall silent without a sign: no change of the
    /// list arrives for the sum of both.
    pub watch_grace: TimeSpan,
    /// How long the answer to a request without waiting may take.
    pub list_timeout: TimeSpan,
    /// Backoff after the first failed discovery request; it doubles with each further one.
    pub initial_backoff: TimeSpan,
    /// Longest backoff after a failed discovery request.
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

/// Limits for the statements of one workload; `None` where the operators' file states nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkloadLimits {
    /// Upper bound for the statement timeout of clients.
    pub max_timeout: Option<TimeSpan>,
    /// Longest statement, in bytes.
    pub max_bytes: Option<usize>,
}
