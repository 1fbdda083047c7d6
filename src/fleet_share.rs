//! This driver's share of what all drivers of a fleet may do together. Nothing here chooses.
//!
//! A driver knows from its settings how many drivers there are, and sees of the members only what its own traffic shows.
//! What each does alone adds up over the fleet, so limits that hold for all are divided here.

use crate::time::TimeSpan;

/// Time between two health checks of a member by one driver.
const HEALTH_CHECK_INTERVAL: TimeSpan = TimeSpan::millis(300);
/// Least time between two health checks of a member by all drivers together.
const FLEET_CHECK_INTERVAL: TimeSpan = TimeSpan::millis(15);
/// Initial concurrency limit of a member for all drivers together.
const INITIAL_LIMIT: f64 = 8.0;
/// Part of a warming member's budget that is used, since drivers don't see each other's dispatches.
const WARM_UP_CAUTION: f64 = 0.5;
/// Most load of a warming member, as a multiple of what warm members carry, where it is proven that it sustains that.
const PROVEN_MULTIPLE: f64 = 2.0;
/// From so many drivers on the sum of their dispatches stays within a tenth of its mean (one part in the root of their
/// number), and chance needs no caution of its own.
const LARGE_FLEET: f64 = 100.0;

/// One driver among all of its fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetShare {
    drivers: f64,
}

impl Default for FleetShare {
    fn default() -> FleetShare {
        FleetShare::new(1)
    }
}

impl FleetShare {
    /// The share of one of so many drivers; zero counts as one.
    pub fn new(drivers: u32) -> FleetShare {
        FleetShare {
            drivers: f64::from(drivers.max(1)),
        }
    }

    /// This driver's even share of a total.
    pub fn of_total(self, total: f64) -> f64 {
        total / self.drivers
    }

    /// Concurrency limit of a member that is new or has restarted.
    pub fn initial_limit(self) -> f64 {
        self.of_total(INITIAL_LIMIT).max(1.0)
    }

    /// Time between two health checks of one member by this driver.
    pub fn health_check_interval(self) -> TimeSpan {
        HEALTH_CHECK_INTERVAL.max(FLEET_CHECK_INTERVAL * self.drivers)
    }

    /// Whether a member of which nothing is known gets an initial health check. Where members reject reads that they are
    /// too far behind for, a read finds that out at no cost; many drivers that learn of new members together would check
    /// each of them hundreds of times.
    pub fn checks_new_members(self, members_check_reads: bool) -> bool {
        !members_check_reads || !self.is_large()
    }

    /// Whether each driver prefers a replica of its own. Where each sends little, round robin by each over all replicas
    /// keeps a connection open between every two, which costs more than the unevenness of single drivers.
    pub fn prefers_own_replica(self) -> bool {
        self.is_large()
    }

    /// Over twenty drivers: each checks members more rarely than it would alone.
    fn is_large(self) -> bool {
        FLEET_CHECK_INTERVAL * self.drivers > HEALTH_CHECK_INTERVAL
    }

    /// Load that a warming member may be sent, as a multiple of what it is expected to sustain, of the multiple that the
    /// settings allow. `is_proven`: this driver's own fast answers prove that it sustains more.
    pub fn warm_up_multiple(self, allowed: f64, is_proven: bool) -> f64 {
        let most = if is_proven || self.drivers >= LARGE_FLEET {
            PROVEN_MULTIPLE
        } else {
            1.0
        };
        (WARM_UP_CAUTION * allowed).min(most)
    }

    /// Load of this driver at a member, in cores: what warm members carry for it, at least its share of one core.
    pub fn carried_load(self, measured: f64) -> f64 {
        measured.max(self.of_total(1.0))
    }
}
