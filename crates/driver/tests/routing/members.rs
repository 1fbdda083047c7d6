//! Requests to members: connections, health checks, and changes of the member list.

use super::harness::{
    endpoint, endpoint_list, harness_with_client, primary_and_replica, rows, Harness, PRIMARY, READ,
    SETTINGS, START, WRITE,
};
use asterlatch::interface::ReplicaStatus;
use asterlatch::time::TimeSpan;
use asterlatch_driver::protocol::client_events::ClientEvent;
use asterlatch_driver::protocol::endpoint_list::{Endpoint, EndpointStatus};
use asterlatch_driver::protocol::member_connection::{MemberAnswer, MemberCommand, MemberEvent, Reply};
use asterlatch_driver::protocol::messages;
use asterlatch_driver::routing::event_loop::MemberCounts;
use asterlatch_driver::routing::events::Event;
use asterlatch_driver::transport::connection::ConnectionHandle;
use asterlatch_driver::transport::connection_pool::{ConnectionPool, IdleConnection};
use asterlatch_driver::transport::idle_lifetime::IdleLifetimeEstimator;
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::channel;

/// Guards against statements on another member's connection: each process of an upgrade assigns ids of its own to
/// members that are listed behind the state.
#[test]
fn adopted_connection_is_used_for_the_member_at_its_other_end() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a loopback address");
    let address = listener.local_addr().expect("read the bound address");
    let connect = || TcpStream::connect(address).expect("connect");
    let mut harness = harness_with_client();
    // At the peer process this id is that of another member.
    let primary = 0;
    harness
        .event_loop
        .adopt_member_connection(harness.now, primary, connect());
    assert_eq!(
        harness.event_loop.metrics.connections_adopted, 0,
        "not listed yet"
    );
    let listed = Endpoint {
        address: address.to_string(),
        group: 2,
        ..endpoint("listed-later", EndpointStatus::Serving, true)
    };
    let mut list = primary_and_replica();
    (list.index, list.entries) = (3, [list.entries, vec![listed]].concat());
    harness.event_loop.apply_endpoint_list(harness.now, &list);
    harness
        .event_loop
        .adopt_member_connection(harness.now, primary, connect());
    assert_eq!(harness.event_loop.metrics.connections_adopted, 1);
    harness.send_statement(1, WRITE);
    harness.send_statement(1, WRITE);
    let addresses = [harness.next_query(), harness.next_query()].map(|query| query.expect("sent").1);
    assert_eq!(addresses, [PRIMARY, PRIMARY]);
}

#[test]
fn closed_stale_idle_connection_counts_no_execution() {
    let mut harness = harness_with_client();
    harness.send_statement(1, WRITE);
    let (idle, _) = harness
        .next_query()
        .expect("sent on the connection of the health check");
    harness.member_event(MemberEvent::Closed {
        connection: idle,
        at: harness.now,
        written: false,
    });
    let (fresh, address) = harness.next_query().expect("sent on a new connection");
    assert_eq!(
        (address.as_str(), harness.event_loop.metrics.executions_sent),
        (PRIMARY, 1)
    );
    assert!(fresh != idle && harness.received(1).is_empty());
    harness.reply(fresh, rows("v"), Some(true));
    assert_eq!(
        (
            harness.received(1).as_str(),
            harness.event_loop.metrics.ended_completed
        ),
        ("rows(v)", 1)
    );
}

/// A request that becomes obsolete while its connection is established is not sent, and the connection is
/// reused.
#[test]
fn on_connected_obsolete_request_is_not_sent() {
    let without_cancellation = SETTINGS.replace(r#""cancel":true"#, r#""cancel":false"#);
    let disconnect_client = |harness: &mut Harness| {
        harness
            .event_loop
            .on_event(harness.now, Event::Client(ClientEvent::Closed { client: 1 }))
    };
    let drain =
        |harness: &mut Harness| harness.change_endpoint(endpoint("p", EndpointStatus::Draining, true));
    let delist = |harness: &mut Harness| {
        let replica = endpoint("rr", EndpointStatus::Serving, false);
        harness
            .event_loop
            .apply_endpoint_list(harness.now, &endpoint_list(3, vec![replica]));
    };
    type Action = fn(&mut Harness);
    // Event while connecting, whether the statement is sent afterwards, and what its client receives at its
    // deadline; `None` if that varies, because without a primary the write may be attempted elsewhere.
    let cases: [(&str, Action, bool, Option<&str>); 5] = [
        ("no change", |_| {}, true, Some("40003")),
        ("its client disconnects", disconnect_client, false, Some("")),
        ("its member drains", drain, false, None),
        ("its member is no longer listed", delist, false, None),
        (
            "it times out",
            |harness| harness.advance(245),
            false,
            Some("53300"),
        ),
    ];
    for (name, act, is_sent, expected) in cases {
        let mut harness = Harness::new(&without_cancellation, 1024, 192 << 20);
        harness.connect_client(1);
        harness.connect_client(2);
        harness.send_statement(2, WRITE);
        let (first, _) = harness.next_query().expect("the first statement is sent");
        harness.send_statement(1, "c=post,d=240,cluster=1");
        let (connection, addr) = harness.last_opened();
        assert_eq!((addr.as_str(), harness.take_query()), (PRIMARY, None), "{name}");
        act(&mut harness);
        let is_closed = !harness.is_open(connection);
        assert_eq!(is_closed, name == "it times out", "{name}");
        harness.established.insert(connection);
        harness.member_event(MemberEvent::Connected { connection });
        assert_eq!(harness.take_query().is_some(), is_sent, "{name}");
        harness.advance(250);
        let received = harness.received(1);
        assert_eq!(expected.unwrap_or(&received), received, "{name}: never aborted");
        if name == "its client disconnects" {
            assert!(harness.is_open(connection), "the connection becomes idle");
            harness.send_statement(2, WRITE);
            assert_eq!(
                harness.take_query().map(|(c, _)| c),
                Some(connection),
                "and is used for another request"
            );
        }
        harness.reply(first, rows("v"), Some(true));
        assert_eq!(harness.received(2), "rows(v)", "{name}");
    }
}

/// A connection without a request is closed if it is not established within its timeout.
#[test]
fn withdrawn_request_unestablished_connection_times_out() {
    let mut harness = harness_with_client();
    harness.connect_client(2);
    harness.send_statement(2, WRITE);
    harness.next_query().expect("the first statement is sent");
    harness.send_statement(1, WRITE);
    let (connection, _) = harness.last_opened();
    harness
        .event_loop
        .on_event(harness.now, Event::Client(ClientEvent::Closed { client: 1 }));
    harness.advance(240);
    assert!(harness.is_open(connection));
    harness.advance(20);
    assert!(
        !harness.is_open(connection),
        "the connection was never established"
    );
}

#[test]
fn dial_local_failure_does_not_count_against_the_member() {
    let local = [
        libc::EMFILE,
        libc::ENFILE,
        libc::ENOBUFS,
        libc::ENOMEM,
        libc::EADDRNOTAVAIL,
        libc::ENETUNREACH,
        libc::EAGAIN,
        libc::ENOSPC,
        libc::EPERM,
    ];
    let remote = [libc::ECONNREFUSED, libc::ETIMEDOUT, libc::EHOSTUNREACH];
    let local = local.map(|code| (code, "never_sent"));
    for (code, expected) in local
        .into_iter()
        .chain(remote.map(|code| (code, "no_connection")))
    {
        let mut harness = harness_with_client();
        harness.connect_client(2);
        harness.send_statement(2, WRITE);
        harness.next_query().expect("the first statement is sent");
        *harness.next_dial_error.borrow_mut() = Some(code);
        harness.send_statement(1, WRITE);
        let metrics = &harness.event_loop.metrics;
        let counts = (metrics.ended_never_sent, metrics.ended_no_connection);
        assert_eq!(
            counts,
            if expected == "never_sent" { (1, 0) } else { (0, 1) },
            "{code}"
        );
        assert_eq!(harness.received(1), "");
    }
}

#[test]
fn idle_connection_is_closed_before_the_member_timeout() {
    let mut harness = harness_with_client();
    harness.send_statement(1, READ);
    let (connection, _) = harness.next_query().expect("the statement is sent immediately");
    harness.reply(connection, rows("v"), Some(false));
    harness.advance(20_000);
    assert!(harness.is_open(connection));
    harness.advance(9000);
    assert!(
        !harness.is_open(connection),
        "before the idle timeout of 30 s in the settings"
    );
    // After an address change, a member receives nothing at its previous address.
    harness.send_statement(1, WRITE);
    let (connection, _) = harness.next_query().expect("the statement is sent immediately");
    harness.reply(connection, rows("v"), Some(true));
    let mut moved = endpoint("p", EndpointStatus::Serving, true);
    moved.address = "10.0.0.9:5432".to_owned();
    harness.change_endpoint(moved);
    harness.send_statement(1, WRITE);
    assert_eq!(
        harness.next_query().map(|(_, address)| address),
        Some("10.0.0.9:5432".to_owned())
    );
}

/// State of removed members, idle connections included, must not accumulate while members are replaced.
#[test]
fn member_turnover_leaves_no_state_behind() {
    let mut harness = harness_with_client();
    let (mut replaced, mut used) = ("rr".to_owned(), Vec::new());
    for round in 0..500 {
        let name = format!("r{round}");
        let endpoint_at = |name: &str, status| {
            let address = format!("10.0.{}.{}:5432", 2 + round / 200, 1 + round % 200);
            Endpoint {
                address,
                ..endpoint(name, status, false)
            }
        };
        harness.change_endpoint(endpoint_at(&name, EndpointStatus::Serving));
        harness.change_endpoint(endpoint(&replaced, EndpointStatus::Draining, false));
        harness.advance(300);
        while let Some((connection, _)) = harness.next_query() {
            harness.reply(connection, rows("v"), Some(false));
        }
        harness.send_statement(1, READ);
        let (connection, _) = harness.next_query().expect("the statement is sent immediately");
        harness.reply(connection, rows("v"), Some(false));
        used.push(connection);
        harness.change_endpoint(endpoint(&replaced, EndpointStatus::Deleted, false));
        harness.advance(50);
        replaced = name;
    }
    let MemberCounts { names, ids, idle } = harness.event_loop.member_counts();
    assert!(names <= 3 && ids <= 3 && idle <= 3, "{names} {ids} {idle}");
    let open_count = used.iter().filter(|c| harness.is_open(**c)).count();
    assert!(
        open_count <= 2,
        "{open_count} open connections to removed members"
    );
}

/// Middleboxes may drop idle connections silently: a write on one of them is lost and in doubt.
#[test]
fn idle_lifetime_frequent_breaks_lower_the_limit() {
    let (short, long) = (TimeSpan::millis(1), TimeSpan::millis(150));
    // Broken connections per hundred after a short and after a long idle time; whether the long one is too
    // long.
    for (broken_after_short, broken_after_long, is_too_long) in [
        (0, 40, true),
        (5, 40, true),
        (0, 10, false),
        (30, 40, false),
        (40, 0, false),
    ] {
        let mut estimator = IdleLifetimeEstimator::default();
        for sample in 0..100 {
            estimator.record(START, short, sample < broken_after_short);
            estimator.record(START, long, sample < broken_after_long);
        }
        let limit = estimator.limit();
        assert_eq!(
            limit.is_some_and(|limit| limit > short && limit <= long),
            is_too_long,
            "{broken_after_short} {broken_after_long}"
        );
        // Observations lose weight over time, so the limit is lifted again.
        estimator.record(START + TimeSpan::millis(30_000), short, false);
        assert_eq!(estimator.limit(), None);
    }
    let mut pool = ConnectionPool::default();
    let (address, new_handle) = (PRIMARY.parse().expect("parse the address"), || {
        ConnectionHandle::to_channel(channel::<MemberCommand>().0)
    });
    for (id, idle_since) in [(1, 0), (2, 100), (3, 200)] {
        pool.add(id, 7, address, new_handle());
        pool.release(id, START + TimeSpan::millis(idle_since));
    }
    let after_ms = |ms| START + TimeSpan::millis(ms);
    assert_eq!(
        pool.take_idle(7, address, after_ms(150)),
        Some(IdleConnection {
            since: after_ms(200),
            id: 3
        }),
        "the most recently used one"
    );
    assert_eq!(
        (pool.take_idle(7, address, after_ms(150)), pool.count()),
        (None, 1),
        "connections that were idle for too long are closed"
    );
}

#[test]
fn health_check_reports_position_and_role() {
    let mut harness = Harness::new(SETTINGS, 1024, 192 << 20);
    assert!(harness.event_loop.metrics.health_checks_answered > 0);
    let query = messages::health_check(true);
    assert!(query.windows(11).any(|window| window == b"SHOW vitals"));
    // A member that leaves an execution unanswered is ejected and receives health checks until it answers.
    harness.connect_client(1);
    harness.send_statement(1, "c=view,d=60000,cluster=1");
    harness.next_query().expect("the statement is sent immediately");
    let before = harness.event_loop.metrics.health_checks_sent;
    harness.advance(3000);
    assert!(harness.event_loop.metrics.health_checks_sent > before);
}

/// Guards against rows of other statements, see `on_input_copy_of_last_answer_is_not_the_next_answer`: the answer that
/// follows a possible copy counts, and without one what was no copy isn't lost.
#[test]
fn answer_in_doubt_counts_only_if_no_other_one_follows() {
    let hold = |harness: &mut Harness, connection, value| {
        let answer = MemberAnswer {
            at: harness.now,
            reply: rows(value),
            status: ReplicaStatus::default(),
            report: None,
        };
        harness.member_event(MemberEvent::RepliedInDoubt { connection, answer });
    };
    type Then = fn(&mut Harness, u32);
    let cases: [(&str, Then, &str, bool); 5] = [
        (
            "another answer",
            |h, c| h.reply(c, rows("own"), None),
            "rows(own)",
            true,
        ),
        (
            "an error",
            |h, c| h.reply(c, Reply::Error("XX000".to_owned()), None),
            "40003",
            true,
        ),
        ("nothing", |h, _| h.advance(50), "rows(held)", false),
        (
            "noise",
            |h, c| h.reply(c, Reply::Malformed, None),
            "rows(held)",
            false,
        ),
        (
            "the end",
            |h, connection| {
                let at = h.now;
                h.member_event(MemberEvent::Closed {
                    connection,
                    at,
                    written: true,
                });
            },
            "rows(held)",
            false,
        ),
    ];
    for (name, then, expected, stays_open) in cases {
        let mut harness = harness_with_client();
        harness.send_statement(1, WRITE);
        let (connection, _) = harness.next_query().expect("the statement is sent");
        hold(&mut harness, connection, "copy");
        hold(&mut harness, connection, "held");
        harness.advance(49);
        assert_eq!(harness.received(1), "", "{name}");
        then(&mut harness, connection);
        assert!(harness.received(1).starts_with(expected), "{name}");
        harness.advance(100);
        assert_eq!(harness.received(1), "", "{name}: a second answer");
        harness.send_statement(1, WRITE);
        let (next, _) = harness.next_query().expect("the next statement is sent");
        assert_eq!(next == connection, stays_open, "{name}");
    }
}
