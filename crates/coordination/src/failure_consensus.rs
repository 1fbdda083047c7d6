//! Members from which nothing comes, by what all drivers together owe and hear. One driver of many meets a member once in
//! seconds, and pays with a statement's whole time for each that it finds out alone.
//!
//! A driver tells of an execution that is late at a member, and when that was sent. A member counts as silent when two
//! drivers have late ones there that were sent after anything was heard from it by anybody. So a driver that tells
//! nonsense is one of two, and moves nothing alone; a member that is only slow answers somebody, and counts as heard. What
//! follows is mild: reads go to others first for a while, those that are late there may be called off, and after that one
//! tries again. Fewer go there meanwhile, so what all do doesn't swing: the trial is drawn for each driver by itself.

use crate::Key;
use asterlatch::time::{TimeSpan, Timestamp};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// A word of a late execution counts for so long.
    pub fresh: TimeSpan,
    /// So many drivers must say so.
    pub enough: usize,
    /// A silent member is tried again after this, and up to twice that, as each driver draws.
    pub trial: TimeSpan,
}

impl Default for Terms {
    fn default() -> Terms {
        Terms {
            fresh: TimeSpan::millis(1000),
            enough: 2,
            trial: TimeSpan::millis(1000),
        }
    }
}

/// Of each member so many drivers' words are kept: more prove no more.
const MOST_WORDS: usize = 8;
const MOST_MEMBERS: usize = 4096;

#[derive(Clone, Debug, Default)]
struct Known {
    heard: Timestamp,
    /// By driver: when its late execution was sent, and when it said so.
    late: BTreeMap<Key, (Timestamp, Timestamp)>,
    /// Until when it was last taken for silent, and what was last said of that.
    until: Timestamp,
    told: Timestamp,
}

#[derive(Clone, Debug)]
pub struct Silence {
    own: Key,
    terms: Terms,
    members: BTreeMap<String, Known>,
}

impl Silence {
    pub fn new(own: Key, terms: Terms) -> Silence {
        Silence {
            own,
            terms,
            members: BTreeMap::new(),
        }
    }

    fn known(&mut self, member: &str) -> &mut Known {
        // Every answer comes by here: a name is copied for a new member alone.
        if !self.members.contains_key(member) {
            self.make_room();
            self.members.insert(member.to_owned(), Known::default());
        }
        self.members.get_mut(member).expect("is there, or was put there")
    }

    /// For one more.
    fn make_room(&mut self) {
        if self.members.len() < MOST_MEMBERS {
            return;
        }
        let said = |k: &Known| k.late.values().map(|(_, said)| *said).max().unwrap_or_default();
        let oldest = self.members.iter().min_by_key(|(_, k)| said(k).max(k.heard));
        let oldest = oldest.map(|(name, _)| name.clone());
        oldest.map(|name| self.members.remove(&name));
    }

    /// Something came from it to some driver, at that time.
    pub fn heard(&mut self, member: &str, at: Timestamp) {
        let known = self.known(member);
        known.heard = known.heard.max(at);
        let heard = known.heard;
        known.late.retain(|_, (sent, _)| *sent > heard);
        if known.late.is_empty() {
            known.until = Timestamp(0);
        }
    }

    /// A driver has a late execution there that was sent then, and said so at that time.
    pub fn late(&mut self, member: &str, driver: Key, sent: Timestamp, said: Timestamp) {
        let known = self.known(member);
        // Of several tellings the last counts; none is sent after it was told.
        let sent = sent.min(said);
        if sent <= known.heard || known.late.get(&driver).is_some_and(|(_, at)| *at > said) {
            return;
        }
        known.late.insert(driver, (sent, said));
        if known.late.len() > MOST_WORDS {
            let oldest = known
                .late
                .iter()
                .min_by_key(|(_, (_, said))| *said)
                .map(|(k, _)| *k);
            oldest.map(|k| known.late.remove(&k));
        }
    }

    /// Until when a member is taken for silent; nothing where it isn't. A verdict lasts for the trial time, and is another
    /// one only by words that were sent behind it.
    pub fn until(&mut self, now: Timestamp, member: &str) -> Option<Timestamp> {
        let (own, terms) = (self.own, self.terms);
        let known = self.members.get_mut(member)?;
        if known.until > now {
            return Some(known.until);
        }
        known.late.retain(|_, (_, said)| now - *said < terms.fresh);
        if known.late.len() < terms.enough {
            return None;
        }
        // Each driver's own part of the trial time, by hash: they come back one after the other.
        let draw = xxh3_64_with_seed(member.as_bytes(), own ^ (now.0 / 1_000_000)) >> 11;
        let part = draw as f64 / (1u64 << 53) as f64;
        known.until = now + terms.trial * (1.0 + part);
        // The same words prove nothing a second time.
        known.late.clear();
        Some(known.until)
    }

    /// Members of which something else holds than was last said here: until when they are silent, zero where they no longer
    /// are.
    pub fn news(&mut self, now: Timestamp) -> Vec<(String, Timestamp)> {
        let doubted = self
            .members
            .iter()
            .filter(|(_, k)| !k.late.is_empty() || k.told > Timestamp(0));
        let names: Vec<String> = doubted.map(|(name, _)| name.clone()).collect();
        let mut news = Vec::new();
        for name in names {
            let until = self.until(now, &name).unwrap_or(Timestamp(0));
            let Some(known) = self.members.get_mut(&name) else {
                continue;
            };
            if std::mem::replace(&mut known.told, until) != until {
                news.push((name, until));
            }
        }
        news
    }

    /// Lets go what is known of members that nothing is owed by.
    pub fn age(&mut self, now: Timestamp) {
        let terms = self.terms;
        self.members.retain(|_, k| {
            k.late.retain(|_, (_, said)| now - *said < terms.fresh);
            !k.late.is_empty() || k.told > Timestamp(0) || now - k.heard < terms.fresh * 10.0
        });
    }
}
