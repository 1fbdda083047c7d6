//! A driver at a made-up store, and what it did at each call.
#![allow(dead_code)] // each test file uses a part

use asterlatch::interface::*;
use asterlatch::policy::RoutingPolicy;
use asterlatch::time::{RemoteTimestamp, TimeSpan, Timestamp};

pub(crate) const READ: usize = 0;
pub(crate) const BOUNDED: usize = 1;
pub(crate) const WRITE: usize = 2;
pub(crate) const FRESH: usize = 3;
pub(crate) const SESSION: usize = 4;

pub(crate) fn ms(n: u64) -> TimeSpan {
    TimeSpan::millis(n)
}

pub(crate) fn at(n: u64) -> Timestamp {
    Timestamp(1_000_000_000) + ms(n)
}

/// The members' clock, which the driver shares unless a test says otherwise.
pub(crate) fn remote(n: u64) -> RemoteTimestamp {
    RemoteTimestamp(at(n).0)
}

pub(crate) fn settings() -> Settings {
    let row = |freshness, repeat| WorkloadSettings {
        importance: 1.0,
        late_share: 0.0,
        slo_time: ms(500),
        retry_safety: repeat,
        deduplication_scope: DeduplicationScope::Group,
        deduplication_window: ms(1000),
        freshness,
    };
    Settings {
        driver_count: 1,
        tick: ms(1),
        workloads: vec![
            row(Freshness::Any, RetrySafety::Idempotent),
            row(Freshness::Bounded(ms(300)), RetrySafety::Idempotent),
            row(Freshness::Write, RetrySafety::NonIdempotent),
            row(Freshness::Fresh, RetrySafety::Idempotent),
            row(Freshness::Session, RetrySafety::Idempotent),
        ],
        over_quota_share: 1.0,
        members_check_reads: true,
        carries_session_position: true,
        max_poll_interval: ms(10_000),
        cold_start_fraction: 0.2,
        warm_up_time: ms(10_000),
        overload_multiple: 2.0,
        overload_window: ms(2000),
        max_executions: 6,
        idle_connection_timeout: ms(30_000),
        cancel_allowed: true,
        health_checks_allowed: true,
        max_retry_after: ms(100),
        ..Settings::default()
    }
}

pub(crate) fn with(change: impl FnOnce(&mut Settings)) -> Settings {
    let mut s = settings();
    change(&mut s);
    s
}

pub(crate) fn member(id: u32) -> MemberEntry {
    MemberEntry {
        id,
        fleet_key: u64::from(id),
        group: 7,
        capacity: 1.0,
        listed_as_primary: id == 1,
        ..MemberEntry::default()
    }
}

pub(crate) fn standing(id: u32, standing: MemberState) -> MemberEntry {
    let plain = member(id);
    MemberEntry {
        state: standing,
        ..plain
    }
}

pub(crate) fn drained(id: u32) -> MemberEntry {
    standing(id, MemberState::Draining)
}

pub(crate) fn started(id: u32, when: RemoteTimestamp) -> MemberEntry {
    let (started, plain) = (Some(when), member(id));
    MemberEntry {
        started_at: started,
        ..plain
    }
}

pub(crate) fn statement(id: u32, workload: usize, left: u64) -> Statement {
    Statement {
        id,
        workload,
        group: 7,
        session: 9,
        time_left: ms(left),
        ..Statement::default()
    }
}

pub(crate) fn ended(
    stmt: u32,
    member: u32,
    ending: ExecutionOutcome,
    took: u64,
    sighting: ReplicaStatus,
) -> ExecutionEnd {
    let (number, took, settled) = (0, ms(took), ending == ExecutionOutcome::Completed);
    ExecutionEnd {
        statement: stmt,
        attempt: number,
        member,
        outcome: ending,
        latency: took,
        is_answered: settled,
        status: sighting,
    }
}

pub(crate) struct Bench {
    pub(crate) driver: RoutingPolicy,
    next: u32,
    numbers: std::collections::BTreeMap<u32, u8>,
}

pub(crate) fn bench(settings: &Settings, members: u32) -> Bench {
    let mut driver = RoutingPolicy::new(settings, 5, at(0));
    driver.set_shared_clock();
    let entries: Vec<_> = (1..=members).map(member).collect();
    driver.on_endpoint_list(at(0), &entries, true);
    Bench {
        driver,
        next: 0,
        numbers: Default::default(),
    }
}

impl Bench {
    pub(crate) fn take(&mut self, now: u64, workload: usize) -> (u32, Actions) {
        self.take_by(now, workload, 2000, 0)
    }

    pub(crate) fn goes(&mut self, now: u64, workload: usize) -> Vec<u32> {
        sent_to(&self.take(now, workload).1)
    }

    pub(crate) fn take_by(&mut self, now: u64, workload: usize, left: u64, tenant: usize) -> (u32, Actions) {
        self.next += 1;
        let plain = statement(self.next, workload, left);
        let stmt = Statement { tenant, ..plain };
        (self.next, self.driver.on_statement(at(now), &stmt))
    }

    /// Id of the statement that was sent last.
    pub(crate) fn last_statement(&self) -> u32 {
        self.next
    }

    pub(crate) fn told(&mut self, now: u64, entry: MemberEntry) -> Actions {
        self.driver.on_endpoint_list(at(now), &[entry], false)
    }

    pub(crate) fn end(
        &mut self,
        now: u64,
        stmt: u32,
        number: u8,
        member: u32,
        ending: ExecutionOutcome,
    ) -> Actions {
        self.end_seen(now, stmt, number, member, ending, ReplicaStatus::default())
    }

    pub(crate) fn end_seen(
        &mut self,
        now: u64,
        s: u32,
        number: u8,
        m: u32,
        e: ExecutionOutcome,
        seen: ReplicaStatus,
    ) -> Actions {
        let first = ended(s, m, e, 50, seen);
        let end = ExecutionEnd {
            attempt: number,
            ..first
        };
        self.driver.on_execution_ended(at(now), &end)
    }

    pub(crate) fn see(&mut self, now: u64, member: u32, position: u64, primary: bool) -> Actions {
        let sighting = seen(position, primary);
        self.driver
            .on_health_check(at(now), member, true, ms(1), sighting)
    }

    pub(crate) fn run_through(&mut self, now: u64, workload: usize, ending: ExecutionOutcome) -> usize {
        self.run_by(now, workload, |_| ending).len()
    }

    /// Ends every execution that a statement leads to, also those of others that waited; the members they went to.
    pub(crate) fn run_by(
        &mut self,
        now: u64,
        workload: usize,
        ending: impl Fn(u32) -> ExecutionOutcome,
    ) -> Vec<u32> {
        let (_, r) = self.take(now, workload);
        let (mut todo, mut members) = (r.executions, Vec::new());
        while let Some(e) = todo.pop() {
            let number = self.numbers.entry(e.statement).or_default();
            let n = std::mem::replace(number, *number + 1);
            let r = self.end(now + 1, e.statement, n, e.member, ending(e.member));
            todo.extend(r.executions);
            members.push(e.member);
        }
        members
    }

    pub(crate) fn crowd(&mut self, now: u64) -> Vec<(u32, u32)> {
        let all = (0..40).flat_map(|_| self.take(now, READ).1.executions);
        all.map(|e| (e.statement, e.member)).collect()
    }

    pub(crate) fn run_until(&mut self, from: u64, until: u64) -> Actions {
        let mut all = Actions::default();
        for now in from..=until {
            let r = self.driver.advance_to(at(now));
            all.cancellations.extend(r.cancellations);
            all.executions.extend(r.executions);
            all.answers.extend(r.answers);
            all.health_checks.extend(r.health_checks);
            all.poll_endpoint_list |= r.poll_endpoint_list;
        }
        all
    }
}

pub(crate) fn seen(position: u64, primary: bool) -> ReplicaStatus {
    ReplicaStatus {
        position: Some(remote(position)),
        is_primary: Some(primary),
    }
}

pub(crate) fn sent_to(r: &Actions) -> Vec<u32> {
    r.executions.iter().map(|e| e.member).collect()
}

pub(crate) fn answer(r: &Actions, id: u32) -> &'static str {
    let found = r.answers.iter().filter_map(|a| match a {
        Answer::Rejected { statement: stmt, .. } if *stmt == id => Some("rejected"),
        Answer::Aborted { statement: stmt } if *stmt == id => Some("aborted"),
        _ => None,
    });
    let all: Vec<_> = found.collect();
    assert!(all.len() < 2, "more than one final answer");
    all.first().copied().unwrap_or("")
}
