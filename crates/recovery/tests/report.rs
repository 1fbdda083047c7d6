//! The recovery report counts every stored record exactly once.

mod common;

use asterlatch::time::TimeSpan;
use asterlatch_recovery::report::{classify, StoredRecord};
use common::{records, NOW};

#[test]
fn classify_counts_every_record_once() {
    let records = records();
    let written_times = [
        NOW - TimeSpan::millis(1000),
        NOW - TimeSpan::millis(3000),
        NOW + TimeSpan::millis(5),
    ];
    let stored = records.iter().flat_map(|record| {
        written_times.map(|written_at| StoredRecord {
            record: record.clone(),
            written_at,
        })
    });
    let count = records.len() * written_times.len();
    let classified = classify(stored, NOW);
    let report = &classified.report;
    assert_eq!((report.records, report.future_records), (count, records.len()));
    let counted_in_rows: usize = report.rows.iter().map(|row| row.records).sum();
    assert_eq!(counted_in_rows, count);
    assert_eq!(classified.usable.len(), report.usable);
    let mut rows = report.rows.iter();
    let drains = rows.find(|row| row.kind == "drain" && row.usability == "at once");
    let drains = drains.expect("the report has a row of usable drains");
    assert_eq!(
        (drains.records, drains.youngest_ms, drains.oldest_ms),
        (6, Some(1000), Some(3000))
    );
    let line = report.to_string();
    assert!(line.ends_with("the clock was set"), "{line}");
}

#[test]
fn classify_nothing_stored_reports_zero() {
    assert_eq!(
        classify([], NOW).report.to_string(),
        "0 of 0 stored records are of use still"
    );
}
