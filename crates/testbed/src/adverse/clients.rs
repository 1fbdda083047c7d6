//! Additional clients: some stall in the middle of a request, some send statements with a short timeout, and
//! some send their load only after an idle period.

use crate::arrivals::Arrivals;
use crate::checker::{check, ClientOutcome, StatementRecord, VIOLATIONS};
use crate::cluster::{Findings, RunContext};
use crate::load_generator::{self, read_answer};
use crate::member::{lock, pause};
use crate::store_model::WorkloadKind;
use crate::wire::{message, read_message, start_session, wall_clock_now, ClientStatement};
use asterlatch::time::{TimeSpan, Timestamp};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Time within which a driver has to end a stalled client, by an error or by closing the connection.
const MAX_STALL: Duration = Duration::from_secs(3);
/// Read timeout of a stalled client; longer than `MAX_STALL`.
const STALLED_READ_TIMEOUT: Duration = Duration::from_secs(4);
/// Number of clients per driver and stall point.
const CLIENTS_PER_STALL_POINT: usize = 4;
/// An answer that is later than this after the statement's timeout counts as missing.
const LATE_ANSWER_WAIT: TimeSpan = TimeSpan::millis(500);
/// Tolerance for late answers.
const PROTOCOL_SLACK: TimeSpan = TimeSpan::millis(50);
/// Maximum timeout of a statement with a short timeout.
const MAX_SHORT_TIMEOUT_MS: u64 = 20;
/// Pause of a client between two statements with a short timeout.
const SHORT_TIMEOUT_PAUSE: TimeSpan = TimeSpan::millis(15);
const SHORT_TIMEOUT_CLIENTS_PER_DRIVER: u32 = 4;
/// First id of the additional clients' statements, above all ids of the ordinary load.
const FIRST_EXTRA_ID: u64 = 1 << 60;
const FIRST_SHORT_TIMEOUT_SESSION: u32 = 1 << 20;

/// Violation: a stalled client was not ended in time.
pub const STALLED_CLIENT_NOT_ENDED: &str = "stalled client: neither an error nor a close within 3 s";
/// Violation: a statement with a short timeout got no answer.
pub const SHORT_TIMEOUT_UNANSWERED: &str = "short timeout: no final answer within 500 ms after the timeout";
/// Violation: data after the final answer of a statement with a short timeout.
pub const SHORT_TIMEOUT_TRAILING_DATA: &str = "short timeout: data after the final answer";

/// Where a client stalls.
#[derive(Clone, Copy, Debug)]
enum StallPoint {
    /// Within the startup message.
    Startup,
    /// Within the header of its first query message.
    FirstHead,
    /// Within the text of its first query message.
    FirstText,
    /// Within the text of a query message after an answered one.
    LaterText,
    /// Within a query message that was sent together with a complete one before it.
    Pipelined,
}

const STALL_POINTS: [StallPoint; 5] = [
    StallPoint::Startup,
    StallPoint::FirstHead,
    StallPoint::FirstText,
    StallPoint::LaterText,
    StallPoint::Pipelined,
];

/// Runs clients that stall at each driver, at each point of a request.
pub fn run_stalled_clients(context: &RunContext) -> Findings {
    let mut clients = Vec::new();
    for (driver, address) in context.drivers.iter().copied().enumerate() {
        for stall_point in STALL_POINTS {
            for n in 0..CLIENTS_PER_STALL_POINT {
                let id = FIRST_EXTRA_ID
                    + ((driver * STALL_POINTS.len() + stall_point as usize) * CLIENTS_PER_STALL_POINT + n)
                        as u64
                        * 2;
                clients.push((
                    stall_point,
                    thread::spawn(move || stall_and_wait(address, stall_point, id)),
                ));
            }
        }
    }
    let mut findings = Findings::default();
    let mut max_duration = Duration::ZERO;
    for (stall_point, client) in clients {
        let ended = client.join().ok().and_then(io::Result::ok);
        match ended {
            Some(duration) if duration <= MAX_STALL => max_duration = max_duration.max(duration),
            _ => {
                *findings.violations.entry(STALLED_CLIENT_NOT_ENDED).or_default() += 1;
                findings.notes.push(format!(
                    "client stalled at {stall_point:?}: time until its end {ended:?}"
                ));
            }
        }
    }
    let note = format!(
        "stalled clients were ended within {} ms",
        max_duration.as_millis()
    );
    findings.notes.push(note);
    findings
}

fn encode_read(id: u64) -> Vec<u8> {
    let statement = ClientStatement {
        id,
        workload: "history-view",
        timeout: TimeSpan::millis(1500),
        group: 1,
        session: 1,
        is_write: false,
        is_retry: false,
    };
    statement.encode()
}

/// Stalls at `stall_point`; returns the time until an error or the end of the connection arrives.
fn stall_and_wait(address: SocketAddr, stall_point: StallPoint, id: u64) -> io::Result<Duration> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(STALLED_READ_TIMEOUT))?;
    let statement = encode_read(id);
    let half = &statement[..statement.len() / 2];
    match stall_point {
        StallPoint::Startup => stream.write_all(&[0, 0, 0, 40, 0, 3])?,
        StallPoint::FirstHead => {
            start_session(&mut stream)?;
            stream.write_all(&message(b'Q', b"")[..3])?;
        }
        StallPoint::FirstText => {
            start_session(&mut stream)?;
            stream.write_all(half)?;
        }
        StallPoint::LaterText => {
            start_session(&mut stream)?;
            stream.write_all(&encode_read(id + 1))?;
            read_answer(&mut stream)?;
            stream.write_all(half)?;
        }
        StallPoint::Pipelined => {
            start_session(&mut stream)?;
            stream.write_all(&[&encode_read(id + 1)[..], half].concat())?;
            read_answer(&mut stream)?;
        }
    }
    let stalled_at = Instant::now();
    loop {
        match read_message(&mut stream, true) {
            Ok((b'E', _)) => return Ok(stalled_at.elapsed()),
            Ok(_) => {}
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                return Err(e)
            }
            Err(_) => return Ok(stalled_at.elapsed()),
        }
    }
}

/// Runs clients at each driver whose statements have timeouts of 1 to 20 ms.
pub fn run_short_timeout_clients(context: &RunContext) -> Findings {
    let mut clients = Vec::new();
    for (driver, address) in context.drivers.iter().copied().enumerate() {
        for n in 0..SHORT_TIMEOUT_CLIENTS_PER_DRIVER {
            let number = driver as u32 * SHORT_TIMEOUT_CLIENTS_PER_DRIVER + n;
            let mut client = ShortTimeoutClient {
                address,
                workloads: lock(&context.store)
                    .workloads
                    .iter()
                    .map(|w| (w.name, w.kind))
                    .collect(),
                session: FIRST_SHORT_TIMEOUT_SESSION + number,
                rng: fastrand::Rng::with_seed(context.seed << 16 | u64::from(number)),
                next_id: FIRST_EXTRA_ID + (u64::from(number) << 32),
                idle_connection: None,
                statements: Vec::new(),
            };
            let seconds = context.seconds;
            clients.push(thread::spawn(move || {
                let deadline = wall_clock_now() + TimeSpan((seconds * 1e6) as u64);
                while wall_clock_now() < deadline {
                    client.execute();
                    pause(SHORT_TIMEOUT_PAUSE);
                }
                client.statements
            }));
        }
    }
    let ended = clients.into_iter().filter_map(|client| client.join().ok());
    let statements: Vec<ShortTimeoutStatement> = ended.flatten().collect();
    check_short_timeouts(context, &statements)
}

/// Length of the load after the idle period.
const LOAD_AFTER_IDLE: TimeSpan = TimeSpan::millis(6000);
const CLIENTS_AFTER_IDLE: usize = 24;
/// Minimum fraction of that load that has to be answered with a row.
const MIN_COMPLETED_AFTER_IDLE: f64 = 0.9;

/// Violation: too few statements after the idle period were answered with a row.
pub const TOO_FEW_COMPLETED_AFTER_IDLE: &str =
    "idle period: too few statements after it were answered with a row";

/// Runs a short load, an idle period, and a load at `rate` statements per second at each driver in the last
/// seconds.
pub fn run_load_after_idle(context: &RunContext, rate: f64) -> Findings {
    run_load_at_all(context, rate, TimeSpan::millis(500), context.seed + 1000);
    let idle_period = TimeSpan((context.seconds * 1e6) as u64 - 500_000) - LOAD_AFTER_IDLE;
    pause(idle_period);
    let loads = run_load_at_all(context, rate, LOAD_AFTER_IDLE, context.seed + 2000);
    let mut findings = Findings::default();
    let (mut submitted, mut completed) = (0, 0);
    // Checked driver by driver: read-your-writes holds only within one driver.
    for records in loads {
        let report = check(&lock(&context.store), &records);
        submitted += report.submitted();
        completed += report.completed();
        for (rule, count) in report
            .violations
            .iter()
            .enumerate()
            .filter(|(_, count)| **count > 0)
        {
            *findings.violations.entry(VIOLATIONS[rule]).or_default() += count;
        }
    }
    findings.notes.push(format!(
        "after the idle period: {submitted} submitted, {completed} completed"
    ));
    if (completed as f64) < MIN_COMPLETED_AFTER_IDLE * submitted as f64 || submitted == 0 {
        findings
            .violations
            .insert(TOO_FEW_COMPLETED_AFTER_IDLE, submitted - completed);
    }
    findings
}

/// Runs a load at each driver; returns the records of each.
fn run_load_at_all(context: &RunContext, rate: f64, span: TimeSpan, seed: u64) -> Vec<Vec<StatementRecord>> {
    let (workloads, groups) = {
        let store = lock(&context.store);
        (store.workloads.clone(), store.groups())
    };
    let from = wall_clock_now();
    let drivers = context.drivers.iter().copied().zip(seed..);
    let loads: Vec<load_generator::Load> = drivers
        .map(|(address, seed)| {
            let arrivals = Arrivals::new(&workloads, rate, groups, span, seed);
            load_generator::start(&context.store, address, arrivals, from, CLIENTS_AFTER_IDLE)
        })
        .collect();
    loads.into_iter().map(load_generator::Load::finish).collect()
}

/// A statement with a short timeout, from its client's view.
#[derive(Clone, Copy, Debug)]
struct ShortTimeoutStatement {
    timeout: TimeSpan,
    record: StatementRecord,
}

fn check_short_timeouts(context: &RunContext, statements: &[ShortTimeoutStatement]) -> Findings {
    let mut findings = Findings::default();
    let latency = |s: &ShortTimeoutStatement| s.record.answered - s.record.sent;
    let is_unanswered = |s: &&ShortTimeoutStatement| {
        s.record.outcome == ClientOutcome::NoAnswer || latency(s) > s.timeout + LATE_ANSWER_WAIT
    };
    let is_late = |s: &&ShortTimeoutStatement| latency(s) > s.timeout + PROTOCOL_SLACK;
    let rules: [(&'static str, usize); 2] = [
        (
            SHORT_TIMEOUT_UNANSWERED,
            statements.iter().filter(is_unanswered).count(),
        ),
        (
            SHORT_TIMEOUT_TRAILING_DATA,
            statements.iter().filter(|s| s.record.has_trailing_bytes).count(),
        ),
    ];
    for (violation, count) in rules.into_iter().filter(|(_, count)| *count > 0) {
        findings.violations.insert(violation, count as u64);
    }
    let records: Vec<StatementRecord> = statements.iter().map(|s| s.record).collect();
    let report = check(&lock(&context.store), &records);
    for (rule, count) in report
        .violations
        .iter()
        .enumerate()
        .filter(|(_, count)| **count > 0)
    {
        *findings.violations.entry(VIOLATIONS[rule]).or_default() += count;
    }
    let count = |outcome: fn(&ClientOutcome) -> bool| records.iter().filter(|r| outcome(&r.outcome)).count();
    findings.notes.push(format!(
        "short timeout: {} submitted, {} completed, {} rejected, {} aborted, \
         {} answered over 50 ms after their timeout, max latency {} ms",
        records.len(),
        count(|o| matches!(o, ClientOutcome::Row { .. })),
        count(|o| *o == ClientOutcome::Rejected),
        count(|o| *o == ClientOutcome::Aborted),
        statements.iter().filter(is_late).count(),
        statements.iter().map(latency).max().unwrap_or_default().0 / 1000,
    ));
    findings
}

struct ShortTimeoutClient {
    address: SocketAddr,
    workloads: Vec<(&'static str, WorkloadKind)>,
    /// Not shared with other clients: read-your-writes holds only within one driver.
    session: u32,
    rng: fastrand::Rng,
    next_id: u64,
    idle_connection: Option<TcpStream>,
    statements: Vec<ShortTimeoutStatement>,
}

impl ShortTimeoutClient {
    fn connect(&self) -> io::Result<TcpStream> {
        let mut stream = TcpStream::connect(self.address)?;
        stream.set_nodelay(true)?;
        start_session(&mut stream)?;
        Ok(stream)
    }

    /// Takes the idle connection unless its driver has closed it. Records data after the last answer as a
    /// violation.
    fn take_idle_connection(&mut self) -> Option<TcpStream> {
        let stream = self.idle_connection.take()?;
        stream.set_nonblocking(true).ok()?;
        let peeked = stream.peek(&mut [0]);
        stream.set_nonblocking(false).ok()?;
        match peeked {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Some(stream),
            Ok(1..) => {
                if let Some(last) = self.statements.last_mut() {
                    last.record.has_trailing_bytes = true;
                }
                None
            }
            _ => None,
        }
    }

    fn execute(&mut self) {
        let Some(mut stream) = self.take_idle_connection().or_else(|| self.connect().ok()) else {
            return;
        };
        let workload = self.rng.usize(0..self.workloads.len());
        let (name, kind) = self.workloads[workload];
        let timeout = TimeSpan::millis(self.rng.u64(1..=MAX_SHORT_TIMEOUT_MS));
        let statement = ClientStatement {
            id: self.next_id,
            workload: name,
            timeout,
            group: self.rng.u32(1..=2),
            session: self.session,
            is_write: matches!(kind, WorkloadKind::Write { .. }),
            is_retry: false,
        };
        self.next_id += 1;
        let read_timeout = Duration::from_micros(timeout.0 + LATE_ANSWER_WAIT.0);
        let _ = stream.set_read_timeout(Some(read_timeout));
        let sent: Timestamp = wall_clock_now();
        let answered = stream
            .write_all(&statement.encode())
            .and_then(|()| read_answer(&mut stream));
        if answered.is_ok() {
            self.idle_connection = Some(stream);
        }
        self.statements.push(ShortTimeoutStatement {
            timeout,
            record: StatementRecord {
                id: statement.id,
                workload,
                group: statement.group,
                session: statement.session,
                due: sent,
                sent,
                answered: wall_clock_now(),
                outcome: answered.unwrap_or(ClientOutcome::NoAnswer),
                has_trailing_bytes: false,
            },
        });
    }
}
