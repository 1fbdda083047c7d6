//! Whether a statement may be executed (again), and what becomes of it when an attempt has failed.

use super::RoutingPolicy;
use crate::interface::*;
use crate::slow_start::LATE_CONNECTION;
use crate::state::*;
use crate::time::{TimeSpan, Timestamp, MAX_WRITE_DELAY};

/// A write is sent to a member after this even if no primary is known.
pub(super) const PRIMARY_WAIT: TimeSpan = TimeSpan::millis(250);
/// Backoff where a retry can only go to the same members.
const RETRY_BACKOFF: TimeSpan = TimeSpan::millis(50);
/// Part of the deduplication window within which a retry may be dispatched; the rest is for its way. Besides, its write may
/// be held up by [`MAX_WRITE_DELAY`].
const SAFE_WINDOW_PART: f64 = 0.95;

/// Whether a statement was certainly not executed by an attempt that ended so.
pub fn definitely_not_executed(outcome: ExecutionOutcome) -> bool {
    use ExecutionOutcome::*;
    matches!(outcome, Rejected | NoConnection | NotSent | NotEligible)
}

impl RoutingPolicy {
    /// Whether a statement may be executed now: for the first time, or after an attempt of this driver or
    /// another. Bounds its dispatch to the deduplication window.
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
                    let window = workload.deduplication_window * SAFE_WINDOW_PART;
                    let window = window - MAX_WRITE_DELAY;
                    statement.dispatch_deadline = attempt.dispatched_at + window;
                }
                self.now < statement.dispatch_deadline
            }
        }
    }

    /// An attempt ended without a final answer: the statement waits for another one, or is answered.
    pub(super) fn on_attempt_failed(&mut self, end: &ExecutionEnd, execution: &InFlightExecution) {
        let Some(statement) = self.statements.get_mut(&end.statement) else {
            return;
        };
        if !definitely_not_executed(end.outcome) {
            statement.indeterminate.get_or_insert(IndeterminateAttempt {
                dispatched_at: execution.dispatched_at,
                member: execution.member,
            });
        }
        let attempts_used_up = statement.attempts >= self.settings.max_executions;
        if !self.may_execute(end.statement) || attempts_used_up {
            return self.finish(end.statement);
        }
        self.prepare_retry(end, execution.member);
        self.enqueue(end.statement);
    }

    /// Excludes the member that failed, or starts a backoff where none is left to try.
    fn prepare_retry(&mut self, end: &ExecutionEnd, member: usize) {
        let statement = self.statements.get_mut(&end.statement).expect("still open");
        let group = &mut self.groups[statement.group];
        statement.excluded_members.push(member);
        let is_ineligible = end.outcome == ExecutionOutcome::NotEligible;
        if !is_ineligible {
            // Otherwise failures that all members share would have each statement executed everywhere.
            statement.admission_threshold = statement.admission_threshold.sqrt();
        }
        let excluded = &statement.excluded_members;
        let all_tried = group.members.iter().all(|m| excluded.contains(m));
        let needs_primary = self.settings.needs_primary(statement.workload);
        let is_wrong_primary = needs_primary && is_ineligible;
        if is_wrong_primary {
            group.clear_primary(member);
        }
        let half_used = statement.attempts * 2 >= self.settings.max_executions;
        if all_tried || (needs_primary && (half_used || !is_wrong_primary)) {
            let backoff = if is_wrong_primary {
                PRIMARY_WAIT
            } else {
                RETRY_BACKOFF
            };
            statement.backoff_until = self.now + backoff;
            statement.excluded_members.clear();
        }
    }

    /// Rule: a timer that ended nothing; a backoff is over, or the statement's priority has changed.
    pub(super) fn requeue_due(&mut self) -> bool {
        let Some(id) = self.statement_timers.expired(self.now) else {
            return false;
        };
        self.enqueue(id);
        true
    }

    /// Cancels a statement's executions: work for a client that no longer waits delays others. Where members
    /// take no cancellations, what was not sent yet is given up all the same.
    pub(super) fn cancel_executions(&mut self, id: u32) {
        let allowed = self.settings.cancel_allowed;
        let cancelled = self
            .in_flight
            .cancel_statement(id, |execution| allowed || execution.is_connecting);
        self.request_cancellations(cancelled);
    }

    /// Whether an execution may still be sent, now that its connection is established. Its end, a drain, the
    /// end of the deduplication window or a position that doesn't cover it may forbid that. Otherwise it
    /// counts as sent now.
    pub fn may_dispatch(&mut self, now: Timestamp, statement: u32, attempt: u8) -> bool {
        self.now = now;
        let execution = self.in_flight.get(statement, attempt).filter(|e| !e.is_cancelled);
        let Some((execution, state)) = execution.zip(self.statements.get(&statement)) else {
            return false;
        };
        let member = execution.member;
        let is_primary = self.groups[state.group].primary == Some(member);
        let goes_to_primary = is_primary || self.settings.needs_primary(state.workload);
        let is_ready = goes_to_primary || self.members_check(state) || self.covers(member, state);
        let deadline = state.dispatch_deadline.min(state.answer_deadline);
        let is_late = now - execution.dispatched_at > LATE_CONNECTION;
        let is_within_budget = !is_late || self.is_within_warm_up_budget(execution, state);
        if !is_ready || !self.is_available(member) || !is_within_budget || now >= deadline {
            return false;
        }
        if is_late {
            let work = self.warm_up_work(state);
            self.members[member].charge_warm_up(now, work);
        }
        let execution = self.in_flight.get_mut(statement, attempt).expect("read above");
        execution.is_connecting = false;
        execution.dispatched_at = now;
        true
    }

    /// Whether a warming member may get an execution whose connection came up late. It was charged when it was decided; if
    /// others were charged since, it would come on top of them.
    fn is_within_warm_up_budget(&self, execution: &InFlightExecution, statement: &StatementState) -> bool {
        let is_last_charged = self.members[execution.member].warm_up_debt_at == execution.dispatched_at;
        let work = self.warm_up_work(statement);
        is_last_charged || self.blocked_until(execution.member, work) <= self.now
    }
}
