//! Checks the records of a run against the store model, for all drivers together.

use super::{Cluster, Outage, RetryCounts, RunReport};
use crate::checker::{check, CheckReport, ClientOutcome, StatementRecord, STALE_SESSION_READ, VIOLATIONS};
use crate::member::lock;
use crate::roaming_clients::{Attempt, RoamingRecord};
use crate::store_model::{ReadCounts, StoreModel, WorkloadKind};
use asterlatch::time::TimeSpan;

/// Missing answers are excused for this long before and after a driver was stopped or killed.
const OUTAGE_MARGIN: TimeSpan = TimeSpan::millis(1500);

/// Whether an attempt ran during an outage of its driver or within the margin around it.
fn is_excused(outages: &[Outage], attempt: &Attempt) -> bool {
    outages.iter().any(|outage| {
        outage.driver == attempt.driver
            && attempt.sent < outage.until + OUTAGE_MARGIN
            && attempt.ended + OUTAGE_MARGIN > outage.from
    })
}

/// Fills in the results of checking all clients' records.
pub(super) fn evaluate(cluster: &Cluster, records: &[RoamingRecord], run: &mut RunReport) {
    let store = lock(&cluster.store);
    let outages = &cluster.observed_outages;
    let checkable: Vec<_> = records
        .iter()
        .map(|record| checkable_record(outages, record))
        .collect();
    let lost = records
        .iter()
        .flat_map(|record| &record.attempts)
        .filter(|a| a.outcome == ClientOutcome::NoAnswer && !a.abandoned && !is_excused(outages, a))
        .count();
    if lost > 0 {
        let rule = "lost: no answer from a running driver";
        run.violations.insert(rule, lost as u64);
    }
    let report = check(&store, &checkable);
    add_violations(&report, &store, run);
    run.notes.extend(examples(&report, &store, records));
    for record in records {
        count_retry(&store, record, &mut run.retries);
    }
    run.submitted = report.submitted();
    run.completed = report.completed();
    run.rejected = report.rows.iter().map(|r| r.rejected).sum();
    run.aborted = report.rows.iter().map(|r| r.aborted).sum();
    run.primary_read_fraction = store.reads.values().copied().sum::<ReadCounts>().primary_share();
    run.summary = report.to_string();
}

/// The statement as one record for the checker, without outcomes that are checked for each attempt.
fn checkable_record(outages: &[Outage], roaming: &RoamingRecord) -> StatementRecord {
    let mut record = roaming.record;
    if record.outcome == ClientOutcome::NoAnswer {
        // Missing answers are counted for each attempt.
        record.outcome = ClientOutcome::ConnectionRefused;
    }
    let last = roaming.attempts.last();
    if last.is_some_and(|attempt| is_excused(outages, attempt)) {
        // A stopped driver answers late, once it is resumed.
        record.answered = record.answered.min(record.sent);
    }
    record
}

fn add_violations(report: &CheckReport, store: &StoreModel, run: &mut RunReport) {
    for (rule, count) in report.violations.iter().enumerate().filter(|(_, c)| **c > 0) {
        // Read-your-writes holds only within one driver; stale reads at another are counted, not violations.
        if rule == STALE_SESSION_READ {
            run.stale_roaming_reads = *count;
        } else {
            run.violations.insert(VIOLATIONS[rule], *count);
        }
    }
    let store_violations = [
        (
            "drains: statement sent to a draining member after the grace period",
            report.executions_after_drain,
        ),
        (
            "cold: a member in slow start was overloaded",
            store.overloads_while_warming_up,
        ),
    ];
    for (rule, count) in store_violations.into_iter().filter(|(_, count)| *count > 0) {
        run.violations.insert(rule, count);
    }
}

/// For each broken rule, the first statement that broke it with all its attempts, one line each.
fn examples(report: &CheckReport, store: &StoreModel, records: &[RoamingRecord]) -> Vec<String> {
    let example = |(rule, id): (&usize, &u64)| {
        let roaming = records.iter().find(|roaming| roaming.record.id == *id)?;
        let workload = &store.workloads[roaming.record.workload];
        let due = roaming.record.due;
        let attempts: Vec<String> = roaming
            .attempts
            .iter()
            .map(|a| {
                let (sent, ended) = ((a.sent - due).0, (a.ended - due).0);
                format!("driver {}: {sent} to {ended} us, {:?}", a.driver, a.outcome)
            })
            .collect();
        Some(format!(
            "example of '{}': id {id}, {}, {} us from due time to end; attempts from due time: {}",
            VIOLATIONS[*rule],
            workload.name,
            (roaming.record.answered - due).0,
            attempts.join("; ")
        ))
    };
    report.first_by_rule.iter().filter_map(example).collect()
}

/// Counts a non-idempotent write if it was retried after an attempt without an answer.
fn count_retry(store: &StoreModel, roaming: &RoamingRecord, retries: &mut RetryCounts) {
    let kind = store.workloads[roaming.record.workload].kind;
    if kind != (WorkloadKind::Write { deduplicated: false }) {
        return;
    }
    let unanswered = roaming
        .attempts
        .iter()
        .position(|attempt| attempt.outcome == ClientOutcome::NoAnswer);
    let Some(retry) = unanswered.and_then(|index| roaming.attempts.get(index + 1)) else {
        return;
    };
    let effects = store
        .effects
        .get(&roaming.record.id)
        .map_or(&[][..], Vec::as_slice);
    let was_executed = effects.iter().any(|effect| effect.at <= retry.sent);
    retries.retried += 1;
    retries.executed_before_retry += u64::from(was_executed);
    retries.executed_twice += u64::from(effects.len() > 1);
    match roaming.record.outcome {
        ClientOutcome::Aborted => retries.reported_in_doubt += 1,
        ClientOutcome::Rejected => {
            retries.reported_not_executed += 1;
            retries.false_reports += u64::from(!effects.is_empty());
        }
        ClientOutcome::Row { .. } => retries.completed += 1,
        ClientOutcome::NoAnswer | ClientOutcome::ConnectionRefused => {}
    }
}
