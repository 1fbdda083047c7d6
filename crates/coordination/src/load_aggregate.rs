//! Blends the admission shares that the drivers have computed for a member.
//!
//! In a large fleet a driver gets answers from a member only every few seconds, too few to adjust its
//! admission share well. This module blends the shares of all drivers that received answers recently. Each
//! share is weighted by the number of answers behind it and by the age of its report.
//!
//! Blending preserves the mean: only answers change the total that the drivers admit, so drivers that act on
//! the same report don't oscillate. The weight of a report halves every [`AggregateSettings::half_life`], so
//! a report that is ten seconds old changes almost nothing, and an isolated driver soon acts on its own answers.
//! The answers behind a report are capped: one faulty driver of `n` moves a share by at most an `n`th of the
//! difference.

use crate::NameHash;
use asterlatch::time::{TimeSpan, Timestamp};
use std::collections::BTreeMap;

/// Strength, decay and thresholds of the blending.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AggregateSettings {
    /// Time after which the weight of a report or an answer halves.
    pub half_life: TimeSpan,
    /// Fraction of the difference to the peers' mean that one step applies if this driver has no answers of
    /// its own.
    pub gain: f64,
    /// Cap on the number of answers behind a share.
    pub max_answers: f64,
    /// Minimum decayed number of peers' answers for blending.
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
    /// Weight after `age` of an initial weight of 1.
    fn decay(&self, age: TimeSpan) -> f64 {
        0.5f64.powf(age.ratio(self.half_life))
    }
}

/// Bounds the memory per member; the oldest report is evicted.
const MAX_REPORTS_PER_MEMBER: usize = 32;
/// Bounds the memory for members that peers report.
const MAX_MEMBERS: usize = 4096;
/// Decayed weight below which reports and answers are dropped.
const MIN_DECAY: f64 = 0.01;
/// Smaller changes of a share are not applied.
const MIN_SHARE_CHANGE: f64 = 0.005;
/// Minimum decayed number of own answers for a share to be reported.
const MIN_OWN_ANSWERS: f64 = 0.5;

/// A driver's report of its admission share for a member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareReport {
    /// The driver's incarnation; a report of an earlier one is outdated.
    pub incarnation: u64,
    /// Fraction of statements that the driver admits, from 0 to 1.
    pub share: f64,
    /// Decayed number of the driver's own answers behind the share.
    pub answers: f64,
    /// When the driver sent the report.
    pub reported_at: Timestamp,
}

/// Number of answers that this driver received from a member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberAnswers {
    /// Hash of the member's name.
    pub member: NameHash,
    /// Decayed number of answers.
    pub answers: f64,
}

#[derive(Clone, Debug, Default)]
struct MemberEntry {
    /// Latest report of each driver.
    reports: BTreeMap<NameHash, ShareReport>,
    /// This driver's own answers, decayed to `answered_at`.
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

/// Sums over the peers' reports on one member.
#[derive(Default)]
struct PeerTotals {
    /// Sum of the answers, decayed to the current time.
    weight: f64,
    /// Sum of the shares times their decayed answers.
    weighted_shares: f64,
    /// Sum of the answers as reported, without decay.
    reported_answers: f64,
}

/// One driver's view of the admission shares of all drivers.
#[derive(Clone, Debug)]
pub struct LoadAggregate {
    settings: AggregateSettings,
    members: BTreeMap<NameHash, MemberEntry>,
}

impl LoadAggregate {
    /// Creates a view without answers or reports.
    pub fn new(settings: AggregateSettings) -> LoadAggregate {
        LoadAggregate {
            settings,
            members: BTreeMap::new(),
        }
    }

    /// Returns the entry of a member, inserted if absent; `None` if the table is full.
    fn entry_mut(&mut self, member: NameHash) -> Option<&mut MemberEntry> {
        if self.members.len() >= MAX_MEMBERS && !self.members.contains_key(&member) {
            return None;
        }
        Some(self.members.entry(member).or_default())
    }

    /// Records that a member answered this driver.
    pub fn on_answer(&mut self, now: Timestamp, member: NameHash) {
        let settings = self.settings;
        let Some(entry) = self.entry_mut(member) else {
            return;
        };
        let earlier = entry.own_answers * settings.decay(now - entry.answered_at);
        entry.own_answers = (earlier + 1.0).min(settings.max_answers);
        entry.answered_at = now;
    }

    /// Returns the number of a member's answers to this driver, decayed to `now`.
    pub fn own_answers(&self, now: Timestamp, member: NameHash) -> f64 {
        let Some(entry) = self.members.get(&member) else {
            return 0.0;
        };
        entry.own_answers * self.settings.decay(now - entry.answered_at)
    }

    /// Stores another driver's report on a member. Ignores a report that is outdated, of an earlier
    /// incarnation, or whose share is not finite.
    pub fn on_report(&mut self, member: NameHash, driver: NameHash, report: ShareReport) {
        let max_answers = self.settings.max_answers;
        let Some(entry) = self.entry_mut(member) else {
            return;
        };
        let recency = |report: &ShareReport| (report.incarnation, report.reported_at);
        let known = entry.reports.get(&driver);
        let is_outdated = known.is_some_and(|known| recency(known) > recency(&report));
        if is_outdated || !report.share.is_finite() {
            return;
        }
        let bounded = ShareReport {
            share: report.share.clamp(0.0, 1.0),
            answers: report.answers.clamp(0.0, max_answers),
            ..report
        };
        entry.reports.insert(driver, bounded);
        if entry.reports.len() > MAX_REPORTS_PER_MEMBER {
            entry.drop_oldest_report();
        }
    }

    /// Returns the share that replaces `own_share` for a member, or `None` if the peers have too few answers
    /// or the change would be too small.
    pub fn blended_share(&self, now: Timestamp, member: NameHash, own_share: f64) -> Option<f64> {
        let peers = self.peer_totals(now, member)?;
        if peers.weight < self.settings.min_peer_answers {
            return None;
        }
        // Undecayed answers in the denominator: old reports have less effect even if there are many.
        let peer_fraction = peers.weight / (peers.reported_answers + self.own_answers(now, member));
        let mean = peers.weighted_shares / peers.weight;
        let blended = own_share + self.settings.gain * peer_fraction * (mean - own_share);
        ((blended - own_share).abs() > MIN_SHARE_CHANGE).then_some(blended)
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

    /// Returns up to `limit` members with enough own answers to report a share, most answers first.
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

    /// Removes reports and members whose weight has decayed below the minimum.
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
