//! Members that several drivers find unresponsive together.

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

/// A view in which two drivers have reported the member.
fn reported_by_two(own_id: u64) -> FailureConsensus {
    let mut consensus = consensus(own_id);
    consensus.on_delay_report(MEMBER, 1, report(500, 900));
    consensus.on_delay_report(MEMBER, 2, report(600, 900));
    consensus
}

/// A driver's report: when its execution was sent and when it reported that, in milliseconds.
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
fn unresponsive_until_takes_two_drivers_and_no_response_since() {
    // When the member responded; what was reported; whether it is unresponsive at 1000.
    type Case = (&'static [u64], &'static [Reported], bool);
    const CASES: [Case; 9] = [
        (&[], &[by(1, 500, 900), by(2, 600, 900)], true),
        (&[], &[by(1, 500, 900)], false),
        // One driver that reports it often is one.
        (&[], &[by(2, 500, 800), by(2, 550, 850), by(2, 600, 900)], false),
        // It responded since the one was sent, or since both were.
        (&[550], &[by(1, 500, 900), by(2, 600, 900)], false),
        (&[700], &[by(1, 500, 900), by(2, 600, 900)], false),
        (&[400], &[by(1, 500, 900), by(2, 600, 900)], true),
        // A report of just under a lifetime ago still counts.
        (&[], &[by(1, 500, 900), by(2, 0, 1)], true),
        // Sent after it was reported: nobody can have seen that.
        (&[950], &[by(1, 2000, 900), by(2, 3000, 900)], false),
        (
            &[],
            &[by(1, 500, 900), by(2, 600, 900), by(3, 600, 900), by(4, 650, 900)],
            true,
        ),
    ];
    for (n, (responses, reports, is_unresponsive)) in CASES.into_iter().enumerate() {
        let mut consensus = consensus(1);
        for at_ms in responses {
            consensus.on_response(MEMBER, at(*at_ms));
        }
        for r in reports {
            consensus.on_delay_report(MEMBER, r.driver, report(r.sent_ms, r.reported_ms));
        }
        let until = consensus.unresponsive_until(at(1000), MEMBER);
        assert_eq!(until.is_some(), is_unresponsive, "case {n}");
        assert_eq!(consensus.unresponsive_until(at(1000), "other"), None);
    }
}

#[test]
fn unresponsive_until_ends_by_itself_and_by_a_response() {
    let mut consensus = reported_by_two(1);
    let until = consensus.unresponsive_until(at(1000), MEMBER);
    let until = until.expect("is unresponsive");
    assert!((at(2000)..=at(3000)).contains(&until), "{until:?}");
    let later = consensus.unresponsive_until(at(1500), MEMBER);
    assert_eq!(later, Some(until), "one finding");
    assert_eq!(
        consensus.unresponsive_until(until, MEMBER),
        None,
        "the same reports prove nothing again"
    );
    let mut consensus = reported_by_two(1);
    consensus.unresponsive_until(at(1000), MEMBER);
    consensus.on_response(MEMBER, at(1100));
    assert_eq!(consensus.unresponsive_until(at(1100), MEMBER), None);
    // An older response ends nothing.
    let mut consensus = reported_by_two(1);
    consensus.on_response(MEMBER, at(100));
    assert!(consensus.unresponsive_until(at(1000), MEMBER).is_some());
}

#[test]
fn take_changes_says_each_change_once() {
    // Its end comes by a response or by time.
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

/// A driver that reports nonsense moves nothing alone; it may be the second of two, where another reports
/// truly.
#[test]
fn on_late_report_nonsense_of_one_driver_moves_nothing() {
    let mut consensus = consensus(1);
    for n in 0..500 {
        consensus.on_delay_report(MEMBER, 9, report(n, n));
        assert_eq!(consensus.unresponsive_until(at(n), MEMBER), None);
    }
    // And its reports fill nothing up.
    for n in 0..10_000 {
        consensus.on_delay_report(&format!("m{n}"), 9, report(n, n));
    }
    assert!(consensus.take_changes(at(20_000)).is_empty());
}

/// Three hundred drivers try again one after another.
#[test]
fn unresponsive_until_spreads_retries_over_drivers() {
    let mut ends: Vec<Timestamp> = (0..300)
        .map(|own_id| {
            let until = reported_by_two(own_id).unresponsive_until(at(1000), MEMBER);
            until.expect("is unresponsive")
        })
        .collect();
    ends.sort();
    let tenth = TimeSpan::millis(100);
    let within_tenth = ends.iter().map(|first| {
        let following = ends.iter().filter(|end| *end >= first);
        following.filter(|end| **end - *first < tenth).count()
    });
    assert!(
        within_tenth.max().unwrap_or(0) < 60,
        "a tenth of the time has about a tenth of them"
    );
}
