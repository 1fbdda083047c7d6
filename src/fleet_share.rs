//! One driver's share of limits that hold for the whole fleet.
//!
//! Drivers do not see each other's traffic. Each knows the number of drivers and divides the fleet's limits
//! by it.

use crate::time::TimeSpan;

/// Minimum time between two health checks of a member by one driver.
const HEALTH_CHECK_INTERVAL: TimeSpan = TimeSpan::millis(300);
/// Minimum mean time between health checks of a member by all drivers together.
const MIN_FLEET_CHECK_INTERVAL: TimeSpan = TimeSpan::millis(15);
/// Initial concurrency limit of a member for all drivers together.
const INITIAL_LIMIT: f64 = 8.0;
/// Number `N` of allowed calls below which the slow-start limit is `N + 3 * sqrt(N) + 3`, and otherwise
/// `N + 2 * sqrt(N) + 2`.
const FEW_CALLS: f64 = 30.0;
/// Number of allowed calls up to which planned fractions are computed; beyond it the slow-start limit leaves
/// enough room for random variation.
const MANY_CALLS: u32 = 100;
/// Standard deviations by which the sum of all drivers' rounded budgets may exceed its mean; exceeded at one
/// of 30,000 starts of a member.
const TOLERATED_DEVIATIONS: f64 = 4.0;
/// Maximum variance of one randomly rounded number.
const MAX_ROUNDING_VARIANCE: f64 = 0.25;
/// Load sent to a warming member whose fast answers prove that it sustains more than expected, as a multiple
/// of the load of warm members. Twice this multiple would fill queues, half of it would leave such members
/// idle.
const PROVEN_LOAD_MULTIPLE: f64 = 2.0;
/// Number of drivers from which on none has enough samples to prove what a warming member sustains, so that
/// each sends as if that were proven. The sum of their dispatches stays within a tenth of its mean, one part
/// in the square root of their number.
const LARGE_FLEET_DRIVERS: f64 = 100.0;

/// Share of one driver in its fleet.
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
    /// Share of one of `drivers` drivers; zero counts as one.
    pub fn new(drivers: u32) -> FleetShare {
        let drivers = f64::from(drivers.max(1));
        FleetShare {
            drivers,
            planned_fraction: min_planned_fraction(drivers),
        }
    }

    /// This driver's even share of a total.
    pub fn even_share(self, total: f64) -> f64 {
        total / self.drivers
    }

    /// Initial concurrency limit of a member that is new or has restarted; at least 1.
    pub fn initial_limit(self) -> f64 {
        self.even_share(INITIAL_LIMIT).max(1.0)
    }

    /// Time between two health checks of one member by this driver.
    pub fn health_check_interval(self) -> TimeSpan {
        HEALTH_CHECK_INTERVAL.max(MIN_FLEET_CHECK_INTERVAL * self.drivers)
    }

    /// Whether a member of unknown state gets an initial health check. Not in large fleets where members
    /// check reads: a rejected read costs little, whereas all drivers together would check each new member
    /// hundreds of times at once.
    pub fn checks_new_members(self, members_check_reads: bool) -> bool {
        !members_check_reads || !self.is_large()
    }

    /// Whether a driver sends reads to one preferred replica per group. In large fleets round robin would
    /// keep a connection open between every driver and every replica, at little traffic, which costs more
    /// than the uneven choices of single drivers.
    pub fn uses_preferred_replica(self) -> bool {
        self.is_large()
    }

    /// Whether the fleet is so large (more than 20 drivers) that each driver's health checks are spaced out
    /// further.
    fn is_large(self) -> bool {
        MIN_FLEET_CHECK_INTERVAL * self.drivers > HEALTH_CHECK_INTERVAL
    }

    /// Fraction of a warming member's allowed load for which all drivers plan together, so that their
    /// budgets, each rounded at random to whole calls, stay within the slow-start limit. From 0.78 (many
    /// drivers with less than one call each) to 1 (few drivers).
    pub fn planned_fraction(self) -> f64 {
        self.planned_fraction
    }

    /// Load sent to a warming member, within its limit, as a multiple of the load that a warm member carries
    /// for the same capacity. `is_proven` says that the member's fast answers to this driver prove that it
    /// sustains more.
    pub fn warm_up_load(self, is_proven: bool) -> f64 {
        if is_proven || self.drivers >= LARGE_FLEET_DRIVERS {
            PROVEN_LOAD_MULTIPLE
        } else {
            1.0
        }
    }

    /// Load of this driver at a warm member, in cores: the measured load, and at least an even share of one
    /// core.
    pub fn carried_load(self, measured: f64) -> f64 {
        measured.max(self.even_share(1.0))
    }
}

/// Maximum number of calls of mean work, from all drivers together within the overload window, that a warming
/// member survives if the settings allow `allowed` calls for its capacity.
fn max_calls(allowed: f64) -> f64 {
    let root = allowed.sqrt();
    if allowed < FEW_CALLS {
        allowed + 3.0 * root + 3.0
    } else {
        allowed + 2.0 * root + 2.0
    }
}

/// Calls for which `drivers` drivers may plan together if `allowed` are allowed.
///
/// The sum of randomly rounded budgets has the planned number as its mean. Its variance is at most that mean,
/// and at most [`MAX_ROUNDING_VARIANCE`] per driver. The mean plus [`TOLERATED_DEVIATIONS`] standard
/// deviations must stay within [`max_calls`].
fn planned_calls(allowed: f64, drivers: f64) -> f64 {
    let limit = max_calls(allowed);
    let by_drivers = limit - TOLERATED_DEVIATIONS * (drivers * MAX_ROUNDING_VARIANCE).sqrt();
    let half = TOLERATED_DEVIATIONS / 2.0;
    let by_mean = ((limit + half * half).sqrt() - half).powi(2);
    by_drivers.max(by_mean).min(allowed)
}

/// Minimum planned fraction over all numbers of allowed calls.
fn min_planned_fraction(drivers: f64) -> f64 {
    let allowed = (1..=4 * MANY_CALLS).map(|quarters| f64::from(quarters) / 4.0);
    let fractions = allowed.map(|allowed| planned_calls(allowed, drivers) / allowed);
    fractions.fold(1.0, f64::min)
}
