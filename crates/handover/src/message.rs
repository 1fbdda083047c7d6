//! What the two sides say, as frames: kind, length and hash before the body, so that a cut or changed one is known.

use crate::co_serving::CoServingMessage;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Of the protocol. Another one is refused before anything moves.
pub const VERSION: u32 = 3;
/// The longest frame: some ten thousand members' state.
pub const MAX_LENGTH: usize = 32 * 1024 * 1024;

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum HandoverMessage {
    /// New: it runs, and speaks this version.
    Hello { version: u32 },
    /// Old: what was learned, with the listener, the ledger's socket and what the ledger is given up with beside it.
    State(Vec<u8>),
    /// New: it could read everything and could serve.
    Ready,
    /// New: it could not, and why.
    LoadFailed(String),
    /// Old: serve whom you are sent from now on.
    Commit,
    /// New: it does.
    CommitAcknowledged,
    /// Old: it leaves, and accepts no more.
    AcceptClients,
    /// Old: a client between two statements, with its connection beside.
    ClientConnection(ClientState),
    /// Old: an idle connection to the member with this id, beside.
    MemberConnection(u32),
    /// Either: what binds both.
    CoServing(Vec<CoServingMessage>),
    /// New: the client with this number came without its connection, for want of descriptors.
    ConnectionMissing(u64),
    /// Either: it lives.
    Heartbeat,
    /// New: its probation is over.
    ProbationPassed,
}

/// What is known of a client that moves.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClientState {
    /// By which the ledger knows it.
    pub transfer_id: u64,
    /// Its startup is over.
    pub startup_complete: bool,
    /// It has sent a statement before.
    pub has_sent_statement: bool,
    /// Bytes of an oversized statement that are still to be passed over.
    pub bytes_to_skip: u64,
    /// What was read from it and not taken yet.
    pub input: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FrameError {
    TooLong,
    HashMismatch,
    Malformed,
}

/// What goes over a socket in frames: a length, a hash where one is wanted, and the body.
pub trait Framed: Serialize + DeserializeOwned {
    const MAX_LENGTH: usize;
    const IS_HASHED: bool;

    /// How many descriptors go beside it: what is read together may belong to the one before.
    fn descriptor_count(&self) -> usize;

    fn encode(&self) -> Result<Vec<u8>, FrameError> {
        let body = postcard::to_stdvec(self).map_err(|_| FrameError::Malformed)?;
        if body.len() > Self::MAX_LENGTH {
            return Err(FrameError::TooLong);
        }
        let mut bytes = (body.len() as u32).to_be_bytes().to_vec();
        if Self::IS_HASHED {
            bytes.extend(Sha256::digest(&body));
        }
        bytes.extend(body);
        Ok(bytes)
    }

    /// The first of `input` and how many bytes it takes; nothing where more bytes are needed.
    fn decode(input: &[u8]) -> Result<Option<(Self, usize)>, FrameError> {
        let head = if Self::IS_HASHED { 4 + 32 } else { 4 };
        let Some((length, hash)) = input.get(..head).and_then(|h| h.split_first_chunk::<4>()) else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*length) as usize;
        if length > Self::MAX_LENGTH {
            return Err(FrameError::TooLong);
        }
        let Some(body) = input.get(head..head + length) else {
            return Ok(None);
        };
        if Self::IS_HASHED && Sha256::digest(body).as_slice() != hash {
            return Err(FrameError::HashMismatch);
        }
        let message = postcard::from_bytes(body).map_err(|_| FrameError::Malformed)?;
        Ok(Some((message, head + length)))
    }
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
