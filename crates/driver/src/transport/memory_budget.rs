//! A memory budget that many connections share. It counts bytes and allocates none.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

struct Counters {
    reserved: AtomicUsize,
    capacity: AtomicUsize,
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
    pub fn new(capacity: usize) -> MemoryBudget {
        MemoryBudget(Arc::new(Counters {
            reserved: AtomicUsize::new(0),
            capacity: AtomicUsize::new(capacity),
        }))
    }

    /// Changes the capacity; what is reserved stays.
    pub fn set_capacity(&self, capacity: usize) {
        self.0.capacity.store(capacity, Ordering::Relaxed);
    }

    /// Bytes that may be reserved in all.
    pub fn capacity(&self) -> usize {
        self.0.capacity.load(Ordering::Relaxed)
    }

    /// Bytes that are reserved.
    pub fn reserved(&self) -> usize {
        self.0.reserved.load(Ordering::Relaxed)
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
        reservation.resize(bytes).then_some(reservation)
    }
}

impl MemoryReservation {
    /// Changes the size if the budget allows that, and returns whether it did. Shrinking always succeeds.
    pub fn resize(&mut self, bytes: usize) -> bool {
        let before = self.bytes;
        self.force_resize(bytes);
        let fits = bytes <= before || self.budget.reserved() <= self.budget.capacity();
        if !fits {
            self.force_resize(before);
        }
        fits
    }

    /// Changes the size, also beyond the capacity: others find less left then.
    pub fn force_resize(&mut self, bytes: usize) {
        let reserved = &self.budget.0.reserved;
        reserved.fetch_add(bytes, Ordering::Relaxed);
        reserved.fetch_sub(self.bytes, Ordering::Relaxed);
        self.bytes = bytes;
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.force_resize(0);
    }
}
