//! Open-loop arrivals: statements become due at a rate that doesn't depend on response times.

use crate::store_model::Workload;
use asterlatch::time::TimeSpan;

/// A statement and its due time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Due time since the start of the load.
    pub at: TimeSpan,
    /// Unique over all seeds.
    pub id: u64,
    /// Index into the workloads.
    pub workload: usize,
    /// Group number, from 1.
    pub group: u32,
    /// Client session, from 0.
    pub session: u32,
}

/// Poisson arrivals at a constant rate; the same seed gives the same arrivals.
pub struct Arrivals {
    rng: fastrand::Rng,
    shares: Vec<f64>,
    rate_per_s: f64,
    groups: u32,
    until: TimeSpan,
    elapsed_s: f64,
    last_id: u64,
}

impl Arrivals {
    /// Generates `rate_per_s` statements per second until `until`, over groups `1..=groups`.
    pub fn new(workloads: &[Workload], rate_per_s: f64, groups: u32, until: TimeSpan, seed: u64) -> Arrivals {
        Arrivals {
            rng: fastrand::Rng::with_seed(seed),
            shares: workloads.iter().map(|workload| workload.share).collect(),
            rate_per_s,
            groups,
            until,
            elapsed_s: 0.0,
            // Runs with different seeds don't share ids.
            last_id: seed << 40,
        }
    }
}

impl Iterator for Arrivals {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        self.elapsed_s += -(1.0 - self.rng.f64()).ln() / self.rate_per_s;
        let at = TimeSpan((self.elapsed_s * 1e6) as u64);
        if at >= self.until {
            return None;
        }
        self.last_id += 1;
        let mut remaining_share = self.rng.f64() * self.shares.iter().sum::<f64>();
        let workload = self.shares.iter().position(|share| {
            remaining_share -= share;
            remaining_share < 0.0
        });
        Some(Arrival {
            at,
            id: self.last_id,
            workload: workload.unwrap_or(self.shares.len() - 1),
            group: self.rng.u32(1..=self.groups),
            session: self.rng.u32(0..200),
        })
    }
}
