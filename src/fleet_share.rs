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
/// Allowed calls below which the slow-start rule is `N + 3 * sqrt(N) + 3`, and from which on `N + 2 * sqrt(N) + 2`.
const FEW_CALLS: f64 = 30.0;
/// Above so many allowed calls the slow-start rule leaves ever more for chance, relative to them.
const MANY_CALLS: u32 = 100;
/// Standard deviations by which the sum of all drivers' rounded budgets may exceed its mean: exceeded by chance at one of
/// 30,000 starts of a member.
const CHANCE_DEVIATIONS: f64 = 4.0;
/// Most variance of one randomly rounded number.
const ROUNDING_VARIANCE: f64 = 0.25;
/// Load that a warming member is sent where this driver's own fast answers prove that it sustains more than expected, as a
/// multiple of what warm members carry. Twice that would fill queues; half of it would leave proven members idle.
const PROVEN_LOAD: f64 = 2.0;
/// From so many drivers on none of them can prove alone what a warming member sustains, and each sends as if it were proven:
/// the sum of their dispatches stays within a tenth of its mean (one part in the root of their number).
const LARGE_FLEET: f64 = 100.0;

/// One driver among all of its fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetShare {
    drivers: f64,
    planned_fraction: f64,
}

impl Default for FleetShare {
    fn default() -> FleetShare {
        FleetShare::new(1)
    }
}

impl FleetShare {
    /// The share of one of so many drivers; zero counts as one.
    pub fn new(drivers: u32) -> FleetShare {
        let drivers = f64::from(drivers.max(1));
        FleetShare {
            drivers,
            planned_fraction: least_planned_part(drivers),
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

    /// Part of the load that the settings allow a warming member that all drivers plan for together, so that their budgets,
    /// each rounded at random to whole calls, stay within the slow-start rule whatever the settings allow. Between 0.78 (many
    /// drivers with less than one call each) and 1 (few drivers).
    pub fn planned_fraction(self) -> f64 {
        self.planned_fraction
    }

    /// Load that a warming member is sent, as a multiple of what warm members carry for its warm-up fraction, if the rule
    /// allows that much. `is_proven`: this driver's own fast answers prove that it sustains more.
    pub fn warm_up_load(self, is_proven: bool) -> f64 {
        if is_proven || self.drivers >= LARGE_FLEET {
            PROVEN_LOAD
        } else {
            1.0
        }
    }

    /// Load of this driver at a member, in cores: what warm members carry for it, at least its share of one core.
    pub fn carried_load(self, measured: f64) -> f64 {
        measured.max(self.of_total(1.0))
    }
}

/// Calls of mean work, of all drivers together within the overload window, up to which a warming member stays up where the
/// settings allow `allowed` by its capacity.
fn most_calls(allowed: f64) -> f64 {
    let root = allowed.sqrt();
    if allowed < FEW_CALLS {
        allowed + 3.0 * root + 3.0
    } else {
        allowed + 2.0 * root + 2.0
    }
}

/// Calls that so many drivers may plan for together where `allowed` are allowed.
///
/// The sum of randomly rounded budgets has the mean `m` that is planned for. Its variance is at most `m`, and at most
/// [`ROUNDING_VARIANCE`] a driver. Hence `m + CHANCE_DEVIATIONS * sqrt(min(m, drivers * ROUNDING_VARIANCE))` has to stay
/// within [`most_calls`].
fn planned_calls(allowed: f64, drivers: f64) -> f64 {
    let most = most_calls(allowed);
    let by_drivers = most - CHANCE_DEVIATIONS * (drivers * ROUNDING_VARIANCE).sqrt();
    let half = CHANCE_DEVIATIONS / 2.0;
    let by_mean = ((most + half * half).sqrt() - half).powi(2);
    by_drivers.max(by_mean).min(allowed)
}

/// The least part of the allowed calls that may be planned for, over all numbers of allowed calls.
fn least_planned_part(drivers: f64) -> f64 {
    let allowed = (1..=4 * MANY_CALLS).map(|quarters| f64::from(quarters) / 4.0);
    let parts = allowed.map(|allowed| planned_calls(allowed, drivers) / allowed);
    parts.fold(1.0, f64::min)
}
