//! Decides what a starting driver may do with the records that it stored in an earlier run, when no peer may
//! be there to ask.
//!
//! [`trust`] assesses each stored record: usable at once, as a bound, after a member's own report, or never,
//! and by which rule. [`report`] sums that up for operators, with each record's age by the wall clock. No rule depends
//! on that clock, and nothing here does I/O.

pub mod report;
pub mod trust;
