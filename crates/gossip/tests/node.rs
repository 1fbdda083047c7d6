//! Several drivers' engines over links that fail: what becomes of records and of who is there.

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

/// All find each other, and say that they have caught up.
fn record_message(record: Record) -> Vec<u8> {
    let age = TimeSpan(0);
    codec::Message::Record { record, age }.encode()
}

fn begun(count: usize, seed: u64) -> Net {
    let mut net = Net::new(count, seed);
    net.run(seconds(8));
    for n in net.up() {
        assert_eq!(
            net.drivers[n].node.membership.reachable().count(),
            count - 1,
            "driver {n}"
        );
        assert!(!net.drivers[n].node.anti_entropy.is_behind(), "driver {n}");
    }
    net
}

#[test]
fn observed_with_clocks_apart_reaches_all_within_a_second() {
    let mut net = begun(5, 1);
    net.observe(0, drain("m1", 3, ListedState::Draining));
    net.observe(3, member("m2", 77, 77, 0));
    let took = net.settle(seconds(5)).expect("copies are equal");
    assert!(took <= seconds(1), "{took:?}");
    for n in 1..3 {
        let news = net.drivers[n].outputs.iter();
        let news = news.filter(|o| {
            matches!(
                o,
                NodeOutput::RecordLearned {
                    record: Record::Drain { .. },
                    ..
                }
            )
        });
        assert_eq!(news.count(), 1, "it is told once");
    }
}

#[test]
fn observed_over_lossy_links_reaches_all() {
    for seed in 1..6 {
        let mut net = Net::new(6, seed);
        net.link = Link {
            delay: TimeSpan::millis(30),
            lost: 300,
            doubled: 100,
            garbled: 50,
        };
        net.run(seconds(15));
        for n in 0..6 {
            for m in 0..50 {
                net.observe(n, member(&format!("m{m}"), 10 * (n as u64 + 1) + m, 0, 5));
            }
        }
        let took = net.settle(seconds(60)).expect("copies are equal");
        assert!(took < seconds(30), "seed {seed}: {took:?}");
        let garbled: u64 = net.drivers.iter().map(|d| d.node.metrics.malformed).sum();
        assert!(garbled > 0, "or this proves nothing");
    }
}

#[test]
fn partition_after_healing_leaves_equal_copies() {
    let mut net = begun(5, 3);
    let sides = [vec![0, 1], vec![2, 3, 4]];
    for a in &sides[0] {
        for b in &sides[1] {
            net.cut.extend([(*a, *b), (*b, *a)]);
        }
    }
    net.run(seconds(8));
    assert_eq!(net.drivers[0].node.membership.reachable().count(), 1);
    assert_eq!(net.drivers[4].node.membership.reachable().count(), 2);
    net.observe(1, drain("m1", 9, ListedState::Draining));
    net.observe(4, member("m2", 500, 500, 0));
    net.run(seconds(3));
    assert!(!net.equal());
    net.cut.clear();
    let took = net.settle(seconds(20)).expect("copies are equal");
    assert!(took < seconds(8), "{took:?}");
    net.run(seconds(8));
    assert_eq!(
        net.drivers[0].node.membership.reachable().count(),
        4,
        "all see each other again"
    );
}

/// A link that lets word through one way only: others ask on the cut one's behalf, and nobody is lost.
#[test]
fn one_way_cut_keeps_every_driver_a_member() {
    let mut net = begun(5, 4);
    net.cut.insert((0, 1));
    net.run(seconds(10));
    for n in 0..5 {
        let there = net.drivers[n].node.membership.reachable().count();
        assert_eq!(there, 4, "driver {n}");
    }
    net.observe(0, drain("m1", 3, ListedState::Draining));
    assert!(net.settle(seconds(5)).is_some(), "word goes round by the others");
}

/// Splits about as long as suspicion takes, after which some hold others for gone and are held for it: whoever comes back
/// under a new incarnation had let go of its own suspicions' ends, and held the suspected ones so for ever.
#[test]
fn short_partition_leaves_nobody_suspected() {
    for seed in 0..40 {
        let mut net = begun(5, seed);
        for a in [0, 2] {
            for b in [1, 3, 4] {
                net.cut.extend([(a, b), (b, a)]);
            }
        }
        net.run(TimeSpan::millis(1200 + seed * 100));
        net.cut.clear();
        net.run(seconds(20));
        for n in 0..5 {
            for peer in net.drivers[n].node.membership.peers() {
                assert_eq!(peer.state, PeerState::Alive, "seed {seed}: {} for {n}", peer.name);
            }
        }
    }
}

#[test]
fn suspended_driver_is_behind_until_it_has_caught_up() {
    let mut net = begun(4, 5);
    net.drivers[2].paused = true;
    net.run(seconds(2));
    net.observe(0, drain("m1", 3, ListedState::Draining));
    net.run(seconds(28));
    let gone = |net: &Net, n: usize| {
        net.drivers[n]
            .node
            .membership
            .peers()
            .iter()
            .filter(|p| p.state == PeerState::Down)
            .count()
    };
    assert_eq!(gone(&net, 0), 1);
    net.drivers[2].outputs.clear();
    net.go_on(2);
    assert!(net.drivers[2].outputs.contains(&NodeOutput::CaughtUp(false)));
    assert!(net.drivers[2].node.anti_entropy.is_behind());
    net.run(seconds(12));
    assert!(!net.drivers[2].node.anti_entropy.is_behind());
    assert!(net.equal());
    assert_eq!(gone(&net, 0), 0, "it is back");
}

/// What lay unread while a driver was stopped is as old as that, though its sender called it new.
#[test]
fn datagram_read_late_gives_records_their_true_age() {
    let mut net = begun(3, 6);
    net.drivers[2].paused = true;
    net.observe(0, session(9, 5));
    net.run(seconds(25));
    net.go_on(2);
    let now = net.local(2);
    let entry = net.drivers[2].node.state.get(&session(9, 5).key());
    let age = now - entry.expect("was told").observed_at;
    assert!(age > seconds(24), "{age:?}");
}

/// A machine whose clock is set back over a restart: its driver's new incarnation is below the one that others know.
#[test]
fn restart_with_earlier_clock_takes_a_higher_incarnation() {
    let mut net = begun(4, 7);
    net.observe(3, drain("m1", 3, ListedState::Draining));
    net.run(seconds(3));
    net.drivers[1].is_up = false;
    net.run(seconds(6));
    net.restart(1, -999_000_000, 1);
    net.run(seconds(12));
    assert!(net.drivers[1].node.membership.own().incarnation > 100);
    assert_eq!(net.drivers[0].node.membership.reachable().count(), 3);
    assert!(net.equal(), "it holds what was told before");
    assert!(!net.drivers[1].node.anti_entropy.is_behind());
}

#[test]
fn datagram_under_a_foreign_name_is_rejected_and_reported() {
    let mut net = begun(3, 8);
    let head = codec::DatagramHeader {
        name: name(2),
        incarnation: 7,
        sent: net.local(0),
        known_incarnation: 0,
        caught_up: true,
    };
    let record = record_message(drain("m9", 9, ListedState::Gone));
    let bytes = codec::Dialect::Current.encode("test", &head, &[record]);
    // From the address of d1.
    net.give(
        0,
        NodeInput::Datagram {
            from: 0,
            bytes: &bytes,
        },
    );
    let d = &net.drivers[0];
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
    assert!(d
        .outputs
        .iter()
        .any(|o| matches!(o, NodeOutput::PeerIgnored { peer: 0, .. })));
    // Another fleet's are nothing at all, and so is what is garbled.
    let before = net.drivers[0].node.metrics.malformed;
    let other = codec::Dialect::Current.encode("elsewhere", &head, &[]);
    for bytes in [&other[..], &bytes[..bytes.len() - 1], &[], &[1, 2, 3]] {
        net.give(0, NodeInput::Datagram { from: 0, bytes });
    }
    assert_eq!(net.drivers[0].node.metrics.malformed - before, 4);
}

#[test]
fn datagrams_beyond_the_rate_limit_ignore_only_that_peer() {
    let mut net = begun(3, 9);
    let head = codec::DatagramHeader {
        name: name(1),
        incarnation: 100,
        sent: net.local(0),
        known_incarnation: 0,
        caught_up: true,
    };
    for n in 0..3000u64 {
        let items: Vec<_> = (0..30)
            .map(|m| record_message(session(n * 100 + m + 1, 5)))
            .collect();
        let bytes = codec::Dialect::Current.encode("test", &head, &items);
        net.give(
            0,
            NodeInput::Datagram {
                from: 0,
                bytes: &bytes,
            },
        );
    }
    let d = &net.drivers[0];
    assert!(d
        .outputs
        .iter()
        .any(|o| matches!(o, NodeOutput::PeerIgnored { peer: 0, .. })));
    assert!(d.node.metrics.ignored > 1000);
    net.observe(2, drain("m1", 3, ListedState::Draining));
    net.run(seconds(2));
    let known = net.drivers[0]
        .node
        .state
        .get(&drain("m1", 3, ListedState::Draining).key());
    assert!(known.is_some(), "the others are heard");
}

/// The rate holds whatever there is to tell: a copy of many records takes its time.
#[test]
fn anti_entropy_of_many_records_stays_within_the_rate() {
    const RATE: u64 = 16 * 1024;
    let slow = |n, all| asterlatch_gossip::node::GossipSettings {
        bytes_per_second: RATE,
        ..settings(n, all)
    };
    let mut net = Net::with(3, 10, slow);
    net.run(seconds(8));
    net.drivers[2].is_up = false;
    net.run(seconds(6));
    for n in 0..4000 {
        net.observe(0, member(&format!("m{n}"), n, 0, 5));
    }
    net.run(seconds(10));
    net.restart(2, 0, 200);
    let before = net.drivers[0].node.metrics.bytes_sent;
    net.run(seconds(3));
    let sent = net.drivers[0].node.metrics.bytes_sent - before;
    // A second's worth is saved up.
    let most = 4 * RATE * 21 / 20;
    assert!(sent <= most && sent > most / 2, "{sent} of {most}");
    // A round that breaks off is resumed by the next: what came stays.
    let half = net.drivers[2].node.state.len();
    assert!(half > 200 && half < 3000, "{half}");
    assert!(net.drivers[2].node.anti_entropy.is_behind());
    net.cut.extend([(0, 2), (1, 2)]);
    net.run(seconds(5));
    net.cut.clear();
    net.run(seconds(6));
    let more = net.drivers[2].node.state.len();
    assert!(more > half, "{half} {more}");
    assert!(net.settle(seconds(60)).is_some());
}

/// An id is asked of all, again where an answer is lost; whoever has answered is asked no more.
#[test]
fn inquiry_reaches_all_peers_and_is_repeated_to_unanswered_ones() {
    use asterlatch_gossip::in_doubt::DispatchStatus;
    let mut net = begun(4, 11);
    net.cut.insert((0, 2));
    let inquiry = codec::InquiryId { id: 77, sequence: 1 };
    for d in &mut net.drivers {
        d.outputs.clear();
    }
    net.give(0, NodeInput::StartInquiry(inquiry));
    net.run(TimeSpan::millis(20));
    let asked = |net: &Net, n: usize| {
        let all = net.drivers[n].outputs.iter();
        all.filter(|o| matches!(o, NodeOutput::InquiryReceived { .. }))
            .count()
    };
    assert_eq!([asked(&net, 1), asked(&net, 2), asked(&net, 3)], [1, 0, 1]);
    for n in [1, 3] {
        let to = 0;
        let known = DispatchStatus::NotExecuted;
        net.give(
            n,
            NodeInput::ReplyToInquiry {
                to,
                inquiry,
                status: known,
            },
        );
    }
    net.run(TimeSpan::millis(10));
    net.cut.clear();
    net.run(TimeSpan::millis(40));
    assert_eq!([asked(&net, 1), asked(&net, 2), asked(&net, 3)], [1, 1, 1]);
    let answers = net.drivers[0].outputs.iter();
    let answers = answers.filter(|o| matches!(o, NodeOutput::InquiryReplied { .. }));
    assert_eq!(answers.count(), 2);
    net.run(seconds(1));
    assert!(asked(&net, 2) <= 3, "not for ever");
}

/// `make measure-shared`: what telling costs by size, and how long news and a heal take.
#[test]
#[ignore = "a measurement: make measure-shared"]
fn costs_by_size() {
    println!("drivers  bytes/s  datagrams/s  records/s sent  news at all (ms: half, 99 %, last)  heal (s)");
    for count in [5, 20, 100, 300] {
        let mut net = Net::new(count, 1);
        net.run(seconds(10 + count as u64 / 10));
        let mut chance = fastrand::Rng::with_seed(9);
        let sums = |net: &Net| {
            let all = net.drivers.iter().map(|d| d.node.metrics);
            all.fold((0, 0, 0), |(b, d, f), c| {
                (b + c.bytes_sent, d + c.datagrams_sent, f + c.records_sent)
            })
        };
        // Thin traffic: each hears twenty positions a second, of 109 members.
        let (before, began, mut at) = (sums(&net), net.now, 1000);
        for _ in 0..50 {
            for n in 0..count {
                for _ in 0..2 {
                    at += 1;
                    net.observe(n, member(&format!("m{}", chance.u32(0..109)), at, 0, 5));
                }
            }
            net.run(TimeSpan::millis(100));
        }
        let passed = (net.now - began).ratio(seconds(1)) * count as f64;
        let after = sums(&net);
        let each = |a: u64, b: u64| (a - b) as f64 / passed;
        // A drain while that goes on: when has it come to whom?
        let record = drain("m7", 99, ListedState::Draining);
        net.observe(0, record.clone());
        let (told, mut times) = (net.now, vec![0u64; 0]);
        let mut heard = vec![false; count];
        while times.len() < count && net.now - told < seconds(20) {
            for (n, heard) in heard.iter_mut().enumerate() {
                at += 1;
                net.observe(n, member(&format!("m{}", chance.u32(0..109)), at, 0, 5));
                if !*heard && net.drivers[n].node.state.get(&record.key()).is_some() {
                    *heard = true;
                    times.push((net.now - told).0 / 1000);
                }
            }
            net.run(TimeSpan::millis(20));
        }
        let part = |q: usize| times[(times.len() * q / 100).min(times.len() - 1)];
        let news = format!("{}, {}, {}", part(50), part(99), part(100));
        // Half of them cut off from the others for 8 s; both sides hear something meanwhile.
        for a in 0..count / 2 {
            for b in count / 2..count {
                net.cut.extend([(a, b), (b, a)]);
            }
        }
        net.run(seconds(8));
        net.observe(0, drain("m8", 100, ListedState::Draining));
        net.observe(count - 1, drain("m9", 100, ListedState::Draining));
        net.run(seconds(2));
        net.cut.clear();
        let heal = net.settle(seconds(60)).map(|s| s.ratio(seconds(1)));
        println!(
            "{count:>7}  {:>7.0}  {:>11.1}  {:>12.0}  {news:>35}  {heal:.1?}",
            each(after.0, before.0),
            each(after.1, before.1),
            each(after.2, before.2)
        );
    }
}
