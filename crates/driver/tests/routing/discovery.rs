//! Requests to discovery, and the endpoint lists that it answers.

use super::harness::{entry, group, list, with_client, Harness, SETTINGS, START, VIEW};
use asterlatch::time::TimeSpan;
use asterlatch_driver::protocol::discovery_watch::{DiscoveryEvent, DiscoveryMessage};
use asterlatch_driver::protocol::endpoint_list::EndpointStatus;
use asterlatch_driver::routing::discovery_requests::DiscoveryRequests;
use asterlatch_driver::routing::events::Event;
use asterlatch_driver::routing::limits::Limits;
use asterlatch_driver::routing::runtime_config::RuntimeConfig;
use std::sync::mpsc::TryRecvError;

#[test]
fn discovery_failure_keeps_the_last_list() {
    let mut harness = with_client();
    let hear = |harness: &mut Harness, request, event| {
        harness
            .event_loop
            .on_event(harness.now, Event::from(DiscoveryMessage { request, event }))
    };
    assert_eq!(
        (
            harness.called.borrow().len(),
            harness.called.borrow()[0].0.known_version
        ),
        (1, None),
        "the complete list first"
    );
    hear(&mut harness, 1, DiscoveryEvent::Listed(group()));
    hear(&mut harness, 1, DiscoveryEvent::Unreadable);
    hear(&mut harness, 1, DiscoveryEvent::Closed);
    harness.advance(99);
    assert_eq!(harness.called.borrow().len(), 1, "not without a backoff");
    harness.advance(1);
    assert_eq!(
        harness.called.borrow()[1].0.known_version,
        Some(1),
        "only what is newer"
    );
    // Events of an earlier request must not end the current one, nor change the list.
    hear(&mut harness, 1, DiscoveryEvent::Closed);
    hear(&mut harness, 1, DiscoveryEvent::Listed(list(9, Vec::new())));
    harness.send_statement(1, VIEW);
    assert!(harness.dispatched().is_some());
    harness.advance(2900);
    assert_eq!(harness.called.borrow().len(), 2, "a watch may wait");
    harness.advance(400);
    assert!(
        harness.called.borrow().len() > 2,
        "but not for ever without a change"
    );
    // Each consecutive failure increases the backoff.
    let before = harness.called.borrow().len() as u32;
    let mut pauses = Vec::new();
    for n in 0..6 {
        hear(&mut harness, before + n, DiscoveryEvent::Closed);
        pauses.push((harness.event_loop.next_at() - harness.now).0 / 1000);
        harness.advance(2000);
    }
    assert!(
        pauses.windows(2).all(|p| p[0] <= p[1]) && pauses.last() > pauses.first(),
        "{pauses:?}"
    );
    // An entry whose address can't be parsed is skipped; an empty change changes nothing.
    let mut lost = entry("lost", EndpointStatus::Serving, false);
    lost.address = "nowhere".to_owned();
    harness.change_endpoint(lost);
    assert_eq!(harness.event_loop.metrics.endpoints_skipped, 1);
}

/// A reloaded configuration may name another address for discovery. Events of the former connection are ignored from
/// then on, and its version means nothing at the new address.
#[test]
fn discovery_address_change_requests_the_complete_list() {
    let asked = SETTINGS.replacen('{', r#"{"discovery":"ask","#, 1);
    for settings in [SETTINGS, &asked] {
        let mut harness = Harness::new(settings, 1024, 192 << 20);
        let hear = |harness: &mut Harness, request, event| {
            harness
                .event_loop
                .on_event(harness.now, Event::from(DiscoveryMessage { request, event }))
        };
        hear(&mut harness, 1, DiscoveryEvent::Listed(group()));
        let mut given = RuntimeConfig {
            discovery: harness.called.borrow()[0].0.address,
            max_descriptors: 1024,
            max_memory: 192 << 20,
        };
        harness.event_loop.set_config(harness.now, given);
        harness.advance(0);
        assert_eq!(
            harness.called.borrow().len(),
            1,
            "the same address: the watch continues"
        );
        given.discovery = "10.0.1.2:80".parse().expect("is an address");
        // The same change twice in a row must not make two requests.
        harness.event_loop.set_config(harness.now, given);
        harness.event_loop.set_config(harness.now, given);
        harness.advance(0);
        let calls: Vec<_> = harness
            .called
            .borrow()
            .iter()
            .map(|(c, _)| (c.address, c.known_version))
            .collect();
        assert_eq!(
            calls[1..],
            [(given.discovery, None)],
            "at once, and the complete list"
        );
        assert!(matches!(
            harness.called.borrow()[0].1.try_recv(),
            Err(TryRecvError::Disconnected)
        ));
        hear(&mut harness, 1, DiscoveryEvent::Listed(list(9, Vec::new())));
        hear(&mut harness, 1, DiscoveryEvent::Closed);
        harness.connect_client(1);
        harness.send_statement(1, VIEW);
        assert!(
            harness.dispatched().is_some(),
            "the known list applies until the new address answers"
        );
    }
}

#[test]
fn polled_list_is_requested_when_the_policy_asks() {
    let asks = SETTINGS.replacen(
        '{',
        r#"{"discovery":"ask","rules":{"ask_within_us":10000000},"#,
        1,
    );
    let mut harness = Harness::new(&asks, 1024, 192 << 20);
    assert_eq!(harness.called.borrow().len(), 1, "at the start");
    harness.event_loop.on_event(
        harness.now,
        Event::from(DiscoveryMessage {
            request: 1,
            event: DiscoveryEvent::Closed,
        }),
    );
    harness.advance(30);
    assert_eq!(harness.called.borrow().len(), 1, "not by the backoff of a watch");
    harness.advance(70);
    assert_eq!(
        harness.called.borrow().len(),
        2,
        "soon, for changes are missed meanwhile"
    );
}

/// Polling costs discovery work: what is known from before is not requested again, unless discovery does not know that
/// version. A watch requests the complete list.
#[test]
fn polled_list_is_first_requested_from_the_known_version() {
    let asks = SETTINGS.replacen(
        '{',
        r#"{"discovery":"ask","rules":{"ask_within_us":10000000},"#,
        1,
    );
    for (settings, first) in [(asks.as_str(), Some(1)), (SETTINGS, None)] {
        let mut harness = Harness::knowing(settings, 1024, 192 << 20);
        let after = |harness: &Harness| harness.called.borrow().last().map(|(call, _)| call.known_version);
        assert_eq!(after(&harness), Some(first));
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
            (harness.called.borrow().len() > 1, after(&harness)),
            (true, Some(None))
        );
    }
}

/// What this host lacks to connect is no reason to spare discovery.
#[test]
fn failure_of_this_host_does_not_lengthen_the_backoff() {
    let limits = Limits::default();
    let longest_after = |code| {
        let dial = Box::new(move |_| Err(std::io::Error::from_raw_os_error(code)));
        let address = "10.0.1.1:80".parse().expect("is an address");
        let mut requests = DiscoveryRequests::new(dial, address, false, limits, START);
        let mut now = START;
        let mut longest = TimeSpan(0);
        for _ in 0..10 {
            assert!(requests.take_due(now) && !requests.request(now) && !requests.on_failed(now));
            let next = requests.next_at().expect("is tried again");
            longest = longest.max(next - now);
            now = next;
        }
        longest
    };
    assert_eq!(longest_after(libc::EMFILE), limits.initial_backoff);
    assert_eq!(longest_after(libc::EADDRNOTAVAIL), limits.initial_backoff);
    assert_eq!(longest_after(libc::ECONNREFUSED), limits.max_backoff);
}
