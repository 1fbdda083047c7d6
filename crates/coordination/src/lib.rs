//! What many drivers do so that it adds up: who does something for all ([`lease`]), which members they find unresponsive
//! together ([`failure_consensus`]), what members can take by all their answers ([`load_aggregate`]), and how many drivers
//! there are ([`fleet_size`]).
//!
//! Rules without I/O: other drivers' messages and the clock go in; what to send and what may be done comes out. No client
//! waits for coordination, and no message of one driver moves more than that driver's own part.

pub mod failure_consensus;
pub mod fleet_size;
pub mod lease;
pub mod load_aggregate;

/// Hash of a driver's or member's name, by which all drivers know it alike.
pub type NameHash = u64;
