//! Warm-up budget of one driver for a member that has just started.

mod common;
use asterlatch::interface::ExecutionOutcome;
use common::*;

/// A driver that has run for ten seconds, and a primary that starts then.
fn harness_with_started_primary() -> Harness {
    let mut harness = new_harness(&settings_with(|s| s.overload_multiple = 100.0), 1);
    harness.update_endpoint(10_000, started_member(1, remote_at(10_000)));
    harness
}

/// A call to the warming primary.
struct Call {
    statement: u32,
    sent_ms: u64,
}

/// The first call to the primary; its connection is still being established.
fn connecting_call(harness: &mut Harness, from: u64) -> Call {
    let call = first_call(harness, from);
    harness.driver.on_connecting(call.statement, 0);
    call
}

fn first_call(harness: &mut Harness, from: u64) -> Call {
    let calls = (from..from + 10_000).filter_map(|sent_ms| {
        let (_, actions) = harness.submit(sent_ms, WRITE);
        let execution = actions.executions.first()?;
        Some(Call {
            statement: execution.statement,
            sent_ms,
        })
    });
    let mut calls = calls;
    calls.next().expect("a call is sent within ten seconds")
}

#[test]
fn may_dispatch_slow_connection_without_later_calls_is_sent() {
    let mut harness = harness_with_started_primary();
    let call = connecting_call(&mut harness, 10_001);
    assert!(harness
        .driver
        .may_dispatch(at(call.sent_ms + 400), call.statement, 0));
}

#[test]
fn may_dispatch_slow_connection_after_later_calls_is_not_sent() {
    // (milliseconds until the connection is established; whether the call is sent although others were
    // charged since)
    let table = [(30, true), (45, true), (900, false)];
    for (delay_ms, is_sent) in table {
        let mut harness = harness_with_started_primary();
        let slow_call = connecting_call(&mut harness, 10_001);
        // Other calls are answered at once, so that they do not reach the concurrency limit.
        let mut others = 0;
        for now in slow_call.sent_ms + 1..slow_call.sent_ms + delay_ms {
            let (_, actions) = harness.submit(now, WRITE);
            for execution in actions.executions {
                others += 1;
                harness.end_execution(now, execution.statement, 0, 1, ExecutionOutcome::Completed);
            }
        }
        let is_dispatched =
            harness
                .driver
                .may_dispatch(at(slow_call.sent_ms + delay_ms), slow_call.statement, 0);
        assert_eq!(is_dispatched, is_sent, "{delay_ms} ms, {others} other calls");
        assert!(is_sent || others > 0, "no other call was charged");
    }
}

#[test]
fn on_statement_warming_member_is_blocked_during_first_window_of_process() {
    // A predecessor of this process may have spent the budget of that window.
    let mut harness = new_harness(&settings_with(|s| s.overload_multiple = 100.0), 1);
    harness.update_endpoint(1, started_member(1, remote_at(0)));
    let first = first_call(&mut harness, 2);
    assert!((2_000..3_000).contains(&first.sent_ms), "{}", first.sent_ms);
}
