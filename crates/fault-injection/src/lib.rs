//! Which system calls of a program under test fail, and how far its wall clock is off.
//!
//! A [`FaultPlan`] is written into the environment of that program ([`FaultPlan::environment`]), where the shared object of
//! `crates/fault-preload`, loaded by `LD_PRELOAD`, reads it ([`FaultPlan::read`]) and asks a [`FaultCounter`] for each call.
//! Nothing here makes a system call.

mod call;
mod counter;
mod plan;

pub use call::{Call, ErrorNumber};
pub use counter::FaultCounter;
pub use plan::{CallFault, ClockShift, FaultPlan, PlanError};
