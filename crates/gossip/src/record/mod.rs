//! Records that drivers replicate to each other: their fields, keys and validity.
//!
//! Merge rules are in [`merge`], time to live and limits in [`kind`]. Members and drivers are identified by
//! name.

pub mod kind;
pub mod merge;

pub use kind::{RecordKind, ALL_KINDS};
pub use merge::MergeOutcome;

use asterlatch::time::Timestamp;
use asterlatch_coordination::lease::Lease;
use serde::{Deserialize, Serialize};
use std::fmt;

/// State of a member in the endpoint list, ordered from best to worst.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ListedState {
    /// Listed and accepting work.
    Ready,
    /// Listed, but only finishing its current work.
    Draining,
    /// No longer listed.
    Gone,
}

/// Share of statements that a driver admits at one member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LoadShare {
    /// Hash of the member's name.
    pub member: u64,
    /// Admitted share in units of 1/200; 200 admits all statements.
    pub admitted: u8,
    /// Number of the driver's own recent answers behind the share, in tenths.
    pub answers: u8,
}

/// A replicated record. Each variant documents its owner, which version wins a merge, and what the record
/// implies.
///
/// Datagrams and snapshots encode variants and fields by position, so new ones are appended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Record {
    /// What a member reported about itself to a driver. Owned by the member; a later start wins, then each
    /// position is merged to the maximum, since positions only grow. The record is a lower bound: behind a
    /// partition the member may have advanced further. A position above a fork of the log is void once a
    /// promoted replica has reported.
    Member {
        /// Name of the member.
        name: String,
        /// Start of the member, in milliseconds since 1970.
        started_ms: u64,
        /// Group that the member belongs to.
        group: u32,
        /// Latest log position (LSN), in milliseconds of the log.
        position: u64,
        /// Log position of its last report as primary; zero without one.
        primary_at: u64,
        /// Log position of its last report as replica; zero without one.
        replica_at: u64,
    },
    /// State of a member in the endpoint list. Owned by discovery; a later start wins, then the newer list,
    /// then the worse state. A drain takes effect on receipt, and only a newer list ends it.
    Drain {
        /// Name of the member.
        name: String,
        /// Start of the member, in milliseconds since 1970.
        started_ms: u64,
        /// Version of the endpoint list.
        list_version: u64,
        /// State in this version of the list.
        state: ListedState,
    },
    /// Work that a driver has dispatched to a member that is warming up. Owned by the driver. The sum over
    /// all drivers is what the member has received since its start.
    WarmUp {
        /// Name of the member.
        member: String,
        /// Start of the member, in milliseconds since 1970.
        started_ms: u64,
        /// Name of the driver.
        driver: String,
        /// Incarnation of the driver.
        incarnation: u64,
        /// Sequence number of this report within the incarnation.
        sequence: u64,
        /// CPU time dispatched since the member's start, in microseconds; only grows within an incarnation.
        work_us: u64,
        /// Load of this driver on warm members, in millionths of a core.
        carried_microcores: u64,
    },
    /// Log position of a session's last write, as reported to the driver that dispatched it. The latest
    /// position wins. Reads of the session must see this write; the absence of a record proves nothing.
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
        /// Sequence number of this report within the incarnation.
        sequence: u64,
        /// Version of the applied endpoint list.
        list_version: u64,
        /// Hash of the applied operators' file.
        operators_file: u64,
        /// Whether the driver's copy of the replicated state is complete.
        caught_up: bool,
    },
    /// A lease as its holder last renewed it. Owned by the holder; `asterlatch_coordination::lease` says
    /// which version wins.
    Lease {
        /// The task that the lease is for.
        subject: String,
        /// Holder, term, renewals and state.
        lease: Lease,
    },
    /// A driver has a delayed execution at a member. Owned by the driver; the latest report wins. Reads avoid
    /// the member for a short time only if another driver reports the same.
    DelayedExecution {
        /// Name of the member.
        member: String,
        /// Name of the driver.
        driver: String,
        /// Incarnation of the driver.
        incarnation: u64,
        /// Sequence number of this report within the incarnation.
        sequence: u64,
        /// Time from the dispatch of the execution to this report, in microseconds.
        outstanding_us: u64,
    },
    /// Shares of statements that a driver admits at members. Owned by the driver. Their average over drivers
    /// corrects shares that rest on few samples.
    Load {
        /// Name of the driver.
        driver: String,
        /// Incarnation of the driver.
        incarnation: u64,
        /// Sequence number of this report within the incarnation.
        sequence: u64,
        /// At most [`MAX_LOAD_SHARES`] members.
        shares: Vec<LoadShare>,
    },
}

/// Identifies the subject of a record. Records with equal keys are versions of one record.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RecordKey {
    /// Kind of the record.
    pub kind: RecordKind,
    /// Identifier that is unique within the kind.
    pub subject: String,
}

impl fmt::Display for RecordKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} {}", self.kind.name(), self.subject)
    }
}

/// A record with its observation time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedRecord {
    /// The record.
    pub record: Record,
    /// When the record was observed, by the clock that the context names.
    pub observed_at: Timestamp,
}

/// Limit on names. Settings impose a lower one.
pub const MAX_NAME_BYTES: usize = 128;

/// Maximum number of members in one [`Record::Load`], so that it shares a datagram with other records.
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

    /// Whether all names and sizes are within their limits; other records are rejected.
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
