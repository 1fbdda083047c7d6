//! What the endpoint list changes in the member table.

use super::RoutingPolicy;
use crate::concurrency_limit::GOOD_LATENCY_RATIO;
use crate::interface::*;
use crate::state::*;
use crate::time::Timestamp;
use std::collections::BTreeSet;

impl RoutingPolicy {
    /// The endpoint list has changed: `entries` are the changes, or the complete list.
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
            self.learn_entry(entry);
        }
        if is_complete {
            let starts = entries.iter().filter_map(|entry| entry.started_at);
            self.remote_clock.observe_starts(now, starts);
        }
        let referenced = self.referenced_members();
        let places = self.members.all_places();
        let (available, unavailable): (Vec<_>, Vec<_>) = places.partition(|m| self.is_available(*m));
        let capacity = |m: &usize| {
            let member = &self.members[*m];
            member.capacity * self.warm_up_fraction(*m, self.now)
        };
        self.available_capacity = available.iter().map(capacity).sum();
        for place in unavailable {
            self.withdraw_from(place, referenced.contains(&place));
        }
        self.changed_groups.extend(0..self.groups.len());
        self.unscheduled_members.extend(self.members.all_places());
        self.run_rules()
    }

    pub(crate) fn learn_entry(&mut self, entry: &MemberEntry) {
        let group = self.groups.place(entry.group);
        let longest_typical = self.max_typical_latency();
        let Placed { place, is_new } = self.members.place(entry.id);
        let member = &mut self.members[place];
        if is_new {
            member.group = group;
            member.latency_ratio = GOOD_LATENCY_RATIO / 2.0;
            self.groups[group].members.push(place);
        }
        if is_new || entry.started_at > member.started_at {
            // It may be warming up, and is no longer primary whatever it was.
            member.started_at = entry.started_at;
            if entry.started_at.is_some() {
                self.listed_at.insert(entry.id, self.now);
            }
            member.concurrency_limit = self.fleet.initial_limit();
            member.ejected = false;
            member.drained = false;
            member.health_check_at = self.now;
            // Drivers that hear of it together must not dispatch to it together.
            member.warm_up_debt_at = self.now;
            member.warm_up_debt = longest_typical * self.rng.draw();
            self.groups[group].clear_primary(place);
        }
        member.state = entry.state;
        member.zone = entry.zone;
        member.capacity = entry.capacity;
        member.fleet_key = entry.fleet_key;
        member.drained |= entry.state == MemberState::Draining;
        let may_be_primary = entry.listed_as_primary && !member.reported_replica;
        let group = &mut self.groups[group];
        if group.primary.is_none() && may_be_primary {
            group.primary = Some(place);
        }
    }

    /// Members that open statements or executions refer to: their places must not be given away.
    pub(crate) fn referenced_members(&self) -> BTreeSet<usize> {
        let by_statements = self
            .statements
            .values()
            .flat_map(StatementState::referenced_members);
        let by_executions = self.in_flight.values().map(|e| e.member);
        by_statements.chain(by_executions).collect()
    }

    /// Nothing more is sent to an unavailable member. One that is gone and not referred to is removed, so that ever new
    /// members don't grow the table.
    pub(crate) fn withdraw_from(&mut self, place: usize, is_referenced: bool) {
        let unsent = self.in_flight.cancel(|e| e.member == place && e.is_connecting);
        self.request_cancellations(unsent);
        let member = &self.members[place];
        let group = &mut self.groups[member.group];
        group.clear_primary(place);
        if member.state == MemberState::Gone && !is_referenced {
            group.members.retain(|m| *m != place);
            self.member_timers.reschedule(place, member.next_check_at, None);
            let id = self.members.remove(place);
            self.listed_at.remove(&id);
            self.remote_clock.forget(id);
            self.actions.removed_members.push(id);
        }
    }
}
