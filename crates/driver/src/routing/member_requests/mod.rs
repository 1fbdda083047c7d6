//! Requests to members: executions and health checks in flight, with their connections and timeouts.

mod held_answers;
mod request;

use super::execution_outcomes;
use super::limits::Share;
use crate::protocol::member_connection::{MemberAnswer, MemberCommand};
use crate::transport::connection::ConnectionHandle;
use crate::transport::connection_pool::{ConnectionPool, IdleConnection};
use crate::transport::idle_lifetime::IdleLifetimeEstimator;
use asterlatch::interface::ExecutionOutcome;
use asterlatch::time::{TimeSpan, Timestamp};
use held_answers::HeldAnswers;
pub use request::{
    Assignment, AttemptId, EstablishedConnection, InFlightExecution, MemberRequest, OpenReason, RequestKind,
    UnansweredRequest,
};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;

/// Opens a connection to a member under the given id.
pub type DialMember = Box<dyn FnMut(u32, SocketAddr) -> io::Result<ConnectionHandle<MemberCommand>>>;

/// Limits on connections to members.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionLimits {
    /// Timeout for establishing a connection.
    pub connect_timeout: TimeSpan,
    /// Time after which members close idle connections.
    pub idle_timeout: TimeSpan,
    /// Share of `idle_timeout` for which an idle connection is reused.
    pub idle_share: Share,
    /// Maximum number of connections, in use or idle.
    pub max_connections: usize,
}

impl ConnectionLimits {
    fn max_idle(&self) -> TimeSpan {
        self.idle_timeout * self.idle_share.ratio()
    }
}

/// Member and address of an idle connection that another process hands over.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdoptedConnection {
    /// Id of the member.
    pub member: u32,
    /// Its address.
    pub address: SocketAddr,
}

/// The table of requests in flight and their connections, owned by the event loop.
pub struct MemberRequests {
    pool: ConnectionPool<MemberCommand>,
    dial: DialMember,
    /// Requests by connection id.
    in_flight: BTreeMap<u32, MemberRequest>,
    /// Connection ids by execution.
    connections: BTreeMap<AttemptId, u32>,
    timeouts: BTreeSet<(Timestamp, u32)>,
    held_answers: HeldAnswers,
    /// Connections being established whose request was withdrawn, with their timeouts.
    unassigned: BTreeMap<u32, Timestamp>,
    idle_lifetimes: IdleLifetimeEstimator,
    /// Members that have or had a connection, and whether the last one was evicted.
    was_evicted: BTreeMap<u32, bool>,
    limits: ConnectionLimits,
}

impl MemberRequests {
    /// Creates a table without connections.
    pub fn new(dial: DialMember, limits: ConnectionLimits) -> MemberRequests {
        MemberRequests {
            pool: ConnectionPool::default(),
            dial,
            in_flight: BTreeMap::new(),
            connections: BTreeMap::new(),
            timeouts: BTreeSet::new(),
            held_answers: HeldAnswers::default(),
            unassigned: BTreeMap::new(),
            idle_lifetimes: IdleLifetimeEstimator::default(),
            was_evicted: BTreeMap::new(),
            limits,
        }
    }

    /// Changes limits at run time. Connections beyond a lower limit stay until they close.
    pub fn set_limits(&mut self, max_connections: usize, idle_share: Share) {
        self.limits.max_connections = max_connections;
        self.limits.idle_share = idle_share;
    }

    /// Number of connections, in use or idle.
    pub fn connection_count(&self) -> usize {
        self.pool.count()
    }

    /// Number of members with an idle connection.
    pub fn idle_member_count(&self) -> usize {
        self.pool.idle_member_count()
    }

    /// Assigns an idle connection to the request, or opens a new one.
    ///
    /// # Errors
    /// The outcome of the request if no connection can be opened.
    pub fn start(
        &mut self,
        now: Timestamp,
        request: MemberRequest,
        address: SocketAddr,
    ) -> Result<Assignment, ExecutionOutcome> {
        let max_idle = self.limits.max_idle();
        let idle_limit = self.idle_lifetimes.limit().unwrap_or(max_idle).min(max_idle);
        if let Some(IdleConnection {
            since: idle_since,
            id: connection,
        }) = self.pool.take_idle(request.member, address, now - idle_limit)
        {
            let idle_time = now - idle_since;
            self.assign(connection, MemberRequest { idle_time, ..request });
            return Ok(Assignment::Ready(connection));
        }
        let reason = self.open_reason(request.member);
        let request = MemberRequest {
            is_reused_connection: false,
            is_connected: false,
            times_out_at: request.deadline.min(now + self.limits.connect_timeout),
            ..request
        };
        let connection = self.open(request.member, address)?;
        self.assign(connection, request);
        Ok(Assignment::Connecting(reason))
    }

    fn assign(&mut self, connection: u32, request: MemberRequest) {
        if let RequestKind::Execution(attempt) = request.kind {
            self.connections.insert(attempt, connection);
        }
        self.timeouts.insert((request.times_out_at, connection));
        self.in_flight.insert(connection, request);
    }

    /// Sends the query of the request assigned to this connection.
    pub fn send(&mut self, connection: u32, query: Vec<u8>) {
        self.pool.send(connection, MemberCommand::Query(query));
    }

    fn open_reason(&mut self, member: u32) -> OpenReason {
        match (
            self.was_evicted.insert(member, false),
            self.pool.has_connection(member),
        ) {
            (_, true) => OpenReason::AllBusy,
            (None, _) => OpenReason::First,
            (Some(true), _) => OpenReason::Evicted,
            (Some(false), _) => OpenReason::Reopened,
        }
    }

    fn open(&mut self, member: u32, address: SocketAddr) -> Result<u32, ExecutionOutcome> {
        if self.pool.count() >= self.limits.max_connections {
            self.evict_oldest_idle()?;
        }
        let connection = self.pool.next_id();
        let handle =
            (self.dial)(connection, address).map_err(|error| execution_outcomes::from_failed_dial(&error))?;
        self.pool.add(connection, member, address, handle);
        Ok(connection)
    }

    fn evict_oldest_idle(&mut self) -> Result<(), ExecutionOutcome> {
        let oldest = self.pool.oldest_idle().ok_or(ExecutionOutcome::NotSent)?.id;
        let member = self.pool.member(oldest);
        if let Some(is_evicted) = member.and_then(|member| self.was_evicted.get_mut(&member)) {
            *is_evicted = true;
        }
        self.pool.remove(oldest);
        Ok(())
    }

    /// Records that a connection is established. The timeout of its request now applies to the answer.
    pub fn on_connected(&mut self, connection: u32, now: Timestamp) -> EstablishedConnection {
        if let Some(times_out_at) = self.unassigned.remove(&connection) {
            self.timeouts.remove(&(times_out_at, connection));
            self.pool.release(connection, now);
            return EstablishedConnection::Idle;
        }
        let Some(request) = self.in_flight.get_mut(&connection) else {
            return EstablishedConnection::Unknown;
        };
        self.timeouts.remove(&(request.times_out_at, connection));
        request.is_connected = true;
        request.times_out_at = request.deadline;
        self.timeouts.insert((request.times_out_at, connection));
        EstablishedConnection::Assigned(*request)
    }

    /// Withdraws a request of which nothing has been sent. Its connection becomes idle, now or once it is
    /// established within its timeout.
    pub fn withdraw(&mut self, connection: u32, now: Timestamp) -> Option<MemberRequest> {
        let request = self.take_request(connection)?;
        if request.is_connected {
            self.pool.release(connection, now);
        } else {
            self.timeouts.insert((request.times_out_at, connection));
            self.unassigned.insert(connection, request.times_out_at);
        }
        Some(request)
    }

    fn take_request(&mut self, connection: u32) -> Option<MemberRequest> {
        let request = self.in_flight.remove(&connection)?;
        self.held_answers.take(connection);
        self.timeouts.remove(&(request.times_out_at, connection));
        if let RequestKind::Execution(attempt) = request.kind {
            self.connections.remove(&attempt);
        }
        Some(request)
    }

    /// Ends the request whose complete answer has arrived, and makes its connection idle. `None` if the
    /// request was already cancelled or timed out.
    pub fn on_answered(&mut self, connection: u32, now: Timestamp) -> Option<MemberRequest> {
        let request = self.take_request(connection)?;
        self.record_reuse(&request, now, false);
        self.pool.release(connection, now);
        Some(request)
    }

    /// Holds an answer that may be a copy of an earlier one. Returns whether it follows another such answer, which is
    /// dropped. Without a request, the answer is dropped.
    pub fn hold_answer(&mut self, now: Timestamp, connection: u32, answer: MemberAnswer) -> bool {
        let Some(request) = self.in_flight.get(&connection) else {
            return false;
        };
        self.held_answers
            .hold(connection, answer, now, request.times_out_at)
    }

    /// Takes the answer held for this connection.
    pub fn take_held_answer(&mut self, connection: u32) -> Option<MemberAnswer> {
        self.held_answers.take(connection)
    }

    /// Takes the next answer that is held no longer, with its request, and closes the connection: a late answer may
    /// still follow.
    pub fn next_released_answer(&mut self, now: Timestamp) -> Option<(MemberRequest, MemberAnswer)> {
        while let Some((_, connection)) = self.held_answers.next().filter(|(at, _)| *at <= now) {
            let answer = self.held_answers.take(connection)?;
            if let Some(request) = self.close(connection) {
                return Some((request, answer));
            }
        }
        None
    }

    /// Records whether a reused connection turned out to be broken.
    pub fn record_reuse(&mut self, request: &MemberRequest, now: Timestamp, is_broken: bool) {
        if request.is_reused_connection {
            self.idle_lifetimes.record(now, request.idle_time, is_broken);
        }
    }

    /// Closes the connection and returns its request.
    pub fn close(&mut self, connection: u32) -> Option<MemberRequest> {
        self.pool.remove(connection);
        if let Some(times_out_at) = self.unassigned.remove(&connection) {
            self.timeouts.remove(&(times_out_at, connection));
        }
        self.take_request(connection)
    }

    /// Cancels an execution. Its connection is closed if the query may have been sent, else kept for other
    /// requests.
    pub fn cancel(&mut self, now: Timestamp, attempt: AttemptId) -> Option<UnansweredRequest> {
        let connection = *self.connections.get(&attempt)?;
        let request = self.in_flight.get(&connection);
        if request.is_some_and(|request| request.is_connected) {
            Some(UnansweredRequest {
                request: self.close(connection)?,
                outcome: ExecutionOutcome::Cancelled,
            })
        } else {
            Some(UnansweredRequest {
                request: self.withdraw(connection, now)?,
                outcome: ExecutionOutcome::NotSent,
            })
        }
    }

    /// Takes the next request that has timed out and closes its connection. Without an established
    /// connection, the query was never sent.
    pub fn next_timed_out(&mut self, now: Timestamp) -> Option<UnansweredRequest> {
        while let Some((at, connection)) = self.timeouts.first().copied().filter(|(at, _)| *at <= now) {
            self.timeouts.remove(&(at, connection));
            if let Some(request) = self.close(connection) {
                let outcome = if request.is_connected {
                    ExecutionOutcome::TimedOut
                } else {
                    ExecutionOutcome::NoConnection
                };
                return Some(UnansweredRequest { request, outcome });
            }
        }
        None
    }

    /// Closes the idle connections to a member that receives no more requests.
    pub fn close_idle(&mut self, member: u32) {
        self.was_evicted.remove(&member);
        self.pool.close_idle(member);
    }

    /// Executions in flight or waiting for their connection.
    pub fn executions(&self) -> impl Iterator<Item = InFlightExecution> + '_ {
        let requests = self.in_flight.values();
        let executions = requests.filter(|request| request.kind != RequestKind::HealthCheck);
        executions.map(|request| InFlightExecution {
            member: request.member,
            started_at: request.started_at,
        })
    }

    /// Commands all idle connections to be handed over to another process.
    pub fn hand_over_idle(&mut self) {
        for connection in self.pool.retire_idle() {
            self.pool.send(connection, MemberCommand::HandOver);
        }
    }

    /// Removes a connection that was transferred to another process, and returns its member.
    pub fn on_transferred(&mut self, connection: u32) -> Option<u32> {
        let member = self.pool.member(connection);
        self.pool.remove(connection);
        member
    }

    /// Adopts an idle connection of another process. Returns false at the connection limit or if `resume`
    /// fails.
    pub fn adopt(
        &mut self,
        now: Timestamp,
        adopted: AdoptedConnection,
        resume: impl FnOnce(u32) -> io::Result<ConnectionHandle<MemberCommand>>,
    ) -> bool {
        if self.pool.count() >= self.limits.max_connections {
            return false;
        }
        let connection = self.pool.next_id();
        let Ok(handle) = resume(connection) else {
            return false;
        };
        self.pool.add(connection, adopted.member, adopted.address, handle);
        self.pool.release(connection, now);
        true
    }

    /// Closes connections that have been idle for longer than allowed.
    pub fn close_expired_idle(&mut self, now: Timestamp) {
        self.pool.close_idle_since(now, self.limits.max_idle());
    }

    /// Time of the next request timeout, idle expiry or release of a held answer.
    pub fn next_at(&self) -> Option<Timestamp> {
        let timeout = self.timeouts.first().map(|(at, _)| *at);
        let oldest_idle = self.pool.oldest_idle();
        let idle_expiry = oldest_idle.map(|oldest| oldest.since + self.limits.max_idle());
        let release = self.held_answers.next().map(|(at, _)| at);
        timeout.into_iter().chain(idle_expiry).chain(release).min()
    }
}
