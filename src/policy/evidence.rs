//! What answers tell of members: their health, their role and position, and what sessions have written.

use super::RoutingPolicy;
use crate::concurrency_limit::{AdmissionSample, MOST_LATENCY_RATIO};
use crate::interface::ExecutionOutcome::*;
use crate::interface::*;
use crate::remote_clock::StampedAnswer;
use crate::state::*;
use crate::time::{RemoteTimestamp, TimeSpan, Timestamp};

/// Sessions' positions that are further ahead of the members' clock come from a process that counted by a wrong clock.
/// Generous, as none may be lowered by an error of the estimate.
const FUTURE_TOLERANCE: TimeSpan = TimeSpan::millis(10_000);

/// Where a member's status comes from.
#[derive(Clone, Copy, Debug)]
pub(crate) enum StatusSource {
    /// The member reported it to this driver.
    Member {
        /// Time from the dispatch to the report.
        latency: TimeSpan,
        /// If the member stamped its position while it executed: time of the dispatch, or earlier.
        stamped_after: Option<Timestamp>,
    },
    /// Another driver passes it on, which received it this long ago.
    Peer {
        /// Age of the report.
        age: TimeSpan,
    },
}

impl StatusSource {
    /// Time by which the member had reported, at the earliest.
    fn reported_after(self, now: Timestamp) -> Timestamp {
        match self {
            StatusSource::Member { latency, .. } => now - latency,
            StatusSource::Peer { age } => now - age,
        }
    }
}

impl RoutingPolicy {
    /// Takes a member's report into account. Of roles the evidence at the latest position wins, not the one that arrived
    /// last: a primary stands at the present, so one that acted as primary at a later position has taken over since.
    pub(crate) fn learn_status(&mut self, place: usize, status: ReplicaStatus, source: StatusSource) {
        let reported_after = source.reported_after(self.now);
        let reported_at = match source {
            StatusSource::Member { .. } => self.now,
            StatusSource::Peer { .. } => reported_after,
        };
        let member = &mut self.members[place];
        // Its own report is news whatever it says; one from others only where it says more.
        let is_own = matches!(source, StatusSource::Member { .. });
        if let Some(position) = status.position.filter(|p| is_own || *p > member.position) {
            member.position = member.position.max(position);
            member.status_at = Some(reported_at);
        }
        self.learn_role(place, status, reported_after);
        self.learn_remote_time(place, status, source);
    }

    /// A report without a position counts as of the remote time at which it was asked for; where that is unknown, the
    /// last report counts.
    fn learn_role(&mut self, place: usize, status: ReplicaStatus, reported_after: Timestamp) {
        let clock = &self.remote_clock;
        let asked_at = clock.latest(reported_after).or(clock.earliest(reported_after));
        let member = &mut self.members[place];
        let group = &mut self.groups[member.group];
        let at = status.position.or(asked_at).unwrap_or(group.primary_position);
        if status.is_primary == Some(true) && at >= group.primary_position {
            member.reported_replica = false;
            group.primary_position = at;
            if group.primary.replace(place) != Some(place) {
                for priority in group.queued() {
                    let waiting = self.statements.get_mut(&priority.statement).expect("queued");
                    waiting.backoff_until = Timestamp(0);
                    waiting.excluded_members.clear();
                }
            }
        } else if status.is_primary == Some(false)
            && (group.primary != Some(place) || at >= group.primary_position)
        {
            member.reported_replica = true;
            group.clear_primary(place);
        }
    }

    /// Relates the members' clock to this driver's time line by what a member has reported to this driver itself.
    fn learn_remote_time(&mut self, place: usize, status: ReplicaStatus, source: StatusSource) {
        let (Some(stamp), StatusSource::Member { stamped_after, .. }) = (status.position, source) else {
            return;
        };
        let member = &self.members[place];
        let is_primary = self.groups[member.group].primary == Some(place) && status.is_primary != Some(false);
        let answer = StampedAnswer {
            member: member.id,
            stamp,
            received_at: self.now,
            stamped_after: stamped_after.filter(|_| is_primary),
        };
        let was_known = self.remote_clock.latest(self.now).is_some();
        self.remote_clock.observe(&answer);
        if let Some(latest) = self.remote_clock.latest(self.now).filter(|_| !was_known) {
            self.on_remote_time_known(latest);
        }
    }

    /// An upper bound of the remote time is known: reads that waited for one may be placed, and commits whose position was
    /// not reported get one.
    fn on_remote_time_known(&mut self, latest: RemoteTimestamp) {
        let unplaced = self.unplaced_commit_at.take();
        let unplaced = unplaced.and_then(|at| self.remote_clock.latest(at));
        let oldest = unplaced.unwrap_or_default();
        self.sessions.clamp_all(oldest, latest + FUTURE_TOLERANCE);
        for statement in self.statements.values_mut().filter(|s| s.session > 0) {
            statement.required_position = statement.required_position.max(oldest);
        }
        self.changed_groups.extend(0..self.groups.len());
    }

    /// Adjusts limits, admission shares and estimates by an execution of this driver.
    pub(super) fn learn_from_execution(&mut self, execution: &InFlightExecution, end: &ExecutionEnd) {
        let place = execution.member;
        let few_samples = self.has_few_samples();
        self.release_execution(place, end.outcome);
        let slo_time = self.settings.workloads[execution.workload].slo_time;
        self.learn_latency(execution, end, slo_time);
        // Dead, cut off or out of connections: a health check tells when that is over.
        let has_no_connection = self.members[place].connections == 0;
        if has_no_connection && matches!(end.outcome, NoConnection | ConnectionLost) {
            return self.eject(place);
        }
        let sample = AdmissionSample {
            outcome: end.outcome,
            latency_ratio: end.latency.ratio(slo_time).min(MOST_LATENCY_RATIO),
            is_timed: self.stalled_at < self.now && matches!(end.outcome, Completed | TimedOut | Cancelled),
            few_samples,
        };
        let group = &self.groups[self.members[place].group];
        self.members.record_latency(place, group, &sample);
        let typical = self.typical.of(execution.workload);
        let is_completed = end.outcome == Completed;
        self.members[place].adjust_limit(self.now, is_completed, typical, few_samples);
    }

    /// Whether an answer may be passed on: not one that shows older data than the read allowed at its
    /// dispatch. A primary that stalled and was deposed meanwhile answers with what it had. A token from the future is no
    /// commit, so the present is enough for it.
    pub fn accepts_answer(&self, statement: u32, attempt: u8, status: ReplicaStatus) -> bool {
        let Some(execution) = self.in_flight.get(statement, attempt) else {
            return true;
        };
        let clock = &self.remote_clock;
        let dispatched_at = execution.dispatched_at;
        let (earliest, latest) = (clock.earliest(dispatched_at), clock.latest(dispatched_at));
        let required = match self.settings.workloads[execution.workload].freshness {
            // Before any evidence the answer itself is the first, and nothing shows that it is old.
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
