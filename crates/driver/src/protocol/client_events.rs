//! What a client's connection reports, what it is commanded, and the final answers that it writes.

use super::messages;
use super::statement_comment::StatementError;
use crate::transport::memory_budget::{MemoryBudget, MemoryReservation};
use asterlatch::time::Timestamp;
use std::net::TcpStream;

/// An event of a client's connection.
pub enum ClientEvent {
    /// A complete statement.
    Statement {
        /// Id of the client.
        client: u32,
        /// Its number on this connection, by which it is answered.
        number: u32,
        /// Offset of its end among all that was read from this client here.
        end: u64,
        /// Its text.
        text: StatementText,
        /// Time at which it was read.
        at: Timestamp,
    },
    /// Part of a message has arrived.
    PartialMessage {
        /// Id of the client.
        client: u32,
        /// Time at which it was read.
        since: Timestamp,
    },
    /// The connection is idle between statements.
    Idle {
        /// Id of the client.
        client: u32,
        /// Since when.
        since: Timestamp,
    },
    /// A message could not be read.
    Malformed,
    /// A query exceeded the longest message.
    Oversized,
    /// A statement was rejected, or the connection was closed, for want of memory.
    OutOfMemory,
    /// The connection continues in another process.
    Transferred {
        /// Id of the client.
        client: u32,
        /// Its connection.
        stream: TcpStream,
        /// Its protocol state.
        transfer_state: ClientTransferState,
    },
    /// The client has closed its side while statements are open: it has left, or waits for their answers.
    InputEnded {
        /// Id of the client.
        client: u32,
    },
    /// Our side of the connection was closed, and the client's is still open.
    HalfClosed {
        /// Id of the client.
        client: u32,
    },
    /// The connection is closed.
    Closed {
        /// Id of the client.
        client: u32,
    },
}

/// What a client's connection is to do.
pub enum ClientCommand {
    /// Write the final answer of the statement with this number.
    Answer(u32, FinalAnswer),
    /// Close once nothing is open.
    Drain,
    /// Hand the connection over once nothing is open, with what the client has sent ahead.
    HandOver,
    /// Close: the client took too long for a complete message.
    TimeOut,
    /// Close before any statement: there are too many connections.
    Reject,
}

/// Protocol state of a client between two statements, for the process that continues with it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClientTransferState {
    /// The startup is over.
    pub startup_complete: bool,
    /// Bytes of an oversized query that are still to be skipped.
    pub bytes_to_skip: usize,
    /// Input that was read and not consumed.
    pub input: Vec<u8>,
    /// Its number in the I/O journal, where it came from another process.
    pub transfer_id: Option<u64>,
}

/// A statement's text, with its memory reservation.
pub struct StatementText {
    /// The text.
    pub text: String,
    _reservation: MemoryReservation,
}

impl StatementText {
    /// Copies a text; `None` where the budget has no memory for it.
    pub fn new(text: &str, budget: &MemoryBudget) -> Option<StatementText> {
        Some(StatementText {
            _reservation: budget.reserve(text.len())?,
            text: text.to_owned(),
        })
    }
}

/// The one final answer to a statement.
pub enum FinalAnswer {
    /// The messages of a member's answer, as they came.
    Rows(Vec<u8>),
    /// An error of this driver.
    Error {
        /// SQLSTATE.
        code: &'static str,
        /// Text for people.
        message: &'static str,
        /// Retry-after time in milliseconds, as the error's detail.
        retry_after_ms: Option<u64>,
    },
}

impl From<StatementError> for FinalAnswer {
    fn from(error: StatementError) -> FinalAnswer {
        FinalAnswer::Error {
            code: error.code,
            message: error.message,
            retry_after_ms: None,
        }
    }
}

impl FinalAnswer {
    /// The bytes for the client, up to ReadyForQuery.
    pub(super) fn into_bytes(self) -> Vec<u8> {
        let mut bytes = match self {
            FinalAnswer::Rows(bytes) => bytes,
            FinalAnswer::Error {
                code,
                message,
                retry_after_ms,
            } => {
                let mut bytes = Vec::new();
                messages::put_error(&mut bytes, "ERROR", code, message, retry_after_ms);
                bytes
            }
        };
        messages::put_ready(&mut bytes);
        bytes
    }
}
