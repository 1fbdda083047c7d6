//! How far a kept fact is to be trusted. An ordered list of rules, the first that fires decides; each errs to the side that
//! is worse for the rule it may break, for how long a machine was dark nobody else may know.

use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_gossip::record::{ListedState, Record, RecordKind};

/// What may be done with a kept fact.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Use {
    /// As if it were heard now.
    AtOnce,
    /// It binds from below: no read that it speaks of may be older.
    Bound,
    /// For what is expected of a member, once that has spoken for itself.
    AfterMember,
    /// Not at all.
    Never,
}

impl Use {
    pub fn name(self) -> &'static str {
        match self {
            Use::AtOnce => "at once",
            Use::Bound => "as a bound",
            Use::AfterMember => "after the member's own word",
            Use::Never => "never",
        }
    }
}

/// The wall clock of now against the time that a fact was written at, or the latest one of the whole copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Clock {
    /// It went on: so much has passed, as far as it can be believed.
    Passed(TimeSpan),
    /// It stands before what was written, as after a battery that died: how long it was nobody knows.
    WentBack,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    pub used: Use,
    /// How old it counts as; nothing where it isn't used.
    pub age: Option<TimeSpan>,
    /// The rule that said so.
    pub why: &'static str,
}

/// What is looked at.
struct Case<'a> {
    fact: &'a Record,
    clock: Clock,
}

impl Case<'_> {
    fn kind(&self) -> RecordKind {
        self.fact.kind()
    }

    /// Older than this kind is kept for, where that is known.
    fn is_over(&self) -> bool {
        matches!(self.clock, Clock::Passed(span) if span >= self.kind().time_to_live())
    }
}

type Rule = (&'static str, fn(&Case) -> bool, Use);

/// In order; the last one fires for whatever is left.
const RULES: [Rule; 10] = [
    (
        "turns, late executions and shares ended with the life that said so",
        |c| !c.kind().is_persistent(),
        Use::Never,
    ),
    (
        "what a driver said of itself is for operators, and it says it anew",
        |c| c.kind() == RecordKind::Driver,
        Use::Never,
    ),
    ("told longer ago than it is kept for", |c| c.is_over(), Use::Never),
    (
        "a member that was told ready binds nothing, the list says it anew",
        |c| matches!(c.fact, Record::Drain { state: ListedState::Ready, .. }),
        Use::Never,
    ),
    (
        "a drain binds until a newer list ends it, however long that is",
        |c| c.kind() == RecordKind::Drain,
        Use::AtOnce,
    ),
    (
        "a session's write must be seen: its reads wait or go to the primary, and are refused rather than older",
        |c| c.kind() == RecordKind::Session,
        Use::Bound,
    ),
    (
        "what a cold member bore counts, and whoever was dark is cold as well",
        |c| c.kind() == RecordKind::WarmUp,
        Use::AtOnce,
    ),
    (
        "how far a member was an unknown time ago proves nothing",
        |c| c.kind() == RecordKind::Member && c.clock == Clock::WentBack,
        Use::Never,
    ),
    (
        "a position is a bound, and a role is nobody's until the member has spoken: it may have lost its last log",
        |c| c.kind() == RecordKind::Member,
        Use::AfterMember,
    ),
    ("nothing is known of this kind", |_| true, Use::Never),
];

/// What becomes of a fact that was known at `wall`, by the wall clock, where that shows `now`.
pub fn trust(fact: &Record, wall: Timestamp, now: Timestamp) -> Verdict {
    let clock = if wall <= now {
        Clock::Passed(now - wall)
    } else {
        Clock::WentBack
    };
    let case = Case { fact, clock };
    let (why, _, used) = RULES
        .iter()
        .find(|(_, fires, _)| fires(&case))
        .copied()
        .unwrap_or(RULES[RULES.len() - 1]);
    let age = match clock {
        _ if used == Use::Never => None,
        Clock::Passed(span) => Some(span),
        // As if it were told just now: so it binds for as long as it can.
        Clock::WentBack => Some(TimeSpan(0)),
    };
    Verdict { used, age, why }
}
