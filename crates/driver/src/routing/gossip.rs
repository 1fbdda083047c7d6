//! What the event loop keeps for what drivers tell each other: what was seen and is still to be told, which statements went out
//! that must not run twice, and which wait for others' word. It speaks to the engine by words, and never waits for it.

use super::coordination::Turns;
use super::members::{self, MemberIdentity};
use asterlatch::interface::{ReplicaStatus, Statement};
use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_gossip::in_doubt::{DispatchLog, Inquiries};
use asterlatch_gossip::node::{NodeInput, NodeOutput, Observation};
use asterlatch_gossip::record::{ListedState, Record};
use asterlatch_gossip::slow_start::{self, WarmUpBudgets};
use std::collections::{BTreeMap, BTreeSet};

/// To the engine: what it takes, as far as the event loop says it.
pub type Word = NodeInput<'static>;

/// From the engine.
pub enum GossipMessage {
    Output(NodeOutput),
    /// For the log.
    LogLine(String),
}

pub type Tell = Box<dyn FnMut(Word)>;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Between two tellings of what was seen.
    pub tick: TimeSpan,
    /// How long others' word on a statement is waited for.
    pub ask: TimeSpan,
    /// How long after its first sending a client may repeat a statement.
    pub window: TimeSpan,
    /// Ids kept for that.
    pub most: usize,
    /// Work within this span pushes a cold member over, where it is so many times what that bears.
    pub fall_span: TimeSpan,
    pub fall_multiple: f64,
}

/// A statement that waits for others' word.
pub struct Parked {
    pub turn: u32,
    pub taken: Statement,
    pub times_out: Timestamp,
}

/// What a member has said since it was last told on.
#[derive(Clone, Copy, Debug, Default)]
struct Saw {
    at: Timestamp,
    position: u64,
    primary_at: u64,
    replica_at: u64,
}

/// An execution of a statement that matters to others.
#[derive(Clone, Copy, Debug)]
pub struct Out {
    pub name: u64,
    pub session: u64,
    pub harmful: bool,
    pub writes: bool,
}

pub struct Sharing {
    pub tell: Tell,
    pub terms: Terms,
    /// Who is to be asked about statements, and what all are called.
    pub asked: Vec<usize>,
    pub names: Vec<String>,
    pub log: DispatchLog,
    pub inquiries: Inquiries,
    pub parked: BTreeMap<u64, Parked>,
    /// Executions that are out, by statement and number.
    pub out: BTreeMap<(u32, u8), Out>,
    /// The version of the list in force.
    pub list: u64,
    /// What all send to cold members, and when their shares are reckoned next.
    pub cold: WarmUpBudgets,
    pub cold_at: Option<Timestamp>,
    /// Drivers that are there, by number.
    pub there: BTreeSet<usize>,
    pub own_name: String,
    pub life: u64,
    pub turns: Turns,
    pub turns_at: Option<Timestamp>,
    drained: BTreeSet<String>,
    saw: BTreeMap<u32, Saw>,
    waiting: Vec<(Record, Timestamp)>,
    tell_at: Option<Timestamp>,
}

/// Facts that wait to be told at most: more than that in a tick is left out, and seen again.
const MOST_WAITING: usize = 4096;

fn ms(point: Timestamp) -> u64 {
    point.0 / 1000
}

impl Sharing {
    /// `peers` are those asked about statements. Another life of this driver may have sent any before now.
    pub fn new(
        now: Timestamp,
        terms: Terms,
        asked: Vec<usize>,
        names: Vec<String>,
        own: (String, u64),
        tell: Tell,
    ) -> Sharing {
        let named = names.len() as u32 + 1;
        let own_key = members::fleet_key(&own.0);
        Sharing {
            turns: Turns::new(now, (own_key, own.0.clone(), own.1), terms.tick, named),
            turns_at: Some(now),
            tell,
            terms,
            asked,
            names,
            log: DispatchLog::new(now, terms.window, terms.most, true),
            inquiries: Inquiries::default(),
            parked: BTreeMap::new(),
            out: BTreeMap::new(),
            list: 0,
            cold: WarmUpBudgets::new(slow_start::WarmUpRules {
                window: terms.fall_span,
                overload_multiple: terms.fall_multiple,
                report_interval: terms.tick,
            }),
            cold_at: Some(now),
            there: BTreeSet::new(),
            own_name: own.0,
            life: own.1,
            drained: BTreeSet::new(),
            saw: BTreeMap::new(),
            waiting: Vec::new(),
            tell_at: None,
        }
    }

    pub fn next_at(&self) -> Option<Timestamp> {
        let times = [
            self.tell_at,
            self.inquiries.next_at(),
            self.cold_at,
            self.turns_at,
        ];
        times.into_iter().flatten().min()
    }

    fn plan(&mut self, now: Timestamp) {
        self.tell_at = self.tell_at.or(Some(now + self.terms.tick));
    }

    /// A member has told this driver something of itself.
    pub fn saw(&mut self, now: Timestamp, member: u32, sighting: ReplicaStatus) {
        if sighting == ReplicaStatus::default() {
            return;
        }
        let position = sighting.position.map_or(0, ms);
        let saw = self.saw.entry(member).or_default();
        saw.at = now;
        saw.position = saw.position.max(position);
        // A role counts by the position it was told at; without one it is told to nobody.
        match sighting.is_primary {
            Some(true) => saw.primary_at = saw.primary_at.max(position),
            Some(false) => saw.replica_at = saw.replica_at.max(position),
            None => {}
        }
        self.plan(now);
    }

    pub fn session(&mut self, now: Timestamp, session: u64, position: Timestamp) {
        if session != 0 && self.waiting.len() < MOST_WAITING {
            let position = ms(position);
            self.waiting.push((Record::Session { session, position }, now));
            self.plan(now);
        }
    }

    /// How the list calls a member. One that is ready is told of only where others may hold it for draining.
    pub fn listed(&mut self, name: &str, started_ms: u64, standing: ListedState) {
        let was_drained = match standing {
            ListedState::Ready => self.drained.remove(name),
            _ => {
                self.drained.insert(name.to_owned());
                true
            }
        };
        if !was_drained {
            return;
        }
        let fact = Record::Drain {
            name: name.to_owned(),
            started_ms,
            list_version: self.list,
            state: standing,
        };
        // Drains wait for nothing.
        (self.tell)(Word::Observed(vec![Observation::now(fact)]));
    }

    /// Tells what was seen, where it is time; `of` says how others call a member, its start and group.
    pub fn reach(&mut self, now: Timestamp, of: impl Fn(u32) -> Option<MemberIdentity>) {
        if self.tell_at.take_if(|at| *at <= now).is_none() {
            return;
        }
        let mut facts: Vec<Observation> = Vec::new();
        for (member, saw) in std::mem::take(&mut self.saw) {
            let Some(MemberIdentity {
                name,
                started_ms,
                group,
            }) = of(member)
            else {
                continue;
            };
            let fact = Record::Member {
                name,
                started_ms,
                group,
                position: saw.position,
                primary_at: saw.primary_at,
                replica_at: saw.replica_at,
            };
            facts.push(Observation {
                record: fact,
                age: now - saw.at,
            });
        }
        let sessions = std::mem::take(&mut self.waiting);
        facts.extend(sessions.into_iter().map(|(record, at)| Observation {
            record,
            age: now - at,
        }));
        if !facts.is_empty() {
            (self.tell)(Word::Observed(facts));
        }
    }
}

/// What a peer's word of a member comes to here: how far it was, and its newest role at the position it was told at.
pub fn sightings(position: u64, primary_at: u64, replica_at: u64) -> Vec<ReplicaStatus> {
    let at = |ms: u64| Some(Timestamp(0) + TimeSpan::millis(ms));
    let mut all = Vec::new();
    if primary_at > 0 || replica_at > 0 {
        all.push(ReplicaStatus {
            position: at(primary_at.max(replica_at)),
            is_primary: Some(primary_at >= replica_at),
        });
    }
    if position > primary_at.max(replica_at) {
        all.push(ReplicaStatus {
            position: at(position),
            is_primary: None,
        });
    }
    all
}
