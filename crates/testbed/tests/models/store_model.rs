//! The store model: replies under faults, drains, and effects of writes.

use crate::{at, ms, START};
use asterlatch_testbed::checker::check;
use asterlatch_testbed::fault_script::FaultScript;
use asterlatch_testbed::store_model::{Reply, Statement, StoreModel};

// Indexes into the workloads.
const BOUNDED: usize = 0;
const ANY: usize = 1;
const OWN: usize = 2;
const POST: usize = 3;
const DEDUPLICATED: usize = 4;

#[test]
fn execute_under_scripted_faults_replies_accordingly() {
    let script = "1s member 1 fails for 1s\n1s member 3 lags 3s for 1s\n2s group 1 switches to 2\n3s primary of 1 hangs for 1s\n\
        4s member 2 loses answers for 1s\n5s member 2 is down for 1s\n6s member 2 slow 70ms for 1s";
    let mut store = StoreModel::new(2, 2, FaultScript::parse(script).expect("reads"), START);
    #[rustfmt::skip]
    let cases = [
        // (when, member, workload, after; reply)
        (0, 1, POST, 0, "row"), (0, 2, POST, 0, "no primary"), (0, 3, BOUNDED, 0, "row"),
        (500, 3, OWN, 450, "row"), (500, 3, OWN, 490, "behind"), (500, 1, OWN, 490, "row"),
        (1500, 1, POST, 0, "failed"), (1500, 3, BOUNDED, 0, "row"), (1900, 3, BOUNDED, 0, "behind"), (1900, 3, ANY, 0, "row"),
        (1900, 3, OWN, 980, "row"), (1900, 3, OWN, 981, "behind"), (2000, 3, OWN, 1980, "row"),
        (2500, 1, POST, 0, "no primary"), (2500, 2, POST, 0, "row"), (2500, 4, DEDUPLICATED, 0, "row"),
        (3500, 2, POST, 0, "never"), (3500, 1, ANY, 0, "row"),
        (4500, 2, POST, 0, "lost"), (5500, 2, POST, 0, "refused"), (6500, 2, POST, 0, "row"),
    ];
    for (n, (when, member, workload, after, expected)) in cases.into_iter().enumerate() {
        let (id, after) = (n as u64, START + ms(after));
        let outcome = store.execute(
            at(when),
            member,
            &Statement {
                id,
                workload,
                min_position: after,
            },
        );
        let got = match outcome.reply {
            Reply::Row { .. } => "row",
            Reply::NoPrimary => "no primary",
            Reply::Behind => "behind",
            Reply::Failed => "failed",
            Reply::ConnectionLost => "lost",
            Reply::NoAnswer => "never",
            Reply::Refused => "refused",
        };
        assert_eq!(got, expected, "case {n}");
        let ran = store.effects.contains_key(&id);
        let wrote = workload >= POST && ["row", "failed", "lost"].contains(&got);
        assert_eq!(
            ran, wrote,
            "case {n}: only what ran has an effect, whatever was said"
        );
        assert_eq!(outcome.delay > ms(50), when == 6500, "case {n}");
    }
}

#[test]
fn execute_after_drain_grace_is_a_violation() {
    // (how long it has been draining; whether what is sent there then breaks the rule)
    for (long, broken) in [(0, 0), (2050, 0), (2051, 1)] {
        let script = FaultScript::parse("1s member 2 drains for 9s").expect("reads");
        let mut store = StoreModel::new(1, 1, script, START);
        let (id, after) = (1, START);
        let workload = ANY;
        store.execute(
            at(1000 + long),
            2,
            &Statement {
                id,
                workload,
                min_position: after,
            },
        );
        assert_eq!(
            (store.executions_after_drain, check(&store, &[]).violation_count()),
            (broken, broken),
            "{long}"
        );
    }
}

#[test]
fn execute_same_write_twice_is_deduplicated_where_configured() {
    let mut store = StoreModel::new(2, 2, FaultScript::default(), START);
    // The store drops a repeat of what it may, and no other.
    for (workload, effects) in [(POST, 2), (DEDUPLICATED, 1)] {
        let asked = Statement {
            id: 1000 + effects,
            workload,
            min_position: START,
        };
        for _ in 0..2 {
            store.execute(at(9000), 4, &asked);
        }
        assert_eq!(store.effects[&asked.id].len() as u64, effects);
    }
}
