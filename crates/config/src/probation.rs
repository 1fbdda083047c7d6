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

use crate::registry::{Want, WANTS};
use asterlatch::time::{TimeSpan, Timestamp};
use std::collections::VecDeque;

/// Figures of the driver at one time. Counts are since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sample {
    /// Clients that came and statements that they sent, each in the unit its want is counted in.
    pub demand: [u64; WANTS.len()],
    /// Those turned away, by want.
    pub turned_away: [u64; WANTS.len()],
    /// How full the driver is now, by want: clients, descriptors, bytes.
    pub fill: [u64; WANTS.len()],
}

/// By what a change is judged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    pub probation: TimeSpan,
    pub margin: f64,
    pub least: u64,
}

impl Terms {
    /// Of each, what finds harm sooner.
    pub fn stricter(self, other: Terms) -> Terms {
        Terms {
            probation: self.probation.max(other.probation),
            margin: self.margin.min(other.margin),
            least: self.least.min(other.least),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Harmless,
    Harm(Want),
}

/// How far back the figures before a change count, and how close together samples are kept.
const BEFORE: TimeSpan = TimeSpan::millis(60_000);
const APART: TimeSpan = TimeSpan::millis(250);
/// Fuller than ever before by this much is a surge; less may be chance.
const FULLER: f64 = 1.1;
/// Under this demand a share says nothing.
const LEAST_DEMAND: u64 = 5;

#[derive(Default)]
pub struct Judge {
    /// Samples of the last while, oldest first.
    samples: VecDeque<(Timestamp, Sample)>,
    latest: Sample,
    changed: Option<Changed>,
    may_want: Vec<Want>,
}

/// What the figures were when the change came.
struct Changed {
    at: Timestamp,
    from: Sample,
    /// Share of the demand turned away before, and the fullest that was borne.
    share: [f64; WANTS.len()],
    fullest: [u64; WANTS.len()],
    /// Since the change: how many were turned away while the driver was no fuller than before.
    within: [u64; WANTS.len()],
}

impl Judge {
    pub fn note(&mut self, now: Timestamp, sample: Sample) {
        if let Some(changed) = &mut self.changed {
            for w in 0..WANTS.len() {
                let more = sample.turned_away[w].saturating_sub(self.latest.turned_away[w]);
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
    pub fn change(&mut self, now: Timestamp) {
        let oldest = self.samples.front().map_or(self.latest, |(_, s)| *s);
        let (mut share, mut fullest) = ([0.0; WANTS.len()], [0; WANTS.len()]);
        for w in 0..WANTS.len() {
            share[w] = share_of(&oldest, &self.latest, w);
            let fills = self.samples.iter().map(|(_, s)| s.fill[w]);
            fullest[w] = fills.max().unwrap_or(0).max(self.latest.fill[w]);
        }
        self.changed = Some(Changed {
            at: now,
            from: self.latest,
            share,
            fullest,
            within: [0; WANTS.len()],
        });
    }

    /// The wants that the change can cause.
    pub fn may_want(&mut self, wants: Vec<Want>) {
        self.may_want = wants;
    }

    pub fn has_seen_demand(&self) -> bool {
        let Some(changed) = &self.changed else {
            return false;
        };
        let more = |w: usize| self.latest.demand[w].saturating_sub(changed.from.demand[w]);
        (0..WANTS.len()).any(|w| more(w) >= LEAST_DEMAND)
    }

    pub fn verdict(&self, now: Timestamp, terms: Terms) -> Verdict {
        let Some(changed) = self.changed.as_ref().filter(|c| c.at <= now) else {
            return Verdict::Harmless;
        };
        let harms = |(w, want): (usize, &Want)| {
            let demand = self.latest.demand[w].saturating_sub(changed.from.demand[w]);
            let within = changed.within[w];
            let share = within as f64 / demand.max(within).max(1) as f64;
            self.may_want.contains(want)
                && demand >= LEAST_DEMAND
                && within >= terms.least
                && share > changed.share[w] + terms.margin
        };
        let found = WANTS.iter().enumerate().find(|(w, want)| harms((*w, want)));
        found.map_or(Verdict::Harmless, |(_, want)| Verdict::Harm(*want))
    }
}

fn share_of(from: &Sample, to: &Sample, w: usize) -> f64 {
    let demand = to.demand[w].saturating_sub(from.demand[w]);
    let turned_away = to.turned_away[w].saturating_sub(from.turned_away[w]);
    turned_away as f64 / demand.max(turned_away).max(1) as f64
}
