//! Which replicas of a group one driver of many prefers, by rendezvous hashing. Nothing here chooses.
//!
//! A driver that asked all replicas in turn would keep a connection to each, and each member one to every driver. So
//! each driver has an order of its own over a group's replicas, and goes down in it only as far as it must; positions,
//! limits, admission shares and failures come first, and `policy` looks at all of them.
//!
//! Each pair of driver and replica has one hash, so the order of the others stays when a replica comes or goes. Over `n`
//! drivers that know only themselves and `r` replicas, a replica is first of `n / r` drivers on average, give or take the
//! root of that. Drivers that know each other balance this: in an order that all compute alike, each takes its best
//! replica that isn't full, where full means its even share rounded up. While two drivers differ on who is there, some
//! replicas are first of a few drivers more, and nothing else.

use std::collections::BTreeSet;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Capacities below this count as this.
const LEAST_CAPACITY: f64 = 0.01;

/// A replica as all drivers know it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Replica {
    /// Key that is the same at all drivers.
    pub fleet_key: u64,
    /// Relative capacity: a replica is first of so many more drivers.
    pub capacity: f64,
}

impl Replica {
    fn effective_capacity(&self) -> f64 {
        self.capacity.max(LEAST_CAPACITY)
    }
}

/// One driver's preference among the drivers that it knows.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplicaPreference {
    own: u64,
    /// All drivers that are there, this one included; empty while it knows of no other.
    drivers: Vec<u64>,
    version: u64,
}

fn pair_hash(one: u64, other: u64) -> u64 {
    xxh3_64_with_seed(&other.to_le_bytes(), one)
}

/// How much a driver prefers a replica before capacities count: between 0 and 1, uniform over drivers and over replicas.
pub(crate) fn affinity(driver: u64, fleet_key: u64) -> f64 {
    let hash = pair_hash(driver, fleet_key) >> 11;
    (hash as f64 + 0.5) / (1u64 << 53) as f64
}

/// Rendezvous score of a pair; the least is preferred. Exponentially distributed with the capacity as its rate, so that a
/// replica is the least of several with a probability in proportion to its capacity.
fn score(driver: u64, replica: &Replica) -> f64 {
    -affinity(driver, replica.fleet_key).ln() / replica.effective_capacity()
}

/// Indices of the replicas by score. Equal scores would need equal hashes: keys decide then.
fn rank_by_score(driver: u64, replicas: &[Replica]) -> Vec<usize> {
    let scores: Vec<f64> = replicas.iter().map(|r| score(driver, r)).collect();
    let mut order: Vec<usize> = (0..replicas.len()).collect();
    order.sort_by(|a, b| {
        let by_key = replicas[*a].fleet_key.cmp(&replicas[*b].fleet_key);
        scores[*a].total_cmp(&scores[*b]).then(by_key)
    });
    order
}

impl ReplicaPreference {
    /// The preference of a driver that knows of no other.
    pub fn new(own: u64) -> ReplicaPreference {
        ReplicaPreference {
            own,
            ..ReplicaPreference::default()
        }
    }

    /// Sets the drivers that are there, by keys that are the same at all of them. Returns whether that changes anything.
    pub fn set_drivers(&mut self, own: u64, others: &BTreeSet<u64>) -> bool {
        let drivers: BTreeSet<u64> = others.iter().copied().chain([own]).collect();
        let drivers: Vec<u64> = drivers.into_iter().collect();
        let changes = self.own != own || self.drivers != drivers;
        self.own = own;
        self.drivers = drivers;
        self.version += u64::from(changes);
        changes
    }

    /// Grows with each change of the drivers.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// This driver's order over a group's replicas, as indices into them. Computes one score for each driver and replica.
    pub fn rank(&self, replicas: &[Replica]) -> Vec<usize> {
        let mut order = rank_by_score(self.own, replicas);
        let first = self.balanced_first(replicas);
        if let Some(at) = order.iter().position(|r| Some(*r) == first) {
            order[..=at].rotate_right(1);
        }
        order
    }

    /// The replica that this driver gets where all known drivers take theirs one after the other.
    fn balanced_first(&self, replicas: &[Replica]) -> Option<usize> {
        if self.drivers.len() < 2 {
            return None;
        }
        let mut free = self.even_shares(replicas);
        // Another order in each group, so that not always the same drivers come last; all compute it alike.
        let group = replicas
            .iter()
            .fold(0, |hash, r| hash ^ pair_hash(0, r.fleet_key));
        let mut drivers: Vec<(u64, u64)> = self.drivers.iter().map(|d| (pair_hash(group, *d), *d)).collect();
        drivers.sort_unstable();
        for (_, driver) in drivers {
            let first = rank_by_score(driver, replicas)
                .into_iter()
                .find(|r| free[*r] > 0)?;
            if driver == self.own {
                return Some(first);
            }
            free[first] -= 1;
        }
        None
    }

    /// Of how many drivers each replica may be first: its share of them by capacity, rounded up.
    fn even_shares(&self, replicas: &[Replica]) -> Vec<u64> {
        let total: f64 = replicas.iter().map(Replica::effective_capacity).sum();
        let share = |r: &Replica| r.effective_capacity() / total * self.drivers.len() as f64;
        replicas.iter().map(|r| share(r).ceil() as u64).collect()
    }
}
