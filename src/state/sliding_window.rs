//! Sum over a sliding time window.

use crate::time::{TimeSpan, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

#[derive(Clone, Copy, Serialize, Deserialize)]
struct Sample {
    at: Timestamp,
    work: TimeSpan,
}

/// Work of completed executions within a time span that ends at the last sample.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct SlidingWindow {
    samples: VecDeque<Sample>,
    total: TimeSpan,
}

impl SlidingWindow {
    /// Adds a sample and drops those older than `span`.
    pub(crate) fn add(&mut self, now: Timestamp, work: TimeSpan, span: TimeSpan) {
        self.samples.push_back(Sample { at: now, work });
        self.total = self.total + work;
        while let Some(oldest) = self.samples.front().copied().filter(|s| now - s.at > span) {
            self.samples.pop_front();
            self.total = self.total - oldest.work;
        }
    }

    /// Number of samples within the window.
    pub(crate) fn len(&self) -> usize {
        self.samples.len()
    }

    /// Sum of the samples since a time. Excludes expired samples, which are dropped only when the next one is
    /// added.
    pub(crate) fn total_since(&self, since: Timestamp) -> TimeSpan {
        let expired = self.samples.iter().take_while(|sample| sample.at < since);
        expired.fold(self.total, |total, sample| total - sample.work)
    }
}
