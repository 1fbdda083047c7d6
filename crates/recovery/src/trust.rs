//! How far a stored record is trusted.
//!
//! An ordered list of rules decides; the first one that applies wins. Each rule errs on the safe side,
//! because nobody can tell how long the machine was down.

use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_gossip::record::{ListedState, Record, RecordKind};

/// What a stored record may be used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Usability {
    /// As if it were received now.
    Immediate,
    /// As a lower bound: no read that it concerns may be older.
    LowerBound,
    /// For what is expected of a member, once that has reported itself.
    AfterMemberReport,
    /// For nothing.
    Never,
}

impl Usability {
    /// The name shown to operators.
    pub fn name(self) -> &'static str {
        match self {
            Usability::Immediate => "at once",
            Usability::LowerBound => "as a bound",
            Usability::AfterMemberReport => "after the member's own word",
            Usability::Never => "never",
        }
    }
}

/// The wall clock now, compared with the time at which a record was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WallClock {
    /// It advanced by this, as far as it can be believed.
    Advanced(TimeSpan),
    /// It shows an earlier time, as after a battery failure: how much time passed is unknown.
    WentBack,
}

impl WallClock {
    fn compare(written_at: Timestamp, now: Timestamp) -> WallClock {
        if written_at <= now {
            WallClock::Advanced(now - written_at)
        } else {
            WallClock::WentBack
        }
    }
}

/// What the rules decide on a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Assessment {
    /// What the record may be used for.
    pub usability: Usability,
    /// How old it counts as; nothing where it isn't used.
    pub age: Option<TimeSpan>,
    /// The rule that decided, as operators read it.
    pub reason: &'static str,
}

/// A record that the rules look at.
struct Candidate<'a> {
    record: &'a Record,
    clock: WallClock,
}

impl Candidate<'_> {
    fn has_kind(&self, kind: RecordKind) -> bool {
        self.record.kind() == kind
    }

    /// Whether it is known to be older than records of its kind are stored for.
    fn is_expired(&self) -> bool {
        let lifetime = self.record.kind().time_to_live();
        matches!(self.clock, WallClock::Advanced(age) if age >= lifetime)
    }

    fn is_listed_ready(&self) -> bool {
        let Record::Drain { state, .. } = self.record else {
            return false;
        };
        *state == ListedState::Ready
    }
}

/// A condition, and what a record that fulfils it may be used for.
struct Rule {
    reason: &'static str,
    applies: fn(&Candidate) -> bool,
    usability: Usability,
}

/// In this order; the last one applies to whatever is left.
const RULES: [Rule; 10] = [
    Rule {
        reason: "leases, late executions and shares ended with the incarnation that sent them",
        applies: |candidate| !candidate.record.kind().is_persistent(),
        usability: Usability::Never,
    },
    Rule {
        reason: "a driver's report of itself is for operators, and it reports anew",
        applies: |candidate| candidate.has_kind(RecordKind::Driver),
        usability: Usability::Never,
    },
    Rule {
        reason: "older than records of its kind are stored for",
        applies: |candidate| candidate.is_expired(),
        usability: Usability::Never,
    },
    Rule {
        reason: "a member listed as ready binds nothing, the endpoint list says it anew",
        applies: |candidate| candidate.is_listed_ready(),
        usability: Usability::Never,
    },
    Rule {
        reason: "a drain binds until a newer list ends it, however long that is",
        applies: |candidate| candidate.has_kind(RecordKind::Drain),
        usability: Usability::Immediate,
    },
    Rule {
        reason: "a session's write must be seen: its reads wait or go to the primary, and are rejected rather than older",
        applies: |candidate| candidate.has_kind(RecordKind::Session),
        usability: Usability::LowerBound,
    },
    Rule {
        reason: "work sent to a member that warms up counts, and a member that was down warms up as well",
        applies: |candidate| candidate.has_kind(RecordKind::WarmUp),
        usability: Usability::Immediate,
    },
    Rule {
        reason: "a member's position an unknown time ago proves nothing",
        applies: |candidate| candidate.has_kind(RecordKind::Member) && candidate.clock == WallClock::WentBack,
        usability: Usability::Never,
    },
    Rule {
        reason: "a position is a bound, and a role is nobody's until the member has reported: it may have lost its last log",
        applies: |candidate| candidate.has_kind(RecordKind::Member),
        usability: Usability::AfterMemberReport,
    },
    UNKNOWN_KIND,
];

const UNKNOWN_KIND: Rule = Rule {
    reason: "nothing is known of this kind",
    applies: |_| true,
    usability: Usability::Never,
};

/// What a record that was written at `written_at` by the wall clock may be used for when that clock shows
/// `now`.
pub fn assess(record: &Record, written_at: Timestamp, now: Timestamp) -> Assessment {
    let clock = WallClock::compare(written_at, now);
    let candidate = Candidate { record, clock };
    let rule = RULES.iter().find(|rule| (rule.applies)(&candidate));
    let rule = rule.unwrap_or(&UNKNOWN_KIND);
    let age = match clock {
        _ if rule.usability == Usability::Never => None,
        WallClock::Advanced(age) => Some(age),
        // As if it were received just now, so that it binds for as long as it can.
        WallClock::WentBack => Some(TimeSpan(0)),
    };
    Assessment {
        usability: rule.usability,
        age,
        reason: rule.reason,
    }
}
