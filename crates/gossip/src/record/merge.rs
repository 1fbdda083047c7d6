//! Merge rules. For each kind the merge is commutative, associative and idempotent, so copies that received
//! the same records in any order are equal. Of two contradictory versions the more conservative one wins;
//! module `conflict` reports the contradiction.

use super::{ListedState, LoadShare, Record, RecordKind};
use asterlatch::time::Timestamp;
use std::cmp::Ordering;

/// Relation of a merge result to its two inputs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// Both versions are equal.
    Identical,
    /// The local version already contains the remote one.
    Local,
    /// The remote version replaces the local one.
    Remote,
    /// Neither version contains the other; this record combines them.
    Combined(Record),
}

/// Rank of a version among those of one key, for kinds of which the greater version replaces the lesser one.
/// Fields are compared in the order in which they are declared.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Precedence<'a> {
    /// A later start of the member, then the newer endpoint list, then the worse state.
    Drain {
        started_ms: u64,
        list_version: u64,
        state: ListedState,
    },
    /// The latest report of the latest incarnation.
    WarmUp {
        incarnation: u64,
        sequence: u64,
        work_us: u64,
        carried_microcores: u64,
    },
    /// The furthest log position.
    Session { position: u64 },
    /// The latest report of the latest incarnation; of two contradictory reports the one that is behind.
    Driver {
        incarnation: u64,
        sequence: u64,
        is_behind: bool,
        list_version: u64,
        operators_file: u64,
    },
    /// The latest report of the latest incarnation.
    DelayedExecution {
        incarnation: u64,
        sequence: u64,
        outstanding_us: u64,
    },
    /// The latest report of the latest incarnation.
    Load {
        incarnation: u64,
        sequence: u64,
        shares: &'a [LoadShare],
    },
}

impl Record {
    /// Merges `remote` into this version of the same key and returns which input the result equals.
    pub fn merge_outcome(&self, remote: &Record) -> MergeOutcome {
        if self == remote {
            return MergeOutcome::Identical;
        }
        let merged = self.merge(remote);
        if merged == *self {
            MergeOutcome::Local
        } else if merged == *remote {
            MergeOutcome::Remote
        } else {
            MergeOutcome::Combined(merged)
        }
    }

    /// The least upper bound of two versions of one key. If the kinds differ, returns this version.
    pub fn merge(&self, other: &Record) -> Record {
        if self.kind() != other.kind() {
            return self.clone();
        }
        match self {
            Record::Member { .. } => merge_members(self, other),
            Record::Lease { .. } => merge_leases(self, other),
            _ if self.precedence() >= other.precedence() => self.clone(),
            _ => other.clone(),
        }
    }

    /// Observation time of a merge result, given those of its inputs.
    pub fn merged_observed_at(
        &self,
        outcome: &MergeOutcome,
        local: Timestamp,
        remote: Timestamp,
    ) -> Timestamp {
        match outcome {
            MergeOutcome::Local => local,
            MergeOutcome::Remote => remote,
            // A drain dates from its first observation; other records from the latest confirmation.
            MergeOutcome::Identical if self.kind() == RecordKind::Drain => local.min(remote),
            MergeOutcome::Identical | MergeOutcome::Combined(_) => local.max(remote),
        }
    }

    /// `None` for kinds that are merged field by field or by rules of their own.
    fn precedence(&self) -> Option<Precedence<'_>> {
        Some(match self {
            Record::Drain { .. } => self.drain_precedence()?,
            Record::WarmUp {
                incarnation,
                sequence,
                work_us,
                carried_microcores,
                ..
            } => Precedence::WarmUp {
                incarnation: *incarnation,
                sequence: *sequence,
                work_us: *work_us,
                carried_microcores: *carried_microcores,
            },
            Record::Session { position, .. } => Precedence::Session { position: *position },
            Record::Driver { .. } => self.driver_precedence()?,
            Record::DelayedExecution {
                incarnation,
                sequence,
                outstanding_us,
                ..
            } => Precedence::DelayedExecution {
                incarnation: *incarnation,
                sequence: *sequence,
                outstanding_us: *outstanding_us,
            },
            Record::Load {
                incarnation,
                sequence,
                shares,
                ..
            } => Precedence::Load {
                incarnation: *incarnation,
                sequence: *sequence,
                shares,
            },
            Record::Member { .. } | Record::Lease { .. } => return None,
        })
    }

    fn drain_precedence(&self) -> Option<Precedence<'_>> {
        let Record::Drain {
            started_ms,
            list_version,
            state,
            ..
        } = self
        else {
            return None;
        };
        Some(Precedence::Drain {
            started_ms: *started_ms,
            list_version: *list_version,
            state: *state,
        })
    }

    fn driver_precedence(&self) -> Option<Precedence<'_>> {
        let Record::Driver {
            incarnation,
            sequence,
            list_version,
            operators_file,
            caught_up,
            ..
        } = self
        else {
            return None;
        };
        Some(Precedence::Driver {
            incarnation: *incarnation,
            sequence: *sequence,
            is_behind: !caught_up,
            list_version: *list_version,
            operators_file: *operators_file,
        })
    }
}

/// A later start of the member wins. Within one start positions only grow, so each field takes the maximum.
fn merge_members(local: &Record, remote: &Record) -> Record {
    let (
        Record::Member {
            name,
            started_ms,
            group,
            position,
            primary_at,
            replica_at,
        },
        Record::Member {
            started_ms: remote_started_ms,
            group: remote_group,
            position: remote_position,
            primary_at: remote_primary_at,
            replica_at: remote_replica_at,
            ..
        },
    ) = (local, remote)
    else {
        return local.clone();
    };
    match started_ms.cmp(remote_started_ms) {
        Ordering::Less => remote.clone(),
        Ordering::Greater => local.clone(),
        Ordering::Equal => Record::Member {
            name: name.clone(),
            started_ms: *started_ms,
            group: *group.max(remote_group),
            position: *position.max(remote_position),
            primary_at: *primary_at.max(remote_primary_at),
            replica_at: *replica_at.max(remote_replica_at),
        },
    }
}

/// Returns the version that wins by the rules of `asterlatch_coordination::lease`.
fn merge_leases(local: &Record, remote: &Record) -> Record {
    match (local, remote) {
        (Record::Lease { lease, .. }, Record::Lease { lease: other, .. })
            if lease.merge(*other) != *lease =>
        {
            remote.clone()
        }
        _ => local.clone(),
    }
}
