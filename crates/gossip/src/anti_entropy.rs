//! How copies come to be equal, whatever was lost. A driver sends what its copy comes to, by range, to a peer; that one
//! answers for each range that differs with hashes of what it holds there; both then send each other what the other lacks.
//! A round that breaks off has mended what came through; the next one finds the rest. Nothing large is ever sent at once:
//! each part waits until the rate has room for it.
//!
//! A driver that has not caught up says so, and others don't take its copy for whole.

use crate::codec::Message;
use crate::state::{range_of, ReplicatedState, RANGE_COUNT};
use asterlatch::time::{TimeSpan, Timestamp};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Hashes in one part of a range.
const HASHES_PER_MESSAGE: usize = 120;
/// Keys in one wish.
const KEYS_PER_REQUEST: usize = 200;
/// What one peer may be pending at most; more is left to its next round.
const MAX_PENDING_ITEMS: usize = 16_384;

/// A round that this driver began.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Round {
    number: u32,
    peer: usize,
    until: Timestamp,
    /// The peer was caught up when it was chosen.
    with_caught_up: bool,
    /// Parts of the hashes that came, and how many there are, once that is told.
    parts: BTreeSet<(u8, u64)>,
    all: Option<u32>,
    /// Entries that were asked for: where they lie, and what of them was here by then.
    wanted: BTreeMap<u32, (u8, u32)>,
}

/// What a peer is still to be sent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct PendingTransfer {
    round: u32,
    /// Ranges of which it is to hear the hashes, from where on, and how many parts of that it has been sent.
    ranges: VecDeque<usize>,
    from: u64,
    parts: u32,
    /// Hashes of keys whose entries it is to have, and the round of a wish that ends behind them.
    entries: VecDeque<PendingItem>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum PendingItem {
    Entry(u64),
    /// All hashes were sent, or all that a wish named.
    Hashes(u32),
    End(u32),
}

/// Whether this driver's copy is whole, as far as it can know.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SyncState {
    /// Since then; a round with each of the others ends it.
    Behind(Timestamp),
    CaughtUp,
}

/// What is seen of the others when it is decided whether this one has caught up.
pub struct PeerView<'a> {
    pub there: &'a [usize],
    /// Of those.
    pub caught_up: &'a [usize],
    /// Alone since then.
    pub alone_since: Option<Timestamp>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AntiEntropy {
    pub sync_state: SyncState,
    /// Nobody is waited for longer than this.
    patience: TimeSpan,
    last_round: u32,
    round: Option<Round>,
    pending: BTreeMap<usize, PendingTransfer>,
    /// With whom a round has ended since this driver fell behind.
    completed_peers: BTreeSet<usize>,
    has_complete_round: bool,
    now: Timestamp,
}

/// In this order: the first that holds decides.
const SYNC_RULES: [fn(&AntiEntropy, &PeerView) -> Option<SyncState>; 4] = [
    AntiEntropy::is_caught_up,
    AntiEntropy::completed_with_caught_up_peer,
    AntiEntropy::completed_with_all_peers,
    AntiEntropy::is_alone,
];

fn short_hash(hash: u64) -> u32 {
    (hash >> 26) as u32
}

impl AntiEntropy {
    pub fn new(now: Timestamp, patience: TimeSpan) -> AntiEntropy {
        AntiEntropy {
            sync_state: SyncState::Behind(now),
            patience,
            last_round: 0,
            round: None,
            pending: BTreeMap::new(),
            completed_peers: BTreeSet::new(),
            has_complete_round: false,
            now,
        }
    }

    pub fn is_behind(&self) -> bool {
        self.sync_state != SyncState::CaughtUp
    }

    /// It was away: what it holds may be old.
    pub fn fall_behind(&mut self, now: Timestamp) {
        self.sync_state = SyncState::Behind(now);
        (self.round, self.has_complete_round) = (None, false);
        self.completed_peers.clear();
    }

    fn is_caught_up(&self, _: &PeerView) -> Option<SyncState> {
        (self.sync_state == SyncState::CaughtUp).then_some(SyncState::CaughtUp)
    }

    /// Whoever was whole when the round began has told all it content_before.
    fn completed_with_caught_up_peer(&self, _: &PeerView) -> Option<SyncState> {
        self.has_complete_round.then_some(SyncState::CaughtUp)
    }

    /// Where nobody is whole, all that are there hold together all there is.
    fn completed_with_all_peers(&self, seen: &PeerView) -> Option<SyncState> {
        let all = seen.there.iter().all(|p| self.completed_peers.contains(p));
        let lasted = matches!(self.sync_state, SyncState::Behind(since) if self.now - since >= self.patience);
        (seen.caught_up.is_empty() && !seen.there.is_empty() && all && lasted).then_some(SyncState::CaughtUp)
    }

    fn is_alone(&self, seen: &PeerView) -> Option<SyncState> {
        let lasted = seen.alone_since.is_some_and(|at| self.now - at >= self.patience);
        (seen.there.is_empty() && lasted).then_some(SyncState::CaughtUp)
    }

    /// Whether the sync_state has changed.
    pub fn update_sync_state(&mut self, now: Timestamp, seen: &PeerView) -> bool {
        self.now = now;
        let stands = SYNC_RULES.iter().find_map(|rule| rule(self, seen));
        let stands = stands.unwrap_or(self.sync_state);
        std::mem::replace(&mut self.sync_state, stands) != stands
    }

    /// With whom a round is begun next: whole ones first while this one is behind.
    pub fn choose_peer(&self, seen: &PeerView, chance: &mut fastrand::Rng) -> Option<usize> {
        let fresh: Vec<usize> = seen
            .there
            .iter()
            .copied()
            .filter(|p| !self.completed_peers.contains(p))
            .collect();
        let among = if !self.is_behind() {
            seen.there
        } else if !seen.caught_up.is_empty() {
            seen.caught_up
        } else if !fresh.is_empty() {
            &fresh
        } else {
            seen.there
        };
        chance.choice(among).copied()
    }

    /// Begins a round unless one is under way.
    pub fn begin_round(
        &mut self,
        now: Timestamp,
        peer: usize,
        is_whole: bool,
        state: &ReplicatedState,
    ) -> Option<Message> {
        if self.round.as_ref().is_some_and(|r| now < r.until) {
            return None;
        }
        self.last_round += 1;
        self.round = Some(Round {
            number: self.last_round,
            peer,
            until: now + self.patience,
            with_caught_up: is_whole,
            parts: BTreeSet::new(),
            all: None,
            wanted: BTreeMap::new(),
        });
        Some(Message::Digest {
            round: self.last_round,
            ranges: state.digests(),
        })
    }

    /// A peer compares its copy with this one.
    pub fn on_digest(&mut self, peer: usize, round: u32, ranges: &[u64], state: &ReplicatedState) {
        let own = state.digests();
        let differ = (0..RANGE_COUNT).filter(|r| ranges.get(*r) != own.get(*r));
        let pending = self.pending.entry(peer).or_default();
        // The former round's hashes are of no use any more; requests are served still.
        (pending.round, pending.ranges, pending.from, pending.parts) = (round, differ.collect(), 0, 0);
        pending.entries.retain(|w| !matches!(w, PendingItem::Hashes(_)));
        pending.entries.push_front(PendingItem::Hashes(round));
    }

    /// What a peer holds in a part of a range: this one asks for what it lacks, and lacking_there what the other does.
    pub fn on_range_hashes(
        &mut self,
        peer: usize,
        round: u32,
        (from, upto): (u64, u64),
        pairs: &[(u32, u32)],
        state: &ReplicatedState,
    ) -> Vec<Message> {
        let Some(own) = self
            .round
            .as_mut()
            .filter(|r| r.number == round && r.peer == peer)
        else {
            return Vec::new();
        };
        let theirs: BTreeMap<u32, u32> = pairs.iter().copied().collect();
        let (mut ours, mut lacking_there) = (BTreeMap::new(), Vec::new());
        for entry in state.entries_between(from, upto) {
            let (key, whole) = (short_hash(entry.hashes.0), entry.hashes.1 as u32);
            ours.insert(key, whole);
            if theirs.get(&key) != Some(&whole) {
                lacking_there.push(PendingItem::Entry(entry.hashes.0));
            }
        }
        let lacks = theirs.iter().filter(|(key, whole)| ours.get(key) != Some(whole));
        let lacks: Vec<u32> = lacks.map(|(key, _)| *key).collect();
        let of = range_of(from) as u8;
        own.parts.insert((of, from));
        let content_before = |key: &u32| (*key, (of, ours.get(key).copied().unwrap_or(0)));
        own.wanted.extend(lacks.iter().map(content_before));
        let wish = |keys: &[u32]| Message::RangeRequest {
            round,
            range: of,
            keys: keys.to_vec(),
        };
        let requests: Vec<Message> = lacks.chunks(KEYS_PER_REQUEST).map(wish).collect();
        let pending = self.pending.entry(peer).or_default();
        pending.entries.extend(lacking_there);
        pending.entries.truncate(MAX_PENDING_ITEMS);
        requests
    }

    /// A peer lacks these.
    pub fn on_range_request(
        &mut self,
        peer: usize,
        round: u32,
        of: u8,
        keys: &[u32],
        state: &ReplicatedState,
    ) {
        let wanted: BTreeSet<u32> = keys.iter().copied().collect();
        let pending = self.pending.entry(peer).or_default();
        let found = state.entries_in_range(usize::from(of)).map(|e| e.hashes.0);
        let found = found.filter(|hash| wanted.contains(&short_hash(*hash)));
        pending.entries.extend(found.map(PendingItem::Entry));
        pending.entries.truncate(MAX_PENDING_ITEMS);
        pending.entries.push_back(PendingItem::End(round));
    }

    /// A peer has sent all hashes of this driver's round, in so many parts, or all of a wish; whether that ends it. Of
    /// datagrams that were sent before it some may be lost: it ends only where all parts have come, and all that was asked
    /// for has changed here since.
    pub fn on_round_complete(
        &mut self,
        peer: usize,
        round: u32,
        parts: Option<u32>,
        state: &ReplicatedState,
    ) -> bool {
        let own = self
            .round
            .as_mut()
            .filter(|r| r.number == round && r.peer == peer);
        let Some(own) = own else { return false };
        own.all = own.all.or(parts);
        let heard = own.all == Some(own.parts.len() as u32);
        let mut here: BTreeMap<(u8, u32), u32> = BTreeMap::new();
        let ranges: BTreeSet<u8> = own.wanted.values().map(|(of, _)| *of).collect();
        for of in ranges {
            let entries = state.entries_in_range(usize::from(of));
            here.extend(entries.map(|e| ((of, short_hash(e.hashes.0)), e.hashes.1 as u32)));
        }
        let came = |(key, (of, content_before)): (&u32, &(u8, u32))| {
            here.get(&(*of, *key)).is_some_and(|now| now != content_before)
        };
        if !heard || !own.wanted.iter().all(came) {
            return false;
        }
        self.has_complete_round |= own.with_caught_up;
        self.completed_peers.insert(peer);
        self.round = None;
        true
    }

    /// Whether anything waits to be sent.
    pub fn has_pending(&self) -> bool {
        self.pending
            .values()
            .any(|o| !o.ranges.is_empty() || !o.entries.is_empty())
    }

    /// NodeIdentity is gone is pending nothing.
    pub fn remove_peer(&mut self, peer: usize) {
        self.pending.remove(&peer);
        self.completed_peers.remove(&peer);
        self.round.take_if(|r| r.peer == peer);
    }

    /// The next part for each peer that is pending something, by turns, while `may` lets it.
    pub fn send_pending(
        &mut self,
        now: Timestamp,
        state: &ReplicatedState,
        mut may: impl FnMut(usize, &Message) -> bool,
    ) {
        let mut peers: VecDeque<usize> = self.pending.keys().copied().collect();
        while let Some(peer) = peers.pop_front() {
            let Some(pending) = self.pending.get_mut(&peer) else {
                continue;
            };
            let Some(item) = pending.next(now, state) else {
                self.pending.remove(&peer);
                continue;
            };
            if !may(peer, &item.0) {
                return;
            }
            item.1.apply(pending);
            peers.push_back(peer);
        }
    }
}

/// What is over once an item was sent.
enum Step {
    Entry,
    Range { next: Option<u64> },
}

impl Step {
    fn apply(self, pending: &mut PendingTransfer) {
        match self {
            Step::Entry => drop(pending.entries.pop_front()),
            Step::Range { next: Some(from) } => (pending.from, pending.parts) = (from, pending.parts + 1),
            Step::Range { next: None } => {
                pending.ranges.pop_front();
                (pending.from, pending.parts) = (0, pending.parts + 1);
            }
        }
    }
}

impl PendingTransfer {
    /// Hashes first, for who compares waits for them; then entries.
    fn next(&mut self, now: Timestamp, state: &ReplicatedState) -> Option<(Message, Step)> {
        if let Some(range) = self.ranges.front() {
            let (low, high) = ((*range as u64) << 58, ((*range as u64) << 58) | (u64::MAX >> 6));
            let from = self.from.max(low);
            let part: Vec<_> = state
                .entries_between(from, high)
                .take(HASHES_PER_MESSAGE + 1)
                .collect();
            let upto = match part.get(HASHES_PER_MESSAGE) {
                Some(beyond) => beyond.hashes.0 - 1,
                None => high,
            };
            let pairs = part.iter().take(HASHES_PER_MESSAGE);
            let item = Message::RangeHashes {
                round: self.round,
                range: *range as u8,
                from,
                upto,
                pairs: pairs
                    .map(|e| (short_hash(e.hashes.0), e.hashes.1 as u32))
                    .collect(),
            };
            let next = (upto < high).then_some(upto.wrapping_add(1));
            return Some((item, Step::Range { next }));
        }
        loop {
            match *self.entries.front()? {
                PendingItem::Hashes(round) => {
                    let parts = Some(self.parts);
                    return Some((Message::RoundComplete { round, parts }, Step::Entry));
                }
                PendingItem::End(round) => {
                    return Some((Message::RoundComplete { round, parts: None }, Step::Entry))
                }
                PendingItem::Entry(hash) => match state.entry_by_hash(hash) {
                    Some(entry) => {
                        let item = Message::Record(entry.record.clone(), ReplicatedState::age_of(entry, now));
                        return Some((item, Step::Entry));
                    }
                    // It was let go meanwhile.
                    None => drop(self.entries.pop_front()),
                },
            }
        }
    }
}
