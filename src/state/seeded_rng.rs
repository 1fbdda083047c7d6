//! Randomness that repeats from a seed.

use serde::{Deserialize, Serialize};
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

/// Uniform draws from the instance's seed and a counter.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct SeededRng {
    seed: u64,
    draws: u64,
}

impl SeededRng {
    /// A generator at its first draw.
    pub(crate) fn new(seed: u64) -> SeededRng {
        SeededRng { seed, draws: 0 }
    }

    /// The seed that it started from.
    pub(crate) fn seed(&self) -> u64 {
        self.seed
    }

    /// The next draw, from 0 up to but not including 1.
    pub(crate) fn draw(&mut self) -> f64 {
        let mut hasher = DefaultHasher::new();
        (self.seed, self.draws).hash(&mut hasher);
        self.draws += 1;
        (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
    }
}
