//! Events and commands of a client's connection, and final answers.

use super::messages;
use super::statement_comment::StatementError;
use crate::transport::memory_budget::{MemoryBudget, MemoryReservation};
use asterlatch::time::Timestamp;
use std::net::TcpStream;

/// Memory that an open statement takes in the tables of connection, event loop and policy, without its text.
pub const STATEMENT_BYTES: usize = 1024;

/// An event of a client's connection.
pub enum ClientEvent {
    /// A complete statement.
    Statement {
        /// Id of the client.
        client: u32,
        /// Number of the statement on this connection, to be passed with its answer.
        number: u32,
        /// Offset of the statement's end among all input from the client in this process.
        end: u64,
        /// Text of the statement.
        text: StatementText,
        /// Time at which the statement was read.
        at: Timestamp,
    },
    /// The first part of a message has arrived.
    PartialMessage {
        /// Id of the client.
        client: u32,
        /// Time at which the part was read.
        since: Timestamp,
    },
    /// The connection is idle between statements.
    Idle {
        /// Id of the client.
        client: u32,
        /// Start of the idle time.
        since: Timestamp,
    },
    /// A malformed message was rejected.
    Malformed,
    /// A query that exceeds the message limit was rejected.
    Oversized,
    /// A statement was rejected or the connection closed because the memory budget is exhausted.
    OutOfMemory {
        /// Number of rejected statements and connections.
        count: u64,
    },
    /// The connection continues in another process.
    Transferred {
        /// Id of the client.
        client: u32,
        /// The client's connection.
        stream: TcpStream,
        /// Protocol state of the connection.
        transfer_state: ClientTransferState,
    },
    /// The client has sent so much ahead of its open statements that its close could go unnoticed.
    Backlogged {
        /// Id of the client.
        client: u32,
    },
    /// The client has closed its side while statements are open. It may still wait for their answers.
    InputEnded {
        /// Id of the client.
        client: u32,
    },
    /// The driver's side of the connection was closed; the client's side is still open.
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

/// A command to a client's connection.
pub enum ClientCommand {
    /// Write the final answer of the statement with this number.
    Answer(u32, FinalAnswer),
    /// Close once no statement is open.
    Drain,
    /// Hand the connection over once no statement is open, with the input that was read ahead.
    HandOver,
    /// Close if no statement is open: the client was idle or a message incomplete for too long.
    TimeOut,
    /// Close and reject all statements: there are too many connections.
    Reject,
}

/// Protocol state of a client between two statements, for the process that adopts it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClientTransferState {
    /// Whether the startup has completed.
    pub startup_complete: bool,
    /// Remaining bytes of an oversized query, to be skipped.
    pub bytes_to_skip: usize,
    /// Unconsumed input.
    pub input: Vec<u8>,
    /// Id in the I/O journal if the client was adopted from another process.
    pub transfer_id: Option<u64>,
}

/// A statement's text and its memory reservation.
pub struct StatementText {
    /// The text without the terminating zero.
    pub text: String,
    _reservation: MemoryReservation,
}

impl StatementText {
    /// Copies a text; `None` if the budget cannot hold it and the statement.
    pub fn new(text: &str, budget: &MemoryBudget) -> Option<StatementText> {
        Some(StatementText {
            _reservation: budget.reserve(STATEMENT_BYTES + text.len())?,
            text: text.to_owned(),
        })
    }
}

/// The final answer to a statement, which gets exactly one.
pub enum FinalAnswer {
    /// A member's answer.
    Rows {
        /// Its unmodified messages.
        messages: Vec<u8>,
        /// The client may safely retry the statement, although it was executed.
        is_retry_safe: bool,
        /// Covers the messages on their way to the client's session.
        reservation: MemoryReservation,
    },
    /// An error reported by this driver.
    Error {
        /// SQLSTATE.
        code: &'static str,
        /// Human-readable message.
        message: &'static str,
        /// Retry-after time in milliseconds, sent as the error's detail.
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
    /// Creates an answer from a member's messages, whose memory is taken from the budget even beyond its capacity.
    pub fn rows(messages: Vec<u8>, is_retry_safe: bool, budget: &MemoryBudget) -> FinalAnswer {
        let mut reservation = budget.empty_reservation();
        reservation.force_resize(messages.capacity());
        FinalAnswer::Rows {
            messages,
            is_retry_safe,
            reservation,
        }
    }

    /// Encodes the answer for the client, including ReadyForQuery.
    pub(super) fn into_bytes(self) -> Vec<u8> {
        let mut bytes = match self {
            FinalAnswer::Rows { messages, .. } => messages,
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
