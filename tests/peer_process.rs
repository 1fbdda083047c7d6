//! Two processes of one driver that serve the same members, as during a handover.

mod common;
use asterlatch::interface::*;
use asterlatch::policy::RoutingPolicy;
use common::*;

#[test]
fn on_member_update_peer_in_flight_counts_against_concurrency_limit() {
    // (executions in flight at the peer, whether a write is dispatched)
    for (peer_in_flight, is_dispatched) in [(0, true), (7, true), (8, false), (100, false)] {
        let mut harness = new_harness(&settings(), 1);
        harness
            .driver
            .on_member_update(at(0), 1, MemberUpdate::InFlight(peer_in_flight));
        assert_eq!(
            !harness.route(1, WRITE).is_empty(),
            is_dispatched,
            "{peer_in_flight} at the peer"
        );
        // A waiting write is dispatched once the peer has fewer executions in flight or is gone.
        let mut again = new_harness(&settings(), 1);
        again
            .driver
            .on_member_update(at(0), 1, MemberUpdate::InFlight(peer_in_flight));
        let (_, actions) = again.submit(1, WRITE);
        let dispatched = sent_to(&actions).len();
        let fewer_in_flight = again.driver.on_member_update(at(2), 1, MemberUpdate::InFlight(3));
        let peer_gone = again.driver.set_peer_process(at(3), false);
        assert_eq!(
            dispatched + sent_to(&fewer_in_flight).len() + sent_to(&peer_gone).len(),
            1,
            "{peer_in_flight} at the peer"
        );
        // Updates about unknown members are ignored.
        assert!(again
            .driver
            .on_member_update(at(4), 99, MemberUpdate::InFlight(5))
            .executions
            .is_empty());
    }
}

/// A draining process sends its last statements one by one, even if the peer is at the limit.
#[test]
fn set_peer_process_draining_process_ignores_peer_in_flight() {
    let mut harness = new_harness(&settings(), 1);
    harness.driver.set_peer_process(at(0), true);
    harness
        .driver
        .on_member_update(at(0), 1, MemberUpdate::InFlight(1000));
    assert_eq!(harness.route(1, WRITE), [1], "first write");
    assert!(
        harness.route(2, WRITE).is_empty(),
        "second write while the first is in flight"
    );
    let mut remaining = new_harness(&settings(), 1);
    remaining.driver.set_peer_process(at(0), false);
    remaining
        .driver
        .on_member_update(at(0), 1, MemberUpdate::InFlight(1000));
    assert!(
        remaining.route(1, WRITE).is_empty(),
        "the remaining process waits"
    );
}

/// Statements sent to a member within a second after its start, by a single process and by two peer
/// processes. The member starts late enough that no predecessor's dispatches count.
fn dispatches_to_warming_member(yields: bool) -> (usize, usize, usize) {
    const START: u64 = 5000;
    let settings = settings();
    let mut single = new_harness(&settings, 1);
    let announce =
        |harness: &mut Harness| harness.update_endpoint(START, started_member(1, remote_at(START)));
    announce(&mut single);
    let (mut draining, mut successor) = (new_harness(&settings, 1), new_harness(&settings, 1));
    [&mut draining, &mut successor]
        .into_iter()
        .for_each(|harness| drop(announce(harness)));
    draining.driver.set_peer_process(at(START + 1), yields);
    successor.driver.set_peer_process(at(START + 1), false);
    let mut sent = [0; 3];
    for now in START + 2..START + 1000 {
        for (process, harness) in [&mut single, &mut draining, &mut successor]
            .into_iter()
            .enumerate()
        {
            let mut actions = harness.driver.advance_to(at(now));
            actions.executions.extend(harness.submit(now, WRITE).1.executions);
            sent[process] += actions.executions.len();
            let mut ends = actions.executions;
            while let Some(execution) = ends.pop() {
                let end = execution_end(
                    execution.statement,
                    execution.member,
                    ExecutionOutcome::Completed,
                    1,
                    replica_status(now, true),
                );
                let more = harness.driver.on_execution_ended(at(now), &end).executions;
                sent[process] += more.len();
                ends.extend(more);
            }
        }
    }
    (sent[0], sent[1], sent[2])
}

#[test]
fn set_peer_process_warming_member_gets_no_more_than_from_one_process() {
    let (single, draining, successor) = dispatches_to_warming_member(true);
    assert_eq!(draining, 0, "warming members are left to the peer");
    assert!(successor > 0 && successor <= single, "{successor} of {single}");
    let (single, draining, successor) = dispatches_to_warming_member(false);
    assert!(
        draining + successor > single,
        "without yielding {draining} and {successor} should exceed {single}"
    );
}

/// Dispatches since the learned state was handed over are not part of it and must be assumed.
#[test]
fn set_peer_process_warming_member_is_charged_as_if_just_used() {
    let settings = settings();
    let mut harness = new_harness(&settings, 1);
    harness.update_endpoint(1, started_member(1, remote_at(0)));
    let mut without_peer = new_harness(&settings, 1);
    without_peer.update_endpoint(1, started_member(1, remote_at(0)));
    // Earlier dispatches no longer count by now, but the assumed one does.
    harness.driver.set_peer_process(at(5000), false);
    assert!(harness.route(5001, WRITE).is_empty());
    assert_eq!(without_peer.route(5001, WRITE), [1]);
}

#[test]
fn on_member_update_drain_applies_unless_member_started_again() {
    // (start known to this driver, start of the draining instance, whether the drain applies)
    let table = [
        (None, None, true),
        (None, Some(remote_at(10)), true),
        (Some(remote_at(10)), Some(remote_at(10)), true),
        // The member has started again since.
        (Some(remote_at(10)), None, false),
        (Some(remote_at(10)), Some(remote_at(9)), false),
    ];
    for (known_start, draining_start, applies) in table {
        let settings = settings_with(|s| s.cold_start_fraction = 1.0);
        let mut harness = new_harness(&settings, 2);
        let entry = member_entry(1);
        harness.update_endpoint(
            20,
            MemberEntry {
                started_at: known_start,
                ..entry
            },
        );
        harness.answer_health_check(21, 1, 21, true);
        let before = harness.route(25_000, WRITE);
        harness
            .driver
            .on_member_update(at(25_001), 1, MemberUpdate::Draining(draining_start));
        let after = harness.route(25_002, WRITE);
        assert_eq!(before, [1], "{known_start:?} {draining_start:?}");
        assert_eq!(after.is_empty(), applies, "{known_start:?} {draining_start:?}");
        // A draining member is not health-checked.
        let actions = harness.run_until(25_003, 26_000);
        assert!(
            !applies || !actions.health_checks.contains(&1),
            "{known_start:?} {draining_start:?}"
        );
    }
    let mut without_members = RoutingPolicy::new(&settings(), 1, at(0));
    assert!(without_members
        .on_member_update(at(1), 7, MemberUpdate::Draining(None))
        .executions
        .is_empty());
}
