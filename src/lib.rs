//! Decisions of a routing service that steers statements over the members of a replicated store.
//!
//! `choice` holds every decision and `state` what a driver remembers for them; `interface` says what passes
//! in and out, and `time` has the clock types. `fleet` knows what one driver may do of what all do together,
//! `subset` which replicas it asks first.

pub mod fleet_share;
pub mod health;
pub mod interface;
pub mod policy;
pub mod replica_preference;
mod state;
pub mod time;
