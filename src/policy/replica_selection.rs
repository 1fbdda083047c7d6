//! Selection of the member that executes a waiting statement: the primary for writes and fresh reads; for
//! other reads, round robin over the replicas whose known log position covers them, and the primary if no
//! replica is ready. Comments mark exceptions.

use super::retry::UNKNOWN_PRIMARY_BACKOFF;
use super::RoutingPolicy;
use crate::concurrency_limit::MAX_UNANSWERED_TIME;
use crate::interface::*;
use crate::state::*;
use crate::time::{RemoteTimestamp, Timestamp};
use crate::zone_health::delayed_before;

/// New connections are avoided while establishing one adds more than this fraction of the SLO time.
const EXPENSIVE_CONNECTION_COST: f64 = 0.15;
/// A driver stays with its preferred replica while that has this fraction of the best admission share in its
/// group.
const STICKY_SHARE_FRACTION: f64 = 0.7;

/// Result of an attempt to dispatch a waiting statement.
enum DispatchResult {
    Dispatched,
    /// No member takes it, nor the statements of its workload queued behind it.
    BlocksQueue,
    /// It was not dispatched; statements queued behind it may be.
    Skipped,
}

/// Candidates for a read.
struct ReadChoice {
    /// Index of a replica within its group.
    replica: Option<usize>,
    /// Index of the primary, if it is to execute the read.
    primary: Option<usize>,
    has_ready_replica: bool,
    has_eligible_primary: bool,
}

impl RoutingPolicy {
    /// Rule: dispatches the waiting statement with the highest value per unit of work that a member takes.
    pub(super) fn dispatch_waiting(&mut self) -> bool {
        while let Some(group) = self.changed_groups.pop_first() {
            if self.dispatch_in_group(group) {
                return true;
            }
            if self.groups[group].needs_primary {
                self.unscheduled_members.extend(&self.groups[group].members);
            }
        }
        !self.unscheduled_members.is_empty()
    }

    fn dispatch_in_group(&mut self, group: usize) -> bool {
        self.groups[group].needs_primary = false;
        for (head, workload) in self.groups[group].queue_heads() {
            let mut next = Some(head);
            while let Some(priority) = next {
                next = self.groups[group].next_queued(workload, priority);
                match self.try_dispatch(priority.statement) {
                    DispatchResult::Dispatched => {
                        self.changed_groups.insert(group);
                        return true;
                    }
                    // Keeps the cost of an input independent of the queue's length.
                    DispatchResult::BlocksQueue => break,
                    DispatchResult::Skipped => {}
                }
            }
        }
        false
    }

    fn try_dispatch(&mut self, id: u32) -> DispatchResult {
        let statement = &self.statements[&id];
        let group = &mut self.groups[statement.group];
        let has_primary = group.primary.is_some();
        let is_unconstrained =
            statement.excluded_members.is_empty() && statement.required_position == RemoteTimestamp(0);
        if statement.backoff_until > self.now {
            group.needs_primary |= !has_primary;
            return DispatchResult::Skipped;
        }
        if let Some(member) = self.select_member(id) {
            self.dispatch(id, member);
            return DispatchResult::Dispatched;
        }
        if self.is_rejected_by_all(&self.statements[&id]) {
            self.finish(id);
            return DispatchResult::Skipped;
        }
        let waits_for_primary = !has_primary && self.statements[&id].backoff_until > self.now;
        if is_unconstrained && !waits_for_primary {
            DispatchResult::BlocksQueue
        } else {
            DispatchResult::Skipped
        }
    }

    fn select_member(&mut self, id: u32) -> Option<usize> {
        let statement = &self.statements[&id];
        if self.settings.needs_primary(statement.workload) {
            return self.select_primary(id);
        }
        let group = statement.group;
        if self.uses_preferred_replica() {
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

    /// Member to try for a write while no primary is known: after a backoff, the next eligible one. Only the
    /// first half of the allowed executions may be spent this way; the rest is reserved for a known primary.
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
        let statement = self.statements.get_mut(&id).expect("statement is open");
        statement.backoff_until = self.now + UNKNOWN_PRIMARY_BACKOFF;
        self.schedule_statement(id);
        None
    }

    fn choose_for_read(&self, statement: &StatementState) -> ReadChoice {
        let group = &self.groups[statement.group];
        let eligible_primary = group.primary.filter(|p| self.is_eligible(*p, statement));
        let has_ready_replica = group.members.iter().any(|m| self.is_ready_replica(*m, statement));
        let replica = self.choose_replica(statement);
        // Exception: if all ready replicas are at their limits, the primary takes reads too. A driver with
        // many samples uses at most half of the primary's limit for them, so that capacity for writes
        // remains.
        let is_reserved = |member: &Member| {
            let is_half_full = member.in_flight as f64 >= member.concurrency_limit / 2.0;
            has_ready_replica && !self.has_few_samples() && is_half_full
        };
        let takes = |index: &usize| {
            self.has_capacity(*index, statement)
                && self.admits(*index, statement)
                && !is_reserved(&self.members[*index])
        };
        let primary = eligible_primary.filter(|p| replica.is_none() && takes(p));
        let outdated = || self.choose_outdated_replica(statement);
        ReadChoice {
            replica: replica.or_else(|| primary.is_none().then(outdated).flatten()),
            primary,
            has_ready_replica,
            has_eligible_primary: eligible_primary.is_some(),
        }
    }

    /// Index within its group of the replica that is to execute a read.
    fn choose_replica(&self, statement: &StatementState) -> Option<usize> {
        let group = &self.groups[statement.group];
        let takes = |m: usize| self.covers(m, statement) && self.takes_read(m, statement);
        // Exception: in large fleets a driver stays with its preferred replica unless others admit clearly
        // more.
        let preferred = || {
            let is_candidate = |index: usize| {
                let is_free = self.is_ready_replica(index, statement) && self.has_capacity(index, statement);
                is_free && !self.is_unresponsive(index)
            };
            let share = |m: usize| self.members[m].admission_share;
            group.first_preferred(
                is_candidate,
                share,
                statement.admission_threshold,
                STICKY_SHARE_FRACTION,
            )
        };
        // Exception: while new connections are expensive, replicas with an idle one come first.
        let is_connected = |m: usize| self.has_idle_connection(m) && takes(m);
        let connected = || group.next_round_robin(is_connected);
        let preferred = self.uses_preferred_replica().then(preferred).flatten();
        preferred
            .or_else(|| self.avoids_new_connections().then(connected).flatten())
            .or_else(|| group.next_round_robin(|m| takes(m) && !self.is_unresponsive(m)))
            .or_else(|| group.next_round_robin(takes))
    }

    /// Exception: where members check reads, a replica whose position is outdated is tried before a read
    /// waits.
    fn choose_outdated_replica(&self, statement: &StatementState) -> Option<usize> {
        if !self.members_check(statement) {
            return None;
        }
        let is_outdated = |index: usize| {
            let status_at = self.members[index].status_at;
            status_at.is_none_or(|at| self.now - at > MAX_UNANSWERED_TIME)
        };
        let group = &self.groups[statement.group];
        group.next_round_robin(|m| is_outdated(m) && self.takes_read(m, statement))
    }

    fn apply_read_choice(&mut self, group: usize, choice: &ReadChoice) -> Option<usize> {
        let group = &mut self.groups[group];
        if !choice.has_ready_replica {
            let was_known = group.no_ready_replica_until > self.now;
            group.no_ready_replica_until = self.now + MAX_UNANSWERED_TIME;
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

    fn uses_preferred_replica(&self) -> bool {
        self.fleet.uses_preferred_replica() && self.has_few_samples()
    }

    fn avoids_new_connections(&self) -> bool {
        self.connection_cost > EXPENSIVE_CONNECTION_COST
    }

    fn is_eligible_replica(&self, member_index: usize, statement: &StatementState) -> bool {
        let is_primary = self.groups[statement.group].primary == Some(member_index);
        !is_primary && self.is_eligible(member_index, statement)
    }

    fn is_ready_replica(&self, member_index: usize, statement: &StatementState) -> bool {
        self.is_eligible_replica(member_index, statement) && self.covers(member_index, statement)
    }

    fn takes_read(&self, member_index: usize, statement: &StatementState) -> bool {
        self.is_eligible_replica(member_index, statement)
            && self.has_capacity(member_index, statement)
            && self.admits(member_index, statement)
    }

    /// Whether a member may execute a statement: not if it failed it before, nor, once the statement may have
    /// been executed, outside the zone that deduplicates it.
    fn is_eligible(&self, member_index: usize, statement: &StatementState) -> bool {
        let zone = |m: usize| self.members[m].zone;
        let is_zoned = self.workload(statement).deduplication_scope == DeduplicationScope::Zone;
        let first = statement.indeterminate.map(|attempt| attempt.member_index);
        let is_deduplicated = !is_zoned || first.is_none_or(|first| zone(first) == zone(member_index));
        !statement.excluded_members.contains(&member_index)
            && self.is_available(member_index)
            && !self.members[member_index].ejected
            && is_deduplicated
    }

    /// Whether a member may get statements. Where a member missing from the endpoint list may still be up,
    /// only a drain excludes it.
    pub(crate) fn is_available(&self, member_index: usize) -> bool {
        let member = &self.members[member_index];
        let may_be_up = self.settings.may_use_gone_members && !member.drained;
        member.state == MemberState::Ready || (member.state == MemberState::Gone && may_be_up)
    }

    /// Whether a member's known log position covers a read. Where members check reads themselves, the lag
    /// last reported is assumed to persist: a wrong guess costs one rejected execution, whereas waiting for a
    /// report would exclude current replicas. Without evidence of the members' clock, or with a position in
    /// the future, nothing proves a replica fresh.
    pub(super) fn covers(&self, member_index: usize, statement: &StatementState) -> bool {
        let required = match self.workload(statement).freshness {
            Freshness::Any => return true,
            Freshness::Fresh | Freshness::Write => return false,
            Freshness::Bounded(bound) => match self.remote_now_for(statement) {
                Some(remote_now) => remote_now - bound,
                None => return self.members_check(statement),
            },
            Freshness::Session if self.has_indeterminate_write(statement.session) => return false,
            Freshness::Session => statement.required_position,
        };
        let member = &self.members[member_index];
        let latest = self.remote_clock.latest(self.now);
        if latest.is_some_and(|latest| member.position > latest) {
            return self.members_check(statement);
        }
        let lag_covers = |at: Timestamp| member.position + (self.now - at) >= required;
        member.position >= required
            || (self.members_check(statement) && member.status_at.is_none_or(lag_covers))
    }

    /// Upper bound of the members' current time. For a read that members check, the lower bound will do where
    /// no upper bound is known.
    fn remote_now_for(&self, statement: &StatementState) -> Option<RemoteTimestamp> {
        let earliest = || self.remote_clock.earliest(self.now);
        let is_checked = self.members_check(statement);
        let latest = self.remote_clock.latest(self.now);
        latest.or_else(|| is_checked.then(earliest).flatten())
    }

    /// Whether members reject this read if they lag too far behind for it. They can check a session read only
    /// if the statement carries the session's position.
    pub(super) fn members_check(&self, statement: &StatementState) -> bool {
        let is_session_read = self.workload(statement).freshness == Freshness::Session;
        self.settings.members_check_reads && (!is_session_read || self.settings.carries_session_position)
    }

    fn has_capacity(&self, member_index: usize, statement: &StatementState) -> bool {
        let member = &self.members[member_index];
        let blocked_until = self.blocked_until(member_index, self.warm_up_work(statement));
        if blocked_until > self.now || (self.yields_to_peer && blocked_until > Timestamp(0)) {
            return false;
        }
        let needs_connection = member.connections > 0 && !self.has_idle_connection(member_index);
        if needs_connection && self.avoids_new_connections() && self.has_few_samples() {
            return false;
        }
        // A draining process ignores its peer's executions where it has none of its own: a peer at the limit
        // would delay its last statements.
        let ignores_peer = self.yields_to_peer && member.in_flight == 0;
        let peer = if ignores_peer { 0 } else { member.peer_in_flight };
        ((member.in_flight + peer) as f64) < member.concurrency_limit
    }

    /// Rule: cancels a delayed execution at an unresponsive replica if another replica can still execute it
    /// in time.
    pub(super) fn leave_unresponsive_zone(&mut self) -> bool {
        if !self.settings.cancel_allowed || !self.has_few_samples() {
            return false;
        }
        let found = self
            .in_flight
            .find(|id, execution| self.should_leave_member(id, execution));
        let Some((id, member_index)) = found.map(|(id, execution)| (id, execution.member_index)) else {
            return false;
        };
        if self.is_in_unresponsive_zone(member_index) {
            self.zones.avoid(self.members[member_index].zone, self.now);
        }
        self.cancel_executions(id.statement);
        true
    }

    fn should_leave_member(&self, id: ExecutionId, execution: &InFlightExecution) -> bool {
        let Some(statement) = self.statements.get(&id.statement) else {
            return false;
        };
        let workload = &self.settings.workloads[execution.workload];
        let is_delayed = execution.dispatched_at < delayed_before(self.now, self.max_typical_latency());
        let may_retry = workload.retry_safety == RetrySafety::Idempotent
            && statement.attempts < self.settings.max_executions
            && self.now < self.slo_cutoff(statement);
        let primary = self.groups[statement.group].primary;
        if !is_delayed || !may_retry || execution.is_cancelled || primary == Some(execution.member_index) {
            return false;
        }
        let can_take_over = |m: &usize| self.is_eligible_replica(*m, statement) && !self.is_unresponsive(*m);
        let mut members = self.groups[statement.group].members.iter();
        self.is_unresponsive(execution.member_index) && members.any(can_take_over)
    }
}
