//! Clients that stop in the middle of a request and stay, and clients whose statements have little time left.

use crate::arrivals::Arrivals;
use crate::checker::{check, ClientOutcome, StatementRecord, VIOLATIONS};
use crate::cluster::{Findings, Surroundings};
use crate::load_generator::{self, read_answer};
use crate::member::{lock, pause};
use crate::store_model::WorkloadKind;
use crate::wire::{message, read_message, start_session, wall_clock_now, ClientStatement};
use asterlatch::time::{TimeSpan, Timestamp};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// What a client that stopped is owed an error or a close within.
const STOPPED_LIMIT: Duration = Duration::from_secs(3);
/// How long it stays to find out.
const STOPPED_WAIT: Duration = Duration::from_secs(4);
/// Clients that stop in the same way at the same driver.
const STOPPED_EACH: usize = 4;
/// An answer later than this behind the statement's time counts as none.
const LATEST_ANSWER: TimeSpan = TimeSpan::millis(500);
/// The protocol's slack for answers.
const PROTOCOL_SLACK: TimeSpan = TimeSpan::millis(50);
/// Most time that a hurried statement has left, in milliseconds.
const MOST_HURRIED_MS: u64 = 20;
/// Between two statements of a hurried client.
const HURRIED_PAUSE: TimeSpan = TimeSpan::millis(15);
const HURRIED_EACH: u32 = 4;
/// Hurried statements are numbered from here, apart from those of the ordinary load.
const FIRST_HURRIED_ID: u64 = 1 << 60;
const FIRST_HURRIED_SESSION: u32 = 1 << 20;

/// Rule: a client that stopped got neither an error nor a close.
pub const STOPPED_AND_KEPT: &str = "stopped: neither an error nor a close within 3 s";
/// Rule: a statement with little time left got no answer.
pub const HURRIED_AND_LOST: &str = "hurried: no final answer within half a second behind its time";
/// Rule: more than one answer.
pub const HURRIED_TWICE: &str = "hurried: something came behind the final answer";

/// Where a client stops.
#[derive(Clone, Copy, Debug)]
enum Stop {
    /// Within the startup message.
    Startup,
    /// Within the head of its first statement.
    FirstHead,
    /// Within the text of its first statement.
    FirstText,
    /// Within the text of a statement behind one that was answered.
    LaterText,
    /// Behind a whole statement, within the next, which came with it.
    Pipelined,
}

const STOPS: [Stop; 5] = [
    Stop::Startup,
    Stop::FirstHead,
    Stop::FirstText,
    Stop::LaterText,
    Stop::Pipelined,
];

/// Clients that stop in the middle of a request at each driver, in each way.
pub fn stopping(surroundings: &Surroundings) -> Findings {
    let mut waiting = Vec::new();
    for (driver, address) in surroundings.drivers.iter().copied().enumerate() {
        for stop in STOPS {
            for n in 0..STOPPED_EACH {
                let id =
                    FIRST_HURRIED_ID + ((driver * STOPS.len() + stop as usize) * STOPPED_EACH + n) as u64 * 2;
                waiting.push((stop, thread::spawn(move || stop_and_wait(address, stop, id))));
            }
        }
    }
    let mut findings = Findings::default();
    let mut longest = Duration::ZERO;
    for (stop, client) in waiting {
        let ended = client.join().ok().and_then(io::Result::ok);
        match ended {
            Some(after) if after <= STOPPED_LIMIT => longest = longest.max(after),
            _ => {
                *findings.violations.entry(STOPPED_AND_KEPT).or_default() += 1;
                findings
                    .notes
                    .push(format!("stopped at {stop:?}: ended {ended:?}"));
            }
        }
    }
    let line = format!(
        "clients that stopped were ended within {} ms",
        longest.as_millis()
    );
    findings.notes.push(line);
    findings
}

fn read_of(id: u64) -> Vec<u8> {
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

/// Stops as told; how long it then takes until an error or the connection's end comes.
fn stop_and_wait(address: SocketAddr, stop: Stop, id: u64) -> io::Result<Duration> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(STOPPED_WAIT))?;
    let statement = read_of(id);
    let half = &statement[..statement.len() / 2];
    match stop {
        Stop::Startup => stream.write_all(&[0, 0, 0, 40, 0, 3])?,
        Stop::FirstHead => {
            start_session(&mut stream)?;
            stream.write_all(&message(b'Q', b"")[..3])?;
        }
        Stop::FirstText => {
            start_session(&mut stream)?;
            stream.write_all(half)?;
        }
        Stop::LaterText => {
            start_session(&mut stream)?;
            stream.write_all(&read_of(id + 1))?;
            read_answer(&mut stream)?;
            stream.write_all(half)?;
        }
        Stop::Pipelined => {
            start_session(&mut stream)?;
            stream.write_all(&[&read_of(id + 1)[..], half].concat())?;
            read_answer(&mut stream)?;
        }
    }
    let stopped_at = Instant::now();
    loop {
        match read_message(&mut stream, true) {
            Ok((b'E', _)) => return Ok(stopped_at.elapsed()),
            Ok(_) => {}
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                return Err(e)
            }
            Err(_) => return Ok(stopped_at.elapsed()),
        }
    }
}

/// Clients at each driver whose statements have 1 to 20 ms left.
pub fn hurried(surroundings: &Surroundings) -> Findings {
    let mut clients = Vec::new();
    for (driver, address) in surroundings.drivers.iter().copied().enumerate() {
        for n in 0..HURRIED_EACH {
            let number = driver as u32 * HURRIED_EACH + n;
            let mut client = HurriedClient {
                address,
                workloads: lock(&surroundings.store)
                    .workloads
                    .iter()
                    .map(|w| (w.name, w.kind))
                    .collect(),
                session: FIRST_HURRIED_SESSION + number,
                rng: fastrand::Rng::with_seed(surroundings.seed << 16 | u64::from(number)),
                next_id: FIRST_HURRIED_ID + (u64::from(number) << 32),
                idle: None,
                statements: Vec::new(),
            };
            let seconds = surroundings.seconds;
            clients.push(thread::spawn(move || {
                let until = wall_clock_now() + TimeSpan((seconds * 1e6) as u64);
                while wall_clock_now() < until {
                    client.execute();
                    pause(HURRIED_PAUSE);
                }
                client.statements
            }));
        }
    }
    let ended = clients.into_iter().filter_map(|client| client.join().ok());
    let statements: Vec<HurriedStatement> = ended.flatten().collect();
    judge_hurried(surroundings, &statements)
}

/// Length of the load that follows a silence.
const BEHIND_SILENCE: TimeSpan = TimeSpan::millis(6000);
const CLIENTS_BEHIND_SILENCE: usize = 24;
/// Least share of it that has to be answered with a row.
const MIN_COMPLETED_BEHIND_SILENCE: f64 = 0.9;

/// Rule: too little of the load that follows a silence was answered with a row.
pub const UNSERVED_BEHIND_SILENCE: &str = "silence: too few statements behind it were answered with a row";

/// Clients that have asked once at the begin, and then nothing until the last seconds.
pub fn silent(surroundings: &Surroundings, rate: f64) -> Findings {
    load_at_all(
        surroundings,
        rate,
        TimeSpan::millis(500),
        surroundings.seed + 1000,
    );
    let silence = TimeSpan((surroundings.seconds * 1e6) as u64 - 500_000) - BEHIND_SILENCE;
    pause(silence);
    let loads = load_at_all(surroundings, rate, BEHIND_SILENCE, surroundings.seed + 2000);
    let mut findings = Findings::default();
    let (mut asked, mut completed) = (0, 0);
    // By driver: what a session wrote at another one binds nothing.
    for records in loads {
        let report = check(&lock(&surroundings.store), &records);
        asked += report.submitted();
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
        "behind the silence: {asked} asked, {completed} completed"
    ));
    if (completed as f64) < MIN_COMPLETED_BEHIND_SILENCE * asked as f64 || asked == 0 {
        findings
            .violations
            .insert(UNSERVED_BEHIND_SILENCE, asked - completed);
    }
    findings
}

/// Puts a load on each driver; records by driver.
fn load_at_all(
    surroundings: &Surroundings,
    rate: f64,
    span: TimeSpan,
    seed: u64,
) -> Vec<Vec<StatementRecord>> {
    let (workloads, groups) = {
        let store = lock(&surroundings.store);
        (store.workloads.clone(), store.groups())
    };
    let from = wall_clock_now();
    let drivers = surroundings.drivers.iter().copied().zip(seed..);
    let loads: Vec<load_generator::Load> = drivers
        .map(|(address, seed)| {
            let arrivals = Arrivals::new(&workloads, rate, groups, span, seed);
            load_generator::start(
                &surroundings.store,
                address,
                arrivals,
                from,
                CLIENTS_BEHIND_SILENCE,
            )
        })
        .collect();
    loads.into_iter().map(load_generator::Load::finish).collect()
}

/// A statement with little time left, as its client saw it.
#[derive(Clone, Copy, Debug)]
struct HurriedStatement {
    time_left: TimeSpan,
    record: StatementRecord,
}

fn judge_hurried(surroundings: &Surroundings, statements: &[HurriedStatement]) -> Findings {
    let mut findings = Findings::default();
    let took = |s: &HurriedStatement| s.record.answered - s.record.sent;
    let is_lost = |s: &&HurriedStatement| {
        s.record.outcome == ClientOutcome::NoAnswer || took(s) > s.time_left + LATEST_ANSWER
    };
    let is_late = |s: &&HurriedStatement| took(s) > s.time_left + PROTOCOL_SLACK;
    let rules: [(&'static str, usize); 2] = [
        (HURRIED_AND_LOST, statements.iter().filter(is_lost).count()),
        (
            HURRIED_TWICE,
            statements.iter().filter(|s| s.record.has_trailing_bytes).count(),
        ),
    ];
    for (rule, count) in rules.into_iter().filter(|(_, count)| *count > 0) {
        findings.violations.insert(rule, count as u64);
    }
    let records: Vec<StatementRecord> = statements.iter().map(|s| s.record).collect();
    let report = check(&lock(&surroundings.store), &records);
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
        "hurried: {} asked, {} completed, {} rejected, {} aborted, {} over 50 ms behind their time, latest answer {} ms after it was sent",
        records.len(),
        count(|o| matches!(o, ClientOutcome::Row { .. })),
        count(|o| *o == ClientOutcome::Rejected),
        count(|o| *o == ClientOutcome::Aborted),
        statements.iter().filter(is_late).count(),
        statements.iter().map(took).max().unwrap_or_default().0 / 1000,
    ));
    findings
}

struct HurriedClient {
    address: SocketAddr,
    workloads: Vec<(&'static str, WorkloadKind)>,
    /// Its own: what a session wrote at another driver binds nothing here.
    session: u32,
    rng: fastrand::Rng,
    next_id: u64,
    idle: Option<TcpStream>,
    statements: Vec<HurriedStatement>,
}

impl HurriedClient {
    fn connect(&self) -> io::Result<TcpStream> {
        let mut stream = TcpStream::connect(self.address)?;
        stream.set_nodelay(true)?;
        start_session(&mut stream)?;
        Ok(stream)
    }

    /// Notes whether something came behind the last answer, or the connection ended, which a driver may do.
    fn take_idle(&mut self) -> Option<TcpStream> {
        let stream = self.idle.take()?;
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
        let Some(mut stream) = self.take_idle().or_else(|| self.connect().ok()) else {
            return;
        };
        let workload = self.rng.usize(0..self.workloads.len());
        let (name, kind) = self.workloads[workload];
        let time_left = TimeSpan::millis(self.rng.u64(1..=MOST_HURRIED_MS));
        let statement = ClientStatement {
            id: self.next_id,
            workload: name,
            timeout: time_left,
            group: self.rng.u32(1..=2),
            session: self.session,
            is_write: matches!(kind, WorkloadKind::Write { .. }),
            is_retry: false,
        };
        self.next_id += 1;
        let wait = Duration::from_micros(time_left.0 + LATEST_ANSWER.0);
        let _ = stream.set_read_timeout(Some(wait));
        let sent: Timestamp = wall_clock_now();
        let answered = stream
            .write_all(&statement.encode())
            .and_then(|()| read_answer(&mut stream));
        if answered.is_ok() {
            self.idle = Some(stream);
        }
        self.statements.push(HurriedStatement {
            time_left,
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
