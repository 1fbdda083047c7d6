//! Leases: among all drivers that want something done, one does it and the others know that it does. The
//! subject, a text that all drivers know alike, names what a lease is for.
//!
//! A lease has a term. The later term wins, and within one term the smaller holder, so two drivers that
//! acquire a lease at the same time agree as soon as a message of one reaches the other. A holder renews its
//! lease, and acts on it for [`LeaseTimings::holder_duration`] after its last renewal by its own clock;
//! others believe in it for [`LeaseTimings::duration`] after that renewal was sent. So nobody else begins
//! while the holder still acts, however late messages arrive, and a holder that was stopped and goes on finds
//! its lease expired. No acknowledgement is needed, and clocks need to run at the same rate but not to show
//! the same time.
//!
//! The order in which drivers may acquire a lease is drawn by hash from those that are present; each of the
//! next ones waits longer. Each side of a network partition has a holder of its own, because no message
//! passes between them; when the partition heals, one of them yields.

use crate::NameHash;
use asterlatch::time::{TimeSpan, Timestamp};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A lease as its holder sends it. Its bytes are positional.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// Number of this lease among all on its subject.
    pub term: u64,
    /// The driver that holds it.
    pub holder: NameHash,
    /// The holder's incarnation. A driver that restarted counts as another holder.
    pub incarnation: u64,
    /// How often the holder has renewed it.
    pub renewals: u64,
    /// Whether the holder still holds it.
    pub state: LeaseState,
}

/// Whether a lease is still held, or how it was released. Ordered by precedence among equal renewals.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LeaseState {
    /// The holder acts on it.
    Held,
    /// The holder gave it up and its work is not done.
    Abandoned,
    /// The work is done: no driver needs to do it for all any more, and each may do it for itself.
    Completed,
}

impl Lease {
    /// The order in which one lease wins over another.
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

    /// The one of two leases that wins. Commutative, associative and idempotent, for it is the larger one.
    #[must_use]
    pub fn merge(self, other: Lease) -> Lease {
        if self.precedence() >= other.precedence() {
            self
        } else {
            other
        }
    }
}

/// Durations of all leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTimings {
    /// How long others believe in a lease since its last renewal.
    pub duration: TimeSpan,
    /// How long its holder acts on it since its last renewal; less than `duration`.
    pub holder_duration: TimeSpan,
    /// How much longer each next driver waits before it acquires what nobody holds: a message's flight and
    /// the time between two of them.
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

/// Part of [`LeaseTimings::holder_duration`] after which a holder renews its lease.
const RENEWAL_FRACTION: f64 = 0.4;
/// From this rank on all drivers wait alike: those before them may not want the lease at all, and if several
/// acquire it one message settles that.
const MAX_RANK: usize = 4;
/// Subjects that are known at most. The one heard of longest ago goes.
const MAX_SUBJECTS: usize = 4096;
/// A subject of which nothing is heard is forgotten after this many lease durations: longer than any lease of
/// a former term is on its way.
const RETENTION_DURATIONS: f64 = 10.0;

/// What a driver knows of a lease at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LeaseStatus {
    /// This driver holds it and may act.
    HeldHere,
    /// Another driver holds it, or did a moment ago.
    HeldElsewhere,
    /// The work was done a moment ago: each driver may do it for itself.
    Completed,
    /// Nobody holds it.
    Available,
}

/// A lease that other drivers must be told of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseUpdate {
    /// What the lease is for.
    pub subject: String,
    /// The lease, acquired or renewed just now.
    pub lease: Lease,
}

/// A subject that this driver wants a lease on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestedLease<'a> {
    /// What the lease is for.
    pub subject: &'a str,
    /// Whether somebody holds it.
    pub status: LeaseStatus,
}

/// A lease that this driver knows of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownLease<'a> {
    /// What the lease is for.
    pub subject: &'a str,
    /// The lease.
    pub lease: Lease,
    /// Time since its last renewal.
    pub age: TimeSpan,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Entry {
    lease: Option<Lease>,
    /// When the lease was renewed last, by this driver's clock.
    renewed_at: Timestamp,
    /// Since when this driver wants the lease.
    requested_since: Option<Timestamp>,
    /// Since when nobody holds it.
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
            // Others may believe in it still, but this driver was away for too long to act.
            LeaseState::Held => LeaseStatus::HeldElsewhere,
        }
    }
}

/// One driver's side of all leases.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTable {
    own_id: NameHash,
    incarnation: u64,
    timings: LeaseTimings,
    peers: BTreeSet<NameHash>,
    entries: BTreeMap<String, Entry>,
}

impl LeaseTable {
    /// The table of the driver `own_id` in this incarnation; it knows no peer and no lease.
    pub fn new(own_id: NameHash, incarnation: u64, timings: LeaseTimings) -> LeaseTable {
        LeaseTable {
            own_id,
            incarnation,
            timings,
            peers: BTreeSet::new(),
            entries: BTreeMap::new(),
        }
    }

    /// Replaces the set of drivers that are present beside this one.
    pub fn set_peers(&mut self, peers: &BTreeSet<NameHash>) {
        self.peers.clone_from(peers);
    }

    /// This driver wants the lease on `subject` from now on.
    pub fn request(&mut self, now: Timestamp, subject: &str) {
        self.entry_mut(subject).requested_since.get_or_insert(now);
    }

    fn entry_mut(&mut self, subject: &str) -> &mut Entry {
        if !self.entries.contains_key(subject) {
            self.evict_for_one_more();
        }
        self.entries.entry(subject.to_owned()).or_default()
    }

    /// Forgets the subject heard of longest ago, unrequested ones first, where the table is full.
    fn evict_for_one_more(&mut self) {
        if self.entries.len() < MAX_SUBJECTS {
            return;
        }
        let priority = |entry: &Entry| (entry.requested_since.is_some(), entry.renewed_at);
        let oldest = self.entries.iter().min_by_key(|(_, entry)| priority(entry));
        if let Some(subject) = oldest.map(|(subject, _)| subject.clone()) {
            self.entries.remove(&subject);
        }
    }

    /// This driver no longer wants the lease on `subject`, and releases it with `state` if it holds it.
    /// Returns the released lease, which others must be told of.
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

    /// Another driver sent this lease, `age` ago.
    pub fn on_lease(&mut self, now: Timestamp, subject: &str, lease: Lease, age: TimeSpan) {
        let is_own = self.is_own(&lease);
        let entry = self.entry_mut(subject);
        let winner = entry.lease.map_or(lease, |known| known.merge(lease));
        let sent_at = now - age;
        if entry.lease != Some(winner) {
            entry.lease = Some(winner);
            entry.renewed_at = sent_at;
        } else if !is_own {
            // This driver's own lease is as old as its own renewal, whoever repeats it.
            entry.renewed_at = entry.renewed_at.max(sent_at);
        }
        entry.available_since = None;
    }

    fn is_own(&self, lease: &Lease) -> bool {
        lease.holder == self.own_id && lease.incarnation == self.incarnation
    }

    /// Whether somebody holds the lease on `subject` now.
    pub fn status(&self, now: Timestamp, subject: &str) -> LeaseStatus {
        match self.entries.get(subject) {
            Some(entry) => entry.status(now, self),
            None => LeaseStatus::Available,
        }
    }

    /// How many of the present drivers come before this one, [`MAX_RANK`] at most.
    fn rank(&self, subject: &str) -> usize {
        let draw = |driver: NameHash| (xxh3_64_with_seed(subject.as_bytes(), driver), driver);
        let own_draw = draw(self.own_id);
        let is_before = |peer: &&NameHash| **peer != self.own_id && draw(**peer) < own_draw;
        self.peers.iter().filter(is_before).take(MAX_RANK).count()
    }

    /// Acquires and renews what is due at `now`, and returns what others must be told of.
    pub fn advance_to(&mut self, now: Timestamp) -> Vec<LeaseUpdate> {
        self.forget_unheard(now);
        let subjects: Vec<String> = self.entries.keys().cloned().collect();
        let updates = subjects.into_iter().filter_map(|subject| {
            let lease = self.advance_subject(now, &subject)?;
            Some(LeaseUpdate { subject, lease })
        });
        updates.collect()
    }

    fn forget_unheard(&mut self, now: Timestamp) {
        let retention = self.timings.duration * RETENTION_DURATIONS;
        self.entries.retain(|_, entry| {
            let is_recent = now - entry.renewed_at < retention;
            entry.requested_since.is_some() || is_recent
        });
    }

    /// Acquires or renews the lease on one subject where that is due.
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

    /// The leases that this driver wants.
    pub fn requested(&self, now: Timestamp) -> impl Iterator<Item = RequestedLease<'_>> {
        let entries = self.entries.iter();
        let requested = entries.filter(|(_, entry)| entry.requested_since.is_some());
        requested.map(move |(subject, entry)| RequestedLease {
            subject,
            status: entry.status(now, self),
        })
    }

    /// All leases that this driver knows of, for operators.
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
