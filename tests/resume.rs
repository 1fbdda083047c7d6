//! Drivers that resume from learned state.

mod common;
use asterlatch::interface::*;
use asterlatch::policy::RoutingPolicy;
use asterlatch::time::{RemoteTimestamp, TimeSpan, Timestamp};
use common::{ms, settings, settings_with};
use std::collections::BTreeMap;

/// Simulation that feeds the same random inputs to all drivers and checks that they act alike.
struct Simulation {
    drivers: Vec<RoutingPolicy>,
    rng: fastrand::Rng,
    now: Timestamp,
    last_statement: u32,
    /// Executions in flight: statement, attempt, member, time of the dispatch.
    in_flight: Vec<(u32, u8, u32, Timestamp)>,
    /// Next attempt of each open statement.
    open: BTreeMap<u32, u8>,
    pending_health_checks: Vec<u32>,
    draining: Option<u32>,
    input_count: usize,
}

const MEMBERS: u32 = 12;
const OUTCOMES: [ExecutionOutcome; 9] = [
    ExecutionOutcome::Completed,
    ExecutionOutcome::Completed,
    ExecutionOutcome::Completed,
    ExecutionOutcome::Errored,
    ExecutionOutcome::TimedOut,
    ExecutionOutcome::Rejected,
    ExecutionOutcome::NotEligible,
    ExecutionOutcome::NoConnection,
    ExecutionOutcome::ConnectionLost,
];

/// Sets the driver's clock as the members' clock, since the simulation has only one clock.
fn with_shared_clock(mut driver: RoutingPolicy) -> RoutingPolicy {
    driver.set_shared_clock();
    driver
}

fn entry(id: u32, member_state: MemberState, start: Option<RemoteTimestamp>) -> MemberEntry {
    MemberEntry {
        id,
        fleet_key: u64::from(id),
        group: id % 3,
        zone: (id % 2) as u16,
        capacity: 1.0,
        listed_as_primary: id < 3,
        state: member_state,
        started_at: start,
    }
}

impl Simulation {
    fn new(settings: &Settings, seed: u64) -> Simulation {
        let now = Timestamp(1_000_000_000);
        let mut simulation = Simulation {
            drivers: vec![with_shared_clock(RoutingPolicy::new(settings, seed, now))],
            rng: fastrand::Rng::with_seed(seed),
            now,
            last_statement: 0,
            in_flight: Vec::new(),
            open: BTreeMap::new(),
            pending_health_checks: Vec::new(),
            draining: None,
            input_count: 0,
        };
        let entries: Vec<_> = (0..MEMBERS)
            .map(|id| entry(id, MemberState::Ready, None))
            .collect();
        simulation.apply(|d, now| d.on_endpoint_list(now, &entries, true));
        simulation
    }

    fn remote_now(&self) -> RemoteTimestamp {
        RemoteTimestamp(self.now.0)
    }

    /// Applies an input to all drivers and carries out the actions.
    fn apply(&mut self, input: impl Fn(&mut RoutingPolicy, Timestamp) -> Actions) {
        self.input_count += 1;
        let now = self.now;
        let mut results = self.drivers.iter_mut().map(|d| input(d, now));
        let first = results.next().expect("the simulation has a driver");
        for other in results {
            assert_eq!(
                format!("{other:?}"),
                format!("{first:?}"),
                "input {} at {now:?}",
                self.input_count
            );
        }
        for execution in &first.executions {
            let attempt = self
                .open
                .get_mut(&execution.statement)
                .expect("the statement is open");
            self.in_flight
                .push((execution.statement, *attempt, execution.member, now));
            *attempt += 1;
        }
        for answer in &first.answers {
            let (Answer::Rejected {
                statement: answered, ..
            }
            | Answer::Aborted { statement: answered }) = answer;
            self.open.remove(answered);
        }
        self.pending_health_checks.extend(&first.health_checks);
    }

    fn end_execution(&mut self, index: usize, ending: ExecutionOutcome) {
        let (ended, number, member, sent_at) = self.in_flight.swap_remove(index);
        let is_final = ending == ExecutionOutcome::Completed && self.open.remove(&ended).is_some();
        let lag = ms(self.rng.u64(0..400));
        let reported = ReplicaStatus {
            position: self.rng.bool().then_some(self.remote_now() - lag),
            is_position_current: true,
            is_primary: Some(member < 3),
        };
        let reported = if ending == ExecutionOutcome::Completed {
            reported
        } else {
            ReplicaStatus::default()
        };
        let is_final = is_final || !self.open.contains_key(&ended);
        let duration = self.now - sent_at;
        let end = ExecutionEnd {
            statement: ended,
            attempt: number,
            member,
            outcome: ending,
            latency: duration,
            is_answered: is_final,
            status: reported,
        };
        self.apply(|d, now| d.on_execution_ended(now, &end));
    }

    fn step(&mut self) {
        self.now = self.now + TimeSpan(self.rng.u64(0..3000));
        match self.rng.u32(0..100) {
            0..35 => {
                self.last_statement += 1;
                let statement = Statement {
                    id: self.last_statement,
                    workload: self.rng.usize(0..5),
                    group: self.rng.u32(0..3),
                    session: self.rng.u64(1..50),
                    is_client_retry: self.rng.u8(0..10) == 0,
                    time_left: ms(self.rng.u64(50..2000)),
                    session_position: self
                        .rng
                        .bool()
                        .then(|| self.remote_now() - ms(self.rng.u64(0..500))),
                    ..Statement::default()
                };
                self.open.insert(self.last_statement, 0);
                self.apply(|d, now| d.on_statement(now, &statement));
            }
            35..75 if !self.in_flight.is_empty() => {
                let (index, outcome) = (
                    self.rng.usize(0..self.in_flight.len()),
                    self.rng.usize(0..OUTCOMES.len()),
                );
                self.end_execution(index, OUTCOMES[outcome]);
            }
            75..85 if !self.pending_health_checks.is_empty() => {
                let member = self.pending_health_checks.swap_remove(0);
                let is_answered = self.rng.u8(0..5) > 0;
                let position = Some(self.remote_now() - ms(self.rng.u64(0..200)));
                let status = ReplicaStatus {
                    position,
                    is_position_current: true,
                    is_primary: Some(member < 3),
                };
                self.apply(|d, now| d.on_health_check(now, member, is_answered, ms(1), status));
            }
            85..87 if !self.open.is_empty() => {
                let index = self.rng.usize(0..self.open.len());
                let statement = *self.open.keys().nth(index).expect("an open statement");
                self.open.remove(&statement);
                self.apply(|d, now| d.on_statement_withdrawn(now, statement));
            }
            87 => {
                // One member at a time drains and starts again.
                let update = match self.draining.take() {
                    Some(id) => entry(id, MemberState::Ready, Some(self.remote_now())),
                    None => {
                        let id = self.rng.u32(3..MEMBERS);
                        self.draining = Some(id);
                        entry(id, MemberState::Draining, None)
                    }
                };
                self.apply(|d, now| d.on_endpoint_list(now, &[update], false));
            }
            _ => self.apply(RoutingPolicy::advance_to),
        }
    }

    /// Runs until no statement is open, so that the learned state is complete.
    fn drain(&mut self) {
        while !self.in_flight.is_empty() || !self.open.is_empty() {
            self.now = self.now + ms(5);
            match self.in_flight.is_empty() {
                true => self.apply(RoutingPolicy::advance_to),
                false => self.end_execution(0, ExecutionOutcome::Completed),
            }
        }
    }
}

#[test]
fn resume_driver_decides_like_the_original() {
    let default = settings();
    let tracked_sessions = settings_with(|settings| {
        settings.driver_count = 14;
        settings.members_check_reads = false;
        settings.carries_session_position = false;
    });
    let polled_with_quotas = settings_with(|settings| {
        settings.poll_endpoint_list = true;
        settings.tenant_quotas = vec![50.0];
        settings.over_quota_share = 0.3;
    });
    for (index, settings) in [default, tracked_sessions, polled_with_quotas]
        .into_iter()
        .enumerate()
    {
        let mut simulation = Simulation::new(&settings, 11 + index as u64);
        (0..20_000).for_each(|_| simulation.step());
        simulation.drain();
        simulation.pending_health_checks.clear();
        let bytes = postcard::to_stdvec(&simulation.drivers[0]).expect("serialize the learned state");
        let learned: RoutingPolicy = postcard::from_bytes(&bytes).expect("deserialize the learned state");
        assert_eq!(
            postcard::to_stdvec(&learned).expect("serialize the learned state"),
            bytes,
            "deserializing and serializing changes the learned state"
        );
        simulation.drivers.push(with_shared_clock(RoutingPolicy::resume(
            learned,
            &settings,
            true,
            simulation.now,
        )));
        // The first input after the handover is a wake-up.
        simulation.apply(RoutingPolicy::advance_to);
        let first_input = simulation.input_count;
        while simulation.input_count < first_input + 100_000 {
            simulation.step();
        }
    }
}

/// The predecessor's statements in flight must neither be answered nor make members appear unresponsive.
#[test]
fn resume_executions_in_flight_are_dropped() {
    let settings = settings();
    let mut simulation = Simulation::new(&settings, 5);
    (0..5000).for_each(|_| simulation.step());
    assert!(!simulation.in_flight.is_empty() && !simulation.open.is_empty());
    let bytes = postcard::to_stdvec(&simulation.drivers[0]).expect("serialize the learned state");
    let learned: RoutingPolicy = postcard::from_bytes(&bytes).expect("deserialize the learned state");
    let later = simulation.now + ms(60_000);
    let mut successor = with_shared_clock(RoutingPolicy::resume(learned, &settings, false, later));
    let actions = successor.advance_to(later);
    assert!(actions.answers.is_empty() && actions.executions.is_empty() && actions.cancellations.is_empty());
    // The end of one of the predecessor's executions is ignored.
    let (ended, number, member, _) = simulation.in_flight[0];
    let (ending, duration, is_final, reported) =
        (ExecutionOutcome::TimedOut, ms(1), true, ReplicaStatus::default());
    let end = ExecutionEnd {
        statement: ended,
        attempt: number,
        member,
        outcome: ending,
        latency: duration,
        is_answered: is_final,
        status: reported,
    };
    assert!(successor.on_execution_ended(later, &end).executions.is_empty());
    // Members, roles and positions are known, so a write is sent to the primary at once.
    let statement = Statement {
        id: 1,
        workload: 2,
        group: 1,
        time_left: ms(1000),
        ..Statement::default()
    };
    let actions = successor.on_statement(later, &statement);
    assert_eq!(
        actions.executions.iter().map(|e| e.member).collect::<Vec<_>>(),
        [1]
    );
}

#[test]
fn deserialize_truncated_state_fails() {
    let mut simulation = Simulation::new(&settings(), 3);
    (0..500).for_each(|_| simulation.step());
    let bytes = postcard::to_stdvec(&simulation.drivers[0]).expect("serialize the learned state");
    for length in 0..bytes.len().min(400) {
        assert!(
            postcard::from_bytes::<RoutingPolicy>(&bytes[..length]).is_err(),
            "truncated to {length} bytes"
        );
    }
}

fn learned_fixture() -> std::path::PathBuf {
    [env!("CARGO_MANIFEST_DIR"), "tests", "fixtures", "learned.bin"]
        .iter()
        .collect()
}

fn fleet_with_quotas() -> Settings {
    settings_with(|settings| {
        settings.driver_count = 3;
        settings.members_check_reads = false;
        settings.carries_session_position = false;
        settings.tenant_quotas = vec![50.0];
        settings.over_quota_share = 0.3;
    })
}

/// The learned state of an earlier build must be readable, keep its meaning, and serialize to the same bytes.
#[test]
fn deserialize_state_of_earlier_build_reads_unchanged() {
    let bytes = std::fs::read(learned_fixture()).expect("read the fixture");
    let learned: RoutingPolicy = postcard::from_bytes(&bytes).expect("deserialize the learned state");
    assert_eq!(
        postcard::to_stdvec(&learned).expect("serialize the learned state"),
        bytes
    );
    let now = Timestamp(1_010_000_000);
    let mut successor = with_shared_clock(RoutingPolicy::resume(learned, &fleet_with_quotas(), false, now));
    let mut route = |id, workload, group| {
        let statement = Statement {
            id,
            workload,
            group,
            time_left: ms(1000),
            ..Statement::default()
        };
        let actions = successor.on_statement(now, &statement);
        assert!(actions.answers.is_empty(), "statement {id}");
        actions.executions.iter().map(|e| e.member).collect::<Vec<_>>()
    };
    // Member `n` is in group `n % 3`; members 0, 1 and 2 are the primaries.
    for group in 0..3 {
        assert_eq!(route(group + 1, 2, group), [group], "a write");
        let reads = route(group + 11, 0, group);
        assert!(
            reads.len() == 1 && reads[0] % 3 == group && reads[0] < MEMBERS,
            "a read of group {group}: {reads:?}"
        );
    }
}

#[test]
#[ignore = "writes the fixture; to be run only by a build whose format must stay readable"]
fn write_fixtures() {
    let mut simulation = Simulation::new(&fleet_with_quotas(), 17);
    (0..3000).for_each(|_| simulation.step());
    simulation.drain();
    // The state is to include executions in flight.
    (0..10).for_each(|_| simulation.step());
    assert!(!simulation.in_flight.is_empty());
    let bytes = postcard::to_stdvec(&simulation.drivers[0]).expect("serialize the learned state");
    std::fs::write(learned_fixture(), bytes).expect("write the fixture");
}
