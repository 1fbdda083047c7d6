//! Memory that many connections share: how much of it is reserved, and how much there may be.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

struct Shared {
    reserved: AtomicUsize,
    capacity: AtomicUsize,
}

#[derive(Clone)]
pub struct MemoryBudget(Arc<Shared>);

/// A part of it, given back when dropped.
pub struct MemoryReservation {
    budget: MemoryBudget,
    bytes: usize,
}

impl MemoryBudget {
    pub fn new(capacity: usize) -> MemoryBudget {
        let (reserved, capacity) = (AtomicUsize::new(0), AtomicUsize::new(capacity));
        MemoryBudget(Arc::new(Shared { reserved, capacity }))
    }

    pub fn set_capacity(&self, capacity: usize) {
        self.0.capacity.store(capacity, Ordering::Relaxed);
    }

    pub fn capacity(&self) -> usize {
        self.0.capacity.load(Ordering::Relaxed)
    }

    pub fn reserved(&self) -> usize {
        self.0.reserved.load(Ordering::Relaxed)
    }

    /// No part yet.
    pub fn empty_reservation(&self) -> MemoryReservation {
        MemoryReservation {
            budget: self.clone(),
            bytes: 0,
        }
    }

    pub fn reserve(&self, bytes: usize) -> Option<MemoryReservation> {
        let mut reservation = self.empty_reservation();
        reservation.resize(bytes).then_some(reservation)
    }
}

impl MemoryReservation {
    /// Makes the part this large. What is too much is not reserved; less is always possible.
    pub fn resize(&mut self, bytes: usize) -> bool {
        let before = self.bytes;
        self.force_resize(bytes);
        let fits = bytes <= before || self.budget.reserved() <= self.budget.capacity();
        if !fits {
            self.force_resize(before);
        }
        fits
    }

    /// Makes the part this large, also beyond what there may be: others find less then.
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
