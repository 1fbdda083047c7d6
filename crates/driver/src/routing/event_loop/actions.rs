//! Carries out the routing policy's decisions and notifies it of ended requests.

use super::{EndedRequest, EventLoop, Logger};
use crate::routing::execution_outcomes;
use crate::routing::member_requests::{AttemptId, MemberRequest, RequestKind, UnansweredRequest};
use crate::routing::statements::NextAttempt;
use asterlatch::interface::{
    Actions, Answer, Cancellation, Execution, ExecutionEnd, ExecutionOutcome, ReplicaStatus,
};
use asterlatch::time::Timestamp;

impl<L: Logger> EventLoop<L> {
    /// Carries out the policy's decisions. Cancellations go first.
    pub(super) fn execute_actions(&mut self, now: Timestamp, actions: Actions) {
        self.policy_wakes_at = actions.wake_up_at;
        for cancellation in &actions.cancellations {
            self.cancel(now, cancellation);
        }
        for execution in &actions.executions {
            self.execute(now, execution);
        }
        for answer in &actions.answers {
            self.deliver_policy_answer(answer);
        }
        for member in &actions.health_checks {
            if self.may_check_health(now, *member) {
                self.check_health(now, *member);
            }
        }
        for member in &actions.removed_members {
            self.members.remove(*member);
            self.member_requests.close_idle(*member);
        }
        if actions.poll_endpoint_list {
            self.request_endpoint_list(now);
        }
    }

    fn cancel(&mut self, now: Timestamp, cancellation: &Cancellation) {
        let attempt = AttemptId {
            statement: cancellation.statement,
            attempt: cancellation.attempt,
        };
        if let Some(UnansweredRequest { request, outcome }) = self.member_requests.cancel(now, attempt) {
            self.end_request(request, now, outcome, ReplicaStatus::default());
        }
    }

    fn execute(&mut self, now: Timestamp, execution: &Execution) {
        let next = self
            .statements
            .begin_attempt(execution.statement, execution.deadline);
        let Some(NextAttempt { number, deadline }) = next else {
            return;
        };
        self.metrics.executions_sent += 1;
        let attempt = AttemptId {
            statement: execution.statement,
            attempt: number,
        };
        self.record_dispatch(now, attempt, execution.member);
        self.record_execution(now, attempt, execution.member);
        let kind = RequestKind::Execution(attempt);
        let request = MemberRequest::new(kind, execution.member, now, deadline);
        self.start_request(now, request);
    }

    fn deliver_policy_answer(&mut self, answer: &Answer) {
        let to_client = execution_outcomes::to_client(answer);
        let is_answered = self.answer(to_client.statement, to_client.answer);
        match answer {
            Answer::Rejected { .. } => self.metrics.rejected += u64::from(is_answered),
            Answer::Aborted { .. } => self.metrics.aborted += u64::from(is_answered),
        }
    }

    /// Sends a health check to a member.
    pub(super) fn check_health(&mut self, now: Timestamp, member: u32) {
        self.metrics.health_checks_sent += 1;
        // The settings have no timeout for health checks.
        let deadline = now + self.decoding.connect_timeout;
        let request = MemberRequest::new(RequestKind::HealthCheck, member, now, deadline);
        self.start_request(now, request);
    }

    /// Queues the end of a request for [`EventLoop::notify_policy_of_ends`].
    pub(super) fn end_request(
        &mut self,
        request: MemberRequest,
        ended_at: Timestamp,
        outcome: ExecutionOutcome,
        status: ReplicaStatus,
    ) {
        self.share_session_write(&request, outcome, &status);
        self.ended_requests.push_back(EndedRequest {
            latency: ended_at - request.started_at,
            request,
            outcome,
            status,
        });
    }

    /// Notifies the policy of each ended request once, after the event that ended it: reactions must not
    /// interleave with the decisions being carried out. Requests of answered statements are included, for
    /// their data on the member.
    pub(super) fn notify_policy_of_ends(&mut self, now: Timestamp) {
        while let Some(end) = self.ended_requests.pop_front() {
            self.record_ended_request(now, &end);
            let member = end.request.member;
            let actions = match end.request.kind {
                RequestKind::Execution(AttemptId { statement, attempt }) => {
                    self.record_dispatch_end(AttemptId { statement, attempt }, end.outcome);
                    execution_outcomes::count(&mut self.metrics, end.outcome);
                    let end = ExecutionEnd {
                        statement,
                        attempt,
                        member,
                        outcome: end.outcome,
                        latency: end.latency,
                        is_answered: !self.statements.contains(statement),
                        status: end.status,
                    };
                    self.policy.on_execution_ended(now, &end)
                }
                RequestKind::HealthCheck => {
                    let is_answered = end.outcome == ExecutionOutcome::Completed;
                    self.metrics.health_checks_answered += u64::from(is_answered);
                    // Measured to `now`, so that the policy can compute the exact start time.
                    let latency = now - end.request.started_at;
                    self.policy
                        .on_health_check(now, member, is_answered, latency, end.status)
                }
            };
            self.execute_actions(now, actions);
        }
    }
}
