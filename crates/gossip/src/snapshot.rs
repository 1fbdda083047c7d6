//! A copy that outlives the process, as bytes: a head that says whose it is, then records that each hold on to the one
//! before by its hash. What is torn, flipped, cut, somebody else's or of another version is told apart, and whatever stands
//! whole before it is used. And when it is written: in groups, never by who answers statements, and where the disk fails,
//! not at all until it doesn't any more; then whole, since nobody knows what it holds.

use crate::record::Record;
use asterlatch::time::{TimeSpan, Timestamp};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

const MAGIC: &[u8; 8] = b"astrkeep";
pub const VERSION: u16 = 1;
/// No record is longer: names have a bound.
const LONGEST: usize = 4096;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Head {
    fleet: String,
    name: String,
    life: u64,
}

/// What is wrong with a kept copy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    Empty,
    /// Not a kept copy at all, or its head is damaged.
    NoHead,
    Version(u16),
    OtherFleet,
    /// Another driver's.
    Foreign(String),
    /// It ends in the middle of a record: the writer died, or the disk was full.
    Torn {
        at: usize,
    },
    /// A record isn't what was written, though more follows.
    Flipped {
        at: usize,
    },
}

impl Fault {
    /// In one line.
    pub fn says(&self) -> String {
        match self {
            Fault::Empty => "the kept copy is empty".to_owned(),
            Fault::NoHead => "the kept copy has no head that could be read: nothing of it is used".to_owned(),
            Fault::Version(v) => {
                format!("the kept copy has version {v}, not {VERSION}: nothing of it is used")
            }
            Fault::OtherFleet => {
                "the kept copy is of a fleet with other settings: nothing of it is used".to_owned()
            }
            Fault::Foreign(name) => format!("the kept copy is {name}'s: nothing of it is used"),
            Fault::Torn { at } => {
                format!(
                    "the kept copy ends in the middle of a record at byte {at}: what is before it is used"
                )
            }
            Fault::Flipped { at } => {
                format!("the kept copy is damaged at byte {at}: what is before that is used")
            }
        }
    }
}

/// A fact as it was known, by the wall clock of then.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Kept {
    wall: Timestamp,
    fact: Record,
}

/// What a kept copy holds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Read {
    pub facts: Vec<(Record, Timestamp)>,
    /// Of the driver that wrote it; zero where that isn't known.
    pub life: u64,
    pub fault: Option<Fault>,
}

/// Writes records one behind the other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Writer {
    chain: u64,
}

fn put(out: &mut Vec<u8>, chain: u64, body: &[u8]) -> u64 {
    let hash = xxh3_64_with_seed(body, chain);
    out.extend((body.len() as u32).to_be_bytes());
    out.extend(hash.to_be_bytes());
    out.extend(body);
    hash
}

impl Writer {
    /// The head of a new copy, and who writes behind it.
    pub fn begin(fleet: &str, name: &str, life: u64) -> (Vec<u8>, Writer) {
        let mut out = MAGIC.to_vec();
        out.extend(VERSION.to_be_bytes());
        let head = Head {
            fleet: fleet.to_owned(),
            name: name.to_owned(),
            life,
        };
        let chain = put(&mut out, 0, &postcard::to_stdvec(&head).unwrap_or_default());
        (out, Writer { chain })
    }

    pub fn put(&mut self, out: &mut Vec<u8>, fact: &Record, wall: Timestamp) {
        let fact = fact.clone();
        let body = postcard::to_stdvec(&Kept { wall, fact }).unwrap_or_default();
        self.chain = put(out, self.chain, &body);
    }
}

/// The next record's body and hash, and what is behind it.
fn next(bytes: &[u8], at: usize, chain: u64) -> Result<(&[u8], u64, usize), Fault> {
    let head = bytes.get(at..at + 12).ok_or(Fault::Torn { at })?;
    let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
    let mut hash = [0; 8];
    hash.copy_from_slice(&head[4..]);
    let hash = u64::from_be_bytes(hash);
    if length > LONGEST {
        return Err(Fault::Flipped { at });
    }
    let end = at + 12 + length;
    let body = bytes.get(at + 12..end).ok_or(Fault::Torn { at })?;
    if xxh3_64_with_seed(body, chain) != hash {
        // A last record whose bytes were never written is zeros, or what lay there before.
        let last = end == bytes.len() || bytes[at..].iter().all(|b| *b == 0);
        return Err(if last {
            Fault::Torn { at }
        } else {
            Fault::Flipped { at }
        });
    }
    Ok((body, hash, end))
}

/// Reads a copy that this driver of this fleet is to have written.
pub fn read(bytes: &[u8], fleet: &str, name: &str) -> Read {
    let mut read = Read::default();
    read.fault = read_all(bytes, fleet, name, &mut read).err();
    read
}

fn read_all(bytes: &[u8], fleet: &str, name: &str, into: &mut Read) -> Result<(), Fault> {
    if bytes.is_empty() {
        return Err(Fault::Empty);
    }
    let version = bytes.strip_prefix(MAGIC).and_then(|b| b.first_chunk::<2>());
    let version = u16::from_be_bytes(*version.ok_or(Fault::NoHead)?);
    if version != VERSION {
        return Err(Fault::Version(version));
    }
    let (body, mut chain, mut at) = next(bytes, MAGIC.len() + 2, 0).map_err(|_| Fault::NoHead)?;
    let head: Head = postcard::from_bytes(body).map_err(|_| Fault::NoHead)?;
    if head.fleet != fleet {
        return Err(Fault::OtherFleet);
    }
    if head.name != name {
        return Err(Fault::Foreign(head.name));
    }
    into.life = head.life;
    while at < bytes.len() {
        let (body, hash, end) = next(bytes, at, chain)?;
        let kept: Kept = postcard::from_bytes(body).map_err(|_| Fault::Flipped { at })?;
        into.facts.push((kept.fact, kept.wall));
        (chain, at) = (hash, end);
    }
    Ok(())
}

/// Of which fleet and driver a copy says it is, and of which life; nothing where its head can't be read.
pub fn whose(bytes: &[u8]) -> Option<(String, String, u64)> {
    let bytes_at = MAGIC.len() + 2;
    let version = bytes.strip_prefix(MAGIC)?.first_chunk::<2>()?;
    let (body, ..) = next(bytes, bytes_at, 0)
        .ok()
        .filter(|_| u16::from_be_bytes(*version) == VERSION)?;
    let head: Head = postcard::from_bytes(body).ok()?;
    Some((head.fleet, head.name, head.life))
}

/// What the keeper wants done; one at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wish {
    /// What has changed, behind what was written.
    Append,
    /// Everything, in the place of what was written.
    Whole,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    Failing(String),
    Healed,
}

/// When a copy is written.
#[derive(Clone, Debug, PartialEq)]
pub struct Keeper {
    every: TimeSpan,
    next: Timestamp,
    busy: bool,
    /// What lies on the disk is known, record by record.
    known: bool,
    failing: Option<Timestamp>,
    pause: TimeSpan,
    /// Records written since the last whole copy, and how many that had.
    behind: usize,
    whole: usize,
    dirty: bool,
}

/// Between two tries on a disk that fails.
const FIRST_PAUSE: TimeSpan = TimeSpan::millis(500);
const LONGEST_PAUSE: TimeSpan = TimeSpan::millis(30_000);
/// What is appended may be this many times the copy, and at least so much, before it is written whole again.
const GROWTH: usize = 2;
const LEAST_GROWTH: usize = 4096;

impl Keeper {
    pub fn new(now: Timestamp, every: TimeSpan) -> Keeper {
        Keeper {
            every,
            next: now,
            busy: false,
            known: false,
            failing: None,
            pause: FIRST_PAUSE,
            behind: 0,
            whole: 0,
            dirty: true,
        }
    }

    pub fn is_failing(&self) -> bool {
        self.failing.is_some()
    }

    pub fn next_at(&self) -> Timestamp {
        if self.busy || !(self.dirty || self.failing.is_some()) {
            return Timestamp(u64::MAX);
        }
        self.next
    }

    /// Something has changed that isn't written.
    pub fn changed(&mut self) {
        self.dirty = true;
    }

    /// More has changed than is kept count of: only a whole copy holds it.
    pub fn lost_count(&mut self) {
        (self.known, self.dirty) = (false, true);
    }

    pub fn wish(&mut self, now: Timestamp) -> Option<Wish> {
        if now < self.next_at() {
            return None;
        }
        (self.busy, self.dirty) = (true, false);
        let grown = self.behind > LEAST_GROWTH.max(self.whole * GROWTH);
        let append = self.known && !grown;
        Some(if append { Wish::Append } else { Wish::Whole })
    }

    /// It was written, so many records, or why not.
    pub fn done(
        &mut self,
        now: Timestamp,
        wish: Wish,
        records: usize,
        result: Result<(), String>,
    ) -> Option<Told> {
        self.busy = false;
        match result {
            Ok(()) => {
                self.known = true;
                match wish {
                    Wish::Append => self.behind += records,
                    Wish::Whole => (self.behind, self.whole) = (0, records),
                }
                (self.next, self.pause) = (now + self.every, FIRST_PAUSE);
                self.failing.take().map(|_| Told::Healed)
            }
            Err(why) => {
                // Part of it may lie there.
                (self.known, self.dirty) = (false, true);
                self.next = now + self.pause;
                self.pause = TimeSpan(self.pause.0 * 2).min(LONGEST_PAUSE);
                let is_new = self.failing.replace(now).is_none();
                is_new.then_some(Told::Failing(why))
            }
        }
    }
}
