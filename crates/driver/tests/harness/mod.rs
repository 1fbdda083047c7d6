//! Runs the built program against fake members and a fake discovery service on loopback.
#![allow(dead_code)] // no test file uses all of it

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, AtomicU8, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Bounds each wait of a test, so that a failing test ends. Passing tests never wait for it to elapse.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(30);

use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_fault_injection::FaultPlan;
use asterlatch_testbed::program_under_test::inject_faults;
pub(crate) use asterlatch_testbed::wire::message;
use asterlatch_testbed::wire::{self, data_row, parameter_status, wall_clock_now};

pub(crate) fn read_message(stream: &mut TcpStream) -> Option<(u8, Vec<u8>)> {
    wire::read_message(stream, true).ok()
}

/// Binds a listener to a loopback address of its own, so that no other socket reuses the address and port
/// after it is closed.
pub(crate) fn bind_listener() -> (TcpListener, SocketAddr) {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let last_octet = NEXT.fetch_add(1, Ordering::Relaxed);
    let host = format!(
        "127.{}.{}.{last_octet}:0",
        10 + std::process::id() % 200,
        std::process::id() / 200 % 250
    );
    let listener = TcpListener::bind(host).expect("bind a loopback address");
    let address = listener.local_addr().expect("read the bound address");
    (listener, address)
}

/// Serializes spawning of processes and choice of addresses: until its `exec`, a new process holds copies of
/// all descriptors of this one, so that an address closed meanwhile would still be in use.
pub(crate) static SPAWN_LOCK: Mutex<()> = Mutex::new(());

/// Returns an address at which nobody listens.
pub(crate) fn unused_address() -> SocketAddr {
    let _guard = SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    bind_listener().1
}

pub(crate) fn spawn_process(command: &mut Command) -> Child {
    let _guard = SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    command.spawn().expect("spawn the process")
}

/// Size of the row that answers a statement containing `'large'`; several such rows exceed the socket buffers
/// of a client that doesn't read.
pub(crate) const LARGE_ROW_BYTES: usize = 2 << 20;

/// Size of the row that answers a statement containing `'medium'`.
pub(crate) const MEDIUM_ROW_BYTES: usize = 64 << 10;

/// What a fake member does with a statement.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum MemberBehavior {
    Answer,
    CloseConnection,
    /// Answers when the test sends on [`Member::release`]; one send releases one statement.
    AnswerOnRelease,
}

/// A fake member that answers health checks as a primary. Reports each received statement, and `disconnected`
/// when the peer closes a connection whose statement waits for its release.
pub(crate) struct Member {
    pub(crate) address: SocketAddr,
    pub(crate) events: Receiver<String>,
    pub(crate) release: Sender<()>,
}

impl Member {
    /// Waits for the next statement or `disconnected`.
    pub(crate) fn next_event(&self) -> String {
        self.events
            .recv_timeout(TEST_TIMEOUT)
            .expect("receive an event of the member")
    }
}

/// Role of a fake member in its group, and how far its data is behind; `None` if its answers don't say.
#[derive(Clone, Copy)]
pub(crate) struct MemberRole {
    pub(crate) rank: &'static str,
    pub(crate) lag: Option<TimeSpan>,
}

impl MemberRole {
    /// The parameters that end an answer.
    fn parameters(self) -> Vec<u8> {
        let rank = parameter_status("rank", self.rank);
        let position = self
            .lag
            .map(|lag| ((wall_clock_now() - Timestamp(lag.0)).0 / 1000).to_string());
        let position = position.map(|position| parameter_status("as_of", &position));
        [position.unwrap_or_default(), rank].concat()
    }
}

pub(crate) fn start_member(behavior: MemberBehavior) -> Member {
    let primary = MemberRole {
        rank: "source",
        lag: None,
    };
    start_member_with_role(behavior, primary)
}

pub(crate) fn start_member_with_role(behavior: MemberBehavior, role: MemberRole) -> Member {
    let (listener, address) = bind_listener();
    let (event_sender, events) = channel();
    let (release, released) = channel();
    let released = Arc::new(Mutex::new(released));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (event_sender, released) = (event_sender.clone(), released.clone());
            thread::spawn(move || serve_connection(stream, behavior, role, &event_sender, &released));
        }
    });
    Member {
        address,
        events,
        release,
    }
}

pub(crate) fn serve_connection(
    mut stream: TcpStream,
    behavior: MemberBehavior,
    role: MemberRole,
    event_sender: &Sender<String>,
    released: &Mutex<Receiver<()>>,
) -> Option<()> {
    wire::read_message(&mut stream, false).ok()?;
    let ready = message(b'Z', b"I");
    stream
        .write_all(&[message(b'R', &[0; 4]), ready.clone()].concat())
        .ok()?;
    loop {
        let (_, body) = read_message(&mut stream)?;
        let text = String::from_utf8_lossy(&body).into_owned();
        let value: &[u8] = if text.starts_with("SHOW") {
            b"x0=1,x1=1"
        } else if text.contains("'large'") {
            &[b'x'; LARGE_ROW_BYTES]
        } else if text.contains("'medium'") {
            &[b'x'; MEDIUM_ROW_BYTES]
        } else {
            b"\x00value"
        };
        if !text.starts_with("SHOW") {
            let _ = event_sender.send(text);
            match behavior {
                MemberBehavior::Answer => {}
                MemberBehavior::CloseConnection => return None,
                MemberBehavior::AnswerOnRelease => {
                    stream.set_read_timeout(Some(Duration::from_millis(5))).ok()?;
                    while released.lock().ok()?.try_recv().is_err() {
                        match stream.read(&mut [0]) {
                            Ok(0) => return event_sender.send("disconnected".to_owned()).ok(),
                            Err(e) if e.kind() != ErrorKind::WouldBlock => {
                                return event_sender.send("disconnected".to_owned()).ok()
                            }
                            _ => {}
                        }
                    }
                    stream.set_read_timeout(None).ok()?;
                }
            }
        }
        let answer = [data_row(value), role.parameters(), ready.clone()];
        stream.write_all(&answer.concat()).ok()?;
    }
}

/// Reads the head of an HTTP request to discovery.
pub(crate) fn read_request_head(stream: &mut TcpStream) -> std::io::Result<String> {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte)?;
        head.extend(byte);
    }
    Ok(String::from_utf8_lossy(&head).into_owned())
}

/// Starts the driver with little memory, of which connections leave 1 MB to incomplete messages, and connects thirty
/// clients. Also returns the beginning of a message; sent by each client, these exceed that memory.
pub(crate) fn start_driver_short_of_memory(
    name: &str,
    member: SocketAddr,
) -> (DriverProcess, Vec<TcpStream>, Vec<u8>) {
    let config = config_text(unused_address(), unresponsive_discovery(), member)
        .replace(r#""memory_mb":192"#, r#""memory_mb":12"#);
    let process = start_driver_with_config(name, &config);
    let clients = (0..30).map(|_| process.connect()).collect();
    let partial_message = [&b"Q\0\x02\0\0"[..], &[b'x'; 100_000]].concat();
    (process, clients, partial_message)
}

/// Starts a discovery service that accepts connections and never answers, so that the driver uses the
/// endpoint list of its configuration.
pub(crate) fn unresponsive_discovery() -> SocketAddr {
    let (listener, address) = bind_listener();
    thread::spawn(move || listener.incoming().collect::<Vec<_>>());
    address
}

pub(crate) fn write_config(name: &str, text: &str) -> PathBuf {
    let file = format!("asterlatch-{}-{name}.json", std::process::id());
    let path = std::env::temp_dir().join(file);
    std::fs::write(&path, text).expect("write the configuration file");
    path
}

pub(crate) fn driver_command(command: &str, path: &PathBuf) -> Command {
    let mut program = Command::new(env!("CARGO_BIN_EXE_asterlatch"));
    program
        .arg(command)
        .arg("--config")
        .arg(path)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    [
        "RELAY_NAME",
        "RELAY_LISTEN",
        "RELAY_DISCOVERY",
        "RELAY_CONFIG",
        "ASTERLATCH_OPERATORS",
        "ASTERLATCH_STATE",
        "ASTERLATCH_LOG_FORMAT",
        "ASTERLATCH_CONTROL",
    ]
    .iter()
    .for_each(|v| {
        program.env_remove(v);
    });
    program
}

pub(crate) fn config_text(listen: SocketAddr, discovery: SocketAddr, member: SocketAddr) -> String {
    format!(
        r#"{{"name":"t","listen":"{listen}","discovery":"{discovery}","seed":"7",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":256}},
        "known":{{"index":1,"snapshot":true,"endpoints":[{{"name":"m","address":"{member}","zone":"a","group":1,
        "status":"SERVING","weight":1.0,"since_ms":0,"rank":"source"}}]}},
        "settings":{{"categories":[
        {{"name":"view","idempotency":"retryable","objective_us":20000000,"worth":1.0,"late_worth":1.0}},
        {{"name":"post","idempotency":"fragile","objective_us":20000000,"worth":1.0,"late_worth":1.0}}],
        "family_info":{{"freshness":["loose","update"]}},"limits":{{"cancel":true,"probes":true,"try_limit":3,
        "connect_timeout_us":20000000,"conn_idle_us":90000000}},"report":{{"fields":["x0","x1"],"how":"on_probe"}},
        "tick_us":5000,"zones":["a"]}}}}"#
    )
}

pub(crate) struct DriverProcess {
    pub(crate) child: Child,
    pub(crate) listen: SocketAddr,
    pub(crate) path: PathBuf,
}

pub(crate) fn start_driver(name: &str, member: SocketAddr) -> DriverProcess {
    let listen = unused_address();
    start_driver_at(listen, name, member)
}

pub(crate) fn start_driver_at(listen: SocketAddr, name: &str, member: SocketAddr) -> DriverProcess {
    start_driver_with_config(name, &config_text(listen, unresponsive_discovery(), member))
}

/// Starts the driver and waits until it listens.
pub(crate) fn start_driver_with_config(name: &str, text: &str) -> DriverProcess {
    start_driver_with_arguments(name, text, &[])
}

pub(crate) fn start_driver_with_arguments(name: &str, text: &str, arguments: &[&str]) -> DriverProcess {
    start_driver_with_faults(name, text, arguments, &FaultPlan::default())
}

/// Lets every `every`-th invocation of each of these system calls fail, without a limit.
pub(crate) fn fault_plan(calls: &str, every: u32) -> FaultPlan {
    FaultPlan {
        calls: FaultPlan::parse_calls(calls).expect("parse the list of system calls"),
        every,
        ..FaultPlan::default()
    }
}

/// Lets the first `max_failures` invocations of each of these system calls fail.
pub(crate) fn limited_fault_plan(calls: &str, max_failures: u32) -> FaultPlan {
    FaultPlan {
        max_failures: Some(max_failures),
        ..fault_plan(calls, 1)
    }
}

/// Starts the driver with failing system calls and waits until it listens.
pub(crate) fn start_driver_with_faults(
    name: &str,
    text: &str,
    arguments: &[&str],
    faults: &FaultPlan,
) -> DriverProcess {
    let path = write_config(name, text);
    let value: serde_json::Value = serde_json::from_str(text).expect("parse the configuration as JSON");
    let listen = value["listen"]
        .as_str()
        .and_then(|l| l.parse().ok())
        .expect("read the listen address from the configuration");
    let mut command = driver_command("serve", &path);
    inject_faults(&mut command, faults).expect("find the shared object built by cargo");
    let child = spawn_process(command.args(arguments));
    let process = DriverProcess { child, listen, path };
    let deadline = Instant::now() + TEST_TIMEOUT;
    while TcpStream::connect(listen).is_err() {
        assert!(Instant::now() < deadline, "the driver does not listen");
        thread::sleep(Duration::from_millis(5));
    }
    process
}

impl DriverProcess {
    pub(crate) fn signal(&self, name: &str) {
        let command = format!("kill -{name} {}", self.child.id());
        let status = spawn_process(Command::new("sh").arg("-c").arg(command)).wait();
        assert!(status.is_ok_and(|s| s.success()));
    }

    /// Waits for the process to exit; returns whether it exited successfully, and its log.
    pub(crate) fn wait_with_log(mut self) -> (bool, String) {
        let mut log = String::new();
        self.child
            .stderr
            .take()
            .expect("stderr is piped")
            .read_to_string(&mut log)
            .expect("read the log as UTF-8");
        let is_success = self.child.wait().expect("wait for the driver").success();
        let _ = std::fs::remove_file(&self.path);
        (is_success, log)
    }

    pub(crate) fn connect(&self) -> TcpStream {
        let mut stream = TcpStream::connect(self.listen).expect("connect");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set timeout");
        let fields = b"user\0api\0database\0ledger\0\0";
        let startup = [
            &(fields.len() as u32 + 8).to_be_bytes()[..],
            &(3u32 << 16).to_be_bytes(),
            fields,
        ]
        .concat();
        // Clients may send the first query without waiting for the answer to the startup message.
        stream
            .write_all(&[startup, message(b'Q', b"\0")].concat())
            .expect("write the startup message and an empty query");
        assert_eq!(read_answer(&mut stream).0, "Z");
        assert_eq!(read_answer(&mut stream).0, "I Z");
        stream
    }
}

impl DriverProcess {
    /// Waits until the process has blocked SIGTERM, which would kill it without a clean shutdown before.
    pub(crate) fn await_blocked_signals(&self) {
        let deadline = Instant::now() + TEST_TIMEOUT;
        loop {
            let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))
                .expect("read the status of the driver");
            let blocked = status.lines().find_map(|line| line.strip_prefix("SigBlk:"));
            let mask = blocked.and_then(|mask| u64::from_str_radix(mask.trim(), 16).ok());
            if mask.expect("read the mask of blocked signals") & (1 << (libc::SIGTERM - 1)) != 0 {
                return;
            }
            assert!(Instant::now() < deadline, "the driver does not block SIGTERM");
            thread::sleep(Duration::from_millis(1));
        }
    }

    /// Waits for the process to exit while another thread reads its log; returns whether it exited
    /// successfully.
    pub(crate) fn exits_successfully(&mut self) -> bool {
        let deadline = Instant::now() + TEST_TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().expect("poll the driver for its exit") {
                return status.success();
            }
            assert!(Instant::now() < deadline, "the driver does not exit");
            thread::sleep(Duration::from_millis(2));
        }
    }
}

impl Drop for DriverProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        if let Some(mut log) = self.child.stderr.take().filter(|_| thread::panicking()) {
            let mut text = String::new();
            let _ = log.read_to_string(&mut text);
            eprintln!("{:?}, log of the driver: {text}", self.child.wait());
        }
    }
}

/// Reads messages up to the next `ReadyForQuery` or the end of input. Returns their kinds, errors with their
/// SQLSTATE, and the last row.
pub(crate) fn read_answer(stream: &mut TcpStream) -> (String, Vec<u8>) {
    let (mut kinds, mut row) = (Vec::new(), Vec::new());
    while let Some((kind, body)) = read_message(stream) {
        match kind {
            b'S' | b'R' => {}
            b'E' => {
                let code = body.split(|b| *b == 0).find(|f| f.first() == Some(&b'C'));
                kinds.push(format!(
                    "E{}",
                    String::from_utf8_lossy(&code.expect("an error has an SQLSTATE")[1..])
                ));
            }
            kind => kinds.push((kind as char).to_string()),
        }
        if kind == b'D' {
            row = body[6..].to_vec();
        }
        if kind == b'Z' {
            break;
        }
    }
    (kinds.join(" "), row)
}

pub(crate) fn send_statement(stream: &mut TcpStream, workload: &str) -> String {
    send_statement_with(stream, workload, 25_000, "x")
}

/// Sends a statement for this key with this timeout, under an id of its own; returns its text.
pub(crate) fn send_statement_with(
    stream: &mut TcpStream,
    workload: &str,
    timeout_ms: u32,
    key: &str,
) -> String {
    static LAST_ID: AtomicU32 = AtomicU32::new(0);
    let id = LAST_ID.fetch_add(1, Ordering::Relaxed);
    let text = format!(
        "/* id=h{id:x},c={workload},d={timeout_ms},cluster=1,k=7 */ SELECT blob FROM rows WHERE handle = '{key}'"
    );
    stream
        .write_all(&message(b'Q', format!("{text}\0").as_bytes()))
        .expect("write the statement");
    text
}

/// A driver with an operators' file, whose log is read line by line.
pub(crate) struct OperatedDriver {
    pub(crate) process: DriverProcess,
    pub(crate) operators_file: PathBuf,
    pub(crate) log_lines: Receiver<String>,
    whole_log: WholeLog,
}

/// A temporary folder, removed on drop.
pub(crate) struct TempFolder(pub PathBuf);

impl TempFolder {
    pub(crate) fn new(name: &str) -> TempFolder {
        let path = std::env::temp_dir().join(format!("asterlatch-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).expect("create the temporary folder");
        TempFolder(path)
    }

    pub(crate) fn path(&self, name: &str) -> String {
        self.0.join(name).to_str().expect("the path is UTF-8").to_owned()
    }

    pub(crate) fn write(&self, name: &str, text: &str) -> String {
        std::fs::write(self.0.join(name), text).expect("write the file");
        self.path(name)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

pub(crate) fn start_with_operators_file(
    name: &str,
    member: SocketAddr,
    arguments: &[&str],
) -> OperatedDriver {
    start_with_operators_file_and_faults(name, member, arguments, &FaultPlan::default())
}

pub(crate) fn start_with_operators_file_and_faults(
    name: &str,
    member: SocketAddr,
    arguments: &[&str],
    faults: &FaultPlan,
) -> OperatedDriver {
    let text = config_text(unused_address(), unresponsive_discovery(), member);
    start_with_operators_file_and_config(name, &text, arguments, faults)
}

pub(crate) fn start_with_operators_file_and_config(
    name: &str,
    text: &str,
    arguments: &[&str],
    faults: &FaultPlan,
) -> OperatedDriver {
    let mut process = start_driver_with_faults(name, text, arguments, faults);
    let stderr = process.child.stderr.take().expect("stderr is piped");
    let (line_sender, log_lines) = channel();
    let whole_log = WholeLog::default();
    let log_copy = whole_log.clone();
    thread::spawn(move || {
        // The log may contain invalid UTF-8 if the process fails.
        let lines = BufReader::new(stderr).split(b'\n').map_while(Result::ok);
        for line in lines {
            let line = String::from_utf8_lossy(&line).into_owned();
            log_copy.push_line(&line);
            let _ = line_sender.send(line);
        }
    });
    let flag_index = arguments
        .iter()
        .position(|a| *a == "--operators")
        .expect("`--operators` is among the arguments");
    let operators_file = PathBuf::from(arguments[flag_index + 1]);
    OperatedDriver {
        process,
        operators_file,
        log_lines,
        whole_log,
    }
}

/// The log of a driver and its successors so far, printed if the test fails.
#[derive(Clone, Default)]
pub(crate) struct WholeLog(Arc<Mutex<String>>);

impl WholeLog {
    fn push_line(&self, line: &str) {
        let mut log = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        log.push_str(line);
        log.push('\n');
    }
}

impl Drop for WholeLog {
    fn drop(&mut self) {
        if thread::panicking() {
            let log = self.0.lock().unwrap_or_else(PoisonError::into_inner);
            eprintln!("log of the driver:\n{log}");
        }
    }
}

impl OperatedDriver {
    /// Replaces the operators' file atomically and makes the driver reload it.
    pub(crate) fn replace_operators_file(&self, text: &str) {
        let new_file = self.operators_file.with_extension("new");
        std::fs::write(&new_file, text).expect("write the new operators' file");
        std::fs::rename(&new_file, &self.operators_file).expect("replace the operators' file");
        self.process.signal("HUP");
    }

    /// Reads the log up to a line that contains this text, and returns the line.
    pub(crate) fn wait_for_log(&self, text: &str) -> String {
        let deadline = Instant::now() + TEST_TIMEOUT;
        let mut seen = String::new();
        while let Ok(line) = self
            .log_lines
            .recv_timeout(deadline.saturating_duration_since(Instant::now()))
        {
            if line.contains(text) {
                return line;
            }
            seen = seen + &line + "\n";
        }
        panic!("the log has no line with '{text}':\n{seen}");
    }
}
