//! What the event loop keeps for turns among drivers and for what they know of members together: the rules stand in
//! `asterlatch_coordination`, here they meet members' names, ticks and facts.

use super::members;
use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_coordination::failure_consensus::{self, Silence};
use asterlatch_coordination::fleet_size::Size;
use asterlatch_coordination::lease::{End, Leases, Stand, Terms};
use asterlatch_coordination::load_aggregate::{self, Sums};
use asterlatch_coordination::Key;
use asterlatch_gossip::node::Observation;
use asterlatch_gossip::record::{LoadShare, Record, MAX_LOAD_SHARES};
use std::collections::{BTreeMap, BTreeSet};

/// The holder of a turn asks a lost member this often; alone each driver asks it the more rarely the more there are.
const ASKS: TimeSpan = TimeSpan::millis(300);
/// Between two tellings of what members bear.
const LOADS: TimeSpan = TimeSpan::millis(500);
/// Whether a fleet is smaller counts after this.
const SHRINKS: TimeSpan = TimeSpan::millis(30_000);

pub struct Turns {
    pub leases: Leases,
    pub silence: Silence,
    pub size: Size,
    pub sums: Sums,
    /// When this driver tells of loads next.
    tell_at: Timestamp,
    own: Key,
    name: String,
    life: u64,
    said: u64,
    /// MemberDirectory whose probes the module wants, by name, and when this driver last asked each for all.
    wanted: BTreeMap<String, Timestamp>,
}

/// Of a turn that is for asking a lost member whether it is back.
fn subject(member: &str) -> String {
    format!("probe {member}")
}

impl Turns {
    /// `all` are the drivers that the operators' file names, this one among them.
    pub fn new(now: Timestamp, (own, name, life): (Key, String, u64), tick: TimeSpan, all: u32) -> Turns {
        let terms = Terms {
            // A word may wait for a tick at each of two drivers before it is here.
            step: Terms::default().step.max(tick * 2.5),
            ..Terms::default()
        };
        Turns {
            leases: Leases::new(own, life, terms),
            silence: Silence::new(own, failure_consensus::Terms::default()),
            size: Size::new(all, SHRINKS, now),
            sums: Sums::new(load_aggregate::Terms::default()),
            tell_at: now,
            own,
            name,
            life,
            said: 0,
            wanted: BTreeMap::new(),
        }
    }

    /// Others that are there; how many count by now.
    pub fn there(&mut self, now: Timestamp, others: &BTreeSet<Key>) -> u32 {
        self.leases.there(others);
        self.size.reach(now, others.len() as u32 + 1)
    }

    /// The module wants a member probed. Whether this driver may: who has nobody beside it always may.
    pub fn may_probe(&mut self, now: Timestamp, member: &str, alone: bool) -> bool {
        if alone {
            return true;
        }
        let subject = subject(member);
        self.leases.want(now, &subject);
        let may = matches!(self.leases.stand(now, &subject), Stand::Mine | Stand::Done);
        let asked = self.wanted.entry(member.to_owned()).or_insert(Timestamp(0));
        // What its module asks the holder asks for all.
        *asked = if may { now } else { *asked };
        may
    }

    /// Facts to be told, and members that this driver is to ask now for all. `wants` says whether the module still wants a
    /// member probed.
    pub fn reach(&mut self, now: Timestamp, wants: impl Fn(&str) -> bool) -> (Vec<Observation>, Vec<String>) {
        let (mut facts, mut ask) = (Vec::new(), Vec::new());
        let turn = |subject, claim| Observation::now(Record::Lease { subject, claim });
        let over: Vec<String> = self.wanted.keys().filter(|m| !wants(m)).cloned().collect();
        for member in over {
            self.wanted.remove(&member);
            // It is wanted no more because it has answered, or is listed no more.
            let told = self.leases.rest(now, &subject(&member), End::Done);
            facts.extend(told.map(|claim| turn(subject(&member), claim)));
        }
        facts.extend(
            self.leases
                .reach(now)
                .into_iter()
                .map(|(s, claim)| turn(s, claim)),
        );
        for (member, asked) in &mut self.wanted {
            let holds = self.leases.stand(now, &subject(member)) == Stand::Mine;
            if holds && now - *asked >= ASKS {
                *asked = now;
                ask.push(member.clone());
            }
        }
        (facts, ask)
    }

    /// This driver has late executions at these members, each with when its last was sent.
    pub fn is_late(&mut self, now: Timestamp, late: &BTreeMap<String, Timestamp>) -> Vec<Observation> {
        let mut facts = Vec::new();
        for (member, sent) in late {
            self.silence.late(member, self.own, *sent, now);
            self.said += 1;
            let fact = Record::Unanswered {
                member: member.clone(),
                driver: self.name.clone(),
                incarnation: self.life,
                sequence: self.said,
                outstanding_us: (now - *sent).0,
            };
            facts.push(Observation::now(fact));
        }
        facts
    }

    /// What this driver lets in at members, where it is time to tell that and it has answers of theirs; and shares that it
    /// draws together with others'.
    pub fn loads(
        &mut self,
        now: Timestamp,
        shares: &[(String, f64)],
    ) -> (Option<Record>, Vec<(String, f64)>) {
        self.sums.age(now);
        let drawn = shares.iter().filter_map(|(name, own)| {
            let share = self.sums.drawn(now, members::fleet_key(name), *own)?;
            Some((name.clone(), share))
        });
        let drawn: Vec<_> = drawn.collect();
        if now < self.tell_at {
            return (None, drawn);
        }
        self.tell_at = now + LOADS;
        let of: BTreeMap<Key, f64> = shares
            .iter()
            .map(|(name, s)| (members::fleet_key(name), *s))
            .collect();
        let told = self.sums.tellable(now, MAX_LOAD_SHARES).into_iter();
        let told: Vec<_> = told
            .filter_map(|(member, answers)| {
                Some(LoadShare {
                    member,
                    admitted: (of.get(&member)? * 200.0) as u8,
                    answers: (answers * 10.0) as u8,
                })
            })
            .collect();
        self.said += 1;
        let fact = Record::Load {
            driver: self.name.clone(),
            incarnation: self.life,
            sequence: self.said,
            shares: told,
        };
        let tells = matches!(&fact, Record::Load { shares, .. } if !shares.is_empty());
        (Some(fact).filter(|_| tells), drawn)
    }

    /// Another driver's word on loads.
    pub fn load_told(&mut self, (driver, life): (&str, u64), shares: &[LoadShare], said: Timestamp) {
        let driver = (members::fleet_key(driver), life);
        for share in shares {
            let (admitted, answers) = (f64::from(share.admitted) / 200.0, f64::from(share.answers) / 10.0);
            self.sums.told(share.member, driver, admitted, answers, said);
        }
    }
}
