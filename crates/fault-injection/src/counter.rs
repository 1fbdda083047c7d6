//! Counts the calls of a process and says which of them fail.

use crate::{Call, ErrorNumber, FaultPlan};
use std::sync::atomic::{AtomicU32, Ordering};

/// The calls of one process so far. Threads share it without locks, for signal handlers make calls too.
pub struct FaultCounter {
    plan: FaultPlan,
    /// By the place in [`Call::ALL`].
    counts: [AtomicU32; Call::ALL.len()],
}

impl FaultCounter {
    /// No call was made yet.
    pub fn new(plan: FaultPlan) -> FaultCounter {
        FaultCounter {
            plan,
            counts: [const { AtomicU32::new(0) }; Call::ALL.len()],
        }
    }

    /// The plan that is followed.
    pub fn plan(&self) -> &FaultPlan {
        &self.plan
    }

    /// The number of this call's failure, from zero, if it is one of those that fail.
    fn failure_index(&self, call: Call) -> Option<u32> {
        let count = 1 + self.counts[call as usize].fetch_add(1, Ordering::Relaxed);
        let index = (count / self.plan.every).checked_sub(1)?;
        let is_due = count.is_multiple_of(self.plan.every);
        let is_allowed = self.plan.most.is_none_or(|most| index < most);
        (is_due && is_allowed).then_some(index)
    }

    /// Whether a call that moves bytes is cut short.
    pub fn is_short(&self, call: Call) -> bool {
        self.plan.fault(call).is_some() && self.failure_index(call).is_some()
    }

    /// The error that a call fails with, if it is one of those that fail.
    pub fn error(&self, call: Call) -> Option<ErrorNumber> {
        let errors = self.plan.fault(call)?.errors();
        let index = self.failure_index(call)?;
        errors.get(index as usize % errors.len().max(1)).copied()
    }
}
