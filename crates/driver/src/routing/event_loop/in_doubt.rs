//! Statements that may have been dispatched before: records of this driver's dispatches, and inquiries to and from
//! other drivers.

use super::{EventLoop, Logger};
use crate::routing::execution_outcomes;
use crate::routing::gossip::StatementCheck;
use crate::routing::member_requests::AttemptId;
use asterlatch::interface::{ExecutionOutcome, PriorAttempt, Statement};
use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_gossip::codec::InquiryId;
use asterlatch_gossip::in_doubt::{DispatchStatus, InquiryOutcome, UNBOUNDED_AGE};

/// An attempt whose time and member are unknown.
const UNKNOWN_ATTEMPT: PriorAttempt = PriorAttempt {
    age: UNBOUNDED_AGE,
    member: 0,
};

fn with_prior_attempt(statement: Statement, prior_attempt: PriorAttempt) -> Option<Statement> {
    Some(Statement {
        prior_attempt: Some(prior_attempt),
        ..statement
    })
}

impl<L: Logger> EventLoop<L> {
    /// Records the dispatch of a statement that must not be executed twice.
    pub(super) fn record_dispatch(&mut self, now: Timestamp, attempt: AttemptId, member: u32) {
        let Some(keys) = self.statements.keys(attempt.statement) else {
            return;
        };
        if self.workloads.get(keys.workload).needs_deduplication {
            let member = self.members.name(member).unwrap_or_default();
            let records = &mut self.dispatch_records;
            let fact = records.on_dispatched(now, attempt, keys.client_id, member);
            self.share_fact(fact);
        }
    }

    /// Records the end of an execution.
    pub(super) fn record_dispatch_end(&mut self, attempt: AttemptId, outcome: ExecutionOutcome) {
        if let Some(fact) = self.dispatch_records.on_ended(attempt, outcome) {
            self.share_fact(fact);
        }
    }

    /// Checks whether this driver or another one may have dispatched a statement. Returns the statement with its
    /// prior attempt, if any; `None` if it is deferred until other drivers reply.
    pub(super) fn check_prior_attempts(
        &mut self,
        now: Timestamp,
        client_id: u64,
        statement: Statement,
        deadline: Timestamp,
    ) -> Option<Statement> {
        if !self.workloads.get(statement.workload).needs_deduplication {
            return Some(statement);
        }
        if self.dispatch_records.is_in_flight(client_id) {
            // Where executions can't be cancelled, a second one must not run beside the first.
            self.metrics.ids_repeated += 1;
            return with_prior_attempt(statement, UNKNOWN_ATTEMPT);
        }
        let Some(gossip) = &mut self.gossip else {
            if let Some(dispatch) = self.dispatch_records.prior_dispatch(now, client_id) {
                let prior_attempt = self.prior_attempt(dispatch.age, Some(&dispatch.member));
                self.metrics.ids_repeated += 1;
                return with_prior_attempt(statement, prior_attempt);
            }
            return if self.is_gossip_deferred && statement.is_client_retry {
                with_prior_attempt(statement, UNKNOWN_ATTEMPT)
            } else {
                Some(statement)
            };
        };
        let dispatch_log = self.dispatch_records.log_mut();
        match gossip.check_statement(now, dispatch_log, client_id, statement, deadline) {
            StatementCheck::New => Some(statement),
            StatementCheck::Ceded => {
                self.metrics.statements_given_away += 1;
                with_prior_attempt(statement, UNKNOWN_ATTEMPT)
            }
            StatementCheck::Dispatched { age, member } => {
                self.metrics.ids_repeated += 1;
                let prior_attempt = self.prior_attempt(age, Some(&member));
                with_prior_attempt(statement, prior_attempt)
            }
            StatementCheck::Unknown => with_prior_attempt(statement, UNKNOWN_ATTEMPT),
            StatementCheck::InquiryStarted => {
                self.metrics.inquiries += 1;
                None
            }
        }
    }

    /// A prior attempt at a member, which may be unknown here.
    fn prior_attempt(&self, age: TimeSpan, member: Option<&str>) -> PriorAttempt {
        let member = member.and_then(|name| self.members.find(name));
        member.map_or(UNKNOWN_ATTEMPT, |member| PriorAttempt { age, member })
    }

    pub(super) fn on_inquiry_reply(
        &mut self,
        now: Timestamp,
        from: usize,
        inquiry: InquiryId,
        status: &DispatchStatus,
    ) {
        let Some(gossip) = &mut self.gossip else { return };
        let client_id = inquiry.id;
        if let Some(outcome) = gossip.on_inquiry_reply(from, inquiry, status) {
            self.on_inquiry_resolved(now, client_id, outcome);
        }
    }

    /// Resumes a deferred statement with the outcome of its inquiry.
    pub(super) fn on_inquiry_resolved(&mut self, now: Timestamp, client_id: u64, outcome: InquiryOutcome) {
        let Some(gossip) = &mut self.gossip else { return };
        let Some(deferred) = gossip.take_deferred(client_id) else {
            return;
        };
        // Its client may have disconnected.
        if !self.statements.contains(deferred.statement.id) {
            return;
        }
        let prior_attempt = match outcome {
            InquiryOutcome::NotExecuted => None,
            InquiryOutcome::MayHaveExecuted { age, member } => {
                self.metrics.inquiries_in_doubt += 1;
                Some(self.prior_attempt(age, member.as_deref()))
            }
        };
        let statement = Statement {
            prior_attempt,
            time_left: deferred.deadline - now,
            ..deferred.statement
        };
        let actions = self.policy.on_statement(now, &statement);
        self.execute_actions(now, actions);
        self.notify_policy_of_ends(now);
    }

    /// Handles another driver's inquiry. A statement not dispatched here is ceded to it, and rejected if it
    /// is open.
    pub(super) fn on_inquiry(&mut self, now: Timestamp, from: usize, inquiry: InquiryId) {
        let Some(gossip) = &mut self.gossip else { return };
        let client_id = inquiry.id;
        let is_ceded = gossip.reply_to_inquiry(
            now,
            from,
            inquiry,
            self.dispatch_records.log_mut(),
            self.handover.is_co_serving(),
        );
        let open = self.statements.find(client_id);
        let Some(statement) = open.filter(|_| is_ceded) else {
            return;
        };
        self.metrics.statements_given_away += 1;
        let actions = self.policy.on_statement_withdrawn(now, statement);
        self.execute_actions(now, actions);
        let answer = execution_outcomes::rejected(TimeSpan(0));
        let is_answered = self.answer(statement, answer);
        self.metrics.rejected += u64::from(is_answered);
    }
}
