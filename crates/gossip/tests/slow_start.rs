//! What all drivers together send a cold member: within the rule's budget in every span, whatever is lost on the way, and
//! more of it than each alone dares.

use asterlatch::fleet_share::FleetShare;
use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_gossip::slow_start::{
    MemberStart, PeerReport, WarmUpBudget, WarmUpBudgets, WarmUpLoad, WarmUpRules,
};

const TERMS: WarmUpRules = WarmUpRules {
    window: TimeSpan::millis(2000),
    overload_multiple: 4.0,
    report_interval: TimeSpan::millis(100),
};
const MEMBER: MemberStart = MemberStart {
    name: "m",
    started_ms: 5,
};
const RESTARTED: MemberStart = MemberStart {
    name: "m",
    started_ms: 6,
};
const NOW: Timestamp = Timestamp(1_000_000_000);

fn at(ms: u64) -> Timestamp {
    NOW + TimeSpan::millis(ms)
}

fn report(
    reported_at: Timestamp,
    driver: &str,
    incarnation: u64,
    work_us: u64,
    carried_us: u64,
) -> PeerReport<'_> {
    PeerReport {
        driver,
        incarnation,
        reported_at,
        work_us,
        carried_us,
    }
}

fn load(warm_up_fraction: f64, carried_load: f64) -> WarmUpLoad {
    WarmUpLoad {
        warm_up_fraction,
        carried_load,
    }
}

/// From a fifth to all within ten seconds.
fn warm_at(ms: u64) -> f64 {
    (0.2 + 0.8 * ms as f64 / 10_000.0).min(1.0)
}

struct Run {
    /// The most that was sent in a span, of what the member bears.
    worst: f64,
    served: u64,
    refused: u64,
}

/// Drivers with uneven traffic, a member that warms up from a fifth over ten seconds; `told` is the part of retransmits that
/// come through, each a tick late; nothing where each is alone.
fn run(drivers: usize, told: Option<f64>, demand: f64, seed: u64) -> Run {
    let mut chance = fastrand::Rng::with_seed(seed);
    // What warm members carry for each: a tenth of the mean to three times.
    let parts: Vec<f64> = (0..drivers).map(|_| 0.1 + 2.9 * chance.f64()).collect();
    let all: f64 = parts.iter().sum();
    // A warm member carries 0.6 of a core; each statement takes 3 ms.
    let (bears, work) = (0.6, TimeSpan::millis(3));
    let carries: Vec<f64> = parts.iter().map(|p| p / all * bears).collect();
    let mut colds: Vec<WarmUpBudgets> = (0..drivers).map(|_| WarmUpBudgets::new(TERMS)).collect();
    let names: Vec<String> = (0..drivers).map(|n| format!("d{n}")).collect();
    let mut allowed = vec![None; drivers];
    let mut ready = vec![Timestamp(0); drivers];
    let mut sent: Vec<(Timestamp, f64)> = Vec::new();
    let (mut served, mut refused) = (0, 0);
    let mut late: Vec<(usize, Timestamp, u64, u64)> = Vec::new();
    for ms in 0..8000u64 {
        let now = at(ms);
        // On the mean of the last span.
        let warmth = warm_at(ms.saturating_sub(1000));
        if ms % 100 == 0 {
            let words = std::mem::take(&mut late);
            for n in 0..drivers {
                let there: Vec<&str> = (0..drivers)
                    .filter(|o| *o != n)
                    .map(|o| names[o].as_str())
                    .collect();
                for (who, when, work_us, carries_us) in words.iter().filter(|(who, ..)| *who != n) {
                    if told.is_some_and(|part| chance.f64() < part) {
                        colds[n]
                            .on_peer_report(MEMBER, &report(*when, &names[*who], 1, *work_us, *carries_us));
                    }
                }
                let WarmUpBudget { work, report } =
                    colds[n].budget(now, MEMBER, load(warmth, carries[n]), &there);
                allowed[n] = work.filter(|_| told.is_some());
                late.push((n, now, report.work_us, report.carried_us));
            }
        }
        for n in 0..drivers {
            // Each wants `demand` times what a warm member would carry for it.
            if chance.f64() >= demand * carries[n] / 3.0 {
                continue;
            }
            let goes = match &mut allowed[n] {
                Some(left) if *left > TimeSpan(0) => {
                    *left = *left - work;
                    true
                }
                Some(_) => false,
                // As one that is alone: its last send is a debt, paid off by its even part.
                None => {
                    let fleet = FleetShare::new(drivers as u32);
                    let pays = fleet.carried_load(carries[n]) * warmth * fleet.warm_up_multiple(4.0, false);
                    let free = ready[n] <= now;
                    if free {
                        ready[n] = now + work * (1.0 / pays);
                    }
                    free
                }
            };
            if goes {
                colds[n].on_dispatch(now, "m", work);
                sent.push((now, work.ratio(TimeSpan(1_000_000))));
                served += 1;
            } else {
                refused += 1;
            }
        }
    }
    let mut worst: f64 = 0.0;
    for (n, (from, _)) in sent.iter().enumerate() {
        let within = sent[n..].iter().take_while(|(t, _)| *t < *from + TERMS.window);
        let sum: f64 = within.map(|(_, w)| w).sum();
        let warmth = warm_at((*from - NOW).0 / 1000 + 1000);
        worst = worst.max(sum / (bears * warmth * 2.0));
    }
    Run {
        worst,
        served,
        refused,
    }
}

#[test]
fn budget_by_reports_keeps_the_rule_and_rejects_less_than_alone() {
    println!("drivers  told   alone: served, refused, worst   by sums: served, refused, worst");
    for drivers in [1, 5, 20, 100] {
        for part in [1.0, 0.7] {
            let alone = run(drivers, None, 2.0, 3);
            let sums = run(drivers, Some(part), 2.0, 3);
            println!(
                "{drivers:>7}  {part:.1}   {:>6} {:>6} {:.2}   {:>6} {:>6} {:.2}",
                alone.served, alone.refused, alone.worst, sums.served, sums.refused, sums.worst
            );
            assert!(sums.worst < 4.0, "{drivers} {part}: {}", sums.worst);
            assert!(alone.worst < 4.0, "{drivers}: {}", alone.worst);
            assert!(sums.refused < alone.refused, "{drivers} {part}");
        }
    }
}

/// (who has told, how many ticks ago; whether a share is known)
#[test]
fn budget_without_a_fresh_report_of_each_driver_is_unknown() {
    let known = |told: &[(&str, u64)], there: &[&str]| {
        let mut cold = WarmUpBudgets::new(TERMS);
        for (who, ticks) in told {
            cold.on_peer_report(MEMBER, &report(at(1000 - ticks * 100), who, 1, 0, 100_000));
        }
        cold.budget(at(1000), MEMBER, load(0.5, 0.1), there).work
    };
    assert!(known(&[], &[]).is_some(), "alone there is nobody to know of");
    assert!(known(&[], &["a"]).is_none());
    assert!(known(&[("a", 1)], &["a"]).is_some());
    assert!(known(&[("a", 6)], &["a"]).is_none(), "it was too long ago");
    assert!(known(&[("a", 1)], &["a", "b"]).is_none());
    assert!(known(&[("a", 1), ("b", 9)], &["a"]).is_some(), "b has gone");
    // The longer ago, the less is left: it may have used its share since.
    let left = |ticks| known(&[("a", ticks)], &["a"]).map_or(0, |s| s.0);
    assert!(
        left(0) > left(1) && left(1) > left(2),
        "{} {} {}",
        left(0),
        left(1),
        left(2)
    );
}

/// (incarnation, sum, at) one after the other; what counts as sent within the span at 3000
#[test]
fn on_peer_report_counts_work_once_across_restarts_and_reordering() {
    type Case<'a> = (&'a str, &'a [(u64, u64, u64)], u64);
    #[rustfmt::skip]
    let table: [Case; 5] = [
        ("it grows", &[(1, 100, 500), (1, 400, 1500), (1, 900, 2900)], 800),
        ("its first word is all recent", &[(1, 700, 2900)], 700),
        ("an older word changes nothing", &[(1, 900, 2900), (1, 400, 1500)], 900),
        ("a new incarnation begins at nothing; what the former sent counts on", &[(1, 500, 2000), (2, 300, 2900)], 800),
        ("a former incarnation's late word", &[(2, 300, 2000), (1, 900, 2900)], 300),
    ];
    for (name, words, sent) in table {
        let mut cold = WarmUpBudgets::new(TERMS);
        for (incarnation, sum, ms) in words {
            cold.on_peer_report(MEMBER, &report(at(*ms), "a", *incarnation, *sum, 0));
        }
        // All is this driver's own share: what is missing of the budget was sent.
        let share = cold.budget(at(3000), MEMBER, load(1.0, 1.0), &[]).work;
        let budget = 2_000_000.0 * 4.0 * 0.75;
        assert_eq!(share.map(|s| budget as u64 - s.0), Some(sent), "{name}");
    }
}

#[test]
fn budget_of_restarted_member_starts_anew() {
    let mut cold = WarmUpBudgets::new(TERMS);
    cold.on_peer_report(MEMBER, &report(at(0), "a", 1, 5_000_000, 1_000_000));
    assert_eq!(
        cold.budget(at(10), MEMBER, load(0.2, 0.1), &["a"]).work,
        Some(TimeSpan(0))
    );
    cold.on_peer_report(RESTARTED, &report(at(20), "a", 1, 1000, 1_000_000));
    assert!(cold.budget(at(30), RESTARTED, load(0.2, 0.1), &["a"]).work > Some(TimeSpan(0)));
    cold.on_peer_report(MEMBER, &report(at(40), "a", 1, 9_000_000, 1_000_000));
    assert!(
        cold.budget(at(50), RESTARTED, load(0.2, 0.1), &["a"]).work > Some(TimeSpan(0)),
        "of a former start"
    );
    assert!(cold.is_warming_up("m"));
    cold.retain(&[]);
    assert!(!cold.is_warming_up("m"));
}
