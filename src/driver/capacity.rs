//! Capacity of members for this driver, and detection of unresponsive ones.

use super::RoutingPolicy;
use crate::concurrency_limit::FAST_LATENCY_RATIO;
use crate::interface::Freshness;
use crate::slow_start::WarmUpPlan;
use crate::state::InFlightExecution;
use crate::time::{TimeSpan, Timestamp};

impl RoutingPolicy {
    /// Average load, in cores, that this driver puts on a warm member with the capacity of this one.
    pub(crate) fn carried_load(&self, member_index: usize) -> f64 {
        let share = self.members[member_index].capacity / self.available_capacity.max(0.01);
        let window = self.settings.overload_window;
        let throughput = self.throughput.total_since(self.now - window).ratio(window);
        self.fleet.carried_load(throughput * share.min(1.0))
    }

    /// Time before which a member is sent no execution of this much work; zero for a warm one.
    pub(crate) fn blocked_until(&self, member_index: usize, work: TimeSpan) -> Timestamp {
        let member = &self.members[member_index];
        let started_at = self
            .latest_start(member_index)
            .filter(|_| self.warm_up_fraction(member_index, self.now) < 1.0);
        let Some(started_at) = started_at else {
            return Timestamp(0);
        };
        let plan = self.warm_up_plan(member_index, started_at);
        member.blocked_until(self.now, work, &plan, &self.settings)
    }

    /// Next time at which a warming member may be sent an execution of a workload that is blocked now.
    pub(crate) fn next_unblocked_at(&self, member_index: usize) -> Option<Timestamp> {
        let times = self
            .typical
            .all()
            .map(|work| self.blocked_until(member_index, work));
        times.filter(|at| *at > self.now).min()
    }

    fn warm_up_plan(&self, member_index: usize, started_at: Timestamp) -> WarmUpPlan {
        let member = &self.members[member_index];
        let carried = self.carried_load(member_index);
        let is_proven = !self.has_few_samples() && member.latency_ratio < FAST_LATENCY_RATIO;
        let window = self.settings.overload_window;
        WarmUpPlan {
            started_at,
            window,
            allowed_load: carried * self.settings.overload_multiple * self.fleet.planned_fraction(),
            expected_load: carried * self.fleet.warm_up_load(is_proven),
            rounding: WarmUpPlan::rounding(self.rng.seed(), member),
            not_before: self.created_at + WarmUpPlan::spread(window),
        }
    }

    pub(crate) fn has_idle_connection(&self, member_index: usize) -> bool {
        self.members[member_index].has_idle_connection(self.now, self.settings.idle_connection_timeout)
    }

    /// Whether a member or its whole zone is unresponsive. A driver with few samples sends to each member too
    /// rarely to detect a network partition by single members.
    pub(crate) fn is_unresponsive(&self, member_index: usize) -> bool {
        let is_reported = self.members[member_index].unresponsive_until > self.now;
        self.is_in_unresponsive_zone(member_index) || self.has_few_samples() && is_reported
    }

    pub(crate) fn is_in_unresponsive_zone(&self, member_index: usize) -> bool {
        if !self.has_few_samples() {
            return false;
        }
        let zone = self.members[member_index].zone;
        let in_zone = |e: &&InFlightExecution| self.members[e.member_index].zone == zone;
        let mut dispatched = self.in_flight.values().filter(in_zone).map(|e| e.dispatched_at);
        let max_typical = self.max_typical_latency();
        self.zones
            .is_zone_unresponsive(zone, &mut dispatched, self.now, max_typical)
    }

    /// Whether a write of this session may have committed at an unknown position, because it is in flight or
    /// its answer was lost.
    pub(crate) fn has_indeterminate_write(&self, session: u64) -> bool {
        if self.settings.carries_session_position || session == 0 {
            return false;
        }
        if self.unpositioned_commit_at.is_some() {
            return true;
        }
        let is_write = |workload: usize| self.settings.workloads[workload].freshness == Freshness::Write;
        let mut sent = self.in_flight.values().filter(|e| !e.is_connecting);
        sent.any(|e| e.session == session && is_write(e.workload))
    }
}
