//! Model of the replicated store: groups with a primary and replicas, log positions, and the executions of
//! all writes.

use crate::fault_script::{FaultScript, MemberFault};
use asterlatch::time::{TimeSpan, Timestamp};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::{Arc, Mutex};

/// Time for which a draining member may still receive statements after it was listed, tolerance included.
const DRAIN_GRACE: TimeSpan = TimeSpan::millis(2050);

/// A member in slow start is overloaded if its work within this window exceeds `OVERLOAD_MULTIPLE` times its
/// capacity, which grows from `INITIAL_CAPACITY_FRACTION` to 1 within `WARM_UP_TIME`. The values match the
/// drivers' settings.
const OVERLOAD_WINDOW: TimeSpan = TimeSpan::millis(2000);
const OVERLOAD_MULTIPLE: f64 = 4.0;
const INITIAL_CAPACITY_FRACTION: f64 = 0.2;
const WARM_UP_TIME: TimeSpan = TimeSpan::millis(3000);
/// Minimum capacity of a member after slow start; the drivers assume the same.
const MIN_CAPACITY_CORES: f64 = 1.0;

/// What a workload's statements require.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkloadKind {
    /// A read that accepts data of any age.
    AnyReplica,
    /// A read that accepts data up to this age.
    BoundedStaleness(TimeSpan),
    /// A read that sees the writes of its session.
    ReadYourWrites,
    /// A write.
    Write {
        /// Whether a second execution of the same id has no effect.
        deduplicated: bool,
    },
}

/// A class of statements with the same requirements.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Name in the drivers' configuration.
    pub name: &'static str,
    /// Requirements of its statements.
    pub kind: WorkloadKind,
    /// Fraction of all statements.
    pub share: f64,
    /// Time after which clients give up.
    pub timeout: TimeSpan,
    /// Duration of an execution.
    pub service_time: TimeSpan,
}

/// Workloads of a ledger: balances may be 800 ms old, a payment must not be executed twice.
pub fn workloads() -> Vec<Workload> {
    let workload = |name, kind, share, timeout_ms, service_time_us| Workload {
        name,
        kind,
        share,
        timeout: TimeSpan::millis(timeout_ms),
        service_time: TimeSpan(service_time_us),
    };
    vec![
        workload(
            "balance-view",
            WorkloadKind::BoundedStaleness(TimeSpan::millis(800)),
            0.5,
            600,
            1500,
        ),
        workload("history-view", WorkloadKind::AnyReplica, 0.2, 2000, 4000),
        workload("own-view", WorkloadKind::ReadYourWrites, 0.1, 600, 1500),
        workload(
            "payment-post",
            WorkloadKind::Write { deduplicated: false },
            0.15,
            800,
            2500,
        ),
        workload(
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
    /// The same for all attempts.
    pub id: u64,
    /// Index into the workloads.
    pub workload: usize,
    /// Minimum log position that a read requires.
    pub min_position: Timestamp,
}

/// Kind of a member's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The row that was read or written.
    Row {
        /// Log position of the data.
        position: Timestamp,
    },
    /// Rejected: the member isn't the primary.
    NoPrimary,
    /// Rejected: the member's log is too far behind for the read.
    Behind,
    /// An error that doesn't tell whether the statement was executed.
    Failed,
    /// The statement is executed and the connection closed without an answer.
    ConnectionLost,
    /// Neither an answer nor the end of the connection.
    NoAnswer,
    /// The connection is closed before execution.
    Refused,
}

/// A member's answer to a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExecutionOutcome {
    /// The answer.
    pub reply: Reply,
    /// Time from the statement's arrival to its answer.
    pub delay: TimeSpan,
}

/// One execution of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Effect {
    /// Number of the member.
    pub member: u32,
    /// Time of the execution.
    pub at: Timestamp,
}

/// Numbers of reads that members executed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReadCounts {
    /// At primaries.
    pub primary: u32,
    /// At replicas.
    pub replica: u32,
}

impl ReadCounts {
    /// Reads at primaries and replicas.
    pub fn total(self) -> u32 {
        self.primary + self.replica
    }

    /// Fraction of reads at primaries, from 0 to 1; 0 if there were no reads.
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

/// State of all members, shared by all threads of the test bed.
pub struct StoreModel {
    /// Scripted faults; their times count from `started_at`.
    pub script: FaultScript,
    /// Start of the load.
    pub started_at: Timestamp,
    /// Whether listening threads exit at their next connection.
    pub is_shut_down: bool,
    /// All workloads, in the order of their indexes.
    pub workloads: Vec<Workload>,
    groups: u32,
    replicas: u32,
    /// Whether members reject reads for which they are too far behind, or answer them with stale data.
    pub rejects_stale_reads: bool,
    /// Replication lag in the absence of faults.
    lag: TimeSpan,
    /// Executions of each write, by statement id.
    pub effects: BTreeMap<u64, Vec<Effect>>,
    /// Executions of reads, by tenths of a second since `started_at`.
    pub reads: BTreeMap<u64, ReadCounts>,
    /// Executions at members that had been listed as draining for longer than the grace period.
    pub executions_after_drain: u64,
    /// Executions that overloaded a member in slow start.
    pub overloads_while_warming_up: u64,
    /// Work of each member within `OVERLOAD_WINDOW`: arrival and service time.
    recent_work: BTreeMap<u32, VecDeque<(Timestamp, TimeSpan)>>,
    /// Ids of statements that any member received.
    received: BTreeSet<u64>,
    /// Executions at all members.
    pub executions: u64,
    /// Connections that members accepted.
    pub connections: u64,
    /// Health checks that members received.
    pub health_checks: u64,
    /// Lock that serializes the responses of discovery under `DiscoveryCrowded`.
    pub discovery_lock: Arc<Mutex<()>>,
    /// Endpoint lists that discovery sent with a `Content-Length`.
    pub lists_with_length: u64,
    /// Endpoint lists that discovery sent without a `Content-Length`.
    pub lists_without_length: u64,
}

impl StoreModel {
    /// Creates a store with members numbered from 1, group by group. The first of each group is its initial
    /// primary.
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
            discovery_lock: Arc::default(),
            lists_with_length: 0,
            lists_without_length: 0,
        }
    }

    /// Numbers of all members.
    pub fn members(&self) -> impl Iterator<Item = u32> {
        1..=self.groups * (self.replicas + 1)
    }

    /// Whether any member has received the statement.
    pub fn has_received(&self, id: u64) -> bool {
        self.received.contains(&id)
    }

    /// Number of groups.
    pub fn groups(&self) -> u32 {
        self.groups
    }

    /// Number of the member's group, from 1.
    pub fn group(&self, member: u32) -> u32 {
        (member - 1) / (self.replicas + 1) + 1
    }

    /// Number of the group's primary at `now`.
    pub fn primary(&self, now: Timestamp, group: u32) -> u32 {
        let initial = (group - 1) * (self.replicas + 1) + 1;
        self.script.primary(now - self.started_at, group, initial).0
    }

    /// Whether the member is its group's primary at `now`.
    pub fn is_primary(&self, now: Timestamp, member: u32) -> bool {
        self.primary(now, self.group(member)) == member
    }

    fn faults(&self, now: Timestamp, member: u32) -> impl Iterator<Item = MemberFault> + '_ {
        let primary_of = Some(self.group(member)).filter(|_| self.is_primary(now, member));
        self.script
            .faults(now - self.started_at, member, primary_of)
            .map(|(fault, _)| fault)
    }

    /// Whether the member has this fault at `now`.
    pub fn has_fault(&self, now: Timestamp, member: u32, fault: MemberFault) -> bool {
        self.faults(now, member).any(|active| active == fault)
    }

    /// Whether the member is down at `now`.
    pub fn is_down(&self, now: Timestamp, member: u32) -> bool {
        self.has_fault(now, member, MemberFault::Down)
    }

    /// Whether discovery lists the member as draining at `now`.
    pub fn is_draining(&self, now: Timestamp, member: u32) -> bool {
        self.has_fault(now, member, MemberFault::Draining)
    }

    /// Log position of a member, in complete milliseconds: `now` at a primary, behind it at a replica.
    pub fn position(&self, now: Timestamp, member: u32) -> Timestamp {
        let elapsed = now - self.started_at;
        let lags = self
            .script
            .faults(elapsed, member, None)
            .filter_map(|(fault, from)| match fault {
                // A replica doesn't undo applied records: its position pauses until the lag is reached.
                MemberFault::Lagging(lag) => Some((now - lag).max(self.started_at + from - self.lag)),
                _ => None,
            });
        let replica_position = lags.min().unwrap_or(now - self.lag);
        let position = if self.is_primary(now, member) {
            now
        } else {
            replica_position
        };
        Timestamp(position.0 / 1000 * 1000)
    }

    /// Counts a health check; returns the member's position and whether it is primary, or `None` if it
    /// doesn't answer.
    pub fn health_check(&mut self, now: Timestamp, member: u32) -> Option<(Timestamp, bool)> {
        self.health_checks += 1;
        let is_unresponsive = self.has_fault(now, member, MemberFault::Unresponsive);
        (!is_unresponsive).then(|| (self.position(now, member), self.is_primary(now, member)))
    }

    /// Time of the member's last restart, up to `now`.
    pub fn last_start(&self, now: Timestamp, member: u32) -> Option<Timestamp> {
        let last_start = self.script.last_start(now - self.started_at, member);
        last_start.map(|at| self.started_at + at)
    }

    /// Adds work to a member and counts an overload if it is in slow start.
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
            let is_overloaded = self.work_in_window_us(member) as f64 > limit;
            self.overloads_while_warming_up += u64::from(is_overloaded);
        }
    }

    /// Start of a member's slow start; `None` if it isn't in slow start at `now`.
    fn slow_start_since(&self, now: Timestamp, member: u32) -> Option<Timestamp> {
        self.last_start(now, member).filter(|at| now - *at < WARM_UP_TIME)
    }

    /// Work of a member within the window, in microseconds.
    fn work_in_window_us(&self, member: u32) -> u64 {
        let work = self.recent_work.get(&member);
        work.map_or(0, |work| work.iter().map(|(_, time)| time.0).sum())
    }

    /// Capacity in cores of a member in slow start, in proportion to the mean load of the warm members;
    /// otherwise `None`.
    fn slow_start_capacity(&self, now: Timestamp, member: u32) -> Option<f64> {
        let since = self.slow_start_since(now, member)?;
        let warm_members: Vec<u32> = self
            .members()
            .filter(|other| self.slow_start_since(now, *other).is_none())
            .collect();
        let total: u64 = warm_members
            .iter()
            .map(|other| self.work_in_window_us(*other))
            .sum();
        let mean_load = total as f64 / warm_members.len().max(1) as f64 / OVERLOAD_WINDOW.0 as f64;
        let progress = (now - since).ratio(WARM_UP_TIME);
        let fraction = INITIAL_CAPACITY_FRACTION + (1.0 - INITIAL_CAPACITY_FRACTION) * progress;
        Some(mean_load.max(MIN_CAPACITY_CORES) * fraction)
    }

    /// Executes a statement at a member, under the faults that are active at `now`.
    pub fn execute(&mut self, now: Timestamp, member: u32, statement: &Statement) -> ExecutionOutcome {
        self.executions += 1;
        self.received.insert(statement.id);
        self.record_load(now, member, self.workloads[statement.workload].service_time);
        let member_faults = self.script.faults(now - self.started_at, member, None);
        let expired_drains = member_faults.filter(|(fault, from)| {
            *fault == MemberFault::Draining && now - (self.started_at + *from) > DRAIN_GRACE
        });
        self.executions_after_drain += u64::from(expired_drains.count() > 0);
        let faults: Vec<MemberFault> = self.faults(now, member).collect();
        let (is_primary, position) = (self.is_primary(now, member), self.position(now, member));
        let delays = faults.iter().filter_map(|fault| match fault {
            MemberFault::Slow(delay) => Some(*delay),
            _ => None,
        });
        let workload = &self.workloads[statement.workload];
        let kind = workload.kind;
        let delay = TimeSpan(workload.service_time.0 + delays.max().unwrap_or_default().0);
        let outcome = |reply| ExecutionOutcome { reply, delay };
        if faults.contains(&MemberFault::Unresponsive) {
            return outcome(Reply::NoAnswer);
        }
        if faults.contains(&MemberFault::Down) {
            return outcome(Reply::Refused);
        }
        if let WorkloadKind::Write { deduplicated } = kind {
            if !is_primary {
                return outcome(Reply::NoPrimary);
            }
            let effects = self.effects.entry(statement.id).or_default();
            if !deduplicated || effects.is_empty() {
                effects.push(Effect { member, at: now });
            }
        } else {
            let tenth = (now - self.started_at).0 / 100_000;
            let reads = self.reads.entry(tenth).or_default();
            if is_primary {
                reads.primary += 1;
            } else {
                reads.replica += 1;
            }
            let min_position = match kind {
                WorkloadKind::BoundedStaleness(bound) => now - bound,
                WorkloadKind::ReadYourWrites => statement.min_position,
                WorkloadKind::AnyReplica | WorkloadKind::Write { .. } => Timestamp(0),
            };
            if self.rejects_stale_reads && position < min_position {
                return outcome(Reply::Behind);
            }
        }
        if faults.contains(&MemberFault::DropsAnswers) {
            return outcome(Reply::ConnectionLost);
        }
        if faults.contains(&MemberFault::Failing) {
            return outcome(Reply::Failed);
        }
        outcome(Reply::Row { position })
    }
}
