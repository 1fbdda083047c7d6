//! A connection to a member, which carries one execution or probe at a time.

use super::messages::{self, Front};
use super::replica_status;
use crate::transport::connection::{ConnectionHandler, ConnectionOutput};
use asterlatch::interface::ReplicaStatus;
use asterlatch::time::Timestamp;
use std::net::TcpStream;

/// What a member gave back.
pub enum Reply {
    /// The messages of a row, as they came.
    Rows(Vec<u8>),
    Error(String),
    /// Nothing that can be understood.
    Malformed,
}

/// News of a member's connection.
pub enum MemberEvent {
    /// It is ready for its first query.
    Connected { connection: u32 },
    Replied {
        connection: u32,
        at: Timestamp,
        reply: Reply,
        sighting: ReplicaStatus,
        report: Option<String>,
    },
    /// The connection, idle, is to go on in another process.
    Transferred { connection: u32, stream: TcpStream },
    /// It is over, with or without what was to be run having gone out to its last byte.
    Closed {
        connection: u32,
        at: Timestamp,
        written: bool,
    },
}

/// What a member's connection is told.
pub enum MemberCommand {
    /// A query to send, whole.
    Query(Vec<u8>),
    /// Gives the connection up, which sits idle.
    HandOver,
}

/// Severities of errors that end the connection.
const FATAL: [&str; 2] = ["FATAL", "PANIC"];

#[derive(PartialEq)]
enum State {
    Greeting,
    Idle,
    Busy,
    Over,
}

pub struct Executions {
    connection: u32,
    /// The longest message that is taken.
    bound: usize,
    state: State,
    /// Waits for the greeting to end.
    first: Option<Vec<u8>>,
    sent: bool,
    written: bool,
    rows: Vec<u8>,
    described: bool,
    row: bool,
    complete: bool,
    error: Option<String>,
    sighting: ReplicaStatus,
    report: Option<String>,
}

impl Executions {
    pub fn new(connection: u32, bound: usize) -> Executions {
        Executions {
            connection,
            bound,
            state: State::Greeting,
            first: None,
            sent: false,
            written: false,
            rows: Vec::new(),
            described: false,
            row: false,
            complete: false,
            error: None,
            sighting: ReplicaStatus::default(),
            report: None,
        }
    }

    /// Goes on with an idle connection of another process.
    pub fn resume(connection: u32, bound: usize) -> Executions {
        Executions {
            state: State::Idle,
            ..Executions::new(connection, bound)
        }
    }

    fn send(&mut self, query: Vec<u8>, out: &mut ConnectionOutput<MemberEvent>) {
        *self = Executions::new(self.connection, self.bound);
        self.state = State::Busy;
        self.sent = true;
        out.bytes.extend(query);
    }

    fn reply(&mut self, reply: Reply, at: Timestamp, out: &mut ConnectionOutput<MemberEvent>) {
        out.events.push(MemberEvent::Replied {
            connection: self.connection,
            at,
            reply,
            sighting: self.sighting,
            report: self.report.take(),
        });
        self.sent = false;
    }

    /// Nothing that comes after can be told from the rest, so the connection is over too, and nothing that came
    /// before it with the answer is believed.
    fn malformed(&mut self, at: Timestamp, out: &mut ConnectionOutput<MemberEvent>) {
        if self.sent {
            (self.sighting, self.report) = (ReplicaStatus::default(), None);
            self.reply(Reply::Malformed, at, out);
        }
        self.close(out);
    }

    fn close(&mut self, out: &mut ConnectionOutput<MemberEvent>) {
        self.state = State::Over;
        out.close = true;
    }

    /// What has come is an answer: an error, or a row that was ended.
    fn whole(&mut self) -> Option<Reply> {
        let rows = self.complete && self.row;
        let rows = rows.then(|| Reply::Rows(std::mem::take(&mut self.rows)));
        self.error.take().map(Reply::Error).or(rows)
    }

    /// What a member says beside an answer. What is no text in there spoils no answer.
    fn parameter(&mut self, body: &[u8]) -> bool {
        let Some((name, value)) = messages::parameter(body) else {
            return false;
        };
        let text = std::str::from_utf8(value).ok();
        match name {
            replica_status::POSITION => self.sighting.position = text.and_then(replica_status::position),
            replica_status::ROLE => self.sighting.is_primary = text.and_then(replica_status::role),
            replica_status::REPORT => self.report = text.map(str::to_owned),
            _ => {}
        }
        true
    }

    /// One message; false where it makes no sense at this place.
    fn message(
        &mut self,
        kind: u8,
        body: &[u8],
        bytes: &[u8],
        at: Timestamp,
        out: &mut ConnectionOutput<MemberEvent>,
    ) -> bool {
        let busy = self.state == State::Busy;
        match kind {
            b'N' | b'K' | b'R' | b'v' if self.state == State::Greeting => {
                // Only an AuthenticationOk: no password is spoken here.
                kind != b'R' || body == [0, 0, 0, 0]
            }
            b'N' => true,
            b'S' => self.parameter(body),
            b'T' if busy && !self.described && self.error.is_none() => {
                self.described = true;
                self.rows.extend(bytes);
                messages::one_column(body)
            }
            b'D' if busy && self.described && !self.row && !self.complete => {
                self.row = true;
                self.rows.extend(bytes);
                messages::only_value(body).is_some()
            }
            b'C' if busy && !self.complete && self.error.is_none() => {
                self.complete = true;
                self.rows.extend(bytes);
                self.row && messages::only_text(body).is_some()
            }
            b'E' if !self.complete || !busy => {
                self.error = messages::error_code(body).map(str::to_owned);
                let last = messages::error_field(body, b'S').is_some_and(|s| FATAL.contains(&s));
                if self.state == State::Greeting || (busy && last && self.error.is_some()) {
                    // Nothing follows such an error, and not every machine closes behind it.
                    if let Some(reply) = self.whole().filter(|_| busy) {
                        self.reply(reply, at, out);
                    }
                    self.close(out);
                    return true;
                }
                self.state != State::Idle && self.error.is_some()
            }
            b'Z' if self.state == State::Greeting && self.error.is_none() => {
                self.state = State::Idle;
                out.events.push(MemberEvent::Connected {
                    connection: self.connection,
                });
                if let Some(query) = self.first.take() {
                    self.send(query, out);
                }
                true
            }
            b'Z' if busy && matches!(body, b"I" | b"T" | b"E") => match self.whole() {
                Some(reply) => {
                    self.state = State::Idle;
                    self.reply(reply, at, out);
                    true
                }
                None => false,
            },
            _ => false,
        }
    }
}

impl ConnectionHandler for Executions {
    type Command = MemberCommand;
    type Event = MemberEvent;

    fn on_open(&mut self, out: &mut ConnectionOutput<MemberEvent>) {
        if self.state == State::Greeting {
            messages::put_startup(&mut out.bytes, "asterlatch");
        }
    }

    fn on_input(&mut self, input: &mut Vec<u8>, at: Timestamp, out: &mut ConnectionOutput<MemberEvent>) {
        let mut taken = 0;
        while self.state != State::Over {
            match messages::front(&input[taken..], self.bound) {
                Front::Partial => break,
                Front::Message { kind, body, whole } => {
                    let bytes = &input[taken..taken + whole];
                    if !self.message(kind, body, bytes, at, out) {
                        self.malformed(at, out);
                    }
                    taken += whole;
                }
                Front::TooLong { .. } | Front::Malformed => self.malformed(at, out),
            }
        }
        input.drain(..taken);
        // Stray bytes on an idle connection would be taken for the next answer.
        if self.state == State::Idle && !input.is_empty() {
            self.malformed(at, out);
        }
    }

    fn on_command(&mut self, run: MemberCommand, _at: Timestamp, out: &mut ConnectionOutput<MemberEvent>) {
        match (run, &self.state) {
            (MemberCommand::Query(query), State::Greeting) => self.first = Some(query),
            (MemberCommand::Query(query), State::Idle) => self.send(query, out),
            (MemberCommand::HandOver, State::Idle) => out.hand_over = true,
            _ => {}
        }
    }

    fn on_handed_over(
        &mut self,
        stream: TcpStream,
        _input: Vec<u8>,
        out: &mut ConnectionOutput<MemberEvent>,
    ) {
        // Idle, nothing lies unused: stray bytes have ended it before.
        self.state = State::Over;
        let connection = self.connection;
        out.events.push(MemberEvent::Transferred { connection, stream });
    }

    fn on_written(&mut self, _out: &mut ConnectionOutput<MemberEvent>) {
        self.written = self.sent;
    }

    fn on_closed(&mut self, at: Timestamp, out: &mut ConnectionOutput<MemberEvent>) {
        if self.sent {
            // What came whole before the end is the answer all the same.
            if let Some(reply) = self.whole() {
                self.reply(reply, at, out);
            }
        }
        self.state = State::Over;
        let written = self.sent && self.written;
        out.events.push(MemberEvent::Closed {
            connection: self.connection,
            at,
            written,
        });
    }

    fn wants_input(&self, unused: usize) -> bool {
        self.state != State::Over && unused <= self.bound + 5
    }
}
