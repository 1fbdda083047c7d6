//! Which new records are sent next. At each gossip interval they go to a few random peers, which pass them on the same
//! way, so that all drivers receive them within a few intervals even if some links are cut.
//!
//! What exceeds the rate limit stays queued, important kinds first. What is dropped from the queue is left to
//! anti-entropy.

use crate::record::{RecordKey, RecordKind, ALL_KINDS};
use asterlatch::time::{TimeSpan, Timestamp};
use std::collections::{BTreeMap, VecDeque};

/// Most queued records; beyond it the oldest of the least important kind is dropped.
const MAX_QUEUED_RECORDS: usize = 8192;

/// Most intervals at which one record is sent.
const MAX_RETRANSMITS: f64 = 16.0;

/// A token bucket that holds at most one second's worth of tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenBucket {
    /// Tokens added per second; a token is a byte or an inquiry.
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

    /// Adds the tokens of the time since the last refill.
    pub fn refill(&mut self, now: Timestamp) {
        let capacity = self.tokens_per_second as f64;
        let added = (now - self.refilled_at).ratio(TimeSpan::millis(1000)) * capacity;
        self.available = (self.available + added).min(capacity);
        self.refilled_at = now;
    }

    /// Available tokens; negative after [`TokenBucket::spend`] took more than there were.
    pub fn available(&self) -> f64 {
        self.available
    }

    /// Takes tokens even if that leaves a debt, for what must be sent anyway.
    pub fn spend(&mut self, tokens: usize) {
        self.available -= tokens as f64;
    }

    /// Takes tokens if that many are available; returns whether they were.
    pub fn try_take(&mut self, tokens: usize) -> bool {
        let is_enough = self.available >= tokens as f64;
        if is_enough {
            self.available -= tokens as f64;
        }
        is_enough
    }
}

/// The queue of records to send, and how often each is sent still.
#[derive(Clone, Debug, Default)]
pub struct Dissemination {
    queues: BTreeMap<RecordKind, VecDeque<RecordKey>>,
    retransmits_left: BTreeMap<RecordKey, u8>,
}

/// At how many intervals a new record is sent to `fanout` peers each: enough that, with each receiver doing the same, all
/// `peers` receive it with high probability.
pub fn retransmits(peers: usize, fanout: usize) -> u8 {
    let needed = ((peers + 1) as f64).log2() * 1.5 / fanout.max(1) as f64;
    needed.ceil().clamp(1.0, MAX_RETRANSMITS) as u8
}

impl Dissemination {
    /// The number of queued records.
    pub fn len(&self) -> usize {
        self.retransmits_left.len()
    }

    /// Whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.retransmits_left.is_empty()
    }

    /// Queues a new or changed record. One that is already queued keeps its place.
    pub fn enqueue(&mut self, key: &RecordKey, retransmits: u8) {
        let previous = self.retransmits_left.insert(key.clone(), retransmits);
        if previous.is_none() {
            self.queues.entry(key.kind).or_default().push_back(key.clone());
        }
        if self.retransmits_left.len() > MAX_QUEUED_RECORDS {
            self.drop_least_important();
        }
    }

    fn drop_least_important(&mut self) {
        let last_queue = self.queues.values_mut().rev().find(|queue| !queue.is_empty());
        if let Some(key) = last_queue.and_then(VecDeque::pop_front) {
            self.retransmits_left.remove(&key);
        }
    }

    /// Selects the records of this interval: all that `fits` accepts, by kind and then in queue order. The first that
    /// doesn't fit ends the selection and stays first.
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
                match self.retransmits_left.get_mut(&key) {
                    Some(left) if *left > 1 => {
                        *left -= 1;
                        queue.push_back(key);
                    }
                    _ => {
                        self.retransmits_left.remove(&key);
                    }
                }
            }
        }
    }
}
