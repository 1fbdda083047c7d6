//! Test harness: one driver and builders of its inputs.
#![allow(dead_code)] // each test file uses only some of the helpers

use asterlatch::interface::*;
use asterlatch::policy::RoutingPolicy;
use asterlatch::time::{RemoteTimestamp, TimeSpan, Timestamp};

pub(crate) const READ: usize = 0;
pub(crate) const BOUNDED: usize = 1;
pub(crate) const WRITE: usize = 2;
pub(crate) const FRESH: usize = 3;
pub(crate) const SESSION: usize = 4;

pub(crate) fn ms(milliseconds: u64) -> TimeSpan {
    TimeSpan::millis(milliseconds)
}

pub(crate) fn at(now_ms: u64) -> Timestamp {
    Timestamp(1_000_000_000) + ms(now_ms)
}

/// A time of the members' clock, which is the driver's clock unless a test states otherwise.
pub(crate) fn remote_at(now_ms: u64) -> RemoteTimestamp {
    RemoteTimestamp(at(now_ms).0)
}

pub(crate) fn settings() -> Settings {
    let workload = |freshness, safety| WorkloadSettings {
        importance: 1.0,
        late_share: 0.0,
        slo_time: ms(500),
        retry_safety: safety,
        deduplication_scope: DeduplicationScope::Group,
        deduplication_window: ms(1000),
        freshness,
    };
    Settings {
        driver_count: 1,
        tick: ms(1),
        workloads: vec![
            workload(Freshness::Any, RetrySafety::Idempotent),
            workload(Freshness::Bounded(ms(300)), RetrySafety::Idempotent),
            workload(Freshness::Write, RetrySafety::NonIdempotent),
            workload(Freshness::Fresh, RetrySafety::Idempotent),
            workload(Freshness::Session, RetrySafety::Idempotent),
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

pub(crate) fn settings_with(change: impl FnOnce(&mut Settings)) -> Settings {
    let mut settings = settings();
    change(&mut settings);
    settings
}

pub(crate) fn member_entry(id: u32) -> MemberEntry {
    MemberEntry {
        id,
        fleet_key: u64::from(id),
        group: 7,
        capacity: 1.0,
        listed_as_primary: id == 1,
        ..MemberEntry::default()
    }
}

pub(crate) fn member_in_state(id: u32, listed_state: MemberState) -> MemberEntry {
    let entry = member_entry(id);
    MemberEntry {
        state: listed_state,
        ..entry
    }
}

pub(crate) fn draining_member(id: u32) -> MemberEntry {
    member_in_state(id, MemberState::Draining)
}

pub(crate) fn started_member(id: u32, started_at: RemoteTimestamp) -> MemberEntry {
    let (start, entry) = (Some(started_at), member_entry(id));
    MemberEntry {
        started_at: start,
        ..entry
    }
}

pub(crate) fn statement(id: u32, workload: usize, time_left_ms: u64) -> Statement {
    Statement {
        id,
        workload,
        group: 7,
        session: 9,
        time_left: ms(time_left_ms),
        ..Statement::default()
    }
}

pub(crate) fn execution_end(
    statement_id: u32,
    member: u32,
    execution_outcome: ExecutionOutcome,
    latency_ms: u64,
    reported: ReplicaStatus,
) -> ExecutionEnd {
    let (first_attempt, duration, is_final) = (
        0,
        ms(latency_ms),
        execution_outcome == ExecutionOutcome::Completed,
    );
    ExecutionEnd {
        statement: statement_id,
        attempt: first_attempt,
        member,
        outcome: execution_outcome,
        latency: duration,
        is_answered: is_final,
        status: reported,
    }
}

pub(crate) struct Harness {
    pub(crate) driver: RoutingPolicy,
    last_statement: u32,
    attempts: std::collections::BTreeMap<u32, u8>,
}

pub(crate) fn new_harness(settings: &Settings, members: u32) -> Harness {
    let mut driver = RoutingPolicy::new(settings, 5, at(0));
    driver.set_shared_clock();
    let entries: Vec<_> = (1..=members).map(member_entry).collect();
    driver.on_endpoint_list(at(0), &entries, true);
    Harness {
        driver,
        last_statement: 0,
        attempts: Default::default(),
    }
}

impl Harness {
    /// Submits a statement; returns its id and the actions.
    pub(crate) fn submit(&mut self, now: u64, workload: usize) -> (u32, Actions) {
        self.submit_with(now, workload, 2000, 0)
    }

    /// Submits a statement; returns the members to which it was sent.
    pub(crate) fn route(&mut self, now: u64, workload: usize) -> Vec<u32> {
        sent_to(&self.submit(now, workload).1)
    }

    pub(crate) fn submit_with(
        &mut self,
        now: u64,
        workload: usize,
        time_left_ms: u64,
        tenant: usize,
    ) -> (u32, Actions) {
        self.last_statement += 1;
        let default = statement(self.last_statement, workload, time_left_ms);
        let statement = Statement { tenant, ..default };
        (self.last_statement, self.driver.on_statement(at(now), &statement))
    }

    /// Id of the statement that was submitted last.
    pub(crate) fn last_statement(&self) -> u32 {
        self.last_statement
    }

    pub(crate) fn update_endpoint(&mut self, now: u64, entry: MemberEntry) -> Actions {
        self.driver.on_endpoint_list(at(now), &[entry], false)
    }

    pub(crate) fn end_execution(
        &mut self,
        now: u64,
        statement: u32,
        attempt: u8,
        member: u32,
        outcome: ExecutionOutcome,
    ) -> Actions {
        self.end_with_status(now, statement, attempt, member, outcome, ReplicaStatus::default())
    }

    pub(crate) fn end_with_status(
        &mut self,
        now: u64,
        statement: u32,
        attempt_number: u8,
        member: u32,
        outcome: ExecutionOutcome,
        status: ReplicaStatus,
    ) -> Actions {
        let first = execution_end(statement, member, outcome, 50, status);
        let end = ExecutionEnd {
            attempt: attempt_number,
            ..first
        };
        self.driver.on_execution_ended(at(now), &end)
    }

    pub(crate) fn answer_health_check(
        &mut self,
        now: u64,
        member: u32,
        position: u64,
        is_primary: bool,
    ) -> Actions {
        let status = replica_status(position, is_primary);
        self.driver.on_health_check(at(now), member, true, ms(1), status)
    }

    pub(crate) fn run_statement(&mut self, now: u64, workload: usize, outcome: ExecutionOutcome) -> usize {
        self.run_with(now, workload, |_| outcome).len()
    }

    /// Submits a statement and ends all executions that follow, including those of statements that had
    /// waited. Returns the members that executed them.
    pub(crate) fn run_with(
        &mut self,
        now: u64,
        workload: usize,
        outcome: impl Fn(u32) -> ExecutionOutcome,
    ) -> Vec<u32> {
        let (_, actions) = self.submit(now, workload);
        let (mut pending, mut members) = (actions.executions, Vec::new());
        while let Some(execution) = pending.pop() {
            let next_attempt = self.attempts.entry(execution.statement).or_default();
            let attempt = std::mem::replace(next_attempt, *next_attempt + 1);
            let actions = self.end_execution(
                now + 1,
                execution.statement,
                attempt,
                execution.member,
                outcome(execution.member),
            );
            pending.extend(actions.executions);
            members.push(execution.member);
        }
        members
    }

    /// Submits 40 reads; returns the executions that started, as statement and member.
    pub(crate) fn saturate(&mut self, now: u64) -> Vec<(u32, u32)> {
        let executions = (0..40).flat_map(|_| self.submit(now, READ).1.executions);
        executions.map(|e| (e.statement, e.member)).collect()
    }

    /// Advances the clock millisecond by millisecond; returns all actions.
    pub(crate) fn run_until(&mut self, from: u64, until: u64) -> Actions {
        let mut merged = Actions::default();
        for now in from..=until {
            let actions = self.driver.advance_to(at(now));
            merged.cancellations.extend(actions.cancellations);
            merged.executions.extend(actions.executions);
            merged.answers.extend(actions.answers);
            merged.health_checks.extend(actions.health_checks);
            merged.poll_endpoint_list |= actions.poll_endpoint_list;
        }
        merged
    }
}

pub(crate) fn replica_status(position: u64, is_primary: bool) -> ReplicaStatus {
    ReplicaStatus {
        position: Some(remote_at(position)),
        is_position_current: true,
        is_primary: Some(is_primary),
    }
}

/// Members to which executions are sent.
pub(crate) fn sent_to(actions: &Actions) -> Vec<u32> {
    actions.executions.iter().map(|e| e.member).collect()
}

/// The final answer to a statement, or an empty string.
pub(crate) fn answer(actions: &Actions, id: u32) -> &'static str {
    let answers = actions.answers.iter().filter_map(|answer| match answer {
        Answer::Rejected {
            statement: answered, ..
        } if *answered == id => Some("rejected"),
        Answer::Aborted { statement: answered } if *answered == id => Some("aborted"),
        _ => None,
    });
    let answers: Vec<_> = answers.collect();
    assert!(answers.len() < 2, "statement {id} has more than one final answer");
    answers.first().copied().unwrap_or("")
}
