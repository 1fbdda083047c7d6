//! A round of catching up in every order of steps, with any datagram lost or told twice and a record learnt in between: who
//! says that it has caught up holds all that the other held when the round began, and copies that hold the same are equal.

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
    /// The word that all hashes were sent ends the round, whatever was lost before it.
    TrustTheEnd,
    /// What a range holds beyond its first part is taken for told.
    FirstPartOnly,
}

const NOW: Timestamp = Timestamp(1_000_000_000);

/// 0 catches up, 1 is whole.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    books: [ReplicatedState; 2],
    catchups: [AntiEntropy; 2],
    /// To whom, as bytes.
    flying: Vec<(usize, Vec<u8>)>,
    /// What 1 held when the round began.
    then: Vec<Record>,
    lost: u8,
    learnt: bool,
    rounds: u8,
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Begin,
    Pay(usize),
    Arrives(usize),
    IsLost(usize),
    Learns,
}

struct Pair {
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

fn read(bytes: &[u8]) -> Message {
    let head = asterlatch_gossip::codec::DatagramHeader {
        name: "d".into(),
        incarnation: 1,
        sent: NOW,
        known_incarnation: 1,
        caught_up: true,
    };
    let bytes = asterlatch_gossip::codec::Dialect::Current.encode("f", &head, &[bytes.to_vec()]);
    let mut datagram = asterlatch_gossip::codec::decode_datagram("f", &bytes).expect("is complete");
    datagram.messages.pop().expect("is one")
}

impl Pair {
    fn arrives(&self, w: &mut World, to: usize, item: Message) {
        let from = 1 - to;
        match item {
            Message::Record { record, age } => {
                w.books[to].apply(NOW, record, NOW - age);
            }
            Message::Digest { round, digests } => {
                w.catchups[to].on_digest(from, round, &digests, &w.books[to]);
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
                let requests = w.catchups[to].on_range_hashes(from, round, part, &w.books[to]);
                w.flying
                    .extend(requests.iter().map(|request| (from, request.encode())));
            }
            Message::RangeRequest { round, range, keys } => {
                w.catchups[to].on_range_request(from, round, range, &keys, &w.books[to]);
            }
            Message::RoundComplete { round, parts } => {
                let empty = ReplicatedState::default();
                match self.mistake {
                    Some(Mistake::TrustTheEnd) => {
                        // As if nothing had been asked for.
                        let mut trusting = AntiEntropy::new(NOW, TimeSpan::millis(1));
                        trusting.begin_round(NOW, from, true, &empty);
                        let ended = parts.is_some() && trusting.on_round_complete(from, 1, Some(0), &empty);
                        if ended && to == 0 {
                            w.catchups[to] = trusting;
                        }
                    }
                    Some(Mistake::FirstPartOnly) => {
                        let first = parts.map(|p| p.min(1));
                        w.catchups[to].on_round_complete(from, round, first, &w.books[to]);
                    }
                    None => drop(w.catchups[to].on_round_complete(from, round, parts, &w.books[to])),
                }
            }
            _ => {}
        }
        if to == 0 {
            let seen = PeerView {
                reachable: &[1],
                caught_up: &[1],
                alone_since: None,
            };
            w.catchups[0].update_sync_state(NOW, &seen);
        }
    }
}

impl Model for Pair {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let mut books = [ReplicatedState::default(), ReplicatedState::default()];
        // One that 0 lacks, and one that it holds in an older telling.
        for record in [
            drain("m1", 2, ListedState::Draining),
            drain("m2", 4, ListedState::Ready),
        ] {
            books[1].apply(NOW, record, NOW);
        }
        books[0].apply(NOW, drain("m2", 3, ListedState::Draining), NOW);
        let anti_entropy = AntiEntropy::new(NOW, TimeSpan::millis(1000));
        vec![World {
            books,
            catchups: [anti_entropy.clone(), anti_entropy],
            flying: Vec::new(),
            then: Vec::new(),
            lost: 0,
            learnt: false,
            rounds: 0,
        }]
    }

    fn actions(&self, w: &World, steps: &mut Vec<Step>) {
        if w.rounds < 1 {
            steps.push(Step::Begin);
        }
        steps.extend((0..2).filter(|n| w.catchups[*n].has_pending()).map(Step::Pay));
        steps.extend((0..w.flying.len()).map(Step::Arrives));
        if w.lost < 1 {
            steps.extend((0..w.flying.len()).map(Step::IsLost));
        }
        if !w.learnt {
            steps.push(Step::Learns);
        }
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut w = last.clone();
        match step {
            Step::Begin => {
                w.rounds += 1;
                w.then = records(&w.books[1]);
                let item = w.catchups[0].begin_round(NOW, 1, true, &w.books[0])?;
                w.flying.push((1, item.encode()));
            }
            Step::Pay(n) => {
                let mut one = None;
                w.catchups[n].send_pending(NOW, &w.books[n], |_, item| {
                    let first = one.is_none();
                    if first {
                        one = Some(item.encode());
                    }
                    first
                });
                w.flying.extend(one.map(|bytes| (1 - n, bytes)));
            }
            Step::Arrives(n) => {
                let (to, bytes) = w.flying.remove(n);
                self.arrives(&mut w, to, read(&bytes));
            }
            Step::IsLost(n) => {
                w.lost += 1;
                w.flying.remove(n);
            }
            Step::Learns => {
                w.learnt = true;
                w.books[1].apply(NOW, session(7, 70), NOW);
            }
        }
        w.flying.sort();
        Some(w)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "who has caught up holds all that the other held when the round began",
                |_, w: &World| {
                    let whole = w.catchups[0].sync_state == SyncState::CaughtUp;
                    !whole || w.then.iter().all(|f| holds(&w.books[0], f))
                },
            ),
            Property::always(
                "equal copies have equal figures, unequal ones don't",
                |_, w: &World| {
                    let same = records(&w.books[0]) == records(&w.books[1]);
                    same == (w.books[0].digests() == w.books[1].digests())
                },
            ),
            Property::always("nothing that was held is lost", |_, w: &World| {
                w.then.iter().all(|f| holds(&w.books[1], f))
            }),
            Property::sometimes("it catches up", |_, w: &World| {
                w.catchups[0].sync_state == SyncState::CaughtUp
            }),
            Property::sometimes("copies are equal", |_, w: &World| {
                records(&w.books[0]) == records(&w.books[1])
            }),
        ]
    }
}

#[test]
fn round_in_any_order_of_steps_and_losses_never_claims_completeness_falsely() {
    let checker = Pair { mistake: None }.checker().threads(4).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    checker.assert_properties();
    assert!(checker.unique_state_count() > 1000);
}

#[test]
fn model_with_seeded_mistake_is_rejected() {
    for mistake in [Mistake::TrustTheEnd, Mistake::FirstPartOnly] {
        let checker = Pair {
            mistake: Some(mistake),
        }
        .checker()
        .threads(4)
        .spawn_bfs()
        .join();
        let property = "who has caught up holds all that the other held when the round began";
        assert!(checker.discovery(property).is_some(), "{mistake:?} is not found");
    }
}
