//! Gossip nodes of several drivers over links that fail: what becomes of records and membership.

mod common;
use asterlatch::time::TimeSpan;
use asterlatch_gossip::codec;
use asterlatch_gossip::conflict;
use asterlatch_gossip::membership::PeerState;
use asterlatch_gossip::node::{NodeInput, NodeOutput};
use asterlatch_gossip::record::{ListedState, Record};
use common::*;

fn seconds(s: u64) -> TimeSpan {
    TimeSpan::millis(s * 1000)
}

fn record_message(record: Record) -> Vec<u8> {
    let age = TimeSpan(0);
    codec::Message::Record { record, age }.encode()
}

/// A network whose drivers have found each other and are caught up.
fn started_network(count: usize, seed: u64) -> Network {
    let mut network = Network::new(count, seed);
    network.run(seconds(8));
    for n in 0..count {
        assert_eq!(
            network.drivers[n].node.membership.reachable().count(),
            count - 1,
            "driver {n}"
        );
        assert!(!network.drivers[n].node.anti_entropy.is_behind(), "driver {n}");
    }
    network
}

/// A header for a datagram to the first driver that passes for one sent just now by a driver which has caught up.
fn header_to_first(network: &Network, name: String, incarnation: u64) -> codec::DatagramHeader {
    codec::DatagramHeader {
        name,
        incarnation,
        sent: network.local_time(0),
        known_incarnation: 0,
        caught_up: true,
    }
}

/// Whether the driver has reported that it ignores its first peer.
fn ignores_its_first_peer(driver: &Driver) -> bool {
    let is_report = |output: &NodeOutput| matches!(output, NodeOutput::PeerIgnored { peer: 0, .. });
    driver.outputs.iter().any(is_report)
}

#[test]
fn observed_with_clocks_apart_reaches_all_within_a_second() {
    let mut network = started_network(5, 1);
    network.observe(0, drain("m1", 3, ListedState::Draining));
    network.observe(3, member("m2", 77, 77, 0));
    let elapsed = network.run_until_equal(seconds(5)).expect("copies are equal");
    assert!(elapsed <= seconds(1), "{elapsed:?}");
    for n in 1..3 {
        let learned = network.drivers[n].outputs.iter();
        let learned = learned.filter(|o| {
            matches!(
                o,
                NodeOutput::RecordLearned {
                    record: Record::Drain { .. },
                    ..
                }
            )
        });
        assert_eq!(learned.count(), 1, "learned once");
    }
}

#[test]
fn observed_over_lossy_links_reaches_all() {
    for seed in 1..6 {
        let mut network = Network::new(6, seed);
        network.link = Link {
            delay: TimeSpan::millis(30),
            loss_permille: 300,
            duplicate_permille: 100,
            corrupt_permille: 50,
        };
        network.run(seconds(15));
        for n in 0..6 {
            for m in 0..50 {
                network.observe(n, member(&format!("m{m}"), 10 * (n as u64 + 1) + m, 0, 5));
            }
        }
        let elapsed = network.run_until_equal(seconds(60)).expect("copies are equal");
        assert!(elapsed < seconds(30), "seed {seed}: {elapsed:?}");
        let garbled: u64 = network.drivers.iter().map(|d| d.node.metrics.malformed).sum();
        assert!(garbled > 0, "no datagram was corrupted");
    }
}

#[test]
fn partition_after_healing_leaves_equal_copies() {
    let mut network = started_network(5, 3);
    let sides = [vec![0, 1], vec![2, 3, 4]];
    for a in &sides[0] {
        for b in &sides[1] {
            network.cut.extend([(*a, *b), (*b, *a)]);
        }
    }
    network.run(seconds(8));
    assert_eq!(network.drivers[0].node.membership.reachable().count(), 1);
    assert_eq!(network.drivers[4].node.membership.reachable().count(), 2);
    network.observe(1, drain("m1", 9, ListedState::Draining));
    network.observe(4, member("m2", 500, 500, 0));
    network.run(seconds(3));
    assert!(!network.copies_are_equal());
    network.cut.clear();
    let elapsed = network.run_until_equal(seconds(20)).expect("copies are equal");
    assert!(elapsed < seconds(8), "{elapsed:?}");
    network.run(seconds(8));
    assert_eq!(
        network.drivers[0].node.membership.reachable().count(),
        4,
        "all see each other again"
    );
}

/// A link that is cut in one direction: others probe on behalf of the cut driver, and nobody is declared down.
#[test]
fn one_way_cut_keeps_every_driver_a_member() {
    let mut network = started_network(5, 4);
    network.cut.insert((0, 1));
    network.run(seconds(10));
    for n in 0..5 {
        let reachable = network.drivers[n].node.membership.reachable().count();
        assert_eq!(reachable, 4, "driver {n}");
    }
    network.observe(0, drain("m1", 3, ListedState::Draining));
    assert!(
        network.run_until_equal(seconds(5)).is_some(),
        "records go round by the others"
    );
}

/// Partitions of about a suspicion timeout, after which some consider others down and are considered down themselves.
/// A driver that returned under a new incarnation had dropped its suspicion timers, and suspected peers for ever.
#[test]
fn short_partition_leaves_nobody_suspected() {
    for seed in 0..40 {
        let mut network = started_network(5, seed);
        for a in [0, 2] {
            for b in [1, 3, 4] {
                network.cut.extend([(a, b), (b, a)]);
            }
        }
        network.run(TimeSpan::millis(1200 + seed * 100));
        network.cut.clear();
        network.run(seconds(20));
        for n in 0..5 {
            for peer in network.drivers[n].node.membership.peers() {
                assert_eq!(peer.state, PeerState::Alive, "seed {seed}: {} for {n}", peer.name);
            }
        }
    }
}

#[test]
fn suspended_driver_is_behind_until_it_has_caught_up() {
    let mut network = started_network(4, 5);
    network.drivers[2].is_suspended = true;
    network.run(seconds(2));
    network.observe(0, drain("m1", 3, ListedState::Draining));
    network.run(seconds(28));
    let peers_down = |network: &Network, n: usize| {
        network.drivers[n]
            .node
            .membership
            .peers()
            .iter()
            .filter(|p| p.state == PeerState::Down)
            .count()
    };
    assert_eq!(peers_down(&network, 0), 1);
    network.drivers[2].outputs.clear();
    network.resume(2);
    assert!(network.drivers[2].outputs.contains(&NodeOutput::CaughtUp(false)));
    assert!(network.drivers[2].node.anti_entropy.is_behind());
    network.run(seconds(12));
    assert!(!network.drivers[2].node.anti_entropy.is_behind());
    assert!(network.copies_are_equal());
    assert_eq!(peers_down(&network, 0), 0, "it has returned");
}

/// A record in a datagram that lay unread is older by that, though its sender sent it as new.
#[test]
fn datagram_read_late_gives_records_their_true_age() {
    let mut network = started_network(3, 6);
    network.drivers[2].is_suspended = true;
    network.observe(0, session(9, 5));
    network.run(seconds(25));
    network.resume(2);
    let now = network.local_time(2);
    let entry = network.drivers[2].node.state.get(&session(9, 5).key());
    let age = now - entry.expect("was received").observed_at;
    assert!(age > seconds(24), "{age:?}");
}

/// A host whose clock is set back over a restart: the new incarnation is below the one that peers know.
#[test]
fn restart_with_earlier_clock_takes_a_higher_incarnation() {
    let mut network = started_network(4, 7);
    network.observe(3, drain("m1", 3, ListedState::Draining));
    network.run(seconds(3));
    network.drivers[1].is_up = false;
    network.run(seconds(6));
    network.restart(1, -999_000_000, 1);
    network.run(seconds(12));
    assert!(network.drivers[1].node.membership.identity().incarnation > 100);
    assert_eq!(network.drivers[0].node.membership.reachable().count(), 3);
    assert!(network.copies_are_equal(), "it holds what was sent before");
    assert!(!network.drivers[1].node.anti_entropy.is_behind());
}

#[test]
fn datagram_under_a_foreign_name_is_rejected_and_reported() {
    let mut network = started_network(3, 8);
    let header = header_to_first(&network, name(2), 7);
    let record = record_message(drain("m9", 9, ListedState::Gone));
    let bytes = codec::Dialect::Current.encode("test", &header, &[record]);
    // From the address of d1.
    network.input(
        0,
        NodeInput::Datagram {
            from: 0,
            bytes: &bytes,
        },
    );
    let d = &network.drivers[0];
    assert!(d
        .node
        .state
        .get(&drain("m9", 9, ListedState::Gone).key())
        .is_none());
    let kinds: Vec<_> = d
        .node
        .state
        .conflicts
        .iter()
        .map(|conflict| conflict.kind)
        .collect();
    assert_eq!(kinds, [conflict::ConflictKind::ForeignAddress]);
    assert!(ignores_its_first_peer(d));
    // Another fleet's are nothing at all, and so is what is garbled.
    let before = network.drivers[0].node.metrics.malformed;
    let other = codec::Dialect::Current.encode("elsewhere", &header, &[]);
    for bytes in [&other[..], &bytes[..bytes.len() - 1], &[], &[1, 2, 3]] {
        network.input(0, NodeInput::Datagram { from: 0, bytes });
    }
    assert_eq!(network.drivers[0].node.metrics.malformed - before, 4);
}

#[test]
fn datagrams_beyond_the_rate_limit_ignore_only_that_peer() {
    let mut network = started_network(3, 9);
    let header = header_to_first(&network, name(1), 100);
    for n in 0..3000u64 {
        let items: Vec<_> = (0..30)
            .map(|m| record_message(session(n * 100 + m + 1, 5)))
            .collect();
        let bytes = codec::Dialect::Current.encode("test", &header, &items);
        network.input(
            0,
            NodeInput::Datagram {
                from: 0,
                bytes: &bytes,
            },
        );
    }
    let d = &network.drivers[0];
    assert!(ignores_its_first_peer(d));
    assert!(d.node.metrics.ignored > 1000);
    network.observe(2, drain("m1", 3, ListedState::Draining));
    network.run(seconds(2));
    let known = network.drivers[0]
        .node
        .state
        .get(&drain("m1", 3, ListedState::Draining).key());
    assert!(known.is_some(), "other peers' records are accepted");
}

/// The rate limit holds whatever there is to send: a large copy takes its time.
#[test]
fn anti_entropy_of_many_records_stays_within_the_rate() {
    const RATE: u64 = 16 * 1024;
    let slow = |n, all| asterlatch_gossip::node::NodeSettings {
        bytes_per_second: RATE,
        ..settings(n, all)
    };
    let mut network = Network::with(3, 10, slow);
    network.run(seconds(8));
    network.drivers[2].is_up = false;
    network.run(seconds(6));
    for n in 0..4000 {
        network.observe(0, member(&format!("m{n}"), n, 0, 5));
    }
    network.run(seconds(10));
    network.restart(2, 0, 200);
    let before = network.drivers[0].node.metrics.bytes_sent;
    network.run(seconds(3));
    let sent = network.drivers[0].node.metrics.bytes_sent - before;
    // The token bucket holds up to a second's worth.
    let most = 4 * RATE * 21 / 20;
    assert!(sent <= most && sent > most / 2, "{sent} of {most}");
    // After an interrupted round the next one continues: received records stay.
    let half = network.drivers[2].node.state.len();
    assert!(half > 200 && half < 3000, "{half}");
    assert!(network.drivers[2].node.anti_entropy.is_behind());
    network.cut.extend([(0, 2), (1, 2)]);
    network.run(seconds(5));
    network.cut.clear();
    network.run(seconds(6));
    let more = network.drivers[2].node.state.len();
    assert!(more > half, "{half} {more}");
    assert!(network.run_until_equal(seconds(60)).is_some());
}

/// An inquiry goes to all peers, and again to those whose answer is lost.
#[test]
fn inquiry_reaches_all_peers_and_is_repeated_to_unanswered_ones() {
    use asterlatch_gossip::in_doubt::DispatchStatus;
    let mut network = started_network(4, 11);
    network.cut.insert((0, 2));
    let inquiry = codec::InquiryId { id: 77, sequence: 1 };
    for d in &mut network.drivers {
        d.outputs.clear();
    }
    network.input(0, NodeInput::StartInquiry(inquiry));
    network.run(TimeSpan::millis(20));
    let asked = |network: &Network, n: usize| {
        let all = network.drivers[n].outputs.iter();
        all.filter(|o| matches!(o, NodeOutput::InquiryReceived { .. }))
            .count()
    };
    assert_eq!(
        [asked(&network, 1), asked(&network, 2), asked(&network, 3)],
        [1, 0, 1]
    );
    for n in [1, 3] {
        let to = 0;
        let known = DispatchStatus::NotExecuted;
        network.input(
            n,
            NodeInput::ReplyToInquiry {
                to,
                inquiry,
                status: known,
            },
        );
    }
    network.run(TimeSpan::millis(10));
    network.cut.clear();
    network.run(TimeSpan::millis(40));
    assert_eq!(
        [asked(&network, 1), asked(&network, 2), asked(&network, 3)],
        [1, 1, 1]
    );
    let answers = network.drivers[0].outputs.iter();
    let answers = answers.filter(|o| matches!(o, NodeOutput::InquiryReplied { .. }));
    assert_eq!(answers.count(), 2);
    network.run(seconds(1));
    assert!(asked(&network, 2) <= 3, "repeated without end");
}

/// `make measure-shared`: what gossip costs by fleet size, and how long a new record and a partition take.
#[test]
#[ignore = "a measurement: make measure-shared"]
fn costs_by_size() {
    println!("drivers  bytes/s  datagrams/s  records/s sent  record at all (ms: half, 99 %, last)  heal (s)");
    for count in [5, 20, 100, 300] {
        let mut network = Network::new(count, 1);
        network.run(seconds(10 + count as u64 / 10));
        let mut rng = fastrand::Rng::with_seed(9);
        let sums = |network: &Network| {
            let all = network.drivers.iter().map(|d| d.node.metrics);
            all.fold((0, 0, 0), |(b, d, f), c| {
                (b + c.bytes_sent, d + c.datagrams_sent, f + c.records_sent)
            })
        };
        // Light traffic: each driver observes twenty positions a second, of 109 members.
        let (before, started_at, mut at) = (sums(&network), network.now, 1000);
        for _ in 0..50 {
            for n in 0..count {
                for _ in 0..2 {
                    at += 1;
                    network.observe(n, member(&format!("m{}", rng.u32(0..109)), at, 0, 5));
                }
            }
            network.run(TimeSpan::millis(100));
        }
        let passed = (network.now - started_at).ratio(seconds(1)) * count as f64;
        let after = sums(&network);
        let each = |a: u64, b: u64| (a - b) as f64 / passed;
        // A drain meanwhile: when does each driver receive it?
        let record = drain("m7", 99, ListedState::Draining);
        network.observe(0, record.clone());
        let (sent_at, mut times) = (network.now, vec![0u64; 0]);
        let mut has_received = vec![false; count];
        while times.len() < count && network.now - sent_at < seconds(20) {
            for (n, has_received) in has_received.iter_mut().enumerate() {
                at += 1;
                network.observe(n, member(&format!("m{}", rng.u32(0..109)), at, 0, 5));
                if !*has_received && network.drivers[n].node.state.get(&record.key()).is_some() {
                    *has_received = true;
                    times.push((network.now - sent_at).0 / 1000);
                }
            }
            network.run(TimeSpan::millis(20));
        }
        let part = |q: usize| times[(times.len() * q / 100).min(times.len() - 1)];
        let dissemination_ms = format!("{}, {}, {}", part(50), part(99), part(100));
        // A partition into halves for 8 s, in which both sides observe something.
        for a in 0..count / 2 {
            for b in count / 2..count {
                network.cut.extend([(a, b), (b, a)]);
            }
        }
        network.run(seconds(8));
        network.observe(0, drain("m8", 100, ListedState::Draining));
        network.observe(count - 1, drain("m9", 100, ListedState::Draining));
        network.run(seconds(2));
        network.cut.clear();
        let heal = network.run_until_equal(seconds(60)).map(|s| s.ratio(seconds(1)));
        println!(
            "{count:>7}  {:>7.0}  {:>11.1}  {:>12.0}  {dissemination_ms:>35}  {heal:.1?}",
            each(after.0, before.0),
            each(after.1, before.1),
            each(after.2, before.2)
        );
    }
}
