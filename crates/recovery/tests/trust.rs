//! What stored records may be used for: every kind, whatever the wall clock showed when it was written or shows now.

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
fn assess_each_kind() {
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
        "every kind has its rows"
    );
    assert_eq!(records.len(), expected.len());
    for (record, usability) in records.iter().zip(expected) {
        let assessment = assess(record);
        assert_eq!(assessment.usability, usability, "{record:?}");
        assert_eq!(assessment.age.is_some(), usability != Never, "{record:?}");
    }
}

/// A clock that was set an hour ahead after a crash made a drain of a second ago, and what a session wrote, look expired; one
/// that was set back made an old position look new.
#[test]
fn stored_records_are_used_alike_whatever_clocks_show() {
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

/// What binds binds for as long as it can. A member's position and role only help: they prove nobody alive.
#[test]
fn binding_records_are_new_and_hints_are_old() {
    let records = records();
    for (index, record) in records.iter().enumerate() {
        let Some(age) = assess(record).age else { continue };
        if index == MEMBER {
            let lifetime = record.kind().time_to_live();
            assert!(age >= lifetime * 0.5 && age < lifetime, "{age:?}");
        } else {
            assert_eq!(age, TimeSpan(0), "{record:?}");
        }
    }
}
