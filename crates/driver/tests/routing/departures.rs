//! Clients that leave or close their side, the time that members are told, and the end of a shutdown.

use crate::harness::*;
use asterlatch::time::TimeSpan;
use asterlatch_driver::protocol::client_events::{ClientEvent, StatementText};
use asterlatch_driver::protocol::member_connection::{MemberCommand, MemberEvent};
use asterlatch_driver::routing::events::Event;

const CLIENTS: u32 = 1000;
const LONG_POST: &str = "c=post,d=60000,cluster=1";

/// A thousand clients with a statement each, of which a few are in flight. The last of them stays.
fn crowded() -> Harness {
    let mut harness = Harness::new(SETTINGS, 4096, 192 << 20);
    for id in 1..=CLIENTS {
        harness.connect_client(id);
        harness.send_statement(id, LONG_POST);
    }
    assert!((1..100).contains(&harness.event_loop.metrics.executions_sent));
    harness
}

fn closed(client: u32) -> Event {
    Event::Client(ClientEvent::Closed { client })
}

fn input_ended(client: u32) -> Event {
    Event::Client(ClientEvent::InputEnded { client })
}

#[test]
fn on_events_burst_of_departures_begins_no_attempt() {
    for departure in [closed, input_ended] {
        let mut harness = crowded();
        let before = harness.event_loop.metrics.executions_sent;
        let now = harness.now;
        let batch = (1..CLIENTS).map(departure).collect();
        harness.event_loop.on_events(batch, || now);
        harness.advance(100);
        // What they leave is free for the one that stays, and begun for nobody else.
        assert_eq!(harness.event_loop.metrics.executions_sent, before + 1);
        assert_eq!(harness.event_loop.open_statements(), 1);
        assert_eq!(harness.event_loop.metrics.withdrawn, u64::from(CLIENTS) - 1);
    }
}

#[test]
fn on_events_statement_behind_its_clients_end_is_not_dispatched() {
    let mut harness = with_client();
    let text = "/* id=1,c=view,d=900,cluster=1 */ SELECT blob FROM rows WHERE handle = 'k'";
    let statement = ClientEvent::Statement {
        client: 1,
        number: 0,
        end: 0,
        text: StatementText::new(text, &harness.room).expect("has room"),
        at: harness.now,
    };
    let now = harness.now;
    let batch = vec![Event::Client(statement), input_ended(1)];
    harness.event_loop.on_events(batch, || now);
    assert_eq!(harness.received(1), "53300");
    assert_eq!(harness.event_loop.metrics.executions_sent, 0);
}

#[test]
fn on_events_input_ended_answers_each_open_statement_once() {
    let mut harness = with_client();
    harness.send_statement(1, POST);
    let (connection, _) = harness.dispatched().expect("is sent at once");
    harness.send_statement(1, VIEW);
    let (_, replica) = harness.dispatched().expect("is sent at once");
    assert_eq!(replica, REPLICA);
    let now = harness.now;
    harness
        .event_loop
        .on_events(vec![input_ended(1), input_ended(1)], || now);
    // The write may have been executed.
    assert_eq!(harness.received(1), "40003 53300");
    assert!(!harness.is_open(connection));
    assert_eq!(harness.event_loop.metrics.withdrawn, 2);
}

#[test]
fn on_connected_for_client_that_has_left_sends_nothing() {
    for departure in [closed, input_ended] {
        let mut harness = with_client();
        // The idle connections of the health checks are busy with other statements.
        for _ in 0..3 {
            harness.send_statement(1, POST);
        }
        while harness.query_written().is_some() {}
        let opened = harness.last_opened().0;
        let now = harness.now;
        harness.event_loop.on_events(vec![departure(1)], || now);
        harness.member_event(MemberEvent::Connected { connection: opened });
        assert_eq!(harness.query_written(), None);
    }
}

/// The time left that the last query told its member, in milliseconds.
fn told_ms(harness: &Harness, connection: u32) -> u64 {
    let dialled = harness.dialled.borrow();
    let queries = dialled[&connection]
        .1
        .try_iter()
        .filter_map(|command| match command {
            MemberCommand::Query(query) => Some(String::from_utf8_lossy(&query).into_owned()),
            _ => None,
        });
    let query = queries.last().expect("a query was sent");
    let digits = query.split(",d=").nth(1).expect("tells the time left");
    let end = digits.find(|c: char| !c.is_ascii_digit()).expect("ends");
    digits[..end].parse().expect("is a number")
}

#[test]
fn query_time_left_is_counted_at_the_write() {
    // (milliseconds until the connection is up; the driver is held up by 0.15 s between its clock and the write)
    const HELD_UP_MS: u64 = 150;
    for delay in [0, 40, 200] {
        let mut harness = Harness::knowing(SETTINGS, 1024, 192 << 20);
        harness.connect_client(1);
        harness.send_statement(1, "c=post,d=800,cluster=1");
        let connection = harness.last_opened().0;
        harness.now = harness.now + TimeSpan::millis(delay);
        harness.member_event(MemberEvent::Connected { connection });
        let left_at_write = 800 - delay - HELD_UP_MS;
        let told = told_ms(&harness, connection);
        assert!(
            told <= left_at_write + 150,
            "{delay} ms: {told} told, {left_at_write} left"
        );
    }
}

#[test]
fn begin_shutdown_every_statement_is_answered_by_its_end() {
    let mut harness = with_client();
    harness.send_statement(1, "c=post,d=60000,cluster=1");
    harness.dispatched().expect("is sent, and never answered");
    let last_answer_at = harness.now + TimeSpan::millis(400);
    harness.event_loop.begin_shutdown(harness.now, last_answer_at);
    harness.send_statement(1, "c=view,d=60000,cluster=1");
    harness.dispatched().expect("is sent, and never answered");
    harness.advance(399);
    assert_eq!(harness.received(1), "");
    harness.advance(1);
    assert_eq!(harness.received(1), "40003 53300+500");
    harness.send_statement(1, "c=view,d=60000,cluster=1");
    assert_eq!(harness.received(1), "53300", "at once");
}
