//! The built program against small stand-ins that speak the public protocols on loopback.
#![allow(dead_code)] // each test file uses a part

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Long enough for the busiest machine; nothing here waits for it to pass.
pub(crate) const PATIENCE: Duration = Duration::from_secs(30);

use asterlatch_fault_injection::FaultPlan;
use asterlatch_testbed::program_under_test::inject_faults;
pub(crate) use asterlatch_testbed::wire::message;
use asterlatch_testbed::wire::{self, data_row, parameter_status};

pub(crate) fn read_message(stream: &mut TcpStream) -> Option<(u8, Vec<u8>)> {
    wire::read_message(stream, true).ok()
}

/// Each at an address of its own, so that no port is anybody else's once it is let go.
pub(crate) fn listener() -> (TcpListener, SocketAddr) {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    let host = format!(
        "127.{}.{}.{n}:0",
        10 + std::process::id() % 200,
        std::process::id() / 200 % 250
    );
    let listener = TcpListener::bind(host).expect("a port is free");
    let address = listener.local_addr().expect("is bound");
    (listener, address)
}

/// A process that is being started holds whatever is open in this one for a moment: an address that is let go just
/// then would still be taken.
pub(crate) static STARTS: Mutex<()> = Mutex::new(());

/// An address that nobody listens at.
pub(crate) fn free_address() -> SocketAddr {
    let _alone = STARTS.lock().unwrap_or_else(PoisonError::into_inner);
    listener().1
}

pub(crate) fn start(command: &mut Command) -> Child {
    let _alone = STARTS.lock().unwrap_or_else(PoisonError::into_inner);
    command.spawn().expect("starts")
}

/// The row that a member has for a statement with the word 'large' in it: some of them are more than a kernel keeps for
/// who doesn't read.
pub(crate) const LARGE: usize = 2 << 20;

/// What a member does with a statement.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Manner {
    Answers,
    Closes,
    /// Answers when the test says so.
    Waits,
}

/// A member that answers each probe as a primary would. Tells which statements came, and when a connection with
/// a statement on it was ended by the other side.
pub(crate) struct Member {
    pub(crate) address: SocketAddr,
    pub(crate) came: Receiver<String>,
    pub(crate) go: Sender<()>,
}

impl Member {
    /// The next statement that came, or that one was ended.
    pub(crate) fn told(&self) -> String {
        self.came.recv_timeout(PATIENCE).expect("something comes")
    }
}

pub(crate) fn member(manner: Manner) -> Member {
    let (listener, address) = listener();
    let (tell, came) = channel();
    let (go, wait) = channel();
    let wait = Arc::new(Mutex::new(wait));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (tell, wait) = (tell.clone(), wait.clone());
            thread::spawn(move || speak(stream, manner, &tell, &wait));
        }
    });
    Member { address, came, go }
}

pub(crate) fn speak(
    mut stream: TcpStream,
    manner: Manner,
    tell: &Sender<String>,
    wait: &Mutex<Receiver<()>>,
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
            &[b'x'; LARGE]
        } else {
            b"\x00value"
        };
        if !text.starts_with("SHOW") {
            let _ = tell.send(text);
            match manner {
                Manner::Answers => {}
                Manner::Closes => return None,
                Manner::Waits => {
                    stream.set_read_timeout(Some(Duration::from_millis(5))).ok()?;
                    while wait.lock().ok()?.try_recv().is_err() {
                        match stream.read(&mut [0]) {
                            Ok(0) => return tell.send("ended".to_owned()).ok(),
                            Err(e) if e.kind() != ErrorKind::WouldBlock => {
                                return tell.send("ended".to_owned()).ok()
                            }
                            _ => {}
                        }
                    }
                    stream.set_read_timeout(None).ok()?;
                }
            }
        }
        let rank = parameter_status("rank", "source");
        let answer = [data_row(value), rank, ready.clone()];
        stream.write_all(&answer.concat()).ok()?;
    }
}

/// What discovery is asked.
pub(crate) fn read_head(stream: &mut TcpStream) -> std::io::Result<String> {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte)?;
        head.extend(byte);
    }
    Ok(String::from_utf8_lossy(&head).into_owned())
}

/// A program with little memory, thirty clients that it has greeted, and the beginning of a message that each could send:
/// together they would fill that memory.
pub(crate) fn short_of_memory(name: &str, member: SocketAddr) -> (Program, Vec<TcpStream>, Vec<u8>) {
    let small = described(free_address(), silent_discovery(), member)
        .replace(r#""memory_mb":192"#, r#""memory_mb":4"#);
    let process = serve_described(name, &small);
    let clients = (0..30).map(|_| process.client()).collect();
    let part = [&b"Q\0\x02\0\0"[..], &[b'x'; 100_000]].concat();
    (process, clients, part)
}

/// Discovery that stays silent, as it does while it is down: the list that the driver knows must do.
pub(crate) fn silent_discovery() -> SocketAddr {
    let (listener, address) = listener();
    thread::spawn(move || listener.incoming().collect::<Vec<_>>());
    address
}

pub(crate) fn config(name: &str, text: &str) -> PathBuf {
    let file = format!("asterlatch-{}-{name}.json", std::process::id());
    let path = std::env::temp_dir().join(file);
    std::fs::write(&path, text).expect("temporary files can be written");
    path
}

pub(crate) fn program(command: &str, path: &PathBuf) -> Command {
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

pub(crate) fn described(listen: SocketAddr, discovery: SocketAddr, member: SocketAddr) -> String {
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

pub(crate) struct Program {
    pub(crate) child: Child,
    pub(crate) listen: SocketAddr,
    pub(crate) path: PathBuf,
}

pub(crate) fn serve(name: &str, member: SocketAddr) -> Program {
    // Bound for a moment, so that the system picks the port.
    let listen = free_address();
    serve_at(listen, name, member)
}

pub(crate) fn serve_at(listen: SocketAddr, name: &str, member: SocketAddr) -> Program {
    serve_described(name, &described(listen, silent_discovery(), member))
}

/// Starts the program, and waits until it listens.
pub(crate) fn serve_described(name: &str, text: &str) -> Program {
    serve_with(name, text, &[])
}

pub(crate) fn serve_with(name: &str, text: &str, arguments: &[&str]) -> Program {
    serve_faulty(name, text, arguments, &FaultPlan::default())
}

/// These system calls fail, without an end, each every so many-th time.
pub(crate) fn failing(calls: &str, every: u32) -> FaultPlan {
    FaultPlan {
        calls: FaultPlan::parse_calls(calls).expect("is a list of calls"),
        every,
        ..FaultPlan::default()
    }
}

/// These system calls fail, the first of each so many times.
pub(crate) fn failing_first(calls: &str, most: u32) -> FaultPlan {
    FaultPlan {
        max_failures: Some(most),
        ..failing(calls, 1)
    }
}

/// Starts the program, of which these system calls fail, and waits until it listens.
pub(crate) fn serve_faulty(name: &str, text: &str, arguments: &[&str], faults: &FaultPlan) -> Program {
    let path = config(name, text);
    let value: serde_json::Value = serde_json::from_str(text).expect("is JSON");
    let listen = value["listen"]
        .as_str()
        .and_then(|l| l.parse().ok())
        .expect("is given");
    let mut command = program("serve", &path);
    inject_faults(&mut command, faults).expect("cargo has built the shared object");
    let child = start(command.args(arguments));
    let process = Program { child, listen, path };
    let end = Instant::now() + PATIENCE;
    while TcpStream::connect(listen).is_err() {
        assert!(Instant::now() < end, "the program doesn't listen");
        thread::sleep(Duration::from_millis(5));
    }
    process
}

impl Program {
    pub(crate) fn signal(&self, name: &str) {
        let command = format!("kill -{name} {}", self.child.id());
        let sent = start(Command::new("sh").arg("-c").arg(command)).wait();
        assert!(sent.is_ok_and(|s| s.success()));
    }

    /// Waits for its end; says whether that was a good one, and what it wrote.
    pub(crate) fn finish(mut self) -> (bool, String) {
        let mut log = String::new();
        self.child
            .stderr
            .take()
            .expect("piped")
            .read_to_string(&mut log)
            .expect("is text");
        let good = self.child.wait().expect("ends").success();
        let _ = std::fs::remove_file(&self.path);
        (good, log)
    }

    pub(crate) fn client(&self) -> TcpStream {
        let mut stream = TcpStream::connect(self.listen).expect("listens");
        stream.set_read_timeout(Some(PATIENCE)).expect("is set");
        let fields = b"user\0api\0database\0ledger\0\0";
        let startup = [
            &(fields.len() as u32 + 8).to_be_bytes()[..],
            &(3u32 << 16).to_be_bytes(),
            fields,
        ]
        .concat();
        // The first query right behind, as clients may.
        stream
            .write_all(&[startup, message(b'Q', b"\0")].concat())
            .expect("is written");
        assert_eq!(answer(&mut stream).0, "Z");
        assert_eq!(answer(&mut stream).0, "I Z");
        stream
    }
}

impl Program {
    /// Waits until SIGTERM no longer ends the process before it can tell anybody.
    pub(crate) fn await_blocked_signals(&self) {
        let end = Instant::now() + PATIENCE;
        loop {
            let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("runs");
            let blocked = status.lines().find_map(|line| line.strip_prefix("SigBlk:"));
            let mask = blocked.and_then(|mask| u64::from_str_radix(mask.trim(), 16).ok());
            if mask.expect("is told") & (1 << (libc::SIGTERM - 1)) != 0 {
                return;
            }
            assert!(Instant::now() < end, "signals are never blocked");
            thread::sleep(Duration::from_millis(1));
        }
    }

    /// Waits for its end, while something else reads its log; says whether that was a good one.
    pub(crate) fn ends_well(&mut self) -> bool {
        let end = Instant::now() + PATIENCE;
        loop {
            if let Some(status) = self.child.try_wait().expect("is a child") {
                return status.success();
            }
            assert!(Instant::now() < end, "the program doesn't end");
            thread::sleep(Duration::from_millis(2));
        }
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        if let Some(mut log) = self.child.stderr.take().filter(|_| thread::panicking()) {
            let mut text = String::new();
            let _ = log.read_to_string(&mut text);
            eprintln!("{:?}, log of the program: {text}", self.child.wait());
        }
    }
}

/// The messages up to the next that says ready or to the end: kinds, errors with their code, and the row.
pub(crate) fn answer(stream: &mut TcpStream) -> (String, Vec<u8>) {
    let (mut said, mut row) = (Vec::new(), Vec::new());
    while let Some((kind, body)) = read_message(stream) {
        match kind {
            b'S' | b'R' => {}
            b'E' => {
                let code = body.split(|b| *b == 0).find(|f| f.first() == Some(&b'C'));
                said.push(format!(
                    "E{}",
                    String::from_utf8_lossy(&code.expect("has a code")[1..])
                ));
            }
            kind => said.push((kind as char).to_string()),
        }
        if kind == b'D' {
            row = body[6..].to_vec();
        }
        if kind == b'Z' {
            break;
        }
    }
    (said.join(" "), row)
}

pub(crate) fn ask(stream: &mut TcpStream, workload: &str) -> String {
    ask_for(stream, workload, 25_000, "x")
}

/// Asks for this key and waits for so many milliseconds.
pub(crate) fn ask_for(stream: &mut TcpStream, workload: &str, left: u32, key: &str) -> String {
    let text = format!(
        "/* id=1f,c={workload},d={left},cluster=1,k=7 */ SELECT blob FROM rows WHERE handle = '{key}'"
    );
    stream
        .write_all(&message(b'Q', format!("{text}\0").as_bytes()))
        .expect("is written");
    text
}

/// A program with an operators' file, whose log is read as it comes.
pub(crate) struct Operated {
    pub(crate) program: Program,
    pub(crate) file: PathBuf,
    pub(crate) lines: Receiver<String>,
}

/// A folder of its own, gone at the end.
pub(crate) struct Folder(pub PathBuf);

impl Folder {
    pub(crate) fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("asterlatch-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).expect("is made");
        Folder(path)
    }

    pub(crate) fn path(&self, name: &str) -> String {
        self.0.join(name).to_str().expect("is text").to_owned()
    }

    pub(crate) fn write(&self, name: &str, text: &str) -> String {
        std::fs::write(self.0.join(name), text).expect("is written");
        self.path(name)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

pub(crate) fn operated(name: &str, member: SocketAddr, arguments: &[&str]) -> Operated {
    operated_faulty(name, member, arguments, &FaultPlan::default())
}

pub(crate) fn operated_faulty(
    name: &str,
    member: SocketAddr,
    arguments: &[&str],
    faults: &FaultPlan,
) -> Operated {
    let text = described(free_address(), silent_discovery(), member);
    let mut program = serve_faulty(name, &text, arguments, faults);
    let stderr = program.child.stderr.take().expect("piped");
    let (tell, lines) = channel();
    thread::spawn(move || {
        // Whatever a broken process writes is to be seen.
        let lines = BufReader::new(stderr).split(b'\n').map_while(Result::ok);
        for line in lines {
            let _ = tell.send(String::from_utf8_lossy(&line).into_owned());
        }
    });
    let at = arguments
        .iter()
        .position(|a| *a == "--operators")
        .expect("has a file");
    let file = PathBuf::from(arguments[at + 1]);
    Operated { program, file, lines }
}

impl Operated {
    /// Replaces the file and has it read.
    pub(crate) fn change(&self, text: &str) {
        let beside = self.file.with_extension("new");
        std::fs::write(&beside, text).expect("is written");
        std::fs::rename(&beside, &self.file).expect("is renamed");
        self.program.signal("HUP");
    }

    /// Reads the log up to a line that holds these words.
    pub(crate) fn told(&self, words: &str) -> String {
        let end = Instant::now() + PATIENCE;
        let mut seen = String::new();
        while let Ok(line) = self
            .lines
            .recv_timeout(end.saturating_duration_since(Instant::now()))
        {
            if line.contains(words) {
                return line;
            }
            seen = seen + &line + "\n";
        }
        panic!("the log never says '{words}':\n{seen}");
    }
}
