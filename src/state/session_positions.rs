//! Log positions of sessions' last writes.

use crate::time::RemoteTimestamp;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Position of each tracked session, and the newest one of the sessions that were dropped.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct SessionPositions {
    positions: BTreeMap<u64, RemoteTimestamp>,
    newest_dropped: RemoteTimestamp,
}

impl SessionPositions {
    /// Position that a read of the session must see; for an untracked session the newest one dropped.
    pub(crate) fn required(&self, session: u64) -> RemoteTimestamp {
        let tracked = self.positions.get(&session).copied();
        tracked.unwrap_or(self.newest_dropped)
    }

    /// Records a write. At `capacity` all sessions are dropped first, which is safe since reads of untracked
    /// sessions then require the newest position dropped.
    pub(crate) fn record(&mut self, session: u64, position: RemoteTimestamp, capacity: usize) {
        let newest = position.max(self.required(session));
        if self.positions.len() >= capacity {
            let dropped = self.positions.values().copied();
            self.newest_dropped = dropped.fold(self.newest_dropped, RemoteTimestamp::max);
            self.positions.clear();
        }
        self.positions.insert(session, newest);
    }

    /// Clamps all positions, including that of untracked sessions, to these bounds.
    pub(crate) fn clamp_all(&mut self, oldest: RemoteTimestamp, newest: RemoteTimestamp) {
        let clamp = |position: RemoteTimestamp| position.max(oldest).min(newest);
        self.newest_dropped = clamp(self.newest_dropped);
        for tracked in self.positions.values_mut() {
            *tracked = clamp(*tracked);
        }
    }
}
