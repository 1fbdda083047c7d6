//! Model check of leases: every order of steps of three drivers, messages in flight for up to one unit of
//! time, and one driver that is stopped at will.

use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_coordination::lease::{Lease, LeaseState, LeaseStatus, LeaseTable, LeaseTimings};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

const SUBJECT: &str = "m";
/// Microseconds of a unit of time.
const UNIT: u64 = 1_000_000;
/// Units of time that are looked at.
const UNITS: u64 = 6;
const START: u64 = 100 * UNIT;
const BRIEF_OVERLAP: &str = "two act no longer than a message is in flight";
/// All pairs of drivers.
const PAIRS: [(usize, usize); 3] = [(0, 1), (0, 2), (1, 2)];

/// The model, with the units for which a holder acts without a renewal.
struct LeaseModel {
    holder_units: u64,
}

/// A message in flight, ordered as the set of all needs it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Message {
    /// Unit in which it was sent.
    sent_in: u64,
    receiver: usize,
    lease: LeaseFields,
}

/// A lease with an order of its fields.
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
struct World {
    /// Units since the start.
    unit: u64,
    drivers: Vec<LeaseTable>,
    stopped: Option<usize>,
    stops: u8,
    in_flight: BTreeSet<Message>,
    /// Units for which each pair has acted at once.
    overlaps: [u8; PAIRS.len()],
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Advance(usize),
    Deliver(Message),
    Stop(usize),
    GoOn,
    PassUnit,
}

impl World {
    fn now(&self) -> Timestamp {
        Timestamp(START + self.unit * UNIT)
    }

    fn is_running(&self, driver: usize) -> bool {
        self.stopped != Some(driver)
    }

    fn running(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.drivers.len()).filter(|driver| self.is_running(*driver))
    }

    fn acts(&self, driver: usize) -> bool {
        let status = self.drivers[driver].status(self.now(), SUBJECT);
        self.is_running(driver) && status == LeaseStatus::HeldHere
    }

    fn acting(&self) -> usize {
        (0..self.drivers.len())
            .filter(|driver| self.acts(*driver))
            .count()
    }

    /// Whether a message has been in flight for a unit to a driver that runs.
    fn has_late_message(&self) -> bool {
        let is_late = |message: &Message| message.sent_in < self.unit && self.is_running(message.receiver);
        self.in_flight.iter().any(is_late)
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
        let age = TimeSpan((self.unit - message.sent_in) * UNIT);
        let receiver = &mut self.drivers[message.receiver];
        receiver.on_lease(now, SUBJECT, message.lease.into(), age);
    }

    fn pass_unit(&mut self) {
        for (pair, (one, other)) in PAIRS.into_iter().enumerate() {
            let both_act = self.acts(one) && self.acts(other);
            self.overlaps[pair] = if both_act { self.overlaps[pair] + 1 } else { 0 };
        }
        self.unit += 1;
    }
}

impl Model for LeaseModel {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let timings = LeaseTimings {
            duration: TimeSpan(4 * UNIT),
            holder_duration: TimeSpan(self.holder_units * UNIT),
            acquire_delay: TimeSpan(2 * UNIT),
        };
        let ids: BTreeSet<u64> = (1..=3).collect();
        let drivers = ids.iter().map(|id| {
            let mut driver = LeaseTable::new(*id, 1, timings);
            driver.set_peers(&ids);
            driver.request(Timestamp(START), SUBJECT);
            driver
        });
        vec![World {
            unit: 0,
            drivers: drivers.collect(),
            stopped: None,
            stops: 0,
            in_flight: BTreeSet::new(),
            overlaps: [0; PAIRS.len()],
        }]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        steps.extend(world.running().map(Step::Advance));
        let messages = world.in_flight.iter();
        let deliverable = messages.filter(|message| world.is_running(message.receiver));
        steps.extend(deliverable.cloned().map(Step::Deliver));
        if world.stops < 1 {
            steps.extend(world.running().map(Step::Stop));
        }
        steps.extend(world.stopped.map(|_| Step::GoOn));
        if world.unit < UNITS && !world.has_late_message() {
            steps.push(Step::PassUnit);
        }
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut world = last.clone();
        match step {
            Step::Advance(driver) => world.advance(driver),
            Step::Deliver(message) => world.deliver(message),
            Step::Stop(driver) => {
                world.stopped = Some(driver);
                world.stops += 1;
            }
            Step::GoOn => world.stopped = None,
            Step::PassUnit => world.pass_unit(),
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(BRIEF_OVERLAP, |_, world: &World| {
                world.overlaps.iter().all(|units| *units < 2)
            }),
            Property::sometimes("a stopped holder is followed", |_, world: &World| {
                world.stopped.is_some() && world.acting() == 1 && world.unit > 4
            }),
        ]
    }
}

#[test]
fn lease_every_order_of_steps_overlaps_no_longer_than_a_message_flies() {
    let model = LeaseModel { holder_units: 2 };
    let checker = model.checker().threads(4).spawn_bfs().join();
    println!("states {}", checker.unique_state_count());
    checker.assert_properties();
    // A holder that acts for longer than others believe in its lease is found.
    let mistaken = LeaseModel { holder_units: 9 };
    let mistaken = mistaken.checker().threads(4).spawn_bfs().join();
    assert!(mistaken.discovery(BRIEF_OVERLAP).is_some());
}
