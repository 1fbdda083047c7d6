//! Which member executes a waiting statement: the primary for writes and fresh reads, otherwise by round
//! robin a replica whose known log position covers the read, and the primary where none is ready. Departures
//! are marked.

use super::retry::PRIMARY_WAIT;
use super::RoutingPolicy;
use crate::concurrency_limit::UNANSWERED_LIMIT;
use crate::interface::*;
use crate::state::*;
use crate::time::{RemoteTimestamp, Timestamp};
use crate::zone_health::delayed_before;

/// New connections are avoided while establishing one costs this part of the SLO time more than usual.
const EXPENSIVE_CONNECTION: f64 = 0.15;
/// A driver stays with its own replica while that has this part of the best admission share of its group.
const STICKINESS: f64 = 0.7;

/// What came of a waiting statement.
enum Placement {
    Dispatched,
    /// Nothing takes it, nor others of its workload behind it.
    BlocksQueue,
    /// Others behind it may be placed.
    Skipped,
}

/// A read's choice.
struct ReadChoice {
    /// Index of a replica within its group.
    replica: Option<usize>,
    /// Place of the primary, if that is to take the read.
    primary: Option<usize>,
    has_ready_replica: bool,
    has_eligible_primary: bool,
}

impl RoutingPolicy {
    /// Rule: places the most valuable waiting statement, for its work, that a member takes.
    pub(super) fn place_waiting(&mut self) -> bool {
        while let Some(group) = self.changed_groups.pop_first() {
            if self.place_in_group(group) {
                return true;
            }
            if self.groups[group].needs_primary {
                self.unscheduled_members.extend(&self.groups[group].members);
            }
        }
        !self.unscheduled_members.is_empty()
    }

    fn place_in_group(&mut self, group: usize) -> bool {
        self.groups[group].needs_primary = false;
        for (head, workload) in self.groups[group].queue_heads() {
            let mut next = Some(head);
            while let Some(priority) = next {
                next = self.groups[group].next_queued(workload, priority);
                match self.place(priority.statement) {
                    Placement::Dispatched => {
                        self.changed_groups.insert(group);
                        return true;
                    }
                    // A surge must not make each input expensive.
                    Placement::BlocksQueue => break,
                    Placement::Skipped => {}
                }
            }
        }
        false
    }

    fn place(&mut self, id: u32) -> Placement {
        let statement = &self.statements[&id];
        let group = &mut self.groups[statement.group];
        let has_primary = group.primary.is_some();
        let is_like_others =
            statement.excluded_members.is_empty() && statement.required_position == RemoteTimestamp(0);
        if statement.backoff_until > self.now {
            group.needs_primary |= !has_primary;
            return Placement::Skipped;
        }
        if let Some(member) = self.select_member(id) {
            self.dispatch(id, member);
            return Placement::Dispatched;
        }
        if self.is_rejected_by_all(&self.statements[&id]) {
            self.finish(id);
            return Placement::Skipped;
        }
        let waits_for_primary = !has_primary && self.statements[&id].backoff_until > self.now;
        if is_like_others && !waits_for_primary {
            Placement::BlocksQueue
        } else {
            Placement::Skipped
        }
    }

    fn select_member(&mut self, id: u32) -> Option<usize> {
        let statement = &self.statements[&id];
        if self.settings.needs_primary(statement.workload) {
            return self.select_primary(id);
        }
        let group = statement.group;
        if self.prefers_own_replica() {
            self.groups
                .update_preference(group, &self.members, &self.preference);
        }
        let choice = self.choose_for_read(&self.statements[&id]);
        self.apply_read_choice(group, &choice)
    }

    fn select_primary(&mut self, id: u32) -> Option<usize> {
        let statement = &self.statements[&id];
        let group = &self.groups[statement.group];
        let eligible = group.primary.filter(|p| self.is_eligible(*p, statement));
        let selected = eligible.filter(|p| self.has_capacity(*p, statement));
        let is_unknown = group.primary.is_none();
        self.groups[statement.group].needs_primary |= eligible.is_none();
        if is_unknown {
            return self.guess_primary(id);
        }
        selected
    }

    /// Where a write goes while no primary is known: after a backoff to the next member, but never with the
    /// second half of its executions, which are kept for the primary.
    fn guess_primary(&mut self, id: u32) -> Option<usize> {
        let statement = &self.statements[&id];
        let has_waited = statement.attempts > 0 || statement.backoff_until > Timestamp(0);
        if has_waited && statement.attempts * 2 < self.settings.max_executions {
            let mut members = self.groups[statement.group].members.iter().copied();
            let next = members.find(|m| self.is_eligible(*m, statement) && self.has_capacity(*m, statement));
            if next.is_some() {
                return next;
            }
        }
        let statement = self.statements.get_mut(&id).expect("read above");
        statement.backoff_until = self.now + PRIMARY_WAIT;
        self.schedule(id);
        None
    }

    fn choose_for_read(&self, statement: &StatementState) -> ReadChoice {
        let group = &self.groups[statement.group];
        let eligible_primary = group.primary.filter(|p| self.is_eligible(*p, statement));
        let has_ready_replica = group.members.iter().any(|m| self.is_ready_replica(*m, statement));
        let replica = self.choose_replica(statement);
        // Departure: where all ready replicas are at their limits the primary takes reads too, up to half of
        // its limit where a driver fills that alone, or its own work would find no place.
        let is_reserved = |member: &Member| {
            let is_half_full = member.in_flight as f64 >= member.concurrency_limit / 2.0;
            has_ready_replica && !self.has_few_samples() && is_half_full
        };
        let takes = |p: &usize| {
            self.has_capacity(*p, statement) && self.admits(*p, statement) && !is_reserved(&self.members[*p])
        };
        let primary = eligible_primary.filter(|p| replica.is_none() && takes(p));
        let unverified = || self.choose_unverified_replica(statement);
        ReadChoice {
            replica: replica.or_else(|| primary.is_none().then(unverified).flatten()),
            primary,
            has_ready_replica,
            has_eligible_primary: eligible_primary.is_some(),
        }
    }

    /// Index within its group of the replica that takes a read.
    fn choose_replica(&self, statement: &StatementState) -> Option<usize> {
        let group = &self.groups[statement.group];
        let takes = |m: usize| self.covers(m, statement) && self.takes_read(m, statement);
        // Departure: in large fleets a driver stays with its own replica, unless others admit clearly more.
        let preferred = || {
            let is_candidate = |m: usize| {
                let is_free = self.is_ready_replica(m, statement) && self.has_capacity(m, statement);
                is_free && !self.is_unresponsive(m)
            };
            let share = |m: usize| self.members[m].admission_share;
            group.first_preferred(is_candidate, share, statement.admission_threshold, STICKINESS)
        };
        // Departure: while new connections are expensive, first the replicas with an idle one.
        let is_connected = |m: usize| self.has_idle_connection(m) && takes(m);
        let connected = || group.next_round_robin(is_connected);
        let preferred = self.prefers_own_replica().then(preferred).flatten();
        preferred
            .or_else(|| self.avoids_new_connections().then(connected).flatten())
            .or_else(|| group.next_round_robin(|m| takes(m) && !self.is_unresponsive(m)))
            .or_else(|| group.next_round_robin(takes))
    }

    /// Departure: where members check reads, a replica whose lag was last reported long ago may be tried
    /// before a read waits.
    fn choose_unverified_replica(&self, statement: &StatementState) -> Option<usize> {
        if !self.members_check(statement) {
            return None;
        }
        let is_unverified = |m: usize| {
            let status_at = self.members[m].status_at;
            status_at.is_none_or(|at| self.now - at > UNANSWERED_LIMIT)
        };
        let group = &self.groups[statement.group];
        group.next_round_robin(|m| is_unverified(m) && self.takes_read(m, statement))
    }

    fn apply_read_choice(&mut self, group: usize, choice: &ReadChoice) -> Option<usize> {
        let group = &mut self.groups[group];
        if !choice.has_ready_replica {
            let was_known = group.no_ready_replica_until > self.now;
            group.no_ready_replica_until = self.now + UNANSWERED_LIMIT;
            if !was_known {
                self.unscheduled_members.extend(&group.members);
            }
        }
        let Some(index) = choice.replica else {
            group.needs_primary |= !choice.has_eligible_primary;
            return choice.primary;
        };
        group.round_robin_index = index;
        Some(group.members[index])
    }

    fn prefers_own_replica(&self) -> bool {
        self.fleet.prefers_own_replica() && self.has_few_samples()
    }

    fn avoids_new_connections(&self) -> bool {
        self.connection_cost > EXPENSIVE_CONNECTION
    }

    fn is_eligible_replica(&self, member: usize, statement: &StatementState) -> bool {
        let is_primary = self.groups[statement.group].primary == Some(member);
        !is_primary && self.is_eligible(member, statement)
    }

    fn is_ready_replica(&self, member: usize, statement: &StatementState) -> bool {
        self.is_eligible_replica(member, statement) && self.covers(member, statement)
    }

    fn takes_read(&self, member: usize, statement: &StatementState) -> bool {
        self.is_eligible_replica(member, statement)
            && self.has_capacity(member, statement)
            && self.admits(member, statement)
    }

    /// Not where it failed before, nor outside the zone that deduplicates it once it may have been executed.
    fn is_eligible(&self, member: usize, statement: &StatementState) -> bool {
        let zone = |m: usize| self.members[m].zone;
        let is_zoned = self.workload(statement).deduplication_scope == DeduplicationScope::Zone;
        let first = statement.indeterminate.map(|attempt| attempt.member);
        let is_deduplicated = !is_zoned || first.is_none_or(|first| zone(first) == zone(member));
        !statement.excluded_members.contains(&member)
            && self.is_available(member)
            && !self.members[member].ejected
            && is_deduplicated
    }

    /// Where the endpoint list doesn't prove what is up, only a listed drain binds.
    pub(crate) fn is_available(&self, member: usize) -> bool {
        let member = &self.members[member];
        let may_be_up = self.settings.may_use_gone_members && !member.drained;
        member.state == MemberState::Ready || (member.state == MemberState::Gone && may_be_up)
    }

    /// Whether the known log position proves a member ready for a read. Where members check reads themselves,
    /// the lag last reported is carried forward: a wrong guess costs one rejected execution, which corrects
    /// it; waiting for proof would leave out current replicas that have not reported for a while. Before any
    /// evidence of the members' clock nothing proves a replica fresh, nor does a position from the future.
    pub(super) fn covers(&self, member: usize, statement: &StatementState) -> bool {
        let required = match self.workload(statement).freshness {
            Freshness::Any => return true,
            Freshness::Fresh | Freshness::Write => return false,
            Freshness::Bounded(bound) => match self.present_for(statement) {
                Some(present) => present - bound,
                None => return self.members_check(statement),
            },
            Freshness::Session if self.may_be_writing(statement.session) => return false,
            Freshness::Session => statement.required_position,
        };
        let member = &self.members[member];
        let latest = self.remote_clock.latest(self.now);
        if latest.is_some_and(|latest| member.position > latest) {
            return self.members_check(statement);
        }
        let lag_covers = |at: Timestamp| member.position + (self.now - at) >= required;
        member.position >= required
            || (self.members_check(statement) && member.status_at.is_none_or(lag_covers))
    }

    /// The present by the members' clock, as late as it may be. A read that members check may go by the least that is known.
    fn present_for(&self, statement: &StatementState) -> Option<RemoteTimestamp> {
        let earliest = || self.remote_clock.earliest(self.now);
        let is_checked = self.members_check(statement);
        let latest = self.remote_clock.latest(self.now);
        latest.or_else(|| is_checked.then(earliest).flatten())
    }

    /// Whether members reject this read where they are too far behind. They can check only what it carries:
    /// what its session has written only where its age is carried.
    pub(super) fn members_check(&self, statement: &StatementState) -> bool {
        let is_session_read = self.workload(statement).freshness == Freshness::Session;
        self.settings.members_check_reads && (!is_session_read || self.settings.carries_session_position)
    }

    fn has_capacity(&self, place: usize, statement: &StatementState) -> bool {
        let member = &self.members[place];
        let blocked_until = self.blocked_until(place, self.warm_up_work(statement));
        if blocked_until > self.now || (self.yields_to_peer && blocked_until > Timestamp(0)) {
            return false;
        }
        let needs_connection = member.connections > 0 && !self.has_idle_connection(place);
        if needs_connection && self.avoids_new_connections() && self.has_few_samples() {
            return false;
        }
        // A draining process gets no new clients: its peer, at the limit, would delay its last statements.
        let ignores_peer = self.yields_to_peer && member.in_flight == 0;
        let peer = if ignores_peer { 0 } else { member.peer_in_flight };
        ((member.in_flight + peer) as f64) < member.concurrency_limit
    }

    /// Rule: an overdue execution at an unresponsive replica is cancelled where another can answer in time.
    pub(super) fn leave_silent_zone(&mut self) -> bool {
        if !self.settings.cancel_allowed || !self.has_few_samples() {
            return false;
        }
        let found = self
            .in_flight
            .find(|id, execution| self.leaves_member(id, execution));
        let Some((id, member)) = found.map(|(id, execution)| (id, execution.member)) else {
            return false;
        };
        if self.is_in_silent_zone(member) {
            self.zones.leave(self.members[member].zone, self.now);
        }
        self.cancel_executions(id.statement);
        true
    }

    fn leaves_member(&self, id: ExecutionId, execution: &InFlightExecution) -> bool {
        let Some(statement) = self.statements.get(&id.statement) else {
            return false;
        };
        let workload = &self.settings.workloads[execution.workload];
        let is_overdue = execution.dispatched_at < delayed_before(self.now, self.max_typical_latency());
        let may_retry = workload.retry_safety == RetrySafety::Idempotent
            && statement.attempts < self.settings.max_executions
            && self.now < self.last_chance(statement);
        let primary = self.groups[statement.group].primary;
        if !is_overdue || !may_retry || execution.is_cancelled || primary == Some(execution.member) {
            return false;
        }
        let takes_over = |m: &usize| self.is_eligible_replica(*m, statement) && !self.is_unresponsive(*m);
        let mut members = self.groups[statement.group].members.iter();
        self.is_unresponsive(execution.member) && members.any(takes_over)
    }
}
