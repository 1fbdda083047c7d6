//! Holds the module and all tables. Each input is taken to its end before the next one; nothing here waits.

use super::endings;
use super::figures::Figures;
use super::queue::{Input, Notice};
use super::tables::{session, Members, Names};
use crate::protocol::comment::{self, Marked, Unreadable};
use crate::protocol::roster::Roster;
use crate::protocol::session::Say;
use crate::protocol::watch::Watch;
use crate::protocol::{execution, messages, session as client, vitals, watch};
use crate::transport::clock::Clock;
use crate::transport::listener::{Arrival, Listening};
use crate::transport::pool::Pool;
use crate::transport::stream::{self, Line};
use asterlatch::choice;
use asterlatch::interface::*;
use asterlatch::time::{Point, Span};
use asterlatch_settings::Decoding;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender};
use std::time::Duration;

/// How long a watch may wait for news, and how much longer its answer.
const WATCH: Span = Span::millis(20_000);
const WATCH_LATE: Span = Span::millis(2000);
/// A list that is asked for without waiting comes at once, or discovery is silent.
const LIST_LATE: Span = Span::millis(2000);
/// Pauses after a failed call to discovery.
const FIRST_PAUSE: Span = Span::millis(100);
const LONGEST_PAUSE: Span = Span::millis(2000);
/// A failed accept is tried again after this.
const ACCEPT_AGAIN: Span = Span::millis(50);
/// Share of the settings' idle time after which a connection is no longer used.
const IDLE_SHARE: f64 = 0.85;
/// Descriptors kept for what is neither a client's nor a member's.
const RESERVE: usize = 48;
/// A client's wait is never taken for longer.
const LONGEST_WAIT_MS: u64 = 86_400_000;

/// What the outside world is told of.
pub trait Observer {
    fn say(&mut self, now: Point, topic: &'static str, text: std::fmt::Arguments);
}

pub struct Place {
    pub discovery: SocketAddr,
    pub sockets: usize,
    pub memory: usize,
}

struct Client {
    line: Line<Say>,
    stmt: Option<u32>,
    idle_since: Option<Point>,
}

struct Held {
    client: u32,
    text: Vec<u8>,
    left_at: Range<usize>,
    deadline: Point,
    executions: u8,
}

#[derive(Clone, Copy)]
enum Errand {
    Execution { stmt: u32, number: u8 },
    Probe,
}

struct Ended {
    errand: Errand,
    member: u32,
    ending: Ending,
    took: Span,
    sighting: Sighting,
}

/// What a member's connection is busy with.
struct Busy {
    errand: Errand,
    member: u32,
    query: Vec<u8>,
    sent: Point,
    until: Point,
    /// When to stop waiting: for the connection first, then for the answer.
    ends: Point,
    up: bool,
    reused: bool,
}

pub struct Owner<O> {
    module: choice::Driver,
    decoding: Decoding,
    place: Place,
    clock: Clock,
    queue: Sender<Input>,
    pub observer: O,
    pub figures: Figures,
    workloads: Names,
    freshness: Vec<Freshness>,
    members: Members,
    idle: Span,
    list_on_request: bool,
    clients: BTreeMap<u32, Client>,
    idle_clients: BTreeSet<(Point, u32)>,
    held: BTreeMap<u32, Held>,
    held_bytes: usize,
    next_stmt: u32,
    pool: Pool<execution::Run>,
    busy: BTreeMap<u32, Busy>,
    running: BTreeMap<(u32, u8), u32>,
    ends: BTreeSet<(Point, u32)>,
    /// What has ended and is still to be told to the module, after the input that brought it about.
    ended: VecDeque<Ended>,
    module_wakes: Option<Point>,
    watching: Option<Line<Infallible>>,
    watch_ends: Point,
    watch_again: Option<Point>,
    watch_pause: Span,
    roster_index: Option<u64>,
    accept_again: Option<Point>,
    listening: Option<Listening>,
    pub notices: Vec<Notice>,
    pub listener_closed: bool,
    leaving: bool,
}

impl<O: Observer> Owner<O> {
    pub fn new(
        (settings, decoding): (Settings, Decoding),
        seed: u64,
        place: Place,
        clock: Clock,
        queue: Sender<Input>,
        observer: O,
    ) -> Owner<O> {
        let now = clock.now();
        Owner {
            module: choice::Driver::new(&settings, seed, now),
            workloads: Names::of(&decoding.workloads),
            freshness: settings.workloads.iter().map(|w| w.freshness).collect(),
            members: Members::new(&decoding.zones),
            idle: settings.connection_idle * IDLE_SHARE,
            list_on_request: settings.list_on_request,
            decoding,
            place,
            clock,
            queue,
            observer,
            figures: Figures::default(),
            clients: BTreeMap::new(),
            idle_clients: BTreeSet::new(),
            held: BTreeMap::new(),
            held_bytes: 0,
            next_stmt: 0,
            pool: Pool::default(),
            busy: BTreeMap::new(),
            running: BTreeMap::new(),
            ends: BTreeSet::new(),
            ended: VecDeque::new(),
            module_wakes: None,
            watching: None,
            watch_ends: now,
            watch_again: (!settings.list_on_request).then_some(now),
            watch_pause: FIRST_PAUSE,
            roster_index: None,
            accept_again: None,
            listening: None,
            notices: Vec::new(),
            listener_closed: false,
            leaving: false,
        }
    }

    /// Takes inputs until `steer` has nothing more to come back for.
    pub fn run(
        &mut self,
        inputs: &Receiver<Input>,
        mut steer: impl FnMut(&mut Self, Point) -> Option<Point>,
    ) {
        let now = self.clock.now();
        let results = self.module.time_reached(now);
        self.carry_out(now, results);
        self.tell_ended(now);
        loop {
            let now = self.clock.now();
            let Some(steered) = steer(self, now) else { return };
            let next = self.next_at().min(steered);
            let wait = Duration::from_micros((next - self.clock.now()).0);
            let mut input = match inputs.recv_timeout(wait) {
                Ok(input) => Some(input),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let late = self.clock.now() - next;
            self.figures.wake_up_latest_us = self.figures.wake_up_latest_us.max(late.0);
            // All that is queued, before anything is taken for late.
            let mut taken = 0;
            while let Some(i) = input {
                taken += 1;
                self.take(i);
                input = inputs.try_recv().ok();
            }
            self.figures.queue_longest = self.figures.queue_longest.max(taken);
            self.reach(self.clock.now());
        }
    }

    fn next_at(&self) -> Point {
        let idle = self.pool.oldest_idle().map(|(since, _)| since + self.idle);
        let watch = self.watching.as_ref().map(|_| self.watch_ends);
        let end = self.ends.first().map(|(at, _)| *at);
        let times = [
            end,
            self.module_wakes,
            idle,
            watch,
            self.watch_again,
            self.accept_again,
        ];
        times.into_iter().flatten().min().unwrap_or(Point(u64::MAX))
    }

    fn take(&mut self, input: Input) {
        let now = self.clock.now();
        match input {
            Input::Arrival(arrival) => self.arrived(now, arrival),
            Input::Client(heard) => self.client_heard(now, heard),
            Input::Member(heard) => self.member_heard(now, heard),
            Input::Discovery(heard) => self.discovery_heard(now, heard),
            Input::Notice(notice) => self.notices.push(notice),
        }
        self.tell_ended(now);
    }

    /// Does what is due by the clock.
    fn reach(&mut self, now: Point) {
        while let Some((at, connection)) = self.ends.first().copied().filter(|(at, _)| *at <= now) {
            self.ends.remove(&(at, connection));
            self.end_waiting(now, connection);
            self.tell_ended(now);
        }
        if self.module_wakes.is_some_and(|at| at <= now) {
            self.module_wakes = None;
            let results = self.module.time_reached(now);
            self.carry_out(now, results);
            self.tell_ended(now);
        }
        self.pool.end_idle_before(now, self.idle);
        if self.watching.is_some() && self.watch_ends <= now {
            self.watching = None;
            self.observer
                .say(now, "discovery", format_args!("silent, dialling again"));
            self.watch_failed(now);
        }
        if self.watch_again.take_if(|at| *at <= now).is_some() {
            self.watch(now);
        }
        if self.accept_again.take_if(|at| *at <= now).is_some() {
            self.listening.as_ref().inspect(|l| l.retry());
        }
        self.tell_ended(now);
        self.figures.open_statements = self.held.len() as u64;
        self.figures.open_clients = self.clients.len() as u64;
        self.figures.open_member_connections = self.pool.len() as u64;
    }

    pub fn attach(&mut self, listening: Listening) {
        self.listening = Some(listening);
    }

    pub fn open_clients(&self) -> usize {
        self.clients.len()
    }

    /// Takes no more clients, and lets each go between two statements.
    pub fn send_clients_away(&mut self) {
        self.leaving = true;
        self.listening.as_ref().inspect(|l| l.close());
        self.clients.values().for_each(|c| c.line.tell(Say::Leave));
    }

    fn arrived(&mut self, now: Point, arrival: Arrival<Say>) {
        match arrival {
            Arrival::Client(id, line) => {
                self.figures.clients_accepted += 1;
                if self.leaving {
                    line.tell(Say::Leave);
                }
                let (stmt, idle_since) = (None, Some(now));
                self.clients.insert(
                    id,
                    Client {
                        line,
                        stmt,
                        idle_since,
                    },
                );
                self.idle_clients.insert((now, id));
                self.keep_clients_bounded(now);
            }
            Arrival::Failed(e) => {
                self.figures.accepts_failed += 1;
                self.observer
                    .say(now, "accept", format_args!("a client could not be accepted: {e}"));
                self.accept_again = Some(now + ACCEPT_AGAIN);
                self.free_client(now);
            }
            Arrival::Closed => self.listener_closed = true,
        }
    }

    fn most_clients(&self) -> usize {
        (self.place.sockets.saturating_sub(RESERVE) / 2).max(1)
    }

    fn most_connections(&self) -> usize {
        (self.place.sockets.saturating_sub(RESERVE) / 2).max(1)
    }

    /// Lets the longest idle client go.
    fn free_client(&mut self, _now: Point) -> bool {
        let Some((_, id)) = self.idle_clients.pop_first() else {
            return false;
        };
        self.figures.clients_closed_for_room += 1;
        if let Some(client) = self.clients.get_mut(&id) {
            client.idle_since = None;
            client.line.tell(Say::Leave);
        }
        true
    }

    fn keep_clients_bounded(&mut self, now: Point) {
        if self.clients.len() <= self.most_clients() || self.free_client(now) {
            return;
        }
        if let Some((_, newest)) = self.clients.last_key_value() {
            self.figures.clients_refused += 1;
            newest.line.tell(Say::Refuse);
        }
    }

    fn client_heard(&mut self, now: Point, heard: client::Heard) {
        match heard {
            client::Heard::Statement { client, text, at } => {
                self.occupy(client);
                self.statement(now, client, text, at);
            }
            client::Heard::Idle { client, since } => {
                let Some(c) = self.clients.get_mut(&client) else {
                    return;
                };
                if let Some(before) = c.idle_since.replace(since) {
                    self.idle_clients.remove(&(before, client));
                }
                self.idle_clients.insert((since, client));
            }
            client::Heard::Malformed => {
                self.figures.clients_malformed += 1;
                self.observer
                    .say(now, "client", format_args!("sent what is not the protocol"));
            }
            client::Heard::Oversized => self.figures.statements_unreadable += 1,
            client::Heard::Gone { client } => {
                self.occupy(client);
                let stmt = self.clients.remove(&client).and_then(|c| c.stmt);
                if let Some(stmt) = stmt.filter(|s| self.release(*s).is_some()) {
                    self.figures.withdrawn += 1;
                    let results = self.module.statement_withdrawn(now, stmt);
                    self.carry_out(now, results);
                }
            }
        }
    }

    /// The client no longer sits idle.
    fn occupy(&mut self, client: u32) {
        let since = self.clients.get_mut(&client).and_then(|c| c.idle_since.take());
        if let Some(since) = since {
            self.idle_clients.remove(&(since, client));
        }
    }

    fn statement(&mut self, now: Point, client: u32, text: Vec<u8>, at: Point) {
        let readable = std::str::from_utf8(&text).map_err(|_| comment::NO_COMMENT);
        let marked = readable
            .and_then(comment::read)
            .and_then(|m| Ok((self.workload(&m)?, m)));
        let (workload, marked) = match marked {
            Ok(marked) => marked,
            Err(Unreadable { code, message }) => {
                self.figures.statements_unreadable += 1;
                self.observer
                    .say(now, "statement", format_args!("left out: {message}"));
                let hold_off_ms = None;
                return self.say(
                    client,
                    Say::Error {
                        code,
                        message,
                        hold_off_ms,
                    },
                );
            }
        };
        // What is taken and unanswered may fill a part of the memory, not all of it.
        if self.held_bytes + text.len() > self.place.memory / 4 {
            self.figures.rejected_for_memory += 1;
            return self.say(client, endings::rejected(Span(0)));
        }
        self.figures.statements_taken += 1;
        self.next_stmt += 1;
        let id = self.next_stmt;
        let deadline = at + Span::millis(marked.left_ms.min(LONGEST_WAIT_MS));
        let sessions = matches!(self.freshness[workload], Freshness::Session | Freshness::Write);
        let key = marked.key.as_deref().filter(|_| sessions);
        let after = marked.after.filter(|ms| *ms < u64::MAX / 1000);
        let taken = Statement {
            id,
            workload,
            tenant: 0,
            group: marked.group,
            session: key.map_or(0, session),
            repeat: marked.repeat,
            left: deadline - now,
            work: None,
            written_ago: after.map(|ms| now - (Point(0) + Span::millis(ms))),
        };
        self.held_bytes += text.len();
        let left_at = marked.left_at;
        let executions = 0;
        self.held.insert(
            id,
            Held {
                client,
                text,
                left_at,
                deadline,
                executions,
            },
        );
        if let Some(c) = self.clients.get_mut(&client) {
            c.stmt = Some(id);
        }
        let results = self.module.statement_taken(now, &taken);
        self.carry_out(now, results);
    }

    fn workload(&self, marked: &Marked) -> Result<usize, Unreadable> {
        let unknown = |message| Unreadable {
            code: "22023",
            message,
        };
        if !self.members.has_group(marked.group) {
            return Err(unknown("no member of this group is known"));
        }
        self.workloads
            .find(&marked.workload)
            .ok_or(unknown("no such class of statements"))
    }

    /// Lets go of a statement that has its final answer, or needs none.
    fn release(&mut self, stmt: u32) -> Option<u32> {
        let held = self.held.remove(&stmt)?;
        self.held_bytes -= held.text.len();
        if let Some(client) = self.clients.get_mut(&held.client) {
            client.stmt = None;
        }
        Some(held.client)
    }

    fn say(&self, client: u32, say: Say) {
        if let Some(client) = self.clients.get(&client) {
            client.line.tell(say);
        }
    }

    fn answer(&mut self, stmt: u32, say: Say) {
        match self.release(stmt) {
            Some(client) => self.say(client, say),
            None => self.figures.late_answers_dropped += 1,
        }
    }

    /// Carries out what the module decided, in its order.
    fn carry_out(&mut self, now: Point, results: Results) {
        for c in &results.cancellations {
            self.cancel(now, c);
        }
        for e in &results.executions {
            self.execute(now, e);
        }
        for answer in &results.answers {
            let (stmt, say) = endings::of_answer(answer);
            match answer {
                Answer::Rejected { .. } => self.figures.rejected += 1,
                Answer::Aborted { .. } => self.figures.aborted += 1,
            }
            self.answer(stmt, say);
        }
        for member in &results.probes {
            self.probe(now, *member);
        }
        if results.subscribe && self.watching.is_none() {
            self.watch(now);
        }
        self.module_wakes = results.wake_up;
    }

    /// Each end is told once, and only when the input that brought it about is done with: what the module
    /// decides on it must not be carried out in the middle of what it decided before.
    fn tell_ended(&mut self, now: Point) {
        while let Some(end) = self.ended.pop_front() {
            let Ended {
                member,
                ending,
                took,
                sighting,
                ..
            } = end;
            let results = match end.errand {
                Errand::Execution { stmt, number } => {
                    endings::count(&mut self.figures, ending);
                    let settled = !self.held.contains_key(&stmt);
                    let end = ExecutionEnd {
                        stmt,
                        number,
                        member,
                        ending,
                        took,
                        settled,
                        sighting,
                    };
                    self.module.execution_ended(now, &end)
                }
                Errand::Probe => {
                    let ok = ending == Ending::Completed;
                    self.figures.probes_answered += u64::from(ok);
                    self.module.probe_answered(now, member, ok, took, sighting)
                }
            };
            self.carry_out(now, results);
        }
    }

    fn cancel(&mut self, now: Point, c: &Cancellation) {
        let connection = self.running.get(&(c.stmt, c.number)).copied();
        if let Some(busy) = connection.and_then(|id| self.let_go(id)) {
            self.errand_ended(busy, now, Ending::Cancelled, Sighting::default());
        }
    }

    fn execute(&mut self, now: Point, e: &Execution) {
        let Some(held) = self.held.get_mut(&e.stmt) else {
            return;
        };
        let number = held.executions;
        held.executions += 1;
        let until = e.until.min(held.deadline);
        // Rounded down: a member must not work for longer than it is waited for.
        let text = comment::with_left(&held.text, &held.left_at, (until - now).0 / 1000);
        let mut query = Vec::with_capacity(text.len() + 8);
        messages::put_query(&mut query, &text);
        let stmt = e.stmt;
        self.figures.executions_sent += 1;
        self.start(now, Errand::Execution { stmt, number }, e.member, query, until);
    }

    fn probe(&mut self, now: Point, member: u32) {
        self.figures.probes_sent += 1;
        let text: &[u8] = if self.decoding.reported {
            b"SHOW vitals"
        } else {
            b"SELECT 1"
        };
        let mut query = Vec::new();
        messages::put_query(&mut query, text);
        // As long as a connection may take to come up: the settings know no other bound for it.
        let until = now + self.decoding.connect_timeout;
        self.start(now, Errand::Probe, member, query, until);
    }

    /// Sends on an idle connection, else on a new one.
    fn start(&mut self, now: Point, errand: Errand, member: u32, query: Vec<u8>, until: Point) {
        let mut busy = Busy {
            errand,
            member,
            query,
            sent: now,
            until,
            ends: until,
            up: true,
            reused: true,
        };
        let Some(address) = self.members.address(member) else {
            return self.errand_ended(busy, now, Ending::NeverSent, Sighting::default());
        };
        let connection = match self.pool.take(member, address) {
            Some(id) => id,
            None => {
                busy.up = false;
                busy.reused = false;
                busy.ends = until.min(now + self.decoding.connect_timeout);
                match self.dial(member, address) {
                    Ok(id) => id,
                    Err(ending) => return self.errand_ended(busy, now, ending, Sighting::default()),
                }
            }
        };
        if let Errand::Execution { stmt, number } = errand {
            self.figures.executions_on_new_connections += u64::from(!busy.reused);
            self.running.insert((stmt, number), connection);
        }
        self.pool.tell(connection, execution::Run(busy.query.clone()));
        self.ends.insert((busy.ends, connection));
        self.busy.insert(connection, busy);
    }

    fn dial(&mut self, member: u32, address: SocketAddr) -> Result<u32, Ending> {
        if self.pool.len() >= self.most_connections() {
            let (_, oldest) = self.pool.oldest_idle().ok_or(Ending::NeverSent)?;
            self.pool.remove(oldest);
        }
        let id = self.pool.next_id();
        let dialogue = execution::Executions::new(id);
        let line = stream::dial(address, dialogue, &self.queue, self.clock);
        let line = line.map_err(|_| Ending::NoConnection)?;
        self.pool.add(id, member, address, line);
        Ok(id)
    }

    /// Takes a busy connection out of all tables and ends it.
    fn let_go(&mut self, connection: u32) -> Option<Busy> {
        self.pool.remove(connection);
        self.finish(connection)
    }

    fn finish(&mut self, connection: u32) -> Option<Busy> {
        let busy = self.busy.remove(&connection)?;
        self.ends.remove(&(busy.ends, connection));
        if let Errand::Execution { stmt, number } = busy.errand {
            self.running.remove(&(stmt, number));
        }
        Some(busy)
    }

    fn end_waiting(&mut self, now: Point, connection: u32) {
        if let Some(busy) = self.let_go(connection) {
            let ending = endings::of_time(busy.up);
            self.errand_ended(busy, now, ending, Sighting::default());
        }
    }

    fn errand_ended(&mut self, busy: Busy, at: Point, ending: Ending, sighting: Sighting) {
        self.ended.push_back(Ended {
            errand: busy.errand,
            member: busy.member,
            ending,
            took: at - busy.sent,
            sighting,
        });
    }

    fn member_heard(&mut self, now: Point, heard: execution::Heard) {
        match heard {
            execution::Heard::Up { connection } => {
                let Some(busy) = self.busy.get_mut(&connection) else {
                    return;
                };
                self.ends.remove(&(busy.ends, connection));
                busy.up = true;
                busy.ends = busy.until;
                self.ends.insert((busy.ends, connection));
            }
            execution::Heard::Replied {
                connection,
                at,
                reply,
                sighting,
                report,
            } => {
                let Some(busy) = self.finish(connection) else {
                    return;
                };
                let ending = endings::of_reply(&reply);
                let sighting = vitals::joined(sighting, self.reported(&busy, &reply, report));
                match reply {
                    execution::Reply::Malformed => {
                        self.figures.members_malformed += 1;
                        self.observer
                            .say(now, "member", format_args!("sent what is not an answer"));
                        self.pool.remove(connection);
                    }
                    execution::Reply::Error(_) => self.pool.give_back(connection, now),
                    execution::Reply::Rows(rows) => {
                        self.pool.give_back(connection, now);
                        self.pass_on(&busy, rows);
                    }
                }
                self.errand_ended(busy, at, ending, sighting);
            }
            execution::Heard::Down {
                connection,
                at,
                written,
            } => {
                self.pool.remove(connection);
                let Some(busy) = self.finish(connection) else {
                    return;
                };
                if busy.reused && !written {
                    // It had ended while it sat idle: nothing went out, so this isn't another execution.
                    self.figures.idle_connections_stale += 1;
                    return self.start(now, busy.errand, busy.member, busy.query, busy.until);
                }
                self.errand_ended(busy, at, endings::of_loss(written), Sighting::default());
            }
        }
    }

    /// What a report says, whether it came beside an answer or as the row that a probe asked for.
    fn reported(&self, busy: &Busy, reply: &execution::Reply, beside: Option<String>) -> Sighting {
        let fields = &self.decoding.report_fields;
        let name = |at: Option<usize>| at.and_then(|n| fields.get(n)).map(String::as_str);
        let (position, role) = (name(self.decoding.position_field), name(self.decoding.role_field));
        let row = match (busy.errand, reply) {
            (Errand::Probe, execution::Reply::Rows(rows)) => execution::value(rows),
            _ => None,
        };
        let row = row.and_then(|v| std::str::from_utf8(v).ok());
        let read =
            |text: Option<&str>| text.map_or(Sighting::default(), |t| vitals::report(t, position, role));
        vitals::joined(read(row), read(beside.as_deref()))
    }

    /// The first whole answer goes to the client as the bytes that came.
    fn pass_on(&mut self, busy: &Busy, rows: Vec<u8>) {
        if let Errand::Execution { stmt, .. } = busy.errand {
            if self.held.contains_key(&stmt) {
                self.figures.completed += 1;
            }
            self.answer(stmt, Say::Rows(rows));
        }
    }

    fn watch(&mut self, now: Point) {
        self.figures.discovery_dials += 1;
        let address = self.place.discovery;
        let dialogue = Watch::new(address.to_string(), WATCH.0 / 1000, self.roster_index);
        let wait = if self.roster_index.is_some() {
            WATCH + WATCH_LATE
        } else {
            LIST_LATE
        };
        self.watch_ends = now + wait;
        match stream::dial(address, dialogue, &self.queue, self.clock) {
            Ok(line) => self.watching = Some(line),
            Err(_) => self.watch_failed(now),
        }
    }

    /// The next call comes after a growing pause; where the module asks for the list, when it does so again.
    fn watch_failed(&mut self, now: Point) {
        if self.list_on_request {
            let results = self.module.list_failed(now);
            return self.carry_out(now, results);
        }
        self.watch_again = Some(now + self.watch_pause);
        self.watch_pause = (self.watch_pause + self.watch_pause).min(LONGEST_PAUSE);
    }

    fn discovery_heard(&mut self, now: Point, heard: watch::Heard) {
        match heard {
            watch::Heard::Told(roster) => {
                self.watch_ends = now + WATCH + WATCH_LATE;
                self.watch_pause = FIRST_PAUSE;
                self.roster_index = Some(roster.index);
                self.learn_roster(now, &roster);
            }
            watch::Heard::Unreadable => {
                self.figures.rosters_unreadable += 1;
                self.observer
                    .say(now, "discovery", format_args!("answered what can't be read"));
            }
            watch::Heard::Down => {
                if self.watching.take().is_some() {
                    self.watch_failed(now);
                }
            }
        }
    }

    pub fn learn_roster(&mut self, now: Point, roster: &Roster) {
        self.figures.rosters_told += 1;
        let entries: Vec<_> = roster
            .entries
            .iter()
            .filter_map(|e| self.members.learn(e))
            .collect();
        let left_out = roster.left_out + roster.entries.len() - entries.len();
        self.figures.roster_entries_left_out += left_out as u64;
        if left_out > 0 {
            let text = format_args!("{left_out} entries of the list can't be read");
            self.observer.say(now, "discovery", text);
        }
        if roster.whole || !entries.is_empty() {
            let results = self.module.members_told(now, &entries, roster.whole);
            self.carry_out(now, results);
        }
    }
}
