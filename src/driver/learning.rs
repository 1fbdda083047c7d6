//! What an ended execution tells of its member, of latencies and of its session.

use super::{RoutingPolicy, MOST_SESSIONS};
use crate::concurrency_limit::UNANSWERED_LATENCIES;
use crate::interface::ExecutionOutcome::*;
use crate::interface::*;
use crate::policy::definitely_not_executed;
use crate::state::*;
use crate::time::{RemoteTimestamp, TimeSpan, Timestamp};

impl RoutingPolicy {
    /// The execution no longer counts against its member's limit.
    pub(crate) fn release_execution(&mut self, place: usize, outcome: ExecutionOutcome) {
        let member = &mut self.members[place];
        member.in_flight = member.in_flight.saturating_sub(1);
        self.changed_groups.insert(member.group);
        self.unscheduled_members.push(place);
        if matches!(outcome, Completed | NotEligible | Errored | Rejected) {
            self.zones.record_answer(member.zone, self.now);
            member.oldest_unanswered = self.now;
            member.ejected = false;
            member.unresponsive_until = Timestamp(0);
        } else if outcome != NotSent {
            member.connections = member.connections.saturating_sub(1);
        }
    }

    /// Adjusts the estimates of connection cost, typical latency and throughput.
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

    /// Remembers where a session's write was committed, where statements don't carry its age. A write without a reported
    /// position, or whose answer was lost, is taken to have committed by now; while no remote time is known for that, no
    /// replica is taken to show any session's writes.
    pub(crate) fn learn_commit(&mut self, execution: &InFlightExecution, end: &ExecutionEnd) {
        let is_write = self.settings.workloads[execution.workload].freshness == Freshness::Write;
        if !is_write || self.settings.carries_session_position || definitely_not_executed(end.outcome) {
            return;
        }
        let session = execution.session;
        let committed_by = end.status.position.or(self.remote_clock.latest(self.now));
        let Some(position) = committed_by else {
            self.unplaced_commit_at = Some(self.now);
            return;
        };
        self.sessions.record(session, position, MOST_SESSIONS);
        // Its open reads must see the write too, for they may be dispatched after it.
        for statement in self.statements.values_mut() {
            if statement.session == session && session > 0 {
                statement.required_position = statement.required_position.max(position);
            }
        }
    }

    /// SLO time that passed before a client's retry: what it has less to wait than first attempts of its workload do.
    pub(crate) fn time_passed_before(&mut self, statement: &Statement) -> TimeSpan {
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

    /// The member is alive. What it left unanswered while it was ejected is lost or stuck, and takes no capacity.
    pub(crate) fn readmit(&mut self, place: usize) {
        let before = self.now - self.max_typical_latency() * UNANSWERED_LATENCIES;
        let member = &mut self.members[place];
        member.oldest_unanswered = self.now;
        if std::mem::take(&mut member.ejected) {
            let abandoned = self.in_flight.abandon(place, before);
            member.in_flight -= abandoned;
            member.connections = member.connections.saturating_sub(abandoned);
        }
    }
}
