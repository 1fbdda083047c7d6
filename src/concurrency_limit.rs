//! How many executions at once a member is known to sustain, from this driver's own traffic. Nothing here chooses.

use crate::interface::ExecutionOutcome;
use crate::state::{smooth, Group, Member, MemberTable};
use crate::time::{TimeSpan, Timestamp};

/// Latency ratio (latency to SLO time) below which a member serves well.
pub(crate) const GOOD_LATENCY_RATIO: f64 = 0.28;
/// Latency ratio above which its concurrency limit is reduced.
const BAD_LATENCY_RATIO: f64 = 0.38;
/// Factor of a reduction.
const REDUCTION: f64 = 0.85;
/// Growth of the limit by a good answer, divided by the root of the limit.
const GROWTH: f64 = 0.5;
/// Share of the proven concurrency that a limit keeps: slowness does not always come from load.
const PROVEN_SHARE: f64 = 0.3;
/// Most latency ratio that one execution counts, so that a few stuck ones don't make a member appear overloaded.
pub(crate) const MOST_LATENCY_RATIO: f64 = 0.8;

/// Longest time for which a member may leave executions unanswered (the design's initial value).
pub(crate) const UNANSWERED_LIMIT: TimeSpan = TimeSpan::millis(1000);
/// The same as a multiple of the longest typical latency, for a member with many executions in flight.
pub(crate) const UNANSWERED_LATENCIES: f64 = 4.0;

/// Mean admission share of a group below which failures are taken for the group's and not for one member's.
const GROUP_FAILURE_SHARE: f64 = 0.5;
/// Pull of an answer on its member's admission share.
const PULL: f64 = 0.6;
/// Latency ratio at which an answer leaves the admission share as it is.
const TARGET_RATIO: f64 = 0.4;
/// Least admission share, so that a member is always tried again.
const LEAST_SHARE: f64 = 0.05;
/// Most admission share where a driver has many samples: credit that a lone failure can't use up.
const MOST_SHARE: f64 = 2.0;
/// How far other replicas follow such a pull: replicas of one group mostly slow down together.
const GROUP_PULL: f64 = 0.2;

impl Member {
    /// Adjusts the concurrency limit by an execution that ended just now. Two reductions are at least a `typical` latency
    /// apart, since executions dispatched before the first one say nothing of its effect.
    pub(crate) fn adjust_limit(
        &mut self,
        now: Timestamp,
        completed: bool,
        typical: TimeSpan,
        few_samples: bool,
    ) {
        let concurrency = (self.in_flight + 1) as f64;
        let is_good = completed && self.latency_ratio < GOOD_LATENCY_RATIO;
        if is_good {
            smooth(&mut self.proven_concurrency, concurrency);
        }
        if is_good && concurrency >= self.concurrency_limit / 2.0 {
            self.concurrency_limit += GROWTH / self.concurrency_limit.sqrt();
        } else if self.latency_ratio > BAD_LATENCY_RATIO
            && now - self.limit_reduced_at > typical
            && !few_samples
        {
            let least = (self.proven_concurrency * PROVEN_SHARE).max(1.0);
            self.concurrency_limit = (self.concurrency_limit * REDUCTION).max(least);
            self.limit_reduced_at = now;
        }
    }

    /// An execution of this much work is dispatched.
    pub(crate) fn record_dispatch(&mut self, now: Timestamp, new_connection: bool, work: TimeSpan) {
        if self.in_flight == 0 {
            self.oldest_unanswered = now;
        }
        self.in_flight += 1;
        if new_connection {
            self.connections = self.in_flight;
        }
        self.last_used_at = now;
        self.charge_warm_up(now, work);
    }

    /// Whether an idle connection is open that is young enough to be used.
    pub(crate) fn has_idle_connection(&self, now: Timestamp, idle_timeout: TimeSpan) -> bool {
        let is_expired = now - self.last_used_at > idle_timeout && self.in_flight == 0;
        self.in_flight < self.connections && !is_expired
    }

    /// Time at which it has left executions unanswered for too long: earlier the more are in flight.
    pub(crate) fn overdue_at(&self, longest_typical: TimeSpan) -> Option<Timestamp> {
        if self.in_flight == 0 {
            return None;
        }
        let latencies = UNANSWERED_LATENCIES * (1.0 + 2.0 / self.in_flight as f64);
        let patience = longest_typical * latencies;
        Some(self.oldest_unanswered + patience.min(UNANSWERED_LIMIT))
    }
}

/// An ended execution, as its member's admission share sees it.
pub(crate) struct AdmissionSample {
    /// How it ended.
    pub(crate) outcome: ExecutionOutcome,
    /// Its latency as a share of the SLO time.
    pub(crate) latency_ratio: f64,
    /// Whether the latency says anything about the member.
    pub(crate) is_timed: bool,
    /// Whether this driver has few samples.
    pub(crate) few_samples: bool,
}

impl MemberTable {
    /// Adjusts a member's latency ratio and admission share by an ended execution.
    pub(crate) fn record_latency(&mut self, place: usize, group: &Group, sample: &AdmissionSample) {
        if sample.is_timed {
            smooth(&mut self[place].latency_ratio, sample.latency_ratio);
        }
        let Some(ratio) = self.admission_ratio(group, sample) else {
            return;
        };
        let most = if sample.few_samples { 1.0 } else { MOST_SHARE };
        if sample.few_samples && sample.is_timed && group.primary != Some(place) {
            let replicas = group.members.iter().filter(|m| Some(**m) != group.primary);
            for other in replicas.filter(|m| **m != place) {
                self[*other].pull_admission_share(ratio, GROUP_PULL, most);
            }
        }
        self[place].pull_admission_share(ratio, 1.0, most);
    }

    /// The latency ratio that an ended execution counts for admission; `None` if it counts nothing.
    fn admission_ratio(&self, group: &Group, sample: &AdmissionSample) -> Option<f64> {
        // Failures that all members share are no reason to shut the group.
        let beyond = |place: &usize| self[*place].admission_share.min(1.0) - GROUP_FAILURE_SHARE;
        let is_group_open = || group.members.iter().map(beyond).sum::<f64>() > 0.0;
        match sample.outcome {
            ExecutionOutcome::Errored | ExecutionOutcome::Rejected if is_group_open() => Some(1.0),
            ExecutionOutcome::Completed if !sample.few_samples => Some(0.0),
            _ if sample.few_samples && sample.is_timed => Some(sample.latency_ratio),
            _ => None,
        }
    }
}

impl Member {
    fn pull_admission_share(&mut self, latency_ratio: f64, part: f64, most: f64) {
        let pull = PULL * (TARGET_RATIO - latency_ratio) * part;
        self.admission_share = (self.admission_share * pull.exp()).clamp(LEAST_SHARE, most);
    }
}
