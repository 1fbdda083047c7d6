//! Input, commands and the end of a client's connection.

use super::{ClientSession, Output, State};
use crate::protocol::client_events::{ClientCommand, ClientEvent, ClientTransferState};
use crate::protocol::messages::{self, HEADER_BYTES};
use crate::transport::connection::ConnectionHandler;
use crate::transport::io_journal::IoJournalWriter;
use asterlatch::time::Timestamp;
use asterlatch_handover::io_journal::JournalRecord;
use std::net::TcpStream;
use std::os::fd::AsFd;

/// Maximum unconsumed input that is read while statements are open. Unread input is lost when the connection
/// closes and hides the client's close, so a pipeline of usual statements fits.
pub const MAX_READ_AHEAD_BYTES: usize = 256 * 1024;
/// Input that is read ahead leaves the budget's capacity divided by this to other uses.
const READ_AHEAD_HEADROOM_DIVISOR: usize = 4;

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
        self.backlog.on_input(at);
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
        if self.backlog.begin() && !self.pipeline.is_empty() {
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
        self.backlog.on_all_read(at);
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
