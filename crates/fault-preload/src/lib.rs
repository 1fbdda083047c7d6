//! Shared object for `LD_PRELOAD`: C library functions that fail according to a [`FaultPlan`].
//!
//! Each function overrides the C library's, consults the plan and makes the system call itself. System calls made
//! without the C library, as by `rustix`, are not intercepted. An invalid plan ends the process, because a test
//! without its faults would prove nothing.

pub mod interposed;

use asterlatch_fault_injection::{Call, FaultCounter, FaultPlan};
use std::sync::OnceLock;

/// Set when the shared object is loaded, before the program's `main`.
static COUNTER: OnceLock<FaultCounter> = OnceLock::new();

/// Exit code of a program whose plan is invalid.
const EXIT_INVALID_PLAN: i32 = 120;

/// Loads the plan from the environment; exits if it is invalid.
fn load_plan() {
    let plan = FaultPlan::read(|name| std::env::var(name).ok()).unwrap_or_else(|error| {
        eprintln!("fault injection: cannot read the fault plan: {error}");
        std::process::exit(EXIT_INVALID_PLAN);
    });
    let _ = COUNTER.set(FaultCounter::new(plan));
}

/// Counts the call; returns its `errno` if it fails.
fn injected_error(call: Call) -> Option<i32> {
    Some(COUNTER.get()?.error(call)?.number)
}

/// Counts the call; returns whether its transfer is partial.
fn is_short(call: Call) -> bool {
    COUNTER.get().is_some_and(|counter| counter.is_short(call))
}

/// Offset of the wall clock in seconds, at `elapsed_ms` since the load.
fn clock_offset_s(elapsed_ms: u64) -> i64 {
    COUNTER
        .get()
        .map_or(0, |counter| counter.plan().clock.offset_at(elapsed_ms))
}
