//! Client connections: admission, eviction, and timeouts of clients without an open statement.

use super::limits::Limits;
use crate::protocol::client_events::ClientCommand;
use crate::transport::connection::ConnectionHandle;
use asterlatch::time::{TimeSpan, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// The event that a client without an open statement has to produce before its timeout.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Wait {
    /// The first statement after connecting.
    FirstStatement,
    /// The remaining bytes of a partial message.
    RestOfMessage,
    NextStatement,
    /// Close of the client's side. Ours is shut down, and further input is discarded.
    ClientClose,
}
const ALL_WAITS: [Wait; 4] = [
    Wait::FirstStatement,
    Wait::RestOfMessage,
    Wait::NextStatement,
    Wait::ClientClose,
];

/// Time for a client to close its side of a half-closed connection.
const HALF_CLOSED_TIMEOUT: TimeSpan = TimeSpan::millis(300);
/// Upper bound of the message timeout during a drain.
const DRAIN_MESSAGE_TIMEOUT: TimeSpan = TimeSpan::millis(500);

struct Client {
    handle: ConnectionHandle<ClientCommand>,
    open_statements: Vec<u32>,
    /// The current wait and its start; `None` while a statement is open.
    wait: Option<(Wait, Timestamp)>,
    /// It has sent at least one statement, to this process or another one.
    is_active: bool,
    /// It was rejected on admission: none of its statements are accepted.
    is_rejected: bool,
    /// It has closed its sending side, and may still read the answers to its open statements.
    is_input_ended: bool,
}

/// What happens to a client once it has no open statement.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ServingMode {
    Serving,
    /// The client is handed over to another process.
    HandingOver,
    /// The client is disconnected.
    Draining,
}

/// Result of admitting a client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// There was free capacity.
    Admitted,
    /// Another client was evicted to make room.
    AdmittedByEviction,
    /// No client could be evicted. The rejection is sent before the client's first statement.
    Rejected,
}

/// Number of clients disconnected by timeouts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ExpiredClients {
    /// A first statement or the rest of a message did not arrive in time.
    pub timed_out: u64,
    /// Idle between two statements for too long.
    pub idle: u64,
}

/// The table of client connections, owned by the event loop.
pub struct Clients {
    open: BTreeMap<u32, Client>,
    /// Clients by `Wait`, ordered by its start.
    waiting: [BTreeSet<(Timestamp, u32)>; ALL_WAITS.len()],
    active_count: usize,
    max_clients: usize,
    /// A peer process holds a copy of each client's descriptor, so only half of the capacity is usable.
    is_co_serving: bool,
    limits: Limits,
    mode: ServingMode,
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
            mode: ServingMode::Serving,
        }
    }

    /// Changes the limits. Connected clients stay unless a shortened timeout has already expired.
    pub fn set_limits(&mut self, max_clients: usize, limits: Limits) {
        self.max_clients = max_clients;
        self.limits = limits;
    }

    /// Sets whether a peer process serves on the same descriptors.
    pub fn set_co_serving(&mut self, is_co_serving: bool) {
        self.is_co_serving = is_co_serving;
    }

    /// Number of connections.
    pub fn count(&self) -> usize {
        self.open.len()
    }

    /// Adds an accepted client. If no connected client can be evicted, the new one is rejected before its
    /// first statement: a later rejection could be mistaken for the answer to a statement in flight.
    pub fn admit(&mut self, now: Timestamp, id: u32, handle: ConnectionHandle<ClientCommand>) -> Admission {
        match self.mode {
            ServingMode::Serving => {}
            ServingMode::HandingOver => handle.send(ClientCommand::HandOver),
            ServingMode::Draining => handle.send(ClientCommand::Drain),
        }
        let admission = if self.open.len() < self.capacity() {
            Admission::Admitted
        } else if self.evict_one(now) {
            Admission::AdmittedByEviction
        } else {
            handle.send(ClientCommand::Reject);
            Admission::Rejected
        };
        let client = Client {
            handle,
            open_statements: Vec::new(),
            wait: None,
            is_active: false,
            is_rejected: admission == Admission::Rejected,
            is_input_ended: false,
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
        if let Some((previous, since)) = std::mem::replace(&mut client.wait, wait) {
            self.waiting[previous as usize].remove(&(since, id));
        }
        if let Some((wait, since)) = wait {
            self.waiting[wait as usize].insert((since, id));
        }
    }

    fn longest_waiting(&self, wait: Wait) -> Option<(Timestamp, u32)> {
        self.waiting[wait as usize].first().copied()
    }

    /// Disconnects one client to make room. In order of preference: a half-closed one; one without a first
    /// statement, if it is past the grace period or such clients outnumber half of the capacity; the longest
    /// idle one; any one without a first statement. Returns whether there was any.
    pub fn evict_one(&mut self, now: Timestamp) -> bool {
        if self.close_one_half_closed() {
            return true;
        }
        let without_statement = self.longest_waiting(Wait::FirstStatement);
        let is_flooded = self.waiting[Wait::FirstStatement as usize].len() > self.max_clients / 2;
        let past_grace =
            without_statement.filter(|(since, _)| is_flooded || now - *since > self.limits.arrival_grace);
        let idle = self.longest_waiting(Wait::NextStatement);
        let Some((_, id)) = past_grace.or(idle).or(without_statement) else {
            return false;
        };
        self.disconnect(id, ClientCommand::Drain);
        true
    }

    fn close_one_half_closed(&mut self) -> bool {
        let Some((_, id)) = self.longest_waiting(Wait::ClientClose) else {
            return false;
        };
        self.set_wait(id, None);
        if let Some(client) = self.open.get_mut(&id) {
            client.handle.close();
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
            Wait::RestOfMessage if self.mode == ServingMode::Draining => {
                self.limits.message_timeout.min(DRAIN_MESSAGE_TIMEOUT)
            }
            Wait::RestOfMessage => self.limits.message_timeout,
            Wait::ClientClose => HALF_CLOSED_TIMEOUT,
            Wait::NextStatement => self.idle_timeout(),
        }
    }

    fn idle_timeout(&self) -> TimeSpan {
        let active_share = self.active_count as f64 / self.max_clients as f64;
        let mut crowded = self.limits.crowded_idle_timeouts.iter();
        let applicable = crowded.find(|crowded| active_share >= crowded.min_active_share.ratio());
        applicable.map_or(self.limits.client_idle_timeout, |crowded| crowded.timeout)
    }

    /// Time of the next timeout.
    pub fn next_at(&self) -> Option<Timestamp> {
        let expires_at = |wait| Some(self.longest_waiting(wait)?.0 + self.timeout(wait));
        ALL_WAITS.into_iter().filter_map(expires_at).min()
    }

    /// Disconnects clients whose timeout has expired.
    pub fn close_expired(&mut self, now: Timestamp) -> ExpiredClients {
        let mut expired = ExpiredClients::default();
        for wait in ALL_WAITS {
            while let Some(id) = self.next_expired(wait, now) {
                match wait {
                    Wait::NextStatement => {
                        expired.idle += 1;
                        self.disconnect(id, ClientCommand::Drain);
                    }
                    Wait::ClientClose => {
                        self.close_one_half_closed();
                    }
                    Wait::FirstStatement | Wait::RestOfMessage => {
                        expired.timed_out += 1;
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

    /// Starts the wait for the client's close after our side was shut down.
    pub fn on_half_closed(&mut self, id: u32, now: Timestamp) {
        self.set_wait(id, Some((Wait::ClientClose, now)));
    }

    /// Starts the idle timeout at `since`. Ignored before the client's first statement.
    pub fn on_idle(&mut self, id: u32, since: Timestamp) {
        if !self.awaits_first_statement(id) {
            self.set_wait(id, Some((Wait::NextStatement, since)));
        }
    }

    /// Starts the message timeout at `since`. Ignored before the client's first statement.
    pub fn on_partial_message(&mut self, id: u32, since: Timestamp) {
        if !self.awaits_first_statement(id) {
            self.set_wait(id, Some((Wait::RestOfMessage, since)));
        }
    }

    fn awaits_first_statement(&self, id: u32) -> bool {
        let wait = self.open.get(&id).and_then(|client| client.wait);
        wait.is_some_and(|(wait, _)| wait == Wait::FirstStatement)
    }

    /// Ends the current wait of a client that has sent a statement. Returns whether the statement may be
    /// accepted.
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

    /// The open statements of the client.
    pub fn open_statements(&self, id: u32) -> Vec<u32> {
        let client = self.open.get(&id);
        client.map_or(Vec::new(), |client| client.open_statements.clone())
    }

    /// Removes a statement that has its final answer.
    pub fn remove_statement(&mut self, id: u32, statement: u32) {
        if let Some(client) = self.open.get_mut(&id) {
            client.open_statements.retain(|open| *open != statement);
        }
    }

    /// Records that the client has closed its sending side. Returns its open statements the first time only.
    pub fn on_input_ended(&mut self, id: u32) -> Vec<u32> {
        let client = self.open.get_mut(&id).filter(|client| !client.is_input_ended);
        let Some(client) = client else {
            return Vec::new();
        };
        client.is_input_ended = true;
        client.open_statements.clone()
    }

    /// Whether the client has closed its sending side.
    pub fn is_input_ended(&self, id: u32) -> bool {
        self.open.get(&id).is_some_and(|client| client.is_input_ended)
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

    /// Sends a command to the client's connection; ignored if the client is gone.
    pub fn send(&self, id: u32, command: ClientCommand) {
        if let Some(client) = self.open.get(&id) {
            client.handle.send(command);
        }
    }

    /// Whether the client has sent a statement, to this process or another one.
    pub fn is_active(&self, id: u32) -> bool {
        self.open.get(&id).is_some_and(|client| client.is_active)
    }

    /// Marks a client as active and idle that has sent statements to another process.
    pub fn mark_active(&mut self, id: u32, now: Timestamp) {
        if self.open.contains_key(&id) {
            self.set_active(id);
            self.set_wait(id, Some((Wait::NextStatement, now)));
        }
    }

    /// Ends a handover or drain for clients admitted from now on.
    pub fn resume_serving(&mut self) {
        self.mode = ServingMode::Serving;
    }

    /// Hands over each present and future client once it has no open statement. During a drain, future
    /// clients are disconnected instead.
    pub fn begin_handover(&mut self) {
        if self.mode != ServingMode::Draining {
            self.mode = ServingMode::HandingOver;
        }
        self.send_to_all(|| ClientCommand::HandOver);
    }

    /// Disconnects each present and future client once it has no open statement.
    pub fn begin_drain(&mut self) {
        self.mode = ServingMode::Draining;
        self.send_to_all(|| ClientCommand::Drain);
    }

    fn send_to_all(&self, command: impl Fn() -> ClientCommand) {
        for client in self.open.values() {
            client.handle.send(command());
        }
    }
}
