//! How a driver's mind is handed on to it, what others tell it, and what a host may see of it. Nothing is
//! decided here.

use super::{RoutingPolicy, SESSIONS_KEPT};
use crate::fleet_share::FleetShare;
use crate::interface::{Actions, MemberShare, MemberState, MemberUpdate, Settings, WarmingMember};
use crate::replica_preference::ReplicaPreference;
use crate::time::{TimeSpan, Timestamp};
use std::collections::BTreeSet;

impl RoutingPolicy {
    /// Another process with this one's memory serves beside it (`yields`: it gets the cold members), or is
    /// gone. What either may have sent there by now isn't known here: it counts as sent just now.
    pub fn set_peer_process(&mut self, now: Timestamp, yields: bool) -> Actions {
        self.set_now(now);
        let longest = self.longest_typical_latency();
        self.yields = yields;
        self.members.reckon_anew(now, longest);
        self.touched.extend(self.members.index.values());
        self.run_rules()
    }

    /// What another process of this driver, or another driver, tells of a member.
    pub fn on_member_update(&mut self, now: Timestamp, member: u32, word: MemberUpdate) -> Actions {
        self.set_now(now);
        let Some(&m) = self.members.index.get(&member) else {
            return self.run_rules();
        };
        let (sparse, f) = (self.has_few_samples(), &mut self.members);
        match word {
            MemberUpdate::InFlight(count) => f.peer_in_flight[m] = count,
            MemberUpdate::WarmUpBudget { work, until } => f.warm_up_budget[m] = Some((work, until)),
            MemberUpdate::Unresponsive(until) => f.unresponsive_until[m] = until,
            MemberUpdate::AdmissionShare(share) => {
                f.admission_share[m] = if sparse { share } else { f.admission_share[m] }
            }
            MemberUpdate::Status(ago, s) => self.learn_sighting(m, ago, ago, s),
            MemberUpdate::Draining(started)
                if f.started_at[m] <= started && f.state[m] == MemberState::Ready =>
            {
                (f.state[m], f.drained[m]) = (MemberState::Draining, true);
                self.groups[f.group[m]].depose(m);
            }
            MemberUpdate::Draining(_) => {}
        }
        self.changed.insert(self.members.group[m]);
        self.touched.push(m);
        self.run_rules()
    }

    /// Members that are cold: how warm on the mean of the rule's span, and what this driver would carry.
    pub fn warming_members(&self, now: Timestamp) -> Vec<WarmingMember> {
        let cold = self
            .members
            .cold(now, now - self.settings.overload_window * 0.5, &self.settings);
        cold.map(|(m, warm_up_fraction)| WarmingMember {
            member: self.members.id[m],
            warm_up_fraction,
            carried_load: self.carried(m),
        })
        .collect()
    }

    /// The share that each member is let in.
    pub fn admission_shares(&self) -> impl Iterator<Item = MemberShare> + '_ {
        let all = self.members.index.iter();
        all.map(|(id, m)| MemberShare {
            member: *id,
            share: self.members.admission_share[*m],
        })
    }

    /// What a statement of a workload takes.
    pub fn typical_latency(&self, workload: usize) -> TimeSpan {
        self.typical[workload]
    }

    /// Whether probes of a member are wanted, now or later.
    pub fn wants_health_check(&self, member: u32) -> bool {
        let known = self.members.index.get(&member);
        known.is_some_and(|m| self.probe_due(*m).is_some())
    }

    /// Goes on from what another process has learned, whose clock this one shares. That a member owes is
    /// the other's belief, and not inherited. Its idle connections stand only if they came along.
    pub fn resume(
        learned: RoutingPolicy,
        settings: &Settings,
        idle_came: bool,
        now: Timestamp,
    ) -> RoutingPolicy {
        let settings = settings.clone();
        let mut d = RoutingPolicy {
            fleet: FleetShare::of(settings.driver_count),
            firsts: ReplicaPreference::alone(learned.chance.seed),
            settings,
            now,
            ..learned
        };
        d.touched = d.members.disown(idle_came, now);
        d
    }

    /// Drivers that are there beside this one, by keys alike for all of them, and how many count in all.
    pub fn set_fleet_drivers(&mut self, own: u64, others: &BTreeSet<u64>, count: u32) -> bool {
        self.fleet = FleetShare::of(count);
        self.firsts.among(own, others)
    }

    /// Where a session's last write was committed that another driver carried.
    pub fn on_session_position(&mut self, session: u64, position: Timestamp) {
        self.sessions.note(session, position, SESSIONS_KEPT);
    }
}
