//! What members' connections are busy with: executions and probes, each with the time at which it ends.

use super::limits::Share;
use crate::protocol::execution::MemberCommand;
use crate::transport::ages::Ages;
use crate::transport::pool::Pool;
use crate::transport::stream::Line;
use asterlatch::interface::ExecutionOutcome;
use asterlatch::time::{TimeSpan, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestKind {
    Execution { stmt: u32, number: u8 },
    HealthCheck,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberRequest {
    pub kind: RequestKind,
    pub member: u32,
    pub sent: Timestamp,
    pub until: Timestamp,
    /// The connection stood before, and sat idle for this long.
    pub reused: bool,
    idle: TimeSpan,
    /// When to stop waiting: for the connection first, then for the answer.
    ends: Timestamp,
    up: bool,
}

impl MemberRequest {
    pub fn new(kind: RequestKind, member: u32, sent: Timestamp, until: Timestamp) -> MemberRequest {
        MemberRequest {
            kind,
            member,
            sent,
            until,
            reused: true,
            idle: TimeSpan(0),
            ends: until,
            up: true,
        }
    }
}

/// Why a new connection was opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenReason {
    /// None ever stood to that member, since it was listed or its connections were let go.
    First,
    /// All that stand are busy.
    AllBusy,
    /// One stood, and rested too long or was ended.
    Reopened,
    /// One stood, and was closed to make room for others.
    Evicted,
}

/// What an request begins with.
pub enum Assignment {
    /// This connection stands, and may be sent on at once.
    Ready(u32),
    /// One is coming up.
    Connecting(OpenReason),
}

/// A connection that has come up.
#[derive(Debug, PartialEq)]
pub enum ConnectionUp {
    Assigned(MemberRequest),
    /// What it was opened for needs it no more: it is idle.
    Idle,
    Unknown,
}

/// Opens a connection under this number.
pub type Dial = Box<dyn FnMut(u32, SocketAddr) -> io::Result<Line<MemberCommand>>>;

pub struct MemberRequests {
    pool: Pool<MemberCommand>,
    dial: Dial,
    busy: BTreeMap<u32, MemberRequest>,
    running: BTreeMap<(u32, u8), u32>,
    ends: BTreeSet<(Timestamp, u32)>,
    /// Connections that come up for nobody, and until when they may.
    coming: BTreeMap<u32, Timestamp>,
    ages: Ages,
    /// MemberDirectory that a connection ever stood to, and whether the last one was closed to make room.
    met: BTreeMap<u32, bool>,
    connect_timeout: TimeSpan,
    /// The settings' idle time, and the part of it that is used.
    idle_whole: TimeSpan,
    idle: TimeSpan,
    most: usize,
}

/// Linux's errors for want of descriptors, which say nothing of the member.
const NO_DESCRIPTOR: [i32; 2] = [23, 24];

impl MemberRequests {
    pub fn new(
        dial: Dial,
        connect_timeout: TimeSpan,
        idle: (TimeSpan, Share),
        most: usize,
    ) -> MemberRequests {
        MemberRequests {
            pool: Pool::default(),
            dial,
            busy: BTreeMap::new(),
            running: BTreeMap::new(),
            ends: BTreeSet::new(),
            coming: BTreeMap::new(),
            ages: Ages::default(),
            met: BTreeMap::new(),
            connect_timeout,
            idle_whole: idle.0,
            idle: idle.0 * idle.1.ratio(),
            most,
        }
    }

    pub fn bound(&mut self, most: usize, idle: Share) {
        (self.most, self.idle) = (most, self.idle_whole * idle.ratio());
    }

    pub fn connections(&self) -> usize {
        self.pool.count()
    }

    pub fn idle_members(&self) -> usize {
        self.pool.idle_members()
    }

    /// Gives it an idle connection, else opens one, on which nothing goes out before it is up; or says how that ended
    /// at once.
    pub fn start(
        &mut self,
        now: Timestamp,
        request: MemberRequest,
        address: SocketAddr,
    ) -> Result<Assignment, ExecutionOutcome> {
        let mut request = request;
        let mut cause = None;
        let earliest = now - self.ages.limit().unwrap_or(self.idle).min(self.idle);
        let connection = match self.pool.take(request.member, address, earliest) {
            Some((id, since)) => {
                request.idle = now - since;
                id
            }
            None => {
                request.reused = false;
                request.up = false;
                cause = Some(self.cause(request.member));
                request.ends = request.until.min(now + self.connect_timeout);
                self.open(request.member, address)?
            }
        };
        if let RequestKind::Execution { stmt, number } = request.kind {
            self.running.insert((stmt, number), connection);
        }
        self.ends.insert((request.ends, connection));
        self.busy.insert(connection, request);
        Ok(cause.map_or(Assignment::Ready(connection), Assignment::Connecting))
    }

    /// Sends the query of the request that has this connection.
    pub fn send(&mut self, connection: u32, query: Vec<u8>) {
        self.pool.tell(connection, MemberCommand::Query(query));
    }

    fn cause(&mut self, member: u32) -> OpenReason {
        match (self.met.insert(member, false), self.pool.stands(member)) {
            (_, true) => OpenReason::AllBusy,
            (None, _) => OpenReason::First,
            (Some(true), _) => OpenReason::Evicted,
            (Some(false), _) => OpenReason::Reopened,
        }
    }

    fn open(&mut self, member: u32, address: SocketAddr) -> Result<u32, ExecutionOutcome> {
        if self.pool.count() >= self.most {
            let (_, oldest) = self.pool.oldest_idle().ok_or(ExecutionOutcome::NotSent)?;
            if let Some(crowded) = self.pool.member(oldest).and_then(|m| self.met.get_mut(&m)) {
                *crowded = true;
            }
            self.pool.remove(oldest);
        }
        let id = self.pool.next_id();
        let line = (self.dial)(id, address).map_err(|e| match e.raw_os_error() {
            Some(code) if NO_DESCRIPTOR.contains(&code) => ExecutionOutcome::NotSent,
            _ => ExecutionOutcome::NoConnection,
        })?;
        self.pool.add(id, member, address, line);
        Ok(id)
    }

    /// The connection stands: from now on its answer is waited for.
    pub fn up(&mut self, connection: u32, now: Timestamp) -> ConnectionUp {
        if let Some(ends) = self.coming.remove(&connection) {
            self.ends.remove(&(ends, connection));
            self.pool.give_back(connection, now);
            return ConnectionUp::Idle;
        }
        let Some(request) = self.busy.get_mut(&connection) else {
            return ConnectionUp::Unknown;
        };
        self.ends.remove(&(request.ends, connection));
        request.up = true;
        request.ends = request.until;
        self.ends.insert((request.ends, connection));
        ConnectionUp::Assigned(*request)
    }

    /// Takes an request back of which nothing has gone out. Its connection serves another: at once if it is up, else
    /// when it comes up within its time.
    pub fn take_back(&mut self, connection: u32, now: Timestamp) -> Option<MemberRequest> {
        let request = self.finish(connection)?;
        if request.up {
            self.pool.give_back(connection, now);
        } else {
            self.ends.insert((request.ends, connection));
            self.coming.insert(connection, request.ends);
        }
        Some(request)
    }

    fn finish(&mut self, connection: u32) -> Option<MemberRequest> {
        let request = self.busy.remove(&connection)?;
        self.ends.remove(&(request.ends, connection));
        if let RequestKind::Execution { stmt, number } = request.kind {
            self.running.remove(&(stmt, number));
        }
        Some(request)
    }

    /// Its answer has come, whole: the connection may serve again. What comes for one that was given up belongs
    /// to no request.
    pub fn answered(&mut self, connection: u32, now: Timestamp) -> Option<MemberRequest> {
        let request = self.finish(connection)?;
        self.note_age(&request, now, false);
        self.pool.give_back(connection, now);
        Some(request)
    }

    /// How a connection fared that had sat idle.
    pub fn note_age(&mut self, request: &MemberRequest, now: Timestamp, broke: bool) {
        if request.reused {
            self.ages.note(now, request.idle, broke);
        }
    }

    /// Ends the connection, which is never used again.
    pub fn end(&mut self, connection: u32) -> Option<MemberRequest> {
        self.pool.remove(connection);
        if let Some(ends) = self.coming.remove(&connection) {
            self.ends.remove(&(ends, connection));
        }
        self.finish(connection)
    }

    /// DiscoveryRequests an execution off; says how that ends it.
    pub fn cancel(
        &mut self,
        now: Timestamp,
        stmt: u32,
        number: u8,
    ) -> Option<(MemberRequest, ExecutionOutcome)> {
        let connection = *self.running.get(&(stmt, number))?;
        if self.busy.get(&connection).is_some_and(|e| e.up) {
            Some((self.end(connection)?, ExecutionOutcome::Cancelled))
        } else {
            Some((self.take_back(connection, now)?, ExecutionOutcome::NotSent))
        }
    }

    /// The first that has been waited for long enough, and how that ends it: what waited for its connection never ran.
    pub fn overdue(&mut self, now: Timestamp) -> Option<(MemberRequest, ExecutionOutcome)> {
        while let Some((at, connection)) = self.ends.first().copied().filter(|(at, _)| *at <= now) {
            self.ends.remove(&(at, connection));
            if let Some(request) = self.end(connection) {
                let ending = if request.up {
                    ExecutionOutcome::TimedOut
                } else {
                    ExecutionOutcome::NoConnection
                };
                return Some((request, ending));
            }
        }
        None
    }

    /// Nothing more goes to this member: what sits idle there is of no use.
    pub fn let_go(&mut self, member: u32) {
        self.met.remove(&member);
        self.pool.let_go(member);
    }

    /// The member of each execution that is out.
    pub fn out(&self) -> impl Iterator<Item = u32> + '_ {
        let executions = self.busy.values().filter(|e| e.kind != RequestKind::HealthCheck);
        executions.map(|e| e.member)
    }

    /// The same, each with when it was sent.
    pub fn sent(&self) -> impl Iterator<Item = (u32, Timestamp)> + '_ {
        let executions = self.busy.values().filter(|e| e.kind != RequestKind::HealthCheck);
        executions.map(|e| (e.member, e.sent))
    }

    /// Has all idle connections go to another process.
    pub fn hand_over_idle(&mut self) {
        for id in self.pool.retire_idle() {
            self.pool.tell(id, MemberCommand::HandOver);
        }
    }

    /// A connection has gone; says to which member it stands.
    pub fn moved(&mut self, connection: u32) -> Option<u32> {
        let member = self.pool.member(connection);
        self.pool.remove(connection);
        member
    }

    /// Takes in an idle connection of another process, where there is a place for it.
    pub fn adopt(
        &mut self,
        now: Timestamp,
        (member, address): (u32, SocketAddr),
        stand: impl FnOnce(u32) -> io::Result<Line<MemberCommand>>,
    ) -> bool {
        if self.pool.count() >= self.most {
            return false;
        }
        let id = self.pool.next_id();
        let Ok(line) = stand(id) else {
            return false;
        };
        self.pool.add(id, member, address, line);
        self.pool.give_back(id, now);
        true
    }

    pub fn end_idle(&mut self, now: Timestamp) {
        self.pool.end_idle_before(now, self.idle);
    }

    pub fn next_at(&self) -> Option<Timestamp> {
        let end = self.ends.first().map(|(at, _)| *at);
        let idle = self.pool.oldest_idle().map(|(since, _)| since + self.idle);
        end.into_iter().chain(idle).min()
    }
}
