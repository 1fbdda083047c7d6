//! Holds the module and all tables. Each input is taken to its end before the next one; nothing here waits.

mod beside;
mod sending;
mod sharing;
mod turns;

use crate::protocol::comment::{self, Marked, Unreadable};
use crate::protocol::roster::Roster;
use crate::protocol::session::{Final, Say, Text};
use crate::protocol::{execution, messages, session as client, vitals, watch};
use crate::routing::calls::{self, Calls};
use crate::routing::clients::{Clients, Room};
use crate::routing::endings;
use crate::routing::errands::{self, Errand, Errands, Kind};
use crate::routing::figures::Figures;
use crate::routing::limits::{Limits, WorkloadLimits};
use crate::routing::queue::{Input, Notice};
use crate::routing::sharing::Sharing;
use crate::routing::statements::Statements;
use crate::routing::tables::{session, Members, Names};
use crate::transport::clock::Clock;
use crate::transport::listener::{Arrival, Listening};
use crate::transport::room::Room as Memory;
use crate::transport::stream::Line;
use crate::transport::witness::Witness;
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
pub type Learned<'a> = (&'a policy::RoutingPolicy, &'a Members);

/// How connections to members and discovery are opened.
pub struct Place {
    pub members: errands::Dial,
    pub discovery: calls::Dial,
    pub adopt: Adopt,
    pub adopt_connection: AdoptConnection,
    /// Writes down what goes out, where another process is to go on if this one dies.
    pub witness: Option<Witness>,
    pub given: Given,
    pub limits: Limits,
    /// For clients and for members.
    pub memory: (Memory, Memory),
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
pub type Adopt = Box<dyn FnMut(u32, TcpStream, client::Standing) -> io::Result<Line<Say>>>;

/// Goes on with an idle connection to a member under this number.
pub type AdoptConnection = Box<dyn FnMut(u32, TcpStream) -> io::Result<Line<execution::Run>>>;

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
            limits.clients_memory.of(self.memory),
            limits.members_memory.of(self.memory),
        )
    }

    pub fn rooms(&self, limits: &Limits) -> (Memory, Memory) {
        let (clients, members) = self.bytes(limits);
        (Memory::new(clients), Memory::new(members))
    }

    /// How many connections clients and members may have.
    pub fn connections(&self, limits: &Limits) -> (usize, usize) {
        let most = self.sockets.saturating_sub(limits.reserve).max(2);
        let clients = limits.clients.of(most).max(1);
        (clients, most - clients)
    }
}

/// The end of an execution or probe that the module is still to be told of.
struct Ended {
    errand: Errand,
    ending: ExecutionOutcome,
    took: TimeSpan,
    sighting: ReplicaStatus,
}

pub struct Owner<O> {
    module: policy::RoutingPolicy,
    decoding: Decoding,
    pub observer: O,
    pub figures: Figures,
    workloads: Names,
    freshness: Vec<Freshness>,
    members: Members,
    clients: Clients,
    statements: Statements,
    errands: Errands,
    calls: Calls,
    memory: (Memory, Memory),
    given: Given,
    limits: Limits,
    /// By workload.
    workload_limits: Vec<WorkloadLimits>,
    ended: VecDeque<Ended>,
    module_wakes: Option<Timestamp>,
    accept_again: Option<Timestamp>,
    listening: Option<Listening>,
    pub notices: Vec<Notice>,
    pub listener_closed: bool,
    draining: bool,
    adopt: Adopt,
    adopt_connection: AdoptConnection,
    adopted: u32,
    /// Another process serves beside this one, on the same descriptors and memory.
    is_shared: bool,
    /// Members that were heard to drain meanwhile, and when they had started.
    pub drains: Vec<(String, u64)>,
    witness: Option<Witness>,
    /// Clients of a process that has died, some of whose statements may have run.
    verdicts: BTreeMap<u32, StatementVerdicts>,
    /// By workload: a statement that may have run does no harm when its client repeats it.
    harmless: Vec<bool>,
    /// Idle connections to members that are to go on in another process.
    pub moved_connections: Vec<(u32, TcpStream)>,
    /// Clients that are to go on in another process.
    pub moved: Vec<Moved>,
    /// What is shared with other drivers, where anything is.
    sharing: Option<Sharing>,
    is_mute: bool,
    /// By workload: to run one twice is no small matter, so others are asked before a marked repeat goes out.
    harmful: Vec<bool>,
    /// Positions of sessions' writes are kept here, for clients don't carry them.
    remembers_sessions: bool,
}

impl<O: Observer> Owner<O> {
    pub fn new(
        (settings, decoding): (Settings, Decoding),
        seed: u64,
        place: Place,
        now: Timestamp,
        observer: O,
    ) -> Owner<O> {
        let (given, limits) = (place.given, place.limits);
        let (most_clients, most_members) = given.connections(&limits);
        let (timeout, idle) = (decoding.connect_timeout, settings.idle_connection_timeout);
        let idle = (idle, limits.member_idle);
        Owner {
            module: policy::RoutingPolicy::new(&settings, seed, now),
            workloads: Names::of(&decoding.workloads),
            freshness: settings.workloads.iter().map(|w| w.freshness).collect(),
            members: Members::new(&decoding.zones),
            clients: Clients::new(most_clients, limits),
            statements: Statements::default(),
            errands: Errands::new(place.members, timeout, idle, most_members),
            calls: Calls::new(
                place.discovery,
                given.discovery,
                settings.poll_endpoint_list,
                limits,
                now,
            ),
            memory: place.memory,
            given,
            limits,
            workload_limits: vec![WorkloadLimits::default(); settings.workloads.len()],
            decoding,
            observer,
            figures: Figures::default(),
            ended: VecDeque::new(),
            module_wakes: Some(now),
            accept_again: None,
            listening: None,
            notices: Vec::new(),
            listener_closed: false,
            draining: false,
            adopt: place.adopt,
            adopt_connection: place.adopt_connection,
            witness: place.witness,
            verdicts: BTreeMap::new(),
            harmless: settings
                .workloads
                .iter()
                .map(WorkloadSettings::is_client_retry_safe)
                .collect(),
            moved_connections: Vec::new(),
            adopted: 0,
            is_shared: false,
            drains: Vec::new(),
            sharing: None,
            is_mute: false,
            harmful: settings
                .workloads
                .iter()
                .map(|w| w.retry_safety != RetrySafety::Idempotent)
                .collect(),
            remembers_sessions: !settings.session_age_carried,
            moved: Vec::new(),
        }
    }

    /// Takes inputs until `steer` has nothing more to come back for.
    pub fn run(
        &mut self,
        inputs: &Receiver<Input>,
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
            self.figures.wake_up_latest_us = self.figures.wake_up_latest_us.max(late);
            // All that is queued first: an answer that lies here must not be taken for one that is late.
            let mut taken = 0;
            while let Some(i) = input {
                taken += 1;
                self.take(clock.now(), i);
                input = inputs.try_recv().ok();
            }
            self.figures.queue_longest = self.figures.queue_longest.max(taken);
            self.reach(clock.now());
        }
    }

    pub fn next_at(&self) -> Timestamp {
        let times = [
            self.module_wakes,
            self.errands.next_at(),
            self.calls.next_at(),
            self.clients.next_at(),
            self.accept_again,
            self.sharing.as_ref().and_then(Sharing::next_at),
        ];
        times.into_iter().flatten().min().unwrap_or(Timestamp(u64::MAX))
    }

    pub fn take(&mut self, now: Timestamp, input: Input) {
        match input {
            Input::Arrival(arrival) => self.arrived(now, arrival),
            Input::Client(heard) => self.client_heard(now, heard),
            Input::Member(heard) => self.member_heard(now, heard),
            Input::Discovery(number, heard) if self.calls.is_current(number) => {
                self.discovery_heard(now, heard)
            }
            Input::Discovery(..) => {}
            Input::Peers(news) => self.peers_heard(now, news),
            Input::Notice(notice) => self.notices.push(notice),
        }
        self.tell_ended(now);
    }

    /// Does what is due by the clock.
    pub fn reach(&mut self, now: Timestamp) {
        while let Some((errand, ending)) = self.errands.overdue(now) {
            self.end(errand, now, ending, ReplicaStatus::default());
            self.tell_ended(now);
        }
        if self.module_wakes.is_some_and(|at| at <= now) {
            let results = self.module.advance_to(now);
            self.carry_out(now, results);
        }
        self.reach_sharing(now);
        self.errands.end_idle(now);
        let (slow, rested) = self.clients.end_pauses(now);
        self.figures.clients_too_slow += slow;
        self.figures.clients_rested += rested;
        if self.calls.is_silent(now) {
            let text = format_args!("silent, calling again");
            self.observer.say(now, "discovery", text);
            self.call_failed(now);
        }
        if self.calls.is_due(now) {
            self.call(now);
        }
        if self.accept_again.take_if(|at| *at <= now).is_some() {
            self.listening.as_ref().inspect(|l| l.retry());
        }
        self.tell_ended(now);
        self.figures.open_statements = self.statements.count() as u64;
        self.figures.open_clients = self.clients.count() as u64;
        self.figures.open_member_connections = self.errands.connections() as u64;
    }

    /// Takes over what has changed. Whatever is open stays: fewer connections come about as they end.
    pub fn give(&mut self, now: Timestamp, given: Given) {
        self.given = given;
        self.bound();
        self.calls.move_to(now, given.discovery);
    }

    /// Takes over what the operators set. Newcomers are bound by it first; nothing open ends for a smaller limit,
    /// but for pauses that are too long by then.
    pub fn limit(&mut self, limits: Limits, by_workload: &BTreeMap<String, WorkloadLimits>) {
        self.limits = limits;
        self.workload_limits.fill(WorkloadLimits::default());
        for (name, limits) in by_workload {
            let workload = self.workloads.find(&asterlatch_settings::word(name));
            if let Some(own) = workload.and_then(|w| self.workload_limits.get_mut(w)) {
                *own = *limits;
            }
        }
        self.bound();
    }

    fn bound(&mut self) {
        let (given, limits) = (self.given, self.limits);
        let (clients, members) = given.connections(&limits);
        self.clients.bound(clients, limits);
        self.errands.bound(members, limits.member_idle);
        self.calls.bound(limits);
        let (of_clients, of_members) = given.bytes(&limits);
        self.memory.0.bound(of_clients);
        self.memory.1.bound(of_members);
    }

    /// Bytes that clients and members fill now.
    pub fn memory_taken(&self) -> usize {
        self.memory.0.taken() + self.memory.1.taken()
    }

    /// Descriptors and bytes that all processes of this service together may have.
    pub fn most(&self) -> (usize, usize) {
        (self.given.sockets, self.given.memory)
    }

    /// Bytes that clients may fill.
    pub fn clients_memory(&self) -> usize {
        self.memory.0.most()
    }

    pub fn attach(&mut self, listening: Listening) {
        self.listening = Some(listening);
    }

    pub fn is_listening(&self) -> bool {
        self.listening.is_some()
    }

    /// What is kept of members: names, ids, and those with an idle connection.
    pub fn members(&self) -> (usize, usize, usize) {
        let (names, ids) = self.members.count();
        (names, ids, self.errands.idle_members())
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
        self.clients.send_away();
    }

    fn arrived(&mut self, now: Timestamp, arrival: Arrival<Say>) {
        match arrival {
            Arrival::Client(id, line) => {
                self.figures.clients_accepted += 1;
                match self.clients.arrive(now, id, line) {
                    Room::Free => {}
                    Room::Made => self.figures.clients_closed_for_room += 1,
                    Room::None => self.figures.clients_turned_away += 1,
                }
            }
            Arrival::Failed(e) => {
                self.figures.accepts_failed += 1;
                let text = format_args!("a client could not be accepted: {e}");
                self.observer.say(now, "accept", text);
                self.accept_again = Some(now + self.limits.accept_again);
                self.figures.clients_closed_for_room += u64::from(self.clients.free_one(now));
            }
            Arrival::Closed => {
                // Nobody is refused before it is let go here.
                self.listening = None;
                self.listener_closed = true;
            }
        }
    }

    fn client_heard(&mut self, now: Timestamp, heard: client::Heard) {
        match heard {
            client::Heard::Statement {
                client,
                number,
                end,
                text,
                at,
            } => {
                if self.clients.asks(client) && !self.judged(client, number, end) {
                    self.statement(now, (client, number, end), text, at);
                }
            }
            client::Heard::Idle { client, since } => self.clients.rests(client, since),
            client::Heard::Writing { client, since } => self.clients.writes(client, since),
            client::Heard::HalfClosed { client } => self.clients.half_closed(client, now),
            client::Heard::Malformed => {
                self.figures.clients_malformed += 1;
                let text = format_args!("sent what is not the protocol");
                self.observer.say(now, "client", text);
            }
            client::Heard::NoRoom => self.figures.rejected_for_memory += 1,
            client::Heard::Oversized => self.figures.statements_unreadable += 1,
            client::Heard::Moved {
                client,
                stream,
                standing,
            } => {
                let has_asked = self.clients.has_asked(client);
                // Between two statements nothing of it is open.
                self.clients.gone(client);
                self.moved.push(Moved {
                    stream,
                    standing,
                    has_asked,
                    verdicts: StatementVerdicts::default(),
                });
            }
            client::Heard::Gone { client } => {
                self.verdicts.remove(&client);
                for stmt in self.clients.gone(client) {
                    if self.statements.release(stmt).is_none() {
                        continue;
                    }
                    self.figures.withdrawn += 1;
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
        let marked = comment::read(&text.text);
        let length = text.text.len();
        let (workload, marked) = match marked.and_then(|m| Ok((self.routable(&m, length)?, m))) {
            Ok(marked) => marked,
            Err(fault) => {
                self.figures.statements_unreadable += 1;
                let text = format_args!("not routed: {}", fault.message);
                self.observer.say(now, "statement", text);
                return self.clients.say(client, Say::Answer(number, fault.into()));
            }
        };
        self.figures.statements_taken += 1;
        let own = self.workload_limits[workload].timeout;
        let longest = own.map_or(self.limits.longest_timeout, |own| {
            own.min(self.limits.longest_timeout)
        });
        let sessions = matches!(self.freshness[workload], Freshness::Session | Freshness::Write);
        let key = marked.key.as_deref().filter(|_| sessions);
        let session = key.map_or(0, session);
        let (id, times_out) = self.statements.hold(
            (client, number, end),
            text,
            &marked,
            (at, longest),
            (workload, session, self.harmless[workload]),
        );
        self.clients.waits_for(client, id);
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
            session_write_age: marked.after.and_then(vitals::unix).map(|after| now - after),
        };
        let taken = self.asks_others(now, (marked.id, marked.repeat), taken, times_out);
        if let Some(taken) = taken {
            let results = self.module.on_statement(now, &taken);
            self.carry_out(now, results);
        }
    }

    /// The workload of a statement that can be routed.
    fn routable(&self, marked: &Marked, length: usize) -> Result<usize, Unreadable> {
        if self.statements.has_name(marked.id) {
            return Err(comment::SAME_ID);
        }
        if !self.members.has_group(marked.group) {
            return Err(comment::NO_GROUP);
        }
        let known = self.workloads.find(&asterlatch_settings::word(&marked.workload));
        let workload = known.ok_or(comment::NO_WORKLOAD)?;
        match self.workload_limits[workload].longest {
            Some(longest) if length > longest => Err(comment::TOO_LARGE),
            _ => Ok(workload),
        }
    }

    /// Gives a statement its one final answer; a later one finds it gone.
    fn answer(&mut self, stmt: u32, answer: Final) -> bool {
        let Some((client, number)) = self.statements.release(stmt) else {
            self.figures.late_answers_dropped += 1;
            return false;
        };
        self.clients.has_answer(client, stmt);
        self.clients.say(client, Say::Answer(number, answer));
        true
    }

    /// Carries out what the module decided, in its order.
    fn carry_out(&mut self, now: Timestamp, results: Actions) {
        self.module_wakes = results.wake_up_at;
        for c in &results.cancellations {
            if let Some((errand, ending)) = self.errands.cancel(now, c.statement, c.attempt) {
                self.end(errand, now, ending, ReplicaStatus::default());
            }
        }
        for e in &results.executions {
            if let Some((number, until)) = self.statements.execute(e.statement, e.deadline) {
                self.figures.executions_sent += 1;
                let kind = Kind::Execution {
                    stmt: e.statement,
                    number,
                };
                self.shares_execution(now, e.statement, number, e.member);
                self.start(now, Errand::new(kind, e.member, now, until));
            }
        }
        for answer in &results.answers {
            let (stmt, told) = endings::of_answer(answer);
            let answered = u64::from(self.answer(stmt, told));
            match answer {
                Answer::Rejected { .. } => self.figures.rejected += answered,
                Answer::Aborted { .. } => self.figures.aborted += answered,
            }
        }
        for member in &results.health_checks {
            if self.may_probe(now, *member) {
                self.probe(now, *member);
            }
        }
        for member in &results.removed_members {
            self.members.let_go(*member);
            self.errands.let_go(*member);
        }
        if results.poll_endpoint_list {
            self.call(now);
        }
    }

    fn probe(&mut self, now: Timestamp, member: u32) {
        self.figures.probes_sent += 1;
        // As long as a connection may take to come up: the settings know no other bound for a probe.
        let until = now + self.decoding.connect_timeout;
        self.start(now, Errand::new(Kind::Probe, member, now, until));
    }

    fn end(&mut self, errand: Errand, at: Timestamp, ending: ExecutionOutcome, sighting: ReplicaStatus) {
        let took = at - errand.sent;
        self.ended.push_back(Ended {
            errand,
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
            let (member, ending) = (end.errand.member, end.ending);
            self.shares_end(now, end.errand.kind, member, (ending, end.sighting));
            let results = match end.errand.kind {
                Kind::Execution { stmt, number } => {
                    endings::count(&mut self.figures, ending);
                    let end = ExecutionEnd {
                        statement: stmt,
                        attempt: number,
                        member,
                        outcome: ending,
                        latency: end.took,
                        is_answered: !self.statements.holds(stmt),
                        status: end.sighting,
                    };
                    self.module.on_execution_ended(now, &end)
                }
                Kind::Probe => {
                    let ok = ending == ExecutionOutcome::Completed;
                    self.figures.probes_answered += u64::from(ok);
                    self.module
                        .on_health_check(now, member, ok, end.took, end.sighting)
                }
            };
            self.carry_out(now, results);
        }
    }

    fn member_heard(&mut self, now: Timestamp, heard: execution::Heard) {
        match heard {
            execution::Heard::Up { connection } => self.connection_up(now, connection),
            execution::Heard::Moved { connection, stream } => {
                let member = self.errands.moved(connection);
                self.moved_connections.extend(member.map(|m| (m, stream)));
            }
            execution::Heard::Replied {
                connection,
                at,
                reply,
                sighting,
                report,
            } => {
                let errand = match reply {
                    execution::Reply::Malformed => self.errands.end(connection),
                    _ => self.errands.answered(connection, now),
                };
                let Some(errand) = errand else { return };
                let sighting = sighting.merge(self.reported(&errand, &reply, report));
                let may_go = match (&reply, errand.kind) {
                    (execution::Reply::Rows(_), Kind::Execution { stmt, number }) => {
                        self.module.accepts_answer(stmt, number, sighting)
                    }
                    _ => true,
                };
                // What may not go to the client has run all the same.
                let ending = if may_go {
                    endings::of_reply(&reply)
                } else {
                    ExecutionOutcome::Errored
                };
                self.end(errand, at, ending, sighting);
                match (reply, errand.kind) {
                    _ if !may_go => self.figures.answers_too_old += 1,
                    // The first whole answer goes to the client as the bytes that came.
                    (execution::Reply::Rows(rows), Kind::Execution { stmt, .. }) => {
                        let answered = self.answer(stmt, Final::Rows(rows));
                        self.figures.completed += u64::from(answered);
                    }
                    (execution::Reply::Malformed, _) => {
                        self.figures.members_malformed += 1;
                        let text = format_args!("sent what is not an answer");
                        self.observer.say(now, "member", text);
                    }
                    _ => {}
                }
            }
            execution::Heard::Down {
                connection,
                at,
                written,
            } => {
                let Some(errand) = self.errands.end(connection) else {
                    return;
                };
                if errand.reused && !written {
                    // It had ended while it sat idle: nothing went out, so this isn't another execution.
                    self.figures.idle_connections_stale += 1;
                    return self.restart(now, errand);
                }
                self.errands.note_age(&errand, now, written);
                self.end(errand, at, endings::of_loss(written), ReplicaStatus::default());
            }
        }
    }

    /// What a report says, whether it came beside an answer or as the row that a probe asked for.
    fn reported(&self, errand: &Errand, reply: &execution::Reply, beside: Option<String>) -> ReplicaStatus {
        let fields = &self.decoding.report_fields;
        let name = |at: Option<usize>| at.and_then(|n| fields.get(n)).map(String::as_str);
        let (position, role) = (name(self.decoding.position_field), name(self.decoding.role_field));
        let row = match (errand.kind, reply) {
            (Kind::Probe, execution::Reply::Rows(rows)) => messages::row_value(rows),
            _ => None,
        };
        let row = row.and_then(|v| std::str::from_utf8(v).ok());
        let read =
            |text: Option<&str>| text.map_or(ReplicaStatus::default(), |t| vitals::report(t, position, role));
        read(row).merge(read(beside.as_deref()))
    }

    fn call(&mut self, now: Timestamp) {
        self.figures.discovery_calls += 1;
        if !self.calls.call(now) {
            self.call_failed(now);
        }
    }

    fn call_failed(&mut self, now: Timestamp) {
        if self.calls.failed(now) {
            let results = self.module.on_poll_failed(now);
            self.carry_out(now, results);
        }
    }

    fn discovery_heard(&mut self, now: Timestamp, heard: watch::Heard) {
        match heard {
            watch::Heard::Told(roster) => {
                self.calls.told(now, roster.index);
                self.learn_roster(now, &roster);
            }
            watch::Heard::Older => self.calls.forget(),
            watch::Heard::Unreadable => {
                self.figures.rosters_unreadable += 1;
                let text = format_args!("answered what can't be read");
                self.observer.say(now, "discovery", text);
            }
            watch::Heard::Down => self.call_failed(now),
        }
    }

    /// Begins with the list that is known from before.
    pub fn begin_with(&mut self, now: Timestamp, known: &Roster) {
        self.calls.knows(known.index);
        self.learn_roster(now, known);
    }

    /// Takes over a list or changes to it. Entries that can't be read are left out, the others stand.
    pub fn learn_roster(&mut self, now: Timestamp, roster: &Roster) {
        self.figures.rosters_told += 1;
        let read = roster.entries.iter().filter_map(|e| self.members.learn(e));
        let entries: Vec<_> = read.collect();
        let leave = entries.iter().filter(|e| e.state != MemberState::Ready);
        for e in leave {
            self.errands.let_go(e.id);
            let name = self.members.name(e.id).filter(|_| self.is_shared);
            let since_ms = e.started_at.map_or(0, |at| at.0 / 1000);
            self.drains.extend(name.map(|n| (n.to_owned(), since_ms)));
        }
        self.shares_listed(roster.index, &entries);
        let left_out = roster.left_out + roster.entries.len() - entries.len();
        if left_out > 0 {
            self.figures.roster_entries_left_out += left_out as u64;
            let text = format_args!("{left_out} entries of the list can't be read");
            self.observer.say(now, "discovery", text);
        }
        if roster.whole || !entries.is_empty() {
            let results = self.module.on_endpoint_list(now, &entries, roster.whole);
            self.carry_out(now, results);
        }
        self.tell_ended(now);
    }
}
