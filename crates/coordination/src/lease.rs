//! Turns by lease: of all drivers that want something done, one does it, and the others hear that it does. What it is for
//! is the subject, a text that all know alike.
//!
//! A claim has a term; the later term wins, within one term the smaller holder, so two that claim at once settle as soon as
//! one's word has come to the other. A holder renews its claim, and acts on it for half a lease from its last renewal
//! by its own clock; others believe in it for a whole lease from when that was told. So nobody else begins while it still
//! acts, however late word comes, and one that was stopped and goes on finds its claim over. No answer is needed for
//! either, and clocks need only run alike, not stand alike.
//!
//! Who claims first is drawn by hash from those that are there; the next ones wait a step longer each. Two sides of a split
//! each have a holder, for no word goes between them; when it heals one yields.

use crate::NameHash;
use asterlatch::time::{TimeSpan, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Ordered by which wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    pub term: u64,
    pub holder: NameHash,
    /// Of the holder: a restart is somebody else.
    pub incarnation: u64,
    /// Grows with each renewal.
    pub renewals: u64,
    pub state: LeaseState,
}

/// Whether the holder has given its turn up, and with what.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LeaseState {
    Held,
    /// It wants it no more, and nothing came of it.
    Abandoned,
    /// It is done: nobody needs to do it for all any more, and each may for itself.
    Completed,
}

impl Lease {
    fn order(&self) -> impl Ord {
        let smaller = std::cmp::Reverse(self.holder);
        (self.term, smaller, self.incarnation, self.renewals, self.state)
    }

    /// Which of two tellings stands. Commutative, associative and idempotent, for it is the larger one.
    pub fn merge(self, other: Lease) -> Lease {
        if self.order() >= other.order() {
            self
        } else {
            other
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTimings {
    /// How long others believe in a claim.
    pub duration: TimeSpan,
    /// How long its holder acts on it without having renewed it; less than the lease.
    pub holder_duration: TimeSpan,
    /// How much longer each next one waits before it claims what nobody holds: a word's flight, and the time between two
    /// tellings.
    pub acquire_delay: TimeSpan,
}

impl Default for LeaseTimings {
    fn default() -> LeaseTimings {
        LeaseTimings {
            duration: TimeSpan::millis(2000),
            holder_duration: TimeSpan::millis(1000),
            acquire_delay: TimeSpan::millis(250),
        }
    }
}

/// Part of the time that a holder acts after which it renews.
const RENEWAL_FRACTION: f64 = 0.4;
/// From this rank on all wait alike: those before them may not want it at all, and if several claim, one word settles it.
const MAX_RANK: usize = 4;
/// Subjects that are kept at most; the one heard of longest ago goes.
const MAX_SUBJECTS: usize = 4096;
/// A subject that nobody speaks of any more is let go after so many leases: longer than any claim of a former term travels.
const RETENTION_DURATIONS: f64 = 10.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LeaseStatus {
    /// This driver does it now.
    HeldHere,
    /// Somebody else does, or did a moment ago.
    HeldElsewhere,
    /// It was done a moment ago: each may do it for itself.
    Completed,
    /// Nobody does, yet.
    Available,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Entry {
    lease: Option<Lease>,
    /// When the claim was last said, by this clock: the holder's own renewal, or as others told it.
    renewed_at: Timestamp,
    /// Since when this driver wants it done.
    requested_since: Option<Timestamp>,
    /// Since when nobody holds it.
    available_since: Option<Timestamp>,
}

/// One driver's side of all turns.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTable {
    own_id: NameHash,
    incarnation: u64,
    timings: LeaseTimings,
    peers: BTreeSet<NameHash>,
    entries: BTreeMap<String, Entry>,
}

impl LeaseTable {
    pub fn new(own_id: NameHash, incarnation: u64, timings: LeaseTimings) -> LeaseTable {
        LeaseTable {
            own_id,
            incarnation,
            timings,
            peers: BTreeSet::new(),
            entries: BTreeMap::new(),
        }
    }

    /// Those that are there beside this one.
    pub fn set_peers(&mut self, others: &BTreeSet<NameHash>) {
        self.peers.clone_from(others);
    }

    pub fn request(&mut self, now: Timestamp, subject: &str) {
        self.entry_mut(subject).requested_since.get_or_insert(now);
    }

    fn entry_mut(&mut self, name: &str) -> &mut Entry {
        if !self.entries.contains_key(name) {
            self.evict_for_one_more();
        }
        self.entries.entry(name.to_owned()).or_default()
    }

    /// It isn't wanted any more; what that ends is to be told.
    pub fn release(&mut self, now: Timestamp, subject: &str, state: LeaseState) -> Option<Lease> {
        let acts = self.status(now, subject) == LeaseStatus::HeldHere;
        let s = self.entries.get_mut(subject)?;
        s.requested_since = None;
        let lease = s.lease.as_mut().filter(|_| acts)?;
        (lease.renewals, lease.state, s.renewed_at) = (lease.renewals.saturating_add(1), state, now);
        Some(*lease)
    }

    /// What others said of a turn, so long ago.
    pub fn on_lease(&mut self, now: Timestamp, subject: &str, lease: Lease, ago: TimeSpan) {
        let is_own = lease.holder == self.own_id && lease.incarnation == self.incarnation;
        let s = self.entry_mut(subject);
        let stands = s.lease.map_or(lease, |here| here.merge(lease));
        let at = now - ago;
        if s.lease == Some(stands) {
            // What this driver holds is as old as its own renewal, whoever repeats it.
            s.renewed_at = if is_own {
                s.renewed_at
            } else {
                s.renewed_at.max(at)
            };
        } else {
            (s.lease, s.renewed_at) = (Some(stands), at);
        }
        s.available_since = None;
    }

    /// For one more.
    fn evict_for_one_more(&mut self) {
        if self.entries.len() < MAX_SUBJECTS {
            return;
        }
        let oldest = self
            .entries
            .iter()
            .min_by_key(|(_, s)| (s.requested_since.is_some(), s.renewed_at));
        let oldest = oldest.map(|(name, _)| name.clone());
        oldest.map(|name| self.entries.remove(&name));
    }

    fn is_own(&self, lease: &Lease) -> bool {
        lease.holder == self.own_id && lease.incarnation == self.incarnation
    }

    fn status_of(&self, now: Timestamp, s: &Entry) -> LeaseStatus {
        let Some(lease) = &s.lease else {
            return LeaseStatus::Available;
        };
        let age = now - s.renewed_at;
        match lease.state {
            _ if age >= self.timings.duration => LeaseStatus::Available,
            LeaseState::Completed => LeaseStatus::Completed,
            LeaseState::Abandoned => LeaseStatus::Available,
            LeaseState::Held if !self.is_own(lease) => LeaseStatus::HeldElsewhere,
            LeaseState::Held if age < self.timings.holder_duration => LeaseStatus::HeldHere,
            // Others may believe in it still, but it was too long away to act.
            LeaseState::Held => LeaseStatus::HeldElsewhere,
        }
    }

    pub fn status(&self, now: Timestamp, subject: &str) -> LeaseStatus {
        self.entries
            .get(subject)
            .map_or(LeaseStatus::Available, |s| self.status_of(now, s))
    }

    /// How many of those that are there come before this driver, as far as that is waited for.
    fn rank(&self, subject: &str) -> usize {
        let of = |key: NameHash| (xxh3_64_with_seed(subject.as_bytes(), key), key);
        let own_id = of(self.own_id);
        let before = self
            .peers
            .iter()
            .filter(|k| **k != self.own_id && of(**k) < own_id);
        before.take(MAX_RANK).count()
    }

    /// Does what is due: claims and renewals to be told.
    pub fn advance_to(&mut self, now: Timestamp) -> Vec<(String, Lease)> {
        let mut told = Vec::new();
        let forget = self.timings.duration * RETENTION_DURATIONS;
        self.entries
            .retain(|_, s| s.requested_since.is_some() || now - s.renewed_at < forget);
        for name in self.entries.keys().cloned().collect::<Vec<_>>() {
            let rank = self.rank(&name);
            let Some(s) = self.entries.get(&name) else {
                continue;
            };
            let status = self.status_of(now, s);
            let (own_id, incarnation, timings) = (self.own_id, self.incarnation, self.timings);
            let Some(s) = self.entries.get_mut(&name) else {
                continue;
            };
            if status != LeaseStatus::Available {
                s.available_since = None;
            }
            let renewals = match (status, s.requested_since, &mut s.lease) {
                (LeaseStatus::HeldHere, Some(_), Some(lease))
                    if now - s.renewed_at >= timings.holder_duration * RENEWAL_FRACTION =>
                {
                    lease.renewals += 1;
                    Some(*lease)
                }
                (LeaseStatus::Available, Some(_), lease) => {
                    let available_since = *s.available_since.get_or_insert(now);
                    let may = now - available_since >= timings.acquire_delay * rank as f64;
                    may.then(|| {
                        let term = lease.map_or(0, |c| c.term).saturating_add(1);
                        let new = Lease {
                            term,
                            holder: own_id,
                            incarnation,
                            renewals: 0,
                            state: LeaseState::Held,
                        };
                        *lease = Some(new);
                        new
                    })
                }
                _ => None,
            };
            if let Some(lease) = renewals {
                s.renewed_at = now;
                told.push((name, lease));
            }
        }
        told
    }

    /// What this driver wants done, and how that stands.
    pub fn requested(&self, now: Timestamp) -> impl Iterator<Item = (&str, LeaseStatus)> {
        let requested_since = self.entries.iter().filter(|(_, s)| s.requested_since.is_some());
        requested_since.map(move |(name, s)| (name.as_str(), self.status_of(now, s)))
    }

    /// All that is known, for operators: subject, claim, how long ago it was said.
    pub fn known(&self, now: Timestamp) -> impl Iterator<Item = (&str, Lease, TimeSpan)> {
        let told = self
            .entries
            .iter()
            .filter_map(|(name, s)| Some((name, s.lease?, s.renewed_at)));
        told.map(move |(name, lease, renewals)| (name.as_str(), lease, now - renewals))
    }
}
