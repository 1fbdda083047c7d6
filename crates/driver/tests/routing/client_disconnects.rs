//! Client disconnects, the time left in queries to members, and the end of a shutdown.

use crate::harness::*;
use asterlatch::time::TimeSpan;
use asterlatch_driver::protocol::client_events::{ClientEvent, StatementText};
use asterlatch_driver::protocol::member_connection::{MemberCommand, MemberEvent};
use asterlatch_driver::routing::events::Event;
use asterlatch_driver::transport::connection::ConnectionHandle;
use asterlatch_driver::transport::listener::AcceptEvent;
use std::sync::mpsc::channel;

const CLIENTS: u32 = 1000;
const LONG_WRITE: &str = "c=post,d=60000,cluster=1";

/// A thousand clients with a statement each, a few of which are in flight.
fn harness_with_many_clients() -> Harness {
    let mut harness = Harness::new(SETTINGS, 4096, 192 << 20);
    for id in 1..=CLIENTS {
        harness.connect_client(id);
        harness.send_statement(id, LONG_WRITE);
    }
    assert!((1..100).contains(&harness.event_loop.metrics.executions_sent));
    harness
}

fn connection_closed(client: u32) -> Event {
    Event::Client(ClientEvent::Closed { client })
}

fn client_statement(harness: &Harness, client: u32) -> Event {
    let text = "/* id=1,c=view,d=900,cluster=1 */ SELECT blob FROM rows WHERE handle = 'k'";
    Event::Client(ClientEvent::Statement {
        client,
        number: 0,
        end: 0,
        text: StatementText::new(text, &harness.client_memory).expect("reserve memory for the statement"),
        at: harness.now,
    })
}

fn input_ended(client: u32) -> Event {
    Event::Client(ClientEvent::InputEnded { client })
}

#[test]
fn on_events_burst_of_disconnects_starts_no_attempt() {
    for disconnect in [connection_closed, input_ended] {
        let mut harness = harness_with_many_clients();
        let before = harness.event_loop.metrics.executions_sent;
        let now = harness.now;
        let batch = (1..CLIENTS).map(disconnect).collect();
        harness.event_loop.on_events(batch, || now);
        harness.advance(100);
        // The freed capacity goes to the one remaining client only.
        assert_eq!(harness.event_loop.metrics.executions_sent, before + 1);
        assert_eq!(harness.event_loop.open_statements(), 1);
        assert_eq!(harness.event_loop.metrics.withdrawn, u64::from(CLIENTS) - 1);
    }
}

#[test]
fn on_events_statement_before_input_ended_in_batch_is_not_dispatched() {
    let mut harness = harness_with_client();
    let now = harness.now;
    let batch = vec![client_statement(&harness, 1), input_ended(1)];
    harness.event_loop.on_events(batch, || now);
    assert_eq!(harness.received(1), "53300");
    assert_eq!(harness.event_loop.metrics.executions_sent, 0);
}

/// Guards against late attempts: the statement of a client was dispatched though its disconnect was queued,
/// because the client itself was still to be admitted.
#[test]
fn on_events_client_accepted_and_disconnected_in_batch_starts_no_attempt() {
    for disconnect in [connection_closed, input_ended] {
        let mut harness = Harness::new(SETTINGS, 1024, 192 << 20);
        let (sender, commands) = channel();
        let accepted = AcceptEvent::Client(1, ConnectionHandle::to_channel(sender));
        harness.clients.insert(1, commands);
        let statement = client_statement(&harness, 1);
        let now = harness.now;
        let batch = vec![Event::Accept(accepted), statement, disconnect(1)];
        harness.event_loop.on_events(batch, || now);
        assert_eq!(harness.event_loop.metrics.executions_sent, 0);
        assert_eq!(harness.received(1), "53300");
        assert_eq!(harness.event_loop.open_statements(), 0);
    }
}

#[test]
fn on_events_input_ended_answers_each_open_statement_once() {
    let mut harness = harness_with_client();
    harness.send_statement(1, WRITE);
    let (connection, _) = harness.next_query().expect("the statement is sent immediately");
    harness.send_statement(1, READ);
    let (_, replica) = harness.next_query().expect("the statement is sent immediately");
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

/// Guards against attempts behind a client's leave, which goes unnoticed while much of what it has sent is unread.
#[test]
fn on_event_backlogged_client_has_waiting_statements_rejected_soon() {
    const STATEMENTS: u64 = 40;
    let mut harness = harness_with_client();
    for _ in 0..STATEMENTS {
        harness.send_statement(1, LONG_WRITE);
    }
    let sent = harness.event_loop.metrics.executions_sent;
    assert!((1..STATEMENTS).contains(&sent));
    let backlogged = Event::Client(ClientEvent::Backlogged { client: 1 });
    harness.event_loop.on_event(harness.now, backlogged);
    harness.advance(100);
    assert_eq!(
        harness.received(1).matches("53300").count() as u64,
        STATEMENTS - sent
    );
    assert_eq!(harness.event_loop.metrics.executions_sent, sent);
}

#[test]
fn on_connected_after_client_disconnect_sends_nothing() {
    for disconnect in [connection_closed, input_ended] {
        let mut harness = harness_with_client();
        // Occupies the idle connections of the health checks with other statements.
        for _ in 0..3 {
            harness.send_statement(1, WRITE);
        }
        while harness.take_query().is_some() {}
        let opened = harness.last_opened().0;
        let now = harness.now;
        harness.event_loop.on_events(vec![disconnect(1)], || now);
        harness.member_event(MemberEvent::Connected { connection: opened });
        assert_eq!(harness.take_query(), None);
    }
}

/// Time left in the last query on the connection, in milliseconds.
fn sent_time_left_ms(harness: &Harness, connection: u32) -> u64 {
    let member_connections = harness.member_connections.borrow();
    let queries = member_connections[&connection]
        .1
        .try_iter()
        .filter_map(|command| match command {
            MemberCommand::Query(query) => Some(String::from_utf8_lossy(&query).into_owned()),
            _ => None,
        });
    let query = queries.last().expect("a query was sent");
    let digits = query.split(",d=").nth(1).expect("the query has a time left");
    let end = digits
        .find(|c: char| !c.is_ascii_digit())
        .expect("the time left is followed by another field");
    digits[..end].parse().expect("parse the time left")
}

#[test]
fn query_time_left_is_computed_at_the_write() {
    // The driver may be delayed between reading its clock and the write.
    const WRITE_DELAY_MS: u64 = 150;
    for connect_delay_ms in [0, 40, 200] {
        let mut harness = Harness::with_known_list(SETTINGS, 1024, 192 << 20);
        harness.connect_client(1);
        harness.send_statement(1, "c=post,d=800,cluster=1");
        let connection = harness.last_opened().0;
        harness.now = harness.now + TimeSpan::millis(connect_delay_ms);
        harness.member_event(MemberEvent::Connected { connection });
        let left_at_write = 800 - connect_delay_ms - WRITE_DELAY_MS;
        let sent = sent_time_left_ms(&harness, connection);
        assert!(
            sent <= left_at_write + 150,
            "{connect_delay_ms} ms: {sent} sent, {left_at_write} left"
        );
    }
}

#[test]
fn begin_shutdown_answers_every_statement_by_the_deadline() {
    let mut harness = harness_with_client();
    harness.send_statement(1, "c=post,d=60000,cluster=1");
    harness
        .next_query()
        .expect("the statement is sent and never answered");
    let last_answer_at = harness.now + TimeSpan::millis(400);
    harness.event_loop.begin_shutdown(harness.now, last_answer_at);
    harness.send_statement(1, "c=view,d=60000,cluster=1");
    harness
        .next_query()
        .expect("the statement is sent and never answered");
    harness.advance(399);
    assert_eq!(harness.received(1), "");
    harness.advance(1);
    assert_eq!(harness.received(1), "40003 53300+500");
    harness.send_statement(1, "c=view,d=60000,cluster=1");
    assert_eq!(
        harness.received(1),
        "53300",
        "a new statement is rejected immediately"
    );
}
