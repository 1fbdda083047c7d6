//! Watches discovery: requests the complete endpoint list, then its changes by long polling on the same
//! connection.

use super::endpoint_list::{self, EndpointList};
use super::http::{self, Response};
use crate::transport::connection::{ConnectionHandler, ConnectionOutput};
use asterlatch::time::Timestamp;

const LIST_PATH: &str = "/registry/instances";
const OK: u16 = 200;

/// An event of a connection to discovery.
pub enum DiscoveryEvent {
    /// The complete list or changes to it.
    Listed(EndpointList),
    /// Discovery has an older version than the known one. The watch requests the complete list again.
    Outdated,
    /// A malformed or unsuccessful response; the last valid list stays in use.
    Unreadable,
    /// The connection is closed.
    Closed,
}

/// An event with the number of its discovery request.
pub struct DiscoveryMessage {
    /// Number of the request.
    pub request: u32,
    /// The event.
    pub event: DiscoveryEvent,
}

/// Connection handler for discovery.
pub struct DiscoveryWatch {
    request: u32,
    host: String,
    /// Maximum time for which discovery may delay the response to a long poll.
    wait_ms: u64,
    /// Version whose later changes are requested; `None` requests the complete list.
    known_version: Option<u64>,
    is_finished: bool,
}

impl DiscoveryWatch {
    /// Creates a watch that first requests the changes after `known_version`, or the complete list if it is
    /// `None`.
    pub fn new(request: u32, host: String, wait_ms: u64, known_version: Option<u64>) -> DiscoveryWatch {
        DiscoveryWatch {
            request,
            host,
            wait_ms,
            known_version,
            is_finished: false,
        }
    }

    fn message(&self, event: DiscoveryEvent) -> DiscoveryMessage {
        DiscoveryMessage {
            request: self.request,
            event,
        }
    }

    fn send_request(&self, out: &mut ConnectionOutput<DiscoveryMessage>) {
        let path = match self.known_version {
            Some(version) => format!("{LIST_PATH}?after={version}&wait_ms={}", self.wait_ms),
            None => LIST_PATH.to_owned(),
        };
        out.bytes.extend(http::get(&path, &self.host));
    }

    /// Handles a complete response; returns whether it was valid. Otherwise the watch is closed.
    fn handle_response(
        &mut self,
        status: u16,
        body: &[u8],
        out: &mut ConnectionOutput<DiscoveryMessage>,
    ) -> bool {
        let Some(list) = endpoint_list::parse(body).filter(|_| status == OK) else {
            self.fail(out);
            return false;
        };
        // Changes that end before the known version belong to another history of the list.
        let is_outdated = !list.is_complete && self.known_version.is_some_and(|version| list.index < version);
        let event = if is_outdated {
            self.known_version = None;
            DiscoveryEvent::Outdated
        } else {
            self.known_version = Some(list.index);
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
        self.is_finished = true;
        out.close = true;
    }
}

impl ConnectionHandler for DiscoveryWatch {
    /// There are no commands; the owner can only close the connection.
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
        while !self.is_finished && !input.is_empty() {
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
            if !self.handle_response(status, &body, out) {
                return;
            }
            if keep_alive {
                self.send_request(out);
            } else {
                self.close(out);
            }
        }
    }

    /// A response without a length is complete when the peer closes the connection, but not after a reset.
    fn on_peer_closed(&mut self, input: &[u8], out: &mut ConnectionOutput<DiscoveryMessage>) {
        if self.is_finished {
            return;
        }
        if let Response::UntilClose { status, body_start } = http::parse_response(input) {
            self.handle_response(status, &input[body_start..], out);
            self.is_finished = true;
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

    fn wants_input(&self, unconsumed: usize) -> bool {
        !self.is_finished && unconsumed <= http::MAX_BODY_BYTES * 2
    }
}
