//! Whether a statement may be executed or retried, and the handling of failed attempts.

use super::RoutingPolicy;
use crate::interface::*;
use crate::slow_start::SLOW_CONNECTION_THRESHOLD;
use crate::state::*;
use crate::time::{TimeSpan, Timestamp, MAX_WRITE_DELAY};

/// Backoff of a write while no primary is known, after which a member is tried.
pub(super) const UNKNOWN_PRIMARY_BACKOFF: TimeSpan = TimeSpan::millis(250);
/// Backoff before a retry that can only go to the same members.
const RETRY_BACKOFF: TimeSpan = TimeSpan::millis(50);
/// Fraction of the deduplication window, less [`MAX_WRITE_DELAY`], within which a retry may be dispatched;
/// the rest allows for the network delay to the member.
const SAFE_WINDOW_FRACTION: f64 = 0.95;

/// Whether an attempt with this outcome certainly did not execute its statement.
pub fn definitely_not_executed(outcome: ExecutionOutcome) -> bool {
    use ExecutionOutcome::*;
    matches!(outcome, Rejected | NoConnection | NotSent | NotEligible)
}

impl RoutingPolicy {
    /// Whether a statement may be executed now, possibly after an attempt by this driver or another. Limits
    /// its dispatch deadline to the deduplication window.
    pub(super) fn may_execute(&mut self, id: u32) -> bool {
        let Some(statement) = self.statements.get_mut(&id) else {
            return false;
        };
        let workload = &self.settings.workloads[statement.workload];
        match workload.retry_safety {
            RetrySafety::Idempotent => true,
            RetrySafety::NonIdempotent => statement.indeterminate.is_none(),
            RetrySafety::Deduplicated => {
                if let Some(attempt) = statement.indeterminate {
                    let window = workload.deduplication_window * SAFE_WINDOW_FRACTION;
                    let window = window - MAX_WRITE_DELAY;
                    let window_end = attempt.dispatched_at + window;
                    statement.dispatch_deadline = statement.dispatch_deadline.min(window_end);
                }
                self.now < statement.dispatch_deadline
            }
        }
    }

    /// Handles an attempt without a final answer: queues the statement for a retry, or answers it.
    pub(super) fn on_attempt_failed(&mut self, end: &ExecutionEnd, execution: &InFlightExecution) {
        let Some(statement) = self.statements.get_mut(&end.statement) else {
            return;
        };
        if !definitely_not_executed(end.outcome) {
            statement.indeterminate.get_or_insert(IndeterminateAttempt {
                dispatched_at: execution.dispatched_at,
                member_index: execution.member_index,
            });
        }
        let attempts_used_up = statement.attempts >= self.settings.max_executions;
        if !self.may_execute(end.statement) || attempts_used_up {
            return self.finish(end.statement);
        }
        self.prepare_retry(end, execution.member_index);
        self.enqueue(end.statement);
    }

    /// Excludes the member that failed, or starts a backoff if no other member is left.
    fn prepare_retry(&mut self, end: &ExecutionEnd, member_index: usize) {
        let statement = self
            .statements
            .get_mut(&end.statement)
            .expect("retried statement is open");
        let group = &mut self.groups[statement.group];
        statement.excluded_members.push(member_index);
        let is_ineligible = end.outcome == ExecutionOutcome::NotEligible;
        if !is_ineligible {
            // A stricter threshold keeps failures that all members share from multiplying executions.
            statement.admission_threshold = statement.admission_threshold.sqrt();
        }
        let excluded = &statement.excluded_members;
        let all_tried = group.members.iter().all(|m| excluded.contains(m));
        let needs_primary = self.settings.needs_primary(statement.workload);
        let is_wrong_primary = needs_primary && is_ineligible;
        if is_wrong_primary {
            group.clear_primary(member_index);
        }
        let half_used = statement.attempts * 2 >= self.settings.max_executions;
        if all_tried || (needs_primary && (half_used || !is_wrong_primary)) {
            let backoff = if is_wrong_primary {
                UNKNOWN_PRIMARY_BACKOFF
            } else {
                RETRY_BACKOFF
            };
            statement.backoff_until = self.now + backoff;
            statement.excluded_members.clear();
        }
    }

    /// Rule: requeues a statement whose timer expired because its backoff ended or its priority changed.
    pub(super) fn requeue_due(&mut self) -> bool {
        let Some(id) = self.statement_timers.expired(self.now) else {
            return false;
        };
        self.enqueue(id);
        true
    }

    /// Cancels a statement's executions, which would delay others. Where members accept no cancellations,
    /// only executions that were not sent yet are cancelled.
    pub(super) fn cancel_executions(&mut self, id: u32) {
        let allowed = self.settings.cancel_allowed;
        let cancelled = self
            .in_flight
            .cancel_statement(id, |execution| allowed || execution.is_connecting);
        self.request_cancellations(cancelled);
    }

    /// Whether an execution may still be sent now that its connection is established: not if it was
    /// cancelled, its deadline or deduplication window has passed, or the member drains, lags too far or has
    /// no warm-up budget left. If it may, it counts as sent now.
    pub fn may_dispatch(&mut self, now: Timestamp, statement: u32, attempt: u8) -> bool {
        self.now = now;
        let execution = self.in_flight.get(statement, attempt).filter(|e| !e.is_cancelled);
        let Some((execution, state)) = execution.zip(self.statements.get(&statement)) else {
            return false;
        };
        let member_index = execution.member_index;
        let is_primary = self.groups[state.group].primary == Some(member_index);
        let goes_to_primary = is_primary || self.settings.needs_primary(state.workload);
        let is_ready = goes_to_primary || self.members_check(state) || self.covers(member_index, state);
        let deadline = state.dispatch_deadline.min(state.answer_deadline);
        let is_slow_connection = now - execution.dispatched_at > SLOW_CONNECTION_THRESHOLD;
        let is_within_budget = !is_slow_connection || self.is_within_warm_up_budget(execution, state);
        if !is_ready || !self.is_available(member_index) || !is_within_budget || now >= deadline {
            return false;
        }
        if is_slow_connection {
            let work = self.warm_up_work(state);
            self.members[member_index].charge_warm_up(now, work);
        }
        let execution = self
            .in_flight
            .get_mut(statement, attempt)
            .expect("execution is in flight");
        execution.is_connecting = false;
        execution.dispatched_at = now;
        true
    }

    /// Whether a warming member may get an execution whose connection was slow. It was charged to the budget
    /// at its decision; if others were charged since, it needs budget of its own.
    fn is_within_warm_up_budget(&self, execution: &InFlightExecution, statement: &StatementState) -> bool {
        let is_last_charged = self.members[execution.member_index].warm_up_debt_at == execution.dispatched_at;
        let work = self.warm_up_work(statement);
        is_last_charged || self.blocked_until(execution.member_index, work) <= self.now
    }
}
