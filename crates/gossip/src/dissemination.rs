//! Selection of the new records to send. At each gossip interval they go to a few random peers, which forward
//! them in the same way, so that all drivers receive them within a few intervals even if some links are cut.
//!
//! Records beyond the rate limit stay queued, in priority order of their kinds. Records dropped from the
//! queue are left to anti-entropy.

use crate::record::{RecordKey, RecordKind, ALL_KINDS};
use asterlatch::time::{TimeSpan, Timestamp};
use std::collections::{BTreeMap, VecDeque};

/// Queue limit; beyond it the oldest record of the kind with the lowest priority is dropped.
const MAX_QUEUED_RECORDS: usize = 8192;

/// Upper bound on the gossip intervals in which one record is sent.
const MAX_TRANSMISSIONS: f64 = 16.0;

/// A token bucket with a capacity of one second's tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenBucket {
    /// Refill rate and capacity; a token stands for a byte or an inquiry.
    pub tokens_per_second: u64,
    available: f64,
    refilled_at: Timestamp,
}

impl TokenBucket {
    /// A full bucket.
    pub fn new(now: Timestamp, tokens_per_second: u64) -> TokenBucket {
        TokenBucket {
            tokens_per_second,
            available: tokens_per_second as f64,
            refilled_at: now,
        }
    }

    /// Adds the tokens for the time since the last refill.
    pub fn refill(&mut self, now: Timestamp) {
        let capacity = self.tokens_per_second as f64;
        let added = (now - self.refilled_at).ratio(TimeSpan::millis(1000)) * capacity;
        self.available = (self.available + added).min(capacity);
        self.refilled_at = now;
    }

    /// Available tokens; negative after [`TokenBucket::spend`] overdrew the bucket.
    pub fn available(&self) -> f64 {
        self.available
    }

    /// Takes tokens even if that overdraws the bucket, for datagrams that must be sent.
    pub fn spend(&mut self, tokens: usize) {
        self.available -= tokens as f64;
    }

    /// Takes tokens if enough are available; returns whether it did.
    pub fn try_take(&mut self, tokens: usize) -> bool {
        let is_sufficient = self.available >= tokens as f64;
        if is_sufficient {
            self.available -= tokens as f64;
        }
        is_sufficient
    }
}

/// The queue of records to send, with the remaining transmissions of each.
#[derive(Clone, Debug, Default)]
pub struct Dissemination {
    queues: BTreeMap<RecordKind, VecDeque<RecordKey>>,
    transmissions_left: BTreeMap<RecordKey, u8>,
}

/// In how many gossip intervals a new record is sent to `fanout` peers. If each receiver does the same, all
/// `peers` receive the record with high probability.
pub fn transmission_count(peers: usize, fanout: usize) -> u8 {
    let needed = ((peers + 1) as f64).log2() * 1.5 / fanout.max(1) as f64;
    needed.ceil().clamp(1.0, MAX_TRANSMISSIONS) as u8
}

impl Dissemination {
    /// The number of queued records.
    pub fn len(&self) -> usize {
        self.transmissions_left.len()
    }

    /// Whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.transmissions_left.is_empty()
    }

    /// Queues a new or changed record. A record that is already queued keeps its position.
    pub fn enqueue(&mut self, key: &RecordKey, transmissions: u8) {
        let previous = self.transmissions_left.insert(key.clone(), transmissions);
        if previous.is_none() {
            self.queues.entry(key.kind).or_default().push_back(key.clone());
        }
        if self.transmissions_left.len() > MAX_QUEUED_RECORDS {
            self.drop_lowest_priority();
        }
    }

    fn drop_lowest_priority(&mut self) {
        let last_queue = self.queues.values_mut().rev().find(|queue| !queue.is_empty());
        if let Some(key) = last_queue.and_then(VecDeque::pop_front) {
            self.transmissions_left.remove(&key);
        }
    }

    /// Offers queued records to `fits`, by priority of the kind and then in queue order. The first record
    /// that `fits` declines ends the selection and keeps its position.
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
                match self.transmissions_left.get_mut(&key) {
                    Some(left) if *left > 1 => {
                        *left -= 1;
                        queue.push_back(key);
                    }
                    _ => {
                        self.transmissions_left.remove(&key);
                    }
                }
            }
        }
    }
}
