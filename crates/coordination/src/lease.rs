//! Leases: elects one of the drivers that request a task to perform it, and lets the others know. The
//! subject, a string that is the same on all drivers, names the task.
//!
//! A lease has a term. The higher term wins, and within one term the smaller holder id, so two drivers that
//! acquire a lease at the same time agree as soon as a message from one reaches the other. A holder renews
//! its lease, and acts on it for [`LeaseTimings::holder_duration`] after its last renewal by its own clock;
//! others honour it for [`LeaseTimings::duration`] after that renewal was sent. A driver that has received
//! the latest renewal therefore doesn't take over while the holder still acts, and a holder that resumes
//! after a pause finds its lease expired. No acknowledgements are needed. Clocks must run at the same rate
//! but need not be synchronized.
//!
//! The drivers that are present are ranked by a hash; each rank waits longer before it acquires a free lease.
//! During a network partition each side may have a holder; when the partition heals, one of them yields.

use crate::NameHash;
use asterlatch::time::{TimeSpan, Timestamp};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A lease as its holder sends it. Serialized by position: the order of the fields is part of the format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// Incremented each time a driver acquires the lease on its subject.
    pub term: u64,
    /// Hash of the holding driver's name.
    pub holder: NameHash,
    /// The holder's incarnation: a restarted driver is a different holder.
    pub incarnation: u64,
    /// Number of renewals in this term, including the release.
    pub renewals: u64,
    /// Whether the lease is held, or how it was released.
    pub state: LeaseState,
}

/// Whether a lease is still held, or how it was released. Ordered by precedence among equal renewals.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LeaseState {
    /// The holder performs the task.
    Held,
    /// Released with the task unfinished: another driver may acquire the lease.
    Abandoned,
    /// Released with the task finished: each driver may now perform it for itself.
    Completed,
}

impl Lease {
    /// Sort key of a lease: the greater one wins.
    fn precedence(&self) -> impl Ord {
        let smaller_holder = Reverse(self.holder);
        (
            self.term,
            smaller_holder,
            self.incarnation,
            self.renewals,
            self.state,
        )
    }

    /// Returns the lease that wins. Commutative, associative and idempotent.
    #[must_use]
    pub fn merge(self, other: Lease) -> Lease {
        if self.precedence() >= other.precedence() {
            self
        } else {
            other
        }
    }
}

/// Durations that apply to all leases; the same on all drivers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTimings {
    /// How long other drivers honour a lease after its last renewal.
    pub duration: TimeSpan,
    /// How long the holder acts on a lease after its last renewal; less than `duration`.
    pub holder_duration: TimeSpan,
    /// Extra delay per rank before a driver acquires a free lease: message latency plus the interval between
    /// messages.
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

/// Fraction of [`LeaseTimings::holder_duration`] after which a holder renews its lease.
const RENEWAL_FRACTION: f64 = 0.4;
/// Bounds the wait when drivers of lower rank don't request the lease. Drivers that acquire it at the same
/// time agree after one message.
const MAX_RANK: usize = 4;
/// Bounds the memory for subjects that peers send; the least recently renewed one is evicted.
const MAX_SUBJECTS: usize = 4096;
/// Retention of a subject without renewals, in lease durations: longer than a message of an earlier term can
/// be in flight.
const RETENTION_DURATIONS: f64 = 10.0;

/// State of a lease as one driver sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LeaseStatus {
    /// This driver holds it and may act.
    HeldHere,
    /// Another driver holds it, or this driver held it and missed its renewals.
    HeldElsewhere,
    /// The task was finished recently: each driver may perform it for itself.
    Completed,
    /// Free to be acquired.
    Available,
}

/// A lease to be sent to the other drivers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseUpdate {
    /// Name of the task that the lease is for.
    pub subject: String,
    /// The lease as it was just acquired or renewed.
    pub lease: Lease,
}

/// A subject on which this driver requests a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestedLease<'a> {
    /// Name of the task that the lease is for.
    pub subject: &'a str,
    /// State of the lease as this driver sees it.
    pub status: LeaseStatus,
}

/// A lease that this driver has received or acquired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownLease<'a> {
    /// Name of the task that the lease is for.
    pub subject: &'a str,
    /// The lease in its latest known state.
    pub lease: Lease,
    /// Time since its last renewal.
    pub age: TimeSpan,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Entry {
    lease: Option<Lease>,
    /// Time of the last renewal by this driver's clock.
    renewed_at: Timestamp,
    /// When this driver requested the lease.
    requested_since: Option<Timestamp>,
    /// When this driver first found the lease available.
    available_since: Option<Timestamp>,
}

impl Entry {
    fn status(&self, now: Timestamp, table: &LeaseTable) -> LeaseStatus {
        let Some(lease) = &self.lease else {
            return LeaseStatus::Available;
        };
        let age = now - self.renewed_at;
        if age >= table.timings.duration {
            return LeaseStatus::Available;
        }
        match lease.state {
            LeaseState::Completed => LeaseStatus::Completed,
            LeaseState::Abandoned => LeaseStatus::Available,
            LeaseState::Held if !table.is_own(lease) => LeaseStatus::HeldElsewhere,
            LeaseState::Held if age < table.timings.holder_duration => LeaseStatus::HeldHere,
            // Peers may still honour the lease, but this driver missed its renewals and must not act.
            LeaseState::Held => LeaseStatus::HeldElsewhere,
        }
    }
}

/// One driver's view of all leases.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTable {
    own_id: NameHash,
    incarnation: u64,
    timings: LeaseTimings,
    peers: BTreeSet<NameHash>,
    entries: BTreeMap<String, Entry>,
}

impl LeaseTable {
    /// Creates an empty table for the driver `own_id`; its incarnation must differ after each restart.
    pub fn new(own_id: NameHash, incarnation: u64, timings: LeaseTimings) -> LeaseTable {
        LeaseTable {
            own_id,
            incarnation,
            timings,
            peers: BTreeSet::new(),
            entries: BTreeMap::new(),
        }
    }

    /// Replaces the set of present drivers, by which acquisitions are ranked. It may contain this driver.
    pub fn set_peers(&mut self, peers: &BTreeSet<NameHash>) {
        self.peers.clone_from(peers);
    }

    /// Requests the lease on `subject`: it is acquired and renewed until [`LeaseTable::release`].
    pub fn request(&mut self, now: Timestamp, subject: &str) {
        self.entry_mut(subject).requested_since.get_or_insert(now);
    }

    fn entry_mut(&mut self, subject: &str) -> &mut Entry {
        if !self.entries.contains_key(subject) {
            self.evict_if_full();
        }
        self.entries.entry(subject.to_owned()).or_default()
    }

    /// Removes the least recently renewed subject if the table is full; requested ones last.
    fn evict_if_full(&mut self) {
        if self.entries.len() < MAX_SUBJECTS {
            return;
        }
        let priority = |entry: &Entry| (entry.requested_since.is_some(), entry.renewed_at);
        let oldest = self.entries.iter().min_by_key(|(_, entry)| priority(entry));
        if let Some(subject) = oldest.map(|(subject, _)| subject.clone()) {
            self.entries.remove(&subject);
        }
    }

    /// Withdraws the request for `subject`, and releases the lease with `state` if this driver holds it.
    /// Returns the released lease, which must be sent to the other drivers.
    pub fn release(&mut self, now: Timestamp, subject: &str, state: LeaseState) -> Option<Lease> {
        let is_held = self.status(now, subject) == LeaseStatus::HeldHere;
        let entry = self.entries.get_mut(subject)?;
        entry.requested_since = None;
        let lease = entry.lease.as_mut().filter(|_| is_held)?;
        lease.renewals = lease.renewals.saturating_add(1);
        lease.state = state;
        entry.renewed_at = now;
        Some(*lease)
    }

    /// Merges a lease that another driver sent; `age` is the time since its holder sent it.
    pub fn on_lease(&mut self, now: Timestamp, subject: &str, lease: Lease, age: TimeSpan) {
        let is_own = self.is_own(&lease);
        let entry = self.entry_mut(subject);
        let winner = entry.lease.map_or(lease, |known| known.merge(lease));
        let sent_at = now - age;
        if entry.lease != Some(winner) {
            entry.lease = Some(winner);
            entry.renewed_at = sent_at;
        } else if !is_own {
            // A peer that forwards this driver's own lease must not extend it.
            entry.renewed_at = entry.renewed_at.max(sent_at);
        }
        entry.available_since = None;
    }

    fn is_own(&self, lease: &Lease) -> bool {
        lease.holder == self.own_id && lease.incarnation == self.incarnation
    }

    /// Returns the state of the lease on `subject` at `now`.
    pub fn status(&self, now: Timestamp, subject: &str) -> LeaseStatus {
        match self.entries.get(subject) {
            Some(entry) => entry.status(now, self),
            None => LeaseStatus::Available,
        }
    }

    /// Number of present drivers ranked before this one, at most [`MAX_RANK`].
    fn rank(&self, subject: &str) -> usize {
        let rank_key = |driver: NameHash| (xxh3_64_with_seed(subject.as_bytes(), driver), driver);
        let own_key = rank_key(self.own_id);
        let is_before = |peer: &&NameHash| **peer != self.own_id && rank_key(**peer) < own_key;
        self.peers.iter().filter(is_before).take(MAX_RANK).count()
    }

    /// Acquires and renews the leases that are due at `now`. Returns those to be sent to the other drivers.
    pub fn advance_to(&mut self, now: Timestamp) -> Vec<LeaseUpdate> {
        self.remove_stale(now);
        let subjects: Vec<String> = self.entries.keys().cloned().collect();
        let updates = subjects.into_iter().filter_map(|subject| {
            let lease = self.advance_subject(now, &subject)?;
            Some(LeaseUpdate { subject, lease })
        });
        updates.collect()
    }

    fn remove_stale(&mut self, now: Timestamp) {
        let retention = self.timings.duration * RETENTION_DURATIONS;
        self.entries.retain(|_, entry| {
            let is_recent = now - entry.renewed_at < retention;
            entry.requested_since.is_some() || is_recent
        });
    }

    /// Acquires or renews the lease on one subject if that is due.
    fn advance_subject(&mut self, now: Timestamp, subject: &str) -> Option<Lease> {
        let status = self.status(now, subject);
        let entry = self.entries.get_mut(subject)?;
        if status != LeaseStatus::Available {
            entry.available_since = None;
        }
        entry.requested_since?;
        match status {
            LeaseStatus::HeldHere => self.renew(now, subject),
            LeaseStatus::Available => self.acquire(now, subject),
            LeaseStatus::HeldElsewhere | LeaseStatus::Completed => None,
        }
    }

    fn renew(&mut self, now: Timestamp, subject: &str) -> Option<Lease> {
        let interval = self.timings.holder_duration * RENEWAL_FRACTION;
        let entry = self.entries.get_mut(subject)?;
        if now - entry.renewed_at < interval {
            return None;
        }
        entry.renewed_at = now;
        let lease = entry.lease.as_mut()?;
        lease.renewals += 1;
        Some(*lease)
    }

    fn acquire(&mut self, now: Timestamp, subject: &str) -> Option<Lease> {
        let delay = self.timings.acquire_delay * self.rank(subject) as f64;
        let holder = self.own_id;
        let incarnation = self.incarnation;
        let entry = self.entries.get_mut(subject)?;
        let available_since = *entry.available_since.get_or_insert(now);
        if now - available_since < delay {
            return None;
        }
        let last_term = entry.lease.map_or(0, |lease| lease.term);
        let lease = Lease {
            term: last_term.saturating_add(1),
            holder,
            incarnation,
            renewals: 0,
            state: LeaseState::Held,
        };
        entry.lease = Some(lease);
        entry.renewed_at = now;
        Some(lease)
    }

    /// Returns the requested leases with their states at `now`.
    pub fn requested(&self, now: Timestamp) -> impl Iterator<Item = RequestedLease<'_>> {
        let entries = self.entries.iter();
        let requested = entries.filter(|(_, entry)| entry.requested_since.is_some());
        requested.map(move |(subject, entry)| RequestedLease {
            subject,
            status: entry.status(now, self),
        })
    }

    /// Returns all known leases with their ages, for operators.
    pub fn known(&self, now: Timestamp) -> impl Iterator<Item = KnownLease<'_>> {
        self.entries.iter().filter_map(move |(subject, entry)| {
            Some(KnownLease {
                subject,
                lease: entry.lease?,
                age: now - entry.renewed_at,
            })
        })
    }
}
