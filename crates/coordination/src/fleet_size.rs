//! How many drivers there are, where each has its part of what all may do. Too few and the sum of all parts is too much; too
//! many and it is too little, which harms less. So growth counts at once, and a smaller fleet only when it has been so for a
//! while: whoever is only out of sight, behind a cut or stopped, takes its part all the same.

use asterlatch::time::{TimeSpan, Timestamp};
use std::collections::VecDeque;

#[derive(Clone, Debug)]
pub struct Size {
    /// A fleet that is smaller for so long is smaller.
    lasts: TimeSpan,
    /// Falling counts with the time each was last true, as far back as `lasts`; the first is what counts.
    seen: VecDeque<(u32, Timestamp)>,
}

impl Size {
    /// `first` is what is assumed before anybody was seen: as many as the operators' file names.
    pub fn new(first: u32, lasts: TimeSpan, now: Timestamp) -> Size {
        Size {
            lasts,
            seen: VecDeque::from([(first.max(1), now)]),
        }
    }

    /// So many are there now, this one among them; how many count.
    pub fn reach(&mut self, now: Timestamp, there: u32) -> u32 {
        let there = there.max(1);
        // What is no more than now is covered by now.
        while self.seen.back().is_some_and(|(n, _)| *n <= there) {
            self.seen.pop_back();
        }
        self.seen.push_back((there, now));
        while self.seen.len() > 1 && self.seen.front().is_some_and(|(_, at)| now - *at >= self.lasts) {
            self.seen.pop_front();
        }
        self.seen.front().map_or(there, |(n, _)| *n)
    }
}
