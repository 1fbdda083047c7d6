//! What binds two processes that serve the same members side by side: what the leaving one still has out counts against
//! the other's bounds, and a drain told to either binds both. Members go by name, for each process gives ids of its own
//! to those it hears of later.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What is told of a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Word {
    /// So many executions are out there.
    Open { member: String, count: u32 },
    /// It drains or is gone, as one that started then (Unix time in milliseconds; 0 if that was long ago).
    Drains { member: String, since_ms: u64 },
}

/// What the other side was told last: only what differs is told again.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Joint {
    open: BTreeMap<String, u32>,
    drains: BTreeMap<String, u64>,
}

impl Joint {
    /// What is to be told, as what is out has changed.
    pub fn open(&mut self, now: BTreeMap<String, u32>) -> Vec<Word> {
        let over = self.open.keys().filter(|m| !now.contains_key(*m));
        let over = over.map(|m| (m.clone(), 0));
        let differs = now.iter().filter(|(m, count)| self.open.get(*m) != Some(count));
        let differs = differs.map(|(m, count)| (m.clone(), *count));
        let all: BTreeMap<_, _> = over.chain(differs).collect();
        self.open = now;
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

    /// The other side has told it, so it needn't be told back.
    pub fn heard(&mut self, member: &str, since_ms: u64) {
        self.drains.insert(member.to_owned(), since_ms);
    }
}
