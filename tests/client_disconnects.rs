//! Client disconnects and shutdown: nothing more is dispatched, and clients that may still read get a final
//! answer.

mod common;
use asterlatch::interface::{ClientDisconnect, ExecutionOutcome};
use common::*;

fn fully_closed(statement: u32) -> ClientDisconnect {
    ClientDisconnect {
        statement,
        awaits_answer: false,
    }
}

fn half_closed(statement: u32) -> ClientDisconnect {
    ClientDisconnect {
        statement,
        awaits_answer: true,
    }
}

/// A single primary at its limit; ids of the statements in flight there, and of those that wait.
fn saturated_primary() -> (Harness, Vec<u32>, Vec<u32>) {
    let mut harness = new_harness(&settings(), 1);
    let mut sent = Vec::new();
    let mut waiting = Vec::new();
    for _ in 0..1000 {
        let (id, actions) = harness.submit(1, READ);
        sent.extend(actions.executions.iter().map(|e| e.statement));
        waiting.push(id);
    }
    waiting.retain(|id| !sent.contains(id));
    assert!(!sent.is_empty() && waiting.len() > 900);
    (harness, sent, waiting)
}

#[test]
fn on_client_disconnects_burst_frees_capacity_only_for_remaining_statements() {
    let (mut harness, sent, waiting) = saturated_primary();
    let (remaining, dropped) = waiting.split_last().expect("some statements wait");
    let disconnects: Vec<_> = sent.iter().chain(dropped).map(|id| fully_closed(*id)).collect();
    let mut actions = harness.driver.on_client_disconnects(at(2), &disconnects);
    // The cancelled executions end, which frees capacity.
    for id in &sent {
        let actions_after_end = harness.end_execution(3, *id, 0, 1, ExecutionOutcome::Cancelled);
        actions.executions.extend(actions_after_end.executions);
    }
    let dispatched: Vec<u32> = actions.executions.iter().map(|e| e.statement).collect();
    assert_eq!(dispatched, [*remaining]);
    assert!(harness.run_until(4, 600).executions.is_empty());
}

#[test]
fn on_client_disconnects_half_closed_client_gets_one_final_answer() {
    let (mut harness, sent, waiting) = saturated_primary();
    // A waiting statement is answered at once and not dispatched.
    let actions = harness
        .driver
        .on_client_disconnects(at(2), &[half_closed(waiting[0])]);
    assert_eq!(answer(&actions, waiting[0]), "rejected");
    // A statement in flight is cancelled and answered once.
    let actions = harness
        .driver
        .on_client_disconnects(at(2), &[half_closed(sent[0])]);
    assert_eq!(actions.cancellations.len(), 1);
    assert_eq!(answer(&actions, sent[0]), "rejected");
    let actions = harness.end_execution(3, sent[0], 0, 1, ExecutionOutcome::Cancelled);
    assert_eq!(answer(&actions, sent[0]), "");
    assert!(actions.executions.iter().all(|e| e.statement != sent[0]));
}

#[test]
fn on_client_disconnects_write_in_flight_is_aborted_only_if_sent() {
    // (whether the connection is still being established; answer to a non-idempotent write)
    for (is_connecting, expected) in [(true, "rejected"), (false, "aborted")] {
        let mut harness = new_harness(&settings(), 1);
        let (id, _) = harness.submit(1, WRITE);
        if is_connecting {
            harness.driver.on_connecting(id, 0);
        }
        let actions = harness.driver.on_client_disconnects(at(2), &[half_closed(id)]);
        assert_eq!(answer(&actions, id), expected);
    }
}

#[test]
fn on_client_disconnects_statement_with_pending_connection_is_not_sent() {
    for disconnect in [fully_closed, half_closed] {
        let mut harness = new_harness(&settings(), 1);
        let (id, actions) = harness.submit(1, WRITE);
        assert_eq!(sent_to(&actions), [1]);
        harness.driver.on_connecting(id, 0);
        let actions = harness.driver.on_client_disconnects(at(2), &[disconnect(id)]);
        assert_eq!(actions.cancellations.len(), 1);
        assert_eq!(actions.answers.len(), usize::from(disconnect(id).awaits_answer));
        assert!(!harness.driver.may_dispatch(at(3), id, 0));
    }
}

#[test]
fn on_shutdown_open_and_new_statements_are_answered_by_its_end() {
    let mut harness = new_harness(&settings(), 1);
    let (before, actions) = harness.submit_with(1, READ, 10_000, 0);
    assert_eq!(sent_to(&actions), [1]);
    harness.driver.on_shutdown(at(10), at(400));
    let (during, _) = harness.submit_with(20, WRITE, 10_000, 0);
    let actions = harness.run_until(21, 399);
    assert!(actions.answers.is_empty());
    let actions = harness.driver.advance_to(at(400));
    assert_eq!(
        [before, during].map(|id| answer(&actions, id)),
        ["rejected", "aborted"]
    );
    // A statement after the end of the shutdown is answered at once.
    let (late, actions) = harness.submit_with(401, READ, 10_000, 0);
    assert!(actions.executions.is_empty());
    assert_eq!(answer(&actions, late), "rejected");
}

/// Guards against attempts behind a client's leave: statements of a client whose close can't be seen waited for a
/// member and were sent to it long after.
#[test]
fn limit_dispatch_waiting_statement_is_rejected_at_the_limit() {
    let (mut harness, sent, waiting) = saturated_primary();
    let (limited, others) = waiting.split_at(400);
    let mut actions = harness.driver.limit_dispatch(at(2), limited, at(82));
    actions.answers.extend(harness.run_until(3, 100).answers);
    assert!(limited.iter().all(|id| answer(&actions, *id) == "rejected"));
    assert!(others.iter().all(|id| answer(&actions, *id).is_empty()));
    // Capacity that is free then goes to other statements.
    let mut dispatched = Vec::new();
    for id in &sent {
        let actions = harness.end_execution(101, *id, 0, 1, ExecutionOutcome::Completed);
        dispatched.extend(actions.executions.iter().map(|e| e.statement));
    }
    assert!(!dispatched.is_empty());
    assert!(dispatched.iter().all(|id| others.contains(id)));
}
