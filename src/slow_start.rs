//! What a member that has just started may be sent until it is warm. Nothing here chooses.

use crate::interface::Settings;
use crate::state::{Member, WarmUpBudget};
use crate::time::{TimeSpan, Timestamp};

impl Member {
    /// Capacity at a time relative to full capacity, from the fraction of a cold start to 1.
    pub(crate) fn warm_up_fraction(&self, at: Timestamp, settings: &Settings) -> f64 {
        let Some(started_at) = self.started_at else {
            return 1.0;
        };
        let cold = settings.cold_start_fraction;
        let age = (at - started_at).ratio(settings.warm_up_time);
        (cold + (1.0 - cold) * age).min(1.0)
    }

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
