//! How copies come to be equal, whatever was lost. A driver sends what its copy comes to, by range, to a peer; that one
//! answers for each range that differs with hashes of what it holds there; both then send each other what the other lacks.
//! A round that breaks off has mended what came through; the next one finds the rest. Nothing large is ever sent at once:
//! each part waits until the rate has room for it.
//!
//! A driver that has not caught up says so, and others don't take its copy for whole.

use crate::codec::Item;
use crate::state::{range, Book, RANGES};
use asterlatch::time::{TimeSpan, Timestamp};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Hashes in one part of a range.
const PAIRS: usize = 120;
/// Keys in one wish.
const WISHES: usize = 200;
/// What one peer may be owed at most; more is left to its next round.
const MOST_OWED: usize = 16_384;

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
struct Owed {
    round: u32,
    /// Ranges of which it is to hear the hashes, from where on, and how many parts of that it has been sent.
    ranges: VecDeque<usize>,
    from: u64,
    parts: u32,
    /// Hashes of keys whose entries it is to have, and the round of a wish that ends behind them.
    entries: VecDeque<Wish>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Wish {
    Entry(u64),
    /// All hashes were sent, or all that a wish named.
    Hashes(u32),
    End(u32),
}

/// Whether this driver's copy is whole, as far as it can know.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Standing {
    /// Since then; a round with each of the others ends it.
    Behind(Timestamp),
    CaughtUp,
}

/// What is seen of the others when it is decided whether this one has caught up.
pub struct Seen<'a> {
    pub there: &'a [usize],
    /// Of those.
    pub caught_up: &'a [usize],
    /// Alone since then.
    pub alone_since: Option<Timestamp>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Catchup {
    pub standing: Standing,
    /// Nobody is waited for longer than this.
    patience: TimeSpan,
    numbers: u32,
    round: Option<Round>,
    owed: BTreeMap<usize, Owed>,
    /// With whom a round has ended since this driver fell behind.
    compared: BTreeSet<usize>,
    with_whole: bool,
    now: Timestamp,
}

/// In this order: the first that holds decides.
const RULES: [fn(&Catchup, &Seen) -> Option<Standing>; 4] = [
    Catchup::is_caught_up,
    Catchup::by_one_that_is_whole,
    Catchup::all_woke_together,
    Catchup::nobody_is_there,
];

fn short(hash: u64) -> u32 {
    (hash >> 26) as u32
}

impl Catchup {
    pub fn new(now: Timestamp, patience: TimeSpan) -> Catchup {
        Catchup {
            standing: Standing::Behind(now),
            patience,
            numbers: 0,
            round: None,
            owed: BTreeMap::new(),
            compared: BTreeSet::new(),
            with_whole: false,
            now,
        }
    }

    pub fn is_behind(&self) -> bool {
        self.standing != Standing::CaughtUp
    }

    /// It was away: what it holds may be old.
    pub fn fall_behind(&mut self, now: Timestamp) {
        self.standing = Standing::Behind(now);
        (self.round, self.with_whole) = (None, false);
        self.compared.clear();
    }

    fn is_caught_up(&self, _: &Seen) -> Option<Standing> {
        (self.standing == Standing::CaughtUp).then_some(Standing::CaughtUp)
    }

    /// Whoever was whole when the round began has told all it had.
    fn by_one_that_is_whole(&self, _: &Seen) -> Option<Standing> {
        self.with_whole.then_some(Standing::CaughtUp)
    }

    /// Where nobody is whole, all that are there hold together all there is.
    fn all_woke_together(&self, seen: &Seen) -> Option<Standing> {
        let all = seen.there.iter().all(|p| self.compared.contains(p));
        let lasted = matches!(self.standing, Standing::Behind(since) if self.now - since >= self.patience);
        (seen.caught_up.is_empty() && !seen.there.is_empty() && all && lasted).then_some(Standing::CaughtUp)
    }

    fn nobody_is_there(&self, seen: &Seen) -> Option<Standing> {
        let lasted = seen.alone_since.is_some_and(|at| self.now - at >= self.patience);
        (seen.there.is_empty() && lasted).then_some(Standing::CaughtUp)
    }

    /// Whether the standing has changed.
    pub fn judge(&mut self, now: Timestamp, seen: &Seen) -> bool {
        self.now = now;
        let stands = RULES.iter().find_map(|rule| rule(self, seen));
        let stands = stands.unwrap_or(self.standing);
        std::mem::replace(&mut self.standing, stands) != stands
    }

    /// With whom a round is begun next: whole ones first while this one is behind.
    pub fn choose(&self, seen: &Seen, chance: &mut fastrand::Rng) -> Option<usize> {
        let fresh: Vec<usize> = seen
            .there
            .iter()
            .copied()
            .filter(|p| !self.compared.contains(p))
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
    pub fn begin(&mut self, now: Timestamp, peer: usize, is_whole: bool, book: &Book) -> Option<Item> {
        if self.round.as_ref().is_some_and(|r| now < r.until) {
            return None;
        }
        self.numbers += 1;
        self.round = Some(Round {
            number: self.numbers,
            peer,
            until: now + self.patience,
            with_caught_up: is_whole,
            parts: BTreeSet::new(),
            all: None,
            wanted: BTreeMap::new(),
        });
        Some(Item::Digest {
            round: self.numbers,
            ranges: book.digests(),
        })
    }

    /// A peer compares its copy with this one.
    pub fn compare(&mut self, peer: usize, round: u32, ranges: &[u64], book: &Book) {
        let own = book.digests();
        let differ = (0..RANGES).filter(|r| ranges.get(*r) != own.get(*r));
        let owed = self.owed.entry(peer).or_default();
        // The former round's hashes are of no use any more; wishes are served still.
        (owed.round, owed.ranges, owed.from, owed.parts) = (round, differ.collect(), 0, 0);
        owed.entries.retain(|w| !matches!(w, Wish::Hashes(_)));
        owed.entries.push_front(Wish::Hashes(round));
    }

    /// What a peer holds in a part of a range: this one asks for what it lacks, and owes what the other does.
    pub fn keys(
        &mut self,
        peer: usize,
        round: u32,
        (from, upto): (u64, u64),
        pairs: &[(u32, u32)],
        book: &Book,
    ) -> Vec<Item> {
        let Some(own) = self
            .round
            .as_mut()
            .filter(|r| r.number == round && r.peer == peer)
        else {
            return Vec::new();
        };
        let theirs: BTreeMap<u32, u32> = pairs.iter().copied().collect();
        let (mut ours, mut owes) = (BTreeMap::new(), Vec::new());
        for entry in book.between(from, upto) {
            let (key, whole) = (short(entry.hashes.0), entry.hashes.1 as u32);
            ours.insert(key, whole);
            if theirs.get(&key) != Some(&whole) {
                owes.push(Wish::Entry(entry.hashes.0));
            }
        }
        let lacks = theirs.iter().filter(|(key, whole)| ours.get(key) != Some(whole));
        let lacks: Vec<u32> = lacks.map(|(key, _)| *key).collect();
        let of = range(from) as u8;
        own.parts.insert((of, from));
        let had = |key: &u32| (*key, (of, ours.get(key).copied().unwrap_or(0)));
        own.wanted.extend(lacks.iter().map(had));
        let wish = |keys: &[u32]| Item::Want {
            round,
            range: of,
            keys: keys.to_vec(),
        };
        let wishes: Vec<Item> = lacks.chunks(WISHES).map(wish).collect();
        let owed = self.owed.entry(peer).or_default();
        owed.entries.extend(owes);
        owed.entries.truncate(MOST_OWED);
        wishes
    }

    /// A peer lacks these.
    pub fn wish(&mut self, peer: usize, round: u32, of: u8, keys: &[u32], book: &Book) {
        let wanted: BTreeSet<u32> = keys.iter().copied().collect();
        let owed = self.owed.entry(peer).or_default();
        let found = book.within(usize::from(of)).map(|e| e.hashes.0);
        let found = found.filter(|hash| wanted.contains(&short(*hash)));
        owed.entries.extend(found.map(Wish::Entry));
        owed.entries.truncate(MOST_OWED);
        owed.entries.push_back(Wish::End(round));
    }

    /// A peer has sent all hashes of this driver's round, in so many parts, or all of a wish; whether that ends it. Of
    /// datagrams that were sent before it some may be lost: it ends only where all parts have come, and all that was asked
    /// for has changed here since.
    pub fn done(&mut self, peer: usize, round: u32, parts: Option<u32>, book: &Book) -> bool {
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
            let entries = book.within(usize::from(of));
            here.extend(entries.map(|e| ((of, short(e.hashes.0)), e.hashes.1 as u32)));
        }
        let came =
            |(key, (of, had)): (&u32, &(u8, u32))| here.get(&(*of, *key)).is_some_and(|now| now != had);
        if !heard || !own.wanted.iter().all(came) {
            return false;
        }
        self.with_whole |= own.with_caught_up;
        self.compared.insert(peer);
        self.round = None;
        true
    }

    /// Whether anything waits to be sent.
    pub fn owes(&self) -> bool {
        self.owed
            .values()
            .any(|o| !o.ranges.is_empty() || !o.entries.is_empty())
    }

    /// Who is gone is owed nothing.
    pub fn forget(&mut self, peer: usize) {
        self.owed.remove(&peer);
        self.compared.remove(&peer);
        self.round.take_if(|r| r.peer == peer);
    }

    /// The next part for each peer that is owed something, by turns, while `may` lets it.
    pub fn pay(&mut self, now: Timestamp, book: &Book, mut may: impl FnMut(usize, &Item) -> bool) {
        let mut peers: VecDeque<usize> = self.owed.keys().copied().collect();
        while let Some(peer) = peers.pop_front() {
            let Some(owed) = self.owed.get_mut(&peer) else {
                continue;
            };
            let Some(item) = owed.next(now, book) else {
                self.owed.remove(&peer);
                continue;
            };
            if !may(peer, &item.0) {
                return;
            }
            item.1.apply(owed);
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
    fn apply(self, owed: &mut Owed) {
        match self {
            Step::Entry => drop(owed.entries.pop_front()),
            Step::Range { next: Some(from) } => (owed.from, owed.parts) = (from, owed.parts + 1),
            Step::Range { next: None } => {
                owed.ranges.pop_front();
                (owed.from, owed.parts) = (0, owed.parts + 1);
            }
        }
    }
}

impl Owed {
    /// Hashes first, for who compares waits for them; then entries.
    fn next(&mut self, now: Timestamp, book: &Book) -> Option<(Item, Step)> {
        if let Some(range) = self.ranges.front() {
            let (low, high) = ((*range as u64) << 58, ((*range as u64) << 58) | (u64::MAX >> 6));
            let from = self.from.max(low);
            let part: Vec<_> = book.between(from, high).take(PAIRS + 1).collect();
            let upto = match part.get(PAIRS) {
                Some(beyond) => beyond.hashes.0 - 1,
                None => high,
            };
            let pairs = part.iter().take(PAIRS);
            let item = Item::Keys {
                round: self.round,
                range: *range as u8,
                from,
                upto,
                pairs: pairs.map(|e| (short(e.hashes.0), e.hashes.1 as u32)).collect(),
            };
            let next = (upto < high).then_some(upto.wrapping_add(1));
            return Some((item, Step::Range { next }));
        }
        loop {
            match *self.entries.front()? {
                Wish::Hashes(round) => {
                    let parts = Some(self.parts);
                    return Some((Item::Done { round, parts }, Step::Entry));
                }
                Wish::End(round) => return Some((Item::Done { round, parts: None }, Step::Entry)),
                Wish::Entry(hash) => match book.by_hash(hash) {
                    Some(entry) => {
                        let item = Item::Fact(entry.fact.clone(), Book::age_of(entry, now));
                        return Some((item, Step::Entry));
                    }
                    // It was let go meanwhile.
                    None => drop(self.entries.pop_front()),
                },
            }
        }
    }
}
