//! How the predecessor answers statements that a dead successor had read.

use std::collections::BTreeMap;

/// How the predecessor treats a statement that a dead successor may have read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StatementVerdict {
    /// It was not dispatched, or executing it twice is harmless: the client may retry it.
    Rejected,
    /// It may have been executed.
    Aborted,
    /// The successor had not read it completely, so it is processed like any new statement.
    Unread,
}

/// Verdicts on the statements in a client's unanswered input, by the offset in that input at which each ends.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct StatementVerdicts {
    /// Offset up to which the successor had read.
    pub(super) read_to: u64,
    /// Ends of dispatched statements, and whether each is safe to retry.
    pub(super) dispatched: BTreeMap<u64, bool>,
}

impl StatementVerdicts {
    /// The verdict on the statement that ends at offset `end`.
    pub fn verdict_for(&self, end: u64) -> StatementVerdict {
        if end > self.read_to {
            return StatementVerdict::Unread;
        }
        match self.dispatched.get(&end) {
            Some(false) => StatementVerdict::Aborted,
            Some(true) | None => StatementVerdict::Rejected,
        }
    }

    /// Whether every statement that ends after offset `end` is [`StatementVerdict::Unread`].
    pub fn is_past_last(&self, end: u64) -> bool {
        end >= self.read_to
    }
}
