//! Statements that must not be executed twice: what a driver remembers, how answers are combined, and a model check of
//! every order of steps, losses and crashes.

use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_gossip::in_doubt::{
    DispatchLog, DispatchStatus, Inquiries, InquiryDecision, InquiryOutcome, UNBOUNDED_AGE,
};
use stateright::{Checker, Model, Property};

const NOW: Timestamp = Timestamp(1_000_000_000);
const WINDOW: TimeSpan = TimeSpan::millis(5000);

fn at(ms: u64) -> Timestamp {
    NOW + TimeSpan::millis(ms)
}

fn dispatched(ms: u64, member: &str) -> DispatchStatus {
    DispatchStatus::Dispatched {
        age: TimeSpan::millis(ms),
        member: member.to_owned(),
    }
}

#[test]
fn status_within_the_window_is_the_first_dispatch() {
    let mut log = DispatchLog::new(NOW, WINDOW, 100, false);
    log.on_dispatch(at(0), 7, "m1");
    log.on_dispatch(at(100), 7, "m2");
    // The first dispatch counts, because the store's window begins with it.
    for (ms, known) in [
        (0, dispatched(0, "m1")),
        (4999, dispatched(4999, "m1")),
        (5000, DispatchStatus::NotExecuted),
    ] {
        assert_eq!(log.status(at(ms), 7), known, "{ms}");
    }
    assert!(log.is_empty());
}

#[test]
fn on_not_executed_for_every_dispatch_makes_status_not_executed() {
    let mut log = DispatchLog::new(NOW, WINDOW, 100, false);
    log.on_dispatch(at(0), 7, "m1");
    log.on_not_executed(7);
    assert_eq!(log.status(at(1), 7), DispatchStatus::NotExecuted);
    log.on_dispatch(at(10), 7, "m1");
    log.on_dispatch(at(20), 7, "m2");
    log.on_not_executed(7);
    assert_eq!(
        log.status(at(30), 7),
        dispatched(20, "m1"),
        "the other execution may have happened"
    );
    // The entry of the first dispatch expires without removing the later one.
    assert_eq!(log.status(at(5005), 7), dispatched(4995, "m1"));
    assert_eq!(log.status(at(5010), 7), DispatchStatus::NotExecuted);
}

#[test]
fn status_after_restart_or_dropped_entries_is_unknown() {
    let mut log = DispatchLog::new(NOW, WINDOW, 100, true);
    assert_eq!(
        log.status(at(4999), 7),
        DispatchStatus::Unknown,
        "its earlier process may have dispatched it"
    );
    assert_eq!(log.status(at(5000), 7), DispatchStatus::NotExecuted);
    log.mark_incomplete(at(5000));
    assert_eq!(
        log.status(at(5500), 7),
        DispatchStatus::Unknown,
        "another process was running"
    );
    for id in 0..150 {
        log.on_dispatch(at(10_000 + id), id, "m");
    }
    assert_eq!(log.len(), 100);
    assert_eq!(
        log.status(at(10_200), 9999),
        DispatchStatus::Unknown,
        "it may be among the dropped ones"
    );
    assert_eq!(log.status(at(10_200), 149), dispatched(51, "m"));
    assert_eq!(
        log.status(at(10_049 + 5000), 9999),
        DispatchStatus::NotExecuted,
        "the dropped ones can't be retried any more"
    );
}

#[test]
fn give_up_is_kept_for_the_window() {
    let mut log = DispatchLog::new(NOW, WINDOW, 100, false);
    log.cede(at(0), 7);
    assert!(log.is_ceded(7) && !log.is_ceded(8));
    log.cede(at(4000), 7);
    let _ = log.status(at(6000), 1);
    assert!(log.is_ceded(7), "it was inquired about again");
    let _ = log.status(at(9000), 1);
    assert!(!log.is_ceded(7) && log.is_empty());
}

#[test]
fn on_reply_with_one_doubt_or_timeout_decides_in_doubt() {
    let doubt = |age, member: Option<&str>| InquiryOutcome::MayHaveExecuted {
        age,
        member: member.map(str::to_owned),
    };
    type Case = (&'static str, Vec<(usize, DispatchStatus)>, Option<InquiryOutcome>);
    #[rustfmt::skip]
    let table: [Case; 6] = [
        ("no peer dispatched it", vec![(0, DispatchStatus::NotExecuted), (1, DispatchStatus::NotExecuted), (2, DispatchStatus::NotExecuted)], Some(InquiryOutcome::NotExecuted)),
        ("one doesn't answer", vec![(0, DispatchStatus::NotExecuted), (2, DispatchStatus::NotExecuted)], None),
        ("one dispatched it", vec![(1, dispatched(30, "m4"))], Some(doubt(TimeSpan::millis(30), Some("m4")))),
        ("one can't tell", vec![(0, DispatchStatus::NotExecuted), (1, DispatchStatus::Unknown)], Some(doubt(UNBOUNDED_AGE, None))),
        ("one answers repeatedly", vec![(0, DispatchStatus::NotExecuted), (0, DispatchStatus::NotExecuted), (0, DispatchStatus::NotExecuted)], None),
        ("a peer that wasn't asked", vec![(9, dispatched(1, "m"))], None),
    ];
    for (name, answers, outcome) in table {
        let mut inquiries = Inquiries::default();
        let sequence = inquiries
            .start(NOW, 7, &[0, 1, 2], TimeSpan::millis(100))
            .expect("there are peers");
        let decided = answers.iter().fold(None, |decided, (peer, status)| {
            decided.or(inquiries.on_reply(7, sequence, *peer, status))
        });
        assert_eq!(decided, outcome, "{name}");
        // An answer to another inquiry about the same id is ignored.
        assert_eq!(
            inquiries.on_reply(7, sequence + 1, 1, &dispatched(1, "m")),
            None,
            "{name}"
        );
        assert!(inquiries.take_timed_out(at(99)).is_empty(), "{name}");
        let late = inquiries.take_timed_out(at(100));
        let silent = vec![InquiryDecision {
            id: 7,
            outcome: doubt(UNBOUNDED_AGE, None),
        }];
        assert_eq!(
            late,
            if outcome.is_some() { Vec::new() } else { silent },
            "{name}"
        );
        assert!(inquiries.is_empty());
    }
    let nobody = Inquiries::default().start(NOW, 7, &[], TimeSpan::millis(100));
    assert_eq!(nobody, None, "there is no other driver");
}

/// A seeded mistake that the model checker must find.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Mistake {
    /// A driver that is asked may still dispatch the statement.
    KeepAfterInquiry,
    /// A restarted driver denies dispatches that it can't know of.
    DenyAfterRestart,
    /// A peer that doesn't answer counts as not having dispatched it.
    TimeoutIsDenial,
    /// A statement that isn't marked as a client retry is taken as the first attempt.
    TrustUnmarked,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Driver {
    is_up: bool,
    log: DispatchLog,
    inquiries: Inquiries,
    /// It holds the statement and may dispatch it.
    may_dispatch: bool,
    is_inquiring: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum DriverMessage {
    Ask {
        from: usize,
        to: usize,
        sequence: u32,
    },
    Answer {
        from: usize,
        to: usize,
        sequence: u32,
        known: u8,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct FleetState {
    drivers: Vec<Driver>,
    /// Sent by the client and not read yet: the receiver, and whether it is marked as a client retry.
    unread: Vec<(usize, bool)>,
    messages: Vec<DriverMessage>,
    /// Executions in flight, by the driver that dispatched them.
    in_flight: Vec<usize>,
    executions: u8,
    client_retries: u8,
    crashes: u8,
    /// How often it was proven that the statement was not executed.
    not_executed: u8,
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    ClientRetry(usize),
    Read(usize),
    Dispatch(usize),
    Execute(usize),
    NotExecuted(usize),
    Deliver(usize),
    Lose(usize),
    TimeOut(usize),
    Crash(usize),
    Restart(usize),
}

struct FleetModel {
    mistake: Option<Mistake>,
    drivers: usize,
    client_retries: u8,
}

const ID: u64 = 7;

fn known(number: u8) -> DispatchStatus {
    match number {
        0 => DispatchStatus::NotExecuted,
        1 => dispatched(1, "m"),
        _ => DispatchStatus::Unknown,
    }
}

fn number(known: &DispatchStatus) -> u8 {
    match known {
        DispatchStatus::NotExecuted => 0,
        DispatchStatus::Dispatched { .. } => 1,
        DispatchStatus::Unknown => 2,
    }
}

impl FleetModel {
    fn start_driver(&self, has_predecessor: bool) -> Driver {
        let has_predecessor = has_predecessor && self.mistake != Some(Mistake::DenyAfterRestart);
        Driver {
            is_up: true,
            log: DispatchLog::new(NOW, WINDOW, 10, has_predecessor),
            inquiries: Inquiries::default(),
            may_dispatch: false,
            is_inquiring: false,
        }
    }

    /// The same steps as the event loop's.
    fn read(&self, state: &mut FleetState, to: usize, is_client_retry: bool) {
        let driver = &mut state.drivers[to];
        let is_open = driver.may_dispatch || driver.is_inquiring || state.in_flight.contains(&to);
        if is_open || driver.log.is_ceded(ID) {
            return;
        }
        match driver.log.status(NOW, ID) {
            // Also if it isn't marked: the checker found a first attempt that was read after its retry.
            DispatchStatus::Dispatched { .. } if self.mistake != Some(Mistake::TrustUnmarked) => return,
            _ if !is_client_retry => {
                driver.may_dispatch = true;
                return;
            }
            DispatchStatus::NotExecuted => {}
            _ => return,
        }
        let peers: Vec<usize> = (0..self.drivers).filter(|p| *p != to).collect();
        match driver.inquiries.start(NOW, ID, &peers, TimeSpan::millis(100)) {
            Some(sequence) => {
                driver.is_inquiring = true;
                state.messages.extend(peers.iter().map(|p| DriverMessage::Ask {
                    from: to,
                    to: *p,
                    sequence,
                }));
            }
            None => driver.may_dispatch = true,
        }
    }

    fn deliver(&self, state: &mut FleetState, message: &DriverMessage) {
        match message {
            DriverMessage::Ask { from, to, sequence } => {
                let driver = &mut state.drivers[*to];
                let status = driver.log.status(NOW, ID);
                if status == DispatchStatus::NotExecuted && self.mistake != Some(Mistake::KeepAfterInquiry) {
                    driver.log.cede(NOW, ID);
                    driver.inquiries.cancel(ID);
                    driver.may_dispatch = false;
                    driver.is_inquiring = false;
                }
                state.messages.push(DriverMessage::Answer {
                    from: *to,
                    to: *from,
                    sequence: *sequence,
                    known: number(&status),
                });
            }
            DriverMessage::Answer {
                from,
                to,
                sequence,
                known: n,
            } => {
                let driver = &mut state.drivers[*to];
                if let Some(outcome) = driver.inquiries.on_reply(ID, *sequence, *from, &known(*n)) {
                    driver.is_inquiring = false;
                    driver.may_dispatch = outcome == InquiryOutcome::NotExecuted;
                }
            }
        }
    }
}

impl Model for FleetModel {
    type State = FleetState;
    type Action = Step;

    fn init_states(&self) -> Vec<FleetState> {
        vec![FleetState {
            drivers: (0..self.drivers).map(|_| self.start_driver(false)).collect(),
            unread: vec![(0, false)],
            messages: Vec::new(),
            in_flight: Vec::new(),
            executions: 0,
            client_retries: 0,
            crashes: 0,
            not_executed: 0,
        }]
    }

    fn actions(&self, state: &FleetState, steps: &mut Vec<Step>) {
        for n in 0..self.drivers {
            let driver = &state.drivers[n];
            let mut may = |possible: bool, step: Step| steps.extend(possible.then_some(step));
            may(state.client_retries < self.client_retries, Step::ClientRetry(n));
            may(driver.is_up && driver.may_dispatch, Step::Dispatch(n));
            may(driver.is_up && driver.is_inquiring, Step::TimeOut(n));
            may(driver.is_up && state.crashes < 1, Step::Crash(n));
            may(!driver.is_up, Step::Restart(n));
        }
        steps.extend(
            (0..state.unread.len())
                .filter(|n| state.drivers[state.unread[*n].0].is_up)
                .map(Step::Read),
        );
        steps.extend((0..state.in_flight.len()).map(Step::Execute));
        if state.not_executed < 2 {
            steps.extend((0..state.in_flight.len()).map(Step::NotExecuted));
        }
        steps.extend((0..state.messages.len()).map(Step::Deliver));
        steps.extend((0..state.messages.len()).map(Step::Lose));
    }

    fn next_state(&self, last: &FleetState, step: Step) -> Option<FleetState> {
        let mut state = last.clone();
        match step {
            Step::ClientRetry(n) => {
                state.client_retries += 1;
                state.unread.push((n, true));
            }
            Step::Read(n) => {
                let (to, is_client_retry) = state.unread.remove(n);
                self.read(&mut state, to, is_client_retry);
            }
            Step::Dispatch(n) => {
                state.drivers[n].may_dispatch = false;
                state.drivers[n].log.on_dispatch(NOW, ID, "m");
                state.in_flight.push(n);
            }
            Step::Execute(n) => {
                state.in_flight.remove(n);
                state.executions += 1;
            }
            // A write that was rejected by a replica waits for the next primary.
            Step::NotExecuted(n) => {
                let dispatcher = state.in_flight.remove(n);
                state.not_executed += 1;
                let driver = &mut state.drivers[dispatcher];
                if driver.is_up && driver.log.status(NOW, ID) != DispatchStatus::NotExecuted {
                    driver.log.on_not_executed(ID);
                    driver.may_dispatch = true;
                }
            }
            Step::Deliver(n) => {
                let message = state.messages.remove(n);
                let (DriverMessage::Ask { to, .. } | DriverMessage::Answer { to, .. }) = message;
                if state.drivers[to].is_up {
                    self.deliver(&mut state, &message);
                }
            }
            Step::Lose(n) => {
                state.messages.remove(n);
            }
            Step::TimeOut(n) => {
                let decisions = state.drivers[n]
                    .inquiries
                    .take_timed_out(NOW + TimeSpan::millis(100));
                state.drivers[n].is_inquiring = false;
                state.drivers[n].may_dispatch =
                    !decisions.is_empty() && self.mistake == Some(Mistake::TimeoutIsDenial);
            }
            Step::Crash(n) => {
                state.crashes += 1;
                state.drivers[n].is_up = false;
                state.drivers[n].may_dispatch = false;
                state.drivers[n].is_inquiring = false;
                state.unread.retain(|(to, _)| *to != n);
                // Executions in flight may still happen; no driver learns of it.
            }
            Step::Restart(n) => state.drivers[n] = self.start_driver(true),
        }
        state.messages.sort();
        state.unread.sort_unstable();
        state.in_flight.sort_unstable();
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("a statement is executed at most once", |_, state: &FleetState| {
                state.executions < 2
            }),
            Property::sometimes(
                "a client retry is executed by another driver",
                |_, state: &FleetState| {
                    state.executions == 1 && state.drivers[0].is_up && state.drivers[0].log.is_ceded(ID)
                },
            ),
        ]
    }
}

fn checked(mistake: Option<Mistake>, drivers: usize, client_retries: u8) -> impl Checker<FleetModel> {
    let fleet = FleetModel {
        mistake,
        drivers,
        client_retries,
    };
    fleet.checker().threads(4).spawn_bfs().join()
}

#[test]
fn statement_in_any_order_of_steps_losses_and_a_crash_executes_at_most_once() {
    for (drivers, client_retries) in [(2, 3), (3, 2)] {
        let checker = checked(None, drivers, client_retries);
        println!(
            "{drivers} drivers, {client_retries} client retries: {} states",
            checker.unique_state_count()
        );
        checker.assert_properties();
        assert!(checker.unique_state_count() > 1000);
    }
}

#[test]
fn model_with_seeded_mistake_is_rejected() {
    for mistake in [
        Mistake::KeepAfterInquiry,
        Mistake::DenyAfterRestart,
        Mistake::TimeoutIsDenial,
        Mistake::TrustUnmarked,
    ] {
        let checker = checked(Some(mistake), 2, 2);
        let found = checker
            .discovery("a statement is executed at most once")
            .is_some();
        assert!(found, "{mistake:?} is not found");
    }
}
