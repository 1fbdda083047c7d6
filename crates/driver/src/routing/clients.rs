//! Clients' connections, and how many of them there may be.

use crate::protocol::session::Say;
use crate::transport::stream::Line;
use asterlatch::time::Point;
use std::collections::{BTreeMap, BTreeSet};

struct Client {
    line: Line<Say>,
    stmt: Option<u32>,
    idle_since: Option<Point>,
    /// It was told that there is no room for it, so nothing it sends is taken.
    turned_away: bool,
}

pub struct Clients {
    open: BTreeMap<u32, Client>,
    idle: BTreeSet<(Point, u32)>,
    most: usize,
    leaving: bool,
}

/// What it took to find room for a client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Room {
    Free,
    /// The one that sat idle the longest was let go.
    Made,
    None,
}

impl Clients {
    pub fn new(most: usize) -> Clients {
        Clients {
            open: BTreeMap::new(),
            idle: BTreeSet::new(),
            most,
            leaving: false,
        }
    }

    pub fn bound(&mut self, most: usize) {
        self.most = most;
    }

    pub fn count(&self) -> usize {
        self.open.len()
    }

    /// Takes in a client that the kernel has accepted. Where all are busy beyond the bound it is turned away
    /// before it can send anything: that word could come for a statement that runs already.
    pub fn arrive(&mut self, now: Point, id: u32, line: Line<Say>) -> Room {
        if self.leaving {
            line.tell(Say::Leave);
        }
        let room = if self.open.len() < self.most {
            Room::Free
        } else if self.free_one() {
            Room::Made
        } else {
            line.tell(Say::TurnAway);
            Room::None
        };
        let client = Client {
            line,
            stmt: None,
            idle_since: Some(now),
            turned_away: room == Room::None,
        };
        self.open.insert(id, client);
        self.idle.insert((now, id));
        room
    }

    /// Lets the one go that has sat idle the longest.
    pub fn free_one(&mut self) -> bool {
        let Some((_, id)) = self.idle.pop_first() else {
            return false;
        };
        if let Some(client) = self.open.get_mut(&id) {
            client.idle_since = None;
            client.line.tell(Say::Leave);
        }
        true
    }

    pub fn rests(&mut self, id: u32, since: Point) {
        self.occupy(id);
        if let Some(client) = self.open.get_mut(&id) {
            client.idle_since = Some(since);
            self.idle.insert((since, id));
        }
    }

    /// It no longer sits idle.
    fn occupy(&mut self, id: u32) {
        let since = self.open.get_mut(&id).and_then(|c| c.idle_since.take());
        if let Some(since) = since {
            self.idle.remove(&(since, id));
        }
    }

    /// It has sent a statement; whether that may be taken.
    pub fn asks(&mut self, id: u32) -> bool {
        self.occupy(id);
        self.open.get(&id).is_some_and(|c| !c.turned_away)
    }

    pub fn waits_for(&mut self, id: u32, stmt: Option<u32>) {
        if let Some(client) = self.open.get_mut(&id) {
            client.stmt = stmt;
        }
    }

    /// Its connection is over; says which statement it waited for.
    pub fn gone(&mut self, id: u32) -> Option<u32> {
        self.occupy(id);
        self.open.remove(&id)?.stmt
    }

    pub fn say(&self, id: u32, say: Say) {
        if let Some(client) = self.open.get(&id) {
            client.line.tell(say);
        }
    }

    /// Lets each go between two statements, those to come included.
    pub fn send_away(&mut self) {
        self.leaving = true;
        self.open.values().for_each(|c| c.line.tell(Say::Leave));
    }
}
