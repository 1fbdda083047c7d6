//! Turns of the event loop while clients send without pause: signals and timeouts must not wait for them.

use crate::harness::*;
use asterlatch::interface::ReplicaStatus;
use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_driver::protocol::client_events::{ClientEvent, StatementText};
use asterlatch_driver::protocol::member_connection::{MemberEvent, Reply};
use asterlatch_driver::routing::events::{ControlEvent, Event};
use asterlatch_driver::transport::clock::Clock;
use asterlatch_driver::transport::memory_budget::MemoryBudget;
use std::sync::mpsc::{channel, Receiver, Sender};

/// Client that sends unreadable statements.
const BAD_CLIENT: u32 = 1;
/// Statements that the bad client keeps open, as many as a connection may pipeline.
const PIPELINED: u64 = 16;
/// Statements after which the bad client stops. Handling them takes many times longer than any wait of these
/// tests.
const FLOOD_LENGTH: u64 = 200_000;
/// Client with a statement at a member.
const USUAL_CLIENT: u32 = 2;

fn unreadable_statement(memory: &MemoryBudget, at: Timestamp) -> Event {
    let text = "SELECT blob FROM rows WHERE handle = 'no routing comment'";
    Event::Client(ClientEvent::Statement {
        client: BAD_CLIENT,
        number: 0,
        end: 0,
        text: StatementText::new(text, memory).expect("reserve memory for the statement"),
        at,
    })
}

/// A bad client that sends its next statement as soon as one is rejected, which the event loop logs. The queue
/// therefore never runs empty before the end of the flood.
fn start_flood(harness: &mut Harness, queue: &Sender<Event>) {
    harness.connect_client(BAD_CLIENT);
    let (memory, queue, at) = (harness.client_memory.clone(), queue.clone(), harness.now);
    for _ in 0..PIPELINED {
        send(&queue, unreadable_statement(&memory, at));
    }
    let mut unsent = FLOOD_LENGTH - PIPELINED;
    harness.event_loop.logger.on_line = Some(Box::new(move || {
        if unsent > 0 {
            unsent -= 1;
            send(&queue, unreadable_statement(&memory, at));
        }
    }));
}

fn send(queue: &Sender<Event>, event: Event) {
    // Fails only after the event loop has ended.
    let _ = queue.send(event);
}

/// A clock that continues the harness's simulated one.
fn clock_of(harness: &Harness) -> Clock {
    Clock::resume(harness.now, TimeSpan(0), TimeSpan(0))
}

/// Runs the event loop until `is_done`, which is asked between turns, or until all senders are gone.
fn run_until(
    harness: &mut Harness,
    clock: Clock,
    events: &Receiver<Event>,
    mut is_done: impl FnMut(&mut TestEventLoop) -> bool,
) {
    harness.event_loop.run(events, clock, |event_loop, _| {
        (!is_done(event_loop)).then_some(Timestamp(u64::MAX))
    });
}

fn rejected(harness: &Harness) -> u64 {
    harness.event_loop.metrics.statements_unreadable
}

/// Guards against an ignored SIGTERM: control events waited until the queue was empty.
#[test]
fn run_queue_never_empty_control_event_takes_effect() {
    let mut harness = Harness::new(SETTINGS, 1024, 192 << 20);
    let (queue, events) = channel();
    start_flood(&mut harness, &queue);
    send(&queue, Event::Control(ControlEvent::Shutdown));
    let clock = clock_of(&harness);
    run_until(&mut harness, clock, &events, |event_loop| {
        event_loop.take_control_events().contains(&ControlEvent::Shutdown)
    });
    assert!(
        rejected(&harness) < FLOOD_LENGTH,
        "the control event waited for the end of the flood"
    );
}

/// Guards against statements without a final answer: timeouts waited until the queue was empty.
#[test]
fn run_queue_never_empty_statement_times_out() {
    let mut harness = Harness::new(SETTINGS, 1024, 192 << 20);
    harness.connect_client(USUAL_CLIENT);
    harness.send_statement(USUAL_CLIENT, "c=post,d=20,cluster=1");
    harness
        .next_query()
        .expect("the statement is sent and never answered");
    let (queue, events) = channel();
    start_flood(&mut harness, &queue);
    let answers = harness
        .clients
        .remove(&USUAL_CLIENT)
        .expect("the client is connected");
    let clock = clock_of(&harness);
    run_until(&mut harness, clock, &events, |_| answers.try_recv().is_ok());
    assert!(
        rejected(&harness) < FLOOD_LENGTH,
        "the final answer waited for the end of the flood"
    );
}

/// Guards against a timeout of a request whose answer is in the queue already, behind commands of clients that
/// take long to handle.
#[test]
fn run_answer_behind_client_events_is_handled_before_its_timeout() {
    let mut harness = Harness::new(SETTINGS, 1024, 192 << 20);
    harness.connect_client(USUAL_CLIENT);
    harness.send_statement(USUAL_CLIENT, "c=post,d=20,cluster=1");
    let (connection, _) = harness.next_query().expect("the statement is sent immediately");
    harness.connect_client(BAD_CLIENT);
    let (queue, events) = channel();
    for _ in 0..PIPELINED {
        send(&queue, unreadable_statement(&harness.client_memory, harness.now));
    }
    send(&queue, answer_to(&harness, connection));
    drop(queue);
    let clock = clock_of(&harness);
    let request_timeout = harness.now + TimeSpan::millis(20);
    // The first command is not handled before the request's timeout has passed.
    harness.event_loop.logger.on_line = Some(Box::new(move || while clock.now() <= request_timeout {}));
    run_until(&mut harness, clock, &events, |_| false);
    assert_eq!(rejected(&harness), PIPELINED);
    assert_eq!(harness.received(USUAL_CLIENT), "rows(v)");
}

fn answer_to(harness: &Harness, connection: u32) -> Event {
    Event::Member(MemberEvent::Replied {
        connection,
        at: harness.now,
        reply: Reply::Rows(b"v".to_vec()),
        status: ReplicaStatus {
            position: Some(harness.remote_now()),
            is_position_current: true,
            is_primary: Some(true),
        },
        report: None,
    })
}
