//! State of one driver and its bookkeeping. The decisions are in `policy`.

mod capacity;
mod endpoint_list;
mod learning;
mod peer_updates;
mod queueing;
mod views;

use crate::concurrency_limit::MAX_UNANSWERED_TIME;
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

/// Maximum number of sessions whose last write is tracked where statements do not carry its position.
pub(crate) const MAX_TRACKED_SESSIONS: usize = 50_000;
/// Initial typical latency, as a fraction of the SLO time.
const INITIAL_LATENCY_RATIO: f64 = 0.2;

/// Routing decisions of one driver. The serialized form is its learned state; open statements and their
/// executions are not part of it and stay with the process that accepted them.
#[derive(Default, Serialize, Deserialize)]
pub struct RoutingPolicy {
    #[serde(skip)]
    pub(crate) settings: Settings,
    #[serde(skip)]
    pub(crate) fleet: FleetShare,
    #[serde(skip)]
    pub(crate) preference: ReplicaPreference,
    /// Start of this process; zero if it continues a predecessor's state.
    #[serde(skip)]
    pub(crate) created_at: Timestamp,
    pub(crate) now: Timestamp,
    #[serde(skip)]
    pub(crate) remote_clock: RemoteClock,
    /// Time at which the current start of a member was first listed, by member id.
    #[serde(skip)]
    pub(crate) listed_at: BTreeMap<u32, Timestamp>,
    /// Time at which this process took over a predecessor's state.
    #[serde(skip)]
    pub(crate) resumed_at: Timestamp,
    /// Time at which a session's write last ended at an unknown position; `None` once its remote time is
    /// known.
    #[serde(skip)]
    pub(crate) unpositioned_commit_at: Option<Timestamp>,
    pub(crate) rng: SeededRng,
    pub(crate) typical: TypicalLatencies,
    pub(crate) zones: ZoneHealth,
    /// Time limit of the last first attempt by a client, by workload.
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
    /// Members whose timer has to be set again.
    #[serde(skip)]
    pub(crate) unscheduled_members: Vec<usize>,
    /// Groups in which a waiting statement may be dispatched now.
    #[serde(skip)]
    pub(crate) changed_groups: BTreeSet<usize>,
    pub(crate) sessions: SessionPositions,
    pub(crate) quotas: TenantQuotas,
    pub(crate) throughput: SlidingWindow,
    /// Capacity of all available members, reduced where they are warming up.
    pub(crate) available_capacity: f64,
    /// Highest recent value density, decaying.
    pub(crate) best_density: f64,
    /// Smoothed fraction of the SLO time that establishing a connection adds.
    pub(crate) connection_cost: f64,
    /// During a shutdown, time by which every statement has its final answer.
    #[serde(skip)]
    pub(crate) last_answer_at: Option<Timestamp>,
    pub(crate) poll_at: Option<Timestamp>,
    #[serde(skip)]
    pub(crate) poll_failures: PollFailures,
    #[serde(skip)]
    pub(crate) planned_wake_up: Option<Timestamp>,
    pub(crate) stalled_at: Timestamp,
    /// A peer process of this driver serves the same members, and the warming ones are left to it.
    #[serde(skip)]
    pub(crate) yields_to_peer: bool,
    #[serde(skip)]
    pub(crate) actions: Actions,
}

impl RoutingPolicy {
    /// A driver without learned state. `seed` determines all of its random draws.
    pub fn new(settings: &Settings, seed: u64, now: Timestamp) -> RoutingPolicy {
        let workloads = settings.workloads.iter();
        let typical = workloads.map(|w| w.slo_time * INITIAL_LATENCY_RATIO).collect();
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

    /// Work charged to a warming member for a statement: at least the typical latency, by which loads are
    /// measured.
    pub(crate) fn warm_up_work(&self, statement: &StatementState) -> TimeSpan {
        let typical = self.typical.of(statement.workload);
        self.expected_work(statement).max(typical)
    }

    pub(crate) fn workload(&self, statement: &StatementState) -> &WorkloadSettings {
        &self.settings.workloads[statement.workload]
    }

    /// Maximum typical latency over all workloads.
    pub fn max_typical_latency(&self) -> TimeSpan {
        self.typical.max().unwrap_or(MAX_UNANSWERED_TIME)
    }
}
