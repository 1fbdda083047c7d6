//! What a driver may assume of a fleet that it can't see. It knows from its settings how many drivers there are, and sees
//! of the members only what its own thin traffic shows; what each does alone adds up over all. So here stand the parts
//! of one driver in what all may do together, and what it does where it can't wait to learn. Nothing here chooses.

use crate::time::Span;

/// Members whose state is wanted are probed this often: shunned, lagging, or of a group without a primary.
const PROBE_GAP: Span = Span::millis(300);
/// But a member no oftener than this by all drivers together, for all want the same news at once.
const PROBE_EACH: Span = Span::millis(15);
/// First bound on executions at a member, for all drivers together.
const FIRST_LIMIT: f64 = 8.0;
/// Share of a cold member's budget that is used, since drivers can't see each other's sends; and how often that may be
/// what warm members carry on the mean, where there is proof that it is borne.
const COLD_CAUTION: f64 = 0.5;
const COLD_PROVEN: f64 = 2.0;
/// From so many drivers on the sum of their sends strays from its mean by a tenth at most, one part in the root of
/// their number: chance then needs no caution of its own.
const LARGE: f64 = 100.0;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fleet {
    drivers: f64,
}

impl Default for Fleet {
    fn default() -> Fleet {
        Fleet::of(1)
    }
}

impl Fleet {
    /// At least this driver is there.
    pub fn of(drivers: u32) -> Fleet {
        let drivers = f64::from(drivers.max(1));
        Fleet { drivers }
    }

    /// This driver's even part of what all may have.
    pub fn part(self, of_all: f64) -> f64 {
        of_all / self.drivers
    }

    pub fn first_limit(self) -> f64 {
        self.part(FIRST_LIMIT).max(1.0)
    }

    /// Between two probes of one member by this driver.
    pub fn probe_gap(self) -> Span {
        PROBE_GAP.max(PROBE_EACH * self.drivers)
    }

    /// Whether a member of which nothing is known is asked once. Where members turn away what they are too far behind
    /// for, a read finds out as well, at no cost; many drivers that start together, or hear of new members together,
    /// would ask each of them hundreds of times.
    pub fn greets(self, members_check_reads: bool) -> bool {
        !members_check_reads || PROBE_EACH * self.drivers <= PROBE_GAP
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
