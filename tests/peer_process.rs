//! Two drivers that serve the same members side by side, as while one takes the other's service over.

mod common;
use asterlatch::interface::*;
use asterlatch::policy::RoutingPolicy;
use common::*;

/// (open elsewhere, whether a write may go out beside the ones that are out)
#[test]
fn peer_in_flight_counts_against_concurrency_limit() {
    for (elsewhere, goes) in [(0, true), (7, true), (8, false), (100, false)] {
        let mut b = bench(&settings(), 1);
        b.driver
            .on_member_update(at(0), 1, MemberUpdate::InFlight(elsewhere));
        assert_eq!(!b.goes(1, WRITE).is_empty(), goes, "{elsewhere} elsewhere");
        // What waits goes out as soon as that has ended, or the other is gone.
        let mut again = bench(&settings(), 1);
        again
            .driver
            .on_member_update(at(0), 1, MemberUpdate::InFlight(elsewhere));
        let (_, r) = again.take(1, WRITE);
        let went = sent_to(&r).len();
        let less = again.driver.on_member_update(at(2), 1, MemberUpdate::InFlight(3));
        let alone = again.driver.set_peer_process(at(3), false);
        assert_eq!(
            went + sent_to(&less).len() + sent_to(&alone).len(),
            1,
            "{elsewhere} elsewhere"
        );
        // A member that isn't known here binds nothing.
        assert!(again
            .driver
            .on_member_update(at(4), 99, MemberUpdate::InFlight(5))
            .executions
            .is_empty());
    }
}

/// Who leaves gets nothing new, and the one beside it may always be full: its last ones go out one by one.
#[test]
fn draining_process_ignores_peer_in_flight() {
    let mut b = bench(&settings(), 1);
    b.driver.set_peer_process(at(0), true);
    b.driver.on_member_update(at(0), 1, MemberUpdate::InFlight(1000));
    assert_eq!(b.goes(1, WRITE), [1], "one");
    assert!(b.goes(2, WRITE).is_empty(), "but not two at once");
    let mut stays = bench(&settings(), 1);
    stays.driver.set_peer_process(at(0), false);
    stays
        .driver
        .on_member_update(at(0), 1, MemberUpdate::InFlight(1000));
    assert!(stays.goes(1, WRITE).is_empty(), "who stays waits");
}

/// How many statements a cold member is sent by both together within a second. It starts once these processes are old
/// enough not to have had a predecessor whose dispatches count as well.
fn sent_cold(yields: bool) -> (usize, usize, usize) {
    const START: u64 = 5000;
    let settings = settings();
    let mut alone = bench(&settings, 1);
    let told = |b: &mut Bench| b.told(START, started(1, at(START)));
    told(&mut alone);
    let (mut old, mut new) = (bench(&settings, 1), bench(&settings, 1));
    [&mut old, &mut new].into_iter().for_each(|b| drop(told(b)));
    old.driver.set_peer_process(at(START + 1), yields);
    new.driver.set_peer_process(at(START + 1), false);
    let mut sent = [0; 3];
    for now in START + 2..START + 1000 {
        for (n, b) in [&mut alone, &mut old, &mut new].into_iter().enumerate() {
            // Whatever waited goes out in its time, and so does a new one.
            let mut r = b.driver.advance_to(at(now));
            r.executions.extend(b.take(now, WRITE).1.executions);
            sent[n] += r.executions.len();
            let mut ends = r.executions;
            while let Some(e) = ends.pop() {
                let end = ended(
                    e.statement,
                    e.member,
                    ExecutionOutcome::Completed,
                    1,
                    seen(now, true),
                );
                let more = b.driver.on_execution_ended(at(now), &end).executions;
                sent[n] += more.len();
                ends.extend(more);
            }
        }
    }
    (sent[0], sent[1], sent[2])
}

#[test]
fn warming_member_gets_from_both_processes_no_more_than_from_one() {
    let (alone, old, new) = sent_cold(true);
    assert_eq!(old, 0, "it is the other's");
    assert!(new > 0 && new <= alone, "{new} of {alone}");
    let (alone, old, new) = sent_cold(false);
    assert!(
        old + new > alone,
        "{old} and {new} against {alone}: or this proves nothing"
    );
}

/// What went out since the memory was written down isn't in it, so it is reckoned with from the first.
#[test]
fn warming_member_after_peer_start_is_charged_as_if_just_used() {
    let settings = settings();
    let mut b = bench(&settings, 1);
    b.told(1, started(1, at(0)));
    let mut quiet = bench(&settings, 1);
    quiet.told(1, started(1, at(0)));
    // Long after, a debt is paid off; one that is new again isn't.
    b.driver.set_peer_process(at(5000), false);
    assert!(b.goes(5001, WRITE).is_empty());
    assert_eq!(quiet.goes(5001, WRITE), [1]);
}

#[test]
fn drain_reported_by_peer_is_kept() {
    // (started here, started there; whether it binds)
    let table = [
        (None, None, true),
        (None, Some(at(10)), true),
        (Some(at(10)), Some(at(10)), true),
        // It has started anew since.
        (Some(at(10)), None, false),
        (Some(at(10)), Some(at(9)), false),
    ];
    for (here, there, binds) in table {
        let s = with(|s| s.cold_start_fraction = 1.0);
        let mut b = bench(&s, 2);
        let plain = member(1);
        b.told(
            20,
            MemberEntry {
                started_at: here,
                ..plain
            },
        );
        b.see(21, 1, 21, true);
        let before = b.goes(25_000, WRITE);
        b.driver
            .on_member_update(at(25_001), 1, MemberUpdate::Draining(there));
        let after = b.goes(25_002, WRITE);
        assert_eq!(before, [1], "{here:?} {there:?}");
        assert_eq!(after.is_empty(), binds, "{here:?} {there:?}");
        // Nor is it probed, nor gets it reads.
        let r = b.run_until(25_003, 26_000);
        assert!(!binds || !r.health_checks.contains(&1), "{here:?} {there:?}");
    }
    let mut nobody = RoutingPolicy::new(&settings(), 1, at(0));
    assert!(nobody
        .on_member_update(at(1), 7, MemberUpdate::Draining(None))
        .executions
        .is_empty());
}
