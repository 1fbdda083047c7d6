//! Decides what a starting driver may do with the records that it stored in an earlier run, when no peer may
//! be there to ask.
//!
//! [`trust`] assesses each stored record: usable at once, as a bound, after a member's own report, or never,
//! and by which rule. [`report`] sums that up for operators. The rules do no I/O: records, and the wall
//! clock's time when each was written and now, go in.

pub mod report;
pub mod trust;
