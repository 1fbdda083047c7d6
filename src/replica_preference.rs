//! Which replicas of a group a driver asks first where many drivers each ask little: one that asked all in turn would hold
//! a connection to each, and over the fleet every member would hold one of every driver's. So each driver has an order of
//! its own over a group's replicas, and goes down in it only as far as it must. Who comes first decides nothing alone:
//! positions, room, shares and silence go before it, and `choice` looks at all of them.
//!
//! The order is by rendezvous: each pair of driver and member has a number that is drawn once, by hash, and a driver's first
//! is the member whose number is best. So the order of the others stays as it was when one comes or goes. A driver that
//! knows nobody else takes its own draw alone; over `n` drivers and `r` replicas, a member then is first of `n / r` on the
//! mean, give or take a root of that. Drivers that know each other (`among`) keep it even: in an order that is alike for
//! all, each takes the best that isn't full yet, where full is its even part rounded up. All reckon that for all, so no
//! word is needed; while two differ on who is there, some members are first of a few drivers more, and nothing else.

use std::collections::BTreeSet;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A replica as all drivers know it alike.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Replica {
    pub key: u64,
    /// Of two, the one that bears more is first of more drivers, in that ratio.
    pub size: f64,
}

/// By whom the order is drawn.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplicaPreference {
    own: u64,
    /// All drivers that are there, this one among them; empty where a driver knows of nobody.
    all: Vec<u64>,
    /// Grows with each change.
    pub epoch: u64,
}

fn pair(one: u64, other: u64) -> u64 {
    xxh3_64_with_seed(&other.to_le_bytes(), one)
}

/// How early a driver's draw puts a replica; less is earlier. Exponentially distributed with the replica's size as its
/// rate, so that it is the least of several with a chance in proportion to that.
fn draw(driver: u64, replica: &Replica) -> f64 {
    let uniform = ((pair(driver, replica.key) >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -uniform.ln() / replica.size.max(0.01)
}

/// Indices of the replicas, the earliest first.
fn by_draw(driver: u64, replicas: &[Replica]) -> Vec<usize> {
    let draws: Vec<f64> = replicas.iter().map(|r| draw(driver, r)).collect();
    let mut order: Vec<usize> = (0..replicas.len()).collect();
    // Equal draws would need equal hashes: keys decide then.
    order.sort_by(|a, b| {
        draws[*a]
            .total_cmp(&draws[*b])
            .then(replicas[*a].key.cmp(&replicas[*b].key))
    });
    order
}

impl ReplicaPreference {
    /// A driver that knows of nobody else, by its own draw.
    pub fn alone(own: u64) -> ReplicaPreference {
        ReplicaPreference {
            own,
            ..ReplicaPreference::default()
        }
    }

    /// Those that are there by now, by keys that are alike for all of them. Whether that changes anything.
    pub fn among(&mut self, own: u64, others: &BTreeSet<u64>) -> bool {
        let all: BTreeSet<u64> = others.iter().copied().chain([own]).collect();
        let all: Vec<u64> = all.into_iter().collect();
        let changes = self.own != own || self.all != all;
        (self.own, self.all) = (own, all);
        self.epoch += u64::from(changes);
        changes
    }

    /// This driver's order over a group's replicas, as indices into them. Costs as many draws as there are drivers known,
    /// times the replicas.
    pub fn order(&self, replicas: &[Replica]) -> Vec<usize> {
        let mut order = by_draw(self.own, replicas);
        let first = self.evenly(replicas);
        if let Some(at) = order.iter().position(|r| Some(*r) == first) {
            order[..=at].rotate_right(1);
        }
        order
    }

    /// The replica that this driver has first where all known drivers take theirs one after the other.
    fn evenly(&self, replicas: &[Replica]) -> Option<usize> {
        if self.all.len() < 2 {
            return None;
        }
        let whole: f64 = replicas.iter().map(|r| r.size.max(0.01)).sum();
        let part = |r: &Replica| r.size.max(0.01) / whole * self.all.len() as f64;
        let mut room: Vec<u64> = replicas.iter().map(|r| part(r).ceil() as u64).collect();
        // Another order in each group, so that not the same drivers always come late; alike for all of them.
        let group = replicas.iter().fold(0, |g, r| g ^ pair(0, r.key));
        let mut turns: Vec<(u64, u64)> = self.all.iter().map(|d| (pair(group, *d), *d)).collect();
        turns.sort_unstable();
        for (_, driver) in turns {
            let first = by_draw(driver, replicas).into_iter().find(|r| room[*r] > 0)?;
            if driver == self.own {
                return Some(first);
            }
            room[first] -= 1;
        }
        None
    }
}
