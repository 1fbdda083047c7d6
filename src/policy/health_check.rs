//! Which members are ejected as outliers, and which are health-checked when.

use super::evidence::StatusSource;
use super::RoutingPolicy;
use crate::concurrency_limit::UNANSWERED_LIMIT;
use crate::interface::*;
use crate::time::{TimeSpan, Timestamp};

impl RoutingPolicy {
    /// A health check of a member has ended, `latency` before now at the latest was it sent; `status` counts only if it was answered.
    pub fn on_health_check(
        &mut self,
        now: Timestamp,
        member: u32,
        is_answered: bool,
        latency: TimeSpan,
        status: ReplicaStatus,
    ) -> Actions {
        self.set_now(now);
        if let Some(place) = self.members.find(member) {
            self.changed_groups.insert(self.members[place].group);
            self.unscheduled_members.push(place);
            if is_answered {
                self.readmit(place);
                let source = StatusSource::Member {
                    latency,
                    stamped_after: Some(now - latency),
                };
                self.learn_status(place, status, source);
            }
        }
        self.run_rules()
    }

    /// Ejects a member until a health check succeeds or it answers.
    pub(super) fn eject(&mut self, place: usize) {
        let member = &mut self.members[place];
        member.ejected = true;
        member.concurrency_limit = 1.0;
        member.health_check_at = self.now;
        self.changed_groups.insert(member.group);
        self.unscheduled_members.push(place);
    }

    /// Rule: sets the next check of a member that something has changed about. Checking all members instead
    /// would cost each input the more, the larger the fleet.
    pub(super) fn schedule_member_check(&mut self) -> bool {
        let Some(place) = self.unscheduled_members.pop() else {
            return false;
        };
        let member = &self.members[place];
        let overdue_at = member.overdue_at(self.max_typical_latency());
        let times = [
            overdue_at.filter(|_| !member.ejected),
            self.health_check_due(place),
            self.next_unblocked_at(place),
        ];
        let next = times.into_iter().flatten().min();
        let member = &mut self.members[place];
        self.member_timers.reschedule(place, member.next_check_at, next);
        member.next_check_at = next.unwrap_or_default();
        true
    }

    /// Rule: a member that leaves executions unanswered is ejected, whatever the reason: a hang, a cut link,
    /// a crash. A lone long statement may be taken for that; the health check that follows soon readmits the
    /// member.
    pub(super) fn check_member(&mut self) -> bool {
        let Some(place) = self.member_timers.expired(self.now) else {
            return false;
        };
        let overdue_at = self.members[place].overdue_at(self.max_typical_latency());
        if !self.members[place].ejected && overdue_at.is_some_and(|at| at <= self.now) {
            self.eject(place);
        }
        if self.health_check_due(place).is_some_and(|at| at <= self.now) {
            let member = &mut self.members[place];
            member.health_check_at = self.now + self.fleet.health_check_interval();
            self.actions.health_checks.push(member.id);
        }
        self.changed_groups.insert(self.members[place].group);
        self.unscheduled_members.push(place);
        true
    }

    /// When a member is to be health-checked; `None` if nothing asks for it.
    pub(crate) fn health_check_due(&self, place: usize) -> Option<Timestamp> {
        if !self.settings.health_checks_allowed || !self.is_available(place) {
            return None;
        }
        let member = &self.members[place];
        let group = &self.groups[member.group];
        let checks_reads = self.settings.members_check_reads;
        let is_unknown = member.status_at.is_none() && !member.reported_replica;
        let is_initial = is_unknown && self.fleet.checks_new_members(checks_reads);
        if is_initial || member.ejected || group.needs_primary {
            return Some(member.health_check_at);
        }
        // An ageing position has to be renewed: by answers, or by a health check where none come.
        let lacks_replicas = !checks_reads && group.no_ready_replica_until > self.now;
        if !lacks_replicas || group.primary == Some(place) {
            return None;
        }
        let aged_at = member.status_at.unwrap_or_default() + UNANSWERED_LIMIT;
        Some(member.health_check_at.max(aged_at))
    }
}
