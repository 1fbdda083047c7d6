//! Compares what clients were told with what members executed.

use crate::store_model::{StoreModel, WorkloadKind};
use asterlatch::time::{TimeSpan, Timestamp};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};

/// What a client knows of its statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientOutcome {
    /// A row that names the statement which it was made for, and a position.
    Row {
        /// The statement that the row was made for.
        id: u64,
        /// Log position of its data.
        position: Timestamp,
    },
    /// Reported as not executed, or as safe to retry.
    Rejected,
    /// It may have been executed.
    Aborted,
    /// The connection ended, or no answer came in time or long after.
    NoAnswer,
    /// No connection was accepted.
    ConnectionRefused,
}

/// One statement as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatementRecord {
    /// Names the statement over all attempts.
    pub id: u64,
    /// Index into the workloads.
    pub workload: usize,
    /// From 1.
    pub group: u32,
    /// Client session, from 0.
    pub session: u32,
    /// When it was to be sent.
    pub due: Timestamp,
    /// When it was last sent.
    pub sent: Timestamp,
    /// When its answer had come.
    pub answered: Timestamp,
    /// What the client was told.
    pub outcome: ClientOutcome,
    /// Bytes came after the final answer.
    pub has_trailing_bytes: bool,
}

/// Tolerance of the protocol for late answers and stale reads.
const PROTOCOL_SLACK: TimeSpan = TimeSpan::millis(50);

/// Index in [`VIOLATIONS`] of reads older than what their session wrote.
pub const STALE_SESSION_READ: usize = 8;

/// Violations, in the order of the rules.
pub const VIOLATIONS: [&str; 9] = [
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

/// Counts of one workload's statements by outcome.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkloadSummary {
    /// Name of the workload.
    pub name: &'static str,
    /// All of its statements.
    pub submitted: u64,
    /// Answered with a row.
    pub completed: u64,
    /// Reported as not executed.
    pub rejected: u64,
    /// Reported as possibly executed.
    pub aborted: u64,
    /// Without any answer.
    pub lost: u64,
    /// Without any connection.
    pub refused: u64,
    /// Median, 99th percentile and maximum in milliseconds, from the due time.
    pub latencies: [f64; 3],
}

/// Result of a check.
#[derive(Clone, Debug, Default)]
pub struct CheckReport {
    /// One for each workload.
    pub rows: Vec<WorkloadSummary>,
    /// Count by rule, in the order of [`VIOLATIONS`].
    pub violations: [u64; VIOLATIONS.len()],
    /// The id of the first statement that violated each rule.
    pub first_by_rule: BTreeMap<usize, u64>,
    /// Executions at members that had been listed as draining for longer than the grace.
    pub executions_after_drain: u64,
    /// Executions at all members.
    pub executions: u64,
    /// Connections that members accepted.
    pub connections: u64,
    /// Health checks that members received.
    pub health_checks: u64,
}

fn percentiles(latencies: &Histogram<u64>) -> [f64; 3] {
    [0.5, 0.99, 1.0].map(|q| latencies.value_at_quantile(q) as f64 / 1000.0)
}

/// Latencies of statements answered with a row, from their due times, in microseconds.
pub fn latencies<'a>(records: impl IntoIterator<Item = &'a StatementRecord>) -> Histogram<u64> {
    // Three significant digits over any time that a client waits.
    let mut latencies = Histogram::new_with_bounds(1, 100_000_000, 3).expect("three digits are had");
    for r in records {
        if matches!(r.outcome, ClientOutcome::Row { .. }) {
            latencies.saturating_record((r.answered - r.due).0);
        }
    }
    latencies
}

/// By group and session: when a write's answer had come, and the position that it named.
type SessionWrites = BTreeMap<(u32, u32), Vec<(Timestamp, Timestamp)>>;

/// Compares what clients were told with what members executed.
pub fn check(store: &StoreModel, records: &[StatementRecord]) -> CheckReport {
    let mut report = CheckReport {
        rows: summaries(store, records),
        executions_after_drain: store.executions_after_drain,
        executions: store.executions,
        connections: store.connections,
        health_checks: store.health_checks,
        ..CheckReport::default()
    };
    let writes = session_writes(store, records);
    for record in records {
        let violated = violated_rules(store, &writes, record);
        for (rule, _) in violated
            .iter()
            .enumerate()
            .filter(|(_, is_violated)| **is_violated)
        {
            report.violations[rule] += 1;
            report.first_by_rule.entry(rule).or_insert(record.id);
        }
    }
    report
}

fn summaries(store: &StoreModel, records: &[StatementRecord]) -> Vec<WorkloadSummary> {
    let mut rows = Vec::new();
    for (index, workload) in store.workloads.iter().enumerate() {
        let own: Vec<_> = records.iter().filter(|r| r.workload == index).collect();
        let count = |is_counted: fn(&ClientOutcome) -> bool| {
            own.iter().filter(|r| is_counted(&r.outcome)).count() as u64
        };
        rows.push(WorkloadSummary {
            name: workload.name,
            submitted: own.len() as u64,
            completed: count(|outcome| matches!(outcome, ClientOutcome::Row { .. })),
            rejected: count(|outcome| *outcome == ClientOutcome::Rejected),
            aborted: count(|outcome| *outcome == ClientOutcome::Aborted),
            lost: count(|outcome| *outcome == ClientOutcome::NoAnswer),
            refused: count(|outcome| *outcome == ClientOutcome::ConnectionRefused),
            latencies: percentiles(&latencies(own)),
        });
    }
    rows
}

fn session_writes(store: &StoreModel, records: &[StatementRecord]) -> SessionWrites {
    let mut writes = SessionWrites::new();
    for record in records {
        let kind = store.workloads[record.workload].kind;
        let is_write = matches!(kind, WorkloadKind::Write { .. });
        if let (true, ClientOutcome::Row { position, .. }) = (is_write, record.outcome) {
            let session = writes.entry((record.group, record.session)).or_default();
            session.push((record.answered, position));
        }
    }
    writes
}

/// Which of [`VIOLATIONS`] a record shows.
fn violated_rules(
    store: &StoreModel,
    writes: &SessionWrites,
    record: &StatementRecord,
) -> [bool; VIOLATIONS.len()] {
    let workload = &store.workloads[record.workload];
    let executions = store.effects.get(&record.id).map_or(0, Vec::len);
    let row = match record.outcome {
        ClientOutcome::Row { id, position } => Some((id, position)),
        _ => None,
    };
    let session = writes.get(&(record.group, record.session)).into_iter().flatten();
    let last_written = session
        .filter(|(answered, _)| *answered < record.sent)
        .map(|(_, position)| *position)
        .max();
    let is_older_than = |least: Timestamp| row.is_some_and(|(_, position)| position < least);
    let deduplicated = match workload.kind {
        WorkloadKind::Write { deduplicated } => Some(deduplicated),
        _ => None,
    };
    let has_answer = record.outcome != ClientOutcome::NoAnswer;
    let longest = TimeSpan(workload.timeout.0 + PROTOCOL_SLACK.0);
    [
        !has_answer,
        has_answer && record.answered - record.sent > longest,
        record.has_trailing_bytes,
        row.is_some_and(|(id, _)| id != record.id),
        deduplicated == Some(false) && executions > 1,
        deduplicated.is_some() && row.is_some() && executions == 0,
        deduplicated == Some(false) && record.outcome == ClientOutcome::Rejected && executions > 0,
        match workload.kind {
            WorkloadKind::BoundedStaleness(bound) => {
                is_older_than(record.sent - TimeSpan(bound.0 + PROTOCOL_SLACK.0))
            }
            _ => false,
        },
        workload.kind == WorkloadKind::ReadYourWrites && last_written.is_some_and(is_older_than),
    ]
}

impl CheckReport {
    /// Violations of all rules.
    pub fn violation_count(&self) -> u64 {
        self.violations.iter().sum::<u64>() + self.executions_after_drain
    }

    /// Statements answered with a row.
    pub fn completed(&self) -> u64 {
        self.rows.iter().map(|r| r.completed).sum()
    }

    /// All statements.
    pub fn submitted(&self) -> u64 {
        self.rows.iter().map(|r| r.submitted).sum()
    }
}

impl Display for CheckReport {
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
            for n in [r.submitted, r.completed, r.rejected, r.aborted, r.lost, r.refused] {
                write!(f, "{n:>11}")?;
            }
            r.latencies.iter().try_for_each(|ms| write!(f, "{ms:>11.1}"))?;
            writeln!(f)?;
        }
        let (executions, connections, health_checks) =
            (self.executions, self.connections, self.health_checks);
        writeln!(
            f,
            "at members: {executions} executions, {connections} connections, {health_checks} probes"
        )?;
        if self.violation_count() == 0 {
            return write!(
                f,
                "rules kept: each of {} statements has one true answer in time",
                self.submitted()
            );
        }
        for (n, count) in self.violations.iter().enumerate().filter(|(_, c)| **c > 0) {
            writeln!(
                f,
                "broken: {count} times {}, first by statement {:x}",
                VIOLATIONS[n], self.first_by_rule[&n]
            )?;
        }
        if self.executions_after_drain > 0 {
            writeln!(
                f,
                "broken: {} executions went to members that drained",
                self.executions_after_drain
            )?;
        }
        write!(
            f,
            "{} breaches in {} statements",
            self.violation_count(),
            self.submitted()
        )
    }
}
