//! What a member that has just started may be sent until it is warm. Nothing here chooses.
//!
//! A warming member falls if all drivers together send it more calls within the overload window than the settings allow it.
//! Drivers don't see each other's calls, so each keeps a budget of its own: its part of the load, rounded at random to whole
//! calls in the window, and spent evenly. The part is rounded once for a member, and not for each window: the
//! drivers that may send within two overlapping windows are the same, whenever their statements come. A budget that isn't
//! used is lost; saved budgets of many drivers would add up to a burst behind a quiet time.

use crate::interface::Settings;
use crate::policy::RoutingPolicy;
use crate::replica_preference;
use crate::state::{Member, WarmUpBudget};
use crate::time::{TimeSpan, Timestamp, MAX_WRITE_DELAY};

/// An execution whose connection takes longer to come up is charged when it is sent, and needs a place in the budget then.
pub(crate) const LATE_CONNECTION: TimeSpan = TimeSpan::millis(50);

/// What one driver plans to send to a member that is warming up.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WarmUpPlan {
    /// Time of the member's start, the latest that it may be.
    pub(crate) started_at: Timestamp,
    /// Time within which calls count together.
    pub(crate) window: TimeSpan,
    /// Part of the load that the settings allow, times the load that a warm member carries for this driver, in cores.
    pub(crate) allowed_load: f64,
    /// Load that the member is expected to sustain once it is warm, in cores.
    pub(crate) expected_load: f64,
    /// Draw by which this driver's part is rounded, above 0 and at most 1.
    pub(crate) rounding: f64,
    /// Nothing is sent before: an earlier process of this driver may have spent the window's budget.
    pub(crate) not_before: Timestamp,
}

impl WarmUpPlan {
    /// Time over which a window's calls are spread: one may be written late by [`LATE_CONNECTION`] and [`MAX_WRITE_DELAY`],
    /// and the next one in time.
    pub(crate) fn spread(window: TimeSpan) -> TimeSpan {
        window + LATE_CONNECTION + MAX_WRITE_DELAY
    }

    /// The draw for a member, the same for as long as this process lasts. Who prefers a replica anyway is among the first
    /// that may send to it: what others may send they would not use.
    pub(crate) fn rounding(seed: u64, member: &Member) -> f64 {
        1.0 - replica_preference::affinity(seed, member.fleet_key)
    }

    /// When the warm-up fraction reaches this value.
    fn warmed_up_to(&self, fraction: f64, settings: &Settings) -> Timestamp {
        let cold = settings.cold_start_fraction;
        let part = ((fraction - cold) / (1.0 - cold)).clamp(0.0, 1.0);
        self.started_at + settings.warm_up_time * part
    }

    /// Calls of this much work that may be sent within the window, where the member's warm-up fraction is `fraction` and was
    /// `former_fraction` at the window's start.
    fn calls(&self, work: TimeSpan, fraction: f64, former_fraction: f64) -> f64 {
        let load = (self.allowed_load * former_fraction).min(self.expected_load * fraction);
        let part = load * self.window.ratio(work);
        (part - self.rounding).floor() + 1.0
    }

    /// Warm-up fraction at which one call of this much work may be sent within the window, under a load when warm.
    fn fraction_for_one(&self, work: TimeSpan, warm_load: f64) -> f64 {
        self.rounding / (warm_load * self.window.ratio(work))
    }
}

/// Capacity of a member at a time relative to its full capacity, from the fraction of a cold start to 1.
fn fraction_at(at: Timestamp, started_at: Timestamp, settings: &Settings) -> f64 {
    let cold = settings.cold_start_fraction;
    let age = (at - started_at).ratio(settings.warm_up_time);
    (cold + (1.0 - cold) * age).min(1.0)
}

impl RoutingPolicy {
    /// Capacity of a member at a time relative to its full capacity.
    pub(crate) fn warm_up_fraction(&self, place: usize, at: Timestamp) -> f64 {
        let started_at = self.latest_start(place);
        started_at.map_or(1.0, |started_at| fraction_at(at, started_at, &self.settings))
    }

    /// Time of a member's start, the latest that it may be; `None` if that was long ago. Before any evidence of the members'
    /// clock it is when the start was first listed.
    pub(crate) fn latest_start(&self, place: usize) -> Option<Timestamp> {
        let member = &self.members[place];
        let started_at = member.started_at?;
        let listed_at = *self.listed_at.get(&member.id).unwrap_or(&self.resumed_at);
        let remote_now = self.remote_clock.earliest(self.now);
        let least_age = remote_now.map_or(TimeSpan(0), |now| now - started_at);
        Some(listed_at.min(self.now - least_age))
    }
}

impl Member {
    /// Time before which a warming member gets no call of this much work. Where it is known what all others send, that
    /// budget binds instead of this driver's plan.
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
            _ => self.planned_at(now, work, plan, settings),
        }
    }

    fn planned_at(
        &self,
        now: Timestamp,
        work: TimeSpan,
        plan: &WarmUpPlan,
        settings: &Settings,
    ) -> Timestamp {
        let work = work.max(TimeSpan(1));
        let fraction = fraction_at(now, plan.started_at, settings);
        let spread = WarmUpPlan::spread(plan.window);
        let former_fraction = fraction_at(now - spread, plan.started_at, settings);
        let calls = plan.calls(work, fraction, former_fraction);
        if calls < 1.0 {
            let by_rule = plan.fraction_for_one(work, plan.allowed_load);
            let by_expectation = plan.fraction_for_one(work, plan.expected_load);
            let allowed_at = plan.warmed_up_to(by_rule, settings) + spread;
            return allowed_at.max(plan.warmed_up_to(by_expectation, settings));
        }
        let interval = spread * (self.warm_up_debt.ratio(work) / calls);
        // Rounded up: as many calls as planned, and no more, fit into a window.
        let spent_until = self.warm_up_debt_at + interval + TimeSpan(1);
        spent_until.max(plan.not_before)
    }

    /// Charges a dispatch to the debt and the budget.
    pub(crate) fn charge_warm_up(&mut self, now: Timestamp, work: TimeSpan) {
        self.warm_up_debt_at = now;
        self.warm_up_debt = work;
        if let Some(WarmUpBudget { work: left, .. }) = &mut self.warm_up_budget {
            *left = *left - work;
        }
    }
}
