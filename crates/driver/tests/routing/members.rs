//! Requests to members: connections, health checks, members that come and go.

use super::harness::{entry, list, rows, with_client, Harness, POST, PRIMARY, SETTINGS, START, VIEW};
use asterlatch::time::TimeSpan;
use asterlatch_driver::protocol::client_events::ClientEvent;
use asterlatch_driver::protocol::endpoint_list::{Endpoint, EndpointStatus};
use asterlatch_driver::protocol::member_connection::{MemberCommand, MemberEvent};
use asterlatch_driver::protocol::messages;
use asterlatch_driver::routing::event_loop::MemberCounts;
use asterlatch_driver::routing::events::Event;
use asterlatch_driver::transport::connection::ConnectionHandle;
use asterlatch_driver::transport::connection_pool::{ConnectionPool, IdleConnection};
use asterlatch_driver::transport::idle_lifetime::IdleLifetimeEstimator;
use std::sync::mpsc::channel;

#[test]
fn stale_idle_connection_costs_no_execution() {
    let mut harness = with_client();
    harness.send_statement(1, POST);
    let (idle, _) = harness.dispatched().expect("on the connection of the probe");
    harness.member_event(MemberEvent::Closed {
        connection: idle,
        at: harness.now,
        written: false,
    });
    let (fresh, at) = harness.dispatched().expect("on a new one");
    assert_eq!(
        (at.as_str(), harness.event_loop.metrics.executions_sent),
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

/// While a connection is established, the request that waits for it may become obsolete: then it is not sent, and the
/// connection serves another.
#[test]
fn request_waiting_for_its_connection_is_checked_again() {
    let uncalled = SETTINGS.replace(r#""cancel":true"#, r#""cancel":false"#);
    let gone = |harness: &mut Harness| {
        harness
            .event_loop
            .on_event(harness.now, Event::Client(ClientEvent::Closed { client: 1 }))
    };
    let drains = |harness: &mut Harness| harness.change_endpoint(entry("p", EndpointStatus::Draining, true));
    let missing = |harness: &mut Harness| {
        let replica = entry("rr", EndpointStatus::Serving, false);
        harness
            .event_loop
            .apply_endpoint_list(harness.now, &list(3, vec![replica]));
    };
    type Comes = fn(&mut Harness);
    // What happens meanwhile, whether the statement is sent behind it, and what its client receives at its deadline:
    // without a primary the write is attempted elsewhere in the end.
    let cases: [(&str, Comes, bool, Option<&str>); 5] = [
        ("nothing", |_| {}, true, Some("40003")),
        ("its client leaves", gone, false, Some("")),
        ("its member drains", drains, false, None),
        ("its member is missing", missing, false, None),
        (
            "its time is over",
            |harness| harness.advance(245),
            false,
            Some("53300"),
        ),
    ];
    for (name, comes, goes, told) in cases {
        let mut harness = Harness::new(&uncalled, 1024, 192 << 20);
        harness.connect_client(1);
        harness.connect_client(2);
        harness.send_statement(2, POST);
        let (first, _) = harness.dispatched().expect("the first is sent");
        harness.send_statement(1, "c=post,d=240,cluster=1");
        let (connection, at) = harness.last_opened();
        assert_eq!((at.as_str(), harness.query_written()), (PRIMARY, None), "{name}");
        comes(&mut harness);
        let over = !harness.is_open(connection);
        assert_eq!(over, name == "its time is over", "{name}");
        harness.up.insert(connection);
        harness.member_event(MemberEvent::Connected { connection });
        assert_eq!(harness.query_written().is_some(), goes, "{name}");
        harness.advance(250);
        let said = harness.received(1);
        assert_eq!(told.unwrap_or(&said), said, "{name}: never sent is never aborted");
        if name == "its client leaves" {
            assert!(harness.is_open(connection), "it is idle");
            harness.send_statement(2, POST);
            assert_eq!(
                harness.query_written().map(|(c, _)| c),
                Some(connection),
                "and serves another"
            );
        }
        harness.reply(first, rows("v"), Some(true));
        assert_eq!(harness.received(2), "rows(v)", "{name}");
    }
}

/// A connection that no request waits for any more is closed once its time is over.
#[test]
fn unassigned_connection_is_closed_in_time() {
    let mut harness = with_client();
    harness.connect_client(2);
    harness.send_statement(2, POST);
    harness.dispatched().expect("the first is sent");
    harness.send_statement(1, POST);
    let (connection, _) = harness.last_opened();
    harness
        .event_loop
        .on_event(harness.now, Event::Client(ClientEvent::Closed { client: 1 }));
    harness.advance(240);
    assert!(harness.is_open(connection));
    harness.advance(20);
    assert!(!harness.is_open(connection), "it was never established");
}

#[test]
fn failure_of_this_host_does_not_count_against_the_member() {
    let own = [
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
    let of_member = [libc::ECONNREFUSED, libc::ETIMEDOUT, libc::EHOSTUNREACH];
    let own = own.map(|code| (code, "never_sent"));
    for (code, ended) in own
        .into_iter()
        .chain(of_member.map(|code| (code, "no_connection")))
    {
        let mut harness = with_client();
        harness.connect_client(2);
        harness.send_statement(2, POST);
        harness.dispatched().expect("the first is sent");
        *harness.fault.borrow_mut() = Some(code);
        harness.send_statement(1, POST);
        let metrics = &harness.event_loop.metrics;
        let counts = (metrics.ended_never_sent, metrics.ended_no_connection);
        assert_eq!(
            counts,
            if ended == "never_sent" { (1, 0) } else { (0, 1) },
            "{code}"
        );
        assert_eq!(harness.received(1), "");
    }
}

#[test]
fn idle_connection_closes_before_the_member_closes_it() {
    let mut harness = with_client();
    harness.send_statement(1, VIEW);
    let (connection, _) = harness.dispatched().expect("is sent at once");
    harness.reply(connection, rows("v"), Some(false));
    harness.advance(20_000);
    assert!(harness.is_open(connection));
    harness.advance(9000);
    assert!(!harness.is_open(connection), "before the 30 s of the settings");
    // A member whose address has changed receives nothing at the former one.
    harness.send_statement(1, POST);
    let (connection, _) = harness.dispatched().expect("is sent at once");
    harness.reply(connection, rows("v"), Some(true));
    let mut moved = entry("p", EndpointStatus::Serving, true);
    moved.address = "10.0.0.9:5432".to_owned();
    harness.change_endpoint(moved);
    harness.send_statement(1, POST);
    assert_eq!(
        harness.dispatched().map(|(_, at)| at),
        Some("10.0.0.9:5432".to_owned())
    );
}

/// New members replace old ones for a long time: all state of the old ones goes with them, idle connections included,
/// and a name that is listed again is a new member.
#[test]
fn member_turnover_leaves_no_state_behind() {
    let mut harness = with_client();
    let (mut old, mut used) = ("rr".to_owned(), Vec::new());
    for n in 0..500 {
        let name = format!("r{n}");
        let at = |name: &str, status| {
            let address = format!("10.0.{}.{}:5432", 2 + n / 200, 1 + n % 200);
            Endpoint {
                address,
                ..entry(name, status, false)
            }
        };
        harness.change_endpoint(at(&name, EndpointStatus::Serving));
        harness.change_endpoint(entry(&old, EndpointStatus::Draining, false));
        harness.advance(300);
        while let Some((connection, _)) = harness.dispatched() {
            harness.reply(connection, rows("v"), Some(false));
        }
        harness.send_statement(1, VIEW);
        let (connection, _) = harness.dispatched().expect("is sent at once");
        harness.reply(connection, rows("v"), Some(false));
        used.push(connection);
        harness.change_endpoint(entry(&old, EndpointStatus::Deleted, false));
        harness.advance(50);
        old = name;
    }
    let MemberCounts { names, ids, idle } = harness.event_loop.member_counts();
    assert!(names <= 3 && ids <= 3 && idle <= 3, "{names} {ids} {idle}");
    let open = used.iter().filter(|c| harness.is_open(**c)).count();
    assert!(open <= 2, "{open} connections to members that are gone");
}

/// Middleboxes may drop idle connections without a sign: a write on one of them is lost, and may have been executed.
#[test]
fn idle_connections_that_break_shorten_the_idle_lifetime() {
    let (hardly, long) = (TimeSpan::millis(1), TimeSpan::millis(150));
    // (broken in a hundred of those idle for a short time, and for a long time; whether the latter is too long)
    for (young, old, too_long) in [
        (0, 40, true),
        (5, 40, true),
        (0, 10, false),
        (30, 40, false),
        (40, 0, false),
    ] {
        let mut ages = IdleLifetimeEstimator::default();
        for n in 0..100 {
            ages.record(START, hardly, n < young);
            ages.record(START, long, n < old);
        }
        let limit = ages.limit();
        assert_eq!(
            limit.is_some_and(|l| l > hardly && l <= long),
            too_long,
            "{young} {old}"
        );
        // Not for ever: observations lose their weight with time.
        ages.record(START + TimeSpan::millis(30_000), hardly, false);
        assert_eq!(ages.limit(), None);
    }
    let mut pool = ConnectionPool::default();
    let (address, line) = (PRIMARY.parse().expect("is an address"), || {
        ConnectionHandle::to_channel(channel::<MemberCommand>().0)
    });
    for (id, since) in [(1, 0), (2, 100), (3, 200)] {
        pool.add(id, 7, address, line());
        pool.release(id, START + TimeSpan::millis(since));
    }
    let at = |ms| START + TimeSpan::millis(ms);
    assert_eq!(
        pool.take_idle(7, address, at(150)),
        Some(IdleConnection {
            since: at(200),
            id: 3
        }),
        "the one used last"
    );
    assert_eq!(
        (pool.take_idle(7, address, at(150)), pool.count()),
        (None, 1),
        "older ones are closed"
    );
}

#[test]
fn health_check_reports_position_and_role() {
    let mut harness = Harness::new(SETTINGS, 1024, 192 << 20);
    assert!(harness.event_loop.metrics.health_checks_answered > 0);
    let asked = messages::health_check(true);
    assert!(asked.windows(11).any(|w| w == b"SHOW vitals"));
    // The replica leaves an execution unanswered until it is ejected, and gets health checks until it answers.
    harness.connect_client(1);
    harness.send_statement(1, "c=view,d=60000,cluster=1");
    harness.dispatched().expect("is sent at once");
    let before = harness.event_loop.metrics.health_checks_sent;
    harness.advance(3000);
    assert!(harness.event_loop.metrics.health_checks_sent > before);
}
