//! A client's connection: startup, then statements, which may be pipelined and are answered in their order.

use super::client_events::{ClientCommand, ClientEvent, ClientTransferState, FinalAnswer, StatementText};
use super::messages::{self, NextMessage, HEADER_LENGTH};
use super::pipeline::{AnsweredStatement, Pipeline};
use super::startup::{self, Startup};
use super::statement_comment::{CLIENT_DISCONNECTED, OUT_OF_MEMORY, TOO_LARGE, TOO_MANY_CONNECTIONS};
use crate::transport::connection::{ConnectionHandler, ConnectionOutput};
use crate::transport::io_journal::IoJournalWriter;
use crate::transport::memory_budget::MemoryBudget;
use asterlatch::time::Timestamp;
use asterlatch_handover::io_journal::JournalRecord;
use std::net::TcpStream;
use std::os::fd::AsFd;

/// Bytes that a client may have sent ahead of an answer before its input is no longer read. What is unread when it is
/// closed is lost, so a pipeline of usual statements fits.
const READ_AHEAD: usize = 16 * 1024;

#[derive(Clone, Copy, PartialEq)]
enum State {
    Startup,
    Ready,
    Closed,
}

/// The handler of a client's connection.
pub struct ClientSession {
    client: u32,
    state: State,
    is_draining: bool,
    /// It has sent a query, or another process knows whether it has.
    has_sent_query: bool,
    /// It is handed over to another process, and takes no further statement here.
    is_handing_over: bool,
    has_partial_message: bool,
    /// The client has closed its side: nothing that is read from now on is forwarded.
    has_left: bool,
    /// Everything that it sent before was read.
    is_all_read: bool,
    /// Bytes of an oversized query that are still to be skipped.
    bytes_to_skip: usize,
    pipeline: Pipeline,
    budget: MemoryBudget,
    /// Bytes consumed of all that was read.
    consumed: u64,
    /// Offset of the message that is being read.
    message_start: u64,
    /// Bytes of answers that the journal has recorded.
    journaled_to: u64,
    /// How many of them were written to the socket.
    written_to: u64,
    journal: Option<IoJournalWriter>,
    /// Number in the journal of a client that came from another process.
    transfer_id: Option<u64>,
}

type Output = ConnectionOutput<ClientEvent>;

impl ClientSession {
    /// A client that has just connected.
    pub fn new(client: u32, budget: MemoryBudget) -> ClientSession {
        ClientSession {
            client,
            state: State::Startup,
            is_draining: false,
            has_sent_query: false,
            is_handing_over: false,
            has_partial_message: false,
            has_left: false,
            is_all_read: false,
            bytes_to_skip: 0,
            pipeline: Pipeline::default(),
            budget,
            consumed: 0,
            message_start: 0,
            journaled_to: 0,
            written_to: 0,
            journal: None,
            transfer_id: None,
        }
    }

    /// Continues with a client of another process.
    pub fn resume(client: u32, budget: MemoryBudget, transfer: &ClientTransferState) -> ClientSession {
        let state = if transfer.startup_complete {
            State::Ready
        } else {
            State::Startup
        };
        ClientSession {
            state,
            bytes_to_skip: transfer.bytes_to_skip,
            has_sent_query: transfer.startup_complete,
            transfer_id: transfer.transfer_id,
            ..ClientSession::new(client, budget)
        }
    }

    /// Has all that is done recorded before. No other process holds a client that connects once the journal is off.
    pub fn with_journal(mut self, journal: Option<IoJournalWriter>) -> ClientSession {
        self.journal = journal.filter(|j| j.is_active() || self.transfer_id.is_some());
        self
    }

    fn record(&self, record: impl FnOnce() -> JournalRecord) {
        if let Some(journal) = self.journal.as_ref().filter(|j| j.is_active()) {
            journal.append(&record(), None);
        }
    }

    /// So many bytes are written next; they answer all input before `answered_to`.
    fn record_write(&mut self, length: usize, answered_to: u64) {
        self.journaled_to += length as u64;
        self.record(|| JournalRecord::Write {
            client: self.client,
            length: length as u64,
            written_to: self.written_to,
            answered_to,
            startup_complete: self.state == State::Ready,
            bytes_to_skip: self.bytes_to_skip as u64,
        });
    }

    fn close(&mut self, out: &mut Output) {
        out.close = true;
        self.state = State::Closed;
    }

    fn close_with_error(&mut self, code: &str, message: &str, out: &mut Output) {
        messages::put_error(&mut out.bytes, "FATAL", code, message, None);
        self.close(out);
    }

    fn reject_malformed(&mut self, message: &str, out: &mut Output) {
        out.events.push(ClientEvent::Malformed);
        self.close_with_error("08P01", message, out);
    }

    /// Reads what comes before the first query; returns how many bytes that took.
    fn read_startup(&mut self, input: &[u8], at: Timestamp, out: &mut Output) -> usize {
        match startup::read_startup(input) {
            Startup::Partial => 0,
            Startup::Encryption { length } => {
                out.bytes.push(b'N');
                self.record_write(1, self.message_start + length as u64);
                length
            }
            Startup::Message {
                length,
                minor,
                unknown,
            } => {
                let before = out.bytes.len();
                if minor > 0 || !unknown.is_empty() {
                    messages::put_negotiation(&mut out.bytes, &unknown);
                }
                messages::put_welcome(&mut out.bytes);
                self.become_idle(at, out);
                self.record_write(out.bytes.len() - before, self.message_start + length as u64);
                length
            }
            Startup::Cancel => {
                self.close(out);
                0
            }
            Startup::Malformed => {
                self.reject_malformed("unreadable startup message", out);
                0
            }
        }
    }

    fn become_idle(&mut self, at: Timestamp, out: &mut Output) {
        self.state = State::Ready;
        out.events.push(ClientEvent::Idle {
            client: self.client,
            since: at,
        });
    }

    /// Reads one message; returns how many bytes that took. While statements are open only a further one is read.
    fn read_message(&mut self, input: &[u8], at: Timestamp, out: &mut Output) -> usize {
        let max_message_bytes = messages::max_message_bytes(self.budget.capacity());
        match messages::next_message(input, max_message_bytes) {
            NextMessage::Partial => 0,
            NextMessage::Complete {
                kind: b'Q',
                body,
                length,
            } if !self.pipeline.is_full() => match messages::query_text(body) {
                Some(text) => {
                    self.on_query(text, self.message_start + length as u64, at, out);
                    length
                }
                None if self.pipeline.is_empty() => {
                    self.reject_malformed("unreadable query", out);
                    0
                }
                None => 0,
            },
            _ if !self.pipeline.is_empty() => 0,
            NextMessage::Malformed => {
                self.reject_malformed("unreadable message", out);
                0
            }
            NextMessage::TooLong { kind: b'Q', length } => {
                out.events.push(ClientEvent::Oversized);
                self.bytes_to_skip = length;
                self.pipeline.push_rejected(self.message_start, TOO_LARGE);
                self.write_answers(out);
                0
            }
            NextMessage::Complete {
                kind: b'X', length, ..
            } => {
                self.close(out);
                length
            }
            NextMessage::Complete { .. } | NextMessage::TooLong { .. } => {
                self.reject_malformed("only simple queries are spoken here", out);
                0
            }
        }
    }

    /// Adds a query to the pipeline, with its answer if it needs no member.
    fn on_query(&mut self, text: &str, end: u64, at: Timestamp, out: &mut Output) {
        self.has_sent_query = true;
        if text.trim_matches([' ', '\t', '\r', '\n', ';']).is_empty() {
            // No event: a client that sends nothing else would fill the event loop's queue.
            let mut answer = Vec::new();
            messages::put(&mut answer, b'I', &[]);
            messages::put_ready(&mut answer);
            self.pipeline.push_answered(end, answer);
        } else if self.has_left {
            self.pipeline.push_rejected(end, CLIENT_DISCONNECTED);
        } else if let Some(text) = StatementText::new(text, &self.budget) {
            let number = self.pipeline.push_open(end);
            out.events.push(ClientEvent::Statement {
                client: self.client,
                number,
                end,
                text,
                at,
            });
        } else {
            out.events.push(ClientEvent::OutOfMemory);
            self.pipeline.push_rejected(end, OUT_OF_MEMORY);
        }
        self.write_answers(out);
    }

    /// Writes the answers at the front of the pipeline.
    fn write_answers(&mut self, out: &mut Output) {
        while let Some(AnsweredStatement { end, answer }) = self.pipeline.pop_answered() {
            self.record_write(answer.len(), end);
            // Most often nothing waits to be written: then the bytes needn't be copied.
            if out.bytes.is_empty() {
                out.bytes = answer;
            } else {
                out.bytes.extend(answer);
            }
        }
    }

    fn on_answer(&mut self, number: u32, answer: FinalAnswer, at: Timestamp, out: &mut Output) {
        if self.state != State::Ready || !self.pipeline.answer(number, answer) {
            return;
        }
        self.write_answers(out);
        // Whether the connection ends now is decided by `on_input`, which follows: a statement may be here already.
        if self.pipeline.is_empty() && !self.has_left {
            self.become_idle(at, out);
        }
    }

    /// Nothing more can come of a client that has closed its side and has all its answers.
    fn close_if_left(&mut self, out: &mut Output) {
        if self.has_left && self.is_all_read && self.pipeline.is_empty() && self.state != State::Closed {
            self.close(out);
        }
    }

    /// Rejects a connection for which there is no place. Statements that were read meanwhile have an answer each.
    fn reject(&mut self, out: &mut Output) {
        self.pipeline
            .answer_all(|| FinalAnswer::from(TOO_MANY_CONNECTIONS));
        if self.pipeline.is_empty() {
            self.close_with_error("53300", "too many connections", out);
        } else {
            self.write_answers(out);
            self.close(out);
        }
    }

    /// Whether it drains and the client waits for nothing.
    fn may_close(&self) -> bool {
        let is_idle = !self.has_partial_message && self.pipeline.is_empty();
        self.is_draining && is_idle && self.state != State::Closed
    }

    fn close_if_draining(&mut self, out: &mut Output) {
        if self.is_handing_over && self.pipeline.is_empty() && self.state != State::Closed {
            out.hand_over = true;
        } else if self.may_close() {
            // What the socket holds by now was sent to an open connection.
            out.read_again = true;
        }
    }

    /// A client that has sent a query knows by a plain close that nothing further of it was accepted, and asks elsewhere.
    /// To a new client a close without a message says nothing.
    fn close_idle(&mut self, out: &mut Output) {
        if self.has_sent_query {
            self.close(out);
        } else {
            self.close_with_error("57P03", "this connection takes no statement any more", out);
        }
    }

    fn on_timeout(&mut self, out: &mut Output) {
        if !self.pipeline.is_empty() {
            return;
        }
        if self.state == State::Ready && !self.has_partial_message {
            // Any message but a refusal would be taken for the answer to a statement that is on its way.
            self.close_idle(out);
        } else if self.is_draining {
            self.close_with_error("57P03", "the message was not ended in time", out);
        } else {
            self.reject_malformed("the message was not ended in time", out);
        }
    }

    /// Reads all complete messages; returns how many bytes they took.
    fn read_messages(&mut self, input: &[u8], at: Timestamp, out: &mut Output) -> usize {
        let mut used = 0;
        // What a connection that is handed over has here is for the other process to read.
        while !self.is_handing_over {
            let skipped = self.bytes_to_skip.min(input.len() - used);
            used += skipped;
            self.bytes_to_skip -= skipped;
            self.message_start = self.consumed + used as u64;
            if self.bytes_to_skip > 0 {
                break;
            }
            let unused = &input[used..];
            let taken = match self.state {
                State::Startup => self.read_startup(unused, at, out),
                State::Ready => self.read_message(unused, at, out),
                State::Closed => unused.len(),
            };
            used += taken;
            if taken == 0 && self.bytes_to_skip == 0 {
                break;
            }
        }
        used
    }

    /// Reports whether part of a message is here.
    fn update_partial_message(&mut self, unused: usize, at: Timestamp, out: &mut Output) {
        let waits_for_message = self.state == State::Ready && self.pipeline.is_empty();
        let is_partial = waits_for_message && (self.bytes_to_skip > 0 || unused > 0);
        let (client, since) = (self.client, at);
        if is_partial && !self.has_partial_message {
            out.events.push(ClientEvent::PartialMessage { client, since });
        } else if waits_for_message && self.has_partial_message && !is_partial {
            out.events.push(ClientEvent::Idle { client, since });
        }
        self.has_partial_message = is_partial;
    }
}

impl ConnectionHandler for ClientSession {
    type Command = ClientCommand;
    type Event = ClientEvent;

    fn on_socket(&mut self, stream: &TcpStream) {
        let Some(journal) = &self.journal else { return };
        let client = self.client;
        match self.transfer_id {
            Some(transfer_id) => {
                let record = JournalRecord::Adopted { client, transfer_id };
                journal.append(&record, None);
            }
            None => journal.append(&JournalRecord::Accepted { client }, Some(stream.as_fd())),
        }
    }

    fn is_shared(&self) -> bool {
        self.journal.is_some()
    }

    fn is_journaled(&self) -> bool {
        self.journal.as_ref().is_some_and(IoJournalWriter::is_active)
    }

    fn before_read(&mut self, bytes: &[u8]) {
        self.record(|| JournalRecord::Read {
            client: self.client,
            written_to: self.written_to,
            bytes: bytes.to_vec(),
        });
    }

    fn on_written(&mut self, _out: &mut Output) {
        self.written_to = self.journaled_to;
    }

    fn on_input(&mut self, input: &mut Vec<u8>, at: Timestamp, out: &mut Output) {
        let used = self.read_messages(input, at, out);
        input.drain(..used);
        self.consumed += used as u64;
        self.update_partial_message(input.len(), at, out);
        self.close_if_left(out);
        self.close_if_draining(out);
    }

    fn on_command(&mut self, command: ClientCommand, at: Timestamp, out: &mut Output) {
        match command {
            ClientCommand::Answer(number, answer) => self.on_answer(number, answer, at, out),
            ClientCommand::Drain => {
                self.is_draining = true;
                self.close_if_draining(out);
            }
            ClientCommand::HandOver => {
                self.is_handing_over = true;
                self.close_if_draining(out);
            }
            // The other process has time and memory for it.
            ClientCommand::TimeOut | ClientCommand::Reject if self.is_handing_over => {}
            ClientCommand::TimeOut | ClientCommand::Reject if self.state == State::Closed => {}
            ClientCommand::TimeOut => self.on_timeout(out),
            ClientCommand::Reject => self.reject(out),
        }
    }

    fn on_input_ended(&mut self, is_all_read: bool, out: &mut Output) -> bool {
        let owes_answers = !self.pipeline.is_empty() || !out.bytes.is_empty();
        if self.state != State::Ready || !owes_answers {
            return false;
        }
        if !self.has_left && !self.pipeline.is_empty() {
            out.events.push(ClientEvent::InputEnded { client: self.client });
        }
        self.has_left = true;
        self.is_all_read = is_all_read;
        self.close_if_left(out);
        true
    }

    fn on_memory_exhausted(&mut self, out: &mut Output) {
        out.events.push(ClientEvent::OutOfMemory);
        self.close_with_error("53300", "no memory is left for the message", out);
    }

    fn on_all_read(&mut self, out: &mut Output) {
        if self.may_close() && !self.is_handing_over {
            self.close_idle(out);
        }
    }

    fn is_server(&self) -> bool {
        true
    }

    fn on_half_closed(&mut self, out: &mut Output) {
        out.events.push(ClientEvent::HalfClosed { client: self.client });
    }

    fn is_evictable(&self) -> bool {
        self.pipeline.is_empty()
    }

    fn on_handed_over(&mut self, stream: TcpStream, input: Vec<u8>, out: &mut Output) {
        let startup_complete = self.state == State::Ready;
        self.state = State::Closed;
        out.events.push(ClientEvent::Transferred {
            client: self.client,
            stream,
            transfer_state: ClientTransferState {
                startup_complete,
                bytes_to_skip: self.bytes_to_skip,
                input,
                transfer_id: None,
            },
        });
    }

    fn on_closed(&mut self, _at: Timestamp, out: &mut Output) {
        self.state = State::Closed;
        self.record(|| JournalRecord::Closed { client: self.client });
        out.events.push(ClientEvent::Closed { client: self.client });
    }

    /// While statements are open no more than a pipeline of them is read ahead: the rest stays with the kernel.
    fn wants_input(&self, unused: usize) -> bool {
        if self.state == State::Closed || self.is_handing_over {
            return false;
        }
        if !self.pipeline.is_empty() {
            return unused <= READ_AHEAD;
        }
        unused <= messages::max_message_bytes(self.budget.capacity()) + HEADER_LENGTH
    }
}
