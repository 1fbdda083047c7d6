//! Dissemination of records and membership of several gossip nodes over faulty links.

mod common;
use asterlatch::time::TimeSpan;
use asterlatch_gossip::codec;
use asterlatch_gossip::conflict;
use asterlatch_gossip::membership::PeerState;
use asterlatch_gossip::node::{NodeInput, NodeOutput};
use asterlatch_gossip::record::{ListedState, Record};
use common::*;

fn seconds(count: u64) -> TimeSpan {
    TimeSpan::millis(count * 1000)
}

fn record_message(record: Record) -> Vec<u8> {
    let age = TimeSpan(0);
    codec::Message::Record { record, age }.encode()
}

/// A network whose drivers have discovered each other and are caught up.
fn started_network(count: usize, seed: u64) -> Network {
    let mut network = Network::new(count, seed);
    network.run(seconds(8));
    for driver in 0..count {
        assert_eq!(
            network.drivers[driver].node.membership.reachable().count(),
            count - 1,
            "driver {driver}"
        );
        assert!(
            !network.drivers[driver].node.anti_entropy.is_behind(),
            "driver {driver}"
        );
    }
    network
}

/// A valid header for a datagram to the first driver, sent now by a caught-up driver.
fn header_to_first(network: &Network, name: String, incarnation: u64) -> codec::DatagramHeader {
    codec::DatagramHeader {
        name,
        incarnation,
        sent_at: network.local_time(0),
        known_incarnation: 0,
        caught_up: true,
    }
}

/// Whether the driver has reported that it ignores its peer 0.
fn ignores_first_peer(driver: &Driver) -> bool {
    let is_report = |output: &NodeOutput| matches!(output, NodeOutput::PeerIgnored { peer: 0, .. });
    driver.outputs.iter().any(is_report)
}

#[test]
fn observe_with_different_clocks_reaches_all_drivers_within_a_second() {
    let mut network = started_network(5, 1);
    network.observe(0, drain("m1", 3, ListedState::Draining));
    network.observe(3, member("m2", 77, 77, 0));
    let elapsed = network.run_until_equal(seconds(5)).expect("copies are equal");
    assert!(elapsed <= seconds(1), "{elapsed:?}");
    for driver in 1..3 {
        let notifications = network.drivers[driver].outputs.iter();
        let notifications = notifications.filter(|output| {
            matches!(
                output,
                NodeOutput::RecordLearned {
                    record: Record::Drain { .. },
                    ..
                }
            )
        });
        assert_eq!(notifications.count(), 1, "one notification");
    }
}

#[test]
fn observe_over_lossy_links_reaches_all_drivers() {
    for seed in 1..6 {
        let mut network = Network::new(6, seed);
        network.link = Link {
            delay: TimeSpan::millis(30),
            loss_permille: 300,
            duplicate_permille: 100,
            corrupt_permille: 50,
        };
        network.run(seconds(15));
        for driver in 0..6 {
            for number in 0..50 {
                network.observe(
                    driver,
                    member(&format!("m{number}"), 10 * (driver as u64 + 1) + number, 0, 5),
                );
            }
        }
        let elapsed = network.run_until_equal(seconds(60)).expect("copies are equal");
        assert!(elapsed < seconds(30), "seed {seed}: {elapsed:?}");
        let malformed: u64 = network.drivers.iter().map(|d| d.node.metrics.malformed).sum();
        assert!(malformed > 0, "no datagram was corrupted");
    }
}

#[test]
fn partition_after_healing_leaves_equal_copies() {
    let mut network = started_network(5, 3);
    let sides = [vec![0, 1], vec![2, 3, 4]];
    for one in &sides[0] {
        for other in &sides[1] {
            network.cut.extend([(*one, *other), (*other, *one)]);
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
        "all drivers are reachable again"
    );
}

/// With a link cut in one direction, other drivers probe indirectly, and no driver is declared down.
#[test]
fn one_way_cut_leaves_all_drivers_reachable() {
    let mut network = started_network(5, 4);
    network.cut.insert((0, 1));
    network.run(seconds(10));
    for driver in 0..5 {
        let reachable = network.drivers[driver].node.membership.reachable().count();
        assert_eq!(reachable, 4, "driver {driver}");
    }
    network.observe(0, drain("m1", 3, ListedState::Draining));
    assert!(
        network.run_until_equal(seconds(5)).is_some(),
        "records are forwarded by other drivers"
    );
}

/// Partitions of about a suspicion timeout. Guards against permanent suspicions: a driver that rejoins under
/// a new incarnation drops its suspicion timers.
#[test]
fn short_partition_leaves_no_driver_suspected() {
    for seed in 0..40 {
        let mut network = started_network(5, seed);
        for one in [0, 2] {
            for other in [1, 3, 4] {
                network.cut.extend([(one, other), (other, one)]);
            }
        }
        network.run(TimeSpan::millis(1200 + seed * 100));
        network.cut.clear();
        network.run(seconds(20));
        for driver in 0..5 {
            for peer in network.drivers[driver].node.membership.peers() {
                assert_eq!(
                    peer.state,
                    PeerState::Alive,
                    "seed {seed}: {} at driver {driver}",
                    peer.name
                );
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
    let peers_down = |network: &Network, driver: usize| {
        network.drivers[driver]
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
    assert_eq!(peers_down(&network, 0), 0, "the driver has rejoined");
}

/// The time that a datagram lay unread counts towards the age of its records.
#[test]
fn datagram_read_after_suspension_gives_records_their_true_age() {
    let mut network = started_network(3, 6);
    network.drivers[2].is_suspended = true;
    network.observe(0, session(9, 5));
    network.run(seconds(25));
    network.resume(2);
    let now = network.local_time(2);
    let entry = network.drivers[2].node.state.get(&session(9, 5).key());
    let age = now - entry.expect("the record was received").observed_at;
    assert!(age > seconds(24), "{age:?}");
}

/// The host's clock is set back across a restart: the new incarnation is below the one that peers know.
#[test]
fn restart_with_earlier_clock_adopts_a_higher_incarnation() {
    let mut network = started_network(4, 7);
    network.observe(3, drain("m1", 3, ListedState::Draining));
    network.run(seconds(3));
    network.drivers[1].is_up = false;
    network.run(seconds(6));
    network.restart(1, -999_000_000, 1);
    network.run(seconds(12));
    assert!(network.drivers[1].node.membership.identity().incarnation > 100);
    assert_eq!(network.drivers[0].node.membership.reachable().count(), 3);
    assert!(network.copies_are_equal(), "the copy contains earlier records");
    assert!(!network.drivers[1].node.anti_entropy.is_behind());
}

#[test]
fn datagram_with_other_drivers_name_is_rejected_and_reported() {
    let mut network = started_network(3, 8);
    let header = header_to_first(&network, name(2), 7);
    let record = record_message(drain("m9", 9, ListedState::Gone));
    let bytes = codec::Dialect::Current.encode("test", &header, &[record]);
    // Sent from the address of d1.
    network.input(
        0,
        NodeInput::Datagram {
            from: 0,
            bytes: &bytes,
        },
    );
    let driver = &network.drivers[0];
    assert!(driver
        .node
        .state
        .get(&drain("m9", 9, ListedState::Gone).key())
        .is_none());
    let kinds: Vec<_> = driver
        .node
        .state
        .conflicts
        .iter()
        .map(|conflict| conflict.kind)
        .collect();
    assert_eq!(kinds, [conflict::ConflictKind::SenderMismatch]);
    assert!(ignores_first_peer(driver));
    // Datagrams of another fleet and damaged ones count as malformed.
    let before = network.drivers[0].node.metrics.malformed;
    let other = codec::Dialect::Current.encode("other", &header, &[]);
    for bytes in [&other[..], &bytes[..bytes.len() - 1], &[], &[1, 2, 3]] {
        network.input(0, NodeInput::Datagram { from: 0, bytes });
    }
    assert_eq!(network.drivers[0].node.metrics.malformed - before, 4);
}

#[test]
fn datagrams_beyond_the_rate_limit_make_only_that_peer_ignored() {
    let mut network = started_network(3, 9);
    let header = header_to_first(&network, name(1), 100);
    for batch in 0..3000u64 {
        let messages: Vec<_> = (0..30)
            .map(|index| record_message(session(batch * 100 + index + 1, 5)))
            .collect();
        let bytes = codec::Dialect::Current.encode("test", &header, &messages);
        network.input(
            0,
            NodeInput::Datagram {
                from: 0,
                bytes: &bytes,
            },
        );
    }
    let driver = &network.drivers[0];
    assert!(ignores_first_peer(driver));
    assert!(driver.node.metrics.ignored > 1000);
    network.observe(2, drain("m1", 3, ListedState::Draining));
    network.run(seconds(2));
    let entry = network.drivers[0]
        .node
        .state
        .get(&drain("m1", 3, ListedState::Draining).key());
    assert!(entry.is_some(), "other peers' records are accepted");
}

/// The transfer of a large copy stays within the rate limit and survives interruptions.
#[test]
fn anti_entropy_of_many_records_stays_within_the_rate() {
    const BYTES_PER_SECOND: u64 = 16 * 1024;
    let slow = |driver, driver_count| asterlatch_gossip::node::NodeSettings {
        bytes_per_second: BYTES_PER_SECOND,
        ..settings(driver, driver_count)
    };
    let mut network = Network::with(3, 10, slow);
    network.run(seconds(8));
    network.drivers[2].is_up = false;
    network.run(seconds(6));
    for number in 0..4000 {
        network.observe(0, member(&format!("m{number}"), number, 0, 5));
    }
    network.run(seconds(10));
    network.restart(2, 0, 200);
    let before = network.drivers[0].node.metrics.bytes_sent;
    network.run(seconds(3));
    let sent = network.drivers[0].node.metrics.bytes_sent - before;
    // Three seconds and the capacity of the token bucket.
    let max_bytes = 4 * BYTES_PER_SECOND * 21 / 20;
    assert!(sent <= max_bytes && sent > max_bytes / 2, "{sent} of {max_bytes}");
    // The round after an interrupted one continues: received records remain.
    let received = network.drivers[2].node.state.len();
    assert!(received > 200 && received < 3000, "{received}");
    assert!(network.drivers[2].node.anti_entropy.is_behind());
    network.cut.extend([(0, 2), (1, 2)]);
    network.run(seconds(5));
    network.cut.clear();
    network.run(seconds(6));
    let received_later = network.drivers[2].node.state.len();
    assert!(received_later > received, "{received} {received_later}");
    assert!(network.run_until_equal(seconds(60)).is_some());
}

/// An inquiry is sent to all peers, and repeated to those without a reply.
#[test]
fn inquiry_with_lost_replies_is_repeated_to_the_missing_peers() {
    use asterlatch_gossip::in_doubt::DispatchStatus;
    let mut network = started_network(4, 11);
    network.cut.insert((0, 2));
    let inquiry = codec::InquiryId { id: 77, sequence: 1 };
    for driver in &mut network.drivers {
        driver.outputs.clear();
    }
    network.input(0, NodeInput::StartInquiry(inquiry));
    network.run(TimeSpan::millis(20));
    let inquiries_received = |network: &Network, driver: usize| {
        let outputs = network.drivers[driver].outputs.iter();
        outputs
            .filter(|output| matches!(output, NodeOutput::InquiryReceived { .. }))
            .count()
    };
    assert_eq!(
        [
            inquiries_received(&network, 1),
            inquiries_received(&network, 2),
            inquiries_received(&network, 3)
        ],
        [1, 0, 1]
    );
    for driver in [1, 3] {
        let to = 0;
        let reply = DispatchStatus::NotExecuted;
        network.input(
            driver,
            NodeInput::ReplyToInquiry {
                to,
                inquiry,
                status: reply,
            },
        );
    }
    network.run(TimeSpan::millis(10));
    network.cut.clear();
    network.run(TimeSpan::millis(40));
    assert_eq!(
        [
            inquiries_received(&network, 1),
            inquiries_received(&network, 2),
            inquiries_received(&network, 3)
        ],
        [1, 1, 1]
    );
    let replies = network.drivers[0].outputs.iter();
    let replies = replies.filter(|output| matches!(output, NodeOutput::InquiryReplied { .. }));
    assert_eq!(replies.count(), 2);
    network.run(seconds(1));
    assert!(
        inquiries_received(&network, 2) <= 3,
        "the inquiry is repeated indefinitely"
    );
}

/// Run by `make measure-shared`: traffic by fleet size, and the time to disseminate a record and to heal a
/// partition.
#[test]
#[ignore = "measurement, run by `make measure-shared`"]
fn costs_by_size() {
    println!("drivers  bytes/s  datagrams/s  records/s sent  record at all (ms: 50, 99, 100 %)  heal (s)");
    for count in [5, 20, 100, 300] {
        let mut network = Network::new(count, 1);
        network.run(seconds(10 + count as u64 / 10));
        let mut rng = fastrand::Rng::with_seed(9);
        let totals = |network: &Network| {
            let all = network.drivers.iter().map(|driver| driver.node.metrics);
            all.fold((0, 0, 0), |(b, d, r), m| {
                (b + m.bytes_sent, d + m.datagrams_sent, r + m.records_sent)
            })
        };
        // Light load: each driver observes twenty positions per second, of 109 members.
        let (before, started_at, mut position) = (totals(&network), network.now, 1000);
        for _ in 0..50 {
            for driver in 0..count {
                for _ in 0..2 {
                    position += 1;
                    network.observe(driver, member(&format!("m{}", rng.u32(0..109)), position, 0, 5));
                }
            }
            network.run(TimeSpan::millis(100));
        }
        let driver_seconds = (network.now - started_at).ratio(seconds(1)) * count as f64;
        let after = totals(&network);
        let rate = |end: u64, start: u64| (end - start) as f64 / driver_seconds;
        // Time until each driver receives a drain under this load.
        let record = drain("m7", 99, ListedState::Draining);
        network.observe(0, record.clone());
        let (sent_at, mut times) = (network.now, vec![0u64; 0]);
        let mut has_received = vec![false; count];
        while times.len() < count && network.now - sent_at < seconds(20) {
            for (driver, has_received) in has_received.iter_mut().enumerate() {
                position += 1;
                network.observe(driver, member(&format!("m{}", rng.u32(0..109)), position, 0, 5));
                if !*has_received && network.drivers[driver].node.state.get(&record.key()).is_some() {
                    *has_received = true;
                    times.push((network.now - sent_at).0 / 1000);
                }
            }
            network.run(TimeSpan::millis(20));
        }
        let percentile = |p: usize| times[(times.len() * p / 100).min(times.len() - 1)];
        let dissemination_ms = format!("{}, {}, {}", percentile(50), percentile(99), percentile(100));
        // A partition into halves for 8 s, in which both halves observe a drain.
        for one in 0..count / 2 {
            for other in count / 2..count {
                network.cut.extend([(one, other), (other, one)]);
            }
        }
        network.run(seconds(8));
        network.observe(0, drain("m8", 100, ListedState::Draining));
        network.observe(count - 1, drain("m9", 100, ListedState::Draining));
        network.run(seconds(2));
        network.cut.clear();
        let heal_seconds = network.run_until_equal(seconds(60)).map(|s| s.ratio(seconds(1)));
        println!(
            "{count:>7}  {:>7.0}  {:>11.1}  {:>12.0}  {dissemination_ms:>35}  {heal_seconds:.1?}",
            rate(after.0, before.0),
            rate(after.1, before.1),
            rate(after.2, before.2)
        );
    }
}
