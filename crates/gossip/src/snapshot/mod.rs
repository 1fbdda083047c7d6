//! Snapshot of the replicated state: a header that names the driver, then records. Each frame is chained to
//! the previous one by its hash.
//!
//! Truncated, corrupted, foreign and unsupported snapshots are distinguished, and records before a damaged
//! frame are used. Layout: magic, version as two bytes, then frames of a length as four bytes, a hash as
//! eight bytes and a body. Integers are big-endian; bodies are encoded by `postcard`; each hash is seeded
//! with the hash of the frame before.

mod schedule;

pub use schedule::{SnapshotSchedule, WriteRequest, WriteStatusChange};

use crate::record::{ObservedRecord, Record};
use asterlatch::time::Timestamp;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

const MAGIC: &[u8; 8] = b"astrkeep";
/// Version of the format.
pub const VERSION: u16 = 1;
const VERSION_BYTES: usize = 2;
const LENGTH_BYTES: usize = 4;
const HASH_BYTES: usize = 8;
/// Limit on the body of a frame. Names and share lists are bounded, so no record exceeds it.
const MAX_BODY_BYTES: usize = 4096;
/// Seed of the first frame's hash.
const FIRST_SEED: u64 = 0;

/// Identifies the driver that a snapshot belongs to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotHeader {
    /// Name of the fleet.
    pub fleet: String,
    /// Name of the driver.
    pub name: String,
    /// Incarnation of the driver that wrote the snapshot.
    pub incarnation: u64,
}

/// Why a snapshot, or the rest of it, cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// The file has no content.
    #[error("the snapshot is empty")]
    Empty,
    /// The file isn't a snapshot, or its header is damaged.
    #[error("the snapshot has no readable header: nothing of it is used")]
    MissingHeader,
    /// The format version isn't [`VERSION`].
    #[error("the snapshot has version {0}, not {VERSION}: nothing of it is used")]
    UnsupportedVersion(u16),
    /// The snapshot belongs to a fleet with other settings.
    #[error("the snapshot is of a fleet with other settings: nothing of it is used")]
    OtherFleet,
    /// The snapshot belongs to the driver with this name.
    #[error("the snapshot is {0}'s: nothing of it is used")]
    OtherDriver(String),
    /// The snapshot ends within a frame: the writer was killed, or the disk was full.
    #[error("the snapshot ends within a record at byte {at}: records before it are used")]
    Truncated {
        /// Offset of the frame.
        at: usize,
    },
    /// A frame differs from what was written, and not only because the write was cut short.
    #[error("the snapshot is corrupted at byte {at}: records before that are used")]
    Corrupted {
        /// Offset of the frame.
        at: usize,
    },
}

/// A record as stored in a frame, with its observation time by the wall clock.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct StoredRecord {
    observed_at: Timestamp,
    record: Record,
}

/// The readable part of a snapshot.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SnapshotContents {
    /// Records before any damage, with observation times by the wall clock of the driver that wrote them.
    pub records: Vec<ObservedRecord>,
    /// Incarnation of the driver that wrote the snapshot; zero if unknown.
    pub incarnation: u64,
    /// Why the rest of the snapshot cannot be used, if so.
    pub error: Option<SnapshotError>,
}

/// Encodes a snapshot frame by frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotEncoder {
    last_hash: u64,
}

/// Appends a frame; returns its hash.
fn append_frame(out: &mut Vec<u8>, seed: u64, body: &[u8]) -> u64 {
    let hash = xxh3_64_with_seed(body, seed);
    out.extend((body.len() as u32).to_be_bytes());
    out.extend(hash.to_be_bytes());
    out.extend(body);
    hash
}

impl SnapshotEncoder {
    /// Begins a snapshot: returns the encoded header and the encoder for the records that follow.
    pub fn begin(fleet: &str, name: &str, incarnation: u64) -> (Vec<u8>, SnapshotEncoder) {
        let mut out = MAGIC.to_vec();
        out.extend(VERSION.to_be_bytes());
        let header = SnapshotHeader {
            fleet: fleet.to_owned(),
            name: name.to_owned(),
            incarnation,
        };
        // Encoding into memory can't fail for these types.
        let body = postcard::to_stdvec(&header).unwrap_or_default();
        let last_hash = append_frame(&mut out, FIRST_SEED, &body);
        (out, SnapshotEncoder { last_hash })
    }

    /// Appends an encoded record to `out`; `observed_at` is by the wall clock.
    pub fn append(&mut self, out: &mut Vec<u8>, record: &Record, observed_at: Timestamp) {
        let stored = StoredRecord {
            observed_at,
            record: record.clone(),
        };
        let body = postcard::to_stdvec(&stored).unwrap_or_default();
        self.last_hash = append_frame(out, self.last_hash, &body);
    }
}

struct Frame<'a> {
    body: &'a [u8],
    hash: u64,
    /// Offset of the next frame.
    end: usize,
}

/// Reads the frame at offset `at`.
fn read_frame(bytes: &[u8], at: usize, seed: u64) -> Result<Frame<'_>, SnapshotError> {
    let truncated = SnapshotError::Truncated { at };
    let rest = bytes.get(at..).unwrap_or_default();
    let Some((length, rest)) = rest.split_first_chunk::<LENGTH_BYTES>() else {
        return Err(truncated);
    };
    let Some((hash, rest)) = rest.split_first_chunk::<HASH_BYTES>() else {
        return Err(truncated);
    };
    let length = u32::from_be_bytes(*length) as usize;
    if length > MAX_BODY_BYTES {
        return Err(SnapshotError::Corrupted { at });
    }
    let Some(body) = rest.get(..length) else {
        return Err(truncated);
    };
    let end = at + LENGTH_BYTES + HASH_BYTES + length;
    let hash = u64::from_be_bytes(*hash);
    if xxh3_64_with_seed(body, seed) == hash {
        return Ok(Frame { body, hash, end });
    }
    // If the writer was killed, the last frame may contain zeros or earlier content of the disk.
    let is_last = end == bytes.len() || bytes[at..].iter().all(|byte| *byte == 0);
    Err(match is_last {
        true => truncated,
        false => SnapshotError::Corrupted { at },
    })
}

/// The decoded header, its hash and the offset of the first record's frame.
struct DecodedHeader {
    header: SnapshotHeader,
    hash: u64,
    end: usize,
}

fn decode_header(bytes: &[u8]) -> Result<DecodedHeader, SnapshotError> {
    if bytes.is_empty() {
        return Err(SnapshotError::Empty);
    }
    let version = bytes
        .strip_prefix(MAGIC)
        .and_then(|rest| rest.first_chunk::<VERSION_BYTES>())
        .ok_or(SnapshotError::MissingHeader)?;
    let version = u16::from_be_bytes(*version);
    if version != VERSION {
        return Err(SnapshotError::UnsupportedVersion(version));
    }
    let frame = read_frame(bytes, MAGIC.len() + VERSION_BYTES, FIRST_SEED)
        .map_err(|_| SnapshotError::MissingHeader)?;
    let header = postcard::from_bytes(frame.body).map_err(|_| SnapshotError::MissingHeader)?;
    Ok(DecodedHeader {
        header,
        hash: frame.hash,
        end: frame.end,
    })
}

/// Reads a snapshot that must belong to this driver of this fleet.
pub fn read(bytes: &[u8], fleet: &str, name: &str) -> SnapshotContents {
    let mut contents = SnapshotContents::default();
    contents.error = read_into(bytes, fleet, name, &mut contents).err();
    contents
}

fn read_into(
    bytes: &[u8],
    fleet: &str,
    name: &str,
    contents: &mut SnapshotContents,
) -> Result<(), SnapshotError> {
    let DecodedHeader {
        header,
        hash: mut last_hash,
        end: mut at,
    } = decode_header(bytes)?;
    if header.fleet != fleet {
        return Err(SnapshotError::OtherFleet);
    }
    if header.name != name {
        return Err(SnapshotError::OtherDriver(header.name));
    }
    contents.incarnation = header.incarnation;
    while at < bytes.len() {
        let frame = read_frame(bytes, at, last_hash)?;
        let stored: StoredRecord =
            postcard::from_bytes(frame.body).map_err(|_| SnapshotError::Corrupted { at })?;
        contents.records.push(ObservedRecord {
            record: stored.record,
            observed_at: stored.observed_at,
        });
        last_hash = frame.hash;
        at = frame.end;
    }
    Ok(())
}

/// The owner that the header names; `None` if the header cannot be read.
pub fn read_owner(bytes: &[u8]) -> Option<SnapshotHeader> {
    decode_header(bytes).ok().map(|decoded| decoded.header)
}
