//! Fault plans: the system calls of a program under test that fail, and the shift of its wall clock.
//!
//! A test passes a [`FaultPlan`] in the program's environment ([`FaultPlan::environment`]). The shared object of
//! `crates/fault-preload`, loaded by `LD_PRELOAD`, reads it ([`FaultPlan::read`]) and consults a [`FaultCounter`]
//! on each call. This crate makes no system calls itself.

mod call;
mod counter;
mod plan;

pub use call::{Call, ErrorNumber};
pub use counter::FaultCounter;
pub use plan::{CallFault, ClockShift, FaultPlan, PlanError};
