//! One driver's part in what many do that can't see each other.

use asterlatch::fleet::Fleet;
use asterlatch::time::Span;

#[test]
fn parts_of_all_drivers_together_are_the_whole() {
    for drivers in [0, 1, 2, 10, 100, 300, 1000] {
        let (fleet, count) = (Fleet::of(drivers), f64::from(drivers.max(1)));
        assert!((fleet.part(60.0) * count - 60.0).abs() < 1e-9, "{drivers}");
        // No member is asked oftener than every 15 ms by all, and by none oftener than every 300 ms.
        let each = Span((fleet.probe_gap().0 as f64 / count) as u64);
        assert!(fleet.probe_gap() >= Span::millis(300), "{drivers}");
        assert!(each >= Span(14_900), "{drivers}: {each:?}");
        assert!(
            fleet.first_limit() >= 1.0 && fleet.first_limit() <= 8.0,
            "{drivers}"
        );
        // What carries nothing counts as an even part of one core, so that all together carry one.
        assert!((fleet.cold_carried(0.0) * count - 1.0).abs() < 1e-9, "{drivers}");
        assert_eq!(fleet.cold_carried(3.0), 3.0, "{drivers}");
    }
}

#[test]
fn a_cold_member_gets_no_more_than_half_of_the_rules_budget() {
    // (drivers, the rule's multiple, it has proven itself; how many times its share it may be sent)
    let table = [
        (1, 4.0, false, 1.0),
        (1, 4.0, true, 2.0),
        (99, 4.0, false, 1.0),
        // The sum of a hundred drivers strays by a tenth: twice the share leaves half of the multiple for the rest.
        (100, 4.0, false, 2.0),
        (300, 4.0, true, 2.0),
        (300, 2.0, false, 1.0),
        (300, 1.0, true, 0.5),
        (300, 100.0, true, 2.0),
    ];
    for (drivers, rule, proves, multiple) in table {
        let used = Fleet::of(drivers).cold_multiple(rule, proves);
        assert_eq!(used, multiple, "{drivers} {rule} {proves}");
        assert!(used <= rule / 2.0);
    }
}

/// Sums of many thin streams, drawn at random, stay inside the rule's budget in every window.
#[test]
fn what_three_hundred_drivers_send_a_cold_member_keeps_the_rule() {
    let mut chance = fastrand::Rng::with_seed(7);
    let (rule, window) = (4.0, 2.0);
    for drivers in [100, 300, 1000] {
        // Each sends as its share allows, with uneven traffic: up to three times the mean, at random moments.
        let multiple = Fleet::of(drivers).cold_multiple(rule, false);
        let capacity = 0.6;
        let work = 0.03;
        let mut worst: f64 = 0.0;
        for _ in 0..200 {
            let mut sent = 0.0;
            for _ in 0..drivers {
                let rate = chance.f64() * 2.0 * capacity * multiple / f64::from(drivers) / work;
                // Each keeps a gap between its own sends; the first comes at a random part of it.
                let mut at = chance.f64() / rate.max(1e-9);
                while at < window {
                    sent += work;
                    at += 1.0 / rate;
                }
            }
            worst = worst.max(sent / (capacity * window));
        }
        assert!(worst < rule * 0.75, "{drivers} drivers: {worst} of {rule}");
    }
}
