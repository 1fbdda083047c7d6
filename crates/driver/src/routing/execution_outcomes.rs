//! Endings in the module's words, and its answers in the clients'.

use super::metrics::Metrics;
use crate::protocol::execution::Reply;
use crate::protocol::session::Final;
use asterlatch::interface::{Answer, ExecutionOutcome};
use asterlatch::time::TimeSpan;

/// How an execution ended that a member answered. Only the codes that prove it untouched do so.
pub fn of_reply(reply: &Reply) -> ExecutionOutcome {
    match reply {
        Reply::Rows(_) => ExecutionOutcome::Completed,
        Reply::Error(code) => match code.as_str() {
            "25006" | "72000" => ExecutionOutcome::NotEligible,
            "53300" => ExecutionOutcome::Rejected,
            _ => ExecutionOutcome::Errored,
        },
        Reply::Malformed => ExecutionOutcome::Errored,
    }
}

/// How an execution ended whose connection is over.
pub fn of_loss(written: bool) -> ExecutionOutcome {
    if written {
        ExecutionOutcome::ConnectionLost
    } else {
        ExecutionOutcome::NoConnection
    }
}

/// The same proof that the module goes by.
pub fn never_ran(ending: ExecutionOutcome) -> bool {
    asterlatch::policy::definitely_not_executed(ending)
}

pub fn count(metrics: &mut Metrics, ending: ExecutionOutcome) {
    *match ending {
        ExecutionOutcome::Completed => &mut metrics.ended_completed,
        ExecutionOutcome::Errored => &mut metrics.ended_errored,
        ExecutionOutcome::Rejected => &mut metrics.ended_turned_away,
        ExecutionOutcome::TimedOut => &mut metrics.ended_timed_out,
        ExecutionOutcome::NoConnection => &mut metrics.ended_no_connection,
        ExecutionOutcome::ConnectionLost => &mut metrics.ended_connection_lost,
        ExecutionOutcome::Cancelled => &mut metrics.ended_cancelled,
        ExecutionOutcome::NotSent => &mut metrics.ended_never_sent,
        ExecutionOutcome::NotEligible => &mut metrics.ended_missed,
    } += 1;
}

/// The statement and what its client is told.
pub fn of_answer(answer: &Answer) -> (u32, Final) {
    let (stmt, code, message, hold_off) = match *answer {
        Answer::Rejected {
            statement: stmt,
            retry_after: hold_off,
        } => (
            stmt,
            "53300",
            "not executed, or harmless to execute again",
            hold_off,
        ),
        Answer::Aborted { statement: stmt } => {
            (stmt, "40003", "the statement may have been executed", TimeSpan(0))
        }
    };
    let hold_off_ms = Some(hold_off.0 / 1000).filter(|ms| *ms > 0);
    let told = Final::Error {
        code,
        message,
        hold_off_ms,
    };
    (stmt, told)
}
