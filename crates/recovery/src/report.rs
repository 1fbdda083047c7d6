//! What a start found and made of it, summed up by rule.

use crate::trust::{trust, Use, Verdict};
use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_gossip::record::{ObservedRecord, Record, RecordKind};
use serde::Serialize;
use std::collections::BTreeMap;

/// Facts of one kind that one rule decided.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Row {
    pub kind: &'static str,
    pub used: &'static str,
    pub facts: usize,
    /// Of those, by the wall clock; nothing where that went back.
    pub youngest_ms: Option<u64>,
    pub oldest_ms: Option<u64>,
    pub why: &'static str,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    pub rows: Vec<Row>,
    pub facts: usize,
    pub used: usize,
    /// Written in a time that is still to come.
    pub from_the_future: usize,
}

impl Report {
    pub fn line(&self) -> String {
        let mut line = format!("{} of {} kept facts are of use still", self.used, self.facts);
        if self.from_the_future > 0 {
            line += &format!(
                ", {} were written in a time that is still to come: the clock was set",
                self.from_the_future
            );
        }
        line
    }
}

/// Which rule decided what of which kind; how many, and the youngest and oldest.
type ByRule = (RecordKind, Use, &'static str);
type Ages = (usize, Option<TimeSpan>, Option<TimeSpan>);

/// Looks at all kept facts; those of use, each with how old it counts as.
pub fn sort(facts: Vec<ObservedRecord>, now: Timestamp) -> (Vec<(Record, TimeSpan)>, Report) {
    let mut by_rule: BTreeMap<ByRule, Ages> = BTreeMap::new();
    let (mut usable, mut report) = (Vec::new(), Report::default());
    for ObservedRecord {
        record: fact,
        observed_at: wall,
    } in facts
    {
        let Verdict { used, age, why } = trust(&fact, wall, now);
        let passed = (wall <= now).then(|| now - wall);
        let row = by_rule.entry((fact.kind(), used, why)).or_default();
        row.0 += 1;
        row.1 = row.1.into_iter().chain(passed).min();
        row.2 = row.2.into_iter().chain(passed).max();
        report.facts += 1;
        report.from_the_future += usize::from(passed.is_none());
        if let Some(age) = age {
            report.used += 1;
            usable.push((fact, age));
        }
    }
    let ms = |span: Option<TimeSpan>| span.map(|s| s.0 / 1000);
    let rows = by_rule
        .into_iter()
        .map(|((kind, used, why), (facts, youngest, oldest))| Row {
            kind: kind.name(),
            used: used.name(),
            facts,
            youngest_ms: ms(youngest),
            oldest_ms: ms(oldest),
            why,
        });
    report.rows = rows.collect();
    (usable, report)
}
