//! What other processes and drivers report to a driver, and how its learned state is taken over. Nothing is decided here.

use super::{RoutingPolicy, MOST_SESSIONS};
use crate::fleet_share::FleetShare;
use crate::interface::{Actions, MemberState, MemberUpdate, Settings};
use crate::policy::StatusSource;
use crate::remote_clock::{RemoteClock, StampedAnswer};
use crate::replica_preference::ReplicaPreference;
use crate::state::WarmUpBudget;
use crate::time::{RemoteTimestamp, TimeSpan, Timestamp};
use std::collections::BTreeSet;

/// How far a role may count ahead of the positions that its group has reported: one reported without a position may.
const ROLE_TOLERANCE: TimeSpan = TimeSpan::millis(1000);

impl RoutingPolicy {
    /// A peer process with the same learned state serves beside this one, or is gone. With `yields` the warming members
    /// are the peer's. What either has dispatched by now isn't known here, so it counts as dispatched just now.
    pub fn set_peer_process(&mut self, now: Timestamp, yields: bool) -> Actions {
        self.set_now(now);
        let longest = self.max_typical_latency();
        self.yields_to_peer = yields;
        for member in self.members.all_mut() {
            member.warm_up_debt_at = now;
            member.warm_up_debt = longest;
            member.peer_in_flight = 0;
        }
        self.unscheduled_members.extend(self.members.all_places());
        self.run_rules()
    }

    /// Another process of this driver, or another driver, reports about a member. Unknown members are ignored.
    pub fn on_member_update(&mut self, now: Timestamp, member: u32, update: MemberUpdate) -> Actions {
        self.set_now(now);
        let Some(place) = self.members.find(member) else {
            return self.run_rules();
        };
        let few_samples = self.has_few_samples();
        let member = &mut self.members[place];
        match update {
            MemberUpdate::InFlight(count) => member.peer_in_flight = count,
            MemberUpdate::WarmUpBudget { work, until } => {
                member.warm_up_budget = Some(WarmUpBudget { work, until });
            }
            MemberUpdate::Unresponsive(until) => member.unresponsive_until = until,
            MemberUpdate::AdmissionShare(share) if few_samples => member.admission_share = share,
            MemberUpdate::AdmissionShare(_) => {}
            MemberUpdate::Status(age, status) => self.learn_status(place, status, StatusSource::Peer { age }),
            MemberUpdate::Draining(started_at) => self.drain(place, started_at),
        }
        self.changed_groups.insert(self.members[place].group);
        self.unscheduled_members.push(place);
        self.run_rules()
    }

    /// The instance of a member that started then drains; a later instance does not.
    fn drain(&mut self, place: usize, started_at: Option<RemoteTimestamp>) {
        let member = &mut self.members[place];
        if member.started_at <= started_at && member.state == MemberState::Ready {
            member.state = MemberState::Draining;
            member.drained = true;
            self.groups[member.group].clear_primary(place);
        }
    }

    /// Continues from what another process has learned, whose clock this one shares. What members left unanswered there is
    /// not taken over, and their idle connections only where they were handed over.
    pub fn resume(
        learned: RoutingPolicy,
        settings: &Settings,
        idle_handed_over: bool,
        now: Timestamp,
    ) -> RoutingPolicy {
        let mut policy = RoutingPolicy {
            fleet: FleetShare::new(settings.driver_count),
            preference: ReplicaPreference::new(learned.rng.seed()),
            settings: settings.clone(),
            now,
            ..learned
        };
        policy.unscheduled_members = policy.members.reset_in_flight(idle_handed_over, now);
        policy.resumed_at = now;
        policy.forget_future_roles();
        policy.relearn_remote_time();
        policy
    }

    /// A role that was reported without a position counted by the other process's idea of the members' time. No member has
    /// acted as primary at a position far ahead of all that its group has reported.
    fn forget_future_roles(&mut self) {
        for place in 0..self.groups.len() {
            let group = &mut self.groups[place];
            let positions = group.members.iter().map(|member| self.members[*member].position);
            let newest = positions.max().unwrap_or_default();
            group.primary_position = group.primary_position.min(newest + ROLE_TOLERANCE);
        }
    }

    /// The relation of the members' clock to the time line isn't handed over, but when members reported their positions is.
    fn relearn_remote_time(&mut self) {
        for (member, state) in self.members.iter() {
            if let Some(received_at) = state.status_at {
                self.remote_clock.observe(&StampedAnswer {
                    member,
                    stamp: state.position,
                    received_at,
                    stamped_after: None,
                });
            }
        }
    }

    /// The host's time line is the clock that members stamp with, as in a simulator. On sockets it is not: how the two
    /// relate is learned from answers.
    pub fn set_shared_clock(&mut self) {
        self.remote_clock = RemoteClock::shared();
    }

    /// Sets the drivers that are there beside this one, by keys that are the same at all of them, and the size of the
    /// fleet. Returns whether the drivers have changed.
    pub fn set_fleet_drivers(&mut self, own: u64, others: &BTreeSet<u64>, fleet_size: u32) -> bool {
        self.fleet = FleetShare::new(fleet_size);
        self.preference.set_drivers(own, others)
    }

    /// Another driver reports where a session's last write was committed.
    pub fn on_session_position(&mut self, session: u64, position: RemoteTimestamp) {
        self.sessions.record(session, position, MOST_SESSIONS);
    }
}
