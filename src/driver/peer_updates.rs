//! Reports from peer processes and other drivers, and the takeover of learned state.

use super::{RoutingPolicy, MAX_TRACKED_SESSIONS};
use crate::fleet_share::FleetShare;
use crate::interface::{Actions, MemberState, MemberUpdate, Settings};
use crate::policy::StatusSource;
use crate::remote_clock::{RemoteClock, StampedAnswer};
use crate::replica_preference::ReplicaPreference;
use crate::state::WarmUpBudget;
use crate::time::{RemoteTimestamp, TimeSpan, Timestamp};
use std::collections::BTreeSet;

/// Maximum lead of a primary's position over the positions that its group has reported, after a takeover.
const ROLE_TOLERANCE: TimeSpan = TimeSpan::millis(1000);

impl RoutingPolicy {
    /// Handles the start or end of a peer process with the same learned state. With `yields`, warming members
    /// are left to the peer. Since the peer's dispatches are unknown, each warming member is charged as if
    /// used just now.
    pub fn set_peer_process(&mut self, now: Timestamp, yields: bool) -> Actions {
        self.set_now(now);
        let max_typical = self.max_typical_latency();
        self.yields_to_peer = yields;
        for member in self.members.all_mut() {
            member.warm_up_debt_at = now;
            member.warm_up_debt = max_typical;
            member.peer_in_flight = 0;
        }
        self.unscheduled_members.extend(self.members.all_indices());
        self.run_rules()
    }

    /// Handles a report about a member from a peer process or another driver. Unknown members are ignored.
    pub fn on_member_update(&mut self, now: Timestamp, member: u32, update: MemberUpdate) -> Actions {
        self.set_now(now);
        let Some(index) = self.members.index_of(member) else {
            return self.run_rules();
        };
        let few_samples = self.has_few_samples();
        let member = &mut self.members[index];
        match update {
            MemberUpdate::InFlight(count) => member.peer_in_flight = count,
            MemberUpdate::WarmUpBudget { work, until } => {
                member.warm_up_budget = Some(WarmUpBudget { work, until });
            }
            MemberUpdate::Unresponsive(until) => member.unresponsive_until = until,
            MemberUpdate::AdmissionShare(share) if few_samples => member.admission_share = share,
            MemberUpdate::AdmissionShare(_) => {}
            MemberUpdate::Status(age, status) => self.learn_status(index, status, StatusSource::Peer { age }),
            MemberUpdate::Draining(started_at) => self.drain(index, started_at),
        }
        self.changed_groups.insert(self.members[index].group);
        self.unscheduled_members.push(index);
        self.run_rules()
    }

    /// Marks a member as draining, unless it has started again after `started_at`.
    fn drain(&mut self, index: usize, started_at: Option<RemoteTimestamp>) {
        let member = &mut self.members[index];
        if member.started_at <= started_at && member.state == MemberState::Ready {
            member.state = MemberState::Draining;
            member.drained = true;
            self.groups[member.group].clear_primary(index);
        }
    }

    /// Continues from the learned state of a predecessor with the same monotonic clock. Its executions in
    /// flight are not taken over, and idle connections only if `idle_handed_over`.
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
        policy.clamp_future_roles();
        policy.restore_remote_clock();
        policy
    }

    /// Limits the positions at which roles were reported: a role reported without a position was placed by
    /// the predecessor's estimate of the members' time, which may have been too far ahead.
    fn clamp_future_roles(&mut self) {
        for group_index in 0..self.groups.len() {
            let group = &mut self.groups[group_index];
            let positions = group.members.iter().map(|member| self.members[*member].position);
            let newest = positions.max().unwrap_or_default();
            group.primary_position = group.primary_position.min(newest + ROLE_TOLERANCE);
        }
    }

    /// Rebuilds lower bounds of the members' clock, which is not handed over, from the times of their last
    /// reports.
    fn restore_remote_clock(&mut self) {
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

    /// Declares that the host's clock is also the members' clock, as in a simulator. Otherwise the relation
    /// of the two is estimated from answers.
    pub fn set_shared_clock(&mut self) {
        self.remote_clock = RemoteClock::shared();
    }

    /// Sets the key of this driver, the keys of its live peers, and the size of the fleet. Keys are the same
    /// at all drivers. Returns whether the set of drivers has changed.
    pub fn set_fleet_drivers(&mut self, driver_key: u64, peers: &BTreeSet<u64>, fleet_size: u32) -> bool {
        self.fleet = FleetShare::new(fleet_size);
        self.preference.set_drivers(driver_key, peers)
    }

    /// The session of a write in flight whose position a peer process needs to know.
    pub fn session_of_write(&self, statement: u32, attempt: u8) -> Option<u64> {
        let execution = self.in_flight.get(statement, attempt)?;
        self.is_tracked_write(execution).then_some(execution.session)
    }

    /// Whether a write has committed at a position that is not known yet.
    pub fn has_unpositioned_write(&self) -> bool {
        self.unpositioned_commit_at.is_some()
    }

    /// Handles a peer process's report of a write that has ended, of a session or of any session if it is `None`.
    /// Without a position it has committed by now. Takes effect on waiting reads with the next call.
    pub fn on_session_write(
        &mut self,
        now: Timestamp,
        session: Option<u64>,
        position: Option<RemoteTimestamp>,
    ) {
        self.record_write(now, session, position);
        self.changed_groups.extend(0..self.groups.len());
    }

    /// Handles another driver's report of the position of a session's last write.
    pub fn on_session_position(&mut self, session: u64, position: RemoteTimestamp) {
        self.sessions.record(session, position, MAX_TRACKED_SESSIONS);
    }
}
