//! What the drivers of one fleet tell each other, so that each decides on what all of them observed.
//!
//! Nothing here does I/O or reads a clock: datagrams and times go in, datagrams and notifications come out.
//!
//! | module | contents |
//! | --- | --- |
//! | [`node`] | one driver's gossip node: dispatches every input to the modules below |
//! | [`record`] | replicated records, their merge rules, lifetimes and limits |
//! | [`state`] | one driver's copy of all records: bounded, expiring, comparable |
//! | [`conflict`] | contradictions between records, logged for operators |
//! | [`membership`] | which drivers are alive, by the SWIM protocol |
//! | [`dissemination`] | which new records are sent to whom, within a rate limit |
//! | [`anti_entropy`] | comparing copies, so that they become equal whatever was lost |
//! | [`in_doubt`] | statements that must not be executed twice |
//! | [`slow_start`] | how much work all drivers together dispatch to a member that is warming up |
//! | [`snapshot`] | the durable copy of the state |
//! | [`codec`] | datagrams |
//!
//! Records travel with their age, never with a reading of a clock, so clocks need only run at about the same speed.

pub mod anti_entropy;
pub mod codec;
pub mod conflict;
pub mod dissemination;
pub mod in_doubt;
pub mod membership;
pub mod node;
pub mod record;
pub mod slow_start;
pub mod snapshot;
pub mod state;
