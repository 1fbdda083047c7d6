//! A deployment on the loopback interface: members, discovery, and one process of the built program.

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

/// One process of the program with members and discovery; dropping it terminates the process.
pub struct Deployment {
    /// What members store and execute.
    pub store: SharedStore,
    /// Address at which the program accepts clients.
    pub listen: SocketAddr,
    /// Folder of configuration and logs.
    pub folder: PathBuf,
    program: ProgramUnderTest,
    /// Another build: each upgrade swaps it with the running one. `None` to upgrade to the same build.
    pub next_program: Option<ProgramUnderTest>,
    child: Option<Child>,
    /// Id of the serving process; 0 once it has been stopped.
    pid: u32,
    log_count: u32,
}

/// Settings that differ between the drivers of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct DriverIdentity<'a> {
    /// Name of the driver.
    pub name: &'a str,
    /// Address at which it accepts clients.
    pub listen: SocketAddr,
    /// Address of its discovery.
    pub discovery: SocketAddr,
}

/// Size of the replicated store.
#[derive(Clone, Copy, Debug)]
pub struct Topology {
    /// Number of groups of members.
    pub groups: u32,
    /// Number of replicas in each group, in addition to its primary.
    pub replicas: u32,
}

/// Builds a driver's configuration; `endpoint_list` is the list that it starts with, `drivers` the number of
/// drivers.
pub fn driver_config(
    store: &SharedStore,
    identity: DriverIdentity,
    endpoint_list: Value,
    drivers: u32,
) -> Value {
    let (workloads, rejects_stale_reads) = {
        let store = lock(store);
        (store.workloads.clone(), store.rejects_stale_reads)
    };
    let each =
        |field: fn(&WorkloadKind) -> Value| -> Vec<_> { workloads.iter().map(|w| field(&w.kind)).collect() };
    let categories: Vec<_> = workloads
        .iter()
        .map(|workload| {
            let idempotency = match workload.kind {
                WorkloadKind::Write { deduplicated: false } => "fragile",
                WorkloadKind::Write { deduplicated: true } => "dedup",
                _ => "retryable",
            };
            json!({"name": workload.name, "idempotency": idempotency, "objective_us": workload.timeout.0 / 2, "worth": 1.0,
                "late_worth": 0.3, "key_scope": "all", "window_us": 2_000_000})
        })
        .collect();
    json!({
        "name": identity.name, "listen": identity.listen.to_string(),
        "discovery": identity.discovery.to_string(), "seed": identity.name.bytes().map(u64::from).sum::<u64>().to_string(),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": endpoint_list,
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

/// Succeeds if a program at this address answers an empty query.
pub fn check_serving(listen: SocketAddr) -> io::Result<()> {
    let mut stream = TcpStream::connect(listen)?;
    stream.set_read_timeout(Some(START_TIMEOUT))?;
    start_session(&mut stream)?;
    stream.write_all(&message(b'Q', b"\0"))?;
    read_message(&mut stream, true).map(drop)
}

/// Time within which a started program has to serve.
pub const START_TIMEOUT: Duration = Duration::from_secs(20);

impl Deployment {
    /// Starts members, discovery and the program; configuration and logs go to `folder`.
    pub fn start(
        program: impl Into<ProgramUnderTest>,
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
        // Bound and released at once: the system chooses a free port.
        let listen = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        let endpoint_list = discovery::endpoint_list(&store, &addresses);
        let identity = DriverIdentity {
            name: "lab",
            listen,
            discovery,
        };
        let config = driver_config(&store, identity, endpoint_list, 1);
        std::fs::write(folder.join("config.json"), config.to_string())?;
        let operators_file =
            "upgrade(hello = 5s, ready = 5s, taken = 1s, probation = 500ms, beat = 100ms, silence = 2s)\n";
        std::fs::write(folder.join("operators.latch"), operators_file)?;
        let mut deployment = Deployment {
            store,
            listen,
            folder: folder.to_owned(),
            program: program.into(),
            next_program: None,
            child: None,
            pid: 0,
            log_count: 0,
        };
        deployment.start_program()?;
        Ok(deployment)
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    /// Starts the program and waits until it serves.
    pub fn start_program(&mut self) -> Result<()> {
        self.log_count += 1;
        let log = File::create(self.path(&format!("driver-{}.log", self.log_count)))?;
        let child = self
            .program
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
                program: self.program.file.clone(),
                source,
            })?;
        self.pid = child.id();
        self.child = Some(child);
        let deadline = Instant::now() + START_TIMEOUT;
        while let Err(e) = check_serving(self.listen) {
            if Instant::now() > deadline {
                return Err(Error::ProgramNotServing(e));
            }
            thread::sleep(Duration::from_millis(2));
        }
        Ok(())
    }

    /// Runs the program's `upgrade`, which hands over to a new process; returns its output.
    pub fn upgrade(&mut self) -> Result<String> {
        if let Some(next) = &mut self.next_program {
            std::mem::swap(&mut self.program, next);
        }
        let output = Command::new(&self.program.file)
            .arg("upgrade")
            .arg("--control")
            .arg(self.path("control"))
            .arg("--to")
            .arg(&self.program.file)
            .output()?;
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        if !output.status.success() {
            return Err(Error::UpgradeFailed(text));
        }
        // The predecessor exits by itself; the successor isn't a child of this process.
        if let Some(mut child) = self.child.take() {
            child.wait()?;
        }
        let pid = text
            .split(" as process ")
            .nth(1)
            .and_then(|t| t.split_whitespace().next());
        let pid = pid.and_then(|pid| pid.parse().ok());
        self.pid = pid.ok_or_else(|| Error::UnnamedSuccessor(text.clone()))?;
        Ok(text)
    }

    /// Sends SIGTERM, on which the process drains, and waits until it has exited.
    pub fn stop(&mut self) {
        // Cleared first: the system may reuse the id once the process has exited.
        let pid = std::mem::take(&mut self.pid);
        let _ = Command::new("kill").arg(pid.to_string()).status();
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
            return;
        }
        let deadline = Instant::now() + START_TIMEOUT;
        while Path::new(&format!("/proc/{pid}")).exists() && Instant::now() < deadline {
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
