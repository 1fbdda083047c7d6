//! Which meaning is in force, given reads, figures and time.

use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_config::generations::{Command, Decision, Difference, Generations, ReadOutcome};
use asterlatch_config::probation::{ProbationCriteria, Sample};
use asterlatch_config::schema::Resource;

/// A stand-in for a meaning: what it changes against nothing, and its probation in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Meant {
    name: &'static str,
    live: usize,
    at_next_start: usize,
    may_exhaust: bool,
    probation: u64,
}

const fn meant(name: &'static str, probation: u64) -> Meant {
    Meant {
        name,
        live: 1,
        at_next_start: 0,
        may_exhaust: true,
        probation,
    }
}

const FIRST: Meant = meant("first", 10);
const A: Meant = meant("a", 10);
const B: Meant = meant("b", 10);
const SOON: Meant = meant("soon", 0);
const HARMLESS: Meant = Meant {
    may_exhaust: false,
    ..meant("harmless", 10)
};
const LATER: Meant = Meant {
    live: 0,
    at_next_start: 2,
    may_exhaust: false,
    ..meant("later", 10)
};

fn difference(old: &Meant, new: &Meant) -> Difference {
    if old == new {
        return Difference::default();
    }
    let may_exhaust = if new.may_exhaust || old.may_exhaust {
        vec![Resource::ClientSlots]
    } else {
        Vec::new()
    };
    // Against what has only settings that nothing is watched of, the change is as harmless.
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

fn criteria(meant: &Meant) -> ProbationCriteria {
    ProbationCriteria {
        probation: TimeSpan::millis(meant.probation * 1000),
        margin: 0.02,
        min_rejections: 5,
    }
}

enum In {
    /// A read that began and ended now.
    Good(Meant),
    Faulty,
    /// Begins a read; ends the one with this ticket.
    Begin,
    End(u64, Option<Meant>),
    /// Clients so far, those turned away, and open ones.
    Counts(u64, u64, u64),
    Time,
}
use In::*;

struct Stage {
    generations: Generations<Meant>,
    in_force: &'static str,
    kept: Vec<&'static str>,
}

impl Stage {
    fn new() -> Stage {
        let generations = Generations::new(1, "first".to_owned(), FIRST, difference, criteria);
        Stage {
            generations,
            in_force: "first",
            kept: Vec::new(),
        }
    }

    fn take(&mut self, seconds: u64, input: &In) -> Vec<Decision> {
        let now = Timestamp(0) + TimeSpan::millis(1_000_000 + seconds * 1000);
        let good = |m: Meant| ReadOutcome::Valid {
            hash: m.name.to_owned(),
            settings: m,
        };
        let commands = match input {
            Good(m) => {
                let ticket = self.generations.begin_read();
                self.generations.on_read(now, ticket, good(*m))
            }
            Faulty => {
                let ticket = self.generations.begin_read();
                self.generations
                    .on_read(now, ticket, ReadOutcome::Invalid { error_count: 3 })
            }
            Begin => {
                self.generations.begin_read();
                Vec::new()
            }
            End(ticket, m) => {
                let read = m.map_or(ReadOutcome::Invalid { error_count: 1 }, good);
                self.generations.on_read(now, *ticket, read)
            }
            Counts(clients, rejected, open) => {
                let sample = Sample {
                    demand: [*clients, 0, 0],
                    rejected: [*rejected, 0, 0],
                    fill: [*open, 0, 0],
                };
                self.generations.on_sample(now, sample)
            }
            Time => self.generations.advance_to(now),
        };
        let mut told = Vec::new();
        for command in commands {
            match command {
                Command::Apply(m) => self.in_force = m.name,
                Command::Store(g) => self.kept.push(g.settings.name),
                Command::Report(t) => told.push(t),
            }
        }
        assert_eq!(
            self.generations.applied().settings.name,
            self.in_force,
            "the host has what is in force"
        );
        told
    }
}

/// Each step: seconds, input, what is in force behind it, and what is told.
type Steps = Vec<(u64, In, &'static str, Vec<Decision>)>;

fn force(number: u64) -> Decision {
    Decision::Applied {
        number,
        live: 1,
        at_next_start: 0,
    }
}

fn kept(number: u64) -> Decision {
    Decision::Confirmed { number }
}

fn back(from: u64, to: u64) -> Decision {
    Decision::RolledBack {
        from,
        to,
        resource: Resource::ClientSlots,
    }
}

#[test]
fn generations_follow_reads_figures_and_time() {
    let busy = |n: u64| Counts(n, 0, 50);
    #[rustfmt::skip]
    let cases: Vec<(&str, Steps, Vec<&str>)> = vec![
        ("kept after its probation", vec![
            (0, busy(0), "first", vec![]), (1, Good(A), "a", vec![force(2)]), (2, busy(100), "a", vec![]),
            (10, Time, "a", vec![]), (11, Time, "a", vec![kept(2)]), (60, Time, "a", vec![]),
        ], vec!["a"]),
        ("the same again", vec![
            (1, Good(FIRST), "first", vec![Decision::Unchanged]), (2, Good(FIRST), "first", vec![Decision::Unchanged]),
        ], vec![]),
        ("a faulty file changes nothing", vec![
            (1, Faulty, "first", vec![Decision::Rejected { error_count: 3 }]), (2, Good(A), "a", vec![force(2)]),
            (3, Faulty, "a", vec![Decision::Rejected { error_count: 3 }]), (4, busy(9), "a", vec![]), (11, Time, "a", vec![]),
            (12, Time, "a", vec![kept(2)]),
        ], vec!["a"]),
        ("no probation is kept at once", vec![(1, Good(SOON), "soon", vec![force(2), kept(2)])], vec!["soon"]),
        ("what nothing is watched of is kept at once", vec![
            (1, Good(HARMLESS), "harmless", vec![force(2), kept(2)]),
        ], vec!["harmless"]),
        ("what waits for the next start", vec![
            (1, Good(LATER), "later", vec![Decision::Applied { number: 2, live: 0, at_next_start: 2 }, kept(2)]),
        ], vec!["later"]),
        ("harm sends it back, once, and it isn't taken again", vec![
            (0, busy(0), "first", vec![]), (5, busy(500), "first", vec![]), (6, Good(A), "a", vec![force(2)]),
            (7, Counts(600, 4, 30), "a", vec![]), (8, Counts(700, 40, 30), "first", vec![back(2, 1)]),
            (9, Counts(800, 80, 30), "first", vec![]),
            (10, Good(A), "first", vec![Decision::AlreadyRolledBack { resource: Resource::ClientSlots }]),
            (11, Faulty, "first", vec![Decision::Rejected { error_count: 3 }]),
            (12, Good(A), "first", vec![Decision::AlreadyRolledBack { resource: Resource::ClientSlots }]),
            (13, Good(B), "b", vec![force(3)]), (14, Counts(2000, 80, 30), "b", vec![]), (23, Time, "b", vec![kept(3)]),
            // The file has said something else in between.
            (24, Good(A), "a", vec![force(4)]),
        ], vec!["b"]),
        ("saying again what is in force lifts the refusal", vec![
            (0, busy(0), "first", vec![]), (5, busy(500), "first", vec![]), (6, Good(A), "a", vec![force(2)]),
            (8, Counts(700, 40, 30), "first", vec![back(2, 1)]), (9, Good(FIRST), "first", vec![Decision::Unchanged]),
            (10, Good(A), "a", vec![force(3)]),
        ], vec![]),
        ("one on probation gives way to another, both judged against the one kept", vec![
            (0, busy(0), "first", vec![]), (5, busy(500), "first", vec![]), (6, Good(A), "a", vec![force(2)]),
            (7, Good(B), "b", vec![force(3)]), (8, Counts(700, 40, 30), "first", vec![back(3, 1)]),
        ], vec![]),
        ("back by the operators' own hand is kept at once", vec![
            (0, busy(0), "first", vec![]), (6, Good(A), "a", vec![force(2)]),
            (7, Good(FIRST), "first", vec![force(3), kept(3)]),
        ], vec!["first"]),
        ("an older read that ends later", vec![
            (1, Begin, "first", vec![]), (1, Begin, "first", vec![]), (2, End(2, Some(A)), "a", vec![force(2)]),
            (3, End(1, Some(B)), "a", vec![Decision::Superseded]),
        ], vec![]),
        ("a faulty read doesn't make an older good one old", vec![
            (1, Begin, "first", vec![]), (1, Begin, "first", vec![]),
            (2, End(2, None), "first", vec![Decision::Rejected { error_count: 1 }]), (3, End(1, Some(A)), "a", vec![force(2)]),
        ], vec![]),
        ("without demand the probation goes on, but not for good", vec![
            (0, busy(100), "first", vec![]), (1, Good(A), "a", vec![force(2)]), (11, Time, "a", vec![]),
            (21, Time, "a", vec![]), (31, Time, "a", vec![]), (40, Time, "a", vec![]), (41, Time, "a", vec![kept(2)]),
        ], vec!["a"]),
        ("harm that shows while it goes on", vec![
            (0, Counts(100, 0, 50), "first", vec![]), (1, Good(A), "a", vec![force(2)]), (11, Time, "a", vec![]),
            (12, Counts(200, 50, 40), "first", vec![back(2, 1)]),
        ], vec![]),
        ("few are no reason", vec![
            (0, busy(0), "first", vec![]), (1, Good(A), "a", vec![force(2)]), (2, Counts(10, 4, 30), "a", vec![]),
            (11, Time, "a", vec![kept(2)]),
        ], vec!["a"]),
    ];
    for (name, steps, expected) in cases {
        let mut stage = Stage::new();
        for (n, (seconds, input, in_force, told)) in steps.iter().enumerate() {
            let found = stage.take(*seconds, input);
            assert_eq!((stage.in_force, &found), (*in_force, told), "{name}, step {n}");
        }
        assert_eq!(stage.kept, expected, "{name}: kept");
        if let Some(at) = stage.generations.next_at() {
            assert!(
                at < Timestamp(u64::MAX) && stage.generations.is_on_probation(),
                "{name}"
            );
        }
    }
}

/// Second by second: clients a second, part of them turned away in thousandths, and open ones.
type Seconds = Vec<(u64, u64, u64)>;

#[test]
fn harm_of_a_change_is_told_from_faults_and_surges() {
    let calm = || vec![(100, 0, 300); 30];
    #[rustfmt::skip]
    let cases: Vec<(&str, Seconds, Seconds, bool)> = vec![
        ("nothing happens", calm(), calm(), false),
        ("fewer places than were used", calm(), vec![(100, 150, 250); 20], true),
        ("fewer places, a little harm, under the margin", calm(), vec![(100, 15, 280); 20], false),
        ("fewer places, slow to show", calm(), [vec![(100, 0, 300); 12], vec![(100, 400, 280); 8]].concat(), true),
        ("a fault that was there before", vec![(100, 300, 300); 30], vec![(100, 300, 300); 20], false),
        ("a fault that was there before, with harm on top", vec![(100, 300, 300); 30], vec![(100, 500, 300); 20], true),
        ("a surge that fills what was never full", calm(), vec![(400, 500, 680); 20], false),
        ("a surge that was borne before", [vec![(400, 0, 600); 5], calm()].concat(), vec![(400, 400, 500); 20], true),
        ("a surge before that turned away as many", vec![(400, 400, 680); 30], vec![(400, 400, 680); 20], false),
        // Where the way to tell fails, and the module's page says so.
        ("a surge above all before, under a limit that was lowered to less", calm(), vec![(300, 500, 400); 20], false),
        ("a fault from outside that begins just then", calm(), vec![(100, 500, 290); 20], true),
        ("nobody comes", vec![(0, 0, 0); 30], vec![(0, 0, 0); 20], false),
        ("a handful", calm(), vec![(1, 1000, 20); 4], false),
    ];
    for (name, before, after, harmful) in cases {
        let mut stage = Stage::new();
        let (mut second, mut clients, mut rejected) = (0, 0, 0);
        let mut count = |stage: &mut Stage, (come, share, open): (u64, u64, u64)| {
            clients += come;
            rejected += come * share / 1000;
            second += 1;
            stage.take(second, &Counts(clients, rejected, open));
            second
        };
        let mut now = 0;
        for step in before {
            now = count(&mut stage, step);
        }
        let slow = Meant { probation: 30, ..A };
        stage.take(now, &Good(slow));
        for step in after {
            count(&mut stage, step);
        }
        assert_eq!(stage.in_force == "first", harmful, "{name}");
    }
}

/// A setting that nothing watched can come of is no cause, whatever happens beside it.
#[test]
fn only_wants_that_the_change_may_cause_count() {
    let mut stage = Stage::new();
    stage.take(0, &Counts(0, 0, 50));
    stage.take(1, &Good(HARMLESS));
    stage.take(2, &Counts(1000, 900, 40));
    assert_eq!(stage.in_force, "harmless");
}

/// Any row of inputs: what is in force is always something that was read good, or the first; never what was refused.
#[test]
fn any_row_of_inputs_keeps_to_good_meanings() {
    use proptest::prelude::*;
    use proptest::test_runner::{Config, TestRunner};
    let all = [FIRST, A, B, SOON, HARMLESS, LATER];
    let step = (0..9u8, 0..all.len(), 0..200u64, 0..120u64, 0..600u64);
    let rows = proptest::collection::vec(step, 1..80);
    let config = Config {
        cases: 400,
        rng_algorithm: proptest::test_runner::RngAlgorithm::ChaCha,
        ..Config::default()
    };
    let seed = proptest::test_runner::TestRng::deterministic_rng(proptest::test_runner::RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, seed);
    let done = runner.run(&rows, |row| {
        let mut stage = Stage::new();
        let (mut now, mut clients, mut rejected) = (0, 0, 0);
        let mut open_reads = Vec::new();
        for (kind, which, more, share, open) in row {
            now += more % 7;
            let before = stage.in_force;
            let input = match kind {
                0..=2 => Good(all[which]),
                3 => Faulty,
                4 => {
                    open_reads.push(stage.generations.begin_read());
                    continue;
                }
                5 => match open_reads.pop() {
                    Some(ticket) => End(ticket, (share % 3 > 0).then_some(all[which])),
                    None => continue,
                },
                6 | 7 => {
                    clients += more;
                    rejected += more * share.min(100) / 100;
                    Counts(clients, rejected, open)
                }
                _ => Time,
            };
            let told = stage.take(now, &input);
            let went_back = told
                .iter()
                .filter(|t| matches!(t, Decision::RolledBack { .. }))
                .count();
            prop_assert!(went_back <= 1);
            match input {
                Good(m) | End(_, Some(m)) => {
                    let refused = told
                        .iter()
                        .any(|t| matches!(t, Decision::AlreadyRolledBack { .. } | Decision::Superseded));
                    prop_assert!(refused || stage.in_force == m.name || went_back == 1);
                }
                Faulty | End(_, None) | Begin => prop_assert_eq!(stage.in_force, before),
                Counts(..) | Time => prop_assert!(stage.in_force == before || went_back == 1),
            }
            if let Some(at) = stage.generations.next_at() {
                prop_assert!(stage.generations.is_on_probation() && at.0 > 0);
            }
        }
        Ok(())
    });
    done.expect("holds");
}
