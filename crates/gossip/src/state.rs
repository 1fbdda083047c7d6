//! One driver's copy of all records: merged, bounded, aged, and compared with another's by range.

use crate::conflict::{self, ConflictLog};
use crate::record::{MergeOutcome, Record, RecordKey, RecordKind};
use asterlatch::time::{TimeSpan, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64;

/// Copies are compared by so many parts of all keys.
pub const RANGE_COUNT: usize = 64;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Entry {
    pub record: Record,
    /// By this driver's clock.
    pub observed_at: Timestamp,
    /// Of the key and of the whole, for comparing.
    pub hashes: (u64, u64),
}

/// What a telling changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    Unchanged,
    /// It holds more than before.
    Updated,
    /// Too old, senseless, or more than there is room for.
    Rejected,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ReplicatedState {
    entries: BTreeMap<RecordKey, Entry>,
    /// By kind, and within by when it was observed_at.
    by_age: BTreeSet<(RecordKind, Timestamp, RecordKey)>,
    counts: BTreeMap<RecordKind, usize>,
    /// By the hash of the key, which is the order in which copies are compared.
    by_hash: BTreeMap<u64, RecordKey>,
    /// The sum of all hashes of each range, whatever their order.
    digests: Vec<u64>,
    pub conflicts: ConflictLog,
}

fn hashes(key: &RecordKey, record: &Record) -> (u64, u64) {
    let of_key = xxh3_64(format!("{} {}", key.0.name(), key.1).as_bytes());
    // Facts are plain: they can be written.
    let whole = postcard::to_stdvec(record).unwrap_or_default();
    (of_key, xxh3_64(&whole))
}

pub fn range_of(of_key: u64) -> usize {
    (of_key >> 58) as usize
}

/// Of an entry, as ranges add it up.
fn digest_of((key, whole): (u64, u64)) -> u64 {
    key.rotate_left(17).wrapping_add(whole)
}

impl ReplicatedState {
    pub fn get(&self, key: &RecordKey) -> Option<&Entry> {
        self.entries.get(key)
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub fn count(&self, kind: RecordKind) -> usize {
        self.counts.get(&kind).copied().unwrap_or(0)
    }

    /// In the order of keys.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    pub fn of_kind(&self, kind: RecordKind) -> impl Iterator<Item = &Entry> {
        let from = RecordKey(kind, String::new());
        self.entries
            .range(from..)
            .map(|(_, e)| e)
            .take_while(move |e| e.record.kind() == kind)
    }

    /// Takes a telling over.
    pub fn apply(&mut self, now: Timestamp, record: Record, observed_at: Timestamp) -> ApplyOutcome {
        let (kind, observed_at) = (record.kind(), observed_at.min(now));
        if !record.is_valid() || now - observed_at >= kind.time_to_live() {
            return ApplyOutcome::Rejected;
        }
        let key = record.key();
        let Some(here) = self.entries.get(&key) else {
            self.put(key, record, observed_at);
            self.enforce_limit(kind);
            return ApplyOutcome::Updated;
        };
        if let Some(what) = conflict::between(&here.record, &record) {
            let sides = (format!("{:?}", here.record), format!("{record:?}"));
            self.conflicts.note(now, what, conflict::about(&key), sides);
        }
        let stands = here.record.merge_outcome(&record);
        let observed_at = here
            .record
            .merged_observed_at(&stands, here.observed_at, observed_at);
        match stands {
            MergeOutcome::Identical | MergeOutcome::Local => {
                let record = here.record.clone();
                if observed_at != here.observed_at {
                    self.put(key, record, observed_at);
                }
                ApplyOutcome::Unchanged
            }
            MergeOutcome::Remote => {
                self.put(key, record, observed_at);
                ApplyOutcome::Updated
            }
            MergeOutcome::Combined(joined) => {
                self.put(key, joined, observed_at);
                ApplyOutcome::Updated
            }
        }
    }

    /// Members that claim one group's primary at once are put down as a conflict.
    pub fn detect_competing_primaries(&mut self, now: Timestamp, name: &str) {
        let Some(own) = self.entries.get(&RecordKey(RecordKind::Member, name.to_owned())) else {
            return;
        };
        let own = own.record.clone();
        let others = self.of_kind(RecordKind::Member).map(|e| e.record.clone());
        let rivals: Vec<Record> = others
            .filter(|o| conflict::are_competing_primaries(&own, o))
            .collect();
        for rival in rivals {
            let mut sides = [format!("{own:?}"), format!("{rival:?}")];
            sides.sort();
            let [one, other] = sides;
            let about = match &own {
                Record::Member { group, .. } => format!("group {group}"),
                _ => String::new(),
            };
            self.conflicts.note(
                now,
                conflict::ConflictKind::CompetingPrimaries,
                about,
                (one, other),
            );
        }
    }

    fn put(&mut self, key: RecordKey, record: Record, observed_at: Timestamp) {
        self.remove(&key);
        self.digests.resize(RANGE_COUNT, 0);
        let hashes = hashes(&key, &record);
        let digest = &mut self.digests[range_of(hashes.0)];
        *digest = digest.wrapping_add(digest_of(hashes));
        *self.counts.entry(key.0).or_default() += 1;
        self.by_age.insert((key.0, observed_at, key.clone()));
        self.by_hash.insert(hashes.0, key.clone());
        self.entries.insert(
            key,
            Entry {
                record,
                observed_at,
                hashes,
            },
        );
    }

    fn remove(&mut self, key: &RecordKey) {
        let Some(before) = self.entries.remove(key) else {
            return;
        };
        let digest = &mut self.digests[range_of(before.hashes.0)];
        *digest = digest.wrapping_sub(digest_of(before.hashes));
        *self.counts.entry(key.0).or_default() -= 1;
        self.by_hash.remove(&before.hashes.0);
        self.by_age.remove(&(key.0, before.observed_at, key.clone()));
    }

    fn enforce_limit(&mut self, kind: RecordKind) {
        while self.count(kind) > kind.max_entries() {
            match self.oldest(kind) {
                Some((_, key)) => self.remove(&key),
                None => return,
            }
        }
    }

    fn oldest(&self, kind: RecordKind) -> Option<(Timestamp, RecordKey)> {
        let from = (kind, Timestamp(0), RecordKey(kind, String::new()));
        let first = self.by_age.range(from..).next().filter(|(k, ..)| *k == kind);
        first.map(|(_, observed_at, key)| (*observed_at, key.clone()))
    }

    /// Lets go what was observed_at too long ago; says how many.
    pub fn expire(&mut self, now: Timestamp) -> usize {
        let before = self.len();
        for kind in crate::record::ALL_KINDS {
            while let Some((_, key)) = self
                .oldest(kind)
                .filter(|(observed_at, _)| now - *observed_at >= kind.time_to_live())
            {
                self.remove(&key);
            }
        }
        before - self.len()
    }

    /// One figure for each range: equal copies have equal ones.
    pub fn digests(&self) -> Vec<u64> {
        let mut all = self.digests.clone();
        all.resize(RANGE_COUNT, 0);
        all
    }

    /// Entries whose keys' hashes lie there, in their order.
    pub fn entries_between(&self, from: u64, upto: u64) -> impl Iterator<Item = &Entry> {
        let hashes = (from <= upto).then(|| self.by_hash.range(from..=upto));
        let keys = hashes.into_iter().flatten().map(|(_, key)| key);
        keys.filter_map(|key| self.entries.get(key))
    }

    pub fn entries_in_range(&self, wanted: usize) -> impl Iterator<Item = &Entry> {
        let low = (wanted as u64) << 58;
        self.entries_between(low, low | (u64::MAX >> 6))
    }

    pub fn entry_by_hash(&self, of_key: u64) -> Option<&Entry> {
        self.entries.get(self.by_hash.get(&of_key)?)
    }

    /// How old an entry is when it is observed_at now.
    pub fn age_of(entry: &Entry, now: Timestamp) -> TimeSpan {
        now - entry.observed_at
    }
}
