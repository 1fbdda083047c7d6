//! Outlier ejection and the schedule of health checks.

use super::evidence::StatusSource;
use super::RoutingPolicy;
use crate::concurrency_limit::MAX_UNANSWERED_TIME;
use crate::interface::*;
use crate::time::{TimeSpan, Timestamp};

impl RoutingPolicy {
    /// Handles the end of a health check that was sent at most `latency` ago. `status` is used only if it was
    /// answered.
    pub fn on_health_check(
        &mut self,
        now: Timestamp,
        member: u32,
        is_answered: bool,
        latency: TimeSpan,
        status: ReplicaStatus,
    ) -> Actions {
        self.set_now(now);
        if let Some(index) = self.members.index_of(member) {
            self.changed_groups.insert(self.members[index].group);
            self.unscheduled_members.push(index);
            if is_answered {
                self.readmit(index);
                let source = StatusSource::Member {
                    latency,
                    stamped_after: Some(now - latency),
                };
                self.learn_status(index, status, source);
            }
        }
        self.run_rules()
    }

    /// Ejects a member until it answers a health check or an execution.
    pub(super) fn eject(&mut self, index: usize) {
        let member = &mut self.members[index];
        member.ejected = true;
        member.concurrency_limit = 1.0;
        member.health_check_at = self.now;
        self.changed_groups.insert(member.group);
        self.unscheduled_members.push(index);
    }

    /// Rule: sets the timer of a member whose state has changed. Looking at changed members only keeps the
    /// cost of an input independent of the number of members.
    pub(super) fn schedule_member_check(&mut self) -> bool {
        let Some(index) = self.unscheduled_members.pop() else {
            return false;
        };
        let member = &self.members[index];
        let response_deadline = member.response_deadline(self.max_typical_latency());
        let times = [
            response_deadline.filter(|_| !member.ejected),
            self.health_check_due(index),
            self.next_unblocked_at(index),
        ];
        let next = times.into_iter().flatten().min();
        let member = &mut self.members[index];
        self.member_timers.reschedule(index, member.next_check_at, next);
        member.next_check_at = next.unwrap_or_default();
        true
    }

    /// Rule: ejects a member that leaves executions unanswered, whether by a hang, a network partition or a
    /// crash. A single long statement may cause this too; the health check that follows readmits the member.
    pub(super) fn check_member(&mut self) -> bool {
        let Some(index) = self.member_timers.expired(self.now) else {
            return false;
        };
        let response_deadline = self.members[index].response_deadline(self.max_typical_latency());
        if !self.members[index].ejected && response_deadline.is_some_and(|at| at <= self.now) {
            self.eject(index);
        }
        if self.health_check_due(index).is_some_and(|at| at <= self.now) {
            let member = &mut self.members[index];
            member.health_check_at = self.now + self.fleet.health_check_interval();
            self.actions.health_checks.push(member.id);
        }
        self.changed_groups.insert(self.members[index].group);
        self.unscheduled_members.push(index);
        true
    }

    /// Time at which a member is to be health-checked; `None` if no check is needed.
    pub(crate) fn health_check_due(&self, index: usize) -> Option<Timestamp> {
        if !self.settings.health_checks_allowed || !self.is_available(index) {
            return None;
        }
        let member = &self.members[index];
        let group = &self.groups[member.group];
        let checks_reads = self.settings.members_check_reads;
        let is_unknown = member.status_at.is_none() && !member.reported_replica;
        let is_initial = is_unknown && self.fleet.checks_new_members(checks_reads);
        if is_initial || member.ejected || group.needs_primary {
            return Some(member.health_check_at);
        }
        // An ageing position must be renewed, by a health check where no answers arrive.
        let lacks_replicas = !checks_reads && group.no_ready_replica_until > self.now;
        if !lacks_replicas || group.primary == Some(index) {
            return None;
        }
        let aged_at = member.status_at.unwrap_or_default() + MAX_UNANSWERED_TIME;
        Some(member.health_check_at.max(aged_at))
    }
}
