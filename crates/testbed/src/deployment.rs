//! A deployment on loopback: members, discovery, and one process of the built program.

use crate::discovery;
use crate::error::{Error, Result};
use crate::fault_script::FaultScript;
use crate::member::{self, lock, SharedStore};
use crate::program_under_test::ProgramUnderTest;
use crate::store_model::{StoreModel, WorkloadKind};
use crate::wire::{message, read_message, start_session, wall_clock_now};
use serde_json::{json, Value};
use std::fs::File;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// One process of the program with members and discovery; dropping it ends the process.
pub struct Deployment {
    /// What members store and execute.
    pub store: SharedStore,
    /// Where the program listens.
    pub listen: SocketAddr,
    /// Holds configuration and logs.
    pub folder: PathBuf,
    driver: ProgramUnderTest,
    /// Another build: each upgrade changes over to it and makes the former build the next. `None` for the same build.
    pub next_program: Option<ProgramUnderTest>,
    child: Option<Child>,
    /// Process id of the serving process; 0 after its end.
    pid: u32,
    logs: u32,
}

/// What tells a driver's configuration from others'.
#[derive(Clone, Copy, Debug)]
pub struct DriverIdentity<'a> {
    /// Its name.
    pub name: &'a str,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Where its discovery is.
    pub discovery: SocketAddr,
}

/// Size of the replicated store.
#[derive(Clone, Copy, Debug)]
pub struct Topology {
    /// Groups of members.
    pub groups: u32,
    /// Replicas in each group, beside its primary.
    pub replicas: u32,
}

/// A driver's configuration, with the endpoint list that it starts with and the count of drivers.
pub fn driver_config(store: &SharedStore, identity: DriverIdentity, known: Value, drivers: u32) -> Value {
    let (workloads, rejects_stale_reads) = {
        let store = lock(store);
        (store.workloads.clone(), store.rejects_stale_reads)
    };
    let each = |f: fn(&WorkloadKind) -> Value| -> Vec<_> { workloads.iter().map(|w| f(&w.kind)).collect() };
    let categories: Vec<_> = workloads
        .iter()
        .map(|w| {
            let repeat = match w.kind {
                WorkloadKind::Write { deduplicated: false } => "fragile",
                WorkloadKind::Write { deduplicated: true } => "dedup",
                _ => "retryable",
            };
            json!({"name": w.name, "idempotency": repeat, "objective_us": w.timeout.0 / 2, "worth": 1.0,
                "late_worth": 0.3, "key_scope": "all", "window_us": 2_000_000})
        })
        .collect();
    json!({
        "name": identity.name, "listen": identity.listen.to_string(),
        "discovery": identity.discovery.to_string(), "seed": identity.name.bytes().map(u64::from).sum::<u64>().to_string(),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": known,
        "settings": {
            "categories": categories, "zones": ["heredia", "cartago"], "tick_us": 5000, "peers_total": drivers,
            "family_info": {
                "freshness": each(|k| match k {
                    WorkloadKind::AnyReplica => "loose", WorkloadKind::BoundedStaleness(_) => "recent", WorkloadKind::ReadYourWrites => "own_writes",
                    WorkloadKind::Write { .. } => "update",
                }.into()),
                "staleness_bound_us": each(|k| match k { WorkloadKind::BoundedStaleness(b) => b.0, _ => 0 }.into()),
                "behind": if rejects_stale_reads { "reject" } else { "off" }, "tokens": "router", "answers_stamped": true,
            },
            "limits": {"cancel": true, "probes": true, "try_limit": 4, "connect_timeout_us": 200_000,
                "conn_idle_us": 30_000_000, "retry_after": true, "max_retry_after_us": 200_000},
            "rules": {"tip_multiple": 4, "fall_us": 2_000_000, "cold_from": 0.2, "warm_within_us": 3_000_000},
            "report": {"fields": ["x0", "x1"], "how": "on_probe"},
        },
    })
}

/// Succeeds if a program at this address answers.
pub fn check_serving(listen: SocketAddr) -> io::Result<()> {
    let mut stream = TcpStream::connect(listen)?;
    stream.set_read_timeout(Some(START_TIMEOUT))?;
    start_session(&mut stream)?;
    stream.write_all(&message(b'Q', b"\0"))?;
    read_message(&mut stream, true).map(drop)
}

/// How long a program may take until it serves.
pub const START_TIMEOUT: Duration = Duration::from_secs(20);

impl Deployment {
    /// Starts members, discovery and the program, whose logs and files lie in `folder`.
    pub fn start(
        driver: impl Into<ProgramUnderTest>,
        folder: &Path,
        topology: Topology,
        script: FaultScript,
        rejects_stale_reads: bool,
    ) -> Result<Deployment> {
        std::fs::create_dir_all(folder)?;
        let mut store = StoreModel::new(topology.groups, topology.replicas, script, wall_clock_now());
        store.rejects_stale_reads = rejects_stale_reads;
        let store = Arc::new(Mutex::new(store));
        let members: Vec<u32> = lock(&store).members().collect();
        let listening = members.into_iter().map(|m| Ok((m, member::start(&store, m)?)));
        let addresses: discovery::Addresses = listening.collect::<io::Result<_>>()?;
        let discovery = discovery::start(&store, &addresses, 0)?;
        // Bound for a moment, so that the system picks the port.
        let listen = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        let known = discovery::endpoint_list(&store, &addresses);
        let identity = DriverIdentity {
            name: "lab",
            listen,
            discovery,
        };
        let config = driver_config(&store, identity, known, 1);
        std::fs::write(folder.join("config.json"), config.to_string())?;
        let times =
            "upgrade(hello = 5s, ready = 5s, taken = 1s, probation = 500ms, beat = 100ms, silence = 2s)\n";
        std::fs::write(folder.join("operators.latch"), times)?;
        let mut deployment = Deployment {
            store,
            listen,
            folder: folder.to_owned(),
            driver: driver.into(),
            next_program: None,
            child: None,
            pid: 0,
            logs: 0,
        };
        deployment.start_program()?;
        Ok(deployment)
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    /// Starts the program, and waits until it answers.
    pub fn start_program(&mut self) -> Result<()> {
        self.logs += 1;
        let log = File::create(self.path(&format!("driver-{}.log", self.logs)))?;
        let child = self
            .driver
            .command()?
            .arg("serve")
            .arg("--config")
            .arg(self.path("config.json"))
            .arg("--operators")
            .arg(self.path("operators.latch"))
            .arg("--control")
            .arg(self.path("control"))
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .map_err(|source| Error::StartProgram {
                program: self.driver.file.clone(),
                source,
            })?;
        self.pid = child.id();
        self.child = Some(child);
        let end = Instant::now() + START_TIMEOUT;
        while let Err(e) = check_serving(self.listen) {
            if Instant::now() > end {
                return Err(Error::ProgramNotServing(e));
            }
            thread::sleep(Duration::from_millis(2));
        }
        Ok(())
    }

    /// Hands over to a new process; returns the output of the program's `upgrade`.
    pub fn upgrade(&mut self) -> Result<String> {
        if let Some(next) = &mut self.next_program {
            std::mem::swap(&mut self.driver, next);
        }
        let output = Command::new(&self.driver.file)
            .arg("upgrade")
            .arg("--control")
            .arg(self.path("control"))
            .arg("--to")
            .arg(&self.driver.file)
            .output()?;
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        if !output.status.success() {
            return Err(Error::UpgradeFailed(text));
        }
        // The predecessor ends by itself; the successor isn't a child of this process.
        if let Some(mut child) = self.child.take() {
            child.wait()?;
        }
        let number = text
            .split(" as process ")
            .nth(1)
            .and_then(|t| t.split_whitespace().next());
        let number = number.and_then(|n| n.parse().ok());
        self.pid = number.ok_or_else(|| Error::UnnamedSuccessor(text.clone()))?;
        Ok(text)
    }

    /// Has the serving process drain, and waits for its end.
    pub fn stop(&mut self) {
        // The system may reuse the id after the process has ended.
        let pid = std::mem::take(&mut self.pid);
        let _ = Command::new("kill").arg(pid.to_string()).status();
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
            return;
        }
        let end = Instant::now() + START_TIMEOUT;
        while Path::new(&format!("/proc/{pid}")).exists() && Instant::now() < end {
            thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        if self.pid > 0 {
            self.stop();
        }
    }
}
