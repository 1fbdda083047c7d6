//! What is new goes to a few peers by chance at each tick, and from those on: all hear of it within a few ticks, whoever is
//! cut off from whom. What doesn't fit into the rate waits, the kinds that rules hang on first; what waits too long is remaining
//! to the comparing of copies.

use crate::record::{RecordKey, RecordKind, ALL_KINDS};
use asterlatch::time::{TimeSpan, Timestamp};
use std::collections::{BTreeMap, VecDeque};

/// New records that wait at most; of the least needed kind the oldest go first.
const MAX_QUEUED_RECORDS: usize = 8192;

/// Bytes that may be sent, as they come in over time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenBucket {
    pub bytes_per_second: u64,
    remaining: f64,
    at: Timestamp,
}

impl TokenBucket {
    /// As much as a second's worth may be saved up, for what comes at once.
    pub fn new(now: Timestamp, bytes_per_second: u64) -> TokenBucket {
        TokenBucket {
            bytes_per_second,
            remaining: bytes_per_second as f64,
            at: now,
        }
    }

    pub fn refill(&mut self, now: Timestamp) {
        let came = (now - self.at).ratio(TimeSpan::millis(1000)) * self.bytes_per_second as f64;
        (self.remaining, self.at) = ((self.remaining + came).min(self.bytes_per_second as f64), now);
    }

    /// What is remaining, which may be less than nothing.
    pub fn remaining(&self) -> f64 {
        self.remaining
    }

    /// Takes so much, whether or not that is remaining: what must be said is said, and others wait the longer.
    pub fn spend(&mut self, bytes: usize) {
        self.remaining -= bytes as f64;
    }

    /// Takes so much if that is remaining.
    pub fn try_take(&mut self, bytes: usize) -> bool {
        let has = self.remaining >= bytes as f64;
        self.remaining -= if has { bytes as f64 } else { 0.0 };
        has
    }
}

/// What is told on, and how often still.
#[derive(Clone, Debug, Default)]
pub struct Dissemination {
    queues: BTreeMap<RecordKind, VecDeque<RecordKey>>,
    remaining: BTreeMap<RecordKey, u8>,
}

/// At how many ticks a new record is told, to so many peers each time: enough that with each who hears it doing the same all
/// have it but by bad luck, which the comparing of copies mends.
pub fn retransmits(peers: usize, fanout: usize) -> u8 {
    let needed = ((peers + 1) as f64).log2() * 1.5 / fanout.max(1) as f64;
    needed.ceil().clamp(1.0, 16.0) as u8
}

impl Dissemination {
    pub fn len(&self) -> usize {
        self.remaining.len()
    }

    pub fn is_empty(&self) -> bool {
        self.remaining.is_empty()
    }

    pub fn enqueue(&mut self, key: &RecordKey, retransmits: u8) {
        if self.remaining.insert(key.clone(), retransmits).is_none() {
            self.queues.entry(key.0).or_default().push_back(key.clone());
        }
        if self.remaining.len() > MAX_QUEUED_RECORDS {
            let queue = self.queues.values_mut().rev().find(|q| !q.is_empty());
            let dropped = queue.and_then(VecDeque::pop_front);
            let _ = dropped.map(|k| self.remaining.remove(&k));
        }
    }

    /// What is to be told at this tick: whatever `fits` takes, in the order of kinds, and of each what has waited longest.
    pub fn select(&mut self, mut fits: impl FnMut(&RecordKey) -> bool) {
        for kind in ALL_KINDS {
            let Some(queue) = self.queues.get_mut(&kind) else {
                continue;
            };
            for _ in 0..queue.len() {
                let Some(key) = queue.pop_front() else { break };
                if !fits(&key) {
                    queue.push_front(key);
                    return;
                }
                match self.remaining.get_mut(&key) {
                    Some(remaining) if *remaining > 1 => {
                        *remaining -= 1;
                        queue.push_back(key);
                    }
                    _ => drop(self.remaining.remove(&key)),
                }
            }
        }
    }
}
