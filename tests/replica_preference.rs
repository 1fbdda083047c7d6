//! Balance and stability of replica preferences over a fleet, and their use in replica selection.

mod common;
use asterlatch::interface::*;
use asterlatch::policy::RoutingPolicy;
use asterlatch::replica_preference::{Replica, ReplicaPreference};
use common::*;
use std::collections::{BTreeMap, BTreeSet};

/// Drivers that all know each other, or know only themselves, and groups of replicas.
#[derive(Clone)]
struct FleetModel {
    drivers: BTreeSet<u64>,
    groups: Vec<Vec<Replica>>,
    know_each_other: bool,
}

fn key(number: u64) -> u64 {
    // Spreads consecutive numbers like hashes of names.
    number.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ 0xABCD
}

impl FleetModel {
    /// Groups of one primary, which has no preference, and two or three replicas.
    fn new(drivers: u64, members: u64, know_each_other: bool) -> FleetModel {
        let mut groups = Vec::new();
        let mut next = 0;
        while next < members {
            let size = 2 + u64::from(groups.len() % 4 == 3);
            let replica = |number| Replica {
                fleet_key: key(1_000_000 + number),
                capacity: 1.0,
            };
            groups.push((next..next + size).map(replica).collect());
            next += size + 1;
        }
        let drivers = (0..drivers).map(key).collect();
        FleetModel {
            drivers,
            groups,
            know_each_other,
        }
    }

    fn preference(&self, driver: u64) -> ReplicaPreference {
        let mut preference = ReplicaPreference::new(driver);
        if self.know_each_other {
            let mut peers = self.drivers.clone();
            peers.remove(&driver);
            preference.set_drivers(driver, &peers);
        }
        preference
    }

    /// First choice of each driver in each group.
    fn first_choices(&self) -> BTreeMap<(u64, usize), u64> {
        let mut first_choices = BTreeMap::new();
        for driver in &self.drivers {
            let preference = self.preference(*driver);
            for (group_index, group) in self.groups.iter().enumerate() {
                first_choices.insert((*driver, group_index), group[preference.rank(group)[0]].fleet_key);
            }
        }
        first_choices
    }

    fn max_relative_load(&self, traffic: impl Fn(u64) -> f64) -> f64 {
        max_relative_load(self, &self.first_choices(), traffic)
    }

    /// Fraction of first choices that differ from `before`, of the drivers and groups in both.
    fn changed_fraction(&self, before: &FleetModel) -> f64 {
        let (old, new) = (before.first_choices(), self.first_choices());
        let both = old.iter().filter_map(|(k, v)| Some((v, new.get(k)?)));
        let (count, changed) = both.fold((0, 0), |(c, d), (a, b)| (c + 1, d + usize::from(a != b)));
        changed as f64 / count as f64
    }
}

/// Maximum load of a replica relative to the mean of its group, given each driver's traffic.
fn max_relative_load(
    fleet: &FleetModel,
    first_choices: &BTreeMap<(u64, usize), u64>,
    traffic: impl Fn(u64) -> f64,
) -> f64 {
    let mut load: BTreeMap<u64, f64> = BTreeMap::new();
    for ((driver, _), replica) in first_choices {
        *load.entry(*replica).or_default() += traffic(*driver);
    }
    let total: f64 = fleet.drivers.iter().map(|d| traffic(*d)).sum();
    let relative_load = |group: &Vec<Replica>| {
        let mean = total / group.len() as f64;
        let loads = group
            .iter()
            .map(|r| load.get(&r.fleet_key).copied().unwrap_or(0.0));
        loads.fold(0.0, f64::max) / mean
    };
    fleet.groups.iter().map(relative_load).fold(0.0, f64::max)
}

#[test]
fn rank_even_traffic_keeps_busiest_replica_close_to_the_mean() {
    // (drivers, whether they know each other, maximum relative load)
    for (drivers, know_each_other, max) in [
        // Three standard deviations, for the busiest of 109 members.
        (300, false, 1.25),
        (1000, false, 1.15),
        // The even share rounded up, for example three of five drivers over two replicas.
        (300, true, 1.005),
        (100, true, 1.03),
        (5, true, 1.81),
    ] {
        let fleet = FleetModel::new(drivers, 109, know_each_other);
        let load = fleet.max_relative_load(|_| 1.0);
        assert!(load <= max, "{drivers} {know_each_other}: {load}");
    }
}

/// With drivers' traffic from a tenth of the mean to ten times the mean, admission shares balance the
/// members, not this order.
#[test]
fn rank_uneven_traffic_is_not_worse_for_drivers_that_know_each_other() {
    let traffic = |driver: u64| [0.1, 0.5, 1.0, 1.0, 1.0, 3.0, 10.0][(driver % 7) as usize];
    let (separate, mutual) = (FleetModel::new(300, 109, false), FleetModel::new(300, 109, true));
    let (separate, mutual) = (
        separate.max_relative_load(traffic),
        mutual.max_relative_load(traffic),
    );
    assert!(separate < 1.6 && mutual < 1.5, "{separate} {mutual}");
}

#[test]
fn rank_removal_of_driver_or_replica_changes_few_first_choices() {
    for know_each_other in [false, true] {
        let before = FleetModel::new(100, 40, know_each_other);
        let mut reduced = before.clone();
        reduced.drivers.remove(&key(17));
        let changed = reduced.changed_fraction(&before);
        // Removing one driver of a hundred moves at most a few others, which take its replicas.
        let max = if know_each_other { 0.05 } else { 0.0 };
        assert!(changed <= max, "{know_each_other}: {changed}");

        // Removing a replica moves the drivers that preferred it and, for an even balance, a few others.
        let mut reduced = before.clone();
        let removed = reduced.groups[3].remove(1).fleet_key;
        let affected: Vec<_> = before
            .first_choices()
            .into_iter()
            .filter(|(_, r)| *r == removed)
            .collect();
        let after = reduced.first_choices();
        let moved = before
            .first_choices()
            .into_iter()
            .filter(|(k, r)| *r != removed && k.1 == 3 && after[k] != *r);
        let max = if know_each_other { affected.len() } else { 0 };
        assert!(
            moved.count() <= max,
            "{know_each_other}: too many other drivers moved"
        );
        let replacements: BTreeSet<u64> = affected.iter().map(|(k, _)| after[k]).collect();
        assert!(
            replacements.len() > 1,
            "all affected drivers moved to one replica"
        );
    }
}

#[test]
fn rank_larger_replica_is_preferred_in_proportion_to_capacity() {
    for (know_each_other, tolerance) in [(false, 0.2), (true, 0.02)] {
        let mut fleet = FleetModel::new(300, 3, know_each_other);
        fleet.groups = vec![vec![
            Replica {
                fleet_key: 1,
                capacity: 1.0,
            },
            Replica {
                fleet_key: 2,
                capacity: 3.0,
            },
        ]];
        let large = fleet.first_choices().values().filter(|r| **r == 2).count() as f64 / 300.0;
        assert!(
            (large - 0.75).abs() < tolerance * 0.75,
            "{know_each_other}: {large}"
        );
    }
}

/// While drivers differ on the set of live drivers, the balance is off by at most the difference.
#[test]
fn rank_differing_driver_sets_stay_balanced() {
    let fleet = FleetModel::new(60, 40, true);
    let mut outdated = fleet.clone();
    for number in 0..6 {
        outdated.drivers.remove(&key(number));
    }
    let (new, old) = (fleet.first_choices(), outdated.first_choices());
    let mut load: BTreeMap<u64, usize> = BTreeMap::new();
    for (driver_and_group, replica) in &new {
        // Every second driver does not know the last six yet.
        let replica = old
            .get(driver_and_group)
            .filter(|_| driver_and_group.0 % 2 == 0)
            .unwrap_or(replica);
        *load.entry(*replica).or_default() += 1;
    }
    for group in &fleet.groups {
        let even_share = 60 / group.len();
        for replica in group {
            let drivers = load.get(&replica.fleet_key).copied().unwrap_or(0);
            assert!(
                drivers.abs_diff(even_share) <= 6,
                "{drivers} instead of {even_share}"
            );
        }
    }
}

#[test]
fn rank_lists_each_replica_once() {
    let fleet = FleetModel::new(24, 20, true);
    for driver in &fleet.drivers {
        for group in &fleet.groups {
            let mut order = fleet.preference(*driver).rank(group);
            order.sort_unstable();
            assert_eq!(order, (0..group.len()).collect::<Vec<_>>());
        }
    }
    assert!(
        ReplicaPreference::new(3).rank(&[]).is_empty(),
        "a group may have no replicas"
    );
}

/// Log positions take precedence over the preference.
#[test]
fn on_statement_large_fleet_driver_stays_with_its_preferred_replica() {
    let mut preferred_replicas = BTreeSet::new();
    for seed in 0..8 {
        let settings = settings_with(|settings| {
            settings.driver_count = 300;
            settings.members_check_reads = false;
        });
        let mut driver = RoutingPolicy::new(&settings, seed, at(0));
        driver.set_shared_clock();
        driver.on_endpoint_list(at(0), &[1, 2, 3, 4].map(member_entry), true);
        let answer_health_check = |driver: &mut RoutingPolicy, now: u64, member: u32, position: u64| {
            driver.on_health_check(
                at(now),
                member,
                true,
                ms(1),
                replica_status(position, member == 1),
            );
        };
        let mut last_statement = 0;
        let mut read = |driver: &mut RoutingPolicy, now: u64| {
            last_statement += 1;
            let actions = driver.on_statement(at(now), &statement(last_statement, BOUNDED, 2000));
            let execution = actions.executions[0];
            driver.on_execution_ended(
                at(now + 1),
                &execution_end(
                    execution.statement,
                    execution.member,
                    ExecutionOutcome::Completed,
                    1,
                    ReplicaStatus::default(),
                ),
            );
            execution.member
        };
        (1..=4).for_each(|m| answer_health_check(&mut driver, 10_000, m, 10_000));
        let members: BTreeSet<u32> = (0..4).map(|n| read(&mut driver, 10_001 + n)).collect();
        assert_eq!(members.len(), 1, "seed {seed}: {members:?}");
        let preferred = *members.first().expect("the reads were executed");
        assert_ne!(preferred, 1, "the primary is no preferred replica");
        preferred_replicas.insert(preferred);
        // Only the other replicas report positions that satisfy the bound.
        let late = 10_000 + 60_000;
        (1..=4)
            .filter(|m| *m != preferred)
            .for_each(|m| answer_health_check(&mut driver, late, m, late));
        let other = read(&mut driver, late + 1);
        assert!(other != preferred && other != 1, "seed {seed}: {other} lags");
        answer_health_check(&mut driver, late + 2, preferred, late + 2);
        assert_eq!(read(&mut driver, late + 3), preferred, "not preferred");
    }
    assert!(
        preferred_replicas.len() > 1,
        "all drivers prefer one replica: {preferred_replicas:?}"
    );
}

#[test]
fn set_fleet_drivers_unchanged_set_returns_false() {
    let mut driver = RoutingPolicy::new(&settings(), 1, at(0));
    let peers = BTreeSet::from([key(1), key(2)]);
    let changes: Vec<bool> = [&peers, &peers, &BTreeSet::new()]
        .map(|peers| driver.set_fleet_drivers(key(0), peers, 3))
        .to_vec();
    assert_eq!(changes, [true, false, true]);
}

/// Compares ways to assign replicas to drivers, by balance and stability.
#[test]
#[ignore = "prints figures"]
fn rank_compared_with_other_assignments_prints_figures() {
    let round_robin = |fleet: &FleetModel| -> BTreeMap<(u64, usize), u64> {
        let drivers = fleet.drivers.iter().enumerate();
        let pairs = drivers.flat_map(|(i, driver)| {
            let choice =
                |(g, group): (usize, &Vec<Replica>)| ((*driver, g), group[(i + g) % group.len()].fleet_key);
            fleet.groups.iter().enumerate().map(choice).collect::<Vec<_>>()
        });
        pairs.collect()
    };
    let uneven = |driver: u64| [0.1, 0.5, 1.0, 1.0, 1.0, 3.0, 10.0][(driver % 7) as usize];
    println!("| assignment, drivers | max load, even | uneven traffic | moved: driver removed | replica |");
    for drivers in [20, 100, 300, 1000] {
        for (name, know_each_other) in [
            ("rendezvous", Some(false)),
            ("balanced rendezvous", Some(true)),
            ("round robin", None),
        ] {
            let fleet = FleetModel::new(drivers, 109, know_each_other == Some(true));
            let first_choices =
                |w: &FleetModel| know_each_other.map_or_else(|| round_robin(w), |_| w.first_choices());
            let moved = |other: &FleetModel| {
                let (old, new) = (first_choices(&fleet), first_choices(other));
                let both = old.iter().filter_map(|(k, v)| Some((v, new.get(k)?)));
                let (count, changed) = both.fold((0, 0), |(c, d), (a, b)| (c + 1, d + usize::from(a != b)));
                100.0 * f64::from(changed as u32) / f64::from(count)
            };
            let (mut without_driver, mut without_replica) = (fleet.clone(), fleet.clone());
            without_driver.drivers.remove(&key(3));
            without_replica.groups[3].remove(1);
            let choices = first_choices(&fleet);
            println!(
                "| {name}, {drivers} | {:.3} | {:.2} | {:.2} % | {:.2} % |",
                max_relative_load(&fleet, &choices, |_| 1.0),
                max_relative_load(&fleet, &choices, uneven),
                moved(&without_driver),
                moved(&without_replica)
            );
        }
    }
}
