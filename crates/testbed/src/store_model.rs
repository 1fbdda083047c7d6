//! Model of the replicated store: groups with a primary and replicas, log positions, and the effects of all writes.

use crate::fault_script::{FaultScript, MemberFault};
use asterlatch::time::{TimeSpan, Timestamp};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::{Arc, Mutex};

/// How long after it was listed a draining member may still get statements, with the protocol's tolerance.
const DRAIN_GRACE: TimeSpan = TimeSpan::millis(2050);

/// A member in slow start is overloaded, as the drivers' settings define it, by work within this window that exceeds
/// `OVERLOAD_MULTIPLE` times its capacity, which grows from `INITIAL_CAPACITY_FRACTION` to all within `WARM_UP_TIME`.
const OVERLOAD_WINDOW: TimeSpan = TimeSpan::millis(2000);
const OVERLOAD_MULTIPLE: f64 = 4.0;
const INITIAL_CAPACITY_FRACTION: f64 = 0.2;
const WARM_UP_TIME: TimeSpan = TimeSpan::millis(3000);
/// Least capacity of a member after slow start, as the drivers assume it.
const MIN_CAPACITY_CORES: f64 = 1.0;

/// What a workload's statements need.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkloadKind {
    /// A read that any replica may answer, however old its data.
    AnyReplica,
    /// A read of data that is at most this old.
    BoundedStaleness(TimeSpan),
    /// A read that sees what its session wrote.
    ReadYourWrites,
    /// A write.
    Write {
        /// Whether a second execution of the same id has no effect.
        deduplicated: bool,
    },
}

/// A class of statements with the same needs.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Its name in the configuration.
    pub name: &'static str,
    /// What its statements need.
    pub kind: WorkloadKind,
    /// Share of all statements.
    pub share: f64,
    /// How long clients wait.
    pub timeout: TimeSpan,
    /// How long an execution takes.
    pub service_time: TimeSpan,
}

/// Workloads as a ledger might have them: balances may be 800 ms old, a payment must never be executed twice.
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

/// A statement as a member receives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Statement {
    /// Names the statement over all attempts.
    pub id: u64,
    /// Index into the workloads.
    pub workload: usize,
    /// Log position that a read must see.
    pub min_position: Timestamp,
}

/// How a member answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// A row that was read or written.
    Row {
        /// Log position of the data.
        position: Timestamp,
    },
    /// The member is no primary; nothing was written.
    NoPrimary,
    /// The member's log is too far behind.
    Behind,
    /// An error that leaves open whether the statement was executed.
    Failed,
    /// Executed, then the connection is closed.
    ConnectionLost,
    /// Never answered.
    NoAnswer,
    /// The connection is closed before execution.
    Refused,
}

/// A member's answer to a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExecutionOutcome {
    /// The answer.
    pub reply: Reply,
    /// From the statement's arrival to its answer.
    pub delay: TimeSpan,
}

/// One execution of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Effect {
    /// Where.
    pub member: u32,
    /// When.
    pub at: Timestamp,
}

/// Reads that members executed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReadCounts {
    /// At primaries.
    pub primary: u32,
    /// At replicas.
    pub replica: u32,
}

impl ReadCounts {
    /// Sum of both.
    pub fn total(self) -> u32 {
        self.primary + self.replica
    }

    /// Share of reads at primaries, from 0 to 1; 0 without any read.
    pub fn primary_share(self) -> f64 {
        f64::from(self.primary) / f64::from(self.total().max(1))
    }
}

impl std::iter::Sum for ReadCounts {
    fn sum<I: Iterator<Item = ReadCounts>>(counts: I) -> ReadCounts {
        counts.fold(ReadCounts::default(), |sum, counts| ReadCounts {
            primary: sum.primary + counts.primary,
            replica: sum.replica + counts.replica,
        })
    }
}

/// State of all members, shared by everything that runs.
pub struct StoreModel {
    /// Faults, with times from `started_at`.
    pub script: FaultScript,
    /// Begin of the load.
    pub started_at: Timestamp,
    /// Listening threads end at their next connection.
    pub is_shut_down: bool,
    /// All workloads, in the order of their indexes.
    pub workloads: Vec<Workload>,
    groups: u32,
    replicas: u32,
    /// Members reject reads that they are too far behind for; otherwise they answer with the data they have.
    pub rejects_stale_reads: bool,
    /// Replication lag without a fault.
    lag: TimeSpan,
    /// Executions of each write, by statement id.
    pub effects: BTreeMap<u64, Vec<Effect>>,
    /// Executions of reads that went to a primary and to a replica, by tenth of a second.
    pub reads: BTreeMap<u64, ReadCounts>,
    /// Executions at members that had been listed as draining for longer than the grace.
    pub executions_after_drain: u64,
    /// Executions that overloaded a member in slow start.
    pub overloads_while_warming_up: u64,
    recent_work: BTreeMap<u32, VecDeque<(Timestamp, TimeSpan)>>,
    /// Ids of statements that any member received.
    received: BTreeSet<u64>,
    /// Executions at all members.
    pub executions: u64,
    /// Connections that members accepted.
    pub connections: u64,
    /// Health checks that members received.
    pub health_checks: u64,
    /// Held by the connection that a crowded discovery answers.
    pub discovery_turn: Arc<Mutex<()>>,
    /// Complete lists that discovery sent with a length, and without one.
    pub lists_with_length: u64,
    /// See `lists_with_length`.
    pub lists_without_length: u64,
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
            discovery_turn: Arc::default(),
            lists_with_length: 0,
            lists_without_length: 0,
        }
    }

    /// All members' numbers.
    pub fn members(&self) -> impl Iterator<Item = u32> {
        1..=self.groups * (self.replicas + 1)
    }

    /// Whether a statement came to any member.
    pub fn has_received(&self, id: u64) -> bool {
        self.received.contains(&id)
    }

    /// Count of groups.
    pub fn groups(&self) -> u32 {
        self.groups
    }

    /// The member's group, from 1.
    pub fn group(&self, member: u32) -> u32 {
        (member - 1) / (self.replicas + 1) + 1
    }

    /// The group's primary at `now`.
    pub fn primary(&self, now: Timestamp, group: u32) -> u32 {
        let first = (group - 1) * (self.replicas + 1) + 1;
        self.script.primary(now - self.started_at, group, first).0
    }

    /// Whether the member is its group's primary at `now`.
    pub fn is_primary(&self, now: Timestamp, member: u32) -> bool {
        self.primary(now, self.group(member)) == member
    }

    fn faults(&self, now: Timestamp, member: u32) -> impl Iterator<Item = MemberFault> + '_ {
        let of = Some(self.group(member)).filter(|_| self.is_primary(now, member));
        self.script
            .faults(now - self.started_at, member, of)
            .map(|(f, _)| f)
    }

    /// Whether the member has this fault at `now`.
    pub fn has_fault(&self, now: Timestamp, member: u32, fault: MemberFault) -> bool {
        self.faults(now, member).any(|f| f == fault)
    }

    /// Whether the member closes all connections at `now`.
    pub fn is_down(&self, now: Timestamp, member: u32) -> bool {
        self.has_fault(now, member, MemberFault::Down)
    }

    /// Whether discovery lists the member as draining at `now`.
    pub fn is_draining(&self, now: Timestamp, member: u32) -> bool {
        self.has_fault(now, member, MemberFault::Draining)
    }

    /// Log position: the present at a primary, behind it at a replica; in complete milliseconds.
    pub fn position(&self, now: Timestamp, member: u32) -> Timestamp {
        let since = now - self.started_at;
        let lags = self
            .script
            .faults(since, member, None)
            .filter_map(|(f, from)| match f {
                // Applied records stay applied: the position stands still until the lag is reached.
                MemberFault::Lagging(by) => Some((now - by).max(self.started_at + from - self.lag)),
                _ => None,
            });
        let behind = lags.min().unwrap_or(now - self.lag);
        // Complete milliseconds, as members report them.
        let at = if self.is_primary(now, member) { now } else { behind };
        Timestamp(at.0 / 1000 * 1000)
    }

    /// Counts a health check; the member's position and whether it is primary, or `None` if it doesn't answer.
    pub fn health_check(&mut self, now: Timestamp, member: u32) -> Option<(Timestamp, bool)> {
        self.health_checks += 1;
        let hangs = self.has_fault(now, member, MemberFault::Unresponsive);
        (!hangs).then(|| (self.position(now, member), self.is_primary(now, member)))
    }

    /// When the member was last restarted, up to `now`.
    pub fn last_start(&self, now: Timestamp, member: u32) -> Option<Timestamp> {
        let last_start = self.script.last_start(now - self.started_at, member);
        last_start.map(|at| self.started_at + at)
    }

    /// Adds work to a member, and counts an overload in slow start: its capacity follows the mean load of other members.
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
        if let Some(capacity) = self.slow_start_capacity(now, member) {
            let limit = capacity * OVERLOAD_MULTIPLE * OVERLOAD_WINDOW.0 as f64;
            let is_overloaded = self.work_in_window(member) as f64 > limit;
            self.overloads_while_warming_up += u64::from(is_overloaded);
        }
    }

    /// When a member that is in slow start at `now` was restarted.
    fn slow_start_begin(&self, now: Timestamp, member: u32) -> Option<Timestamp> {
        self.last_start(now, member).filter(|at| now - *at < WARM_UP_TIME)
    }

    /// Microseconds of work that a member got within the window.
    fn work_in_window(&self, member: u32) -> u64 {
        let work = self.recent_work.get(&member);
        work.map_or(0, |work| work.iter().map(|(_, time)| time.0).sum())
    }

    /// Capacity, in cores, of a member in slow start; `None` for any other.
    fn slow_start_capacity(&self, now: Timestamp, member: u32) -> Option<f64> {
        let begin = self.slow_start_begin(now, member)?;
        let warm: Vec<u32> = self
            .members()
            .filter(|other| self.slow_start_begin(now, *other).is_none())
            .collect();
        let total: u64 = warm.iter().map(|other| self.work_in_window(*other)).sum();
        let mean_load = total as f64 / warm.len().max(1) as f64 / OVERLOAD_WINDOW.0 as f64;
        let progress = (now - begin).ratio(WARM_UP_TIME);
        let fraction = INITIAL_CAPACITY_FRACTION + (1.0 - INITIAL_CAPACITY_FRACTION) * progress;
        Some(mean_load.max(MIN_CAPACITY_CORES) * fraction)
    }

    /// Executes a complete statement at a member.
    pub fn execute(&mut self, now: Timestamp, member: u32, statement: &Statement) -> ExecutionOutcome {
        self.executions += 1;
        self.received.insert(statement.id);
        self.record_load(now, member, self.workloads[statement.workload].service_time);
        let member_faults = self.script.faults(now - self.started_at, member, None);
        let late = member_faults
            .filter(|(f, from)| *f == MemberFault::Draining && now - (self.started_at + *from) > DRAIN_GRACE);
        self.executions_after_drain += u64::from(late.count() > 0);
        let faults: Vec<MemberFault> = self.faults(now, member).collect();
        let (is_primary, position) = (self.is_primary(now, member), self.position(now, member));
        let delays = faults.iter().filter_map(|f| match f {
            MemberFault::Slow(by) => Some(*by),
            _ => None,
        });
        let workload = &self.workloads[statement.workload];
        let kind = workload.kind;
        let delay = TimeSpan(workload.service_time.0 + delays.max().unwrap_or_default().0);
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
                effects.push(Effect { member, at: now });
            }
        } else {
            let since = (now - self.started_at).0 / 100_000;
            let reads = self.reads.entry(since).or_default();
            if is_primary {
                reads.primary += 1;
            } else {
                reads.replica += 1;
            }
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
