//! Requests to members and what becomes of them.

use asterlatch::interface::ExecutionOutcome;
use asterlatch::time::{TimeSpan, Timestamp};

/// An execution of a statement. Ids order by statement, then by attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// Id of the statement.
    pub statement: u32,
    /// Number of the attempt, counted from zero for each statement.
    pub attempt: u8,
}

/// What is requested of a member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestKind {
    /// Execute a statement.
    Execution(AttemptId),
    /// Report its status.
    HealthCheck,
}

/// A request that is in flight, or waits for its connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberRequest {
    /// What is requested.
    pub kind: RequestKind,
    /// Id of the member.
    pub member: u32,
    /// When the policy decided on it.
    pub started_at: Timestamp,
    /// When the answer is no longer waited for.
    pub deadline: Timestamp,
    /// Its connection had served other requests before.
    pub is_reused_connection: bool,
    /// How long that connection had been idle.
    pub(super) idle_time: TimeSpan,
    /// When to stop waiting: for the connection first, then for the answer.
    pub(super) times_out_at: Timestamp,
    pub(super) is_connected: bool,
}

impl MemberRequest {
    /// A request that has no connection yet.
    pub fn new(kind: RequestKind, member: u32, started_at: Timestamp, deadline: Timestamp) -> MemberRequest {
        MemberRequest {
            kind,
            member,
            started_at,
            deadline,
            is_reused_connection: true,
            idle_time: TimeSpan(0),
            times_out_at: deadline,
            is_connected: true,
        }
    }
}

/// A request that ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UnansweredRequest {
    /// The request.
    pub request: MemberRequest,
    /// How it ended.
    pub outcome: ExecutionOutcome,
}

/// An execution in flight, as the failure consensus counts it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InFlightExecution {
    /// Id of the member.
    pub member: u32,
    /// When the policy decided on it.
    pub started_at: Timestamp,
}

/// Why a new connection was opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenReason {
    /// The first one to the member since it was listed or its idle connections were closed.
    First,
    /// All others are in use.
    AllBusy,
    /// The former one was idle for too long or has ended.
    Reopened,
    /// The former one was closed in favour of another member's.
    Evicted,
}

/// How a request starts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Assignment {
    /// On this connection, at once.
    Ready(u32),
    /// On a connection that is being established.
    Connecting(OpenReason),
}

/// What a connection serves that has been established.
#[derive(Debug, PartialEq)]
pub enum ConnectionUp {
    /// The request that it was opened for.
    Assigned(MemberRequest),
    /// Nothing, for that request no longer needs it: it is idle.
    Idle,
    /// The connection is no longer in use.
    Unknown,
}
