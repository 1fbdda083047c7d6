//! Coordination between the drivers of a fleet: health check leases, failure consensus and load aggregate.

use super::{EventLoop, Logger};
use crate::routing::gossip::{named_shares, NamedShare};
use asterlatch::interface::{MemberShare, MemberUpdate};
use asterlatch::time::Timestamp;
use asterlatch::zone_health;
use std::collections::BTreeMap;

impl<L: Logger> EventLoop<L> {
    /// Updates the policy's view of the present drivers.
    pub(super) fn update_fleet(&mut self, now: Timestamp) {
        let Some(gossip) = &mut self.gossip else { return };
        let fleet = gossip.fleet_view(now);
        self.policy
            .set_fleet_drivers(fleet.own_key, &fleet.peer_keys, fleet.driver_count);
    }

    /// Whether this driver sends a health check that its policy wants, rather than the lease holder.
    pub(super) fn may_check_health(&mut self, now: Timestamp, member: u32) -> bool {
        let Some(gossip) = &mut self.gossip else {
            return true;
        };
        let Some(name) = self.members.name(member) else {
            return true;
        };
        let may_check = gossip.may_check_health(now, name);
        self.metrics.health_checks_left_to_peers += u64::from(!may_check);
        may_check
    }

    /// Runs a coordination round: leases, health checks for the fleet, delayed executions, unresponsive
    /// members, shares.
    pub(super) fn coordinate(&mut self, now: Timestamp) {
        self.update_fleet(now);
        let delayed = self.delayed_executions(now);
        let shares = self.reportable_shares();
        let Some(gossip) = &mut self.gossip else { return };
        let (policy, members) = (&self.policy, &self.members);
        let wants_health_check = |name: &str| {
            let member = members.find(name);
            member.is_some_and(|member| policy.wants_health_check(member))
        };
        let round = gossip.coordinate(now, wants_health_check, &delayed, &shares);
        // Names are resolved first, because carrying out an update may remove members.
        let mut health_checks = Vec::new();
        for name in &round.health_checks {
            health_checks.extend(self.members.find(name));
        }
        let mut updates = Vec::new();
        for unresponsive in &round.unresponsive {
            let member = self.members.find(&unresponsive.member);
            updates.extend(member.map(|member| (member, MemberUpdate::Unresponsive(unresponsive.until))));
        }
        for share in &round.shares {
            let member = self.members.find(&share.member);
            updates.extend(member.map(|member| (member, MemberUpdate::AdmissionShare(share.share))));
        }
        for member in health_checks {
            self.metrics.health_checks_for_fleet += 1;
            self.check_health(now, member);
        }
        for (member, update) in updates {
            self.count_coordinated(&update);
            self.update_member(now, member, update);
        }
    }

    fn count_coordinated(&mut self, update: &MemberUpdate) {
        match update {
            MemberUpdate::Unresponsive(until) => {
                self.metrics.unresponsive_by_consensus += u64::from(*until > Timestamp(0));
            }
            MemberUpdate::AdmissionShare(_) => self.metrics.shares_drawn += 1,
            _ => {}
        }
    }

    /// Admission shares for the load aggregate; none once this driver has enough samples of its own.
    fn reportable_shares(&self) -> Vec<NamedShare> {
        let has_few_samples = self.policy.has_few_samples();
        let shares = self.policy.admission_shares();
        let reportable = shares.filter(|_: &MemberShare| has_few_samples);
        named_shares(reportable, &self.members)
    }

    /// Members with delayed executions of this driver, and when the latest of these was dispatched.
    fn delayed_executions(&self, now: Timestamp) -> BTreeMap<String, Timestamp> {
        let before = zone_health::delayed_before(now, self.policy.max_typical_latency());
        let mut delayed: BTreeMap<String, Timestamp> = BTreeMap::new();
        for execution in self.member_requests.executions() {
            let Some(name) = self.members.name(execution.member) else {
                continue;
            };
            if execution.started_at < before {
                let last = delayed.entry(name.to_owned()).or_insert(execution.started_at);
                *last = execution.started_at.max(*last);
            }
        }
        delayed
    }

    /// Records another driver's report of a delayed execution at a member.
    pub(super) fn on_peer_delayed_execution(
        &mut self,
        member: &str,
        driver: &str,
        sent_at: Timestamp,
        observed_at: Timestamp,
    ) {
        // Ignores members that are not listed here.
        if self.members.find(member).is_none() {
            return;
        }
        if let Some(gossip) = &mut self.gossip {
            gossip.on_peer_delayed_execution(member, driver, sent_at, observed_at);
        }
    }
}
