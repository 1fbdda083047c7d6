//! Detects unresponsive members from the combined reports of all drivers.
//!
//! In a large fleet each driver sends to a given member only every few seconds, so detecting each failure
//! alone would delay a statement on every driver.
//!
//! A driver reports an execution that is delayed at a member, with the time at which it was sent. A member is
//! unresponsive once a quorum of drivers report delayed executions that were sent after the member's last
//! response to any driver. A single faulty driver therefore has no effect, and a slow member that still
//! responds to some driver is not unresponsive.
//!
//! While a member is unresponsive, reads prefer other members and delayed executions at the member may be
//! cancelled. Retry times are jittered per driver, so that drivers don't return to the member at once.

use crate::NameHash;
use asterlatch::time::{TimeSpan, Timestamp};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Thresholds and durations of the detection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConsensusSettings {
    /// Time after which a report expires.
    pub report_lifetime: TimeSpan,
    /// Minimum number of drivers that must report delayed executions.
    pub quorum: usize,
    /// Minimum delay before an unresponsive member is retried; jitter extends it up to twice this value.
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

/// Bounds the memory per member; a quorum needs far fewer.
const MAX_REPORTS_PER_MEMBER: usize = 8;
/// Bounds the memory for member names that peers send.
const MAX_MEMBERS: usize = 4096;
/// Retention of a member's last response, in report lifetimes.
const RESPONSE_RETENTION_LIFETIMES: f64 = 10.0;
/// Period after which a driver's retry jitter changes.
const JITTER_PERIOD_US: u64 = 1_000_000;

/// A driver's report of a delayed execution at a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DelayReport {
    /// When the execution was sent.
    pub sent_at: Timestamp,
    /// When the driver reported it.
    pub reported_at: Timestamp,
}

/// A change between responsive and unresponsive.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponsivenessChange {
    /// Name of the member, as reported.
    pub member: String,
    /// End of the unresponsive period; zero if the member is responsive again.
    pub unresponsive_until: Timestamp,
}

#[derive(Clone, Debug, Default)]
struct MemberEntry {
    last_response: Timestamp,
    /// Latest report of each driver.
    delay_reports: BTreeMap<NameHash, DelayReport>,
    /// End of the last unresponsive period.
    unresponsive_until: Timestamp,
    /// Value of `unresponsive_until` that [`FailureConsensus::take_changes`] last returned.
    notified_until: Timestamp,
}

impl MemberEntry {
    fn drop_expired_reports(&mut self, now: Timestamp, lifetime: TimeSpan) {
        self.delay_reports
            .retain(|_, report| now - report.reported_at < lifetime);
    }

    fn drop_oldest_report(&mut self) {
        let reports = self.delay_reports.iter();
        let oldest = reports.min_by_key(|(_, report)| report.reported_at);
        if let Some(driver) = oldest.map(|(driver, _)| *driver) {
            self.delay_reports.remove(&driver);
        }
    }

    /// Time of the last response or report.
    fn last_activity_at(&self) -> Timestamp {
        let reports = self.delay_reports.values();
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
    /// Creates an empty view for the driver `own_id`, which also seeds its retry jitter.
    pub fn new(own_id: NameHash, settings: ConsensusSettings) -> FailureConsensus {
        FailureConsensus {
            own_id,
            settings,
            members: BTreeMap::new(),
        }
    }

    fn entry_mut(&mut self, member: &str) -> &mut MemberEntry {
        // Called for every response: allocates the name only for a new member.
        if !self.members.contains_key(member) {
            self.evict_if_full();
            self.members.insert(member.to_owned(), MemberEntry::default());
        }
        self.members
            .get_mut(member)
            .expect("the member's entry was just inserted if absent")
    }

    /// Removes the least recently active member if the table is full.
    fn evict_if_full(&mut self) {
        if self.members.len() < MAX_MEMBERS {
            return;
        }
        let oldest = self
            .members
            .iter()
            .min_by_key(|(_, entry)| entry.last_activity_at());
        if let Some(member) = oldest.map(|(member, _)| member.clone()) {
            self.members.remove(&member);
        }
    }

    /// Records that a member responded to some driver at `at`. Drops reports of executions sent before that.
    pub fn on_response(&mut self, member: &str, at: Timestamp) {
        let entry = self.entry_mut(member);
        entry.last_response = entry.last_response.max(at);
        let last_response = entry.last_response;
        entry
            .delay_reports
            .retain(|_, report| report.sent_at > last_response);
        if entry.delay_reports.is_empty() {
            entry.unresponsive_until = Timestamp(0);
        }
    }

    /// Records a delayed execution reported by `driver`, which may be this one. Only the latest report of
    /// each driver is stored.
    pub fn on_delay_report(&mut self, member: &str, driver: NameHash, report: DelayReport) {
        let entry = self.entry_mut(member);
        // Corrects a report with inconsistent times: nothing is reported before it was sent.
        let sent_at = report.sent_at.min(report.reported_at);
        let known = entry.delay_reports.get(&driver);
        let is_outdated = known.is_some_and(|known| known.reported_at > report.reported_at);
        if sent_at <= entry.last_response || is_outdated {
            return;
        }
        entry
            .delay_reports
            .insert(driver, DelayReport { sent_at, ..report });
        if entry.delay_reports.len() > MAX_REPORTS_PER_MEMBER {
            entry.drop_oldest_report();
        }
    }

    /// Returns the end of the member's unresponsive period, or `None` if the member is responsive. A period
    /// lasts for the jittered retry delay; another one needs new reports.
    pub fn unresponsive_until(&mut self, now: Timestamp, member: &str) -> Option<Timestamp> {
        let own_id = self.own_id;
        let settings = self.settings;
        let entry = self.members.get_mut(member)?;
        if entry.unresponsive_until > now {
            return Some(entry.unresponsive_until);
        }
        entry.drop_expired_reports(now, settings.report_lifetime);
        if entry.delay_reports.len() < settings.quorum {
            return None;
        }
        let delay = settings.retry_after * (1.0 + retry_jitter(own_id, member, now));
        entry.unresponsive_until = now + delay;
        // The same reports must not start a second period.
        entry.delay_reports.clear();
        Some(entry.unresponsive_until)
    }

    /// Returns the members whose responsiveness changed since the last call.
    pub fn take_changes(&mut self, now: Timestamp) -> Vec<ResponsivenessChange> {
        let may_have_changed =
            |entry: &MemberEntry| !entry.delay_reports.is_empty() || entry.notified_until > Timestamp(0);
        let members = self.members.iter().filter(|(_, entry)| may_have_changed(entry));
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

    /// Removes members without recent reports or responses.
    pub fn expire(&mut self, now: Timestamp) {
        let lifetime = self.settings.report_lifetime;
        self.members.retain(|_, entry| {
            entry.drop_expired_reports(now, lifetime);
            let is_reported = !entry.delay_reports.is_empty() || entry.notified_until > Timestamp(0);
            is_reported || now - entry.last_response < lifetime * RESPONSE_RETENTION_LIFETIMES
        });
    }
}

/// Returns a hash-based fraction in `0.0..1.0` that spreads the retries of the drivers over time.
fn retry_jitter(own_id: NameHash, member: &str, now: Timestamp) -> f64 {
    let seed = own_id ^ (now.0 / JITTER_PERIOD_US);
    let hash = xxh3_64_with_seed(member.as_bytes(), seed) >> 11;
    hash as f64 / (1u64 << 53) as f64
}
