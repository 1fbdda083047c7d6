//! Carries out what the state machines of `asterlatch-handover` decide: the predecessor's role starts a successor and hands over
//! to it, the successor's role takes over from a predecessor.
//!
//! Both roles are used by the event loop's thread alone, which never waits in them once it serves. Threads of their own
//! read and write the sockets; they queue what arrives and wake the event loop.

mod co_serving;
mod handover_state;
mod predecessor;
mod retained_clients;
mod successor;
mod successor_process;

pub use handover_state::{HandoverStateError, ResumedService};
pub use predecessor::PredecessorRole;
pub use successor::{SuccessorError, SuccessorRole};

/// Environment variable that names, to a successor, the descriptor of its socket to the predecessor.
const SOCKET_VARIABLE: &str = "ASTERLATCH_TAKEOVER";
