//! Read access to a driver's state for its host.

use super::RoutingPolicy;
use crate::interface::{MemberShare, WarmingMember};
use crate::time::{TimeSpan, Timestamp};

impl RoutingPolicy {
    /// Members that are warming up, with their warm-up fraction half an overload window ago.
    pub fn warming_members(&self, now: Timestamp) -> Vec<WarmingMember> {
        let window_middle = now - self.settings.overload_window * 0.5;
        let warming = self.members.all_indices().filter(|index| {
            let fraction = self.warm_up_fraction(*index, now);
            fraction < 1.0
        });
        let view = |index: usize| WarmingMember {
            member: self.members[index].id,
            warm_up_fraction: self.warm_up_fraction(index, window_middle),
            carried_load: self.carried_load(index),
        };
        warming.map(view).collect()
    }

    /// Admission share of each member, by ascending id.
    pub fn admission_shares(&self) -> impl Iterator<Item = MemberShare> + '_ {
        self.members.iter().map(|(member, state)| MemberShare {
            member,
            share: state.admission_share,
        })
    }

    /// Smoothed latency of a workload's completed executions.
    pub fn typical_latency(&self, workload: usize) -> TimeSpan {
        self.typical.of(workload)
    }

    /// Whether a health check of a member is due, now or later.
    pub fn wants_health_check(&self, member: u32) -> bool {
        let index = self.members.index_of(member);
        index.is_some_and(|index| self.health_check_due(index).is_some())
    }
}
