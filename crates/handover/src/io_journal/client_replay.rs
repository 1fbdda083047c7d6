//! Replay state of one client.

use super::replay::ReplayError;
use super::verdict::StatementVerdicts;
use crate::message::ClientState;
use std::collections::{BTreeMap, VecDeque};

/// Bytes that the kernel counts of a socket since the successor began with it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct SocketByteCounts {
    /// Bytes that were read from it.
    pub read: u64,
    /// Bytes that were written to it.
    pub written: u64,
}

/// What becomes of a client whose process has died.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ClientRecovery {
    /// Its unanswered bytes become its input again.
    Resume {
        /// The client as it stood when its process died.
        client: ClientState,
        /// How the statements in its input are answered.
        verdicts: StatementVerdicts,
    },
    /// It has part of an answer, or bytes of it are lost: no complete answer can be sent to it any more.
    Disconnect,
}

/// A write that was announced and not yet confirmed by the kernel.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingWrite {
    /// Offset of what is written to the client at which it ends.
    end: u64,
    answered_to: u64,
    startup_complete: bool,
    bytes_to_skip: u64,
    /// Whether it answers more than the startup.
    answers_statement: bool,
}

/// A write as its journal record announces it.
pub(super) struct AnnouncedWrite {
    pub(super) length: u64,
    pub(super) answered_to: u64,
    pub(super) startup_complete: bool,
    pub(super) bytes_to_skip: u64,
}

/// What the journal implies for one client.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct ClientReplay {
    startup_complete: bool,
    has_sent_statement: bool,
    bytes_to_skip: u64,
    /// Bytes that were read, from offset `answered_to` on.
    unanswered_input: Vec<u8>,
    answered_to: u64,
    /// Bytes of input that came along with the client.
    transferred_length: u64,
    /// Offset at which the announced writes end.
    announced_to: u64,
    /// Offset at which the writes end that were applied.
    written_to: u64,
    pending_writes: VecDeque<PendingWrite>,
    /// Ends of the statements that were dispatched, and whether each is safe to retry.
    dispatched: BTreeMap<u64, bool>,
}

/// Bytes counted for each client beside its input.
pub(super) const CLIENT_OVERHEAD: usize = 256;

/// Bytes counted for a client that is on its way to the successor.
pub(super) fn transfer_memory(client: &ClientState) -> usize {
    CLIENT_OVERHEAD + client.input.len()
}

impl ClientReplay {
    /// A client as it was transferred.
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

    fn read_to(&self) -> u64 {
        self.answered_to + self.unanswered_input.len() as u64
    }

    /// Bytes counted for this client.
    pub(super) fn memory_used(&self) -> usize {
        let entries = self.dispatched.len() + self.pending_writes.len();
        CLIENT_OVERHEAD + self.unanswered_input.len() + entries * size_of::<PendingWrite>()
    }

    /// `bytes` are read next, and writes up to `written_to` are done.
    pub(super) fn on_read(&mut self, written_to: u64, bytes: Vec<u8>) -> Result<(), ReplayError> {
        self.unanswered_input.extend(bytes);
        self.apply_writes(written_to)
    }

    /// The statement that ends at offset `end` is dispatched next.
    pub(super) fn on_dispatched(&mut self, end: u64, is_retry_safe: bool) -> Result<(), ReplayError> {
        if end > self.read_to() {
            return Err(ReplayError::Inconsistent);
        }
        // A statement whose answer is written needs no verdict.
        if end > self.answered_to {
            self.dispatched.insert(end, is_retry_safe);
        }
        Ok(())
    }

    /// `write` is done next, and writes up to `written_to` are done.
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

    /// Applies the pending writes that end up to offset `written_to`, and lets go what they answer.
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

    /// Bytes that are skipped needn't be stored, however long the oversized message is.
    fn discard_skipped_input(&mut self) {
        let skipped = self.bytes_to_skip.min(self.unanswered_input.len() as u64);
        self.unanswered_input.drain(..skipped as usize);
        self.answered_to += skipped;
        self.bytes_to_skip -= skipped;
    }

    /// The client as it stood when its process died, by what the kernel counts of its socket.
    pub(super) fn recover(mut self, counts: SocketByteCounts) -> ClientRecovery {
        let has_valid_writes = self.apply_writes(counts.written).is_ok();
        // An announced write may not have begun, but one that began and did not end can't be completed.
        let has_whole_answers = counts.written == self.written_to;
        // Announced bytes that were not read yet still lie at the socket.
        let read_to = self.transferred_length + counts.read;
        let has_all_input = (self.answered_to..=self.read_to()).contains(&read_to);
        if !has_valid_writes || !has_whole_answers || !has_all_input {
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
