//! A request to discovery: the complete list first, then one long poll after another on the same connection.

use super::endpoint_list::{self, EndpointList};
use super::http::{self, Response};
use crate::transport::connection::{ConnectionHandler, ConnectionOutput};
use asterlatch::time::Timestamp;

const LIST_PATH: &str = "/registry/instances";
const OK: u16 = 200;

/// What a request yields.
pub enum DiscoveryEvent {
    /// A list or its changes.
    Listed(EndpointList),
    /// Discovery has an older version than the known one: the complete list is requested again.
    Outdated,
    /// A response that can't be read; the last good list stays in force.
    Unreadable,
    /// The connection is closed.
    Closed,
}

/// An event of the discovery request with this number.
pub struct DiscoveryMessage {
    /// Number of the request.
    pub request: u32,
    /// Its event.
    pub event: DiscoveryEvent,
}

/// The handler of one connection to discovery.
pub struct DiscoveryWatch {
    request: u32,
    host: String,
    /// Longest time for which discovery may hold a request, in milliseconds.
    wait_ms: u64,
    /// Version after which changes are wanted; `None` for the complete list.
    after: Option<u64>,
    is_over: bool,
}

impl DiscoveryWatch {
    /// A watch that begins with the changes after a known version, or with the complete list.
    pub fn new(request: u32, host: String, wait_ms: u64, after: Option<u64>) -> DiscoveryWatch {
        DiscoveryWatch {
            request,
            host,
            wait_ms,
            after,
            is_over: false,
        }
    }

    fn message(&self, event: DiscoveryEvent) -> DiscoveryMessage {
        DiscoveryMessage {
            request: self.request,
            event,
        }
    }

    fn send_request(&self, out: &mut ConnectionOutput<DiscoveryMessage>) {
        let path = match self.after {
            Some(index) => format!("{LIST_PATH}?after={index}&wait_ms={}", self.wait_ms),
            None => LIST_PATH.to_owned(),
        };
        out.bytes.extend(http::get(&path, &self.host));
    }

    /// Takes a complete response; returns whether it could be read. Otherwise the watch is over.
    fn take_response(
        &mut self,
        status: u16,
        body: &[u8],
        out: &mut ConnectionOutput<DiscoveryMessage>,
    ) -> bool {
        let Some(list) = endpoint_list::parse(body).filter(|_| status == OK) else {
            self.fail(out);
            return false;
        };
        // Changes up to a version before the one that they were to follow belong to another history.
        let is_outdated = !list.is_complete && self.after.is_some_and(|after| list.index < after);
        let event = if is_outdated {
            self.after = None;
            DiscoveryEvent::Outdated
        } else {
            self.after = Some(list.index);
            DiscoveryEvent::Listed(list)
        };
        out.events.push(self.message(event));
        true
    }

    fn fail(&mut self, out: &mut ConnectionOutput<DiscoveryMessage>) {
        out.events.push(self.message(DiscoveryEvent::Unreadable));
        self.close(out);
    }

    fn close(&mut self, out: &mut ConnectionOutput<DiscoveryMessage>) {
        self.is_over = true;
        out.close = true;
    }
}

impl ConnectionHandler for DiscoveryWatch {
    /// The owner only ever closes it.
    type Command = std::convert::Infallible;
    type Event = DiscoveryMessage;

    fn on_open(&mut self, out: &mut ConnectionOutput<DiscoveryMessage>) {
        self.send_request(out);
    }

    fn on_input(
        &mut self,
        input: &mut Vec<u8>,
        _at: Timestamp,
        out: &mut ConnectionOutput<DiscoveryMessage>,
    ) {
        while !self.is_over && !input.is_empty() {
            let (status, body, length, keep_alive) = match http::parse_response(input) {
                Response::Partial | Response::UntilClose { .. } => return,
                Response::Malformed => return self.fail(out),
                Response::Complete {
                    status,
                    body,
                    length,
                    keep_alive,
                } => (status, body, length, keep_alive),
            };
            input.drain(..length);
            if !self.take_response(status, &body, out) {
                return;
            }
            if keep_alive {
                self.send_request(out);
            } else {
                self.close(out);
            }
        }
    }

    /// A response without a length is complete only where the peer has closed the connection: a reset does not end it.
    fn on_peer_closed(&mut self, input: &[u8], out: &mut ConnectionOutput<DiscoveryMessage>) {
        if self.is_over {
            return;
        }
        if let Response::UntilClose { status, body_start } = http::parse_response(input) {
            self.take_response(status, &input[body_start..], out);
            self.is_over = true;
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
        !self.is_over && unused <= http::MAX_BODY * 2
    }
}
