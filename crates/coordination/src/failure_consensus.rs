//! Detects unresponsive members from what all drivers report together.
//!
//! In a large fleet each driver sends to a given member only every few seconds, and would lose a whole
//! statement's time on every failure that it had to detect alone.
//!
//! A driver reports an execution that is late at a member, with the time at which it was sent. A member
//! counts as unresponsive once a quorum of drivers report late executions that were sent after the member's
//! last response to any driver. A single driver that reports nonsense therefore changes nothing, and a member
//! that is merely slow still responds to somebody.
//!
//! The consequence is mild: reads prefer other members for a while, late executions at the member may be
//! cancelled, and afterwards one driver tries again. Each driver draws its own retry time, so the fleet
//! doesn't oscillate.

use crate::NameHash;
use asterlatch::time::{TimeSpan, Timestamp};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// When a member counts as unresponsive, and for how long.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConsensusSettings {
    /// How long a report counts.
    pub report_lifetime: TimeSpan,
    /// How many drivers must report late executions.
    pub quorum: usize,
    /// An unresponsive member is tried again after this, up to twice that, as each driver draws.
    pub retry_after: TimeSpan,
}

impl Default for ConsensusSettings {
    fn default() -> ConsensusSettings {
        ConsensusSettings {
            report_lifetime: TimeSpan::millis(1000),
            quorum: 2,
            retry_after: TimeSpan::millis(1000),
        }
    }
}

/// Reports that are stored of each member: more prove no more.
const MAX_REPORTS: usize = 8;
/// Members of which something is stored.
const MAX_MEMBERS: usize = 4096;
/// Report lifetimes for which the last response of a member is remembered.
const RESPONSE_LIFETIMES: f64 = 10.0;
/// Each driver draws the time of its retry anew after so many microseconds.
const DRAW_PERIOD_US: u64 = 1_000_000;

/// A driver's late execution at a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LateReport {
    /// When the execution was sent.
    pub sent_at: Timestamp,
    /// When the driver reported it.
    pub reported_at: Timestamp,
}

/// A member that has become unresponsive or responsive again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponsivenessChange {
    /// The member's name.
    pub member: String,
    /// Until when it is unresponsive; zero if it no longer is.
    pub unresponsive_until: Timestamp,
}

#[derive(Clone, Debug, Default)]
struct MemberEntry {
    last_response: Timestamp,
    /// By driver.
    late_reports: BTreeMap<NameHash, LateReport>,
    /// Until when it was last found unresponsive.
    unresponsive_until: Timestamp,
    /// What [`FailureConsensus::take_changes`] last said of that.
    notified_until: Timestamp,
}

impl MemberEntry {
    fn drop_expired_reports(&mut self, now: Timestamp, lifetime: TimeSpan) {
        self.late_reports
            .retain(|_, report| now - report.reported_at < lifetime);
    }

    fn drop_oldest_report(&mut self) {
        let reports = self.late_reports.iter();
        let oldest = reports.min_by_key(|(_, report)| report.reported_at);
        if let Some(driver) = oldest.map(|(driver, _)| *driver) {
            self.late_reports.remove(&driver);
        }
    }

    /// When something was last heard of the member.
    fn last_heard(&self) -> Timestamp {
        let reports = self.late_reports.values();
        let last_report = reports.map(|report| report.reported_at).max();
        last_report.unwrap_or_default().max(self.last_response)
    }
}

/// One driver's view of which members are unresponsive.
#[derive(Clone, Debug)]
pub struct FailureConsensus {
    own_id: NameHash,
    settings: ConsensusSettings,
    members: BTreeMap<String, MemberEntry>,
}

impl FailureConsensus {
    /// The view of the driver `own_id`, which knows of no member.
    pub fn new(own_id: NameHash, settings: ConsensusSettings) -> FailureConsensus {
        FailureConsensus {
            own_id,
            settings,
            members: BTreeMap::new(),
        }
    }

    fn entry_mut(&mut self, member: &str) -> &mut MemberEntry {
        // Every response comes by here, so the name is copied for a new member alone.
        if !self.members.contains_key(member) {
            self.evict_for_one_more();
            self.members.insert(member.to_owned(), MemberEntry::default());
        }
        self.members
            .get_mut(member)
            .expect("the member is there or was inserted")
    }

    /// Forgets the member heard of longest ago where the table is full.
    fn evict_for_one_more(&mut self) {
        if self.members.len() < MAX_MEMBERS {
            return;
        }
        let oldest = self.members.iter().min_by_key(|(_, entry)| entry.last_heard());
        if let Some(member) = oldest.map(|(member, _)| member.clone()) {
            self.members.remove(&member);
        }
    }

    /// A member responded to some driver at that time. Reports on what was sent before count no more.
    pub fn on_response(&mut self, member: &str, at: Timestamp) {
        let entry = self.entry_mut(member);
        entry.last_response = entry.last_response.max(at);
        let last_response = entry.last_response;
        entry
            .late_reports
            .retain(|_, report| report.sent_at > last_response);
        if entry.late_reports.is_empty() {
            entry.unresponsive_until = Timestamp(0);
        }
    }

    /// A driver, which may be this one, reports a late execution at a member. Its latest report counts.
    pub fn on_late_report(&mut self, member: &str, driver: NameHash, report: LateReport) {
        let entry = self.entry_mut(member);
        // Nothing is sent after it was reported.
        let sent_at = report.sent_at.min(report.reported_at);
        let known = entry.late_reports.get(&driver);
        let is_outdated = known.is_some_and(|known| known.reported_at > report.reported_at);
        if sent_at <= entry.last_response || is_outdated {
            return;
        }
        entry
            .late_reports
            .insert(driver, LateReport { sent_at, ..report });
        if entry.late_reports.len() > MAX_REPORTS {
            entry.drop_oldest_report();
        }
    }

    /// Until when a member is unresponsive; nothing where it isn't. A finding lasts for the retry time; the
    /// next one takes new reports.
    pub fn unresponsive_until(&mut self, now: Timestamp, member: &str) -> Option<Timestamp> {
        let own_id = self.own_id;
        let settings = self.settings;
        let entry = self.members.get_mut(member)?;
        if entry.unresponsive_until > now {
            return Some(entry.unresponsive_until);
        }
        entry.drop_expired_reports(now, settings.report_lifetime);
        if entry.late_reports.len() < settings.quorum {
            return None;
        }
        let delay = settings.retry_after * (1.0 + retry_draw(own_id, member, now));
        entry.unresponsive_until = now + delay;
        // The same reports prove nothing a second time.
        entry.late_reports.clear();
        Some(entry.unresponsive_until)
    }

    /// Members whose responsiveness changed since the last call.
    pub fn take_changes(&mut self, now: Timestamp) -> Vec<ResponsivenessChange> {
        let has_news =
            |entry: &MemberEntry| !entry.late_reports.is_empty() || entry.notified_until > Timestamp(0);
        let members = self.members.iter().filter(|(_, entry)| has_news(entry));
        let members: Vec<String> = members.map(|(member, _)| member.clone()).collect();
        let changes = members.into_iter().filter_map(|member| {
            let unresponsive_until = self.unresponsive_until(now, &member).unwrap_or(Timestamp(0));
            let entry = self.members.get_mut(&member)?;
            if entry.notified_until == unresponsive_until {
                return None;
            }
            entry.notified_until = unresponsive_until;
            Some(ResponsivenessChange {
                member,
                unresponsive_until,
            })
        });
        changes.collect()
    }

    /// Forgets members with no recent reports or responses.
    pub fn expire(&mut self, now: Timestamp) {
        let lifetime = self.settings.report_lifetime;
        self.members.retain(|_, entry| {
            entry.drop_expired_reports(now, lifetime);
            let is_reported = !entry.late_reports.is_empty() || entry.notified_until > Timestamp(0);
            is_reported || now - entry.last_response < lifetime * RESPONSE_LIFETIMES
        });
    }
}

/// A driver's own part of the retry time, from 0 to 1 by hash, so that drivers come back one after another.
fn retry_draw(own_id: NameHash, member: &str, now: Timestamp) -> f64 {
    let seed = own_id ^ (now.0 / DRAW_PERIOD_US);
    let draw = xxh3_64_with_seed(member.as_bytes(), seed) >> 11;
    draw as f64 / (1u64 << 53) as f64
}
