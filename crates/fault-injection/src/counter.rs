//! Counts the calls of a process and decides which of them fail.

use crate::{Call, ErrorNumber, FaultPlan};
use std::sync::atomic::{AtomicU32, Ordering};

/// Counts of the calls of one process. Lock-free, because signal handlers make calls, too.
pub struct FaultCounter {
    plan: FaultPlan,
    /// Indexed as [`Call::ALL`].
    counts: [AtomicU32; Call::ALL.len()],
}

impl FaultCounter {
    /// A counter for a process that has made no call yet.
    pub fn new(plan: FaultPlan) -> FaultCounter {
        FaultCounter {
            plan,
            counts: [const { AtomicU32::new(0) }; Call::ALL.len()],
        }
    }

    /// The plan given to [`FaultCounter::new`].
    pub fn plan(&self) -> &FaultPlan {
        &self.plan
    }

    /// Counts a planned call; returns the zero-based index of its failure if it fails.
    fn failure_index(&self, call: Call) -> Option<u32> {
        let count = 1 + self.counts[call as usize].fetch_add(1, Ordering::Relaxed);
        let index = (count / self.plan.every).checked_sub(1)?;
        let is_due = count.is_multiple_of(self.plan.every);
        let is_allowed = self.plan.max_failures.is_none_or(|max| index < max);
        (is_due && is_allowed).then_some(index)
    }

    /// Counts a transfer of bytes if the plan names it; returns whether it is partial.
    pub fn is_short(&self, call: Call) -> bool {
        self.plan.fault(call).is_some() && self.failure_index(call).is_some()
    }

    /// Counts a call if the plan names it; returns its error if it fails.
    pub fn error(&self, call: Call) -> Option<ErrorNumber> {
        let errors = self.plan.fault(call)?.errors();
        let index = self.failure_index(call)?;
        errors.get(index as usize % errors.len().max(1)).copied()
    }
}
