//! Decides which records of an earlier run a starting driver may use, even if no peer is reachable.
//!
//! [`trust`] assesses each stored record: usable at once, as a bound, after a member's own report, or never.
//! [`report`] summarizes the assessments for operators, with the records' ages by the wall clock. No rule
//! depends on that clock, and nothing here does I/O.

pub mod report;
pub mod trust;
