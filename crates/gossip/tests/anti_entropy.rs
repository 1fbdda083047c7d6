//! A model check of one anti-entropy round in every order of steps, with any datagram lost and a record learned meanwhile: a
//! driver that claims to be caught up holds all that its peer held when the round began, and equal copies have equal digests.

mod common;
use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_gossip::anti_entropy::{AntiEntropy, PeerView, RangePart, SyncState};
use asterlatch_gossip::codec::Message;
use asterlatch_gossip::record::{ListedState, Record};
use asterlatch_gossip::state::ReplicatedState;
use common::{drain, session};
use stateright::{Checker, Model, Property};

#[derive(Clone, Copy, Debug, PartialEq)]
enum Mistake {
    /// The mark that all hashes were sent completes the round, whatever was lost before it.
    TrustCompletionMark,
    /// Parts of a range beyond the first are taken as received.
    FirstPartOnly,
}

const NOW: Timestamp = Timestamp(1_000_000_000);

/// Driver 0 is behind, driver 1 is caught up.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Drivers {
    states: [ReplicatedState; 2],
    protocols: [AntiEntropy; 2],
    /// Receiver and encoded message.
    in_flight: Vec<(usize, Vec<u8>)>,
    /// What driver 1 held when the round began.
    held_at_begin: Vec<Record>,
    lost: u8,
    has_learned: bool,
    rounds: u8,
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Begin,
    Send(usize),
    Deliver(usize),
    Lose(usize),
    Learn,
}

struct RoundModel {
    mistake: Option<Mistake>,
}

fn records(state: &ReplicatedState) -> Vec<Record> {
    state.entries().map(|e| e.record.clone()).collect()
}

fn holds(state: &ReplicatedState, record: &Record) -> bool {
    state
        .get(&record.key())
        .is_some_and(|e| e.record.merge(record) == e.record)
}

fn decode(bytes: &[u8]) -> Message {
    let header = asterlatch_gossip::codec::DatagramHeader {
        name: "d".into(),
        incarnation: 1,
        sent: NOW,
        known_incarnation: 1,
        caught_up: true,
    };
    let bytes = asterlatch_gossip::codec::Dialect::Current.encode("f", &header, &[bytes.to_vec()]);
    let mut datagram = asterlatch_gossip::codec::decode_datagram("f", &bytes).expect("is complete");
    datagram.messages.pop().expect("is one")
}

impl RoundModel {
    fn deliver(&self, world: &mut Drivers, to: usize, message: Message) {
        let from = 1 - to;
        match message {
            Message::Record { record, age } => {
                world.states[to].apply(NOW, record, NOW - age);
            }
            Message::Digest { round, digests } => {
                world.protocols[to].on_digest(from, round, &digests, &world.states[to]);
            }
            Message::RangeHashes {
                round,
                lowest,
                highest,
                entries,
                ..
            } => {
                let part = RangePart {
                    lowest,
                    highest,
                    entries: &entries,
                };
                let requests = world.protocols[to].on_range_hashes(from, round, part, &world.states[to]);
                world
                    .in_flight
                    .extend(requests.iter().map(|request| (from, request.encode())));
            }
            Message::RangeRequest { round, range, keys } => {
                world.protocols[to].on_range_request(from, round, range, &keys, &world.states[to]);
            }
            Message::RoundComplete { round, parts } => {
                let empty = ReplicatedState::default();
                match self.mistake {
                    Some(Mistake::TrustCompletionMark) => {
                        // As if nothing had been requested.
                        let mut trusting = AntiEntropy::new(NOW, TimeSpan::millis(1));
                        trusting.begin_round(NOW, from, true, &empty);
                        let ended = parts.is_some() && trusting.on_round_complete(from, 1, Some(0), &empty);
                        if ended && to == 0 {
                            world.protocols[to] = trusting;
                        }
                    }
                    Some(Mistake::FirstPartOnly) => {
                        let first = parts.map(|p| p.min(1));
                        world.protocols[to].on_round_complete(from, round, first, &world.states[to]);
                    }
                    None => {
                        world.protocols[to].on_round_complete(from, round, parts, &world.states[to]);
                    }
                }
            }
            _ => {}
        }
        if to == 0 {
            let view = PeerView {
                reachable: &[1],
                caught_up: &[1],
                alone_since: None,
            };
            world.protocols[0].update_sync_state(NOW, &view);
        }
    }
}

impl Model for RoundModel {
    type State = Drivers;
    type Action = Step;

    fn init_states(&self) -> Vec<Drivers> {
        let mut states = [ReplicatedState::default(), ReplicatedState::default()];
        // One record that driver 0 lacks, and one of which it has an older version.
        for record in [
            drain("m1", 2, ListedState::Draining),
            drain("m2", 4, ListedState::Ready),
        ] {
            states[1].apply(NOW, record, NOW);
        }
        states[0].apply(NOW, drain("m2", 3, ListedState::Draining), NOW);
        let anti_entropy = AntiEntropy::new(NOW, TimeSpan::millis(1000));
        vec![Drivers {
            states,
            protocols: [anti_entropy.clone(), anti_entropy],
            in_flight: Vec::new(),
            held_at_begin: Vec::new(),
            lost: 0,
            has_learned: false,
            rounds: 0,
        }]
    }

    fn actions(&self, world: &Drivers, steps: &mut Vec<Step>) {
        if world.rounds < 1 {
            steps.push(Step::Begin);
        }
        steps.extend(
            (0..2)
                .filter(|n| world.protocols[*n].has_pending())
                .map(Step::Send),
        );
        steps.extend((0..world.in_flight.len()).map(Step::Deliver));
        if world.lost < 1 {
            steps.extend((0..world.in_flight.len()).map(Step::Lose));
        }
        if !world.has_learned {
            steps.push(Step::Learn);
        }
    }

    fn next_state(&self, last: &Drivers, step: Step) -> Option<Drivers> {
        let mut world = last.clone();
        match step {
            Step::Begin => {
                world.rounds += 1;
                world.held_at_begin = records(&world.states[1]);
                let message = world.protocols[0].begin_round(NOW, 1, true, &world.states[0])?;
                world.in_flight.push((1, message.encode()));
            }
            Step::Send(n) => {
                let mut one = None;
                world.protocols[n].send_pending(NOW, &world.states[n], |_, message| {
                    let first = one.is_none();
                    if first {
                        one = Some(message.encode());
                    }
                    first
                });
                world.in_flight.extend(one.map(|bytes| (1 - n, bytes)));
            }
            Step::Deliver(n) => {
                let (to, bytes) = world.in_flight.remove(n);
                self.deliver(&mut world, to, decode(&bytes));
            }
            Step::Lose(n) => {
                world.lost += 1;
                world.in_flight.remove(n);
            }
            Step::Learn => {
                world.has_learned = true;
                world.states[1].apply(NOW, session(7, 70), NOW);
            }
        }
        world.in_flight.sort();
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "a driver that is caught up holds all that its peer held when the round began",
                |_, world: &Drivers| {
                    let is_caught_up = world.protocols[0].sync_state == SyncState::CaughtUp;
                    !is_caught_up || world.held_at_begin.iter().all(|f| holds(&world.states[0], f))
                },
            ),
            Property::always(
                "equal copies have equal digests, and only they",
                |_, world: &Drivers| {
                    let same = records(&world.states[0]) == records(&world.states[1]);
                    same == (world.states[0].digests() == world.states[1].digests())
                },
            ),
            Property::always("no record is lost", |_, world: &Drivers| {
                world.held_at_begin.iter().all(|f| holds(&world.states[1], f))
            }),
            Property::sometimes("the driver catches up", |_, world: &Drivers| {
                world.protocols[0].sync_state == SyncState::CaughtUp
            }),
            Property::sometimes("copies are equal", |_, world: &Drivers| {
                records(&world.states[0]) == records(&world.states[1])
            }),
        ]
    }
}

#[test]
fn round_in_any_order_of_steps_and_losses_never_claims_completeness_falsely() {
    let checker = RoundModel { mistake: None }
        .checker()
        .threads(4)
        .spawn_bfs()
        .join();
    println!("{} states", checker.unique_state_count());
    checker.assert_properties();
    assert!(checker.unique_state_count() > 1000);
}

#[test]
fn model_with_seeded_mistake_is_rejected() {
    for mistake in [Mistake::TrustCompletionMark, Mistake::FirstPartOnly] {
        let checker = RoundModel {
            mistake: Some(mistake),
        }
        .checker()
        .threads(4)
        .spawn_bfs()
        .join();
        let property = "a driver that is caught up holds all that its peer held when the round began";
        assert!(checker.discovery(property).is_some(), "{mistake:?} is not found");
    }
}
