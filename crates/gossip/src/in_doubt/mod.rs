//! Statements with an indeterminate outcome: not idempotent ones that clients retry at another driver.
//!
//! A driver that receives a client retry of such a statement can't know whether another driver has dispatched it. It
//! inquires at all others and doesn't dispatch the statement before they have answered. A driver that is asked gives the
//! statement up: it never dispatches it from then on. So of two drivers that ask each other neither dispatches. If a peer
//! doesn't answer, has just started, or has forgotten old ids, it may have dispatched the statement; the client is told at
//! once that the outcome is in doubt, and the statement isn't dispatched.

mod dispatch_log;
mod inquiries;

pub use dispatch_log::DispatchLog;
pub use inquiries::{Inquiries, InquiryDecision, InquiryOutcome, UNBOUNDED_AGE};

use asterlatch::time::TimeSpan;
use serde::{Deserialize, Serialize};

/// What a driver knows about its own dispatches of a statement.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum DispatchStatus {
    /// It never dispatched the statement, and never will.
    NotExecuted,
    /// The statement may have been executed.
    Dispatched {
        /// Time since its first dispatch.
        age: TimeSpan,
        /// Name of the member it was first dispatched to.
        member: String,
    },
    /// The driver can't tell.
    Unknown,
}
