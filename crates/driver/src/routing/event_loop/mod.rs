//! The event loop: dispatches one event after another and never blocks while it handles one.
//!
//! It owns the routing policy and the tables of clients, statements, requests and members. Handlers are
//! grouped by the source of their events: `clients`, `members`, `discovery`, `gossip`, `peer_process`.
//! `turn` takes events from the queue and bounds the time until timeouts and control run, `actions` carries out
//! the policy's decisions, and `dispatch` sends requests to members.

mod actions;
mod clients;
mod configuration;
mod coordination;
mod discovery;
mod dispatch;
mod gossip;
mod in_doubt;
mod members;
mod peer_process;
mod turn;

use crate::routing::acceptor::Acceptor;
use crate::routing::clients::Clients;
use crate::routing::discovery_requests::{DialDiscovery, DiscoveryRequests};
use crate::routing::dispatch_records::DispatchRecords;
use crate::routing::events::{ControlEvent, Event};
use crate::routing::gossip::Gossip;
use crate::routing::handover::{AdoptClient, AdoptMemberConnection, Handover};
use crate::routing::limits::Limits;
use crate::routing::member_requests::{
    ConnectionLimits, DialMember, MemberRequest, MemberRequests, UnansweredRequest,
};
use crate::routing::members::MemberDirectory;
use crate::routing::metrics::Metrics;
use crate::routing::runtime_config::{MemoryBudgets, RuntimeConfig};
use crate::routing::statements::Statements;
use crate::routing::workloads::Workloads;
use crate::transport::io_journal::IoJournalWriter;
use asterlatch::interface::{ExecutionOutcome, ReplicaStatus, Settings};
use asterlatch::policy::RoutingPolicy;
use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_settings::Decoding;
pub use configuration::{MemberCounts, ProcessUsage, ServiceCapacity};
pub use peer_process::{LearnedState, ResumedState};
use std::collections::{BTreeSet, VecDeque};
use std::fmt::Arguments;

/// Receives the log lines of the event loop.
pub trait Logger {
    /// Logs a line under a topic. An implementation may limit the rate per topic.
    fn log(&mut self, now: Timestamp, topic: &'static str, text: Arguments);
}

/// Functions that open and resume connections.
pub struct Connectors {
    /// Opens a connection to a member.
    pub dial_member: DialMember,
    /// Opens a connection to discovery.
    pub dial_discovery: DialDiscovery,
    /// Resumes a client of another process.
    pub adopt_client: AdoptClient,
    /// Resumes an idle member connection of another process.
    pub adopt_member_connection: AdoptMemberConnection,
}

/// Options of an event loop other than the deployment's settings.
pub struct EventLoopOptions {
    /// Seed of the policy's random decisions.
    pub seed: u64,
    /// Functions that open and resume connections.
    pub connectors: Connectors,
    /// Journal of dispatched statements, if a predecessor reclaims clients should this process crash.
    pub journal: Option<IoJournalWriter>,
    /// Configuration that may change at run time.
    pub config: RuntimeConfig,
    /// Limits that operators may change.
    pub limits: Limits,
    /// Memory budgets shared with the connections.
    pub memory: MemoryBudgets,
}

/// A request that has ended and that the policy has not been notified of yet.
struct EndedRequest {
    request: MemberRequest,
    outcome: ExecutionOutcome,
    latency: TimeSpan,
    status: ReplicaStatus,
}

/// The event loop with the policy and all tables. It runs on one thread; other threads send it events.
pub struct EventLoop<L> {
    policy: RoutingPolicy,
    decoding: Decoding,
    /// Receiver of log lines.
    pub logger: L,
    /// Counters and gauges.
    pub metrics: Metrics,
    workloads: Workloads,
    members: MemberDirectory,
    clients: Clients,
    statements: Statements,
    member_requests: MemberRequests,
    discovery_requests: DiscoveryRequests,
    memory: MemoryBudgets,
    config: RuntimeConfig,
    limits: Limits,
    ended_requests: VecDeque<EndedRequest>,
    /// Events of clients and the listener that were taken from the queue and not handled yet.
    waiting_events: VecDeque<Event>,
    /// Clients whose disconnect was taken from the queue while their admission is among the waiting events.
    disconnected_before_admission: BTreeSet<u32>,
    policy_wakes_at: Option<Timestamp>,
    acceptor: Acceptor,
    control_events: Vec<ControlEvent>,
    is_draining: bool,
    handover: Handover,
    journal: Option<IoJournalWriter>,
    /// The predecessor, which reads the journal, understands facts in it.
    journals_facts: bool,
    dispatch_records: DispatchRecords,
    gossip: Option<Gossip>,
    /// The predecessor still gossips under this driver's name, so peers cannot be asked yet.
    is_gossip_deferred: bool,
    /// Drivers record session positions, because clients do not carry them.
    records_sessions: bool,
}

impl<L: Logger> EventLoop<L> {
    /// An event loop without clients, members or listener.
    pub fn new(
        settings: &Settings,
        decoding: Decoding,
        options: EventLoopOptions,
        now: Timestamp,
        logger: L,
    ) -> EventLoop<L> {
        let (config, limits) = (options.config, options.limits);
        let capacity = config.connection_capacity(&limits);
        let connection_limits = ConnectionLimits {
            connect_timeout: decoding.connect_timeout,
            idle_timeout: settings.idle_connection_timeout,
            idle_share: limits.member_idle_share,
            max_connections: capacity.members,
        };
        let connectors = options.connectors;
        EventLoop {
            policy: RoutingPolicy::new(settings, options.seed, now),
            workloads: Workloads::new(settings, &decoding),
            members: MemberDirectory::new(&decoding.zone_names),
            clients: Clients::new(capacity.clients, limits),
            statements: Statements::default(),
            member_requests: MemberRequests::new(connectors.dial_member, connection_limits),
            discovery_requests: DiscoveryRequests::new(
                connectors.dial_discovery,
                config.discovery,
                settings.poll_endpoint_list,
                decoding.drain_grace,
                limits,
                now,
            ),
            memory: options.memory,
            config,
            limits,
            decoding,
            logger,
            metrics: Metrics::default(),
            ended_requests: VecDeque::new(),
            waiting_events: VecDeque::new(),
            disconnected_before_admission: BTreeSet::new(),
            policy_wakes_at: Some(now),
            acceptor: Acceptor::default(),
            control_events: Vec::new(),
            is_draining: false,
            handover: Handover::new(connectors.adopt_client, connectors.adopt_member_connection),
            journal: options.journal,
            journals_facts: false,
            dispatch_records: DispatchRecords::new(now),
            gossip: None,
            is_gossip_deferred: false,
            records_sessions: !settings.carries_session_position,
        }
    }

    /// Time of the next work for [`EventLoop::advance_to`].
    pub fn next_at(&self) -> Timestamp {
        let times = [
            self.policy_wakes_at,
            self.member_requests.next_at(),
            self.discovery_requests.next_at(),
            self.clients.next_at(),
            self.acceptor.next_at(),
            self.gossip.as_ref().and_then(Gossip::next_at),
        ];
        times.into_iter().flatten().min().unwrap_or(Timestamp(u64::MAX))
    }

    /// Handles one event.
    pub fn on_event(&mut self, now: Timestamp, event: Event) {
        match event {
            Event::Accept(event) => self.on_accept_event(now, event),
            Event::Client(event) => self.on_client_event(now, event),
            Event::Member(event) => self.on_member_event(now, event),
            Event::Discovery(message) => self.on_discovery_message(now, message),
            Event::Gossip(message) => self.on_gossip_message(now, message),
            Event::Control(event) => self.control_events.push(event),
        }
        self.notify_policy_of_ends(now);
    }

    /// Handles everything that is due by `now`: timeouts, retries, and work of the policy and of gossip.
    pub fn advance_to(&mut self, now: Timestamp) {
        self.release_held_answers(now);
        self.time_out_requests(now);
        if self.policy_wakes_at.is_some_and(|at| at <= now) {
            let actions = self.policy.advance_to(now);
            self.execute_actions(now, actions);
        }
        self.advance_gossip_to(now);
        self.member_requests.close_expired_idle(now);
        let expired = self.clients.close_expired(now);
        self.metrics.clients_too_slow += expired.timed_out;
        self.metrics.clients_closed_idle += expired.idle;
        self.advance_discovery_to(now);
        self.acceptor.advance_to(now);
        self.notify_policy_of_ends(now);
        self.update_gauges();
    }

    fn time_out_requests(&mut self, now: Timestamp) {
        while let Some(UnansweredRequest { request, outcome }) = self.member_requests.next_timed_out(now) {
            self.end_request(request, now, outcome, ReplicaStatus::default());
            self.notify_policy_of_ends(now);
        }
    }

    fn update_gauges(&mut self) {
        self.metrics.open_statements = self.statements.count() as u64;
        self.metrics.open_clients = self.clients.count() as u64;
        self.metrics.open_member_connections = self.member_requests.connection_count() as u64;
    }

    /// Takes the control events queued since the last call.
    pub fn take_control_events(&mut self) -> Vec<ControlEvent> {
        std::mem::take(&mut self.control_events)
    }

    /// Whether control events wait for [`EventLoop::take_control_events`].
    pub fn has_control_events(&self) -> bool {
        !self.control_events.is_empty()
    }
}
