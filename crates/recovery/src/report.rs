//! What a start found and made of it, summed up by rule.

use crate::trust::{assess, Assessment, Usability};
use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_gossip::record::{Kind, Record};
use serde::Serialize;
use std::collections::BTreeMap;

/// Facts of one kind that one rule decided.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RuleSummary {
    pub kind: &'static str,
    #[serde(rename = "used")]
    pub usability: &'static str,
    #[serde(rename = "facts")]
    pub records: usize,
    /// Of those, by the wall clock; nothing where that went back.
    pub youngest_ms: Option<u64>,
    pub oldest_ms: Option<u64>,
    #[serde(rename = "why")]
    pub reason: &'static str,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct RecoveryReport {
    pub rows: Vec<RuleSummary>,
    #[serde(rename = "facts")]
    pub records: usize,
    #[serde(rename = "used")]
    pub usable: usize,
    /// Written in a time that is still to come.
    #[serde(rename = "from_the_future")]
    pub from_future: usize,
}

impl RecoveryReport {
    pub fn summary(&self) -> String {
        let mut line = format!("{} of {} kept facts are of use still", self.usable, self.records);
        if self.from_future > 0 {
            line += &format!(
                ", {} were written in a time that is still to come: the clock was set",
                self.from_future
            );
        }
        line
    }
}

/// Which rule decided what of which kind; how many, and the youngest and oldest.
type ByRule = (Kind, Usability, &'static str);
type Ages = (usize, Option<TimeSpan>, Option<TimeSpan>);

/// Looks at all kept facts; those of use, each with how old it counts as.
pub fn classify(
    records: Vec<(Record, Timestamp)>,
    now: Timestamp,
) -> (Vec<(Record, TimeSpan)>, RecoveryReport) {
    let mut by_rule: BTreeMap<ByRule, Ages> = BTreeMap::new();
    let (mut usable, mut report) = (Vec::new(), RecoveryReport::default());
    for (record, written_at) in records {
        let Assessment {
            usability,
            age,
            reason,
        } = assess(&record, written_at, now);
        let passed = (written_at <= now).then(|| now - written_at);
        let row = by_rule.entry((record.kind(), usability, reason)).or_default();
        row.0 += 1;
        row.1 = row.1.into_iter().chain(passed).min();
        row.2 = row.2.into_iter().chain(passed).max();
        report.records += 1;
        report.from_future += usize::from(passed.is_none());
        if let Some(age) = age {
            report.usable += 1;
            usable.push((record, age));
        }
    }
    let ms = |span: Option<TimeSpan>| span.map(|s| s.0 / 1000);
    let rows =
        by_rule.into_iter().map(
            |((kind, usability, reason), (records, youngest, oldest))| RuleSummary {
                kind: kind.name(),
                usability: usability.name(),
                records,
                youngest_ms: ms(youngest),
                oldest_ms: ms(oldest),
                reason,
            },
        );
    report.rows = rows.collect();
    (usable, report)
}
