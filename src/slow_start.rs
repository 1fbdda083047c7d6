//! Slow start: budget of calls to a member that is warming up.
//!
//! A warming member fails if all drivers together send it more calls within the overload window than the
//! settings allow. Drivers do not see each other's calls, so each has a budget: its share of the load,
//! rounded at random to whole calls per window and spent evenly. It is rounded once per member and not per
//! window, so that the same drivers may send in overlapping windows. Unused budget expires, as saved budgets
//! of many drivers would add up to a burst after a quiet time.

use crate::interface::Settings;
use crate::policy::RoutingPolicy;
use crate::replica_preference;
use crate::state::{Member, WarmUpBudget};
use crate::time::{TimeSpan, Timestamp, MAX_WRITE_DELAY};

/// Connection time beyond which an execution is charged to the warm-up budget again when it is sent.
pub(crate) const SLOW_CONNECTION_THRESHOLD: TimeSpan = TimeSpan::millis(50);

/// What one driver plans to send to a member that is warming up.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WarmUpPlan {
    /// Latest possible time of the member's start.
    pub(crate) started_at: Timestamp,
    /// Overload window.
    pub(crate) window: TimeSpan,
    /// Planned fraction of the load that the settings allow a warm member of its capacity, for this driver,
    /// in cores.
    pub(crate) allowed_load: f64,
    /// Load that the member is expected to sustain once it is warm, in cores.
    pub(crate) expected_load: f64,
    /// Random number by which this driver's budget is rounded to whole calls, above 0 and at most 1.
    pub(crate) rounding: f64,
    /// Time before which nothing is sent: a predecessor of this process may have spent the window's budget.
    pub(crate) not_before: Timestamp,
}

impl WarmUpPlan {
    /// Time over which a window's calls are spread. Longer than the window, since a call may be delayed by
    /// [`SLOW_CONNECTION_THRESHOLD`] and [`MAX_WRITE_DELAY`] and the next one not at all.
    pub(crate) fn spread(window: TimeSpan) -> TimeSpan {
        window + SLOW_CONNECTION_THRESHOLD + MAX_WRITE_DELAY
    }

    /// The random number for a member, constant during this process. Drivers that prefer the replica are
    /// among the first to send to it, since others would not use their budgets.
    pub(crate) fn rounding(seed: u64, member: &Member) -> f64 {
        1.0 - replica_preference::affinity(seed, member.fleet_key)
    }

    /// Time at which the warm-up fraction reaches this value.
    fn time_at_fraction(&self, fraction: f64, settings: &Settings) -> Timestamp {
        let cold_fraction = settings.cold_start_fraction;
        let elapsed = ((fraction - cold_fraction) / (1.0 - cold_fraction)).clamp(0.0, 1.0);
        self.started_at + settings.warm_up_time * elapsed
    }

    /// Number of calls of this much work that may be sent within a window. The member's warm-up fraction is
    /// `previous_fraction` at the start of the window and `fraction` at its end.
    fn calls(&self, work: TimeSpan, fraction: f64, previous_fraction: f64) -> f64 {
        let load = (self.allowed_load * previous_fraction).min(self.expected_load * fraction);
        let exact_calls = load * self.window.ratio(work);
        (exact_calls - self.rounding).floor() + 1.0
    }

    /// Warm-up fraction from which on one call of this much work may be sent per window, given the load when
    /// warm.
    fn fraction_for_one(&self, work: TimeSpan, warm_load: f64) -> f64 {
        self.rounding / (warm_load * self.window.ratio(work))
    }
}

/// Capacity of a member relative to its full capacity at a time, from the cold-start fraction to 1.
fn fraction_at(at: Timestamp, started_at: Timestamp, settings: &Settings) -> f64 {
    let cold_fraction = settings.cold_start_fraction;
    let age = (at - started_at).ratio(settings.warm_up_time);
    (cold_fraction + (1.0 - cold_fraction) * age).min(1.0)
}

impl RoutingPolicy {
    /// Capacity of a member relative to its full capacity at a time.
    pub(crate) fn warm_up_fraction(&self, member_index: usize, at: Timestamp) -> f64 {
        let started_at = self.latest_start(member_index);
        started_at.map_or(1.0, |started_at| fraction_at(at, started_at, &self.settings))
    }

    /// Latest possible time of a member's start; `None` if that was long ago. Without evidence of the
    /// members' clock, the time at which the start was first listed.
    pub(crate) fn latest_start(&self, member_index: usize) -> Option<Timestamp> {
        let member = &self.members[member_index];
        let started_at = member.started_at?;
        let listed_at = *self.listed_at.get(&member.id).unwrap_or(&self.resumed_at);
        let remote_now = self.remote_clock.earliest(self.now);
        let min_age = remote_now.map_or(TimeSpan(0), |now| now - started_at);
        Some(listed_at.min(self.now - min_age))
    }
}

impl Member {
    /// Time before which a warming member is sent no call of this much work. A valid budget that takes other
    /// drivers' load into account replaces this driver's plan.
    pub(crate) fn blocked_until(
        &self,
        now: Timestamp,
        work: TimeSpan,
        plan: &WarmUpPlan,
        settings: &Settings,
    ) -> Timestamp {
        match self.warm_up_budget {
            Some(budget) if now < budget.until && budget.work > TimeSpan(0) => Timestamp(0),
            Some(budget) if now < budget.until => budget.until,
            _ => self.next_planned_dispatch(now, work, plan, settings),
        }
    }

    fn next_planned_dispatch(
        &self,
        now: Timestamp,
        work: TimeSpan,
        plan: &WarmUpPlan,
        settings: &Settings,
    ) -> Timestamp {
        let work = work.max(TimeSpan(1));
        let fraction = fraction_at(now, plan.started_at, settings);
        let spread = WarmUpPlan::spread(plan.window);
        let previous_fraction = fraction_at(now - spread, plan.started_at, settings);
        let calls = plan.calls(work, fraction, previous_fraction);
        if calls < 1.0 {
            let by_allowed_load = plan.fraction_for_one(work, plan.allowed_load);
            let by_expected_load = plan.fraction_for_one(work, plan.expected_load);
            let allowed_at = plan.time_at_fraction(by_allowed_load, settings) + spread;
            return allowed_at.max(plan.time_at_fraction(by_expected_load, settings));
        }
        let interval = spread * (self.warm_up_debt.ratio(work) / calls);
        // Rounded up, so that no more calls than planned fit into a window.
        let spent_until = self.warm_up_debt_at + interval + TimeSpan(1);
        spent_until.max(plan.not_before)
    }

    /// Charges a dispatch to the member's warm-up debt and budget.
    pub(crate) fn charge_warm_up(&mut self, now: Timestamp, work: TimeSpan) {
        self.warm_up_debt_at = now;
        self.warm_up_debt = work;
        if let Some(WarmUpBudget { work: left, .. }) = &mut self.warm_up_budget {
            *left = *left - work;
        }
    }
}
