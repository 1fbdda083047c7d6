//! Requests to members and their results.

use asterlatch::interface::ExecutionOutcome;
use asterlatch::time::{TimeSpan, Timestamp};

/// Identifies an execution of a statement. Ordered by statement, then by attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// Id of the statement.
    pub statement: u32,
    /// Number of the attempt, from zero for each statement.
    pub attempt: u8,
}

/// The kind of a request to a member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestKind {
    /// Execute a statement.
    Execution(AttemptId),
    /// Check the member's health and read its status.
    HealthCheck,
}

/// A request that is in flight or waits for its connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberRequest {
    /// Execution or health check.
    pub kind: RequestKind,
    /// Id of the member.
    pub member: u32,
    /// When the policy ordered it.
    pub started_at: Timestamp,
    /// When the request times out.
    pub deadline: Timestamp,
    /// Its connection had served other requests before. Such a connection may have closed while idle.
    pub is_reused_connection: bool,
    /// Idle time of that connection before this request.
    pub(super) idle_time: TimeSpan,
    /// Timeout for establishing the connection, then for the answer.
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
    /// When the policy ordered it.
    pub started_at: Timestamp,
}

/// Why a new connection was opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenReason {
    /// It is the first one to the member since that was listed or its idle connections were closed.
    First,
    /// All other connections to the member are in use.
    AllBusy,
    /// The previous one was idle for too long or has closed.
    Reopened,
    /// The previous one was closed to make room for a connection to another member.
    Evicted,
}

/// The connection assigned to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Assignment {
    /// An established connection with this id: the request can be sent immediately.
    Ready(u32),
    /// A connection that is being established, and why it was opened.
    Connecting(OpenReason),
}

/// What an established connection is used for.
#[derive(Debug, PartialEq)]
pub enum EstablishedConnection {
    /// The request that waited for it.
    Assigned(MemberRequest),
    /// It is idle, because its request was withdrawn.
    Idle,
    /// The connection is not in the table.
    Unknown,
}
