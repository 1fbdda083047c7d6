//! The store model: replies under faults, drains, and executions of writes.

use crate::{at, ms, START};
use asterlatch_testbed::checker::check;
use asterlatch_testbed::fault_script::FaultScript;
use asterlatch_testbed::store_model::{Reply, Statement, StoreModel};

// Indices into the workloads.
const BOUNDED: usize = 0;
const ANY_REPLICA: usize = 1;
const READ_YOUR_WRITES: usize = 2;
const POST: usize = 3;
const DEDUPLICATED: usize = 4;

#[test]
fn execute_under_scripted_faults_returns_their_reply() {
    let script = "1s member 1 fails for 1s\n1s member 3 lags 3s for 1s\n2s group 1 switches to 2\n3s primary of 1 hangs for 1s\n\
        4s member 2 loses answers for 1s\n5s member 2 is down for 1s\n6s member 2 slow 70ms for 1s";
    let mut store = StoreModel::new(
        2,
        2,
        FaultScript::parse(script).expect("parse the fault script"),
        START,
    );
    #[rustfmt::skip]
    let cases = [
        // (time, member, workload, minimum position; reply)
        (0, 1, POST, 0, "row"), (0, 2, POST, 0, "no primary"), (0, 3, BOUNDED, 0, "row"),
        (500, 3, READ_YOUR_WRITES, 450, "row"), (500, 3, READ_YOUR_WRITES, 490, "behind"), (500, 1, READ_YOUR_WRITES, 490, "row"),
        (1500, 1, POST, 0, "failed"), (1500, 3, BOUNDED, 0, "row"), (1900, 3, BOUNDED, 0, "behind"), (1900, 3, ANY_REPLICA, 0, "row"),
        (1900, 3, READ_YOUR_WRITES, 980, "row"), (1900, 3, READ_YOUR_WRITES, 981, "behind"), (2000, 3, READ_YOUR_WRITES, 1980, "row"),
        (2500, 1, POST, 0, "no primary"), (2500, 2, POST, 0, "row"), (2500, 4, DEDUPLICATED, 0, "row"),
        (3500, 2, POST, 0, "never"), (3500, 1, ANY_REPLICA, 0, "row"),
        (4500, 2, POST, 0, "lost"), (5500, 2, POST, 0, "refused"), (6500, 2, POST, 0, "row"),
    ];
    for (index, (time, member, workload, min_position, expected)) in cases.into_iter().enumerate() {
        let (id, min_position) = (index as u64, START + ms(min_position));
        let outcome = store.execute(
            at(time),
            member,
            &Statement {
                id,
                workload,
                min_position,
            },
        );
        let actual = match outcome.reply {
            Reply::Row { .. } => "row",
            Reply::NoPrimary => "no primary",
            Reply::Behind => "behind",
            Reply::Failed => "failed",
            Reply::ConnectionLost => "lost",
            Reply::NoAnswer => "never",
            Reply::Refused => "refused",
        };
        assert_eq!(actual, expected, "case {index}");
        let is_executed = store.effects.contains_key(&id);
        let is_expected = workload >= POST && ["row", "failed", "lost"].contains(&actual);
        assert_eq!(
            is_executed, is_expected,
            "case {index}: a write has an effect only if the member executed it, whatever the reply"
        );
        assert_eq!(outcome.delay > ms(50), time == 6500, "case {index}");
    }
}

#[test]
fn execute_after_drain_grace_period_is_a_violation() {
    // (milliseconds since the drain began; number of violations)
    for (elapsed_ms, violations) in [(0, 0), (2050, 0), (2051, 1)] {
        let script = FaultScript::parse("1s member 2 drains for 9s").expect("parse the fault script");
        let mut store = StoreModel::new(1, 1, script, START);
        let (id, min_position) = (1, START);
        let workload = ANY_REPLICA;
        store.execute(
            at(1000 + elapsed_ms),
            2,
            &Statement {
                id,
                workload,
                min_position,
            },
        );
        assert_eq!(
            (store.executions_after_drain, check(&store, &[]).violation_count()),
            (violations, violations),
            "{elapsed_ms}"
        );
    }
}

#[test]
fn execute_same_write_twice_is_deduplicated_where_configured() {
    let mut store = StoreModel::new(2, 2, FaultScript::default(), START);
    for (workload, executions) in [(POST, 2), (DEDUPLICATED, 1)] {
        let statement = Statement {
            id: 1000 + executions,
            workload,
            min_position: START,
        };
        for _ in 0..2 {
            store.execute(at(9000), 4, &statement);
        }
        assert_eq!(store.effects[&statement.id].len() as u64, executions);
    }
}
