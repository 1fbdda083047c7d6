//! Facts that one of two processes of a service learns while both may serve, and that the other one needs.
//!
//! The predecessor sends its facts in [`CoServingMessage`](crate::co_serving::CoServingMessage)s, ahead of the
//! clients that it moves. The successor records them in the I/O journal before it acts on them, so that they
//! outlive it.

use serde::{Deserialize, Serialize};

/// A fact. The encoding is positional. Times are those of the service's clock, which both processes share, in
/// microseconds.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LearnedFact {
    /// A statement that must not be executed twice is sent to a member, and may have been executed from now on.
    Dispatched {
        /// Hash of the id that its client gave it.
        client_id: u64,
        /// Name of the member.
        member: String,
        /// When it was first sent to a member.
        at: u64,
    },
    /// An execution of such a statement is known not to have happened.
    NotExecuted {
        /// Hash of the id that its client gave it.
        client_id: u64,
    },
}
