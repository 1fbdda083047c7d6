//! Estimates the number of drivers among which fleet-wide limits are divided.
//!
//! An underestimate lets the fleet exceed its limits; an overestimate only leaves capacity unused. Growth
//! therefore applies at once and shrinkage after a delay, because a driver that is partitioned or not
//! scheduled may still use its share.

use asterlatch::time::{TimeSpan, Timestamp};
use std::collections::VecDeque;

#[derive(Clone, Copy, Debug)]
struct Sample {
    count: u32,
    /// When this many drivers were last present.
    last_seen: Timestamp,
}

/// Maximum number of drivers that were present within the shrink delay.
#[derive(Clone, Debug)]
pub struct FleetSize {
    /// How long the fleet must stay smaller before its size is reduced.
    shrink_delay: TimeSpan,
    /// Samples within `shrink_delay`, in strictly descending order of count; the first is the fleet size.
    samples: VecDeque<Sample>,
}

impl FleetSize {
    /// Starts with `initial` drivers, the number in the operators' file, until peers are discovered.
    pub fn new(initial: u32, shrink_delay: TimeSpan, now: Timestamp) -> FleetSize {
        let sample = Sample {
            count: initial.max(1),
            last_seen: now,
        };
        FleetSize {
            shrink_delay,
            samples: VecDeque::from([sample]),
        }
    }

    /// Records that `present` drivers, including this one, are present at `now`. Returns the fleet size.
    pub fn update(&mut self, now: Timestamp, present: u32) -> u32 {
        let present = present.max(1);
        // Samples no larger than the new one can no longer be the maximum.
        while self.samples.back().is_some_and(|last| last.count <= present) {
            self.samples.pop_back();
        }
        self.samples.push_back(Sample {
            count: present,
            last_seen: now,
        });
        while self.samples.len() > 1 && self.has_expired_sample(now) {
            self.samples.pop_front();
        }
        self.samples.front().map_or(present, |first| first.count)
    }

    fn has_expired_sample(&self, now: Timestamp) -> bool {
        let first = self.samples.front();
        first.is_some_and(|first| now - first.last_seen >= self.shrink_delay)
    }
}
