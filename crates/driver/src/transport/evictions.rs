//! Holders of reserved memory that have to release it when the budget is exceeded: first those that have made no
//! progress for the longest time.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Tells a holder that it was evicted. Called from any thread.
pub type Wake = Box<dyn Fn() + Send>;

/// The holders that can be evicted, in the order of their last progress.
#[derive(Default)]
pub(super) struct EvictionQueue(Mutex<Holders>);

#[derive(Default)]
struct Holders {
    next_position: u64,
    waiting: BTreeMap<u64, Holder>,
    /// Bytes of all holders in `waiting`.
    waiting_bytes: usize,
    /// Bytes of evicted holders that have not released them yet.
    evicted_bytes: usize,
}

struct Holder {
    bytes: usize,
    is_evicted: Arc<AtomicBool>,
    wake: Wake,
}

/// A holder's place in the queue.
pub(super) struct EvictionEntry {
    position: u64,
    bytes: usize,
    is_evicted: Arc<AtomicBool>,
}

impl EvictionEntry {
    pub(super) fn is_evicted(&self) -> bool {
        self.is_evicted.load(Ordering::Acquire)
    }
}

impl EvictionQueue {
    fn lock(&self) -> MutexGuard<'_, Holders> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a holder behind all others.
    pub(super) fn add(&self, bytes: usize, wake: Wake) -> EvictionEntry {
        let mut holders = self.lock();
        let position = holders.next_position;
        holders.next_position += 1;
        let is_evicted = Arc::<AtomicBool>::default();
        let holder = Holder {
            bytes,
            is_evicted: is_evicted.clone(),
            wake,
        };
        holders.waiting.insert(position, holder);
        holders.waiting_bytes += bytes;
        EvictionEntry {
            position,
            bytes,
            is_evicted,
        }
    }

    /// Changes the bytes of a holder, which keeps its place.
    pub(super) fn resize(&self, entry: &mut EvictionEntry, bytes: usize) {
        let mut holders = self.lock();
        let Some(holder) = holders.waiting.get_mut(&entry.position) else {
            return;
        };
        holder.bytes = bytes;
        holders.waiting_bytes += bytes;
        holders.waiting_bytes -= std::mem::replace(&mut entry.bytes, bytes);
    }

    /// Removes a holder that has released its bytes or has made progress.
    pub(super) fn remove(&self, entry: &EvictionEntry) {
        let mut holders = self.lock();
        if holders.waiting.remove(&entry.position).is_some() {
            holders.waiting_bytes -= entry.bytes;
        } else {
            holders.evicted_bytes -= entry.bytes;
        }
    }

    /// Evicts holders until they release this many bytes in all, with those that were evicted before, and the others
    /// hold at most `max_waiting_bytes`.
    pub(super) fn evict(&self, excess_bytes: usize, max_waiting_bytes: usize) {
        let mut holders = self.lock();
        while holders.evicted_bytes < excess_bytes || holders.waiting_bytes > max_waiting_bytes {
            let Some((_, holder)) = holders.waiting.pop_first() else {
                return;
            };
            holders.waiting_bytes -= holder.bytes;
            holders.evicted_bytes += holder.bytes;
            holder.is_evicted.store(true, Ordering::Release);
            (holder.wake)();
        }
    }
}
