//! Exponentially smoothed estimates.

use crate::time::TimeSpan;
use serde::{Deserialize, Serialize};

/// Weight of the newest sample in an exponential moving average.
const SMOOTHING: f64 = 0.15;

/// Updates an exponential moving average with a new sample.
pub(crate) fn smooth(average: &mut f64, sample: f64) {
    *average += SMOOTHING * (sample - *average);
}

/// Smoothed latency of completed executions, by workload index.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct TypicalLatencies(Vec<TimeSpan>);

impl TypicalLatencies {
    /// Initial estimates, by workload index.
    pub(crate) fn new(initial: Vec<TimeSpan>) -> TypicalLatencies {
        TypicalLatencies(initial)
    }

    /// Estimate of a workload.
    pub(crate) fn of(&self, workload: usize) -> TimeSpan {
        self.0[workload]
    }

    /// Estimates of all workloads.
    pub(crate) fn all(&self) -> impl Iterator<Item = TimeSpan> + '_ {
        self.0.iter().copied()
    }

    /// Longest estimate of all workloads; `None` without workloads.
    pub(crate) fn max(&self) -> Option<TimeSpan> {
        self.0.iter().copied().max()
    }

    /// Records the latency of a completed execution, with a third of the weight of other smoothed samples.
    pub(crate) fn record(&mut self, workload: usize, latency: TimeSpan) {
        let typical = &mut self.0[workload];
        *typical = *typical * (1.0 - SMOOTHING / 3.0) + latency * (SMOOTHING / 3.0);
    }
}
