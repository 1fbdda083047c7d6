//! How far a kept fact is to be trusted. An ordered list of rules, the first that fires decides; each errs to the side that
//! is worse for the rule it may break, for how long a machine was dark nobody else may know.

use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_gossip::record::{Kind, Record, Standing};

/// What may be done with a kept fact.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Usability {
    /// As if it were heard now.
    Immediate,
    /// It binds from below: no read that it speaks of may be older.
    LowerBound,
    /// For what is expected of a member, once that has spoken for itself.
    AfterMemberReport,
    /// Not at all.
    Never,
}

impl Usability {
    pub fn name(self) -> &'static str {
        match self {
            Usability::Immediate => "at once",
            Usability::LowerBound => "as a bound",
            Usability::AfterMemberReport => "after the member's own word",
            Usability::Never => "never",
        }
    }
}

/// The wall clock of now against the time that a fact was written at, or the latest one of the whole copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WallClock {
    /// It went on: so much has passed, as far as it can be believed.
    Advanced(TimeSpan),
    /// It stands before what was written, as after a battery that died: how long it was nobody knows.
    WentBack,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Assessment {
    pub usability: Usability,
    /// How old it counts as; nothing where it isn't used.
    pub age: Option<TimeSpan>,
    /// The rule that said so.
    pub reason: &'static str,
}

/// What is looked at.
struct Candidate<'a> {
    record: &'a Record,
    clock: WallClock,
}

impl Candidate<'_> {
    fn kind(&self) -> Kind {
        self.record.kind()
    }

    /// Older than this kind is kept for, where that is known.
    fn is_expired(&self) -> bool {
        matches!(self.clock, WallClock::Advanced(span) if span >= self.kind().kept())
    }
}

type Rule = (&'static str, fn(&Candidate) -> bool, Usability);

/// In order; the last one fires for whatever is left.
const RULES: [Rule; 10] = [
    (
        "turns, late executions and shares ended with the life that said so",
        |c| !c.kind().outlives(),
        Usability::Never,
    ),
    (
        "what a driver said of itself is for operators, and it says it anew",
        |c| c.kind() == Kind::Driver,
        Usability::Never,
    ),
    ("told longer ago than it is kept for", |c| c.is_expired(), Usability::Never),
    (
        "a member that was told ready binds nothing, the list says it anew",
        |c| matches!(c.record, Record::Drain { standing: Standing::Ready, .. }),
        Usability::Never,
    ),
    (
        "a drain binds until a newer list ends it, however long that is",
        |c| c.kind() == Kind::Drain,
        Usability::Immediate,
    ),
    (
        "a session's write must be seen: its reads wait or go to the primary, and are refused rather than older",
        |c| c.kind() == Kind::Session,
        Usability::LowerBound,
    ),
    (
        "what a cold member bore counts, and whoever was dark is cold as well",
        |c| c.kind() == Kind::Cold,
        Usability::Immediate,
    ),
    (
        "how far a member was an unknown time ago proves nothing",
        |c| c.kind() == Kind::Member && c.clock == WallClock::WentBack,
        Usability::Never,
    ),
    (
        "a position is a bound, and a role is nobody's until the member has spoken: it may have lost its last log",
        |c| c.kind() == Kind::Member,
        Usability::AfterMemberReport,
    ),
    ("nothing is known of this kind", |_| true, Usability::Never),
];

/// What becomes of a fact that was known at `wall`, by the wall clock, where that shows `now`.
pub fn assess(record: &Record, written_at: Timestamp, now: Timestamp) -> Assessment {
    let clock = if written_at <= now {
        WallClock::Advanced(now - written_at)
    } else {
        WallClock::WentBack
    };
    let case = Candidate { record, clock };
    let (reason, _, usability) = RULES
        .iter()
        .find(|(_, fires, _)| fires(&case))
        .copied()
        .unwrap_or(RULES[RULES.len() - 1]);
    let age = match clock {
        _ if usability == Usability::Never => None,
        WallClock::Advanced(span) => Some(span),
        // As if it were told just now: so it binds for as long as it can.
        WallClock::WentBack => Some(TimeSpan(0)),
    };
    Assessment {
        usability,
        age,
        reason,
    }
}
