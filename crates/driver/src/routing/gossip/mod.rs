//! What drivers of the fleet share, as the event loop sees it: what it has observed and the gossip thread is still to
//! send, which statements must not be executed twice, and what the drivers know about members together. The gossip
//! thread receives commands and is never waited for.

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
pub use prior_attempts::{ExpiredQuery, PriorAttempts, ResolvedStatement, StatementCheck};
use slow_start::SlowStart;
pub use slow_start::WarmUpBudget;
use status_batch::StatusBatch;
pub use status_batch::{statuses, MemberStatusRecord};
use std::collections::{BTreeMap, BTreeSet};

/// A command for the gossip thread.
pub type GossipCommand = NodeInput<'static>;

/// Sends a command to the gossip thread without waiting for it.
pub type SendCommand = Box<dyn FnMut(GossipCommand)>;

/// A message from the gossip thread.
pub enum GossipMessage {
    /// An output of the gossip node.
    Output(NodeOutput),
    /// A line for the log.
    LogLine(String),
}

/// Settings of the event loop's part in gossip.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GossipSettings {
    /// Time between two batches of observations.
    pub tick: TimeSpan,
    /// Longest time to wait for other drivers' answers about a statement.
    pub inquiry_timeout: TimeSpan,
    /// Time after its first dispatch in which a client may retry a statement.
    pub retry_window: TimeSpan,
    /// Most statements that are recorded for that.
    pub max_recorded_statements: usize,
    /// Time over which the load of a warming member is summed.
    pub overload_window: TimeSpan,
    /// A warming member fails when it receives more than this multiple of its capacity.
    pub overload_multiple: f64,
}

/// A driver and its current run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DriverIdentity {
    /// Its name.
    pub name: String,
    /// Number of its run, which grows with each start.
    pub incarnation: u64,
}

/// Other drivers of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetPeers {
    /// Their names, by the number that the gossip node gives them.
    pub names: Vec<String>,
    /// Numbers of those that are asked about statements.
    pub inquiry_peers: Vec<usize>,
}

/// The drivers that are present.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetView {
    /// Key of this driver.
    pub own: u64,
    /// Keys of the others.
    pub others: BTreeSet<u64>,
    /// Number of drivers to count with, which falls only after a while.
    pub count: u32,
}

/// An execution of a statement that other drivers may have to know about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DispatchedExecution {
    /// Which execution it is.
    pub attempt: AttemptId,
    /// Hash of the id that its client gave the statement.
    pub client_id: u64,
    /// Key of its session; zero if it has none.
    pub session: u64,
    /// Executing it twice may have a second effect.
    pub needs_deduplication: bool,
    /// It writes.
    pub is_write: bool,
}

/// The end of a request to a member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestEnd<'a> {
    /// What was requested.
    pub kind: RequestKind,
    /// Id of the member.
    pub member: u32,
    /// Its name, if it is still in the directory.
    pub member_name: Option<&'a str>,
    /// How it ended.
    pub outcome: ExecutionOutcome,
    /// What the member reported.
    pub status: ReplicaStatus,
}

/// What is due by time.
pub struct DueGossip {
    /// Statements whose query was not answered in time.
    pub expired_queries: Vec<ExpiredQuery>,
    /// Budgets of warming members are to be computed.
    pub warm_up: bool,
    /// Leases, failure consensus and load aggregate are to be advanced.
    pub coordination: bool,
}

/// The event loop's part in gossip.
pub struct Gossip {
    send: SendCommand,
    tick: TimeSpan,
    own: DriverIdentity,
    peer_names: Vec<String>,
    /// Numbers of peers that are present.
    present: BTreeSet<usize>,
    statuses: StatusBatch,
    /// Statements that must not be executed twice.
    pub prior_attempts: PriorAttempts,
    /// Executions in flight that other drivers may have to know about.
    in_flight: BTreeMap<AttemptId, DispatchedExecution>,
    /// Version of the endpoint list in force.
    list_version: u64,
    /// Members that this driver has announced as draining.
    announced_drains: BTreeSet<String>,
    slow_start: SlowStart,
    coordination: Coordination,
    coordination_at: Option<Timestamp>,
}

impl Gossip {
    /// Nothing has been observed yet. An earlier run of this driver may have sent any statement before now.
    pub fn new(
        now: Timestamp,
        settings: GossipSettings,
        own: DriverIdentity,
        peers: FleetPeers,
        send: SendCommand,
    ) -> Gossip {
        let fleet_size = peers.names.len() as u32 + 1;
        Gossip {
            send,
            tick: settings.tick,
            slow_start: SlowStart::new(now, &own, &settings),
            coordination: Coordination::new(now, &own, settings.tick, fleet_size),
            coordination_at: Some(now),
            own,
            peer_names: peers.names,
            present: BTreeSet::new(),
            statuses: StatusBatch::new(settings.tick),
            prior_attempts: PriorAttempts::new(now, &settings, peers.inquiry_peers),
            in_flight: BTreeMap::new(),
            list_version: 0,
            announced_drains: BTreeSet::new(),
        }
    }

    /// When the next part is due.
    pub fn next_at(&self) -> Option<Timestamp> {
        let times = [
            self.statuses.next_at(),
            self.prior_attempts.next_at(),
            self.slow_start.next_at(),
            self.coordination_at,
        ];
        times.into_iter().flatten().min()
    }

    /// Sends the batch of observations if it is due, and returns what else is due.
    pub fn advance_to(&mut self, now: Timestamp, members: &MemberDirectory) -> DueGossip {
        let records = self.statuses.take_due(now, members);
        self.send_observed(records);
        DueGossip {
            expired_queries: self.prior_attempts.take_expired(now),
            coordination: self.coordination_at.take_if(|at| *at <= now).is_some(),
            warm_up: self.slow_start.take_due(now),
        }
    }

    fn send_observed(&mut self, records: Vec<Observation>) {
        if !records.is_empty() {
            (self.send)(NodeInput::Observed(records));
        }
    }

    /// Leaves the fleet, so that other drivers need not detect it.
    pub fn leave(&mut self) {
        (self.send)(NodeInput::Leave);
    }

    /// Forgets which statements were sent: another process has sent some.
    pub fn forget_sent_statements(&mut self, now: Timestamp) {
        self.prior_attempts.forget_sent(now);
    }

    /// Name of a peer; empty if its number is unknown.
    pub fn peer_name(&self, peer: usize) -> &str {
        self.peer_names.get(peer).map_or("", String::as_str)
    }

    /// A peer has appeared or disappeared.
    pub fn on_presence_change(&mut self, change: &PeerStateChange) {
        match change.to {
            PeerState::Alive | PeerState::Suspect => {
                self.present.insert(change.peer);
            }
            PeerState::Down | PeerState::Unknown => {
                self.present.remove(&change.peer);
            }
        }
    }

    /// The drivers that are present.
    pub fn fleet_view(&mut self, now: Timestamp) -> FleetView {
        let names = self.present.iter().map(|peer| &self.peer_names[*peer]);
        let others: BTreeSet<u64> = names.map(|name| fleet_key(name)).collect();
        FleetView {
            own: fleet_key(&self.own.name),
            count: self.coordination.on_fleet(now, &others),
            others,
        }
    }

    /// An execution is dispatched to the member with this name, which is expected to take so long.
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
        if execution.needs_deduplication {
            let member = member.unwrap_or_default();
            self.prior_attempts.on_sent(now, execution.client_id, member);
        }
        if execution.needs_deduplication || execution.is_write {
            self.in_flight.insert(execution.attempt, execution);
        }
    }

    /// A request to a member has ended. Where drivers record sessions, a write's position is shared.
    pub fn on_request_ended(&mut self, now: Timestamp, end: &RequestEnd, records_sessions: bool) {
        self.statuses.add_status(now, end.member, end.status);
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
        if execution.needs_deduplication && asterlatch::policy::definitely_not_executed(outcome) {
            self.prior_attempts.on_not_executed(execution.client_id);
        }
        let is_written = execution.is_write && outcome == ExecutionOutcome::Completed;
        if let Some(position) = end.status.position.filter(|_| is_written && records_sessions) {
            self.statuses.add_session(now, execution.session, position);
        }
    }

    /// A list of this version is in force. Its version and its drains are sent at once.
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

    /// A ready member is announced only if other drivers may take it for draining.
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

    /// Version of the endpoint list in force; zero before the first.
    pub fn list_version(&self) -> u64 {
        self.list_version
    }

    /// Computes what each warming member may receive from here, and shares what it did receive.
    pub fn warm_up_budgets(
        &mut self,
        now: Timestamp,
        warming: &[WarmingMember],
        members: &MemberDirectory,
    ) -> Vec<WarmUpBudget> {
        let present = self.present.iter().map(|peer| self.peer_names[*peer].as_str());
        let present: Vec<&str> = present.collect();
        let round = self.slow_start.compute_budgets(now, warming, members, &present);
        self.send_observed(round.records);
        round.budgets
    }

    /// Another driver's record of what it sends to a warming member.
    pub fn on_warm_up_record(&mut self, observed_at: Timestamp, record: &Record) {
        self.slow_start.on_record(observed_at, record);
    }

    /// Whether this driver checks a member's health itself, or leaves that to the lease holder.
    pub fn may_check_health(&mut self, now: Timestamp, member: &str) -> bool {
        let is_alone = self.present.is_empty();
        self.coordination.may_check_health(now, member, is_alone)
    }

    /// Advances leases, failure consensus and load aggregate, and shares what changed.
    pub fn coordinate(
        &mut self,
        now: Timestamp,
        wants_health_check: impl Fn(&str) -> bool,
        overdue: &BTreeMap<String, Timestamp>,
        shares: &[NamedShare],
    ) -> CoordinationRound {
        self.coordination_at = Some(now + self.tick);
        let mut round = self
            .coordination
            .advance_to(now, wants_health_check, overdue, shares);
        self.send_observed(std::mem::take(&mut round.records));
        round
    }

    /// A lease as another driver knows it.
    pub fn on_lease(&mut self, now: Timestamp, subject: &str, lease: Lease, age: TimeSpan) {
        self.coordination.on_lease(now, subject, lease, age);
    }

    /// Another driver has received an answer of a member then.
    pub fn on_peer_answer(&mut self, member: &str, answered_at: Timestamp) {
        self.coordination.on_peer_answer(member, answered_at);
    }

    /// Another driver has an overdue execution at a member.
    pub fn on_peer_overdue(
        &mut self,
        member: &str,
        driver: &str,
        sent_at: Timestamp,
        observed_at: Timestamp,
    ) {
        self.coordination
            .on_peer_overdue(member, driver, sent_at, observed_at);
    }

    /// Another driver's report of its admission shares.
    pub fn on_load_report(&mut self, report: &LoadReport) {
        self.coordination.on_load_report(report);
    }

    /// Sends a command to the gossip thread.
    pub fn send(&mut self, command: GossipCommand) {
        (self.send)(command);
    }
}

/// Pairs members of the directory with their admission shares by name.
pub fn named_shares(shares: impl Iterator<Item = MemberShare>, members: &MemberDirectory) -> Vec<NamedShare> {
    let named = shares.filter_map(|share| {
        Some(NamedShare {
            member: members.name(share.member)?.to_owned(),
            share: share.share,
        })
    });
    named.collect()
}
