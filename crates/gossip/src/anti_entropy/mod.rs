//! Anti-entropy: comparison and repair of copies after datagram loss.
//!
//! A round has three steps. The initiator sends its digest of each range to a peer. For each range that
//! differs the peer replies with truncated hashes of its entries. Then each side sends the entries that the
//! other lacks. What an interrupted round has transferred remains; the next round transfers the rest.
//! Messages are subject to the rate limit.
//!
//! A driver whose copy may be incomplete reports that in its datagrams, and peers don't rely on its copy.

mod pending;
mod sync_state;

pub use sync_state::{PeerView, SyncState};

use crate::codec::{Message, ShortHashes};
use crate::state::{range_of, Entry, ReplicatedState, RANGE_COUNT};
use asterlatch::time::{TimeSpan, Timestamp};
use pending::PendingTransfer;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Maximum number of keys in one [`Message::RangeRequest`].
const MAX_KEYS_PER_REQUEST: usize = 200;

/// Truncated hash of a key.
type ShortKey = u32;

/// A peer's entries in a part of a range.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RangePart<'a> {
    /// Lowest key hash of the part.
    pub lowest: u64,
    /// Highest key hash of the part.
    pub highest: u64,
    /// Hashes of the peer's entries in between.
    pub entries: &'a [ShortHashes],
}

/// Identifies an entry; truncated key hashes of different ranges may be equal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct EntryId {
    range: u8,
    key: ShortKey,
}

/// An entry requested from the peer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct RequestedEntry {
    range: u8,
    /// Content hash of the local version at the time of the request; zero if there was none.
    previous_content: u32,
}

/// Identifies a part of a range by its range and lowest key hash.
type PartKey = (u8, u64);

/// A round that this driver started.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Round {
    number: u32,
    peer: usize,
    deadline: Timestamp,
    /// Whether the peer was caught up at the start of the round.
    with_caught_up_peer: bool,
    received_parts: BTreeSet<PartKey>,
    /// Number of parts, once the peer has reported it.
    part_count: Option<u32>,
    requested: BTreeMap<ShortKey, RequestedEntry>,
}

/// The anti-entropy protocol of one driver.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AntiEntropy {
    /// Whether this driver's copy is complete.
    pub sync_state: SyncState,
    /// Maximum time to wait for a peer.
    peer_timeout: TimeSpan,
    last_round: u32,
    round: Option<Round>,
    pending: BTreeMap<usize, PendingTransfer>,
    /// Peers with which a round has completed since this driver became behind.
    completed_peers: BTreeSet<usize>,
    /// Whether one of these rounds was with a caught-up peer.
    has_round_with_caught_up_peer: bool,
    now: Timestamp,
}

fn short_hashes(entry: &Entry) -> ShortHashes {
    ShortHashes {
        // Without the upper 6 bits, which are the range index.
        key: (entry.hashes.key >> 26) as u32,
        content: entry.hashes.content as u32,
    }
}

impl AntiEntropy {
    /// `peer_timeout` is the maximum time to wait for a peer.
    pub fn new(now: Timestamp, peer_timeout: TimeSpan) -> AntiEntropy {
        AntiEntropy {
            sync_state: SyncState::Behind { since: now },
            peer_timeout,
            last_round: 0,
            round: None,
            pending: BTreeMap::new(),
            completed_peers: BTreeSet::new(),
            has_round_with_caught_up_peer: false,
            now,
        }
    }

    /// Whether this driver's copy may be incomplete.
    pub fn is_behind(&self) -> bool {
        self.sync_state != SyncState::CaughtUp
    }

    /// Marks this driver's copy as possibly incomplete, after a suspension or isolation.
    pub fn mark_behind(&mut self, now: Timestamp) {
        self.sync_state = SyncState::Behind { since: now };
        self.round = None;
        self.has_round_with_caught_up_peer = false;
        self.completed_peers.clear();
    }

    /// Re-evaluates whether this driver is caught up; returns whether the state has changed.
    pub fn update_sync_state(&mut self, now: Timestamp, view: &PeerView) -> bool {
        self.now = now;
        let next = self.next_sync_state(view);
        std::mem::replace(&mut self.sync_state, next) != next
    }

    /// Chooses the peer of the next round at random. While this driver is behind, a caught-up peer is
    /// preferred, then one without a completed round.
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

    /// Starts a round unless one is running; returns the message for the peer.
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
            deadline: now + self.peer_timeout,
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

    /// Handles the first message of a peer's round: queues hashes of the ranges that differ.
    pub fn on_digest(&mut self, peer: usize, round: u32, digests: &[u64], state: &ReplicatedState) {
        let local_digests = state.digests();
        let different: VecDeque<usize> = (0..RANGE_COUNT)
            .filter(|range| digests.get(*range) != local_digests.get(*range))
            .collect();
        let transfer = self.pending.entry(peer).or_default();
        transfer.start_round(round, different);
    }

    /// Handles a peer's hashes of a part of a range: queues entries that the peer lacks, and returns requests
    /// for entries that this driver lacks.
    pub fn on_range_hashes(
        &mut self,
        peer: usize,
        round: u32,
        part: RangePart,
        state: &ReplicatedState,
    ) -> Vec<Message> {
        let Some(local_round) = running_round(&mut self.round, peer, round) else {
            return Vec::new();
        };
        let peer_hashes: BTreeMap<ShortKey, u32> = part
            .entries
            .iter()
            .map(|hashes| (hashes.key, hashes.content))
            .collect();
        let mut local_hashes: BTreeMap<ShortKey, u32> = BTreeMap::new();
        let mut missing_at_peer = Vec::new();
        for entry in state.entries_between(part.lowest, part.highest) {
            let hashes = short_hashes(entry);
            local_hashes.insert(hashes.key, hashes.content);
            if peer_hashes.get(&hashes.key) != Some(&hashes.content) {
                missing_at_peer.push(entry.hashes.key);
            }
        }
        let missing_locally: Vec<ShortKey> = peer_hashes
            .iter()
            .filter(|(key, content)| local_hashes.get(key) != Some(content))
            .map(|(key, _)| *key)
            .collect();
        let range = range_of(part.lowest) as u8;
        local_round.received_parts.insert((range, part.lowest));
        local_round.record_requested(range, &missing_locally, &local_hashes);
        let transfer = self.pending.entry(peer).or_default();
        transfer.add_entries(missing_at_peer);
        range_requests(round, range, &missing_locally)
    }

    /// Handles a peer's request: queues the entries.
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

    /// Handles the end of the hashes of this driver's round, sent in `parts` parts, or of the entries of a
    /// request. Returns whether the round is complete.
    ///
    /// Earlier datagrams may have been lost, so the round completes only once all parts were received and all
    /// requested entries have changed.
    pub fn on_round_complete(
        &mut self,
        peer: usize,
        round: u32,
        parts: Option<u32>,
        state: &ReplicatedState,
    ) -> bool {
        let Some(local_round) = running_round(&mut self.round, peer, round) else {
            return false;
        };
        local_round.part_count = local_round.part_count.or(parts);
        if !local_round.is_complete(state) {
            return false;
        }
        self.has_round_with_caught_up_peer |= local_round.with_caught_up_peer;
        self.completed_peers.insert(peer);
        self.round = None;
        true
    }

    /// Whether messages are queued.
    pub fn has_pending(&self) -> bool {
        self.pending.values().any(|transfer| !transfer.is_empty())
    }

    /// Removes the state of a peer that is down.
    pub fn remove_peer(&mut self, peer: usize) {
        self.pending.remove(&peer);
        self.completed_peers.remove(&peer);
        self.round.take_if(|round| round.peer == peer);
    }

    /// Offers the next message for each peer to `try_send`, in rotation, until it declines one.
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

/// The running round, if it has this number and peer.
fn running_round(current: &mut Option<Round>, peer: usize, number: u32) -> Option<&mut Round> {
    current
        .as_mut()
        .filter(|round| round.number == number && round.peer == peer)
}

fn range_requests(round: u32, range: u8, keys: &[ShortKey]) -> Vec<Message> {
    keys.chunks(MAX_KEYS_PER_REQUEST)
        .map(|keys| Message::RangeRequest {
            round,
            range,
            keys: keys.to_vec(),
        })
        .collect()
}

impl Round {
    fn record_requested(&mut self, range: u8, keys: &[ShortKey], local_hashes: &BTreeMap<ShortKey, u32>) {
        for key in keys {
            let previous_content = local_hashes.get(key).copied().unwrap_or(0);
            let requested = RequestedEntry {
                range,
                previous_content,
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
            let id = EntryId {
                range: requested.range,
                key: *key,
            };
            contents
                .get(&id)
                .is_some_and(|content| *content != requested.previous_content)
        })
    }

    fn contents_of_requested_ranges(&self, state: &ReplicatedState) -> BTreeMap<EntryId, u32> {
        let ranges: BTreeSet<u8> = self.requested.values().map(|entry| entry.range).collect();
        let mut contents = BTreeMap::new();
        for range in ranges {
            for entry in state.entries_in_range(usize::from(range)) {
                let ShortHashes { key, content } = short_hashes(entry);
                contents.insert(EntryId { range, key }, content);
            }
        }
        contents
    }
}
