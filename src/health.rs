//! What a driver makes of a member's answers: how many executions at once it is known to bear, and the
//! share of statements that it is let in. Nothing here chooses.

use crate::state::Members;
use crate::time::{Point, Span};

/// Bounds on concurrency: mean time of answers to the SLO time.
pub const GOOD_PACE: f64 = 0.28;
const BAD_PACE: f64 = 0.38;
const CUT: f64 = 0.85;
const GROWTH: f64 = 0.5;
/// Share of what a member has borne in good time that a bound keeps: slowness is not always crowding.
const SEEN_TO_WORK: f64 = 0.3;
/// How far an answer pulls the share of statements that its member is let in, from which part of the SLO time, and the
/// least share.
const PULL: f64 = 0.6;
const AIMED: f64 = 0.4;
const LEAST_SHARE: f64 = 0.05;
/// Dense views: credit for good answers, so that a lone failure at each member doesn't leave statements out.
const CREDIT: f64 = 2.0;
/// How far others follow such a pull: replicas of a group mostly suffer together.
const ALIKE: f64 = 0.2;
/// Weight of the newest figure in a smoothed one.
pub const NEWEST: f64 = 0.15;

impl Members {
    /// Moves a member's bound on executions at once by an end that was just taken into account. A `typical` time lies
    /// between two cuts, for what was sent before the first says nothing of its effect.
    pub fn bound(&mut self, m: usize, now: Point, completed: bool, typical: Span, sparse: bool) {
        let used = (self.open[m] + 1) as f64 >= self.limit[m] / 2.0;
        let good = completed && self.pace[m] < GOOD_PACE;
        if good {
            self.proven[m] += NEWEST * ((self.open[m] + 1) as f64 - self.proven[m]);
        }
        if good && used {
            self.limit[m] += GROWTH / self.limit[m].sqrt();
        } else if self.pace[m] > BAD_PACE && now - self.cut_at[m] > typical && !sparse {
            self.limit[m] = (self.limit[m] * CUT).max(self.proven[m] * SEEN_TO_WORK).max(1.0);
            self.cut_at[m] = now;
        }
    }

    /// Moves the share of statements that a member is let in by an answer that took `share` of its SLO time, and a little
    /// those of others.
    pub fn pull<'a>(&mut self, m: usize, others: impl Iterator<Item = &'a usize>, share: f64, sparse: bool) {
        let most = if sparse { 1.0 } else { CREDIT };
        for (n, part) in others.map(|n| (*n, ALIKE)).chain([(m, 1.0)]) {
            let pull = PULL * (AIMED - share) * part;
            self.let_in[n] = (self.let_in[n] * pull.exp()).clamp(LEAST_SHARE, most);
        }
    }
}
