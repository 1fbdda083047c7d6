//! One driver's part in what many do that can't see each other.

mod common;
use asterlatch::fleet_share::FleetShare;
use asterlatch::interface::*;
use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch::zone_health::ZoneHealth;
use common::*;
use ExecutionOutcome::*;

#[test]
fn fleet_shares_of_all_drivers_sum_to_the_total() {
    for drivers in [0, 1, 2, 10, 100, 300, 1000] {
        let (fleet, count) = (FleetShare::new(drivers), f64::from(drivers.max(1)));
        assert!((fleet.of_total(60.0) * count - 60.0).abs() < 1e-9, "{drivers}");
        // No member is asked oftener than every 15 ms by all, and by none oftener than every 300 ms.
        let each = TimeSpan((fleet.health_check_interval().0 as f64 / count) as u64);
        assert!(
            fleet.health_check_interval() >= TimeSpan::millis(300),
            "{drivers}"
        );
        assert!(each >= TimeSpan(14_900), "{drivers}: {each:?}");
        assert!(
            fleet.initial_limit() >= 1.0 && fleet.initial_limit() <= 8.0,
            "{drivers}"
        );
        // What carries nothing counts as an even part of one core, so that all together carry one.
        assert!((fleet.carried_load(0.0) * count - 1.0).abs() < 1e-9, "{drivers}");
        assert_eq!(fleet.carried_load(3.0), 3.0, "{drivers}");
    }
}

/// Calls above which a member that the settings allow so many falls.
fn most_calls(allowed: f64) -> f64 {
    let (roots, constant) = if allowed < 30.0 { (3.0, 3.0) } else { (2.0, 2.0) };
    allowed + roots * allowed.sqrt() + constant
}

#[test]
fn planned_part_leaves_room_for_chance_whatever_is_allowed() {
    for drivers in [0, 1, 2, 5, 20, 30, 42, 43, 100, 300, 900, 100_000] {
        let part = FleetShare::new(drivers).planned_fraction();
        assert!((0.78..=1.0).contains(&part), "{drivers}: {part}");
        let count = f64::from(drivers.max(1));
        for allowed in (1..=8000).map(|quarters| f64::from(quarters) * 0.25) {
            let mean = part * allowed;
            let deviation = mean.min(count / 4.0).sqrt();
            let most = mean + (4.0 * deviation).min(count);
            assert!(
                most <= most_calls(allowed) + 1e-9,
                "{drivers} drivers, {allowed} calls: {most}"
            );
        }
    }
}

#[test]
fn warm_up_load_is_doubled_only_where_proven_or_in_large_fleets() {
    // (drivers, it has proven itself; multiple of what warm members carry)
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
fn zone_with_overdue_executions_at_any_members_is_silent() {
    // (heard at, left at, sent at and still out, in ms; silent at 1000 where the longest typical time is 100)
    let table: [(u64, u64, &[u64], bool); 10] = [
        (0, 0, &[], false),
        (0, 0, &[700], false),
        (0, 0, &[700, 749], true),
        (0, 0, &[700, 751], false), // one isn't late yet
        (720, 0, &[700, 749], false),
        (720, 0, &[700, 730, 749], true),
        (900, 0, &[700, 730, 749], false),
        (0, 900, &[], true),
        (950, 900, &[], false),
        (0, 1, &[], true),
    ];
    for (heard, left, sent, silent) in table {
        let mut zones = ZoneHealth::default();
        zones.record_answer(3, at(heard));
        zones.leave(3, if left > 0 { at(left) } else { Timestamp(0) });
        let out = || sent.iter().map(|t| at(*t));
        assert_eq!(
            zones.is_silent(3, &mut out(), at(1000), ms(100)),
            silent,
            "{heard} {left} {sent:?}"
        );
        // In time it is tried again, whatever is heard.
        assert!(
            !zones.is_silent(3, &mut [].into_iter(), at(2500), ms(100)),
            "{heard} {left}"
        );
    }
}

/// A zone behind a cut: each member there is met once, so none is known to be silent, yet all are.
#[test]
fn reads_at_a_silent_zone_move_to_another_zone() {
    // (another zone has a replica, views are dense, the workload; whether the reads out there move)
    let table = [
        (true, false, READ, true),
        (false, false, READ, false),
        (true, true, READ, false),
        (true, false, FRESH, false),
    ];
    for (other, dense, workload, moves) in table {
        let mut b = bench(&settings(), 0);
        let entry = |id: u32, zone: u16| MemberEntry { zone, ..member(id) };
        let away = u16::from(!other);
        let all = [
            entry(1, u16::from(workload == FRESH)),
            entry(2, 1),
            entry(3, away),
            entry(4, 1),
        ];
        b.driver.on_endpoint_list(at(0), &all, true);
        b.see(0, 1, 0, true);
        if dense {
            for now in 0..40 {
                b.run_through(now, READ, Completed);
            }
        }
        let mut out = Vec::new();
        for now in 50..56 {
            let (id, r) = b.take(now, workload);
            out.extend(r.executions.iter().map(|e| (id, e.member)));
        }
        // What another zone holds is answered.
        let (near, far): (Vec<_>, Vec<_>) =
            out.into_iter().partition(|(_, m)| all[*m as usize - 1].zone == 0);
        for (id, m) in near {
            b.end(100, id, 0, m, Completed);
        }
        assert!(far.len() >= 2 || dense, "{far:?}");
        assert!(b.run_until(101, 250).cancellations.is_empty(), "too early to say");
        let r = b.run_until(251, 330);
        let called: Vec<u32> = r.cancellations.iter().map(|c| c.statement).collect();
        assert_eq!(!called.is_empty(), moves, "{other} {dense} {workload}");
        for (id, m) in far.into_iter().filter(|(id, _)| called.contains(id)) {
            let r = b.end(331, id, 0, m, Cancelled);
            assert_eq!(sent_to(&r), [3], "the other zone's replica");
            b.end(340, id, 1, 3, Completed);
        }
        if moves {
            // Nobody is out there any more: the zone is left for a while, and then tried again by turns.
            let mut went =
                |from: u64| -> Vec<u32> { (from..from + 6).flat_map(|now| b.goes(now, READ)).collect() };
            let away = [went(341), went(2000)].map(|all| all.iter().any(|m| [2, 4].contains(m)));
            assert_eq!(away, [false, true]);
        }
    }
}
