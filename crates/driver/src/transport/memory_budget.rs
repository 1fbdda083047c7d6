//! Memory that many connections share: how much of it is taken, and how much there may be.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

struct Shared {
    taken: AtomicUsize,
    most: AtomicUsize,
}

#[derive(Clone)]
pub struct Room(Arc<Shared>);

/// A part of it, given back when dropped.
pub struct Taken {
    room: Room,
    bytes: usize,
}

impl Room {
    pub fn new(most: usize) -> Room {
        let (taken, most) = (AtomicUsize::new(0), AtomicUsize::new(most));
        Room(Arc::new(Shared { taken, most }))
    }

    pub fn bound(&self, most: usize) {
        self.0.most.store(most, Ordering::Relaxed);
    }

    pub fn most(&self) -> usize {
        self.0.most.load(Ordering::Relaxed)
    }

    pub fn taken(&self) -> usize {
        self.0.taken.load(Ordering::Relaxed)
    }

    /// No part yet.
    pub fn none(&self) -> Taken {
        Taken {
            room: self.clone(),
            bytes: 0,
        }
    }

    pub fn take(&self, bytes: usize) -> Option<Taken> {
        let mut taken = self.none();
        taken.resize(bytes).then_some(taken)
    }
}

impl Taken {
    /// Makes the part this large. What is too much is not taken; less is always possible.
    pub fn resize(&mut self, bytes: usize) -> bool {
        let before = self.bytes;
        self.hold(bytes);
        let fits = bytes <= before || self.room.taken() <= self.room.most();
        if !fits {
            self.hold(before);
        }
        fits
    }

    /// Makes the part this large, also beyond what there may be: others find less then.
    pub fn hold(&mut self, bytes: usize) {
        let taken = &self.room.0.taken;
        taken.fetch_add(bytes, Ordering::Relaxed);
        taken.fetch_sub(self.bytes, Ordering::Relaxed);
        self.bytes = bytes;
    }
}

impl Drop for Taken {
    fn drop(&mut self) {
        self.hold(0);
    }
}
