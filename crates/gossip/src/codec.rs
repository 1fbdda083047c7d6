//! Encoding of datagrams: a hash, a version and a header, then messages, each with a kind, a length and a
//! body.
//!
//! Unknown message kinds and trailing bytes are skipped, so that different versions can exchange what both
//! know. The hash covers everything after it and is seeded with the fleet's name, so that damaged datagrams
//! and datagrams of other fleets are rejected. Integers of the framing are big-endian; the header and bodies
//! are encoded by `postcard`.

use crate::in_doubt::DispatchStatus;
use crate::record::{Record, ALL_KINDS};
use asterlatch::time::{TimeSpan, Timestamp};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Version of the header. Messages have no version, because a message kind is never reassigned.
pub const VERSION: u8 = 1;
/// The oldest supported version.
pub const MIN_VERSION: u8 = 1;
/// Datagram limit below the MTU of common networks, so that datagrams aren't fragmented.
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
    /// Send time by the sender's clock; comparable only to send times of the same incarnation.
    pub sent_at: Timestamp,
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
    /// Distinguishes successive inquiries about the same statement.
    pub sequence: u32,
}

/// Truncated hashes of an entry of the replicated state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ShortHashes {
    /// Truncated hash of the key.
    pub key: u32,
    /// Truncated hash of the whole record.
    pub content: u32,
}

/// A message in a datagram.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// An opaque message of the membership protocol.
    Membership(Vec<u8>),
    /// A record.
    Record {
        /// The record.
        record: Record,
        /// Time from its observation to the sending of the message.
        age: TimeSpan,
    },
    /// Starts an anti-entropy round.
    Digest {
        /// Number of the round.
        round: u32,
        /// The sender's digests, by range index.
        digests: Vec<u64>,
    },
    /// Hashes of the sender's entries in a part of a range.
    RangeHashes {
        /// Number of the round.
        round: u32,
        /// Index of the range.
        range: u8,
        /// Lowest key hash of this part.
        lowest: u64,
        /// Highest key hash of this part.
        highest: u64,
        /// Hashes of the entries in between, in key hash order.
        entries: Vec<ShortHashes>,
    },
    /// Requests entries that the sender lacks or holds in another version.
    RangeRequest {
        /// Number of the round.
        round: u32,
        /// Index of the range.
        range: u8,
        /// Truncated key hashes of the entries.
        keys: Vec<u32>,
    },
    /// Marks the end of the range hashes of a round, or of the entries of a range request.
    RoundComplete {
        /// Number of the round.
        round: u32,
        /// Number of [`Message::RangeHashes`] sent in the round; `None` at the end of a range request's
        /// entries.
        parts: Option<u32>,
    },
    /// Asks whether the receiver dispatched a statement.
    Inquiry(InquiryId),
    /// Replies to an inquiry.
    InquiryReply {
        /// The inquiry replied to.
        inquiry: InquiryId,
        /// What the sender knows of the statement.
        status: DispatchStatus,
    },
}

/// Why a datagram cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The datagram is damaged, from another fleet, or not a gossip datagram at all.
    #[error("datagram is damaged or from another fleet")]
    Malformed,
    /// The version is below [`MIN_VERSION`], or its header cannot be decoded.
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

/// Ignores trailing bytes, which a later version may have added.
fn decode_body<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Option<T> {
    postcard::take_from_bytes(bytes).ok().map(|(value, _)| value)
}

impl Message {
    /// Encodes the message with its kind and length.
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

    /// Returns `None` for an unknown kind or an invalid body. The message is skipped like a lost one: peers
    /// repeat whatever matters.
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
        // The record comes last, so that fields added by a later version are trailing bytes.
        let (age, record): (TimeSpan, Record) = decode_body(body)?;
        (record.kind().wire_number() == kind).then_some(Message::Record { record, age })
    }
}

fn fleet_hash(fleet: &str, bytes: &[u8]) -> u64 {
    xxh3_64_with_seed(bytes, xxh3_64_with_seed(fleet.as_bytes(), 0))
}

/// Format in which datagrams are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Dialect {
    /// The format of [`VERSION`].
    #[default]
    Current,
    /// A simulated later version: a higher version number, trailing bytes after the header and after
    /// messages, and a message of an unknown kind. Used only in tests of fleets with mixed versions.
    Later,
}

/// Trailing bytes that simulate fields of a later version.
const LATER_ADDITION: &[u8] = b"more";
const UNKNOWN_KIND: u8 = 250;
/// Bytes of a datagram that are reserved for simulated additions.
const LATER_ADDITIONS_BYTES: usize = 200;
/// No message is extended once this many reserved bytes or fewer are left.
const MIN_ADDITIONS_BYTES_LEFT: usize = 20;

impl Dialect {
    /// Number of bytes available for messages in a datagram with this header.
    pub fn capacity(self, header: &DatagramHeader) -> usize {
        let additions = match self {
            Dialect::Current => 0,
            Dialect::Later => LATER_ADDITIONS_BYTES,
        };
        MAX_DATAGRAM_BYTES - HASH_BYTES - VERSION_BYTES - LENGTH_BYTES - encode_body(header).len() - additions
    }

    /// Encodes a datagram. The encoded messages together must not exceed [`Dialect::capacity`].
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

/// Extends messages as a later version might. Membership messages are not extended: the library defines their
/// format.
fn append_with_additions(content: &mut Vec<u8>, messages: &[Vec<u8>]) {
    let mut additions_left = LATER_ADDITIONS_BYTES;
    for message in messages {
        if message[0] == MEMBERSHIP || additions_left <= MIN_ADDITIONS_BYTES_LEFT {
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

/// The decoded part of a datagram.
#[derive(Clone, Debug, PartialEq)]
pub struct Datagram {
    /// Identifies the sender.
    pub header: DatagramHeader,
    /// Messages of known kinds, in the order of the datagram.
    pub messages: Vec<Message>,
}

/// Decodes a datagram of this fleet.
///
/// # Errors
/// See [`DecodeError`]. Messages that cannot be decoded are skipped without an error.
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

/// Splits off a length-prefixed part; returns the part and the rest.
fn split_with_length(bytes: &[u8]) -> Result<(&[u8], &[u8]), DecodeError> {
    let (length, rest) = bytes.split_first_chunk().ok_or(DecodeError::Malformed)?;
    let length = usize::from(u16::from_be_bytes(*length));
    rest.split_at_checked(length).ok_or(DecodeError::Malformed)
}
