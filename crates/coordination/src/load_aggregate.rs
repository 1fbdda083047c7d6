//! What members bear, by all drivers' answers together. In sparse views a driver moves the share of statements that it lets
//! in at a member by answers that come seconds apart; here the shares of all that were answered lately are drawn together, each
//! weighed by how old its word is, and no further by its answers: who lets in more has more of them.
//!
//! Drawing together keeps the mean: what all drivers let in at a member moves by answers alone, as it did before, so
//! however many act on the same word at once they don't swing. A word counts half after `halves`, so what is ten seconds
//! old moves next to nothing and a driver that hears nobody acts alone. And no driver's word weighs more than another's
//! best: one among `n` that tells nonsense moves a share by an `n`th of its distance at most.

use crate::NameHash;
use asterlatch::time::{TimeSpan, Timestamp};
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AggregateSettings {
    pub half_life: TimeSpan,
    /// How far a share goes to the mean of all at each look, where all others' answers outweigh the own.
    pub gain: f64,
    /// Answers that a share can have behind it at most.
    pub max_answers: f64,
    /// Others' answers under which nothing is drawn from them.
    pub min_peer_answers: f64,
}

impl Default for AggregateSettings {
    fn default() -> AggregateSettings {
        AggregateSettings {
            half_life: TimeSpan::millis(500),
            gain: 0.1,
            max_answers: 1.0,
            min_peer_answers: 2.0,
        }
    }
}

/// Drivers whose words on a member are kept: the oldest goes. More of them would move the mean by little.
const MAX_REPORTS: usize = 32;
/// Members of which words are kept.
const MAX_MEMBERS: usize = 4096;
/// A word that weighs less than this part of what it did is let go.
const MIN_DECAY: f64 = 0.01;
/// Differences under this are not worth an input.
const MIN_CHANGE: f64 = 0.005;

#[derive(Clone, Copy, Debug)]
struct ShareReport {
    share: f64,
    answers: f64,
    incarnation: u64,
    reported_at: Timestamp,
}

#[derive(Clone, Debug, Default)]
struct MemberEntry {
    reports: BTreeMap<NameHash, ShareReport>,
    /// This driver's own answers, as they count at `at`.
    answers: f64,
    at: Timestamp,
}

#[derive(Clone, Debug)]
pub struct LoadAggregate {
    settings: AggregateSettings,
    members: BTreeMap<NameHash, MemberEntry>,
}

impl LoadAggregate {
    pub fn new(settings: AggregateSettings) -> LoadAggregate {
        LoadAggregate {
            settings,
            members: BTreeMap::new(),
        }
    }

    fn decay(&self, age: TimeSpan) -> f64 {
        0.5f64.powf(age.ratio(self.settings.half_life))
    }

    fn entry(&mut self, member: NameHash) -> Option<&mut MemberEntry> {
        if self.members.len() >= MAX_MEMBERS && !self.members.contains_key(&member) {
            return None;
        }
        Some(self.members.entry(member).or_default())
    }

    /// A member has answered this driver.
    pub fn on_answer(&mut self, now: Timestamp, member: NameHash) {
        let max_answers = self.settings.max_answers;
        let before = self.members.get(&member).map_or(TimeSpan(0), |k| now - k.at);
        let decay = self.decay(before);
        if let Some(entry) = self.entry(member) {
            (entry.answers, entry.at) = ((entry.answers * decay + 1.0).min(max_answers), now);
        }
    }

    /// Answers of this driver, as they count now.
    pub fn own_answers(&self, now: Timestamp, member: NameHash) -> f64 {
        let entry = self.members.get(&member);
        entry.map_or(0.0, |k| k.answers * self.decay(now - k.at))
    }

    /// What another driver lets in there, said then, with so many answers behind it. An older word, or one of a former
    /// life, changes nothing.
    pub fn on_report(
        &mut self,
        member: NameHash,
        driver: (NameHash, u64),
        share: f64,
        answers: f64,
        reported_at: Timestamp,
    ) {
        let max_answers = self.settings.max_answers;
        let Some(entry) = self.entry(member) else { return };
        let (driver, incarnation) = driver;
        if entry
            .reports
            .get(&driver)
            .is_some_and(|w| (w.incarnation, w.reported_at) > (incarnation, reported_at))
            || !share.is_finite()
        {
            return;
        }
        let word = ShareReport {
            share: share.clamp(0.0, 1.0),
            answers: answers.clamp(0.0, max_answers),
            incarnation,
            reported_at,
        };
        entry.reports.insert(driver, word);
        if entry.reports.len() > MAX_REPORTS {
            let oldest = entry
                .reports
                .iter()
                .min_by_key(|(_, w)| w.reported_at)
                .map(|(d, _)| *d);
            oldest.map(|d| entry.reports.remove(&d));
        }
    }

    /// What this driver is to let in at a member where it lets in `own` now; nothing where others say too little, or no more
    /// than that.
    pub fn blended_share(&self, now: Timestamp, member: NameHash, own: f64) -> Option<f64> {
        let entry = self.members.get(&member)?;
        let (mut sum, mut whole, mut weight) = (0.0, 0.0, 0.0);
        for w in entry.reports.values() {
            let counts = w.answers * self.decay(now - w.reported_at);
            (sum, whole, weight) = (sum + w.share * counts, whole + w.answers, weight + counts);
        }
        if weight < self.settings.min_peer_answers {
            return None;
        }
        // However many they are, old words move it the less.
        let part = weight / (whole + self.own_answers(now, member));
        let drawn = own + self.settings.gain * part * (sum / weight - own);
        ((drawn - own).abs() > MIN_CHANGE).then_some(drawn)
    }

    /// Members that this driver has answers of, those with the most behind them first: what it tells.
    pub fn reportable(&self, now: Timestamp, max_answers: usize) -> Vec<(NameHash, f64)> {
        let all = self.members.keys().map(|m| (*m, self.own_answers(now, *m)));
        let mut all: Vec<_> = all.filter(|(_, answers)| *answers >= 0.5).collect();
        all.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        all.truncate(max_answers);
        all
    }

    /// Lets go what counts no more.
    pub fn expire(&mut self, now: Timestamp) {
        let settings = self.settings;
        let decay = |age: TimeSpan| 0.5f64.powf(age.ratio(settings.half_life));
        self.members.retain(|_, k| {
            k.reports.retain(|_, w| decay(now - w.reported_at) >= MIN_DECAY);
            !k.reports.is_empty() || decay(now - k.at) * k.answers >= MIN_DECAY
        });
    }
}
