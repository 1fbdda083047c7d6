//! Evidence from answers: members' health, roles and log positions, and the positions of sessions' writes.

use super::RoutingPolicy;
use crate::concurrency_limit::{AdmissionSample, MAX_LATENCY_RATIO};
use crate::interface::ExecutionOutcome::*;
use crate::interface::*;
use crate::remote_clock::StampedAnswer;
use crate::state::*;
use crate::time::{RemoteTimestamp, TimeSpan, Timestamp};

/// Session positions further ahead of the members' clock than this were computed from a wrong clock and are
/// lowered. Larger than any error of the clock estimate, which must not lower a valid position.
const FUTURE_TOLERANCE: TimeSpan = TimeSpan::millis(10_000);

/// Origin of a member's status.
#[derive(Clone, Copy, Debug)]
pub(crate) enum StatusSource {
    /// The member reported it to this driver.
    Member {
        /// Time from the dispatch to the report.
        latency: TimeSpan,
        /// Time of the dispatch or earlier, if the member stamped its position while executing.
        stamped_after: Option<Timestamp>,
    },
    /// Another driver received it and forwarded it.
    Peer {
        /// Time since the other driver received it.
        age: TimeSpan,
    },
}

impl StatusSource {
    /// Earliest time at which the member can have reported.
    fn reported_after(self, now: Timestamp) -> Timestamp {
        match self {
            StatusSource::Member { latency, .. } => now - latency,
            StatusSource::Peer { age } => now - age,
        }
    }
}

impl RoutingPolicy {
    /// Records a member's reported position and role. The role at the latest position wins, not the one
    /// received last: a primary's position is current, so a member that acted as primary at a later position
    /// has taken over since.
    pub(crate) fn learn_status(&mut self, index: usize, status: ReplicaStatus, source: StatusSource) {
        let reported_after = source.reported_after(self.now);
        let reported_at = match source {
            StatusSource::Member { .. } => self.now,
            StatusSource::Peer { .. } => reported_after,
        };
        let member = &mut self.members[index];
        // A direct report refreshes the status even at an older position; a forwarded one only at a newer
        // position.
        let is_direct = matches!(source, StatusSource::Member { .. });
        if let Some(position) = status.position.filter(|p| is_direct || *p > member.position) {
            member.position = member.position.max(position);
            member.status_at = Some(reported_at);
        }
        self.learn_role(index, status, reported_after);
        self.learn_remote_time(index, status, source);
    }

    /// Records a reported role. A report without a position counts as of the remote time of its request;
    /// where that is unknown, the last report received wins.
    fn learn_role(&mut self, index: usize, status: ReplicaStatus, reported_after: Timestamp) {
        let clock = &self.remote_clock;
        let asked_at = clock.latest(reported_after).or(clock.earliest(reported_after));
        let member = &mut self.members[index];
        let group = &mut self.groups[member.group];
        let at = status.position.or(asked_at).unwrap_or(group.primary_position);
        if status.is_primary == Some(true) && at >= group.primary_position {
            member.reported_replica = false;
            group.primary_position = at;
            if group.primary.replace(index) != Some(index) {
                for priority in group.queued() {
                    let waiting = self
                        .statements
                        .get_mut(&priority.statement)
                        .expect("queued statement is open");
                    waiting.backoff_until = Timestamp(0);
                    waiting.excluded_members.clear();
                }
            }
        } else if status.is_primary == Some(false)
            && (group.primary != Some(index) || at >= group.primary_position)
        {
            member.reported_replica = true;
            group.clear_primary(index);
        }
    }

    /// Updates the estimate of the members' clock from a status that a member reported to this driver
    /// directly.
    fn learn_remote_time(&mut self, index: usize, status: ReplicaStatus, source: StatusSource) {
        let (Some(stamp), StatusSource::Member { stamped_after, .. }) = (status.position, source) else {
            return;
        };
        let member = &self.members[index];
        let is_primary = self.groups[member.group].primary == Some(index) && status.is_primary != Some(false);
        let answer = StampedAnswer {
            member: member.id,
            stamp,
            received_at: self.now,
            stamped_after: stamped_after.filter(|_| is_primary && status.is_position_current),
        };
        let was_known = self.remote_clock.latest(self.now).is_some();
        self.remote_clock.observe(&answer);
        if let Some(latest) = self.remote_clock.latest(self.now).filter(|_| !was_known) {
            self.on_remote_time_known(latest);
        }
    }

    /// Handles the first upper bound of the remote time: reads that waited for it may be dispatched, and
    /// commits whose position was not reported are given one.
    fn on_remote_time_known(&mut self, latest: RemoteTimestamp) {
        let unpositioned = self.unpositioned_commit_at.take();
        let unpositioned = unpositioned.and_then(|at| self.remote_clock.latest(at));
        let oldest = unpositioned.unwrap_or_default();
        self.sessions.clamp_all(oldest, latest + FUTURE_TOLERANCE);
        for statement in self.statements.values_mut().filter(|s| s.session > 0) {
            statement.required_position = statement.required_position.max(oldest);
        }
        self.changed_groups.extend(0..self.groups.len());
    }

    /// Adjusts limits, admission shares and estimates after an execution of this driver.
    pub(super) fn learn_from_execution(&mut self, execution: &InFlightExecution, end: &ExecutionEnd) {
        let index = execution.member_index;
        let few_samples = self.has_few_samples();
        self.release_execution(index, end.outcome);
        let slo_time = self.settings.workloads[execution.workload].slo_time;
        self.learn_latency(execution, end, slo_time);
        // Crashed, unreachable or out of connections: ejected until a health check succeeds.
        let has_no_connection = self.members[index].connections == 0;
        if has_no_connection && matches!(end.outcome, NoConnection | ConnectionLost) {
            return self.eject(index);
        }
        let sample = AdmissionSample {
            outcome: end.outcome,
            latency_ratio: end.latency.ratio(slo_time).min(MAX_LATENCY_RATIO),
            is_timed: self.stalled_at < self.now && matches!(end.outcome, Completed | TimedOut | Cancelled),
            few_samples,
        };
        let group = &self.groups[self.members[index].group];
        self.members.record_latency(index, group, &sample);
        let typical = self.typical.of(execution.workload);
        let is_completed = end.outcome == Completed;
        self.members[index].adjust_limit(self.now, is_completed, typical, few_samples);
    }

    /// Whether an answer may be forwarded to the client: not if its data is older than the read allowed at
    /// dispatch, as from a primary that stalled and was deposed meanwhile. A session position in the future
    /// belongs to no commit, so for such a read the current position is enough.
    pub fn accepts_answer(&self, statement: u32, attempt: u8, status: ReplicaStatus) -> bool {
        let Some(execution) = self.in_flight.get(statement, attempt) else {
            return true;
        };
        let clock = &self.remote_clock;
        let dispatched_at = execution.dispatched_at;
        let (earliest, latest) = (clock.earliest(dispatched_at), clock.latest(dispatched_at));
        let required = match self.settings.workloads[execution.workload].freshness {
            // Without evidence of the members' clock nothing shows that the answer is old.
            Freshness::Bounded(bound) => latest.or(earliest).unwrap_or_default() - bound,
            Freshness::Session => {
                let statement = self.statements.get(&statement);
                let required = statement.map_or(RemoteTimestamp(0), |s| s.required_position);
                let is_token = self.settings.carries_session_position;
                let is_future = is_token && latest.is_some_and(|latest| required > latest);
                earliest.filter(|_| is_future).unwrap_or(required)
            }
            Freshness::Any | Freshness::Fresh | Freshness::Write => RemoteTimestamp(0),
        };
        status.position.is_none_or(|position| position >= required)
    }
}
