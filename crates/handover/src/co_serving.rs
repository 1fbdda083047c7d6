//! What binds two processes that serve the same members side by side: what either has out counts against the other's
//! bounds, and a drain told to either binds both. Members go by name, for each process gives ids of its own to those it
//! hears of later.
//!
//! What is out is told again only when the other side has taken the last word of it over: so a side that hangs is told
//! little, and a busy one tells what holds now and not all that held meanwhile.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What is told of a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Word {
    /// So many executions are out there.
    Open { member: String, count: u32 },
    /// It drains or is gone, as one that started then (Unix time in milliseconds; 0 if that was long ago).
    Drains { member: String, since_ms: u64 },
    /// What was told of what is out is taken over.
    Heard,
}

/// What the other side was told last: only what differs is told again.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Joint {
    open: BTreeMap<String, u32>,
    drains: BTreeMap<String, u64>,
    /// The other side is still to take over what it was told.
    awaits: bool,
    /// What the other side has out.
    theirs: BTreeMap<String, u32>,
}

impl Joint {
    /// What is to be told, as what is out has changed; nothing while the last word of it is on its way.
    pub fn open(&mut self, now: BTreeMap<String, u32>) -> Vec<Word> {
        if self.awaits {
            return Vec::new();
        }
        let over = self.open.keys().filter(|m| !now.contains_key(*m));
        let over = over.map(|m| (m.clone(), 0));
        let differs = now.iter().filter(|(m, count)| self.open.get(*m) != Some(count));
        let differs = differs.map(|(m, count)| (m.clone(), *count));
        let all: BTreeMap<_, _> = over.chain(differs).collect();
        self.open = now;
        self.awaits = !all.is_empty();
        let words = all.into_iter();
        words
            .map(|(member, count)| Word::Open { member, count })
            .collect()
    }

    /// A drain that was heard here; told once for each start of the member.
    pub fn drains(&mut self, member: &str, since_ms: u64) -> Option<Word> {
        let before = self.drains.insert(member.to_owned(), since_ms);
        let is_new = before.is_none_or(|at| at < since_ms);
        let member = member.to_owned();
        is_new.then_some(Word::Drains { member, since_ms })
    }

    /// The other side has told this; what is to be answered.
    pub fn heard(&mut self, words: &[Word]) -> Option<Word> {
        for word in words {
            match word {
                // It needn't be told back.
                Word::Drains { member, since_ms } => drop(self.drains.insert(member.clone(), *since_ms)),
                Word::Heard => self.awaits = false,
                Word::Open { member, count } => drop(self.theirs.insert(member.clone(), *count)),
            }
        }
        self.theirs.retain(|_, count| *count > 0);
        let told_what_is_out = words.iter().any(|w| matches!(w, Word::Open { .. }));
        told_what_is_out.then_some(Word::Heard)
    }

    /// How much the other side has out in all.
    pub fn beside(&self) -> u64 {
        self.theirs.values().map(|count| u64::from(*count)).sum()
    }
}
