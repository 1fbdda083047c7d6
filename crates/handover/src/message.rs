//! Messages between predecessor and successor.
//!
//! The encoding is positional: any change of the variants, the fields or their order needs a new [`VERSION`].

use crate::co_serving::CoServingMessage;
use crate::codec::Framed;
use serde::{Deserialize, Serialize};

/// Version of the handover protocol. A successor with another version is rejected before the state is sent.
pub const VERSION: u32 = 3;
/// Enough for the state of about ten thousand members.
pub const MAX_MESSAGE_BYTES: usize = 32 * 1024 * 1024;

/// A message of the handover protocol. The description of each variant begins with its sender.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum HandoverMessage {
    /// Successor: it is running.
    Hello {
        /// The successor's [`VERSION`].
        version: u32,
    },
    /// Predecessor: the learned state, with three descriptors: the listener, the journal's socket, and the
    /// event that signals that the journal was abandoned.
    State(Vec<u8>),
    /// Successor: it has loaded the state and could serve.
    Ready,
    /// Successor: it could not load the state, with the cause.
    LoadFailed(String),
    /// Predecessor: the successor must serve the clients that are moved to it from now on.
    Commit,
    /// Successor: it has received [`HandoverMessage::Commit`] and serves.
    CommitAcknowledged,
    /// Predecessor: it drains and accepts no more clients, so the successor must accept them.
    AcceptClients,
    /// Predecessor: a client between two statements, with the descriptor of its connection.
    ClientConnection(ClientState),
    /// Predecessor: the descriptor of an idle connection to the member with this id.
    MemberConnection(u32),
    /// Either: executions in flight and drains, which both must respect while both serve.
    CoServing(Vec<CoServingMessage>),
    /// Successor: the client with this transfer id arrived without its connection, for lack of descriptors.
    ConnectionMissing(u64),
    /// Either: it is responsive.
    Heartbeat,
    /// Successor: it has passed its probation and owns the service.
    ProbationPassed,
}

impl Framed for HandoverMessage {
    const MAX_BODY_BYTES: usize = MAX_MESSAGE_BYTES;
    const IS_HASHED: bool = true;

    fn descriptor_count(&self) -> usize {
        match self {
            HandoverMessage::State(_) => 3,
            HandoverMessage::ClientConnection(_) | HandoverMessage::MemberConnection(_) => 1,
            _ => 0,
        }
    }
}

/// State of a client that moves from one process to another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClientState {
    /// Identifies the transfer in the I/O journal.
    pub transfer_id: u64,
    /// Whether the client's startup message was read and answered.
    pub startup_complete: bool,
    /// Whether the client has sent a statement before.
    pub has_sent_statement: bool,
    /// Bytes of an oversized message that are still to be read and discarded.
    pub bytes_to_skip: u64,
    /// Bytes that were read from the client and not yet parsed.
    pub input: Vec<u8>,
}
