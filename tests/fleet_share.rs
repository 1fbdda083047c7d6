//! Fleet-wide limits divided among drivers, and detection of unresponsive zones.

mod common;
use asterlatch::fleet_share::FleetShare;
use asterlatch::interface::*;
use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch::zone_health::ZoneHealth;
use common::*;
use ExecutionOutcome::*;

#[test]
fn fleet_share_of_all_drivers_sums_to_the_total() {
    for drivers in [0, 1, 2, 10, 100, 300, 1000] {
        let (fleet, count) = (FleetShare::new(drivers), f64::from(drivers.max(1)));
        assert!((fleet.even_share(60.0) * count - 60.0).abs() < 1e-9, "{drivers}");
        // A member is checked at most every 15 ms by the fleet, and at most every 300 ms by one driver.
        let fleet_interval = TimeSpan((fleet.health_check_interval().0 as f64 / count) as u64);
        assert!(
            fleet.health_check_interval() >= TimeSpan::millis(300),
            "{drivers}"
        );
        assert!(
            fleet_interval >= TimeSpan(14_900),
            "{drivers}: {fleet_interval:?}"
        );
        assert!(
            fleet.initial_limit() >= 1.0 && fleet.initial_limit() <= 8.0,
            "{drivers}"
        );
        // A driver without measured load counts as an even share of one core.
        assert!((fleet.carried_load(0.0) * count - 1.0).abs() < 1e-9, "{drivers}");
        assert_eq!(fleet.carried_load(3.0), 3.0, "{drivers}");
    }
}

/// Maximum number of calls that a member survives if the settings allow `allowed` calls.
fn max_calls(allowed: f64) -> f64 {
    let (factor, constant) = if allowed < 30.0 { (3.0, 3.0) } else { (2.0, 2.0) };
    allowed + factor * allowed.sqrt() + constant
}

#[test]
fn planned_fraction_any_number_of_calls_leaves_room_for_rounding() {
    for drivers in [0, 1, 2, 5, 20, 30, 42, 43, 100, 300, 900, 100_000] {
        let fraction = FleetShare::new(drivers).planned_fraction();
        assert!((0.78..=1.0).contains(&fraction), "{drivers}: {fraction}");
        let count = f64::from(drivers.max(1));
        for allowed in (1..=8000).map(|quarters| f64::from(quarters) * 0.25) {
            let mean = fraction * allowed;
            let deviation = mean.min(count / 4.0).sqrt();
            let planned_max = mean + (4.0 * deviation).min(count);
            assert!(
                planned_max <= max_calls(allowed) + 1e-9,
                "{drivers} drivers, {allowed} calls: {planned_max}"
            );
        }
    }
}

#[test]
fn warm_up_load_proven_member_or_large_fleet_is_doubled() {
    // (drivers, whether the member's load is proven; expected multiple of a warm member's load)
    let table = [
        (1, false, 1.0),
        (1, true, 2.0),
        (99, false, 1.0),
        (100, false, 2.0),
        (300, true, 2.0),
    ];
    for (drivers, is_proven, multiple) in table {
        let load = FleetShare::new(drivers).warm_up_load(is_proven);
        assert_eq!(load, multiple, "{drivers} {is_proven}");
    }
}

#[test]
fn is_zone_unresponsive_delayed_executions_without_answer_returns_true() {
    // (last answer, avoided since, dispatch times of executions in flight, in ms; whether the zone is
    // unresponsive at 1000 for a maximum typical latency of 100)
    let table: [(u64, u64, &[u64], bool); 10] = [
        (0, 0, &[], false),
        (0, 0, &[700], false),
        (0, 0, &[700, 749], true),
        (0, 0, &[700, 751], false), // one is not delayed yet
        (720, 0, &[700, 749], false),
        (720, 0, &[700, 730, 749], true),
        (900, 0, &[700, 730, 749], false),
        (0, 900, &[], true),
        (950, 900, &[], false),
        (0, 1, &[], true),
    ];
    for (answered, avoided, dispatched, expected) in table {
        let mut zones = ZoneHealth::default();
        zones.record_answer(3, at(answered));
        zones.avoid(3, if avoided > 0 { at(avoided) } else { Timestamp(0) });
        let in_flight = || dispatched.iter().map(|t| at(*t));
        assert_eq!(
            zones.is_zone_unresponsive(3, &mut in_flight(), at(1000), ms(100)),
            expected,
            "answered {answered}, avoided {avoided}, dispatched {dispatched:?}"
        );
        // An avoided zone is tried again after a while, even without an answer.
        assert!(
            !zones.is_zone_unresponsive(3, &mut [].into_iter(), at(2500), ms(100)),
            "answered {answered}, avoided {avoided}"
        );
    }
}

/// A zone behind a network partition: each member there gets one read, too few to detect it by single
/// members.
#[test]
fn advance_to_reads_at_unresponsive_zone_move_to_another_zone() {
    // (whether another zone has a replica, whether the driver has many samples, workload; whether the reads
    // move)
    let table = [
        (true, false, READ, true),
        (false, false, READ, false),
        (true, true, READ, false),
        (true, false, FRESH, false),
    ];
    for (other_zone, sampled, workload, moves) in table {
        let mut harness = new_harness(&settings(), 0);
        let entry = |id: u32, zone: u16| MemberEntry {
            zone,
            ..member_entry(id)
        };
        let replica_zone = u16::from(!other_zone);
        let entries = [
            entry(1, u16::from(workload == FRESH)),
            entry(2, 1),
            entry(3, replica_zone),
            entry(4, 1),
        ];
        harness.driver.on_endpoint_list(at(0), &entries, true);
        harness.answer_health_check(0, 1, 0, true);
        if sampled {
            for now in 0..40 {
                harness.run_statement(now, READ, Completed);
            }
        }
        let mut in_flight = Vec::new();
        for now in 50..56 {
            let (id, actions) = harness.submit(now, workload);
            in_flight.extend(actions.executions.iter().map(|e| (id, e.member)));
        }
        // Members of zone 0 answer.
        let (reachable, unreachable): (Vec<_>, Vec<_>) = in_flight
            .into_iter()
            .partition(|(_, m)| entries[*m as usize - 1].zone == 0);
        for (id, member) in reachable {
            harness.end_execution(100, id, 0, member, Completed);
        }
        assert!(unreachable.len() >= 2 || sampled, "{unreachable:?}");
        assert!(harness.run_until(101, 250).cancellations.is_empty(), "too early");
        let actions = harness.run_until(251, 330);
        let cancelled: Vec<u32> = actions.cancellations.iter().map(|c| c.statement).collect();
        assert_eq!(!cancelled.is_empty(), moves, "{other_zone} {sampled} {workload}");
        for (id, member) in unreachable.into_iter().filter(|(id, _)| cancelled.contains(id)) {
            let actions = harness.end_execution(331, id, 0, member, Cancelled);
            assert_eq!(sent_to(&actions), [3], "retried at the other zone's replica");
            harness.end_execution(340, id, 1, 3, Completed);
        }
        if moves {
            // The zone is avoided for a while and then tried again.
            let mut route = |from: u64| -> Vec<u32> {
                (from..from + 6)
                    .flat_map(|now| harness.route(now, READ))
                    .collect()
            };
            let uses_zone =
                [route(341), route(2000)].map(|members| members.iter().any(|m| [2, 4].contains(m)));
            assert_eq!(uses_zone, [false, true]);
        }
    }
}
