//! Maps member replies to execution outcomes, and answers of the routing policy to final answers for clients.

use super::metrics::Metrics;
use crate::protocol::client_events::FinalAnswer;
use crate::protocol::member_connection::Reply;
use crate::transport::socket_errors;
use asterlatch::interface::{Answer, ExecutionOutcome};
use asterlatch::time::TimeSpan;
use std::io;

/// SQLSTATEs with which a member rejects a statement before execution.
const READ_ONLY_TRANSACTION: &str = "25006";
const SNAPSHOT_TOO_OLD: &str = "72000";
const TOO_MANY_CONNECTIONS: &str = "53300";
/// SQLSTATE of an indeterminate outcome.
const COMPLETION_UNKNOWN: &str = "40003";

/// The outcome of an execution that a member replied to. Any SQLSTATE other than the three rejections leaves
/// open whether it was executed.
pub fn from_reply(reply: &Reply) -> ExecutionOutcome {
    match reply {
        Reply::Rows(_) => ExecutionOutcome::Completed,
        Reply::Error(code) => match code.as_str() {
            READ_ONLY_TRANSACTION | SNAPSHOT_TOO_OLD => ExecutionOutcome::NotEligible,
            TOO_MANY_CONNECTIONS => ExecutionOutcome::Rejected,
            _ => ExecutionOutcome::Errored,
        },
        Reply::Malformed => ExecutionOutcome::Errored,
    }
}

/// The outcome of an execution for which no connection could be opened. A local failure, such as a lack of
/// descriptors, must not count against the member.
pub fn from_failed_dial(error: &io::Error) -> ExecutionOutcome {
    if socket_errors::is_local_failure(error) {
        ExecutionOutcome::NotSent
    } else {
        ExecutionOutcome::NoConnection
    }
}

/// The outcome of an execution whose connection closed; `is_written` if all of the query had been written.
pub fn from_closed_connection(is_written: bool) -> ExecutionOutcome {
    if is_written {
        ExecutionOutcome::ConnectionLost
    } else {
        ExecutionOutcome::NoConnection
    }
}

/// Whether the policy treats an execution with this outcome as not executed.
pub fn definitely_not_executed(outcome: ExecutionOutcome) -> bool {
    asterlatch::policy::definitely_not_executed(outcome)
}

/// Increments the counter of an outcome.
pub fn count(metrics: &mut Metrics, outcome: ExecutionOutcome) {
    let counter = match outcome {
        ExecutionOutcome::Completed => &mut metrics.ended_completed,
        ExecutionOutcome::Errored => &mut metrics.ended_errored,
        ExecutionOutcome::Rejected => &mut metrics.ended_rejected,
        ExecutionOutcome::TimedOut => &mut metrics.ended_timed_out,
        ExecutionOutcome::NoConnection => &mut metrics.ended_no_connection,
        ExecutionOutcome::ConnectionLost => &mut metrics.ended_connection_lost,
        ExecutionOutcome::Cancelled => &mut metrics.ended_cancelled,
        ExecutionOutcome::NotSent => &mut metrics.ended_never_sent,
        ExecutionOutcome::NotEligible => &mut metrics.ended_missed,
    };
    *counter += 1;
}

/// A final answer from the routing policy rather than a member.
pub struct StatementAnswer {
    /// Id of the statement.
    pub statement: u32,
    /// What its client receives.
    pub answer: FinalAnswer,
}

/// Converts an answer of the policy to the final answer for the client.
pub fn to_client(answer: &Answer) -> StatementAnswer {
    match *answer {
        Answer::Rejected {
            statement,
            retry_after,
        } => StatementAnswer {
            statement,
            answer: rejected(retry_after),
        },
        Answer::Aborted { statement } => StatementAnswer {
            statement,
            answer: aborted(),
        },
    }
}

/// The error for a statement that was not executed or is safe to execute again.
pub fn rejected(retry_after: TimeSpan) -> FinalAnswer {
    FinalAnswer::Error {
        code: TOO_MANY_CONNECTIONS,
        message: "not executed, or harmless to execute again",
        retry_after_ms: Some(retry_after.0 / 1000).filter(|ms| *ms > 0),
    }
}

/// The error for a statement that may have been executed.
pub fn aborted() -> FinalAnswer {
    FinalAnswer::Error {
        code: COMPLETION_UNKNOWN,
        message: "the statement may have been executed",
        retry_after_ms: None,
    }
}
