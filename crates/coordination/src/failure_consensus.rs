//! Members from which nothing comes, by what all drivers together owe and hear. One driver of many meets a member once in
//! seconds, and pays with a statement's whole time for each that it finds out alone.
//!
//! A driver tells of an execution that is late at a member, and when that was sent. A member counts as silent when two
//! drivers have late ones there that were sent after anything was heard from it by anybody. So a driver that tells
//! nonsense is one of two, and moves nothing alone; a member that is only slow answers somebody, and counts as heard. What
//! follows is mild: reads go to others first for a while, those that are late there may be called off, and after that one
//! tries again. Fewer go there meanwhile, so what all do doesn't swing: the trial is drawn for each driver by itself.

use crate::NameHash;
use asterlatch::time::{TimeSpan, Timestamp};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConsensusSettings {
    /// A word of a late execution counts for so long.
    pub report_lifetime: TimeSpan,
    /// So many drivers must say so.
    pub quorum: usize,
    /// A silent member is tried again after this, and up to twice that, as each driver draws.
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

/// Of each member so many drivers' words are kept: more prove no more.
const MAX_REPORTS: usize = 8;
const MAX_MEMBERS: usize = 4096;

#[derive(Clone, Debug, Default)]
struct MemberEntry {
    last_response: Timestamp,
    /// By driver: when its late execution was sent, and when it said so.
    late_reports: BTreeMap<NameHash, (Timestamp, Timestamp)>,
    /// Until when it was last taken for silent, and what was last said of that.
    unresponsive_until: Timestamp,
    notified_until: Timestamp,
}

#[derive(Clone, Debug)]
pub struct FailureConsensus {
    own_id: NameHash,
    settings: ConsensusSettings,
    members: BTreeMap<String, MemberEntry>,
}

impl FailureConsensus {
    pub fn new(own_id: NameHash, settings: ConsensusSettings) -> FailureConsensus {
        FailureConsensus {
            own_id,
            settings,
            members: BTreeMap::new(),
        }
    }

    fn entry(&mut self, member: &str) -> &mut MemberEntry {
        // Every answer comes by here: a name is copied for a new member alone.
        if !self.members.contains_key(member) {
            self.evict_for_one_more();
            self.members.insert(member.to_owned(), MemberEntry::default());
        }
        self.members.get_mut(member).expect("is there, or was put there")
    }

    /// For one more.
    fn evict_for_one_more(&mut self) {
        if self.members.len() < MAX_MEMBERS {
            return;
        }
        let said = |k: &MemberEntry| {
            k.late_reports
                .values()
                .map(|(_, said)| *said)
                .max()
                .unwrap_or_default()
        };
        let oldest = self
            .members
            .iter()
            .min_by_key(|(_, k)| said(k).max(k.last_response));
        let oldest = oldest.map(|(name, _)| name.clone());
        oldest.map(|name| self.members.remove(&name));
    }

    /// Something came from it to some driver, at that time.
    pub fn on_response(&mut self, member: &str, at: Timestamp) {
        let entry = self.entry(member);
        entry.last_response = entry.last_response.max(at);
        let heard = entry.last_response;
        entry.late_reports.retain(|_, (sent, _)| *sent > heard);
        if entry.late_reports.is_empty() {
            entry.unresponsive_until = Timestamp(0);
        }
    }

    /// A driver has a late execution there that was sent then, and said so at that time.
    pub fn on_late_report(&mut self, member: &str, driver: NameHash, sent: Timestamp, said: Timestamp) {
        let entry = self.entry(member);
        // Of several tellings the last counts; none is sent after it was told.
        let sent = sent.min(said);
        if sent <= entry.last_response || entry.late_reports.get(&driver).is_some_and(|(_, at)| *at > said) {
            return;
        }
        entry.late_reports.insert(driver, (sent, said));
        if entry.late_reports.len() > MAX_REPORTS {
            let oldest = entry
                .late_reports
                .iter()
                .min_by_key(|(_, (_, said))| *said)
                .map(|(k, _)| *k);
            oldest.map(|k| entry.late_reports.remove(&k));
        }
    }

    /// Until when a member is taken for silent; nothing where it isn't. A verdict lasts for the trial time, and is another
    /// one only by words that were sent behind it.
    pub fn unresponsive_until(&mut self, now: Timestamp, member: &str) -> Option<Timestamp> {
        let (own_id, settings) = (self.own_id, self.settings);
        let entry = self.members.get_mut(member)?;
        if entry.unresponsive_until > now {
            return Some(entry.unresponsive_until);
        }
        entry
            .late_reports
            .retain(|_, (_, said)| now - *said < settings.report_lifetime);
        if entry.late_reports.len() < settings.quorum {
            return None;
        }
        // Each driver's own part of the trial time, by hash: they come back one after the other.
        let draw = xxh3_64_with_seed(member.as_bytes(), own_id ^ (now.0 / 1_000_000)) >> 11;
        let part = draw as f64 / (1u64 << 53) as f64;
        entry.unresponsive_until = now + settings.retry_after * (1.0 + part);
        // The same words prove nothing a second time.
        entry.late_reports.clear();
        Some(entry.unresponsive_until)
    }

    /// Members of which something else holds than was last said here: until when they are silent, zero where they no longer
    /// are.
    pub fn take_changes(&mut self, now: Timestamp) -> Vec<(String, Timestamp)> {
        let doubted = self
            .members
            .iter()
            .filter(|(_, k)| !k.late_reports.is_empty() || k.notified_until > Timestamp(0));
        let names: Vec<String> = doubted.map(|(name, _)| name.clone()).collect();
        let mut news = Vec::new();
        for name in names {
            let until = self.unresponsive_until(now, &name).unwrap_or(Timestamp(0));
            let Some(entry) = self.members.get_mut(&name) else {
                continue;
            };
            if std::mem::replace(&mut entry.notified_until, until) != until {
                news.push((name, until));
            }
        }
        news
    }

    /// Lets go what is known of members that nothing is owed by.
    pub fn expire(&mut self, now: Timestamp) {
        let settings = self.settings;
        self.members.retain(|_, k| {
            k.late_reports
                .retain(|_, (_, said)| now - *said < settings.report_lifetime);
            !k.late_reports.is_empty()
                || k.notified_until > Timestamp(0)
                || now - k.last_response < settings.report_lifetime * 10.0
        });
    }
}
