//! The built program against small stand-ins that speak the public protocols on loopback.

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Long enough for the busiest machine; nothing here waits for it to pass.
const PATIENCE: Duration = Duration::from_secs(30);

fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    [&[kind][..], &(body.len() as u32 + 4).to_be_bytes(), body].concat()
}

fn read_message(stream: &mut TcpStream) -> Option<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    stream.read_exact(&mut head).ok()?;
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    let mut body = vec![0; length - 4];
    stream.read_exact(&mut body).ok()?;
    Some((head[0], body))
}

/// Each at an address of its own, so that no port is anybody else's once it is let go.
fn listener() -> (TcpListener, SocketAddr) {
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
static STARTS: Mutex<()> = Mutex::new(());

/// An address that nobody listens at.
fn free_address() -> SocketAddr {
    let _alone = STARTS.lock().unwrap_or_else(PoisonError::into_inner);
    listener().1
}

fn start(command: &mut Command) -> Child {
    let _alone = STARTS.lock().unwrap_or_else(PoisonError::into_inner);
    command.spawn().expect("starts")
}

/// What a member does with a statement.
#[derive(Clone, Copy, PartialEq)]
enum Manner {
    Answers,
    Closes,
    /// Answers when the test says so.
    Waits,
}

/// A member that answers each probe as a primary would. Tells which statements came, and when a connection with
/// a statement on it was ended by the other side.
struct Member {
    address: SocketAddr,
    came: Receiver<String>,
    go: Sender<()>,
}

impl Member {
    /// The next statement that came, or that one was ended.
    fn told(&self) -> String {
        self.came.recv_timeout(PATIENCE).expect("something comes")
    }
}

fn member(manner: Manner) -> Member {
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

fn speak(
    mut stream: TcpStream,
    manner: Manner,
    tell: &Sender<String>,
    wait: &Mutex<Receiver<()>>,
) -> Option<()> {
    let mut head = [0; 4];
    stream.read_exact(&mut head).ok()?;
    let mut startup = vec![0; u32::from_be_bytes(head) as usize - 4];
    stream.read_exact(&mut startup).ok()?;
    let ready = message(b'Z', b"I");
    stream
        .write_all(&[message(b'R', &[0; 4]), ready.clone()].concat())
        .ok()?;
    loop {
        let (_, body) = read_message(&mut stream)?;
        let text = String::from_utf8_lossy(&body).into_owned();
        let value: &[u8] = if text.starts_with("SHOW") {
            b"x0=1,x1=1"
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
        let described = [
            &1u16.to_be_bytes()[..],
            b"blob\0",
            &[0; 6],
            &[0, 0, 0, 17],
            &[0xff; 6],
            &[0, 1],
        ]
        .concat();
        let row = [
            &1u16.to_be_bytes()[..],
            &(value.len() as u32).to_be_bytes(),
            value,
        ]
        .concat();
        let rank = message(b'S', b"rank\0source\0");
        let answer = [
            message(b'T', &described),
            message(b'D', &row),
            message(b'C', b"SELECT 1\0"),
            rank,
            ready.clone(),
        ];
        stream.write_all(&answer.concat()).ok()?;
    }
}

/// Discovery that stays silent, as it does while it is down: the list that the driver knows must do.
fn silent_discovery() -> SocketAddr {
    let (listener, address) = listener();
    thread::spawn(move || listener.incoming().collect::<Vec<_>>());
    address
}

fn config(name: &str, text: &str) -> PathBuf {
    let file = format!("asterlatch-{}-{name}.json", std::process::id());
    let path = std::env::temp_dir().join(file);
    std::fs::write(&path, text).expect("temporary files can be written");
    path
}

fn program(command: &str, path: &PathBuf) -> Command {
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
    ]
    .iter()
    .for_each(|v| {
        program.env_remove(v);
    });
    program
}

fn described(listen: SocketAddr, discovery: SocketAddr, member: SocketAddr) -> String {
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

struct Program {
    child: Child,
    listen: SocketAddr,
    path: PathBuf,
}

fn serve(name: &str, member: SocketAddr) -> Program {
    // Bound for a moment, so that the system picks the port.
    let listen = free_address();
    serve_at(listen, name, member)
}

fn serve_at(listen: SocketAddr, name: &str, member: SocketAddr) -> Program {
    serve_described(name, &described(listen, silent_discovery(), member))
}

/// Starts the program, and waits until it listens.
fn serve_described(name: &str, text: &str) -> Program {
    serve_with(name, text, &[])
}

fn serve_with(name: &str, text: &str, arguments: &[&str]) -> Program {
    let path = config(name, text);
    let value: serde_json::Value = serde_json::from_str(text).expect("is JSON");
    let listen = value["listen"]
        .as_str()
        .and_then(|l| l.parse().ok())
        .expect("is given");
    let child = start(program("serve", &path).args(arguments));
    let process = Program { child, listen, path };
    let end = Instant::now() + PATIENCE;
    while TcpStream::connect(listen).is_err() {
        assert!(Instant::now() < end, "the program doesn't listen");
        thread::sleep(Duration::from_millis(5));
    }
    process
}

impl Program {
    fn signal(&self, name: &str) {
        let command = format!("kill -{name} {}", self.child.id());
        let sent = start(Command::new("sh").arg("-c").arg(command)).wait();
        assert!(sent.is_ok_and(|s| s.success()));
    }

    /// Waits for its end; says whether that was a good one, and what it wrote.
    fn finish(mut self) -> (bool, String) {
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

    fn client(&self) -> TcpStream {
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
fn answer(stream: &mut TcpStream) -> (String, Vec<u8>) {
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

fn ask(stream: &mut TcpStream, workload: &str) -> String {
    let text =
        format!("/* id=1f,c={workload},d=25000,cluster=1,k=7 */ SELECT blob FROM rows WHERE handle = 'x'");
    stream
        .write_all(&message(b'Q', format!("{text}\0").as_bytes()))
        .expect("is written");
    text
}

#[test]
fn a_read_and_the_counters() {
    let member = member(Manner::Answers);
    let mut process = serve("reads", member.address);
    let mut client = process.client();
    for _ in 0..3 {
        let text = ask(&mut client, "view");
        assert_eq!(answer(&mut client), ("T D C Z".to_owned(), b"\x00value".to_vec()));
        let came = member.told();
        // All but the time left passes unchanged.
        let (head, tail) = text.split_once("d=25000").expect("has a time");
        assert!(
            came.starts_with(head) && came.trim_end_matches('\0').ends_with(tail),
            "{came}"
        );
    }
    process.signal("USR1");
    let mut lines = BufReader::new(process.child.stderr.as_mut().expect("piped")).lines();
    let counters = lines
        .find_map(|l| l.ok().filter(|l| l.contains("counters")))
        .expect("a line of counters");
    assert!(
        counters.contains(" completed=3 ") && counters.contains(" open_clients="),
        "{counters}"
    );
    client.write_all(&message(b'P', b"\0\0")).expect("is written");
    assert_eq!(answer(&mut client).0, "E08P01", "and the connection is closed");
}

/// Against a client that asks on and on and reads nothing: it must not fill the memory, nor keep others waiting,
/// nor lose an answer.
#[test]
fn a_client_that_reads_nothing_is_not_read_either() {
    const MOST: usize = 48 << 20;
    let member = member(Manner::Answers);
    let process = serve("floods", member.address);
    let (mut flood, mut other) = (process.client(), process.client());
    flood.set_nonblocking(true).expect("is set");
    let queries = message(b'Q', b"\0").repeat(10_000);
    let (mut sent, mut blocked) = (0, 0);
    while sent < MOST && blocked < 100 {
        match flood.write(&queries[sent % queries.len()..]) {
            Ok(n) => (sent, blocked) = (sent + n, 0),
            Err(e) => {
                assert_eq!(e.kind(), ErrorKind::WouldBlock);
                blocked += 1;
                thread::sleep(Duration::from_millis(5));
            }
        }
    }
    assert!(sent < MOST, "all was taken in");
    ask(&mut other, "view");
    assert_eq!(answer(&mut other).0, "T D C Z");
    flood.set_nonblocking(false).expect("is set");
    let (mut unread, mut answers) = (BufReader::with_capacity(1 << 16, flood), 0);
    while answers < sent / 6 {
        let mut reply = [0; 11];
        unread.read_exact(&mut reply).expect("comes");
        assert_eq!(&reply, b"I\0\0\0\x04Z\0\0\0\x05I");
        answers += 1;
    }
}

/// Against clients that each begin a large statement and don't end it: together they would fill a small memory.
#[test]
fn unfinished_messages_fill_no_more_than_their_room() {
    let member = member(Manner::Answers);
    let small = described(free_address(), silent_discovery(), member.address)
        .replace(r#""memory_mb":192"#, r#""memory_mb":4"#);
    let process = serve_described("unfinished", &small);
    let mut clients: Vec<_> = (0..30).map(|_| process.client()).collect();
    let part = [&b"Q\0\x02\0\0"[..], &[b'x'; 100_000]].concat();
    // A client that was ended already may not take its part any more.
    let taken = clients.iter_mut().filter_map(|c| c.write_all(&part).ok()).count();
    assert!(taken >= 10, "a mebibyte takes ten of them: {taken}");
    let mut ended = 0;
    for client in &mut clients {
        client
            .set_read_timeout(Some(Duration::from_millis(100)))
            .expect("is set");
        match client.read(&mut [0]) {
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            _ => ended += 1,
        }
    }
    assert!((1..=25).contains(&ended), "{ended}");
    let mut other = process.client();
    ask(&mut other, "view");
    assert_eq!(answer(&mut other).0, "T D C Z");
}

#[test]
fn a_member_that_closes_early_fails_a_write_once() {
    let member = member(Manner::Closes);
    let process = serve("closes", member.address);
    let mut client = process.client();
    ask(&mut client, "post");
    assert_eq!(answer(&mut client).0, "E40003 Z");
    member.told();
    ask(&mut client, "view");
    // Idempotent: may be tried again, and is rejected in the end.
    assert_eq!(answer(&mut client).0, "E53300 Z");
    assert!(
        member.came.try_iter().all(|text| text.contains("c=view")),
        "the write came a second time"
    );
}

#[test]
fn a_client_that_leaves_has_its_execution_called_off() {
    let member = member(Manner::Waits);
    let process = serve("leaves", member.address);
    let mut client = process.client();
    ask(&mut client, "view");
    assert!(member.told().contains("c=view"));
    drop(client);
    assert_eq!(member.told(), "ended");
}

#[test]
fn what_was_taken_is_answered_before_the_program_leaves() {
    let member = member(Manner::Waits);
    let process = serve("sigterm", member.address);
    let (mut client, mut idle) = (process.client(), process.client());
    ask(&mut client, "post");
    assert!(member.told().contains("c=post"));
    process.signal("TERM");
    // The idle one is let go without a word, which also shows that the program has begun to drain.
    assert_eq!(answer(&mut idle).0, "");
    member.go.send(()).expect("waits");
    assert_eq!(answer(&mut client), ("T D C Z".to_owned(), b"\x00value".to_vec()));
    assert_eq!(answer(&mut client).0, "", "and then its connection is closed");
    let listen = process.listen;
    let (good, log) = process.finish();
    assert!(
        good && log.contains("is stopped") && log.contains(" completed=1 "),
        "{log}"
    );
    // And it comes back at its address.
    let again = serve_at(listen, "sigterm-again", member.address);
    let mut client = again.client();
    ask(&mut client, "view");
    assert!(member.told().contains("c=view"));
}

/// SIGHUP ends a process that doesn't mind it. A file that is half there changes nothing, one that names another
/// discovery has it called at once, and a statement that is out meanwhile is answered.
#[test]
fn the_configuration_is_read_again_on_sighup() {
    let member = member(Manner::Waits);
    let mut process = serve("sighup", member.address);
    let mut client = process.client();
    ask(&mut client, "post");
    assert!(member.told().contains("c=post"));
    let good = std::fs::read_to_string(&process.path).expect("is there");
    std::fs::write(&process.path, &good[..good.len() / 2]).expect("is written");
    process.signal("HUP");
    let mut lines = BufReader::new(process.child.stderr.as_mut().expect("piped")).lines();
    assert!(lines.any(|l| l.is_ok_and(|l| l.contains("configuration: kept as it was"))));
    let (discovery, at) = listener();
    let mut value: serde_json::Value = serde_json::from_str(&good).expect("is JSON");
    value["discovery"] = at.to_string().into();
    value["settings"]["tick_us"] = 7000.into();
    let next = process.path.with_extension("next");
    std::fs::write(&next, value.to_string()).expect("is written");
    std::fs::rename(&next, &process.path).expect("is replaced");
    (0..3).for_each(|_| process.signal("HUP"));
    let (mut call, _) = discovery.accept().expect("is called");
    let mut asked = [0; 28];
    call.read_exact(&mut asked).expect("asks");
    assert_eq!(&asked, b"GET /registry/instances HTTP");
    member.go.send(()).expect("waits");
    assert_eq!(answer(&mut client).0, "T D C Z");
    process.signal("TERM");
    process.signal("HUP");
    let (good, log) = process.finish();
    assert!(
        good && log.contains(&format!(
            "read again, discovery at {at}; kept until the next start: settings"
        )),
        "{log}"
    );
}

#[test]
fn what_cannot_be_served_is_said_in_one_line() {
    let (taken, address) = listener();
    let free = free_address();
    let good = described(free, free, free);
    let cases = [
        ("no file", None, "No such file"),
        ("no JSON", Some("{".to_owned()), "EOF"),
        (
            "no settings",
            Some(r#"{"listen":"127.0.0.1:1","discovery":"127.0.0.1:1"}"#.to_owned()),
            "settings",
        ),
        (
            "no workload",
            Some(good.replace("categories", "other")),
            "no workload",
        ),
        (
            "no address",
            Some(good.replacen(&free.to_string(), "nowhere", 1)),
            "listen",
        ),
        (
            "an address in use",
            Some(good.replacen(&free.to_string(), &address.to_string(), 1)),
            "in use",
        ),
    ];
    for (n, (name, text, named)) in cases.into_iter().enumerate() {
        let path = match &text {
            Some(text) => config(&format!("bad{n}"), text),
            None => PathBuf::from("/nonexistent/config.json"),
        };
        for command in ["serve", "check"] {
            let Output { status, stderr, .. } = start(&mut program(command, &path))
                .wait_with_output()
                .expect("ends");
            let said = String::from_utf8_lossy(&stderr).into_owned();
            assert!(
                !status.success() && said.lines().count() == 1 && said.contains(named),
                "{name}: {said}"
            );
        }
        let _ = std::fs::remove_file(&path);
    }
    drop(taken);
    let path = config("good", &good);
    let Output { status, stdout, .. } = start(&mut program("check", &path))
        .wait_with_output()
        .expect("ends");
    let _ = std::fs::remove_file(&path);
    assert!(status.success() && String::from_utf8_lossy(&stdout).contains("2 workloads, 1 members"));
}

/// A program with an operators' file, whose log is read as it comes.
struct Operated {
    program: Program,
    file: PathBuf,
    lines: Receiver<String>,
}

/// A folder of its own, gone at the end.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("asterlatch-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).expect("is made");
        Folder(path)
    }

    fn path(&self, name: &str) -> String {
        self.0.join(name).to_str().expect("is text").to_owned()
    }

    fn write(&self, name: &str, text: &str) -> String {
        std::fs::write(self.0.join(name), text).expect("is written");
        self.path(name)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn operated(name: &str, member: SocketAddr, arguments: &[&str]) -> Operated {
    let text = described(free_address(), silent_discovery(), member);
    let mut program = serve_with(name, &text, arguments);
    let stderr = program.child.stderr.take().expect("piped");
    let (tell, lines) = channel();
    thread::spawn(move || {
        BufReader::new(stderr)
            .lines()
            .map_while(Result::ok)
            .try_for_each(|l| tell.send(l))
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
    fn change(&self, text: &str) {
        let beside = self.file.with_extension("new");
        std::fs::write(&beside, text).expect("is written");
        std::fs::rename(&beside, &self.file).expect("is renamed");
        self.program.signal("HUP");
    }

    /// Reads the log up to a line that holds these words.
    fn told(&self, words: &str) -> String {
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

#[test]
fn an_operators_file_is_taken_over_live_and_a_faulty_one_changes_nothing() {
    let (folder, member) = (Folder::new("live"), member(Manner::Answers));
    let file = folder.write("o.latch", "workload(\"view\", longest = 256B)\n");
    let operated = operated("live", member.address, &["--operators", &file]);
    let mut client = operated.program.client();
    let long = |c: &mut TcpStream| {
        let text = format!(
            "/* id=2f,c=view,d=25000,cluster=1 */ SELECT '{}'\0",
            "x".repeat(400)
        );
        c.write_all(&message(b'Q', text.as_bytes())).expect("is written");
        answer(c).0
    };
    assert_eq!(long(&mut client), "E54000 Z");
    operated.change("workload(\"view\", longest = 1KiB)\nlog(lines = 50/s)\n");
    operated.told("generation 2 is in force: 2 settings changed, 0 wait");
    assert_eq!(
        long(&mut client),
        "T D C Z",
        "bound by the new one, on the same connection"
    );
    operated.change("workload(\"view\", longest = 256)\n");
    operated.told("workload(\"view\").longest is a size");
    operated.told("kept as it was: the file has 1 errors");
    assert_eq!(long(&mut client), "T D C Z");
    operated.change("process(stack = 128KiB)\nworkload(\"view\", longest = 1KiB)\nlog(lines = 50/s)\n");
    operated.told("generation 3 is in force: 0 settings changed, 1 wait for the next start");
    operated.change("workload(\"view\", longest = 1KiB)\nlog(lines = 50/s)\nprocess(stack = 2 * 64KiB)\n");
    operated.told("read again, it means the same");
    // Signals in a row, and the one to leave among them: each file is whole, and the process ends well.
    for n in 1..20 {
        operated.change(&format!("log(lines = {n}/s)\n"));
    }
    operated.program.signal("TERM");
    operated.change("log(lines = ");
    drop(client);
    operated.told("is stopped");
    let mut program = operated.program;
    assert!(program.child.wait().expect("ends").success());
}

#[test]
fn a_change_that_turns_clients_away_is_gone_back_from_once() {
    let (folder, member) = (Folder::new("back"), member(Manner::Answers));
    let terms = "activation(probation = 1h, margin = 1%, least = 3)\n";
    let file = folder.write("o.latch", terms);
    let operated = operated("back", member.address, &["--operators", &file]);
    let ask_all = |clients: &mut [TcpStream]| {
        for client in clients.iter_mut() {
            ask(client, "view");
            assert_eq!(answer(client).0, "T D C Z");
        }
    };
    let mut clients: Vec<_> = (0..30).map(|_| operated.program.client()).collect();
    ask_all(&mut clients);
    // Of 208 descriptors 10 are left for clients: fewer than are open.
    operated.change(&format!("{terms}descriptors(clients = 5%)\n"));
    operated.told("generation 2 is in force");
    let end = Instant::now() + PATIENCE;
    let told = loop {
        assert!(Instant::now() < end, "it never went back");
        // Each newcomer takes the place of one that rests, or is turned away.
        drop(TcpStream::connect(operated.program.listen));
        match operated.lines.recv_timeout(Duration::from_millis(20)) {
            Ok(line) if line.contains("WENT BACK") => break line,
            _ => {}
        }
    };
    assert!(
        told.contains("from generation 2 to 1: more was turned away for want of places for clients"),
        "{told}"
    );
    let mut clients: Vec<_> = (0..30).map(|_| operated.program.client()).collect();
    ask_all(&mut clients);
    operated.program.signal("HUP");
    operated.told("not taken again");
    operated.change(&format!("{terms}log(lines = 6/s)\n"));
    operated.told("generation 3 is kept");
}

#[test]
fn a_start_with_a_faulty_file_serves_on_the_generation_kept_last() {
    let (folder, member) = (Folder::new("state"), member(Manner::Answers));
    let state = folder.path("kept");
    let good = "workload(\"view\", longest = 256B)\nactivation(probation = 0s)\n";
    let file = folder.write("o.latch", good);
    let arguments = ["--operators", &file, "--state", &state];
    let stored = |count: usize| {
        let end = Instant::now() + PATIENCE;
        while std::fs::read_dir(&state).map_or(0, |d| {
            d.filter(|e| {
                e.as_ref()
                    .is_ok_and(|e| e.path().extension().is_some_and(|x| x == "json"))
            })
            .count()
        }) < count
        {
            assert!(Instant::now() < end, "it is not stored");
            thread::yield_now();
        }
    };
    let first = operated("state1", member.address, &arguments);
    stored(1);
    first.change(&good.replace("256B", "300B"));
    first.told("generation 2 is kept");
    stored(2);
    drop(first.program);
    folder.write("o.latch", "workload(\"view\", longest = 256");
    std::fs::write(
        folder.0.join("kept/generation-00000000000000000009.latch.json"),
        "torn",
    )
    .expect("is written");
    let second = operated("state2", member.address, &arguments);
    second.told("stored generation 9 doesn't begin as one, passed over");
    second.told("serving on generation 2");
    let mut client = second.program.client();
    let text = format!(
        "/* id=2f,c=view,d=25000,cluster=1 */ SELECT '{}'\0",
        "x".repeat(230)
    );
    client
        .write_all(&message(b'Q', text.as_bytes()))
        .expect("is written");
    assert_eq!(answer(&mut client).0, "T D C Z", "of 300 bytes, not of 256");
    drop(second.program);
    let run = |arguments: &[&str]| {
        let output = Command::new(env!("CARGO_BIN_EXE_asterlatch"))
            .args(arguments)
            .output()
            .expect("runs");
        let text = [output.stdout, output.stderr].concat();
        (output.status.code(), String::from_utf8_lossy(&text).into_owned())
    };
    let (code, text) = run(&["config", "history", &state]);
    assert!(
        code == Some(0) && text.contains("workload(\"view\").longest: 256B -> 300B"),
        "{text}"
    );
    let (code, text) = run(&["config", "rollback", &state]);
    assert_eq!(
        (code, text.contains("stored again as")),
        (Some(0), true),
        "{text}"
    );
    assert_eq!(run(&["config", "rollback", &state, "9"]).0, Some(1));
    let third = operated("state3", member.address, &arguments);
    third.told("THE FILE IS FAULTY");
    let mut client = third.program.client();
    client
        .write_all(&message(b'Q', text_of(230).as_bytes()))
        .expect("is written");
    assert_eq!(answer(&mut client).0, "E54000 Z", "rolled back to 256 bytes");
    let strict = config(
        "strict",
        &described(free_address(), silent_discovery(), member.address),
    );
    let output = program("serve", &strict)
        .args(arguments)
        .arg("--strict")
        .output()
        .expect("runs");
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(1), "{text}");
    assert!(text.contains("o.latch:1:3"), "names the place: {text}");
    let unkept = program("serve", &strict)
        .args(&arguments[..2])
        .output()
        .expect("runs");
    assert_eq!(unkept.status.code(), Some(1), "no generation, no start");
}

fn text_of(length: usize) -> String {
    format!(
        "/* id=2f,c=view,d=25000,cluster=1 */ SELECT '{}'\0",
        "x".repeat(length)
    )
}

#[test]
fn the_commands_for_files_keep_their_exit_codes() {
    let folder = Folder::new("commands");
    let plain = folder.write("plain.latch", "clients(rest = 9s)\n");
    let same = folder.write("same.latch", "clients( rest=9000ms )");
    let other = folder.write("other.latch", "clients(rest = 8s)\n");
    let faulty = folder.write("faulty.latch", "clients(rest = 8)\nclients(message = 9)\n");
    let missing = folder.path("missing.latch");
    let small = folder.write("small.latch", "memory(clients = 1%)\n");
    #[rustfmt::skip]
    let cases: [(&[&str], i32, &str); 18] = [
        (&["check", &plain], 0, "valid"), (&["check", &faulty], 1, "faulty.latch:2:19: clients.message is a duration"),
        (&["check", &missing], 1, "missing.latch:1:1: "), (&["check", &small], 0, "valid"),
        (&["check", &small, "--memory", "4MiB"], 1, "under the"), (&["check", &small, "--memory", "4"], 2, "a size such as"),
        (&["check", &plain, "--descriptors", "51"], 1, ":1:1: of 51 descriptors"),
        (&["diff", &plain, &same], 0, ""), (&["diff", &plain, &other], 1, "clients.rest: 9s -> 8s (live; bears on"),
        (&["diff", &plain, &faulty], 2, "the bare number 8"), (&["diff", &missing, &plain], 2, "can't be read"),
        (&["show", &same], 0, "\"rest\": \"9s\""), (&["show", &faulty], 1, "bare number"),
        (&["format", "--check", &same], 1, "not in its form"), (&["format", "--check", &plain], 0, ""),
        (&["format", &same], 0, ""), (&["format", "--check", &same], 0, ""), (&["history", &missing], 1, "missing.latch"),
    ];
    for (arguments, code, words) in cases {
        let output = Command::new(env!("CARGO_BIN_EXE_asterlatch"))
            .arg("config")
            .args(arguments)
            .output()
            .expect("runs");
        let text = String::from_utf8_lossy(&[output.stdout, output.stderr].concat()).into_owned();
        assert_eq!(output.status.code(), Some(code), "{arguments:?}\n{text}");
        assert!(text.contains(words), "{arguments:?}\n{text}");
    }
    assert_eq!(
        std::fs::read_to_string(&same).expect("is there"),
        "clients(rest = 9000ms)\n"
    );
    let path = config(
        "command",
        &described(free_address(), silent_discovery(), free_address()),
    );
    for (file, code) in [(&plain, Some(0)), (&faulty, Some(1))] {
        let output = program("check", &path)
            .args(["--operators", file])
            .output()
            .expect("runs");
        assert_eq!(
            output.status.code(),
            code,
            "{}",
            String::from_utf8_lossy(&output.stderr)
        );
    }
}

#[test]
fn the_log_can_be_objects() {
    let member = member(Manner::Answers);
    let text = described(free_address(), silent_discovery(), member.address);
    let program = serve_with("json", &text, &["--log-format", "json"]);
    let mut client = program.client();
    for _ in 0..8 {
        client
            .write_all(&message(b'Q', b"no comment\0"))
            .expect("is written");
        assert_eq!(answer(&mut client).0, "E42601 Z");
    }
    drop(client);
    program.signal("TERM");
    let (good, log) = program.finish();
    assert!(good, "{log}");
    let lines: Vec<serde_json::Value> = log
        .lines()
        .map(|l| serde_json::from_str(l).expect("an object"))
        .collect();
    let of = |topic: &str| lines.iter().filter(|l| l["topic"] == topic).count();
    assert_eq!(
        (of("statement"), of("counters")),
        (5, 1),
        "the limit of lines holds: {log}"
    );
    assert!(lines
        .iter()
        .all(|l| l["unix_ms"].as_u64().is_some_and(|ms| ms > 1_600_000_000_000)));
    let counters = lines.iter().find(|l| l["topic"] == "counters").expect("is told");
    assert!(
        counters["message"]
            .as_str()
            .is_some_and(|m| m.contains("log_lines_left_out=3")),
        "{log}"
    );
}
