//! Contradictions between records. Merging keeps the more conservative version; both versions are logged here, so that an
//! operator can find out which side is wrong.

use crate::record::Record;
use asterlatch::time::Timestamp;
use std::collections::VecDeque;

/// What kind of contradiction it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ConflictKind {
    /// One version of the endpoint list gives a member two states.
    ListVersionMismatch,
    /// Two members of one group reported to be primary at overlapping log positions.
    CompetingPrimaries,
    /// A driver sent two different reports under one number: two processes share a name, or one restarted with the
    /// incarnation of its predecessor.
    DuplicateDriver,
    /// A datagram claims a name that isn't configured for its source address.
    ForeignAddress,
    /// A driver dispatched a statement after it had denied that it ever would.
    DispatchedAfterDenial,
}

impl ConflictKind {
    /// The description shown to operators.
    pub fn name(self) -> &'static str {
        match self {
            ConflictKind::ListVersionMismatch => "two lists of one version",
            ConflictKind::CompetingPrimaries => "two primaries at once",
            ConflictKind::DuplicateDriver => "two drivers of one name",
            ConflictKind::ForeignAddress => "a foreign address",
            ConflictKind::DispatchedAfterDenial => "a statement dispatched after that was denied",
        }
    }
}

/// The two contradicting statements, as text for operators.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ConflictSides {
    /// What was known first.
    pub one: String,
    /// What contradicts it.
    pub other: String,
}

/// One logged contradiction.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Conflict {
    /// What kind of contradiction it is.
    pub kind: ConflictKind,
    /// What it is about: a record key, a group or a driver name.
    pub subject: String,
    /// What both sides claim.
    pub sides: ConflictSides,
    /// When it was first seen.
    pub first_seen: Timestamp,
    /// When it was last seen.
    pub last_seen: Timestamp,
    /// How often it was seen.
    pub count: u64,
}

/// Most conflicts that are kept; beyond it the oldest are dropped.
pub const MAX_CONFLICTS: usize = 256;

/// A bounded log of distinct conflicts, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ConflictLog {
    conflicts: VecDeque<Conflict>,
}

impl ConflictLog {
    /// Adds a conflict, or counts one that is already logged. Returns whether it is new.
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

/// How two versions of one key contradict each other, if they do.
pub fn conflict_between(local: &Record, remote: &Record) -> Option<ConflictKind> {
    match (local, remote) {
        (Record::Drain { .. }, Record::Drain { .. }) if is_list_mismatch(local, remote) => {
            Some(ConflictKind::ListVersionMismatch)
        }
        (Record::Driver { .. }, Record::Driver { .. }) if is_duplicate_driver(local, remote) => {
            Some(ConflictKind::DuplicateDriver)
        }
        _ => None,
    }
}

fn is_list_mismatch(local: &Record, remote: &Record) -> bool {
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

/// Whether both members claim to be primary of one group and neither is known to have stepped down since: each claim is
/// newer than the other's last report as replica, and both are at the same position.
///
/// A regular takeover is no conflict: the former primary reports as replica, or is silent from below the new claim on.
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
