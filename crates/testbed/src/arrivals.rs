//! Open-loop arrivals: statements become due at a rate that doesn't depend on answers.

use crate::store_model::Workload;
use asterlatch::time::TimeSpan;

/// A statement that is due.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Due time from the begin of the load.
    pub at: TimeSpan,
    /// Unique over all seeds.
    pub id: u64,
    /// Index into the workloads.
    pub workload: usize,
    /// From 1.
    pub group: u32,
    /// Client session, from 0.
    pub session: u32,
}

/// Poisson arrivals at a constant rate; the same seed gives the same arrivals.
pub struct Arrivals {
    rng: fastrand::Rng,
    shares: Vec<f64>,
    rate: f64,
    groups: u32,
    until: TimeSpan,
    at: f64,
    next: u64,
}

impl Arrivals {
    /// `rate` statements a second until `until`, over groups `1..=groups`.
    pub fn new(workloads: &[Workload], rate: f64, groups: u32, until: TimeSpan, seed: u64) -> Arrivals {
        Arrivals {
            rng: fastrand::Rng::with_seed(seed),
            shares: workloads.iter().map(|workload| workload.share).collect(),
            rate,
            groups,
            until,
            at: 0.0,
            // No two experiments share ids.
            next: seed << 40,
        }
    }
}

impl Iterator for Arrivals {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        self.at += -(1.0 - self.rng.f64()).ln() / self.rate;
        let at = TimeSpan((self.at * 1e6) as u64);
        if at >= self.until {
            return None;
        }
        self.next += 1;
        let mut drawn = self.rng.f64() * self.shares.iter().sum::<f64>();
        let chosen = self.shares.iter().position(|share| {
            drawn -= share;
            drawn < 0.0
        });
        Some(Arrival {
            at,
            id: self.next,
            workload: chosen.unwrap_or(self.shares.len() - 1),
            group: self.rng.u32(1..=self.groups),
            session: self.rng.u32(0..200),
        })
    }
}
