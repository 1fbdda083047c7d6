//! The calls to discovery: the whole list first, then one watch after another, each asked for in the same turn
//! in which the last was answered.

use super::http::{self, Answer};
use super::roster::{self, Roster};
use crate::transport::connection::{ConnectionHandler, ConnectionOutput};
use asterlatch::time::Timestamp;

pub enum Heard {
    Told(Roster),
    /// Discovery has an older version than the one that is known: the whole list is asked for.
    Older,
    /// An answer that can't be read; the last good list stands.
    Unreadable,
    Down,
}

/// What the call with this number heard.
pub struct News {
    pub call: u32,
    pub heard: Heard,
}

pub struct Watch {
    call: u32,
    host: String,
    wait_ms: u64,
    /// The version after which news are wanted.
    after: Option<u64>,
    over: bool,
}

impl Watch {
    pub fn new(call: u32, host: String, wait_ms: u64, after: Option<u64>) -> Watch {
        Watch {
            call,
            host,
            wait_ms,
            after,
            over: false,
        }
    }

    fn news(&self, heard: Heard) -> News {
        let call = self.call;
        News { call, heard }
    }

    fn ask(&self, out: &mut ConnectionOutput<News>) {
        const LIST: &str = "/registry/instances";
        let path = match self.after {
            Some(index) => format!("{LIST}?after={index}&wait_ms={}", self.wait_ms),
            None => LIST.to_owned(),
        };
        out.bytes.extend(http::get(&path, &self.host));
    }

    /// A whole answer; false where it can't be read, which ends the call.
    fn take(&mut self, status: u16, body: &[u8], out: &mut ConnectionOutput<News>) -> bool {
        let Some(told) = roster::read(body).filter(|_| status == 200) else {
            self.fail(out);
            return false;
        };
        // Changes up to a version before the one that they were to come after belong to another history.
        let strange = !told.whole && self.after.is_some_and(|after| told.index < after);
        self.after = Some(told.index).filter(|_| !strange);
        let heard = if strange { Heard::Older } else { Heard::Told(told) };
        out.events.push(self.news(heard));
        true
    }

    fn fail(&mut self, out: &mut ConnectionOutput<News>) {
        out.events.push(self.news(Heard::Unreadable));
        self.over = true;
        out.close = true;
    }
}

impl ConnectionHandler for Watch {
    /// It is only ever hung up on.
    type Command = std::convert::Infallible;
    type Event = News;

    fn on_open(&mut self, out: &mut ConnectionOutput<News>) {
        self.ask(out);
    }

    fn on_input(&mut self, input: &mut Vec<u8>, _at: Timestamp, out: &mut ConnectionOutput<News>) {
        while !self.over && !input.is_empty() {
            let (status, body, taken, keep) = match http::answer(input) {
                Answer::Partial | Answer::UpToTheEnd { .. } => return,
                Answer::Malformed => return self.fail(out),
                Answer::Whole {
                    status,
                    body,
                    taken,
                    keep,
                } => (status, body, taken, keep),
            };
            input.drain(..taken);
            if !self.take(status, &body, out) {
                return;
            }
            if keep {
                self.ask(out);
            } else {
                self.over = true;
                out.close = true;
            }
        }
    }

    /// Only where the peer has ended it is an answer whole that says no length: a reset is no end.
    fn on_peer_closed(&mut self, input: &[u8], out: &mut ConnectionOutput<News>) {
        if self.over {
            return;
        }
        if let Answer::UpToTheEnd { status, from } = http::answer(input) {
            self.take(status, &input[from..], out);
            self.over = true;
        }
    }

    fn on_command(&mut self, command: Self::Command, _at: Timestamp, _out: &mut ConnectionOutput<News>) {
        match command {}
    }

    fn on_closed(&mut self, _at: Timestamp, out: &mut ConnectionOutput<News>) {
        out.events.push(self.news(Heard::Down));
    }

    fn wants_input(&self, unused: usize) -> bool {
        !self.over && unused <= http::ANSWER * 2
    }
}
