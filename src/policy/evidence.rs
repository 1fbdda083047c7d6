//! What answers tell of members: their health, their role and position, and what sessions have written.

use super::RoutingPolicy;
use crate::concurrency_limit::{AdmissionSample, MOST_LATENCY_RATIO};
use crate::interface::ExecutionOutcome::*;
use crate::interface::*;
use crate::state::*;
use crate::time::{TimeSpan, Timestamp};

impl RoutingPolicy {
    /// Takes a member's report of this age into account; one that it gave to this driver itself has none. Of
    /// roles the evidence at the latest position wins, not the one that arrived last: a primary stands at the
    /// present, so one that acted as primary at a later position has taken over since.
    pub(crate) fn learn_status(
        &mut self,
        place: usize,
        status: ReplicaStatus,
        latency: TimeSpan,
        age: TimeSpan,
    ) {
        let member = &mut self.members[place];
        let group = &mut self.groups[member.group];
        // Its own report is news whatever it says; one from others only where it says more.
        let is_own = age == TimeSpan(0);
        if let Some(position) = status.position.filter(|p| is_own || *p > member.position) {
            member.position = member.position.max(position);
            member.status_at = Some(self.now - age);
        }
        let at = status.position.unwrap_or(self.now - latency);
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
    /// dispatch. A primary that stalled and was deposed meanwhile answers with what it had.
    pub fn accepts_answer(&self, statement: u32, attempt: u8, status: ReplicaStatus) -> bool {
        let Some(execution) = self.in_flight.get(statement, attempt) else {
            return true;
        };
        let required = match self.settings.workloads[execution.workload].freshness {
            Freshness::Bounded(bound) => execution.dispatched_at - bound,
            Freshness::Session => {
                let statement = self.statements.get(&statement);
                statement.map_or(Timestamp(0), |s| s.required_position)
            }
            Freshness::Any | Freshness::Fresh | Freshness::Write => Timestamp(0),
        };
        status.position.is_none_or(|position| position >= required)
    }
}
