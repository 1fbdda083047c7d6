//! Timers by key, ordered by time.

use crate::time::Timestamp;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Queue with at most one timer per key. The caller stores each key's time, so that no index by key is
/// needed.
#[derive(Default, Serialize, Deserialize)]
#[serde(bound = "K: Ord + Serialize + serde::de::DeserializeOwned")]
pub(crate) struct TimerQueue<K>(BTreeSet<(Timestamp, K)>);

impl<K: Ord + Copy> TimerQueue<K> {
    /// Moves the timer of `key` from its `previous` time to `next`; `None` removes it.
    pub(crate) fn reschedule(&mut self, key: K, previous: Timestamp, next: Option<Timestamp>) {
        self.0.remove(&(previous, key));
        self.0.extend(next.map(|at| (at, key)));
    }

    /// Time of the earliest timer.
    pub(crate) fn next_at(&self) -> Option<Timestamp> {
        self.0.first().map(|(at, _)| *at)
    }

    /// Key of the earliest timer if that has expired; the timer stays in the queue.
    pub(crate) fn expired(&self, now: Timestamp) -> Option<K> {
        let first = self.0.first().filter(|(at, _)| *at <= now);
        first.map(|(_, key)| *key)
    }
}
