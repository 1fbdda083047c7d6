//! Blends the admission shares that all drivers have for a member.
//!
//! With few samples a driver adjusts its admission share by answers that arrive seconds apart. This module
//! blends the shares of all drivers that received answers recently. Each share is weighted by the answers
//! behind it and by the age of its report; a driver that admits more has more answers.
//!
//! Blending preserves the mean: the total that all drivers admit moves by answers alone, so drivers that act
//! on the same report don't oscillate. A report loses half its weight every [`AggregateSettings::half_life`],
//! so a report that is ten seconds old changes almost nothing, and an isolated driver acts on its own. The
//! answers behind a report are capped: one of `n` drivers that reports nonsense moves a share by at most an
//! `n`th of its distance.

use crate::NameHash;
use asterlatch::time::{TimeSpan, Timestamp};
use std::collections::BTreeMap;

/// How far and how fast shares are blended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AggregateSettings {
    /// After this a report or an answer counts half.
    pub half_life: TimeSpan,
    /// How far a share goes to the mean of all in one step, where the peers' answers outweigh this driver's
    /// own.
    pub gain: f64,
    /// The most answers that count behind a share.
    pub max_answers: f64,
    /// Answers of peers below which nothing is blended.
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

impl AggregateSettings {
    /// What is left after `age` of something that counted 1.
    fn decay(&self, age: TimeSpan) -> f64 {
        0.5f64.powf(age.ratio(self.half_life))
    }
}

/// Drivers whose reports on a member are stored. The oldest goes; more would move the mean by little.
const MAX_REPORTS: usize = 32;
/// Members of which reports are stored.
const MAX_MEMBERS: usize = 4096;
/// What counts less than this part of what it did is forgotten.
const MIN_DECAY: f64 = 0.01;
/// Smaller differences of a share are not worth an update.
const MIN_CHANGE: f64 = 0.005;
/// Answers of its own that a driver must have to report a share.
const MIN_OWN_ANSWERS: f64 = 0.5;

/// A driver's report on what it admits to a member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareReport {
    /// The driver's incarnation.
    pub incarnation: u64,
    /// Share of statements that it admits, from 0 to 1.
    pub share: f64,
    /// Its own answers behind that.
    pub answers: f64,
    /// When it reported that.
    pub reported_at: Timestamp,
}

/// How many answers of its own a driver has of a member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberAnswers {
    /// The member.
    pub member: NameHash,
    /// Its answers, as they count now.
    pub answers: f64,
}

#[derive(Clone, Debug, Default)]
struct MemberEntry {
    /// By driver.
    reports: BTreeMap<NameHash, ShareReport>,
    /// This driver's own answers, as they counted at `answered_at`.
    own_answers: f64,
    answered_at: Timestamp,
}

impl MemberEntry {
    fn drop_oldest_report(&mut self) {
        let reports = self.reports.iter();
        let oldest = reports.min_by_key(|(_, report)| report.reported_at);
        if let Some(driver) = oldest.map(|(driver, _)| *driver) {
            self.reports.remove(&driver);
        }
    }
}

/// The peers' reports on one member together.
#[derive(Default)]
struct PeerTotals {
    /// Answers as they count now.
    weight: f64,
    /// Shares times their weights.
    weighted_shares: f64,
    /// Answers as they counted when they were reported.
    reported_answers: f64,
}

/// One driver's view of what all drivers admit to members.
#[derive(Clone, Debug)]
pub struct LoadAggregate {
    settings: AggregateSettings,
    members: BTreeMap<NameHash, MemberEntry>,
}

impl LoadAggregate {
    /// A view without any answer or report.
    pub fn new(settings: AggregateSettings) -> LoadAggregate {
        LoadAggregate {
            settings,
            members: BTreeMap::new(),
        }
    }

    /// The entry of a member; nothing where the table is full.
    fn entry_mut(&mut self, member: NameHash) -> Option<&mut MemberEntry> {
        if self.members.len() >= MAX_MEMBERS && !self.members.contains_key(&member) {
            return None;
        }
        Some(self.members.entry(member).or_default())
    }

    /// A member has answered this driver.
    pub fn on_answer(&mut self, now: Timestamp, member: NameHash) {
        let settings = self.settings;
        let Some(entry) = self.entry_mut(member) else {
            return;
        };
        let earlier = entry.own_answers * settings.decay(now - entry.answered_at);
        entry.own_answers = (earlier + 1.0).min(settings.max_answers);
        entry.answered_at = now;
    }

    /// Answers of a member to this driver, as they count now.
    pub fn own_answers(&self, now: Timestamp, member: NameHash) -> f64 {
        let Some(entry) = self.members.get(&member) else {
            return 0.0;
        };
        entry.own_answers * self.settings.decay(now - entry.answered_at)
    }

    /// Another driver reports what it admits to a member. An older report, one of an earlier incarnation, and
    /// one that is no number change nothing.
    pub fn on_report(&mut self, member: NameHash, driver: NameHash, report: ShareReport) {
        let max_answers = self.settings.max_answers;
        let Some(entry) = self.entry_mut(member) else {
            return;
        };
        let age_order = |report: &ShareReport| (report.incarnation, report.reported_at);
        let known = entry.reports.get(&driver);
        let is_outdated = known.is_some_and(|known| age_order(known) > age_order(&report));
        if is_outdated || !report.share.is_finite() {
            return;
        }
        let bounded = ShareReport {
            share: report.share.clamp(0.0, 1.0),
            answers: report.answers.clamp(0.0, max_answers),
            ..report
        };
        entry.reports.insert(driver, bounded);
        if entry.reports.len() > MAX_REPORTS {
            entry.drop_oldest_report();
        }
    }

    /// The share that this driver is to admit to a member where it admits `own_share` now; nothing where
    /// peers report too little, or no other share.
    pub fn blended_share(&self, now: Timestamp, member: NameHash, own_share: f64) -> Option<f64> {
        let peers = self.peer_totals(now, member)?;
        if peers.weight < self.settings.min_peer_answers {
            return None;
        }
        // However many reports there are, old ones move the share the less.
        let part = peers.weight / (peers.reported_answers + self.own_answers(now, member));
        let mean = peers.weighted_shares / peers.weight;
        let blended = own_share + self.settings.gain * part * (mean - own_share);
        ((blended - own_share).abs() > MIN_CHANGE).then_some(blended)
    }

    fn peer_totals(&self, now: Timestamp, member: NameHash) -> Option<PeerTotals> {
        let entry = self.members.get(&member)?;
        let mut totals = PeerTotals::default();
        for report in entry.reports.values() {
            let weight = report.answers * self.settings.decay(now - report.reported_at);
            totals.weight += weight;
            totals.weighted_shares += report.share * weight;
            totals.reported_answers += report.answers;
        }
        Some(totals)
    }

    /// Members of which this driver has enough answers to report its share, those with the most first.
    pub fn reportable(&self, now: Timestamp, limit: usize) -> Vec<MemberAnswers> {
        let members = self.members.keys().map(|member| MemberAnswers {
            member: *member,
            answers: self.own_answers(now, *member),
        });
        let mut reportable: Vec<_> = members.filter(|entry| entry.answers >= MIN_OWN_ANSWERS).collect();
        reportable.sort_by(|one, other| {
            let by_answers = other.answers.total_cmp(&one.answers);
            by_answers.then(one.member.cmp(&other.member))
        });
        reportable.truncate(limit);
        reportable
    }

    /// Forgets what counts no more.
    pub fn expire(&mut self, now: Timestamp) {
        let settings = self.settings;
        self.members.retain(|_, entry| {
            entry
                .reports
                .retain(|_, report| settings.decay(now - report.reported_at) >= MIN_DECAY);
            let own_answers = entry.own_answers * settings.decay(now - entry.answered_at);
            !entry.reports.is_empty() || own_answers >= MIN_DECAY
        });
    }
}
