//! Log positions of sessions' last writes.

use crate::time::Timestamp;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Position of each remembered session, and one that covers all that were dropped.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct SessionPositions {
    positions: BTreeMap<u64, Timestamp>,
    newest_dropped: Timestamp,
}

impl SessionPositions {
    /// Position that a read of the session must see; for an unknown session the newest one dropped.
    pub(crate) fn required(&self, session: u64) -> Timestamp {
        let known = self.positions.get(&session).copied();
        known.unwrap_or(self.newest_dropped)
    }

    /// Records a write. At `capacity` all sessions are dropped first; reads stay safe, since unknown sessions then need
    /// the newest position dropped.
    pub(crate) fn record(&mut self, session: u64, position: Timestamp, capacity: usize) {
        let newest = position.max(self.required(session));
        if self.positions.len() >= capacity {
            let dropped = self.positions.values().copied();
            self.newest_dropped = dropped.fold(self.newest_dropped, Timestamp::max);
            self.positions.clear();
        }
        self.positions.insert(session, newest);
    }
}
