//! What binds two processes that serve the same members side by side.
//!
//! Executions in flight at either process count against the other's concurrency limits, and a drain that
//! either hears of binds both. Members go by name, for each process gives ids of its own to those it learns
//! of later.
//!
//! Counts are sent again only once the peer has acknowledged the last ones. So a peer that hangs is sent
//! little, and a busy process sends what holds now instead of all that held meanwhile.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Executions in flight by member name.
pub type InFlightCounts = BTreeMap<String, u32>;

/// What two processes tell one another while both serve. Its bytes are positional.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum CoServingMessage {
    /// The sender has so many executions in flight at a member.
    InFlight {
        /// The member's name.
        member: String,
        /// Executions in flight there.
        count: u32,
    },
    /// A member drains or is gone.
    Draining {
        /// The member's name.
        member: String,
        /// When the member that drains had started: Unix time in milliseconds, 0 if that was long ago.
        started_ms: u64,
    },
    /// The last counts are taken over.
    Acknowledged,
}

/// What one process has sent to its peer and received from it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CoServingState {
    /// Counts that were sent last.
    announced_in_flight: InFlightCounts,
    /// Start of each draining member, as both processes know it.
    known_drains: BTreeMap<String, u64>,
    /// Whether the peer is still to acknowledge the counts.
    awaits_acknowledgement: bool,
    /// Executions that the peer has in flight; only members with some.
    peer_counts: InFlightCounts,
}

impl CoServingState {
    /// What to send now that `counts` are in flight here: what changed since the last time, or nothing while
    /// that is unacknowledged.
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

    /// The message on a drain that this process learned of: once for each start of the member.
    pub fn drain_update(&mut self, member: &str, started_ms: u64) -> Option<CoServingMessage> {
        let known = self.known_drains.insert(member.to_owned(), started_ms);
        if known.is_some_and(|known| known >= started_ms) {
            return None;
        }
        let member = member.to_owned();
        Some(CoServingMessage::Draining { member, started_ms })
    }

    /// Takes over what the peer sent and returns the answer to it.
    pub fn on_messages(&mut self, messages: &[CoServingMessage]) -> Option<CoServingMessage> {
        let mut has_counts = false;
        for message in messages {
            match message {
                // Remembered, so that it isn't sent back.
                CoServingMessage::Draining { member, started_ms } => {
                    self.known_drains.insert(member.clone(), *started_ms);
                }
                CoServingMessage::Acknowledged => self.awaits_acknowledgement = false,
                CoServingMessage::InFlight { member, count } => {
                    self.peer_counts.insert(member.clone(), *count);
                    has_counts = true;
                }
            }
        }
        self.peer_counts.retain(|_, count| *count > 0);
        has_counts.then_some(CoServingMessage::Acknowledged)
    }

    /// How many executions the peer has in flight at all members together.
    pub fn peer_in_flight(&self) -> u64 {
        self.peer_counts.values().map(|count| u64::from(*count)).sum()
    }
}
