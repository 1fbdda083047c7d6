//! Whether a change of settings is harmful, by the rejections per resource before and after it.
//!
//! Rejections with other causes must not count. Those of a fault before the change are in the baseline: its
//! share of the demand is subtracted. Those of a surge occur at a fill level above the baseline, while a
//! lowered limit rejects at levels that were served before. Only resources that the changed settings may
//! exhaust count.
//!
//! Known limits: a load above the baseline right after a limit was lowered counts as a surge, even if the
//! former limit would have served it. An external fault that begins during probation, and causes rejections
//! at a level within the baseline, is attributed to the change.

use crate::schema::{Resource, RESOURCES};
use asterlatch::time::{TimeSpan, Timestamp};
use std::collections::VecDeque;

/// Metrics of the driver at one time, by resource. Counters are since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sample {
    /// Counter of clients or statements, whichever the resource is needed for.
    pub demand: [u64; RESOURCES.len()],
    /// Counter of those that were rejected.
    pub rejected: [u64; RESOURCES.len()],
    /// Resources in use: clients, descriptors, bytes.
    pub fill: [u64; RESOURCES.len()],
}

/// Criteria for a change, set in the section `activation`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProbationCriteria {
    pub probation: TimeSpan,
    pub margin: f64,
    pub min_rejections: u64,
}

impl ProbationCriteria {
    /// Of each criterion the stricter one.
    pub fn stricter(self, other: ProbationCriteria) -> ProbationCriteria {
        ProbationCriteria {
            probation: self.probation.max(other.probation),
            margin: self.margin.min(other.margin),
            min_rejections: self.min_rejections.min(other.min_rejections),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Harmless,
    Harmful(Resource),
}

/// Length of the baseline before a change.
const BASELINE_LENGTH: TimeSpan = TimeSpan::millis(60_000);
/// Minimum interval between stored samples.
const MIN_SAMPLE_INTERVAL: TimeSpan = TimeSpan::millis(250);
/// Fill level, as a multiple of the baseline's maximum, above which rejections are attributed to a surge.
const SURGE_FACTOR: f64 = 1.1;
/// Demand below which a rejected share is not significant.
const MIN_DEMAND: u64 = 5;

#[derive(Default)]
pub struct ProbationMonitor {
    /// Samples of the baseline's length, oldest first.
    samples: VecDeque<(Timestamp, Sample)>,
    latest: Sample,
    baseline: Option<Baseline>,
    may_exhaust: Vec<Resource>,
}

/// Baseline of a change, and what was counted since.
struct Baseline {
    changed_at: Timestamp,
    initial: Sample,
    /// Rejected share of the demand before the change.
    share: [f64; RESOURCES.len()],
    max_fill: [u64; RESOURCES.len()],
    /// Rejections since the change at a fill level within the baseline.
    rejected_at_served_fill: [u64; RESOURCES.len()],
}

impl ProbationMonitor {
    pub fn record(&mut self, now: Timestamp, sample: Sample) {
        if let Some(baseline) = &mut self.baseline {
            for index in 0..RESOURCES.len() {
                let increase = sample.rejected[index].saturating_sub(self.latest.rejected[index]);
                // Assumes the higher fill level of the two samples in between.
                let fill = sample.fill[index].max(self.latest.fill[index]);
                let max_served_fill = baseline.max_fill[index] as f64 * SURGE_FACTOR;
                baseline.rejected_at_served_fill[index] += if fill as f64 <= max_served_fill {
                    increase
                } else {
                    0
                };
            }
        }
        self.latest = sample;
        let is_due = self
            .samples
            .back()
            .is_none_or(|(at, _)| now - *at >= MIN_SAMPLE_INTERVAL);
        if is_due {
            self.samples.push_back((now, sample));
        }
        while self
            .samples
            .front()
            .is_some_and(|(at, _)| now - *at > BASELINE_LENGTH)
        {
            self.samples.pop_front();
        }
    }

    /// Begins watching a change; the samples so far are its baseline.
    pub fn begin(&mut self, now: Timestamp) {
        let oldest = self.samples.front().map_or(self.latest, |(_, s)| *s);
        let (mut share, mut max_fill) = ([0.0; RESOURCES.len()], [0; RESOURCES.len()]);
        for index in 0..RESOURCES.len() {
            share[index] = rejected_share(&oldest, &self.latest, index);
            let fills = self.samples.iter().map(|(_, s)| s.fill[index]);
            max_fill[index] = fills.max().unwrap_or(0).max(self.latest.fill[index]);
        }
        self.baseline = Some(Baseline {
            changed_at: now,
            initial: self.latest,
            share,
            max_fill,
            rejected_at_served_fill: [0; RESOURCES.len()],
        });
    }

    /// Sets the resources that the change may exhaust.
    pub fn watch(&mut self, resources: Vec<Resource>) {
        self.may_exhaust = resources;
    }

    pub fn has_seen_demand(&self) -> bool {
        let Some(baseline) = &self.baseline else {
            return false;
        };
        let increase =
            |index: usize| self.latest.demand[index].saturating_sub(baseline.initial.demand[index]);
        (0..RESOURCES.len()).any(|index| increase(index) >= MIN_DEMAND)
    }

    pub fn verdict(&self, now: Timestamp, criteria: ProbationCriteria) -> Verdict {
        let Some(baseline) = self.baseline.as_ref().filter(|c| c.changed_at <= now) else {
            return Verdict::Harmless;
        };
        let harms = |(index, resource): (usize, &Resource)| {
            let demand = self.latest.demand[index].saturating_sub(baseline.initial.demand[index]);
            let rejected_at_served_fill = baseline.rejected_at_served_fill[index];
            let share = rejected_at_served_fill as f64 / demand.max(rejected_at_served_fill).max(1) as f64;
            self.may_exhaust.contains(resource)
                && demand >= MIN_DEMAND
                && rejected_at_served_fill >= criteria.min_rejections
                && share > baseline.share[index] + criteria.margin
        };
        let found = RESOURCES
            .iter()
            .enumerate()
            .find(|(index, resource)| harms((*index, resource)));
        found.map_or(Verdict::Harmless, |(_, resource)| Verdict::Harmful(*resource))
    }
}

fn rejected_share(initial: &Sample, latest: &Sample, index: usize) -> f64 {
    let demand = latest.demand[index].saturating_sub(initial.demand[index]);
    let rejected = latest.rejected[index].saturating_sub(initial.rejected[index]);
    rejected as f64 / demand.max(rejected).max(1) as f64
}
