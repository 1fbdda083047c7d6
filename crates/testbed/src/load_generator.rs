//! Open-loop clients of one driver: a statement is sent when it is due, however many others await their
//! answers.

use crate::arrivals::{Arrival, Arrivals};
use crate::checker::{ClientOutcome, StatementRecord};
use crate::member::{lock, pause, SharedStore};
use crate::store_model::WorkloadKind;
use crate::wire::{decode_value, read_message, start_session, wall_clock_now, ClientStatement};
use asterlatch::time::{TimeSpan, Timestamp};
use std::io::{self, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Time for which a client reads on after its timeout, to tell late answers from missing ones.
const LATE_ANSWER_WAIT: TimeSpan = TimeSpan::millis(1000);

/// A running load.
pub struct Load(Vec<JoinHandle<Vec<StatementRecord>>>);

/// Starts `clients` client threads; due times of arrivals count from `from`.
pub fn start(
    store: &SharedStore,
    address: SocketAddr,
    arrivals: Arrivals,
    from: Timestamp,
    clients: usize,
) -> Load {
    let arrivals = Arc::new(Mutex::new(arrivals));
    let client = |_| {
        let (arrivals, store) = (arrivals.clone(), store.clone());
        thread::spawn(move || {
            let mut client = Client {
                address,
                store,
                idle_connection: None,
                records: Vec::new(),
            };
            let next = || arrivals.lock().unwrap_or_else(PoisonError::into_inner).next();
            while let Some(arrival) = next() {
                let due = from + arrival.at;
                pause(due - wall_clock_now());
                client.execute(&arrival, due);
            }
            client.check_trailing_bytes();
            client.records
        })
    };
    Load((0..clients).map(client).collect())
}

impl Load {
    /// Waits for all clients; returns their records, sorted by due time.
    pub fn finish(self) -> Vec<StatementRecord> {
        let finished = self.0.into_iter().filter_map(|client| client.join().ok());
        let mut records: Vec<StatementRecord> = finished.flatten().collect();
        records.sort_by_key(|r| (r.due, r.id));
        records
    }
}

struct Client {
    address: SocketAddr,
    store: SharedStore,
    idle_connection: Option<TcpStream>,
    records: Vec<StatementRecord>,
}

impl Client {
    /// Records whether the idle connection carries data after the last answer.
    fn check_trailing_bytes(&mut self) {
        let Some(stream) = &self.idle_connection else {
            return;
        };
        let _ = stream.set_nonblocking(true);
        let has_trailing_bytes = matches!(stream.peek(&mut [0]), Ok(n) if n > 0);
        let _ = stream.set_nonblocking(false);
        if let Some(last) = self.records.last_mut() {
            last.has_trailing_bytes |= has_trailing_bytes;
        }
    }

    fn connect(&self, timeout: TimeSpan) -> io::Result<TcpStream> {
        let mut stream = TcpStream::connect(self.address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_micros(timeout.0 + LATE_ANSWER_WAIT.0)))?;
        start_session(&mut stream)?;
        Ok(stream)
    }

    fn execute(&mut self, arrival: &Arrival, due: Timestamp) {
        self.check_trailing_bytes();
        let (name, kind, timeout) = {
            let store = lock(&self.store);
            let workload = &store.workloads[arrival.workload];
            (workload.name, workload.kind, workload.timeout)
        };
        let query = ClientStatement {
            id: arrival.id,
            workload: name,
            timeout,
            group: arrival.group,
            session: arrival.session,
            is_write: matches!(kind, WorkloadKind::Write { .. }),
            is_retry: false,
        }
        .encode();
        let mut sent = wall_clock_now();
        let mut outcome = ClientOutcome::ConnectionRefused;
        // A statement that no member has received is sent once more, on a new connection.
        for is_second_attempt in [false, true] {
            let idle_connection = self.idle_connection.take().filter(|_| !is_second_attempt);
            let deadline = wall_clock_now() + timeout;
            let mut stream = idle_connection
                .ok_or(io::Error::from(ErrorKind::NotConnected))
                .or_else(|_| self.connect(timeout));
            while stream.is_err() && wall_clock_now() < deadline {
                pause(TimeSpan::millis(5));
                stream = self.connect(timeout);
            }
            let Ok(mut stream) = stream else { break };
            let _ = stream.set_read_timeout(Some(Duration::from_micros(timeout.0 + LATE_ANSWER_WAIT.0)));
            sent = wall_clock_now();
            outcome = match stream.write_all(&query).and_then(|()| read_answer(&mut stream)) {
                Ok(outcome) => {
                    self.idle_connection = Some(stream);
                    outcome
                }
                Err(_) => ClientOutcome::NoAnswer,
            };
            if outcome != ClientOutcome::NoAnswer || lock(&self.store).has_received(arrival.id) {
                break;
            }
        }
        self.records.push(StatementRecord {
            id: arrival.id,
            workload: arrival.workload,
            group: arrival.group,
            session: arrival.session,
            due,
            sent,
            answered: wall_clock_now(),
            outcome,
            has_trailing_bytes: false,
        });
    }
}

/// Reads messages up to `ReadyForQuery`; returns the outcome that they report.
pub fn read_answer(stream: &mut TcpStream) -> io::Result<ClientOutcome> {
    let mut outcome = None;
    loop {
        let (kind, body) = read_message(stream, true)?;
        match kind {
            b'D' => {
                let row = body.get(6..).and_then(decode_value);
                let (id, position) = row.ok_or(ErrorKind::InvalidData)?;
                outcome = Some(ClientOutcome::Row { id, position });
            }
            b'E' => {
                let code = body.split(|b| *b == 0).find_map(|field| field.strip_prefix(b"C"));
                let is_rejection = matches!(code, Some(b"53300" | b"57P03"));
                outcome = Some(if is_rejection {
                    ClientOutcome::Rejected
                } else {
                    ClientOutcome::Aborted
                });
            }
            b'Z' => return outcome.ok_or(ErrorKind::InvalidData.into()),
            _ => {}
        }
    }
}
