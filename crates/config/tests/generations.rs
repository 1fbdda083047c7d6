//! Decisions of the state machine on reads, samples and time.

use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_config::generations::{Command, Decision, Difference, Generations, ReadOutcome};
use asterlatch_config::probation::{ProbationCriteria, Sample};
use asterlatch_config::schema::Resource;

/// Settings of the test: how they differ from others, and their probation in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
struct TestSettings {
    name: &'static str,
    live: usize,
    at_next_start: usize,
    may_exhaust: bool,
    probation: u64,
}

const fn test_settings(name: &'static str, probation: u64) -> TestSettings {
    TestSettings {
        name,
        live: 1,
        at_next_start: 0,
        may_exhaust: true,
        probation,
    }
}

const FIRST: TestSettings = test_settings("first", 10);
const A: TestSettings = test_settings("a", 10);
const B: TestSettings = test_settings("b", 10);
const IMMEDIATE: TestSettings = test_settings("immediate", 0);
const HARMLESS: TestSettings = TestSettings {
    may_exhaust: false,
    ..test_settings("harmless", 10)
};
const LATER: TestSettings = TestSettings {
    live: 0,
    at_next_start: 2,
    may_exhaust: false,
    ..test_settings("later", 10)
};

fn difference(old: &TestSettings, new: &TestSettings) -> Difference {
    if old == new {
        return Difference::default();
    }
    let may_exhaust = if new.may_exhaust || old.may_exhaust {
        vec![Resource::ClientSlots]
    } else {
        Vec::new()
    };
    // These settings can't exhaust a resource, whatever they are compared with.
    let may_exhaust = if *new == HARMLESS || *new == LATER {
        Vec::new()
    } else {
        may_exhaust
    };
    Difference {
        live: new.live,
        at_next_start: new.at_next_start,
        may_exhaust,
    }
}

fn criteria(test_settings: &TestSettings) -> ProbationCriteria {
    ProbationCriteria {
        probation: TimeSpan::millis(test_settings.probation * 1000),
        margin: 0.02,
        min_rejections: 5,
    }
}

enum Input {
    /// A read that begins and ends now.
    Valid(TestSettings),
    Invalid,
    /// Begins a read.
    BeginRead,
    /// Ends the read with this ticket.
    EndRead(u64, Option<TestSettings>),
    /// Counters of accepted and rejected clients, and open clients.
    Metrics(u64, u64, u64),
    Time,
}
use Input::*;

struct Harness {
    generations: Generations<TestSettings>,
    applied: &'static str,
    confirmed: Vec<&'static str>,
}

impl Harness {
    fn new() -> Harness {
        let generations = Generations::new(1, "first".to_owned(), FIRST, difference, criteria);
        Harness {
            generations,
            applied: "first",
            confirmed: Vec::new(),
        }
    }

    fn apply(&mut self, seconds: u64, input: &Input) -> Vec<Decision> {
        let now = Timestamp(0) + TimeSpan::millis(1_000_000 + seconds * 1000);
        let valid_read = |value: TestSettings| ReadOutcome::Valid {
            hash: value.name.to_owned(),
            settings: value,
        };
        let commands = match input {
            Valid(settings) => {
                let ticket = self.generations.begin_read();
                self.generations.on_read(now, ticket, valid_read(*settings))
            }
            Invalid => {
                let ticket = self.generations.begin_read();
                self.generations
                    .on_read(now, ticket, ReadOutcome::Invalid { error_count: 3 })
            }
            BeginRead => {
                self.generations.begin_read();
                Vec::new()
            }
            EndRead(ticket, settings) => {
                let read = settings.map_or(ReadOutcome::Invalid { error_count: 1 }, valid_read);
                self.generations.on_read(now, *ticket, read)
            }
            Metrics(clients, rejected, open) => {
                let sample = Sample {
                    demand: [*clients, 0, 0],
                    rejected: [*rejected, 0, 0],
                    fill: [*open, 0, 0],
                };
                self.generations.on_sample(now, sample)
            }
            Time => self.generations.advance_to(now),
        };
        let mut decisions = Vec::new();
        for command in commands {
            match command {
                Command::Apply(settings) => self.applied = settings.name,
                Command::Store(g) => self.confirmed.push(g.settings.name),
                Command::Report(t) => decisions.push(t),
            }
        }
        assert_eq!(
            self.generations.applied().settings.name,
            self.applied,
            "the commands give the applied settings"
        );
        decisions
    }
}

/// Steps: time in seconds, input, the applied settings afterwards, and the decisions.
type Steps = Vec<(u64, Input, &'static str, Vec<Decision>)>;

fn applied(number: u64) -> Decision {
    Decision::Applied {
        number,
        live: 1,
        at_next_start: 0,
    }
}

fn confirmed(number: u64) -> Decision {
    Decision::Confirmed { number }
}

fn rolled_back(from: u64, to: u64) -> Decision {
    Decision::RolledBack {
        from,
        to,
        resource: Resource::ClientSlots,
    }
}

#[test]
fn generations_inputs_give_decisions() {
    let busy = |n: u64| Metrics(n, 0, 50);
    #[rustfmt::skip]
    let cases: Vec<(&str, Steps, Vec<&str>)> = vec![
        ("confirmed after its probation", vec![
            (0, busy(0), "first", vec![]), (1, Valid(A), "a", vec![applied(2)]), (2, busy(100), "a", vec![]),
            (10, Time, "a", vec![]), (11, Time, "a", vec![confirmed(2)]), (60, Time, "a", vec![]),
        ], vec!["a"]),
        ("unchanged settings", vec![
            (1, Valid(FIRST), "first", vec![Decision::Unchanged]),
            (2, Valid(FIRST), "first", vec![Decision::Unchanged]),
        ], vec![]),
        ("an invalid file changes nothing", vec![
            (1, Invalid, "first", vec![Decision::Rejected { error_count: 3 }]),
            (2, Valid(A), "a", vec![applied(2)]),
            (3, Invalid, "a", vec![Decision::Rejected { error_count: 3 }]), (4, busy(9), "a", vec![]),
            (11, Time, "a", vec![]),
            (12, Time, "a", vec![confirmed(2)]),
        ], vec!["a"]),
        ("confirmed at once without probation", vec![
            (1, Valid(IMMEDIATE), "immediate", vec![applied(2), confirmed(2)]),
        ], vec!["immediate"]),
        ("confirmed at once if no resource can be exhausted", vec![
            (1, Valid(HARMLESS), "harmless", vec![applied(2), confirmed(2)]),
        ], vec!["harmless"]),
        ("settings for the next start", vec![
            (1, Valid(LATER), "later",
             vec![Decision::Applied { number: 2, live: 0, at_next_start: 2 }, confirmed(2)]),
        ], vec!["later"]),
        ("a harmful change is rolled back, and not applied again", vec![
            (0, busy(0), "first", vec![]), (5, busy(500), "first", vec![]),
            (6, Valid(A), "a", vec![applied(2)]),
            (7, Metrics(600, 4, 30), "a", vec![]),
            (8, Metrics(700, 40, 30), "first", vec![rolled_back(2, 1)]),
            (9, Metrics(800, 80, 30), "first", vec![]),
            (10, Valid(A), "first", vec![Decision::AlreadyRolledBack { resource: Resource::ClientSlots }]),
            (11, Invalid, "first", vec![Decision::Rejected { error_count: 3 }]),
            (12, Valid(A), "first", vec![Decision::AlreadyRolledBack { resource: Resource::ClientSlots }]),
            (13, Valid(B), "b", vec![applied(3)]), (14, Metrics(2000, 80, 30), "b", vec![]),
            (23, Time, "b", vec![confirmed(3)]),
            // The file has stated other settings in between.
            (24, Valid(A), "a", vec![applied(4)]),
        ], vec!["b"]),
        ("stating the applied settings again lifts the refusal", vec![
            (0, busy(0), "first", vec![]), (5, busy(500), "first", vec![]),
            (6, Valid(A), "a", vec![applied(2)]),
            (8, Metrics(700, 40, 30), "first", vec![rolled_back(2, 1)]),
            (9, Valid(FIRST), "first", vec![Decision::Unchanged]),
            (10, Valid(A), "a", vec![applied(3)]),
        ], vec![]),
        ("a change on probation is replaced by another, and compared with the confirmed one", vec![
            (0, busy(0), "first", vec![]), (5, busy(500), "first", vec![]),
            (6, Valid(A), "a", vec![applied(2)]),
            (7, Valid(B), "b", vec![applied(3)]), (8, Metrics(700, 40, 30), "first", vec![rolled_back(3, 1)]),
        ], vec![]),
        ("a return to the confirmed settings is confirmed at once", vec![
            (0, busy(0), "first", vec![]), (6, Valid(A), "a", vec![applied(2)]),
            (7, Valid(FIRST), "first", vec![applied(3), confirmed(3)]),
        ], vec!["first"]),
        ("an older read that ends later is superseded", vec![
            (1, BeginRead, "first", vec![]), (1, BeginRead, "first", vec![]),
            (2, EndRead(2, Some(A)), "a", vec![applied(2)]),
            (3, EndRead(1, Some(B)), "a", vec![Decision::Superseded]),
        ], vec![]),
        ("an invalid read doesn't supersede an older valid one", vec![
            (1, BeginRead, "first", vec![]), (1, BeginRead, "first", vec![]),
            (2, EndRead(2, None), "first", vec![Decision::Rejected { error_count: 1 }]),
            (3, EndRead(1, Some(A)), "a", vec![applied(2)]),
        ], vec![]),
        ("probation without demand is extended, up to a bound", vec![
            (0, busy(100), "first", vec![]), (1, Valid(A), "a", vec![applied(2)]), (11, Time, "a", vec![]),
            (21, Time, "a", vec![]), (31, Time, "a", vec![]), (40, Time, "a", vec![]),
            (41, Time, "a", vec![confirmed(2)]),
        ], vec!["a"]),
        ("harm that appears during the extension", vec![
            (0, Metrics(100, 0, 50), "first", vec![]), (1, Valid(A), "a", vec![applied(2)]),
            (11, Time, "a", vec![]),
            (12, Metrics(200, 50, 40), "first", vec![rolled_back(2, 1)]),
        ], vec![]),
        ("too few rejections", vec![
            (0, busy(0), "first", vec![]), (1, Valid(A), "a", vec![applied(2)]),
            (2, Metrics(10, 4, 30), "a", vec![]),
            (11, Time, "a", vec![confirmed(2)]),
        ], vec!["a"]),
    ];
    for (name, steps, expected) in cases {
        let mut harness = Harness::new();
        for (n, (seconds, input, expected_applied, decisions)) in steps.iter().enumerate() {
            let found = harness.apply(*seconds, input);
            assert_eq!(
                (harness.applied, &found),
                (*expected_applied, decisions),
                "{name}, step {n}"
            );
        }
        assert_eq!(harness.confirmed, expected, "{name}: confirmed");
        if let Some(at) = harness.generations.next_at() {
            assert!(
                at < Timestamp(u64::MAX) && harness.generations.is_on_probation(),
                "{name}"
            );
        }
    }
}

/// Per second: accepted clients, rejected ones in thousandths of them, and open ones.
type Seconds = Vec<(u64, u64, u64)>;

#[test]
fn verdict_distinguishes_change_from_faults_and_surges() {
    let calm = || vec![(100, 0, 300); 30];
    #[rustfmt::skip]
    let cases: Vec<(&str, Seconds, Seconds, bool)> = vec![
        ("no rejections", calm(), calm(), false),
        ("fewer places than in use", calm(), vec![(100, 150, 250); 20], true),
        ("fewer places, rejections below the margin", calm(), vec![(100, 15, 280); 20], false),
        ("fewer places, delayed rejections", calm(), [vec![(100, 0, 300); 12],
         vec![(100, 400, 280); 8]].concat(), true),
        ("a fault before the change", vec![(100, 300, 300); 30], vec![(100, 300, 300); 20], false),
        ("a fault before the change, and harm by the change", vec![(100, 300, 300); 30],
         vec![(100, 500, 300); 20], true),
        ("a surge above the highest fill level before", calm(), vec![(400, 500, 680); 20], false),
        ("a surge that was served before", [vec![(400, 0, 600); 5], calm()].concat(),
         vec![(400, 400, 500); 20], true),
        ("a surge before that caused as many rejections", vec![(400, 400, 680); 30],
         vec![(400, 400, 680); 20], false),
        // Known limits, as documented in the module.
        ("a surge above the baseline under a lowered limit", calm(), vec![(300, 500, 400); 20], false),
        ("an external fault that begins during probation", calm(), vec![(100, 500, 290); 20], true),
        ("no demand", vec![(0, 0, 0); 30], vec![(0, 0, 0); 20], false),
        ("demand below the minimum", calm(), vec![(1, 1000, 20); 4], false),
    ];
    for (name, before, after, harmful) in cases {
        let mut harness = Harness::new();
        let (mut second, mut clients, mut rejected) = (0, 0, 0);
        let mut record_second = |harness: &mut Harness, (accepted, share, open): (u64, u64, u64)| {
            clients += accepted;
            rejected += accepted * share / 1000;
            second += 1;
            harness.apply(second, &Metrics(clients, rejected, open));
            second
        };
        let mut now = 0;
        for step in before {
            now = record_second(&mut harness, step);
        }
        let slow = TestSettings { probation: 30, ..A };
        harness.apply(now, &Valid(slow));
        for step in after {
            record_second(&mut harness, step);
        }
        assert_eq!(harness.applied == "first", harmful, "{name}");
    }
}

#[test]
fn verdict_ignores_resources_that_change_cannot_exhaust() {
    let mut harness = Harness::new();
    harness.apply(0, &Metrics(0, 0, 50));
    harness.apply(1, &Valid(HARMLESS));
    harness.apply(2, &Metrics(1000, 900, 40));
    assert_eq!(harness.applied, "harmless");
}

/// Only the first settings and validly read ones are applied, never ones that were rolled back.
#[test]
fn generations_any_inputs_apply_only_valid_settings() {
    use proptest::prelude::*;
    use proptest::test_runner::{Config, TestRunner};
    let all = [FIRST, A, B, IMMEDIATE, HARMLESS, LATER];
    let step = (0..9u8, 0..all.len(), 0..200u64, 0..120u64, 0..600u64);
    let input_sequences = proptest::collection::vec(step, 1..80);
    let config = Config {
        cases: 400,
        rng_algorithm: proptest::test_runner::RngAlgorithm::ChaCha,
        ..Config::default()
    };
    let seed = proptest::test_runner::TestRng::deterministic_rng(proptest::test_runner::RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, seed);
    let result = runner.run(&input_sequences, |inputs| {
        let mut harness = Harness::new();
        let (mut now, mut clients, mut rejected) = (0, 0, 0);
        let mut pending_reads = Vec::new();
        for (kind, settings_index, amount, share, open) in inputs {
            now += amount % 7;
            let before = harness.applied;
            let input = match kind {
                0..=2 => Valid(all[settings_index]),
                3 => Invalid,
                4 => {
                    pending_reads.push(harness.generations.begin_read());
                    continue;
                }
                5 => match pending_reads.pop() {
                    Some(ticket) => EndRead(ticket, (share % 3 > 0).then_some(all[settings_index])),
                    None => continue,
                },
                6 | 7 => {
                    clients += amount;
                    rejected += amount * share.min(100) / 100;
                    Metrics(clients, rejected, open)
                }
                _ => Time,
            };
            let decisions = harness.apply(now, &input);
            let rollbacks = decisions
                .iter()
                .filter(|t| matches!(t, Decision::RolledBack { .. }))
                .count();
            prop_assert!(rollbacks <= 1);
            match input {
                Valid(settings) | EndRead(_, Some(settings)) => {
                    let is_ignored = decisions
                        .iter()
                        .any(|t| matches!(t, Decision::AlreadyRolledBack { .. } | Decision::Superseded));
                    prop_assert!(is_ignored || harness.applied == settings.name || rollbacks == 1);
                }
                Invalid | EndRead(_, None) | BeginRead => prop_assert_eq!(harness.applied, before),
                Metrics(..) | Time => prop_assert!(harness.applied == before || rollbacks == 1),
            }
            if let Some(at) = harness.generations.next_at() {
                prop_assert!(harness.generations.is_on_probation() && at.0 > 0);
            }
        }
        Ok(())
    });
    result.expect("holds");
}
