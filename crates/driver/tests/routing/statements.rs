//! Statements: dispatch, retries and final answers.

use super::harness::{
    endpoint, harness_with_client, rows, Harness, PRIMARY, READ, REPLICA, SETTINGS, START, WRITE,
};
use asterlatch::interface::ReplicaStatus;
use asterlatch::time::TimeSpan;
use asterlatch_driver::protocol::client_events::{ClientEvent, StatementText};
use asterlatch_driver::protocol::endpoint_list::EndpointStatus;
use asterlatch_driver::protocol::member_connection::{MemberEvent, Reply};
use asterlatch_driver::routing::events::Event;

#[test]
fn reply_reaches_the_client_once() {
    let mut harness = harness_with_client();
    let name_with_space = "c=old view,d=900,cluster=1";
    for (fields, address) in [(READ, REPLICA), (WRITE, PRIMARY), (name_with_space, REPLICA)] {
        harness.send_statement(1, fields);
        let (connection, actual_address) = harness.next_query().expect("the statement is sent immediately");
        assert_eq!(actual_address, address, "{fields}");
        harness.reply(connection, rows("v"), Some(actual_address == PRIMARY));
        harness.reply(connection, rows("again"), Some(actual_address == PRIMARY));
        harness.member_event(MemberEvent::Closed {
            connection: 99,
            at: harness.now,
            written: true,
        });
        assert_eq!(harness.received(1), "rows(v)");
    }
    assert_eq!(
        (
            harness.event_loop.metrics.completed,
            harness.event_loop.metrics.executions_sent
        ),
        (3, 3)
    );
    assert_eq!(harness.event_loop.open_statements(), 0);
}

/// A write is retried only after outcomes that prove that it was not executed. Each case has the member's
/// action, what the client receives within 100 ms, and whether the write is retried.
#[test]
#[expect(clippy::too_many_lines, reason = "a table of cases, or one run step by step")]
fn write_is_retried_only_if_not_executed() {
    enum MemberAction {
        Error(&'static str),
        Malformed,
        Closed(bool),
        /// The connection is not established in time. Carries the event that arrives afterwards.
        ConnectTimeout(Option<MemberEvent>),
    }
    #[rustfmt::skip]
    let cases = [
        ("error", MemberAction::Error("XX000"), "40003", false),
        ("other error code", MemberAction::Error("57P03"), "40003", false),
        ("malformed reply", MemberAction::Malformed, "40003", false),
        ("connection lost after the last byte", MemberAction::Closed(true), "40003", false),
        ("connection lost before the last byte", MemberAction::Closed(false), "", true),
        ("rejected", MemberAction::Error("53300"), "", true),
        ("connect timeout", MemberAction::ConnectTimeout(None), "", true),
        ("connect timeout, then close event", MemberAction::ConnectTimeout(Some(MemberEvent::Closed { connection: 0, at: START, written: false })), "", true),
        ("connect timeout, then connected event", MemberAction::ConnectTimeout(Some(MemberEvent::Connected { connection: 0 })), "", true),
    ];
    for (name, action, expected, is_retried) in cases {
        let mut harness = harness_with_client();
        // Occupies the idle connection, so that the next statement opens a new one.
        harness.connect_client(2);
        harness.send_statement(2, WRITE);
        harness.next_query().expect("the first statement is sent");
        harness.send_statement(1, WRITE);
        let (connection, _) = harness.last_opened();
        assert_eq!(
            harness.take_query(),
            None,
            "{name}: nothing is sent before the connection is established"
        );
        if !matches!(action, MemberAction::ConnectTimeout(_)) {
            assert_eq!(harness.next_query().map(|(c, _)| c), Some(connection), "{name}");
        }
        match action {
            MemberAction::Error(code) => harness.reply(connection, Reply::Error(code.to_owned()), None),
            MemberAction::Malformed => harness.reply(connection, Reply::Malformed, None),
            MemberAction::Closed(written) => harness.member_event(MemberEvent::Closed {
                connection,
                at: harness.now,
                written,
            }),
            MemberAction::ConnectTimeout(later_event) => {
                harness.established.insert(connection);
                harness.advance(250);
                assert!(!harness.is_open(connection), "{name}: the connection is closed");
                match later_event {
                    Some(MemberEvent::Connected { .. }) => {
                        harness.member_event(MemberEvent::Connected { connection })
                    }
                    Some(_) => harness.member_event(MemberEvent::Closed {
                        connection,
                        at: harness.now,
                        written: false,
                    }),
                    None => {}
                }
            }
        }
        harness.advance(100);
        assert_eq!(harness.received(1), expected, "{name}");
        assert_eq!(harness.next_query().is_some(), is_retried, "{name}");
    }
}

/// An answer from a deposed primary that was paused is stale: the client receives another member's answer
/// instead.
#[test]
fn answer_from_stale_data_is_withheld() {
    let bounded = SETTINGS.replace(
        r#""freshness":["loose","update","loose"]"#,
        r#""freshness":["recent","update","loose"],"staleness_bound_us":[500000,0,0]"#,
    );
    for (staleness_ms, expected) in [(499, "rows(old)"), (501, "rows(new)")] {
        let mut harness = Harness::new(&bounded, 1024, 192 << 20);
        harness.connect_client(1);
        harness.send_statement(1, READ);
        let (connection, first) = harness.next_query().expect("the statement is sent");
        let status = ReplicaStatus {
            position: Some(harness.remote_now() - TimeSpan::millis(staleness_ms)),
            is_position_current: true,
            is_primary: None,
        };
        let (reply, at, report) = (rows("old"), harness.now, None);
        harness.member_event(MemberEvent::Replied {
            connection,
            at,
            reply,
            status,
            report,
        });
        if staleness_ms > 500 {
            assert_eq!(harness.received(1), "", "neither an answer nor an error");
            harness.advance(60);
            let (connection, second) = harness.next_query().expect("the statement is retried");
            assert_ne!(first, second);
            harness.reply(connection, rows("new"), None);
        }
        let withheld = u64::from(staleness_ms > 500);
        assert_eq!(
            (
                harness.received(1).as_str(),
                harness.event_loop.metrics.answers_too_old
            ),
            (expected, withheld)
        );
    }
}

/// In any order of replies, connection loss, deadline and client close, the client receives at most one
/// answer.
#[test]
#[expect(clippy::too_many_lines, reason = "a table of cases, or one run step by step")]
fn events_in_any_order_give_one_final_answer() {
    #[derive(Clone, Copy, Debug, PartialEq)]
    enum Input {
        RowsReply,
        ErrorReply,
        ConnectionLost,
        DeadlinePassed,
        ClientClosed,
    }
    use Input::*;
    let mut orders: Vec<Vec<Input>> = vec![Vec::new()];
    for _ in 0..4 {
        let extended = orders.iter().flat_map(|order| {
            let remaining = [
                RowsReply,
                ErrorReply,
                ConnectionLost,
                DeadlinePassed,
                ClientClosed,
            ]
            .into_iter()
            .filter(|c| !order.contains(c));
            remaining.map(|c| [&order[..], &[c]].concat()).collect::<Vec<_>>()
        });
        orders = extended.collect();
    }
    assert_eq!(orders.len(), 120);
    for (workload, order) in [READ, WRITE]
        .iter()
        .flat_map(|w| orders.iter().map(move |o| (*w, o)))
    {
        let mut harness = harness_with_client();
        harness.send_statement(1, workload);
        let (connection, _) = harness.next_query().expect("the statement is sent immediately");
        let (later, mut received) = (harness.now + TimeSpan::millis(5000), Vec::new());
        for input in order {
            match input {
                RowsReply => harness.reply(connection, rows("v"), None),
                ErrorReply => harness.reply(connection, Reply::Error("XX000".to_owned()), None),
                ConnectionLost => harness.member_event(MemberEvent::Closed {
                    connection,
                    at: harness.now,
                    written: true,
                }),
                DeadlinePassed => harness.event_loop.advance_to(later),
                ClientClosed => harness
                    .event_loop
                    .on_event(harness.now, Event::Client(ClientEvent::Closed { client: 1 })),
            }
            received.extend(Some(harness.received(1)).filter(|w| !w.is_empty()));
        }
        let expected = match (order[0], workload) {
            (RowsReply, _) => Some("rows(v)"),
            (ErrorReply | ConnectionLost | DeadlinePassed, WRITE) => Some("40003"),
            (ClientClosed, _) => None,
            // A read is retried on another connection, so replies on the first one are not its answer.
            _ => received.first().map(String::as_str).filter(|w| *w != "rows(v)"),
        };
        assert!(received.len() <= 1, "{workload} {order:?}: {received:?}");
        assert_eq!(
            received.first().map(String::as_str),
            expected,
            "{workload} {order:?}"
        );
        let client_closed_at = order
            .iter()
            .position(|c| *c == ClientClosed)
            .unwrap_or(order.len());
        assert!(
            client_closed_at == order.len() || harness.event_loop.open_statements() == 0,
            "{workload} {order:?}"
        );
    }
}

/// Queued statements are dropped when many clients disconnect at once.
#[test]
fn queued_statements_of_disconnected_clients_are_not_dispatched() {
    for cancel in ["true", "false"] {
        let settings = SETTINGS.replace(r#""cancel":true"#, &format!(r#""cancel":{cancel}"#));
        let mut harness = Harness::new(&settings, 1024, 192 << 20);
        (1..=200).for_each(|id| harness.connect_client(id));
        // Of three statements each, those beyond the concurrency limit are queued.
        (1..=200).for_each(|id| (0..3).for_each(|_| harness.send_statement(id, "c=post,d=60000,cluster=1")));
        let in_flight = std::iter::from_fn(|| harness.next_query()).collect::<Vec<_>>();
        assert!(
            !in_flight.is_empty() && in_flight.len() < 300,
            "{}",
            in_flight.len()
        );
        (1..=200).for_each(|id| {
            harness
                .event_loop
                .on_event(harness.now, Event::Client(ClientEvent::Closed { client: id }))
        });
        in_flight
            .iter()
            .for_each(|(connection, _)| harness.reply(*connection, rows("v"), Some(true)));
        harness.advance(1000);
        assert_eq!(
            (harness.next_query(), harness.event_loop.open_statements()),
            (None, 0),
            "cancel {cancel}"
        );
    }
}

/// Pipelined statements are executed independently and all cancelled when their client disconnects.
#[test]
fn pipelined_statements_execute_concurrently() {
    let mut harness = harness_with_client();
    harness.send_statement(1, WRITE);
    harness.send_statement(1, READ);
    let (second, second_address) = harness.next_query().expect("the statement is sent immediately");
    let (first, first_address) = harness.next_query().expect("the earlier statement is sent too");
    assert_eq!(
        (first_address.as_str(), second_address.as_str()),
        (PRIMARY, REPLICA)
    );
    harness.reply(second, rows("w"), Some(false));
    assert_eq!(
        harness.received(1),
        "rows(w)",
        "the event loop leaves the order to the client connection"
    );
    harness.send_statement(1, READ);
    let (third, _) = harness.next_query().expect("the statement is sent immediately");
    harness
        .event_loop
        .on_event(harness.now, Event::Client(ClientEvent::Closed { client: 1 }));
    assert!(!harness.is_open(first) && !harness.is_open(third));
    assert_eq!(
        (
            harness.event_loop.open_statements(),
            harness.event_loop.metrics.withdrawn
        ),
        (0, 2)
    );
}

#[test]
fn abandoned_statement_gets_no_late_answer() {
    // The client disconnects, or its deadline passes.
    for disconnects in [true, false] {
        let mut harness = harness_with_client();
        harness.send_statement(1, READ);
        let (connection, _) = harness.next_query().expect("the statement is sent immediately");
        if disconnects {
            harness
                .event_loop
                .on_event(harness.now, Event::Client(ClientEvent::Closed { client: 1 }));
        } else {
            harness.advance(900);
            assert_eq!(
                harness.received(1),
                "53300+500",
                "rejected before its deadline, with a retry-after time"
            );
        }
        assert!(
            !harness.is_open(connection),
            "the cancelled execution closes its connection"
        );
        assert_eq!(harness.event_loop.open_statements(), 0);
        harness.reply(connection, rows("late"), Some(false));
        harness.advance(2000);
        assert_eq!(harness.received(1), "");
        assert_eq!(harness.event_loop.metrics.completed, 0);
    }
}

/// Where executions cannot be cancelled, a late reply still informs the policy about the member.
#[test]
fn late_reply_notifies_only_the_policy() {
    let mut harness = Harness::new(
        &SETTINGS.replace(r#""cancel":true"#, r#""cancel":false"#),
        1024,
        192 << 20,
    );
    harness.connect_client(1);
    harness.send_statement(1, "c=view,d=5000,cluster=1");
    let (connection, _) = harness.next_query().expect("the statement is sent immediately");
    // A queued statement displaces the first one once that has missed its objective.
    harness.connect_client(2);
    harness.send_statement(2, "c=view,d=5000,cluster=1");
    harness
        .event_loop
        .on_event(harness.now, Event::Client(ClientEvent::Closed { client: 1 }));
    assert!(harness.is_open(connection));
    let before = harness.event_loop.metrics.ended_completed;
    harness.reply(connection, rows("late"), Some(false));
    assert_eq!(harness.event_loop.metrics.ended_completed, before + 1);
    assert_eq!(
        (harness.received(1).as_str(), harness.event_loop.metrics.completed),
        ("", 0)
    );
}

#[test]
fn unroutable_statement_reaches_no_member() {
    let mut harness = harness_with_client();
    for (fields, code) in [
        ("c=nothing,d=900,cluster=1", "22023"),
        ("c=view,d=900,cluster=9", "22023"),
        ("c=view,cluster=1", "22023"),
        ("c=view,d=x,cluster=1", "22023"),
    ] {
        harness.send_statement(1, fields);
        assert_eq!(
            (harness.received(1).as_str(), harness.next_query()),
            (code, None),
            "{fields}"
        );
    }
    // A deleted endpoint does not make its group known.
    let mut deleted = endpoint("gone", EndpointStatus::Deleted, false);
    (deleted.group, deleted.address) = (0, String::new());
    harness.change_endpoint(deleted);
    harness.send_statement(1, "c=view,d=900,cluster=0");
    assert_eq!(
        (harness.received(1).as_str(), harness.next_query()),
        ("22023", None)
    );
    let (client, number, at) = (1, 0, harness.now);
    let text =
        StatementText::new("SELECT 1", &harness.client_memory).expect("reserve memory for the statement");
    harness.event_loop.on_event(
        harness.now,
        Event::Client(ClientEvent::Statement {
            client,
            end: 0,
            number,
            text,
            at,
        }),
    );
    assert_eq!(harness.received(1), "42601");
    // The largest timeout and position must not overflow.
    harness.send_statement(
        1,
        "c=view,d=18446744073709551615,cluster=1,after=18446744073709551615",
    );
    assert!(harness.next_query().is_some());
}

/// Members would take a second open statement with the same id for a retry, so that clients could interfere
/// with others.
#[test]
fn duplicate_open_id_reaches_no_member() {
    let mut harness = harness_with_client();
    harness.connect_client(2);
    harness.send_statement_with_id(1, 7, WRITE);
    let (connection, _) = harness.next_query().expect("the statement is sent immediately");
    harness.send_statement_with_id(2, 7, WRITE);
    assert_eq!(
        (harness.received(2).as_str(), harness.next_query()),
        ("22023", None)
    );
    harness.reply(connection, rows("v"), Some(true));
    assert_eq!(harness.received(1), "rows(v)");
    harness.send_statement_with_id(2, 7, READ);
    assert!(
        harness.next_query().is_some(),
        "the id is free once the first statement has its answer"
    );
}

/// Guards against a write that is executed twice: its id came again after its client had left, while a member still
/// executed it or had done so.
#[test]
fn id_that_may_have_been_executed_is_not_sent_again() {
    // How the first statement ends, and what a second one with its id gets: an answer, or a query.
    let ends: [(&str, bool); 4] = [
        ("its client leaves", false),
        ("its client closes its side", false),
        ("it is answered", false),
        ("the member turns it away", true),
    ];
    for (end, is_sent_again) in ends {
        let mut harness = harness_with_client();
        harness.connect_client(2);
        harness.send_statement_with_id(1, 7, WRITE);
        let (connection, _) = harness.next_query().expect("the statement is sent immediately");
        let now = harness.now;
        let disconnect = |harness: &mut Harness, event| {
            let batch = vec![Event::Client(event)];
            harness.event_loop.on_events(batch, || now);
        };
        match end {
            "its client leaves" => disconnect(&mut harness, ClientEvent::Closed { client: 1 }),
            "its client closes its side" => disconnect(&mut harness, ClientEvent::InputEnded { client: 1 }),
            "it is answered" => harness.reply(connection, rows("v"), Some(true)),
            _ => {
                harness.reply(connection, Reply::Error("53300".to_owned()), Some(true));
                disconnect(&mut harness, ClientEvent::Closed { client: 1 });
            }
        }
        harness.advance(5);
        harness.send_statement_with_id(2, 7, WRITE);
        harness.advance(400);
        assert_eq!(harness.next_query().is_some(), is_sent_again, "{end}");
        let expected_answer = if is_sent_again { "" } else { "40003" };
        assert_eq!(harness.received(2), expected_answer, "{end}");
    }
}
