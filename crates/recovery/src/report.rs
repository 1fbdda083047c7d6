//! Summary of the assessments of all stored records, by rule.

use crate::trust::{assess, Usability};
use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_gossip::record::{ObservedRecord, Record, RecordKind};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;

/// A record as it was stored.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredRecord {
    /// The record.
    pub record: Record,
    /// When it was written, by the wall clock.
    pub written_at: Timestamp,
}

impl From<ObservedRecord> for StoredRecord {
    fn from(observed: ObservedRecord) -> StoredRecord {
        StoredRecord {
            record: observed.record,
            written_at: observed.observed_at,
        }
    }
}

/// A stored record that may be used.
#[derive(Clone, Debug, PartialEq)]
pub struct UsableRecord {
    /// The record.
    pub record: Record,
    /// The age to assume for it, independent of the wall clock.
    pub age: TimeSpan,
}

/// The records of one kind to which one rule applied.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RuleSummary {
    /// Name of the kind.
    pub kind: &'static str,
    /// Name of the [`Usability`] of the records.
    #[serde(rename = "used")]
    pub usability: &'static str,
    /// Number of records.
    #[serde(rename = "facts")]
    pub records: usize,
    /// Age of the youngest record by the wall clock; `None` if all have times in the future.
    pub youngest_ms: Option<u64>,
    /// Age of the oldest record by the wall clock; `None` if all have times in the future.
    pub oldest_ms: Option<u64>,
    /// Reason of the rule.
    #[serde(rename = "why")]
    pub reason: &'static str,
}

/// Summary of all stored records. Displays as one line for the log.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct RecoveryReport {
    /// One row for each kind, usability and rule, in this order.
    pub rows: Vec<RuleSummary>,
    /// Number of stored records.
    #[serde(rename = "facts")]
    pub records: usize,
    /// Number of records that may be used.
    #[serde(rename = "used")]
    pub usable: usize,
    /// Number of records whose time of writing is in the future, because the wall clock was set.
    #[serde(rename = "from_the_future")]
    pub future_records: usize,
}

impl fmt::Display for RecoveryReport {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let RecoveryReport { usable, records, .. } = self;
        write!(f, "{usable} of {records} stored records are of use still")?;
        if self.future_records > 0 {
            let count = self.future_records;
            write!(
                f,
                ", {count} have a time of writing in the future: the clock was set"
            )?;
        }
        Ok(())
    }
}

/// Result of [`classify`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassifiedRecords {
    /// The usable records, in their stored order.
    pub usable: Vec<UsableRecord>,
    /// Summary of all records.
    pub report: RecoveryReport,
}

/// Identifies and orders the rows of a report.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RowKey {
    kind: RecordKind,
    usability: Usability,
    reason: &'static str,
}

/// Totals of a row's records.
#[derive(Default)]
struct RowTotals {
    records: usize,
    youngest: Option<TimeSpan>,
    oldest: Option<TimeSpan>,
}

impl RowTotals {
    /// Counts a record of this age by the wall clock; `None` if it was written in the future.
    fn add(&mut self, age: Option<TimeSpan>) {
        self.records += 1;
        self.youngest = self.youngest.into_iter().chain(age).min();
        self.oldest = self.oldest.into_iter().chain(age).max();
    }

    fn summary(&self, key: RowKey) -> RuleSummary {
        let milliseconds = |span: TimeSpan| span.0 / 1000;
        RuleSummary {
            kind: key.kind.name(),
            usability: key.usability.name(),
            records: self.records,
            youngest_ms: self.youngest.map(milliseconds),
            oldest_ms: self.oldest.map(milliseconds),
            reason: key.reason,
        }
    }
}

/// Assesses all stored records. `now`, by the wall clock, only affects the reported ages, not the
/// assessments.
pub fn classify(records: impl IntoIterator<Item = StoredRecord>, now: Timestamp) -> ClassifiedRecords {
    let mut rows: BTreeMap<RowKey, RowTotals> = BTreeMap::new();
    let mut classified = ClassifiedRecords::default();
    let report = &mut classified.report;
    for StoredRecord { record, written_at } in records {
        let assessment = assess(&record);
        let key = RowKey {
            kind: record.kind(),
            usability: assessment.usability,
            reason: assessment.reason,
        };
        let clock_age = (written_at <= now).then(|| now - written_at);
        rows.entry(key).or_default().add(clock_age);
        report.records += 1;
        report.future_records += usize::from(clock_age.is_none());
        if let Some(age) = assessment.age {
            report.usable += 1;
            classified.usable.push(UsableRecord { record, age });
        }
    }
    report.rows = rows.iter().map(|(key, totals)| totals.summary(*key)).collect();
    classified
}
