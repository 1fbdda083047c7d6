//! Statements: dispatch, retries, and their one final answer.

use super::harness::{entry, rows, with_client, Harness, POST, PRIMARY, REPLICA, SETTINGS, START, VIEW};
use asterlatch::interface::ReplicaStatus;
use asterlatch::time::TimeSpan;
use asterlatch_driver::protocol::client_events::{ClientEvent, StatementText};
use asterlatch_driver::protocol::endpoint_list::EndpointStatus;
use asterlatch_driver::protocol::member_connection::{MemberEvent, Reply};
use asterlatch_driver::routing::events::Event;

#[test]
fn member_answer_reaches_its_client_once() {
    let mut harness = with_client();
    let spaced = "c=old view,d=900,cluster=1";
    for (fields, address) in [(VIEW, REPLICA), (POST, PRIMARY), (spaced, REPLICA)] {
        harness.send_statement(1, fields);
        let (connection, at) = harness.dispatched().expect("is sent at once");
        assert_eq!(at, address, "the ordinary path");
        harness.reply(connection, rows("v"), Some(at == PRIMARY));
        harness.reply(connection, rows("again"), Some(at == PRIMARY));
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

/// What happened on a member's connection, what the client of a write receives within 100 ms, and whether the write was
/// retried.
#[test]
#[expect(clippy::too_many_lines, reason = "a table of cases, or one run step by step")]
fn write_is_retried_only_if_not_executed() {
    enum Came {
        Error(&'static str),
        Malformed,
        Down(bool),
        /// The connection is not established in time; the event that follows.
        Late(Option<MemberEvent>),
    }
    #[rustfmt::skip]
    let cases = [
        ("an error", Came::Error("XX000"), "40003", false),
        ("an unknown code", Came::Error("57P03"), "40003", false),
        ("no answer at all", Came::Malformed, "40003", false),
        ("lost behind the last byte", Came::Down(true), "40003", false),
        ("lost before the last byte", Came::Down(false), "", true),
        ("rejected", Came::Error("53300"), "", true),
        ("no connection in time", Came::Late(None), "", true),
        ("it is told to be over", Came::Late(Some(MemberEvent::Closed { connection: 0, at: START, written: false })), "", true),
        ("a connection at the last moment", Came::Late(Some(MemberEvent::Connected { connection: 0 })), "", true),
    ];
    for (name, came, told, again) in cases {
        let mut harness = with_client();
        // All idle connections are in use, so this one is new.
        harness.connect_client(2);
        harness.send_statement(2, POST);
        harness.dispatched().expect("the first is sent");
        harness.send_statement(1, POST);
        let (connection, _) = harness.last_opened();
        assert_eq!(
            harness.query_written(),
            None,
            "{name}: nothing is sent before it is established"
        );
        if !matches!(came, Came::Late(_)) {
            assert_eq!(harness.dispatched().map(|(c, _)| c), Some(connection), "{name}");
        }
        match came {
            Came::Error(code) => harness.reply(connection, Reply::Error(code.to_owned()), None),
            Came::Malformed => harness.reply(connection, Reply::Malformed, None),
            Came::Down(written) => harness.member_event(MemberEvent::Closed {
                connection,
                at: harness.now,
                written,
            }),
            Came::Late(word) => {
                harness.up.insert(connection);
                harness.advance(250);
                assert!(!harness.is_open(connection), "{name}: is closed");
                match word {
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
        assert_eq!(harness.received(1), told, "{name}");
        assert_eq!(harness.dispatched().is_some(), again, "{name}");
    }
}

/// The primary was paused for long and deposed: its answer shows that, so the client receives another member's.
#[test]
fn answer_from_stale_data_is_withheld() {
    let bounded = SETTINGS.replace(
        r#""freshness":["loose","update","loose"]"#,
        r#""freshness":["recent","update","loose"],"staleness_bound_us":[500000,0,0]"#,
    );
    for (behind, told) in [(499, "rows(old)"), (501, "rows(new)")] {
        let mut harness = Harness::new(&bounded, 1024, 192 << 20);
        harness.connect_client(1);
        harness.send_statement(1, VIEW);
        let (connection, first) = harness.dispatched().expect("is sent");
        let status = ReplicaStatus {
            position: Some(harness.remote_now() - TimeSpan::millis(behind)),
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
        if behind > 500 {
            assert_eq!(harness.received(1), "", "neither an answer nor a failure");
            harness.advance(60);
            let (connection, second) = harness.dispatched().expect("is sent again");
            assert_ne!(first, second);
            harness.reply(connection, rows("new"), None);
        }
        let refused = u64::from(behind > 500);
        assert_eq!(
            (
                harness.received(1).as_str(),
                harness.event_loop.metrics.answers_too_old
            ),
            (told, refused)
        );
    }
}

/// An answer, the close of its connection, the statement's deadline and the client's close may all be due at once: in any
/// order the client receives one answer, and what follows changes nothing.
#[test]
#[expect(clippy::too_many_lines, reason = "a table of cases, or one run step by step")]
fn events_in_any_order_give_one_final_answer() {
    #[derive(Clone, Copy, Debug, PartialEq)]
    enum Comes {
        Answer,
        Refusal,
        Reset,
        Time,
        Gone,
    }
    use Comes::*;
    let mut orders: Vec<Vec<Comes>> = vec![Vec::new()];
    for _ in 0..4 {
        let longer = orders.iter().flat_map(|order| {
            let left = [Answer, Refusal, Reset, Time, Gone]
                .into_iter()
                .filter(|c| !order.contains(c));
            left.map(|c| [&order[..], &[c]].concat()).collect::<Vec<_>>()
        });
        orders = longer.collect();
    }
    assert_eq!(orders.len(), 120);
    for (workload, order) in [VIEW, POST]
        .iter()
        .flat_map(|w| orders.iter().map(move |o| (*w, o)))
    {
        let mut harness = with_client();
        harness.send_statement(1, workload);
        let (connection, _) = harness.dispatched().expect("is sent at once");
        let (now, mut words) = (harness.now + TimeSpan::millis(5000), Vec::new());
        for comes in order {
            match comes {
                Answer => harness.reply(connection, rows("v"), None),
                Refusal => harness.reply(connection, Reply::Error("XX000".to_owned()), None),
                Reset => harness.member_event(MemberEvent::Closed {
                    connection,
                    at: harness.now,
                    written: true,
                }),
                Time => harness.event_loop.advance_to(now),
                Gone => harness
                    .event_loop
                    .on_event(harness.now, Event::Client(ClientEvent::Closed { client: 1 })),
            }
            words.extend(Some(harness.received(1)).filter(|w| !w.is_empty()));
        }
        let expected = match (order[0], workload) {
            (Answer, _) => Some("rows(v)"),
            (Refusal | Reset | Time, POST) => Some("40003"),
            (Gone, _) => None,
            // A read is retried on another connection: nothing that arrives on the first one is its answer then.
            _ => words.first().map(String::as_str).filter(|w| *w != "rows(v)"),
        };
        assert!(words.len() <= 1, "{workload} {order:?}: {words:?}");
        assert_eq!(
            words.first().map(String::as_str),
            expected,
            "{workload} {order:?}"
        );
        let late = order.iter().position(|c| *c == Gone).unwrap_or(order.len());
        assert!(
            late == order.len() || harness.event_loop.open_statements() == 0,
            "{workload} {order:?}"
        );
    }
}

/// Many clients disconnect at once while their statements are queued: none of these is sent, then or later.
#[test]
fn queued_statements_of_gone_clients_are_not_dispatched() {
    for cancel in ["true", "false"] {
        let settings = SETTINGS.replace(r#""cancel":true"#, &format!(r#""cancel":{cancel}"#));
        let mut harness = Harness::new(&settings, 1024, 192 << 20);
        (1..=200).for_each(|id| harness.connect_client(id));
        // Three statements each: those beyond the concurrency limit are queued.
        (1..=200).for_each(|id| (0..3).for_each(|_| harness.send_statement(id, "c=post,d=60000,cluster=1")));
        let out = std::iter::from_fn(|| harness.dispatched()).collect::<Vec<_>>();
        assert!(!out.is_empty() && out.len() < 300, "{}", out.len());
        (1..=200).for_each(|id| {
            harness
                .event_loop
                .on_event(harness.now, Event::Client(ClientEvent::Closed { client: id }))
        });
        out.iter()
            .for_each(|(connection, _)| harness.reply(*connection, rows("v"), Some(true)));
        harness.advance(1000);
        assert_eq!(
            (harness.dispatched(), harness.event_loop.open_statements()),
            (None, 0),
            "cancel {cancel}"
        );
    }
}

/// A client need not wait for an answer before its next statement; when it disconnects, all of them are cancelled.
#[test]
fn pipelined_statements_execute_concurrently() {
    let mut harness = with_client();
    harness.send_statement(1, POST);
    harness.send_statement(1, VIEW);
    let (second, at) = harness.dispatched().expect("is sent at once");
    let (first, other) = harness.dispatched().expect("so is the one before it");
    assert_eq!((other.as_str(), at.as_str()), (PRIMARY, REPLICA));
    harness.reply(second, rows("w"), Some(false));
    assert_eq!(harness.received(1), "rows(w)", "the connection keeps the order");
    harness.send_statement(1, VIEW);
    let (third, _) = harness.dispatched().expect("is sent at once");
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
    for leaves in [true, false] {
        let mut harness = with_client();
        harness.send_statement(1, VIEW);
        let (connection, _) = harness.dispatched().expect("is sent at once");
        if leaves {
            harness
                .event_loop
                .on_event(harness.now, Event::Client(ClientEvent::Closed { client: 1 }));
        } else {
            harness.advance(900);
            assert_eq!(
                harness.received(1),
                "53300+500",
                "answered before its deadline, with a retry-after time"
            );
        }
        assert!(!harness.is_open(connection), "giving up closes the connection");
        assert_eq!(harness.event_loop.open_statements(), 0);
        harness.reply(connection, rows("late"), Some(false));
        harness.advance(2000);
        assert_eq!(harness.received(1), "");
        assert_eq!(harness.event_loop.metrics.completed, 0);
    }
}

/// Where executions can't be cancelled, a late answer still tells something about the member.
#[test]
fn end_after_the_answer_notifies_only_the_policy() {
    let mut harness = Harness::new(
        &SETTINGS.replace(r#""cancel":true"#, r#""cancel":false"#),
        1024,
        192 << 20,
    );
    harness.connect_client(1);
    harness.send_statement(1, "c=view,d=5000,cluster=1");
    let (connection, _) = harness.dispatched().expect("is sent at once");
    // A queued one displaces the first as soon as its SLO time is over.
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
    let mut harness = with_client();
    for (fields, code) in [
        ("c=nothing,d=900,cluster=1", "22023"),
        ("c=view,d=900,cluster=9", "22023"),
        ("c=view,cluster=1", "22023"),
        ("c=view,d=x,cluster=1", "22023"),
    ] {
        harness.send_statement(1, fields);
        assert_eq!(
            (harness.received(1).as_str(), harness.dispatched()),
            (code, None),
            "{fields}"
        );
    }
    // A deleted endpoint, with little more than its name, makes no group known.
    let mut gone = entry("gone", EndpointStatus::Deleted, false);
    (gone.group, gone.address) = (0, String::new());
    harness.change_endpoint(gone);
    harness.send_statement(1, "c=view,d=900,cluster=0");
    assert_eq!(
        (harness.received(1).as_str(), harness.dispatched()),
        ("22023", None)
    );
    let (client, number, at) = (1, 0, harness.now);
    let text = StatementText::new("SELECT 1", &harness.room).expect("has room");
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
    // A time beyond any clock must not overflow.
    harness.send_statement(
        1,
        "c=view,d=18446744073709551615,cluster=1,after=18446744073709551615",
    );
    assert!(harness.dispatched().is_some());
}

/// To a member it would look like a retry of the first, and whoever knows an id could interfere with another's statement.
#[test]
fn duplicate_open_id_reaches_no_member() {
    let mut harness = with_client();
    harness.connect_client(2);
    harness.send_statement_with_id(1, 7, POST);
    let (connection, _) = harness.dispatched().expect("is sent at once");
    harness.send_statement_with_id(2, 7, POST);
    assert_eq!(
        (harness.received(2).as_str(), harness.dispatched()),
        ("22023", None)
    );
    harness.reply(connection, rows("v"), Some(true));
    assert_eq!(harness.received(1), "rows(v)");
    harness.send_statement_with_id(2, 7, POST);
    assert!(
        harness.dispatched().is_some(),
        "once the first has its answer the id is free"
    );
}
