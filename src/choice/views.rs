//! How a driver's mind is handed on to it, and what a host may see of it. Nothing is decided here.

use super::{Driver, SESSIONS_KEPT};
use crate::fleet::Fleet;
use crate::interface::Settings;
use crate::subset::Firsts;
use crate::time::{Point, Span};
use std::collections::BTreeSet;

impl Driver {
    /// Members that are cold: how warm on the mean of the rule's span, and what this driver would carry.
    pub fn cold_view(&self, now: Point) -> Vec<(u32, f64, f64)> {
        let cold = self
            .members
            .cold(now, now - self.settings.fall_span * 0.5, &self.settings);
        cold.map(|(m, warmth)| (self.members.id[m], warmth, self.carried(m)))
            .collect()
    }

    /// The share that each member is let in.
    pub fn shares(&self) -> impl Iterator<Item = (u32, f64)> + '_ {
        let all = self.members.index.iter();
        all.map(|(id, m)| (*id, self.members.let_in[*m]))
    }

    /// What a statement of a workload takes.
    pub fn work_of(&self, workload: usize) -> Span {
        self.typical[workload]
    }

    /// Whether probes of a member are wanted, now or later.
    pub fn wants_probe(&self, member: u32) -> bool {
        let known = self.members.index.get(&member);
        known.is_some_and(|m| self.probe_due(*m).is_some())
    }

    /// Goes on from what another process has learned, whose clock this one shares. That a member owes is
    /// the other's belief, and not inherited. Its idle connections stand only if they came along.
    pub fn resume(learned: Driver, settings: &Settings, idle_came: bool, now: Point) -> Driver {
        let settings = settings.clone();
        let mut d = Driver {
            fleet: Fleet::of(settings.driver_count),
            firsts: Firsts::alone(learned.chance.seed),
            settings,
            now,
            ..learned
        };
        d.touched = d.members.disown(idle_came, now);
        d
    }

    /// Drivers that are there beside this one, by keys alike for all of them, and how many count in all.
    pub fn peers_told(&mut self, own: u64, others: &BTreeSet<u64>, count: u32) -> bool {
        self.fleet = Fleet::of(count);
        self.firsts.among(own, others)
    }

    /// Where a session's last write was committed that another driver carried.
    pub fn session_told(&mut self, session: u64, position: Point) {
        self.sessions.note(session, position, SESSIONS_KEPT);
    }
}
