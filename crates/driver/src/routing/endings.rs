//! Endings in the module's words, and its answers in the clients'.

use super::figures::Figures;
use crate::protocol::execution::Reply;
use crate::protocol::session::Final;
use asterlatch::interface::{Answer, Ending};
use asterlatch::time::TimeSpan;

/// How an execution ended that a member answered. Only the codes that prove it untouched do so.
pub fn of_reply(reply: &Reply) -> Ending {
    match reply {
        Reply::Rows(_) => Ending::Completed,
        Reply::Error(code) => match code.as_str() {
            "25006" | "72000" => Ending::Missed,
            "53300" => Ending::TurnedAway,
            _ => Ending::Errored,
        },
        Reply::Malformed => Ending::Errored,
    }
}

/// How an execution ended whose connection is over.
pub fn of_loss(written: bool) -> Ending {
    if written {
        Ending::ConnectionLost
    } else {
        Ending::NoConnection
    }
}

/// The same proof that the module goes by.
pub fn never_ran(ending: Ending) -> bool {
    asterlatch::choice::never_ran(ending)
}

pub fn count(figures: &mut Figures, ending: Ending) {
    *match ending {
        Ending::Completed => &mut figures.ended_completed,
        Ending::Errored => &mut figures.ended_errored,
        Ending::TurnedAway => &mut figures.ended_turned_away,
        Ending::TimedOut => &mut figures.ended_timed_out,
        Ending::NoConnection => &mut figures.ended_no_connection,
        Ending::ConnectionLost => &mut figures.ended_connection_lost,
        Ending::Cancelled => &mut figures.ended_cancelled,
        Ending::NeverSent => &mut figures.ended_never_sent,
        Ending::Missed => &mut figures.ended_missed,
    } += 1;
}

/// The statement and what its client is told.
pub fn of_answer(answer: &Answer) -> (u32, Final) {
    let (stmt, code, message, hold_off) = match *answer {
        Answer::Rejected { stmt, hold_off } => (
            stmt,
            "53300",
            "not executed, or harmless to execute again",
            hold_off,
        ),
        Answer::Aborted { stmt } => (stmt, "40003", "the statement may have been executed", TimeSpan(0)),
    };
    let hold_off_ms = Some(hold_off.0 / 1000).filter(|ms| *ms > 0);
    let told = Final::Error {
        code,
        message,
        hold_off_ms,
    };
    (stmt, told)
}
