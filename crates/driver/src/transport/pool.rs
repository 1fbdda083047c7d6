//! Connections to members, held by the event loop. One carries one statement at a time; among idle ones the most
//! recently used goes first, so that those beyond the need grow old and are closed.

use super::stream::Line;
use asterlatch::time::{TimeSpan, Timestamp};
use std::collections::BTreeMap;
use std::net::SocketAddr;

struct Held<C> {
    line: Line<C>,
    member: u32,
    address: SocketAddr,
    idle_since: Option<Timestamp>,
}

pub struct Pool<C> {
    held: BTreeMap<u32, Held<C>>,
    /// Idle ones by member, the most recently used last.
    idle: BTreeMap<u32, Vec<u32>>,
    next: u32,
}

impl<C> Default for Pool<C> {
    fn default() -> Self {
        Pool {
            held: BTreeMap::new(),
            idle: BTreeMap::new(),
            next: 0,
        }
    }
}

impl<C> Pool<C> {
    pub fn next_id(&mut self) -> u32 {
        self.next = self.next.wrapping_add(1);
        self.next
    }

    pub fn add(&mut self, id: u32, member: u32, address: SocketAddr, line: Line<C>) {
        let idle_since = None;
        let held = Held {
            line,
            member,
            address,
            idle_since,
        };
        self.held.insert(id, held);
    }

    /// Takes an idle connection to the member at this address that has rested since then at the earliest, and says
    /// since when.
    pub fn take(
        &mut self,
        member: u32,
        address: SocketAddr,
        earliest: Timestamp,
    ) -> Option<(u32, Timestamp)> {
        let idle = self.idle.get_mut(&member)?;
        while let Some(id) = idle.pop() {
            let held = self.held.get_mut(&id).filter(|h| h.address == address);
            let since = held.and_then(|h| h.idle_since.take());
            if let Some(since) = since.filter(|since| *since >= earliest) {
                return Some((id, since));
            }
            self.held.remove(&id);
        }
        self.idle.remove(&member);
        None
    }

    /// Lets the idle connections to a member go.
    pub fn let_go(&mut self, member: u32) {
        for id in self.idle.remove(&member).into_iter().flatten() {
            self.held.remove(&id);
        }
    }

    /// Takes all idle connections out of use, which stay held until their end is told.
    pub fn retire_idle(&mut self) -> Vec<u32> {
        let idle = std::mem::take(&mut self.idle);
        idle.into_values().flatten().collect()
    }

    /// The member that a connection stands to.
    pub fn member(&self, id: u32) -> Option<u32> {
        Some(self.held.get(&id)?.member)
    }

    /// Whether any connection stands to a member.
    pub fn stands(&self, member: u32) -> bool {
        self.idle.contains_key(&member) || self.held.values().any(|h| h.member == member)
    }

    /// Members with an idle connection.
    pub fn idle_members(&self) -> usize {
        self.idle.len()
    }

    pub fn give_back(&mut self, id: u32, now: Timestamp) {
        if let Some(held) = self.held.get_mut(&id) {
            held.idle_since = Some(now);
            self.idle.entry(held.member).or_default().push(id);
        }
    }

    pub fn tell(&self, id: u32, command: C) {
        if let Some(held) = self.held.get(&id) {
            held.line.tell(command);
        }
    }

    /// Lets the connection go; its coroutine ends when nobody holds the line.
    pub fn remove(&mut self, id: u32) {
        if let Some(held) = self.held.remove(&id) {
            let Some(idle) = self.idle.get_mut(&held.member) else {
                return;
            };
            idle.retain(|i| *i != id);
            if idle.is_empty() {
                self.idle.remove(&held.member);
            }
        }
    }

    pub fn count(&self) -> usize {
        self.held.len()
    }

    /// The connection that has sat idle the longest, and since when.
    pub fn oldest_idle(&self) -> Option<(Timestamp, u32)> {
        let firsts = self.idle.values().filter_map(|ids| ids.first());
        let since = |id: &u32| Some((self.held.get(id)?.idle_since?, *id));
        firsts.filter_map(since).min()
    }

    pub fn end_idle_before(&mut self, now: Timestamp, most: TimeSpan) {
        while let Some((_, id)) = self.oldest_idle().filter(|(since, _)| now - *since >= most) {
            self.remove(id);
        }
    }
}
