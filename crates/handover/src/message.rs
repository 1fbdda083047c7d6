//! Messages between predecessor and successor.
//!
//! Their bytes are positional: variants, fields and their order stay as they are while [`VERSION`] does.

use crate::co_serving::CoServingMessage;
use crate::codec::Framed;
use serde::{Deserialize, Serialize};

/// Version of the handover protocol. A peer with another one is refused before anything moves.
pub const VERSION: u32 = 3;
/// Bytes of the longest message: the state of some ten thousand members.
pub const MAX_LENGTH: usize = 32 * 1024 * 1024;

/// A message of the handover protocol, with its sender in front.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum HandoverMessage {
    /// Successor: it runs and speaks this version.
    Hello {
        /// Its [`VERSION`].
        version: u32,
    },
    /// Predecessor: the learned state. Three descriptors go along: the listener, the journal's socket, and
    /// the event that tells that the journal was abandoned.
    State(Vec<u8>),
    /// Successor: it has loaded everything and could serve.
    Ready,
    /// Successor: it could not load the state, and why.
    LoadFailed(String),
    /// Predecessor: serve the clients that are moved to you from now on.
    Commit,
    /// Successor: it does.
    CommitAcknowledged,
    /// Predecessor: it drains and accepts no more; the successor must.
    AcceptClients,
    /// Predecessor: a client between two statements. Its connection goes along.
    ClientConnection(ClientState),
    /// Predecessor: an idle connection to the member with this id, which goes along.
    MemberConnection(u32),
    /// Either: limits and drains that bind both while they serve side by side.
    CoServing(Vec<CoServingMessage>),
    /// Successor: the client of this transfer came without its connection, for want of descriptors.
    ConnectionMissing(u64),
    /// Either: it lives.
    Heartbeat,
    /// Successor: its probation is passed.
    ProbationPassed,
}

impl Framed for HandoverMessage {
    const MAX_LENGTH: usize = MAX_LENGTH;
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
    /// Number of its transfer, by which the journal knows the client.
    pub transfer_id: u64,
    /// Whether its startup message was read and answered.
    pub startup_complete: bool,
    /// Whether it has sent a statement before.
    pub has_sent_statement: bool,
    /// Bytes of an oversized message that are still to be read and discarded.
    pub bytes_to_skip: u64,
    /// Bytes that were read from it and not yet parsed.
    pub input: Vec<u8>,
}
