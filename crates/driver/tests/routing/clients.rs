//! Admission, eviction, timeouts and drain of clients.

use super::harness::{harness_with_client, rows, Harness, READ, SETTINGS, WRITE};
use asterlatch::time::TimeSpan;
use asterlatch_driver::protocol::client_events::ClientEvent;
use asterlatch_driver::routing::events::Event;
use std::sync::mpsc::TryRecvError;

#[test]
fn admit_at_capacity_evicts_an_idle_client() {
    // 78 descriptors: 48 reserved, 20 for clients, 10 for members.
    let mut harness = Harness::new(SETTINGS, 78, 192 << 20);
    (1..=20).for_each(|id| harness.connect_client(id));
    (2..=20).for_each(|id| harness.send_statement(id, "c=view,d=60000,cluster=1"));
    harness.connect_client(21);
    assert_eq!(
        (harness.received(1).as_str(), harness.received(21).as_str()),
        ("drain", ""),
        "the only idle client is evicted"
    );
    harness.send_statement(21, "c=view,d=60000,cluster=1");
    harness.connect_client(22);
    assert_eq!(harness.received(22), "rejected", "no client is idle");
    harness.send_statement(22, READ);
    assert_eq!(
        harness.event_loop.metrics.statements_taken, 20,
        "statements of a rejected client are not accepted"
    );
    assert!(
        harness.member_connections.borrow().len() <= 10,
        "member connections are bounded too"
    );
}

/// Time in milliseconds, action at that time, and what client 1 has received by the end of the step.
type Step = (u64, &'static str, &'static str);

#[test]
fn client_without_open_statement_times_out() {
    #[rustfmt::skip]
    let cases: [(&str, u32, &[Step]); 9] = [
        ("sends nothing", 0, &[(2499, "", ""), (2500, "", "timed out")]),
        ("completes the startup and sends no statement", 0, &[(100, "idle", ""), (2499, "", ""), (2500, "", "timed out")]),
        ("partial first message", 0, &[(100, "idle", ""), (200, "partial message", ""), (2500, "", "timed out")]),
        ("partial later message", 0, &[(100, "statement", "rows(v)"), (100, "idle", ""), (5000, "partial message", ""), (7499, "", ""), (7500, "", "timed out")]),
        ("message in several parts", 0, &[(100, "statement", "rows(v)"), (100, "idle", ""), (5000, "partial message", ""), (7000, "statement", "rows(v)"), (9000, "", "")]),
        ("idle", 0, &[(100, "statement", "rows(v)"), (100, "idle", ""), (10_099, "", ""), (10_100, "", "drain")]),
        ("idle while many clients are active", 4, &[(100, "statement", "rows(v)"), (100, "idle", ""), (2299, "", ""), (2300, "", "drain")]),
        ("idle while too many clients are active", 7, &[(100, "statement", "rows(v)"), (100, "idle", ""), (199, "", ""), (200, "", "drain")]),
        ("idle among many clients without statements", 0, &[(100, "statement", "rows(v)"), (100, "idle", ""), (200, "new clients", ""), (10_099, "", ""), (10_100, "", "drain")]),
    ];
    for (name, active_others, steps) in cases {
        // A capacity of 20 clients.
        let mut harness = Harness::new(SETTINGS, 78, 192 << 20);
        let start = harness.now;
        harness.connect_client(1);
        for id in 2..2 + active_others {
            harness.connect_client(id);
            harness.send_statement(id, "c=view,d=60000,cluster=1");
            harness.next_query();
        }
        for (ms, action, expected) in steps {
            harness.advance((start + TimeSpan::millis(*ms) - harness.now).0 / 1000);
            let (client, since) = (1, harness.now);
            match *action {
                "idle" => harness
                    .event_loop
                    .on_event(harness.now, Event::Client(ClientEvent::Idle { client, since })),
                "partial message" => harness.event_loop.on_event(
                    harness.now,
                    Event::Client(ClientEvent::PartialMessage { client, since }),
                ),
                "new clients" => (50..60).for_each(|id| harness.connect_client(id)),
                "statement" => {
                    harness.send_statement(1, WRITE);
                    let (connection, _) = harness.next_query().expect("the statement is sent immediately");
                    harness.reply(connection, rows("v"), Some(true));
                }
                _ => {}
            }
            assert_eq!(harness.received(1), *expected, "{name} at {ms}");
        }
    }
}

/// Clients that connect and send nothing must not evict active ones, however fast they connect.
#[test]
fn admit_flood_of_clients_without_statements_evicts_no_active_client() {
    let mut harness = Harness::new(SETTINGS, 78, 192 << 20);
    for id in 1..=8 {
        harness.connect_client(id);
        harness.send_statement(id, READ);
        let (connection, _) = harness.next_query().expect("the statement is sent immediately");
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
fn begin_drain_disconnects_present_and_new_clients() {
    let mut harness = harness_with_client();
    harness.send_statement(1, READ);
    harness.event_loop.begin_drain();
    harness.connect_client(2);
    assert_eq!(
        (harness.received(1).as_str(), harness.received(2).as_str()),
        ("drain", "drain")
    );
    let (connection, _) = harness
        .next_query()
        .expect("the accepted statement is still executed");
    harness.reply(connection, rows("v"), Some(false));
    assert_eq!(harness.received(1), "rows(v)");
}

/// A half-closed client occupies capacity only for a short time and while no other client needs it.
#[test]
fn half_closed_client_is_closed_on_timeout_or_for_a_new_client() {
    let is_closed = |harness: &Harness, id: u32| {
        let result = harness.clients[&id].try_recv();
        matches!(result, Err(TryRecvError::Disconnected))
    };
    let mut harness = harness_with_client();
    harness
        .event_loop
        .on_event(harness.now, Event::Client(ClientEvent::HalfClosed { client: 1 }));
    harness.advance(299);
    assert!(!is_closed(&harness, 1));
    harness.advance(1);
    assert!(is_closed(&harness, 1));
    harness
        .event_loop
        .on_event(harness.now, Event::Client(ClientEvent::Closed { client: 1 }));
    assert_eq!(harness.event_loop.open_clients(), 0);
    // Six descriptors besides the reserved ones: a capacity of four clients.
    let mut harness = Harness::new(SETTINGS, 48 + 6, 192 << 20);
    (1..=4).for_each(|id| harness.connect_client(id));
    harness.advance(1);
    harness
        .event_loop
        .on_event(harness.now, Event::Client(ClientEvent::HalfClosed { client: 2 }));
    harness.connect_client(5);
    assert!(is_closed(&harness, 2), "the half-closed client is evicted first");
    assert_eq!(
        [1, 3, 4, 5].map(|id| harness.received(id)),
        ["", "", "", ""],
        "and no other client"
    );
}

/// A client with a partial message must not delay a drain for the full message timeout.
#[test]
fn begin_drain_partial_message_times_out_early() {
    let mut harness = harness_with_client();
    harness.send_statement(1, "c=view,d=900,cluster=9");
    assert_eq!(harness.received(1), "22023", "answered, so the client is idle");
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
