//! A connection to a member, which carries one execution or health check at a time.

use super::messages::{self, NextMessage, HEADER_LENGTH};
use super::replica_status;
use crate::transport::connection::{ConnectionHandler, ConnectionOutput};
use asterlatch::interface::ReplicaStatus;
use asterlatch::time::Timestamp;
use std::net::TcpStream;

/// A member's answer.
pub enum Reply {
    /// The messages of a row, as they came.
    Rows(Vec<u8>),
    /// The SQLSTATE of an error.
    Error(String),
    /// Nothing that can be read.
    Malformed,
}

/// An event of a connection to a member.
pub enum MemberEvent {
    /// It is ready for its first query.
    Connected {
        /// Id of the connection.
        connection: u32,
    },
    /// An answer.
    Replied {
        /// Id of the connection.
        connection: u32,
        /// Time at which it was read.
        at: Timestamp,
        /// The answer.
        reply: Reply,
        /// What the member reported with it.
        status: ReplicaStatus,
        /// Its load report, unparsed.
        report: Option<String>,
    },
    /// The idle connection continues in another process.
    Transferred {
        /// Id of the connection.
        connection: u32,
        /// Its socket.
        stream: TcpStream,
    },
    /// It is closed.
    Closed {
        /// Id of the connection.
        connection: u32,
        /// Time of the close.
        at: Timestamp,
        /// The open query was written to its last byte.
        written: bool,
    },
}

/// What a connection to a member is to do.
pub enum MemberCommand {
    /// Send a query, a complete message.
    Query(Vec<u8>),
    /// Hand the idle connection over.
    HandOver,
}

/// Severities of errors that end the connection.
const FATAL: [&str; 2] = ["FATAL", "PANIC"];
/// Body of AuthenticationOk.
const AUTHENTICATION_OK: [u8; 4] = [0, 0, 0, 0];

#[derive(Clone, Copy, PartialEq)]
enum State {
    Startup,
    Idle,
    Busy,
    Closed,
}

/// What has arrived of the answer to the open query.
#[derive(Default)]
struct Answer {
    rows: Vec<u8>,
    has_description: bool,
    has_row: bool,
    is_complete: bool,
    error: Option<String>,
    status: ReplicaStatus,
    report: Option<String>,
}

impl Answer {
    /// What has arrived is an answer: an error, or a row that was completed.
    fn take_reply(&mut self) -> Option<Reply> {
        if let Some(code) = self.error.take() {
            return Some(Reply::Error(code));
        }
        let is_row = self.is_complete && self.has_row;
        is_row.then(|| Reply::Rows(std::mem::take(&mut self.rows)))
    }

    /// A ParameterStatus; returns whether it can be read. A value that is no text spoils no answer.
    fn set_parameter(&mut self, body: &[u8]) -> bool {
        let Some((name, value)) = messages::parameter(body) else {
            return false;
        };
        let text = std::str::from_utf8(value).ok();
        match name {
            replica_status::POSITION => {
                self.status.position = text.and_then(replica_status::parse_position);
            }
            replica_status::ROLE => self.status.is_primary = text.and_then(replica_status::parse_role),
            replica_status::REPORT => self.report = text.map(str::to_owned),
            _ => {}
        }
        true
    }
}

/// The handler of a connection to a member.
pub struct MemberConnection {
    connection: u32,
    /// Length of the longest message that is accepted, in bytes.
    max_message_bytes: usize,
    state: State,
    /// Waits for the startup to end.
    first_query: Option<Vec<u8>>,
    has_open_query: bool,
    is_query_written: bool,
    answer: Answer,
}

type Output = ConnectionOutput<MemberEvent>;

impl MemberConnection {
    /// A connection that is being established.
    pub fn new(connection: u32, max_message_bytes: usize) -> MemberConnection {
        MemberConnection {
            connection,
            max_message_bytes,
            state: State::Startup,
            first_query: None,
            has_open_query: false,
            is_query_written: false,
            answer: Answer::default(),
        }
    }

    /// Continues with an idle connection of another process.
    pub fn resume(connection: u32, max_message_bytes: usize) -> MemberConnection {
        MemberConnection {
            state: State::Idle,
            ..MemberConnection::new(connection, max_message_bytes)
        }
    }

    fn send(&mut self, query: Vec<u8>, out: &mut Output) {
        self.answer = Answer::default();
        self.state = State::Busy;
        self.has_open_query = true;
        self.is_query_written = false;
        out.bytes.extend(query);
    }

    fn report(&mut self, reply: Reply, at: Timestamp, out: &mut Output) {
        out.events.push(MemberEvent::Replied {
            connection: self.connection,
            at,
            reply,
            status: self.answer.status,
            report: self.answer.report.take(),
        });
        self.has_open_query = false;
    }

    /// Nothing that follows can be told from the rest, so the connection is closed, and nothing that came with the answer
    /// before is believed.
    fn reject_malformed(&mut self, at: Timestamp, out: &mut Output) {
        if self.has_open_query {
            self.answer.status = ReplicaStatus::default();
            self.answer.report = None;
            self.report(Reply::Malformed, at, out);
        }
        self.close(out);
    }

    fn close(&mut self, out: &mut Output) {
        self.state = State::Closed;
        out.close = true;
    }

    /// Takes one message, whose bytes include its header; returns whether it is valid in this state.
    fn on_message(&mut self, kind: u8, body: &[u8], bytes: &[u8], at: Timestamp, out: &mut Output) -> bool {
        let is_busy = self.state == State::Busy;
        match kind {
            b'N' | b'K' | b'R' | b'v' if self.state == State::Startup => {
                // Only AuthenticationOk: no password is spoken here.
                kind != b'R' || body == AUTHENTICATION_OK
            }
            b'N' => true,
            b'S' => self.answer.set_parameter(body),
            b'T' | b'D' | b'C' if is_busy => self.on_row_message(kind, body, bytes),
            b'E' if !self.answer.is_complete || !is_busy => self.on_error(body, at, out),
            b'Z' => self.on_ready(body, at, out),
            _ => false,
        }
    }

    fn on_row_message(&mut self, kind: u8, body: &[u8], bytes: &[u8]) -> bool {
        let answer = &mut self.answer;
        let is_valid = match kind {
            b'T' if !answer.has_description && answer.error.is_none() => {
                answer.has_description = true;
                messages::has_one_column(body)
            }
            b'D' if answer.has_description && !answer.has_row && !answer.is_complete => {
                answer.has_row = true;
                messages::only_value(body).is_some()
            }
            b'C' if !answer.is_complete && answer.error.is_none() => {
                answer.is_complete = true;
                answer.has_row && messages::only_text(body).is_some()
            }
            _ => return false,
        };
        answer.rows.extend(bytes);
        is_valid
    }

    fn on_error(&mut self, body: &[u8], at: Timestamp, out: &mut Output) -> bool {
        let is_busy = self.state == State::Busy;
        self.answer.error = messages::error_code(body).map(str::to_owned);
        let is_readable = self.answer.error.is_some();
        let is_fatal = messages::error_field(body, b'S').is_some_and(|s| FATAL.contains(&s));
        if self.state == State::Startup || (is_busy && is_fatal && is_readable) {
            // Nothing follows such an error, and not every member closes the connection after it.
            if is_busy {
                if let Some(reply) = self.answer.take_reply() {
                    self.report(reply, at, out);
                }
            }
            self.close(out);
            return true;
        }
        self.state != State::Idle && is_readable
    }

    fn on_ready(&mut self, body: &[u8], at: Timestamp, out: &mut Output) -> bool {
        match self.state {
            State::Startup if self.answer.error.is_none() => {
                self.state = State::Idle;
                out.events.push(MemberEvent::Connected {
                    connection: self.connection,
                });
                if let Some(query) = self.first_query.take() {
                    self.send(query, out);
                }
                true
            }
            State::Busy if matches!(body, b"I" | b"T" | b"E") => {
                let Some(reply) = self.answer.take_reply() else {
                    return false;
                };
                self.state = State::Idle;
                self.report(reply, at, out);
                true
            }
            _ => false,
        }
    }
}

impl ConnectionHandler for MemberConnection {
    type Command = MemberCommand;
    type Event = MemberEvent;

    fn on_open(&mut self, out: &mut Output) {
        if self.state == State::Startup {
            messages::put_startup(&mut out.bytes, "asterlatch");
        }
    }

    fn on_input(&mut self, input: &mut Vec<u8>, at: Timestamp, out: &mut Output) {
        let mut used = 0;
        while self.state != State::Closed {
            match messages::next_message(&input[used..], self.max_message_bytes) {
                NextMessage::Partial => break,
                NextMessage::Complete { kind, body, length } => {
                    let bytes = &input[used..used + length];
                    if !self.on_message(kind, body, bytes, at, out) {
                        self.reject_malformed(at, out);
                    }
                    used += length;
                }
                NextMessage::TooLong { .. } | NextMessage::Malformed => self.reject_malformed(at, out),
            }
        }
        input.drain(..used);
        // Stray bytes on an idle connection would be taken for the next answer.
        if self.state == State::Idle && !input.is_empty() {
            self.reject_malformed(at, out);
        }
    }

    fn on_command(&mut self, command: MemberCommand, _at: Timestamp, out: &mut Output) {
        match (command, self.state) {
            (MemberCommand::Query(query), State::Startup) => self.first_query = Some(query),
            (MemberCommand::Query(query), State::Idle) => self.send(query, out),
            (MemberCommand::HandOver, State::Idle) => out.hand_over = true,
            _ => {}
        }
    }

    fn on_handed_over(&mut self, stream: TcpStream, _input: Vec<u8>, out: &mut Output) {
        // An idle connection has no unused input: stray bytes have closed it before.
        self.state = State::Closed;
        let connection = self.connection;
        out.events.push(MemberEvent::Transferred { connection, stream });
    }

    fn on_written(&mut self, _out: &mut Output) {
        self.is_query_written = self.has_open_query;
    }

    fn on_closed(&mut self, at: Timestamp, out: &mut Output) {
        if self.has_open_query {
            // A complete answer counts although the connection was closed after it.
            if let Some(reply) = self.answer.take_reply() {
                self.report(reply, at, out);
            }
        }
        self.state = State::Closed;
        out.events.push(MemberEvent::Closed {
            connection: self.connection,
            at,
            written: self.has_open_query && self.is_query_written,
        });
    }

    fn wants_input(&self, unused: usize) -> bool {
        self.state != State::Closed && unused <= self.max_message_bytes + HEADER_LENGTH
    }
}
