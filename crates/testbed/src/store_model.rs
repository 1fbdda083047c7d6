//! The store that members stand for: groups with a primary and replicas, positions, and every effect that was had.

use crate::fault_script::{FaultScript, MemberFault};
use asterlatch::time::{TimeSpan, Timestamp};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// How long after it was listed a draining member may still be sent something, and the protocol's slack.
const DRAIN_GRACE: TimeSpan = TimeSpan::millis(2050);

/// What a cold member bears, as the drivers' settings say it: work within this span, this many times of what it bears by
/// then, which grows from a part of a warm one's within this time.
const OVERLOAD_WINDOW: TimeSpan = TimeSpan::millis(2000);
const OVERLOAD_MULTIPLE: f64 = 4.0;
const INITIAL_CAPACITY_FRACTION: f64 = 0.2;
const WARM_UP_TIME: TimeSpan = TimeSpan::millis(3000);
/// A warm member has one core, as the drivers take it to have at least.
const MIN_CAPACITY_CORES: f64 = 1.0;

/// What a workload's statements are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkloadKind {
    AnyReplica,
    /// Data may be this old.
    BoundedStaleness(TimeSpan),
    /// Sees what its session wrote.
    ReadYourWrites,
    /// A write; whether the store drops repeats of the same id.
    Write {
        deduplicated: bool,
    },
}

#[derive(Clone, Debug)]
pub struct Workload {
    pub name: &'static str,
    pub kind: WorkloadKind,
    /// Of all statements.
    pub share: f64,
    /// How long its clients wait.
    pub timeout: TimeSpan,
    pub service_time: TimeSpan,
}

/// As a ledger might have them; balances may be 800 ms old, a payment must never run twice.
pub fn workloads() -> Vec<Workload> {
    let row = |name, kind, share, timeout, service_time| Workload {
        name,
        kind,
        share,
        timeout: TimeSpan::millis(timeout),
        service_time: TimeSpan(service_time),
    };
    vec![
        row(
            "balance-view",
            WorkloadKind::BoundedStaleness(TimeSpan::millis(800)),
            0.5,
            600,
            1500,
        ),
        row("history-view", WorkloadKind::AnyReplica, 0.2, 2000, 4000),
        row("own-view", WorkloadKind::ReadYourWrites, 0.1, 600, 1500),
        row(
            "payment-post",
            WorkloadKind::Write { deduplicated: false },
            0.15,
            800,
            2500,
        ),
        row(
            "meter-post",
            WorkloadKind::Write { deduplicated: true },
            0.05,
            800,
            2500,
        ),
    ]
}

/// What a client asks a member through whoever stands between.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Statement {
    pub id: u64,
    pub workload: usize,
    /// The position that it must see.
    pub min_position: Timestamp,
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
    ConnectionLost,
    /// No answer will ever come.
    NoAnswer,
    /// The connection ends before anything.
    Refused,
}

/// What a member does with a statement, and how long that takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExecutionOutcome {
    pub reply: Reply,
    pub delay: TimeSpan,
}

/// One run of a write: where, and when.
pub type Effect = (u32, Timestamp);

pub struct StoreModel {
    pub script: FaultScript,
    pub started_at: Timestamp,
    /// Who listens for it ends at the next connection.
    pub is_shut_down: bool,
    pub workloads: Vec<Workload>,
    groups: u32,
    replicas: u32,
    /// Members turn away reads that they are too far behind for; else they answer from what they have.
    pub rejects_stale_reads: bool,
    /// Usual lag of a replica.
    lag: TimeSpan,
    /// By statement.
    pub effects: BTreeMap<u64, Vec<Effect>>,
    /// Executions of reads that went to a primary and to a replica, by tenth of a second.
    pub reads: BTreeMap<u64, (u32, u32)>,
    /// Executions that came, and connections that were opened.
    /// Executions that came to members which had been listed as draining for longer than the grace.
    pub executions_after_drain: u64,
    /// Executions that pushed a cold member over, or would have; and what came to each member lately.
    pub overloads_while_warming_up: u64,
    recent_work: BTreeMap<u32, VecDeque<(Timestamp, TimeSpan)>>,
    /// Statements that came to any member.
    received: BTreeSet<u64>,
    pub executions: u64,
    pub connections: u64,
    pub health_checks: u64,
}

impl StoreModel {
    /// Members are numbered from 1, group by group, the first of each its primary at the start.
    pub fn new(groups: u32, replicas: u32, script: FaultScript, started_at: Timestamp) -> StoreModel {
        StoreModel {
            script,
            started_at,
            is_shut_down: false,
            workloads: workloads(),
            groups,
            replicas,
            rejects_stale_reads: true,
            lag: TimeSpan::millis(20),
            effects: BTreeMap::new(),
            reads: BTreeMap::new(),
            executions_after_drain: 0,
            overloads_while_warming_up: 0,
            recent_work: BTreeMap::new(),
            received: BTreeSet::new(),
            executions: 0,
            connections: 0,
            health_checks: 0,
        }
    }

    pub fn members(&self) -> impl Iterator<Item = u32> {
        1..=self.groups * (self.replicas + 1)
    }

    pub fn has_received(&self, id: u64) -> bool {
        self.received.contains(&id)
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
        self.script.primary(now - self.started_at, group, first).0
    }

    pub fn is_primary(&self, now: Timestamp, member: u32) -> bool {
        self.primary(now, self.group(member)) == member
    }

    fn faults(&self, now: Timestamp, member: u32) -> impl Iterator<Item = MemberFault> + '_ {
        let of = Some(self.group(member)).filter(|_| self.is_primary(now, member));
        self.script
            .faults(now - self.started_at, member, of)
            .map(|(f, _)| f)
    }

    fn has_fault(&self, now: Timestamp, member: u32, fault: MemberFault) -> bool {
        self.faults(now, member).any(|f| f == fault)
    }

    pub fn is_down(&self, now: Timestamp, member: u32) -> bool {
        self.has_fault(now, member, MemberFault::Down)
    }

    pub fn is_draining(&self, now: Timestamp, member: u32) -> bool {
        self.has_fault(now, member, MemberFault::Draining)
    }

    /// A primary stands at the present, a replica behind it.
    pub fn position(&self, now: Timestamp, member: u32) -> Timestamp {
        let since = now - self.started_at;
        let lags = self
            .script
            .faults(since, member, None)
            .filter_map(|(f, from)| match f {
                // What was applied stays applied: the log stands still until it is as far behind as that.
                MemberFault::Lagging(by) => Some((now - by).max(self.started_at + from - self.lag)),
                _ => None,
            });
        let behind = lags.min().unwrap_or(now - self.lag);
        // Whole milliseconds, as they are told.
        let at = if self.is_primary(now, member) { now } else { behind };
        Timestamp(at.0 / 1000 * 1000)
    }

    pub fn health_check(&mut self, now: Timestamp, member: u32) -> Option<(Timestamp, bool)> {
        self.health_checks += 1;
        let hangs = self.has_fault(now, member, MemberFault::Unresponsive);
        (!hangs).then(|| (self.position(now, member), self.is_primary(now, member)))
    }

    pub fn last_start(&self, now: Timestamp, member: u32) -> Option<Timestamp> {
        let last_start = self.script.last_start(now - self.started_at, member);
        last_start.map(|at| self.started_at + at)
    }

    /// Counts work, and whether a cold member falls over under it: measured by what warm ones carry on the mean.
    fn record_load(&mut self, now: Timestamp, member: u32, service_time: TimeSpan) {
        for queue in self.recent_work.values_mut() {
            while queue
                .pop_front_if(|(at, _)| now - *at >= OVERLOAD_WINDOW)
                .is_some()
            {}
        }
        self.recent_work
            .entry(member)
            .or_default()
            .push_back((now, service_time));
        let cold = |m: u32| self.last_start(now, m).filter(|at| now - *at < WARM_UP_TIME);
        let Some(last_start) = cold(member) else { return };
        let sum = |m: &u32| {
            self.recent_work
                .get(m)
                .map_or(0, |q| q.iter().map(|(_, w)| w.0).sum::<u64>())
        };
        let warm: Vec<u32> = self.members().filter(|m| cold(*m).is_none()).collect();
        let carried =
            warm.iter().map(sum).sum::<u64>() as f64 / warm.len().max(1) as f64 / OVERLOAD_WINDOW.0 as f64;
        let warmth = INITIAL_CAPACITY_FRACTION
            + (1.0 - INITIAL_CAPACITY_FRACTION) * (now - last_start).ratio(WARM_UP_TIME);
        let bears = carried.max(MIN_CAPACITY_CORES) * warmth * OVERLOAD_MULTIPLE * OVERLOAD_WINDOW.0 as f64;
        self.overloads_while_warming_up += u64::from(sum(&member) as f64 > bears);
    }

    /// A member has the whole of a statement.
    pub fn execute(&mut self, now: Timestamp, member: u32, statement: &Statement) -> ExecutionOutcome {
        self.executions += 1;
        self.received.insert(statement.id);
        self.record_load(now, member, self.workloads[statement.workload].service_time);
        let is_draining = self.script.faults(now - self.started_at, member, None);
        let late = is_draining
            .filter(|(f, from)| *f == MemberFault::Draining && now - (self.started_at + *from) > DRAIN_GRACE);
        self.executions_after_drain += u64::from(late.count() > 0);
        let faults: Vec<MemberFault> = self.faults(now, member).collect();
        let (is_primary, position) = (self.is_primary(now, member), self.position(now, member));
        let delays = faults.iter().filter_map(|f| match f {
            MemberFault::Slow(by) => Some(*by),
            _ => None,
        });
        let workload = &self.workloads[statement.workload];
        let (kind, delay) = (
            workload.kind,
            TimeSpan(workload.service_time.0 + delays.max().unwrap_or_default().0),
        );
        let end = |reply| ExecutionOutcome { reply, delay };
        if faults.contains(&MemberFault::Unresponsive) {
            return end(Reply::NoAnswer);
        }
        if faults.contains(&MemberFault::Down) {
            return end(Reply::Refused);
        }
        if let WorkloadKind::Write { deduplicated } = kind {
            if !is_primary {
                return end(Reply::NoPrimary);
            }
            let effects = self.effects.entry(statement.id).or_default();
            if !deduplicated || effects.is_empty() {
                effects.push((member, now));
            }
        } else {
            let since = (now - self.started_at).0 / 100_000;
            let (primary, replica) = self.reads.entry(since).or_default();
            *(if is_primary { primary } else { replica }) += 1;
            let needed = match kind {
                WorkloadKind::BoundedStaleness(bound) => now - bound,
                WorkloadKind::ReadYourWrites => statement.min_position,
                WorkloadKind::AnyReplica | WorkloadKind::Write { .. } => Timestamp(0),
            };
            if self.rejects_stale_reads && position < needed {
                return end(Reply::Behind);
            }
        }
        if faults.contains(&MemberFault::DropsAnswers) {
            return end(Reply::ConnectionLost);
        }
        if faults.contains(&MemberFault::Failing) {
            return end(Reply::Failed);
        }
        end(Reply::Row { position })
    }
}
