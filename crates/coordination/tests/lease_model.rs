//! Model check of leases: all interleavings of three drivers, with messages delayed by up to one unit of time
//! and one pause of any driver.

use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_coordination::lease::{Lease, LeaseState, LeaseStatus, LeaseTable, LeaseTimings};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

const SUBJECT: &str = "m";
/// Unit of model time in microseconds.
const UNIT_US: u64 = 1_000_000;
/// Bounds the state space.
const MAX_UNITS: u64 = 6;
const START_US: u64 = 100 * UNIT_US;
const BRIEF_OVERLAP: &str = "two drivers act at once for less than two units";
/// All pairs of driver indices.
const PAIRS: [(usize, usize); 3] = [(0, 1), (0, 2), (1, 2)];

struct LeaseModel {
    /// Units for which a holder acts without a renewal.
    holder_units: u64,
}

/// A message in flight. Ordered, to be stored in a `BTreeSet`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Message {
    /// Unit in which the message was sent.
    sent_in: u64,
    receiver: usize,
    lease: LeaseFields,
}

/// The fields of a [`Lease`], with an order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct LeaseFields {
    term: u64,
    holder: u64,
    incarnation: u64,
    renewals: u64,
    state: LeaseState,
}

impl From<Lease> for LeaseFields {
    fn from(lease: Lease) -> LeaseFields {
        LeaseFields {
            term: lease.term,
            holder: lease.holder,
            incarnation: lease.incarnation,
            renewals: lease.renewals,
            state: lease.state,
        }
    }
}

impl From<LeaseFields> for Lease {
    fn from(fields: LeaseFields) -> Lease {
        Lease {
            term: fields.term,
            holder: fields.holder,
            incarnation: fields.incarnation,
            renewals: fields.renewals,
            state: fields.state,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct SystemState {
    /// Units since the start.
    unit: u64,
    drivers: Vec<LeaseTable>,
    stopped: Option<usize>,
    stops: u8,
    in_flight: BTreeSet<Message>,
    /// Consecutive units in which both drivers of each pair acted.
    overlaps: [u8; PAIRS.len()],
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Advance(usize),
    Deliver(Message),
    Stop(usize),
    Resume,
    PassUnit,
}

impl SystemState {
    fn now(&self) -> Timestamp {
        Timestamp(START_US + self.unit * UNIT_US)
    }

    fn is_running(&self, driver: usize) -> bool {
        self.stopped != Some(driver)
    }

    fn running(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.drivers.len()).filter(|driver| self.is_running(*driver))
    }

    fn is_acting(&self, driver: usize) -> bool {
        let status = self.drivers[driver].status(self.now(), SUBJECT);
        self.is_running(driver) && status == LeaseStatus::HeldHere
    }

    fn acting_count(&self) -> usize {
        (0..self.drivers.len())
            .filter(|driver| self.is_acting(*driver))
            .count()
    }

    /// Whether a message to a running driver has reached its maximum delay and must be delivered first.
    fn has_message_at_deadline(&self) -> bool {
        let is_at_deadline =
            |message: &Message| message.sent_in < self.unit && self.is_running(message.receiver);
        self.in_flight.iter().any(is_at_deadline)
    }

    fn advance(&mut self, driver: usize) {
        let now = self.now();
        for update in self.drivers[driver].advance_to(now) {
            for receiver in (0..self.drivers.len()).filter(|receiver| *receiver != driver) {
                self.in_flight.insert(Message {
                    sent_in: self.unit,
                    receiver,
                    lease: update.lease.into(),
                });
            }
        }
    }

    fn deliver(&mut self, message: Message) {
        let now = self.now();
        self.in_flight.remove(&message);
        let age = TimeSpan((self.unit - message.sent_in) * UNIT_US);
        let receiver = &mut self.drivers[message.receiver];
        receiver.on_lease(now, SUBJECT, message.lease.into(), age);
    }

    fn pass_unit(&mut self) {
        for (pair, (one, other)) in PAIRS.into_iter().enumerate() {
            let both_act = self.is_acting(one) && self.is_acting(other);
            self.overlaps[pair] = if both_act { self.overlaps[pair] + 1 } else { 0 };
        }
        self.unit += 1;
    }
}

impl Model for LeaseModel {
    type State = SystemState;
    type Action = Step;

    fn init_states(&self) -> Vec<SystemState> {
        let timings = LeaseTimings {
            duration: TimeSpan(4 * UNIT_US),
            holder_duration: TimeSpan(self.holder_units * UNIT_US),
            acquire_delay: TimeSpan(2 * UNIT_US),
        };
        let ids: BTreeSet<u64> = (1..=3).collect();
        let drivers = ids.iter().map(|id| {
            let mut driver = LeaseTable::new(*id, 1, timings);
            driver.set_peers(&ids);
            driver.request(Timestamp(START_US), SUBJECT);
            driver
        });
        vec![SystemState {
            unit: 0,
            drivers: drivers.collect(),
            stopped: None,
            stops: 0,
            in_flight: BTreeSet::new(),
            overlaps: [0; PAIRS.len()],
        }]
    }

    fn actions(&self, state: &SystemState, steps: &mut Vec<Step>) {
        steps.extend(state.running().map(Step::Advance));
        let messages = state.in_flight.iter();
        let deliverable = messages.filter(|message| state.is_running(message.receiver));
        steps.extend(deliverable.cloned().map(Step::Deliver));
        if state.stops < 1 {
            steps.extend(state.running().map(Step::Stop));
        }
        steps.extend(state.stopped.map(|_| Step::Resume));
        if state.unit < MAX_UNITS && !state.has_message_at_deadline() {
            steps.push(Step::PassUnit);
        }
    }

    fn next_state(&self, last: &SystemState, step: Step) -> Option<SystemState> {
        let mut state = last.clone();
        match step {
            Step::Advance(driver) => state.advance(driver),
            Step::Deliver(message) => state.deliver(message),
            Step::Stop(driver) => {
                state.stopped = Some(driver);
                state.stops += 1;
            }
            Step::Resume => state.stopped = None,
            Step::PassUnit => state.pass_unit(),
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(BRIEF_OVERLAP, |_, state: &SystemState| {
                state.overlaps.iter().all(|units| *units < 2)
            }),
            Property::sometimes(
                "another driver takes over from a stopped holder",
                |_, state: &SystemState| {
                    state.stopped.is_some() && state.acting_count() == 1 && state.unit > 4
                },
            ),
        ]
    }
}

#[test]
fn advance_to_any_order_of_steps_limits_overlap_to_message_delay() {
    let model = LeaseModel { holder_units: 2 };
    let checker = model.checker().threads(4).spawn_bfs().join();
    println!("states {}", checker.unique_state_count());
    checker.assert_properties();
    // Control: the checker finds the overlap if a holder acts for longer than the lease duration.
    let faulty = LeaseModel { holder_units: 9 };
    let faulty = faulty.checker().threads(4).spawn_bfs().join();
    assert!(faulty.discovery(BRIEF_OVERLAP).is_some());
}
