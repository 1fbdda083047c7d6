//! Dispatch log, inquiry outcomes, and a model check in every order of steps, losses and crashes. Guards
//! against a second execution of a non-idempotent statement.

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
fn status_within_window_is_the_first_dispatch() {
    let mut log = DispatchLog::new(NOW, WINDOW, 100, false);
    log.on_dispatch(at(0), 7, "m1");
    log.on_dispatch(at(100), 7, "m2");
    // The first dispatch counts, because the store's window starts with it.
    for (ms, expected) in [
        (0, dispatched(0, "m1")),
        (4999, dispatched(4999, "m1")),
        (5000, DispatchStatus::NotExecuted),
    ] {
        assert_eq!(log.status(at(ms), 7), expected, "{ms}");
    }
    assert!(log.is_empty());
}

#[test]
fn on_not_executed_for_each_dispatch_resets_the_status() {
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
        "the predecessor may have dispatched it"
    );
    assert_eq!(log.status(at(5000), 7), DispatchStatus::NotExecuted);
    log.mark_incomplete(at(5000));
    assert_eq!(
        log.status(at(5500), 7),
        DispatchStatus::Unknown,
        "a peer process may have dispatched it"
    );
    for id in 0..150 {
        log.on_dispatch(at(10_000 + id), id, "m");
    }
    assert_eq!(log.len(), 100);
    assert_eq!(
        log.status(at(10_200), 9999),
        DispatchStatus::Unknown,
        "it may be among the dropped entries"
    );
    assert_eq!(log.status(at(10_200), 149), dispatched(51, "m"));
    assert_eq!(
        log.status(at(10_049 + 5000), 9999),
        DispatchStatus::NotExecuted,
        "the dropped entries are outside the retry window"
    );
}

#[test]
fn cede_lasts_for_the_window_after_the_last_inquiry() {
    let mut log = DispatchLog::new(NOW, WINDOW, 100, false);
    log.cede(at(0), 7);
    assert!(log.is_ceded(7) && !log.is_ceded(8));
    log.cede(at(4000), 7);
    let _ = log.status(at(6000), 1);
    assert!(log.is_ceded(7), "a second inquiry extends the window");
    let _ = log.status(at(9000), 1);
    assert!(!log.is_ceded(7) && log.is_empty());
}

#[test]
fn on_reply_or_timeout_with_any_doubt_decides_in_doubt() {
    let in_doubt = |age, member: Option<&str>| InquiryOutcome::MayHaveExecuted {
        age,
        member: member.map(str::to_owned),
    };
    type Case = (&'static str, Vec<(usize, DispatchStatus)>, Option<InquiryOutcome>);
    #[rustfmt::skip]
    let table: [Case; 6] = [
        ("no peer has dispatched it",
            vec![
                (0, DispatchStatus::NotExecuted), (1, DispatchStatus::NotExecuted),
                (2, DispatchStatus::NotExecuted),
            ], Some(InquiryOutcome::NotExecuted)),
        ("one peer doesn't reply",
            vec![(0, DispatchStatus::NotExecuted), (2, DispatchStatus::NotExecuted)], None),
        ("one peer has dispatched it",
            vec![(1, dispatched(30, "m4"))], Some(in_doubt(TimeSpan::millis(30), Some("m4")))),
        ("one peer doesn't know",
            vec![(0, DispatchStatus::NotExecuted), (1, DispatchStatus::Unknown)],
            Some(in_doubt(UNBOUNDED_AGE, None))),
        ("one peer replies repeatedly",
            vec![
                (0, DispatchStatus::NotExecuted), (0, DispatchStatus::NotExecuted),
                (0, DispatchStatus::NotExecuted),
            ], None),
        ("unknown peer", vec![(9, dispatched(1, "m"))], None),
    ];
    for (name, replies, outcome) in table {
        let mut inquiries = Inquiries::default();
        let sequence = inquiries
            .start(NOW, 7, &[0, 1, 2], TimeSpan::millis(100))
            .expect("the inquiry has peers");
        let decided = replies.iter().fold(None, |decided, (peer, status)| {
            decided.or(inquiries.on_reply(7, sequence, *peer, status))
        });
        assert_eq!(decided, outcome, "{name}");
        // A reply to another inquiry about the same id is ignored.
        assert_eq!(
            inquiries.on_reply(7, sequence + 1, 1, &dispatched(1, "m")),
            None,
            "{name}"
        );
        assert!(inquiries.take_timed_out(at(99)).is_empty(), "{name}");
        let timed_out = inquiries.take_timed_out(at(100));
        let decisions = vec![InquiryDecision {
            id: 7,
            outcome: in_doubt(UNBOUNDED_AGE, None),
        }];
        assert_eq!(
            timed_out,
            if outcome.is_some() { Vec::new() } else { decisions },
            "{name}"
        );
        assert!(inquiries.is_empty());
    }
    let without_peers = Inquiries::default().start(NOW, 7, &[], TimeSpan::millis(100));
    assert_eq!(without_peers, None, "there are no peers");
}

/// A bug that the model checker must find.
#[derive(Clone, Copy, Debug, PartialEq)]
enum SeededBug {
    /// A driver may still dispatch a statement after it has denied that to a peer.
    DispatchAfterDenial,
    /// A restarted driver denies dispatches of its predecessor.
    DenyAfterRestart,
    /// A peer that doesn't reply counts as one that hasn't dispatched the statement.
    TimeoutIsDenial,
    /// A statement that isn't marked as a client retry counts as the first attempt.
    TrustUnmarked,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Driver {
    is_up: bool,
    log: DispatchLog,
    inquiries: Inquiries,
    /// Whether the driver has accepted the statement and may dispatch it.
    may_dispatch: bool,
    is_inquiring: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum DriverMessage {
    Inquiry {
        from: usize,
        to: usize,
        sequence: u32,
    },
    Reply {
        from: usize,
        to: usize,
        sequence: u32,
        status_code: u8,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct FleetState {
    drivers: Vec<Driver>,
    /// Statements sent by the client and not read yet: the receiver, and whether marked as a client retry.
    unread: Vec<(usize, bool)>,
    messages: Vec<DriverMessage>,
    /// Dispatching drivers of the executions in flight.
    in_flight: Vec<usize>,
    executions: u8,
    client_retries: u8,
    crashes: u8,
    /// Number of executions known not to have happened.
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
    bug: Option<SeededBug>,
    drivers: usize,
    client_retries: u8,
}

const ID: u64 = 7;

fn status_of_code(code: u8) -> DispatchStatus {
    match code {
        0 => DispatchStatus::NotExecuted,
        1 => dispatched(1, "m"),
        _ => DispatchStatus::Unknown,
    }
}

fn code_of_status(status: &DispatchStatus) -> u8 {
    match status {
        DispatchStatus::NotExecuted => 0,
        DispatchStatus::Dispatched { .. } => 1,
        DispatchStatus::Unknown => 2,
    }
}

impl FleetModel {
    fn start_driver(&self, has_predecessor: bool) -> Driver {
        let has_predecessor = has_predecessor && self.bug != Some(SeededBug::DenyAfterRestart);
        Driver {
            is_up: true,
            log: DispatchLog::new(NOW, WINDOW, 10, has_predecessor),
            inquiries: Inquiries::default(),
            may_dispatch: false,
            is_inquiring: false,
        }
    }

    /// Mirrors the event loop's handling of a statement.
    fn read(&self, state: &mut FleetState, to: usize, is_client_retry: bool) {
        let driver = &mut state.drivers[to];
        let is_open = driver.may_dispatch || driver.is_inquiring || state.in_flight.contains(&to);
        if is_open || driver.log.is_ceded(ID) {
            return;
        }
        match driver.log.status(NOW, ID) {
            // Also without the mark: a first attempt may be read after its retry.
            DispatchStatus::Dispatched { .. } if self.bug != Some(SeededBug::TrustUnmarked) => return,
            _ if !is_client_retry => {
                driver.may_dispatch = true;
                return;
            }
            DispatchStatus::NotExecuted => {}
            _ => return,
        }
        let peers: Vec<usize> = (0..self.drivers).filter(|peer| *peer != to).collect();
        match driver.inquiries.start(NOW, ID, &peers, TimeSpan::millis(100)) {
            Some(sequence) => {
                driver.is_inquiring = true;
                state
                    .messages
                    .extend(peers.iter().map(|peer| DriverMessage::Inquiry {
                        from: to,
                        to: *peer,
                        sequence,
                    }));
            }
            None => driver.may_dispatch = true,
        }
    }

    fn deliver(&self, state: &mut FleetState, message: &DriverMessage) {
        match message {
            DriverMessage::Inquiry { from, to, sequence } => {
                let driver = &mut state.drivers[*to];
                let status = driver.log.status(NOW, ID);
                if status == DispatchStatus::NotExecuted && self.bug != Some(SeededBug::DispatchAfterDenial) {
                    driver.log.cede(NOW, ID);
                    driver.inquiries.cancel(ID);
                    driver.may_dispatch = false;
                    driver.is_inquiring = false;
                }
                state.messages.push(DriverMessage::Reply {
                    from: *to,
                    to: *from,
                    sequence: *sequence,
                    status_code: code_of_status(&status),
                });
            }
            DriverMessage::Reply {
                from,
                to,
                sequence,
                status_code: code,
            } => {
                let driver = &mut state.drivers[*to];
                if let Some(outcome) = driver
                    .inquiries
                    .on_reply(ID, *sequence, *from, &status_of_code(*code))
                {
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
        for index in 0..self.drivers {
            let driver = &state.drivers[index];
            let mut add_if = |is_possible: bool, step: Step| steps.extend(is_possible.then_some(step));
            add_if(
                state.client_retries < self.client_retries,
                Step::ClientRetry(index),
            );
            add_if(driver.is_up && driver.may_dispatch, Step::Dispatch(index));
            add_if(driver.is_up && driver.is_inquiring, Step::TimeOut(index));
            add_if(driver.is_up && state.crashes < 1, Step::Crash(index));
            add_if(!driver.is_up, Step::Restart(index));
        }
        steps.extend(
            (0..state.unread.len())
                .filter(|index| state.drivers[state.unread[*index].0].is_up)
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
            Step::ClientRetry(index) => {
                state.client_retries += 1;
                state.unread.push((index, true));
            }
            Step::Read(index) => {
                let (to, is_client_retry) = state.unread.remove(index);
                self.read(&mut state, to, is_client_retry);
            }
            Step::Dispatch(index) => {
                state.drivers[index].may_dispatch = false;
                state.drivers[index].log.on_dispatch(NOW, ID, "m");
                state.in_flight.push(index);
            }
            Step::Execute(index) => {
                state.in_flight.remove(index);
                state.executions += 1;
            }
            // A write rejected by a replica may be dispatched again, to the next primary.
            Step::NotExecuted(index) => {
                let dispatcher = state.in_flight.remove(index);
                state.not_executed += 1;
                let driver = &mut state.drivers[dispatcher];
                if driver.is_up && driver.log.status(NOW, ID) != DispatchStatus::NotExecuted {
                    driver.log.on_not_executed(ID);
                    driver.may_dispatch = true;
                }
            }
            Step::Deliver(index) => {
                let message = state.messages.remove(index);
                let (DriverMessage::Inquiry { to, .. } | DriverMessage::Reply { to, .. }) = message;
                if state.drivers[to].is_up {
                    self.deliver(&mut state, &message);
                }
            }
            Step::Lose(index) => {
                state.messages.remove(index);
            }
            Step::TimeOut(index) => {
                let decisions = state.drivers[index]
                    .inquiries
                    .take_timed_out(NOW + TimeSpan::millis(100));
                state.drivers[index].is_inquiring = false;
                state.drivers[index].may_dispatch =
                    !decisions.is_empty() && self.bug == Some(SeededBug::TimeoutIsDenial);
            }
            Step::Crash(index) => {
                state.crashes += 1;
                state.drivers[index].is_up = false;
                state.drivers[index].may_dispatch = false;
                state.drivers[index].is_inquiring = false;
                state.unread.retain(|(to, _)| *to != index);
                // Executions in flight may still happen without a driver that observes them.
            }
            Step::Restart(index) => state.drivers[index] = self.start_driver(true),
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

fn run_checker(bug: Option<SeededBug>, drivers: usize, client_retries: u8) -> impl Checker<FleetModel> {
    let fleet = FleetModel {
        bug,
        drivers,
        client_retries,
    };
    fleet.checker().threads(4).spawn_bfs().join()
}

#[test]
fn statement_with_any_step_order_loss_and_crash_executes_at_most_once() {
    for (drivers, client_retries) in [(2, 3), (3, 2)] {
        let checker = run_checker(None, drivers, client_retries);
        println!(
            "{drivers} drivers, {client_retries} client retries: {} states",
            checker.unique_state_count()
        );
        checker.assert_properties();
        assert!(checker.unique_state_count() > 1000);
    }
}

#[test]
fn model_with_seeded_bug_is_rejected() {
    for bug in [
        SeededBug::DispatchAfterDenial,
        SeededBug::DenyAfterRestart,
        SeededBug::TimeoutIsDenial,
        SeededBug::TrustUnmarked,
    ] {
        let checker = run_checker(Some(bug), 2, 2);
        let found = checker
            .discovery("a statement is executed at most once")
            .is_some();
        assert!(found, "the checker doesn't find {bug:?}");
    }
}
