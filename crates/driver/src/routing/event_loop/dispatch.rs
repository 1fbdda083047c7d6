//! How an execution or probe gets to its member. On a connection that stands it goes at once; where one has to come up
//! first nothing leaves before the module has looked again, for much may have come meanwhile.

use super::{EventLoop, Observer};
use crate::protocol::messages;
use crate::routing::member_requests::{Assignment, ConnectionUp, MemberRequest, RequestKind};
use asterlatch::interface::{ExecutionOutcome, ReplicaStatus};
use asterlatch::time::Timestamp;
use asterlatch_handover::io_journal::JournalRecord;

impl<O: Observer> EventLoop<O> {
    /// Gives the request a connection.
    pub(super) fn start(&mut self, now: Timestamp, request: MemberRequest) {
        let address = self.members.address(request.member);
        let started = match address {
            Some(address) => self.member_requests.start(now, request, address),
            None => Err(ExecutionOutcome::NotSent),
        };
        match (started, request.kind) {
            (Ok(Assignment::Ready(connection)), _) => self.send(now, connection, request),
            (Ok(Assignment::Connecting(cause)), kind) => {
                self.metrics.opened(Some(cause));
                if let RequestKind::Execution(id) = kind {
                    self.module.on_connecting(id.statement, id.attempt);
                }
            }
            (Err(ending), _) => self.end(request, now, ending, ReplicaStatus::default()),
        }
    }

    /// Its connection had ended before anything was written: it starts anew, if it still may.
    pub(super) fn restart(&mut self, now: Timestamp, request: MemberRequest) {
        if self.may_go(now, request.kind) {
            self.start(now, request);
        } else {
            self.end(request, now, ExecutionOutcome::NotSent, ReplicaStatus::default());
        }
    }

    pub(super) fn connection_up(&mut self, now: Timestamp, connection: u32) {
        let ConnectionUp::Assigned(request) = self.member_requests.on_connected(connection, now) else {
            return;
        };
        if self.may_go(now, request.kind) {
            self.send(now, connection, request);
        } else if let Some(request) = self.member_requests.withdraw(connection, now) {
            self.end(request, now, ExecutionOutcome::NotSent, ReplicaStatus::default());
        }
    }

    fn may_go(&mut self, now: Timestamp, kind: RequestKind) -> bool {
        match kind {
            RequestKind::Execution(id) => self.module.may_dispatch(now, id.statement, id.attempt),
            RequestKind::HealthCheck => true,
        }
    }

    /// Hands what the request is for to its connection, and writes that down first where another process may go on.
    fn send(&mut self, now: Timestamp, connection: u32, request: MemberRequest) {
        let query = match request.kind {
            RequestKind::Execution(id) => self.statements.query(id.statement, now, request.deadline),
            RequestKind::HealthCheck => Some(messages::probe(self.decoding.reported)),
        };
        let Some(query) = query else {
            if let Some(request) = self.member_requests.withdraw(connection, now) {
                self.end(request, now, ExecutionOutcome::NotSent, ReplicaStatus::default());
            }
            return;
        };
        if let (RequestKind::Execution(id), Some(witness)) = (request.kind, &self.witness) {
            if let Some(origin) = self.statements.origin(id.statement).filter(|_| witness.is_on()) {
                let out = JournalRecord::Dispatched {
                    client: origin.client,
                    end: origin.end,
                    is_retry_safe: self.statements.is_client_retry_safe(id.statement),
                };
                witness.append(&out, None);
            }
        }
        self.member_requests.send(connection, query);
    }
}
