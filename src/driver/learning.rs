//! Updates of members, latency estimates and session positions from executions.

use super::{RoutingPolicy, MAX_TRACKED_SESSIONS};
use crate::concurrency_limit::MAX_UNANSWERED_LATENCIES;
use crate::interface::ExecutionOutcome::*;
use crate::interface::*;
use crate::policy::definitely_not_executed;
use crate::state::*;
use crate::time::{RemoteTimestamp, TimeSpan, Timestamp};

impl RoutingPolicy {
    /// Removes an ended execution from its member's concurrency count and updates the member's health.
    pub(crate) fn release_execution(&mut self, index: usize, outcome: ExecutionOutcome) {
        let member = &mut self.members[index];
        member.in_flight = member.in_flight.saturating_sub(1);
        self.changed_groups.insert(member.group);
        self.unscheduled_members.push(index);
        if matches!(outcome, Completed | NotEligible | Errored | Rejected) {
            self.zones.record_answer(member.zone, self.now);
            member.unanswered_since = self.now;
            member.ejected = false;
            member.unresponsive_until = Timestamp(0);
        } else if outcome != NotSent {
            member.connections = member.connections.saturating_sub(1);
        }
    }

    /// Updates the estimates of connection cost, typical latency and throughput.
    pub(crate) fn learn_latency(
        &mut self,
        execution: &InFlightExecution,
        end: &ExecutionEnd,
        slo_time: TimeSpan,
    ) {
        let typical = self.typical.of(execution.workload);
        if execution.new_connection && matches!(end.outcome, NoConnection | Completed) {
            let failed = if end.outcome == NoConnection { 1.0 } else { 0.0 };
            let cost = (end.latency - typical).ratio(slo_time).max(failed).min(1.0);
            smooth(&mut self.connection_cost, cost);
        }
        if end.outcome == Completed {
            self.typical.record(execution.workload, end.latency);
            let work = self.typical.of(execution.workload);
            self.throughput.add(self.now, work, self.settings.overload_window);
        }
    }

    /// Records the position of a session's write where statements do not carry it.
    pub(crate) fn learn_commit(&mut self, execution: &InFlightExecution, end: &ExecutionEnd) {
        if self.is_tracked_write(execution) && !definitely_not_executed(end.outcome) {
            self.record_write(self.now, Some(execution.session), end.status.position);
        }
    }

    /// Whether an execution is a write whose position this driver has to track for its session.
    pub(crate) fn is_tracked_write(&self, execution: &InFlightExecution) -> bool {
        let is_write = self.settings.workloads[execution.workload].freshness == Freshness::Write;
        is_write && !self.settings.carries_session_position
    }

    /// Records a write of a session, or of any session if it is `None`. A write whose position was not reported,
    /// or whose answer was lost, is assumed to have committed by `now`. Until a remote time is known for that, no
    /// replica counts as up to date for any session.
    pub(crate) fn record_write(
        &mut self,
        now: Timestamp,
        session: Option<u64>,
        position: Option<RemoteTimestamp>,
    ) {
        let Some(position) = position.or(self.remote_clock.latest(now)) else {
            self.unpositioned_commit_at = Some(now);
            return;
        };
        match session {
            Some(session) => self.sessions.record(session, position, MAX_TRACKED_SESSIONS),
            None => self.sessions.clamp_all(position, RemoteTimestamp(u64::MAX)),
        }
        // Open reads of the session may be dispatched after the write and must see it too.
        for statement in self.statements.values_mut() {
            if statement.session > 0 && session.is_none_or(|session| session == statement.session) {
                statement.required_position = statement.required_position.max(position);
            }
        }
    }

    /// SLO time used up before a client's retry: the time by which it has less left than first attempts of
    /// its workload.
    pub(crate) fn elapsed_slo_time(&mut self, statement: &Statement) -> TimeSpan {
        let first_time_left = &mut self.first_time_left[statement.workload];
        if !statement.is_client_retry {
            *first_time_left = statement.time_left;
        }
        *first_time_left - statement.time_left
    }

    /// Log position that a session read must see.
    pub(crate) fn required_position(&self, statement: &Statement) -> RemoteTimestamp {
        if self.settings.workloads[statement.workload].freshness != Freshness::Session {
            return RemoteTimestamp(0);
        }
        if !self.settings.carries_session_position {
            return self.sessions.required(statement.session);
        }
        statement.session_position.unwrap_or_default()
    }

    /// Readmits a member that answered a health check. Executions that it left unanswered while ejected are
    /// lost or stuck and no longer count against its limit.
    pub(crate) fn readmit(&mut self, index: usize) {
        let before = self.now - self.max_typical_latency() * MAX_UNANSWERED_LATENCIES;
        let member = &mut self.members[index];
        member.unanswered_since = self.now;
        if std::mem::take(&mut member.ejected) {
            let abandoned = self.in_flight.abandon(index, before);
            member.in_flight -= abandoned;
            member.connections = member.connections.saturating_sub(abandoned);
        }
    }
}
