//! Facts that one of two processes of a service learns while both may serve, and that the other one needs.
//!
//! The predecessor sends its facts in [`CoServingMessage`](crate::co_serving::CoServingMessage)s, ahead of the
//! clients that it moves. The successor records them in the I/O journal before it acts on them, so that they
//! outlive it; once it owns the service and the journal has ended, it sends them in the same messages.

use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// A fact. The encoding is positional. Times are those of the service's clock, which both processes share, in
/// microseconds.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LearnedFact {
    /// A statement that must not be executed twice is sent to a member, and may have been executed from now on.
    Dispatched {
        /// Hash of the id that its client gave it.
        client_id: u64,
        /// Name of the member.
        member: String,
        /// When it was first sent to a member.
        at: u64,
    },
    /// An execution of such a statement is known not to have happened.
    NotExecuted {
        /// Hash of the id that its client gave it.
        client_id: u64,
    },
    /// A write of a session has ended and may have been executed. Shared before its client gets the answer.
    SessionWrite {
        /// Hash of the session; `None` stands for any session.
        session: Option<u64>,
        /// Log position of the write. `None` if it was not reported: the write has committed by the time at which
        /// the other process learns the fact.
        position: Option<u64>,
    },
    /// The process was told to read the configuration and the operators' file again, and so must the other one.
    ReloadRequested,
}

impl LearnedFact {
    /// Whether it is about a single statement.
    fn is_of_statement(&self) -> bool {
        matches!(
            self,
            LearnedFact::Dispatched { .. } | LearnedFact::NotExecuted { .. }
        )
    }
}

/// Maximum number of facts that a process keeps for the other one.
pub const MAX_FACTS: usize = 16_384;

/// Facts in the order in which they were learned.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct FactQueue(VecDeque<LearnedFact>);

impl FactQueue {
    /// Adds a fact. Beyond [`MAX_FACTS`] all writes of sessions become one of any session, or else the oldest fact of
    /// a statement is dropped.
    pub fn push(&mut self, fact: LearnedFact) {
        if fact == LearnedFact::ReloadRequested && self.0.contains(&fact) {
            return;
        }
        self.0.push_back(fact);
        if self.0.len() > MAX_FACTS {
            self.merge_session_writes();
        }
        if self.0.len() > MAX_FACTS {
            let oldest = self.0.iter().position(LearnedFact::is_of_statement);
            oldest.and_then(|index| self.0.remove(index));
        }
    }

    /// Replaces all writes of sessions by one of any session, at the newest of their positions.
    fn merge_session_writes(&mut self) {
        let mut merged: Option<Option<u64>> = None;
        self.0.retain(|fact| {
            let LearnedFact::SessionWrite { position, .. } = fact else {
                return true;
            };
            merged = Some(match merged {
                Some(newest) => newest
                    .zip(*position)
                    .map(|(newest, position)| newest.max(position)),
                None => *position,
            });
            false
        });
        if let Some(position) = merged {
            let session = None;
            self.0.push_back(LearnedFact::SessionWrite { session, position });
        }
    }

    /// Takes all facts, the oldest first.
    pub fn take(&mut self) -> Vec<LearnedFact> {
        std::mem::take(&mut self.0).into()
    }
}
