//! Pool of connections to members. A connection carries one statement at a time. The most recently used idle
//! connection is reused first, so that surplus connections reach the idle timeout and are closed.

use super::connection::ConnectionHandle;
use asterlatch::time::{TimeSpan, Timestamp};
use std::collections::BTreeMap;
use std::net::SocketAddr;

struct PooledConnection<C> {
    handle: ConnectionHandle<C>,
    member: u32,
    address: SocketAddr,
    idle_since: Option<Timestamp>,
}

/// An idle connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct IdleConnection {
    /// Start of the idle time.
    pub since: Timestamp,
    /// Id of the connection in the pool.
    pub id: u32,
}

/// All open connections to members, by id. Dropping an entry closes the connection.
pub struct ConnectionPool<C> {
    connections: BTreeMap<u32, PooledConnection<C>>,
    /// Ids of idle connections by member, the most recently used last.
    idle: BTreeMap<u32, Vec<u32>>,
    last_id: u32,
}

impl<C> Default for ConnectionPool<C> {
    fn default() -> Self {
        ConnectionPool {
            connections: BTreeMap::new(),
            idle: BTreeMap::new(),
            last_id: 0,
        }
    }
}

impl<C> ConnectionPool<C> {
    /// Allocates an id for a new connection.
    pub fn next_id(&mut self) -> u32 {
        self.last_id = self.last_id.wrapping_add(1);
        self.last_id
    }

    /// Adds a busy connection.
    pub fn add(&mut self, id: u32, member: u32, address: SocketAddr, handle: ConnectionHandle<C>) {
        let connection = PooledConnection {
            handle,
            member,
            address,
            idle_since: None,
        };
        self.connections.insert(id, connection);
    }

    /// Takes a connection to the member at this address that has been idle since `earliest` or later. Closes
    /// those found that are idle for longer or lead to a previous address of the member.
    pub fn take_idle(
        &mut self,
        member: u32,
        address: SocketAddr,
        earliest: Timestamp,
    ) -> Option<IdleConnection> {
        let idle = self.idle.get_mut(&member)?;
        while let Some(id) = idle.pop() {
            let connection = self.connections.get_mut(&id).filter(|c| c.address == address);
            let since = connection.and_then(|c| c.idle_since.take());
            if let Some(since) = since.filter(|since| *since >= earliest) {
                return Some(IdleConnection { since, id });
            }
            self.connections.remove(&id);
        }
        self.idle.remove(&member);
        None
    }

    /// Closes all idle connections to a member.
    pub fn close_idle(&mut self, member: u32) {
        for id in self.idle.remove(&member).into_iter().flatten() {
            self.connections.remove(&id);
        }
    }

    /// Makes all idle connections unavailable for reuse and returns their ids. They stay open until removed.
    pub fn retire_idle(&mut self) -> Vec<u32> {
        let idle = std::mem::take(&mut self.idle);
        idle.into_values().flatten().collect()
    }

    /// The member that a connection leads to; `None` if the connection is closed.
    pub fn member(&self, id: u32) -> Option<u32> {
        Some(self.connections.get(&id)?.member)
    }

    /// Whether any connection to the member is open, busy or idle.
    pub fn has_connection(&self, member: u32) -> bool {
        self.idle.contains_key(&member) || self.connections.values().any(|c| c.member == member)
    }

    /// Number of members with an idle connection.
    pub fn idle_member_count(&self) -> usize {
        self.idle.len()
    }

    /// Returns a busy connection to the pool as idle.
    pub fn release(&mut self, id: u32, now: Timestamp) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.idle_since = Some(now);
            self.idle.entry(connection.member).or_default().push(id);
        }
    }

    /// Sends a command to a connection; ignored if the connection is closed.
    pub fn send(&self, id: u32, command: C) {
        if let Some(connection) = self.connections.get(&id) {
            connection.handle.send(command);
        }
    }

    /// Closes a connection by dropping its handle, which ends its coroutine.
    pub fn remove(&mut self, id: u32) {
        let Some(connection) = self.connections.remove(&id) else {
            return;
        };
        let Some(idle) = self.idle.get_mut(&connection.member) else {
            return;
        };
        idle.retain(|other| *other != id);
        if idle.is_empty() {
            self.idle.remove(&connection.member);
        }
    }

    /// Number of open connections, busy and idle.
    pub fn count(&self) -> usize {
        self.connections.len()
    }

    /// The connection that has been idle for the longest time.
    pub fn oldest_idle(&self) -> Option<IdleConnection> {
        let oldest_by_member = self.idle.values().filter_map(|ids| ids.first());
        let idle_connection = |id: &u32| {
            let since = self.connections.get(id)?.idle_since?;
            Some(IdleConnection { since, id: *id })
        };
        oldest_by_member.filter_map(idle_connection).min()
    }

    /// Closes all connections that have been idle for `idle_timeout` or longer.
    pub fn close_idle_since(&mut self, now: Timestamp, idle_timeout: TimeSpan) {
        while let Some(oldest) = self.oldest_idle().filter(|o| now - o.since >= idle_timeout) {
            self.remove(oldest.id);
        }
    }
}
