//! How a driver's mind is handed on to it, what others tell it, and what a host may see of it. Nothing is
//! decided here.

use super::{Driver, SESSIONS_KEPT};
use crate::fleet::Fleet;
use crate::interface::{Results, Settings, Standing, Told};
use crate::subset::Firsts;
use crate::time::{TimeSpan, Timestamp};
use std::collections::BTreeSet;

impl Driver {
    /// Another process with this one's memory serves beside it (`yields`: it gets the cold members), or is
    /// gone. What either may have sent there by now isn't known here: it counts as sent just now.
    pub fn beside(&mut self, now: Timestamp, yields: bool) -> Results {
        self.hear(now);
        let longest = self.longest_typical();
        self.yields = yields;
        self.members.reckon_anew(now, longest);
        self.touched.extend(self.members.index.values());
        self.settle()
    }

    /// What another process of this driver, or another driver, tells of a member.
    pub fn told(&mut self, now: Timestamp, member: u32, word: Told) -> Results {
        self.hear(now);
        let Some(&m) = self.members.index.get(&member) else {
            return self.settle();
        };
        let (sparse, f) = (self.sparse(), &mut self.members);
        match word {
            Told::Open(count) => f.elsewhere[m] = count,
            Told::Cold { work, until } => f.allowed[m] = Some((work, until)),
            Told::Silent(until) => f.quiet_until[m] = until,
            Told::Share(share) => f.let_in[m] = if sparse { share } else { f.let_in[m] },
            Told::Said(ago, s) => self.learn_sighting(m, ago, ago, s),
            Told::Drains(started) if f.started[m] <= started && f.standing[m] == Standing::Ready => {
                (f.standing[m], f.drained[m]) = (Standing::Draining, true);
                self.groups[f.group[m]].depose(m);
            }
            Told::Drains(_) => {}
        }
        self.changed.insert(self.members.group[m]);
        self.touched.push(m);
        self.settle()
    }

    /// Members that are cold: how warm on the mean of the rule's span, and what this driver would carry.
    pub fn cold_view(&self, now: Timestamp) -> Vec<(u32, f64, f64)> {
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
    pub fn work_of(&self, workload: usize) -> TimeSpan {
        self.typical[workload]
    }

    /// Whether probes of a member are wanted, now or later.
    pub fn wants_probe(&self, member: u32) -> bool {
        let known = self.members.index.get(&member);
        known.is_some_and(|m| self.probe_due(*m).is_some())
    }

    /// Goes on from what another process has learned, whose clock this one shares. That a member owes is
    /// the other's belief, and not inherited. Its idle connections stand only if they came along.
    pub fn resume(learned: Driver, settings: &Settings, idle_came: bool, now: Timestamp) -> Driver {
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
    pub fn session_told(&mut self, session: u64, position: Timestamp) {
        self.sessions.note(session, position, SESSIONS_KEPT);
    }
}
