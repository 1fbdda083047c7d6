//! Events of member connections.

use super::{EventLoop, Logger};
use crate::protocol::client_events::FinalAnswer;
use crate::protocol::member_connection::{MemberAnswer, MemberEvent, Reply};
use crate::protocol::{messages, replica_status};
use crate::routing::execution_outcomes;
use crate::routing::handover::TransferredConnection;
use crate::routing::member_requests::{AttemptId, MemberRequest, RequestKind};
use asterlatch::interface::{ExecutionOutcome, ReplicaStatus};
use asterlatch::time::Timestamp;

impl<L: Logger> EventLoop<L> {
    pub(super) fn on_member_event(&mut self, now: Timestamp, event: MemberEvent) {
        match event {
            MemberEvent::Connected { connection } => self.on_connected(now, connection),
            MemberEvent::Transferred { connection, stream } => {
                if let Some(member) = self.member_requests.on_transferred(connection) {
                    self.handover
                        .add_connection(TransferredConnection { member, stream });
                }
            }
            MemberEvent::Replied {
                connection,
                at,
                reply,
                status,
                report,
            } => {
                let answer = MemberAnswer {
                    at,
                    reply,
                    status,
                    report,
                };
                self.on_last_reply(now, connection, answer);
            }
            MemberEvent::RepliedInDoubt { connection, answer } => {
                let is_copy = self.member_requests.hold_answer(now, connection, answer);
                self.metrics.answer_copies_dropped += u64::from(is_copy);
            }
            MemberEvent::Closed {
                connection,
                at,
                written,
            } => self.on_connection_closed(now, connection, at, written),
        }
    }

    /// Handles an answer behind which no other one follows.
    fn on_last_reply(&mut self, now: Timestamp, connection: u32, answer: MemberAnswer) {
        let held = self.member_requests.take_held_answer(connection);
        if !matches!(answer.reply, Reply::Malformed) {
            self.metrics.answer_copies_dropped += u64::from(held.is_some());
            if let Some(request) = self.member_requests.on_answered(connection, now) {
                self.on_answer(now, request, answer);
            }
        } else if let Some(request) = self.member_requests.close(connection) {
            // A held answer is the final one: what follows it isn't an answer.
            self.on_answer(now, request, held.unwrap_or(answer));
        }
    }

    /// Accepts the answers that were held as possible copies and that no other one has followed.
    pub(super) fn release_held_answers(&mut self, now: Timestamp) {
        while let Some((request, answer)) = self.member_requests.next_released_answer(now) {
            self.on_answer(now, request, answer);
        }
    }

    fn on_answer(&mut self, now: Timestamp, request: MemberRequest, answer: MemberAnswer) {
        let MemberAnswer {
            at,
            reply,
            status,
            report,
        } = answer;
        let status = status.merge(self.reported_status(&request, &reply, report));
        self.on_reply(now, request, at, reply, status);
    }

    fn on_reply(
        &mut self,
        now: Timestamp,
        request: MemberRequest,
        replied_at: Timestamp,
        reply: Reply,
        status: ReplicaStatus,
    ) {
        if !self.accepts_reply(&request, &reply, status) {
            // Withheld from the client, but the statement was executed.
            self.end_request(request, replied_at, ExecutionOutcome::Errored, status);
            self.metrics.answers_too_old += 1;
            return;
        }
        let outcome = execution_outcomes::from_reply(&reply);
        self.end_request(request, replied_at, outcome, status);
        match (reply, request.kind) {
            // The bytes of the first complete answer are forwarded unchanged.
            (Reply::Rows(rows), RequestKind::Execution(id)) => {
                let is_retry_safe = self.statements.is_client_retry_safe(id.statement);
                let answer = FinalAnswer::rows(rows, is_retry_safe, &self.memory.clients);
                let is_answered = self.answer(id.statement, answer);
                self.metrics.completed += u64::from(is_answered);
            }
            (Reply::Malformed, _) => {
                self.metrics.members_malformed += 1;
                let text = format_args!("a member violated the protocol");
                self.logger.log(now, "member", text);
            }
            _ => {}
        }
    }

    /// Whether the data of a reply is fresh enough for its statement.
    fn accepts_reply(&self, request: &MemberRequest, reply: &Reply, status: ReplicaStatus) -> bool {
        match (reply, request.kind) {
            (Reply::Rows(_), RequestKind::Execution(AttemptId { statement, attempt })) => {
                self.policy.accepts_answer(statement, attempt, status)
            }
            _ => true,
        }
    }

    fn on_connection_closed(
        &mut self,
        now: Timestamp,
        connection: u32,
        closed_at: Timestamp,
        is_written: bool,
    ) {
        let held = self.member_requests.take_held_answer(connection);
        let Some(request) = self.member_requests.close(connection) else {
            return;
        };
        if let Some(answer) = held {
            return self.on_answer(now, request, answer);
        }
        if request.is_reused_connection && !is_written {
            // It had closed while idle: nothing was sent, so a restart does not count as another execution.
            self.metrics.idle_connections_stale += 1;
            return self.restart_request(now, request);
        }
        self.member_requests.record_reuse(&request, now, is_written);
        let outcome = execution_outcomes::from_closed_connection(is_written);
        self.end_request(request, closed_at, outcome, ReplicaStatus::default());
    }

    /// The status reported along with an answer or in the row of a health check.
    fn reported_status(
        &self,
        request: &MemberRequest,
        reply: &Reply,
        answer_report: Option<String>,
    ) -> ReplicaStatus {
        let row = match (request.kind, reply) {
            (RequestKind::HealthCheck, Reply::Rows(rows)) => messages::row_value(rows),
            _ => None,
        };
        let row = row.and_then(|value| std::str::from_utf8(value).ok());
        let from_row = self.parse_report(row);
        from_row.merge(self.parse_report(answer_report.as_deref()))
    }

    fn parse_report(&self, report: Option<&str>) -> ReplicaStatus {
        let fields = &self.decoding.report_fields;
        let name = |index: Option<usize>| Some(fields.get(index?)?.as_str());
        let position = name(self.decoding.position_field);
        let role = name(self.decoding.role_field);
        report.map_or(ReplicaStatus::default(), |report| {
            replica_status::parse_load_report(report, position, role)
        })
    }
}
