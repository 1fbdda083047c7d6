//! The driver's process.

use super::{message, read_answer, spawn_process, unresponsive_discovery, unused_address, TEST_TIMEOUT};
use asterlatch_fault_injection::FaultPlan;
use asterlatch_testbed::program_under_test::inject_faults;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

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
