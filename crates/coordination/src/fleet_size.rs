//! How many drivers there are, where each has its part of what all may do. Too few and the sum of all parts is too much; too
//! many and it is too little, which harms less. So growth counts at once, and a smaller fleet only when it has been so for a
//! while: whoever is only out of sight, behind a cut or stopped, takes its part all the same.

use asterlatch::time::{TimeSpan, Timestamp};
use std::collections::VecDeque;

#[derive(Clone, Debug)]
pub struct FleetSize {
    /// A fleet that is smaller for so long is smaller.
    shrink_delay: TimeSpan,
    /// Falling counts with the time each was last true, as far back as `lasts`; the first is what counts.
    samples: VecDeque<(u32, Timestamp)>,
}

impl FleetSize {
    /// `first` is what is assumed before anybody was seen: as many as the operators' file names.
    pub fn new(initial: u32, shrink_delay: TimeSpan, now: Timestamp) -> FleetSize {
        FleetSize {
            shrink_delay,
            samples: VecDeque::from([(initial.max(1), now)]),
        }
    }

    /// So many are there now, this one among them; how many count.
    pub fn update(&mut self, now: Timestamp, present: u32) -> u32 {
        let present = present.max(1);
        // What is no more than now is covered by now.
        while self.samples.back().is_some_and(|(n, _)| *n <= present) {
            self.samples.pop_back();
        }
        self.samples.push_back((present, now));
        while self.samples.len() > 1
            && self
                .samples
                .front()
                .is_some_and(|(_, at)| now - *at >= self.shrink_delay)
        {
            self.samples.pop_front();
        }
        self.samples.front().map_or(present, |(n, _)| *n)
    }
}
