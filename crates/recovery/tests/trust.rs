//! What stored records may be used for: every kind, by how long ago it was written and whether the clock can
//! be believed.

mod common;

use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_gossip::record::ALL_KINDS;
use asterlatch_recovery::trust::{assess, Usability};
use common::{records, DRAIN, MEMBER, NOW, SESSION};

const SECOND: TimeSpan = TimeSpan::millis(1000);
const MINUTE: TimeSpan = TimeSpan::millis(60_000);
const TEN_MINUTES: TimeSpan = TimeSpan::millis(600_000);
const HOUR: TimeSpan = TimeSpan::millis(3_600_000);
const DAY: TimeSpan = TimeSpan::millis(86_400_000);
const MONTH: TimeSpan = TimeSpan::millis(30 * 86_400_000);

#[test]
fn assess_each_kind_by_its_age() {
    use Usability::*;
    // By record: a second ago, ten minutes ago, a month ago, and with a clock that went back.
    let expected: [[Usability; 4]; 10] = [
        [Immediate, Never, Never, Immediate],
        [Immediate, Never, Never, Immediate],
        [Never; 4],
        [LowerBound, Never, Never, LowerBound],
        [Immediate, Never, Never, Immediate],
        [AfterMemberReport, Never, Never, Never],
        [Never; 4],
        [Never; 4],
        [Never; 4],
        [Never; 4],
    ];
    let times = [
        NOW - SECOND,
        NOW - TEN_MINUTES,
        NOW - MONTH,
        NOW + TimeSpan::millis(1),
    ];
    let records = records();
    let has_kind = |kind| records.iter().any(|record| record.kind() == kind);
    assert!(
        ALL_KINDS.iter().all(|kind| has_kind(*kind)),
        "every kind has its rows"
    );
    for (record, row) in records.iter().zip(expected) {
        for (written_at, usability) in times.into_iter().zip(row) {
            let assessment = assess(record, written_at, NOW);
            let reason = assessment.reason;
            assert_eq!(
                assessment.usability, usability,
                "{record:?} {written_at:?}: {reason}"
            );
            assert_eq!(assessment.age.is_some(), usability != Never, "{record:?}");
        }
    }
}

/// A clock that went back makes nothing young that was not, but what binds counts as received just now. A
/// clock that shows 1970 is one that went back.
#[test]
fn assess_clock_went_back_uses_no_member_report() {
    for now in [NOW - MINUTE, Timestamp(0), Timestamp(0) + DAY] {
        for record in records() {
            let assessment = assess(&record, NOW, now);
            assert!(
                matches!(assessment.age, None | Some(TimeSpan(0))),
                "{record:?} {assessment:?}"
            );
            assert_ne!(assessment.usability, Usability::AfterMemberReport, "{record:?}");
        }
    }
}

/// All that ages has expired, and that breaks no rule but drains, which discovery lists again.
#[test]
fn assess_clock_a_day_ahead_uses_nothing() {
    let usability = |record| assess(record, NOW, NOW + DAY).usability;
    let records = records();
    assert!(records.iter().all(|record| usability(record) == Usability::Never));
}

#[test]
fn assess_unknown_time_counts_as_the_worse_age() {
    let records = records();
    let member = &records[MEMBER];
    let drain = &records[DRAIN];
    let session = &records[SESSION];
    // The record, when it was written, how old it counts as.
    let cases = [
        (member, NOW - SECOND, Some(SECOND)),
        (member, NOW - HOUR, None),
        (drain, NOW - HOUR, None),
        (session, NOW - SECOND, Some(SECOND)),
        (session, NOW - MONTH, None),
        // The clock was set back since: nobody knows how long ago that was.
        (member, NOW + HOUR, None),
        (drain, NOW + HOUR, Some(TimeSpan(0))),
        (session, NOW + MONTH, Some(TimeSpan(0))),
    ];
    for (record, written_at, age) in cases {
        assert_eq!(
            assess(record, written_at, NOW).age,
            age,
            "{record:?} {written_at:?}"
        );
    }
}
