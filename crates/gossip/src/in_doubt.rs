//! Statements that must not run twice, and clients that repeat them at another driver.
//!
//! A driver that is asked to run a marked repeat of such a statement doesn't know whether another one has dispatched it. It asks
//! all others, and while they haven't answered the statement goes nowhere. NodeIdentity is asked and holds the statement gives it
//! away: it sends it no more, whatever its client thinks. So of two that ask each other neither sends. NodeIdentity doesn't
//! answer, began a short while ago, or has forgotten ids since, may have dispatched it: the statement is then told to be in
//! doubt at once, which is true, and never dispatched.

use asterlatch::time::{TimeSpan, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// What a driver knows of a statement's past with itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum DispatchStatus {
    /// It was never dispatched from there, and won't be.
    NotExecuted,
    /// It may have run since so long ago, first at this member.
    Dispatched { ago: TimeSpan, member: String },
    /// Nobody there can say.
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Dispatch {
    dispatched_at: Timestamp,
    member: String,
    /// How often it went out without proof that it didn't run.
    unproven: u32,
    /// Its position in the order: an older one of the same id says nothing of it.
    position: u64,
}

/// What one driver has dispatched, as far back as a client may repeat.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct DispatchLog {
    /// How long after its first sending a statement may be repeated.
    window: TimeSpan,
    capacity: usize,
    /// Nothing is known of what was before: a former incarnation may have dispatched it.
    unknown_until: Timestamp,
    dispatched: BTreeMap<u64, Dispatch>,
    /// Ids that another driver has asked about: it may run them by now.
    given_up: BTreeMap<u64, u64>,
    /// When, the position, and the id.
    order: VecDeque<(Timestamp, u64, u64)>,
    last_position: u64,
    /// When the newest was dispatched that had to be forgotten for want of room.
    forgotten: Option<Timestamp>,
}

impl DispatchLog {
    /// `follows` says whether another incarnation of this driver may have been before: not where nothing ever was.
    pub fn new(now: Timestamp, window: TimeSpan, capacity: usize, follows: bool) -> DispatchLog {
        DispatchLog {
            window,
            capacity: capacity.max(1),
            unknown_until: if follows { now + window } else { now },
            dispatched: BTreeMap::new(),
            given_up: BTreeMap::new(),
            order: VecDeque::new(),
            last_position: 0,
            forgotten: None,
        }
    }

    /// Another process of this driver was beside this one, and may have dispatched anything until now.
    pub fn forget_past(&mut self, now: Timestamp) {
        self.unknown_until = now + self.window;
    }

    pub fn len(&self) -> usize {
        self.order.len()
    }

    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// It goes out now, and may run from here on.
    pub fn on_dispatch(&mut self, now: Timestamp, id: u64, member: &str) {
        self.expire(now);
        if let Some(dispatch) = self.dispatched.get_mut(&id) {
            dispatch.unproven += 1;
            return;
        }
        let dispatch = Dispatch {
            dispatched_at: now,
            member: member.to_owned(),
            unproven: 1,
            position: self.next_position(now, id),
        };
        self.dispatched.insert(id, dispatch);
        self.make_room();
    }

    /// One time that it went out is proven to have left it untouched.
    pub fn on_not_executed(&mut self, id: u64) {
        let Some(dispatch) = self.dispatched.get_mut(&id) else {
            return;
        };
        dispatch.unproven = dispatch.unproven.saturating_sub(1);
        if dispatch.unproven == 0 {
            self.dispatched.remove(&id);
        }
    }

    /// Another driver may run it: it must not be dispatched from here.
    pub fn give_up(&mut self, now: Timestamp, id: u64) {
        self.expire(now);
        let position = self.next_position(now, id);
        self.given_up.insert(id, position);
        self.make_room();
    }

    /// Whether another driver asked about it, and it must not be dispatched from here.
    pub fn is_given_up(&self, id: u64) -> bool {
        self.given_up.contains_key(&id)
    }

    fn next_position(&mut self, now: Timestamp, id: u64) -> u64 {
        self.last_position += 1;
        self.order.push_back((now, self.last_position, id));
        self.last_position
    }

    fn expire(&mut self, now: Timestamp) {
        while let Some((_, position, id)) = self.order.pop_front_if(|(at, ..)| now - *at >= self.window) {
            self.remove_entry(position, id);
        }
    }

    /// Whether anything was known by that position. An id may have several: dispatched again after it was proven untouched, or
    /// asked about twice; only the last counts.
    fn remove_entry(&mut self, position: u64, id: u64) -> bool {
        let dispatched = self.dispatched.get(&id).is_some_and(|n| n.position == position);
        let given_up = self.given_up.get(&id) == Some(&position);
        if dispatched {
            self.dispatched.remove(&id);
        }
        if given_up {
            self.given_up.remove(&id);
        }
        dispatched || given_up
    }

    fn make_room(&mut self) {
        while self.order.len() > self.capacity {
            let Some((at, position, id)) = self.order.pop_front() else {
                return;
            };
            if self.remove_entry(position, id) {
                self.forgotten = self.forgotten.max(Some(at));
            }
        }
    }

    /// What is said of it to who asks.
    pub fn status(&mut self, now: Timestamp, id: u64) -> DispatchStatus {
        self.expire(now);
        if let Some(dispatch) = self.dispatched.get(&id) {
            return DispatchStatus::Dispatched {
                ago: now - dispatch.dispatched_at,
                member: dispatch.member.clone(),
            };
        }
        let forgotten = self.forgotten.is_some_and(|at| now - at < self.window);
        if now < self.unknown_until || forgotten {
            return DispatchStatus::Unknown;
        }
        DispatchStatus::NotExecuted
    }
}

/// What a statement may do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InquiryOutcome {
    /// Nobody has dispatched it or will: it is one like any other.
    NotExecuted,
    /// It may have run since so long ago, first at this member, as far as that is known: the first of several.
    MayHaveExecuted { ago: TimeSpan, member: Option<String> },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Inquiry {
    sequence: u32,
    awaiting: BTreeSet<usize>,
    until: Timestamp,
}

/// Statements that wait for the others' word.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Inquiries {
    open: BTreeMap<u64, Inquiry>,
    last_sequence: u32,
}

/// It may have run at any time: nothing later is harmless.
pub const UNBOUNDED_AGE: TimeSpan = TimeSpan(u64::MAX / 4);

impl Inquiries {
    pub fn len(&self) -> usize {
        self.open.len()
    }

    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Begins to ask about a statement; the sequence that answers must name. Where nobody is to be asked its verdict is there
    /// at once.
    pub fn ask(
        &mut self,
        now: Timestamp,
        id: u64,
        peers: &[usize],
        within: TimeSpan,
    ) -> Result<u32, InquiryOutcome> {
        if peers.is_empty() {
            return Err(InquiryOutcome::NotExecuted);
        }
        self.last_sequence += 1;
        let inquiry = Inquiry {
            sequence: self.last_sequence,
            awaiting: peers.iter().copied().collect(),
            until: now + within,
        };
        self.open.insert(id, inquiry);
        Ok(self.last_sequence)
    }

    /// A peer has answered; the verdict, once nothing more has to be waited for.
    pub fn on_reply(
        &mut self,
        id: u64,
        sequence: u32,
        peer: usize,
        known: &DispatchStatus,
    ) -> Option<InquiryOutcome> {
        let inquiry = self.open.get_mut(&id).filter(|i| i.sequence == sequence)?;
        if !inquiry.awaiting.remove(&peer) {
            return None;
        }
        let verdict = match known {
            // One is enough: nobody's word takes that back.
            DispatchStatus::Dispatched { ago, member } => InquiryOutcome::MayHaveExecuted {
                ago: *ago,
                member: Some(member.clone()),
            },
            DispatchStatus::Unknown => InquiryOutcome::MayHaveExecuted {
                ago: UNBOUNDED_AGE,
                member: None,
            },
            DispatchStatus::NotExecuted if inquiry.awaiting.is_empty() => InquiryOutcome::NotExecuted,
            DispatchStatus::NotExecuted => return None,
        };
        self.open.remove(&id);
        Some(verdict)
    }

    /// Its client has gone, or another driver asks: it is not to be dispatched from here.
    pub fn cancel(&mut self, id: u64) -> bool {
        self.open.remove(&id).is_some()
    }

    pub fn next_at(&self) -> Option<Timestamp> {
        self.open.values().map(|i| i.until).min()
    }

    /// Whom nobody's silence will tell more of: the peers that were silent may have dispatched it.
    pub fn take_timed_out(&mut self, now: Timestamp) -> Vec<(u64, InquiryOutcome)> {
        let over: Vec<u64> = self
            .open
            .iter()
            .filter(|(_, i)| i.until <= now)
            .map(|(id, _)| *id)
            .collect();
        let ends = over.into_iter().inspect(|id| drop(self.open.remove(id)));
        let silent = |id| {
            let (ago, member) = (UNBOUNDED_AGE, None);
            (id, InquiryOutcome::MayHaveExecuted { ago, member })
        };
        ends.map(silent).collect()
    }
}
