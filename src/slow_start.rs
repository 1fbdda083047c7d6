//! What a member that has just started may be sent until it is warm. Nothing here chooses.

use crate::policy::RoutingPolicy;
use crate::state::{Member, WarmUpBudget};
use crate::time::{TimeSpan, Timestamp};

impl RoutingPolicy {
    /// Capacity of a member at a time relative to its full capacity, from the fraction of a cold start to 1.
    pub(crate) fn warm_up_fraction(&self, place: usize, at: Timestamp) -> f64 {
        let Some(age) = self.least_age(&self.members[place], at) else {
            return 1.0;
        };
        let cold = self.settings.cold_start_fraction;
        (cold + (1.0 - cold) * age.ratio(self.settings.warm_up_time)).min(1.0)
    }

    /// Time since a member's start at least; `None` if that was long ago. Before any evidence of the members' clock it is
    /// the time since the start was first listed.
    fn least_age(&self, member: &Member, at: Timestamp) -> Option<TimeSpan> {
        let started_at = member.started_at?;
        let listed_at = self.listed_at.get(&member.id).unwrap_or(&self.resumed_at);
        let by_remote_clock = self.remote_clock.earliest(at).map(|now| now - started_at);
        Some(by_remote_clock.unwrap_or_default().max(at - *listed_at))
    }
}

impl Member {
    /// Time before which a warming member gets nothing. Its last dispatch is a debt that is paid off at `rate`, in cores,
    /// so that all drivers together keep the budget. Where it is known what all others send, that budget binds instead.
    pub(crate) fn blocked_until(&self, now: Timestamp, rate: f64) -> Timestamp {
        match self.warm_up_budget {
            Some(budget) if now < budget.until && budget.work > TimeSpan(0) => Timestamp(0),
            Some(budget) if now < budget.until => budget.until,
            _ => self.warm_up_debt_at + self.warm_up_debt * (1.0 / rate),
        }
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
