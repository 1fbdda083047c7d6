//! Statements in doubt: non-idempotent statements that clients retry at another driver.
//!
//! A driver that receives a client retry of such a statement doesn't know whether another driver has
//! dispatched it. It inquires of all others and doesn't dispatch the statement before they have replied. A
//! driver that replies that it hasn't dispatched the statement cedes it: it never dispatches it from then on.
//! So of two drivers that inquire of each other neither dispatches. A peer that doesn't reply, has just
//! started, or has dropped old ids may have dispatched the statement. In this case the client is notified
//! immediately that the outcome is in doubt, and the statement isn't dispatched.

mod dispatch_log;
mod inquiries;

pub use dispatch_log::DispatchLog;
pub use inquiries::{Inquiries, InquiryDecision, InquiryOutcome, UNBOUNDED_AGE};

use asterlatch::time::TimeSpan;
use serde::{Deserialize, Serialize};

/// What a driver knows of its own dispatches of a statement.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum DispatchStatus {
    /// The driver has never dispatched the statement, and never will.
    NotExecuted,
    /// The statement may have been executed.
    Dispatched {
        /// Time since the first dispatch.
        age: TimeSpan,
        /// Name of the member that it was first dispatched to.
        member: String,
    },
    /// The driver doesn't know whether it has dispatched the statement.
    Unknown,
}
