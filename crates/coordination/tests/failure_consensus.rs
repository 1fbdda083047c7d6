//! Detection of unresponsive members from the reports of several drivers.

use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_coordination::failure_consensus::{
    ConsensusSettings, DelayReport, FailureConsensus, ResponsivenessChange,
};

const MEMBER: &str = "m";

fn at(ms: u64) -> Timestamp {
    Timestamp(10_000_000 + ms * 1000)
}

fn report(sent_ms: u64, reported_ms: u64) -> DelayReport {
    DelayReport {
        sent_at: at(sent_ms),
        reported_at: at(reported_ms),
    }
}

fn consensus(own_id: u64) -> FailureConsensus {
    FailureConsensus::new(own_id, ConsensusSettings::default())
}

/// A view with delay reports of two drivers on the member.
fn reported_by_two(own_id: u64) -> FailureConsensus {
    let mut consensus = consensus(own_id);
    consensus.on_delay_report(MEMBER, 1, report(500, 900));
    consensus.on_delay_report(MEMBER, 2, report(600, 900));
    consensus
}

/// A delay report of one driver, with times in milliseconds.
struct Reported {
    driver: u64,
    sent_ms: u64,
    reported_ms: u64,
}

const fn by(driver: u64, sent_ms: u64, reported_ms: u64) -> Reported {
    Reported {
        driver,
        sent_ms,
        reported_ms,
    }
}

#[test]
fn unresponsive_until_requires_quorum_and_no_later_response() {
    // Response times, delay reports, whether the member is unresponsive at 1000 ms.
    type Case = (&'static [u64], &'static [Reported], bool);
    const CASES: [Case; 9] = [
        (&[], &[by(1, 500, 900), by(2, 600, 900)], true),
        (&[], &[by(1, 500, 900)], false),
        // Several reports of one driver count once.
        (&[], &[by(2, 500, 800), by(2, 550, 850), by(2, 600, 900)], false),
        // A response invalidates the reports of executions sent before it, and no others.
        (&[550], &[by(1, 500, 900), by(2, 600, 900)], false),
        (&[700], &[by(1, 500, 900), by(2, 600, 900)], false),
        (&[400], &[by(1, 500, 900), by(2, 600, 900)], true),
        // A report slightly younger than the report lifetime counts.
        (&[], &[by(1, 500, 900), by(2, 0, 1)], true),
        // Inconsistent times: sent after it was reported.
        (&[950], &[by(1, 2000, 900), by(2, 3000, 900)], false),
        (
            &[],
            &[by(1, 500, 900), by(2, 600, 900), by(3, 600, 900), by(4, 650, 900)],
            true,
        ),
    ];
    for (case, (responses, reports, is_unresponsive)) in CASES.into_iter().enumerate() {
        let mut consensus = consensus(1);
        for at_ms in responses {
            consensus.on_response(MEMBER, at(*at_ms));
        }
        for reported in reports {
            consensus.on_delay_report(
                MEMBER,
                reported.driver,
                report(reported.sent_ms, reported.reported_ms),
            );
        }
        let until = consensus.unresponsive_until(at(1000), MEMBER);
        assert_eq!(until.is_some(), is_unresponsive, "case {case}");
        assert_eq!(consensus.unresponsive_until(at(1000), "other"), None);
    }
}

#[test]
fn unresponsive_until_retry_delay_or_response_ends_period() {
    let mut consensus = reported_by_two(1);
    let until = consensus.unresponsive_until(at(1000), MEMBER);
    let until = until.expect("two drivers reported the member");
    assert!((at(2000)..=at(3000)).contains(&until), "{until:?}");
    let later = consensus.unresponsive_until(at(1500), MEMBER);
    assert_eq!(later, Some(until), "a period keeps its end");
    assert_eq!(
        consensus.unresponsive_until(until, MEMBER),
        None,
        "the same reports start no second period"
    );
    let mut consensus = reported_by_two(1);
    consensus.unresponsive_until(at(1000), MEMBER);
    consensus.on_response(MEMBER, at(1100));
    assert_eq!(consensus.unresponsive_until(at(1100), MEMBER), None);
    // A response before the executions were sent has no effect.
    let mut consensus = reported_by_two(1);
    consensus.on_response(MEMBER, at(100));
    assert!(consensus.unresponsive_until(at(1000), MEMBER).is_some());
}

#[test]
fn take_changes_repeated_call_returns_each_change_once() {
    // The period ends by a response or by time.
    for by_response in [true, false] {
        let mut consensus = reported_by_two(1);
        let changes = consensus.take_changes(at(1000));
        let again = consensus.take_changes(at(1050));
        assert_eq!((changes.len(), again.len()), (1, 0), "{changes:?}");
        if by_response {
            consensus.on_response(MEMBER, at(1100));
        }
        let later = if by_response { at(1100) } else { at(5000) };
        let ended = ResponsivenessChange {
            member: MEMBER.to_owned(),
            unresponsive_until: Timestamp(0),
        };
        assert_eq!(consensus.take_changes(later), [ended]);
        assert!(consensus.take_changes(later).is_empty());
        consensus.expire(at(60_000));
        assert!(consensus.take_changes(at(60_000)).is_empty());
    }
}

/// A single faulty driver must not make a member unresponsive, however many reports it sends.
#[test]
fn on_delay_report_single_faulty_driver_has_no_effect() {
    let mut consensus = consensus(1);
    for n in 0..500 {
        consensus.on_delay_report(MEMBER, 9, report(n, n));
        assert_eq!(consensus.unresponsive_until(at(n), MEMBER), None);
    }
    // Reports on more members than the table holds.
    for n in 0..10_000 {
        consensus.on_delay_report(&format!("m{n}"), 9, report(n, n));
    }
    assert!(consensus.take_changes(at(20_000)).is_empty());
}

/// Drivers must not all retry the member at the same time.
#[test]
fn unresponsive_until_many_drivers_spreads_retries() {
    let mut ends: Vec<Timestamp> = (0..300)
        .map(|own_id| {
            let until = reported_by_two(own_id).unresponsive_until(at(1000), MEMBER);
            until.expect("two drivers reported the member")
        })
        .collect();
    ends.sort();
    let window = TimeSpan::millis(100);
    let within_window = ends.iter().map(|first| {
        let following = ends.iter().filter(|end| *end >= first);
        following.filter(|end| **end - *first < window).count()
    });
    assert!(
        within_window.max().unwrap_or(0) < 60,
        "too many of 300 retries fall within 100 ms of the 1000 ms range"
    );
}
