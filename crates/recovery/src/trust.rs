//! How far a stored record is trusted.
//!
//! An ordered list of rules decides; the first one that applies wins. Nobody can tell how long the machine was down: its
//! wall clock may have been set meanwhile, in either direction. So no rule asks how old a record is, and each is safe for
//! any age: what binds counts as received just now, what only helps as received long ago.

use asterlatch::time::TimeSpan;
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

/// Age that a record counts as which only helps, as a share of the time for which its kind is kept.
const HINT_AGE_SHARE: f64 = 0.5;

/// What the rules decide on a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Assessment {
    /// What the record may be used for.
    pub usability: Usability,
    /// How old it counts as, whatever clocks show; nothing where it isn't used.
    pub age: Option<TimeSpan>,
    /// The rule that decided, as operators read it.
    pub reason: &'static str,
}

/// A record that the rules look at.
struct Candidate<'a> {
    record: &'a Record,
}

impl Candidate<'_> {
    fn has_kind(&self, kind: RecordKind) -> bool {
        self.record.kind() == kind
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
const RULES: [Rule; 8] = [
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

/// What a stored record may be used for.
pub fn assess(record: &Record) -> Assessment {
    let candidate = Candidate { record };
    let rule = RULES.iter().find(|rule| (rule.applies)(&candidate));
    let rule = rule.unwrap_or(&UNKNOWN_KIND);
    let age = match rule.usability {
        Usability::Never => None,
        // As if it were received just now, so that it binds for as long as it can.
        Usability::Immediate | Usability::LowerBound => Some(TimeSpan(0)),
        // Old, so that it proves nobody alive, and gone before long.
        Usability::AfterMemberReport => Some(record.kind().time_to_live() * HINT_AGE_SHARE),
    };
    Assessment {
        usability: rule.usability,
        age,
        reason: rule.reason,
    }
}
