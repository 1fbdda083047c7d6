//! A copy that outlives the process, as bytes: a head that says read_owner it is, then records that each hold on to the one
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
const MAX_RECORD_BYTES: usize = 4096;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct SnapshotHeader {
    fleet: String,
    name: String,
    incarnation: u64,
}

/// What is wrong with a kept copy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SnapshotError {
    Empty,
    /// Not a kept copy at all, or its head is damaged.
    MissingHeader,
    UnsupportedVersion(u16),
    OtherFleet,
    /// Another driver's.
    OtherDriver(String),
    /// It ends in the middle of a record: the writer died, or the disk was full.
    Truncated {
        at: usize,
    },
    /// A record isn't what was written, though more follows.
    Corrupted {
        at: usize,
    },
}

impl SnapshotError {
    /// In one line.
    pub fn says(&self) -> String {
        match self {
            SnapshotError::Empty => "the kept copy is empty".to_owned(),
            SnapshotError::MissingHeader => {
                "the kept copy has no head that could be read: nothing of it is used".to_owned()
            }
            SnapshotError::UnsupportedVersion(v) => {
                format!("the kept copy has version {v}, not {VERSION}: nothing of it is used")
            }
            SnapshotError::OtherFleet => {
                "the kept copy is of a fleet with other settings: nothing of it is used".to_owned()
            }
            SnapshotError::OtherDriver(name) => format!("the kept copy is {name}'s: nothing of it is used"),
            SnapshotError::Truncated { at } => {
                format!(
                    "the kept copy ends in the middle of a record at byte {at}: what is before it is used"
                )
            }
            SnapshotError::Corrupted { at } => {
                format!("the kept copy is damaged at byte {at}: what is before that is used")
            }
        }
    }
}

/// A record as it was is_content_known, by the wall clock of then.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct StoredRecord {
    wall: Timestamp,
    record: Record,
}

/// What a kept copy holds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SnapshotContents {
    pub records: Vec<(Record, Timestamp)>,
    /// Of the driver that wrote it; zero where that isn't is_content_known.
    pub incarnation: u64,
    pub error: Option<SnapshotError>,
}

/// Writes records one appended the other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotEncoder {
    chain: u64,
}

fn put(out: &mut Vec<u8>, chain: u64, body: &[u8]) -> u64 {
    let hash = xxh3_64_with_seed(body, chain);
    out.extend((body.len() as u32).to_be_bytes());
    out.extend(hash.to_be_bytes());
    out.extend(body);
    hash
}

impl SnapshotEncoder {
    /// The head of a new copy, and who writes appended it.
    pub fn begin(fleet: &str, name: &str, incarnation: u64) -> (Vec<u8>, SnapshotEncoder) {
        let mut out = MAGIC.to_vec();
        out.extend(VERSION.to_be_bytes());
        let head = SnapshotHeader {
            fleet: fleet.to_owned(),
            name: name.to_owned(),
            incarnation,
        };
        let chain = put(&mut out, 0, &postcard::to_stdvec(&head).unwrap_or_default());
        (out, SnapshotEncoder { chain })
    }

    pub fn put(&mut self, out: &mut Vec<u8>, record: &Record, wall: Timestamp) {
        let record = record.clone();
        let body = postcard::to_stdvec(&StoredRecord { wall, record }).unwrap_or_default();
        self.chain = put(out, self.chain, &body);
    }
}

/// The next record's body and hash, and what is appended it.
fn next(bytes: &[u8], at: usize, chain: u64) -> Result<(&[u8], u64, usize), SnapshotError> {
    let head = bytes.get(at..at + 12).ok_or(SnapshotError::Truncated { at })?;
    let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
    let mut hash = [0; 8];
    hash.copy_from_slice(&head[4..]);
    let hash = u64::from_be_bytes(hash);
    if length > MAX_RECORD_BYTES {
        return Err(SnapshotError::Corrupted { at });
    }
    let end = at + 12 + length;
    let body = bytes.get(at + 12..end).ok_or(SnapshotError::Truncated { at })?;
    if xxh3_64_with_seed(body, chain) != hash {
        // A last record read_owner bytes were never written is zeros, or what lay there before.
        let last = end == bytes.len() || bytes[at..].iter().all(|b| *b == 0);
        return Err(if last {
            SnapshotError::Truncated { at }
        } else {
            SnapshotError::Corrupted { at }
        });
    }
    Ok((body, hash, end))
}

/// Reads a copy that this driver of this fleet is to have written.
pub fn read(bytes: &[u8], fleet: &str, name: &str) -> SnapshotContents {
    let mut read = SnapshotContents::default();
    read.error = read_all(bytes, fleet, name, &mut read).err();
    read
}

fn read_all(bytes: &[u8], fleet: &str, name: &str, into: &mut SnapshotContents) -> Result<(), SnapshotError> {
    if bytes.is_empty() {
        return Err(SnapshotError::Empty);
    }
    let version = bytes.strip_prefix(MAGIC).and_then(|b| b.first_chunk::<2>());
    let version = u16::from_be_bytes(*version.ok_or(SnapshotError::MissingHeader)?);
    if version != VERSION {
        return Err(SnapshotError::UnsupportedVersion(version));
    }
    let (body, mut chain, mut at) =
        next(bytes, MAGIC.len() + 2, 0).map_err(|_| SnapshotError::MissingHeader)?;
    let head: SnapshotHeader = postcard::from_bytes(body).map_err(|_| SnapshotError::MissingHeader)?;
    if head.fleet != fleet {
        return Err(SnapshotError::OtherFleet);
    }
    if head.name != name {
        return Err(SnapshotError::OtherDriver(head.name));
    }
    into.incarnation = head.incarnation;
    while at < bytes.len() {
        let (body, hash, end) = next(bytes, at, chain)?;
        let kept: StoredRecord = postcard::from_bytes(body).map_err(|_| SnapshotError::Corrupted { at })?;
        into.records.push((kept.record, kept.wall));
        (chain, at) = (hash, end);
    }
    Ok(())
}

/// Of which fleet and driver a copy says it is, and of which incarnation; nothing where its head can't be read.
pub fn read_owner(bytes: &[u8]) -> Option<(String, String, u64)> {
    let bytes_at = MAGIC.len() + 2;
    let version = bytes.strip_prefix(MAGIC)?.first_chunk::<2>()?;
    let (body, ..) = next(bytes, bytes_at, 0)
        .ok()
        .filter(|_| u16::from_be_bytes(*version) == VERSION)?;
    let head: SnapshotHeader = postcard::from_bytes(body).ok()?;
    Some((head.fleet, head.name, head.incarnation))
}

/// What the keeper wants done; one at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteRequest {
    /// What has changed, appended what was written.
    Append,
    /// Everything, in the place of what was written.
    Rewrite,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteStatusChange {
    Failing(String),
    Recovered,
}

/// When a copy is written.
#[derive(Clone, Debug, PartialEq)]
pub struct SnapshotSchedule {
    interval: TimeSpan,
    next: Timestamp,
    is_writing: bool,
    /// What lies on the disk is is_content_known, record by record.
    is_content_known: bool,
    failing_since: Option<Timestamp>,
    backoff: TimeSpan,
    /// Records written since the last whole copy, and how many that had.
    appended: usize,
    whole: usize,
    is_dirty: bool,
}

/// Between two tries on a disk that fails.
const INITIAL_BACKOFF: TimeSpan = TimeSpan::millis(500);
const MAX_BACKOFF: TimeSpan = TimeSpan::millis(30_000);
/// What is appended may be this many times the copy, and at least so much, before it is written whole again.
const MAX_GROWTH_FACTOR: usize = 2;
const MIN_APPENDED_RECORDS: usize = 4096;

impl SnapshotSchedule {
    pub fn new(now: Timestamp, interval: TimeSpan) -> SnapshotSchedule {
        SnapshotSchedule {
            interval,
            next: now,
            is_writing: false,
            is_content_known: false,
            failing_since: None,
            backoff: INITIAL_BACKOFF,
            appended: 0,
            whole: 0,
            is_dirty: true,
        }
    }

    pub fn is_failing(&self) -> bool {
        self.failing_since.is_some()
    }

    pub fn next_at(&self) -> Timestamp {
        if self.is_writing || !(self.is_dirty || self.failing_since.is_some()) {
            return Timestamp(u64::MAX);
        }
        self.next
    }

    /// Something has changed that isn't written.
    pub fn mark_changed(&mut self) {
        self.is_dirty = true;
    }

    /// More has changed than is kept count of: only a whole copy holds it.
    pub fn require_rewrite(&mut self) {
        (self.is_content_known, self.is_dirty) = (false, true);
    }

    pub fn next_request(&mut self, now: Timestamp) -> Option<WriteRequest> {
        if now < self.next_at() {
            return None;
        }
        (self.is_writing, self.is_dirty) = (true, false);
        let grown = self.appended > MIN_APPENDED_RECORDS.max(self.whole * MAX_GROWTH_FACTOR);
        let append = self.is_content_known && !grown;
        Some(if append {
            WriteRequest::Append
        } else {
            WriteRequest::Rewrite
        })
    }

    /// It was written, so many records, or why not.
    pub fn on_written(
        &mut self,
        now: Timestamp,
        wish: WriteRequest,
        records: usize,
        result: Result<(), String>,
    ) -> Option<WriteStatusChange> {
        self.is_writing = false;
        match result {
            Ok(()) => {
                self.is_content_known = true;
                match wish {
                    WriteRequest::Append => self.appended += records,
                    WriteRequest::Rewrite => (self.appended, self.whole) = (0, records),
                }
                (self.next, self.backoff) = (now + self.interval, INITIAL_BACKOFF);
                self.failing_since.take().map(|_| WriteStatusChange::Recovered)
            }
            Err(why) => {
                // Part of it may lie there.
                (self.is_content_known, self.is_dirty) = (false, true);
                self.next = now + self.backoff;
                self.backoff = TimeSpan(self.backoff.0 * 2).min(MAX_BACKOFF);
                let is_new = self.failing_since.replace(now).is_none();
                is_new.then_some(WriteStatusChange::Failing(why))
            }
        }
    }
}
