//! What a host may read of a driver's state.

use super::RoutingPolicy;
use crate::interface::{MemberShare, WarmingMember};
use crate::time::{TimeSpan, Timestamp};

impl RoutingPolicy {
    /// Members that are warming up, with their capacity half an overload window ago.
    pub fn warming_members(&self, now: Timestamp) -> Vec<WarmingMember> {
        let window_middle = now - self.settings.overload_window * 0.5;
        let warming = self.members.all_places().filter(|place| {
            let fraction = self.warm_up_fraction(*place, now);
            fraction < 1.0
        });
        let view = |place: usize| WarmingMember {
            member: self.members[place].id,
            warm_up_fraction: self.warm_up_fraction(place, window_middle),
            carried_load: self.carried_load(place),
        };
        warming.map(view).collect()
    }

    /// The admission share of each member, in the order of their ids.
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

    /// Whether health checks of a member are wanted, now or later.
    pub fn wants_health_check(&self, member: u32) -> bool {
        let place = self.members.find(member);
        place.is_some_and(|place| self.health_check_due(place).is_some())
    }
}
