//! Timers of many keys, in order of time.

use crate::time::Timestamp;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// At most one timer a key. The caller remembers each key's time, so that the queue needs no second index.
#[derive(Default, Serialize, Deserialize)]
#[serde(bound = "K: Ord + Serialize + serde::de::DeserializeOwned")]
pub(crate) struct TimerQueue<K>(BTreeSet<(Timestamp, K)>);

impl<K: Ord + Copy> TimerQueue<K> {
    /// Moves the timer of `key` from its `former` time to `next`; `None` removes it.
    pub(crate) fn reschedule(&mut self, key: K, former: Timestamp, next: Option<Timestamp>) {
        self.0.remove(&(former, key));
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
