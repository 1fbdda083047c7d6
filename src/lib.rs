//! Decisions of a routing service that steers statements to the members of a replicated store.
//!
//! A host creates one [`policy::RoutingPolicy`] per driver instance, reports events to it and carries out the
//! [`interface::Actions`] that it returns. This crate does no I/O and reads no clock.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`interface`], [`time`] | inputs, outputs and clock types |
//! | [`remote_clock`] | estimate of the members' clock by the driver's monotonic clock |
//! | [`policy`] | decisions: admission, replica selection, retries, health checks, endpoint list |
//! | `state` | state of a driver: statements, members, groups, queues, estimators |
//! | `concurrency_limit`, `slow_start`, [`zone_health`] | limits and health of members and zones |
//! | [`fleet_share`], [`replica_preference`] | one driver's share of limits and replicas among all drivers |
//! | `driver` | one driver: state and bookkeeping, reports from peers, read access for hosts |

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
