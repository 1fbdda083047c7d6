//! Whether a change does harm. Judged by what clients were turned away for, against the same before the change.
//!
//! Two things must not pass for harm of the change. A fault that was there before shows in the earlier figures: its
//! share of the demand is taken off. A surge shows in how full the driver was when it turned clients away: a smaller
//! limit turns them away at a fill that was borne before, a surge at one that never was. Only wants that the changed
//! settings can cause count at all.
//!
//! Where this fails: a surge that comes right after a limit was lowered, to somewhere above all that was borne before,
//! is taken for a surge though the former limit would have borne it; and a fault from outside that begins within the
//! probation, and turns clients away while the driver is no fuller than before, is taken for the change's.

use crate::schema::{Resource, RESOURCES};
use asterlatch::time::{TimeSpan, Timestamp};
use std::collections::VecDeque;

/// Figures of the driver at one time. Counts are since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sample {
    /// Clients that came and statements that they sent, each in the unit its want is counted in.
    pub demand: [u64; RESOURCES.len()],
    /// Those turned away, by want.
    pub rejected: [u64; RESOURCES.len()],
    /// How full the driver is now, by want: clients, descriptors, bytes.
    pub fill: [u64; RESOURCES.len()],
}

/// By what a change is judged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProbationCriteria {
    pub probation: TimeSpan,
    pub margin: f64,
    pub min_rejections: u64,
}

impl ProbationCriteria {
    /// Of each, what finds harm sooner.
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

/// How far back the figures before a change count, and how close together samples are kept.
const BEFORE: TimeSpan = TimeSpan::millis(60_000);
const APART: TimeSpan = TimeSpan::millis(250);
/// Fuller than ever before by this much is a surge; less may be chance.
const FULLER: f64 = 1.1;
/// Under this demand a share says nothing.
const LEAST_DEMAND: u64 = 5;

#[derive(Default)]
pub struct ProbationMonitor {
    /// Samples of the last while, oldest first.
    samples: VecDeque<(Timestamp, Sample)>,
    latest: Sample,
    changed: Option<Changed>,
    may_exhaust: Vec<Resource>,
}

/// What the figures were when the change came.
struct Changed {
    at: Timestamp,
    from: Sample,
    /// Share of the demand turned away before, and the fullest that was borne.
    share: [f64; RESOURCES.len()],
    fullest: [u64; RESOURCES.len()],
    /// Since the change: how many were turned away while the driver was no fuller than before.
    within: [u64; RESOURCES.len()],
}

impl ProbationMonitor {
    pub fn record(&mut self, now: Timestamp, sample: Sample) {
        if let Some(changed) = &mut self.changed {
            for w in 0..RESOURCES.len() {
                let more = sample.rejected[w].saturating_sub(self.latest.rejected[w]);
                // Between two samples the driver was as full as at the fuller of them.
                let fill = sample.fill[w].max(self.latest.fill[w]);
                let borne = changed.fullest[w] as f64 * FULLER;
                changed.within[w] += if fill as f64 <= borne { more } else { 0 };
            }
        }
        self.latest = sample;
        let apart = self.samples.back().is_none_or(|(at, _)| now - *at >= APART);
        if apart {
            self.samples.push_back((now, sample));
        }
        while self.samples.front().is_some_and(|(at, _)| now - *at > BEFORE) {
            self.samples.pop_front();
        }
    }

    /// A change comes: what was counted until now is what it is judged against.
    pub fn begin(&mut self, now: Timestamp) {
        let oldest = self.samples.front().map_or(self.latest, |(_, s)| *s);
        let (mut share, mut fullest) = ([0.0; RESOURCES.len()], [0; RESOURCES.len()]);
        for w in 0..RESOURCES.len() {
            share[w] = share_of(&oldest, &self.latest, w);
            let fills = self.samples.iter().map(|(_, s)| s.fill[w]);
            fullest[w] = fills.max().unwrap_or(0).max(self.latest.fill[w]);
        }
        self.changed = Some(Changed {
            at: now,
            from: self.latest,
            share,
            fullest,
            within: [0; RESOURCES.len()],
        });
    }

    /// The wants that the change can cause.
    pub fn watch(&mut self, resources: Vec<Resource>) {
        self.may_exhaust = resources;
    }

    pub fn has_seen_demand(&self) -> bool {
        let Some(changed) = &self.changed else {
            return false;
        };
        let more = |w: usize| self.latest.demand[w].saturating_sub(changed.from.demand[w]);
        (0..RESOURCES.len()).any(|w| more(w) >= LEAST_DEMAND)
    }

    pub fn verdict(&self, now: Timestamp, criteria: ProbationCriteria) -> Verdict {
        let Some(changed) = self.changed.as_ref().filter(|c| c.at <= now) else {
            return Verdict::Harmless;
        };
        let harms = |(w, resource): (usize, &Resource)| {
            let demand = self.latest.demand[w].saturating_sub(changed.from.demand[w]);
            let within = changed.within[w];
            let share = within as f64 / demand.max(within).max(1) as f64;
            self.may_exhaust.contains(resource)
                && demand >= LEAST_DEMAND
                && within >= criteria.min_rejections
                && share > changed.share[w] + criteria.margin
        };
        let found = RESOURCES
            .iter()
            .enumerate()
            .find(|(w, resource)| harms((*w, resource)));
        found.map_or(Verdict::Harmless, |(_, resource)| Verdict::Harmful(*resource))
    }
}

fn share_of(from: &Sample, to: &Sample, w: usize) -> f64 {
    let demand = to.demand[w].saturating_sub(from.demand[w]);
    let rejected = to.rejected[w].saturating_sub(from.rejected[w]);
    rejected as f64 / demand.max(rejected).max(1) as f64
}
