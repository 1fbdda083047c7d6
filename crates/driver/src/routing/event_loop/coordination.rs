//! Turns among drivers, and what they know of a member together.

use super::{EventLoop, Observer};
use crate::routing::gossip::Word;
use crate::routing::members;
use asterlatch::interface::MemberUpdate;
use asterlatch::time::Timestamp;
use asterlatch::zone_health;
use asterlatch_gossip::node::Observation;
use std::collections::{BTreeMap, BTreeSet};

impl<O: Observer> EventLoop<O> {
    /// The drivers that are there by now, and how many count.
    pub(super) fn count_peers(&mut self, now: Timestamp) {
        let Some(sharing) = &mut self.sharing else { return };
        let keys = sharing
            .there
            .iter()
            .map(|p| members::fleet_key(&sharing.names[*p]));
        let others: BTreeSet<u64> = keys.collect();
        let count = sharing.turns.there(now, &others);
        self.module
            .set_fleet_drivers(members::fleet_key(&sharing.own_name), &others, count);
    }

    /// Whether this driver asks a member itself that its module wants asked, or leaves that to whose turn it is.
    pub(super) fn may_probe(&mut self, now: Timestamp, member: u32) -> bool {
        let Some(sharing) = &mut self.sharing else {
            return true;
        };
        let Some(name) = self.members.name(member) else {
            return true;
        };
        let may = sharing.turns.may_probe(now, name, sharing.there.is_empty());
        self.metrics.probes_left_to_others += u64::from(!may);
        may
    }

    /// What is due each tick: claims and renewals, asking for all, late executions, members that are silent for all.
    pub(super) fn take_turns(&mut self, now: Timestamp) {
        self.count_peers(now);
        let late = self.late_here(now);
        let Some(sharing) = &mut self.sharing else { return };
        sharing.turns_at = Some(now + sharing.terms.tick);
        let (module, members) = (&self.module, &self.members);
        let wants = |name: &str| members.find(name).is_some_and(|m| module.wants_health_check(m));
        let (mut facts, ask) = sharing.turns.reach(now, wants);
        facts.extend(sharing.turns.is_late(now, &late));
        let news = sharing.turns.silence.news(now).into_iter();
        let silent: Vec<_> = news
            .filter_map(|(name, until)| Some((members.find(&name)?, until)))
            .collect();
        sharing.turns.silence.age(now);
        // In dense views each knows enough by itself, and nothing is told.
        let sparse = module.has_few_samples();
        let shares = module
            .admission_shares()
            .filter(|_| sparse)
            .filter_map(|s| Some((members.name(s.member)?.to_owned(), s.share)));
        let (load, drawn) = sharing.turns.loads(now, &shares.collect::<Vec<_>>());
        facts.extend(load.map(Observation::now));
        let drawn = drawn.into_iter();
        let drawn: Vec<_> = drawn
            .filter_map(|(name, share)| Some((members.find(&name)?, share)))
            .collect();
        if !facts.is_empty() {
            (sharing.tell)(Word::Observed(facts));
        }
        for member in ask
            .iter()
            .filter_map(|name| self.members.find(name))
            .collect::<Vec<_>>()
        {
            self.metrics.probes_for_all += 1;
            self.probe(now, member);
        }
        for (member, until) in silent {
            self.metrics.silent_by_word += u64::from(until > Timestamp(0));
            let results = self
                .module
                .on_member_update(now, member, MemberUpdate::Unresponsive(until));
            self.carry_out(now, results);
        }
        for (member, share) in drawn {
            self.metrics.shares_drawn += 1;
            let results = self
                .module
                .on_member_update(now, member, MemberUpdate::AdmissionShare(share));
            self.carry_out(now, results);
        }
    }

    /// MemberDirectory at which executions of this driver are late, each with when the last such was sent.
    fn late_here(&self, now: Timestamp) -> BTreeMap<String, Timestamp> {
        let before = zone_health::overdue_before(now, self.module.longest_typical_latency());
        let mut late: BTreeMap<String, Timestamp> = BTreeMap::new();
        for (member, sent) in self
            .member_requests
            .executions()
            .filter(|e| e.started_at < before)
            .map(|e| (e.member, e.started_at))
        {
            if let Some(name) = self.members.name(member) {
                let last = late.entry(name.to_owned()).or_insert(sent);
                *last = sent.max(*last);
            }
        }
        late
    }

    /// Another driver has a late execution there.
    pub(super) fn late_elsewhere(&mut self, member: &str, driver: &str, sent: Timestamp, said: Timestamp) {
        // One that isn't listed here is nobody's business here.
        if self.members.find(member).is_none() {
            return;
        }
        if let Some(sharing) = &mut self.sharing {
            sharing
                .turns
                .silence
                .late(member, members::fleet_key(driver), sent, said);
        }
    }
}
