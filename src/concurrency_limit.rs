//! Adaptive concurrency limits and admission shares of members, estimated from this driver's own traffic.

use crate::interface::ExecutionOutcome;
use crate::state::{smooth, Group, Member, MemberTable};
use crate::time::{TimeSpan, Timestamp};

/// Latency ratio (latency divided by SLO time) below which a member counts as fast.
pub(crate) const FAST_LATENCY_RATIO: f64 = 0.28;
/// Latency ratio above which its concurrency limit is reduced.
const SLOW_LATENCY_RATIO: f64 = 0.38;
/// Factor of a reduction of the concurrency limit.
const LIMIT_DECREASE_FACTOR: f64 = 0.85;
/// Increase of the concurrency limit by a fast answer, divided by the square root of the limit.
const LIMIT_INCREASE: f64 = 0.5;
/// Minimum of a reduced limit, as a fraction of the proven concurrency: slowness is not always caused by
/// load.
const MIN_PROVEN_FRACTION: f64 = 0.3;
/// Maximum latency ratio of one sample, so that a few stuck executions do not make a member appear
/// overloaded.
pub(crate) const MAX_LATENCY_RATIO: f64 = 0.8;

/// Maximum time for which a member may leave executions unanswered before it is ejected: the initial overdue
/// limit of DESIGN.
pub(crate) const MAX_UNANSWERED_TIME: TimeSpan = TimeSpan::millis(1000);
/// The same as a multiple of the maximum typical latency, for a member with many executions in flight.
pub(crate) const MAX_UNANSWERED_LATENCIES: f64 = 4.0;

/// Mean admission share of a group below which failures are attributed to the whole group and not to single
/// members.
const GROUP_FAILURE_SHARE: f64 = 0.5;
/// Gain with which an answer adjusts its member's admission share.
const ADMISSION_GAIN: f64 = 0.6;
/// Latency ratio at which an answer leaves the admission share unchanged.
const TARGET_LATENCY_RATIO: f64 = 0.4;
/// Minimum admission share, so that a member is always tried again.
const MIN_ADMISSION_SHARE: f64 = 0.05;
/// Maximum admission share of a driver with many samples; above 1, so that a single failure rejects nothing.
const MAX_ADMISSION_SHARE: f64 = 2.0;
/// Fraction of an adjustment that applies to the group's other replicas too, since they mostly slow down
/// together.
const GROUP_GAIN_FRACTION: f64 = 0.2;

impl Member {
    /// Adjusts the concurrency limit after an execution that ended at `now`. Reductions are at least a
    /// `typical` latency apart, since executions dispatched before a reduction do not reflect it.
    pub(crate) fn adjust_limit(
        &mut self,
        now: Timestamp,
        completed: bool,
        typical: TimeSpan,
        few_samples: bool,
    ) {
        let concurrency = (self.in_flight + 1) as f64;
        let is_fast = completed && self.latency_ratio < FAST_LATENCY_RATIO;
        if is_fast {
            smooth(&mut self.proven_concurrency, concurrency);
        }
        if is_fast && concurrency >= self.concurrency_limit / 2.0 {
            self.concurrency_limit += LIMIT_INCREASE / self.concurrency_limit.sqrt();
        } else if self.latency_ratio > SLOW_LATENCY_RATIO
            && now - self.limit_reduced_at > typical
            && !few_samples
        {
            let min_limit = (self.proven_concurrency * MIN_PROVEN_FRACTION).max(1.0);
            self.concurrency_limit = (self.concurrency_limit * LIMIT_DECREASE_FACTOR).max(min_limit);
            self.limit_reduced_at = now;
        }
    }

    /// Records the dispatch of an execution of this much work.
    pub(crate) fn record_dispatch(&mut self, now: Timestamp, new_connection: bool, work: TimeSpan) {
        if self.in_flight == 0 {
            self.unanswered_since = now;
        }
        self.in_flight += 1;
        if new_connection {
            self.connections = self.in_flight;
        }
        self.last_used_at = now;
        self.charge_warm_up(now, work);
    }

    /// Whether an idle connection is open that has not reached its idle timeout.
    pub(crate) fn has_idle_connection(&self, now: Timestamp, idle_timeout: TimeSpan) -> bool {
        let is_expired = now - self.last_used_at > idle_timeout && self.in_flight == 0;
        self.in_flight < self.connections && !is_expired
    }

    /// Time by which the member must answer an execution, or be ejected; the earlier, the more are in flight.
    /// `None` if none is in flight.
    pub(crate) fn response_deadline(&self, max_typical: TimeSpan) -> Option<Timestamp> {
        if self.in_flight == 0 {
            return None;
        }
        let latencies = MAX_UNANSWERED_LATENCIES * (1.0 + 2.0 / self.in_flight as f64);
        let timeout = max_typical * latencies;
        Some(self.unanswered_since + timeout.min(MAX_UNANSWERED_TIME))
    }
}

/// An ended execution, as input to its member's admission share.
pub(crate) struct AdmissionSample {
    /// How it ended.
    pub(crate) outcome: ExecutionOutcome,
    /// Its latency as a fraction of the SLO time.
    pub(crate) latency_ratio: f64,
    /// Whether the latency reflects the member's performance.
    pub(crate) is_timed: bool,
    /// Whether this driver has few samples.
    pub(crate) few_samples: bool,
}

impl MemberTable {
    /// Updates a member's latency ratio and admission share after an execution.
    pub(crate) fn record_latency(&mut self, index: usize, group: &Group, sample: &AdmissionSample) {
        if sample.is_timed {
            smooth(&mut self[index].latency_ratio, sample.latency_ratio);
        }
        let Some(ratio) = self.admission_ratio(group, sample) else {
            return;
        };
        let max_share = if sample.few_samples {
            1.0
        } else {
            MAX_ADMISSION_SHARE
        };
        if sample.few_samples && sample.is_timed && group.primary != Some(index) {
            let replicas = group.members.iter().filter(|m| Some(**m) != group.primary);
            for other in replicas.filter(|m| **m != index) {
                self[*other].adjust_admission_share(ratio, GROUP_GAIN_FRACTION, max_share);
            }
        }
        self[index].adjust_admission_share(ratio, 1.0, max_share);
    }

    /// Latency ratio with which an ended execution adjusts admission shares; `None` if it does not.
    fn admission_ratio(&self, group: &Group, sample: &AdmissionSample) -> Option<f64> {
        // Failures that all members share do not reduce the group's admission.
        let surplus = |index: &usize| self[*index].admission_share.min(1.0) - GROUP_FAILURE_SHARE;
        let is_group_admitting = || group.members.iter().map(surplus).sum::<f64>() > 0.0;
        match sample.outcome {
            ExecutionOutcome::Errored | ExecutionOutcome::Rejected if is_group_admitting() => Some(1.0),
            ExecutionOutcome::Completed if !sample.few_samples => Some(0.0),
            _ if sample.few_samples && sample.is_timed => Some(sample.latency_ratio),
            _ => None,
        }
    }
}

impl Member {
    fn adjust_admission_share(&mut self, latency_ratio: f64, weight: f64, max_share: f64) {
        let gain = ADMISSION_GAIN * (TARGET_LATENCY_RATIO - latency_ratio) * weight;
        self.admission_share = (self.admission_share * gain.exp()).clamp(MIN_ADMISSION_SHARE, max_share);
    }
}
