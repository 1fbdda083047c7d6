//! Log positions of sessions' last writes.

use crate::time::RemoteTimestamp;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Position of each remembered session, and one that covers all that were dropped.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct SessionPositions {
    positions: BTreeMap<u64, RemoteTimestamp>,
    newest_dropped: RemoteTimestamp,
}

impl SessionPositions {
    /// Position that a read of the session must see; for an unknown session the newest one dropped.
    pub(crate) fn required(&self, session: u64) -> RemoteTimestamp {
        let known = self.positions.get(&session).copied();
        known.unwrap_or(self.newest_dropped)
    }

    /// Records a write. At `capacity` all sessions are dropped first; reads stay safe, since unknown sessions then need
    /// the newest position dropped.
    pub(crate) fn record(&mut self, session: u64, position: RemoteTimestamp, capacity: usize) {
        let newest = position.max(self.required(session));
        if self.positions.len() >= capacity {
            let dropped = self.positions.values().copied();
            self.newest_dropped = dropped.fold(self.newest_dropped, RemoteTimestamp::max);
            self.positions.clear();
        }
        self.positions.insert(session, newest);
    }

    /// Brings all positions, that of unknown sessions too, within these bounds.
    pub(crate) fn clamp_all(&mut self, oldest: RemoteTimestamp, newest: RemoteTimestamp) {
        let clamp = |position: RemoteTimestamp| position.max(oldest).min(newest);
        self.newest_dropped = clamp(self.newest_dropped);
        for known in self.positions.values_mut() {
            *known = clamp(*known);
        }
    }
}
