//! Statements that one driver has dispatched or ceded within the time in which clients may retry them.

use super::DispatchStatus;
use asterlatch::time::{TimeSpan, Timestamp};
use std::collections::{BTreeMap, VecDeque};

/// Position of an entry in the log. Of several entries with one id the latest counts.
type Position = u64;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Dispatch {
    dispatched_at: Timestamp,
    member: String,
    /// Number of dispatched executions that aren't known not to have happened.
    possible_executions: u32,
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
    /// Time after the first dispatch in which a client may retry a statement.
    window: TimeSpan,
    capacity: usize,
    /// Another process of this driver may have dispatched any id before then that isn't in the log.
    incomplete_before: Option<Timestamp>,
    dispatched: BTreeMap<u64, Dispatch>,
    /// Ids that a peer has inquired about and may dispatch.
    ceded: BTreeMap<u64, Position>,
    /// Entries in order of addition.
    order: VecDeque<LogEntry>,
    last_position: Position,
    /// Addition time of the newest entry dropped for lack of capacity.
    last_dropped_added_at: Option<Timestamp>,
}

impl DispatchLog {
    /// Creates a log of at most `capacity` entries, which expire after `window`. `has_predecessor` tells
    /// whether an earlier process of this driver may have dispatched statements.
    pub fn new(now: Timestamp, window: TimeSpan, capacity: usize, has_predecessor: bool) -> DispatchLog {
        DispatchLog {
            window,
            capacity: capacity.max(1),
            incomplete_before: has_predecessor.then_some(now),
            dispatched: BTreeMap::new(),
            ceded: BTreeMap::new(),
            order: VecDeque::new(),
            last_position: 0,
            last_dropped_added_at: None,
        }
    }

    /// Changes the window and the capacity. Entries that have expired or were dropped don't come back.
    pub fn set_bounds(&mut self, window: TimeSpan, capacity: usize) {
        self.window = window;
        self.capacity = capacity.max(1);
        self.enforce_capacity();
    }

    /// Records a dispatch that another process of this driver made at `dispatched_at`.
    pub fn on_dispatch_elsewhere(&mut self, now: Timestamp, id: u64, member: &str, dispatched_at: Timestamp) {
        self.on_dispatch(now, id, member);
        if let Some(dispatch) = self.dispatched.get_mut(&id) {
            dispatch.dispatched_at = dispatch.dispatched_at.min(dispatched_at);
        }
    }

    /// The statements that may have been executed, with the member and the time of the first dispatch, oldest
    /// first.
    pub fn dispatches(&self) -> impl Iterator<Item = (u64, &str, Timestamp)> {
        self.order.iter().filter_map(|entry| {
            let dispatch = self.dispatched.get(&entry.id)?;
            let is_latest = dispatch.position == entry.position;
            is_latest.then_some((entry.id, dispatch.member.as_str(), dispatch.dispatched_at))
        })
    }

    /// Marks the log as incomplete: another process of this driver may have dispatched statements until now.
    pub fn mark_incomplete(&mut self, now: Timestamp) {
        self.incomplete_before = Some(now);
    }

    /// The number of entries, including outdated ones.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Records the dispatch of an execution.
    pub fn on_dispatch(&mut self, now: Timestamp, id: u64, member: &str) {
        self.expire(now);
        if let Some(dispatch) = self.dispatched.get_mut(&id) {
            dispatch.possible_executions += 1;
            return;
        }
        let dispatch = Dispatch {
            dispatched_at: now,
            member: member.to_owned(),
            possible_executions: 1,
            position: self.append(now, id),
        };
        self.dispatched.insert(id, dispatch);
        self.enforce_capacity();
    }

    /// One dispatched execution of the statement is known not to have happened.
    pub fn on_not_executed(&mut self, id: u64) {
        let Some(dispatch) = self.dispatched.get_mut(&id) else {
            return;
        };
        dispatch.possible_executions = dispatch.possible_executions.saturating_sub(1);
        if dispatch.possible_executions == 0 {
            self.dispatched.remove(&id);
        }
    }

    /// Cedes the statement to a peer: this driver must not dispatch it any more.
    pub fn cede(&mut self, now: Timestamp, id: u64) {
        self.expire(now);
        let position = self.append(now, id);
        self.ceded.insert(id, position);
        self.enforce_capacity();
    }

    /// Whether this driver must not dispatch the statement.
    pub fn is_ceded(&self, id: u64) -> bool {
        self.ceded.contains_key(&id)
    }

    /// The status that this driver replies to an inquiry.
    pub fn status(&mut self, now: Timestamp, id: u64) -> DispatchStatus {
        self.expire(now);
        if let Some(dispatch) = self.dispatched.get(&id) {
            return DispatchStatus::Dispatched {
                age: now - dispatch.dispatched_at,
                member: dispatch.member.clone(),
            };
        }
        let is_within_window = |at: Timestamp| now - at < self.window;
        let has_dropped = self.last_dropped_added_at.is_some_and(is_within_window);
        if self.incomplete_before.is_some_and(is_within_window) || has_dropped {
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
            self.remove_entry(&entry);
        }
    }

    fn enforce_capacity(&mut self) {
        while self.order.len() > self.capacity {
            let Some(entry) = self.order.pop_front() else {
                return;
            };
            if self.remove_entry(&entry) {
                self.last_dropped_added_at = self.last_dropped_added_at.max(Some(entry.added_at));
            }
        }
    }

    /// Removes what this entry refers to; returns whether the entry was the latest of its id.
    fn remove_entry(&mut self, entry: &LogEntry) -> bool {
        let dispatch = self.dispatched.get(&entry.id);
        let is_dispatch = dispatch.is_some_and(|dispatch| dispatch.position == entry.position);
        let is_ceded = self.ceded.get(&entry.id) == Some(&entry.position);
        if is_dispatch {
            self.dispatched.remove(&entry.id);
        }
        if is_ceded {
            self.ceded.remove(&entry.id);
        }
        is_dispatch || is_ceded
    }
}
