//! A client's connection: startup, then statements, which may be pipelined and are answered in order.

use super::client_events::{ClientCommand, ClientEvent, ClientTransferState, FinalAnswer, StatementText};
use super::messages::{self, NextMessage, HEADER_BYTES};
use super::pipeline::{AnsweredStatement, Pipeline};
use super::startup::{self, Startup};
use super::statement_comment::{
    ANSWER_DROPPED, ANSWER_DROPPED_AFTER_EXECUTION, CLIENT_DISCONNECTED, OUT_OF_MEMORY, TOO_FAR_AHEAD,
    TOO_LARGE, TOO_MANY_CONNECTIONS,
};
use crate::transport::connection::{ConnectionHandler, ConnectionOutput};
use crate::transport::io_journal::IoJournalWriter;
use crate::transport::memory_budget::MemoryBudget;
use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_handover::io_journal::JournalRecord;
use std::net::TcpStream;
use std::os::fd::AsFd;

/// Maximum unconsumed input that is read while statements are open. Unread input is lost when the connection
/// closes and hides the client's close, so a pipeline of usual statements fits.
pub const MAX_READ_AHEAD_BYTES: usize = 256 * 1024;
/// Time without input after which no more input is on its way from a client that had sent too much ahead.
const BACKLOG_QUIET_TIME: TimeSpan = TimeSpan::millis(50);
/// Input that is read ahead leaves the budget's capacity divided by this to other uses.
const READ_AHEAD_HEADROOM_DIVISOR: usize = 4;

#[derive(Clone, Copy, PartialEq)]
enum State {
    Startup,
    Ready,
    Closed,
}

/// Connection handler of a client.
pub struct ClientSession {
    client: u32,
    state: State,
    is_draining: bool,
    /// The client has sent a query; also set for a client adopted from another process after its startup.
    has_sent_query: bool,
    /// The connection is being handed over to another process; no further statement is read here.
    is_handing_over: bool,
    has_partial_message: bool,
    /// The client has closed its side; statements read from now on are not forwarded.
    is_input_ended: bool,
    /// All input that the client sent before closing its side was read.
    is_all_read: bool,
    /// Remaining bytes of an oversized query, to be skipped.
    bytes_to_skip: usize,
    /// The socket holds input that is not read, or did so a short time ago. The client may have closed its side
    /// unnoticed.
    is_backlogged: bool,
    /// Time of the last input.
    last_input_at: Timestamp,
    /// When all input of the socket was read; `None` if more has arrived since.
    quiet_since: Option<Timestamp>,
    pipeline: Pipeline,
    /// Statements rejected for lack of memory that were not reported yet.
    rejected_for_memory: u64,
    budget: MemoryBudget,
    /// Bytes consumed since the connection started here.
    consumed_bytes: u64,
    /// Offset of the current message among all input.
    message_start: u64,
    /// Output bytes recorded in the journal.
    journaled_to: u64,
    /// Recorded bytes that were written to the socket.
    written_to: u64,
    journal: Option<IoJournalWriter>,
    /// Id in the journal of a client adopted from another process.
    transfer_id: Option<u64>,
}

type Output = ConnectionOutput<ClientEvent>;

impl ClientSession {
    /// Creates the handler of a newly accepted client.
    pub fn new(client: u32, budget: MemoryBudget) -> ClientSession {
        ClientSession {
            client,
            state: State::Startup,
            is_draining: false,
            has_sent_query: false,
            is_handing_over: false,
            has_partial_message: false,
            is_input_ended: false,
            is_all_read: false,
            bytes_to_skip: 0,
            is_backlogged: false,
            last_input_at: Timestamp::default(),
            quiet_since: None,
            pipeline: Pipeline::default(),
            rejected_for_memory: 0,
            budget,
            consumed_bytes: 0,
            message_start: 0,
            journaled_to: 0,
            written_to: 0,
            journal: None,
            transfer_id: None,
        }
    }

    /// Creates the handler of a client adopted from another process.
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

    /// Records all I/O in the journal in advance. A new client is not recorded if the journal has ended,
    /// since no other process holds its socket then.
    pub fn with_journal(mut self, journal: Option<IoJournalWriter>) -> ClientSession {
        self.journal = journal.filter(|j| j.is_active() || self.transfer_id.is_some());
        self
    }

    fn record(&self, record: impl FnOnce() -> JournalRecord) {
        if let Some(journal) = self.journal.as_ref().filter(|j| j.is_active()) {
            journal.append(&record(), None);
        }
    }

    /// Records that `length` bytes will be written, which complete the answers to all input before
    /// `answered_to`.
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

    /// Reads one startup message; returns the number of bytes consumed.
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
                minor_version,
                unsupported_options,
            } => {
                let before = out.bytes.len();
                if minor_version > 0 || !unsupported_options.is_empty() {
                    messages::put_negotiation(&mut out.bytes, &unsupported_options);
                }
                messages::put_startup_response(&mut out.bytes);
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

    /// Reads one message; returns the number of bytes consumed. While statements are open, only queries are
    /// read.
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

    /// Adds a query to the pipeline, with its answer if no member is needed.
    fn on_query(&mut self, text: &str, end: u64, at: Timestamp, out: &mut Output) {
        self.has_sent_query = true;
        if text.trim_matches([' ', '\t', '\r', '\n', ';']).is_empty() {
            // Sends no event: a client that sends only empty queries would flood the event loop's queue.
            let mut answer = Vec::new();
            messages::put(&mut answer, b'I', &[]);
            messages::put_ready(&mut answer);
            self.pipeline.push_answered(end, answer);
        } else if self.is_input_ended {
            self.pipeline.push_rejected(end, CLIENT_DISCONNECTED);
        } else if self.is_backlogged {
            self.pipeline.push_rejected(end, TOO_FAR_AHEAD);
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
            self.rejected_for_memory += 1;
            self.pipeline.push_rejected(end, OUT_OF_MEMORY);
        }
        self.write_answers(out);
    }

    /// Writes the completed answers at the front of the pipeline.
    fn write_answers(&mut self, out: &mut Output) {
        while let Some(AnsweredStatement { end, answer }) = self.pipeline.pop_answered() {
            self.record_write(answer.len(), end);
            // Avoids a copy in the common case.
            if out.bytes.is_empty() {
                out.bytes = answer;
            } else {
                out.bytes.extend(answer);
            }
        }
    }

    fn on_answer(&mut self, number: u32, answer: FinalAnswer, at: Timestamp, out: &mut Output) {
        if self.state != State::Ready {
            return;
        }
        let answer = self.limit_answer(number, answer, out);
        if !self.pipeline.answer(number, answer) {
            return;
        }
        self.write_answers(out);
        // `on_input` follows and decides whether to close, since the next statement may already be buffered.
        if self.pipeline.is_empty() && !self.is_input_ended {
            self.become_idle(at, out);
        }
    }

    /// Replaces a member's answer that can't be written yet by an error if no memory is left for it.
    fn limit_answer(&mut self, number: u32, answer: FinalAnswer, out: &Output) -> FinalAnswer {
        let FinalAnswer::Rows {
            messages,
            is_retry_safe,
        } = &answer
        else {
            return answer;
        };
        let can_be_written = out.bytes.is_empty() && self.pipeline.is_first(number);
        if can_be_written || self.budget.has_room_for(messages.len()) {
            return answer;
        }
        self.rejected_for_memory += 1;
        if *is_retry_safe {
            ANSWER_DROPPED.into()
        } else {
            ANSWER_DROPPED_AFTER_EXECUTION.into()
        }
    }

    /// Rejects the statements that were read and not yet reported, since the client has closed its side behind
    /// them.
    fn reject_unreported(&mut self, out: &mut Output) {
        for event in std::mem::take(&mut out.events) {
            if let ClientEvent::Statement { number, .. } = event {
                self.pipeline.answer(number, CLIENT_DISCONNECTED.into());
            } else {
                out.events.push(event);
            }
        }
        self.write_answers(out);
    }

    /// Closes the connection of a client that has closed its side and received all answers.
    fn close_if_input_ended(&mut self, out: &mut Output) {
        if self.is_input_ended && self.is_all_read && self.pipeline.is_empty() && self.state != State::Closed
        {
            self.close(out);
        }
    }

    /// Rejects a client beyond the connection limit. Each statement that was already read gets an answer.
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

    /// Whether the connection is draining and no answer or message is pending.
    fn can_close(&self) -> bool {
        let is_idle = !self.has_partial_message && self.pipeline.is_empty();
        self.is_draining && is_idle && self.state != State::Closed
    }

    fn close_if_draining(&mut self, out: &mut Output) {
        if self.is_handing_over && self.pipeline.is_empty() && self.state != State::Closed {
            out.hand_over = true;
        } else if self.can_close() {
            // Input that has already arrived was sent to an open connection and must be answered.
            out.read_again = true;
        }
    }

    /// Closes an idle connection: without a message if the client has sent a query, which then knows that no
    /// further statement was accepted and uses another driver; with an error if the client is new.
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
            // Any error other than a rejection could be taken for the answer to a statement in transit.
            self.close_idle(out);
        } else if self.is_draining {
            self.close_with_error("57P03", "the message was not ended in time", out);
        } else {
            self.reject_malformed("the message was not ended in time", out);
        }
    }

    /// Reads all complete messages; returns the number of bytes consumed.
    fn read_messages(&mut self, input: &[u8], at: Timestamp, out: &mut Output) -> usize {
        let mut consumed_total = 0;
        // The other process reads the remaining input of a connection that is being handed over.
        while !self.is_handing_over {
            let skipped = self.bytes_to_skip.min(input.len() - consumed_total);
            consumed_total += skipped;
            self.bytes_to_skip -= skipped;
            self.message_start = self.consumed_bytes + consumed_total as u64;
            if self.bytes_to_skip > 0 {
                break;
            }
            let unconsumed = &input[consumed_total..];
            let consumed = match self.state {
                State::Startup => self.read_startup(unconsumed, at, out),
                State::Ready => self.read_message(unconsumed, at, out),
                State::Closed => unconsumed.len(),
            };
            consumed_total += consumed;
            if consumed == 0 && self.bytes_to_skip == 0 {
                break;
            }
        }
        consumed_total
    }

    /// Ends a backlog when input arrives after a time without any: nothing else was on its way then, and the
    /// client's close would have been noticed.
    fn update_backlog(&mut self, input_at: Timestamp) {
        if input_at <= self.last_input_at {
            return;
        }
        self.last_input_at = input_at;
        let quiet_since = self.quiet_since.take();
        if quiet_since.is_some_and(|since| input_at - since > BACKLOG_QUIET_TIME) {
            self.is_backlogged = false;
        }
    }

    /// Reports the statements that were rejected for lack of memory by one event for all: a client that sends
    /// them without pause would flood the event loop's queue.
    fn report_rejections(&mut self, out: &mut Output) {
        let count = std::mem::take(&mut self.rejected_for_memory);
        if count > 0 {
            out.events.push(ClientEvent::OutOfMemory { count });
        }
    }

    /// Reports the start and the end of the wait for the rest of a message.
    fn update_partial_message(&mut self, unconsumed: usize, at: Timestamp, out: &mut Output) {
        let waits_for_message = self.state == State::Ready && self.pipeline.is_empty();
        let is_partial = waits_for_message && (self.bytes_to_skip > 0 || unconsumed > 0);
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
        self.update_backlog(at);
        let consumed_total = self.read_messages(input, at, out);
        self.report_rejections(out);
        input.drain(..consumed_total);
        self.consumed_bytes += consumed_total as u64;
        self.update_partial_message(input.len(), at, out);
        self.close_if_input_ended(out);
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
            // Timeouts and limits are up to the other process now, unless this one has open statements to answer.
            ClientCommand::TimeOut if self.is_handing_over => {}
            ClientCommand::Reject if self.is_handing_over && self.pipeline.is_empty() => {}
            ClientCommand::TimeOut | ClientCommand::Reject if self.state == State::Closed => {}
            ClientCommand::TimeOut => self.on_timeout(out),
            ClientCommand::Reject => self.reject(out),
        }
    }

    fn on_backlog(&mut self, out: &mut Output) {
        let was_backlogged = std::mem::replace(&mut self.is_backlogged, true);
        if !was_backlogged && !self.pipeline.is_empty() {
            out.events.push(ClientEvent::Backlogged { client: self.client });
        }
    }

    fn on_input_ended(&mut self, is_all_read: bool, out: &mut Output) -> bool {
        self.reject_unreported(out);
        let has_pending_answers = !self.pipeline.is_empty() || !out.bytes.is_empty();
        // Statements that are still unread get an answer, too.
        if self.state != State::Ready || (is_all_read && !has_pending_answers) {
            return false;
        }
        if !self.is_input_ended && !self.pipeline.is_empty() {
            out.events.push(ClientEvent::InputEnded { client: self.client });
        }
        self.is_input_ended = true;
        self.is_all_read = is_all_read;
        true
    }

    fn on_memory_exhausted(&mut self, out: &mut Output) {
        out.events.push(ClientEvent::OutOfMemory { count: 1 });
        self.close_with_error("53300", "no memory is left for the message", out);
    }

    fn on_all_read(&mut self, at: Timestamp, out: &mut Output) {
        self.quiet_since.get_or_insert(at);
        if self.can_close() && !self.is_handing_over {
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

    fn held_bytes(&self) -> usize {
        self.pipeline.held_bytes()
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
        self.reject_unreported(out);
        self.record(|| JournalRecord::Closed { client: self.client });
        out.events.push(ClientEvent::Closed { client: self.client });
    }

    /// While statements are open, the input read ahead is bounded and the rest stays in the socket's receive
    /// buffer. Nothing is read ahead while memory is short.
    fn wants_input(&self, unconsumed: usize) -> bool {
        if self.state == State::Closed || self.is_handing_over {
            return false;
        }
        if !self.pipeline.is_empty() {
            let headroom = self.budget.capacity() / READ_AHEAD_HEADROOM_DIVISOR;
            return unconsumed <= MAX_READ_AHEAD_BYTES && self.budget.has_room_for(headroom);
        }
        unconsumed <= messages::max_message_bytes(self.budget.capacity()) + HEADER_BYTES
    }
}
