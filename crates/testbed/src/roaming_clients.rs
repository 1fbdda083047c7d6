//! Clients of several drivers: a session mostly uses the same driver; a statement that was rejected or not
//! answered is retried at another driver.

use crate::arrivals::{Arrival, Arrivals};
use crate::checker::{ClientOutcome, StatementRecord};
use crate::load_generator::read_answer;
use crate::member::{lock, pause, SharedStore};
use crate::store_model::WorkloadKind;
use crate::wire::{start_session, wall_clock_now, ClientStatement};
use asterlatch::time::{TimeSpan, Timestamp};
use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// One attempt of a statement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Attempt {
    /// Driver number, from 1.
    pub driver: u32,
    /// When the statement was sent.
    pub sent: Timestamp,
    /// When its answer was complete or the client gave up.
    pub ended: Timestamp,
    /// Outcome from the client's view.
    pub outcome: ClientOutcome,
    /// Whether the client disconnected on purpose, before its timeout.
    pub abandoned: bool,
}

/// A statement with all its attempts.
#[derive(Clone, Debug, PartialEq)]
pub struct RoamingRecord {
    /// The statement with the outcome of its last attempt.
    pub record: StatementRecord,
    /// Attempts, in the order in which they were sent.
    pub attempts: Vec<Attempt>,
}

/// How clients choose among several drivers.
#[derive(Clone, Copy, Debug)]
pub struct RoamingBehavior {
    /// Statements per thousand that go to a random driver instead of their session's.
    pub roam_per_mille: u32,
    /// Writes per thousand whose client disconnects soon after sending them and retries elsewhere.
    pub abandon_per_mille: u32,
}

/// Maximum time until a write is abandoned; by then it may be unread, in flight or executed.
const MAX_ABANDON_DELAY_US: u64 = 5000;
/// Delay between a rejection and the next attempt.
const RETRY_BACKOFF: TimeSpan = TimeSpan::millis(20);
const MAX_ATTEMPTS: usize = 4;
/// Minimum remaining time for a further attempt.
const MIN_ATTEMPT_TIME: TimeSpan = TimeSpan::millis(5);
/// Delay after every driver has refused a connection.
const REFUSED_BACKOFF: TimeSpan = TimeSpan::millis(5);
const MAX_CONNECT_TIME: Duration = Duration::from_millis(200);
/// Time for which a client reads on after its timeout; longer than the checker's tolerance for late answers.
const LATE_ANSWER_WAIT: Duration = Duration::from_millis(300);

/// Number and behavior of the clients.
#[derive(Clone, Copy, Debug)]
pub struct RoamingOptions {
    /// Number of client threads, each with one statement at a time.
    pub clients: usize,
    /// How clients choose among several drivers.
    pub behavior: RoamingBehavior,
    /// Seed of their random choices.
    pub seed: u64,
}

/// A running load.
pub struct Load(Vec<JoinHandle<Vec<RoamingRecord>>>);

/// Starts the client threads; due times of arrivals count from `from`.
pub fn start(
    store: &SharedStore,
    drivers: &[SocketAddr],
    arrivals: Arrivals,
    from: Timestamp,
    options: RoamingOptions,
) -> Load {
    let arrivals = Arc::new(Mutex::new(arrivals));
    let client = |index: usize| {
        let (arrivals, store, drivers) = (arrivals.clone(), store.clone(), drivers.to_vec());
        thread::spawn(move || {
            let mut client = Client {
                drivers,
                store,
                idle_connections: BTreeMap::new(),
                rng: fastrand::Rng::with_seed(options.seed << 16 | index as u64),
                behavior: options.behavior,
            };
            let next = || arrivals.lock().unwrap_or_else(PoisonError::into_inner).next();
            let mut records = Vec::new();
            while let Some(arrival) = next() {
                let due = from + arrival.at;
                pause(due - wall_clock_now());
                records.push(client.execute(&arrival, due));
            }
            records
        })
    };
    Load((0..options.clients).map(client).collect())
}

impl Load {
    /// Waits for all clients; returns their records, sorted by due time.
    pub fn finish(self) -> Vec<RoamingRecord> {
        let finished = self.0.into_iter().filter_map(|client| client.join().ok());
        let mut records: Vec<RoamingRecord> = finished.flatten().collect();
        records.sort_by_key(|r| (r.record.due, r.record.id));
        records
    }
}

struct Client {
    drivers: Vec<SocketAddr>,
    store: SharedStore,
    idle_connections: BTreeMap<usize, TcpStream>,
    rng: fastrand::Rng,
    behavior: RoamingBehavior,
}

impl Client {
    fn connect(&mut self, driver: usize, timeout: Duration) -> io::Result<TcpStream> {
        if let Some(stream) = self.idle_connections.remove(&driver) {
            // An idle connection that is readable has been closed by its driver.
            stream.set_nonblocking(true)?;
            let is_closed = !matches!(stream.peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock);
            stream.set_nonblocking(false)?;
            if !is_closed {
                return Ok(stream);
            }
        }
        let mut stream = TcpStream::connect_timeout(&self.drivers[driver], timeout)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        start_session(&mut stream)?;
        Ok(stream)
    }

    fn execute(&mut self, arrival: &Arrival, due: Timestamp) -> RoamingRecord {
        let (name, kind, timeout) = {
            let store = lock(&self.store);
            let workload = &store.workloads[arrival.workload];
            (workload.name, workload.kind, workload.timeout)
        };
        let deadline = wall_clock_now() + timeout;
        let is_write = matches!(kind, WorkloadKind::Write { .. });
        let driver_count = self.drivers.len();
        let mut driver = self.first_driver(arrival);
        let abandons_first = is_write && self.rng.u32(0..1000) < self.behavior.abandon_per_mille;
        let mut attempts: Vec<Attempt> = Vec::new();
        let mut record = StatementRecord {
            id: arrival.id,
            workload: arrival.workload,
            group: arrival.group,
            session: arrival.session,
            due,
            sent: wall_clock_now(),
            answered: due,
            outcome: ClientOutcome::ConnectionRefused,
            has_trailing_bytes: false,
        };
        let mut refused_connections = 0;
        while attempts.len() < MAX_ATTEMPTS && wall_clock_now() + MIN_ATTEMPT_TIME < deadline {
            let remaining = deadline - wall_clock_now();
            let timeout = Duration::from_micros(remaining.0.max(1000));
            let Ok(stream) = self.connect(driver, timeout.min(MAX_CONNECT_TIME)) else {
                // Nothing was sent, so this counts as no attempt.
                driver = (driver + 1) % driver_count;
                refused_connections += 1;
                if refused_connections % driver_count == 0 {
                    pause(REFUSED_BACKOFF);
                }
                continue;
            };
            let statement = ClientStatement {
                id: arrival.id,
                workload: name,
                timeout: remaining,
                group: arrival.group,
                session: arrival.session,
                is_write,
                is_retry: !attempts.is_empty(),
            };
            let abandoned = abandons_first && attempts.is_empty();
            let attempt = self.attempt(driver, stream, statement, abandoned);
            record.sent = attempt.sent;
            record.outcome = attempt.outcome;
            attempts.push(attempt);
            match attempt.outcome {
                ClientOutcome::NoAnswer => {}
                ClientOutcome::Rejected => pause(RETRY_BACKOFF),
                _ => break,
            }
            driver = (driver + 1 + self.rng.usize(0..driver_count)) % driver_count;
        }
        // The client's delay after a rejection isn't part of the time to the answer.
        record.answered = attempts
            .last()
            .map_or_else(wall_clock_now, |attempt| attempt.ended);
        RoamingRecord { record, attempts }
    }

    /// The session's driver, or a random one if the client roams.
    fn first_driver(&mut self, arrival: &Arrival) -> usize {
        let driver_count = self.drivers.len();
        if self.rng.u32(0..1000) < self.behavior.roam_per_mille {
            return self.rng.usize(0..driver_count);
        }
        arrival.session as usize % driver_count
    }

    /// Sends a statement and waits for its answer; if `abandoned`, disconnects after a short random time
    /// instead.
    fn attempt(
        &mut self,
        driver: usize,
        mut stream: TcpStream,
        statement: ClientStatement,
        abandoned: bool,
    ) -> Attempt {
        let read_timeout = Duration::from_micros(statement.timeout.0) + LATE_ANSWER_WAIT;
        let _ = stream.set_read_timeout(Some(read_timeout));
        let sent = wall_clock_now();
        let written = stream.write_all(&statement.encode());
        let outcome = if abandoned {
            pause(TimeSpan(self.rng.u64(0..MAX_ABANDON_DELAY_US)));
            ClientOutcome::NoAnswer
        } else {
            let answer = written.and_then(|()| read_answer(&mut stream));
            if answer.is_ok() {
                self.idle_connections.insert(driver, stream);
            }
            answer.unwrap_or(ClientOutcome::NoAnswer)
        };
        Attempt {
            driver: driver as u32 + 1,
            sent,
            ended: wall_clock_now(),
            outcome,
            abandoned,
        }
    }
}
