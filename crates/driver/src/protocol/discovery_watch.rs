//! The calls to discovery: the whole list first, then one watch after another, each asked for in the same turn
//! in which the last was answered.

use super::endpoint_list::{self, EndpointList};
use super::http::{self, Answer};
use crate::transport::connection::{ConnectionHandler, ConnectionOutput};
use asterlatch::time::Timestamp;

pub enum DiscoveryEvent {
    Listed(EndpointList),
    /// Discovery has an older version than the one that is known: the whole list is asked for.
    Outdated,
    /// An answer that can't be read; the last good list stands.
    Unreadable,
    Closed,
}

/// An event of the discovery request with this number.
pub struct DiscoveryMessage {
    pub request: u32,
    pub event: DiscoveryEvent,
}

pub struct Watch {
    request: u32,
    host: String,
    wait_ms: u64,
    /// The version after which news are wanted.
    after: Option<u64>,
    over: bool,
}

impl Watch {
    pub fn new(request: u32, host: String, wait_ms: u64, after: Option<u64>) -> Watch {
        Watch {
            request,
            host,
            wait_ms,
            after,
            over: false,
        }
    }

    fn message(&self, event: DiscoveryEvent) -> DiscoveryMessage {
        let request = self.request;
        DiscoveryMessage { request, event }
    }

    fn ask(&self, out: &mut ConnectionOutput<DiscoveryMessage>) {
        const LIST: &str = "/registry/instances";
        let path = match self.after {
            Some(index) => format!("{LIST}?after={index}&wait_ms={}", self.wait_ms),
            None => LIST.to_owned(),
        };
        out.bytes.extend(http::get(&path, &self.host));
    }

    /// A whole answer; false where it can't be read, which ends the call.
    fn take(&mut self, status: u16, body: &[u8], out: &mut ConnectionOutput<DiscoveryMessage>) -> bool {
        let Some(told) = endpoint_list::read(body).filter(|_| status == 200) else {
            self.fail(out);
            return false;
        };
        // Changes up to a version before the one that they were to come after belong to another history.
        let strange = !told.is_complete && self.after.is_some_and(|after| told.index < after);
        self.after = Some(told.index).filter(|_| !strange);
        let heard = if strange {
            DiscoveryEvent::Outdated
        } else {
            DiscoveryEvent::Listed(told)
        };
        out.events.push(self.message(heard));
        true
    }

    fn fail(&mut self, out: &mut ConnectionOutput<DiscoveryMessage>) {
        out.events.push(self.message(DiscoveryEvent::Unreadable));
        self.over = true;
        out.close = true;
    }
}

impl ConnectionHandler for Watch {
    /// It is only ever hung up on.
    type Command = std::convert::Infallible;
    type Event = DiscoveryMessage;

    fn on_open(&mut self, out: &mut ConnectionOutput<DiscoveryMessage>) {
        self.ask(out);
    }

    fn on_input(
        &mut self,
        input: &mut Vec<u8>,
        _at: Timestamp,
        out: &mut ConnectionOutput<DiscoveryMessage>,
    ) {
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
    fn on_peer_closed(&mut self, input: &[u8], out: &mut ConnectionOutput<DiscoveryMessage>) {
        if self.over {
            return;
        }
        if let Answer::UpToTheEnd { status, from } = http::answer(input) {
            self.take(status, &input[from..], out);
            self.over = true;
        }
    }

    fn on_command(
        &mut self,
        command: Self::Command,
        _at: Timestamp,
        _out: &mut ConnectionOutput<DiscoveryMessage>,
    ) {
        match command {}
    }

    fn on_closed(&mut self, _at: Timestamp, out: &mut ConnectionOutput<DiscoveryMessage>) {
        out.events.push(self.message(DiscoveryEvent::Closed));
    }

    fn wants_input(&self, unused: usize) -> bool {
        !self.over && unused <= http::ANSWER * 2
    }
}
