//! Clients that leave, or close their side of the connection, and the end of a shutdown: nothing more is begun, and whoever
//! may still read has a final answer.

mod common;
use asterlatch::interface::{ClientDisconnect, ExecutionOutcome};
use common::*;

fn left(statement: u32) -> ClientDisconnect {
    ClientDisconnect {
        statement,
        awaits_answer: false,
    }
}

fn closed_its_side(statement: u32) -> ClientDisconnect {
    ClientDisconnect {
        statement,
        awaits_answer: true,
    }
}

/// A lone primary at its limit, with the statements that it has and those that wait.
fn crowded() -> (Bench, Vec<u32>, Vec<u32>) {
    let mut b = bench(&settings(), 1);
    let mut sent = Vec::new();
    let mut waiting = Vec::new();
    for _ in 0..1000 {
        let (id, actions) = b.take(1, READ);
        sent.extend(actions.executions.iter().map(|e| e.statement));
        waiting.push(id);
    }
    waiting.retain(|id| !sent.contains(id));
    assert!(!sent.is_empty() && waiting.len() > 900);
    (b, sent, waiting)
}

#[test]
fn on_departures_burst_frees_capacity_only_for_those_that_stay() {
    let (mut b, sent, waiting) = crowded();
    let (last, gone) = waiting.split_last().expect("some wait");
    let departures: Vec<_> = sent.iter().chain(gone).map(|id| left(*id)).collect();
    let mut actions = b.driver.on_client_disconnects(at(2), &departures);
    // What is cancelled ends; only then is there capacity.
    for id in &sent {
        let more = b.end(3, *id, 0, 1, ExecutionOutcome::Cancelled);
        actions.executions.extend(more.executions);
    }
    let begun: Vec<u32> = actions.executions.iter().map(|e| e.statement).collect();
    assert_eq!(begun, [*last]);
    assert!(b.run_until(4, 600).executions.is_empty());
}

#[test]
fn on_departures_client_that_may_read_gets_one_final_answer() {
    let (mut b, sent, waiting) = crowded();
    // What waits is answered at once, and never sent.
    let actions = b
        .driver
        .on_client_disconnects(at(2), &[closed_its_side(waiting[0])]);
    assert_eq!(answer(&actions, waiting[0]), "rejected");
    // What a member has is cancelled as well, and answered once.
    let actions = b.driver.on_client_disconnects(at(2), &[closed_its_side(sent[0])]);
    assert_eq!(actions.cancellations.len(), 1);
    assert_eq!(answer(&actions, sent[0]), "rejected");
    let actions = b.end(3, sent[0], 0, 1, ExecutionOutcome::Cancelled);
    assert_eq!(answer(&actions, sent[0]), "");
    assert!(actions.executions.iter().all(|e| e.statement != sent[0]));
}

#[test]
fn on_departures_answer_tells_whether_the_statement_may_have_been_executed() {
    // (its connection is still being established; the answer to a write that must not be repeated)
    for (is_connecting, expected) in [(true, "rejected"), (false, "aborted")] {
        let mut b = bench(&settings(), 1);
        let (id, _) = b.take(1, WRITE);
        if is_connecting {
            b.driver.on_connecting(id, 0);
        }
        let actions = b.driver.on_client_disconnects(at(2), &[closed_its_side(id)]);
        assert_eq!(answer(&actions, id), expected);
    }
}

#[test]
fn on_departures_statement_waiting_for_its_connection_is_answered_unsent() {
    for departure in [left, closed_its_side] {
        let mut b = bench(&settings(), 1);
        let (id, actions) = b.take(1, WRITE);
        assert_eq!(sent_to(&actions), [1]);
        b.driver.on_connecting(id, 0);
        let actions = b.driver.on_client_disconnects(at(2), &[departure(id)]);
        assert_eq!(actions.cancellations.len(), 1);
        assert_eq!(actions.answers.len(), usize::from(departure(id).awaits_answer));
        assert!(!b.driver.may_dispatch(at(3), id, 0));
    }
}

#[test]
fn on_shutdown_every_statement_is_answered_by_its_end() {
    let mut b = bench(&settings(), 1);
    let (before, actions) = b.take_by(1, READ, 10_000, 0);
    assert_eq!(sent_to(&actions), [1]);
    b.driver.on_shutdown(at(10), at(400));
    let (during, _) = b.take_by(20, WRITE, 10_000, 0);
    let actions = b.run_until(21, 399);
    assert!(actions.answers.is_empty());
    let actions = b.driver.advance_to(at(400));
    assert_eq!(
        [before, during].map(|id| answer(&actions, id)),
        ["rejected", "aborted"]
    );
    // What comes behind it has its answer at once.
    let (late, actions) = b.take_by(401, READ, 10_000, 0);
    assert!(actions.executions.is_empty());
    assert_eq!(answer(&actions, late), "rejected");
}
