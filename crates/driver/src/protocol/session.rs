//! A client's connection: startup, then one statement after another.

use super::messages::{self, Front, Opening};
use crate::transport::room::{Room, Taken};
use crate::transport::stream::{Dialogue, Outbox};
use asterlatch::time::Point;

/// News of a client.
pub enum Heard {
    /// A statement, as it came, read whole at this time.
    Statement {
        client: u32,
        text: Text,
        at: Point,
    },
    /// Part of a message has come since then.
    Writing {
        client: u32,
        since: Point,
    },
    /// The connection sits between statements since then.
    Idle {
        client: u32,
        since: Point,
    },
    Malformed,
    Oversized,
    /// A statement was rejected, or the connection ended, for want of memory.
    NoRoom,
    /// The connection is over.
    Gone {
        client: u32,
    },
}

/// A statement's text, with the room that it takes.
pub struct Text {
    pub text: String,
    _room: Taken,
}

impl Text {
    /// None where there is no room for it.
    pub fn new(text: &str, room: &Room) -> Option<Text> {
        let _room = room.take(text.len())?;
        let text = text.to_owned();
        Some(Text { text, _room })
    }
}

/// The one final answer of the statement that is out, or how to end.
pub enum Say {
    /// The messages of a member's answer, as they came.
    Rows(Vec<u8>),
    Error {
        code: &'static str,
        message: &'static str,
        hold_off_ms: Option<u64>,
    },
    /// Closes once nothing is out.
    Leave,
    /// Ends the connection of whoever took too long to send something whole.
    TimeUp,
    /// Ends the connection of whoever finds no room, before any statement.
    TurnAway,
}

/// Bytes that a client may have sent ahead of its answer before it isn't read any further. What is not read when it
/// is let go is lost, so a row of usual statements fits in.
const AHEAD: usize = 16 * 1024;

#[derive(Clone, Copy, PartialEq)]
enum State {
    Opening,
    Between,
    Out,
    Over,
}

pub struct Session {
    client: u32,
    state: State,
    leaving: bool,
    /// Part of a message lies here.
    begun: bool,
    /// Of an oversized query, still to be passed over.
    skip: usize,
    /// For statements that have no answer yet.
    room: Room,
}

impl Session {
    pub fn new(client: u32, room: Room) -> Session {
        Session {
            client,
            state: State::Opening,
            leaving: false,
            begun: false,
            skip: 0,
            room,
        }
    }

    fn close(&mut self, out: &mut Outbox<Heard>) {
        out.close = true;
        self.state = State::Over;
    }

    fn fatal(&mut self, code: &str, message: &str, out: &mut Outbox<Heard>) {
        messages::put_error(&mut out.bytes, "FATAL", code, message, None);
        self.close(out);
    }

    fn malformed(&mut self, message: &str, out: &mut Outbox<Heard>) {
        out.notices.push(Heard::Malformed);
        self.fatal("08P01", message, out);
    }

    /// Reads what comes before the first query; says how many bytes that took.
    fn open(&mut self, input: &[u8], at: Point, out: &mut Outbox<Heard>) -> usize {
        match messages::opening(input) {
            Opening::Partial => 0,
            Opening::Encryption { whole } => {
                out.bytes.push(b'N');
                whole
            }
            Opening::Startup {
                whole,
                minor,
                unknown,
            } => {
                if minor > 0 || !unknown.is_empty() {
                    messages::put_negotiation(&mut out.bytes, &unknown);
                }
                messages::put_welcome(&mut out.bytes);
                self.rest(at, out);
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

    fn rest(&mut self, at: Point, out: &mut Outbox<Heard>) {
        let client = self.client;
        self.state = State::Between;
        out.notices.push(Heard::Idle { client, since: at });
    }

    /// Reads one message between statements; says how many bytes that took.
    fn next(&mut self, input: &[u8], at: Point, out: &mut Outbox<Heard>) -> usize {
        let client = self.client;
        match messages::front(input, messages::bound(self.room.most())) {
            Front::Partial => 0,
            Front::Malformed => {
                self.malformed("unreadable message", out);
                0
            }
            Front::TooLong { kind: b'Q', whole } => {
                out.notices.push(Heard::Oversized);
                let fault = super::comment::TOO_LARGE;
                messages::put_error(&mut out.bytes, "ERROR", fault.code, fault.message, None);
                messages::put_ready(&mut out.bytes);
                self.skip = whole;
                0
            }
            Front::Message {
                kind: b'Q',
                body,
                whole,
            } => {
                match messages::text(body) {
                    None => self.malformed("unreadable query", out),
                    Some(text) if text.trim_matches([' ', '\t', '\r', '\n', ';']).is_empty() => {
                        // No news: a client that sends nothing else would fill the owner's queue.
                        messages::put(&mut out.bytes, b'I', &[]);
                        messages::put_ready(&mut out.bytes);
                    }
                    Some(text) => match Text::new(text, &self.room) {
                        Some(text) => {
                            out.notices.push(Heard::Statement { client, text, at });
                            self.state = State::Out;
                        }
                        None => {
                            out.notices.push(Heard::NoRoom);
                            let said = "no memory is left for the statement";
                            messages::put_error(&mut out.bytes, "ERROR", "53300", said, None);
                            messages::put_ready(&mut out.bytes);
                        }
                    },
                }
                whole
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

    fn answer(&mut self, at: Point, out: &mut Outbox<Heard>) {
        messages::put_ready(&mut out.bytes);
        self.rest(at, out);
        // Whether it ends now is for `heard` to say, which follows: a statement may lie here already.
    }

    fn end_if_leaving(&mut self, out: &mut Outbox<Heard>) {
        if self.leaving && !self.begun && matches!(self.state, State::Opening | State::Between) {
            self.close(out);
        }
    }
}

impl Dialogue for Session {
    type Command = Say;
    type Notice = Heard;

    fn heard(&mut self, input: &mut Vec<u8>, at: Point, out: &mut Outbox<Heard>) {
        let mut used = 0;
        loop {
            let skipped = self.skip.min(input.len() - used);
            used += skipped;
            self.skip -= skipped;
            let taken = match self.state {
                _ if self.skip > 0 => break,
                State::Opening => self.open(&input[used..], at, out),
                State::Between => self.next(&input[used..], at, out),
                State::Out => break,
                State::Over => input.len() - used,
            };
            used += taken;
            if taken == 0 && self.skip == 0 {
                break;
            }
        }
        input.drain(..used);
        let begun = self.state == State::Between && (self.skip > 0 || !input.is_empty());
        let (client, since) = (self.client, at);
        if begun && !self.begun {
            out.notices.push(Heard::Writing { client, since });
        } else if self.begun && !begun && self.state == State::Between {
            out.notices.push(Heard::Idle { client, since });
        }
        self.begun = begun;
        self.end_if_leaving(out);
    }

    /// An answer to a statement that is no longer out would be a second one, and is left out.
    fn told(&mut self, say: Say, at: Point, out: &mut Outbox<Heard>) {
        match say {
            Say::Rows(mut bytes) if self.state == State::Out => {
                // Most often nothing waits to be written: then the bytes needn't be copied.
                if out.bytes.is_empty() {
                    out.bytes = bytes;
                } else {
                    out.bytes.append(&mut bytes);
                }
                self.answer(at, out);
            }
            Say::Error {
                code,
                message,
                hold_off_ms,
            } if self.state == State::Out => {
                messages::put_error(&mut out.bytes, "ERROR", code, message, hold_off_ms);
                self.answer(at, out);
            }
            Say::Rows(_) | Say::Error { .. } => {}
            Say::Leave => {
                self.leaving = true;
                self.end_if_leaving(out);
            }
            Say::TurnAway if self.state == State::Over => {}
            // Another answer than none would be taken for that of a statement which is on its way.
            Say::TimeUp if self.state == State::Between && !self.begun => self.close(out),
            Say::TimeUp if matches!(self.state, State::Opening | State::Between) => {
                self.malformed("the message was not ended in time", out);
            }
            Say::TimeUp => {}
            Say::TurnAway => self.fatal("53300", "too many connections", out),
        }
    }

    fn crowded(&mut self, out: &mut Outbox<Heard>) {
        out.notices.push(Heard::NoRoom);
    }

    fn ended(&mut self, _at: Point, out: &mut Outbox<Heard>) {
        self.state = State::Over;
        out.notices.push(Heard::Gone { client: self.client });
    }

    /// While a statement is out only the client's leaving is of interest: what it sends ahead stays with the
    /// kernel, not in this process.
    fn hungry(&self, unused: usize) -> bool {
        match self.state {
            State::Opening | State::Between => unused <= messages::bound(self.room.most()) + 5,
            State::Out => unused <= AHEAD,
            State::Over => false,
        }
    }
}
