//! What a host tells the decisions and what it gets back. No decision is taken here.

use crate::time::{TimeSpan, Timestamp};
use serde::{Deserialize, Serialize};

/// How far a workload's statements may be executed again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    Idempotent,
    /// Repeats are dropped: by whom and how long, `scope` and `window` say.
    Deduplicated,
    NonIdempotent,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    Group,
    Zone,
    All,
}

/// What a workload's statements need to see.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    Any,
    Bounded(TimeSpan),
    Session,
    Fresh,
    Write,
}

#[derive(Clone, Debug)]
pub struct WorkloadSettings {
    pub importance: f64,
    /// Share of the importance that an answer after the SLO time still earns.
    pub late_share: f64,
    pub slo_time: TimeSpan,
    pub repeat: Repeat,
    pub scope: Scope,
    pub window: TimeSpan,
    pub freshness: Freshness,
}

impl WorkloadSettings {
    /// Whether a client may repeat such a statement under another id, though it may have run.
    pub fn repeats_harmlessly(&self) -> bool {
        self.repeat == Repeat::Idempotent || self.repeat == Repeat::Deduplicated && self.scope == Scope::All
    }
}

#[derive(Clone, Debug, Default)]
pub struct Settings {
    pub driver_count: u32,
    pub tick: TimeSpan,
    pub workloads: Vec<WorkloadSettings>,
    /// Statements per second within each tenant's quota, all drivers together.
    pub tenant_quotas: Vec<f64>,
    pub over_quota_share: f64,
    /// Members turn away reads that they are too far behind for.
    pub members_check_reads: bool,
    /// Session reads carry the age of the session's last write; else this driver remembers its writes.
    pub session_age_carried: bool,
    /// The member list must be asked for.
    pub list_on_request: bool,
    pub list_ask_within: TimeSpan,
    pub gone_is_advice: bool,
    pub cold_share: f64,
    pub warm_within: TimeSpan,
    pub fall_multiple: f64,
    pub fall_span: TimeSpan,
    pub max_executions: usize,
    /// Idle connections are closed after this.
    pub connection_idle: TimeSpan,
    pub cancel_allowed: bool,
    pub probes_allowed: bool,
    /// The longest hold-off that clients follow; zero where none reaches them.
    pub max_hold_off: TimeSpan,
}

impl Settings {
    /// Only the primary can do what such statements want.
    pub fn needs_primary(&self, workload: usize) -> bool {
        matches!(
            self.workloads[workload].freshness,
            Freshness::Write | Freshness::Fresh
        )
    }
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Statement {
    pub id: u32,
    pub workload: usize,
    pub tenant: usize,
    pub group: u32,
    pub session: u64,
    /// The client says that it has asked before.
    pub repeat: bool,
    /// Until the client gives up this try.
    pub left: TimeSpan,
    /// Expected work, where clients say.
    pub work: Option<TimeSpan>,
    /// How long ago the session's last write was committed, where that is carried.
    pub written_ago: Option<TimeSpan>,
    /// Another driver has sent it, or may have: so long ago at the most, and first to this member.
    pub doubted: Option<(TimeSpan, u32)>,
}

/// What is told of a member by another process or driver. How this one fares with it none of that says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Told {
    /// So many executions of the other process are out there.
    Open(usize),
    /// It drains or is gone, as one that started then.
    Drains(Option<Timestamp>),
    /// What it told another driver of itself, so long ago.
    Said(TimeSpan, Sighting),
    /// So much work this driver may send it while it is cold, until then: what all others send is known.
    Cold { work: TimeSpan, until: Timestamp },
    /// Several drivers have late executions there, and nobody has heard from it since: until then it is silent.
    Silent(Timestamp),
    /// The share that it is let in where this driver's and others' are drawn together; it counts in sparse views.
    Share(f64),
}

/// How an execution ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    Completed,
    Errored,
    /// Turned away unseen: waiting room full, or draining.
    TurnedAway,
    TimedOut,
    NoConnection,
    ConnectionLost,
    Cancelled,
    NeverSent,
    /// Turned away untouched: a write away from the primary, or a read that it is too far behind for.
    Missed,
}

/// What a member said of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sighting {
    pub position: Option<Timestamp>,
    pub is_primary: Option<bool>,
}

impl Sighting {
    /// What is known from both.
    pub fn joined(self, other: Sighting) -> Sighting {
        Sighting {
            position: self.position.max(other.position),
            is_primary: self.is_primary.or(other.is_primary),
        }
    }
}

#[derive(Clone, Copy, Debug)]
pub struct ExecutionEnd {
    pub stmt: u32,
    pub number: u8,
    pub member: u32,
    pub ending: Ending,
    pub took: TimeSpan,
    /// The statement has its final answer, by this end or before it.
    pub settled: bool,
    pub sighting: Sighting,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    #[default]
    Ready,
    Draining,
    Gone,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct MemberEntry {
    pub id: u32,
    /// Alike at all drivers.
    pub key: u64,
    pub zone: u16,
    pub group: u32,
    pub standing: Standing,
    pub named_primary: bool,
    pub size: f64,
    /// When it last started, where that is known to be recent.
    pub started: Option<Timestamp>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Execution {
    pub stmt: u32,
    pub member: u32,
    pub until: Timestamp,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cancellation {
    pub stmt: u32,
    pub number: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Rejected { stmt: u32, hold_off: TimeSpan },
    Aborted { stmt: u32 },
}

/// What is to be done now, in this order; each list is in the order of its decisions.
#[derive(Clone, Debug, Default)]
pub struct Results {
    pub cancellations: Vec<Cancellation>,
    pub executions: Vec<Execution>,
    pub answers: Vec<Answer>,
    pub probes: Vec<u32>,
    /// Members that nothing here means any more.
    pub let_go: Vec<u32>,
    /// Ask the list service for changes from now on.
    pub subscribe: bool,
    pub wake_up: Option<Timestamp>,
}
