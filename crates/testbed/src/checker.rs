//! Compares the answers that clients received with what members executed.

use crate::store_model::{StoreModel, WorkloadKind};
use asterlatch::time::{TimeSpan, Timestamp};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};

/// Outcome of a statement from its client's view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientOutcome {
    /// A row, which names a statement and a log position.
    Row {
        /// Id of the statement that produced the row.
        id: u64,
        /// Log position of the data.
        position: Timestamp,
    },
    /// Reported as not executed, or as safe to retry.
    Rejected,
    /// Reported as possibly executed.
    Aborted,
    /// The connection ended, or the client gave up well after its timeout.
    NoAnswer,
    /// No connection was accepted.
    ConnectionRefused,
}

/// A statement and its outcome from its client's view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatementRecord {
    /// The same for all attempts.
    pub id: u64,
    /// Index into the workloads.
    pub workload: usize,
    /// Group number, from 1.
    pub group: u32,
    /// Client session, from 0.
    pub session: u32,
    /// When the statement was due to be sent.
    pub due: Timestamp,
    /// When the last attempt was sent.
    pub sent: Timestamp,
    /// When the final answer was complete.
    pub answered: Timestamp,
    /// Outcome of the last attempt.
    pub outcome: ClientOutcome,
    /// Whether the connection carried data after the final answer.
    pub has_trailing_bytes: bool,
}

/// Tolerance for late answers and stale reads.
const PROTOCOL_SLACK: TimeSpan = TimeSpan::millis(50);

/// Index in [`VIOLATIONS`] of reads older than a write of their session.
pub const STALE_SESSION_READ: usize = 8;

/// Descriptions of the rules' violations. `violated_rules` returns its results in this order.
pub const VIOLATIONS: [&str; 9] = [
    "lost: no final answer",
    "late: answered after its timeout",
    "twice: data after the final answer",
    "foreign: a row of another statement",
    "duplicate: a write was executed more than once",
    "false: a write reported as executed was not",
    "false: a write reported as not executed was",
    "stale: older than its staleness bound",
    "stale: older than a write of its session",
];

/// Counts of one workload's statements by outcome.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkloadSummary {
    /// Name of the workload.
    pub name: &'static str,
    /// Statements that clients sent.
    pub submitted: u64,
    /// Answered with a row.
    pub completed: u64,
    /// Reported as not executed.
    pub rejected: u64,
    /// Reported as possibly executed.
    pub aborted: u64,
    /// Without a final answer.
    pub lost: u64,
    /// Not sent, as no connection was accepted.
    pub refused: u64,
    /// Median, 99th percentile and maximum in milliseconds, from the due time.
    pub latencies: [f64; 3],
}

/// Result of a check.
#[derive(Clone, Debug, Default)]
pub struct CheckReport {
    /// One row for each workload.
    pub rows: Vec<WorkloadSummary>,
    /// Number of violations of each rule, in the order of [`VIOLATIONS`].
    pub violations: [u64; VIOLATIONS.len()],
    /// Id of the first statement that violated a rule, by the rule's index.
    pub first_by_rule: BTreeMap<usize, u64>,
    /// Executions at members that had been listed as draining for longer than the grace period.
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
    let mut latencies =
        Histogram::new_with_bounds(1, 100_000_000, 3).expect("bounds and precision are valid");
    for record in records {
        if matches!(record.outcome, ClientOutcome::Row { .. }) {
            latencies.saturating_record((record.answered - record.due).0);
        }
    }
    latencies
}

/// Writes by group and session: when each was answered, and the log position in the answer.
type SessionWrites = BTreeMap<(u32, u32), Vec<(Timestamp, Timestamp)>>;

/// Compares the answers that clients received with what members executed.
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
        let matching: Vec<_> = records.iter().filter(|r| r.workload == index).collect();
        let count = |is_counted: fn(&ClientOutcome) -> bool| {
            matching.iter().filter(|r| is_counted(&r.outcome)).count() as u64
        };
        rows.push(WorkloadSummary {
            name: workload.name,
            submitted: matching.len() as u64,
            completed: count(|outcome| matches!(outcome, ClientOutcome::Row { .. })),
            rejected: count(|outcome| *outcome == ClientOutcome::Rejected),
            aborted: count(|outcome| *outcome == ClientOutcome::Aborted),
            lost: count(|outcome| *outcome == ClientOutcome::NoAnswer),
            refused: count(|outcome| *outcome == ClientOutcome::ConnectionRefused),
            latencies: percentiles(&latencies(matching)),
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

/// Whether a record violates each rule, in the order of [`VIOLATIONS`].
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
    let is_older_than = |minimum: Timestamp| row.is_some_and(|(_, position)| position < minimum);
    let deduplicated = match workload.kind {
        WorkloadKind::Write { deduplicated } => Some(deduplicated),
        _ => None,
    };
    let has_answer = record.outcome != ClientOutcome::NoAnswer;
    let max_latency = TimeSpan(workload.timeout.0 + PROTOCOL_SLACK.0);
    [
        !has_answer,
        has_answer && record.answered - record.sent > max_latency,
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
    /// Number of violations of all rules, executions after a drain included.
    pub fn violation_count(&self) -> u64 {
        self.violations.iter().sum::<u64>() + self.executions_after_drain
    }

    /// Statements answered with a row.
    pub fn completed(&self) -> u64 {
        self.rows.iter().map(|r| r.completed).sum()
    }

    /// Statements that clients sent.
    pub fn submitted(&self) -> u64 {
        self.rows.iter().map(|r| r.submitted).sum()
    }
}

impl Display for CheckReport {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        let headings = [
            "workload",
            "submitted",
            "completed",
            "rejected",
            "aborted",
            "lost",
            "refused",
            "p50 ms",
            "p99 ms",
            "max ms",
        ];
        write!(f, "{:<14}", headings[0])?;
        headings[1..].iter().try_for_each(|h| write!(f, "{h:>11}"))?;
        writeln!(f)?;
        for r in &self.rows {
            write!(f, "{:<14}", r.name)?;
            for count in [r.submitted, r.completed, r.rejected, r.aborted, r.lost, r.refused] {
                write!(f, "{count:>11}")?;
            }
            r.latencies.iter().try_for_each(|ms| write!(f, "{ms:>11.1}"))?;
            writeln!(f)?;
        }
        let (executions, connections, health_checks) =
            (self.executions, self.connections, self.health_checks);
        writeln!(
            f,
            "at members: {executions} executions, {connections} connections, {health_checks} health checks"
        )?;
        if self.violation_count() == 0 {
            return write!(
                f,
                "rules kept: each of {} statements has one correct answer in time",
                self.submitted()
            );
        }
        for (rule, count) in self.violations.iter().enumerate().filter(|(_, c)| **c > 0) {
            writeln!(
                f,
                "broken: {count} times {}, first for statement {:x}",
                VIOLATIONS[rule], self.first_by_rule[&rule]
            )?;
        }
        if self.executions_after_drain > 0 {
            writeln!(
                f,
                "broken: {} executions at members that had been draining for longer than the grace period",
                self.executions_after_drain
            )?;
        }
        write!(
            f,
            "{} violations in {} statements",
            self.violation_count(),
            self.submitted()
        )
    }
}
