//! Executes the actions of the state machines of `asterlatch-handover`: the predecessor's role starts a
//! successor and hands the service over to it, the successor's role takes over from a predecessor.
//!
//! Only the event loop's thread uses the roles, and once the process serves it never blocks in them. Separate
//! threads read and write the sockets; they queue received messages and wake the event loop.

mod co_serving;
mod handover_state;
mod predecessor;
mod retained_clients;
mod successor;
mod successor_process;

pub use handover_state::{HandoverStateError, ResumedService};
pub use predecessor::PredecessorRole;
pub use successor::{SuccessorError, SuccessorRole};

/// Environment variable with the number of the successor's descriptor for its socket to the predecessor.
const SOCKET_VARIABLE: &str = "ASTERLATCH_TAKEOVER";
