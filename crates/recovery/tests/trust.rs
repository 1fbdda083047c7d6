//! Usability of stored records of every kind, independent of the wall clock.

mod common;

use asterlatch::time::TimeSpan;
use asterlatch_gossip::record::ALL_KINDS;
use asterlatch_recovery::report::{classify, StoredRecord};
use asterlatch_recovery::trust::{assess, Usability};
use common::{records, MEMBER, NOW};

const SECOND: TimeSpan = TimeSpan::millis(1000);
const HOUR: TimeSpan = TimeSpan::millis(3_600_000);
const MONTH: TimeSpan = TimeSpan::millis(30 * 86_400_000);

#[test]
fn assess_each_kind_yields_its_usability() {
    use Usability::*;
    let expected = [
        Immediate,
        Immediate,
        Never,
        LowerBound,
        Immediate,
        AfterMemberReport,
        Never,
        Never,
        Never,
        Never,
    ];
    let records = records();
    let has_kind = |kind| records.iter().any(|record| record.kind() == kind);
    assert!(
        ALL_KINDS.iter().all(|kind| has_kind(*kind)),
        "a kind has no record in this test"
    );
    assert_eq!(records.len(), expected.len());
    for (record, usability) in records.iter().zip(expected) {
        let assessment = assess(record);
        assert_eq!(assessment.usability, usability, "{record:?}");
        assert_eq!(assessment.age.is_some(), usability != Never, "{record:?}");
    }
}

/// Guards against a set wall clock: set ahead, it must not expire recent drains and sessions; set back, it
/// must not make an old position look new.
#[test]
fn classify_any_wall_clock_time_yields_same_records() {
    let classified_at = |written_at| {
        let stored = records()
            .into_iter()
            .map(|record| StoredRecord { record, written_at });
        classify(stored, NOW).usable
    };
    let expected = classified_at(NOW);
    assert_eq!(expected.len(), 5);
    for written_at in [NOW - SECOND, NOW - HOUR, NOW - MONTH, NOW + SECOND, NOW + MONTH] {
        assert_eq!(classified_at(written_at), expected, "{written_at:?}");
    }
}

/// Restricting records apply for as long as possible; a member's position and role must not prove it
/// available.
#[test]
fn assess_restricting_record_is_new_and_hint_is_old() {
    let records = records();
    for (index, record) in records.iter().enumerate() {
        let Some(age) = assess(record).age else { continue };
        if index == MEMBER {
            let time_to_live = record.kind().time_to_live();
            assert!(age >= time_to_live * 0.5 && age < time_to_live, "{age:?}");
        } else {
            assert_eq!(age, TimeSpan(0), "{record:?}");
        }
    }
}
