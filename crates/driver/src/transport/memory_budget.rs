//! A memory budget that connections share. It only accounts for bytes and allocates no memory.

use super::evictions::{EvictionEntry, EvictionQueue, Wake};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

struct Shared {
    reserved: AtomicUsize,
    capacity: AtomicUsize,
    evictions: EvictionQueue,
}

/// A limit on the bytes reserved in total. Clones share it and may be used from any thread.
#[derive(Clone)]
pub struct MemoryBudget(Arc<Shared>);

/// Bytes reserved from the budget, which are released on drop.
pub struct MemoryReservation {
    budget: MemoryBudget,
    bytes: usize,
    /// Set while the budget may take the bytes back.
    eviction: Option<EvictionEntry>,
}

impl MemoryBudget {
    /// Creates a budget of `capacity` bytes.
    pub fn new(capacity: usize) -> MemoryBudget {
        MemoryBudget(Arc::new(Shared {
            reserved: AtomicUsize::new(0),
            capacity: AtomicUsize::new(capacity),
            evictions: EvictionQueue::default(),
        }))
    }

    /// Changes the capacity; existing reservations stay.
    pub fn set_capacity(&self, capacity: usize) {
        self.0.capacity.store(capacity, Ordering::Relaxed);
    }

    /// Bytes that may be reserved in total.
    pub fn capacity(&self) -> usize {
        self.0.capacity.load(Ordering::Relaxed)
    }

    /// Bytes currently reserved, which may exceed the capacity.
    pub fn reserved(&self) -> usize {
        self.0.reserved.load(Ordering::Relaxed)
    }

    /// Whether more is reserved than the capacity.
    pub fn is_exceeded(&self) -> bool {
        self.reserved() > self.capacity()
    }

    /// Whether more than `bytes` of the capacity are free.
    pub fn has_room_for(&self, bytes: usize) -> bool {
        self.reserved() + bytes < self.capacity()
    }

    /// Creates a reservation of zero bytes, to be resized later.
    pub fn empty_reservation(&self) -> MemoryReservation {
        MemoryReservation {
            budget: self.clone(),
            bytes: 0,
            eviction: None,
        }
    }

    /// Reserves `bytes`; `None` if the remaining budget is too small.
    pub fn reserve(&self, bytes: usize) -> Option<MemoryReservation> {
        let mut reservation = self.empty_reservation();
        reservation.resize(bytes).then_some(reservation)
    }
}

impl MemoryReservation {
    /// Capacity of the budget.
    pub fn budget_capacity(&self) -> usize {
        self.budget.capacity()
    }

    /// Changes the size if the budget permits it, and returns whether it did. Shrinking always succeeds.
    pub fn resize(&mut self, bytes: usize) -> bool {
        self.resize_with_headroom(bytes, 0)
    }

    /// Like [`MemoryReservation::resize`], but leaves `headroom` bytes of the capacity to others.
    pub fn resize_with_headroom(&mut self, bytes: usize, headroom: usize) -> bool {
        let previous = self.bytes;
        self.force_resize(bytes);
        let fits = bytes <= previous || self.budget.reserved() + headroom <= self.budget.capacity();
        if !fits {
            self.force_resize(previous);
        }
        fits
    }

    /// Changes the size even if that exceeds the capacity; further reservations then fail.
    pub fn force_resize(&mut self, bytes: usize) {
        let reserved = &self.budget.0.reserved;
        reserved.fetch_add(bytes, Ordering::Relaxed);
        reserved.fetch_sub(self.bytes, Ordering::Relaxed);
        self.bytes = bytes;
    }

    /// Like [`MemoryReservation::force_resize`], but reservations of this kind are evicted while the capacity is
    /// exceeded or they leave less than `headroom` bytes of it: the longest without progress first, and this one may
    /// be among them. `wake` is called from any thread when it is. Those that hold no bytes are not evicted.
    pub fn force_resize_evictable(
        &mut self,
        bytes: usize,
        headroom: usize,
        has_progressed: bool,
        wake: impl FnOnce() -> Wake,
    ) {
        self.force_resize(bytes);
        if has_progressed || bytes == 0 {
            self.protect();
        }
        let evictions = &self.budget.0.evictions;
        match &mut self.eviction {
            Some(entry) => evictions.resize(entry, bytes),
            None if bytes > 0 => self.eviction = Some(evictions.add(bytes, wake())),
            None => {}
        }
        let capacity = self.budget.capacity();
        let excess = self.budget.reserved().saturating_sub(capacity);
        evictions.evict(excess, capacity.saturating_sub(headroom));
    }

    /// Whether the holder has to release all bytes.
    pub fn is_evicted(&self) -> bool {
        self.eviction.as_ref().is_some_and(EvictionEntry::is_evicted)
    }

    /// Ends the evictability of the bytes.
    pub fn protect(&mut self) {
        if let Some(entry) = self.eviction.take() {
            self.budget.0.evictions.remove(&entry);
        }
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.force_resize(0);
        self.protect();
    }
}
