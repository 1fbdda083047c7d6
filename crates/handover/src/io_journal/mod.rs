//! The I/O journal of a successor on probation, and its replay by the predecessor.
//!
//! It is a write-ahead journal: before the successor reads from a client, dispatches a statement or writes to
//! a client, it appends a record of it. If the successor dies, the predecessor replays the journal and
//! resumes each client; the kernel's byte counts of a socket show how much of the announced I/O was done.
//! Nothing here does I/O.
//!
//! Offsets count the bytes of a client in one direction since the successor took it over. Input starts with
//! the bytes that were transferred with the client, followed by those read from its socket.

mod client_replay;
mod replay;
mod verdict;

pub use client_replay::{ClientRecovery, SocketByteCounts};
pub use replay::{ConnectionKey, JournalReplay, RecoveredClient, ReplayError, ReplayUsage};
pub use verdict::{StatementVerdict, StatementVerdicts};

use crate::codec::Framed;
use crate::learned_fact::LearnedFact;
use serde::{Deserialize, Serialize};

/// A record of the journal. `client` is the successor's number of a client. The encoding is positional.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum JournalRecord {
    /// The successor has accepted a client. The descriptor of its connection is attached.
    Accepted {
        /// The client.
        client: u32,
    },
    /// The successor has taken over a client that the predecessor moved.
    Adopted {
        /// The client.
        client: u32,
        /// [`ClientState::transfer_id`](crate::message::ClientState::transfer_id) of the client.
        transfer_id: u64,
    },
    /// These bytes are in the socket's buffer and are read next.
    Read {
        /// The client.
        client: u32,
        /// Offset up to which the kernel has accepted what was written to the client.
        written_to: u64,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// A statement is sent to a member next. From now on it may have been executed.
    Dispatched {
        /// The client.
        client: u32,
        /// Offset at which the statement ends.
        end: u64,
        /// Whether executing it twice is harmless.
        is_retry_safe: bool,
    },
    /// Bytes are written to the client next.
    Write {
        /// The client.
        client: u32,
        /// Number of bytes to be written.
        length: u64,
        /// Offset up to which the kernel has accepted what was written to the client before.
        written_to: u64,
        /// Offset in the input up to which everything is answered once all bytes are written.
        answered_to: u64,
        /// Whether the client's startup is complete once all bytes are written.
        startup_complete: bool,
        /// Bytes of an oversized message that are still to be read and discarded once all bytes are written.
        bytes_to_skip: u64,
    },
    /// The connection was closed by the successor or by the client.
    Closed {
        /// The client.
        client: u32,
    },
    /// The successor has learned this. Written only for a predecessor whose state has facts.
    Learned(LearnedFact),
}

impl Framed for JournalRecord {
    /// Must hold the bytes of one read from a client.
    const MAX_BODY_BYTES: usize = 1024 * 1024;
    /// A record cut short by its writer's death is never decoded, and what it announces was not done.
    const IS_HASHED: bool = false;

    fn descriptor_count(&self) -> usize {
        usize::from(matches!(self, JournalRecord::Accepted { .. }))
    }
}
