//! Counts the drivers among which limits are divided.
//!
//! Too low a count makes the sum of all parts too large; too high a count makes it too small, which does less
//! harm. A growing fleet therefore counts at once, and a shrinking one only after a delay: a driver that is
//! out of sight, cut off or stopped still uses its part.

use asterlatch::time::{TimeSpan, Timestamp};
use std::collections::VecDeque;

#[derive(Clone, Copy, Debug)]
struct Sample {
    count: u32,
    /// When so many were last present.
    last_seen: Timestamp,
}

/// The number of drivers that counts, by the numbers that were present.
#[derive(Clone, Debug)]
pub struct FleetSize {
    /// How long a fleet must be smaller to count as smaller.
    shrink_delay: TimeSpan,
    /// Falling counts, as far back as `shrink_delay`; the first is what counts.
    samples: VecDeque<Sample>,
}

impl FleetSize {
    /// `initial` drivers are assumed before any was seen: as many as the operators' file names.
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

    /// `present` drivers are present now, this one among them. Returns how many count.
    pub fn update(&mut self, now: Timestamp, present: u32) -> u32 {
        let present = present.max(1);
        // Samples no larger than the present count add nothing to it.
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
