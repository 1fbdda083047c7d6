//! What all drivers of a fleet send together to a member that has just started: independent drivers in virtual time.
//!
//! A member that the settings allow N calls of mean work in the overload window may get N + 2 root N + 2 in any such window,
//! N + 3 root N + 3 where N is under 30. One that has just started carries one core times its warm-up fraction.

mod common;
use asterlatch::interface::*;
use asterlatch::policy::RoutingPolicy;
use asterlatch::time::{TimeSpan, Timestamp};
use common::{at, member, ms, started, statement, with, READ};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

const PRIMARY: u32 = 1;
const WARM: [u32; 2] = [2, 4];
const COLD: u32 = 3;
/// When the cold member starts, in milliseconds: drivers have learned by then what warm members carry.
const COLD_START_MS: u64 = 8_000;
const END_MS: u64 = COLD_START_MS + 8_000;
/// Part of their capacity that warm members use.
const UTILIZATION: f64 = 0.9;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    /// The same traffic all the time.
    None,
    /// Nobody sends for four seconds behind the start; then the warm replicas drain and every driver sends at once.
    BurstBehindQuiet,
    /// A tenth of the drivers restarts every half a second.
    RollingRestart,
    /// Every driver sends at once, seven in ten of them restart, and every driver sends at once again.
    MassRestart,
}

const TROUBLES: [Trouble; 4] = [
    Trouble::None,
    Trouble::BurstBehindQuiet,
    Trouble::RollingRestart,
    Trouble::MassRestart,
];

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Burst,
    WarmDrain,
    ColdStart,
    Restart {
        driver: usize,
    },
    WakeUp {
        driver: usize,
        incarnation: u32,
    },
    Answer {
        driver: usize,
        incarnation: u32,
        statement: u32,
        attempt: u8,
        member: u32,
        latency: TimeSpan,
    },
}

struct Driver {
    policy: RoutingPolicy,
    incarnation: u32,
    attempts: BTreeMap<u32, u8>,
}

struct Fleet {
    settings: Settings,
    latency: TimeSpan,
    drivers: Vec<Driver>,
    /// Sum of the drivers' parts of the traffic up to each.
    cumulated_parts: Vec<f64>,
    events: BinaryHeap<Reverse<(Timestamp, u64, Event)>>,
    sequence: u64,
    last_statement: u32,
    list: BTreeMap<u32, MemberEntry>,
    random: fastrand::Rng,
    calls_to_cold: Vec<Timestamp>,
    /// When each member has finished what it was sent: it executes one call after another.
    busy_until: BTreeMap<u32, Timestamp>,
}

impl Fleet {
    /// Drivers with uneven parts of the traffic: some several times the mean, some next to none.
    fn new(count: usize, settings: Settings, latency: TimeSpan, seed: u64) -> Fleet {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut sum = 0.0;
        let mut part_of = |driver: usize| {
            sum += if driver.is_multiple_of(3) {
                1.0
            } else {
                random.f64().powi(6) * 4.0
            };
            sum
        };
        let cumulated_parts = (0..count).map(&mut part_of).collect();
        let known = [PRIMARY, WARM[0], WARM[1]];
        let mut fleet = Fleet {
            settings,
            latency,
            drivers: Vec::new(),
            cumulated_parts,
            events: BinaryHeap::new(),
            sequence: 0,
            last_statement: 0,
            list: known.map(|id| (id, member(id))).into_iter().collect(),
            random,
            calls_to_cold: Vec::new(),
            busy_until: BTreeMap::new(),
        };
        for driver in 0..count {
            let policy = fleet.new_policy(at(0));
            let incarnation = 0;
            fleet.drivers.push(Driver {
                policy,
                incarnation,
                attempts: BTreeMap::new(),
            });
            fleet.push(at(0), Event::WakeUp { driver, incarnation });
        }
        fleet
    }

    fn new_policy(&mut self, now: Timestamp) -> RoutingPolicy {
        let mut policy = RoutingPolicy::new(&self.settings, self.random.u64(..), now);
        let entries: Vec<_> = self.list.values().copied().collect();
        policy.on_endpoint_list(now, &entries, true);
        policy
    }

    fn push(&mut self, at: Timestamp, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn drawn_driver(&mut self) -> usize {
        let total = *self.cumulated_parts.last().expect("a driver");
        let drawn = self.random.f64() * total;
        self.cumulated_parts.partition_point(|sum| *sum < drawn)
    }

    fn carry_out(&mut self, now: Timestamp, driver: usize, actions: Actions) {
        let incarnation = self.drivers[driver].incarnation;
        for execution in actions.executions {
            let number = self.drivers[driver]
                .attempts
                .entry(execution.statement)
                .or_default();
            let attempt = *number;
            *number += 1;
            if execution.member == COLD {
                self.calls_to_cold.push(now);
            }
            let latency = self.execute(now, execution.member);
            let answer = Event::Answer {
                driver,
                incarnation,
                statement: execution.statement,
                attempt,
                member: execution.member,
                latency,
            };
            self.push(now + latency, answer);
        }
        if let Some(wake_up_at) = actions.wake_up_at {
            self.push(wake_up_at.max(now), Event::WakeUp { driver, incarnation });
        }
    }

    /// Latency of a call that a member gets now.
    fn execute(&mut self, now: Timestamp, member: u32) -> TimeSpan {
        let fraction = match member {
            COLD => warm_up_fraction(&self.settings, now - at(COLD_START_MS)),
            _ => 1.0,
        };
        let busy_until = self.busy_until.entry(member).or_default();
        *busy_until = (*busy_until).max(now) + self.latency * (1.0 / fraction);
        *busy_until - now
    }

    fn send_statement(&mut self, now: Timestamp, driver: usize) {
        self.last_statement += 1;
        let time_left = (self.latency * 4.0).max(ms(1000)).0 / 1000;
        let statement = statement(self.last_statement, READ, time_left);
        let actions = self.drivers[driver].policy.on_statement(now, &statement);
        self.carry_out(now, driver, actions);
    }

    fn announce(&mut self, now: Timestamp, entry: MemberEntry) {
        self.list.insert(entry.id, entry);
        for driver in 0..self.drivers.len() {
            let actions = self.drivers[driver].policy.on_endpoint_list(now, &[entry], false);
            self.carry_out(now, driver, actions);
        }
    }

    fn on_event(&mut self, now: Timestamp, event: Event) {
        match event {
            Event::Arrival => {
                let driver = self.drawn_driver();
                self.send_statement(now, driver);
            }
            Event::Burst => {
                for driver in 0..self.drivers.len() {
                    (0..3).for_each(|_| self.send_statement(now, driver));
                }
            }
            Event::WarmDrain => {
                for id in WARM {
                    self.announce(now, common::drained(id));
                }
            }
            Event::ColdStart => self.announce(now, started(COLD, now)),
            Event::Restart { driver } => {
                let policy = self.new_policy(now);
                let incarnation = self.drivers[driver].incarnation + 1;
                self.drivers[driver] = Driver {
                    policy,
                    incarnation,
                    attempts: BTreeMap::new(),
                };
            }
            Event::WakeUp { driver, incarnation } if incarnation == self.drivers[driver].incarnation => {
                let actions = self.drivers[driver].policy.advance_to(now);
                // A wake-up that plans the same moment again would not end.
                let later = actions.wake_up_at.filter(|at| *at > now);
                self.carry_out(
                    now,
                    driver,
                    Actions {
                        wake_up_at: later,
                        ..actions
                    },
                );
            }
            Event::Answer {
                driver,
                incarnation,
                statement,
                attempt,
                member,
                latency,
            } if incarnation == self.drivers[driver].incarnation => {
                let end = ExecutionEnd {
                    statement,
                    attempt,
                    member,
                    outcome: ExecutionOutcome::Completed,
                    latency,
                    is_answered: true,
                    status: ReplicaStatus::default(),
                };
                let actions = self.drivers[driver].policy.on_execution_ended(now, &end);
                self.carry_out(now, driver, actions);
            }
            Event::WakeUp { .. } | Event::Answer { .. } => {}
        }
    }

    fn plan(&mut self, trouble: Trouble) {
        // Two warm replicas share the reads.
        let per_ms = 2.0 * UTILIZATION / (self.latency.0 as f64 / 1000.0);
        let quiet = match trouble {
            Trouble::BurstBehindQuiet => COLD_START_MS..COLD_START_MS + 4_000,
            _ => 0..0,
        };
        let mut arrival = 0.0;
        while arrival < END_MS as f64 {
            arrival += -self.random.f64().max(1e-12).ln() / per_ms;
            if !quiet.contains(&(arrival as u64)) {
                self.push(Timestamp(at(0).0 + (arrival * 1000.0) as u64), Event::Arrival);
            }
        }
        self.push(at(COLD_START_MS), Event::ColdStart);
        let count = self.drivers.len();
        match trouble {
            Trouble::None => {}
            Trouble::BurstBehindQuiet => {
                self.push(at(quiet.end), Event::WarmDrain);
                self.push(at(quiet.end), Event::Burst);
            }
            Trouble::RollingRestart => {
                for step in 0..10 {
                    for driver in (0..count).filter(|driver| driver % 10 == step) {
                        let restart_ms = COLD_START_MS + 1_000 + 500 * step as u64;
                        self.push(at(restart_ms), Event::Restart { driver });
                    }
                }
            }
            Trouble::MassRestart => {
                self.push(at(COLD_START_MS + 4_000), Event::Burst);
                for driver in (0..count).filter(|driver| driver % 10 < 7) {
                    self.push(at(COLD_START_MS + 4_100), Event::Restart { driver });
                }
                self.push(at(COLD_START_MS + 4_500), Event::Burst);
            }
        }
    }

    fn run(&mut self) {
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now > at(END_MS) {
                return;
            }
            self.on_event(now, event);
        }
    }

    /// The window with the most calls above what a member of one core may get: calls, and calls that were allowed.
    fn worst_window(&self) -> (usize, f64) {
        let window = self.settings.overload_window;
        let mut first = 0;
        let mut worst = (0, f64::INFINITY);
        for (last, now) in self.calls_to_cold.iter().enumerate() {
            while self.calls_to_cold[first] + window <= *now {
                first += 1;
            }
            let age = self.calls_to_cold[first] - at(COLD_START_MS);
            let most = most_calls(allowed_calls(&self.settings, age, self.latency));
            let calls = last + 1 - first;
            if calls as f64 - most > worst.0 as f64 - worst.1 {
                worst = (calls, most);
            }
        }
        worst
    }
}

fn warm_up_fraction(settings: &Settings, age: TimeSpan) -> f64 {
    let cold = settings.cold_start_fraction;
    (cold + (1.0 - cold) * age.ratio(settings.warm_up_time)).min(1.0)
}

/// Calls that the settings allow a member of one core that started so long ago.
fn allowed_calls(settings: &Settings, age: TimeSpan, mean_work: TimeSpan) -> f64 {
    let fraction = warm_up_fraction(settings, age);
    settings.overload_multiple * fraction * settings.overload_window.ratio(mean_work)
}

/// The rule: calls above which a member that is allowed `allowed` falls.
fn most_calls(allowed: f64) -> f64 {
    let (roots, constant) = if allowed < 30.0 { (3.0, 3.0) } else { (2.0, 2.0) };
    allowed + roots * allowed.sqrt() + constant
}

/// Settings under which a member of one core is allowed `calls` at its start, and the latency of a call.
fn deployment(drivers: usize, calls: f64, multiple: f64) -> (Settings, TimeSpan) {
    let cold = if calls < 30.0 { 0.15 } else { 0.5 };
    let window = ms(2000);
    let latency = TimeSpan((multiple * cold * window.0 as f64 / calls) as u64);
    let settings = with(|s| {
        s.driver_count = drivers as u32;
        s.cold_start_fraction = cold;
        s.warm_up_time = ms(15_000);
        s.overload_multiple = multiple;
        s.overload_window = window;
        s.workloads[READ].slo_time = (latency * 4.0).max(ms(1000));
    });
    (settings, latency)
}

fn assert_within_budget(drivers: usize, calls: f64, multiple: f64) {
    for trouble in TROUBLES {
        let (settings, latency) = deployment(drivers, calls, multiple);
        let mut fleet = Fleet::new(drivers, settings, latency, calls as u64 + drivers as u64);
        fleet.plan(trouble);
        fleet.run();
        let (sent, most) = fleet.worst_window();
        assert!(
            sent as f64 <= most,
            "{drivers} drivers, {calls} calls allowed, multiple {multiple}, {trouble:?}: {sent} calls in a window, {most:.1} at most"
        );
    }
}

#[test]
fn slow_start_few_drivers_stay_within_the_budget_in_any_window() {
    for drivers in [1, 2, 5, 20] {
        for calls in [1.0, 2.0, 5.0, 29.0, 30.0, 100.0] {
            for multiple in [1.0, 2.0, 4.0] {
                assert_within_budget(drivers, calls, multiple);
            }
        }
    }
}

#[test]
fn slow_start_many_drivers_stay_within_the_budget_in_any_window() {
    for drivers in [30, 100, 300, 900] {
        for calls in [1.0, 5.0, 29.0, 30.0, 100.0] {
            for multiple in [1.0, 4.0] {
                assert_within_budget(drivers, calls, multiple);
            }
        }
    }
}

#[test]
fn slow_start_large_members_stay_within_the_budget_in_any_window() {
    for drivers in [1, 30, 300, 900] {
        for calls in [500.0, 2000.0] {
            assert_within_budget(drivers, calls, 4.0);
        }
    }
}
