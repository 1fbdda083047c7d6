//! Shared object for `LD_PRELOAD`: functions of the C library that fail as [`FaultPlan`] says.
//!
//! Each function stands in the way of the C library's own, asks the plan, and makes the system call itself. Calls that a
//! program makes without the C library, as `rustix` does, are out of reach. A plan that can't be read ends the process: a
//! run without its faults would prove nothing.

pub mod interposed;

use asterlatch_fault_injection::{Call, FaultCounter, FaultPlan};
use std::sync::OnceLock;

/// Set when the shared object is loaded, before the program's `main`.
static COUNTER: OnceLock<FaultCounter> = OnceLock::new();

/// Exit code of a program whose plan can't be read.
const UNREADABLE_PLAN: i32 = 120;

/// Reads the plan from the environment.
fn start() {
    let plan = FaultPlan::read(|name| std::env::var(name).ok()).unwrap_or_else(|error| {
        eprintln!("fault injection: {error}");
        std::process::exit(UNREADABLE_PLAN);
    });
    let _ = COUNTER.set(FaultCounter::new(plan));
}

/// The number of the error that this call fails with, if it is to fail.
fn error(call: Call) -> Option<i32> {
    Some(COUNTER.get()?.error(call)?.number)
}

/// Whether this call is to be cut short.
fn is_short(call: Call) -> bool {
    COUNTER.get().is_some_and(|counter| counter.is_short(call))
}

/// Seconds that the wall clock is off at this many milliseconds after the start.
fn clock_offset(ms: u64) -> i64 {
    COUNTER
        .get()
        .map_or(0, |counter| counter.plan().clock.offset_at(ms))
}
