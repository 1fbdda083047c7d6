//! What a driver that starts makes of what it knew before, when nobody may be there to ask. `trust` says of every kept fact
//! what it is good for at once, what only as a bound, what after a member's own word, and what never, and by which rule;
//! `report` sums that up for operators. Rules without I/O: facts, the time by the wall clock then and now, and what else is
//! known of the time between go in.

pub mod report;
pub mod trust;
