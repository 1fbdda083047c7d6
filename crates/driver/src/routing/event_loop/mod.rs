//! Holds the module and all tables. Each input is taken to its end before the next one; nothing here waits.

mod coordination;
mod dispatch;
mod gossip;
mod peer_process;

use crate::protocol::client_session::{self as client, ClientCommand, ClientEvent, Final, Text};
use crate::protocol::discovery_watch::{DiscoveryEvent, DiscoveryMessage};
use crate::protocol::endpoint_list::EndpointList;
use crate::protocol::member_connection::{self, MemberEvent, Reply};
use crate::protocol::statement_comment::{self, Marked, Unreadable};
use crate::protocol::{messages, replica_status};
use crate::routing::clients::{Admission, Clients};
use crate::routing::discovery_requests::{self, DiscoveryRequests};
use crate::routing::events::{ControlEvent, Event};
use crate::routing::execution_outcomes;
use crate::routing::gossip::Sharing;
use crate::routing::limits::{Limits, WorkloadLimits};
use crate::routing::member_requests::{
    self, AttemptId, ConnectionLimits, MemberRequest, MemberRequests, RequestKind, UnansweredRequest,
};
use crate::routing::members::{session_key, MemberDirectory};
use crate::routing::metrics::Metrics;
use crate::routing::statements::{NewStatement, NextAttempt, OpenedStatement, StatementOrigin, Statements};
use crate::routing::workloads::Workloads;
use crate::transport::clock::Clock;
use crate::transport::connection::ConnectionHandle;
use crate::transport::io_journal::IoJournalWriter;
use crate::transport::listener::{AcceptEvent, ListenerHandle};
use crate::transport::memory_budget::MemoryBudget;
use asterlatch::interface::*;
use asterlatch::policy;
use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_handover::io_journal::StatementVerdicts;
use asterlatch_handover::message as moving;
use asterlatch_settings::Decoding;
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Duration;

/// What the outside world is told of.
pub trait Observer {
    fn say(&mut self, now: Timestamp, topic: &'static str, text: std::fmt::Arguments);
}

/// What is handed over: the module's memory, and whom its ids mean.
pub type Learned<'a> = (&'a policy::RoutingPolicy, &'a MemberDirectory);

/// How connections to members and discovery are opened.
pub struct Place {
    pub members: member_requests::DialMember,
    pub discovery: discovery_requests::DialDiscovery,
    pub adopt: Adopt,
    pub adopt_connection: AdoptConnection,
    /// Writes down what goes out, where another process is to go on if this one dies.
    pub witness: Option<IoJournalWriter>,
    pub given: Given,
    pub limits: Limits,
    /// For clients and for members.
    pub memory: (MemoryBudget, MemoryBudget),
}

/// A client on its way from one process to another.
pub struct Moved {
    pub stream: TcpStream,
    pub standing: client::Standing,
    pub has_asked: bool,
    /// How what was read from it by a process that has died is to be answered.
    pub verdicts: StatementVerdicts,
}

impl Moved {
    /// As another process tells of it, under this number of the ledger where one keeps it.
    pub fn from(
        client: moving::ClientState,
        handed: Option<u64>,
        stream: TcpStream,
        verdicts: StatementVerdicts,
    ) -> Moved {
        let standing = client::Standing {
            opened: client.startup_complete,
            skip: client.bytes_to_skip as usize,
            input: client.input,
            handed,
        };
        let has_asked = client.has_sent_statement;
        Moved {
            stream,
            standing,
            has_asked,
            verdicts,
        }
    }
}

/// Goes on with a client's connection under this number.
pub type Adopt =
    Box<dyn FnMut(u32, TcpStream, client::Standing) -> io::Result<ConnectionHandle<ClientCommand>>>;

/// Goes on with an idle connection to a member under this number.
pub type AdoptConnection =
    Box<dyn FnMut(u32, TcpStream) -> io::Result<ConnectionHandle<member_connection::MemberCommand>>>;

/// Numbers of clients from another process begin here.
const ADOPTED: u32 = 1 << 31;

/// What may change while the process serves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Given {
    pub discovery: SocketAddr,
    pub sockets: usize,
    pub memory: usize,
}

impl Given {
    /// How much memory what clients and members send may fill.
    fn bytes(&self, limits: &Limits) -> (usize, usize) {
        (
            limits.client_memory_share.of(self.memory),
            limits.member_memory_share.of(self.memory),
        )
    }

    pub fn rooms(&self, limits: &Limits) -> (MemoryBudget, MemoryBudget) {
        let (clients, members) = self.bytes(limits);
        (MemoryBudget::new(clients), MemoryBudget::new(members))
    }

    /// How many connections clients and members may have.
    pub fn connections(&self, limits: &Limits) -> (usize, usize) {
        let most = self.sockets.saturating_sub(limits.reserved_descriptors).max(2);
        let clients = limits.client_share.of(most).max(1);
        (clients, most - clients)
    }
}

/// The end of an execution or probe that the module is still to be told of.
struct Ended {
    request: MemberRequest,
    ending: ExecutionOutcome,
    took: TimeSpan,
    sighting: ReplicaStatus,
}

pub struct EventLoop<O> {
    module: policy::RoutingPolicy,
    decoding: Decoding,
    pub observer: O,
    pub metrics: Metrics,
    workloads: Workloads,
    members: MemberDirectory,
    clients: Clients,
    statements: Statements,
    member_requests: MemberRequests,
    discovery_requests: DiscoveryRequests,
    memory: (MemoryBudget, MemoryBudget),
    given: Given,
    limits: Limits,
    ended: VecDeque<Ended>,
    module_wakes: Option<Timestamp>,
    accept_again: Option<Timestamp>,
    listening: Option<ListenerHandle>,
    pub control_events: Vec<ControlEvent>,
    pub listener_closed: bool,
    draining: bool,
    adopt: Adopt,
    adopt_connection: AdoptConnection,
    adopted: u32,
    /// Another process serves beside this one, on the same descriptors and memory.
    is_shared: bool,
    /// MemberDirectory that were heard to drain meanwhile, and when they had started.
    pub drains: Vec<(String, u64)>,
    witness: Option<IoJournalWriter>,
    /// Clients of a process that has died, some of whose statements may have run.
    verdicts: BTreeMap<u32, StatementVerdicts>,
    /// Idle connections to members that are to go on in another process.
    pub moved_connections: Vec<(u32, TcpStream)>,
    /// Clients that are to go on in another process.
    pub moved: Vec<Moved>,
    /// What is shared with other drivers, where anything is.
    sharing: Option<Sharing>,
    is_mute: bool,
    /// Positions of sessions' writes are kept here, for clients don't carry them.
    remembers_sessions: bool,
}

impl<O: Observer> EventLoop<O> {
    pub fn new(
        (settings, decoding): (Settings, Decoding),
        seed: u64,
        place: Place,
        now: Timestamp,
        observer: O,
    ) -> EventLoop<O> {
        let (given, limits) = (place.given, place.limits);
        let (most_clients, most_members) = given.connections(&limits);
        let connection_limits = ConnectionLimits {
            connect_timeout: decoding.connect_timeout,
            idle_timeout: settings.idle_connection_timeout,
            idle_share: limits.member_idle_share,
            max_connections: most_members,
        };
        EventLoop {
            module: policy::RoutingPolicy::new(&settings, seed, now),
            workloads: Workloads::new(&settings, &decoding),
            members: MemberDirectory::new(&decoding.zones),
            clients: Clients::new(most_clients, limits),
            statements: Statements::default(),
            member_requests: MemberRequests::new(place.members, connection_limits),
            discovery_requests: DiscoveryRequests::new(
                place.discovery,
                given.discovery,
                settings.poll_endpoint_list,
                limits,
                now,
            ),
            memory: place.memory,
            given,
            limits,
            decoding,
            observer,
            metrics: Metrics::default(),
            ended: VecDeque::new(),
            module_wakes: Some(now),
            accept_again: None,
            listening: None,
            control_events: Vec::new(),
            listener_closed: false,
            draining: false,
            adopt: place.adopt,
            adopt_connection: place.adopt_connection,
            witness: place.witness,
            verdicts: BTreeMap::new(),
            moved_connections: Vec::new(),
            adopted: 0,
            is_shared: false,
            drains: Vec::new(),
            sharing: None,
            is_mute: false,
            remembers_sessions: !settings.session_age_carried,
            moved: Vec::new(),
        }
    }

    /// Takes inputs until `steer` has nothing more to come back for.
    pub fn run(
        &mut self,
        inputs: &Receiver<Event>,
        clock: Clock,
        mut steer: impl FnMut(&mut Self, Timestamp) -> Option<Timestamp>,
    ) {
        loop {
            let Some(steered) = steer(self, clock.now()) else {
                return;
            };
            let next = self.next_at().min(steered);
            let wait = Duration::from_micros((next - clock.now()).0);
            let mut input = match inputs.recv_timeout(wait) {
                Ok(input) => Some(input),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let late = (clock.now() - next).0;
            self.metrics.wake_up_latest_us = self.metrics.wake_up_latest_us.max(late);
            // All that is queued first: an answer that lies here must not be taken for one that is late.
            let mut taken = 0;
            while let Some(i) = input {
                taken += 1;
                self.take(clock.now(), i);
                input = inputs.try_recv().ok();
            }
            self.metrics.queue_longest = self.metrics.queue_longest.max(taken);
            self.reach(clock.now());
        }
    }

    pub fn next_at(&self) -> Timestamp {
        let times = [
            self.module_wakes,
            self.member_requests.next_at(),
            self.discovery_requests.next_at(),
            self.clients.next_at(),
            self.accept_again,
            self.sharing.as_ref().and_then(Sharing::next_at),
        ];
        times.into_iter().flatten().min().unwrap_or(Timestamp(u64::MAX))
    }

    pub fn take(&mut self, now: Timestamp, input: Event) {
        match input {
            Event::Arrival(arrival) => self.arrived(now, arrival),
            Event::Client(heard) => self.client_heard(now, heard),
            Event::Member(heard) => self.member_heard(now, heard),
            Event::Discovery(message) => self.on_discovery_message(now, message),
            Event::Gossip(message) => self.on_gossip_message(now, message),
            Event::Control(event) => self.control_events.push(event),
        }
        self.tell_ended(now);
    }

    /// Does what is due by the clock.
    pub fn reach(&mut self, now: Timestamp) {
        while let Some(UnansweredRequest {
            request,
            outcome: ending,
        }) = self.member_requests.next_timed_out(now)
        {
            self.end(request, now, ending, ReplicaStatus::default());
            self.tell_ended(now);
        }
        if self.module_wakes.is_some_and(|at| at <= now) {
            let results = self.module.advance_to(now);
            self.carry_out(now, results);
        }
        self.reach_sharing(now);
        self.member_requests.close_expired_idle(now);
        let expired = self.clients.close_expired(now);
        self.metrics.clients_too_slow += expired.too_slow;
        self.metrics.clients_rested += expired.idle;
        if self.discovery_requests.is_timed_out(now) {
            let text = format_args!("silent, calling again");
            self.observer.say(now, "discovery", text);
            self.call_failed(now);
        }
        if self.discovery_requests.take_due(now) {
            self.call(now);
        }
        if self.accept_again.take_if(|at| *at <= now).is_some() {
            self.listening.as_ref().inspect(|l| l.retry());
        }
        self.tell_ended(now);
        self.metrics.open_statements = self.statements.count() as u64;
        self.metrics.open_clients = self.clients.count() as u64;
        self.metrics.open_member_connections = self.member_requests.connection_count() as u64;
    }

    /// Takes over what has changed. Whatever is open stays: fewer connections come about as they end.
    pub fn give(&mut self, now: Timestamp, given: Given) {
        self.given = given;
        self.bound();
        self.discovery_requests.set_address(now, given.discovery);
    }

    /// Takes over what the operators set. Newcomers are bound by it first; nothing open ends for a smaller limit,
    /// but for pauses that are too long by then.
    pub fn limit(&mut self, limits: Limits, by_workload: &BTreeMap<String, WorkloadLimits>) {
        self.limits = limits;
        self.workloads.set_limits(by_workload);
        self.bound();
    }

    fn bound(&mut self) {
        let (given, limits) = (self.given, self.limits);
        let (clients, members) = given.connections(&limits);
        self.clients.set_limits(clients, limits);
        self.member_requests.set_limits(members, limits.member_idle_share);
        self.discovery_requests.set_limits(limits);
        let (of_clients, of_members) = given.bytes(&limits);
        self.memory.0.set_capacity(of_clients);
        self.memory.1.set_capacity(of_members);
    }

    /// Bytes that clients and members fill now.
    pub fn memory_taken(&self) -> usize {
        self.memory.0.reserved() + self.memory.1.reserved()
    }

    /// Descriptors and bytes that all processes of this service together may have.
    pub fn most(&self) -> (usize, usize) {
        (self.given.sockets, self.given.memory)
    }

    /// Bytes that clients may fill.
    pub fn clients_memory(&self) -> usize {
        self.memory.0.capacity()
    }

    pub fn attach(&mut self, listening: ListenerHandle) {
        self.listening = Some(listening);
    }

    pub fn is_listening(&self) -> bool {
        self.listening.is_some()
    }

    /// What is kept of members: names, ids, and those with an idle connection.
    pub fn members(&self) -> (usize, usize, usize) {
        let size = self.members.size();
        (size.names, size.ids, self.member_requests.idle_member_count())
    }

    pub fn open_clients(&self) -> usize {
        self.clients.count()
    }

    pub fn open_statements(&self) -> usize {
        self.statements.count()
    }

    /// Takes no more clients, and lets each go between two statements.
    pub fn send_clients_away(&mut self) {
        self.draining = true;
        self.listening.as_ref().inspect(|l| l.close());
        self.clients.begin_drain();
    }

    fn arrived(&mut self, now: Timestamp, arrival: AcceptEvent<ClientCommand>) {
        match arrival {
            AcceptEvent::Client(id, line) => {
                self.metrics.clients_accepted += 1;
                match self.clients.admit(now, id, line) {
                    Admission::Admitted => {}
                    Admission::AdmittedByEviction => self.metrics.clients_closed_for_room += 1,
                    Admission::Rejected => self.metrics.clients_turned_away += 1,
                }
            }
            AcceptEvent::Failed(e) => {
                self.metrics.accepts_failed += 1;
                let text = format_args!("a client could not be accepted: {e}");
                self.observer.say(now, "accept", text);
                self.accept_again = Some(now + self.limits.accept_backoff);
                self.metrics.clients_closed_for_room += u64::from(self.clients.evict_one(now));
            }
            AcceptEvent::Closed => {
                // Nobody is refused before it is let go here.
                self.listening = None;
                self.listener_closed = true;
            }
        }
    }

    fn client_heard(&mut self, now: Timestamp, heard: ClientEvent) {
        match heard {
            ClientEvent::Statement {
                client,
                number,
                end,
                text,
                at,
            } => {
                if self.clients.on_statement(client) && !self.judged(client, number, end) {
                    self.statement(now, (client, number, end), text, at);
                }
            }
            ClientEvent::Idle { client, since } => self.clients.on_idle(client, since),
            ClientEvent::PartialMessage { client, since } => self.clients.on_partial_message(client, since),
            ClientEvent::HalfClosed { client } => self.clients.on_half_closed(client, now),
            ClientEvent::Malformed => {
                self.metrics.clients_malformed += 1;
                let text = format_args!("sent what is not the protocol");
                self.observer.say(now, "client", text);
            }
            ClientEvent::OutOfMemory => self.metrics.rejected_for_memory += 1,
            ClientEvent::Oversized => self.metrics.statements_unreadable += 1,
            ClientEvent::Transferred {
                client,
                stream,
                standing,
            } => {
                let has_asked = self.clients.is_active(client);
                // Between two statements nothing of it is open.
                self.clients.remove(client);
                self.moved.push(Moved {
                    stream,
                    standing,
                    has_asked,
                    verdicts: StatementVerdicts::default(),
                });
            }
            ClientEvent::Closed { client } => {
                self.verdicts.remove(&client);
                for stmt in self.clients.remove(client) {
                    if self.statements.remove(stmt).is_none() {
                        continue;
                    }
                    self.metrics.withdrawn += 1;
                    let results = self.module.on_statement_withdrawn(now, stmt);
                    self.carry_out(now, results);
                }
            }
        }
    }

    fn statement(
        &mut self,
        now: Timestamp,
        (client, number, end): (u32, u32, u64),
        text: Text,
        at: Timestamp,
    ) {
        let marked = statement_comment::read(&text.text);
        let length = text.text.len();
        let (workload, marked) = match marked.and_then(|m| Ok((self.routable(&m, length)?, m))) {
            Ok(marked) => marked,
            Err(fault) => {
                self.metrics.statements_unreadable += 1;
                let text = format_args!("not routed: {}", fault.message);
                self.observer.say(now, "statement", text);
                return self
                    .clients
                    .send(client, ClientCommand::Answer(number, fault.into()));
            }
        };
        self.metrics.statements_taken += 1;
        let properties = self.workloads.get(workload);
        let key = marked.key.as_deref().filter(|_| properties.uses_sessions());
        let session = key.map_or(0, session_key);
        let OpenedStatement {
            id,
            deadline: times_out,
        } = self.statements.insert(NewStatement {
            origin: StatementOrigin { client, number, end },
            text,
            fields: &marked,
            received_at: at,
            max_timeout: properties.max_statement_timeout(&self.limits),
            workload,
            session,
            is_client_retry_safe: properties.is_client_retry_safe,
        });
        self.clients.add_statement(client, id);
        let taken = Statement {
            id,
            workload,
            tenant: 0,
            group: marked.group,
            session,
            is_client_retry: marked.repeat,
            time_left: times_out - now,
            expected_work: None,
            prior_attempt: None,
            session_write_age: marked
                .after
                .and_then(replica_status::unix)
                .map(|after| now - after),
        };
        let taken = self.asks_others(now, (marked.id, marked.repeat), taken, times_out);
        if let Some(taken) = taken {
            let results = self.module.on_statement(now, &taken);
            self.carry_out(now, results);
        }
    }

    /// The workload of a statement that can be routed.
    fn routable(&self, marked: &Marked, length: usize) -> Result<usize, Unreadable> {
        if self.statements.find(marked.id).is_some() {
            return Err(statement_comment::SAME_ID);
        }
        if !self.members.has_group(marked.group) {
            return Err(statement_comment::NO_GROUP);
        }
        let known = self.workloads.find(&marked.workload);
        let workload = known.ok_or(statement_comment::NO_WORKLOAD)?;
        match self.workloads.get(workload).limits.max_bytes {
            Some(longest) if length > longest => Err(statement_comment::TOO_LARGE),
            _ => Ok(workload),
        }
    }

    /// Gives a statement its one final answer; a later one finds it gone.
    fn answer(&mut self, stmt: u32, answer: Final) -> bool {
        let Some(StatementOrigin { client, number, .. }) = self.statements.remove(stmt) else {
            self.metrics.late_answers_dropped += 1;
            return false;
        };
        self.clients.remove_statement(client, stmt);
        self.clients.send(client, ClientCommand::Answer(number, answer));
        true
    }

    /// Carries out what the module decided, in its order.
    fn carry_out(&mut self, now: Timestamp, results: Actions) {
        self.module_wakes = results.wake_up_at;
        for c in &results.cancellations {
            if let Some(UnansweredRequest {
                request,
                outcome: ending,
            }) = self.member_requests.cancel(
                now,
                AttemptId {
                    statement: c.statement,
                    attempt: c.attempt,
                },
            ) {
                self.end(request, now, ending, ReplicaStatus::default());
            }
        }
        for e in &results.executions {
            if let Some(NextAttempt {
                number,
                deadline: until,
            }) = self.statements.begin_attempt(e.statement, e.deadline)
            {
                self.metrics.executions_sent += 1;
                let kind = RequestKind::Execution(AttemptId {
                    statement: e.statement,
                    attempt: number,
                });
                self.shares_execution(now, e.statement, number, e.member);
                self.start(now, MemberRequest::new(kind, e.member, now, until));
            }
        }
        for answer in &results.answers {
            let client_answer = execution_outcomes::to_client(answer);
            let answered = u64::from(self.answer(client_answer.statement, client_answer.answer));
            match answer {
                Answer::Rejected { .. } => self.metrics.rejected += answered,
                Answer::Aborted { .. } => self.metrics.aborted += answered,
            }
        }
        for member in &results.health_checks {
            if self.may_probe(now, *member) {
                self.probe(now, *member);
            }
        }
        for member in &results.removed_members {
            self.members.remove(*member);
            self.member_requests.close_idle(*member);
        }
        if results.poll_endpoint_list {
            self.call(now);
        }
    }

    fn probe(&mut self, now: Timestamp, member: u32) {
        self.metrics.probes_sent += 1;
        // As long as a connection may take to come up: the settings know no other bound for a probe.
        let until = now + self.decoding.connect_timeout;
        self.start(
            now,
            MemberRequest::new(RequestKind::HealthCheck, member, now, until),
        );
    }

    fn end(
        &mut self,
        request: MemberRequest,
        at: Timestamp,
        ending: ExecutionOutcome,
        sighting: ReplicaStatus,
    ) {
        let took = at - request.started_at;
        self.ended.push_back(Ended {
            request,
            ending,
            took,
            sighting,
        });
    }

    /// Each end is told once, and only when the input that brought it about is done with: what the module
    /// decides on it must not be carried out in the middle of what it decided before. Those of statements that
    /// have their answer are told too, for what they say of the member.
    fn tell_ended(&mut self, now: Timestamp) {
        while let Some(end) = self.ended.pop_front() {
            let (member, ending) = (end.request.member, end.ending);
            self.shares_end(now, end.request.kind, member, (ending, end.sighting));
            let results = match end.request.kind {
                RequestKind::Execution(AttemptId {
                    statement: stmt,
                    attempt: number,
                }) => {
                    execution_outcomes::count(&mut self.metrics, ending);
                    let end = ExecutionEnd {
                        statement: stmt,
                        attempt: number,
                        member,
                        outcome: ending,
                        latency: end.took,
                        is_answered: !self.statements.contains(stmt),
                        status: end.sighting,
                    };
                    self.module.on_execution_ended(now, &end)
                }
                RequestKind::HealthCheck => {
                    let ok = ending == ExecutionOutcome::Completed;
                    self.metrics.probes_answered += u64::from(ok);
                    self.module
                        .on_health_check(now, member, ok, end.took, end.sighting)
                }
            };
            self.carry_out(now, results);
        }
    }

    fn member_heard(&mut self, now: Timestamp, heard: MemberEvent) {
        match heard {
            MemberEvent::Connected { connection } => self.connection_up(now, connection),
            MemberEvent::Transferred { connection, stream } => {
                let member = self.member_requests.on_transferred(connection);
                self.moved_connections.extend(member.map(|m| (m, stream)));
            }
            MemberEvent::Replied {
                connection,
                at,
                reply,
                sighting,
                report,
            } => {
                let request = match reply {
                    Reply::Malformed => self.member_requests.close(connection),
                    _ => self.member_requests.on_answered(connection, now),
                };
                let Some(request) = request else { return };
                let sighting = sighting.merge(self.reported(&request, &reply, report));
                let may_go = match (&reply, request.kind) {
                    (
                        Reply::Rows(_),
                        RequestKind::Execution(AttemptId {
                            statement: stmt,
                            attempt: number,
                        }),
                    ) => self.module.accepts_answer(stmt, number, sighting),
                    _ => true,
                };
                // What may not go to the client has run all the same.
                let ending = if may_go {
                    execution_outcomes::of_reply(&reply)
                } else {
                    ExecutionOutcome::Errored
                };
                self.end(request, at, ending, sighting);
                match (reply, request.kind) {
                    _ if !may_go => self.metrics.answers_too_old += 1,
                    // The first whole answer goes to the client as the bytes that came.
                    (Reply::Rows(rows), RequestKind::Execution(AttemptId { statement: stmt, .. })) => {
                        let answered = self.answer(stmt, Final::Rows(rows));
                        self.metrics.completed += u64::from(answered);
                    }
                    (Reply::Malformed, _) => {
                        self.metrics.members_malformed += 1;
                        let text = format_args!("sent what is not an answer");
                        self.observer.say(now, "member", text);
                    }
                    _ => {}
                }
            }
            MemberEvent::Closed {
                connection,
                at,
                written,
            } => {
                let Some(request) = self.member_requests.close(connection) else {
                    return;
                };
                if request.is_reused_connection && !written {
                    // It had ended while it sat idle: nothing went out, so this isn't another execution.
                    self.metrics.idle_connections_stale += 1;
                    return self.restart(now, request);
                }
                self.member_requests.record_reuse(&request, now, written);
                self.end(
                    request,
                    at,
                    execution_outcomes::of_closed_connection(written),
                    ReplicaStatus::default(),
                );
            }
        }
    }

    /// What a report says, whether it came beside an answer or as the row that a probe asked for.
    fn reported(&self, request: &MemberRequest, reply: &Reply, beside: Option<String>) -> ReplicaStatus {
        let fields = &self.decoding.report_fields;
        let name = |at: Option<usize>| at.and_then(|n| fields.get(n)).map(String::as_str);
        let (position, role) = (name(self.decoding.position_field), name(self.decoding.role_field));
        let row = match (request.kind, reply) {
            (RequestKind::HealthCheck, Reply::Rows(rows)) => messages::row_value(rows),
            _ => None,
        };
        let row = row.and_then(|v| std::str::from_utf8(v).ok());
        let read = |text: Option<&str>| {
            text.map_or(ReplicaStatus::default(), |t| {
                replica_status::report(t, position, role)
            })
        };
        read(row).merge(read(beside.as_deref()))
    }

    fn call(&mut self, now: Timestamp) {
        self.metrics.discovery_calls += 1;
        if !self.discovery_requests.request(now) {
            self.call_failed(now);
        }
    }

    fn call_failed(&mut self, now: Timestamp) {
        if self.discovery_requests.on_failed(now) {
            let results = self.module.on_poll_failed(now);
            self.carry_out(now, results);
        }
    }

    /// Events of a request that is over change nothing.
    fn on_discovery_message(&mut self, now: Timestamp, message: DiscoveryMessage) {
        if !self.discovery_requests.is_current(message.request) {
            return;
        }
        match message.event {
            DiscoveryEvent::Listed(roster) => {
                self.discovery_requests.on_list(now, roster.index);
                self.learn_roster(now, &roster);
            }
            DiscoveryEvent::Outdated => self.discovery_requests.forget_version(),
            DiscoveryEvent::Unreadable => {
                self.metrics.rosters_unreadable += 1;
                let text = format_args!("answered what can't be read");
                self.observer.say(now, "discovery", text);
            }
            DiscoveryEvent::Closed => self.call_failed(now),
        }
    }

    /// Begins with the list that is known from before.
    pub fn begin_with(&mut self, now: Timestamp, known: &EndpointList) {
        self.discovery_requests.set_known_version(known.index);
        self.learn_roster(now, known);
    }

    /// Takes over a list or changes to it. Entries that can't be read are left out, the others stand.
    pub fn learn_roster(&mut self, now: Timestamp, roster: &EndpointList) {
        self.metrics.rosters_told += 1;
        let read = roster.entries.iter().filter_map(|e| self.members.upsert(e));
        let entries: Vec<_> = read.collect();
        let leave = entries.iter().filter(|e| e.state != MemberState::Ready);
        for e in leave {
            self.member_requests.close_idle(e.id);
            let name = self.members.name(e.id).filter(|_| self.is_shared);
            let since_ms = e.started_at.map_or(0, |at| at.0 / 1000);
            self.drains.extend(name.map(|n| (n.to_owned(), since_ms)));
        }
        self.shares_listed(roster.index, &entries);
        let left_out = roster.skipped + roster.entries.len() - entries.len();
        if left_out > 0 {
            self.metrics.roster_entries_left_out += left_out as u64;
            let text = format_args!("{left_out} entries of the list can't be read");
            self.observer.say(now, "discovery", text);
        }
        if roster.is_complete || !entries.is_empty() {
            let results = self.module.on_endpoint_list(now, &entries, roster.is_complete);
            self.carry_out(now, results);
        }
        self.tell_ended(now);
    }
}
