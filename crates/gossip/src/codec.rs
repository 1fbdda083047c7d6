//! Datagrams between drivers: a head, then items of a kind, a length and a body. Kinds and trailing bytes that a driver
//! doesn't know are passed over, so that two versions understand each other as far as both go. A hash over everything,
//! begun with the fleet's name, tells garbled ones and those of another fleet.

use crate::record::{Record, ALL_KINDS};
use asterlatch::time::{TimeSpan, Timestamp};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Of the head. Items need none: a kind is never used for anything else.
pub const VERSION: u8 = 1;
/// The least version that is still understood.
pub const MIN_VERSION: u8 = 1;
/// A datagram that every network takes whole.
pub const MAX_DATAGRAM_BYTES: usize = 1400;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DatagramHeader {
    pub name: String,
    pub incarnation: u64,
    /// By the sender's own clock, which means nothing but against itself.
    pub sent: Timestamp,
    /// The latest incarnation in which the sender knows the receiver.
    pub known_incarnation: u64,
    pub caught_up: bool,
}

/// Which statement is asked about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct InquiryId {
    pub id: u64,
    /// Tells a repeated inquiry of one id from the former.
    pub sequence: u32,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// A message of the membership library.
    Membership(Vec<u8>),
    /// A record, and how long ago it was told.
    Record(Record, TimeSpan),
    /// What the sender's copy comes to, by range.
    Digest {
        round: u32,
        ranges: Vec<u64>,
    },
    /// What a range holds in the sender's copy: hashes of keys and of wholes, cut short. `upto` is the hash up to which
    /// this part of the range goes.
    RangeHashes {
        round: u32,
        range: u8,
        from: u64,
        upto: u64,
        pairs: Vec<(u32, u32)>,
    },
    /// Entries that the sender lacks, by their keys' hashes.
    RangeRequest {
        round: u32,
        range: u8,
        keys: Vec<u32>,
    },
    /// All hashes of this round were sent, in so many parts, or all that a wish asked for.
    RoundComplete {
        round: u32,
        parts: Option<u32>,
    },
    Inquiry(InquiryId),
    InquiryReply(InquiryId, crate::in_doubt::DispatchStatus),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// Neither this program's nor whole, or of another fleet.
    Malformed,
    /// Of a version that isn't understood any more, or not yet.
    UnsupportedVersion(u8),
}

const MEMBERSHIP: u8 = 1;
const DIGEST: u8 = 2;
const RANGE_HASHES: u8 = 3;
const RANGE_REQUEST: u8 = 4;
const ROUND_COMPLETE: u8 = 5;
const INQUIRY: u8 = 6;
const INQUIRY_REPLY: u8 = 7;

fn body<T: Serialize>(value: &T) -> Vec<u8> {
    // Everything here can be written.
    postcard::to_stdvec(value).unwrap_or_default()
}

/// Bytes behind what is known are a later version's.
fn read<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Option<T> {
    postcard::take_from_bytes(bytes).ok().map(|(value, _)| value)
}

impl Message {
    pub fn bytes(&self) -> Vec<u8> {
        let (kind, body) = match self {
            Message::Membership(data) => (MEMBERSHIP, data.clone()),
            Message::Record(record, age) => (record.kind().wire_number(), body(&(age, record))),
            Message::Digest { round, ranges } => (DIGEST, body(&(round, ranges))),
            Message::RangeHashes {
                round,
                range,
                from,
                upto,
                pairs,
            } => (RANGE_HASHES, body(&(round, range, from, upto, pairs))),
            Message::RangeRequest { round, range, keys } => (RANGE_REQUEST, body(&(round, range, keys))),
            Message::RoundComplete { round, parts } => (ROUND_COMPLETE, body(&(round, parts))),
            Message::Inquiry(inquiry) => (INQUIRY, body(inquiry)),
            Message::InquiryReply(inquiry, known) => (INQUIRY_REPLY, body(&(inquiry, known))),
        };
        let length = u16::try_from(body.len()).unwrap_or(u16::MAX);
        [&[kind][..], &length.to_be_bytes(), &body].concat()
    }

    /// None where the kind isn't known or the body makes no sense: whatever is lost is told again.
    fn read(kind: u8, bytes: &[u8]) -> Option<Message> {
        Some(match kind {
            MEMBERSHIP => Message::Membership(bytes.to_vec()),
            DIGEST => {
                let (round, ranges) = read(bytes)?;
                Message::Digest { round, ranges }
            }
            RANGE_HASHES => {
                let (round, range, from, upto, pairs) = read(bytes)?;
                Message::RangeHashes {
                    round,
                    range,
                    from,
                    upto,
                    pairs,
                }
            }
            RANGE_REQUEST => {
                let (round, range, keys) = read(bytes)?;
                Message::RangeRequest { round, range, keys }
            }
            ROUND_COMPLETE => {
                let (round, parts) = read(bytes)?;
                Message::RoundComplete { round, parts }
            }
            INQUIRY => Message::Inquiry(read(bytes)?),
            INQUIRY_REPLY => {
                let (inquiry, known) = read(bytes)?;
                Message::InquiryReply(inquiry, known)
            }
            _ => {
                ALL_KINDS.into_iter().find(|k| k.wire_number() == kind)?;
                // The record comes last: what a later version adds to it lies behind what is read.
                let (age, record): (TimeSpan, Record) = read(bytes)?;
                (record.kind().wire_number() == kind).then_some(Message::Record(record, age))?
            }
        })
    }
}

fn hash(fleet: &str, bytes: &[u8]) -> u64 {
    xxh3_64_with_seed(bytes, xxh3_64_with_seed(fleet.as_bytes(), 0))
}

/// What a driver's datagrams are written as.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Dialect {
    /// This version.
    #[default]
    Current,
    /// As a later version may: a higher number, more behind the head and behind each item, and an item of a kind that
    /// nobody knows. For the laboratory, whose fleets are of two versions then.
    Later,
}

/// What a later version says more, wherever it may.
const MORE: &[u8] = b"more";
const UNKNOWN: u8 = 250;
/// Bytes of a datagram that are left for that.
const MORE_ROOM: usize = 200;

impl Dialect {
    /// How many bytes are left for items, about.
    pub fn room(self, head: &DatagramHeader) -> usize {
        // The library's own messages have nothing behind them, and fill a datagram at most by two thirds.
        let more = if self == Dialect::Later { MORE_ROOM } else { 0 };
        MAX_DATAGRAM_BYTES - 9 - 2 - body(head).len() - more
    }

    /// Items that together are no longer than `room`.
    pub fn datagram(self, fleet: &str, head: &DatagramHeader, items: &[Vec<u8>]) -> Vec<u8> {
        let mut head = body(head);
        let is_later = self == Dialect::Later;
        if is_later {
            head.extend(MORE);
        }
        let mut rest = vec![VERSION + u8::from(is_later)];
        rest.extend((head.len() as u16).to_be_bytes());
        rest.extend(head);
        let mut room = MORE_ROOM;
        for item in items {
            if is_later && item[0] != MEMBERSHIP && room > 20 {
                room -= MORE.len();
                let length = u16::from_be_bytes([item[1], item[2]]) + MORE.len() as u16;
                rest.push(item[0]);
                rest.extend(length.to_be_bytes());
                rest.extend(&item[3..]);
                rest.extend(MORE);
            } else {
                rest.extend(item);
            }
        }
        if is_later {
            rest.extend([UNKNOWN, 0, MORE.len() as u8]);
            rest.extend(MORE);
        }
        let mut all = hash(fleet, &rest).to_be_bytes().to_vec();
        all.extend(rest);
        all
    }
}

/// What came, as far as it is understood.
pub fn read_datagram(fleet: &str, bytes: &[u8]) -> Result<(DatagramHeader, Vec<Message>), DecodeError> {
    let (hashed, rest) = bytes.split_first_chunk::<8>().ok_or(DecodeError::Malformed)?;
    if u64::from_be_bytes(*hashed) != hash(fleet, rest) {
        return Err(DecodeError::Malformed);
    }
    let (version, rest) = rest.split_first().ok_or(DecodeError::Malformed)?;
    if *version < MIN_VERSION {
        return Err(DecodeError::UnsupportedVersion(*version));
    }
    let (length, rest) = rest.split_first_chunk::<2>().ok_or(DecodeError::Malformed)?;
    let length = usize::from(u16::from_be_bytes(*length));
    let (head, mut rest) = rest.split_at_checked(length).ok_or(DecodeError::Malformed)?;
    let head: DatagramHeader = read(head).ok_or(DecodeError::UnsupportedVersion(*version))?;
    let mut items = Vec::new();
    while let Some((kind, more)) = rest.split_first() {
        let (length, more) = more.split_first_chunk::<2>().ok_or(DecodeError::Malformed)?;
        let length = usize::from(u16::from_be_bytes(*length));
        let (bytes, more) = more.split_at_checked(length).ok_or(DecodeError::Malformed)?;
        items.extend(Message::read(*kind, bytes));
        rest = more;
    }
    Ok((head, items))
}
