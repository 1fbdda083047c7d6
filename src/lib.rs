//! Decisions of a routing service that steers statements over the members of a replicated store.
//!
//! A host makes one [`policy::RoutingPolicy`] for each driver instance, reports what happens and carries out the
//! [`interface::Actions`] that it gets back. Nothing here does I/O or reads a clock.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`interface`], [`time`] | inputs, outputs and clock types |
//! | [`remote_clock`] | relates members' timestamps to the driver's own time line, by evidence |
//! | [`policy`] | every decision: admission, replica selection, retries, health checks, endpoint list |
//! | `state` | what a driver remembers: statements, members, groups, queues, estimators |
//! | `concurrency_limit`, `slow_start`, [`zone_health`] | estimates of what members and zones sustain |
//! | [`fleet_share`], [`replica_preference`] | one driver's part in what all drivers do together |
//! | `driver` | one driver: its state with the bookkeeping around it, what peers report, what a host may read |

mod concurrency_limit;
mod driver;
pub mod fleet_share;
pub mod interface;
pub mod policy;
pub mod remote_clock;
pub mod replica_preference;
mod slow_start;
mod state;
pub mod time;
pub mod zone_health;
