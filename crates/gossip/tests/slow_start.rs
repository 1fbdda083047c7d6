//! What all drivers together send a budgets member: within the rule's budget in every span, whatever is lost on the way, and
//! more of it than each alone dares.

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

/// Warms up from a fifth within ten seconds.
fn warm_up_fraction_at(ms: u64) -> f64 {
    (0.2 + 0.8 * ms as f64 / 10_000.0).min(1.0)
}

struct Outcome {
    /// The most work that was dispatched within a window, in multiples of the member's capacity.
    worst_multiple: f64,
    dispatched: u64,
    rejected: u64,
}

/// Load that a warm member carries for all drivers together, in cores.
const WARM_LOAD: f64 = 0.6;
/// Work of each statement.
const STATEMENT_WORK: TimeSpan = TimeSpan::millis(3);
/// Milliseconds of a simulation.
const SIMULATION_MS: u64 = 8000;
const REPORT_INTERVAL_MS: u64 = 100;

/// A report on its way; it arrives one interval late.
struct SentReport {
    driver: usize,
    sent_at: Timestamp,
    report: WorkReport,
}

struct Dispatch {
    at: Timestamp,
    /// In seconds of a core.
    work: f64,
}

struct SimulatedDriver {
    name: String,
    budgets: WarmUpBudgets,
    /// Load that warm members carry for this driver, in cores.
    carried_load: f64,
    /// What is left of its budget; unknown without reports.
    budget: Option<TimeSpan>,
    /// Without a budget the next statement may be dispatched from here on.
    next_dispatch_at: Timestamp,
}

/// Drivers with uneven traffic and a member that warms up from a fifth over ten seconds.
struct Simulation {
    rng: fastrand::Rng,
    drivers: Vec<SimulatedDriver>,
    /// Probability that a report arrives; none if drivers don't report.
    delivery: Option<f64>,
    reports: Vec<SentReport>,
    dispatches: Vec<Dispatch>,
    rejected: u64,
}

impl Simulation {
    fn new(driver_count: usize, delivery: Option<f64>, seed: u64) -> Simulation {
        let mut rng = fastrand::Rng::with_seed(seed);
        // From a tenth of the mean to three times.
        let weights: Vec<f64> = (0..driver_count).map(|_| 0.1 + 2.9 * rng.f64()).collect();
        let total: f64 = weights.iter().sum();
        let drivers = weights.iter().enumerate().map(|(n, weight)| SimulatedDriver {
            name: format!("d{n}"),
            budgets: WarmUpBudgets::new(RULES),
            carried_load: weight / total * WARM_LOAD,
            budget: None,
            next_dispatch_at: Timestamp(0),
        });
        Simulation {
            drivers: drivers.collect(),
            rng,
            delivery,
            reports: Vec::new(),
            dispatches: Vec::new(),
            rejected: 0,
        }
    }

    fn exchange_reports(&mut self, now: Timestamp, warm_up_fraction: f64) {
        let arriving = std::mem::take(&mut self.reports);
        let names: Vec<String> = self.drivers.iter().map(|driver| driver.name.clone()).collect();
        for (n, driver) in self.drivers.iter_mut().enumerate() {
            for sent in arriving.iter().filter(|sent| sent.driver != n) {
                if self
                    .delivery
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
            let others = names.iter().enumerate().filter(|(other, _)| *other != n);
            let others: Vec<&str> = others.map(|(_, name)| name.as_str()).collect();
            let load = load(warm_up_fraction, driver.carried_load);
            let WarmUpBudget { work, report } = driver.budgets.budget(now, MEMBER, load, &others);
            driver.budget = work.filter(|_| self.delivery.is_some());
            self.reports.push(SentReport {
                driver: n,
                sent_at: now,
                report,
            });
        }
    }

    /// Each driver wants `demand` times what a warm member would carry for it.
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
                work: STATEMENT_WORK.ratio(TimeSpan(1_000_000)),
            });
        }
    }

    fn worst_multiple(&self) -> f64 {
        let mut worst: f64 = 0.0;
        for (n, first) in self.dispatches.iter().enumerate() {
            let window = self.dispatches[n..]
                .iter()
                .take_while(|dispatch| dispatch.at < first.at + RULES.window);
            let work: f64 = window.map(|dispatch| dispatch.work).sum();
            let warm_up_fraction = warm_up_fraction_at((first.at - NOW).0 / 1000 + 1000);
            worst = worst.max(work / (WARM_LOAD * warm_up_fraction * 2.0));
        }
        worst
    }
}

impl SimulatedDriver {
    fn may_dispatch(&mut self, now: Timestamp, warm_up_fraction: f64, driver_count: usize) -> bool {
        if let Some(budget) = &mut self.budget {
            let has_budget = *budget > TimeSpan(0);
            *budget = *budget - STATEMENT_WORK;
            return has_budget;
        }
        // Like a driver that knows nothing of others: each dispatch is a debt, paid off by its even share.
        if self.next_dispatch_at > now {
            return false;
        }
        let fleet = FleetShare::new(driver_count as u32);
        let multiple = fleet.warm_up_load(false).min(4.0 * fleet.planned_fraction());
        let repayment = fleet.carried_load(self.carried_load) * warm_up_fraction * multiple;
        self.next_dispatch_at = now + STATEMENT_WORK * (1.0 / repayment);
        true
    }
}

fn simulate(driver_count: usize, delivery: Option<f64>, demand: f64, seed: u64) -> Outcome {
    let mut simulation = Simulation::new(driver_count, delivery, seed);
    for ms in 0..SIMULATION_MS {
        let now = at(ms);
        // On the mean of the window.
        let warm_up_fraction = warm_up_fraction_at(ms.saturating_sub(1000));
        if ms % REPORT_INTERVAL_MS == 0 {
            simulation.exchange_reports(now, warm_up_fraction);
        }
        simulation.dispatch(now, warm_up_fraction, demand);
    }
    Outcome {
        worst_multiple: simulation.worst_multiple(),
        dispatched: simulation.dispatches.len() as u64,
        rejected: simulation.rejected,
    }
}

#[test]
fn budget_by_reports_keeps_the_rule_and_rejects_less_than_alone() {
    println!(
        "drivers  delivery  alone: dispatched, rejected, worst   by reports: dispatched, rejected, worst"
    );
    for drivers in [1, 5, 20, 100] {
        for delivery in [1.0, 0.7] {
            let alone = simulate(drivers, None, 2.0, 3);
            let by_reports = simulate(drivers, Some(delivery), 2.0, 3);
            println!(
                "{drivers:>7}  {delivery:.1}   {:>6} {:>6} {:.2}   {:>6} {:>6} {:.2}",
                alone.dispatched,
                alone.rejected,
                alone.worst_multiple,
                by_reports.dispatched,
                by_reports.rejected,
                by_reports.worst_multiple
            );
            assert!(
                by_reports.worst_multiple < 4.0,
                "{drivers} {delivery}: {}",
                by_reports.worst_multiple
            );
            assert!(alone.worst_multiple < 4.0, "{drivers}: {}", alone.worst_multiple);
            assert!(by_reports.rejected < alone.rejected, "{drivers} {delivery}");
        }
    }
}

/// Which drivers reported how many intervals ago, and whether the budget is known.
#[test]
fn budget_without_a_fresh_report_of_each_driver_is_unknown() {
    let known = |reports: &[(&str, u64)], required: &[&str]| {
        let mut budgets = WarmUpBudgets::new(RULES);
        for (driver, intervals) in reports {
            budgets.on_peer_report(MEMBER, &report(at(1000 - intervals * 100), driver, 1, 0, 100_000));
        }
        budgets.budget(at(1000), MEMBER, load(0.5, 0.1), required).work
    };
    assert!(known(&[], &[]).is_some(), "there is no other driver");
    assert!(known(&[], &["a"]).is_none());
    assert!(known(&[("a", 1)], &["a"]).is_some());
    assert!(known(&[("a", 6)], &["a"]).is_none(), "the report is too old");
    assert!(known(&[("a", 1)], &["a", "b"]).is_none());
    assert!(known(&[("a", 1), ("b", 9)], &["a"]).is_some(), "b is down");
    // The older the report, the smaller the share: the peer may have used its own since.
    let left = |intervals| known(&[("a", intervals)], &["a"]).map_or(0, |s| s.0);
    assert!(
        left(0) > left(1) && left(1) > left(2),
        "{} {} {}",
        left(0),
        left(1),
        left(2)
    );
}

/// Reports of (incarnation, sum, time) one after the other, and the work that counts within the window at 3000.
#[test]
fn on_peer_report_counts_work_once_across_restarts_and_reordering() {
    type Case<'a> = (&'a str, &'a [(u64, u64, u64)], u64);
    #[rustfmt::skip]
    let table: [Case; 5] = [
        ("it grows", &[(1, 100, 500), (1, 400, 1500), (1, 900, 2900)], 800),
        ("all work before the first report is recent", &[(1, 700, 2900)], 700),
        ("an older report changes nothing", &[(1, 900, 2900), (1, 400, 1500)], 900),
        ("a new incarnation begins at zero; earlier work still counts", &[(1, 500, 2000), (2, 300, 2900)], 800),
        ("a late report of an earlier incarnation", &[(2, 300, 2000), (1, 900, 2900)], 300),
    ];
    for (name, reports, sent) in table {
        let mut budgets = WarmUpBudgets::new(RULES);
        for (incarnation, sum, ms) in reports {
            budgets.on_peer_report(MEMBER, &report(at(*ms), "a", *incarnation, *sum, 0));
        }
        // Without required drivers the whole budget is this driver's share: what is missing was dispatched.
        let share = budgets.budget(at(3000), MEMBER, load(1.0, 1.0), &[]).work;
        let budget = 2_000_000.0 * 4.0 * 0.75;
        assert_eq!(share.map(|s| budget as u64 - s.0), Some(sent), "{name}");
    }
}

#[test]
fn budget_of_restarted_member_starts_anew() {
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
        "of an earlier start"
    );
    assert!(budgets.is_warming_up("m"));
    budgets.retain(&[]);
    assert!(!budgets.is_warming_up("m"));
}
