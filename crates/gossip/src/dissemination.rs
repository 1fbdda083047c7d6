//! What is new goes to a few peers by chance at each tick, and from those on: all hear of it within a few ticks, whoever is
//! cut off from whom. What doesn't fit into the rate waits, the kinds that rules hang on first; what waits too long is left
//! to the comparing of copies.

use crate::record::{Key, Kind, KINDS};
use asterlatch::time::{TimeSpan, Timestamp};
use std::collections::{BTreeMap, VecDeque};

/// New facts that wait at most; of the least needed kind the oldest go first.
const MOST_HOT: usize = 8192;

/// Bytes that may be sent, as they come in over time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    pub a_second: u64,
    left: f64,
    at: Timestamp,
}

impl Rate {
    /// As much as a second's worth may be saved up, for what comes at once.
    pub fn new(now: Timestamp, a_second: u64) -> Rate {
        Rate {
            a_second,
            left: a_second as f64,
            at: now,
        }
    }

    pub fn reach(&mut self, now: Timestamp) {
        let came = (now - self.at).ratio(TimeSpan::millis(1000)) * self.a_second as f64;
        (self.left, self.at) = ((self.left + came).min(self.a_second as f64), now);
    }

    /// What is left, which may be less than nothing.
    pub fn left(&self) -> f64 {
        self.left
    }

    /// Takes so much, whether or not that is left: what must be said is said, and others wait the longer.
    pub fn spend(&mut self, bytes: usize) {
        self.left -= bytes as f64;
    }

    /// Takes so much if that is left.
    pub fn draw(&mut self, bytes: usize) -> bool {
        let has = self.left >= bytes as f64;
        self.left -= if has { bytes as f64 } else { 0.0 };
        has
    }
}

/// What is told on, and how often still.
#[derive(Clone, Debug, Default)]
pub struct Spread {
    queues: BTreeMap<Kind, VecDeque<Key>>,
    left: BTreeMap<Key, u8>,
}

/// At how many ticks a new fact is told, to so many peers each time: enough that with each who hears it doing the same all
/// have it but by bad luck, which the comparing of copies mends.
pub fn tellings(peers: usize, fanout: usize) -> u8 {
    let needed = ((peers + 1) as f64).log2() * 1.5 / fanout.max(1) as f64;
    needed.ceil().clamp(1.0, 16.0) as u8
}

impl Spread {
    pub fn len(&self) -> usize {
        self.left.len()
    }

    pub fn is_empty(&self) -> bool {
        self.left.is_empty()
    }

    pub fn is_new(&mut self, key: &Key, tellings: u8) {
        if self.left.insert(key.clone(), tellings).is_none() {
            self.queues.entry(key.0).or_default().push_back(key.clone());
        }
        if self.left.len() > MOST_HOT {
            let queue = self.queues.values_mut().rev().find(|q| !q.is_empty());
            let dropped = queue.and_then(VecDeque::pop_front);
            let _ = dropped.map(|k| self.left.remove(&k));
        }
    }

    /// What is to be told at this tick: whatever `fits` takes, in the order of kinds, and of each what has waited longest.
    pub fn tell(&mut self, mut fits: impl FnMut(&Key) -> bool) {
        for kind in KINDS {
            let Some(queue) = self.queues.get_mut(&kind) else {
                continue;
            };
            for _ in 0..queue.len() {
                let Some(key) = queue.pop_front() else { break };
                if !fits(&key) {
                    queue.push_front(key);
                    return;
                }
                match self.left.get_mut(&key) {
                    Some(left) if *left > 1 => {
                        *left -= 1;
                        queue.push_back(key);
                    }
                    _ => drop(self.left.remove(&key)),
                }
            }
        }
    }
}
