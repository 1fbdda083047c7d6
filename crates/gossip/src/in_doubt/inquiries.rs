//! Inquiries about statements that wait for replies of peers.

use super::DispatchStatus;
use asterlatch::time::{TimeSpan, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// Age of an execution that may have happened at any time; longer than any retry window.
pub const UNBOUNDED_AGE: TimeSpan = TimeSpan(u64::MAX / 4);

/// Outcome of an inquiry about a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InquiryOutcome {
    /// No other driver has dispatched the statement or will: it may be dispatched.
    NotExecuted,
    /// The outcome of the statement is in doubt.
    MayHaveExecuted {
        /// Time since the first known dispatch.
        age: TimeSpan,
        /// Name of the member that it was dispatched to, if known.
        member: Option<String>,
    },
}

impl InquiryOutcome {
    fn unknown() -> InquiryOutcome {
        InquiryOutcome::MayHaveExecuted {
            age: UNBOUNDED_AGE,
            member: None,
        }
    }
}

/// The outcome of an inquiry that has timed out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InquiryDecision {
    /// Deduplication id of the statement.
    pub id: u64,
    /// What is assumed about the statement.
    pub outcome: InquiryOutcome,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Inquiry {
    sequence: u32,
    pending_peers: BTreeSet<usize>,
    deadline: Timestamp,
}

/// Open inquiries, by deduplication id.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Inquiries {
    open: BTreeMap<u64, Inquiry>,
    last_sequence: u32,
}

impl Inquiries {
    /// The number of open inquiries.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether there are no open inquiries.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Starts an inquiry and returns the sequence number that replies must carry. Returns `None` without
    /// peers: the statement may be dispatched.
    pub fn start(&mut self, now: Timestamp, id: u64, peers: &[usize], timeout: TimeSpan) -> Option<u32> {
        if peers.is_empty() {
            return None;
        }
        self.last_sequence += 1;
        let inquiry = Inquiry {
            sequence: self.last_sequence,
            pending_peers: peers.iter().copied().collect(),
            deadline: now + timeout,
        };
        self.open.insert(id, inquiry);
        Some(self.last_sequence)
    }

    /// Handles a peer's reply; returns the outcome once no further reply is needed.
    pub fn on_reply(
        &mut self,
        id: u64,
        sequence: u32,
        peer: usize,
        status: &DispatchStatus,
    ) -> Option<InquiryOutcome> {
        let inquiry = self
            .open
            .get_mut(&id)
            .filter(|inquiry| inquiry.sequence == sequence)?;
        if !inquiry.pending_peers.remove(&peer) {
            return None;
        }
        let outcome = match status {
            // A single such reply decides the inquiry.
            DispatchStatus::Dispatched { age, member } => InquiryOutcome::MayHaveExecuted {
                age: *age,
                member: Some(member.clone()),
            },
            DispatchStatus::Unknown => InquiryOutcome::unknown(),
            DispatchStatus::NotExecuted if inquiry.pending_peers.is_empty() => InquiryOutcome::NotExecuted,
            DispatchStatus::NotExecuted => return None,
        };
        self.open.remove(&id);
        Some(outcome)
    }

    /// Ends an inquiry because the client has disconnected or the statement was ceded. Returns whether it was
    /// open.
    pub fn cancel(&mut self, id: u64) -> bool {
        self.open.remove(&id).is_some()
    }

    /// When the next inquiry times out.
    pub fn next_at(&self) -> Option<Timestamp> {
        self.open.values().map(|inquiry| inquiry.deadline).min()
    }

    /// Ends inquiries that have timed out: peers that didn't reply may have dispatched the statement.
    pub fn take_timed_out(&mut self, now: Timestamp) -> Vec<InquiryDecision> {
        let mut decisions = Vec::new();
        self.open.retain(|id, inquiry| {
            let is_open = inquiry.deadline > now;
            if !is_open {
                decisions.push(InquiryDecision {
                    id: *id,
                    outcome: InquiryOutcome::unknown(),
                });
            }
            is_open
        });
        decisions
    }
}
