//! Clients of several drivers: a session mostly stays with one; a statement that was rejected or got no answer is retried
//! at another.

use crate::arrivals::{Arrival, Arrivals};
use crate::checker::{ClientOutcome, StatementRecord};
use crate::load_generator::answer;
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
    /// From 1.
    pub driver: u32,
    /// When the statement was sent.
    pub sent: Timestamp,
    /// When its answer had come or the client gave up.
    pub ended: Timestamp,
    /// What the client was told.
    pub outcome: ClientOutcome,
    /// The client left before its timeout.
    pub abandoned: bool,
}

/// A statement and all of its attempts.
#[derive(Clone, Debug, PartialEq)]
pub struct RoamingRecord {
    /// The statement as its client saw it in the end.
    pub record: StatementRecord,
    /// In the order in which they were sent.
    pub attempts: Vec<Attempt>,
}

/// How clients use several drivers.
#[derive(Clone, Copy, Debug)]
pub struct RoamingBehavior {
    /// Statements of a thousand that are sent to a random driver instead of their session's.
    pub roam_per_mille: u32,
    /// Writes of a thousand that are abandoned soon after they were sent, and retried elsewhere.
    pub abandon_per_mille: u32,
}

/// Longest time until a write is abandoned, in microseconds: by then it may be unread, in flight or executed.
const MAX_ABANDON_DELAY_US: u64 = 5000;
/// Between a rejection and the next attempt.
const RETRY_BACKOFF: TimeSpan = TimeSpan::millis(20);
const MAX_ATTEMPTS: usize = 4;
/// With less time than this left, no attempt begins.
const MIN_ATTEMPT_TIME: TimeSpan = TimeSpan::millis(5);
/// Between two rounds in which every driver refused a connection.
const REFUSED_BACKOFF: TimeSpan = TimeSpan::millis(5);
const MAX_CONNECT_WAIT: Duration = Duration::from_millis(200);
/// A driver's answer may take the protocol's slack; a client listens a little beyond.
const LATE_ANSWER_WAIT: Duration = Duration::from_millis(300);

/// How many clients there are, and how they behave.
#[derive(Clone, Copy, Debug)]
pub struct RoamingOptions {
    /// Threads, each with one statement at a time.
    pub clients: usize,
    /// How they use several drivers.
    pub behavior: RoamingBehavior,
    /// Of their random choices.
    pub seed: u64,
}

/// A running load.
pub struct Load(Vec<JoinHandle<Vec<RoamingRecord>>>);

/// Starts the clients; due times of arrivals count from `from`.
pub fn start(
    store: &SharedStore,
    drivers: &[SocketAddr],
    arrivals: Arrivals,
    from: Timestamp,
    options: RoamingOptions,
) -> Load {
    let arrivals = Arc::new(Mutex::new(arrivals));
    let client = |n: usize| {
        let (arrivals, store, drivers) = (arrivals.clone(), store.clone(), drivers.to_vec());
        thread::spawn(move || {
            let mut client = Client {
                drivers,
                store,
                idle_connections: BTreeMap::new(),
                rng: fastrand::Rng::with_seed(options.seed << 16 | n as u64),
                behavior: options.behavior,
            };
            let next = || arrivals.lock().unwrap_or_else(PoisonError::into_inner).next();
            let mut all = Vec::new();
            while let Some(arrival) = next() {
                let due = from + arrival.at;
                pause(due - wall_clock_now());
                all.push(client.execute(&arrival, due));
            }
            all
        })
    };
    Load((0..options.clients).map(client).collect())
}

impl Load {
    /// Waits for all clients; records by due time.
    pub fn finish(self) -> Vec<RoamingRecord> {
        let ended = self.0.into_iter().filter_map(|client| client.join().ok());
        let mut all: Vec<RoamingRecord> = ended.flatten().collect();
        all.sort_by_key(|r| (r.record.due, r.record.id));
        all
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
    fn connect(&mut self, driver: usize, wait: Duration) -> io::Result<TcpStream> {
        if let Some(stream) = self.idle_connections.remove(&driver) {
            // A readable idle connection was closed by its driver.
            stream.set_nonblocking(true)?;
            let ended = !matches!(stream.peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock);
            stream.set_nonblocking(false)?;
            if !ended {
                return Ok(stream);
            }
        }
        let mut stream = TcpStream::connect_timeout(&self.drivers[driver], wait)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(wait))?;
        start_session(&mut stream)?;
        Ok(stream)
    }

    fn execute(&mut self, arrival: &Arrival, due: Timestamp) -> RoamingRecord {
        let (name, kind, timeout) = {
            let store = lock(&self.store);
            let workload = &store.workloads[arrival.workload];
            (workload.name, workload.kind, workload.timeout)
        };
        let until = wall_clock_now() + timeout;
        let is_write = matches!(kind, WorkloadKind::Write { .. });
        let count = self.drivers.len();
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
        let mut refused = 0;
        while attempts.len() < MAX_ATTEMPTS && wall_clock_now() + MIN_ATTEMPT_TIME < until {
            let remaining = until - wall_clock_now();
            let wait = Duration::from_micros(remaining.0.max(1000));
            let Ok(stream) = self.connect(driver, wait.min(MAX_CONNECT_WAIT)) else {
                // Nothing was sent there.
                driver = (driver + 1) % count;
                refused += 1;
                if refused % count == 0 {
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
            driver = (driver + 1 + self.rng.usize(0..count)) % count;
        }
        record.answered = wall_clock_now();
        RoamingRecord { record, attempts }
    }

    /// The session's own driver, or any for a client that roams.
    fn first_driver(&mut self, arrival: &Arrival) -> usize {
        let count = self.drivers.len();
        if self.rng.u32(0..1000) < self.behavior.roam_per_mille {
            return self.rng.usize(0..count);
        }
        arrival.session as usize % count
    }

    /// Sends a statement and waits for its answer, unless the client is to abandon it.
    fn attempt(
        &mut self,
        driver: usize,
        mut stream: TcpStream,
        statement: ClientStatement,
        abandoned: bool,
    ) -> Attempt {
        let listen = Duration::from_micros(statement.timeout.0) + LATE_ANSWER_WAIT;
        let _ = stream.set_read_timeout(Some(listen));
        let sent = wall_clock_now();
        let written = stream.write_all(&statement.encode());
        let outcome = if abandoned {
            pause(TimeSpan(self.rng.u64(0..MAX_ABANDON_DELAY_US)));
            ClientOutcome::NoAnswer
        } else {
            let answer = written.and_then(|()| answer(&mut stream));
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
