//! Decisions of a routing service that steers statements over the members of a replicated store.
//!
//! `choice` holds every decision and `state` what a driver remembers for them; `interface` says what passes
//! in and out, and `time` has the clock types. `fleet` knows what one driver may do of what all do together,
//! `subset` which replicas it asks first.

pub mod choice;
pub mod fleet;
pub mod health;
pub mod interface;
mod state;
pub mod subset;
pub mod time;
