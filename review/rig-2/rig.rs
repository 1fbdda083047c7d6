//! Stand-ins for the cases of the second review: members, discovery and clients on loopback addresses, and the
//! driver as a separate process, started with the deploy file's command. Standard library only.
#![allow(dead_code)] // no case uses all of it

use std::collections::BTreeMap;
use std::fmt::Display;
use std::fs::File;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::{exit, Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Locks a mutex whether or not a thread has panicked with it.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Unix time in milliseconds: the clock that members, clients and discovery share.
pub fn unix_ms() -> f64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    elapsed.as_secs_f64() * 1000.0
}

pub fn sleep_ms(ms: f64) {
    if ms > 0.0 {
        thread::sleep(Duration::from_secs_f64(ms / 1000.0));
    }
}

/// Whether the case is to be played with its disruption (`TROUBLE=0` leaves it out).
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ends the case as one that couldn't run.
pub fn cannot_run(reason: impl Display) -> ! {
    eprintln!("cannot run: {reason}");
    exit(2)
}

pub fn need<T, E: Display>(result: Result<T, E>, what: &str) -> T {
    result.unwrap_or_else(|error| cannot_run(format!("{what}: {error}")))
}

/// The record of a case: what was sent, answered and run, with the milliseconds since its start.
#[derive(Clone)]
pub struct Record(Arc<(Mutex<File>, f64)>);

impl Record {
    pub fn create(path: &str) -> Record {
        Record(Arc::new((Mutex::new(need(File::create(path), "record")), unix_ms())))
    }

    /// Milliseconds since the start of the case.
    pub fn since_start(&self, at: f64) -> f64 {
        at - self.0 .1
    }

    pub fn line(&self, text: impl Display) {
        let at = self.since_start(unix_ms());
        let _ = writeln!(lock(&self.0 .0), "{at:10.1} {text}");
    }
}

pub fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut bytes = vec![kind];
    bytes.extend((body.len() as u32 + 4).to_be_bytes());
    bytes.extend(body);
    bytes
}

pub fn parameter(name: &str, value: &str) -> Vec<u8> {
    message(b'S', format!("{name}\0{value}\0").as_bytes())
}

pub fn row(value: &[u8]) -> Vec<u8> {
    let mut description = 1u16.to_be_bytes().to_vec();
    description.extend(b"blob\0");
    description.extend([0, 0, 0, 0, 0, 0, 0, 0, 0, 17, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 1]);
    let mut data = 1u16.to_be_bytes().to_vec();
    data.extend((value.len() as u32).to_be_bytes());
    data.extend(value);
    [message(b'T', &description), message(b'D', &data), message(b'C', b"SELECT 1\0")].concat()
}

pub fn error(code: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0VERROR\0C{code}\0Mstand-in\0\0").as_bytes())
}

pub fn read_startup(stream: &mut TcpStream) -> std::io::Result<()> {
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let mut rest = vec![0; (u32::from_be_bytes(length) as usize).clamp(4, 10_000) - 4];
    stream.read_exact(&mut rest)
}

/// Reads a message; returns its kind, its content and the time of its first byte.
pub fn read_message(stream: &mut TcpStream) -> std::io::Result<(u8, Vec<u8>, f64)> {
    let mut kind = [0];
    stream.read_exact(&mut kind)?;
    let first_byte_at = unix_ms();
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let length = u32::from_be_bytes(length) as usize;
    if !(4..=1 << 24).contains(&length) {
        return Err(ErrorKind::InvalidData.into());
    }
    let mut body = vec![0; length - 4];
    stream.read_exact(&mut body)?;
    Ok((kind[0], body, first_byte_at))
}

/// A port of this machine's loopback range that is free now.
pub fn listen_at(host: &str) -> (TcpListener, SocketAddr) {
    let listener = need(TcpListener::bind(format!("{host}:0")), "bind");
    let address = need(listener.local_addr(), "address");
    (listener, address)
}

pub fn free_address(host: &str) -> SocketAddr {
    listen_at(host).1
}

/// A statement as a member received it.
#[derive(Clone, Debug)]
pub struct Received {
    pub id: String,
    pub class: String,
    pub time_left_ms: f64,
    pub is_write: bool,
    /// The first quoted literal.
    pub key: String,
    pub text: String,
    pub first_byte_at: f64,
}

/// What a member answers.
pub enum Reply {
    /// A row, with the role and the position (Unix time in milliseconds).
    Row { value: Vec<u8>, rank: &'static str, as_of: f64 },
    /// An error with this SQLSTATE, with the role.
    Error { code: &'static str, rank: &'static str },
    /// The connection is closed without an answer.
    Close,
}

/// Handles a statement; it may sleep for as long as the work takes.
pub type Serve = dyn Fn(&Received) -> Reply + Send + Sync;
/// The load report: `x0=...,x1=...`.
pub type Vitals = dyn Fn() -> String + Send + Sync;

pub struct Member {
    pub name: String,
    pub address: SocketAddr,
}

fn field(text: &str, name: &str) -> String {
    let comment = text.split("*/").next().unwrap_or("").trim_start().trim_start_matches("/*");
    let mut fields = comment.split(',').filter_map(|f| f.trim().split_once('='));
    fields.find(|(n, _)| *n == name).map_or(String::new(), |(_, v)| v.to_owned())
}

fn serve_member(mut stream: TcpStream, serve: &Serve, vitals: &Vitals) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    read_startup(&mut stream)?;
    let ready = message(b'Z', b"I");
    stream.write_all(&[message(b'R', &[0; 4]), ready.clone()].concat())?;
    loop {
        let (kind, body, first_byte_at) = read_message(&mut stream)?;
        if kind != b'Q' {
            return Ok(());
        }
        let text = String::from_utf8_lossy(body.strip_suffix(b"\0").unwrap_or(&body)).into_owned();
        let answer = if text.starts_with("SHOW") {
            [row(vitals().as_bytes()), ready.clone()].concat()
        } else if text.starts_with("SELECT 1") {
            [row(b"1"), ready.clone()].concat()
        } else if text.trim().is_empty() {
            [message(b'I', b""), ready.clone()].concat()
        } else {
            let received = Received {
                id: field(&text, "id"),
                class: field(&text, "c"),
                time_left_ms: field(&text, "d").parse().unwrap_or(0.0),
                is_write: text.contains("INSERT"),
                key: text.split('\'').nth(1).unwrap_or("").to_owned(),
                first_byte_at,
                text,
            };
            match serve(&received) {
                Reply::Row { value, rank, as_of } => [
                    row(&value),
                    parameter("rank", rank),
                    parameter("as_of", &format!("{}", as_of as u64)),
                    ready.clone(),
                ]
                .concat(),
                Reply::Error { code, rank } => {
                    [error(code), parameter("rank", rank), ready.clone()].concat()
                }
                Reply::Close => return stream.shutdown(Shutdown::Both),
            }
        };
        stream.write_all(&answer)?;
    }
}

/// Starts a member that accepts any number of connections, each on a thread.
pub fn start_member(name: &str, host: &str, serve: Arc<Serve>, vitals: Arc<Vitals>) -> Member {
    let (listener, address) = listen_at(host);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (serve, vitals) = (serve.clone(), vitals.clone());
            thread::spawn(move || serve_member(stream, &*serve, &*vitals));
        }
    });
    Member { name: name.to_owned(), address }
}

/// An entry of the endpoint list.
#[derive(Clone)]
pub struct Endpoint {
    pub name: String,
    pub address: SocketAddr,
    pub zone: &'static str,
    pub group: u32,
    pub status: &'static str,
    pub rank: Option<&'static str>,
}

impl Endpoint {
    pub fn serving(member: &Member, zone: &'static str, group: u32) -> Endpoint {
        Endpoint {
            name: member.name.clone(),
            address: member.address,
            zone,
            group,
            status: "SERVING",
            rank: None,
        }
    }

    fn json(&self) -> String {
        let rank = self.rank.map_or(String::new(), |rank| format!(r#","rank":"{rank}""#));
        format!(
            r#"{{"name":"{}","address":"{}","zone":"{}","type":"m","group":{},"status":"{}","weight":1.0,"since_ms":0{rank}}}"#,
            self.name, self.address, self.zone, self.group, self.status
        )
    }
}

fn list_json<'a>(index: u64, is_complete: bool, entries: impl Iterator<Item = &'a Endpoint>) -> String {
    let entries: Vec<String> = entries.map(Endpoint::json).collect();
    format!(r#"{{"index":{index},"snapshot":{is_complete},"endpoints":[{}]}}"#, entries.join(","))
}

#[derive(Default)]
struct RegistryState {
    index: u64,
    /// Entries with the version of their last change.
    entries: BTreeMap<String, (u64, Endpoint)>,
    is_silent: bool,
}

/// Discovery: one list that any number of agents' addresses show.
#[derive(Clone, Default)]
pub struct Registry(Arc<(Mutex<RegistryState>, Condvar)>);

/// An address of discovery.
pub struct Front {
    pub address: SocketAddr,
    is_closing: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Registry {
    pub fn set(&self, endpoint: Endpoint) {
        let mut state = lock(&self.0 .0);
        state.index += 1;
        let index = state.index;
        state.entries.insert(endpoint.name.clone(), (index, endpoint));
        self.0 .1.notify_all();
    }

    /// Changes the status of a member.
    pub fn set_status(&self, name: &str, status: &'static str) {
        let endpoint = lock(&self.0 .0).entries.get(name).map(|(_, endpoint)| endpoint.clone());
        if let Some(endpoint) = endpoint {
            self.set(Endpoint { status, ..endpoint });
        }
    }

    /// While silent, requests are accepted and answered only when the silence has ended.
    pub fn set_silent(&self, is_silent: bool) {
        lock(&self.0 .0).is_silent = is_silent;
        self.0 .1.notify_all();
    }

    /// The complete list in discovery's form.
    pub fn complete_list(&self) -> String {
        let state = lock(&self.0 .0);
        list_json(state.index, true, state.entries.values().map(|(_, endpoint)| endpoint))
    }

    fn answer(&self, path: &str) -> String {
        let value = |name: &str| {
            let mut pairs = path.split(['?', '&']).filter_map(|pair| pair.split_once('='));
            pairs.find(|(n, _)| *n == name).and_then(|(_, v)| v.parse::<u64>().ok())
        };
        let after = value("after");
        let wait_until = Instant::now() + Duration::from_millis(value("wait_ms").unwrap_or(0).min(60_000));
        let mut state = lock(&self.0 .0);
        loop {
            let now = Instant::now();
            let is_due = after.is_none_or(|after| state.index > after) || now >= wait_until;
            if is_due && !state.is_silent {
                break;
            }
            let wait = wait_until.saturating_duration_since(now).max(Duration::from_millis(5));
            state = self.0 .1.wait_timeout(state, wait).unwrap_or_else(PoisonError::into_inner).0;
        }
        let entries = state.entries.values();
        match after {
            None => list_json(state.index, true, entries.map(|(_, endpoint)| endpoint)),
            Some(after) => {
                let changed = entries.filter(|(version, _)| *version > after);
                list_json(state.index, false, changed.map(|(_, endpoint)| endpoint))
            }
        }
    }

    fn serve(&self, mut stream: TcpStream, record: &Record) -> std::io::Result<()> {
        loop {
            let (mut head, mut byte) = (Vec::new(), [0]);
            while !head.ends_with(b"\r\n\r\n") {
                stream.read_exact(&mut byte)?;
                head.extend(byte);
            }
            let head = String::from_utf8_lossy(&head).into_owned();
            let path = head.split(' ').nth(1).unwrap_or("").to_owned();
            let from = stream.peer_addr()?;
            let body = self.answer(&path);
            let response = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            stream.write_all(response.as_bytes())?;
            if !body.contains("\"endpoints\":[]") {
                record.line(format!("discovery answered {from} {path}: {body}"));
            }
        }
    }

    /// Shows the list at an address of its own.
    pub fn open_front(&self, host: &str, record: &Record) -> Front {
        let (listener, address) = listen_at(host);
        need(listener.set_nonblocking(true), "discovery");
        let front = Front { address, is_closing: Arc::default(), streams: Arc::default() };
        let (is_closing, streams) = (front.is_closing.clone(), front.streams.clone());
        let (registry, record) = (self.clone(), record.clone());
        thread::spawn(move || {
            while !is_closing.load(Ordering::Acquire) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        lock(&streams).extend(stream.try_clone());
                        let (registry, record) = (registry.clone(), record.clone());
                        thread::spawn(move || registry.serve(stream, &record));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        front
    }
}

impl Front {
    /// Takes no new connection from now on, and closes the open ones after this time.
    pub fn close_after(&self, ms: f64) {
        self.is_closing.store(true, Ordering::Release);
        let streams = self.streams.clone();
        thread::spawn(move || {
            sleep_ms(ms);
            for stream in lock(&streams).drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        });
    }
}

/// A client's answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Row(Vec<u8>),
    Error(String),
    Empty,
    /// The connection ended without an answer.
    Closed,
    /// Nothing came in time.
    Nothing,
}

pub struct Client {
    pub stream: TcpStream,
}

impl Client {
    /// Connects and sends the startup message.
    pub fn connect(address: SocketAddr) -> std::io::Result<Client> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        let fields = b"user\0api\0database\0ledger\0\0";
        let mut startup = (fields.len() as u32 + 8).to_be_bytes().to_vec();
        startup.extend((3u32 << 16).to_be_bytes());
        startup.extend(fields);
        stream.write_all(&startup)?;
        let mut client = Client { stream };
        match client.read_answer(5000.0) {
            Answer::Empty => Ok(client),
            _ => Err(ErrorKind::ConnectionRefused.into()),
        }
    }

    pub fn send(&mut self, text: &str) -> std::io::Result<()> {
        self.stream.write_all(&message(b'Q', &[text.as_bytes(), b"\0"].concat()))
    }

    /// Reads up to the next ReadyForQuery.
    pub fn read_answer(&mut self, timeout_ms: f64) -> Answer {
        let deadline = unix_ms() + timeout_ms;
        let mut answer = Answer::Empty;
        loop {
            let left = deadline - unix_ms();
            if left <= 0.0 {
                return Answer::Nothing;
            }
            let _ = self.stream.set_read_timeout(Some(Duration::from_secs_f64(left / 1000.0)));
            match read_message(&mut self.stream) {
                Ok((b'D', body, _)) => answer = Answer::Row(body.get(6..).unwrap_or_default().to_vec()),
                Ok((b'E', body, _)) => {
                    let text = String::from_utf8_lossy(&body).into_owned();
                    let code = text.split('\0').find(|f| f.starts_with('C')).unwrap_or("C?????");
                    answer = Answer::Error(code[1..].to_owned());
                    if text.contains("SFATAL") {
                        return answer;
                    }
                }
                Ok((b'Z', _, _)) => return answer,
                Ok(_) => {}
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    return Answer::Nothing
                }
                Err(_) => return Answer::Closed,
            }
        }
    }

    pub fn query(&mut self, text: &str, timeout_ms: f64) -> Answer {
        match self.send(text) {
            Ok(()) => self.read_answer(timeout_ms),
            Err(_) => Answer::Closed,
        }
    }
}

/// The driver as a process, started with the deploy file's `run`.
pub struct Driver {
    child: Child,
    pub listen: SocketAddr,
    log: Arc<Mutex<Vec<String>>>,
}

fn run_command() -> String {
    let text = need(std::fs::read_to_string("deploy/balancer.toml"), "deploy/balancer.toml");
    let line = text.lines().find_map(|line| line.strip_prefix("run"));
    let value = line.and_then(|line| line.split('"').nth(1));
    value.unwrap_or_else(|| cannot_run("deploy/balancer.toml has no `run`")).to_owned()
}

/// The process that a line of the log names as started.
fn started_process(line: &str) -> Option<u32> {
    let pid: u32 = line.split(" as process ").nth(1)?.split_whitespace().next()?.parse().ok()?;
    Some(pid).filter(|pid| *pid > 1)
}

/// Notes a process for `run.sh`, which ends it if the case doesn't.
fn note_process(folder: &str, pid: u32) {
    if let Ok(mut file) = File::options().append(true).create(true).open(format!("{folder}/processes")) {
        let _ = writeln!(file, "{pid}");
    }
}

/// Replaces a file as an operator does: written beside it and renamed.
pub fn replace_file(path: &str, text: &str) {
    need(std::fs::write(format!("{path}.new"), text), "configuration");
    need(std::fs::rename(format!("{path}.new"), path), "configuration");
}

pub fn signal(pid: u32, name: &str) {
    let _ = Command::new("kill").arg(format!("-{name}")).arg(pid.to_string()).stderr(Stdio::null()).status();
}

impl Driver {
    /// Starts the driver with the configuration at this path and waits until it answers an empty query.
    pub fn start(name: &str, config: &str, folder: &str, listen: SocketAddr, record: &Record) -> Driver {
        let mut command = Command::new("/bin/sh");
        for variable in ["NAME", "LISTEN", "DISCOVERY"] {
            command.env_remove(format!("RELAY_{variable}"));
        }
        for variable in ["OPERATORS", "STATE", "CONTROL", "LOG_FORMAT"] {
            command.env_remove(format!("ASTERLATCH_{variable}"));
        }
        command.arg("-c").arg(run_command()).env("RELAY_CONFIG", config).env("TMPDIR", folder);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        let mut child = need(command.spawn(), "start the driver");
        note_process(folder, child.id());
        let log = Arc::<Mutex<Vec<String>>>::default();
        if let Some(stderr) = child.stderr.take() {
            let (log, record, name) = (log.clone(), record.clone(), name.to_owned());
            let folder = folder.to_owned();
            thread::spawn(move || {
                for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                    if let Some(pid) = started_process(&line) {
                        note_process(&folder, pid);
                    }
                    record.line(format!("log of {name}: {line}"));
                    lock(&log).push(line);
                }
            });
        }
        let mut driver = Driver { child, listen, log };
        let deadline = unix_ms() + 20_000.0;
        loop {
            let answer = Client::connect(listen).map(|mut client| client.query("", 2000.0));
            if matches!(answer, Ok(Answer::Empty)) {
                return driver;
            }
            if unix_ms() > deadline || driver.has_exited() {
                driver.end();
                cannot_run("the driver did not become ready");
            }
            sleep_ms(20.0);
        }
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn has_exited(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits until a line of the log has this text; returns it.
    pub fn wait_for_log(&self, text: &str, timeout_ms: f64) -> Option<String> {
        let deadline = unix_ms() + timeout_ms;
        loop {
            let found = lock(&self.log).iter().find(|line| line.contains(text)).cloned();
            if found.is_some() || unix_ms() > deadline {
                return found;
            }
            sleep_ms(2.0);
        }
    }

    /// Processes that the driver's log names as started by it, which are its successors.
    pub fn successors(&self) -> Vec<u32> {
        let log = lock(&self.log);
        log.iter().filter_map(|line| started_process(line)).collect()
    }

    /// Ends the driver and its successors.
    pub fn end(&mut self) {
        for pid in self.successors() {
            let command_line = std::fs::read(format!("/proc/{pid}/cmdline")).unwrap_or_default();
            if String::from_utf8_lossy(&command_line).contains("asterlatch") {
                signal(pid, "KILL");
            }
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Command line of a case: a temporary folder and the path of the record.
pub fn arguments() -> (String, String) {
    let mut arguments = std::env::args().skip(1);
    match (arguments.next(), arguments.next()) {
        (Some(folder), Some(record)) => (folder, record),
        _ => cannot_run("usage: case FOLDER RECORD"),
    }
}
