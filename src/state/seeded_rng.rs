//! Reproducible random numbers.

use serde::{Deserialize, Serialize};
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

/// Uniform random numbers, computed from a seed and a counter.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct SeededRng {
    seed: u64,
    draws: u64,
}

impl SeededRng {
    pub(crate) fn new(seed: u64) -> SeededRng {
        SeededRng { seed, draws: 0 }
    }

    pub(crate) fn seed(&self) -> u64 {
        self.seed
    }

    /// The next number, from 0 up to but not including 1.
    pub(crate) fn draw(&mut self) -> f64 {
        let mut hasher = DefaultHasher::new();
        (self.seed, self.draws).hash(&mut hasher);
        self.draws += 1;
        (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
    }
}
