//! One driver: its state, and the bookkeeping around it. What is decided on that state stands in `policy`.

mod capacity;
mod endpoint_list;
mod learning;
mod peer_updates;
mod queueing;
mod views;

use crate::concurrency_limit::UNANSWERED_LIMIT;
use crate::fleet_share::FleetShare;
use crate::interface::*;
use crate::policy::PollFailures;
use crate::remote_clock::RemoteClock;
use crate::replica_preference::ReplicaPreference;
use crate::state::*;
use crate::time::{TimeSpan, Timestamp};
use crate::zone_health::ZoneHealth;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Sessions whose last write is remembered where statements don't carry its age.
pub(crate) const MOST_SESSIONS: usize = 50_000;
/// Typical latency to start from, as a share of the SLO time.
const INITIAL_LATENCY_SHARE: f64 = 0.2;

/// The decisions of one driver. Serialized it is what was learned; open statements and their executions stay with the
/// process that accepted them.
#[derive(Default, Serialize, Deserialize)]
pub struct RoutingPolicy {
    #[serde(skip)]
    pub(crate) settings: Settings,
    #[serde(skip)]
    pub(crate) fleet: FleetShare,
    #[serde(skip)]
    pub(crate) preference: ReplicaPreference,
    /// When this process began to decide; zero where it continues another process's state.
    #[serde(skip)]
    pub(crate) created_at: Timestamp,
    pub(crate) now: Timestamp,
    #[serde(skip)]
    pub(crate) remote_clock: RemoteClock,
    /// When the current start of a member was first listed, by the member's id.
    #[serde(skip)]
    pub(crate) listed_at: BTreeMap<u32, Timestamp>,
    /// When this process took over what was learned.
    #[serde(skip)]
    pub(crate) resumed_at: Timestamp,
    /// When a session's write last ended at an unknown position, until a remote time is known for that.
    #[serde(skip)]
    pub(crate) unplaced_commit_at: Option<Timestamp>,
    pub(crate) rng: SeededRng,
    pub(crate) typical: TypicalLatencies,
    pub(crate) zones: ZoneHealth,
    /// Time that clients last allowed for a first attempt, by workload.
    pub(crate) first_time_left: Vec<TimeSpan>,
    pub(crate) members: MemberTable,
    pub(crate) groups: GroupTable,
    #[serde(skip)]
    pub(crate) statements: BTreeMap<u32, StatementState>,
    #[serde(skip)]
    pub(crate) in_flight: InFlightTable,
    #[serde(skip)]
    pub(crate) statement_timers: TimerQueue<u32>,
    pub(crate) member_timers: TimerQueue<usize>,
    /// Members whose next check may have come nearer.
    #[serde(skip)]
    pub(crate) unscheduled_members: Vec<usize>,
    /// Groups in which a waiting statement may find a member now.
    #[serde(skip)]
    pub(crate) changed_groups: BTreeSet<usize>,
    pub(crate) sessions: SessionPositions,
    pub(crate) quotas: TenantQuotas,
    pub(crate) throughput: SlidingWindow,
    /// Capacity of all members that throughput is spread over, less where they are warming up.
    pub(crate) available_capacity: f64,
    /// Highest value density seen of late.
    pub(crate) best_density: f64,
    /// Smoothed part of the SLO time that establishing a connection costs.
    pub(crate) connection_cost: f64,
    /// End of a shutdown: no final answer comes later.
    #[serde(skip)]
    pub(crate) last_answer_at: Option<Timestamp>,
    pub(crate) poll_at: Option<Timestamp>,
    #[serde(skip)]
    pub(crate) poll_failures: PollFailures,
    #[serde(skip)]
    pub(crate) planned_wake_up: Option<Timestamp>,
    pub(crate) stalled_at: Timestamp,
    /// A peer process of this driver serves the same members: what is warming up there is its own.
    #[serde(skip)]
    pub(crate) yields_to_peer: bool,
    #[serde(skip)]
    pub(crate) actions: Actions,
}

impl RoutingPolicy {
    /// A driver that has learned nothing yet. `seed` determines all of its random draws.
    pub fn new(settings: &Settings, seed: u64, now: Timestamp) -> RoutingPolicy {
        let workloads = settings.workloads.iter();
        let typical = workloads.map(|w| w.slo_time * INITIAL_LATENCY_SHARE).collect();
        RoutingPolicy {
            typical: TypicalLatencies::new(typical),
            first_time_left: vec![TimeSpan(0); settings.workloads.len()],
            rng: SeededRng::new(seed),
            poll_at: settings.poll_endpoint_list.then_some(now),
            settings: settings.clone(),
            fleet: FleetShare::new(settings.driver_count),
            preference: ReplicaPreference::new(seed),
            created_at: now,
            ..RoutingPolicy::default()
        }
    }

    /// Expected execution time of a statement.
    pub(crate) fn expected_work(&self, statement: &StatementState) -> TimeSpan {
        let typical = self.typical.of(statement.workload);
        statement.expected_work.unwrap_or(typical)
    }

    /// Work that a statement counts at a warming member. Loads are measured by latencies, so no less than that.
    pub(crate) fn warm_up_work(&self, statement: &StatementState) -> TimeSpan {
        let typical = self.typical.of(statement.workload);
        self.expected_work(statement).max(typical)
    }

    pub(crate) fn workload(&self, statement: &StatementState) -> &WorkloadSettings {
        &self.settings.workloads[statement.workload]
    }

    /// Longest typical latency of all workloads.
    pub fn max_typical_latency(&self) -> TimeSpan {
        self.typical.longest().unwrap_or(UNANSWERED_LIMIT)
    }
}
