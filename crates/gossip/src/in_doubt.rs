//! Statements that must not run twice, and clients that repeat them at another driver.
//!
//! A driver that is asked to run a marked repeat of such a statement doesn't know whether another one has sent it. It asks
//! all others, and while they haven't answered the statement goes nowhere. Who is asked and holds the statement gives it
//! away: it sends it no more, whatever its client thinks. So of two that ask each other neither sends. Who doesn't
//! answer, began a short while ago, or has forgotten ids since, may have sent it: the statement is then told to be in
//! doubt at once, which is true, and never sent.

use asterlatch::time::{TimeSpan, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// What a driver knows of a statement's past with itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Known {
    /// It was never sent from there, and won't be.
    Untouched,
    /// It may have run since so long ago, first at this member.
    Sent { ago: TimeSpan, member: String },
    /// Nobody there can say.
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Note {
    sent: Timestamp,
    member: String,
    /// How often it went out without proof that it didn't run.
    unproven: u32,
    /// Its place in the order: an older one of the same id says nothing of it.
    place: u64,
}

/// What one driver has sent, as far back as a client may repeat.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Log {
    /// How long after its first sending a statement may be repeated.
    window: TimeSpan,
    most: usize,
    /// Nothing is known of what was before: a former life may have sent it.
    blank_until: Timestamp,
    sent: BTreeMap<u64, Note>,
    /// Ids that another driver has asked about: it may run them by now.
    given: BTreeMap<u64, u64>,
    /// When, the place, and the id.
    order: VecDeque<(Timestamp, u64, u64)>,
    places: u64,
    /// When the newest was sent that had to be forgotten for want of room.
    forgotten: Option<Timestamp>,
}

impl Log {
    /// `follows` says whether another life of this driver may have been before: not where nothing ever was.
    pub fn new(now: Timestamp, window: TimeSpan, most: usize, follows: bool) -> Log {
        Log {
            window,
            most: most.max(1),
            blank_until: if follows { now + window } else { now },
            sent: BTreeMap::new(),
            given: BTreeMap::new(),
            order: VecDeque::new(),
            places: 0,
            forgotten: None,
        }
    }

    /// Another process of this driver was beside this one, and may have sent anything until now.
    pub fn blank(&mut self, now: Timestamp) {
        self.blank_until = now + self.window;
    }

    pub fn len(&self) -> usize {
        self.order.len()
    }

    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// It goes out now, and may run from here on.
    pub fn sends(&mut self, now: Timestamp, id: u64, member: &str) {
        self.age(now);
        if let Some(note) = self.sent.get_mut(&id) {
            note.unproven += 1;
            return;
        }
        let note = Note {
            sent: now,
            member: member.to_owned(),
            unproven: 1,
            place: self.place(now, id),
        };
        self.sent.insert(id, note);
        self.make_room();
    }

    /// One time that it went out is proven to have left it untouched.
    pub fn untouched(&mut self, id: u64) {
        let Some(note) = self.sent.get_mut(&id) else {
            return;
        };
        note.unproven = note.unproven.saturating_sub(1);
        if note.unproven == 0 {
            self.sent.remove(&id);
        }
    }

    /// Another driver may run it: it must not be sent from here.
    pub fn give_away(&mut self, now: Timestamp, id: u64) {
        self.age(now);
        let place = self.place(now, id);
        self.given.insert(id, place);
        self.make_room();
    }

    /// Whether another driver asked about it, and it must not be sent from here.
    pub fn is_given(&self, id: u64) -> bool {
        self.given.contains_key(&id)
    }

    fn place(&mut self, now: Timestamp, id: u64) -> u64 {
        self.places += 1;
        self.order.push_back((now, self.places, id));
        self.places
    }

    fn age(&mut self, now: Timestamp) {
        while let Some((_, place, id)) = self.order.pop_front_if(|(at, ..)| now - *at >= self.window) {
            self.drop_one(place, id);
        }
    }

    /// Whether anything was known by that place. An id may have several: sent again after it was proven untouched, or
    /// asked about twice; only the last counts.
    fn drop_one(&mut self, place: u64, id: u64) -> bool {
        let sent = self.sent.get(&id).is_some_and(|n| n.place == place);
        let given = self.given.get(&id) == Some(&place);
        if sent {
            self.sent.remove(&id);
        }
        if given {
            self.given.remove(&id);
        }
        sent || given
    }

    fn make_room(&mut self) {
        while self.order.len() > self.most {
            let Some((at, place, id)) = self.order.pop_front() else {
                return;
            };
            if self.drop_one(place, id) {
                self.forgotten = self.forgotten.max(Some(at));
            }
        }
    }

    /// What is said of it to who asks.
    pub fn known(&mut self, now: Timestamp, id: u64) -> Known {
        self.age(now);
        if let Some(note) = self.sent.get(&id) {
            return Known::Sent {
                ago: now - note.sent,
                member: note.member.clone(),
            };
        }
        let forgotten = self.forgotten.is_some_and(|at| now - at < self.window);
        if now < self.blank_until || forgotten {
            return Known::Unknown;
        }
        Known::Untouched
    }
}

/// What a statement may do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nobody has sent it or will: it is one like any other.
    Untouched,
    /// It may have run since so long ago, first at this member, as far as that is known: the first of several.
    Sent { ago: TimeSpan, member: Option<String> },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Inquiry {
    turn: u32,
    waits: BTreeSet<usize>,
    until: Timestamp,
}

/// Statements that wait for the others' word.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Inquiries {
    open: BTreeMap<u64, Inquiry>,
    turns: u32,
}

/// It may have run at any time: nothing later is harmless.
pub const FOREVER: TimeSpan = TimeSpan(u64::MAX / 4);

impl Inquiries {
    pub fn len(&self) -> usize {
        self.open.len()
    }

    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Begins to ask about a statement; the turn that answers must name. Where nobody is to be asked its verdict is there
    /// at once.
    pub fn ask(
        &mut self,
        now: Timestamp,
        id: u64,
        peers: &[usize],
        within: TimeSpan,
    ) -> Result<u32, Verdict> {
        if peers.is_empty() {
            return Err(Verdict::Untouched);
        }
        self.turns += 1;
        let inquiry = Inquiry {
            turn: self.turns,
            waits: peers.iter().copied().collect(),
            until: now + within,
        };
        self.open.insert(id, inquiry);
        Ok(self.turns)
    }

    /// A peer has answered; the verdict, once nothing more has to be waited for.
    pub fn answered(&mut self, id: u64, turn: u32, peer: usize, known: &Known) -> Option<Verdict> {
        let inquiry = self.open.get_mut(&id).filter(|i| i.turn == turn)?;
        if !inquiry.waits.remove(&peer) {
            return None;
        }
        let verdict = match known {
            // One is enough: nobody's word takes that back.
            Known::Sent { ago, member } => Verdict::Sent {
                ago: *ago,
                member: Some(member.clone()),
            },
            Known::Unknown => Verdict::Sent {
                ago: FOREVER,
                member: None,
            },
            Known::Untouched if inquiry.waits.is_empty() => Verdict::Untouched,
            Known::Untouched => return None,
        };
        self.open.remove(&id);
        Some(verdict)
    }

    /// Its client has gone, or another driver asks: it is not to be sent from here.
    pub fn end(&mut self, id: u64) -> bool {
        self.open.remove(&id).is_some()
    }

    pub fn next_at(&self) -> Option<Timestamp> {
        self.open.values().map(|i| i.until).min()
    }

    /// Whom nobody's silence will tell more of: the peers that were silent may have sent it.
    pub fn due(&mut self, now: Timestamp) -> Vec<(u64, Verdict)> {
        let over: Vec<u64> = self
            .open
            .iter()
            .filter(|(_, i)| i.until <= now)
            .map(|(id, _)| *id)
            .collect();
        let ends = over.into_iter().inspect(|id| drop(self.open.remove(id)));
        let silent = |id| {
            let (ago, member) = (FOREVER, None);
            (id, Verdict::Sent { ago, member })
        };
        ends.map(silent).collect()
    }
}
