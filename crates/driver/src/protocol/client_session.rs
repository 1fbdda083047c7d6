//! A client's connection: startup, then statements, which may come in rows and are answered in their order.

use super::messages::{self, Front, Opening};
use super::statement_comment::{Unreadable, NO_ROOM, TOO_LARGE};
use crate::transport::connection::{ConnectionHandler, ConnectionOutput};
use crate::transport::io_journal::IoJournalWriter;
use crate::transport::memory_budget::{MemoryBudget, MemoryReservation};
use asterlatch::time::Timestamp;
use asterlatch_handover::io_journal::JournalRecord;
use std::collections::VecDeque;
use std::net::TcpStream;
use std::os::fd::AsFd;

/// News of a client.
pub enum ClientEvent {
    /// A statement, as it came, read whole at this time.
    Statement {
        client: u32,
        /// Its number on this connection, by which it is answered.
        number: u32,
        /// Where it ends among all that was read from this client here.
        end: u64,
        text: Text,
        at: Timestamp,
    },
    /// Part of a message has come since then.
    PartialMessage {
        client: u32,
        since: Timestamp,
    },
    /// The connection sits between statements since then.
    Idle {
        client: u32,
        since: Timestamp,
    },
    Malformed,
    Oversized,
    /// A statement was rejected, or the connection ended, for want of memory.
    OutOfMemory,
    /// The connection is to go on in another process, from here.
    Transferred {
        client: u32,
        stream: TcpStream,
        standing: Standing,
    },
    /// Our side of the connection is shut since then, and the client's still open.
    HalfClosed {
        client: u32,
    },
    /// The connection is over.
    Closed {
        client: u32,
    },
}

/// A statement's text, with the room that it takes.
pub struct Text {
    pub text: String,
    _room: MemoryReservation,
}

impl Text {
    /// None where there is no room for it.
    pub fn new(text: &str, room: &MemoryBudget) -> Option<Text> {
        let _room = room.reserve(text.len())?;
        let text = text.to_owned();
        Some(Text { text, _room })
    }
}

/// The one final answer of a statement.
pub enum Final {
    /// The messages of a member's answer, as they came.
    Rows(Vec<u8>),
    Error {
        code: &'static str,
        message: &'static str,
        hold_off_ms: Option<u64>,
    },
}

impl From<Unreadable> for Final {
    fn from(Unreadable { code, message }: Unreadable) -> Final {
        Final::Error {
            code,
            message,
            hold_off_ms: None,
        }
    }
}

impl Final {
    /// As it goes to the client, who may ask again behind it.
    fn into_bytes(self) -> Vec<u8> {
        let mut bytes = match self {
            Final::Rows(bytes) => bytes,
            Final::Error {
                code,
                message,
                hold_off_ms,
            } => {
                let mut bytes = Vec::new();
                messages::put_error(&mut bytes, "ERROR", code, message, hold_off_ms);
                bytes
            }
        };
        messages::put_ready(&mut bytes);
        bytes
    }
}

/// Where a client stands between two statements, for whoever goes on with it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Standing {
    /// Its startup is over.
    pub opened: bool,
    /// Of an oversized query, still to be passed over.
    pub skip: usize,
    /// What was read and not taken.
    pub input: Vec<u8>,
    /// By what number the ledger knows it, where it came from another process.
    pub handed: Option<u64>,
}

/// What a client's connection is told.
pub enum ClientCommand {
    /// The answer of the statement with this number.
    Answer(u32, Final),
    /// Closes once nothing is out.
    Drain,
    /// Gives the connection up once nothing is out, with what the client has sent ahead.
    HandOver,
    /// Ends the connection of whoever took too long to send something whole.
    TimeOut,
    /// Ends the connection of whoever finds no room, before any statement.
    Reject,
}

/// Bytes that a client may have sent ahead of its answer before it isn't read any further. What is not read when it
/// is let go is lost, so a row of usual statements fits in.
const AHEAD: usize = 16 * 1024;
/// Statements of one client that may be open at once; the others of a row wait.
const ROW: usize = 16;

#[derive(Clone, Copy, PartialEq)]
enum State {
    Opening,
    Open,
    Over,
}

pub struct Session {
    client: u32,
    state: State,
    leaving: bool,
    /// It has sent a query, or another process knows whether it has.
    has_asked: bool,
    /// It goes to another process, and takes no further statement here.
    moving: bool,
    /// Part of a message lies here.
    begun: bool,
    /// Of an oversized query, still to be passed over.
    skip: usize,
    /// Statements without an answer, and answers that wait for those before them, in the order of their numbers; each
    /// with where its message ends.
    row: VecDeque<(u64, Option<Vec<u8>>)>,
    /// The number of the first in the row.
    first: u32,
    /// For statements that have no answer yet.
    room: MemoryBudget,
    /// How much of all that was read is taken, and how much was there in front of the message that is read now.
    taken: u64,
    at: u64,
    /// Bytes said that the ledger knows of, and how many of them are out.
    said: u64,
    settled: u64,
    witness: Option<IoJournalWriter>,
    /// By what number the ledger knows a client that came from another process.
    handed: Option<u64>,
}

impl Session {
    pub fn new(client: u32, room: MemoryBudget) -> Session {
        Session {
            client,
            state: State::Opening,
            leaving: false,
            has_asked: false,
            moving: false,
            begun: false,
            skip: 0,
            row: VecDeque::new(),
            first: 0,
            room,
            taken: 0,
            at: 0,
            said: 0,
            settled: 0,
            witness: None,
            handed: None,
        }
    }

    /// Goes on where another process stood with this client.
    pub fn resume(client: u32, room: MemoryBudget, standing: &Standing) -> Session {
        let state = if standing.opened {
            State::Open
        } else {
            State::Opening
        };
        let mut session = Session::new(client, room);
        (session.state, session.skip, session.has_asked) = (state, standing.skip, standing.opened);
        session.handed = standing.handed;
        session
    }

    /// Has all that is done be written down before. Nobody else holds a client that comes when that is over.
    pub fn witnessed(mut self, witness: Option<IoJournalWriter>) -> Session {
        self.witness = witness.filter(|w| w.is_on() || self.handed.is_some());
        self
    }

    fn note(&self, record: impl FnOnce() -> JournalRecord) {
        if let Some(witness) = self.witness.as_ref().filter(|w| w.is_on()) {
            witness.append(&record(), None);
        }
    }

    /// So many bytes are to be written that answer all before `dealt`.
    fn says(&mut self, length: usize, dealt: u64) {
        self.said += length as u64;
        self.note(|| JournalRecord::Write {
            client: self.client,
            length: length as u64,
            written_to: self.settled,
            answered_to: dealt,
            startup_complete: self.state == State::Open,
            bytes_to_skip: self.skip as u64,
        });
    }

    fn close(&mut self, out: &mut ConnectionOutput<ClientEvent>) {
        out.close = true;
        self.state = State::Over;
    }

    fn fatal(&mut self, code: &str, message: &str, out: &mut ConnectionOutput<ClientEvent>) {
        messages::put_error(&mut out.bytes, "FATAL", code, message, None);
        self.close(out);
    }

    fn malformed(&mut self, message: &str, out: &mut ConnectionOutput<ClientEvent>) {
        out.events.push(ClientEvent::Malformed);
        self.fatal("08P01", message, out);
    }

    /// Reads what comes before the first query; says how many bytes that took.
    fn open(&mut self, input: &[u8], at: Timestamp, out: &mut ConnectionOutput<ClientEvent>) -> usize {
        match messages::opening(input) {
            Opening::Partial => 0,
            Opening::Encryption { whole } => {
                out.bytes.push(b'N');
                self.says(1, self.at + whole as u64);
                whole
            }
            Opening::Startup {
                whole,
                minor,
                unknown,
            } => {
                let before = out.bytes.len();
                if minor > 0 || !unknown.is_empty() {
                    messages::put_negotiation(&mut out.bytes, &unknown);
                }
                messages::put_welcome(&mut out.bytes);
                self.rest(at, out);
                self.says(out.bytes.len() - before, self.at + whole as u64);
                whole
            }
            Opening::Cancel => {
                self.close(out);
                0
            }
            Opening::Malformed => {
                self.malformed("unreadable startup message", out);
                0
            }
        }
    }

    fn rest(&mut self, at: Timestamp, out: &mut ConnectionOutput<ClientEvent>) {
        let client = self.client;
        self.state = State::Open;
        out.events.push(ClientEvent::Idle { client, since: at });
    }

    /// Reads one message; says how many bytes that took. Behind open statements only a further one is read.
    fn next(&mut self, input: &[u8], at: Timestamp, out: &mut ConnectionOutput<ClientEvent>) -> usize {
        match messages::front(input, messages::bound(self.room.capacity())) {
            Front::Partial => 0,
            Front::Message {
                kind: b'Q',
                body,
                whole,
            } if self.row.len() < ROW => match messages::text(body) {
                Some(text) => {
                    self.query(text, self.at + whole as u64, at, out);
                    whole
                }
                None if self.row.is_empty() => {
                    self.malformed("unreadable query", out);
                    0
                }
                None => 0,
            },
            _ if !self.row.is_empty() => 0,
            Front::Malformed => {
                self.malformed("unreadable message", out);
                0
            }
            Front::TooLong { kind: b'Q', whole } => {
                out.events.push(ClientEvent::Oversized);
                self.skip = whole;
                let answer = Final::from(TOO_LARGE).into_bytes();
                self.row.push_back((self.at, Some(answer)));
                self.flush(out);
                0
            }
            Front::Message {
                kind: b'X', whole, ..
            } => {
                self.close(out);
                whole
            }
            Front::Message { .. } | Front::TooLong { .. } => {
                self.malformed("only simple queries are spoken here", out);
                0
            }
        }
    }

    /// Gives a query its place in the row, and with it the answer of one that needs no member.
    fn query(&mut self, text: &str, end: u64, at: Timestamp, out: &mut ConnectionOutput<ClientEvent>) {
        self.has_asked = true;
        if text.trim_matches([' ', '\t', '\r', '\n', ';']).is_empty() {
            // No news: a client that sends nothing else would fill the event loop's queue.
            let mut said = Vec::new();
            messages::put(&mut said, b'I', &[]);
            messages::put_ready(&mut said);
            self.row.push_back((end, Some(said)));
        } else if let Some(text) = Text::new(text, &self.room) {
            let (client, number) = (self.client, self.first.wrapping_add(self.row.len() as u32));
            self.row.push_back((end, None));
            out.events.push(ClientEvent::Statement {
                client,
                number,
                end,
                text,
                at,
            });
        } else {
            out.events.push(ClientEvent::OutOfMemory);
            self.row.push_back((end, Some(Final::from(NO_ROOM).into_bytes())));
        }
        self.flush(out);
    }

    /// Writes the answers that none before them keeps back.
    fn flush(&mut self, out: &mut ConnectionOutput<ClientEvent>) {
        while let Some((end, Some(answer))) = self.row.pop_front_if(|(_, answer)| answer.is_some()) {
            self.says(answer.len(), end);
            self.first = self.first.wrapping_add(1);
            // Most often nothing waits to be written: then the bytes needn't be copied.
            if out.bytes.is_empty() {
                out.bytes = answer;
            } else {
                out.bytes.extend(answer);
            }
        }
    }

    fn answer(&mut self, number: u32, answer: Final, at: Timestamp, out: &mut ConnectionOutput<ClientEvent>) {
        let place = number.wrapping_sub(self.first) as usize;
        // An answer to a statement that has its own would be a second one, and is left out.
        let open = self.row.get_mut(place).map(|(_, a)| a).filter(|a| a.is_none());
        let Some(open) = open.filter(|_| self.state == State::Open) else {
            return;
        };
        *open = Some(answer.into_bytes());
        self.flush(out);
        // Whether it ends now is for `heard` to say, which follows: a statement may lie here already.
        if self.row.is_empty() {
            self.rest(at, out);
        }
    }

    /// Nothing is owed to it, and it is told to leave.
    fn could_leave(&self) -> bool {
        self.leaving && !self.begun && self.row.is_empty() && self.state != State::Over
    }

    fn end_if_leaving(&mut self, out: &mut ConnectionOutput<ClientEvent>) {
        if self.moving && self.row.is_empty() && self.state != State::Over {
            out.hand_over = true;
        } else if self.could_leave() {
            // What lies at the socket by now was sent to a connection that stood.
            out.read_again = true;
        }
    }

    /// Who has asked knows by a plain end that nothing of it was taken, and asks elsewhere. A new connection that ends
    /// without a word tells its client nothing.
    fn send_off(&mut self, out: &mut ConnectionOutput<ClientEvent>) {
        match self.has_asked {
            true => self.close(out),
            false => self.fatal("57P03", "this connection takes no statement any more", out),
        }
    }
}

impl ConnectionHandler for Session {
    type Command = ClientCommand;
    type Event = ClientEvent;

    fn on_socket(&mut self, stream: &TcpStream) {
        let Some(witness) = &self.witness else { return };
        let client = self.client;
        match self.handed {
            Some(handed) => witness.append(
                &JournalRecord::Adopted {
                    client,
                    transfer_id: handed,
                },
                None,
            ),
            None => witness.append(&JournalRecord::Accepted { client }, Some(stream.as_fd())),
        }
    }

    fn is_shared(&self) -> bool {
        self.witness.is_some()
    }

    fn is_journaled(&self) -> bool {
        self.witness.as_ref().is_some_and(IoJournalWriter::is_on)
    }

    fn before_read(&mut self, bytes: &[u8]) {
        self.note(|| JournalRecord::Read {
            client: self.client,
            written_to: self.settled,
            bytes: bytes.to_vec(),
        });
    }

    fn on_written(&mut self, _out: &mut ConnectionOutput<ClientEvent>) {
        self.settled = self.said;
    }

    fn on_input(&mut self, input: &mut Vec<u8>, at: Timestamp, out: &mut ConnectionOutput<ClientEvent>) {
        let mut used = 0;
        loop {
            if self.moving {
                // What lies here is for the other process to take.
                break;
            }
            let skipped = self.skip.min(input.len() - used);
            used += skipped;
            self.skip -= skipped;
            self.at = self.taken + used as u64;
            let taken = match self.state {
                _ if self.skip > 0 => break,
                State::Opening => self.open(&input[used..], at, out),
                State::Open => self.next(&input[used..], at, out),
                State::Over => input.len() - used,
            };
            used += taken;
            if taken == 0 && self.skip == 0 {
                break;
            }
        }
        input.drain(..used);
        self.taken += used as u64;
        let waits = self.state == State::Open && self.row.is_empty();
        let begun = waits && (self.skip > 0 || !input.is_empty());
        let (client, since) = (self.client, at);
        if begun && !self.begun {
            out.events.push(ClientEvent::PartialMessage { client, since });
        } else if waits && self.begun && !begun {
            out.events.push(ClientEvent::Idle { client, since });
        }
        self.begun = begun;
        self.end_if_leaving(out);
    }

    fn on_command(&mut self, say: ClientCommand, at: Timestamp, out: &mut ConnectionOutput<ClientEvent>) {
        match say {
            ClientCommand::Answer(number, answer) => self.answer(number, answer, at, out),
            ClientCommand::Drain => {
                self.leaving = true;
                self.end_if_leaving(out);
            }
            ClientCommand::HandOver => {
                self.moving = true;
                self.end_if_leaving(out);
            }
            // It goes to somebody who has time and room for it.
            ClientCommand::TimeOut | ClientCommand::Reject if self.moving => {}
            ClientCommand::TimeOut | ClientCommand::Reject if self.state == State::Over => {}
            ClientCommand::TimeOut if !self.row.is_empty() => {}
            // Any word but a refusal would be taken for the answer of a statement which is on its way.
            ClientCommand::TimeOut if self.state == State::Open && !self.begun => self.send_off(out),
            ClientCommand::TimeOut if self.leaving => {
                self.fatal("57P03", "the message was not ended in time", out)
            }
            ClientCommand::TimeOut => self.malformed("the message was not ended in time", out),
            ClientCommand::Reject => self.fatal("53300", "too many connections", out),
        }
    }

    fn on_memory_exhausted(&mut self, out: &mut ConnectionOutput<ClientEvent>) {
        out.events.push(ClientEvent::OutOfMemory);
        self.fatal("53300", "no memory is left for the message", out);
    }

    fn on_all_read(&mut self, out: &mut ConnectionOutput<ClientEvent>) {
        if self.could_leave() && !self.moving {
            self.send_off(out);
        }
    }

    fn is_server(&self) -> bool {
        true
    }

    fn on_half_closed(&mut self, out: &mut ConnectionOutput<ClientEvent>) {
        out.events.push(ClientEvent::HalfClosed { client: self.client });
    }

    fn may_be_closed(&self) -> bool {
        self.row.is_empty()
    }

    fn on_handed_over(&mut self, stream: TcpStream, input: Vec<u8>, out: &mut ConnectionOutput<ClientEvent>) {
        let opened = self.state == State::Open;
        self.state = State::Over;
        out.events.push(ClientEvent::Transferred {
            client: self.client,
            stream,
            standing: Standing {
                opened,
                skip: self.skip,
                input,
                handed: None,
            },
        });
    }

    fn on_closed(&mut self, _at: Timestamp, out: &mut ConnectionOutput<ClientEvent>) {
        self.state = State::Over;
        self.note(|| JournalRecord::Closed { client: self.client });
        out.events.push(ClientEvent::Closed { client: self.client });
    }

    /// While statements are open no more than a row of them is read ahead: the rest stays with the kernel, not in
    /// this process.
    fn wants_input(&self, unused: usize) -> bool {
        match self.state {
            State::Over => false,
            _ if self.moving => false,
            _ if self.row.is_empty() => unused <= messages::bound(self.room.capacity()) + 5,
            _ => unused <= AHEAD,
        }
    }
}
