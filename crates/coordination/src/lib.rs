//! Coordination among drivers: who does something for all ([`lease`]), which members are unresponsive by the
//! reports of several drivers ([`failure_consensus`]), how much load members can take by all drivers' answers
//! ([`load_aggregate`]), and how many drivers there are ([`fleet_size`]).
//!
//! The rules do no I/O: other drivers' messages and the current time go in; messages to send and permissions
//! come out. No client waits for coordination, and no message of one driver changes more than that driver's
//! own part.

pub mod failure_consensus;
pub mod fleet_size;
pub mod lease;
pub mod load_aggregate;

/// Hash of a driver's or member's name, by which all drivers know it alike.
pub type NameHash = u64;
