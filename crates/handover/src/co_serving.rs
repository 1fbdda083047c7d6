//! What binds two processes that serve the same members side by side: what either has out counts against the other's
//! bounds, and a drain told to either binds both. Members go by name, for each process gives ids of its own to those it
//! hears of later.
//!
//! What is out is told again only when the other side has taken the last word of it over: so a side that hangs is told
//! little, and a busy one tells what holds now and not all that held meanwhile.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What is told of a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum CoServingMessage {
    /// So many executions are out there.
    InFlight { member: String, count: u32 },
    /// It drains or is gone, as one that started then (Unix time in milliseconds; 0 if that was long ago).
    Draining { member: String, started_ms: u64 },
    /// What was told of what is out is taken over.
    Acknowledged,
}

/// What the other side was told last: only what differs is told again.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CoServingState {
    announced_in_flight: BTreeMap<String, u32>,
    known_drains: BTreeMap<String, u64>,
    /// The other side is still to take over what it was told.
    awaits_acknowledgement: bool,
    /// What the other side has out.
    peer_counts: BTreeMap<String, u32>,
}

impl CoServingState {
    /// What is to be told, as what is out has changed; nothing while the last word of it is on its way.
    pub fn in_flight_updates(&mut self, now: BTreeMap<String, u32>) -> Vec<CoServingMessage> {
        if self.awaits_acknowledgement {
            return Vec::new();
        }
        let over = self.announced_in_flight.keys().filter(|m| !now.contains_key(*m));
        let over = over.map(|m| (m.clone(), 0));
        let differs = now
            .iter()
            .filter(|(m, count)| self.announced_in_flight.get(*m) != Some(count));
        let differs = differs.map(|(m, count)| (m.clone(), *count));
        let all: BTreeMap<_, _> = over.chain(differs).collect();
        self.announced_in_flight = now;
        self.awaits_acknowledgement = !all.is_empty();
        let words = all.into_iter();
        words
            .map(|(member, count)| CoServingMessage::InFlight { member, count })
            .collect()
    }

    /// A drain that was heard here; told once for each start of the member.
    pub fn drain_update(&mut self, member: &str, started_ms: u64) -> Option<CoServingMessage> {
        let before = self.known_drains.insert(member.to_owned(), started_ms);
        let is_new = before.is_none_or(|at| at < started_ms);
        let member = member.to_owned();
        is_new.then_some(CoServingMessage::Draining { member, started_ms })
    }

    /// The other side has told this; what is to be answered.
    pub fn on_messages(&mut self, words: &[CoServingMessage]) -> Option<CoServingMessage> {
        for word in words {
            match word {
                // It needn't be told back.
                CoServingMessage::Draining { member, started_ms } => {
                    drop(self.known_drains.insert(member.clone(), *started_ms))
                }
                CoServingMessage::Acknowledged => self.awaits_acknowledgement = false,
                CoServingMessage::InFlight { member, count } => {
                    drop(self.peer_counts.insert(member.clone(), *count))
                }
            }
        }
        self.peer_counts.retain(|_, count| *count > 0);
        let told_what_is_out = words
            .iter()
            .any(|w| matches!(w, CoServingMessage::InFlight { .. }));
        told_what_is_out.then_some(CoServingMessage::Acknowledged)
    }

    /// How much the other side has out in all.
    pub fn peer_in_flight(&self) -> u64 {
        self.peer_counts.values().map(|count| u64::from(*count)).sum()
    }
}
