//! What the former process knows of the clients that a new one serves on probation, so that it can go on with each of them
//! should that one die: what was read from a client, which statements went out, and what was said, each written down
//! before it is done. Nothing here does I/O; the kernel's own counts of a socket say how much of it was done.
//!
//! Offsets count the bytes of one client in one direction from where the new process began with it: first those that were
//! handed over with the client, then those that come from its socket.

use crate::message::{Client, Framed};
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

impl Framed for Record {
    /// It may hold as much as is read at once.
    const MAX_LENGTH: usize = 1024 * 1024;
    /// One whose writer died in the middle of it is too short, and stays unread: what it announced was not done.
    const IS_HASHED: bool = false;

    fn descriptor_count(&self) -> usize {
        usize::from(matches!(self, Record::Arrived { .. }))
    }
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
struct Account {
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
    /// What was read from it and has no answer yet is its input: statements that end within are answered by the verdicts,
    /// a message that is not whole yet goes on.
    GoesOn(Client, Verdicts),
    /// It has part of an answer, or bytes of it are lost: nothing whole can be said to it any more.
    Cut,
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
    handed: BTreeMap<u64, Client>,
    clients: BTreeMap<u32, Account>,
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

fn on_its_way(client: &Client) -> usize {
    ENTRY + client.input.len()
}

impl Account {
    fn begin(client: Client) -> Account {
        Account {
            opened: client.opened,
            has_asked: client.has_asked,
            skip: client.skip,
            brought: client.input.len() as u64,
            input: client.input,
            ..Account::default()
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
        let verdicts = Verdicts {
            upto: self.input.len() as u64,
            out: out.collect(),
        };
        let client = Client {
            handed: 0,
            opened: self.opened,
            has_asked: self.has_asked,
            skip: self.skip,
            input: self.input,
        };
        Back::GoesOn(client, verdicts)
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

    /// A client is on its way to the new process under its number.
    pub fn hand_over(&mut self, client: Client) -> Result<(), Broken> {
        self.kept += on_its_way(&client);
        self.handed.insert(client.handed, client);
        self.bounded()
    }

    /// A client that was handed over didn't arrive.
    pub fn missing(&mut self, handed: u64) {
        self.kept -= self.handed.remove(&handed).map_or(0, |c| on_its_way(&c));
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
                self.clients.insert(client, Account::default());
            }
            Record::Adopted { client, handed } => {
                // Its bytes are counted already, and go along.
                let moved = self.handed.remove(&handed).ok_or(Broken::Senseless)?;
                self.clients.insert(client, Account::begin(moved));
            }
            Record::Gone { client } => {
                // One that was turned away before it was written down is none of ours.
                self.kept -= self.clients.remove(&client).map_or(0, |c| c.size());
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
        change: impl FnOnce(&mut Account) -> Result<(), Broken>,
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
        let handed = handed.map(|(n, client)| (Key::Handed(n), Account::begin(client)));
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
