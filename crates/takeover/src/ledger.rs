//! What the former process knows of the clients that a new one serves on probation, so that it can go on with each of them
//! should that one die: what was read from a client, which statements went out, and what was said, each written down
//! before it is done. Nothing here does I/O; the kernel's own counts of a socket say how much of it was done.
//!
//! Offsets count the bytes of one client in one direction from where the new process began with it: first those that were
//! handed over with the client, then those that come from its socket.

use crate::message::{Fault, Framed};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// A line of the ledger. `client` is the new process's number.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Record {
    /// The new process has accepted a client, whose connection lies beside.
    Arrived { client: u32 },
    /// The client that was handed over under this number.
    Adopted { client: u32, handed: u64 },
    /// These bytes lie at the socket, and are read next. What was said before is known to be out up to `settled`.
    Reads {
        client: u32,
        settled: u64,
        bytes: Vec<u8>,
    },
    /// The statement that ends at this offset goes to a member now: from here on it may have run. Whether that is
    /// harmless to repeat.
    Out { client: u32, end: u64, harmless: bool },
    /// So many bytes are written next. Once they are out, all that was read before `dealt` has its answer, and the client
    /// stands so.
    Says {
        client: u32,
        length: u64,
        settled: u64,
        dealt: u64,
        opened: bool,
        skip: u64,
    },
    /// The new process has ended this connection, or its client has.
    Gone { client: u32 },
}

/// A record may hold as much as is read at once.
const LONGEST: usize = 1024 * 1024;

impl Framed for Record {
    fn frame(&self) -> Result<Vec<u8>, Fault> {
        let body = postcard::to_stdvec(self).map_err(|_| Fault::Unreadable)?;
        if body.len() > LONGEST {
            return Err(Fault::TooLong);
        }
        let mut bytes = (body.len() as u32).to_be_bytes().to_vec();
        bytes.extend(body);
        Ok(bytes)
    }

    /// A record whose writer died in the middle of it stays unread: what it announced was not done.
    fn next(input: &[u8]) -> Result<Option<(Record, usize)>, Fault> {
        let Some(head) = input.first_chunk::<4>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*head) as usize;
        if length > LONGEST {
            return Err(Fault::TooLong);
        }
        let Some(body) = input.get(4..4 + length) else {
            return Ok(None);
        };
        let record = postcard::from_bytes(body).map_err(|_| Fault::Unreadable)?;
        Ok(Some((record, 4 + length)))
    }

    fn descriptors(&self) -> usize {
        usize::from(matches!(self, Record::Arrived { .. }))
    }
}

/// Where a client stood when the new process began with it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Start {
    pub opened: bool,
    pub has_asked: bool,
    pub skip: u64,
    pub input: Vec<u8>,
}

/// What the kernel counts of a socket since then.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Counts {
    /// Bytes that were read from it.
    pub read: u64,
    /// Bytes that were written to it.
    pub written: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Said {
    end: u64,
    dealt: u64,
    opened: bool,
    skip: u64,
    /// Among what it answers is more than the startup.
    asked: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Client {
    opened: bool,
    has_asked: bool,
    skip: u64,
    /// Bytes from `dealt` on.
    input: Vec<u8>,
    dealt: u64,
    /// How many of all came along with the client.
    brought: u64,
    /// Where ends what was said, and what of it is known to be out.
    said_to: u64,
    out_to: u64,
    said: VecDeque<Said>,
    /// Statements that went out, by where they end, and whether that is harmless to repeat.
    out: BTreeMap<u64, bool>,
}

/// What becomes of a client whose process has died.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Back {
    GoesOn(Resumed),
    /// It has part of an answer, or bytes of it are lost: nothing whole can be said to it any more.
    Cut,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Resumed {
    pub opened: bool,
    pub has_asked: bool,
    pub skip: u64,
    /// What was read from it and has no answer yet. Statements that end within it are answered by `Verdicts`; a message
    /// that is not whole yet goes on.
    pub input: Vec<u8>,
    pub verdicts: Verdicts,
}

/// How each statement is to be answered that the dead process had read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Verdicts {
    upto: u64,
    out: BTreeMap<u64, bool>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// It never went out, or did and is harmless to repeat: the client may ask again.
    Rejected,
    /// It may have been executed.
    Aborted,
    /// The dead process hadn't read it whole: it is a statement like any other.
    Open,
}

impl Verdicts {
    /// Of the statement that ends at this offset of what was taken back.
    pub fn of(&self, end: u64) -> Verdict {
        match self.out.get(&end) {
            _ if end > self.upto => Verdict::Open,
            Some(false) => Verdict::Aborted,
            Some(true) | None => Verdict::Rejected,
        }
    }

    /// Whether one that ends later could need a verdict.
    pub fn is_over(&self, end: u64) -> bool {
        end >= self.upto
    }
}

/// All clients that the new process has, as far as it wrote that down.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Ledger {
    handed: BTreeMap<u64, Start>,
    clients: BTreeMap<u32, Client>,
    /// Bytes kept, and the most that may be.
    kept: usize,
    most: usize,
}

/// Why a ledger can't be gone on with: the clients in it are the new process's alone from then on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Broken {
    /// More is kept than there is room for.
    Full,
    /// It says what makes no sense: of a client that is not there, or of an offset that is not reached.
    Senseless,
}

/// For each client that is known, beside its bytes.
const ENTRY: usize = 256;

impl Client {
    fn begin(start: Start) -> Client {
        let brought = start.input.len() as u64;
        Client {
            opened: start.opened,
            has_asked: start.has_asked,
            skip: start.skip,
            input: start.input,
            brought,
            ..Client::default()
        }
    }

    fn read_to(&self) -> u64 {
        self.dealt + self.input.len() as u64
    }

    fn size(&self) -> usize {
        ENTRY + self.input.len() + (self.out.len() + self.said.len()) * size_of::<Said>()
    }

    /// What is out is dealt with: nothing before it is needed any more.
    fn settle(&mut self, written: u64) -> Result<(), Broken> {
        while let Some(said) = self.said.pop_front_if(|s| s.end <= written) {
            if said.dealt < self.dealt || said.dealt > self.read_to() {
                return Err(Broken::Senseless);
            }
            self.input.drain(..(said.dealt - self.dealt) as usize);
            (self.dealt, self.out_to) = (said.dealt, said.end);
            (self.opened, self.skip) = (said.opened, said.skip);
            self.out = self.out.split_off(&(said.dealt + 1));
            self.has_asked |= said.asked;
        }
        // What is passed over needn't be kept, however long it is.
        if self.said.is_empty() {
            let passed = self.skip.min(self.input.len() as u64);
            self.input.drain(..passed as usize);
            (self.dealt, self.skip) = (self.dealt + passed, self.skip - passed);
        }
        Ok(())
    }

    /// Goes on where the dead process stopped, by what the kernel says of the socket.
    fn back(mut self, counts: Counts) -> Back {
        let settled = self.settle(counts.written);
        // What was announced may not have been begun; what was begun and not ended can't be mended.
        let whole = counts.written == self.out_to;
        // The last bytes announced may still lie at the socket: they will be read from there.
        let read_to = self.brought + counts.read;
        if settled.is_err() || !whole || read_to > self.read_to() || read_to < self.dealt {
            return Back::Cut;
        }
        self.input.truncate((read_to - self.dealt) as usize);
        let dealt = self.dealt;
        let out = self
            .out
            .into_iter()
            .map(|(end, harmless)| (end - dealt, harmless));
        Back::GoesOn(Resumed {
            opened: self.opened,
            has_asked: self.has_asked,
            skip: self.skip,
            verdicts: Verdicts {
                upto: self.input.len() as u64,
                out: out.collect(),
            },
            input: self.input,
        })
    }
}

impl Ledger {
    /// With room for so many bytes.
    pub fn new(most: usize) -> Ledger {
        Ledger {
            most,
            ..Ledger::default()
        }
    }

    /// A client is on its way to the new process under this number.
    pub fn hand_over(&mut self, handed: u64, start: Start) -> Result<(), Broken> {
        self.kept += ENTRY + start.input.len();
        self.handed.insert(handed, start);
        self.bounded()
    }

    /// A client that was handed over didn't arrive.
    pub fn missing(&mut self, handed: u64) {
        let size = self
            .handed
            .remove(&handed)
            .map_or(0, |start| ENTRY + start.input.len());
        self.kept -= size;
    }

    fn bounded(&self) -> Result<(), Broken> {
        if self.kept > self.most {
            return Err(Broken::Full);
        }
        Ok(())
    }

    pub fn take(&mut self, record: Record) -> Result<(), Broken> {
        match record {
            Record::Arrived { client } => {
                self.kept += ENTRY;
                self.clients.insert(client, Client::default());
            }
            Record::Adopted { client, handed } => {
                // Its bytes are counted already, and go along.
                let start = self.handed.remove(&handed).ok_or(Broken::Senseless)?;
                self.clients.insert(client, Client::begin(start));
            }
            Record::Gone { client } => {
                // One that was turned away before it was written down is none of ours.
                let size = self.clients.remove(&client).map_or(0, |c| c.size());
                self.kept -= size;
            }
            Record::Reads {
                client,
                settled,
                bytes,
            } => self.change(client, |c| {
                c.input.extend(bytes);
                c.settle(settled)
            })?,
            Record::Out {
                client,
                end,
                harmless,
            } => {
                let known = self.clients.contains_key(&client);
                // Its client may have gone while it was on its way.
                if known {
                    self.change(client, |c| {
                        if end > c.read_to() {
                            return Err(Broken::Senseless);
                        }
                        // One whose answer is out needs no verdict.
                        if end > c.dealt {
                            c.out.insert(end, harmless);
                        }
                        Ok(())
                    })?;
                }
            }
            Record::Says {
                client,
                length,
                settled,
                dealt,
                opened,
                skip,
            } => self.change(client, |c| {
                c.said_to += length;
                let asked = c.opened && dealt > c.dealt;
                let end = c.said_to;
                c.said.push_back(Said {
                    end,
                    dealt,
                    opened,
                    skip,
                    asked,
                });
                c.settle(settled)
            })?,
        }
        self.bounded()
    }

    fn change(
        &mut self,
        client: u32,
        change: impl FnOnce(&mut Client) -> Result<(), Broken>,
    ) -> Result<(), Broken> {
        let client = self.clients.get_mut(&client).ok_or(Broken::Senseless)?;
        let before = client.size();
        let changed = change(client);
        self.kept = self.kept + client.size() - before;
        changed
    }

    /// Clients that are on their way or known, and bytes kept of them.
    pub fn count(&self) -> (usize, usize) {
        (self.handed.len() + self.clients.len(), self.kept)
    }

    /// The new process is dead: what becomes of each of its clients, those on their way first. `counts` tells what the
    /// kernel counts of a socket, or that it can't.
    pub fn settle(self, mut counts: impl FnMut(Key) -> Option<Counts>) -> Vec<(Key, Back)> {
        let handed = self.handed.into_iter();
        let handed = handed.map(|(n, start)| (Key::Handed(n), Client::begin(start)));
        let clients = self.clients.into_iter().map(|(n, c)| (Key::Client(n), c));
        let all = handed.chain(clients);
        let settled = all.map(|(key, client)| (key, counts(key).map_or(Back::Cut, |c| client.back(c))));
        settled.collect()
    }
}

/// By what number a client is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Key {
    Handed(u64),
    Client(u32),
}
