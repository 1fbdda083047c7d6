//! Turns by lease: of all drivers that want something done, one does it, and the others hear that it does. What it is for
//! is the subject, a text that all know alike.
//!
//! A claim has a term; the later term wins, within one term the smaller holder, so two that claim at once settle as soon as
//! one's word has come to the other. A holder renews its claim, and acts on it for half a lease from its last renewal
//! by its own clock; others believe in it for a whole lease from when that was told. So nobody else begins while it still
//! acts, however late word comes, and one that was stopped and goes on finds its claim over. No answer is needed for
//! either, and clocks need only run alike, not stand alike.
//!
//! Who claims first is drawn by hash from those that are there; the next ones wait a step longer each. Two sides of a split
//! each have a holder, for no word goes between them; when it heals one yields.

use crate::Key;
use asterlatch::time::{TimeSpan, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Ordered by which wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claim {
    pub term: u64,
    pub holder: Key,
    /// Of the holder: a restart is somebody else.
    pub life: u64,
    /// Grows with each renewal.
    pub said: u64,
    pub end: End,
}

/// Whether the holder has given its turn up, and with what.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum End {
    Holds,
    /// It wants it no more, and nothing came of it.
    Vain,
    /// It is done: nobody needs to do it for all any more, and each may for itself.
    Done,
}

impl Claim {
    fn order(&self) -> impl Ord {
        let smaller = std::cmp::Reverse(self.holder);
        (self.term, smaller, self.life, self.said, self.end)
    }

    /// Which of two tellings stands. Commutative, associative and idempotent, for it is the larger one.
    pub fn joined(self, other: Claim) -> Claim {
        if self.order() >= other.order() {
            self
        } else {
            other
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Terms {
    /// How long others believe in a claim.
    pub lease: TimeSpan,
    /// How long its holder acts on it without having renewed it; less than the lease.
    pub acts: TimeSpan,
    /// How much longer each next one waits before it claims what nobody holds: a word's flight, and the time between two
    /// tellings.
    pub step: TimeSpan,
}

impl Default for Terms {
    fn default() -> Terms {
        Terms {
            lease: TimeSpan::millis(2000),
            acts: TimeSpan::millis(1000),
            step: TimeSpan::millis(250),
        }
    }
}

/// Part of the time that a holder acts after which it renews.
const RENEW: f64 = 0.4;
/// From this rank on all wait alike: those before them may not want it at all, and if several claim, one word settles it.
const LAST: usize = 4;
/// Subjects that are kept at most; the one heard of longest ago goes.
const MOST: usize = 4096;
/// A subject that nobody speaks of any more is let go after so many leases: longer than any claim of a former term travels.
const FORGET: f64 = 10.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stand {
    /// This driver does it now.
    Mine,
    /// Somebody else does, or did a moment ago.
    Theirs,
    /// It was done a moment ago: each may do it for itself.
    Done,
    /// Nobody does, yet.
    Open,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Subject {
    claim: Option<Claim>,
    /// When the claim was last said, by this clock: the holder's own renewal, or as others told it.
    said: Timestamp,
    /// Since when this driver wants it done.
    wanted: Option<Timestamp>,
    /// Since when nobody holds it.
    open: Option<Timestamp>,
}

/// One driver's side of all turns.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Leases {
    own: Key,
    life: u64,
    terms: Terms,
    there: BTreeSet<Key>,
    all: BTreeMap<String, Subject>,
}

impl Leases {
    pub fn new(own: Key, life: u64, terms: Terms) -> Leases {
        Leases {
            own,
            life,
            terms,
            there: BTreeSet::new(),
            all: BTreeMap::new(),
        }
    }

    /// Those that are there beside this one.
    pub fn there(&mut self, others: &BTreeSet<Key>) {
        self.there.clone_from(others);
    }

    pub fn want(&mut self, now: Timestamp, subject: &str) {
        self.subject(subject).wanted.get_or_insert(now);
    }

    fn subject(&mut self, name: &str) -> &mut Subject {
        if !self.all.contains_key(name) {
            self.make_room();
        }
        self.all.entry(name.to_owned()).or_default()
    }

    /// It isn't wanted any more; what that ends is to be told.
    pub fn rest(&mut self, now: Timestamp, subject: &str, end: End) -> Option<Claim> {
        let acts = self.stand(now, subject) == Stand::Mine;
        let s = self.all.get_mut(subject)?;
        s.wanted = None;
        let claim = s.claim.as_mut().filter(|_| acts)?;
        (claim.said, claim.end, s.said) = (claim.said.saturating_add(1), end, now);
        Some(*claim)
    }

    /// What others said of a turn, so long ago.
    pub fn told(&mut self, now: Timestamp, subject: &str, claim: Claim, ago: TimeSpan) {
        let is_own = claim.holder == self.own && claim.life == self.life;
        let s = self.subject(subject);
        let stands = s.claim.map_or(claim, |here| here.joined(claim));
        let at = now - ago;
        if s.claim == Some(stands) {
            // What this driver holds is as old as its own renewal, whoever repeats it.
            s.said = if is_own { s.said } else { s.said.max(at) };
        } else {
            (s.claim, s.said) = (Some(stands), at);
        }
        s.open = None;
    }

    /// For one more.
    fn make_room(&mut self) {
        if self.all.len() < MOST {
            return;
        }
        let oldest = self.all.iter().min_by_key(|(_, s)| (s.wanted.is_some(), s.said));
        let oldest = oldest.map(|(name, _)| name.clone());
        oldest.map(|name| self.all.remove(&name));
    }

    fn is_own(&self, claim: &Claim) -> bool {
        claim.holder == self.own && claim.life == self.life
    }

    fn stand_of(&self, now: Timestamp, s: &Subject) -> Stand {
        let Some(claim) = &s.claim else { return Stand::Open };
        let age = now - s.said;
        match claim.end {
            _ if age >= self.terms.lease => Stand::Open,
            End::Done => Stand::Done,
            End::Vain => Stand::Open,
            End::Holds if !self.is_own(claim) => Stand::Theirs,
            End::Holds if age < self.terms.acts => Stand::Mine,
            // Others may believe in it still, but it was too long away to act.
            End::Holds => Stand::Theirs,
        }
    }

    pub fn stand(&self, now: Timestamp, subject: &str) -> Stand {
        self.all
            .get(subject)
            .map_or(Stand::Open, |s| self.stand_of(now, s))
    }

    /// How many of those that are there come before this driver, as far as that is waited for.
    fn rank(&self, subject: &str) -> usize {
        let of = |key: Key| (xxh3_64_with_seed(subject.as_bytes(), key), key);
        let own = of(self.own);
        let before = self.there.iter().filter(|k| **k != self.own && of(**k) < own);
        before.take(LAST).count()
    }

    /// Does what is due: claims and renewals to be told.
    pub fn reach(&mut self, now: Timestamp) -> Vec<(String, Claim)> {
        let mut told = Vec::new();
        let forget = self.terms.lease * FORGET;
        self.all
            .retain(|_, s| s.wanted.is_some() || now - s.said < forget);
        for name in self.all.keys().cloned().collect::<Vec<_>>() {
            let rank = self.rank(&name);
            let Some(s) = self.all.get(&name) else { continue };
            let stand = self.stand_of(now, s);
            let (own, life, terms) = (self.own, self.life, self.terms);
            let Some(s) = self.all.get_mut(&name) else {
                continue;
            };
            if stand != Stand::Open {
                s.open = None;
            }
            let said = match (stand, s.wanted, &mut s.claim) {
                (Stand::Mine, Some(_), Some(claim)) if now - s.said >= terms.acts * RENEW => {
                    claim.said += 1;
                    Some(*claim)
                }
                (Stand::Open, Some(_), claim) => {
                    let open = *s.open.get_or_insert(now);
                    let may = now - open >= terms.step * rank as f64;
                    may.then(|| {
                        let term = claim.map_or(0, |c| c.term).saturating_add(1);
                        let new = Claim {
                            term,
                            holder: own,
                            life,
                            said: 0,
                            end: End::Holds,
                        };
                        *claim = Some(new);
                        new
                    })
                }
                _ => None,
            };
            if let Some(claim) = said {
                s.said = now;
                told.push((name, claim));
            }
        }
        told
    }

    /// What this driver wants done, and how that stands.
    pub fn wanted(&self, now: Timestamp) -> impl Iterator<Item = (&str, Stand)> {
        let wanted = self.all.iter().filter(|(_, s)| s.wanted.is_some());
        wanted.map(move |(name, s)| (name.as_str(), self.stand_of(now, s)))
    }

    /// All that is known, for operators: subject, claim, how long ago it was said.
    pub fn all(&self, now: Timestamp) -> impl Iterator<Item = (&str, Claim, TimeSpan)> {
        let told = self
            .all
            .iter()
            .filter_map(|(name, s)| Some((name, s.claim?, s.said)));
        told.map(move |(name, claim, said)| (name.as_str(), claim, now - said))
    }
}
