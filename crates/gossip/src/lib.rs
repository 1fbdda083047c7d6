//! Gossip protocol between the drivers of one fleet: each driver decides by what all of them have observed.
//!
//! The crate does no I/O and reads no clock: datagrams and times go in, datagrams and notifications come out.
//!
//! | module | contents |
//! | --- | --- |
//! | [`node`] | the gossip node of one driver: passes each input to the modules below |
//! | [`record`] | replicated records, their merge rules, time to live and limits |
//! | [`state`] | one driver's copy of all records: bounded, with expiry, comparable by hash range |
//! | [`conflict`] | log of contradictory records, for operators |
//! | [`membership`] | SWIM membership: which drivers are alive |
//! | [`dissemination`] | propagation of new records to random peers, within a rate limit |
//! | [`anti_entropy`] | comparison and repair of copies after datagram loss |
//! | [`in_doubt`] | statements that must not be executed twice and may have been dispatched elsewhere |
//! | [`slow_start`] | work budgets for members that are warming up, shared by all drivers |
//! | [`snapshot`] | persistent copy of the state |
//! | [`codec`] | datagram encoding |
//!
//! Records are sent with their age, never with a timestamp, so clocks need not agree; they only have to run
//! at about the same rate.

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
