//! What a driver that starts makes of the records that it had stored, when nobody may be there to ask.
//!
//! [`trust`] tells of every stored record whether it is usable at once, as a bound, after a member's own report, or never,
//! and by which rule. [`report`] sums that up for operators. Rules without I/O: records, and the wall clock's time when
//! each was written and now, go in.

pub mod report;
pub mod trust;
