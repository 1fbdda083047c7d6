//! Exponentially smoothed estimates.

use crate::time::TimeSpan;
use serde::{Deserialize, Serialize};

/// Weight of the newest sample in a smoothed figure.
const SMOOTHING: f64 = 0.15;

/// Moves a smoothed figure towards the newest sample.
pub(crate) fn smooth(figure: &mut f64, sample: f64) {
    *figure += SMOOTHING * (sample - *figure);
}

/// Smoothed latency of completed executions, by workload index.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct TypicalLatencies(Vec<TimeSpan>);

impl TypicalLatencies {
    /// Estimates to start from, by workload index.
    pub(crate) fn new(initial: Vec<TimeSpan>) -> TypicalLatencies {
        TypicalLatencies(initial)
    }

    /// The estimate of a workload.
    pub(crate) fn of(&self, workload: usize) -> TimeSpan {
        self.0[workload]
    }

    /// The estimates of all workloads.
    pub(crate) fn all(&self) -> impl Iterator<Item = TimeSpan> + '_ {
        self.0.iter().copied()
    }

    /// The longest estimate of all workloads; `None` without any workload.
    pub(crate) fn longest(&self) -> Option<TimeSpan> {
        self.0.iter().copied().max()
    }

    /// Takes the latency of a completed execution into account; it weighs a third of other samples.
    pub(crate) fn record(&mut self, workload: usize, latency: TimeSpan) {
        let typical = &mut self.0[workload];
        *typical = *typical * (1.0 - SMOOTHING / 3.0) + latency * (SMOOTHING / 3.0);
    }
}
