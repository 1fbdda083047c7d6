//! The checker: each violation is found, and by itself.

use crate::{at, START};
use asterlatch_testbed::checker::{check, ClientOutcome, StatementRecord, VIOLATIONS};
use asterlatch_testbed::fault_script::FaultScript;
use asterlatch_testbed::store_model::{Effect, StoreModel};

// Indexes into the workloads.
const BOUNDED: usize = 0;
const OWN: usize = 2;
const POST: usize = 3;
const DEDUPLICATED: usize = 4;

/// A statement that was answered in time.
fn good(workload: usize) -> StatementRecord {
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
fn check_record_with_one_violation_finds_it_alone() {
    #[rustfmt::skip]
    let cases: [(&str, StatementRecord, usize, Option<usize>); 19] = [
        ("a read", good(BOUNDED), 0, None),
        ("a write", good(POST), 1, None),
        ("nothing was said", StatementRecord { outcome: ClientOutcome::NoAnswer, ..good(POST) }, 0, Some(0)),
        ("in its last moment", StatementRecord { answered: at(1640), ..good(BOUNDED) }, 0, None),
        ("too late", StatementRecord { answered: at(1660), ..good(BOUNDED) }, 0, Some(1)),
        ("more was said", StatementRecord { has_trailing_bytes: true, ..good(BOUNDED) }, 0, Some(2)),
        ("another's row", StatementRecord { outcome: row(2, 1005), ..good(BOUNDED) }, 0, Some(3)),
        ("a write twice", good(POST), 2, Some(4)),
        ("an aborted write twice", StatementRecord { outcome: ClientOutcome::Aborted, ..good(POST) }, 2, Some(4)),
        ("a dropped write once", good(DEDUPLICATED), 1, None),
        ("a write never", good(POST), 0, Some(5)),
        ("a dropped write never", good(DEDUPLICATED), 0, Some(5)),
        ("a rejected write that ran", StatementRecord { outcome: ClientOutcome::Rejected, ..good(POST) }, 1, Some(6)),
        ("a rejected write that may be repeated", StatementRecord { outcome: ClientOutcome::Rejected, ..good(DEDUPLICATED) }, 1, None),
        ("an aborted write that ran", StatementRecord { outcome: ClientOutcome::Aborted, ..good(POST) }, 1, None),
        ("an aborted write that didn't", StatementRecord { outcome: ClientOutcome::Aborted, ..good(POST) }, 0, None),
        ("refused", StatementRecord { outcome: ClientOutcome::ConnectionRefused, ..good(POST) }, 0, None),
        ("as old as it may be", StatementRecord { outcome: row(1, 160), ..good(BOUNDED) }, 0, None),
        ("older", StatementRecord { outcome: row(1, 140), ..good(BOUNDED) }, 0, Some(7)),
    ];
    for (name, record, ran, broken) in cases {
        let mut store = StoreModel::new(1, 1, FaultScript::default(), START);
        store.effects.insert(
            1,
            vec![
                Effect {
                    member: 1,
                    at: at(1001)
                };
                ran
            ],
        );
        let report = check(&store, &[record]);
        let found: Vec<usize> = (0..VIOLATIONS.len())
            .filter(|n| report.violations[*n] > 0)
            .collect();
        assert_eq!(found, broken.into_iter().collect::<Vec<_>>(), "{name}");
        assert_eq!(
            report.to_string().contains("rules kept"),
            broken.is_none(),
            "{name}"
        );
    }
}

#[test]
fn check_session_read_older_than_known_write_is_stale() {
    // (the write's group, session and when it was known; the read's position; whether it is stale)
    #[rustfmt::skip]
    let sessions = [
        (1, 1, 990, 980, false), (1, 1, 990, 970, true), (1, 1, 1001, 970, false),
        (2, 1, 990, 970, false), (1, 2, 990, 970, false),
    ];
    for (group, session, answered, position, stale) in sessions {
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
            ..good(POST)
        };
        let read = StatementRecord {
            outcome: row(1, position),
            ..good(OWN)
        };
        let report = check(&store, &[write, read]);
        assert_eq!(
            report.violations[8] > 0,
            stale,
            "{group} {session} {answered} {position}"
        );
        assert_eq!(report.violation_count(), u64::from(stale));
    }
}
