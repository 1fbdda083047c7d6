//! Work that all drivers together dispatch to a member that is warming up. Guards against more work in any
//! window than the overload rule allows, even if reports are lost, and against more rejections than without
//! reports.

use asterlatch::fleet_share::FleetShare;
use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_gossip::slow_start::{
    MemberStart, PeerReport, WarmUpBudget, WarmUpBudgets, WarmUpLoad, WarmUpRules, WorkReport,
};

const RULES: WarmUpRules = WarmUpRules {
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
    carried_microcores: u64,
) -> PeerReport<'_> {
    PeerReport {
        driver,
        incarnation,
        reported_at,
        work_us,
        carried_microcores,
    }
}

fn load(warm_up_fraction: f64, carried_load: f64) -> WarmUpLoad {
    WarmUpLoad {
        warm_up_fraction,
        carried_load,
    }
}

/// Linear warm-up from a fifth to full capacity within ten seconds.
fn warm_up_fraction_at(ms: u64) -> f64 {
    (0.2 + 0.8 * ms as f64 / 10_000.0).min(1.0)
}

struct Outcome {
    /// Maximum work dispatched within a window, as a multiple of the member's capacity.
    max_multiple: f64,
    dispatched: u64,
    rejected: u64,
}

/// Load of all drivers together on a warm member.
const WARM_LOAD_CORES: f64 = 0.6;
/// Work of one statement.
const STATEMENT_WORK: TimeSpan = TimeSpan::millis(3);
/// Duration of a simulation.
const SIMULATION_MS: u64 = 8000;
const REPORT_INTERVAL_MS: u64 = 100;

/// A report in flight; it arrives after one report interval.
struct SentReport {
    driver: usize,
    sent_at: Timestamp,
    report: WorkReport,
}

struct Dispatch {
    at: Timestamp,
    work_core_seconds: f64,
}

struct SimulatedDriver {
    name: String,
    budgets: WarmUpBudgets,
    /// Load of this driver on warm members, in cores.
    carried_load: f64,
    /// Remaining budget; `None` without reports.
    budget: Option<TimeSpan>,
    /// Earliest time of the next dispatch without a budget.
    next_dispatch_at: Timestamp,
}

/// Drivers with uneven load and a member that is warming up.
struct Simulation {
    rng: fastrand::Rng,
    drivers: Vec<SimulatedDriver>,
    /// Probability that a report arrives; `None` if drivers don't send reports.
    delivery_probability: Option<f64>,
    reports: Vec<SentReport>,
    dispatches: Vec<Dispatch>,
    rejected: u64,
}

impl Simulation {
    fn new(driver_count: usize, delivery_probability: Option<f64>, seed: u64) -> Simulation {
        let mut rng = fastrand::Rng::with_seed(seed);
        // From a tenth to three times the mean.
        let weights: Vec<f64> = (0..driver_count).map(|_| 0.1 + 2.9 * rng.f64()).collect();
        let total: f64 = weights.iter().sum();
        let drivers = weights.iter().enumerate().map(|(index, weight)| SimulatedDriver {
            name: format!("d{index}"),
            budgets: WarmUpBudgets::new(RULES),
            carried_load: weight / total * WARM_LOAD_CORES,
            budget: None,
            next_dispatch_at: Timestamp(0),
        });
        Simulation {
            drivers: drivers.collect(),
            rng,
            delivery_probability,
            reports: Vec::new(),
            dispatches: Vec::new(),
            rejected: 0,
        }
    }

    fn exchange_reports(&mut self, now: Timestamp, warm_up_fraction: f64) {
        let arriving = std::mem::take(&mut self.reports);
        let names: Vec<String> = self.drivers.iter().map(|driver| driver.name.clone()).collect();
        for (index, driver) in self.drivers.iter_mut().enumerate() {
            for sent in arriving.iter().filter(|sent| sent.driver != index) {
                if self
                    .delivery_probability
                    .is_some_and(|probability| self.rng.f64() < probability)
                {
                    let WorkReport {
                        work_us,
                        carried_microcores,
                        ..
                    } = sent.report;
                    let report = report(sent.sent_at, &names[sent.driver], 1, work_us, carried_microcores);
                    driver.budgets.on_peer_report(MEMBER, &report);
                }
            }
            let others = names.iter().enumerate().filter(|(other, _)| *other != index);
            let others: Vec<&str> = others.map(|(_, name)| name.as_str()).collect();
            let load = load(warm_up_fraction, driver.carried_load);
            let WarmUpBudget { work, report } = driver.budgets.budget(now, MEMBER, load, &others);
            driver.budget = work.filter(|_| self.delivery_probability.is_some());
            self.reports.push(SentReport {
                driver: index,
                sent_at: now,
                report,
            });
        }
    }

    /// Each driver requests `demand` times its load on a warm member.
    fn dispatch(&mut self, now: Timestamp, warm_up_fraction: f64, demand: f64) {
        let driver_count = self.drivers.len();
        for driver in &mut self.drivers {
            if self.rng.f64() >= demand * driver.carried_load / 3.0 {
                continue;
            }
            if !driver.may_dispatch(now, warm_up_fraction, driver_count) {
                self.rejected += 1;
                continue;
            }
            driver.budgets.on_dispatch(now, MEMBER.name, STATEMENT_WORK);
            self.dispatches.push(Dispatch {
                at: now,
                work_core_seconds: STATEMENT_WORK.ratio(TimeSpan(1_000_000)),
            });
        }
    }

    fn max_multiple(&self) -> f64 {
        let mut highest: f64 = 0.0;
        for (index, first) in self.dispatches.iter().enumerate() {
            let window = self.dispatches[index..]
                .iter()
                .take_while(|dispatch| dispatch.at < first.at + RULES.window);
            let work: f64 = window.map(|dispatch| dispatch.work_core_seconds).sum();
            let warm_up_fraction = warm_up_fraction_at((first.at - NOW).0 / 1000 + 1000);
            highest = highest.max(work / (WARM_LOAD_CORES * warm_up_fraction * 2.0));
        }
        highest
    }
}

impl SimulatedDriver {
    fn may_dispatch(&mut self, now: Timestamp, warm_up_fraction: f64, driver_count: usize) -> bool {
        if let Some(budget) = &mut self.budget {
            let has_budget = *budget > TimeSpan(0);
            *budget = *budget - STATEMENT_WORK;
            return has_budget;
        }
        // As without reports: after each dispatch the driver waits until its even share covers the work.
        if self.next_dispatch_at > now {
            return false;
        }
        let fleet = FleetShare::new(driver_count as u32);
        let multiple = fleet.warm_up_load(false).min(4.0 * fleet.planned_fraction());
        let allowed_load = fleet.carried_load(self.carried_load) * warm_up_fraction * multiple;
        self.next_dispatch_at = now + STATEMENT_WORK * (1.0 / allowed_load);
        true
    }
}

fn simulate(driver_count: usize, delivery_probability: Option<f64>, demand: f64, seed: u64) -> Outcome {
    let mut simulation = Simulation::new(driver_count, delivery_probability, seed);
    for ms in 0..SIMULATION_MS {
        let now = at(ms);
        // Average over the window.
        let warm_up_fraction = warm_up_fraction_at(ms.saturating_sub(1000));
        if ms % REPORT_INTERVAL_MS == 0 {
            simulation.exchange_reports(now, warm_up_fraction);
        }
        simulation.dispatch(now, warm_up_fraction, demand);
    }
    Outcome {
        max_multiple: simulation.max_multiple(),
        dispatched: simulation.dispatches.len() as u64,
        rejected: simulation.rejected,
    }
}

#[test]
fn budget_with_reports_obeys_the_rule_and_rejects_less_than_without() {
    println!("drivers  delivery  no reports: dispatched, rejected, max   reports: dispatched, rejected, max");
    for drivers in [1, 5, 20, 100] {
        for delivery_probability in [1.0, 0.7] {
            let without_reports = simulate(drivers, None, 2.0, 3);
            let with_reports = simulate(drivers, Some(delivery_probability), 2.0, 3);
            println!(
                "{drivers:>7}  {delivery_probability:.1}   {:>6} {:>6} {:.2}   {:>6} {:>6} {:.2}",
                without_reports.dispatched,
                without_reports.rejected,
                without_reports.max_multiple,
                with_reports.dispatched,
                with_reports.rejected,
                with_reports.max_multiple
            );
            assert!(
                with_reports.max_multiple < 4.0,
                "{drivers} {delivery_probability}: {}",
                with_reports.max_multiple
            );
            assert!(
                without_reports.max_multiple < 4.0,
                "{drivers}: {}",
                without_reports.max_multiple
            );
            assert!(
                with_reports.rejected < without_reports.rejected,
                "{drivers} {delivery_probability}"
            );
        }
    }
}

#[test]
fn budget_without_a_fresh_report_of_each_driver_is_unknown() {
    let budget = |reports: &[(&str, u64)], required: &[&str]| {
        let mut budgets = WarmUpBudgets::new(RULES);
        for (driver, intervals) in reports {
            budgets.on_peer_report(MEMBER, &report(at(1000 - intervals * 100), driver, 1, 0, 100_000));
        }
        budgets.budget(at(1000), MEMBER, load(0.5, 0.1), required).work
    };
    assert!(budget(&[], &[]).is_some(), "there are no other drivers");
    assert!(budget(&[], &["a"]).is_none());
    assert!(budget(&[("a", 1)], &["a"]).is_some());
    assert!(budget(&[("a", 6)], &["a"]).is_none(), "the report is too old");
    assert!(budget(&[("a", 1)], &["a", "b"]).is_none());
    assert!(budget(&[("a", 1), ("b", 9)], &["a"]).is_some(), "b is down");
    // An older report reduces the share: the peer may have dispatched work since.
    let share_us = |intervals| budget(&[("a", intervals)], &["a"]).map_or(0, |s| s.0);
    assert!(
        share_us(0) > share_us(1) && share_us(1) > share_us(2),
        "{} {} {}",
        share_us(0),
        share_us(1),
        share_us(2)
    );
}

/// Cases are reports of (incarnation, total, time) and the work that counts within the window at 3000 ms.
#[test]
fn on_peer_report_counts_work_once_across_restarts_and_reordering() {
    type Case<'a> = (&'a str, &'a [(u64, u64, u64)], u64);
    #[rustfmt::skip]
    let table: [Case; 5] = [
        ("growing total", &[(1, 100, 500), (1, 400, 1500), (1, 900, 2900)], 800),
        ("work before the first report counts as recent", &[(1, 700, 2900)], 700),
        ("older report", &[(1, 900, 2900), (1, 400, 1500)], 900),
        ("new incarnation counts from zero, earlier work counts", &[(1, 500, 2000), (2, 300, 2900)], 800),
        ("delayed report of an earlier incarnation", &[(2, 300, 2000), (1, 900, 2900)], 300),
    ];
    for (name, reports, counted) in table {
        let mut budgets = WarmUpBudgets::new(RULES);
        for (incarnation, total_us, ms) in reports {
            budgets.on_peer_report(MEMBER, &report(at(*ms), "a", *incarnation, *total_us, 0));
        }
        // Without required drivers this driver's share is the whole budget minus the counted work.
        let share = budgets.budget(at(3000), MEMBER, load(1.0, 1.0), &[]).work;
        let budget = 2_000_000.0 * 4.0 * 0.75;
        assert_eq!(share.map(|s| budget as u64 - s.0), Some(counted), "{name}");
    }
}

#[test]
fn budget_of_restarted_member_ignores_earlier_work() {
    let mut budgets = WarmUpBudgets::new(RULES);
    budgets.on_peer_report(MEMBER, &report(at(0), "a", 1, 5_000_000, 1_000_000));
    assert_eq!(
        budgets.budget(at(10), MEMBER, load(0.2, 0.1), &["a"]).work,
        Some(TimeSpan(0))
    );
    budgets.on_peer_report(RESTARTED, &report(at(20), "a", 1, 1000, 1_000_000));
    assert!(budgets.budget(at(30), RESTARTED, load(0.2, 0.1), &["a"]).work > Some(TimeSpan(0)));
    budgets.on_peer_report(MEMBER, &report(at(40), "a", 1, 9_000_000, 1_000_000));
    assert!(
        budgets.budget(at(50), RESTARTED, load(0.2, 0.1), &["a"]).work > Some(TimeSpan(0)),
        "the report is of an earlier start"
    );
    assert!(budgets.is_warming_up("m"));
    budgets.retain(&[]);
    assert!(!budgets.is_warming_up("m"));
}
