//! Coordination among drivers: which driver performs a task for the fleet ([`lease`]), which members several
//! drivers report as unresponsive ([`failure_consensus`]), how much load a member accepts across the fleet
//! ([`load_aggregate`]), and how many drivers share the limits ([`fleet_size`]).
//!
//! The crate does no I/O: callers pass in peers' messages and the current time, and get back messages to send
//! and decisions. Client requests never wait for coordination, and a message from one driver changes only
//! that driver's contribution.

pub mod failure_consensus;
pub mod fleet_size;
pub mod lease;
pub mod load_aggregate;

/// Hash of a driver's or member's name; the same on all drivers.
pub type NameHash = u64;
