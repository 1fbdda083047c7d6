//! Which replica each driver has first: how even that is over the fleet, how much changes when somebody comes or goes, and
//! what the module makes of it.

mod common;
use asterlatch::interface::*;
use asterlatch::policy::RoutingPolicy;
use asterlatch::replica_preference::{Replica, ReplicaPreference};
use common::*;
use std::collections::{BTreeMap, BTreeSet};

/// A fleet of which all know each other, or nobody anybody; groups of replicas.
#[derive(Clone)]
struct World {
    drivers: BTreeSet<u64>,
    groups: Vec<Vec<Replica>>,
    known: bool,
}

fn key(n: u64) -> u64 {
    // Names hash to anything.
    n.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ 0xABCD
}

impl World {
    /// Groups of a primary, which has no part in this, and two or three replicas, as the deployments have them.
    fn new(drivers: u64, members: u64, known: bool) -> World {
        let mut groups = Vec::new();
        let mut next = 0;
        while next < members {
            let size = 2 + u64::from(groups.len() % 4 == 3);
            let replica = |n| Replica {
                fleet_key: key(1_000_000 + n),
                capacity: 1.0,
            };
            groups.push((next..next + size).map(replica).collect());
            next += size + 1;
        }
        let drivers = (0..drivers).map(key).collect();
        World {
            drivers,
            groups,
            known,
        }
    }

    fn firsts(&self, driver: u64) -> ReplicaPreference {
        let mut firsts = ReplicaPreference::new(driver);
        if self.known {
            let mut others = self.drivers.clone();
            others.remove(&driver);
            firsts.set_drivers(driver, &others);
        }
        firsts
    }

    /// First replica of each driver in each group.
    fn all(&self) -> BTreeMap<(u64, usize), u64> {
        let mut all = BTreeMap::new();
        for driver in &self.drivers {
            let firsts = self.firsts(*driver);
            for (g, group) in self.groups.iter().enumerate() {
                all.insert((*driver, g), group[firsts.rank(group)[0]].fleet_key);
            }
        }
        all
    }

    fn worst(&self, traffic: impl Fn(u64) -> f64) -> f64 {
        busiest(self, &self.all(), traffic)
    }

    /// Part of all firsts that differ from before, of those both know.
    fn changed(&self, before: &World) -> f64 {
        let (old, new) = (before.all(), self.all());
        let both = old.iter().filter_map(|(k, v)| Some((v, new.get(k)?)));
        let (count, differ) = both.fold((0, 0), |(c, d), (a, b)| (c + 1, d + usize::from(a != b)));
        differ as f64 / count as f64
    }
}

/// Load of the busiest replica over the mean of its group, by each driver's traffic.
fn busiest(world: &World, firsts: &BTreeMap<(u64, usize), u64>, traffic: impl Fn(u64) -> f64) -> f64 {
    let mut load: BTreeMap<u64, f64> = BTreeMap::new();
    for ((driver, _), replica) in firsts {
        *load.entry(*replica).or_default() += traffic(*driver);
    }
    let whole: f64 = world.drivers.iter().map(|d| traffic(*d)).sum();
    let over = |group: &Vec<Replica>| {
        let mean = whole / group.len() as f64;
        let most = group
            .iter()
            .map(|r| load.get(&r.fleet_key).copied().unwrap_or(0.0));
        most.fold(0.0, f64::max) / mean
    };
    world.groups.iter().map(over).fold(0.0, f64::max)
}

#[test]
fn busiest_replica_is_close_to_the_mean() {
    // Drivers, whether they know each other, the bound with even traffic.
    for (drivers, known, most) in [
        // Alone: the root of half of the drivers over half of them, three times, for the worst of 109 members.
        (300, false, 1.25),
        (1000, false, 1.15),
        // Known: the even part rounded up; of five over two that is three.
        (300, true, 1.005),
        (100, true, 1.03),
        (5, true, 1.81),
    ] {
        let world = World::new(drivers, 109, known);
        let worst = world.worst(|_| 1.0);
        assert!(worst <= most, "{drivers} {known}: {worst}");
    }
}

/// Traffic from a tenth of the mean to ten times: what evens that out is that members' shares are heeded, not this order.
#[test]
fn known_drivers_do_not_worsen_uneven_traffic() {
    let traffic = |d: u64| [0.1, 0.5, 1.0, 1.0, 1.0, 3.0, 10.0][(d % 7) as usize];
    let (alone, known) = (World::new(300, 109, false), World::new(300, 109, true));
    let (alone, known) = (alone.worst(traffic), known.worst(traffic));
    assert!(alone < 1.6 && known < 1.5, "{alone} {known}");
}

#[test]
fn change_of_one_replica_moves_few_drivers() {
    for known in [false, true] {
        let before = World::new(100, 40, known);
        let mut less = before.clone();
        less.drivers.remove(&key(17));
        let changed = less.changed(&before);
        // One in a hundred is gone; who took its places has left others, at most a few each.
        let most = if known { 0.05 } else { 0.0 };
        assert!(changed <= most, "known {known}: {changed}");

        // A replica goes: those who had it first change, and where parts are kept even a few others.
        let mut less = before.clone();
        let gone = less.groups[3].remove(1).fleet_key;
        let had: Vec<_> = before.all().into_iter().filter(|(_, r)| *r == gone).collect();
        let all = less.all();
        let left = before
            .all()
            .into_iter()
            .filter(|(k, r)| *r != gone && k.1 == 3 && all[k] != *r);
        let most = if known { had.len() } else { 0 };
        assert!(left.count() <= most, "known {known}: others moved as well");
        let taken: BTreeSet<u64> = had.iter().map(|(k, _)| all[k]).collect();
        assert!(taken.len() > 1, "those who lost it spread over the others");
    }
}

#[test]
fn larger_replica_is_first_of_more_drivers() {
    for (known, slack) in [(false, 0.2), (true, 0.02)] {
        let mut world = World::new(300, 3, known);
        world.groups = vec![vec![
            Replica {
                fleet_key: 1,
                capacity: 1.0,
            },
            Replica {
                fleet_key: 2,
                capacity: 3.0,
            },
        ]];
        let large = world.all().values().filter(|r| **r == 2).count() as f64 / 300.0;
        assert!((large - 0.75).abs() < slack * 0.75, "known {known}: {large}");
    }
}

/// Two that differ on who is there for a while: each still has one first in each group, and the sum strays by no more than
/// those few.
#[test]
fn differing_driver_sets_stay_balanced() {
    let world = World::new(60, 40, true);
    let mut late = world.clone();
    for n in 0..6 {
        late.drivers.remove(&key(n));
    }
    let (new, old) = (world.all(), late.all());
    let mut load: BTreeMap<u64, usize> = BTreeMap::new();
    for (k, replica) in &new {
        // Every second driver hasn't heard of the six yet.
        let replica = old.get(k).filter(|_| k.0 % 2 == 0).unwrap_or(replica);
        *load.entry(*replica).or_default() += 1;
    }
    for group in &world.groups {
        let even = 60 / group.len();
        for r in group {
            let has = load.get(&r.fleet_key).copied().unwrap_or(0);
            assert!(has.abs_diff(even) <= 6, "{has} against {even}");
        }
    }
}

#[test]
fn rank_lists_each_replica_once() {
    let world = World::new(24, 20, true);
    for driver in &world.drivers {
        for group in &world.groups {
            let mut order = world.firsts(*driver).rank(group);
            order.sort_unstable();
            assert_eq!(order, (0..group.len()).collect::<Vec<_>>());
        }
    }
    assert!(
        ReplicaPreference::new(3).rank(&[]).is_empty(),
        "a group may be a primary alone"
    );
}

/// The module: of a large fleet each driver keeps to its own replica; positions go first all the same, and so does a
/// replica that others let in more than this one. Smaller fleets go by turns.
#[test]
fn large_fleet_driver_stays_with_its_own_replica() {
    let mut firsts = BTreeSet::new();
    for seed in 0..8 {
        let settings = with(|s| {
            s.driver_count = 300;
            s.members_check_reads = false;
        });
        let mut driver = RoutingPolicy::new(&settings, seed, at(0));
        driver.set_shared_clock();
        driver.on_endpoint_list(at(0), &[1, 2, 3, 4].map(member), true);
        let see = |driver: &mut RoutingPolicy, now: u64, m: u32, position: u64| {
            driver.on_health_check(at(now), m, true, ms(1), seen(position, m == 1));
        };
        let mut next = 0;
        let mut reads = |driver: &mut RoutingPolicy, now: u64| {
            next += 1;
            let r = driver.on_statement(at(now), &statement(next, BOUNDED, 2000));
            let e = r.executions[0];
            driver.on_execution_ended(
                at(now + 1),
                &ended(
                    e.statement,
                    e.member,
                    ExecutionOutcome::Completed,
                    1,
                    ReplicaStatus::default(),
                ),
            );
            e.member
        };
        (1..=4).for_each(|m| see(&mut driver, 10_000, m, 10_000));
        let went: BTreeSet<u32> = (0..4).map(|n| reads(&mut driver, 10_001 + n)).collect();
        assert_eq!(went.len(), 1, "seed {seed}: {went:?}");
        let own = *went.first().expect("went somewhere");
        assert_ne!(own, 1, "the primary is nobody's own");
        firsts.insert(own);
        // Of the others newer positions are known, of its own none that proves the bound.
        let late = 10_000 + 60_000;
        (1..=4)
            .filter(|m| *m != own)
            .for_each(|m| see(&mut driver, late, m, late));
        let other = reads(&mut driver, late + 1);
        assert!(
            other != own && other != 1,
            "seed {seed}: {other}, a position goes before the order"
        );
        see(&mut driver, late + 2, own, late + 2);
        assert_eq!(reads(&mut driver, late + 3), own, "and it has them back");
    }
    assert!(
        firsts.len() > 1,
        "different drivers have different ones: {firsts:?}"
    );
}

/// What others tell of who is there changes the order at once, and only where it says something new.
#[test]
fn unchanged_driver_set_reports_no_change() {
    let mut driver = RoutingPolicy::new(&settings(), 1, at(0));
    let others = BTreeSet::from([key(1), key(2)]);
    let news: Vec<bool> = [&others, &others, &BTreeSet::new()]
        .map(|o| driver.set_fleet_drivers(key(0), o, 3))
        .to_vec();
    assert_eq!(news, [true, false, true]);
}

/// The table of options in docs/subsets.md.
#[test]
#[ignore = "prints figures"]
fn figures() {
    let rounds = |w: &World| -> BTreeMap<(u64, usize), u64> {
        let drivers = w.drivers.iter().enumerate();
        let pairs = drivers.flat_map(|(n, d)| {
            let of = |(g, group): (usize, &Vec<Replica>)| ((*d, g), group[(n + g) % group.len()].fleet_key);
            w.groups.iter().enumerate().map(of).collect::<Vec<_>>()
        });
        pairs.collect()
    };
    let uneven = |d: u64| [0.1, 0.5, 1.0, 1.0, 1.0, 3.0, 10.0][(d % 7) as usize];
    println!("| order, drivers | busiest, even traffic | busiest, a tenth to ten times | moved: a driver gone | a member gone |");
    for drivers in [20, 100, 300, 1000] {
        for (name, known) in [
            ("rendezvous alone", Some(false)),
            ("parts rounded up", Some(true)),
            ("rounds", None),
        ] {
            let world = World::new(drivers, 109, known == Some(true));
            let firsts = |w: &World| known.map_or_else(|| rounds(w), |_| w.all());
            let moved = |other: &World| {
                let (old, new) = (firsts(&world), firsts(other));
                let both = old.iter().filter_map(|(k, v)| Some((v, new.get(k)?)));
                let (all, differ) = both.fold((0, 0), |(c, d), (a, b)| (c + 1, d + usize::from(a != b)));
                100.0 * f64::from(differ as u32) / f64::from(all)
            };
            let (mut fewer, mut smaller) = (world.clone(), world.clone());
            fewer.drivers.remove(&key(3));
            smaller.groups[3].remove(1);
            let all = firsts(&world);
            println!(
                "| {name}, {drivers} | {:.3} | {:.2} | {:.2} % | {:.2} % |",
                busiest(&world, &all, |_| 1.0),
                busiest(&world, &all, uneven),
                moved(&fewer),
                moved(&smaller)
            );
        }
    }
}
