//! The checker: each violation is reported under its rule, and under no other.

use crate::{at, START};
use asterlatch_testbed::checker::{check, ClientOutcome, StatementRecord, VIOLATIONS};
use asterlatch_testbed::fault_script::FaultScript;
use asterlatch_testbed::store_model::{Effect, StoreModel};

// Indices into the workloads.
const BOUNDED: usize = 0;
const READ_YOUR_WRITES: usize = 2;
const POST: usize = 3;
const DEDUPLICATED: usize = 4;

/// A statement without violations.
fn valid_record(workload: usize) -> StatementRecord {
    StatementRecord {
        id: 1,
        workload,
        group: 1,
        session: 1,
        due: at(1000),
        sent: at(1000),
        answered: at(1020),
        outcome: ClientOutcome::Row {
            id: 1,
            position: at(1005),
        },
        has_trailing_bytes: false,
    }
}

fn row(id: u64, position: u64) -> ClientOutcome {
    ClientOutcome::Row {
        id,
        position: at(position),
    }
}

#[test]
fn check_record_with_one_violation_reports_only_its_rule() {
    #[rustfmt::skip]
    let cases: [(&str, StatementRecord, usize, Option<usize>); 19] = [
        ("a read", valid_record(BOUNDED), 0, None),
        ("a write", valid_record(POST), 1, None),
        ("no answer", StatementRecord { outcome: ClientOutcome::NoAnswer, ..valid_record(POST) }, 0, Some(0)),
        ("answered within the tolerance", StatementRecord { answered: at(1640), ..valid_record(BOUNDED) }, 0, None),
        ("answered too late", StatementRecord { answered: at(1660), ..valid_record(BOUNDED) }, 0, Some(1)),
        ("trailing bytes", StatementRecord { has_trailing_bytes: true, ..valid_record(BOUNDED) }, 0, Some(2)),
        ("row of another statement", StatementRecord { outcome: row(2, 1005), ..valid_record(BOUNDED) }, 0, Some(3)),
        ("a write executed twice", valid_record(POST), 2, Some(4)),
        ("an aborted write executed twice", StatementRecord { outcome: ClientOutcome::Aborted, ..valid_record(POST) }, 2, Some(4)),
        ("a deduplicated write executed once", valid_record(DEDUPLICATED), 1, None),
        ("a completed write that was not executed", valid_record(POST), 0, Some(5)),
        ("a completed deduplicated write that was not executed", valid_record(DEDUPLICATED), 0, Some(5)),
        ("a rejected write that was executed", StatementRecord { outcome: ClientOutcome::Rejected, ..valid_record(POST) }, 1, Some(6)),
        ("a rejected deduplicated write that was executed", StatementRecord { outcome: ClientOutcome::Rejected, ..valid_record(DEDUPLICATED) }, 1, None),
        ("an aborted write that was executed", StatementRecord { outcome: ClientOutcome::Aborted, ..valid_record(POST) }, 1, None),
        ("an aborted write that was not executed", StatementRecord { outcome: ClientOutcome::Aborted, ..valid_record(POST) }, 0, None),
        ("connection refused", StatementRecord { outcome: ClientOutcome::ConnectionRefused, ..valid_record(POST) }, 0, None),
        ("as old as its bound allows", StatementRecord { outcome: row(1, 160), ..valid_record(BOUNDED) }, 0, None),
        ("older than its bound", StatementRecord { outcome: row(1, 140), ..valid_record(BOUNDED) }, 0, Some(7)),
    ];
    for (name, record, executions, violation) in cases {
        let mut store = StoreModel::new(1, 1, FaultScript::default(), START);
        store.effects.insert(
            1,
            vec![
                Effect {
                    member: 1,
                    at: at(1001)
                };
                executions
            ],
        );
        let report = check(&store, &[record]);
        let found: Vec<usize> = (0..VIOLATIONS.len())
            .filter(|rule| report.violations[*rule] > 0)
            .collect();
        assert_eq!(found, violation.into_iter().collect::<Vec<_>>(), "{name}");
        assert_eq!(
            report.to_string().contains("rules kept"),
            violation.is_none(),
            "{name}"
        );
    }
}

#[test]
fn check_session_read_older_than_answered_write_is_stale() {
    // (group, session and answer time of the write; position of the read; whether the read is is_stale)
    #[rustfmt::skip]
    let cases = [
        (1, 1, 990, 980, false), (1, 1, 990, 970, true), (1, 1, 1001, 970, false),
        (2, 1, 990, 970, false), (1, 2, 990, 970, false),
    ];
    for (group, session, answered, position, is_stale) in cases {
        let mut store = StoreModel::new(2, 1, FaultScript::default(), START);
        store.effects.insert(
            7,
            vec![Effect {
                member: 1,
                at: at(975),
            }],
        );
        let (sent, outcome) = (at(970), row(7, 975));
        let write = StatementRecord {
            id: 7,
            group,
            session,
            sent,
            due: sent,
            answered: at(answered),
            outcome,
            ..valid_record(POST)
        };
        let read = StatementRecord {
            outcome: row(1, position),
            ..valid_record(READ_YOUR_WRITES)
        };
        let report = check(&store, &[write, read]);
        assert_eq!(
            report.violations[8] > 0,
            is_stale,
            "{group} {session} {answered} {position}"
        );
        assert_eq!(report.violation_count(), u64::from(is_stale));
    }
}
