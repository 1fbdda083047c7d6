//! Queues of what is still to be sent to peers: hashes of ranges, and entries that the peers lack.

use super::{short_hashes, ShortKey};
use crate::codec::Message;
use crate::state::{range_bounds, ReplicatedState};
use asterlatch::time::Timestamp;
use std::collections::{BTreeSet, VecDeque};

/// Maximum number of entries in one [`Message::RangeHashes`].
const MAX_HASHES_PER_MESSAGE: usize = 120;
/// Queue limit for one peer; items beyond it are left to the peer's next round.
const MAX_PENDING_ITEMS: usize = 16_384;

/// A queued item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum PendingItem {
    /// The entry with this key hash.
    Entry(u64),
    /// Marks that all hashes of this round were sent.
    HashesComplete(u32),
    /// Marks that all entries of a range request in this round were sent.
    RequestComplete(u32),
}

/// The queue of one peer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct PendingTransfer {
    round: u32,
    /// Ranges whose hashes are still to be sent.
    ranges: VecDeque<usize>,
    /// Lowest key hash of the first range that is still to be sent.
    next_key_hash: u64,
    /// Parts of ranges sent in this round.
    parts_sent: u32,
    items: VecDeque<PendingItem>,
}

/// Progress of the queue once a message is sent.
pub(super) enum TransferStep {
    /// The first item is complete.
    Item,
    /// A part of the first range is complete; the range continues at key hash `next`, or ends.
    RangePart { next: Option<u64> },
}

/// The next message to a peer, with the step to complete once it is sent.
pub(super) struct NextMessage {
    pub(super) message: Message,
    pub(super) step: TransferStep,
}

impl PendingTransfer {
    pub(super) fn is_empty(&self) -> bool {
        self.ranges.is_empty() && self.items.is_empty()
    }

    /// Queues the hashes of these ranges in reply to a round. Hashes of an earlier round are dropped; entries
    /// requested in it are not.
    pub(super) fn start_round(&mut self, round: u32, ranges: VecDeque<usize>) {
        self.round = round;
        self.ranges = ranges;
        self.next_key_hash = 0;
        self.parts_sent = 0;
        self.items
            .retain(|item| !matches!(item, PendingItem::HashesComplete(_)));
        self.items.push_front(PendingItem::HashesComplete(round));
    }

    /// Queues entries that the peer lacks.
    pub(super) fn add_entries(&mut self, key_hashes: impl IntoIterator<Item = u64>) {
        self.items.extend(key_hashes.into_iter().map(PendingItem::Entry));
        self.items.truncate(MAX_PENDING_ITEMS);
    }

    /// Queues the entries of a range request, and the mark that ends them.
    pub(super) fn add_request(
        &mut self,
        round: u32,
        range: usize,
        keys: &BTreeSet<ShortKey>,
        state: &ReplicatedState,
    ) {
        let found = state
            .entries_in_range(range)
            .filter(|entry| keys.contains(&short_hashes(entry).key))
            .map(|entry| entry.hashes.key);
        self.add_entries(found);
        self.items.push_back(PendingItem::RequestComplete(round));
    }

    /// Returns the next message: first hashes, because the peer waits for them, then items.
    pub(super) fn next(&mut self, now: Timestamp, state: &ReplicatedState) -> Option<NextMessage> {
        match self.ranges.front() {
            Some(range) => Some(self.next_range_part(*range, state)),
            None => self.next_item(now, state),
        }
    }

    fn next_range_part(&self, range: usize, state: &ReplicatedState) -> NextMessage {
        let (range_lowest, range_highest) = range_bounds(range);
        let lowest = self.next_key_hash.max(range_lowest);
        let entries: Vec<_> = state
            .entries_between(lowest, range_highest)
            .take(MAX_HASHES_PER_MESSAGE + 1)
            .collect();
        let highest = match entries.get(MAX_HASHES_PER_MESSAGE) {
            Some(first_of_next_part) => first_of_next_part.hashes.key - 1,
            None => range_highest,
        };
        let part = entries.into_iter().take(MAX_HASHES_PER_MESSAGE);
        NextMessage {
            message: Message::RangeHashes {
                round: self.round,
                range: range as u8,
                lowest,
                highest,
                entries: part.map(short_hashes).collect(),
            },
            step: TransferStep::RangePart {
                next: (highest < range_highest).then_some(highest.wrapping_add(1)),
            },
        }
    }

    fn next_item(&mut self, now: Timestamp, state: &ReplicatedState) -> Option<NextMessage> {
        loop {
            let message = match *self.items.front()? {
                PendingItem::HashesComplete(round) => Message::RoundComplete {
                    round,
                    parts: Some(self.parts_sent),
                },
                PendingItem::RequestComplete(round) => Message::RoundComplete { round, parts: None },
                PendingItem::Entry(key_hash) => {
                    let Some(entry) = state.entry_by_hash(key_hash) else {
                        // The record has expired since.
                        self.items.pop_front();
                        continue;
                    };
                    Message::Record {
                        record: entry.record.clone(),
                        age: entry.age(now),
                    }
                }
            };
            let step = TransferStep::Item;
            return Some(NextMessage { message, step });
        }
    }

    /// Records that the message of this step was sent.
    pub(super) fn complete(&mut self, step: &TransferStep) {
        match step {
            TransferStep::Item => {
                self.items.pop_front();
            }
            TransferStep::RangePart { next: Some(next) } => {
                self.next_key_hash = *next;
                self.parts_sent += 1;
            }
            TransferStep::RangePart { next: None } => {
                self.ranges.pop_front();
                self.next_key_hash = 0;
                self.parts_sent += 1;
            }
        }
    }
}
