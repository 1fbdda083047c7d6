//! What members are known to carry, and which of them are unresponsive.

use super::RoutingPolicy;
use crate::concurrency_limit::GOOD_LATENCY_RATIO;
use crate::interface::Freshness;
use crate::slow_start::WarmUpPlan;
use crate::state::InFlightExecution;
use crate::time::{TimeSpan, Timestamp};

impl RoutingPolicy {
    /// Load that a warm member of this one's capacity carries for this driver on average, in cores.
    pub(crate) fn carried_load(&self, member: usize) -> f64 {
        let share = self.members[member].capacity / self.available_capacity.max(0.01);
        let window = self.settings.overload_window;
        let throughput = self.throughput.total_since(self.now - window).ratio(window);
        self.fleet.carried_load(throughput * share.min(1.0))
    }

    /// Time before which a member gets no call of this much work; zero for a warm one.
    pub(crate) fn blocked_until(&self, place: usize, work: TimeSpan) -> Timestamp {
        let member = &self.members[place];
        let started_at = self
            .latest_start(place)
            .filter(|_| self.warm_up_fraction(place, self.now) < 1.0);
        let Some(started_at) = started_at else {
            return Timestamp(0);
        };
        let plan = self.warm_up_plan(place, started_at);
        member.blocked_until(self.now, work, &plan, &self.settings)
    }

    /// The next time at which a warming member may get a call of some workload that it may not get now.
    pub(crate) fn next_unblocked_at(&self, place: usize) -> Option<Timestamp> {
        let times = self.typical.all().map(|work| self.blocked_until(place, work));
        times.filter(|at| *at > self.now).min()
    }

    fn warm_up_plan(&self, place: usize, started_at: Timestamp) -> WarmUpPlan {
        let member = &self.members[place];
        let carried = self.carried_load(place);
        let is_proven = !self.has_few_samples() && member.latency_ratio < GOOD_LATENCY_RATIO;
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

    pub(crate) fn has_idle_connection(&self, member: usize) -> bool {
        self.members[member].has_idle_connection(self.now, self.settings.idle_connection_timeout)
    }

    /// Behind a network partition each member is met too rarely to be detected alone: the zone may be silent.
    pub(crate) fn is_unresponsive(&self, member: usize) -> bool {
        let is_reported = self.members[member].unresponsive_until > self.now;
        self.is_in_silent_zone(member) || self.has_few_samples() && is_reported
    }

    pub(crate) fn is_in_silent_zone(&self, member: usize) -> bool {
        if !self.has_few_samples() {
            return false;
        }
        let zone = self.members[member].zone;
        let in_zone = |e: &&InFlightExecution| self.members[e.member].zone == zone;
        let mut dispatched = self.in_flight.values().filter(in_zone).map(|e| e.dispatched_at);
        let longest = self.max_typical_latency();
        self.zones.is_silent(zone, &mut dispatched, self.now, longest)
    }

    /// Whether a write of this session is in flight, or has ended at an unknown position: it may have committed though its
    /// answer is late or lost.
    pub(crate) fn may_be_writing(&self, session: u64) -> bool {
        if self.settings.carries_session_position || session == 0 {
            return false;
        }
        if self.unplaced_commit_at.is_some() {
            return true;
        }
        let is_write = |workload: usize| self.settings.workloads[workload].freshness == Freshness::Write;
        let mut sent = self.in_flight.values().filter(|e| !e.is_connecting);
        sent.any(|e| e.session == session && is_write(e.workload))
    }
}
