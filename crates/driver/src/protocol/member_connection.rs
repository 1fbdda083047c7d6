//! A connection to a member, which carries one execution or health check at a time.

use super::answer_copies::AnswerCopies;
use super::messages::{self, NextMessage, HEADER_BYTES};
use super::replica_status;
use crate::transport::buffer;
use crate::transport::connection::{ConnectionHandler, ConnectionOutput};
use asterlatch::interface::ReplicaStatus;
use asterlatch::time::Timestamp;
use std::net::TcpStream;

/// A member's answer.
pub enum Reply {
    /// The unmodified messages of a result with one row.
    Rows(Vec<u8>),
    /// The SQLSTATE of an error.
    Error(String),
    /// A malformed answer.
    Malformed,
}

/// A complete answer.
pub struct MemberAnswer {
    /// Time at which the answer was read.
    pub at: Timestamp,
    /// The answer.
    pub reply: Reply,
    /// Log position and role that the member reported with the answer.
    pub status: ReplicaStatus,
    /// The member's load report, unparsed.
    pub report: Option<String>,
}

/// An event of a connection to a member.
pub enum MemberEvent {
    /// The startup has completed; the connection is ready for queries.
    Connected {
        /// Id of the connection.
        connection: u32,
    },
    /// The member has answered the open query.
    Replied {
        /// Id of the connection.
        connection: u32,
        /// Time at which the answer was read.
        at: Timestamp,
        /// The answer.
        reply: Reply,
        /// Log position and role that the member reported with the answer.
        status: ReplicaStatus,
        /// The member's load report, unparsed.
        report: Option<String>,
    },
    /// The member has answered the open query, or has sent a second copy of the last answer; in that case the answer
    /// follows.
    RepliedInDoubt {
        /// Id of the connection.
        connection: u32,
        /// The answer or the copy.
        answer: MemberAnswer,
    },
    /// The idle connection continues in another process.
    Transferred {
        /// Id of the connection.
        connection: u32,
        /// Its socket.
        stream: TcpStream,
    },
    /// The connection is closed.
    Closed {
        /// Id of the connection.
        connection: u32,
        /// Time of the close.
        at: Timestamp,
        /// Whether there is an open query that was written completely.
        written: bool,
    },
}

/// A command to a connection to a member.
pub enum MemberCommand {
    /// Send a complete Query message.
    Query(Vec<u8>),
    /// Hand the idle connection over to another process.
    HandOver,
}

/// Severities of errors that end the connection.
const FATAL_SEVERITIES: [&str; 2] = ["FATAL", "PANIC"];
/// Content of AuthenticationOk.
const AUTHENTICATION_OK: [u8; 4] = [0, 0, 0, 0];

#[derive(Clone, Copy, PartialEq)]
enum State {
    Startup,
    Idle,
    Busy,
    Closed,
}

/// The part of the answer to the open query that has arrived.
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
    /// Takes the answer if it is complete: an error, or a row followed by CommandComplete.
    fn take_reply(&mut self) -> Option<Reply> {
        if let Some(code) = self.error.take() {
            return Some(Reply::Error(code));
        }
        let is_row = self.is_complete && self.has_row;
        is_row.then(|| Reply::Rows(std::mem::take(&mut self.rows)))
    }

    /// Handles a ParameterStatus; returns whether it is well-formed. Values that are not text are ignored.
    fn set_parameter(&mut self, body: &[u8]) -> bool {
        let Some((name, value)) = messages::parameter(body) else {
            return false;
        };
        let text = std::str::from_utf8(value).ok();
        match name {
            replica_status::POSITION => {
                self.status.position = text.and_then(replica_status::parse_position);
                self.status.is_position_current = self.status.position.is_some();
            }
            replica_status::ROLE => self.status.is_primary = text.and_then(replica_status::parse_role),
            replica_status::LOAD_REPORT => self.report = text.map(str::to_owned),
            _ => {}
        }
        true
    }
}

/// Connection handler for a member.
pub struct MemberConnection {
    connection: u32,
    /// Maximum length of an accepted message.
    max_message_bytes: usize,
    state: State,
    /// Query to be sent after the startup.
    first_query: Option<Vec<u8>>,
    has_open_query: bool,
    is_query_written: bool,
    answer: Answer,
    copies: AnswerCopies,
    /// Whether more input was read behind the current message.
    has_more_input: bool,
}

type Output = ConnectionOutput<MemberEvent>;

impl MemberConnection {
    /// Creates the handler of a connection that is being established.
    pub fn new(connection: u32, max_message_bytes: usize) -> MemberConnection {
        MemberConnection {
            connection,
            max_message_bytes,
            state: State::Startup,
            first_query: None,
            has_open_query: false,
            is_query_written: false,
            answer: Answer::default(),
            copies: AnswerCopies::default(),
            has_more_input: false,
        }
    }

    /// Creates the handler of an idle connection adopted from another process.
    pub fn resume(connection: u32, max_message_bytes: usize) -> MemberConnection {
        MemberConnection {
            state: State::Idle,
            ..MemberConnection::new(connection, max_message_bytes)
        }
    }

    fn send(&mut self, query: Vec<u8>, at: Timestamp, out: &mut Output) {
        self.answer = Answer::default();
        self.copies.on_query(at);
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

    /// Reports an answer behind which another one may follow.
    fn report_in_doubt(&mut self, reply: Reply, at: Timestamp, out: &mut Output) {
        let answer = std::mem::take(&mut self.answer);
        out.events.push(MemberEvent::RepliedInDoubt {
            connection: self.connection,
            answer: MemberAnswer {
                at,
                reply,
                status: answer.status,
                report: answer.report,
            },
        });
    }

    /// Closes the connection, since message boundaries can no longer be trusted, and discards the status and
    /// the load report received with the answer.
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

    /// Handles one message, whose `bytes` include the header; returns whether it is valid in this state.
    fn on_message(&mut self, kind: u8, body: &[u8], bytes: &[u8], at: Timestamp, out: &mut Output) -> bool {
        let is_busy = self.state == State::Busy;
        if is_busy {
            self.copies.on_message(bytes);
        }
        match kind {
            b'N' | b'K' | b'R' | b'v' if self.state == State::Startup => {
                // Password authentication is not supported.
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
                messages::single_value(body).is_some()
            }
            b'C' if !answer.is_complete && answer.error.is_none() => {
                answer.is_complete = true;
                answer.has_row && messages::c_string(body).is_some()
            }
            _ => return false,
        };
        buffer::append(&mut answer.rows, bytes);
        is_valid
    }

    fn on_error(&mut self, body: &[u8], at: Timestamp, out: &mut Output) -> bool {
        let is_busy = self.state == State::Busy;
        self.answer.error = messages::error_code(body).map(str::to_owned);
        let is_readable = self.answer.error.is_some();
        let is_fatal = messages::error_field(body, b'S').is_some_and(|s| FATAL_SEVERITIES.contains(&s));
        if self.state == State::Startup || (is_busy && is_fatal && is_readable) {
            // No message follows such an error, but not every member closes the connection after it.
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
                    self.send(query, at, out);
                }
                true
            }
            State::Busy if matches!(body, b"I" | b"T" | b"E") => {
                let Some(reply) = self.answer.take_reply() else {
                    return false;
                };
                if matches!(reply, Reply::Rows(_)) && self.copies.may_end_copy(at, self.has_more_input) {
                    self.report_in_doubt(reply, at, out);
                } else {
                    self.state = State::Idle;
                    self.report(reply, at, out);
                }
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
                    self.has_more_input = used + length < input.len();
                    if !self.on_message(kind, body, bytes, at, out) {
                        self.reject_malformed(at, out);
                    }
                    used += length;
                }
                NextMessage::TooLong { .. } | NextMessage::Malformed => self.reject_malformed(at, out),
            }
        }
        input.drain(..used);
        // Unexpected input on an idle connection would be taken for the next answer.
        if self.state == State::Idle && !input.is_empty() {
            self.reject_malformed(at, out);
        }
    }

    fn on_command(&mut self, command: MemberCommand, at: Timestamp, out: &mut Output) {
        match (command, self.state) {
            (MemberCommand::Query(query), State::Startup) => self.first_query = Some(query),
            (MemberCommand::Query(query), State::Idle) => self.send(query, at, out),
            (MemberCommand::HandOver, State::Idle) => out.hand_over = true,
            _ => {}
        }
    }

    fn on_handed_over(&mut self, stream: TcpStream, _input: Vec<u8>, out: &mut Output) {
        // An idle connection has no unconsumed input: unexpected bytes would have closed it.
        self.state = State::Closed;
        let connection = self.connection;
        out.events.push(MemberEvent::Transferred { connection, stream });
    }

    fn on_written(&mut self, _out: &mut Output) {
        self.is_query_written = self.has_open_query;
    }

    fn on_closed(&mut self, at: Timestamp, out: &mut Output) {
        if self.has_open_query {
            // A complete answer is valid even if the connection closes before ReadyForQuery.
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

    fn wants_input(&self, unconsumed: usize) -> bool {
        self.state != State::Closed && unconsumed <= self.max_message_bytes + HEADER_BYTES
    }
}
