//! Summary, by rule, of what a start made of the records that it found.

use crate::trust::{assess, Usability};
use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_gossip::record::{ObservedRecord, Record, RecordKind};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;

/// A record as it was found.
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

/// A stored record that is of use.
#[derive(Clone, Debug, PartialEq)]
pub struct UsableRecord {
    /// The record.
    pub record: Record,
    /// How old it counts as.
    pub age: TimeSpan,
}

/// The records of one kind that one rule decided on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RuleSummary {
    /// Name of the kind.
    pub kind: &'static str,
    /// What the records may be used for.
    #[serde(rename = "used")]
    pub usability: &'static str,
    /// How many there are.
    #[serde(rename = "facts")]
    pub records: usize,
    /// Age of the youngest in milliseconds, by the wall clock; nothing where all are from the future.
    pub youngest_ms: Option<u64>,
    /// Age of the oldest in milliseconds.
    pub oldest_ms: Option<u64>,
    /// The rule.
    #[serde(rename = "why")]
    pub reason: &'static str,
}

/// What a start made of all records it found. Displays as one line for the log.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct RecoveryReport {
    /// By kind, usability and rule.
    pub rows: Vec<RuleSummary>,
    /// How many records were found.
    #[serde(rename = "facts")]
    pub records: usize,
    /// How many of them are of use.
    #[serde(rename = "used")]
    pub usable: usize,
    /// How many of them were written at a time that is still to come.
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
                ", {count} were written in a time that is still to come: the clock was set"
            )?;
        }
        Ok(())
    }
}

/// What [`classify`] makes of stored records.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassifiedRecords {
    /// Those that are of use, in the order in which they were found.
    pub usable: Vec<UsableRecord>,
    /// What was made of all.
    pub report: RecoveryReport,
}

/// Rows are ordered and told apart by this.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RowKey {
    kind: RecordKind,
    usability: Usability,
    reason: &'static str,
}

/// What is counted of a row's records.
#[derive(Default)]
struct RowTotals {
    records: usize,
    youngest: Option<TimeSpan>,
    oldest: Option<TimeSpan>,
}

impl RowTotals {
    /// Counts a record of this age by the wall clock; nothing where it is from the future.
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

/// Assesses all stored records. What the wall clock shows `now` is only reported: no assessment depends on it.
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
