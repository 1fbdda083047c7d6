//! Holds what clients were told against what members did.

use crate::store_model::{Kind, Store};
use asterlatch::time::{TimeSpan, Timestamp};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// A row that names the statement which it was made for, and a position.
    Row { id: u64, position: Timestamp },
    /// Not executed, or harmless to repeat.
    Rejected,
    /// It may have been executed.
    Aborted,
    /// The connection ended, or nothing came in time and long after.
    Nothing,
    /// No connection could be had.
    Refused,
}

/// One statement as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Record {
    pub id: u64,
    pub workload: usize,
    pub group: u32,
    pub session: u32,
    /// When it was due to be asked, when it was, and when its answer had come.
    pub due: Timestamp,
    pub sent: Timestamp,
    pub answered: Timestamp,
    pub told: Told,
    /// Bytes came behind the final answer.
    pub more: bool,
}

/// The protocol's slack.
const SLACK: TimeSpan = TimeSpan::millis(50);

/// The place of what sessions wrote among the breaches.
pub const SESSION: usize = 8;

/// What was broken, in the order of the rules.
pub const BREACHES: [&str; 9] = [
    "lost: no final answer",
    "late: answered after its time",
    "twice: something came behind the final answer",
    "foreign: a row that was made for another statement",
    "doubled: a write ran twice",
    "untrue: said to be written and was not",
    "untrue: said to be unwritten and was",
    "stale: older than its bound allows",
    "stale: older than what its session wrote",
];

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Row {
    pub name: &'static str,
    pub asked: u64,
    pub completed: u64,
    pub rejected: u64,
    pub aborted: u64,
    pub lost: u64,
    pub refused: u64,
    /// Milliseconds from when it was due: half, 99 of 100, and all.
    pub times: [f64; 3],
}

#[derive(Clone, Debug, Default)]
pub struct Report {
    pub rows: Vec<Row>,
    pub breaches: [u64; BREACHES.len()],
    /// The first of each kind.
    pub first: BTreeMap<usize, u64>,
    /// Executions that went to members long after their drain was told.
    pub after_drains: u64,
    pub executions: u64,
    pub connections: u64,
    pub probes: u64,
}

fn percentiles(times: &Histogram<u64>) -> [f64; 3] {
    [0.5, 0.99, 1.0].map(|q| times.value_at_quantile(q) as f64 / 1000.0)
}

/// Times of answers that were rows, from when their statements were due, in microseconds.
pub fn times<'a>(records: impl IntoIterator<Item = &'a Record>) -> Histogram<u64> {
    // Three digits over any time that a client waits.
    let mut times = Histogram::new_with_bounds(1, 100_000_000, 3).expect("three digits are had");
    for r in records {
        if matches!(r.told, Told::Row { .. }) {
            times.saturating_record((r.answered - r.due).0);
        }
    }
    times
}

pub fn judge(store: &Store, records: &[Record]) -> Report {
    let mut report = Report {
        after_drains: store.after_drains,
        executions: store.executions,
        connections: store.connections,
        probes: store.probes,
        ..Report::default()
    };
    for (w, workload) in store.workloads.iter().enumerate() {
        let own: Vec<_> = records.iter().filter(|r| r.workload == w).collect();
        let count = |told: fn(&Told) -> bool| own.iter().filter(|r| told(&r.told)).count() as u64;
        report.rows.push(Row {
            name: workload.name,
            asked: own.len() as u64,
            completed: count(|t| matches!(t, Told::Row { .. })),
            rejected: count(|t| *t == Told::Rejected),
            aborted: count(|t| *t == Told::Aborted),
            lost: count(|t| *t == Told::Nothing),
            refused: count(|t| *t == Told::Refused),
            times: percentiles(&times(own)),
        });
    }
    // What each session knew to be written, by when it knew.
    let mut written: BTreeMap<(u32, u32), Vec<(Timestamp, Timestamp)>> = BTreeMap::new();
    for r in records {
        let is_write = matches!(store.workloads[r.workload].kind, Kind::Write { .. });
        if let (true, Told::Row { position, .. }) = (is_write, r.told) {
            written
                .entry((r.group, r.session))
                .or_default()
                .push((r.answered, position));
        }
    }
    for r in records {
        let workload = &store.workloads[r.workload];
        let ran = store.effects.get(&r.id).map_or(0, Vec::len);
        let row = match r.told {
            Told::Row { id, position } => Some((id, position)),
            _ => None,
        };
        let known = written.get(&(r.group, r.session)).into_iter().flatten();
        let known = known
            .filter(|(at, _)| *at < r.sent)
            .map(|(_, position)| *position)
            .max();
        let older = |least: Timestamp| row.is_some_and(|(_, position)| position < least);
        let write = match workload.kind {
            Kind::Write { dropped } => Some(dropped),
            _ => None,
        };
        let broken = [
            r.told == Told::Nothing,
            r.answered - r.sent > TimeSpan(workload.patience.0 + SLACK.0) && r.told != Told::Nothing,
            r.more,
            row.is_some_and(|(id, _)| id != r.id),
            write == Some(false) && ran > 1,
            write.is_some() && row.is_some() && ran == 0,
            write == Some(false) && r.told == Told::Rejected && ran > 0,
            match workload.kind {
                Kind::Bounded(bound) => older(r.sent - TimeSpan(bound.0 + SLACK.0)),
                _ => false,
            },
            workload.kind == Kind::Own && known.is_some_and(older),
        ];
        for (n, _) in broken.iter().enumerate().filter(|(_, b)| **b) {
            report.breaches[n] += 1;
            report.first.entry(n).or_insert(r.id);
        }
    }
    report
}

impl Report {
    /// Rules broken.
    pub fn broken(&self) -> u64 {
        self.breaches.iter().sum::<u64>() + self.after_drains
    }

    pub fn completed(&self) -> u64 {
        self.rows.iter().map(|r| r.completed).sum()
    }

    pub fn asked(&self) -> u64 {
        self.rows.iter().map(|r| r.asked).sum()
    }
}

impl Display for Report {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        let head = [
            "workload",
            "asked",
            "completed",
            "rejected",
            "aborted",
            "lost",
            "refused",
            "p50 ms",
            "p99 ms",
            "most ms",
        ];
        write!(f, "{:<14}", head[0])?;
        head[1..].iter().try_for_each(|h| write!(f, "{h:>11}"))?;
        writeln!(f)?;
        for r in &self.rows {
            write!(f, "{:<14}", r.name)?;
            for n in [r.asked, r.completed, r.rejected, r.aborted, r.lost, r.refused] {
                write!(f, "{n:>11}")?;
            }
            r.times.iter().try_for_each(|ms| write!(f, "{ms:>11.1}"))?;
            writeln!(f)?;
        }
        let (executions, connections, probes) = (self.executions, self.connections, self.probes);
        writeln!(
            f,
            "at members: {executions} executions, {connections} connections, {probes} probes"
        )?;
        if self.broken() == 0 {
            return write!(
                f,
                "rules kept: each of {} statements has one true answer in time",
                self.asked()
            );
        }
        for (n, count) in self.breaches.iter().enumerate().filter(|(_, c)| **c > 0) {
            writeln!(
                f,
                "broken: {count} times {}, first by statement {:x}",
                BREACHES[n], self.first[&n]
            )?;
        }
        if self.after_drains > 0 {
            writeln!(
                f,
                "broken: {} executions went to members that drained",
                self.after_drains
            )?;
        }
        write!(f, "{} breaches in {} statements", self.broken(), self.asked())
    }
}
