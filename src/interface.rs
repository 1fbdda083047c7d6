//! Inputs and outputs of the routing decisions: events that a host reports and actions that it carries out.

use crate::time::{RemoteTimestamp, TimeSpan, Timestamp};
use serde::{Deserialize, Serialize};

/// Whether a workload's statements may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// A further execution changes nothing.
    Idempotent,
    /// Members drop further executions within a scope and a time window; see [`WorkloadSettings`].
    Deduplicated,
    /// A further execution would take effect again.
    NonIdempotent,
}

/// Where members recognise a deduplicated statement that has been executed before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// At every member of the statement's group.
    Group,
    /// Only at members of the zone in which it was executed first.
    Zone,
    /// At every member, also when a client retries under another statement id.
    All,
}

/// Which data a workload's statements must see.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// A read of any age.
    Any,
    /// A read of data no older than this.
    Bounded(TimeSpan),
    /// A read that sees the writes of its own session.
    Session,
    /// A read of the newest data, answered by the primary.
    Fresh,
    /// A write, executed by the primary.
    Write,
}

/// Settings of one workload.
#[derive(Clone, Debug)]
pub struct WorkloadSettings {
    /// Value of one answer within the SLO time, relative to other workloads.
    pub importance: f64,
    /// Fraction of the importance that an answer after the SLO time still has, from 0 to 1.
    pub late_share: f64,
    /// Time within which an answer has its full value.
    pub slo_time: TimeSpan,
    /// Whether statements may be executed more than once.
    pub retry_safety: RetrySafety,
    /// Where members drop further executions, for deduplicated workloads.
    pub deduplication_scope: DeduplicationScope,
    /// How long after an execution members drop further ones, for deduplicated workloads.
    pub deduplication_window: TimeSpan,
    /// Which data statements must see.
    pub freshness: Freshness,
}

impl WorkloadSettings {
    /// Whether a client may retry such a statement under another id although it may have been executed.
    pub fn is_client_retry_safe(&self) -> bool {
        self.retry_safety == RetrySafety::Idempotent
            || self.retry_safety == RetrySafety::Deduplicated
                && self.deduplication_scope == DeduplicationScope::All
    }
}

/// Settings of the deployment that decisions depend on.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Number of drivers in the fleet, this one included.
    pub driver_count: u32,
    /// Granularity of the host's timers.
    pub tick: TimeSpan,
    /// Settings of each workload, by its index.
    pub workloads: Vec<WorkloadSettings>,
    /// Quota of each tenant, by its index, in statements per second over all drivers.
    pub tenant_quotas: Vec<f64>,
    /// Fraction of the importance that statements beyond their tenant's quota keep.
    pub over_quota_share: f64,
    /// Members reject reads for which they lag too far.
    pub members_check_reads: bool,
    /// Session reads carry the position of the session's last write; otherwise drivers track sessions'
    /// writes.
    pub carries_session_position: bool,
    /// The endpoint list is polled; otherwise discovery pushes it.
    pub poll_endpoint_list: bool,
    /// Maximum time between two polls of the endpoint list.
    pub max_poll_interval: TimeSpan,
    /// Members that the list calls gone may still be used, unless they drain.
    pub may_use_gone_members: bool,
    /// Capacity of a member that has just started, relative to its full capacity.
    pub cold_start_fraction: f64,
    /// Time from a member's start to its full capacity.
    pub warm_up_time: TimeSpan,
    /// Multiple of its capacity above which the load makes a warming member fail.
    pub overload_multiple: f64,
    /// Time window over which that load is summed.
    pub overload_window: TimeSpan,
    /// Maximum number of executions of one statement.
    pub max_executions: usize,
    /// Time after which idle connections to members are closed.
    pub idle_connection_timeout: TimeSpan,
    /// Members accept cancellations of executions.
    pub cancel_allowed: bool,
    /// Members answer health checks.
    pub health_checks_allowed: bool,
    /// Maximum retry-after time that clients follow; zero if they do not receive any.
    pub max_retry_after: TimeSpan,
    /// Maximum time for which clients of any workload wait; `None` if the deployment does not state it.
    pub max_client_wait: Option<TimeSpan>,
}

impl Settings {
    /// Whether only the primary can execute statements of this workload.
    pub fn needs_primary(&self, workload: usize) -> bool {
        matches!(
            self.workloads[workload].freshness,
            Freshness::Write | Freshness::Fresh
        )
    }
}

/// An attempt by another driver to execute a statement, which may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PriorAttempt {
    /// Upper bound of the time since the attempt.
    pub age: TimeSpan,
    /// Id of the member that received the first attempt.
    pub member: u32,
}

/// A statement from a client.
#[derive(Clone, Copy, Debug, Default)]
pub struct Statement {
    /// Id within this driver, unique among open statements.
    pub id: u32,
    /// Index into [`Settings::workloads`].
    pub workload: usize,
    /// Index into [`Settings::tenant_quotas`].
    pub tenant: usize,
    /// Id of the group that holds the data.
    pub group: u32,
    /// Key of the client's session; zero if it has none.
    pub session: u64,
    /// The client marked this as a retry of an earlier statement.
    pub is_client_retry: bool,
    /// Time until the client gives up this statement.
    pub time_left: TimeSpan,
    /// Expected execution time, where clients state it.
    pub expected_work: Option<TimeSpan>,
    /// Log position of the session's last write, where statements carry it.
    pub session_position: Option<RemoteTimestamp>,
    /// An attempt by another driver that may have been executed.
    pub prior_attempt: Option<PriorAttempt>,
}

/// A report about a member from a peer process or another driver, as opposed to this driver's own
/// measurements.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MemberUpdate {
    /// Number of executions of this driver's peer process in flight at the member.
    InFlight(usize),
    /// The instance of the member that started at this time is draining or gone.
    Draining(Option<RemoteTimestamp>),
    /// The member's status, and the time since another driver received it.
    Status(TimeSpan, ReplicaStatus),
    /// Work that this driver may send to a warming member, taking other drivers' load into account.
    WarmUpBudget {
        /// Remaining budget, as execution time.
        work: TimeSpan,
        /// End of its validity.
        until: Timestamp,
    },
    /// The member counts as unresponsive until this time: several drivers have delayed executions there, and
    /// none has received an answer since.
    Unresponsive(Timestamp),
    /// Admission share aggregated over all drivers; used while this driver has few samples.
    AdmissionShare(f64),
}

/// A client that closed its connection, or the sending side of it, while a statement was open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientDisconnect {
    /// Id of the statement.
    pub statement: u32,
    /// The client has closed only the sending side, as far as is known, and may still read the final answer.
    pub awaits_answer: bool,
}

/// How an execution ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionOutcome {
    /// The member answered.
    Completed,
    /// The member answered with an error.
    Errored,
    /// The member rejected it before execution because its queue is full or it drains.
    Rejected,
    /// No answer arrived in time.
    TimedOut,
    /// No connection could be established; nothing was sent.
    NoConnection,
    /// The connection broke after the statement had been sent.
    ConnectionLost,
    /// It was cancelled after the statement had been sent.
    Cancelled,
    /// It was given up before anything was sent.
    NotSent,
    /// The member rejected it before execution as not eligible: a write at a replica, or a read for which the
    /// member lags too far.
    NotEligible,
}

/// Status that a member reports about itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReplicaStatus {
    /// Log position (LSN), as the time of the newest commit that it contains.
    pub position: Option<RemoteTimestamp>,
    /// Whether the member determined its position for this answer. The position in a load report is older:
    /// members make load reports at intervals.
    pub is_position_current: bool,
    /// Whether the member acts as primary.
    pub is_primary: Option<bool>,
}

impl ReplicaStatus {
    /// Combines two reports: the later position, and the first stated role.
    pub fn merge(self, other: ReplicaStatus) -> ReplicaStatus {
        let latest = if self.position >= other.position {
            self
        } else {
            other
        };
        ReplicaStatus {
            position: latest.position,
            is_position_current: latest.is_position_current,
            is_primary: self.is_primary.or(other.is_primary),
        }
    }
}

/// The end of an execution.
#[derive(Clone, Copy, Debug)]
pub struct ExecutionEnd {
    /// Id of the statement.
    pub statement: u32,
    /// Number of the attempt, counted from zero for each statement.
    pub attempt: u8,
    /// Id of the member.
    pub member: u32,
    /// How it ended.
    pub outcome: ExecutionOutcome,
    /// Time from dispatch to the end.
    pub latency: TimeSpan,
    /// The statement has its final answer, from this execution or an earlier one.
    pub is_answered: bool,
    /// Status that the member reported with its answer.
    pub status: ReplicaStatus,
}

/// State of a member in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// Accepts statements.
    #[default]
    Ready,
    /// Finishes its executions and accepts no new ones.
    Draining,
    /// No longer listed.
    Gone,
}

/// An entry of the endpoint list.
#[derive(Clone, Copy, Debug, Default)]
pub struct MemberEntry {
    /// Id within this driver.
    pub id: u32,
    /// Key of the member, the same at all drivers.
    pub fleet_key: u64,
    /// Index of its zone.
    pub zone: u16,
    /// Id of its group.
    pub group: u32,
    /// Its state.
    pub state: MemberState,
    /// The list names it as the group's primary.
    pub listed_as_primary: bool,
    /// Capacity relative to other members.
    pub capacity: f64,
    /// Time of its last start, where that is recent.
    pub started_at: Option<RemoteTimestamp>,
}

/// A member that is warming up, with this driver's load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmingMember {
    /// Id of the member.
    pub member: u32,
    /// Its capacity relative to its full capacity, averaged over the overload window.
    pub warm_up_fraction: f64,
    /// Load that this driver puts on a warm member of the same capacity, in cores.
    pub carried_load: f64,
}

/// Share of statements that a driver admits to a member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberShare {
    /// Id of the member.
    pub member: u32,
    /// Admission share; values of 1 and more admit everything.
    pub share: f64,
}

/// An execution to be started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Execution {
    /// Id of the statement.
    pub statement: u32,
    /// Id of the member.
    pub member: u32,
    /// Time by which the statement has its final answer.
    pub deadline: Timestamp,
}

/// An execution to be cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cancellation {
    /// Id of the statement.
    pub statement: u32,
    /// Number of the attempt.
    pub attempt: u8,
}

/// The final answer to a statement that was not answered by a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Not executed, or safe to retry.
    Rejected {
        /// Id of the statement.
        statement: u32,
        /// Time after which the client should retry; zero means at once.
        retry_after: TimeSpan,
    },
    /// May have been executed.
    Aborted {
        /// Id of the statement.
        statement: u32,
    },
}

/// Actions that the host is to carry out now, list by list in this order; each list is in the order of the
/// decisions.
#[derive(Clone, Debug, Default)]
pub struct Actions {
    /// Executions to be cancelled.
    pub cancellations: Vec<Cancellation>,
    /// Executions to be started.
    pub executions: Vec<Execution>,
    /// Final answers to clients.
    pub answers: Vec<Answer>,
    /// Ids of members to be health-checked.
    pub health_checks: Vec<u32>,
    /// Ids of members that were removed and are no longer referenced.
    pub removed_members: Vec<u32>,
    /// Whether to start a poll of the endpoint list now.
    pub poll_endpoint_list: bool,
    /// Time by which `advance_to` must be called.
    pub wake_up_at: Option<Timestamp>,
}
