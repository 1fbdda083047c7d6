//! The store that members stand for: groups with a primary and replicas, positions, and every effect that was had.

use crate::fault_script::{Fault, Script};
use asterlatch::time::{TimeSpan, Timestamp};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// How long after it was listed a draining member may still be sent something, and the protocol's slack.
const GRACE: TimeSpan = TimeSpan::millis(2050);

/// What a cold member bears, as the drivers' settings say it: work within this span, this many times of what it bears by
/// then, which grows from a part of a warm one's within this time.
const FALL_SPAN: TimeSpan = TimeSpan::millis(2000);
const FALL_MULTIPLE: f64 = 4.0;
const COLD: f64 = 0.2;
const WARM_WITHIN: TimeSpan = TimeSpan::millis(3000);
/// A warm member has one core, as the drivers take it to have at least.
const BEARS: f64 = 1.0;

/// What a workload's statements are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Any,
    /// Data may be this old.
    Bounded(TimeSpan),
    /// Sees what its session wrote.
    Own,
    /// A write; whether the store drops repeats of the same id.
    Write {
        dropped: bool,
    },
}

#[derive(Clone, Debug)]
pub struct Workload {
    pub name: &'static str,
    pub kind: Kind,
    /// Of all statements.
    pub share: f64,
    /// How long its clients wait.
    pub patience: TimeSpan,
    pub work: TimeSpan,
}

/// As a ledger might have them; balances may be 800 ms old, a payment must never run twice.
pub fn workloads() -> Vec<Workload> {
    let row = |name, kind, share, patience, work| Workload {
        name,
        kind,
        share,
        patience: TimeSpan::millis(patience),
        work: TimeSpan(work),
    };
    vec![
        row(
            "balance-view",
            Kind::Bounded(TimeSpan::millis(800)),
            0.5,
            600,
            1500,
        ),
        row("history-view", Kind::Any, 0.2, 2000, 4000),
        row("own-view", Kind::Own, 0.1, 600, 1500),
        row("payment-post", Kind::Write { dropped: false }, 0.15, 800, 2500),
        row("meter-post", Kind::Write { dropped: true }, 0.05, 800, 2500),
    ]
}

/// What a client asks a member through whoever stands between.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ask {
    pub id: u64,
    pub workload: usize,
    /// The position that it must see.
    pub after: Timestamp,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// A row that was read, or a write's, at this position.
    Row { position: Timestamp },
    /// No primary, so nothing was written.
    NoPrimary,
    /// Its log is too far behind.
    Behind,
    /// Something went wrong; nobody knows how far it came.
    Failed,
    /// It ran, and the connection ends.
    Lost,
    /// No answer will ever come.
    Never,
    /// The connection ends before anything.
    Refused,
}

/// What a member does with a statement, and how long that takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outcome {
    pub reply: Reply,
    pub after: TimeSpan,
}

/// One run of a write: where, and when.
pub type Effect = (u32, Timestamp);

pub struct Store {
    pub script: Script,
    pub started: Timestamp,
    /// Who listens for it ends at the next connection.
    pub is_over: bool,
    pub workloads: Vec<Workload>,
    groups: u32,
    replicas: u32,
    /// Members turn away reads that they are too far behind for; else they answer from what they have.
    pub checks: bool,
    /// Usual lag of a replica.
    lag: TimeSpan,
    /// By statement.
    pub effects: BTreeMap<u64, Vec<Effect>>,
    /// Executions of reads that went to a primary and to a replica, by tenth of a second.
    pub reads: BTreeMap<u64, (u32, u32)>,
    /// Executions that came, and connections that were opened.
    /// Executions that came to members which had been listed as draining for longer than the grace.
    pub after_drains: u64,
    /// Executions that pushed a cold member over, or would have; and what came to each member lately.
    pub pushed_over: u64,
    recent: BTreeMap<u32, VecDeque<(Timestamp, TimeSpan)>>,
    /// Statements that came to any member.
    seen: BTreeSet<u64>,
    pub executions: u64,
    pub connections: u64,
    pub probes: u64,
}

impl Store {
    /// Members are numbered from 1, group by group, the first of each its primary at the start.
    pub fn new(groups: u32, replicas: u32, script: Script, started: Timestamp) -> Store {
        Store {
            script,
            started,
            is_over: false,
            workloads: workloads(),
            groups,
            replicas,
            checks: true,
            lag: TimeSpan::millis(20),
            effects: BTreeMap::new(),
            reads: BTreeMap::new(),
            after_drains: 0,
            pushed_over: 0,
            recent: BTreeMap::new(),
            seen: BTreeSet::new(),
            executions: 0,
            connections: 0,
            probes: 0,
        }
    }

    pub fn members(&self) -> impl Iterator<Item = u32> {
        1..=self.groups * (self.replicas + 1)
    }

    pub fn has_seen(&self, id: u64) -> bool {
        self.seen.contains(&id)
    }

    pub fn groups(&self) -> u32 {
        self.groups
    }

    /// Groups are numbered from 1 as well.
    pub fn group(&self, member: u32) -> u32 {
        (member - 1) / (self.replicas + 1) + 1
    }

    pub fn primary(&self, now: Timestamp, group: u32) -> u32 {
        let first = (group - 1) * (self.replicas + 1) + 1;
        self.script.primary(now - self.started, group, first).0
    }

    pub fn is_primary(&self, now: Timestamp, member: u32) -> bool {
        self.primary(now, self.group(member)) == member
    }

    fn faults(&self, now: Timestamp, member: u32) -> impl Iterator<Item = Fault> + '_ {
        let of = Some(self.group(member)).filter(|_| self.is_primary(now, member));
        self.script.faults(now - self.started, member, of).map(|(f, _)| f)
    }

    fn has(&self, now: Timestamp, member: u32, fault: Fault) -> bool {
        self.faults(now, member).any(|f| f == fault)
    }

    pub fn is_down(&self, now: Timestamp, member: u32) -> bool {
        self.has(now, member, Fault::Down)
    }

    pub fn drains(&self, now: Timestamp, member: u32) -> bool {
        self.has(now, member, Fault::Drains)
    }

    /// A primary stands at the present, a replica behind it.
    pub fn position(&self, now: Timestamp, member: u32) -> Timestamp {
        let since = now - self.started;
        let lags = self
            .script
            .faults(since, member, None)
            .filter_map(|(f, from)| match f {
                // What was applied stays applied: the log stands still until it is as far behind as that.
                Fault::Lags(by) => Some((now - by).max(self.started + from - self.lag)),
                _ => None,
            });
        let behind = lags.min().unwrap_or(now - self.lag);
        // Whole milliseconds, as they are told.
        let at = if self.is_primary(now, member) { now } else { behind };
        Timestamp(at.0 / 1000 * 1000)
    }

    pub fn probe(&mut self, now: Timestamp, member: u32) -> Option<(Timestamp, bool)> {
        self.probes += 1;
        let hangs = self.has(now, member, Fault::Hangs);
        (!hangs).then(|| (self.position(now, member), self.is_primary(now, member)))
    }

    pub fn began(&self, now: Timestamp, member: u32) -> Option<Timestamp> {
        let began = self.script.began(now - self.started, member);
        began.map(|at| self.started + at)
    }

    /// Counts work, and whether a cold member falls over under it: measured by what warm ones carry on the mean.
    fn weigh(&mut self, now: Timestamp, member: u32, work: TimeSpan) {
        for queue in self.recent.values_mut() {
            while queue.pop_front_if(|(at, _)| now - *at >= FALL_SPAN).is_some() {}
        }
        self.recent.entry(member).or_default().push_back((now, work));
        let cold = |m: u32| self.began(now, m).filter(|at| now - *at < WARM_WITHIN);
        let Some(began) = cold(member) else { return };
        let sum = |m: &u32| {
            self.recent
                .get(m)
                .map_or(0, |q| q.iter().map(|(_, w)| w.0).sum::<u64>())
        };
        let warm: Vec<u32> = self.members().filter(|m| cold(*m).is_none()).collect();
        let carried =
            warm.iter().map(sum).sum::<u64>() as f64 / warm.len().max(1) as f64 / FALL_SPAN.0 as f64;
        let warmth = COLD + (1.0 - COLD) * (now - began).ratio(WARM_WITHIN);
        let bears = carried.max(BEARS) * warmth * FALL_MULTIPLE * FALL_SPAN.0 as f64;
        self.pushed_over += u64::from(sum(&member) as f64 > bears);
    }

    /// A member has the whole of a statement.
    pub fn execute(&mut self, now: Timestamp, member: u32, ask: &Ask) -> Outcome {
        self.executions += 1;
        self.seen.insert(ask.id);
        self.weigh(now, member, self.workloads[ask.workload].work);
        let drains = self.script.faults(now - self.started, member, None);
        let late = drains.filter(|(f, from)| *f == Fault::Drains && now - (self.started + *from) > GRACE);
        self.after_drains += u64::from(late.count() > 0);
        let faults: Vec<Fault> = self.faults(now, member).collect();
        let (is_primary, position) = (self.is_primary(now, member), self.position(now, member));
        let slow = faults.iter().filter_map(|f| match f {
            Fault::Slow(by) => Some(*by),
            _ => None,
        });
        let workload = &self.workloads[ask.workload];
        let (kind, after) = (
            workload.kind,
            TimeSpan(workload.work.0 + slow.max().unwrap_or_default().0),
        );
        let end = |reply| Outcome { reply, after };
        if faults.contains(&Fault::Hangs) {
            return end(Reply::Never);
        }
        if faults.contains(&Fault::Down) {
            return end(Reply::Refused);
        }
        if let Kind::Write { dropped } = kind {
            if !is_primary {
                return end(Reply::NoPrimary);
            }
            let effects = self.effects.entry(ask.id).or_default();
            if !dropped || effects.is_empty() {
                effects.push((member, now));
            }
        } else {
            let since = (now - self.started).0 / 100_000;
            let (primary, replica) = self.reads.entry(since).or_default();
            *(if is_primary { primary } else { replica }) += 1;
            let needed = match kind {
                Kind::Bounded(bound) => now - bound,
                Kind::Own => ask.after,
                Kind::Any | Kind::Write { .. } => Timestamp(0),
            };
            if self.checks && position < needed {
                return end(Reply::Behind);
            }
        }
        if faults.contains(&Fault::LosesAnswers) {
            return end(Reply::Lost);
        }
        if faults.contains(&Fault::Fails) {
            return end(Reply::Failed);
        }
        end(Reply::Row { position })
    }
}
