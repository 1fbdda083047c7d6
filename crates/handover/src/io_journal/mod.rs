//! The I/O journal of a successor on probation, and its replay by the predecessor.
//!
//! The successor writes down what it is about to do with each client, before it does it: what it reads, which
//! statement it dispatches, what it writes. Should it die, the predecessor replays the journal and goes on
//! with each client; the kernel's byte counts of a socket tell how much of what was announced was done.
//! Nothing here does I/O.
//!
//! Offsets count the bytes of one client in one direction from where the successor began with it: first those
//! that were transferred with the client, then those that come from its socket.

mod client_replay;
mod replay;
mod verdict;

pub use client_replay::{ClientRecovery, SocketByteCounts};
pub use replay::{ConnectionKey, JournalReplay, RecoveredClient, ReplayError, ReplayUsage};
pub use verdict::{StatementVerdict, StatementVerdicts};

use crate::codec::Framed;
use serde::{Deserialize, Serialize};

/// An entry of the journal. `client` is the successor's number of a client. Its bytes are positional.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum JournalRecord {
    /// The successor has accepted a client, whose connection goes along.
    Accepted {
        /// The client.
        client: u32,
    },
    /// The successor has taken over a client that the predecessor moved.
    Adopted {
        /// The client.
        client: u32,
        /// Number of its transfer.
        transfer_id: u64,
    },
    /// These bytes lie at the socket and are read next.
    Read {
        /// The client.
        client: u32,
        /// Offset up to which the kernel has taken what was written to the client.
        written_to: u64,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// A statement is sent to a member next; from here on it may have been executed.
    Dispatched {
        /// The client.
        client: u32,
        /// Offset at which the statement ends.
        end: u64,
        /// Whether executing it twice is harmless.
        is_retry_safe: bool,
    },
    /// Bytes are written to the client next. The other fields hold once all of them are written.
    Write {
        /// The client.
        client: u32,
        /// Bytes to be written.
        length: u64,
        /// Offset up to which the kernel has taken what was written to the client.
        written_to: u64,
        /// Offset up to which everything that was read is answered.
        answered_to: u64,
        /// Whether the client's startup is complete.
        startup_complete: bool,
        /// Bytes of an oversized message that are still to be read and discarded.
        bytes_to_skip: u64,
    },
    /// The connection is closed, by the successor or by its client.
    Closed {
        /// The client.
        client: u32,
    },
}

impl Framed for JournalRecord {
    /// A record may hold as much as is read at once.
    const MAX_LENGTH: usize = 1024 * 1024;
    /// A record whose writer died halfway is too short and is never decoded; what it announced was not done.
    const IS_HASHED: bool = false;

    fn descriptor_count(&self) -> usize {
        usize::from(matches!(self, JournalRecord::Accepted { .. }))
    }
}
