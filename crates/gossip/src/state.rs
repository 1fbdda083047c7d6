//! One driver's copy of all facts: merged, bounded, aged, and compared with another's by range.

use crate::conflict::{self, Quarrels};
use crate::record::{Key, Kind, Record, Stands};
use asterlatch::time::{TimeSpan, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64;

/// Copies are compared by so many parts of all keys.
pub const RANGES: usize = 64;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Entry {
    pub fact: Record,
    /// By this driver's clock.
    pub told: Timestamp,
    /// Of the key and of the whole, for comparing.
    pub hashes: (u64, u64),
}

/// What a telling changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Learned {
    Nothing,
    /// It holds more than before.
    More,
    /// Too old, senseless, or more than there is room for.
    Refused,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Book {
    entries: BTreeMap<Key, Entry>,
    /// By kind, and within by when it was told.
    ages: BTreeSet<(Kind, Timestamp, Key)>,
    counts: BTreeMap<Kind, usize>,
    /// By the hash of the key, which is the order in which copies are compared.
    by_hash: BTreeMap<u64, Key>,
    /// The sum of all hashes of each range, whatever their order.
    digests: Vec<u64>,
    pub quarrels: Quarrels,
}

fn hashes(key: &Key, fact: &Record) -> (u64, u64) {
    let of_key = xxh3_64(format!("{} {}", key.0.name(), key.1).as_bytes());
    // Facts are plain: they can be written.
    let whole = postcard::to_stdvec(fact).unwrap_or_default();
    (of_key, xxh3_64(&whole))
}

pub fn range(of_key: u64) -> usize {
    (of_key >> 58) as usize
}

/// Of an entry, as ranges add it up.
fn mixed((key, whole): (u64, u64)) -> u64 {
    key.rotate_left(17).wrapping_add(whole)
}

impl Book {
    pub fn get(&self, key: &Key) -> Option<&Entry> {
        self.entries.get(key)
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub fn count(&self, kind: Kind) -> usize {
        self.counts.get(&kind).copied().unwrap_or(0)
    }

    /// In the order of keys.
    pub fn all(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    pub fn of(&self, kind: Kind) -> impl Iterator<Item = &Entry> {
        let from = Key(kind, String::new());
        self.entries
            .range(from..)
            .map(|(_, e)| e)
            .take_while(move |e| e.fact.kind() == kind)
    }

    /// Takes a telling over.
    pub fn learn(&mut self, now: Timestamp, fact: Record, told: Timestamp) -> Learned {
        let (kind, told) = (fact.kind(), told.min(now));
        if !fact.is_sound() || now - told >= kind.kept() {
            return Learned::Refused;
        }
        let key = fact.key();
        let Some(here) = self.entries.get(&key) else {
            self.put(key, fact, told);
            self.make_room(kind);
            return Learned::More;
        };
        if let Some(what) = conflict::between(&here.fact, &fact) {
            let sides = (format!("{:?}", here.fact), format!("{fact:?}"));
            self.quarrels.note(now, what, conflict::about(&key), sides);
        }
        let stands = here.fact.against(&fact);
        let told = here.fact.told(&stands, here.told, told);
        match stands {
            Stands::Same | Stands::Here => {
                let fact = here.fact.clone();
                if told != here.told {
                    self.put(key, fact, told);
                }
                Learned::Nothing
            }
            Stands::Came => {
                self.put(key, fact, told);
                Learned::More
            }
            Stands::Both(joined) => {
                self.put(key, joined, told);
                Learned::More
            }
        }
    }

    /// Members that claim one group's primary at once are put down as a quarrel.
    pub fn watch_claims(&mut self, now: Timestamp, name: &str) {
        let Some(own) = self.entries.get(&Key(Kind::Member, name.to_owned())) else {
            return;
        };
        let own = own.fact.clone();
        let others = self.of(Kind::Member).map(|e| e.fact.clone());
        let rivals: Vec<Record> = others.filter(|o| conflict::claim_both(&own, o)).collect();
        for rival in rivals {
            let mut sides = [format!("{own:?}"), format!("{rival:?}")];
            sides.sort();
            let [one, other] = sides;
            let about = match &own {
                Record::Member { group, .. } => format!("group {group}"),
                _ => String::new(),
            };
            self.quarrels
                .note(now, conflict::Kind::TwoPrimaries, about, (one, other));
        }
    }

    fn put(&mut self, key: Key, fact: Record, told: Timestamp) {
        self.drop_entry(&key);
        self.digests.resize(RANGES, 0);
        let hashes = hashes(&key, &fact);
        let digest = &mut self.digests[range(hashes.0)];
        *digest = digest.wrapping_add(mixed(hashes));
        *self.counts.entry(key.0).or_default() += 1;
        self.ages.insert((key.0, told, key.clone()));
        self.by_hash.insert(hashes.0, key.clone());
        self.entries.insert(key, Entry { fact, told, hashes });
    }

    fn drop_entry(&mut self, key: &Key) {
        let Some(before) = self.entries.remove(key) else {
            return;
        };
        let digest = &mut self.digests[range(before.hashes.0)];
        *digest = digest.wrapping_sub(mixed(before.hashes));
        *self.counts.entry(key.0).or_default() -= 1;
        self.by_hash.remove(&before.hashes.0);
        self.ages.remove(&(key.0, before.told, key.clone()));
    }

    fn make_room(&mut self, kind: Kind) {
        while self.count(kind) > kind.most() {
            match self.oldest(kind) {
                Some((_, key)) => self.drop_entry(&key),
                None => return,
            }
        }
    }

    fn oldest(&self, kind: Kind) -> Option<(Timestamp, Key)> {
        let from = (kind, Timestamp(0), Key(kind, String::new()));
        let first = self.ages.range(from..).next().filter(|(k, ..)| *k == kind);
        first.map(|(_, told, key)| (*told, key.clone()))
    }

    /// Lets go what was told too long ago; says how many.
    pub fn age(&mut self, now: Timestamp) -> usize {
        let before = self.len();
        for kind in crate::record::KINDS {
            while let Some((_, key)) = self.oldest(kind).filter(|(told, _)| now - *told >= kind.kept()) {
                self.drop_entry(&key);
            }
        }
        before - self.len()
    }

    /// One figure for each range: equal copies have equal ones.
    pub fn digests(&self) -> Vec<u64> {
        let mut all = self.digests.clone();
        all.resize(RANGES, 0);
        all
    }

    /// Entries whose keys' hashes lie there, in their order.
    pub fn between(&self, from: u64, upto: u64) -> impl Iterator<Item = &Entry> {
        let hashes = (from <= upto).then(|| self.by_hash.range(from..=upto));
        let keys = hashes.into_iter().flatten().map(|(_, key)| key);
        keys.filter_map(|key| self.entries.get(key))
    }

    pub fn within(&self, wanted: usize) -> impl Iterator<Item = &Entry> {
        let low = (wanted as u64) << 58;
        self.between(low, low | (u64::MAX >> 6))
    }

    pub fn by_hash(&self, of_key: u64) -> Option<&Entry> {
        self.entries.get(self.by_hash.get(&of_key)?)
    }

    /// How old an entry is when it is told now.
    pub fn age_of(entry: &Entry, now: Timestamp) -> TimeSpan {
        now - entry.told
    }
}
