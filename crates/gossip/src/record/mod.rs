//! Records that drivers replicate to each other: their fields, keys and validity.
//!
//! Merge rules are in [`merge`], lifetimes and limits in [`kind`]. Members and drivers are identified by name.

pub mod kind;
pub mod merge;

pub use kind::{RecordKind, ALL_KINDS};
pub use merge::MergeOutcome;

use asterlatch::time::Timestamp;
use asterlatch_coordination::lease::Lease;
use serde::{Deserialize, Serialize};
use std::fmt;

/// The state in which discovery lists a member, ordered from best to worst.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ListedState {
    /// Listed and accepting work.
    Ready,
    /// Listed, but finishing its work and accepting none.
    Draining,
    /// No longer listed.
    Gone,
}

/// The share of statements that a driver admits at one member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LoadShare {
    /// The key of the member: a hash of its name.
    pub member: u64,
    /// The admitted share in steps of 1/200; 200 admits everything.
    pub admitted: u8,
    /// How many recent answers of its own the driver bases this on, in tenths.
    pub answers: u8,
}

/// One replicated record. Each variant says who owns it, which version wins and what may be concluded from it.
///
/// Datagrams and snapshots encode variants and fields by position: new ones are appended at the end.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Record {
    /// What a member reported about itself to some driver. Owned by the member; a later start wins, then each position
    /// alone, since positions only grow. It is a lower bound: behind a partition the member may have advanced, and a
    /// position above a fork is void once a promoted replica has reported.
    Member {
        /// Name of the member.
        name: String,
        /// Start of the member, in milliseconds since 1970.
        started_ms: u64,
        /// Group that the member belongs to.
        group: u32,
        /// Furthest log position (LSN), in milliseconds of the log.
        position: u64,
        /// Log position of its last report as primary; zero if there was none.
        primary_at: u64,
        /// Log position of its last report as replica; zero if there was none.
        replica_at: u64,
    },
    /// How discovery lists a member. Owned by discovery; a later start wins, then the newer list, then the worse state.
    /// A drain binds from when it is received; only a newer list ends it.
    Drain {
        /// Name of the member.
        name: String,
        /// Start of the member, in milliseconds since 1970.
        started_ms: u64,
        /// Version of the endpoint list that says so.
        list_version: u64,
        /// State in that list.
        state: ListedState,
    },
    /// How much work a driver has dispatched to a member that is warming up. Owned by that driver. The sum over all
    /// drivers is what the member has received since its start.
    WarmUp {
        /// Name of the member.
        member: String,
        /// Start of the member, in milliseconds since 1970.
        started_ms: u64,
        /// Name of the driver.
        driver: String,
        /// Incarnation of the driver.
        incarnation: u64,
        /// Number of this report within the incarnation.
        sequence: u64,
        /// Processor time dispatched since the member's start, in microseconds; only grows within an incarnation.
        work_us: u64,
        /// Load that warm members carry for this driver, in millionths of a core.
        carried_microcores: u64,
    },
    /// Where the last write of a session was committed, as reported to the driver that executed it. The furthest
    /// position wins. Reads of the session must see it; a missing record proves nothing.
    Session {
        /// Identifier of the session; never zero.
        session: u64,
        /// Log position of the commit, in milliseconds of the log.
        position: u64,
    },
    /// A driver's report about itself, for operators only.
    Driver {
        /// Name of the driver.
        name: String,
        /// Incarnation of the driver.
        incarnation: u64,
        /// Number of this report within the incarnation.
        sequence: u64,
        /// Version of the endpoint list in force.
        list_version: u64,
        /// Hash of the operators' file in force.
        operators_file: u64,
        /// Whether its copy of the replicated state is complete.
        caught_up: bool,
    },
    /// A lease as its holder last renewed it. Owned by the holder; `asterlatch_coordination::lease` says which version wins.
    Lease {
        /// What the lease is for.
        subject: String,
        /// Holder, term and renewals.
        lease: Lease,
    },
    /// A driver has an overdue execution at a member. Owned by that driver; the latest report wins. Only together with
    /// another driver's report does it make reads avoid the member for a moment.
    DelayedExecution {
        /// Name of the member.
        member: String,
        /// Name of the driver.
        driver: String,
        /// Incarnation of the driver.
        incarnation: u64,
        /// Number of this report within the incarnation.
        sequence: u64,
        /// How long before this report the execution was dispatched, in microseconds.
        outstanding_us: u64,
    },
    /// Which share of statements a driver admits at members. Owned by that driver. Averaged with other drivers' reports
    /// it adjusts shares that few samples support.
    Load {
        /// Name of the driver.
        driver: String,
        /// Incarnation of the driver.
        incarnation: u64,
        /// Number of this report within the incarnation.
        sequence: u64,
        /// At most [`MAX_LOAD_SHARES`] members.
        shares: Vec<LoadShare>,
    },
}

/// Identifies what a record is about. Two records with one key are two versions of the same thing.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RecordKey {
    /// Kind of the record.
    pub kind: RecordKind,
    /// What it is about, in a form that is unique within the kind.
    pub subject: String,
}

impl fmt::Display for RecordKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} {}", self.kind.name(), self.subject)
    }
}

/// A record and when it was observed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedRecord {
    /// The record.
    pub record: Record,
    /// When it was observed; the context says by which clock.
    pub observed_at: Timestamp,
}

/// Longest accepted name, in bytes. Names come from settings, which bound them lower.
pub const MAX_NAME_BYTES: usize = 128;

/// Most members in one [`Record::Load`], so that it fits into a datagram with others.
pub const MAX_LOAD_SHARES: usize = 48;

impl Record {
    /// The kind of this record.
    pub fn kind(&self) -> RecordKind {
        match self {
            Record::Member { .. } => RecordKind::Member,
            Record::Drain { .. } => RecordKind::Drain,
            Record::WarmUp { .. } => RecordKind::WarmUp,
            Record::Session { .. } => RecordKind::Session,
            Record::Driver { .. } => RecordKind::Driver,
            Record::Lease { .. } => RecordKind::Lease,
            Record::DelayedExecution { .. } => RecordKind::DelayedExecution,
            Record::Load { .. } => RecordKind::Load,
        }
    }

    /// The key under which versions of this record are merged.
    pub fn key(&self) -> RecordKey {
        let subject = match self {
            Record::Member { name, .. } | Record::Drain { name, .. } | Record::Driver { name, .. } => {
                name.clone()
            }
            Record::WarmUp {
                member,
                started_ms,
                driver,
                ..
            } => format!("{member} {started_ms} {driver}"),
            Record::Session { session, .. } => format!("{session:016x}"),
            Record::Lease { subject, .. } => subject.clone(),
            Record::DelayedExecution { member, driver, .. } => format!("{member} {driver}"),
            Record::Load { driver, .. } => driver.clone(),
        };
        let kind = self.kind();
        RecordKey { kind, subject }
    }

    /// Whether all names and sizes are within their bounds; other records are rejected.
    pub fn is_valid(&self) -> bool {
        match self {
            Record::Member { name, .. } | Record::Drain { name, .. } | Record::Driver { name, .. } => {
                is_valid_name(name)
            }
            Record::WarmUp { member, driver, .. } | Record::DelayedExecution { member, driver, .. } => {
                is_valid_name(member) && is_valid_name(driver)
            }
            Record::Lease { subject, .. } => is_valid_name(subject),
            Record::Load { driver, shares, .. } => is_valid_name(driver) && shares.len() <= MAX_LOAD_SHARES,
            Record::Session { session, .. } => *session != 0,
        }
    }
}

fn is_valid_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME_BYTES
}
