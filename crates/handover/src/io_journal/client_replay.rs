//! Replay state of one client.

use super::replay::ReplayError;
use super::verdict::StatementVerdicts;
use crate::message::ClientState;
use std::collections::{BTreeMap, VecDeque};

/// The kernel's byte counts of a socket since the successor took it over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct SocketByteCounts {
    /// Bytes that were read from the socket.
    pub read: u64,
    /// Bytes that were written to the socket.
    pub written: u64,
}

/// How the predecessor continues with a client of a dead successor.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ClientRecovery {
    /// Serve the client. Its unanswered bytes become its input again.
    Resume {
        /// The client's state at the death of the successor.
        client: ClientState,
        /// How to answer the statements in the client's input.
        verdicts: StatementVerdicts,
    },
    /// Close the connection: the client has received part of an answer, or part of its input is lost.
    Disconnect,
}

/// An announced write that is not known to be complete.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingWrite {
    /// Offset in the output at which the write ends.
    end: u64,
    answered_to: u64,
    startup_complete: bool,
    bytes_to_skip: u64,
    /// Whether it answers a statement, not only the startup.
    answers_statement: bool,
}

/// The fields of [`JournalRecord::Write`](super::JournalRecord::Write) that hold once the write is complete.
pub(super) struct AnnouncedWrite {
    pub(super) length: u64,
    pub(super) answered_to: u64,
    pub(super) startup_complete: bool,
    pub(super) bytes_to_skip: u64,
}

/// State of one client according to the journal.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct ClientReplay {
    startup_complete: bool,
    has_sent_statement: bool,
    bytes_to_skip: u64,
    /// Input from offset `answered_to` on.
    unanswered_input: Vec<u8>,
    answered_to: u64,
    /// Bytes of input that were transferred with the client.
    transferred_length: u64,
    /// Offset at which the last announced write ends.
    announced_to: u64,
    /// Offset at which the last applied write ends.
    written_to: u64,
    pending_writes: VecDeque<PendingWrite>,
    /// Ends of dispatched statements, and whether each is safe to retry.
    dispatched: BTreeMap<u64, bool>,
}

/// Memory counted for each client in addition to its input.
pub(super) const CLIENT_OVERHEAD_BYTES: usize = 256;

/// Memory counted for a client in transfer to the successor, in bytes.
pub(super) fn transfer_memory(client: &ClientState) -> usize {
    CLIENT_OVERHEAD_BYTES + client.input.len()
}

impl ClientReplay {
    pub(super) fn from_transfer(client: ClientState) -> ClientReplay {
        ClientReplay {
            startup_complete: client.startup_complete,
            has_sent_statement: client.has_sent_statement,
            bytes_to_skip: client.bytes_to_skip,
            transferred_length: client.input.len() as u64,
            unanswered_input: client.input,
            ..ClientReplay::default()
        }
    }

    /// Offset up to which input was read or announced to be read.
    fn read_to(&self) -> u64 {
        self.answered_to + self.unanswered_input.len() as u64
    }

    /// Memory counted for this client, in bytes.
    pub(super) fn memory_used(&self) -> usize {
        let entries = self.dispatched.len() + self.pending_writes.len();
        CLIENT_OVERHEAD_BYTES + self.unanswered_input.len() + entries * size_of::<PendingWrite>()
    }

    /// Applies the announcement that `bytes` are read next. Writes up to offset `written_to` are complete.
    pub(super) fn on_read(&mut self, written_to: u64, bytes: Vec<u8>) -> Result<(), ReplayError> {
        self.unanswered_input.extend(bytes);
        self.apply_writes(written_to)
    }

    /// Applies the announcement that the statement ending at offset `end` is dispatched next.
    pub(super) fn on_dispatched(&mut self, end: u64, is_retry_safe: bool) -> Result<(), ReplayError> {
        if end > self.read_to() {
            return Err(ReplayError::Inconsistent);
        }
        // A statement that is answered already needs no verdict.
        if end > self.answered_to {
            self.dispatched.insert(end, is_retry_safe);
        }
        Ok(())
    }

    /// Applies the announcement that `write` is done next. Writes up to offset `written_to` are complete.
    pub(super) fn on_write(&mut self, written_to: u64, write: &AnnouncedWrite) -> Result<(), ReplayError> {
        self.announced_to += write.length;
        self.pending_writes.push_back(PendingWrite {
            end: self.announced_to,
            answered_to: write.answered_to,
            startup_complete: write.startup_complete,
            bytes_to_skip: write.bytes_to_skip,
            answers_statement: self.startup_complete && write.answered_to > self.answered_to,
        });
        self.apply_writes(written_to)
    }

    /// Applies the pending writes that end at or before offset `written_to`, and removes the input they
    /// answer.
    fn apply_writes(&mut self, written_to: u64) -> Result<(), ReplayError> {
        let is_written = |write: &mut PendingWrite| write.end <= written_to;
        while let Some(write) = self.pending_writes.pop_front_if(is_written) {
            self.apply_write(&write)?;
        }
        if self.pending_writes.is_empty() {
            self.discard_skipped_input();
        }
        Ok(())
    }

    fn apply_write(&mut self, write: &PendingWrite) -> Result<(), ReplayError> {
        if write.answered_to < self.answered_to || write.answered_to > self.read_to() {
            return Err(ReplayError::Inconsistent);
        }
        let answered = (write.answered_to - self.answered_to) as usize;
        self.unanswered_input.drain(..answered);
        self.answered_to = write.answered_to;
        self.written_to = write.end;
        self.startup_complete = write.startup_complete;
        self.bytes_to_skip = write.bytes_to_skip;
        self.dispatched = self.dispatched.split_off(&(write.answered_to + 1));
        self.has_sent_statement |= write.answers_statement;
        Ok(())
    }

    /// Bytes to skip are not stored, because an oversized message may be longer than the replay's memory.
    fn discard_skipped_input(&mut self) {
        let skipped = self.bytes_to_skip.min(self.unanswered_input.len() as u64);
        self.unanswered_input.drain(..skipped as usize);
        self.answered_to += skipped;
        self.bytes_to_skip -= skipped;
    }

    /// Derives the client's state at the death of the successor from the kernel's byte counts of its socket.
    pub(super) fn recover(mut self, counts: SocketByteCounts) -> ClientRecovery {
        let has_valid_writes = self.apply_writes(counts.written).is_ok();
        // An announced write may not have started, but a partial write can't be completed.
        let has_complete_answers = counts.written == self.written_to;
        // Announced bytes that were not read are still in the socket's buffer.
        let read_to = self.transferred_length + counts.read;
        let has_all_input = (self.answered_to..=self.read_to()).contains(&read_to);
        if !has_valid_writes || !has_complete_answers || !has_all_input {
            return ClientRecovery::Disconnect;
        }
        let answered_to = self.answered_to;
        self.unanswered_input.truncate((read_to - answered_to) as usize);
        let dispatched = self.dispatched.into_iter();
        let verdicts = StatementVerdicts {
            read_to: self.unanswered_input.len() as u64,
            dispatched: dispatched
                .map(|(end, is_retry_safe)| (end - answered_to, is_retry_safe))
                .collect(),
        };
        let client = ClientState {
            transfer_id: 0,
            startup_complete: self.startup_complete,
            has_sent_statement: self.has_sent_statement,
            bytes_to_skip: self.bytes_to_skip,
            input: self.unanswered_input,
        };
        ClientRecovery::Resume { client, verdicts }
    }
}
