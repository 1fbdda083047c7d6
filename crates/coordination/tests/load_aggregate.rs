//! Admission shares that drivers blend, and what that does to a member whose capacity changes.

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

/// A driver's report, and how long ago that was.
struct Reported {
    driver: u64,
    share: f64,
    answers: f64,
    ago_ms: u64,
}

const fn by(driver: u64, share: f64, answers: f64, ago_ms: u64) -> Reported {
    Reported {
        driver,
        share,
        answers,
        ago_ms,
    }
}

#[test]
fn blended_share_weighs_reports_by_answers_and_age() {
    const NOW: u64 = 20_000;
    // Peers' reports; own answers; what becomes of an own share of 1.
    type Case = (&'static [Reported], u32, Option<f64>);
    const CASES: [Case; 8] = [
        (&[], 0, None),
        // One answer is too little to go by.
        (&[by(2, 0.2, 1.0, 0)], 0, None),
        (&[by(2, 0.2, 8.0, 0)], 0, Some(1.0 - 0.3 * 0.8)),
        // As many of its own: half as far.
        (&[by(2, 0.2, 8.0, 0)], 8, Some(1.0 - 0.3 * 0.8 * 0.5)),
        // The mean of peers, by answers; old reports count less, and at ten seconds nothing.
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
        // A driver that claims a thousand answers has as many as any can have.
        (
            &[by(2, 0.0, 1000.0, 0), by(3, 1.0, 8.0, 0)],
            0,
            Some(1.0 - 0.3 * 0.5),
        ),
    ];
    for (n, (reports, own_answers, expected)) in CASES.into_iter().enumerate() {
        let mut aggregate = LoadAggregate::new(settings());
        for _ in 0..own_answers {
            aggregate.on_answer(at(NOW), MEMBER);
        }
        for r in reports {
            aggregate.on_report(MEMBER, r.driver, report(r.share, r.answers, NOW - r.ago_ms));
        }
        let blended = aggregate.blended_share(at(NOW), MEMBER, 1.0);
        let is_close = |(one, other): (f64, f64)| (one - other).abs() < 0.01;
        assert!(
            blended.is_some() == expected.is_some() && blended.zip(expected).is_none_or(is_close),
            "case {n}: {blended:?}"
        );
    }
}

#[test]
fn on_report_outdated_or_no_number_changes_nothing_and_all_expires() {
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
    assert!((blended.expect("is blended") - 0.85).abs() < 0.01);
    aggregate.on_answer(at(1000), 8);
    assert_eq!(aggregate.reportable(at(1000), 5).len(), 1);
    aggregate.expire(at(20_000));
    let blended = aggregate.blended_share(at(20_000), MEMBER, 1.0);
    assert!(aggregate.reportable(at(20_000), 5).is_empty() && blended.is_none());
}

/// A minute with a member whose capacity falls and comes back, and drivers that each send it little.
struct Simulation {
    drivers: Vec<SimulatedDriver>,
    /// Age of reports on arrival in milliseconds; nothing where drivers report nothing.
    report_age_ms: Option<u64>,
    /// The first so many drivers report nonsense.
    nonsensical: usize,
    random: fastrand::Rng,
    reports: VecDeque<ReportInFlight>,
    /// Statements that wait at the member.
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

/// What a minute comes to.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    answered_in_time: f64,
    /// Mean change of what all drivers send from one second to the next.
    oscillation: f64,
    /// Mean deviation of the drivers' shares from their mean.
    deviation: f64,
}

const TICK_MS: u64 = 50;
const TICKS: u64 = 1200;
const TICKS_PER_SECOND: u64 = 20;
const TICKS_PER_REPORT: u64 = 10;
const SECONDS: f64 = 60.0;
/// Statements a second that all drivers want to send.
const WANTED_RATE: f64 = 150.0;
const SLO_SECONDS: f64 = 0.5;
const MIN_SHARE: f64 = 0.05;

/// Statements a second that the member takes.
fn capacity(now_ms: u64) -> f64 {
    if (20_000..40_000).contains(&now_ms) {
        40.0
    } else {
        100.0
    }
}

impl Simulation {
    fn new(drivers: usize, report_age_ms: Option<u64>, nonsensical: usize, seed: u64) -> Simulation {
        let driver = || SimulatedDriver {
            share: 1.0,
            aggregate: LoadAggregate::new(AggregateSettings::default()),
        };
        Simulation {
            drivers: (0..drivers).map(|_| driver()).collect(),
            report_age_ms,
            nonsensical,
            random: fastrand::Rng::with_seed(seed),
            reports: VecDeque::new(),
            backlog: 0.0,
            answered_in_time: 0.0,
            sent_this_second: 0.0,
        }
    }

    fn send(&mut self, now_ms: u64, driver: usize) {
        let tick_seconds = TICK_MS as f64 / 1000.0;
        let own_rate = WANTED_RATE * tick_seconds / self.drivers.len() as f64;
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
            let is_nonsensical = index < self.nonsensical;
            let own_answers = driver.aggregate.own_answers(at(now_ms), MEMBER);
            let share = if is_nonsensical { 0.0 } else { driver.share };
            let answers = if is_nonsensical { 8.0 } else { own_answers };
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

    /// Standard deviation of the drivers' shares, as a part of their mean.
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
            let done = capacity(now_ms) * TICK_MS as f64 / 1000.0;
            self.backlog = (self.backlog - done).max(0.0);
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

/// The mean of five seeds.
fn mean_outcome(drivers: usize, report_age_ms: Option<u64>, nonsensical: usize) -> Outcome {
    const SEEDS: u64 = 5;
    let mut mean = Outcome::default();
    for seed in 1..=SEEDS {
        let outcome = Simulation::new(drivers, report_age_ms, nonsensical, seed).run();
        mean.answered_in_time += outcome.answered_in_time / SEEDS as f64;
        mean.oscillation += outcome.oscillation / SEEDS as f64;
        mean.deviation += outcome.deviation / SEEDS as f64;
    }
    mean
}

/// At every age of reports all drivers together serve as much as each alone, or more, oscillate little
/// further and admit more alike; nor do they lose much where a tenth of the drivers reports nonsense.
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
        let holds = blended.answered_in_time / alone.answered_in_time > 0.98
            && blended.oscillation / alone.oscillation < 1.3
            && blended.deviation / alone.deviation < 1.02;
        assert!(holds, "{drivers} {age_ms}: {blended:?} {alone:?}");
    }
    let nonsense = mean_outcome(drivers, Some(500), drivers / 10);
    print("a tenth reports nonsense", nonsense);
    assert!(
        nonsense.answered_in_time > alone.answered_in_time * 0.9,
        "{drivers}: {nonsense:?} {alone:?}"
    );
}

#[test]
fn blended_share_of_24_drivers_is_no_worse_than_alone_at_any_age() {
    check_blending(24);
}

#[test]
#[ignore = "a minute in a release build"]
fn blended_share_of_300_drivers_is_no_worse_than_alone_at_any_age() {
    check_blending(300);
}
