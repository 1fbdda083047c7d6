//! What can't both be true. The conservative telling stands by the rules of `record`; both are kept here, for an operator
//! to see who is wrong. Bounded: the oldest go.

use crate::record::{Record, RecordKey};
use asterlatch::time::Timestamp;
use std::collections::VecDeque;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ConflictKind {
    /// One version of the list_version calls a member two things.
    ListVersionMismatch,
    /// Two members of one group spoke as primary at one position, or by turns.
    CompetingPrimaries,
    /// A driver sequence two things the same time: two processes have one name, or it lost its memory and not its incarnation.
    DuplicateDriver,
    /// Somebody speaks under a name from an address that isn't that name's.
    ForeignAddress,
    /// An id that was told to be untouched was sent after all.
    DispatchedAfterDenial,
}

impl ConflictKind {
    pub fn name(self) -> &'static str {
        match self {
            ConflictKind::ListVersionMismatch => "two lists of one version",
            ConflictKind::CompetingPrimaries => "two primaries at once",
            ConflictKind::DuplicateDriver => "two drivers of one name",
            ConflictKind::ForeignAddress => "a foreign address",
            ConflictKind::DispatchedAfterDenial => "an id that was called untouched",
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Conflict {
    pub kind: ConflictKind,
    /// What it is about, and what both sides say.
    pub about: String,
    pub sides: (String, String),
    pub first: Timestamp,
    pub last: Timestamp,
    pub times: u64,
}

pub const MAX_CONFLICTS: usize = 256;

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ConflictLog {
    all: VecDeque<Conflict>,
}

impl ConflictLog {
    /// Says whether it is new.
    pub fn note(
        &mut self,
        now: Timestamp,
        kind: ConflictKind,
        about: String,
        sides: (String, String),
    ) -> bool {
        let known = self
            .all
            .iter_mut()
            .find(|q| q.kind == kind && q.about == about && q.sides == sides);
        if let Some(known) = known {
            (known.last, known.times) = (now, known.times + 1);
            return false;
        }
        if self.all.len() >= MAX_CONFLICTS {
            self.all.pop_front();
        }
        let (first, last, times) = (now, now, 1);
        self.all.push_back(Conflict {
            kind,
            about,
            sides,
            first,
            last,
            times,
        });
        true
    }

    pub fn all(&self) -> impl Iterator<Item = &Conflict> {
        self.all.iter()
    }
}

/// What two retransmits of one key conflict about, if they do.
pub fn between(here: &Record, came: &Record) -> Option<ConflictKind> {
    match (here, came) {
        (
            Record::Drain {
                started_ms,
                list_version,
                state,
                ..
            },
            Record::Drain {
                started_ms: s,
                list_version: l,
                state: st,
                ..
            },
        ) => {
            (started_ms == s && list_version == l && state != st).then_some(ConflictKind::ListVersionMismatch)
        }
        (
            Record::Driver {
                incarnation,
                sequence,
                ..
            },
            Record::Driver {
                incarnation: li,
                sequence: sa,
                ..
            },
        ) => (incarnation == li && sequence == sa && here != came).then_some(ConflictKind::DuplicateDriver),
        _ => None,
    }
}

/// Both claim to be primary of one group and neither is known to have stepped back since: the first's claim is newer than
/// the other's last word as replica, and the other way round, and they overlap.
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
            name: n,
            group: g,
            primary_at: p,
            replica_at: r,
            ..
        },
    ) = (one, other)
    else {
        return false;
    };
    let both = *primary_at > 0 && *p > 0 && name != n && group == g;
    // The one with the lower claim was seen to claim again above the other's first word as replica: a plain takeover
    // leaves the former one as replica, or silent from below the new one's claim on.
    both && primary_at == p && replica_at < primary_at && r < p
}

pub fn about(key: &RecordKey) -> String {
    format!("{} {}", key.0.name(), key.1)
}
