//! What the former process knows of the clients that a new one serves on probation, so that it can go on with each of them
//! should that one die: what was read from a client, which statements went out, and what was said, each written down
//! before it is done. Nothing here does I/O; the kernel's own counts of a socket say how much of it was done.
//!
//! Offsets count the bytes of one client in one direction from where the new process began with it: first those that were
//! handed over with the client, then those that come from its socket.

use crate::codec::Framed;
use crate::message::ClientState;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// A line of the ledger. `client` is the new process's number.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum JournalRecord {
    /// The new process has accepted a client, whose connection lies beside.
    Accepted { client: u32 },
    /// The client that was handed over under this number.
    Adopted { client: u32, transfer_id: u64 },
    /// These bytes lie at the socket, and are read next. What was said before is known to be out up to `settled`.
    Read {
        client: u32,
        written_to: u64,
        bytes: Vec<u8>,
    },
    /// The statement that ends at this offset goes to a member now: from here on it may have run. Whether that is
    /// harmless to repeat.
    Dispatched {
        client: u32,
        end: u64,
        is_retry_safe: bool,
    },
    /// So many bytes are written next. Once they are out, all that was read before `dealt` has its answer, and the client
    /// stands so.
    Write {
        client: u32,
        length: u64,
        written_to: u64,
        answered_to: u64,
        startup_complete: bool,
        bytes_to_skip: u64,
    },
    /// The new process has ended this connection, or its client has.
    Closed { client: u32 },
}

impl Framed for JournalRecord {
    /// It may hold as much as is read at once.
    const MAX_LENGTH: usize = 1024 * 1024;
    /// One whose writer died in the middle of it is too short, and stays unread: what it announced was not done.
    const IS_HASHED: bool = false;

    fn descriptor_count(&self) -> usize {
        usize::from(matches!(self, JournalRecord::Accepted { .. }))
    }
}

/// What the kernel counts of a socket since then.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct SocketByteCounts {
    /// Bytes that were read from it.
    pub read: u64,
    /// Bytes that were written to it.
    pub written: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingWrite {
    end: u64,
    answered_to: u64,
    startup_complete: bool,
    bytes_to_skip: u64,
    /// Among what it answers is more than the startup.
    answers_statement: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct ClientReplay {
    startup_complete: bool,
    has_sent_statement: bool,
    bytes_to_skip: u64,
    /// Bytes from `dealt` on.
    input: Vec<u8>,
    answered_to: u64,
    /// How many of all came along with the client.
    transferred_length: u64,
    /// Where ends what was said, and what of it is known to be out.
    announced_to: u64,
    written_to: u64,
    pending_writes: VecDeque<PendingWrite>,
    /// Statements that went out, by where they end, and whether that is harmless to repeat.
    dispatched: BTreeMap<u64, bool>,
}

/// What becomes of a client whose process has died.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ClientRecovery {
    /// What was read from it and has no answer yet is its input: statements that end within are answered by the verdicts,
    /// a message that is not whole yet goes on.
    Resume(ClientState, StatementVerdicts),
    /// It has part of an answer, or bytes of it are lost: nothing whole can be said to it any more.
    Disconnect,
}

/// How each statement is to be answered that the dead process had read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct StatementVerdicts {
    read_to: u64,
    dispatched: BTreeMap<u64, bool>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StatementVerdict {
    /// It never went out, or did and is harmless to repeat: the client may ask again.
    Rejected,
    /// It may have been executed.
    Aborted,
    /// The dead process hadn't read it whole: it is a statement like any other.
    Unread,
}

impl StatementVerdicts {
    /// Of the statement that ends at this offset of what was taken back.
    pub fn verdict_for(&self, end: u64) -> StatementVerdict {
        match self.dispatched.get(&end) {
            _ if end > self.read_to => StatementVerdict::Unread,
            Some(false) => StatementVerdict::Aborted,
            Some(true) | None => StatementVerdict::Rejected,
        }
    }

    /// Whether one that ends later could need a verdict.
    pub fn is_past_last(&self, end: u64) -> bool {
        end >= self.read_to
    }
}

/// All clients that the new process has, as far as it wrote that down.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct JournalReplay {
    transfers: BTreeMap<u64, ClientState>,
    clients: BTreeMap<u32, ClientReplay>,
    /// Bytes kept, and the most that may be.
    memory_used: usize,
    memory_limit: usize,
}

/// Why a ledger can't be gone on with: the clients in it are the new process's alone from then on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ReplayError {
    /// More is kept than there is room for.
    MemoryExceeded,
    /// It says what makes no sense: of a client that is not there, or of an offset that is not reached.
    Inconsistent,
}

/// For each client that is known, beside its bytes.
const CLIENT_OVERHEAD: usize = 256;

fn transfer_memory(client: &ClientState) -> usize {
    CLIENT_OVERHEAD + client.input.len()
}

impl ClientReplay {
    fn from_transfer(client: ClientState) -> ClientReplay {
        ClientReplay {
            startup_complete: client.startup_complete,
            has_sent_statement: client.has_sent_statement,
            bytes_to_skip: client.bytes_to_skip,
            transferred_length: client.input.len() as u64,
            input: client.input,
            ..ClientReplay::default()
        }
    }

    fn read_to(&self) -> u64 {
        self.answered_to + self.input.len() as u64
    }

    fn size(&self) -> usize {
        CLIENT_OVERHEAD
            + self.input.len()
            + (self.dispatched.len() + self.pending_writes.len()) * size_of::<PendingWrite>()
    }

    /// What is out is dealt with: nothing before it is needed any more.
    fn settle(&mut self, written: u64) -> Result<(), ReplayError> {
        while let Some(said) = self.pending_writes.pop_front_if(|s| s.end <= written) {
            if said.answered_to < self.answered_to || said.answered_to > self.read_to() {
                return Err(ReplayError::Inconsistent);
            }
            self.input.drain(..(said.answered_to - self.answered_to) as usize);
            (self.answered_to, self.written_to) = (said.answered_to, said.end);
            (self.startup_complete, self.bytes_to_skip) = (said.startup_complete, said.bytes_to_skip);
            self.dispatched = self.dispatched.split_off(&(said.answered_to + 1));
            self.has_sent_statement |= said.answers_statement;
        }
        // What is passed over needn't be kept, however long it is.
        if self.pending_writes.is_empty() {
            let passed = self.bytes_to_skip.min(self.input.len() as u64);
            self.input.drain(..passed as usize);
            (self.answered_to, self.bytes_to_skip) = (self.answered_to + passed, self.bytes_to_skip - passed);
        }
        Ok(())
    }

    /// Goes on where the dead process stopped, by what the kernel says of the socket.
    fn recover(mut self, counts: SocketByteCounts) -> ClientRecovery {
        let settled = self.settle(counts.written);
        // What was announced may not have been begun; what was begun and not ended can't be mended.
        let whole = counts.written == self.written_to;
        // The last bytes announced may still lie at the socket: they will be read from there.
        let read_to = self.transferred_length + counts.read;
        if settled.is_err() || !whole || read_to > self.read_to() || read_to < self.answered_to {
            return ClientRecovery::Disconnect;
        }
        self.input.truncate((read_to - self.answered_to) as usize);
        let answered_to = self.answered_to;
        let dispatched = self
            .dispatched
            .into_iter()
            .map(|(end, is_retry_safe)| (end - answered_to, is_retry_safe));
        let verdicts = StatementVerdicts {
            read_to: self.input.len() as u64,
            dispatched: dispatched.collect(),
        };
        let client = ClientState {
            transfer_id: 0,
            startup_complete: self.startup_complete,
            has_sent_statement: self.has_sent_statement,
            bytes_to_skip: self.bytes_to_skip,
            input: self.input,
        };
        ClientRecovery::Resume(client, verdicts)
    }
}

impl JournalReplay {
    /// With room for so many bytes.
    pub fn new(memory_limit: usize) -> JournalReplay {
        JournalReplay {
            memory_limit,
            ..JournalReplay::default()
        }
    }

    /// A client is on its way to the new process under its number.
    pub fn begin_transfer(&mut self, client: ClientState) -> Result<(), ReplayError> {
        self.memory_used += transfer_memory(&client);
        self.transfers.insert(client.transfer_id, client);
        self.bounded()
    }

    /// A client that was handed over didn't arrive.
    pub fn cancel_transfer(&mut self, transfer_id: u64) {
        self.memory_used -= self
            .transfers
            .remove(&transfer_id)
            .map_or(0, |c| transfer_memory(&c));
    }

    fn bounded(&self) -> Result<(), ReplayError> {
        if self.memory_used > self.memory_limit {
            return Err(ReplayError::MemoryExceeded);
        }
        Ok(())
    }

    pub fn apply(&mut self, record: JournalRecord) -> Result<(), ReplayError> {
        match record {
            JournalRecord::Accepted { client } => {
                self.memory_used += CLIENT_OVERHEAD;
                self.clients.insert(client, ClientReplay::default());
            }
            JournalRecord::Adopted { client, transfer_id } => {
                // Its bytes are counted already, and go along.
                let moved = self
                    .transfers
                    .remove(&transfer_id)
                    .ok_or(ReplayError::Inconsistent)?;
                self.clients.insert(client, ClientReplay::from_transfer(moved));
            }
            JournalRecord::Closed { client } => {
                // One that was turned away before it was written down is none of ours.
                self.memory_used -= self.clients.remove(&client).map_or(0, |c| c.size());
            }
            JournalRecord::Read {
                client,
                written_to,
                bytes,
            } => self.change(client, |c| {
                c.input.extend(bytes);
                c.settle(written_to)
            })?,
            JournalRecord::Dispatched {
                client,
                end,
                is_retry_safe,
            } => {
                let known = self.clients.contains_key(&client);
                // Its client may have gone while it was on its way.
                if known {
                    self.change(client, |c| {
                        if end > c.read_to() {
                            return Err(ReplayError::Inconsistent);
                        }
                        // One whose answer is out needs no verdict.
                        if end > c.answered_to {
                            c.dispatched.insert(end, is_retry_safe);
                        }
                        Ok(())
                    })?;
                }
            }
            JournalRecord::Write {
                client,
                length,
                written_to,
                answered_to,
                startup_complete,
                bytes_to_skip,
            } => self.change(client, |c| {
                c.announced_to += length;
                let answers_statement = c.startup_complete && answered_to > c.answered_to;
                let end = c.announced_to;
                c.pending_writes.push_back(PendingWrite {
                    end,
                    answered_to,
                    startup_complete,
                    bytes_to_skip,
                    answers_statement,
                });
                c.settle(written_to)
            })?,
        }
        self.bounded()
    }

    fn change(
        &mut self,
        client: u32,
        change: impl FnOnce(&mut ClientReplay) -> Result<(), ReplayError>,
    ) -> Result<(), ReplayError> {
        let client = self.clients.get_mut(&client).ok_or(ReplayError::Inconsistent)?;
        let before = client.size();
        let changed = change(client);
        self.memory_used = self.memory_used + client.size() - before;
        changed
    }

    /// Clients that are on their way or known, and bytes kept of them.
    pub fn usage(&self) -> (usize, usize) {
        (self.transfers.len() + self.clients.len(), self.memory_used)
    }

    /// The new process is dead: what becomes of each of its clients, those on their way first. `counts` tells what the
    /// kernel counts of a socket, or that it can't.
    pub fn recover_clients(
        self,
        mut counts: impl FnMut(ConnectionKey) -> Option<SocketByteCounts>,
    ) -> Vec<(ConnectionKey, ClientRecovery)> {
        let transfer_id = self.transfers.into_iter();
        let transfer_id =
            transfer_id.map(|(n, client)| (ConnectionKey::Transfer(n), ClientReplay::from_transfer(client)));
        let clients = self
            .clients
            .into_iter()
            .map(|(n, c)| (ConnectionKey::Client(n), c));
        let all = transfer_id.chain(clients);
        let settled = all.map(|(key, client)| {
            (
                key,
                counts(key).map_or(ClientRecovery::Disconnect, |c| client.recover(c)),
            )
        });
        settled.collect()
    }
}

/// By what number a client is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ConnectionKey {
    Transfer(u64),
    Client(u32),
}
