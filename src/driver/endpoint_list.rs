//! Updates of the member table from the endpoint list.

use super::RoutingPolicy;
use crate::concurrency_limit::FAST_LATENCY_RATIO;
use crate::interface::*;
use crate::state::*;
use crate::time::Timestamp;
use std::collections::BTreeSet;

impl RoutingPolicy {
    /// Handles a change of the endpoint list; `entries` are the changes, or the complete list if
    /// `is_complete`.
    pub fn on_endpoint_list(
        &mut self,
        now: Timestamp,
        entries: &[MemberEntry],
        is_complete: bool,
    ) -> Actions {
        self.set_now(now);
        if is_complete {
            for member in self.members.all_mut() {
                member.state = MemberState::Gone;
            }
        }
        for entry in entries {
            self.apply_entry(entry);
        }
        if is_complete {
            let starts = entries.iter().filter_map(|entry| entry.started_at);
            self.remote_clock.observe_starts(now, starts);
        }
        let referenced = self.referenced_members();
        let indices = self.members.all_indices();
        let (available, unavailable): (Vec<_>, Vec<_>) = indices.partition(|m| self.is_available(*m));
        let capacity = |index: &usize| {
            let member = &self.members[*index];
            member.capacity * self.warm_up_fraction(*index, self.now)
        };
        self.available_capacity = available.iter().map(capacity).sum();
        for index in unavailable {
            self.retire_member(index, referenced.contains(&index));
        }
        self.changed_groups.extend(0..self.groups.len());
        self.unscheduled_members.extend(self.members.all_indices());
        self.run_rules()
    }

    pub(crate) fn apply_entry(&mut self, entry: &MemberEntry) {
        let group = self.groups.index_or_insert(entry.group);
        let max_typical = self.max_typical_latency();
        let MemberSlot { index, is_new } = self.members.index_or_insert(entry.id);
        let member = &mut self.members[index];
        if is_new {
            member.group = group;
            member.latency_ratio = FAST_LATENCY_RATIO / 2.0;
            self.groups[group].members.push(index);
        }
        if is_new || entry.started_at > member.started_at {
            // A member that has just started may be warming up and is not the primary any more.
            member.started_at = entry.started_at;
            if entry.started_at.is_some() {
                self.listed_at.insert(entry.id, self.now);
            }
            member.concurrency_limit = self.fleet.initial_limit();
            member.ejected = false;
            member.drained = false;
            member.health_check_at = self.now;
            // Random, so that drivers that learn of the member together do not dispatch to it together.
            member.warm_up_debt_at = self.now;
            member.warm_up_debt = max_typical * self.rng.draw();
            self.groups[group].clear_primary(index);
        }
        member.state = entry.state;
        member.zone = entry.zone;
        member.capacity = entry.capacity;
        member.fleet_key = entry.fleet_key;
        member.drained |= entry.state == MemberState::Draining;
        let may_be_primary = entry.listed_as_primary && !member.reported_replica;
        let group = &mut self.groups[group];
        if group.primary.is_none() && may_be_primary {
            group.primary = Some(index);
        }
    }

    /// Indices of members that open statements or executions refer to and that must not be reused.
    pub(crate) fn referenced_members(&self) -> BTreeSet<usize> {
        let by_statements = self
            .statements
            .values()
            .flat_map(StatementState::referenced_members);
        let by_executions = self.in_flight.values().map(|e| e.member_index);
        by_statements.chain(by_executions).collect()
    }

    /// Cancels executions that were not sent yet to an unavailable member. Removes the member if it is gone
    /// and nothing refers to it, so that the table does not grow as members are replaced.
    pub(crate) fn retire_member(&mut self, index: usize, is_referenced: bool) {
        let unsent = self
            .in_flight
            .cancel(|e| e.member_index == index && e.is_connecting);
        self.request_cancellations(unsent);
        let member = &self.members[index];
        let group = &mut self.groups[member.group];
        group.clear_primary(index);
        if member.state == MemberState::Gone && !is_referenced {
            group.members.retain(|m| *m != index);
            self.member_timers.reschedule(index, member.next_check_at, None);
            let id = self.members.remove(index);
            self.listed_at.remove(&id);
            self.remote_clock.remove_member(id);
            self.actions.removed_members.push(id);
        }
    }
}
