//! What members bear, by all drivers' answers together. In sparse views a driver moves the share of statements that it lets
//! in at a member by answers that come seconds apart; here the shares of all that were answered lately are drawn together, each
//! weighed by how old its word is, and no further by its answers: who lets in more has more of them.
//!
//! Drawing together keeps the mean: what all drivers let in at a member moves by answers alone, as it did before, so
//! however many act on the same word at once they don't swing. A word counts half after `halves`, so what is ten seconds
//! old moves next to nothing and a driver that hears nobody acts alone. And no driver's word weighs more than another's
//! best: one among `n` that tells nonsense moves a share by an `n`th of its distance at most.

use crate::Key;
use asterlatch::time::{TimeSpan, Timestamp};
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    pub halves: TimeSpan,
    /// How far a share goes to the mean of all at each look, where all others' answers outweigh the own.
    pub gain: f64,
    /// Answers that a share can have behind it at most.
    pub most: f64,
    /// Others' answers under which nothing is drawn from them.
    pub least: f64,
}

impl Default for Terms {
    fn default() -> Terms {
        Terms {
            halves: TimeSpan::millis(500),
            gain: 0.1,
            most: 1.0,
            least: 2.0,
        }
    }
}

/// Drivers whose words on a member are kept: the oldest goes. More of them would move the mean by little.
const MOST_WORDS: usize = 32;
/// Members of which words are kept.
const MOST_MEMBERS: usize = 4096;
/// A word that weighs less than this part of what it did is let go.
const FORGOTTEN: f64 = 0.01;
/// Differences under this are not worth an input.
const MATTERS: f64 = 0.005;

#[derive(Clone, Copy, Debug)]
struct Word {
    share: f64,
    answers: f64,
    life: u64,
    said: Timestamp,
}

#[derive(Clone, Debug, Default)]
struct Known {
    words: BTreeMap<Key, Word>,
    /// This driver's own answers, as they count at `at`.
    answers: f64,
    at: Timestamp,
}

#[derive(Clone, Debug)]
pub struct Sums {
    terms: Terms,
    members: BTreeMap<Key, Known>,
}

impl Sums {
    pub fn new(terms: Terms) -> Sums {
        Sums {
            terms,
            members: BTreeMap::new(),
        }
    }

    fn kept(&self, age: TimeSpan) -> f64 {
        0.5f64.powf(age.ratio(self.terms.halves))
    }

    fn known(&mut self, member: Key) -> Option<&mut Known> {
        if self.members.len() >= MOST_MEMBERS && !self.members.contains_key(&member) {
            return None;
        }
        Some(self.members.entry(member).or_default())
    }

    /// A member has answered this driver.
    pub fn answered(&mut self, now: Timestamp, member: Key) {
        let most = self.terms.most;
        let before = self.members.get(&member).map_or(TimeSpan(0), |k| now - k.at);
        let kept = self.kept(before);
        if let Some(known) = self.known(member) {
            (known.answers, known.at) = ((known.answers * kept + 1.0).min(most), now);
        }
    }

    /// Answers of this driver, as they count now.
    pub fn own(&self, now: Timestamp, member: Key) -> f64 {
        let known = self.members.get(&member);
        known.map_or(0.0, |k| k.answers * self.kept(now - k.at))
    }

    /// What another driver lets in there, said then, with so many answers behind it. An older word, or one of a former
    /// life, changes nothing.
    pub fn told(&mut self, member: Key, driver: (Key, u64), share: f64, answers: f64, said: Timestamp) {
        let most = self.terms.most;
        let Some(known) = self.known(member) else { return };
        let (driver, life) = driver;
        if known
            .words
            .get(&driver)
            .is_some_and(|w| (w.life, w.said) > (life, said))
            || !share.is_finite()
        {
            return;
        }
        let word = Word {
            share: share.clamp(0.0, 1.0),
            answers: answers.clamp(0.0, most),
            life,
            said,
        };
        known.words.insert(driver, word);
        if known.words.len() > MOST_WORDS {
            let oldest = known.words.iter().min_by_key(|(_, w)| w.said).map(|(d, _)| *d);
            oldest.map(|d| known.words.remove(&d));
        }
    }

    /// What this driver is to let in at a member where it lets in `own` now; nothing where others say too little, or no more
    /// than that.
    pub fn drawn(&self, now: Timestamp, member: Key, own: f64) -> Option<f64> {
        let known = self.members.get(&member)?;
        let (mut sum, mut whole, mut weight) = (0.0, 0.0, 0.0);
        for w in known.words.values() {
            let counts = w.answers * self.kept(now - w.said);
            (sum, whole, weight) = (sum + w.share * counts, whole + w.answers, weight + counts);
        }
        if weight < self.terms.least {
            return None;
        }
        // However many they are, old words move it the less.
        let part = weight / (whole + self.own(now, member));
        let drawn = own + self.terms.gain * part * (sum / weight - own);
        ((drawn - own).abs() > MATTERS).then_some(drawn)
    }

    /// Members that this driver has answers of, those with the most behind them first: what it tells.
    pub fn tellable(&self, now: Timestamp, most: usize) -> Vec<(Key, f64)> {
        let all = self.members.keys().map(|m| (*m, self.own(now, *m)));
        let mut all: Vec<_> = all.filter(|(_, answers)| *answers >= 0.5).collect();
        all.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        all.truncate(most);
        all
    }

    /// Lets go what counts no more.
    pub fn age(&mut self, now: Timestamp) {
        let terms = self.terms;
        let kept = |age: TimeSpan| 0.5f64.powf(age.ratio(terms.halves));
        self.members.retain(|_, k| {
            k.words.retain(|_, w| kept(now - w.said) >= FORGOTTEN);
            !k.words.is_empty() || kept(now - k.at) * k.answers >= FORGOTTEN
        });
    }
}
