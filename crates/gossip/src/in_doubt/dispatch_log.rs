//! Which statements one driver has dispatched or given up, as far back as clients may retry them.

use super::DispatchStatus;
use asterlatch::time::{TimeSpan, Timestamp};
use std::collections::{BTreeMap, VecDeque};

/// Position in the log. An id may occur at several; only its latest one counts.
type Position = u64;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Dispatch {
    dispatched_at: Timestamp,
    member: String,
    /// Executions that aren't proven not to have happened.
    unproven: u32,
    position: Position,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct LogEntry {
    added_at: Timestamp,
    position: Position,
    id: u64,
}

/// One driver's dispatches of statements that must not be executed twice, by deduplication id.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct DispatchLog {
    /// How long after its first dispatch a client may retry a statement.
    window: TimeSpan,
    capacity: usize,
    /// Until then an earlier process of this driver may have dispatched any id that isn't in the log.
    unknown_until: Timestamp,
    dispatched: BTreeMap<u64, Dispatch>,
    /// Ids that a peer has inquired about: that peer may dispatch them.
    given_up: BTreeMap<u64, Position>,
    /// Oldest first.
    order: VecDeque<LogEntry>,
    last_position: Position,
    /// When the newest entry was added that had to be dropped for lack of capacity.
    newest_dropped: Option<Timestamp>,
}

impl DispatchLog {
    /// A log of at most `capacity` entries that are kept for `window`. `has_predecessor` is whether an earlier process
    /// of this driver may have dispatched statements.
    pub fn new(now: Timestamp, window: TimeSpan, capacity: usize, has_predecessor: bool) -> DispatchLog {
        let unknown_until = match has_predecessor {
            true => now + window,
            false => now,
        };
        DispatchLog {
            window,
            capacity: capacity.max(1),
            unknown_until,
            dispatched: BTreeMap::new(),
            given_up: BTreeMap::new(),
            order: VecDeque::new(),
            last_position: 0,
            newest_dropped: None,
        }
    }

    /// Another process of this driver was running and may have dispatched anything until now.
    pub fn mark_incomplete(&mut self, now: Timestamp) {
        self.unknown_until = now + self.window;
    }

    /// The number of entries, of which some may be outdated.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Notes an execution that is dispatched now.
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
            position: self.append(now, id),
        };
        self.dispatched.insert(id, dispatch);
        self.enforce_capacity();
    }

    /// One execution of the statement is proven not to have happened.
    pub fn on_not_executed(&mut self, id: u64) {
        let Some(dispatch) = self.dispatched.get_mut(&id) else {
            return;
        };
        dispatch.unproven = dispatch.unproven.saturating_sub(1);
        if dispatch.unproven == 0 {
            self.dispatched.remove(&id);
        }
    }

    /// A peer was promised that this driver won't dispatch the statement.
    pub fn cede(&mut self, now: Timestamp, id: u64) {
        self.expire(now);
        let position = self.append(now, id);
        self.given_up.insert(id, position);
        self.enforce_capacity();
    }

    /// Whether the statement must not be dispatched by this driver.
    pub fn is_ceded(&self, id: u64) -> bool {
        self.given_up.contains_key(&id)
    }

    /// What this driver answers to an inquiry.
    pub fn status(&mut self, now: Timestamp, id: u64) -> DispatchStatus {
        self.expire(now);
        if let Some(dispatch) = self.dispatched.get(&id) {
            return DispatchStatus::Dispatched {
                age: now - dispatch.dispatched_at,
                member: dispatch.member.clone(),
            };
        }
        let has_dropped = self.newest_dropped.is_some_and(|at| now - at < self.window);
        if now < self.unknown_until || has_dropped {
            return DispatchStatus::Unknown;
        }
        DispatchStatus::NotExecuted
    }

    fn append(&mut self, now: Timestamp, id: u64) -> Position {
        self.last_position += 1;
        self.order.push_back(LogEntry {
            added_at: now,
            position: self.last_position,
            id,
        });
        self.last_position
    }

    fn expire(&mut self, now: Timestamp) {
        let window = self.window;
        while let Some(entry) = self.order.pop_front_if(|entry| now - entry.added_at >= window) {
            self.forget(&entry);
        }
    }

    fn enforce_capacity(&mut self) {
        while self.order.len() > self.capacity {
            let Some(entry) = self.order.pop_front() else {
                return;
            };
            if self.forget(&entry) {
                self.newest_dropped = self.newest_dropped.max(Some(entry.added_at));
            }
        }
    }

    /// Forgets what is known by this entry; returns whether it was the latest of its id.
    fn forget(&mut self, entry: &LogEntry) -> bool {
        let dispatch = self.dispatched.get(&entry.id);
        let is_dispatch = dispatch.is_some_and(|dispatch| dispatch.position == entry.position);
        let is_given_up = self.given_up.get(&entry.id) == Some(&entry.position);
        if is_dispatch {
            self.dispatched.remove(&entry.id);
        }
        if is_given_up {
            self.given_up.remove(&entry.id);
        }
        is_dispatch || is_given_up
    }
}
