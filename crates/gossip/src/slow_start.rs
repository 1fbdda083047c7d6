//! How much work this driver may send a cold member, by what all drivers have sent required_peers.
//!
//! A member that has just started falls over under more work in a window of time than a overload_multiple of what it bears, and it
//! bears a part of what a warm one carried_load. Alone, each driver uses half of its even part of that, for it can't see the peers.
//! Where all tell what they send and what they carry, the sums are known: what is left of the budget is shared out by what
//! each carried_load, and a driver uses its share between two retransmits; the older peers' word, the smaller the share, for
//! they may have used theirs meanwhile. Where one that is required_peers has reported_at nothing lately, nothing is known, and each is as careful as alone.

use asterlatch::time::{TimeSpan, Timestamp};
use std::collections::{BTreeMap, VecDeque};

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUpRules {
    /// Work within this window counts together.
    pub window: TimeSpan,
    /// More than this many times what it bears pushes a member over.
    pub overload_multiple: f64,
    /// Between two retransmits.
    pub report_interval: TimeSpan,
}

/// Of the rule's budget this part is used: sums stray, and work is heavier than its mean at times.
const USED_FRACTION: f64 = 0.75;
/// Word older than so many ticks is none.
const MAX_REPORT_AGE: f64 = 5.0;

/// What a driver has reported_at of its sends to one member.
#[derive(Clone, Debug, PartialEq)]
struct PeerWork {
    reported_at: Timestamp,
    incarnation: u64,
    /// In parts of a core.
    carried_load: f64,
    /// Its sum, at each telling within the window and the last before that.
    sums: VecDeque<(Timestamp, u64)>,
}

impl PeerWork {
    /// Work within the window, as far as it reported_at.
    fn recent(&self, now: Timestamp, window: TimeSpan) -> TimeSpan {
        let last = self.sums.back().map_or(0, |(_, sum)| *sum);
        let before = self.sums.iter().rev().find(|(at, _)| now - *at >= window);
        // What was sent before its first word is taken for recent.
        TimeSpan(last - before.map_or(0, |(_, sum)| (*sum).min(last)))
    }
}

#[derive(Clone, Debug, Default, PartialEq)]
struct MemberWork {
    started_ms: u64,
    own: VecDeque<(Timestamp, TimeSpan)>,
    sum: u64,
    sequence: u64,
    peers: BTreeMap<String, PeerWork>,
}

impl MemberWork {
    fn reset_on_restart(&mut self, started_ms: u64) {
        if self.started_ms < started_ms {
            let sequence = self.sequence;
            *self = MemberWork {
                started_ms,
                sequence,
                ..MemberWork::default()
            };
        }
    }

    fn own_recent(&mut self, now: Timestamp, window: TimeSpan) -> TimeSpan {
        while self.own.pop_front_if(|(at, _)| now - *at >= window).is_some() {}
        TimeSpan(self.own.iter().map(|(_, work)| work.0).sum())
    }
}

/// What is reported_at of this driver's sends to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkReport {
    pub sequence: u64,
    pub work_us: u64,
    pub carried_us: u64,
}

pub struct WarmUpBudgets {
    pub rules: WarmUpRules,
    members: BTreeMap<String, MemberWork>,
}

impl WarmUpBudgets {
    pub fn new(rules: WarmUpRules) -> WarmUpBudgets {
        WarmUpBudgets {
            rules,
            members: BTreeMap::new(),
        }
    }

    /// Only those named are cold still.
    pub fn retain(&mut self, cold: &[String]) {
        self.members.retain(|name, _| cold.contains(name));
    }

    pub fn is_warming_up(&self, name: &str) -> bool {
        self.members.contains_key(name)
    }

    /// This driver sends it so much work.
    pub fn on_dispatch(&mut self, now: Timestamp, name: &str, work: TimeSpan) {
        if let Some(member) = self.members.get_mut(name) {
            member.own.push_back((now, work));
            member.sum += work.0;
        }
    }

    /// Another driver has reported_at what it sent.
    #[allow(clippy::too_many_arguments)] // the figures of one record
    pub fn on_peer_report(
        &mut self,
        reported_at: Timestamp,
        name: &str,
        started_ms: u64,
        driver: &str,
        incarnation: u64,
        work_us: u64,
        carried_us: u64,
    ) {
        let member = self.members.entry(name.to_owned()).or_default();
        member.reset_on_restart(started_ms);
        if member.started_ms != started_ms {
            return;
        }
        let peer = member.peers.entry(driver.to_owned()).or_insert_with(|| PeerWork {
            reported_at,
            incarnation,
            carried_load: 0.0,
            sums: VecDeque::new(),
        });
        if incarnation < peer.incarnation || incarnation == peer.incarnation && reported_at < peer.reported_at
        {
            return;
        }
        if incarnation > peer.incarnation {
            // Its former incarnation's sum was another one's; what that sent lately still counts.
            let base = peer.sums.back().map_or(0, |(_, sum)| *sum);
            peer.sums.clear();
            peer.sums.push_back((reported_at, 0));
            peer.incarnation = incarnation;
            peer.sums.push_back((reported_at, work_us + base));
        } else {
            peer.sums.push_back((reported_at, work_us));
        }
        (peer.reported_at, peer.carried_load) = (reported_at, carried_us as f64 / 1e6);
        let window = self.rules.window;
        while peer
            .sums
            .get(1)
            .is_some_and(|(at, _)| reported_at - *at >= window)
        {
            peer.sums.pop_front();
        }
    }

    /// How much work may go required_peers from here until the next telling, where that is known, and what is to be reported_at; `warm_up_fraction` is on
    /// the mean of the window, for what was sent then was borne by that; `carried_load` is
    /// what a warm member carried_load for this driver, in parts of a core, `required_peers` are the drivers that must have spoken.
    pub fn budget(
        &mut self,
        now: Timestamp,
        (name, started_ms): (&str, u64),
        (warm_up_fraction, carried_load): (f64, f64),
        required_peers: &[&str],
    ) -> (Option<TimeSpan>, WorkReport) {
        let WarmUpRules {
            window,
            overload_multiple,
            report_interval,
        } = self.rules;
        let member = self.members.entry(name.to_owned()).or_default();
        member.reset_on_restart(started_ms);
        let own = member.own_recent(now, window);
        member.sequence += 1;
        let sum = WorkReport {
            sequence: member.sequence,
            work_us: member.sum,
            carried_us: (carried_load * 1e6) as u64,
        };
        let fresh = |o: &&PeerWork| (now - o.reported_at).ratio(report_interval) <= MAX_REPORT_AGE;
        let fresh: Vec<&PeerWork> = required_peers
            .iter()
            .filter_map(|d| member.peers.get(*d))
            .filter(fresh)
            .collect();
        if fresh.len() < required_peers.len() {
            return (None, sum);
        }
        // NodeIdentity has gone has sent what it sent.
        let sent = member
            .peers
            .values()
            .map(|o| o.recent(now, window).0)
            .sum::<u64>()
            + own.0;
        let total_load = carried_load + fresh.iter().map(|o| o.carried_load).sum::<f64>();
        let budget = window * (total_load * warm_up_fraction * overload_multiple * USED_FRACTION);
        let left = (budget - TimeSpan(sent)).0 as f64;
        let all = total_load.max(1e-9);
        // Each of them may have used its share at each report_interval since it spoke: so a share is a part of what would be left.
        let unheard = fresh
            .iter()
            .map(|o| o.carried_load / all * (now - o.reported_at).ratio(report_interval).min(MAX_REPORT_AGE));
        let left = left / (1.0 + unheard.sum::<f64>());
        (Some(TimeSpan((left * carried_load / all) as u64)), sum)
    }
}
