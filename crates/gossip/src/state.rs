//! One driver's copy of the replicated state: merged, bounded, with expiry, and comparable by hash range.

use crate::conflict::{self, ConflictKind, ConflictLog, ConflictSides};
use crate::record::{MergeOutcome, ObservedRecord, Record, RecordKey, RecordKind, ALL_KINDS};
use asterlatch::time::{TimeSpan, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64;

/// Number of key hash ranges in which copies are compared.
pub const RANGE_COUNT: usize = 64;

/// The upper 6 bits of a key hash select its range.
const RANGE_SHIFT: u32 = 58;

/// Hashes of an entry by which copies are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct EntryHashes {
    /// Hash of the key; ranges are intervals of it.
    pub key: u64,
    /// Hash of the whole record.
    pub content: u64,
}

impl EntryHashes {
    fn of(key: &RecordKey, record: &Record) -> EntryHashes {
        // Encoding into memory can't fail for these types.
        let content = postcard::to_stdvec(record).unwrap_or_default();
        EntryHashes {
            key: xxh3_64(key.to_string().as_bytes()),
            content: xxh3_64(&content),
        }
    }

    /// The term that this entry adds to its range's digest.
    fn digest(self) -> u64 {
        self.key.rotate_left(17).wrapping_add(self.content)
    }
}

/// A record in the state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Entry {
    /// The merged record.
    pub record: Record,
    /// When the record was observed, by this driver's clock.
    pub observed_at: Timestamp,
    /// Cached hashes of the key and of the record.
    pub hashes: EntryHashes,
}

impl Entry {
    /// Time since the record was observed.
    pub fn age(&self, now: Timestamp) -> TimeSpan {
        now - self.observed_at
    }
}

impl From<&Entry> for ObservedRecord {
    fn from(entry: &Entry) -> ObservedRecord {
        ObservedRecord {
            record: entry.record.clone(),
            observed_at: entry.observed_at,
        }
    }
}

/// Result of applying a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The state already contained the record.
    Unchanged,
    /// The record changed the state.
    Updated,
    /// The record is expired or invalid.
    Rejected,
}

/// Sort key of the age index: entries of one kind are adjacent, oldest first.
type AgeKey = (RecordKind, Timestamp, RecordKey);

/// One driver's copy of all records.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ReplicatedState {
    entries: BTreeMap<RecordKey, Entry>,
    by_age: BTreeSet<AgeKey>,
    counts: BTreeMap<RecordKind, usize>,
    by_key_hash: BTreeMap<u64, RecordKey>,
    /// For each range the wrapping sum of its entries' digests; empty until the first insertion.
    digests: Vec<u64>,
    /// Contradictions between applied records.
    pub conflicts: ConflictLog,
}

/// Index of the range that contains a key hash.
pub fn range_of(key_hash: u64) -> usize {
    (key_hash >> RANGE_SHIFT) as usize
}

/// Lowest and highest key hash of a range, both inclusive.
pub fn range_bounds(range: usize) -> (u64, u64) {
    let lowest = (range as u64) << RANGE_SHIFT;
    (lowest, lowest | (u64::MAX >> (u64::BITS - RANGE_SHIFT)))
}

impl ReplicatedState {
    /// The entry with this key.
    pub fn get(&self, key: &RecordKey) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// The number of records.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The number of records of one kind.
    pub fn count(&self, kind: RecordKind) -> usize {
        self.counts.get(&kind).copied().unwrap_or(0)
    }

    /// All entries in key order.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// All entries of one kind in key order.
    pub fn of_kind(&self, kind: RecordKind) -> impl Iterator<Item = &Entry> {
        let subject = String::new();
        self.entries
            .range(RecordKey { kind, subject }..)
            .map(|(_, entry)| entry)
            .take_while(move |entry| entry.record.kind() == kind)
    }

    /// Merges a record into the state. An `observed_at` after `now` counts as `now`.
    pub fn apply(&mut self, now: Timestamp, record: Record, observed_at: Timestamp) -> ApplyOutcome {
        let kind = record.kind();
        let observed_at = observed_at.min(now);
        if !record.is_valid() || now - observed_at >= kind.time_to_live() {
            return ApplyOutcome::Rejected;
        }
        let key = record.key();
        let Some(local) = self.entries.get(&key) else {
            self.insert(key, record, observed_at);
            self.enforce_limit(kind);
            return ApplyOutcome::Updated;
        };
        report_conflict(&mut self.conflicts, now, &key, [&local.record, &record]);
        let outcome = local.record.merge_outcome(&record);
        let merged_at = local
            .record
            .merged_observed_at(&outcome, local.observed_at, observed_at);
        match outcome {
            MergeOutcome::Identical | MergeOutcome::Local => {
                if merged_at != local.observed_at {
                    let local_record = local.record.clone();
                    self.insert(key, local_record, merged_at);
                }
                ApplyOutcome::Unchanged
            }
            MergeOutcome::Remote => {
                self.insert(key, record, merged_at);
                ApplyOutcome::Updated
            }
            MergeOutcome::Combined(merged) => {
                self.insert(key, merged, merged_at);
                ApplyOutcome::Updated
            }
        }
    }

    /// Logs a conflict for each member that claims to be primary of the same group at the same log position.
    pub fn detect_competing_primaries(&mut self, now: Timestamp, member_name: &str) {
        let key = RecordKey {
            kind: RecordKind::Member,
            subject: member_name.to_owned(),
        };
        let Some(Entry { record: member, .. }) = self.entries.get(&key).cloned() else {
            return;
        };
        let Record::Member { group, .. } = &member else {
            return;
        };
        let competitors: Vec<Record> = self
            .of_kind(RecordKind::Member)
            .map(|entry| &entry.record)
            .filter(|other| conflict::are_competing_primaries(&member, other))
            .cloned()
            .collect();
        for competitor in competitors {
            // Sorted, so that both directions count as the same conflict.
            let mut sides = [format!("{member:?}"), format!("{competitor:?}")];
            sides.sort();
            let [one, other] = sides;
            self.conflicts.report(
                now,
                ConflictKind::CompetingPrimaries,
                format!("group {group}"),
                ConflictSides { one, other },
            );
        }
    }

    fn insert(&mut self, key: RecordKey, record: Record, observed_at: Timestamp) {
        self.remove(&key);
        self.digests.resize(RANGE_COUNT, 0);
        let hashes = EntryHashes::of(&key, &record);
        let digest = &mut self.digests[range_of(hashes.key)];
        *digest = digest.wrapping_add(hashes.digest());
        *self.counts.entry(key.kind).or_default() += 1;
        self.by_age.insert((key.kind, observed_at, key.clone()));
        self.by_key_hash.insert(hashes.key, key.clone());
        let entry = Entry {
            record,
            observed_at,
            hashes,
        };
        self.entries.insert(key, entry);
    }

    fn remove(&mut self, key: &RecordKey) {
        let Some(entry) = self.entries.remove(key) else {
            return;
        };
        let digest = &mut self.digests[range_of(entry.hashes.key)];
        *digest = digest.wrapping_sub(entry.hashes.digest());
        *self.counts.entry(key.kind).or_default() -= 1;
        self.by_key_hash.remove(&entry.hashes.key);
        self.by_age.remove(&(key.kind, entry.observed_at, key.clone()));
    }

    fn enforce_limit(&mut self, kind: RecordKind) {
        while self.count(kind) > kind.max_entries() {
            let Some((_, oldest)) = self.oldest(kind) else {
                return;
            };
            self.remove(&oldest);
        }
    }

    fn oldest(&self, kind: RecordKind) -> Option<(Timestamp, RecordKey)> {
        let subject = String::new();
        let lowest = (kind, Timestamp(0), RecordKey { kind, subject });
        let (_, observed_at, key) = self
            .by_age
            .range(lowest..)
            .next()
            .filter(|(of_kind, ..)| *of_kind == kind)?;
        Some((*observed_at, key.clone()))
    }

    /// Removes expired records and returns their number.
    pub fn expire(&mut self, now: Timestamp) -> usize {
        let before = self.len();
        for kind in ALL_KINDS {
            while let Some((observed_at, oldest)) = self.oldest(kind) {
                if now - observed_at < kind.time_to_live() {
                    break;
                }
                self.remove(&oldest);
            }
        }
        before - self.len()
    }

    /// The digest of each range. Equal copies have equal digests.
    pub fn digests(&self) -> Vec<u64> {
        let mut digests = self.digests.clone();
        digests.resize(RANGE_COUNT, 0);
        digests
    }

    /// Entries with key hashes from `lowest` to `highest`, both inclusive, in hash order.
    pub fn entries_between(&self, lowest: u64, highest: u64) -> impl Iterator<Item = &Entry> {
        let hashes = (lowest <= highest).then(|| self.by_key_hash.range(lowest..=highest));
        let keys = hashes.into_iter().flatten().map(|(_, key)| key);
        keys.filter_map(|key| self.entries.get(key))
    }

    /// Entries of one range, in hash order.
    pub fn entries_in_range(&self, range: usize) -> impl Iterator<Item = &Entry> {
        let (lowest, highest) = range_bounds(range);
        self.entries_between(lowest, highest)
    }

    /// The entry with this key hash.
    pub fn entry_by_hash(&self, key_hash: u64) -> Option<&Entry> {
        self.entries.get(self.by_key_hash.get(&key_hash)?)
    }
}

fn report_conflict(
    conflicts: &mut ConflictLog,
    now: Timestamp,
    key: &RecordKey,
    [local, remote]: [&Record; 2],
) {
    let Some(kind) = conflict::conflict_between(local, remote) else {
        return;
    };
    let sides = ConflictSides {
        one: format!("{local:?}"),
        other: format!("{remote:?}"),
    };
    conflicts.report(now, kind, key.to_string(), sides);
}
