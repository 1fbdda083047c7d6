//! Clients' connections: how many of them there may be, and how long each may take.

use super::limits::Limits;
use crate::protocol::session::ClientCommand;
use crate::transport::stream::Line;
use asterlatch::time::{TimeSpan, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// What a client without an open statement is at.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Pause {
    /// It has asked for nothing yet.
    Arriving,
    /// Part of a message has come.
    Writing,
    Resting,
    /// It was sent off, and may still read and send: what it sends is dropped.
    HalfClosed,
}
const PAUSES: [Pause; 4] = [Pause::Arriving, Pause::Writing, Pause::Resting, Pause::HalfClosed];

/// For its way and the client's own end.
const HALF_CLOSED: TimeSpan = TimeSpan::millis(300);
/// Who is in the middle of a message when the process leaves has this long to end it.
const LAST_MESSAGE: TimeSpan = TimeSpan::millis(500);

struct Client {
    line: Line<ClientCommand>,
    /// Its open statements.
    stmts: Vec<u32>,
    pause: Option<(Pause, Timestamp)>,
    has_asked: bool,
    /// It was told that there is no room for it, so nothing it sends is taken.
    turned_away: bool,
}

pub struct Clients {
    open: BTreeMap<u32, Client>,
    /// Those in each kind of pause, by its start.
    pauses: [BTreeSet<(Timestamp, u32)>; PAUSES.len()],
    /// How many of all have asked for something.
    asked: usize,
    most: usize,
    /// Each takes two descriptors while another process holds it as well.
    is_shared: bool,
    limits: Limits,
    leaving: bool,
    /// Whoever is between two statements goes to another process.
    moving: bool,
}

/// What it took to find room for a client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    Admitted,
    /// Another one was let go.
    AdmittedByEviction,
    Rejected,
}

impl Clients {
    pub fn new(most: usize, limits: Limits) -> Clients {
        Clients {
            open: BTreeMap::new(),
            pauses: Default::default(),
            asked: 0,
            most,
            is_shared: false,
            limits,
            leaving: false,
            moving: false,
        }
    }

    /// From now on; who is here stays, but for pauses that are too long by then.
    pub fn bound(&mut self, most: usize, limits: Limits) {
        (self.most, self.limits) = (most, limits);
    }

    pub fn share(&mut self, is_shared: bool) {
        self.is_shared = is_shared;
    }

    pub fn count(&self) -> usize {
        self.open.len()
    }

    /// Takes in a client that the kernel has accepted. Where all are busy beyond the bound it is turned away
    /// before it can send anything: that word could come for a statement that runs already.
    pub fn arrive(&mut self, now: Timestamp, id: u32, line: Line<ClientCommand>) -> Admission {
        if self.leaving {
            line.tell(ClientCommand::Drain);
        } else if self.moving {
            line.tell(ClientCommand::HandOver);
        }
        let most = if self.is_shared {
            self.most.div_ceil(2)
        } else {
            self.most
        };
        let room = if self.open.len() < most {
            Admission::Admitted
        } else if self.free_one(now) {
            Admission::AdmittedByEviction
        } else {
            line.tell(ClientCommand::Reject);
            Admission::Rejected
        };
        let client = Client {
            line,
            stmts: Vec::new(),
            pause: None,
            has_asked: false,
            turned_away: room == Admission::Rejected,
        };
        self.open.insert(id, client);
        self.set(id, Some((Pause::Arriving, now)));
        room
    }

    fn set(&mut self, id: u32, pause: Option<(Pause, Timestamp)>) {
        let Some(client) = self.open.get_mut(&id) else {
            return;
        };
        if let Some((before, since)) = std::mem::replace(&mut client.pause, pause) {
            self.pauses[before as usize].remove(&(since, id));
        }
        if let Some((pause, since)) = pause {
            self.pauses[pause as usize].insert((since, id));
        }
    }

    fn first(&self, pause: Pause) -> Option<(Timestamp, u32)> {
        self.pauses[pause as usize].first().copied()
    }

    /// Lets one go for the sake of another: first who was sent off already; then who came long ago and asked for nothing,
    /// or who came with so many others that they would push out all that have asked; then who has rested the longest.
    pub fn free_one(&mut self, now: Timestamp) -> bool {
        if self.end_one_half_closed() {
            return true;
        }
        let arriving = self.first(Pause::Arriving);
        let many = self.pauses[Pause::Arriving as usize].len() > self.most / 2;
        let silent = arriving.filter(|(since, _)| many || now - *since > self.limits.just_came);
        let Some((_, id)) = silent.or(self.first(Pause::Resting)).or(arriving) else {
            return false;
        };
        self.tell_off(id, ClientCommand::Drain);
        true
    }

    /// Ends the connection that was shut first, whatever its client may still send; whether there was one.
    fn end_one_half_closed(&mut self) -> bool {
        let first = self.first(Pause::HalfClosed);
        if let Some((_, id)) = first {
            self.set(id, None);
            self.open.get_mut(&id).into_iter().for_each(|c| c.line.hang_up());
        }
        first.is_some()
    }

    /// Our side of its connection is shut since now.
    pub fn half_closed(&mut self, id: u32, now: Timestamp) {
        self.set(id, Some((Pause::HalfClosed, now)));
    }

    fn tell_off(&mut self, id: u32, say: ClientCommand) {
        self.set(id, None);
        self.say(id, say);
    }

    fn limit(&self, pause: Pause) -> TimeSpan {
        match pause {
            Pause::Arriving => self.limits.first_statement,
            Pause::Writing if self.leaving => self.limits.message.min(LAST_MESSAGE),
            Pause::Writing => self.limits.message,
            Pause::HalfClosed => HALF_CLOSED,
            Pause::Resting => {
                let part = self.asked as f64 / self.most as f64;
                let found = self
                    .limits
                    .rest_among
                    .iter()
                    .find(|(from, _)| part >= from.ratio());
                found.map_or(self.limits.rest, |(_, limit)| *limit)
            }
        }
    }

    pub fn next_at(&self) -> Option<Timestamp> {
        let end = |pause| Some(self.first(pause)?.0 + self.limit(pause));
        PAUSES.into_iter().filter_map(end).min()
    }

    /// Lets those go whose pause has lasted too long; how many were too slow, and how many had only rested.
    pub fn end_pauses(&mut self, now: Timestamp) -> (u64, u64) {
        let (mut slow, mut rested) = (0, 0);
        for pause in PAUSES {
            let over = |c: &Clients| c.first(pause).filter(|(since, _)| now - *since >= c.limit(pause));
            while let Some((_, id)) = over(self) {
                match pause {
                    Pause::Resting => {
                        rested += 1;
                        self.tell_off(id, ClientCommand::Drain);
                    }
                    Pause::HalfClosed => drop(self.end_one_half_closed()),
                    Pause::Arriving | Pause::Writing => {
                        slow += 1;
                        self.tell_off(id, ClientCommand::TimeOut);
                    }
                }
            }
        }
        (slow, rested)
    }

    /// It waits for nothing since then; one that has asked for nothing yet is no further by that.
    pub fn rests(&mut self, id: u32, since: Timestamp) {
        if !self.is(id, Pause::Arriving) {
            self.set(id, Some((Pause::Resting, since)));
        }
    }

    /// Part of a message came then.
    pub fn writes(&mut self, id: u32, since: Timestamp) {
        if !self.is(id, Pause::Arriving) {
            self.set(id, Some((Pause::Writing, since)));
        }
    }

    fn is(&self, id: u32, pause: Pause) -> bool {
        let found = self.open.get(&id).and_then(|c| c.pause);
        found.is_some_and(|(p, _)| p == pause)
    }

    /// It has sent a statement; whether that may be taken.
    pub fn asks(&mut self, id: u32) -> bool {
        self.set(id, None);
        let Some(client) = self.open.get_mut(&id) else {
            return false;
        };
        self.asked += usize::from(!std::mem::replace(&mut client.has_asked, true));
        !client.turned_away
    }

    pub fn waits_for(&mut self, id: u32, stmt: u32) {
        if let Some(client) = self.open.get_mut(&id) {
            client.stmts.push(stmt);
        }
    }

    pub fn has_answer(&mut self, id: u32, stmt: u32) {
        if let Some(client) = self.open.get_mut(&id) {
            client.stmts.retain(|s| *s != stmt);
        }
    }

    /// Its connection is over; says which statements it waited for.
    pub fn gone(&mut self, id: u32) -> Vec<u32> {
        self.set(id, None);
        let Some(client) = self.open.remove(&id) else {
            return Vec::new();
        };
        self.asked -= usize::from(client.has_asked);
        client.stmts
    }

    pub fn say(&self, id: u32, say: ClientCommand) {
        if let Some(client) = self.open.get(&id) {
            client.line.tell(say);
        }
    }

    /// Those to come may stay; who was told to go goes.
    pub fn stay(&mut self) {
        (self.leaving, self.moving) = (false, false);
    }

    /// Has each go to another process between two statements, those to come included.
    pub fn hand_over(&mut self) {
        self.moving = true;
        self.open
            .values()
            .for_each(|c| c.line.tell(ClientCommand::HandOver));
    }

    pub fn has_asked(&self, id: u32) -> bool {
        self.open.get(&id).is_some_and(|c| c.has_asked)
    }

    /// One that came from another process has asked there.
    pub fn asked_before(&mut self, id: u32, now: Timestamp) {
        if let Some(client) = self.open.get_mut(&id) {
            self.asked += usize::from(!std::mem::replace(&mut client.has_asked, true));
            self.set(id, Some((Pause::Resting, now)));
        }
    }

    /// Lets each go between two statements, those to come included.
    pub fn send_away(&mut self) {
        self.leaving = true;
        self.open.values().for_each(|c| c.line.tell(ClientCommand::Drain));
    }
}
