//! Arrivals and events of clients, and the final answers to their statements.

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

impl<O: Logger> EventLoop<O> {
    /// The process shuts down: every statement has its final answer by then.
    pub fn begin_shutdown(&mut self, now: Timestamp, last_answer_at: Timestamp) {
        let actions = self.policy.on_shutdown(now, last_answer_at);
        self.carry_out(now, actions);
        self.notify_policy_of_ends(now);
    }

    /// Accepts no more clients, and disconnects each between two statements.
    pub fn begin_drain(&mut self) {
        self.is_draining = true;
        self.acceptor.close();
        self.clients.begin_drain();
    }

    pub(super) fn on_arrival(&mut self, now: Timestamp, arrival: AcceptEvent<ClientCommand>) {
        match arrival {
            AcceptEvent::Client(id, line) => self.admit_client(now, id, line),
            AcceptEvent::Failed(error) => self.on_accept_failed(now, &error),
            // Before this event a client may still arrive.
            AcceptEvent::Closed => self.acceptor.on_closed(),
        }
    }

    pub(super) fn admit_client(&mut self, now: Timestamp, id: u32, line: ConnectionHandle<ClientCommand>) {
        self.metrics.clients_accepted += 1;
        match self.clients.admit(now, id, line) {
            Admission::Admitted => {}
            Admission::AdmittedByEviction => self.metrics.clients_evicted += 1,
            Admission::Rejected => self.metrics.clients_rejected += 1,
        }
    }

    pub(super) fn on_accept_failed(&mut self, now: Timestamp, error: &io::Error) {
        self.metrics.accepts_failed += 1;
        let text = format_args!("a client could not be accepted: {error}");
        self.logger.log(now, "accept", text);
        self.acceptor.on_failed(now + self.limits.accept_backoff);
        // A place that becomes free helps against nothing else than a lack of descriptors.
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
            ClientEvent::HalfClosed { client } => self.clients.on_half_closed(client, now),
            ClientEvent::Malformed => {
                self.metrics.clients_malformed += 1;
                let text = format_args!("sent what is not the protocol");
                self.logger.log(now, "client", text);
            }
            ClientEvent::OutOfMemory => self.metrics.rejected_for_memory += 1,
            ClientEvent::Oversized => self.metrics.statements_unreadable += 1,
            ClientEvent::Transferred {
                client,
                stream,
                standing,
            } => {
                let is_active = self.clients.is_active(client);
                // Between two statements nothing of it is open.
                self.clients.remove(client);
                self.handover.add_client(TransferredClient {
                    stream,
                    session: standing,
                    is_active,
                    verdicts: StatementVerdicts::default(),
                });
            }
            ClientEvent::InputEnded { .. } | ClientEvent::Closed { .. } => {
                let departures = self.departures_of(&event);
                self.withdraw(now, &departures);
            }
        }
    }

    /// Handles all clients of a batch of events that leave. Those that arrive in the same batch have their turn later.
    pub(super) fn on_departures_in(&mut self, now: Timestamp, batch: &[Event]) {
        let mut departures = Vec::new();
        for event in batch {
            match event {
                Event::Client(event) if self.is_known_departure(event) => {
                    departures.extend(self.departures_of(event));
                }
                _ => {}
            }
        }
        self.withdraw(now, &departures);
    }

    fn is_known_departure(&self, event: &ClientEvent) -> bool {
        match event {
            ClientEvent::InputEnded { client } | ClientEvent::Closed { client } => {
                self.clients.contains(*client)
            }
            _ => false,
        }
    }

    /// The open statements of a client that leaves. One whose connection is closed is forgotten.
    fn departures_of(&mut self, event: &ClientEvent) -> Vec<ClientDisconnect> {
        let (statements, awaits_answer) = match event {
            ClientEvent::InputEnded { client } => (self.clients.on_input_ended(*client), true),
            ClientEvent::Closed { client } => {
                self.handover.on_client_closed(*client);
                (self.clients.remove(*client), false)
            }
            _ => return Vec::new(),
        };
        let departures = statements.into_iter().map(|statement| ClientDisconnect {
            statement,
            awaits_answer,
        });
        departures.collect()
    }

    fn withdraw(&mut self, now: Timestamp, departures: &[ClientDisconnect]) {
        let is_open = |departure: &&ClientDisconnect| self.statements.contains(departure.statement);
        let open: Vec<ClientDisconnect> = departures.iter().filter(is_open).copied().collect();
        if open.is_empty() {
            return;
        }
        for departure in open.iter().filter(|departure| !departure.awaits_answer) {
            self.statements.remove(departure.statement);
        }
        self.metrics.withdrawn += open.len() as u64;
        let actions = self.policy.on_client_disconnects(now, &open);
        self.carry_out(now, actions);
        for departure in open.iter().filter(|departure| departure.awaits_answer) {
            self.answer_deferred(departure.statement);
        }
        self.notify_policy_of_ends(now);
    }

    /// Answers a statement that the policy does not know yet, because other drivers are still asked about it.
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
        if !self.clients.on_statement(origin.client) || self.answer_by_verdict(origin) {
            return;
        }
        if self.clients.has_left(origin.client) {
            let command = ClientCommand::Answer(origin.number, statement_comment::CLIENT_LEFT.into());
            return self.clients.send(origin.client, command);
        }
        let fields = statement_comment::parse(&text.text);
        let length = text.text.len();
        match fields.and_then(|fields| Ok((self.workload_of(&fields, length)?, fields))) {
            Ok((workload, fields)) => {
                self.accept_statement(now, origin, text, received_at, workload, &fields)
            }
            Err(reason) => self.refuse_statement(now, origin, reason),
        }
    }

    /// Answers a statement that a crashed process had read. Returns false if none had.
    fn answer_by_verdict(&mut self, origin: StatementOrigin) -> bool {
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

    /// The workload of a statement that can be routed.
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

    fn refuse_statement(&mut self, now: Timestamp, origin: StatementOrigin, reason: StatementError) {
        self.metrics.statements_unreadable += 1;
        let text = format_args!("not routed: {}", reason.message);
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
            self.carry_out(now, actions);
        }
    }

    /// Gives a statement its one final answer. Returns false if it has one already, or its client is gone.
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
