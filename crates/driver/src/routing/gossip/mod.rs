//! The event loop's part in gossip: batches observations for other drivers, inquires about statements that must
//! not be executed twice, and coordinates with other drivers. Commands to the gossip thread never block.

mod coordination;
mod prior_attempts;
mod slow_start;
mod status_batch;

use super::handover::DrainedMember;
use super::member_requests::{AttemptId, RequestKind};
use super::members::{fleet_key, MemberDirectory};
use asterlatch::interface::{
    ExecutionOutcome, MemberEntry, MemberShare, MemberState, ReplicaStatus, WarmingMember,
};
use asterlatch::time::{RemoteTimestamp, TimeSpan, Timestamp};
use asterlatch_coordination::lease::Lease;
use asterlatch_gossip::membership::{PeerState, PeerStateChange};
use asterlatch_gossip::node::{NodeInput, NodeOutput, Observation};
use asterlatch_gossip::record::{ListedState, Record};
use coordination::Coordination;
pub use coordination::{CoordinationRound, LoadReport, NamedShare, UnresponsiveMember};
pub use prior_attempts::{ExpiredInquiry, PriorAttempts, ResolvedStatement, StatementCheck};
use slow_start::SlowStart;
pub use slow_start::WarmUpBudget;
use status_batch::StatusBatch;
pub use status_batch::{replica_statuses, MemberStatusRecord};
use std::collections::{BTreeMap, BTreeSet};

/// A command for the gossip thread.
pub type GossipCommand = NodeInput<'static>;

/// Sends a command to the gossip thread without blocking.
pub type SendCommand = Box<dyn FnMut(GossipCommand)>;

/// A message from the gossip thread.
pub enum GossipMessage {
    /// An output of the gossip node.
    Output(NodeOutput),
    /// A log line.
    LogLine(String),
}

/// Settings of the event loop's part in gossip.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GossipSettings {
    /// Interval between two batches of observations.
    pub tick: TimeSpan,
    /// Maximum time to wait for replies to an inquiry.
    pub inquiry_timeout: TimeSpan,
    /// Time after a statement's first dispatch in which its client may retry it.
    pub retry_window: TimeSpan,
    /// Maximum number of statements recorded for retries.
    pub max_recorded_statements: usize,
    /// Window over which the load of a member that is warming up is summed.
    pub overload_window: TimeSpan,
    /// A member that is warming up fails under more than this multiple of its capacity.
    pub overload_multiple: f64,
}

/// A driver and its incarnation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DriverIdentity {
    /// Its name.
    pub name: String,
    /// Incarnation number, which increases with each start.
    pub incarnation: u64,
}

/// Other drivers of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetPeers {
    /// Their names, by the gossip node's index of the peer.
    pub names: Vec<String>,
    /// Indices of the peers that receive inquiries.
    pub inquiry_peers: Vec<usize>,
}

/// The drivers that are currently present.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetView {
    /// Key of this driver.
    pub own_key: u64,
    /// Keys of the other present drivers.
    pub peer_keys: BTreeSet<u64>,
    /// Fleet size for the division of capacity, which decreases only after a delay.
    pub driver_count: u32,
}

/// A dispatched execution that other drivers may need to know about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DispatchedExecution {
    /// Identifies the execution.
    pub attempt: AttemptId,
    /// Key of its session; zero if it has none.
    pub session: u64,
    /// The statement writes.
    pub is_write: bool,
}

/// The end of a request to a member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestEnd<'a> {
    /// Execution or health check.
    pub kind: RequestKind,
    /// Id of the member.
    pub member: u32,
    /// Its name, if it is still in the directory.
    pub member_name: Option<&'a str>,
    /// How it ended.
    pub outcome: ExecutionOutcome,
    /// The status that the member reported.
    pub status: ReplicaStatus,
}

/// Gossip work that is due.
pub struct DueGossipWork {
    /// Inquiries that were not answered in time.
    pub expired_inquiries: Vec<ExpiredInquiry>,
    /// Warm-up budgets are to be computed.
    pub warm_up: bool,
    /// A coordination round is to be run.
    pub coordination: bool,
}

/// For how long and how many statements are recorded for retries at other drivers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DispatchRecordBounds {
    /// Time after a statement's first dispatch.
    pub retention: TimeSpan,
    /// Maximum number of statements.
    pub max_statements: usize,
}

/// State of the event loop's part in gossip.
pub struct Gossip {
    send: SendCommand,
    dispatch_record_bounds: DispatchRecordBounds,
    tick: TimeSpan,
    local_driver: DriverIdentity,
    peer_names: Vec<String>,
    /// Indices of the peers that are present.
    present_peers: BTreeSet<usize>,
    status_batch: StatusBatch,
    /// Statements that must not be executed twice.
    pub prior_attempts: PriorAttempts,
    /// Executions in flight that other drivers may need to know about.
    in_flight: BTreeMap<AttemptId, DispatchedExecution>,
    /// Version of the endpoint list in force.
    list_version: u64,
    /// Members that this driver has announced as draining or gone.
    announced_drains: BTreeSet<String>,
    slow_start: SlowStart,
    coordination: Coordination,
    coordination_at: Option<Timestamp>,
}

impl Gossip {
    /// Starts without observations. An earlier incarnation may have dispatched any statement before `now`.
    pub fn new(
        now: Timestamp,
        settings: GossipSettings,
        local_driver: DriverIdentity,
        peers: FleetPeers,
        send: SendCommand,
    ) -> Gossip {
        let fleet_size = peers.names.len() as u32 + 1;
        Gossip {
            send,
            dispatch_record_bounds: DispatchRecordBounds {
                retention: settings.retry_window,
                max_statements: settings.max_recorded_statements,
            },
            tick: settings.tick,
            slow_start: SlowStart::new(now, &local_driver, &settings),
            coordination: Coordination::new(now, &local_driver, settings.tick, fleet_size),
            coordination_at: Some(now),
            local_driver,
            peer_names: peers.names,
            present_peers: BTreeSet::new(),
            status_batch: StatusBatch::new(settings.tick),
            prior_attempts: PriorAttempts::new(&settings, peers.inquiry_peers),
            in_flight: BTreeMap::new(),
            list_version: 0,
            announced_drains: BTreeSet::new(),
        }
    }

    /// Bounds of the records of dispatched statements.
    pub fn dispatch_record_bounds(&self) -> DispatchRecordBounds {
        self.dispatch_record_bounds
    }

    /// Time of the next due work.
    pub fn next_at(&self) -> Option<Timestamp> {
        let times = [
            self.status_batch.next_at(),
            self.prior_attempts.next_at(),
            self.slow_start.next_at(),
            self.coordination_at,
        ];
        times.into_iter().flatten().min()
    }

    /// Sends the batch of observations if it is due, and returns other due work.
    pub fn advance_to(&mut self, now: Timestamp, members: &MemberDirectory) -> DueGossipWork {
        let records = self.status_batch.take_due(now, members);
        self.send_observed(records);
        DueGossipWork {
            expired_inquiries: self.prior_attempts.take_expired(now),
            coordination: self.coordination_at.take_if(|at| *at <= now).is_some(),
            warm_up: self.slow_start.take_due(now),
        }
    }

    fn send_observed(&mut self, records: Vec<Observation>) {
        if !records.is_empty() {
            (self.send)(NodeInput::Observed(records));
        }
    }

    /// Leaves the fleet, so that other drivers need not detect the absence.
    pub fn leave(&mut self) {
        (self.send)(NodeInput::Leave);
    }

    /// Name of a peer; empty if its index is unknown.
    pub fn peer_name(&self, peer: usize) -> &str {
        self.peer_names.get(peer).map_or("", String::as_str)
    }

    /// Updates the set of present peers.
    pub fn on_peer_state_change(&mut self, change: &PeerStateChange) {
        match change.to {
            PeerState::Alive | PeerState::Suspect => {
                self.present_peers.insert(change.peer);
            }
            PeerState::Down | PeerState::Unknown => {
                self.present_peers.remove(&change.peer);
            }
        }
    }

    /// The drivers that are currently present.
    pub fn fleet_view(&mut self, now: Timestamp) -> FleetView {
        let names = self.present_peers.iter().map(|peer| &self.peer_names[*peer]);
        let peer_keys: BTreeSet<u64> = names.map(|name| fleet_key(name)).collect();
        FleetView {
            own_key: fleet_key(&self.local_driver.name),
            driver_count: self.coordination.set_peers(now, &peer_keys),
            peer_keys,
        }
    }

    /// Records an execution dispatched to the named member, with its expected execution time.
    pub fn on_dispatched(
        &mut self,
        now: Timestamp,
        execution: DispatchedExecution,
        member: Option<&str>,
        expected_work: TimeSpan,
    ) {
        if let Some(member) = member {
            self.slow_start.on_dispatched(now, member, expected_work);
        }
        if execution.is_write {
            self.in_flight.insert(execution.attempt, execution);
        }
    }

    /// Records the end of a request. If `records_sessions`, the position of a session's write is shared.
    pub fn on_request_ended(&mut self, now: Timestamp, end: &RequestEnd, records_sessions: bool) {
        self.status_batch.add_status(now, end.member, end.status);
        let is_answered = matches!(
            end.outcome,
            ExecutionOutcome::Completed
                | ExecutionOutcome::NotEligible
                | ExecutionOutcome::Errored
                | ExecutionOutcome::Rejected
        );
        if let Some(member) = end.member_name.filter(|_| is_answered) {
            self.coordination.on_answer(now, member);
        }
        let RequestKind::Execution(attempt) = end.kind else {
            return;
        };
        let Some(execution) = self.in_flight.remove(&attempt) else {
            return;
        };
        let outcome = end.outcome;
        let is_written = execution.is_write && outcome == ExecutionOutcome::Completed;
        if let Some(position) = end.status.position.filter(|_| is_written && records_sessions) {
            self.status_batch.add_session(now, execution.session, position);
        }
    }

    /// Sends the version of the list in force and its draining members without batching.
    pub fn on_endpoint_list(&mut self, version: u64, entries: &[MemberEntry], members: &MemberDirectory) {
        if self.list_version != version {
            self.list_version = version;
            (self.send)(NodeInput::ListVersion(version));
        }
        for entry in entries {
            if let Some(name) = members.name(entry.id) {
                let member = DrainedMember {
                    name: name.to_owned(),
                    started_ms: entry.started_at.map_or(0, RemoteTimestamp::as_millis),
                };
                self.announce_state(member, entry.state);
            }
        }
    }

    /// Announces a member's state; `Ready` only if it was announced as draining or gone before.
    fn announce_state(&mut self, member: DrainedMember, state: MemberState) {
        let listed_state = match state {
            MemberState::Ready => ListedState::Ready,
            MemberState::Draining => ListedState::Draining,
            MemberState::Gone => ListedState::Gone,
        };
        if state != MemberState::Ready {
            self.announced_drains.insert(member.name.clone());
        } else if !self.announced_drains.remove(&member.name) {
            return;
        }
        let record = Record::Drain {
            name: member.name,
            started_ms: member.started_ms,
            list_version: self.list_version,
            state: listed_state,
        };
        self.send_observed(vec![Observation::now(record)]);
    }

    /// Version of the endpoint list in force; zero before the first list.
    pub fn list_version(&self) -> u64 {
        self.list_version
    }

    /// Computes the warm-up budgets of this driver and shares the work that it has dispatched.
    pub fn warm_up_budgets(
        &mut self,
        now: Timestamp,
        warming: &[WarmingMember],
        members: &MemberDirectory,
    ) -> Vec<WarmUpBudget> {
        let present_drivers = self
            .present_peers
            .iter()
            .map(|peer| self.peer_names[*peer].as_str());
        let present_drivers: Vec<&str> = present_drivers.collect();
        let round = self
            .slow_start
            .compute_budgets(now, warming, members, &present_drivers);
        self.send_observed(round.records);
        round.budgets
    }

    /// Applies another driver's record of its work for a member that is warming up.
    pub fn on_warm_up_record(&mut self, observed_at: Timestamp, record: &Record) {
        self.slow_start.on_record(observed_at, record);
    }

    /// Whether this driver checks a member's health itself, rather than the lease holder.
    pub fn may_check_health(&mut self, now: Timestamp, member: &str) -> bool {
        let is_alone = self.present_peers.is_empty();
        self.coordination.may_check_health(now, member, is_alone)
    }

    /// Runs a coordination round of leases, failure consensus and load aggregate, and shares its records.
    pub fn coordinate(
        &mut self,
        now: Timestamp,
        wants_health_check: impl Fn(&str) -> bool,
        delayed: &BTreeMap<String, Timestamp>,
        shares: &[NamedShare],
    ) -> CoordinationRound {
        self.coordination_at = Some(now + self.tick);
        let mut round = self
            .coordination
            .advance_to(now, wants_health_check, delayed, shares);
        self.send_observed(std::mem::take(&mut round.records));
        round
    }

    /// Applies a lease received from another driver.
    pub fn on_lease(&mut self, now: Timestamp, subject: &str, lease: Lease, age: TimeSpan) {
        self.coordination.on_lease(now, subject, lease, age);
    }

    /// Records that a member answered another driver at `answered_at`.
    pub fn on_peer_answer(&mut self, member: &str, answered_at: Timestamp) {
        self.coordination.on_peer_answer(member, answered_at);
    }

    /// Records another driver's report of a delayed execution at a member.
    pub fn on_peer_delayed_execution(
        &mut self,
        member: &str,
        driver: &str,
        sent_at: Timestamp,
        observed_at: Timestamp,
    ) {
        self.coordination
            .on_peer_delayed_execution(member, driver, sent_at, observed_at);
    }

    /// Applies another driver's report of its admission shares.
    pub fn on_load_report(&mut self, report: &LoadReport) {
        self.coordination.on_load_report(report);
    }

    /// Sends a command to the gossip thread.
    pub fn send(&mut self, command: GossipCommand) {
        (self.send)(command);
    }
}

/// Resolves the members of admission shares to names; members not in the directory are dropped.
pub fn named_shares(shares: impl Iterator<Item = MemberShare>, members: &MemberDirectory) -> Vec<NamedShare> {
    let named = shares.filter_map(|share| {
        Some(NamedShare {
            member: members.name(share.member)?.to_owned(),
            share: share.share,
        })
    });
    named.collect()
}
