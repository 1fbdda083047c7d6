//! Assesses what a stored record may be used for.
//!
//! The first rule that applies, in a fixed order, decides. How long the host was down is unknown, because its
//! wall clock may have been set in the meantime, in either direction. No rule therefore depends on the age of
//! a record, and each is safe for any age: records that restrict the driver count as just received, and
//! records that are only hints count as old.

use asterlatch::time::TimeSpan;
use asterlatch_gossip::record::{ListedState, Record, RecordKind};

/// What a stored record may be used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Usability {
    /// It is used as if it were received now.
    Immediate,
    /// It is a lower bound: reads of its session must not return older data.
    LowerBound,
    /// It is a hint on a member, used once the member has reported its own state.
    AfterMemberReport,
    /// It is not used.
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

/// Assumed age of a hint, as a fraction of the time to live of its kind.
const HINT_AGE_FRACTION: f64 = 0.5;

/// The rules' decision on a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Assessment {
    /// What the record may be used for.
    pub usability: Usability,
    /// The age to assume for it, independent of the wall clock; `None` if it is not used.
    pub age: Option<TimeSpan>,
    /// Reason of the rule that decided, for operators.
    pub reason: &'static str,
}

/// The record that a rule's condition is evaluated on.
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

/// A condition, and the usability of records that meet it.
struct Rule {
    reason: &'static str,
    applies: fn(&Candidate) -> bool,
    usability: Usability,
}

/// The rules in order of precedence. The last one applies to all remaining records.
const RULES: [Rule; 8] = [
    Rule {
        reason: "leases, delayed executions and load shares end with the incarnation that sent them",
        applies: |candidate| !candidate.record.kind().is_persistent(),
        usability: Usability::Never,
    },
    Rule {
        reason: "a driver's report about itself is for operators only, and the driver sends it again",
        applies: |candidate| candidate.has_kind(RecordKind::Driver),
        usability: Usability::Never,
    },
    Rule {
        reason: "a member listed as ready restricts nothing, and the endpoint list reports it again",
        applies: |candidate| candidate.is_listed_ready(),
        usability: Usability::Never,
    },
    Rule {
        reason: "a drain applies until a newer endpoint list ends it, whatever its age",
        applies: |candidate| candidate.has_kind(RecordKind::Drain),
        usability: Usability::Immediate,
    },
    Rule {
        reason: "a session's reads must see its writes: they wait, go to the primary or are rejected",
        applies: |candidate| candidate.has_kind(RecordKind::Session),
        usability: Usability::LowerBound,
    },
    Rule {
        reason: "work sent to a warming member still counts, and a member that was down warms up too",
        applies: |candidate| candidate.has_kind(RecordKind::WarmUp),
        usability: Usability::Immediate,
    },
    Rule {
        reason:
            "a position is a bound, a role counts only once the member reports: it may have lost log entries",
        applies: |candidate| candidate.has_kind(RecordKind::Member),
        usability: Usability::AfterMemberReport,
    },
    UNKNOWN_KIND,
];

const UNKNOWN_KIND: Rule = Rule {
    reason: "no rule covers this kind of record",
    applies: |_| true,
    usability: Usability::Never,
};

/// Assesses a stored record by the first rule that applies.
pub fn assess(record: &Record) -> Assessment {
    let candidate = Candidate { record };
    let rule = RULES.iter().find(|rule| (rule.applies)(&candidate));
    let rule = rule.unwrap_or(&UNKNOWN_KIND);
    let age = match rule.usability {
        Usability::Never => None,
        // Counts as just received, so that it applies for its whole time to live.
        Usability::Immediate | Usability::LowerBound => Some(TimeSpan(0)),
        // Counts as old, so that it proves no member available and expires soon.
        Usability::AfterMemberReport => Some(record.kind().time_to_live() * HINT_AGE_FRACTION),
    };
    Assessment {
        usability: rule.usability,
        age,
        reason: rule.reason,
    }
}
