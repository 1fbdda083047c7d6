//! A client's connection: startup, then statements, which may be pipelined and are answered in order.

mod backlog;
mod connection_handler;

use crate::protocol::client_events::{ClientEvent, ClientTransferState, FinalAnswer, StatementText};
use crate::protocol::messages::{self, NextMessage};
use crate::protocol::pipeline::{AnsweredStatement, Pipeline};
use crate::protocol::startup::{self, Startup};
use crate::protocol::statement_comment::{
    ANSWER_DROPPED, ANSWER_DROPPED_AFTER_EXECUTION, CLIENT_DISCONNECTED, OUT_OF_MEMORY, TOO_FAR_AHEAD,
    TOO_LARGE, TOO_MANY_CONNECTIONS,
};
use crate::transport::buffer;
use crate::transport::connection::ConnectionOutput;
use crate::transport::io_journal::IoJournalWriter;
use crate::transport::memory_budget::MemoryBudget;
use asterlatch::time::Timestamp;
use asterlatch_handover::io_journal::JournalRecord;
use backlog::Backlog;
pub use connection_handler::MAX_READ_AHEAD_BYTES;

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
    backlog: Backlog,
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
            backlog: Backlog::default(),
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
        } else if self.backlog.is_active() {
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
                buffer::append(&mut out.bytes, &answer);
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
        let FinalAnswer::Rows { is_retry_safe, .. } = &answer else {
            return answer;
        };
        let can_be_written = out.bytes.is_empty() && self.pipeline.is_first(number);
        if can_be_written || !self.budget.is_exceeded() {
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
