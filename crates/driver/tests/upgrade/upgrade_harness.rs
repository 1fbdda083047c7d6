//! A driver that is upgraded, and what its tests share.

use crate::harness::*;
use asterlatch_fault_injection::FaultPlan;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpStream;
use std::process::{Command, Output};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

pub(crate) const HANDOVER_SETTINGS: &str = "upgrade(hello = 2s, ready = 2s, taken = 1s, probation = 200ms, beat = 50ms, silence = 1s)\nlog(lines = 100/s)\n";

pub(crate) struct UpgradeHarness {
    pub(crate) folder: TempFolder,
    pub(crate) driver: OperatedDriver,
    /// The successor's process id; the process is killed on drop.
    pub(crate) pid: Option<u32>,
}

impl UpgradeHarness {
    pub(crate) fn new(name: &str, member: &Member, settings: &str) -> UpgradeHarness {
        let config = config_text(unused_address(), unresponsive_discovery(), member.address);
        UpgradeHarness::with_config(name, &config, settings)
    }

    pub(crate) fn with_config(name: &str, config: &str, settings: &str) -> UpgradeHarness {
        let folder = TempFolder::new(name);
        let file = folder.write("o.latch", settings);
        let control = folder.path("control");
        let arguments = ["--operators", &file, "--control", &control];
        let driver = start_with_operators_file_and_config(name, config, &arguments, &FaultPlan::default());
        // The control socket is opened after the listener.
        driver.wait_for_log("phase: t is serving");
        UpgradeHarness {
            folder,
            driver,
            pid: None,
        }
    }

    pub(crate) fn upgrade_command(&self, binary: &str) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_asterlatch"));
        command.args([
            "upgrade",
            "--control",
            &self.folder.path("control"),
            "--to",
            binary,
        ]);
        command
    }

    pub(crate) fn request_upgrade(&self, binary: &str) -> Output {
        self.upgrade_command(binary).output().expect("run the command")
    }

    pub(crate) fn signal(&self, pid: u32, name: &str) {
        let status = spawn_process(Command::new("sh").arg("-c").arg(format!("kill -{name} {pid}"))).wait();
        assert!(status.is_ok_and(|s| s.success()), "{name}");
    }

    /// Starts an upgrade; returns the successor's process id once it has been asked to serve on probation.
    pub(crate) fn begin_upgrade(&self) -> (u32, JoinHandle<Output>) {
        let mut command = self.upgrade_command(env!("CARGO_BIN_EXE_asterlatch"));
        let upgrade_request = thread::spawn(move || command.output().expect("run the command"));
        let started_line = self.driver.wait_for_log("upgrade: started ");
        let pid = started_line
            .rsplit(' ')
            .next()
            .and_then(|n| n.parse().ok())
            .expect("the log line ends with the process id");
        self.driver
            .wait_for_log("upgrade: the successor is ready and asked to serve");
        (pid, upgrade_request)
    }

    /// Waits until clients move to the successor, which they do once it has acknowledged that it serves. Until
    /// then the commit may still be on its way.
    pub(crate) fn await_client_moves(&self, successor: u32) {
        let _client = self.driver.process.connect();
        self.wait_for_counter(successor, "open_clients=1 ");
    }

    pub(crate) fn upgrade(&mut self) {
        let (pid, upgrade_request) = self.begin_upgrade();
        let output = upgrade_request.join().expect("join the thread");
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        if !output.status.success() {
            let next_line = || {
                self.driver
                    .log_lines
                    .recv_timeout(Duration::from_millis(500))
                    .ok()
            };
            let log: Vec<String> = std::iter::from_fn(next_line).collect();
            panic!("{text}\nlog:\n{}", log.join("\n"));
        }
        assert!(text.ends_with("done, the successor owns the service\n"), "{text}");
        self.driver.wait_for_log("upgrade: the predecessor has exited");
        self.pid = Some(pid);
    }

    /// Waits until the process logs this counter with its value, such as `open_clients=1 `.
    pub(crate) fn wait_for_counter(&self, pid: u32, counter: &str) {
        let deadline = Instant::now() + TEST_TIMEOUT;
        loop {
            self.signal(pid, "USR1");
            let counters = self.driver.wait_for_log("counters: clients_accepted=");
            if format!("{counters} ").contains(&format!(" {counter}")) {
                return;
            }
            assert!(Instant::now() < deadline, "no {counter}in {counters}");
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Connects the only client, and waits until this process serves it.
    pub(crate) fn connect_at(&self, serving_pid: u32) -> TcpStream {
        let client = self.driver.process.connect();
        self.wait_for_counter(serving_pid, "open_clients=1 ");
        client
    }

    /// Makes the serving process, and so its successors, stay on probation until the test ends.
    pub(crate) fn set_long_probation(&self, serving_pid: u32) {
        let settings = HANDOVER_SETTINGS.replace("probation = 200ms", "probation = 1h");
        std::fs::write(&self.driver.operators_file, settings).expect("write the operators' file");
        self.signal(serving_pid, "HUP");
        self.driver.wait_for_log("is applied");
    }

    /// The value of a counter that the process logs.
    pub(crate) fn counter(&self, pid: u32, name: &str) -> u64 {
        self.signal(pid, "USR1");
        let counters = self.driver.wait_for_log("counters: clients_accepted=");
        let value = counters.split(&format!(" {name}=")).nth(1);
        let value = value.and_then(|text| text.split(' ').next());
        value
            .and_then(|text| text.parse().ok())
            .expect("read the counter")
    }

    /// Replaces the configuration and makes the first process reload it.
    pub(crate) fn configure(&self, text: &str) {
        std::fs::write(&self.driver.process.path, text).expect("write the file");
        self.driver.process.signal("HUP");
        self.driver.wait_for_log("configuration: reloaded");
    }

    /// Executes a read that times out after 300 ms on a new connection, and returns the kinds of the answer's
    /// messages.
    pub(crate) fn execute_short_read(&self, id: u32) -> String {
        let mut client = self.driver.process.connect();
        let text = format!("/* id={id},c=view,d=300,cluster=1 */ SELECT {id}\0");
        client.write_all(&message(b'Q', text.as_bytes())).expect("send");
        read_answer(&mut client).0
    }

    /// Executes one statement on a new connection and returns the kinds of the answer's messages.
    pub(crate) fn execute(&self, workload: &str, id: u32) -> String {
        let mut client = self.driver.process.connect();
        send_statement_with_id(&mut client, workload, id);
        read_answer(&mut client).0
    }
}

impl Drop for UpgradeHarness {
    fn drop(&mut self) {
        if let Some(pid) = self.pid {
            let _ = spawn_process(
                Command::new("sh")
                    .arg("-c")
                    .arg(format!("kill -KILL {pid} 2>/dev/null")),
            )
            .wait();
        }
    }
}

pub(crate) fn statement(workload: &str, id: u32) -> Vec<u8> {
    let text = format!("/* id={id:x},c={workload},d=25000,cluster=1 */ SELECT {id}\0");
    message(b'Q', text.as_bytes())
}

pub(crate) fn send_statement_with_id(client: &mut TcpStream, workload: &str, id: u32) {
    client.write_all(&statement(workload, id)).expect("send");
}

/// Returns how often the member executed each statement since the last call.
pub(crate) fn take_execution_counts(member: &Member) -> BTreeMap<u32, u32> {
    let mut executions = BTreeMap::new();
    while let Ok(text) = member.events.try_recv() {
        let id = text.split("id=").nth(1).and_then(|t| t.split(',').next());
        let id = id
            .and_then(|digits| u32::from_str_radix(digits, 16).ok())
            .expect("parse the id of the statement");
        *executions.entry(id).or_default() += 1;
    }
    executions
}

pub(crate) fn list_entry(member: &Member, status: &str) -> String {
    format!(
        r#"{{"name":"m","address":"{}","zone":"a","group":1,"status":"{status}","weight":1.0,"since_ms":0}}"#,
        member.address
    )
}

/// Starts a discovery service that serves this endpoint list, and holds watch requests until a newer one is
/// set.
pub(crate) fn start_discovery(list: &Arc<Mutex<(u64, String)>>) -> std::net::SocketAddr {
    let (listener, address) = bind_listener();
    let list = list.clone();
    let serve_connection = |mut stream: TcpStream, list: Arc<Mutex<(u64, String)>>| -> std::io::Result<()> {
        loop {
            let head = read_request_head(&mut stream)?;
            let after = head
                .split("after=")
                .nth(1)
                .and_then(|t| t.split(['&', ' ']).next());
            let after: Option<u64> = after.and_then(|n| n.parse().ok());
            let body = loop {
                let (index, entry) = list.lock().expect("lock the endpoint list").clone();
                if after.is_none_or(|after| after < index) {
                    break format!(r#"{{"index":{index},"snapshot":true,"endpoints":[{entry}]}}"#);
                }
                thread::sleep(Duration::from_millis(2));
            };
            let length = body.len();
            write!(
                stream,
                "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}"
            )?;
        }
    };
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let list = list.clone();
            thread::spawn(move || serve_connection(stream, list));
        }
    });
    address
}

pub(crate) fn large_statement(id: u32) -> Vec<u8> {
    let text = format!("/* id={id:x},c=view,d=25000,cluster=1 */ SELECT 'large'\0");
    message(b'Q', text.as_bytes())
}

/// Number of large rows that exceeds the socket buffers of a client that doesn't read.
pub(crate) const LARGE_STATEMENTS: u32 = 12;
