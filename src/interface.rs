//! Inputs and outputs of the decision rules: what a host reports and what it is asked to do. Nothing here decides.

use crate::time::{RemoteTimestamp, TimeSpan, Timestamp};
use serde::{Deserialize, Serialize};

/// Whether a workload's statements may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// A further execution changes nothing.
    Idempotent,
    /// Members drop a further execution within a scope and a time window; see [`WorkloadSettings`].
    Deduplicated,
    /// A further execution would take effect again.
    NonIdempotent,
}

/// Where members recognise a deduplicated statement that was executed before.
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
    /// Share of the importance that an answer after the SLO time still has, from 0 to 1.
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

/// Settings of the deployment, as far as decisions depend on them.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Number of drivers in the fleet, this one included.
    pub driver_count: u32,
    /// Granularity of the host's timers.
    pub tick: TimeSpan,
    /// Settings of each workload, by its index.
    pub workloads: Vec<WorkloadSettings>,
    /// Statements per second within each tenant's quota, all drivers together.
    pub tenant_quotas: Vec<f64>,
    /// Share of the importance that statements over their tenant's quota keep.
    pub over_quota_share: f64,
    /// Members reject reads that they are too far behind for.
    pub members_check_reads: bool,
    /// Session reads carry the position of the session's last write; otherwise this driver remembers its writes.
    pub carries_session_position: bool,
    /// The endpoint list must be polled; otherwise discovery pushes it.
    pub poll_endpoint_list: bool,
    /// Longest time between two polls of the endpoint list.
    pub max_poll_interval: TimeSpan,
    /// A member that the list calls gone may still be used: only a listed drain binds.
    pub may_use_gone_members: bool,
    /// Capacity of a member that has just started, relative to its full capacity.
    pub cold_start_fraction: f64,
    /// Time from a member's start to its full capacity.
    pub warm_up_time: TimeSpan,
    /// A warming member fails when it receives more than this multiple of its capacity.
    pub overload_multiple: f64,
    /// Time over which that load is summed.
    pub overload_window: TimeSpan,
    /// Most executions of one statement.
    pub max_executions: usize,
    /// Idle connections to members are closed after this.
    pub idle_connection_timeout: TimeSpan,
    /// Members accept cancellations.
    pub cancel_allowed: bool,
    /// Members answer health checks.
    pub health_checks_allowed: bool,
    /// Longest retry-after time that clients follow; zero where none reaches them.
    pub max_retry_after: TimeSpan,
    /// Longest time for which clients of any workload wait; `None` where the deployment doesn't state it.
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

/// An execution of a statement by another driver, or one that may have taken place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PriorAttempt {
    /// Time since the attempt; an upper bound.
    pub age: TimeSpan,
    /// Id of the member that received the first attempt.
    pub member: u32,
}

/// A statement that a client has sent.
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
    /// The client marks this as a retry of an earlier statement.
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

/// What another process or driver reports about a member. It does not include how that member serves this driver.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MemberUpdate {
    /// Number of executions that the peer process of this driver has in flight there.
    InFlight(usize),
    /// The instance of the member that started then is draining or gone.
    Draining(Option<RemoteTimestamp>),
    /// The member's own status, received by another driver this long ago.
    Status(TimeSpan, ReplicaStatus),
    /// Work that this driver may send to a warming member until then, given what all others send.
    WarmUpBudget {
        /// Remaining budget, as execution time.
        work: TimeSpan,
        /// End of its validity.
        until: Timestamp,
    },
    /// Several drivers have overdue executions there and none has received an answer since: unresponsive until then.
    Unresponsive(Timestamp),
    /// Admission share aggregated over this driver and others; it applies where this driver has few samples.
    AdmissionShare(f64),
}

/// A client that is leaving, or has left, while its statement is open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientDisconnect {
    /// Id of the statement.
    pub statement: u32,
    /// The client has closed its side, as far as is known, and may still read the final answer.
    pub awaits_answer: bool,
}

/// How an execution ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionOutcome {
    /// The member answered.
    Completed,
    /// The member answered with an error.
    Errored,
    /// The member rejected it before execution: its queue is full or it drains.
    Rejected,
    /// No answer came in time.
    TimedOut,
    /// No connection could be established; nothing was sent.
    NoConnection,
    /// The connection broke after the statement was sent.
    ConnectionLost,
    /// It was cancelled after it was sent.
    Cancelled,
    /// It was given up before anything of it was sent.
    NotSent,
    /// The member rejected it before execution as unsuitable: a write away from the primary, or a read that it is too
    /// far behind for.
    NotEligible,
}

/// What a member reports about itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReplicaStatus {
    /// Log position (LSN), as the time of the newest commit that it contains.
    pub position: Option<RemoteTimestamp>,
    /// Whether the member acts as primary.
    pub is_primary: Option<bool>,
}

impl ReplicaStatus {
    /// Combines two reports: the later position, and the first stated role.
    pub fn merge(self, other: ReplicaStatus) -> ReplicaStatus {
        ReplicaStatus {
            position: self.position.max(other.position),
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
    /// What the member reported with its answer.
    pub status: ReplicaStatus,
}

/// State of a member in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// Takes statements.
    #[default]
    Ready,
    /// Finishes what it has and takes nothing new.
    Draining,
    /// No longer listed.
    Gone,
}

/// An entry of the endpoint list.
#[derive(Clone, Copy, Debug, Default)]
pub struct MemberEntry {
    /// Id within this driver.
    pub id: u32,
    /// Key of the member that is the same at all drivers.
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

/// A member that is warming up, as this driver sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmingMember {
    /// Id of the member.
    pub member: u32,
    /// Its capacity relative to its full capacity, averaged over the overload window.
    pub warm_up_fraction: f64,
    /// Load that a warm member of its capacity carries for this driver, in cores.
    pub carried_load: f64,
}

/// The share of statements that a driver admits to a member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberShare {
    /// Id of the member.
    pub member: u32,
    /// Admission share; 1 and more admit everything.
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

/// The final answer to a statement that no member answered.
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

/// What the host is to do now, list by list in this order; each list is in the order of its decisions.
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
    /// Ids of members that are no longer referred to.
    pub removed_members: Vec<u32>,
    /// Poll the endpoint list for changes from now on.
    pub poll_endpoint_list: bool,
    /// Call `advance_to` at this time at the latest.
    pub wake_up_at: Option<Timestamp>,
}
