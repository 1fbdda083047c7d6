//! Model check of one anti-entropy round, in every order of steps, with one lost datagram and one record
//! received during the round. Guards against a driver that reports to be caught up without all records of its
//! peer.

mod common;
use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_gossip::anti_entropy::{AntiEntropy, PeerView, RangePart, SyncState};
use asterlatch_gossip::codec::Message;
use asterlatch_gossip::record::{ListedState, Record};
use asterlatch_gossip::state::ReplicatedState;
use common::{drain, session};
use stateright::{Checker, Model, Property};

/// A bug that the model checker must find.
#[derive(Clone, Copy, Debug, PartialEq)]
enum SeededBug {
    /// The end of the hashes completes the round even if earlier messages were lost.
    TrustCompletionMark,
    /// Only the first part of the hashes must have been received.
    FirstPartOnly,
}

const NOW: Timestamp = Timestamp(1_000_000_000);

/// Driver 0 is behind, driver 1 is caught up.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct FleetState {
    states: [ReplicatedState; 2],
    protocols: [AntiEntropy; 2],
    /// Receivers and encoded messages.
    in_flight: Vec<(usize, Vec<u8>)>,
    /// Records of driver 1 at the start of the round.
    initial_records: Vec<Record>,
    lost_datagrams: u8,
    has_new_record: bool,
    rounds: u8,
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Begin,
    Send(usize),
    Deliver(usize),
    Lose(usize),
    ReceiveRecord,
}

struct RoundModel {
    bug: Option<SeededBug>,
}

fn records(state: &ReplicatedState) -> Vec<Record> {
    state.entries().map(|entry| entry.record.clone()).collect()
}

fn has_record(state: &ReplicatedState, record: &Record) -> bool {
    state
        .get(&record.key())
        .is_some_and(|entry| entry.record.merge(record) == entry.record)
}

fn decode(bytes: &[u8]) -> Message {
    let header = asterlatch_gossip::codec::DatagramHeader {
        name: "d".into(),
        incarnation: 1,
        sent_at: NOW,
        known_incarnation: 1,
        caught_up: true,
    };
    let bytes = asterlatch_gossip::codec::Dialect::Current.encode("f", &header, &[bytes.to_vec()]);
    let mut datagram = asterlatch_gossip::codec::decode_datagram("f", &bytes).expect("decode the datagram");
    datagram
        .messages
        .pop()
        .expect("the datagram contains one message")
}

impl RoundModel {
    fn deliver(&self, fleet: &mut FleetState, to: usize, message: Message) {
        let from = 1 - to;
        match message {
            Message::Record { record, age } => {
                fleet.states[to].apply(NOW, record, NOW - age);
            }
            Message::Digest { round, digests } => {
                fleet.protocols[to].on_digest(from, round, &digests, &fleet.states[to]);
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
                let requests = fleet.protocols[to].on_range_hashes(from, round, part, &fleet.states[to]);
                fleet
                    .in_flight
                    .extend(requests.iter().map(|request| (from, request.encode())));
            }
            Message::RangeRequest { round, range, keys } => {
                fleet.protocols[to].on_range_request(from, round, range, &keys, &fleet.states[to]);
            }
            Message::RoundComplete { round, parts } => {
                let empty = ReplicatedState::default();
                match self.bug {
                    Some(SeededBug::TrustCompletionMark) => {
                        // Behaves as if nothing had been requested.
                        let mut trusting = AntiEntropy::new(NOW, TimeSpan::millis(1));
                        trusting.begin_round(NOW, from, true, &empty);
                        let is_complete =
                            parts.is_some() && trusting.on_round_complete(from, 1, Some(0), &empty);
                        if is_complete && to == 0 {
                            fleet.protocols[to] = trusting;
                        }
                    }
                    Some(SeededBug::FirstPartOnly) => {
                        let max_parts = parts.map(|count| count.min(1));
                        fleet.protocols[to].on_round_complete(from, round, max_parts, &fleet.states[to]);
                    }
                    None => {
                        fleet.protocols[to].on_round_complete(from, round, parts, &fleet.states[to]);
                    }
                }
            }
            _ => {}
        }
        if to == 0 {
            let view = PeerView {
                reachable: &[1],
                caught_up: &[1],
                isolated_since: None,
            };
            fleet.protocols[0].update_sync_state(NOW, &view);
        }
    }
}

impl Model for RoundModel {
    type State = FleetState;
    type Action = Step;

    fn init_states(&self) -> Vec<FleetState> {
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
        vec![FleetState {
            states,
            protocols: [anti_entropy.clone(), anti_entropy],
            in_flight: Vec::new(),
            initial_records: Vec::new(),
            lost_datagrams: 0,
            has_new_record: false,
            rounds: 0,
        }]
    }

    fn actions(&self, fleet: &FleetState, steps: &mut Vec<Step>) {
        if fleet.rounds < 1 {
            steps.push(Step::Begin);
        }
        steps.extend(
            (0..2)
                .filter(|driver| fleet.protocols[*driver].has_pending())
                .map(Step::Send),
        );
        steps.extend((0..fleet.in_flight.len()).map(Step::Deliver));
        if fleet.lost_datagrams < 1 {
            steps.extend((0..fleet.in_flight.len()).map(Step::Lose));
        }
        if !fleet.has_new_record {
            steps.push(Step::ReceiveRecord);
        }
    }

    fn next_state(&self, last: &FleetState, step: Step) -> Option<FleetState> {
        let mut fleet = last.clone();
        match step {
            Step::Begin => {
                fleet.rounds += 1;
                fleet.initial_records = records(&fleet.states[1]);
                let message = fleet.protocols[0].begin_round(NOW, 1, true, &fleet.states[0])?;
                fleet.in_flight.push((1, message.encode()));
            }
            Step::Send(driver) => {
                let mut sent = None;
                fleet.protocols[driver].send_pending(NOW, &fleet.states[driver], |_, message| {
                    let is_first = sent.is_none();
                    if is_first {
                        sent = Some(message.encode());
                    }
                    is_first
                });
                fleet.in_flight.extend(sent.map(|bytes| (1 - driver, bytes)));
            }
            Step::Deliver(index) => {
                let (to, bytes) = fleet.in_flight.remove(index);
                self.deliver(&mut fleet, to, decode(&bytes));
            }
            Step::Lose(index) => {
                fleet.lost_datagrams += 1;
                fleet.in_flight.remove(index);
            }
            Step::ReceiveRecord => {
                fleet.has_new_record = true;
                fleet.states[1].apply(NOW, session(7, 70), NOW);
            }
        }
        fleet.in_flight.sort();
        Some(fleet)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "a caught-up driver has all records that its peer had at the start of the round",
                |_, fleet: &FleetState| {
                    let is_caught_up = fleet.protocols[0].sync_state == SyncState::CaughtUp;
                    !is_caught_up
                        || fleet
                            .initial_records
                            .iter()
                            .all(|record| has_record(&fleet.states[0], record))
                },
            ),
            Property::always(
                "copies are equal if and only if their digests are",
                |_, fleet: &FleetState| {
                    let are_equal = records(&fleet.states[0]) == records(&fleet.states[1]);
                    are_equal == (fleet.states[0].digests() == fleet.states[1].digests())
                },
            ),
            Property::always("no record is lost", |_, fleet: &FleetState| {
                fleet
                    .initial_records
                    .iter()
                    .all(|record| has_record(&fleet.states[1], record))
            }),
            Property::sometimes("the driver catches up", |_, fleet: &FleetState| {
                fleet.protocols[0].sync_state == SyncState::CaughtUp
            }),
            Property::sometimes("copies are equal", |_, fleet: &FleetState| {
                records(&fleet.states[0]) == records(&fleet.states[1])
            }),
        ]
    }
}

#[test]
fn round_with_any_step_order_and_loss_never_reports_false_completeness() {
    let checker = RoundModel { bug: None }.checker().threads(4).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    checker.assert_properties();
    assert!(checker.unique_state_count() > 1000);
}

#[test]
fn model_with_seeded_bug_is_rejected() {
    for bug in [SeededBug::TrustCompletionMark, SeededBug::FirstPartOnly] {
        let checker = RoundModel { bug: Some(bug) }
            .checker()
            .threads(4)
            .spawn_bfs()
            .join();
        let property = "a caught-up driver has all records that its peer had at the start of the round";
        assert!(
            checker.discovery(property).is_some(),
            "the checker doesn't find {bug:?}"
        );
    }
}
