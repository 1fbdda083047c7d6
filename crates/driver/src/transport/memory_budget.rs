//! A memory budget that many connections share. It counts bytes and allocates none.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

struct Counters {
    used: AtomicUsize,
    limit: AtomicUsize,
}

/// Bytes that may be reserved in all; clones share them. May be used from any thread.
#[derive(Clone)]
pub struct MemoryBudget(Arc<Counters>);

/// A part of the budget, returned when dropped.
pub struct MemoryReservation {
    budget: MemoryBudget,
    bytes: usize,
}

impl MemoryBudget {
    /// A budget of so many bytes.
    pub fn new(limit: usize) -> MemoryBudget {
        MemoryBudget(Arc::new(Counters {
            used: AtomicUsize::new(0),
            limit: AtomicUsize::new(limit),
        }))
    }

    /// Changes the limit; what is reserved stays.
    pub fn set_limit(&self, limit: usize) {
        self.0.limit.store(limit, Ordering::Relaxed);
    }

    /// Bytes that may be reserved in all.
    pub fn limit(&self) -> usize {
        self.0.limit.load(Ordering::Relaxed)
    }

    /// Bytes that are reserved.
    pub fn used(&self) -> usize {
        self.0.used.load(Ordering::Relaxed)
    }

    /// An empty reservation.
    pub fn empty_reservation(&self) -> MemoryReservation {
        MemoryReservation {
            budget: self.clone(),
            bytes: 0,
        }
    }

    /// A reservation of so many bytes; `None` if they are not left.
    pub fn reserve(&self, bytes: usize) -> Option<MemoryReservation> {
        let mut reservation = self.empty_reservation();
        reservation.try_resize(bytes).then_some(reservation)
    }
}

impl MemoryReservation {
    /// Changes the size if the budget allows that, and returns whether it did. Shrinking always succeeds.
    pub fn try_resize(&mut self, bytes: usize) -> bool {
        let before = self.bytes;
        self.force_resize(bytes);
        let fits = bytes <= before || self.budget.used() <= self.budget.limit();
        if !fits {
            self.force_resize(before);
        }
        fits
    }

    /// Changes the size, also beyond the limit: others find less left then.
    pub fn force_resize(&mut self, bytes: usize) {
        let used = &self.budget.0.used;
        used.fetch_add(bytes, Ordering::Relaxed);
        used.fetch_sub(self.bytes, Ordering::Relaxed);
        self.bytes = bytes;
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.force_resize(0);
    }
}
