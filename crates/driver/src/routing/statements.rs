//! Statements that have no final answer yet, with the bytes that came.

use crate::protocol::comment::{self, Marked};
use crate::protocol::messages;
use crate::protocol::session::Text;
use asterlatch::time::{TimeSpan, Timestamp};
use std::collections::BTreeMap;
use std::ops::Range;

struct Held {
    client: u32,
    /// Its number on the client's connection.
    number: u32,
    /// What its client calls it.
    name: u64,
    /// Where it ends among all that was read from its client here.
    end: u64,
    /// It does no harm when its client repeats it though it may have run.
    harmless: bool,
    text: Text,
    left_at: Range<usize>,
    times_out: Timestamp,
    executions: u8,
    workload: usize,
    session: u64,
}

#[derive(Default)]
pub struct Statements {
    held: BTreeMap<u32, Held>,
    names: BTreeMap<u64, u32>,
    next: u32,
}

impl Statements {
    pub fn count(&self) -> usize {
        self.held.len()
    }

    pub fn holds(&self, id: u32) -> bool {
        self.held.contains_key(&id)
    }

    /// Whether one that its client calls the same is open: to a member this one would be a copy of that.
    pub fn has_name(&self, name: u64) -> bool {
        self.names.contains_key(&name)
    }

    /// Holds a statement that came then, and gives it an id; says that and its statement timeout, which is its
    /// client's or the longest that is allowed.
    pub fn hold(
        &mut self,
        (client, number, end): (u32, u32, u64),
        text: Text,
        marked: &Marked,
        (at, longest): (Timestamp, TimeSpan),
        (workload, session, harmless): (usize, u64, bool),
    ) -> (u32, Timestamp) {
        self.next = self.next.wrapping_add(1);
        let times_out = at + TimeSpan::millis(marked.left_ms).min(longest);
        let held = Held {
            client,
            number,
            end,
            harmless,
            name: marked.id,
            text,
            left_at: marked.left_at.clone(),
            times_out,
            executions: 0,
            workload,
            session,
        };
        self.names.insert(marked.id, self.next);
        self.held.insert(self.next, held);
        (self.next, times_out)
    }

    /// The one that its client calls this.
    pub fn named(&self, name: u64) -> Option<u32> {
        self.names.get(&name).copied()
    }

    /// Its name, workload and session.
    pub fn marks(&self, id: u32) -> Option<(u64, usize, u64)> {
        let held = self.held.get(&id)?;
        Some((held.name, held.workload, held.session))
    }

    /// Lets go of one that has its final answer, or needs none; says whose it was, and
    /// its number there.
    pub fn release(&mut self, id: u32) -> Option<(u32, u32)> {
        let held = self.held.remove(&id)?;
        self.names.remove(&held.name);
        Some((held.client, held.number))
    }

    /// The number of its next execution, and until when that may be waited for.
    pub fn execute(&mut self, id: u32, until: Timestamp) -> Option<(u8, Timestamp)> {
        let held = self.held.get_mut(&id)?;
        // As the module numbers them.
        let number = held.executions;
        held.executions = number.wrapping_add(1);
        Some((number, until.min(held.times_out)))
    }

    /// Whose it is, where it ends among what was read from there, and whether repeating it is harmless.
    pub fn place(&self, id: u32) -> Option<(u32, u64, bool)> {
        let held = self.held.get(&id)?;
        Some((held.client, held.end, held.harmless))
    }

    /// What goes to a member that is waited for until then. Rounded down, so that no member works for longer
    /// than anybody waits.
    pub fn query(&self, id: u32, now: Timestamp, until: Timestamp) -> Option<Vec<u8>> {
        let held = self.held.get(&id)?;
        let text = comment::with_left(held.text.text.as_bytes(), &held.left_at, (until - now).0 / 1000);
        let mut query = Vec::with_capacity(text.len() + 8);
        messages::put_query(&mut query, &text);
        Some(query)
    }
}
