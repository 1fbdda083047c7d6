//! Each driver's order of preference over the replicas of a group, by rendezvous hashing.
//!
//! With round robin every driver would keep a connection to every replica. Instead each driver ranks a
//! group's replicas and uses the first suitable one; `policy` checks positions, limits, admission shares and
//! failures.
//!
//! Every pair of driver and replica has one hash, so adding or removing a replica keeps the order of the
//! others. With `n` drivers that know only themselves and `r` replicas, a replica is the first choice of
//! `n/r` drivers on average, with a standard deviation of about the square root. Drivers that know each other
//! balance this: in an order that all compute alike, each takes its best replica that is below its even share
//! of drivers, rounded up. While the drivers' views of the fleet differ, some replicas are the first choice
//! of a few drivers more.

use std::collections::BTreeSet;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Lower bound of a replica's capacity in computations.
const MIN_CAPACITY: f64 = 0.01;

/// A replica, described identically at all drivers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Replica {
    /// Key that is the same at all drivers.
    pub fleet_key: u64,
    /// Relative capacity, in proportion to which drivers prefer the replica.
    pub capacity: f64,
}

impl Replica {
    fn effective_capacity(&self) -> f64 {
        self.capacity.max(MIN_CAPACITY)
    }
}

/// One driver's replica preference, given the drivers that it knows.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplicaPreference {
    driver_key: u64,
    /// Keys of all live drivers, including this one; empty if no other is known.
    drivers: Vec<u64>,
    version: u64,
}

fn pair_hash(seed: u64, key: u64) -> u64 {
    xxh3_64_with_seed(&key.to_le_bytes(), seed)
}

/// A driver's affinity to a replica regardless of capacity: between 0 and 1, uniform over drivers and over
/// replicas.
pub(crate) fn affinity(driver: u64, fleet_key: u64) -> f64 {
    let hash = pair_hash(driver, fleet_key) >> 11;
    (hash as f64 + 0.5) / (1u64 << 53) as f64
}

/// Rendezvous score of a driver and a replica; the lowest is preferred. Exponentially distributed with the
/// capacity as its rate, so that a replica has the lowest of several scores with a probability in proportion
/// to its capacity.
fn score(driver: u64, replica: &Replica) -> f64 {
    -affinity(driver, replica.fleet_key).ln() / replica.effective_capacity()
}

/// Indices of the replicas by ascending score, and by key where scores are equal.
fn rank_by_score(driver: u64, replicas: &[Replica]) -> Vec<usize> {
    let scores: Vec<f64> = replicas.iter().map(|r| score(driver, r)).collect();
    let mut order: Vec<usize> = (0..replicas.len()).collect();
    order.sort_by(|left, right| {
        let by_key = replicas[*left].fleet_key.cmp(&replicas[*right].fleet_key);
        scores[*left].total_cmp(&scores[*right]).then(by_key)
    });
    order
}

impl ReplicaPreference {
    /// Preference of a driver that knows no other.
    pub fn new(driver_key: u64) -> ReplicaPreference {
        ReplicaPreference {
            driver_key,
            ..ReplicaPreference::default()
        }
    }

    /// Sets the keys of this driver and of its live peers, which are the same at all drivers. Returns whether
    /// any changed.
    pub fn set_drivers(&mut self, driver_key: u64, peers: &BTreeSet<u64>) -> bool {
        let drivers: BTreeSet<u64> = peers.iter().copied().chain([driver_key]).collect();
        let drivers: Vec<u64> = drivers.into_iter().collect();
        let is_changed = self.driver_key != driver_key || self.drivers != drivers;
        self.driver_key = driver_key;
        self.drivers = drivers;
        self.version += u64::from(is_changed);
        is_changed
    }

    /// Increases with each change of the drivers.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Indices of a group's replicas in this driver's order of preference. Computes one score per known
    /// driver and replica.
    pub fn rank(&self, replicas: &[Replica]) -> Vec<usize> {
        let mut order = rank_by_score(self.driver_key, replicas);
        let first = self.balanced_choice(replicas);
        if let Some(first_rank) = order.iter().position(|r| Some(*r) == first) {
            order[..=first_rank].rotate_right(1);
        }
        order
    }

    /// Index of this driver's first choice when all known drivers choose one after the other.
    fn balanced_choice(&self, replicas: &[Replica]) -> Option<usize> {
        if self.drivers.len() < 2 {
            return None;
        }
        let mut free = self.even_shares(replicas);
        // The drivers' order depends on the group, so that the same drivers are not last in all groups.
        let group_hash = replicas
            .iter()
            .fold(0, |hash, r| hash ^ pair_hash(0, r.fleet_key));
        let mut drivers: Vec<(u64, u64)> = self
            .drivers
            .iter()
            .map(|d| (pair_hash(group_hash, *d), *d))
            .collect();
        drivers.sort_unstable();
        for (_, driver) in drivers {
            let first = rank_by_score(driver, replicas)
                .into_iter()
                .find(|r| free[*r] > 0)?;
            if driver == self.driver_key {
                return Some(first);
            }
            free[first] -= 1;
        }
        None
    }

    /// Number of drivers whose first choice each replica may be: its share by capacity, rounded up.
    fn even_shares(&self, replicas: &[Replica]) -> Vec<u64> {
        let total: f64 = replicas.iter().map(Replica::effective_capacity).sum();
        let share = |r: &Replica| r.effective_capacity() / total * self.drivers.len() as f64;
        replicas.iter().map(|r| share(r).ceil() as u64).collect()
    }
}
