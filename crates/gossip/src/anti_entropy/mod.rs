//! Anti-entropy: how copies become equal, whatever datagrams were lost.
//!
//! A round has three steps. The initiator sends its digest of each range to a peer. The peer answers for each range that
//! differs with truncated hashes of its entries. Then each side sends what the other lacks. An interrupted round has
//! repaired whatever came through; the next one finds the rest. Each message waits until the rate limit allows it.
//!
//! A driver whose copy may be incomplete says so, and peers don't rely on it.

mod pending;
mod sync_state;

pub use sync_state::{PeerView, SyncState};

use crate::codec::{Message, ShortHashes};
use crate::state::{range_of, Entry, ReplicatedState, RANGE_COUNT};
use asterlatch::time::{TimeSpan, Timestamp};
use pending::PendingTransfer;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Most keys in one [`Message::RangeRequest`].
const KEYS_PER_REQUEST: usize = 200;

/// The truncated hash of a key.
type ShortKey = u32;

/// A part of a range as a peer holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RangePart<'a> {
    /// Lowest key hash of the part.
    pub lowest: u64,
    /// Highest key hash of the part.
    pub highest: u64,
    /// The peer's entries in between.
    pub entries: &'a [ShortHashes],
}

/// Where a requested entry lies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct EntryPlace {
    range: u8,
    key: ShortKey,
}

/// An entry that was requested from the peer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct RequestedEntry {
    range: u8,
    /// Content hash of this driver's version at that time; zero if it had none.
    content_before: u32,
}

/// Identifies a part of a range by its range and lowest key hash.
type PartKey = (u8, u64);

/// A round that this driver started.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Round {
    number: u32,
    peer: usize,
    deadline: Timestamp,
    /// Whether the peer was caught up when the round started.
    with_caught_up_peer: bool,
    received_parts: BTreeSet<PartKey>,
    /// How many parts there are, once the peer said so.
    part_count: Option<u32>,
    requested: BTreeMap<ShortKey, RequestedEntry>,
}

/// The anti-entropy protocol of one driver.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AntiEntropy {
    /// Whether this driver's copy is complete.
    pub sync_state: SyncState,
    /// Longest time to wait for a peer.
    patience: TimeSpan,
    last_round: u32,
    round: Option<Round>,
    pending: BTreeMap<usize, PendingTransfer>,
    /// Peers with which a round has completed since this driver fell behind.
    completed_peers: BTreeSet<usize>,
    /// Whether one of them was caught up.
    has_complete_round: bool,
    now: Timestamp,
}

fn short_hashes(entry: &Entry) -> ShortHashes {
    ShortHashes {
        // The upper 6 bits are the range.
        key: (entry.hashes.key >> 26) as u32,
        content: entry.hashes.content as u32,
    }
}

impl AntiEntropy {
    /// `patience` is the longest time to wait for a peer.
    pub fn new(now: Timestamp, patience: TimeSpan) -> AntiEntropy {
        AntiEntropy {
            sync_state: SyncState::Behind { since: now },
            patience,
            last_round: 0,
            round: None,
            pending: BTreeMap::new(),
            completed_peers: BTreeSet::new(),
            has_complete_round: false,
            now,
        }
    }

    /// Whether this driver's copy may be incomplete.
    pub fn is_behind(&self) -> bool {
        self.sync_state != SyncState::CaughtUp
    }

    /// This driver was absent or isolated, so its copy may be incomplete.
    pub fn fall_behind(&mut self, now: Timestamp) {
        self.sync_state = SyncState::Behind { since: now };
        self.round = None;
        self.has_complete_round = false;
        self.completed_peers.clear();
    }

    /// Decides anew whether this driver is caught up; returns whether that changed.
    pub fn update_sync_state(&mut self, now: Timestamp, view: &PeerView) -> bool {
        self.now = now;
        let next = self.next_sync_state(view);
        std::mem::replace(&mut self.sync_state, next) != next
    }

    /// The peer of the next round. While this driver is behind: one that is caught up, else one without a completed round.
    pub fn choose_peer(&self, view: &PeerView, rng: &mut fastrand::Rng) -> Option<usize> {
        let without_round: Vec<usize> = view
            .reachable
            .iter()
            .copied()
            .filter(|peer| !self.completed_peers.contains(peer))
            .collect();
        let candidates = if !self.is_behind() {
            view.reachable
        } else if !view.caught_up.is_empty() {
            view.caught_up
        } else if !without_round.is_empty() {
            &without_round
        } else {
            view.reachable
        };
        rng.choice(candidates).copied()
    }

    /// Starts a round unless one is running; returns its first message.
    pub fn begin_round(
        &mut self,
        now: Timestamp,
        peer: usize,
        is_peer_caught_up: bool,
        state: &ReplicatedState,
    ) -> Option<Message> {
        if self.round.as_ref().is_some_and(|round| now < round.deadline) {
            return None;
        }
        self.last_round += 1;
        self.round = Some(Round {
            number: self.last_round,
            peer,
            deadline: now + self.patience,
            with_caught_up_peer: is_peer_caught_up,
            received_parts: BTreeSet::new(),
            part_count: None,
            requested: BTreeMap::new(),
        });
        Some(Message::Digest {
            round: self.last_round,
            digests: state.digests(),
        })
    }

    /// A peer started a round: hashes of the ranges that differ are to be sent.
    pub fn on_digest(&mut self, peer: usize, round: u32, digests: &[u64], state: &ReplicatedState) {
        let own = state.digests();
        let different: VecDeque<usize> = (0..RANGE_COUNT)
            .filter(|range| digests.get(*range) != own.get(*range))
            .collect();
        let transfer = self.pending.entry(peer).or_default();
        transfer.start_round(round, different);
    }

    /// A peer sent its entries in a part of a range: returns requests for what this driver lacks, and queues what the
    /// peer lacks.
    pub fn on_range_hashes(
        &mut self,
        peer: usize,
        round: u32,
        part: RangePart,
        state: &ReplicatedState,
    ) -> Vec<Message> {
        let Some(own_round) = running_round(&mut self.round, peer, round) else {
            return Vec::new();
        };
        let theirs: BTreeMap<ShortKey, u32> = part
            .entries
            .iter()
            .map(|hashes| (hashes.key, hashes.content))
            .collect();
        let mut ours: BTreeMap<ShortKey, u32> = BTreeMap::new();
        let mut lacking_there = Vec::new();
        for entry in state.entries_between(part.lowest, part.highest) {
            let hashes = short_hashes(entry);
            ours.insert(hashes.key, hashes.content);
            if theirs.get(&hashes.key) != Some(&hashes.content) {
                lacking_there.push(entry.hashes.key);
            }
        }
        let lacking_here: Vec<ShortKey> = theirs
            .iter()
            .filter(|(key, content)| ours.get(key) != Some(content))
            .map(|(key, _)| *key)
            .collect();
        let range = range_of(part.lowest) as u8;
        own_round.received_parts.insert((range, part.lowest));
        own_round.note_requested(range, &lacking_here, &ours);
        let transfer = self.pending.entry(peer).or_default();
        transfer.add_entries(lacking_there);
        range_requests(round, range, &lacking_here)
    }

    /// A peer requested entries.
    pub fn on_range_request(
        &mut self,
        peer: usize,
        round: u32,
        range: u8,
        keys: &[u32],
        state: &ReplicatedState,
    ) {
        let keys: BTreeSet<ShortKey> = keys.iter().copied().collect();
        let transfer = self.pending.entry(peer).or_default();
        transfer.add_request(round, usize::from(range), &keys, state);
    }

    /// A peer has sent all hashes of this driver's round, in `parts` parts, or all entries of a request. Returns whether
    /// that completes the round.
    ///
    /// Datagrams sent before this one may be lost. So the round completes only once all parts were received and all
    /// requested entries have changed.
    pub fn on_round_complete(
        &mut self,
        peer: usize,
        round: u32,
        parts: Option<u32>,
        state: &ReplicatedState,
    ) -> bool {
        let Some(own_round) = running_round(&mut self.round, peer, round) else {
            return false;
        };
        own_round.part_count = own_round.part_count.or(parts);
        if !own_round.is_complete(state) {
            return false;
        }
        self.has_complete_round |= own_round.with_caught_up_peer;
        self.completed_peers.insert(peer);
        self.round = None;
        true
    }

    /// Whether anything waits to be sent.
    pub fn has_pending(&self) -> bool {
        self.pending.values().any(|transfer| !transfer.is_empty())
    }

    /// Drops everything about a peer that is down.
    pub fn remove_peer(&mut self, peer: usize) {
        self.pending.remove(&peer);
        self.completed_peers.remove(&peer);
        self.round.take_if(|round| round.peer == peer);
    }

    /// Offers the next message for each peer in rotation, until `try_send` declines one.
    pub fn send_pending(
        &mut self,
        now: Timestamp,
        state: &ReplicatedState,
        mut try_send: impl FnMut(usize, &Message) -> bool,
    ) {
        let mut peers: VecDeque<usize> = self.pending.keys().copied().collect();
        while let Some(peer) = peers.pop_front() {
            let Some(transfer) = self.pending.get_mut(&peer) else {
                continue;
            };
            let Some(next) = transfer.next(now, state) else {
                self.pending.remove(&peer);
                continue;
            };
            if !try_send(peer, &next.message) {
                return;
            }
            transfer.complete(&next.step);
            peers.push_back(peer);
        }
    }
}

/// The running round if it has this number and peer.
fn running_round(current: &mut Option<Round>, peer: usize, number: u32) -> Option<&mut Round> {
    current
        .as_mut()
        .filter(|round| round.number == number && round.peer == peer)
}

fn range_requests(round: u32, range: u8, keys: &[ShortKey]) -> Vec<Message> {
    keys.chunks(KEYS_PER_REQUEST)
        .map(|keys| Message::RangeRequest {
            round,
            range,
            keys: keys.to_vec(),
        })
        .collect()
}

impl Round {
    fn note_requested(&mut self, range: u8, keys: &[ShortKey], ours: &BTreeMap<ShortKey, u32>) {
        for key in keys {
            let content_before = ours.get(key).copied().unwrap_or(0);
            let requested = RequestedEntry {
                range,
                content_before,
            };
            self.requested.insert(*key, requested);
        }
    }

    fn is_complete(&self, state: &ReplicatedState) -> bool {
        if self.part_count != Some(self.received_parts.len() as u32) {
            return false;
        }
        let contents = self.contents_of_requested_ranges(state);
        self.requested.iter().all(|(key, requested)| {
            let place = EntryPlace {
                range: requested.range,
                key: *key,
            };
            contents
                .get(&place)
                .is_some_and(|content| *content != requested.content_before)
        })
    }

    fn contents_of_requested_ranges(&self, state: &ReplicatedState) -> BTreeMap<EntryPlace, u32> {
        let ranges: BTreeSet<u8> = self.requested.values().map(|entry| entry.range).collect();
        let mut contents = BTreeMap::new();
        for range in ranges {
            for entry in state.entries_in_range(usize::from(range)) {
                let ShortHashes { key, content } = short_hashes(entry);
                contents.insert(EntryPlace { range, key }, content);
            }
        }
        contents
    }
}
