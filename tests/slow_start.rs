//! What one driver sends to a member that has just started.

mod common;
use asterlatch::interface::ExecutionOutcome;
use common::*;

/// A driver that has served for ten seconds, and a primary that starts then.
fn with_started_primary() -> Bench {
    let mut b = bench(&with(|s| s.overload_multiple = 100.0), 1);
    b.told(10_000, started(1, at(10_000)));
    b
}

/// A call to the warming primary.
struct Call {
    statement: u32,
    sent_ms: u64,
}

/// The first call to the primary, with its connection still to be established.
fn connecting_call(b: &mut Bench, from: u64) -> Call {
    let call = first_call(b, from);
    b.driver.on_connecting(call.statement, 0);
    call
}

fn first_call(b: &mut Bench, from: u64) -> Call {
    let calls = (from..from + 10_000).filter_map(|sent_ms| {
        let (_, actions) = b.take(sent_ms, WRITE);
        let execution = actions.executions.first()?;
        Some(Call {
            statement: execution.statement,
            sent_ms,
        })
    });
    let mut calls = calls;
    calls.next().expect("sent at last")
}

#[test]
fn may_dispatch_late_connection_without_later_calls_is_sent() {
    let mut b = with_started_primary();
    let call = connecting_call(&mut b, 10_001);
    assert!(b.driver.may_dispatch(at(call.sent_ms + 400), call.statement, 0));
}

#[test]
fn may_dispatch_late_connection_behind_later_calls_is_not_sent() {
    // (milliseconds until the connection is up; whether the call is sent though others were charged since)
    let table = [(30, true), (45, true), (900, false)];
    for (delay, is_sent) in table {
        let mut b = with_started_primary();
        let late = connecting_call(&mut b, 10_001);
        // Others are answered at once, so that there is room for the next.
        let mut others = 0;
        for now in late.sent_ms + 1..late.sent_ms + delay {
            let (_, actions) = b.take(now, WRITE);
            for execution in actions.executions {
                others += 1;
                b.end(now, execution.statement, 0, 1, ExecutionOutcome::Completed);
            }
        }
        let is_dispatched = b.driver.may_dispatch(at(late.sent_ms + delay), late.statement, 0);
        assert_eq!(is_dispatched, is_sent, "{delay} ms, {others} others");
        assert!(is_sent || others > 0, "or this proves nothing");
    }
}

#[test]
fn blocked_until_first_window_of_a_process_has_passed() {
    // An earlier process of this driver may have spent the budget of that window.
    let mut b = bench(&with(|s| s.overload_multiple = 100.0), 1);
    b.told(1, started(1, at(0)));
    let first = first_call(&mut b, 2);
    assert!((2_000..3_000).contains(&first.sent_ms), "{}", first.sent_ms);
}
