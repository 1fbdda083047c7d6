//! Admission, eviction, timeouts and drain of clients.

use super::harness::{rows, with_client, Harness, POST, SETTINGS, VIEW};
use asterlatch::time::TimeSpan;
use asterlatch_driver::protocol::client_events::ClientEvent;
use asterlatch_driver::routing::events::Event;
use std::sync::mpsc::TryRecvError;

#[test]
fn client_beyond_capacity_evicts_an_idle_one() {
    // 78 descriptors: 48 reserved, 20 for clients, 10 for members.
    let mut harness = Harness::new(SETTINGS, 78, 192 << 20);
    (1..=20).for_each(|id| harness.connect_client(id));
    (2..=20).for_each(|id| harness.send_statement(id, "c=view,d=60000,cluster=1"));
    harness.connect_client(21);
    assert_eq!(
        (harness.received(1).as_str(), harness.received(21).as_str()),
        ("drain", ""),
        "the only idle one is evicted"
    );
    harness.send_statement(21, "c=view,d=60000,cluster=1");
    harness.connect_client(22);
    assert_eq!(harness.received(22), "rejected", "none is idle");
    harness.send_statement(22, VIEW);
    assert_eq!(
        harness.event_loop.metrics.statements_taken, 20,
        "statements of a rejected client are not accepted"
    );
    assert!(
        harness.dialled.borrow().len() <= 10,
        "connections to members are bounded too"
    );
}

/// Time in milliseconds, what client 1 does then, and what it has received by the end of that step.
type Step = (u64, &'static str, &'static str);

#[test]
fn client_without_statements_times_out() {
    #[rustfmt::skip]
    let cases: [(&str, u32, &[Step]); 9] = [
        ("says nothing", 0, &[(2499, "", ""), (2500, "", "timed out")]),
        ("opens and asks nothing", 0, &[(100, "idle", ""), (2499, "", ""), (2500, "", "timed out")]),
        ("half a message first", 0, &[(100, "idle", ""), (200, "writes", ""), (2500, "", "timed out")]),
        ("half a message later", 0, &[(100, "asks", "rows(v)"), (100, "idle", ""), (5000, "writes", ""), (7499, "", ""), (7500, "", "timed out")]),
        ("a message in pieces", 0, &[(100, "asks", "rows(v)"), (100, "idle", ""), (5000, "writes", ""), (7000, "asks", "rows(v)"), (9000, "", "")]),
        ("rests", 0, &[(100, "asks", "rows(v)"), (100, "idle", ""), (10_099, "", ""), (10_100, "", "drain")]),
        ("rests among many", 4, &[(100, "asks", "rows(v)"), (100, "idle", ""), (2299, "", ""), (2300, "", "drain")]),
        ("rests among too many", 7, &[(100, "asks", "rows(v)"), (100, "idle", ""), (199, "", ""), (200, "", "drain")]),
        ("rests among many that say nothing", 0, &[(100, "asks", "rows(v)"), (100, "idle", ""), (200, "silence", ""), (10_099, "", ""), (10_100, "", "drain")]),
    ];
    for (name, others, steps) in cases {
        // 20 places for clients.
        let mut harness = Harness::new(SETTINGS, 78, 192 << 20);
        let start = harness.now;
        harness.connect_client(1);
        for id in 2..2 + others {
            harness.connect_client(id);
            harness.send_statement(id, "c=view,d=60000,cluster=1");
            harness.dispatched();
        }
        for (ms, does, told) in steps {
            harness.advance((start + TimeSpan::millis(*ms) - harness.now).0 / 1000);
            let (client, since) = (1, harness.now);
            match *does {
                "idle" => harness
                    .event_loop
                    .on_event(harness.now, Event::Client(ClientEvent::Idle { client, since })),
                "writes" => harness.event_loop.on_event(
                    harness.now,
                    Event::Client(ClientEvent::PartialMessage { client, since }),
                ),
                "silence" => (50..60).for_each(|id| harness.connect_client(id)),
                "asks" => {
                    harness.send_statement(1, POST);
                    let (connection, _) = harness.dispatched().expect("is sent at once");
                    harness.reply(connection, rows("v"), Some(true));
                }
                _ => {}
            }
            assert_eq!(harness.received(1), *told, "{name} at {ms}");
        }
    }
}

/// Hundreds of clients that connect and send nothing must not evict active ones, however fast they arrive.
#[test]
fn silent_clients_evict_each_other_first() {
    let mut harness = Harness::new(SETTINGS, 78, 192 << 20);
    for id in 1..=8 {
        harness.connect_client(id);
        harness.send_statement(id, VIEW);
        let (connection, _) = harness.dispatched().expect("is sent at once");
        harness.reply(connection, rows("v"), Some(false));
        harness.event_loop.on_event(
            harness.now,
            Event::Client(ClientEvent::Idle {
                client: id,
                since: harness.now,
            }),
        );
        harness.received(id);
    }
    (100..400).for_each(|id| harness.connect_client(id));
    assert!(
        (1..=8).all(|id| harness.received(id).is_empty()),
        "an active client was evicted"
    );
    assert_eq!(
        (100..388).filter(|id| harness.received(*id) == "drain").count(),
        288
    );
}

#[test]
fn drain_disconnects_present_and_arriving_clients() {
    let mut harness = with_client();
    harness.send_statement(1, VIEW);
    harness.event_loop.begin_drain();
    harness.connect_client(2);
    assert_eq!(
        (harness.received(1).as_str(), harness.received(2).as_str()),
        ("drain", "drain")
    );
    let (connection, _) = harness.dispatched().expect("what was taken goes on");
    harness.reply(connection, rows("v"), Some(false));
    assert_eq!(harness.received(1), "rows(v)");
}

/// Our side of a client's connection is shut, and what it still sends is dropped: for a short time, and as long as no other
/// client needs its place.
#[test]
fn half_closed_client_keeps_its_place_only_briefly() {
    let ended = |harness: &Harness, id: u32| {
        let end = harness.clients[&id].try_recv();
        matches!(end, Err(TryRecvError::Disconnected))
    };
    let mut harness = with_client();
    harness
        .event_loop
        .on_event(harness.now, Event::Client(ClientEvent::HalfClosed { client: 1 }));
    harness.advance(299);
    assert!(!ended(&harness, 1));
    harness.advance(1);
    assert!(ended(&harness, 1));
    harness
        .event_loop
        .on_event(harness.now, Event::Client(ClientEvent::Closed { client: 1 }));
    assert_eq!(harness.event_loop.open_clients(), 0);
    // Six descriptors beyond the reserved ones: four clients.
    let mut harness = Harness::new(SETTINGS, 48 + 6, 192 << 20);
    (1..=4).for_each(|id| harness.connect_client(id));
    harness.advance(1);
    harness
        .event_loop
        .on_event(harness.now, Event::Client(ClientEvent::HalfClosed { client: 2 }));
    harness.connect_client(5);
    assert!(ended(&harness, 2), "it goes first");
    assert_eq!(
        [1, 3, 4, 5].map(|id| harness.received(id)),
        ["", "", "", ""],
        "and no other"
    );
}

/// During a drain, a client that has sent part of a message gets a short timeout for the rest, not the usual one.
#[test]
fn partial_message_does_not_delay_a_drain() {
    let mut harness = with_client();
    harness.send_statement(1, "c=view,d=900,cluster=9");
    assert_eq!(harness.received(1), "22023", "answered, so it rests now");
    let since = harness.now;
    harness.event_loop.on_event(
        since,
        Event::Client(ClientEvent::PartialMessage { client: 1, since }),
    );
    harness.event_loop.begin_drain();
    harness.advance(499);
    assert_eq!(harness.received(1), "drain");
    harness.advance(1);
    assert_eq!(harness.received(1), "timed out");
}
