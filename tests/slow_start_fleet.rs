//! Total load of all drivers of a fleet on a member that has just started, simulated with independent
//! drivers.
//!
//! A member for which the settings allow N calls of mean work per overload window may get `N + 2 * sqrt(N) +
//! 2` calls in any window, or `N + 3 * sqrt(N) + 3` for N below 30. A warming member's capacity is one core
//! times its warm-up fraction.

mod common;
use asterlatch::interface::*;
use asterlatch::policy::RoutingPolicy;
use asterlatch::time::{RemoteTimestamp, TimeSpan, Timestamp};
use common::{at, member_entry, ms, settings_with, started_member, statement, READ};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

const PRIMARY: u32 = 1;
const WARM: [u32; 2] = [2, 4];
const COLD: u32 = 3;
/// Time of the cold member's start, in milliseconds; by then drivers have measured the load of warm members.
const COLD_START_MS: u64 = 8_000;
const END_MS: u64 = COLD_START_MS + 8_000;
/// Utilization of the warm members.
const UTILIZATION: f64 = 0.9;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Scenario {
    /// Constant traffic.
    Steady,
    /// No traffic for four seconds after the start; then the warm replicas drain and all drivers send at
    /// once.
    BurstAfterQuiet,
    /// A tenth of the drivers restarts every half second.
    RollingRestart,
    /// All drivers send at once, 70 % of them restart, and all send at once again.
    MassRestart,
}

const SCENARIOS: [Scenario; 4] = [
    Scenario::Steady,
    Scenario::BurstAfterQuiet,
    Scenario::RollingRestart,
    Scenario::MassRestart,
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
    /// Cumulative sum of the drivers' traffic weights.
    cumulative_weights: Vec<f64>,
    events: BinaryHeap<Reverse<(Timestamp, u64, Event)>>,
    sequence: u64,
    last_statement: u32,
    list: BTreeMap<u32, MemberEntry>,
    random: fastrand::Rng,
    calls_to_cold: Vec<Timestamp>,
    /// Time at which each member has finished its calls, which it executes one after another.
    busy_until: BTreeMap<u32, Timestamp>,
}

impl Fleet {
    /// Drivers with uneven traffic: some with several times the mean, some with almost none.
    fn new(count: usize, settings: Settings, latency: TimeSpan, seed: u64) -> Fleet {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut sum = 0.0;
        let mut cumulative_weight = |driver: usize| {
            sum += if driver.is_multiple_of(3) {
                1.0
            } else {
                random.f64().powi(6) * 4.0
            };
            sum
        };
        let cumulative_weights = (0..count).map(&mut cumulative_weight).collect();
        let known = [PRIMARY, WARM[0], WARM[1]];
        let mut fleet = Fleet {
            settings,
            latency,
            drivers: Vec::new(),
            cumulative_weights,
            events: BinaryHeap::new(),
            sequence: 0,
            last_statement: 0,
            list: known.map(|id| (id, member_entry(id))).into_iter().collect(),
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
        policy.set_shared_clock();
        let entries: Vec<_> = self.list.values().copied().collect();
        policy.on_endpoint_list(now, &entries, true);
        policy
    }

    fn push(&mut self, at: Timestamp, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn random_driver(&mut self) -> usize {
        let total = *self.cumulative_weights.last().expect("the fleet has drivers");
        let target = self.random.f64() * total;
        self.cumulative_weights.partition_point(|sum| *sum < target)
    }

    fn carry_out(&mut self, now: Timestamp, driver: usize, actions: Actions) {
        let incarnation = self.drivers[driver].incarnation;
        for execution in actions.executions {
            let next_attempt = self.drivers[driver]
                .attempts
                .entry(execution.statement)
                .or_default();
            let attempt = *next_attempt;
            *next_attempt += 1;
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

    /// Latency of a call that a member receives now.
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
                let driver = self.random_driver();
                self.send_statement(now, driver);
            }
            Event::Burst => {
                for driver in 0..self.drivers.len() {
                    (0..3).for_each(|_| self.send_statement(now, driver));
                }
            }
            Event::WarmDrain => {
                for id in WARM {
                    self.announce(now, common::draining_member(id));
                }
            }
            Event::ColdStart => self.announce(now, started_member(COLD, RemoteTimestamp(now.0))),
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
                // A wake-up for the current time would repeat without end.
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

    fn schedule(&mut self, scenario: Scenario) {
        // Two warm replicas share the reads.
        let arrivals_per_ms = 2.0 * UTILIZATION / (self.latency.0 as f64 / 1000.0);
        let quiet = match scenario {
            Scenario::BurstAfterQuiet => COLD_START_MS..COLD_START_MS + 4_000,
            _ => 0..0,
        };
        let mut arrival = 0.0;
        while arrival < END_MS as f64 {
            arrival += -self.random.f64().max(1e-12).ln() / arrivals_per_ms;
            if !quiet.contains(&(arrival as u64)) {
                self.push(Timestamp(at(0).0 + (arrival * 1000.0) as u64), Event::Arrival);
            }
        }
        self.push(at(COLD_START_MS), Event::ColdStart);
        let count = self.drivers.len();
        match scenario {
            Scenario::Steady => {}
            Scenario::BurstAfterQuiet => {
                self.push(at(quiet.end), Event::WarmDrain);
                self.push(at(quiet.end), Event::Burst);
            }
            Scenario::RollingRestart => {
                for step in 0..10 {
                    for driver in (0..count).filter(|driver| driver % 10 == step) {
                        let restart_ms = COLD_START_MS + 1_000 + 500 * step as u64;
                        self.push(at(restart_ms), Event::Restart { driver });
                    }
                }
            }
            Scenario::MassRestart => {
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

    /// The window in which a member of one core most exceeds its maximum: its calls, and the maximum.
    fn worst_window(&self) -> (usize, f64) {
        let window = self.settings.overload_window;
        let mut first = 0;
        let mut worst = (0, f64::INFINITY);
        for (last, now) in self.calls_to_cold.iter().enumerate() {
            while self.calls_to_cold[first] + window <= *now {
                first += 1;
            }
            let age = self.calls_to_cold[first] - at(COLD_START_MS);
            let limit = max_calls(allowed_calls(&self.settings, age, self.latency));
            let calls = last + 1 - first;
            if calls as f64 - limit > worst.0 as f64 - worst.1 {
                worst = (calls, limit);
            }
        }
        worst
    }
}

fn warm_up_fraction(settings: &Settings, age: TimeSpan) -> f64 {
    let cold_fraction = settings.cold_start_fraction;
    (cold_fraction + (1.0 - cold_fraction) * age.ratio(settings.warm_up_time)).min(1.0)
}

/// Number of calls that the settings allow a member of one core of this age.
fn allowed_calls(settings: &Settings, age: TimeSpan, mean_work: TimeSpan) -> f64 {
    let fraction = warm_up_fraction(settings, age);
    settings.overload_multiple * fraction * settings.overload_window.ratio(mean_work)
}

/// Maximum number of calls that a member survives if `allowed` calls are allowed.
fn max_calls(allowed: f64) -> f64 {
    let (factor, constant) = if allowed < 30.0 { (3.0, 3.0) } else { (2.0, 2.0) };
    allowed + factor * allowed.sqrt() + constant
}

/// Settings that allow a member of one core `calls` calls at its start, and the latency of a call.
fn deployment(drivers: usize, calls: f64, multiple: f64) -> (Settings, TimeSpan) {
    let cold_fraction = if calls < 30.0 { 0.15 } else { 0.5 };
    let window = ms(2000);
    let latency = TimeSpan((multiple * cold_fraction * window.0 as f64 / calls) as u64);
    let settings = settings_with(|settings| {
        settings.driver_count = drivers as u32;
        settings.cold_start_fraction = cold_fraction;
        settings.warm_up_time = ms(15_000);
        settings.overload_multiple = multiple;
        settings.overload_window = window;
        settings.workloads[READ].slo_time = (latency * 4.0).max(ms(1000));
    });
    (settings, latency)
}

fn assert_within_budget(drivers: usize, calls: f64, multiple: f64) {
    for scenario in SCENARIOS {
        let (settings, latency) = deployment(drivers, calls, multiple);
        let mut fleet = Fleet::new(drivers, settings, latency, calls as u64 + drivers as u64);
        fleet.schedule(scenario);
        fleet.run();
        let (sent, limit) = fleet.worst_window();
        assert!(
            sent as f64 <= limit,
            "{drivers} drivers, {calls} calls, multiple {multiple}, {scenario:?}: {sent} > {limit:.1}"
        );
    }
}

#[test]
fn on_statement_warming_member_few_drivers_stay_within_budget() {
    for drivers in [1, 2, 5, 20] {
        for calls in [1.0, 2.0, 5.0, 29.0, 30.0, 100.0] {
            for multiple in [1.0, 2.0, 4.0] {
                assert_within_budget(drivers, calls, multiple);
            }
        }
    }
}

#[test]
fn on_statement_warming_member_many_drivers_stay_within_budget() {
    for drivers in [30, 100, 300, 900] {
        for calls in [1.0, 5.0, 29.0, 30.0, 100.0] {
            for multiple in [1.0, 4.0] {
                assert_within_budget(drivers, calls, multiple);
            }
        }
    }
}

#[test]
fn on_statement_large_warming_member_drivers_stay_within_budget() {
    for drivers in [1, 30, 300, 900] {
        for calls in [500.0, 2000.0] {
            assert_within_budget(drivers, calls, 4.0);
        }
    }
}
