//! Discovery requests and the endpoint lists that they return.

use super::harness::{
    endpoint, endpoint_list, harness_with_client, primary_and_replica, Harness, READ, SETTINGS, START,
};
use asterlatch::time::TimeSpan;
use asterlatch_driver::protocol::discovery_watch::{DiscoveryEvent, DiscoveryMessage};
use asterlatch_driver::protocol::endpoint_list::EndpointStatus;
use asterlatch_driver::routing::discovery_requests::DiscoveryRequests;
use asterlatch_driver::routing::events::Event;
use asterlatch_driver::routing::limits::Limits;
use asterlatch_driver::routing::runtime_config::RuntimeConfig;
use std::sync::mpsc::TryRecvError;

#[test]
fn discovery_failure_leaves_the_last_list_in_force() {
    let mut harness = harness_with_client();
    let send_event = |harness: &mut Harness, request, event| {
        harness
            .event_loop
            .on_event(harness.now, Event::from(DiscoveryMessage { request, event }))
    };
    assert_eq!(
        (
            harness.requests.borrow().len(),
            harness.requests.borrow()[0].0.known_version
        ),
        (1, None),
        "the complete list is requested first"
    );
    send_event(&mut harness, 1, DiscoveryEvent::Listed(primary_and_replica()));
    send_event(&mut harness, 1, DiscoveryEvent::Unreadable);
    send_event(&mut harness, 1, DiscoveryEvent::Closed);
    harness.advance(99);
    assert_eq!(
        harness.requests.borrow().len(),
        1,
        "the retry waits for the backoff"
    );
    harness.advance(1);
    assert_eq!(
        harness.requests.borrow()[1].0.known_version,
        Some(1),
        "only newer changes are requested"
    );
    // Events of an earlier request must neither end the current one nor change the list.
    send_event(&mut harness, 1, DiscoveryEvent::Closed);
    send_event(
        &mut harness,
        1,
        DiscoveryEvent::Listed(endpoint_list(9, Vec::new())),
    );
    harness.send_statement(1, READ);
    assert!(harness.next_query().is_some());
    harness.advance(2900);
    assert_eq!(harness.requests.borrow().len(), 2, "a watch may wait for changes");
    harness.advance(400);
    assert!(
        harness.requests.borrow().len() > 2,
        "a watch without a response times out"
    );
    // Each consecutive failure increases the backoff.
    let first_request = harness.requests.borrow().len() as u32;
    let mut backoffs_ms = Vec::new();
    for failure in 0..6 {
        send_event(&mut harness, first_request + failure, DiscoveryEvent::Closed);
        backoffs_ms.push((harness.event_loop.next_at() - harness.now).0 / 1000);
        harness.advance(2000);
    }
    assert!(
        backoffs_ms.windows(2).all(|pair| pair[0] <= pair[1]) && backoffs_ms.last() > backoffs_ms.first(),
        "{backoffs_ms:?}"
    );
    // An entry whose address cannot be parsed is skipped.
    let mut unparsable = endpoint("lost", EndpointStatus::Serving, false);
    unparsable.address = "nowhere".to_owned();
    harness.change_endpoint(unparsable);
    assert_eq!(harness.event_loop.metrics.endpoints_skipped, 1);
}

/// Guards against an address that is never learned from: each request for the complete list was given up after
/// the same second and made again, while the answers took longer.
#[test]
fn discovery_slow_complete_list_is_learned() {
    const ANSWER_TIME_MS: u64 = 1500;
    let polled = SETTINGS.replacen('{', r#"{"discovery":"ask","#, 1);
    for settings in [SETTINGS, &polled] {
        let mut harness = Harness::without_members(settings, 1024, 192 << 20);
        let (mut latest, mut requested_at) = (0, START);
        while harness.event_loop.metrics.endpoint_lists_applied == 0 {
            assert!(
                harness.now - START < TimeSpan::millis(10_000),
                "no list is learned"
            );
            let request = harness.requests.borrow().len() as u32;
            if request != latest {
                (latest, requested_at) = (request, harness.now);
            }
            if harness.now - requested_at == TimeSpan::millis(ANSWER_TIME_MS) {
                let event = DiscoveryEvent::Listed(primary_and_replica());
                let message = DiscoveryMessage { request, event };
                harness.event_loop.on_event(harness.now, Event::from(message));
            }
            harness.advance(10);
        }
        let requests = harness.requests.borrow();
        assert!(requests
            .iter()
            .all(|(request, _)| request.known_version.is_none()));
        assert_eq!(requests.len(), 2, "the second request is given more time");
    }
}

/// Versions and events of the previous address are not valid after a change of the discovery address.
#[test]
fn discovery_address_change_requests_the_complete_list() {
    let polled = SETTINGS.replacen('{', r#"{"discovery":"ask","#, 1);
    for settings in [SETTINGS, &polled] {
        let mut harness = Harness::new(settings, 1024, 192 << 20);
        let send_event = |harness: &mut Harness, request, event| {
            harness
                .event_loop
                .on_event(harness.now, Event::from(DiscoveryMessage { request, event }))
        };
        send_event(&mut harness, 1, DiscoveryEvent::Listed(primary_and_replica()));
        let mut config = RuntimeConfig {
            discovery: harness.requests.borrow()[0].0.address,
            max_descriptors: 1024,
            max_memory: 192 << 20,
        };
        harness.event_loop.set_config(harness.now, config);
        harness.advance(0);
        assert_eq!(
            harness.requests.borrow().len(),
            1,
            "with the same address, the watch continues"
        );
        config.discovery = "10.0.1.2:80".parse().expect("parse the address");
        // A repeated change must not cause a second request.
        harness.event_loop.set_config(harness.now, config);
        harness.event_loop.set_config(harness.now, config);
        harness.advance(0);
        let requests: Vec<_> = harness
            .requests
            .borrow()
            .iter()
            .map(|(request, _)| (request.address, request.known_version))
            .collect();
        assert_eq!(
            requests[1..],
            [(config.discovery, None)],
            "the complete list is requested immediately"
        );
        assert!(matches!(
            harness.requests.borrow()[0].1.try_recv(),
            Err(TryRecvError::Disconnected)
        ));
        send_event(
            &mut harness,
            1,
            DiscoveryEvent::Listed(endpoint_list(9, Vec::new())),
        );
        send_event(&mut harness, 1, DiscoveryEvent::Closed);
        harness.connect_client(1);
        harness.send_statement(1, READ);
        assert!(
            harness.next_query().is_some(),
            "the last list stays in force until the new address responds"
        );
    }
}

#[test]
fn failed_poll_is_retried_when_the_policy_asks() {
    let polled = SETTINGS.replacen(
        '{',
        r#"{"discovery":"ask","rules":{"ask_within_us":10000000},"#,
        1,
    );
    let mut harness = Harness::new(&polled, 1024, 192 << 20);
    assert_eq!(
        harness.requests.borrow().len(),
        1,
        "the first poll is sent at startup"
    );
    harness.event_loop.on_event(
        harness.now,
        Event::from(DiscoveryMessage {
            request: 1,
            event: DiscoveryEvent::Closed,
        }),
    );
    harness.advance(30);
    assert_eq!(
        harness.requests.borrow().len(),
        1,
        "the backoff of watches does not apply"
    );
    harness.advance(70);
    assert_eq!(
        harness.requests.borrow().len(),
        2,
        "the policy retries soon, because changes are missed meanwhile"
    );
}

/// To spare discovery work, the first poll requests only changes, unless discovery does not have the known
/// version. A watch requests the complete list.
#[test]
fn first_poll_requests_changes_after_the_known_version() {
    let polled = SETTINGS.replacen(
        '{',
        r#"{"discovery":"ask","rules":{"ask_within_us":10000000},"#,
        1,
    );
    for (settings, expected) in [(polled.as_str(), Some(1)), (SETTINGS, None)] {
        let mut harness = Harness::with_known_list(settings, 1024, 192 << 20);
        let version = |harness: &Harness| harness.requests.borrow().last().map(|(r, _)| r.known_version);
        assert_eq!(version(&harness), Some(expected));
        harness.event_loop.on_event(
            harness.now,
            Event::from(DiscoveryMessage {
                request: 1,
                event: DiscoveryEvent::Outdated,
            }),
        );
        harness.event_loop.on_event(
            harness.now,
            Event::from(DiscoveryMessage {
                request: 1,
                event: DiscoveryEvent::Closed,
            }),
        );
        harness.advance(1600);
        assert_eq!(
            (harness.requests.borrow().len() > 1, version(&harness)),
            (true, Some(None))
        );
    }
}

/// Local failures put no load on discovery, so they must not delay retries.
#[test]
fn local_failure_does_not_increase_the_backoff() {
    let limits = Limits::default();
    let max_backoff_after = |code| {
        let dial = Box::new(move |_| Err(std::io::Error::from_raw_os_error(code)));
        let address = "10.0.1.1:80".parse().expect("parse the address");
        let mut requests = DiscoveryRequests::new(dial, address, false, None, limits, START);
        let mut now = START;
        let mut max_backoff = TimeSpan(0);
        for _ in 0..10 {
            assert!(requests.take_due(now) && !requests.request(now) && !requests.on_failed(now));
            let next = requests.next_at().expect("a retry is scheduled");
            max_backoff = max_backoff.max(next - now);
            now = next;
        }
        max_backoff
    };
    assert_eq!(max_backoff_after(libc::EMFILE), limits.initial_backoff);
    assert_eq!(max_backoff_after(libc::EADDRNOTAVAIL), limits.initial_backoff);
    assert_eq!(max_backoff_after(libc::ECONNREFUSED), limits.max_backoff);
}

/// Guards against drains that are learned too late: behind an outage of discovery, watches waited for up to two
/// seconds, whatever drain grace period the deployment has.
#[test]
fn discovery_outage_leaves_no_longer_gap_than_drains_allow() {
    const DRAIN_GRACE_MS: u64 = 250;
    let settings = SETTINGS.replacen('{', r#"{"rules":{"drain_grace_us":250000},"#, 1);
    let closed = |harness: &mut Harness| {
        let request = harness.requests.borrow().len() as u32;
        let event = DiscoveryEvent::Closed;
        let message = DiscoveryMessage { request, event };
        harness.event_loop.on_event(harness.now, Event::from(message));
    };
    // A silent address leaves requests without an answer; another one closes them.
    for is_silent in [true, false] {
        let mut harness = Harness::new(&settings, 1024, 192 << 20);
        let (mut gap_ms, mut longest_gap_ms) = (0, 0);
        while harness.now - START < TimeSpan::millis(30_000) {
            if !is_silent {
                closed(&mut harness);
            }
            harness.advance(1);
            let requests = harness.requests.borrow();
            let (_, latest) = requests.last().expect("a request was made at the start");
            let is_open = matches!(latest.try_recv(), Err(TryRecvError::Empty));
            gap_ms = if is_open { 0 } else { gap_ms + 1 };
            longest_gap_ms = longest_gap_ms.max(gap_ms);
        }
        assert!(
            longest_gap_ms <= DRAIN_GRACE_MS / 2,
            "without a request for {longest_gap_ms} ms, silent: {is_silent}"
        );
        let count = harness.requests.borrow().len();
        assert!(count < 1000, "{count} requests in 30 s");
    }
}
