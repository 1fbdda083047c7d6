//! What can't both be true. The conservative telling stands by the rules of `fact`; both are kept here, for an operator
//! to see who is wrong. Bounded: the oldest go.

use crate::record::{Key, Record};
use asterlatch::time::Timestamp;
use std::collections::VecDeque;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// One version of the list calls a member two things.
    TwoLists,
    /// Two members of one group spoke as primary at one position, or by turns.
    TwoPrimaries,
    /// A driver said two things the same time: two processes have one name, or it lost its memory and not its life.
    TwoDrivers,
    /// Somebody speaks under a name from an address that isn't that name's.
    Foreign,
    /// An id that was told to be untouched was sent after all.
    Untouched,
}

impl Kind {
    pub fn name(self) -> &'static str {
        match self {
            Kind::TwoLists => "two lists of one version",
            Kind::TwoPrimaries => "two primaries at once",
            Kind::TwoDrivers => "two drivers of one name",
            Kind::Foreign => "a foreign address",
            Kind::Untouched => "an id that was called untouched",
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Quarrel {
    pub kind: Kind,
    /// What it is about, and what both sides say.
    pub about: String,
    pub sides: (String, String),
    pub first: Timestamp,
    pub last: Timestamp,
    pub times: u64,
}

pub const MOST: usize = 256;

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Quarrels {
    all: VecDeque<Quarrel>,
}

impl Quarrels {
    /// Says whether it is new.
    pub fn note(&mut self, now: Timestamp, kind: Kind, about: String, sides: (String, String)) -> bool {
        let known = self
            .all
            .iter_mut()
            .find(|q| q.kind == kind && q.about == about && q.sides == sides);
        if let Some(known) = known {
            (known.last, known.times) = (now, known.times + 1);
            return false;
        }
        if self.all.len() >= MOST {
            self.all.pop_front();
        }
        let (first, last, times) = (now, now, 1);
        self.all.push_back(Quarrel {
            kind,
            about,
            sides,
            first,
            last,
            times,
        });
        true
    }

    pub fn all(&self) -> impl Iterator<Item = &Quarrel> {
        self.all.iter()
    }
}

/// What two tellings of one key quarrel about, if they do.
pub fn between(here: &Record, came: &Record) -> Option<Kind> {
    match (here, came) {
        (
            Record::Drain {
                started_ms,
                list,
                standing,
                ..
            },
            Record::Drain {
                started_ms: s,
                list: l,
                standing: st,
                ..
            },
        ) => (started_ms == s && list == l && standing != st).then_some(Kind::TwoLists),
        (
            Record::Driver { life, said, .. },
            Record::Driver {
                life: li, said: sa, ..
            },
        ) => (life == li && said == sa && here != came).then_some(Kind::TwoDrivers),
        _ => None,
    }
}

/// Both claim to be primary of one group and neither is known to have stepped back since: the first's claim is newer than
/// the other's last word as replica, and the other way round, and they overlap.
pub fn claim_both(one: &Record, other: &Record) -> bool {
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

pub fn about(key: &Key) -> String {
    format!("{} {}", key.0.name(), key.1)
}
