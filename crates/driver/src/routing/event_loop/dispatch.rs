//! Sends requests to members. If a connection has to be established first, the policy is asked again before
//! anything is sent, because the request may have become obsolete.

use super::{EventLoop, Logger};
use crate::protocol::messages;
use crate::routing::member_requests::{
    Assignment, AttemptId, EstablishedConnection, MemberRequest, RequestKind,
};
use asterlatch::interface::{ExecutionOutcome, ReplicaStatus};
use asterlatch::time::Timestamp;
use asterlatch_handover::io_journal::JournalRecord;

impl<L: Logger> EventLoop<L> {
    /// Assigns a connection to the request and sends it if that is established.
    pub(super) fn start_request(&mut self, now: Timestamp, request: MemberRequest) {
        let assignment = match self.members.address(request.member) {
            Some(address) => self.member_requests.start(now, request, address),
            None => Err(ExecutionOutcome::NotSent),
        };
        match assignment {
            Ok(Assignment::Ready(connection)) => self.send_request(now, connection, request),
            Ok(Assignment::Connecting(reason)) => {
                self.metrics.count_opened(reason);
                if let RequestKind::Execution(AttemptId { statement, attempt }) = request.kind {
                    self.policy.on_connecting(statement, attempt);
                }
            }
            Err(outcome) => self.end_request(request, now, outcome, ReplicaStatus::default()),
        }
    }

    /// Restarts a request whose connection closed before anything was written, if the policy still wants it.
    pub(super) fn restart_request(&mut self, now: Timestamp, request: MemberRequest) {
        if self.may_dispatch(now, request.kind) {
            self.start_request(now, request);
        } else {
            self.end_unsent(now, request);
        }
    }

    pub(super) fn on_connected(&mut self, now: Timestamp, connection: u32) {
        let EstablishedConnection::Assigned(request) = self.member_requests.on_connected(connection, now)
        else {
            return;
        };
        if self.may_dispatch(now, request.kind) {
            self.send_request(now, connection, request);
        } else {
            self.withdraw_request(now, connection);
        }
    }

    fn may_dispatch(&mut self, now: Timestamp, kind: RequestKind) -> bool {
        match kind {
            RequestKind::Execution(id) => self.policy.may_dispatch(now, id.statement, id.attempt),
            RequestKind::HealthCheck => true,
        }
    }

    fn withdraw_request(&mut self, now: Timestamp, connection: u32) {
        if let Some(request) = self.member_requests.withdraw(connection, now) {
            self.end_unsent(now, request);
        }
    }

    fn end_unsent(&mut self, now: Timestamp, request: MemberRequest) {
        self.end_request(request, now, ExecutionOutcome::NotSent, ReplicaStatus::default());
    }

    fn send_request(&mut self, now: Timestamp, connection: u32, request: MemberRequest) {
        let query = match request.kind {
            RequestKind::Execution(id) => self.statements.query(id.statement, now, request.deadline),
            RequestKind::HealthCheck => Some(messages::health_check(self.decoding.has_load_reports)),
        };
        let Some(query) = query else {
            return self.withdraw_request(now, connection);
        };
        if let RequestKind::Execution(id) = request.kind {
            self.record_in_journal(id.statement);
        }
        self.member_requests.send(connection, query);
    }

    /// Journals a statement before it is sent, so that a process that takes over after a crash knows of it.
    fn record_in_journal(&self, statement: u32) {
        let Some(journal) = self.journal.as_ref().filter(|journal| journal.is_active()) else {
            return;
        };
        if let Some(origin) = self.statements.origin(statement) {
            let dispatched = JournalRecord::Dispatched {
                client: origin.client,
                end: origin.end,
                is_retry_safe: self.statements.is_client_retry_safe(statement),
            };
            journal.append(&dispatched, None);
        }
    }
}
