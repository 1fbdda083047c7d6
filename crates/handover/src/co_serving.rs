//! Shares concurrency limits and drains between two processes that serve the same members.
//!
//! Executions in flight at either process count against the other's concurrency limits, and both respect a
//! drain that either learns of. Members are identified by name, because each process assigns its own ids to
//! members that it learns of later.
//!
//! New counts are sent only once the peer has acknowledged the last ones. This bounds the messages queued for
//! a peer that hangs, and skips outdated counts when the peer is slow.

use crate::learned_fact::LearnedFact;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Executions in flight by member name.
pub type InFlightCounts = BTreeMap<String, u32>;

/// A message between two processes while both serve. The encoding is positional.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum CoServingMessage {
    /// Number of the sender's executions in flight at a member.
    InFlight {
        /// The member's name.
        member: String,
        /// Executions in flight there.
        count: u32,
    },
    /// A member drains or was removed.
    Draining {
        /// The member's name.
        member: String,
        /// Start of the draining incarnation of the member: Unix time in milliseconds, 0 if long ago.
        started_ms: u64,
    },
    /// The sender has applied the last counts.
    Acknowledged,
    /// Successor: it understands the variants from here on. Earlier builds don't, so it is sent only to a
    /// predecessor whose state has facts.
    AcceptsFacts,
    /// The sender has learned this.
    Learned(LearnedFact),
}

/// Counts and drains that one process has sent to its peer and received from it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CoServingState {
    /// Counts that were last sent.
    announced_in_flight: InFlightCounts,
    /// Start of each draining member that both processes know of.
    known_drains: BTreeMap<String, u64>,
    /// Whether the last sent counts are not acknowledged yet.
    awaits_acknowledgement: bool,
    /// The peer's executions in flight, without members that have none.
    peer_counts: InFlightCounts,
    /// Whether the peer understands [`CoServingMessage::Learned`].
    peer_accepts_facts: bool,
}

impl CoServingState {
    /// Messages to send when `counts` are in flight here: the changes since the last call that sent any, or
    /// nothing while those are unacknowledged.
    pub fn in_flight_updates(&mut self, counts: InFlightCounts) -> Vec<CoServingMessage> {
        if self.awaits_acknowledgement {
            return Vec::new();
        }
        let announced = &self.announced_in_flight;
        let finished = announced.keys().filter(|member| !counts.contains_key(*member));
        let finished = finished.map(|member| (member.clone(), 0));
        let changed = counts
            .iter()
            .filter(|(member, count)| announced.get(*member) != Some(count));
        let changed = changed.map(|(member, count)| (member.clone(), *count));
        let updates: InFlightCounts = finished.chain(changed).collect();
        self.announced_in_flight = counts;
        self.awaits_acknowledgement = !updates.is_empty();
        let updates = updates.into_iter();
        updates
            .map(|(member, count)| CoServingMessage::InFlight { member, count })
            .collect()
    }

    /// The message on a drain that this process learned of, once for each start of the member.
    pub fn drain_update(&mut self, member: &str, started_ms: u64) -> Option<CoServingMessage> {
        let known = self.known_drains.insert(member.to_owned(), started_ms);
        if known.is_some_and(|known| known >= started_ms) {
            return None;
        }
        let member = member.to_owned();
        Some(CoServingMessage::Draining { member, started_ms })
    }

    /// Applies the peer's messages and returns the acknowledgement of its counts, if there are any.
    pub fn on_messages(&mut self, messages: &[CoServingMessage]) -> Option<CoServingMessage> {
        let mut has_counts = false;
        for message in messages {
            match message {
                // The peer knows of it, so it is not sent back.
                CoServingMessage::Draining { member, started_ms } => {
                    self.known_drains.insert(member.clone(), *started_ms);
                }
                CoServingMessage::Acknowledged => self.awaits_acknowledgement = false,
                CoServingMessage::AcceptsFacts => self.peer_accepts_facts = true,
                CoServingMessage::Learned(_) => {}
                CoServingMessage::InFlight { member, count } => {
                    self.peer_counts.insert(member.clone(), *count);
                    has_counts = true;
                }
            }
        }
        self.peer_counts.retain(|_, count| *count > 0);
        has_counts.then_some(CoServingMessage::Acknowledged)
    }

    /// Notes that the peer understands [`CoServingMessage::Learned`].
    pub fn set_peer_accepts_facts(&mut self) {
        self.peer_accepts_facts = true;
    }

    /// Whether the peer understands [`CoServingMessage::Learned`].
    pub fn peer_accepts_facts(&self) -> bool {
        self.peer_accepts_facts
    }

    /// Number of the peer's executions in flight at all members.
    pub fn peer_in_flight(&self) -> u64 {
        self.peer_counts.values().map(|count| u64::from(*count)).sum()
    }
}
