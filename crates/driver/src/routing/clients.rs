//! Clients' connections: admission, eviction, and timeouts of clients without an open statement.

use super::limits::Limits;
use crate::protocol::client_events::ClientCommand;
use crate::transport::connection::ConnectionHandle;
use asterlatch::time::{TimeSpan, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// What a client without an open statement is waited for.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Wait {
    /// It has not sent any statement yet.
    FirstStatement,
    /// Part of a message has arrived.
    RestOfMessage,
    NextStatement,
    /// Our side of the connection is shut; what the client still sends is dropped until it closes its own.
    PeerClose,
}
const WAITS: [Wait; 4] = [
    Wait::FirstStatement,
    Wait::RestOfMessage,
    Wait::NextStatement,
    Wait::PeerClose,
];

/// Time for a client to close its side of a connection that is shut on ours.
const HALF_CLOSED_TIMEOUT: TimeSpan = TimeSpan::millis(300);
/// Upper bound for the message timeout during a drain.
const DRAIN_MESSAGE_TIMEOUT: TimeSpan = TimeSpan::millis(500);

struct Client {
    line: ConnectionHandle<ClientCommand>,
    open_statements: Vec<u32>,
    /// What it is waited for, and since when; `None` while it has an open statement.
    wait: Option<(Wait, Timestamp)>,
    /// It has sent at least one statement, here or at another process.
    is_active: bool,
    /// It was rejected on arrival, so no statement of it is accepted.
    is_rejected: bool,
    /// It has closed its side: it waits for the answers to what is open, or has left.
    has_left: bool,
}

/// What becomes of clients between two statements.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Mode {
    Serving,
    /// They go to another process.
    HandingOver,
    /// They are disconnected.
    Draining,
}

/// Result of the admission of a client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// There was a free place.
    Admitted,
    /// Another client was evicted for it.
    AdmittedByEviction,
    /// All others have open statements; it is told so before it can send anything.
    Rejected,
}

/// Number of clients disconnected by a timeout.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ExpiredClients {
    /// Their first statement or the rest of a message did not arrive in time.
    pub too_slow: u64,
    /// They were idle between two statements.
    pub idle: u64,
}

/// The table of clients' connections. Only the event loop uses it.
pub struct Clients {
    open: BTreeMap<u32, Client>,
    /// Clients by what they are waited for, ordered by the start of the wait.
    waiting: [BTreeSet<(Timestamp, u32)>; WAITS.len()],
    active_count: usize,
    max_clients: usize,
    /// Another process holds a descriptor for each client as well.
    is_co_serving: bool,
    limits: Limits,
    mode: Mode,
}

impl Clients {
    /// A table for at most `max_clients` connections.
    pub fn new(max_clients: usize, limits: Limits) -> Clients {
        Clients {
            open: BTreeMap::new(),
            waiting: Default::default(),
            active_count: 0,
            max_clients,
            is_co_serving: false,
            limits,
            mode: Mode::Serving,
        }
    }

    /// Changes the limits. Connected clients stay, unless a shorter timeout has already passed.
    pub fn set_limits(&mut self, max_clients: usize, limits: Limits) {
        self.max_clients = max_clients;
        self.limits = limits;
    }

    /// States whether another process serves on the same descriptors.
    pub fn set_co_serving(&mut self, is_co_serving: bool) {
        self.is_co_serving = is_co_serving;
    }

    /// Number of connections.
    pub fn count(&self) -> usize {
        self.open.len()
    }

    /// Adds a client that the kernel has accepted. If all places are taken by clients with open statements it is
    /// rejected before it can send anything: later, the rejection could be taken for one of a statement that runs.
    pub fn admit(&mut self, now: Timestamp, id: u32, line: ConnectionHandle<ClientCommand>) -> Admission {
        match self.mode {
            Mode::Serving => {}
            Mode::HandingOver => line.send(ClientCommand::HandOver),
            Mode::Draining => line.send(ClientCommand::Drain),
        }
        let admission = if self.open.len() < self.capacity() {
            Admission::Admitted
        } else if self.evict_one(now) {
            Admission::AdmittedByEviction
        } else {
            line.send(ClientCommand::Reject);
            Admission::Rejected
        };
        let client = Client {
            line,
            open_statements: Vec::new(),
            wait: None,
            is_active: false,
            is_rejected: admission == Admission::Rejected,
            has_left: false,
        };
        self.open.insert(id, client);
        self.set_wait(id, Some((Wait::FirstStatement, now)));
        admission
    }

    fn capacity(&self) -> usize {
        if self.is_co_serving {
            self.max_clients.div_ceil(2)
        } else {
            self.max_clients
        }
    }

    fn set_wait(&mut self, id: u32, wait: Option<(Wait, Timestamp)>) {
        let Some(client) = self.open.get_mut(&id) else {
            return;
        };
        if let Some((former, since)) = std::mem::replace(&mut client.wait, wait) {
            self.waiting[former as usize].remove(&(since, id));
        }
        if let Some((wait, since)) = wait {
            self.waiting[wait as usize].insert((since, id));
        }
    }

    fn longest_waiting(&self, wait: Wait) -> Option<(Timestamp, u32)> {
        self.waiting[wait as usize].first().copied()
    }

    /// Disconnects one client in favour of another: first one whose connection is shut on our side already; then one
    /// that has not sent any statement, if it arrived long ago or with so many others that they would evict all active
    /// clients; then the one that has been idle the longest. Returns whether there was any.
    pub fn evict_one(&mut self, now: Timestamp) -> bool {
        if self.close_one_half_closed() {
            return true;
        }
        let arriving = self.longest_waiting(Wait::FirstStatement);
        let many = self.waiting[Wait::FirstStatement as usize].len() > self.max_clients / 2;
        let silent = arriving.filter(|(since, _)| many || now - *since > self.limits.arrival_grace);
        let idle = self.longest_waiting(Wait::NextStatement);
        let Some((_, id)) = silent.or(idle).or(arriving) else {
            return false;
        };
        self.disconnect(id, ClientCommand::Drain);
        true
    }

    fn close_one_half_closed(&mut self) -> bool {
        let Some((_, id)) = self.longest_waiting(Wait::PeerClose) else {
            return false;
        };
        self.set_wait(id, None);
        if let Some(client) = self.open.get_mut(&id) {
            client.line.close();
        }
        true
    }

    fn disconnect(&mut self, id: u32, command: ClientCommand) {
        self.set_wait(id, None);
        self.send(id, command);
    }

    fn timeout(&self, wait: Wait) -> TimeSpan {
        match wait {
            Wait::FirstStatement => self.limits.first_statement_timeout,
            Wait::RestOfMessage if self.mode == Mode::Draining => {
                self.limits.message_timeout.min(DRAIN_MESSAGE_TIMEOUT)
            }
            Wait::RestOfMessage => self.limits.message_timeout,
            Wait::PeerClose => HALF_CLOSED_TIMEOUT,
            Wait::NextStatement => self.idle_timeout(),
        }
    }

    fn idle_timeout(&self) -> TimeSpan {
        let active_share = self.active_count as f64 / self.max_clients as f64;
        let mut crowded = self.limits.crowded_idle_timeouts.iter();
        let applicable = crowded.find(|crowded| active_share >= crowded.min_active_share.ratio());
        applicable.map_or(self.limits.client_idle_timeout, |crowded| crowded.timeout)
    }

    /// When the next timeout passes.
    pub fn next_at(&self) -> Option<Timestamp> {
        let expires_at = |wait| Some(self.longest_waiting(wait)?.0 + self.timeout(wait));
        WAITS.into_iter().filter_map(expires_at).min()
    }

    /// Disconnects clients whose timeout has passed.
    pub fn close_expired(&mut self, now: Timestamp) -> ExpiredClients {
        let mut expired = ExpiredClients::default();
        for wait in WAITS {
            while let Some(id) = self.next_expired(wait, now) {
                match wait {
                    Wait::NextStatement => {
                        expired.idle += 1;
                        self.disconnect(id, ClientCommand::Drain);
                    }
                    Wait::PeerClose => {
                        self.close_one_half_closed();
                    }
                    Wait::FirstStatement | Wait::RestOfMessage => {
                        expired.too_slow += 1;
                        self.disconnect(id, ClientCommand::TimeOut);
                    }
                }
            }
        }
        expired
    }

    fn next_expired(&self, wait: Wait, now: Timestamp) -> Option<u32> {
        let (since, id) = self.longest_waiting(wait)?;
        (now - since >= self.timeout(wait)).then_some(id)
    }

    /// Our side of the client's connection is shut.
    pub fn on_half_closed(&mut self, id: u32, now: Timestamp) {
        self.set_wait(id, Some((Wait::PeerClose, now)));
    }

    /// The client has been between two statements since then. Before its first statement this changes nothing.
    pub fn on_idle(&mut self, id: u32, since: Timestamp) {
        if !self.is_arriving(id) {
            self.set_wait(id, Some((Wait::NextStatement, since)));
        }
    }

    /// Part of a message arrived then. Before the client's first statement this changes nothing.
    pub fn on_partial_message(&mut self, id: u32, since: Timestamp) {
        if !self.is_arriving(id) {
            self.set_wait(id, Some((Wait::RestOfMessage, since)));
        }
    }

    fn is_arriving(&self, id: u32) -> bool {
        let wait = self.open.get(&id).and_then(|client| client.wait);
        wait.is_some_and(|(wait, _)| wait == Wait::FirstStatement)
    }

    /// The client has sent a statement. Returns whether it may be accepted.
    pub fn on_statement(&mut self, id: u32) -> bool {
        self.set_wait(id, None);
        self.set_active(id);
        self.open.get(&id).is_some_and(|client| !client.is_rejected)
    }

    fn set_active(&mut self, id: u32) {
        let Some(client) = self.open.get_mut(&id) else {
            return;
        };
        if !client.is_active {
            client.is_active = true;
            self.active_count += 1;
        }
    }

    /// Records an open statement of the client.
    pub fn add_statement(&mut self, id: u32, statement: u32) {
        if let Some(client) = self.open.get_mut(&id) {
            client.open_statements.push(statement);
        }
    }

    /// A statement of the client has its final answer.
    pub fn remove_statement(&mut self, id: u32, statement: u32) {
        if let Some(client) = self.open.get_mut(&id) {
            client.open_statements.retain(|open| *open != statement);
        }
    }

    /// The client has closed its side. Returns its open statements when that is news.
    pub fn on_input_ended(&mut self, id: u32) -> Vec<u32> {
        let client = self.open.get_mut(&id).filter(|client| !client.has_left);
        let Some(client) = client else {
            return Vec::new();
        };
        client.has_left = true;
        client.open_statements.clone()
    }

    /// Whether the client has closed its side.
    pub fn has_left(&self, id: u32) -> bool {
        self.open.get(&id).is_some_and(|client| client.has_left)
    }

    /// Whether the client is connected.
    pub fn contains(&self, id: u32) -> bool {
        self.open.contains_key(&id)
    }

    /// Removes a client whose connection is closed or transferred, and returns its open statements.
    pub fn remove(&mut self, id: u32) -> Vec<u32> {
        self.set_wait(id, None);
        let Some(client) = self.open.remove(&id) else {
            return Vec::new();
        };
        self.active_count -= usize::from(client.is_active);
        client.open_statements
    }

    /// Sends a command to the client's connection, if there is one.
    pub fn send(&self, id: u32, command: ClientCommand) {
        if let Some(client) = self.open.get(&id) {
            client.line.send(command);
        }
    }

    /// Whether the client has sent a statement, here or at another process.
    pub fn is_active(&self, id: u32) -> bool {
        self.open.get(&id).is_some_and(|client| client.is_active)
    }

    /// Marks a client as idle that has sent statements to another process.
    pub fn mark_active(&mut self, id: u32, now: Timestamp) {
        if self.open.contains_key(&id) {
            self.set_active(id);
            self.set_wait(id, Some((Wait::NextStatement, now)));
        }
    }

    /// Ends a handover or drain for clients that arrive from now on.
    pub fn resume_serving(&mut self) {
        self.mode = Mode::Serving;
    }

    /// Hands each client over to another process between two statements, including those still to arrive.
    pub fn begin_handover(&mut self) {
        if self.mode != Mode::Draining {
            self.mode = Mode::HandingOver;
        }
        self.send_to_all(|| ClientCommand::HandOver);
    }

    /// Disconnects each client between two statements, including those still to arrive.
    pub fn begin_drain(&mut self) {
        self.mode = Mode::Draining;
        self.send_to_all(|| ClientCommand::Drain);
    }

    fn send_to_all(&self, command: impl Fn() -> ClientCommand) {
        for client in self.open.values() {
            client.line.send(command());
        }
    }
}
