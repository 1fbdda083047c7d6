//! Accepted clients, events of client connections, and final answers to statements.

use super::{EventLoop, Logger};
use crate::protocol::client_events::{ClientCommand, ClientEvent, FinalAnswer, StatementText};
use crate::protocol::replica_status;
use crate::protocol::statement_comment::{self, StatementComment, StatementError};
use crate::routing::clients::Admission;
use crate::routing::events::Event;
use crate::routing::execution_outcomes;
use crate::routing::handover::TransferredClient;
use crate::routing::members::session_key;
use crate::routing::statements::{NewStatement, OpenedStatement, StatementOrigin};
use crate::transport::connection::ConnectionHandle;
use crate::transport::listener::AcceptEvent;
use crate::transport::socket_errors;
use asterlatch::interface::{ClientDisconnect, Statement};
use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_handover::io_journal::{StatementVerdict, StatementVerdicts};
use std::io;

/// Time after which no statement of a client is sent to a member any more whose disconnect could go unnoticed.
const MAX_DISPATCH_DELAY_OF_BACKLOG: TimeSpan = TimeSpan::millis(80);

impl<L: Logger> EventLoop<L> {
    /// Prepares for shutdown: every statement gets its final answer by `last_answer_at`.
    pub fn begin_shutdown(&mut self, now: Timestamp, last_answer_at: Timestamp) {
        let actions = self.policy.on_shutdown(now, last_answer_at);
        self.execute_actions(now, actions);
        self.notify_policy_of_ends(now);
    }

    /// Stops accepting clients and disconnects each once it has no open statement.
    pub fn begin_drain(&mut self) {
        self.is_draining = true;
        self.acceptor.close();
        self.clients.begin_drain();
    }

    pub(super) fn on_accept_event(&mut self, now: Timestamp, event: AcceptEvent<ClientCommand>) {
        match event {
            AcceptEvent::Client(id, handle) => self.admit_client(now, id, handle),
            AcceptEvent::Failed(error) => self.on_accept_failed(now, &error),
            // Until this event, clients may still be accepted.
            AcceptEvent::Closed => self.acceptor.on_closed(),
        }
    }

    pub(super) fn admit_client(&mut self, now: Timestamp, id: u32, handle: ConnectionHandle<ClientCommand>) {
        self.metrics.clients_accepted += 1;
        match self.clients.admit(now, id, handle) {
            Admission::Admitted => {}
            Admission::AdmittedByEviction => self.metrics.clients_evicted += 1,
            Admission::Rejected => self.metrics.clients_rejected += 1,
        }
        if self.disconnected_before_admission.remove(&id) {
            // Its queued statements must not be dispatched.
            self.clients.on_input_ended(id);
        }
    }

    pub(super) fn on_accept_failed(&mut self, now: Timestamp, error: &io::Error) {
        self.metrics.accepts_failed += 1;
        let text = format_args!("a client could not be accepted: {error}");
        self.logger.log(now, "accept", text);
        self.acceptor.on_failed(now + self.limits.accept_backoff);
        // Eviction helps only against a lack of descriptors.
        if socket_errors::is_out_of_descriptors(error) {
            let is_evicted = self.clients.evict_one(now);
            self.metrics.clients_evicted += u64::from(is_evicted);
        }
    }

    pub(super) fn on_client_event(&mut self, now: Timestamp, event: ClientEvent) {
        match event {
            ClientEvent::Statement {
                client,
                number,
                end,
                text,
                at,
            } => self.on_statement(now, StatementOrigin { client, number, end }, text, at),
            ClientEvent::Idle { client, since } => self.clients.on_idle(client, since),
            ClientEvent::PartialMessage { client, since } => self.clients.on_partial_message(client, since),
            ClientEvent::Backlogged { client } => self.on_client_backlogged(now, client),
            ClientEvent::HalfClosed { client } => self.clients.on_half_closed(client, now),
            ClientEvent::Malformed => {
                self.metrics.clients_malformed += 1;
                let text = format_args!("a client violated the protocol");
                self.logger.log(now, "client", text);
            }
            ClientEvent::OutOfMemory { count } => self.metrics.rejected_for_memory += count,
            ClientEvent::Oversized => self.metrics.statements_unreadable += 1,
            ClientEvent::Transferred {
                client,
                stream,
                transfer_state,
            } => {
                let is_active = self.clients.is_active(client);
                // A client is transferred between two statements, so none is open.
                self.clients.remove(client);
                self.handover.add_client(TransferredClient {
                    stream,
                    session: transfer_state,
                    is_active,
                    verdicts: StatementVerdicts::default(),
                });
            }
            ClientEvent::InputEnded { .. } | ClientEvent::Closed { .. } => {
                let disconnects = self.disconnects_of(&event);
                self.withdraw_statements(now, &disconnects);
            }
        }
    }

    /// Has the client's statements sent soon or not at all, since its disconnect could go unnoticed.
    fn on_client_backlogged(&mut self, now: Timestamp, client: u32) {
        let statements = self.clients.open_statements(client);
        let until = now + MAX_DISPATCH_DELAY_OF_BACKLOG;
        let actions = self.policy.limit_dispatch(now, &statements, until);
        self.execute_actions(now, actions);
    }

    /// Withdraws the statements of all clients that disconnect in a batch. The disconnects of clients that
    /// were accepted and are not admitted yet are noted for their admission.
    pub(super) fn on_disconnects_in_batch(&mut self, now: Timestamp, batch: &[Event]) {
        let mut disconnects = Vec::new();
        for event in batch {
            let Event::Client(event) = event else { continue };
            match event {
                ClientEvent::InputEnded { client } | ClientEvent::Closed { client } => {
                    if self.clients.contains(*client) {
                        disconnects.extend(self.disconnects_of(event));
                    } else {
                        self.disconnected_before_admission.insert(*client);
                    }
                }
                _ => {}
            }
        }
        self.withdraw_statements(now, &disconnects);
    }

    /// The open statements of a client that disconnects. A client whose connection is closed is removed.
    fn disconnects_of(&mut self, event: &ClientEvent) -> Vec<ClientDisconnect> {
        let (statements, awaits_answer) = match event {
            ClientEvent::InputEnded { client } => (self.clients.on_input_ended(*client), true),
            ClientEvent::Closed { client } => {
                self.handover.on_client_closed(*client);
                (self.clients.remove(*client), false)
            }
            _ => return Vec::new(),
        };
        let disconnects = statements.into_iter().map(|statement| ClientDisconnect {
            statement,
            awaits_answer,
        });
        disconnects.collect()
    }

    fn withdraw_statements(&mut self, now: Timestamp, disconnects: &[ClientDisconnect]) {
        let is_open = |disconnect: &&ClientDisconnect| self.statements.contains(disconnect.statement);
        let open: Vec<ClientDisconnect> = disconnects.iter().filter(is_open).copied().collect();
        if open.is_empty() {
            return;
        }
        for disconnect in open.iter().filter(|disconnect| !disconnect.awaits_answer) {
            self.statements.remove(disconnect.statement);
        }
        self.metrics.withdrawn += open.len() as u64;
        let actions = self.policy.on_client_disconnects(now, &open);
        self.execute_actions(now, actions);
        for disconnect in open.iter().filter(|disconnect| disconnect.awaits_answer) {
            self.answer_deferred(disconnect.statement);
        }
        self.notify_policy_of_ends(now);
    }

    /// Answers a statement that the policy does not know yet because an inquiry to other drivers is pending.
    fn answer_deferred(&mut self, statement: u32) {
        let answer = if self.statements.is_client_retry_safe(statement) {
            execution_outcomes::rejected(TimeSpan(0))
        } else {
            execution_outcomes::aborted()
        };
        if self.statements.contains(statement) {
            self.answer(statement, answer);
        }
    }

    fn on_statement(
        &mut self,
        now: Timestamp,
        origin: StatementOrigin,
        text: StatementText,
        received_at: Timestamp,
    ) {
        if !self.clients.on_statement(origin.client) || self.answer_from_verdict(origin) {
            return;
        }
        if self.clients.is_input_ended(origin.client) {
            let command = ClientCommand::Answer(origin.number, statement_comment::CLIENT_DISCONNECTED.into());
            return self.clients.send(origin.client, command);
        }
        let fields = statement_comment::parse(&text.text);
        let length = text.text.len();
        match fields.and_then(|fields| Ok((self.workload_of(&fields, length)?, fields))) {
            Ok((workload, fields)) => {
                self.accept_statement(now, origin, text, received_at, workload, &fields)
            }
            Err(reason) => self.reject_statement(now, origin, reason),
        }
    }

    /// Answers a statement that a crashed process had read. Returns false for any other statement.
    fn answer_from_verdict(&mut self, origin: StatementOrigin) -> bool {
        let answer = match self.handover.take_verdict(origin.client, origin.end) {
            None | Some(StatementVerdict::Unread) => return false,
            Some(StatementVerdict::Rejected) => {
                self.metrics.taken_back_rejected += 1;
                execution_outcomes::rejected(TimeSpan(0))
            }
            Some(StatementVerdict::Aborted) => {
                self.metrics.taken_back_aborted += 1;
                execution_outcomes::aborted()
            }
        };
        let command = ClientCommand::Answer(origin.number, answer);
        self.clients.send(origin.client, command);
        true
    }

    /// Index of the statement's workload, or why the statement cannot be routed.
    fn workload_of(&self, fields: &StatementComment, length: usize) -> Result<usize, StatementError> {
        if self.statements.find(fields.id_hash).is_some() {
            return Err(statement_comment::DUPLICATE_ID);
        }
        if !self.members.has_group(fields.group) {
            return Err(statement_comment::UNKNOWN_GROUP);
        }
        let workload = self.workloads.find(&fields.workload);
        let workload = workload.ok_or(statement_comment::UNKNOWN_WORKLOAD)?;
        match self.workloads.get(workload).limits.max_bytes {
            Some(max_bytes) if length > max_bytes => Err(statement_comment::TOO_LARGE),
            _ => Ok(workload),
        }
    }

    fn reject_statement(&mut self, now: Timestamp, origin: StatementOrigin, reason: StatementError) {
        self.metrics.statements_unreadable += 1;
        let text = format_args!("cannot route the statement: {}", reason.message);
        self.logger.log(now, "statement", text);
        let command = ClientCommand::Answer(origin.number, reason.into());
        self.clients.send(origin.client, command);
    }

    fn accept_statement(
        &mut self,
        now: Timestamp,
        origin: StatementOrigin,
        text: StatementText,
        received_at: Timestamp,
        workload: usize,
        fields: &StatementComment,
    ) {
        self.metrics.statements_taken += 1;
        let properties = self.workloads.get(workload);
        let routing_key = fields.key.as_deref().filter(|_| properties.uses_sessions());
        let session = routing_key.map_or(0, session_key);
        let OpenedStatement { id, deadline } = self.statements.insert(NewStatement {
            origin,
            text,
            fields,
            received_at,
            max_timeout: properties.max_statement_timeout(&self.limits),
            workload,
            session,
            is_client_retry_safe: properties.is_client_retry_safe,
        });
        self.clients.add_statement(origin.client, id);
        let statement = Statement {
            id,
            workload,
            tenant: 0,
            group: fields.group,
            session,
            is_client_retry: fields.is_client_retry,
            time_left: deadline - now,
            expected_work: None,
            prior_attempt: None,
            session_position: fields
                .required_position_ms
                .and_then(replica_status::unix_timestamp),
        };
        if let Some(statement) = self.check_prior_attempts(now, fields.id_hash, statement, deadline) {
            let actions = self.policy.on_statement(now, &statement);
            self.execute_actions(now, actions);
        }
    }

    /// Sends a statement its only final answer. Returns false if it already has one or its client has
    /// disconnected.
    pub(super) fn answer(&mut self, statement: u32, answer: FinalAnswer) -> bool {
        let Some(origin) = self.statements.remove(statement) else {
            self.metrics.late_answers_dropped += 1;
            return false;
        };
        self.clients.remove_statement(origin.client, statement);
        let command = ClientCommand::Answer(origin.number, answer);
        self.clients.send(origin.client, command);
        true
    }
}
