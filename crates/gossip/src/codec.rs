//! Datagrams between drivers: a hash, a header, then messages, each of a kind, a length and a body.
//!
//! Message kinds and trailing bytes that a driver doesn't know are skipped, so that two versions understand each other
//! as far as both go. The hash covers everything and is seeded with the fleet's name, so that damaged datagrams and
//! those of other fleets are rejected. All integers of the frame are big-endian; bodies are encoded by `postcard`.

use crate::in_doubt::DispatchStatus;
use crate::record::{Record, ALL_KINDS};
use asterlatch::time::{TimeSpan, Timestamp};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Version of the header. Messages need none, because a message kind is never reassigned.
pub const VERSION: u8 = 1;
/// The oldest version that is still understood.
pub const MIN_VERSION: u8 = 1;
/// Longest datagram in bytes, so that common networks don't fragment it.
pub const MAX_DATAGRAM_BYTES: usize = 1400;

const HASH_BYTES: usize = 8;
const VERSION_BYTES: usize = 1;
const LENGTH_BYTES: usize = 2;

/// The header of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DatagramHeader {
    /// Name of the sender.
    pub name: String,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// By the sender's clock; only comparable to other values of the same sender.
    pub sent: Timestamp,
    /// The latest incarnation of the receiver that the sender knows.
    pub known_incarnation: u64,
    /// Whether the sender's copy of the replicated state is complete.
    pub caught_up: bool,
}

/// Identifies an inquiry about a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct InquiryId {
    /// Deduplication id of the statement.
    pub id: u64,
    /// Distinguishes a repeated inquiry about the same statement from an earlier one.
    pub sequence: u32,
}

/// Truncated hashes of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ShortHashes {
    /// Of the key.
    pub key: u32,
    /// Of the whole record.
    pub content: u32,
}

/// One message in a datagram.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// An opaque message of the membership protocol.
    Membership(Vec<u8>),
    /// A record.
    Record {
        /// The record.
        record: Record,
        /// How long ago it was observed when it was sent.
        age: TimeSpan,
    },
    /// Starts an anti-entropy round.
    Digest {
        /// Number of the round.
        round: u32,
        /// The sender's digest of each range.
        digests: Vec<u64>,
    },
    /// The sender's entries in a part of a range.
    RangeHashes {
        /// Number of the round.
        round: u32,
        /// Index of the range.
        range: u8,
        /// Lowest key hash of this part.
        lowest: u64,
        /// Highest key hash of this part.
        highest: u64,
        /// The entries in between.
        entries: Vec<ShortHashes>,
    },
    /// Requests entries that the sender lacks or that differ.
    RangeRequest {
        /// Number of the round.
        round: u32,
        /// Index of the range.
        range: u8,
        /// Truncated key hashes of the entries.
        keys: Vec<u32>,
    },
    /// Marks that everything was sent.
    RoundComplete {
        /// Number of the round.
        round: u32,
        /// How many [`Message::RangeHashes`] the round had; none after the entries of a range request.
        parts: Option<u32>,
    },
    /// Asks whether the receiver dispatched a statement.
    Inquiry(InquiryId),
    /// Answers an inquiry.
    InquiryReply {
        /// Which inquiry.
        inquiry: InquiryId,
        /// What the sender knows.
        status: DispatchStatus,
    },
}

/// Why a datagram is not understood.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// Damaged, from another fleet, or not from this program at all.
    #[error("datagram is damaged or of another fleet")]
    Malformed,
    /// Of a version that is too old, or whose header isn't understood.
    #[error("datagram has unsupported version {0}")]
    UnsupportedVersion(u8),
}

const MEMBERSHIP: u8 = 1;
const DIGEST: u8 = 2;
const RANGE_HASHES: u8 = 3;
const RANGE_REQUEST: u8 = 4;
const ROUND_COMPLETE: u8 = 5;
const INQUIRY: u8 = 6;
const INQUIRY_REPLY: u8 = 7;

fn encode_body<T: Serialize>(value: &T) -> Vec<u8> {
    // Encoding into memory can't fail for these types.
    postcard::to_stdvec(value).unwrap_or_default()
}

/// Decodes a prefix: trailing bytes belong to a later version.
fn decode_body<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Option<T> {
    postcard::take_from_bytes(bytes).ok().map(|(value, _)| value)
}

impl Message {
    /// The message with its kind and length, as it is put into a datagram.
    pub fn encode(&self) -> Vec<u8> {
        let (kind, body) = self.encode_parts();
        let length = u16::try_from(body.len()).unwrap_or(u16::MAX);
        [&[kind][..], &length.to_be_bytes(), &body].concat()
    }

    fn encode_parts(&self) -> (u8, Vec<u8>) {
        match self {
            Message::Membership(data) => (MEMBERSHIP, data.clone()),
            Message::Record { record, age } => (record.kind().wire_number(), encode_body(&(age, record))),
            Message::Digest { round, digests } => (DIGEST, encode_body(&(round, digests))),
            Message::RangeHashes {
                round,
                range,
                lowest,
                highest,
                entries,
            } => (
                RANGE_HASHES,
                encode_body(&(round, range, lowest, highest, entries)),
            ),
            Message::RangeRequest { round, range, keys } => {
                (RANGE_REQUEST, encode_body(&(round, range, keys)))
            }
            Message::RoundComplete { round, parts } => (ROUND_COMPLETE, encode_body(&(round, parts))),
            Message::Inquiry(inquiry) => (INQUIRY, encode_body(inquiry)),
            Message::InquiryReply { inquiry, status } => (INQUIRY_REPLY, encode_body(&(inquiry, status))),
        }
    }

    /// None if the kind is unknown or the body is invalid. Skipping it is like losing it: peers repeat what matters.
    fn decode(kind: u8, body: &[u8]) -> Option<Message> {
        Some(match kind {
            MEMBERSHIP => Message::Membership(body.to_vec()),
            DIGEST => {
                let (round, digests) = decode_body(body)?;
                Message::Digest { round, digests }
            }
            RANGE_HASHES => {
                let (round, range, lowest, highest, entries) = decode_body(body)?;
                Message::RangeHashes {
                    round,
                    range,
                    lowest,
                    highest,
                    entries,
                }
            }
            RANGE_REQUEST => {
                let (round, range, keys) = decode_body(body)?;
                Message::RangeRequest { round, range, keys }
            }
            ROUND_COMPLETE => {
                let (round, parts) = decode_body(body)?;
                Message::RoundComplete { round, parts }
            }
            INQUIRY => Message::Inquiry(decode_body(body)?),
            INQUIRY_REPLY => {
                let (inquiry, status) = decode_body(body)?;
                Message::InquiryReply { inquiry, status }
            }
            _ => Message::decode_record(kind, body)?,
        })
    }

    fn decode_record(kind: u8, body: &[u8]) -> Option<Message> {
        ALL_KINDS.into_iter().find(|known| known.wire_number() == kind)?;
        // The record comes last, so that fields of a later version trail what is decoded.
        let (age, record): (TimeSpan, Record) = decode_body(body)?;
        (record.kind().wire_number() == kind).then_some(Message::Record { record, age })
    }
}

fn fleet_hash(fleet: &str, bytes: &[u8]) -> u64 {
    xxh3_64_with_seed(bytes, xxh3_64_with_seed(fleet.as_bytes(), 0))
}

/// In which version's format datagrams are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Dialect {
    /// This version.
    #[default]
    Current,
    /// As a later version might: a higher number, trailing bytes after the header and after messages, and a message of
    /// an unknown kind. Only the testbed writes it, for fleets of mixed versions.
    Later,
}

/// Trailing bytes that stand for a later version's additions.
const LATER_ADDITION: &[u8] = b"more";
const UNKNOWN_KIND: u8 = 250;
/// Bytes of a datagram that are reserved for such additions.
const LATER_ADDITIONS_BYTES: usize = 200;
/// Messages get no addition once fewer reserved bytes than this are left.
const MIN_ADDITIONS_LEFT: usize = 20;

impl Dialect {
    /// How many bytes of messages fit into a datagram with this header.
    pub fn capacity(self, header: &DatagramHeader) -> usize {
        let additions = match self {
            Dialect::Current => 0,
            Dialect::Later => LATER_ADDITIONS_BYTES,
        };
        MAX_DATAGRAM_BYTES - HASH_BYTES - VERSION_BYTES - LENGTH_BYTES - encode_body(header).len() - additions
    }

    /// Encodes a datagram of messages that together are no longer than [`Dialect::capacity`].
    pub fn encode(self, fleet: &str, header: &DatagramHeader, messages: &[Vec<u8>]) -> Vec<u8> {
        let mut content = self.encode_header(header);
        match self {
            Dialect::Current => content.extend(messages.concat()),
            Dialect::Later => append_with_additions(&mut content, messages),
        }
        let mut datagram = fleet_hash(fleet, &content).to_be_bytes().to_vec();
        datagram.extend(content);
        datagram
    }

    fn encode_header(self, header: &DatagramHeader) -> Vec<u8> {
        let mut body = encode_body(header);
        let mut version = VERSION;
        if self == Dialect::Later {
            body.extend(LATER_ADDITION);
            version += 1;
        }
        let mut encoded = vec![version];
        encoded.extend((body.len() as u16).to_be_bytes());
        encoded.extend(body);
        encoded
    }
}

/// Membership messages fill at most two thirds of a datagram and get no addition, for they aren't this program's.
fn append_with_additions(content: &mut Vec<u8>, messages: &[Vec<u8>]) {
    let mut additions_left = LATER_ADDITIONS_BYTES;
    for message in messages {
        if message[0] == MEMBERSHIP || additions_left <= MIN_ADDITIONS_LEFT {
            content.extend(message);
            continue;
        }
        additions_left -= LATER_ADDITION.len();
        let length = u16::from_be_bytes([message[1], message[2]]) + LATER_ADDITION.len() as u16;
        content.push(message[0]);
        content.extend(length.to_be_bytes());
        content.extend(&message[1 + LENGTH_BYTES..]);
        content.extend(LATER_ADDITION);
    }
    content.extend([UNKNOWN_KIND, 0, LATER_ADDITION.len() as u8]);
    content.extend(LATER_ADDITION);
}

/// The part of a datagram that this version understands.
#[derive(Clone, Debug, PartialEq)]
pub struct Datagram {
    /// The header.
    pub header: DatagramHeader,
    /// Messages of known kinds, in the order sent.
    pub messages: Vec<Message>,
}

/// Decodes a datagram of this fleet.
///
/// # Errors
/// See [`DecodeError`]. Messages that aren't understood are no error; they are left out.
pub fn decode_datagram(fleet: &str, bytes: &[u8]) -> Result<Datagram, DecodeError> {
    let (hash, rest) = bytes.split_first_chunk().ok_or(DecodeError::Malformed)?;
    if u64::from_be_bytes(*hash) != fleet_hash(fleet, rest) {
        return Err(DecodeError::Malformed);
    }
    let (version, rest) = rest.split_first().ok_or(DecodeError::Malformed)?;
    if *version < MIN_VERSION {
        return Err(DecodeError::UnsupportedVersion(*version));
    }
    let (header, rest) = split_with_length(rest)?;
    let header = decode_body(header).ok_or(DecodeError::UnsupportedVersion(*version))?;
    let messages = decode_messages(rest)?;
    Ok(Datagram { header, messages })
}

fn decode_messages(mut rest: &[u8]) -> Result<Vec<Message>, DecodeError> {
    let mut messages = Vec::new();
    while let Some((kind, after_kind)) = rest.split_first() {
        let (body, after_body) = split_with_length(after_kind)?;
        messages.extend(Message::decode(*kind, body));
        rest = after_body;
    }
    Ok(messages)
}

/// Splits off a part that follows its length; returns it and the rest.
fn split_with_length(bytes: &[u8]) -> Result<(&[u8], &[u8]), DecodeError> {
    let (length, rest) = bytes.split_first_chunk().ok_or(DecodeError::Malformed)?;
    let length = usize::from(u16::from_be_bytes(*length));
    rest.split_at_checked(length).ok_or(DecodeError::Malformed)
}
