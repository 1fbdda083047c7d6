//! Admission of statements, their order in the queue, and when they are given up.

use super::RoutingPolicy;
use crate::interface::*;
use crate::state::*;
use crate::time::{TimeSpan, Timestamp};

/// Fraction of a statement's time after which it is answered if it was never dispatched.
const UNSENT_TIME_FRACTION: f64 = 0.45;
/// Decay of the best value density per statement.
const DENSITY_DECAY: f64 = 0.999;
/// Minimum of a value density relative to the best, as the exponent of an admission threshold.
const MIN_RELATIVE_DENSITY: f64 = 0.1;

impl RoutingPolicy {
    /// State of a new statement, with its deadlines and its admission threshold.
    pub(super) fn accept(&mut self, statement: &Statement) -> StatementState {
        let group = self.groups.index_or_insert(statement.group);
        let share = self.quota_share(statement);
        let relative_density = self.relative_density(statement, share);
        let required_position = self.required_position(statement);
        let elapsed = self.elapsed_slo_time(statement);
        let slack = self.settings.tick + self.settings.tick;
        let workload = &self.settings.workloads[statement.workload];
        let indeterminate = statement
            .prior_attempt
            .map(|prior| self.indeterminate_attempt(&prior, group));
        StatementState {
            workload: statement.workload,
            group,
            session: statement.session,
            required_position,
            expected_work: statement.expected_work,
            importance: workload.importance * share,
            accepted_at: self.now,
            admission_threshold: self.rng.draw().powf(relative_density.max(MIN_RELATIVE_DENSITY)),
            slo_deadline: self.now + (workload.slo_time - slack - elapsed),
            answer_deadline: self.answer_deadline(statement.time_left - slack),
            dispatch_deadline: self.now + statement.time_left,
            unsent_deadline: self.now + statement.time_left * UNSENT_TIME_FRACTION,
            indeterminate,
            ..StatementState::default()
        }
    }

    /// State of an earlier attempt. Where members of its own group alone recognise the statement, an attempt in
    /// another group counts as made long ago.
    fn indeterminate_attempt(&self, prior: &PriorAttempt, group: usize) -> IndeterminateAttempt {
        let member_index = self.members.index_of(prior.member);
        let is_same_group = member_index.is_some_and(|index| self.members[index].group == group);
        let dispatched_at = if is_same_group {
            self.now - prior.age
        } else {
            Timestamp(0)
        };
        IndeterminateAttempt {
            dispatched_at,
            member_index: member_index.unwrap_or(0),
        }
    }

    fn answer_deadline(&self, time_left: TimeSpan) -> Timestamp {
        let deadline = self.now + time_left;
        self.last_answer_at.map_or(deadline, |last| deadline.min(last))
    }

    /// Limits a statement's answer deadline to the end of a shutdown.
    pub(super) fn limit_answer_deadline(&mut self, id: u32) {
        let Some(last_answer_at) = self.last_answer_at else {
            return;
        };
        if let Some(statement) = self.statements.get_mut(&id) {
            statement.answer_deadline = statement.answer_deadline.min(last_answer_at);
            self.schedule_statement(id);
        }
    }

    /// Limits the time until which a statement may be sent to a member.
    pub(super) fn limit_dispatch_deadline(&mut self, id: u32, until: Timestamp) {
        let Some(statement) = self.statements.get_mut(&id) else {
            return;
        };
        statement.dispatch_deadline = statement.dispatch_deadline.min(until);
        statement.unsent_deadline = statement.unsent_deadline.min(until);
        self.schedule_statement(id);
    }

    /// Share of its importance that a statement keeps under its tenant's quota, of which each driver has an
    /// even share.
    fn quota_share(&mut self, statement: &Statement) -> f64 {
        let Some(quota) = self.settings.tenant_quotas.get(statement.tenant) else {
            return 1.0;
        };
        let per_second = self.fleet.even_share(*quota);
        if self.quotas.try_take(statement.tenant, per_second, self.now) {
            1.0
        } else {
            self.settings.over_quota_share
        }
    }

    /// Expected value per unit of work, relative to the best recent one. Takes into account that an answer is
    /// unlikely where little time is left.
    fn relative_density(&mut self, statement: &Statement, share: f64) -> f64 {
        let typical = self.typical.of(statement.workload);
        let work = statement.expected_work.unwrap_or(typical);
        let success_probability = statement.time_left.ratio(typical * 2.0).min(1.0);
        let importance = self.settings.workloads[statement.workload].importance;
        let density = importance * share * success_probability / work.0.max(1) as f64;
        self.best_density = density.max(self.best_density * DENSITY_DECAY);
        density / self.best_density
    }

    /// Expected work per unit of value; the queue serves the lowest first.
    pub(crate) fn queue_cost(&self, statement: &StatementState) -> u64 {
        let is_late = self.now >= statement.slo_deadline;
        let late_share = self.workload(statement).late_share;
        let share = if is_late { late_share } else { 1.0 };
        let work = self.expected_work(statement).0.max(1) as f64;
        let density = statement.importance * share / work;
        (1.0 / density.max(1e-12)) as u64
    }

    /// Whether a member admits the statement; its admission share keeps many drivers with few samples each
    /// from overloading it together. Statements of low value density are rejected first, and reads at the
    /// primary before writes.
    pub(super) fn admits(&self, member_index: usize, statement: &StatementState) -> bool {
        let is_primary = self.groups[statement.group].primary == Some(member_index);
        let threshold = if is_primary && !self.settings.needs_primary(statement.workload) {
            statement.admission_threshold.sqrt()
        } else {
            statement.admission_threshold
        };
        threshold <= self.members[member_index].admission_share
    }

    /// Whether no member that could execute the statement admits it.
    pub(super) fn is_rejected_by_all(&self, statement: &StatementState) -> bool {
        let group = &self.groups[statement.group];
        let needs_primary = self.settings.needs_primary(statement.workload);
        let admits = |member: &usize| {
            let is_eligible = !needs_primary || group.primary == Some(*member);
            is_eligible && self.is_available(*member) && self.admits(*member, statement)
        };
        group.primary.is_some() && !group.members.iter().any(admits)
    }

    /// Rule: answers a statement at its deadline, whatever its state.
    pub(super) fn answer_at_deadline(&mut self) -> bool {
        let due = self.statement_timers.expired(self.now);
        let Some(id) = due.filter(|id| self.statements[id].answer_deadline <= self.now) else {
            return false;
        };
        self.finish(id);
        true
    }

    /// Rule: gives up a statement whose answer would come too late to have value, since it takes capacity
    /// from others.
    pub(super) fn give_up_worthless(&mut self) -> bool {
        let due = self.statement_timers.expired(self.now);
        let Some(id) = due.filter(|id| self.is_worthless(&self.statements[id])) else {
            return false;
        };
        self.finish(id);
        true
    }

    fn is_worthless(&self, statement: &StatementState) -> bool {
        let workload = self.workload(statement);
        let is_waiting = statement.queue_priority.is_some();
        let has_waiting = || self.groups[statement.group].queued().next().is_some();
        let delays_others = is_waiting || has_waiting();
        let is_harmless = workload.retry_safety == RetrySafety::Idempotent && delays_others;
        let has_no_late_value = workload.late_share == 0.0 || is_harmless;
        let deadline = if statement.attempts == 0 {
            statement.unsent_deadline
        } else {
            statement.dispatch_deadline
        };
        let is_too_late = self.now >= self.slo_cutoff(statement) && has_no_late_value;
        is_too_late || (is_waiting && self.now >= deadline)
    }

    /// Time after which an answer within the SLO time is no longer expected.
    pub(crate) fn slo_cutoff(&self, statement: &StatementState) -> Timestamp {
        if statement.queue_priority.is_none() {
            return statement.slo_deadline;
        }
        statement.slo_deadline - self.typical.of(statement.workload) * 2.0
    }

    /// Gives a statement its final answer: rejected where a retry is known to be safe, otherwise aborted.
    pub(super) fn finish(&mut self, id: u32) {
        let Some(statement) = self.statements.get(&id) else {
            return;
        };
        let was_sent = self.in_flight.of_statement(id).any(|e| !e.is_connecting);
        let is_unexecuted = statement.indeterminate.is_none() && !was_sent;
        let is_safe = self.workload(statement).is_client_retry_safe() || is_unexecuted;
        // A retry that can still meet the SLO should come at once; any other one only adds load.
        let in_time = self.now + self.typical.of(statement.workload) < statement.slo_deadline;
        let retry_after = self.settings.max_retry_after * if in_time { 0.0 } else { 1.0 };
        self.cancel_executions(id);
        self.actions.answers.push(if is_safe {
            Answer::Rejected {
                statement: id,
                retry_after,
            }
        } else {
            Answer::Aborted { statement: id }
        });
        self.remove_statement(id);
    }
}
