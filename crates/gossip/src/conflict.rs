//! Detection and log of contradictory records. A merge keeps the more conservative version; the log keeps
//! both, so that an operator can find out which one is wrong.

use crate::record::Record;
use asterlatch::time::Timestamp;
use std::collections::VecDeque;

/// Kind of a contradiction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ConflictKind {
    /// Two records give a member different states for one version of the endpoint list.
    EndpointListMismatch,
    /// Two members of one group reported to be primary at the same log position.
    CompetingPrimaries,
    /// A driver sent two different reports with one sequence number: two processes share a name, or a driver
    /// restarted with the incarnation of its predecessor.
    DuplicateDriver,
    /// A datagram names a sender that isn't configured for its source address.
    SenderMismatch,
    /// A driver dispatched a statement after it had replied that it never would.
    DispatchedAfterDenial,
}

impl ConflictKind {
    /// Description shown to operators.
    pub fn name(self) -> &'static str {
        match self {
            ConflictKind::EndpointListMismatch => "two endpoint lists of one version",
            ConflictKind::CompetingPrimaries => "competing primaries of one group",
            ConflictKind::DuplicateDriver => "duplicate driver name",
            ConflictKind::SenderMismatch => "sender name not configured for its address",
            ConflictKind::DispatchedAfterDenial => "statement dispatched after a denial",
        }
    }
}

/// The two contradictory claims, as text for operators.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ConflictSides {
    /// The claim that was known first.
    pub one: String,
    /// The claim that contradicts it.
    pub other: String,
}

/// A logged contradiction.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Conflict {
    /// Kind of the contradiction.
    pub kind: ConflictKind,
    /// Subject of the contradiction: a record key, a group or a driver name.
    pub subject: String,
    /// Both claims.
    pub sides: ConflictSides,
    /// Time of the first occurrence.
    pub first_seen: Timestamp,
    /// Time of the latest occurrence.
    pub last_seen: Timestamp,
    /// Number of occurrences.
    pub count: u64,
}

/// Maximum number of logged conflicts; beyond it the oldest are dropped.
pub const MAX_CONFLICTS: usize = 256;

/// A bounded log of distinct conflicts, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ConflictLog {
    conflicts: VecDeque<Conflict>,
}

impl ConflictLog {
    /// Logs a conflict, or counts another occurrence of a logged one. Returns whether it is new.
    pub fn report(
        &mut self,
        now: Timestamp,
        kind: ConflictKind,
        subject: String,
        sides: ConflictSides,
    ) -> bool {
        let known = self
            .conflicts
            .iter_mut()
            .find(|conflict| conflict.kind == kind && conflict.subject == subject && conflict.sides == sides);
        if let Some(known) = known {
            known.last_seen = now;
            known.count += 1;
            return false;
        }
        if self.conflicts.len() >= MAX_CONFLICTS {
            self.conflicts.pop_front();
        }
        self.conflicts.push_back(Conflict {
            kind,
            subject,
            sides,
            first_seen: now,
            last_seen: now,
            count: 1,
        });
        true
    }

    /// All logged conflicts, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &Conflict> {
        self.conflicts.iter()
    }
}

/// The kind of contradiction between two versions of one key, if there is one.
pub fn conflict_between(local: &Record, remote: &Record) -> Option<ConflictKind> {
    match (local, remote) {
        (Record::Drain { .. }, Record::Drain { .. }) if is_endpoint_list_mismatch(local, remote) => {
            Some(ConflictKind::EndpointListMismatch)
        }
        (Record::Driver { .. }, Record::Driver { .. }) if is_duplicate_driver(local, remote) => {
            Some(ConflictKind::DuplicateDriver)
        }
        _ => None,
    }
}

fn is_endpoint_list_mismatch(local: &Record, remote: &Record) -> bool {
    let (
        Record::Drain {
            started_ms,
            list_version,
            state,
            ..
        },
        Record::Drain {
            started_ms: remote_started_ms,
            list_version: remote_list_version,
            state: remote_state,
            ..
        },
    ) = (local, remote)
    else {
        return false;
    };
    started_ms == remote_started_ms && list_version == remote_list_version && state != remote_state
}

fn is_duplicate_driver(local: &Record, remote: &Record) -> bool {
    let (
        Record::Driver {
            incarnation,
            sequence,
            ..
        },
        Record::Driver {
            incarnation: remote_incarnation,
            sequence: remote_sequence,
            ..
        },
    ) = (local, remote)
    else {
        return false;
    };
    incarnation == remote_incarnation && sequence == remote_sequence && local != remote
}

/// Whether two members claim to be primary of one group at the same log position, and neither has reported as
/// replica at or after that position.
///
/// A regular takeover is no conflict: the former primary has reported as replica, or its last report as
/// primary is at a lower position.
pub fn are_competing_primaries(one: &Record, other: &Record) -> bool {
    let (
        Record::Member {
            name,
            group,
            primary_at,
            replica_at,
            ..
        },
        Record::Member {
            name: other_name,
            group: other_group,
            primary_at: other_primary_at,
            replica_at: other_replica_at,
            ..
        },
    ) = (one, other)
    else {
        return false;
    };
    let both_claim = *primary_at > 0 && *other_primary_at > 0 && name != other_name && group == other_group;
    both_claim
        && primary_at == other_primary_at
        && replica_at < primary_at
        && other_replica_at < other_primary_at
}
