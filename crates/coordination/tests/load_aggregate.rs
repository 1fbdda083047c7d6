//! Blending of admission shares, alone and in a simulation of a member whose capacity changes.

use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_coordination::load_aggregate::{AggregateSettings, LoadAggregate, ShareReport};
use std::collections::VecDeque;

const MEMBER: u64 = 7;

fn at(ms: u64) -> Timestamp {
    Timestamp(10_000_000 + ms * 1000)
}

fn report(share: f64, answers: f64, reported_ms: u64) -> ShareReport {
    ShareReport {
        incarnation: 1,
        share,
        answers,
        reported_at: at(reported_ms),
    }
}

fn settings() -> AggregateSettings {
    AggregateSettings {
        half_life: TimeSpan::millis(1000),
        gain: 0.3,
        max_answers: 8.0,
        min_peer_answers: 2.0,
    }
}

/// A share report of one driver, with its age.
struct Reported {
    driver: u64,
    share: f64,
    answers: f64,
    age_ms: u64,
}

const fn by(driver: u64, share: f64, answers: f64, age_ms: u64) -> Reported {
    Reported {
        driver,
        share,
        answers,
        age_ms,
    }
}

#[test]
fn blended_share_weighs_reports_by_answers_and_age() {
    const NOW: u64 = 20_000;
    // Peers' reports, own answers, expected result for an own share of 1.
    type Case = (&'static [Reported], u32, Option<f64>);
    const CASES: [Case; 8] = [
        (&[], 0, None),
        // Fewer peer answers than the minimum.
        (&[by(2, 0.2, 1.0, 0)], 0, None),
        (&[by(2, 0.2, 8.0, 0)], 0, Some(1.0 - 0.3 * 0.8)),
        // As many own answers as peer answers halve the step.
        (&[by(2, 0.2, 8.0, 0)], 8, Some(1.0 - 0.3 * 0.8 * 0.5)),
        // Peers are averaged by answers; the weight of a report decays with its age.
        (
            &[by(2, 0.2, 4.0, 0), by(3, 1.0, 4.0, 0)],
            0,
            Some(1.0 - 0.3 * 0.4),
        ),
        (
            &[by(2, 0.2, 8.0, 1000), by(3, 1.0, 4.0, 0)],
            0,
            Some(1.0 - 0.3 * 0.4 * 2.0 / 3.0),
        ),
        (&[by(2, 0.2, 8.0, 10_000)], 0, None),
        // The answers of a report are capped.
        (
            &[by(2, 0.0, 1000.0, 0), by(3, 1.0, 8.0, 0)],
            0,
            Some(1.0 - 0.3 * 0.5),
        ),
    ];
    for (case, (reports, own_answers, expected)) in CASES.into_iter().enumerate() {
        let mut aggregate = LoadAggregate::new(settings());
        for _ in 0..own_answers {
            aggregate.on_answer(at(NOW), MEMBER);
        }
        for reported in reports {
            aggregate.on_report(
                MEMBER,
                reported.driver,
                report(reported.share, reported.answers, NOW - reported.age_ms),
            );
        }
        let blended = aggregate.blended_share(at(NOW), MEMBER, 1.0);
        let is_close = |(one, other): (f64, f64)| (one - other).abs() < 0.01;
        assert!(
            blended.is_some() == expected.is_some() && blended.zip(expected).is_none_or(is_close),
            "case {case}: {blended:?}"
        );
    }
}

#[test]
fn on_report_outdated_or_not_finite_is_ignored_and_expire_removes_all() {
    let mut aggregate = LoadAggregate::new(settings());
    let current = ShareReport {
        incarnation: 5,
        ..report(0.5, 8.0, 1000)
    };
    aggregate.on_report(MEMBER, 2, current);
    for (incarnation, share, reported_ms) in [(5, 0.9, 900), (4, 0.9, 1100), (5, f64::NAN, 1200)] {
        let ignored = ShareReport {
            incarnation,
            ..report(share, 8.0, reported_ms)
        };
        aggregate.on_report(MEMBER, 2, ignored);
    }
    let blended = aggregate.blended_share(at(1000), MEMBER, 1.0);
    assert!((blended.expect("the current report is blended") - 0.85).abs() < 0.01);
    aggregate.on_answer(at(1000), 8);
    assert_eq!(aggregate.reportable(at(1000), 5).len(), 1);
    aggregate.expire(at(20_000));
    let blended = aggregate.blended_share(at(20_000), MEMBER, 1.0);
    assert!(aggregate.reportable(at(20_000), 5).is_empty() && blended.is_none());
}

/// One minute of drivers that send to a member whose capacity drops and recovers.
struct Simulation {
    drivers: Vec<SimulatedDriver>,
    /// Age of reports on arrival in milliseconds; `None` if drivers send no reports.
    report_age_ms: Option<u64>,
    /// Number of drivers, the first ones, that send wrong reports.
    faulty_drivers: usize,
    random: fastrand::Rng,
    reports: VecDeque<ReportInFlight>,
    /// Statements queued at the member.
    backlog: f64,
    answered_in_time: f64,
    sent_this_second: f64,
}

struct SimulatedDriver {
    share: f64,
    aggregate: LoadAggregate,
}

struct ReportInFlight {
    arrives_ms: u64,
    driver: usize,
    report: ShareReport,
}

/// Result of a simulated minute.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    answered_in_time: f64,
    /// Mean change of the total sent from one second to the next.
    oscillation: f64,
    /// Mean over time of the relative standard deviation of the shares.
    deviation: f64,
}

const TICK_MS: u64 = 50;
const TICKS: u64 = 1200;
const TICKS_PER_SECOND: u64 = 20;
const TICKS_PER_REPORT: u64 = 10;
const SECONDS: f64 = 60.0;
/// Statements per second that all drivers together offer.
const OFFERED_RATE: f64 = 150.0;
const SLO_SECONDS: f64 = 0.5;
const MIN_SHARE: f64 = 0.05;

/// Statements per second that the member completes.
fn capacity(now_ms: u64) -> f64 {
    if (20_000..40_000).contains(&now_ms) {
        40.0
    } else {
        100.0
    }
}

impl Simulation {
    fn new(drivers: usize, report_age_ms: Option<u64>, faulty_drivers: usize, seed: u64) -> Simulation {
        let driver = || SimulatedDriver {
            share: 1.0,
            aggregate: LoadAggregate::new(AggregateSettings::default()),
        };
        Simulation {
            drivers: (0..drivers).map(|_| driver()).collect(),
            report_age_ms,
            faulty_drivers,
            random: fastrand::Rng::with_seed(seed),
            reports: VecDeque::new(),
            backlog: 0.0,
            answered_in_time: 0.0,
            sent_this_second: 0.0,
        }
    }

    fn send(&mut self, now_ms: u64, driver: usize) {
        let tick_seconds = TICK_MS as f64 / 1000.0;
        let own_rate = OFFERED_RATE * tick_seconds / self.drivers.len() as f64;
        let driver = &mut self.drivers[driver];
        if self.random.f64() >= own_rate || self.random.f64() >= driver.share {
            return;
        }
        self.sent_this_second += 1.0;
        self.backlog += 1.0;
        let wait_seconds = self.backlog / capacity(now_ms);
        let slo_part = (wait_seconds / SLO_SECONDS).min(0.8);
        self.answered_in_time += f64::from(u8::from(wait_seconds < SLO_SECONDS));
        let factor = (0.6 * (0.4 - slo_part)).exp();
        driver.share = (driver.share * factor).clamp(MIN_SHARE, 1.0);
        driver.aggregate.on_answer(at(now_ms), MEMBER);
    }

    fn send_reports(&mut self, now_ms: u64, age_ms: u64) {
        for (index, driver) in self.drivers.iter().enumerate() {
            let is_faulty = index < self.faulty_drivers;
            let own_answers = driver.aggregate.own_answers(at(now_ms), MEMBER);
            let share = if is_faulty { 0.0 } else { driver.share };
            let answers = if is_faulty { 8.0 } else { own_answers };
            if answers >= 0.5 {
                self.reports.push_back(ReportInFlight {
                    arrives_ms: now_ms + age_ms,
                    driver: index,
                    report: report(share, answers, now_ms),
                });
            }
        }
    }

    fn deliver_reports(&mut self, now_ms: u64, age_ms: u64) {
        while let Some(message) = self.reports.pop_front_if(|message| message.arrives_ms <= now_ms) {
            let report = ShareReport {
                reported_at: at(now_ms.saturating_sub(age_ms)),
                ..message.report
            };
            for (index, driver) in self.drivers.iter_mut().enumerate() {
                if index != message.driver {
                    driver.aggregate.on_report(MEMBER, message.driver as u64, report);
                }
            }
        }
    }

    fn blend_shares(&mut self, now_ms: u64) {
        for driver in &mut self.drivers {
            let blended = driver.aggregate.blended_share(at(now_ms), MEMBER, driver.share);
            driver.share = blended.unwrap_or(driver.share).clamp(MIN_SHARE, 1.0);
        }
    }

    /// Standard deviation of the shares divided by their mean.
    fn relative_deviation(&self) -> f64 {
        let count = self.drivers.len() as f64;
        let shares = self.drivers.iter().map(|driver| driver.share);
        let mean = shares.clone().sum::<f64>() / count;
        let variance = shares.map(|share| (share - mean).powi(2)).sum::<f64>() / count;
        variance.sqrt() / mean
    }

    fn run(mut self) -> Outcome {
        let mut outcome = Outcome::default();
        let mut sent_last_second: Option<f64> = None;
        for tick in 0..TICKS {
            let now_ms = tick * TICK_MS;
            for driver in 0..self.drivers.len() {
                self.send(now_ms, driver);
            }
            let completed = capacity(now_ms) * TICK_MS as f64 / 1000.0;
            self.backlog = (self.backlog - completed).max(0.0);
            if let Some(age_ms) = self.report_age_ms.filter(|_| tick % TICKS_PER_REPORT == 0) {
                self.send_reports(now_ms, age_ms);
                self.deliver_reports(now_ms, age_ms);
                self.blend_shares(now_ms);
            }
            if tick % TICKS_PER_SECOND == TICKS_PER_SECOND - 1 {
                let sent = std::mem::take(&mut self.sent_this_second);
                outcome.oscillation += sent_last_second.map_or(0.0, |last| (sent - last).abs()) / SECONDS;
                outcome.deviation += self.relative_deviation() / SECONDS;
                sent_last_second = Some(sent);
            }
        }
        outcome.answered_in_time = self.answered_in_time;
        outcome
    }
}

/// Mean outcome over several seeds.
fn mean_outcome(drivers: usize, report_age_ms: Option<u64>, faulty_drivers: usize) -> Outcome {
    const SEEDS: u64 = 5;
    let mut mean = Outcome::default();
    for seed in 1..=SEEDS {
        let outcome = Simulation::new(drivers, report_age_ms, faulty_drivers, seed).run();
        mean.answered_in_time += outcome.answered_in_time / SEEDS as f64;
        mean.oscillation += outcome.oscillation / SEEDS as f64;
        mean.deviation += outcome.deviation / SEEDS as f64;
    }
    mean
}

/// Compared with drivers that act alone, blending must not reduce the answers in time, oscillate much more or
/// diverge, at any report age; faulty reports of a tenth of the drivers must cost little.
fn check_blending(drivers: usize) {
    let print = |what: &str, outcome: Outcome| {
        println!(
            "{drivers} drivers, {what}: {:.0} in time, oscillation {:.1}, deviation {:.2}",
            outcome.answered_in_time, outcome.oscillation, outcome.deviation
        );
    };
    let alone = mean_outcome(drivers, None, 0);
    print("alone", alone);
    for age_ms in [0, 500, 2000, 5000, 10_000] {
        let blended = mean_outcome(drivers, Some(age_ms), 0);
        print(&format!("{age_ms} ms old"), blended);
        let is_no_worse = blended.answered_in_time / alone.answered_in_time > 0.98
            && blended.oscillation / alone.oscillation < 1.3
            && blended.deviation / alone.deviation < 1.02;
        assert!(
            is_no_worse,
            "{drivers} drivers, reports {age_ms} ms old: {blended:?}, alone {alone:?}"
        );
    }
    let faulty = mean_outcome(drivers, Some(500), drivers / 10);
    print("a tenth faulty", faulty);
    assert!(
        faulty.answered_in_time > alone.answered_in_time * 0.9,
        "{drivers} drivers, a tenth faulty: {faulty:?}, alone {alone:?}"
    );
}

#[test]
fn blended_share_of_24_drivers_at_any_age_is_no_worse_than_alone() {
    check_blending(24);
}

#[test]
#[ignore = "takes a minute in a release build"]
fn blended_share_of_300_drivers_at_any_age_is_no_worse_than_alone() {
    check_blending(300);
}
