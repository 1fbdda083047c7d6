//! What a driver may assume of a fleet that it can't see. It knows from its settings how many drivers there are, and sees
//! of the members only what its own thin traffic shows; what each does alone adds up over all. So here stand the parts
//! of one driver in what all may do together, and what it does where it can't wait to learn. Nothing here chooses.

use crate::time::{TimeSpan, Timestamp};
use serde::{Deserialize, Serialize};

/// Members whose state is wanted are probed this often: shunned, lagging, or of a group without a primary.
const PROBE_GAP: TimeSpan = TimeSpan::millis(300);
/// But a member no oftener than this by all drivers together, for all want the same news at once.
const PROBE_EACH: TimeSpan = TimeSpan::millis(15);
/// First bound on executions at a member, for all drivers together.
const FIRST_LIMIT: f64 = 8.0;
/// Share of a cold member's budget that is used, since drivers can't see each other's sends; and how often that may be
/// what warm members carry on the mean, where there is proof that it is borne.
const COLD_CAUTION: f64 = 0.5;
const COLD_PROVEN: f64 = 2.0;
/// From so many drivers on the sum of their sends strays from its mean by a tenth at most, one part in the root of
/// their number: chance then needs no caution of its own.
const LARGE: f64 = 100.0;

/// An execution is late for its zone after so many of the longest typical times; so many late ones, while nothing came from
/// there since, are no chance.
const LATE: f64 = 2.5;
const LATE_ONES: usize = 2;
/// A zone that was left is tried again after this.
const TRIAL: TimeSpan = TimeSpan::millis(1500);

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetShare {
    drivers: f64,
}

impl Default for FleetShare {
    fn default() -> FleetShare {
        FleetShare::of(1)
    }
}

impl FleetShare {
    /// At least this driver is there.
    pub fn of(drivers: u32) -> FleetShare {
        let drivers = f64::from(drivers.max(1));
        FleetShare { drivers }
    }

    /// This driver's even part of what all may have.
    pub fn part(self, of_all: f64) -> f64 {
        of_all / self.drivers
    }

    pub fn first_limit(self) -> f64 {
        self.part(FIRST_LIMIT).max(1.0)
    }

    /// Between two probes of one member by this driver.
    pub fn probe_gap(self) -> TimeSpan {
        PROBE_GAP.max(PROBE_EACH * self.drivers)
    }

    /// Whether a member of which nothing is known is asked once. Where members turn away what they are too far behind
    /// for, a read finds out as well, at no cost; many drivers that start together, or hear of new members together,
    /// would ask each of them hundreds of times.
    pub fn greets(self, members_check_reads: bool) -> bool {
        !members_check_reads || !self.is_large()
    }

    /// Whether drivers part a group's replicas among them: where each asks little, turns over all of them by each have a
    /// connection stand between every two, which costs more than the unevenness of single drivers, of which there are many.
    pub fn parts_replicas(self) -> bool {
        self.is_large()
    }

    /// So many that each is to ask what is wanted more rarely than it would alone: over twenty.
    fn is_large(self) -> bool {
        PROBE_EACH * self.drivers > PROBE_GAP
    }

    /// How many times what it is thought to bear a cold member may be sent, of the rule's multiple. Its own quick
    /// answers are proof in dense views; what chance could add is bounded where drivers are many.
    pub fn cold_multiple(self, rule: f64, proves: bool) -> f64 {
        let most = if proves || self.drivers >= LARGE {
            COLD_PROVEN
        } else {
            1.0
        };
        (COLD_CAUTION * rule).min(most)
    }

    /// Statements of this driver that a member bears, as a part of one core: what warm ones carry for it, or its part of
    /// one core where that is next to nothing.
    pub fn cold_carried(self, carried: f64) -> f64 {
        carried.max(self.part(1.0))
    }
}

/// What was last heard from each zone, and when it was left: one driver meets a member too rarely to learn of it what it
/// learns of all its neighbours together.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ZoneHealth {
    heard: Vec<Timestamp>,
    left: Vec<Timestamp>,
}

/// What went out before this is late.
pub fn late_since(now: Timestamp, longest_typical: TimeSpan) -> Timestamp {
    now - longest_typical * LATE
}

/// Zones are numbered densely, by the settings and the list.
fn set(times: &mut Vec<Timestamp>, zone: u16, now: Timestamp) {
    let z = usize::from(zone);
    times.resize(times.len().max(z + 1), Timestamp(0));
    times[z] = now;
}

impl ZoneHealth {
    /// Something was answered from there.
    pub fn hear(&mut self, zone: u16, now: Timestamp) {
        set(&mut self.heard, zone, now);
    }

    /// It is avoided from now on, until something is heard or it is time to try again.
    pub fn leave(&mut self, zone: u16, now: Timestamp) {
        set(&mut self.left, zone, now);
    }

    /// `out` are the times at which executions went out that are still out there.
    pub fn is_silent(
        &self,
        zone: u16,
        out: &mut dyn Iterator<Item = Timestamp>,
        now: Timestamp,
        longest: TimeSpan,
    ) -> bool {
        let at = |times: &[Timestamp]| times.get(usize::from(zone)).copied().unwrap_or_default();
        let (heard, left) = (at(&self.heard), at(&self.left));
        let late = late_since(now, longest);
        let owing = out.filter(|sent| *sent > heard && *sent < late);
        (left > heard && now < left + TRIAL) || owing.count() >= LATE_ONES
    }
}
