//! Several processes of the program with one store behind them, links between them, and what befalls all of that by script.

use crate::arrivals::Arrivals;
use crate::checker::{check, ClientOutcome};
use crate::deployment::{check_serving, driver_config, START_TIMEOUT};
use crate::discovery;
use crate::fault_script::{DriverFault, FaultScript};
use crate::link_proxy::{self, Link};
use crate::member::{self, lock, pause, SharedStore};
use crate::roaming_clients::{self, RoamingBehavior, RoamingRecord};
use crate::store_model::{StoreModel, WorkloadKind};
use crate::wire::wall_clock_now;
use asterlatch::time::{TimeSpan, Timestamp};
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};
use std::fs::File;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What is put up.
#[derive(Clone, Debug)]
pub struct ClusterPlan {
    pub drivers: u32,
    pub groups: u32,
    pub replicas: u32,
    pub script: FaultScript,
    /// Drivers tell each other; else each is alone.
    pub gossip_enabled: bool,
    pub seconds: f64,
    /// Statements a second.
    pub rate: f64,
    pub clients: usize,
    pub behavior: RoamingBehavior,
    pub seed: u64,
}

struct DriverProcess {
    number: u32,
    listen: SocketAddr,
    child: Option<Child>,
    starts: u32,
    runs_later_build: bool,
}

pub struct Cluster {
    pub store: SharedStore,
    script: FaultScript,
    folder: PathBuf,
    program: PathBuf,
    processes: Vec<DriverProcess>,
    /// What befell whom, as it came to be.
    pub observed_outages: Vec<(u32, Timestamp, Timestamp)>,
    _link_proxies: Vec<Link>,
    /// Where members and discovery listen.
    listeners: Vec<SocketAddr>,
}

/// Fleets that this process has put up.
static CLUSTERS_STARTED: AtomicU32 = AtomicU32::new(0);

/// Each driver has an address of its own, in each play: while it is down, its ports are nobody else's.
fn driver_address(cluster_index: u32, number: u32) -> String {
    let id = std::process::id().wrapping_mul(97).wrapping_add(cluster_index);
    format!("127.{}.{}.{number}:0", 20 + id % 200, id / 200 % 250)
}

impl Cluster {
    pub fn start(program: &Path, plan: &ClusterPlan) -> io::Result<Cluster> {
        let cluster_index = CLUSTERS_STARTED.fetch_add(1, Ordering::Relaxed);
        let folder =
            std::env::temp_dir().join(format!("asterlatch-fleet-{}-{cluster_index}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        // Nothing befalls anybody before the load begins.
        let store = StoreModel::new(
            plan.groups,
            plan.replicas,
            FaultScript::default(),
            wall_clock_now(),
        );
        let store: SharedStore = Arc::new(Mutex::new(store));
        let members: Vec<u32> = lock(&store).members().collect();
        let listening = members.into_iter().map(|m| Ok((m, member::start(&store, m)?)));
        let addresses: discovery::Addresses = listening.collect::<io::Result<_>>()?;
        let own: Vec<SocketAddr> = (1..=plan.drivers)
            .map(|n| UdpSocket::bind(driver_address(cluster_index, n))?.local_addr())
            .collect::<io::Result<_>>()?;
        let mut links = Vec::new();
        // Where each finds each other one.
        let mut found: BTreeMap<(u32, u32), SocketAddr> = BTreeMap::new();
        for one in 1..=plan.drivers {
            for other in one + 1..=plan.drivers {
                let ends = (own[one as usize - 1], own[other as usize - 1]);
                let link = link_proxy::start(&store, (one, other), ends, plan.seed)?;
                found.insert((one, other), link.at.0);
                found.insert((other, one), link.at.1);
                links.push(link);
            }
        }
        let mut cluster = Cluster {
            store,
            script: plan.script.clone(),
            folder,
            program: program.to_owned(),
            processes: Vec::new(),
            observed_outages: Vec::new(),
            _link_proxies: links,
            listeners: addresses.values().copied().collect(),
        };
        for number in 1..=plan.drivers {
            let listen = TcpListener::bind(driver_address(cluster_index, number))?.local_addr()?;
            let discovery = discovery::start(&cluster.store, &addresses, number)?;
            cluster.listeners.push(discovery);
            let known = discovery::endpoint_list(&cluster.store, &addresses);
            let name = format!("d{number}");
            let config = driver_config(&cluster.store, (&name, listen, discovery), known, plan.drivers);
            std::fs::write(cluster.path(number, "json"), config.to_string())?;
            let mut text = String::from("log(lines = 100/s)\n");
            if plan.gossip_enabled {
                let port = own[number as usize - 1].port();
                text += &format!(
                    "shared(port = {port}, probe = 200ms, suspicion = 1s, compare = 500ms, ask = 100ms, window = 5s, keep = 200ms)\n"
                );
                for other in (1..=plan.drivers).filter(|o| *o != number) {
                    let port = found[&(number, other)].port();
                    text += &format!("driver(\"d{other}@127.0.0.1\", port = {port})\n");
                }
            }
            std::fs::write(cluster.path(number, "latch"), text)?;
            cluster.processes.push(DriverProcess {
                number,
                listen,
                child: None,
                starts: 0,
                runs_later_build: false,
            });
        }
        for number in 1..=plan.drivers {
            cluster.begin(number)?;
        }
        for number in 1..=plan.drivers {
            cluster.await_serving(number)?;
        }
        Ok(cluster)
    }

    fn path(&self, number: u32, end: &str) -> PathBuf {
        self.folder.join(format!("d{number}.{end}"))
    }

    pub fn listens(&self) -> Vec<SocketAddr> {
        self.processes.iter().map(|p| p.listen).collect()
    }

    /// How far a driver's clock is off.
    fn clock(&self, number: u32) -> i64 {
        let driver_faults = self.script.driver_faults();
        let own = driver_faults
            .into_iter()
            .filter_map(|(driver, outage, ..)| match outage {
                DriverFault::ClockOffset(by) if driver == number => Some(by),
                _ => None,
            });
        own.sum()
    }

    fn begin(&mut self, number: u32) -> io::Result<()> {
        let starts = self.processes[number as usize - 1].starts + 1;
        let log = File::create(self.path(number, &format!("{starts}.log")))?;
        let mut command = Command::new(&self.program);
        // SAFETY: the child asks the system for one thing between fork and exec, which touches no memory.
        unsafe {
            // Whatever ends the laboratory, nobody is left behind.
            command.pre_exec(|| {
                let with_us = Some(rustix::process::Signal::KILL);
                rustix::process::set_parent_process_death_signal(with_us).map_err(io::Error::from)
            });
        }
        if self.processes[number as usize - 1].runs_later_build {
            command.env("ASTERLATCH_LAB_LATER_WIRE", "1");
        }
        let child = command
            .arg("serve")
            .arg("--config")
            .arg(self.path(number, "json"))
            .arg("--operators")
            .arg(self.path(number, "latch"))
            .arg("--control")
            .arg(self.path(number, "control"))
            .arg("--state")
            .arg(self.path(number, "state"))
            .env("ASTERLATCH_LAB_CLOCK", self.clock(number).to_string())
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .map_err(|e| io::Error::other(format!("{}: {e}", self.program.display())))?;
        let process = &mut self.processes[number as usize - 1];
        (process.child, process.starts) = (Some(child), starts);
        Ok(())
    }

    fn await_serving(&self, number: u32) -> io::Result<()> {
        let end = Instant::now() + START_TIMEOUT;
        while let Err(e) = check_serving(self.processes[number as usize - 1].listen) {
            if Instant::now() > end {
                let log = std::fs::read_to_string(self.path(number, "1.log")).unwrap_or_default();
                return Err(io::Error::other(format!(
                    "driver {number} doesn't serve: {e}\n{log}"
                )));
            }
            thread::sleep(Duration::from_millis(2));
        }
        Ok(())
    }

    /// Waits until all drivers hold that all others are there and that they have caught up.
    pub fn await_membership(&self) -> io::Result<()> {
        let end = Instant::now() + START_TIMEOUT;
        while !self.is_membership_complete()? {
            if Instant::now() > end {
                return Err(io::Error::other("the drivers don't find each other"));
            }
            thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    }

    fn is_membership_complete(&self) -> io::Result<bool> {
        for process in &self.processes {
            let status = self.query_status(process.number, "status")?;
            let rows = status["drivers"].as_array().cloned().unwrap_or_default();
            let fine = |r: &Value| {
                let presence = r["presence"].as_str().unwrap_or_default();
                r["caught_up"] == true && (presence == "there" || presence == "this one")
            };
            if rows.len() != self.processes.len() || !rows.iter().all(fine) {
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// What a driver says of what is shared.
    pub fn query_status(&self, number: u32, what: &str) -> io::Result<Value> {
        let output = Command::new(&self.program)
            .args(["fleet", what, "--json", "--control"])
            .arg(self.path(number, "control"))
            .output()?;
        serde_json::from_slice(&output.stdout).map_err(|e| {
            let said = String::from_utf8_lossy(&output.stderr).into_owned();
            io::Error::other(format!("fleet {what} of driver {number}: {e} {said}"))
        })
    }

    /// How long until all copies are equal, once nothing new comes.
    pub fn await_equal_copies(&self, most: Duration) -> io::Result<Option<Duration>> {
        let last_start = Instant::now();
        while last_start.elapsed() < most {
            let marks: io::Result<Vec<Value>> = self
                .processes
                .iter()
                .map(|p| Ok(self.query_status(p.number, "facts")?["copy"].clone()))
                .collect();
            let marks = marks?;
            if marks.windows(2).all(|w| w[0] == w[1]) {
                return Ok(Some(last_start.elapsed()));
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(None)
    }

    /// Processor time of all that run now, in seconds, as the system counts it.
    fn cpu_seconds(&self) -> f64 {
        let of = |p: &DriverProcess| -> Option<f64> {
            let stat = std::fs::read_to_string(format!("/proc/{}/stat", p.child.as_ref()?.id())).ok()?;
            let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
            let ticks = |n: usize| fields.get(n)?.parse::<f64>().ok();
            // User and system time, the 14th and 15th field, in hundredths.
            Some((ticks(11)? + ticks(12)?) / 100.0)
        };
        self.processes.iter().filter_map(of).sum()
    }

    fn signal(&self, number: u32, name: &str) {
        if let Some(child) = &self.processes[number as usize - 1].child {
            let _ = Command::new("kill")
                .arg(format!("-{name}"))
                .arg(child.id().to_string())
                .status();
        }
    }

    /// Does to drivers what the script says, until all of it is done.
    fn apply_driver_faults(&mut self, from: Timestamp, script: &FaultScript) -> io::Result<()> {
        let mut steps: Vec<(TimeSpan, u32, DriverFault, bool)> = Vec::new();
        for (driver, outage, begins, ends) in script.driver_faults() {
            let has_driver_fault = !matches!(
                outage,
                DriverFault::DiscoveryStalled | DriverFault::ClockOffset(_)
            );
            if has_driver_fault && (driver as usize) <= self.processes.len() {
                steps.push((begins, driver, outage, true));
                steps.push((ends, driver, outage, false));
            }
        }
        steps.sort_by_key(|(at, driver, ..)| (*at, *driver));
        let mut open: BTreeMap<u32, Timestamp> = BTreeMap::new();
        for (at, driver, outage, begins) in steps {
            pause((from + at) - wall_clock_now());
            match (outage, begins) {
                (DriverFault::Killed | DriverFault::RestartedOnDiskOf(_) | DriverFault::LaterBuild, true) => {
                    self.signal(driver, "KILL");
                    if let Some(mut child) = self.processes[driver as usize - 1].child.take() {
                        child.wait()?;
                    }
                }
                (DriverFault::RestartedOnDiskOf(other), false) => {
                    let of = |n| self.path(n, "state").join("shared.log");
                    std::fs::copy(of(other), of(driver))?;
                    self.begin(driver)?;
                    self.await_serving(driver)?;
                }
                (DriverFault::Killed | DriverFault::LaterBuild, false) => {
                    // Killed behind that it is the former build again.
                    self.processes[driver as usize - 1].runs_later_build = outage == DriverFault::LaterBuild;
                    self.begin(driver)?;
                    self.await_serving(driver)?;
                }
                (DriverFault::Stopped, true) => self.signal(driver, "STOP"),
                (DriverFault::Stopped, false) => self.signal(driver, "CONT"),
                (DriverFault::DiscoveryStalled | DriverFault::ClockOffset(_), _) => {}
            }
            if begins {
                open.insert(driver, from + at);
            } else if let Some(since) = open.remove(&driver) {
                self.observed_outages.push((driver, since, wall_clock_now()));
            }
        }
        Ok(())
    }

    /// Has all end; what they counted.
    fn end(&mut self) -> BTreeMap<String, u64> {
        for p in &self.processes {
            self.signal(p.number, "CONT");
            self.signal(p.number, "TERM");
        }
        for p in &mut self.processes {
            if let Some(mut child) = p.child.take() {
                let _ = child.wait();
            }
        }
        let mut counters: BTreeMap<String, u64> = BTreeMap::new();
        for p in &self.processes {
            let log = std::fs::read_to_string(self.path(p.number, &format!("{}.log", p.starts)));
            for pair in log.unwrap_or_default().split_whitespace() {
                let count = pair
                    .split_once('=')
                    .and_then(|(name, n)| Some((name, n.parse::<u64>().ok()?)));
                if let Some((name, count)) = count {
                    *counters.entry(name.to_owned()).or_default() += count;
                }
            }
        }
        counters
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        // Or hundreds of plays in one process leave thousands of threads, and each fork copies what they hold.
        lock(&self.store).is_shut_down = true;
        for listener in &self.listeners {
            let _ = TcpStream::connect(listener);
        }
        for p in &mut self.processes {
            if let Some(mut child) = p.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}

/// What became of statements whose client had no answer at one driver and repeated them at another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryCounts {
    pub retried: u64,
    /// Of those that had run when they were repeated.
    pub executed_before_retry: u64,
    pub reported_in_doubt: u64,
    pub reported_not_executed: u64,
    pub completed: u64,
    /// Told that nothing ran where something had.
    pub false_reports: u64,
    /// Ran twice.
    pub executed_twice: u64,
}

#[derive(Clone, Debug, Default)]
pub struct RunReport {
    pub summary: String,
    /// Rules broken, by name.
    pub violations: BTreeMap<&'static str, u64>,
    pub retries: RetryCounts,
    pub asked: u64,
    pub completed: u64,
    pub rejected: u64,
    pub aborted: u64,
    pub reads_at_primaries: f64,
    /// Session reads at another driver than the write's that were older than that write.
    pub stale_roaming_reads: u64,
    /// Datagram bytes a driver and second.
    pub gossip_bytes_per_second: f64,
    /// Until all copies were equal, in seconds.
    pub convergence_seconds: Option<f64>,
    /// Processor time of all drivers that lived to the end, in seconds.
    pub cpu_seconds: f64,
    /// What drivers counted, summed over those that lived to the end.
    pub counters: BTreeMap<String, u64>,
}

impl RunReport {
    pub fn all_rules_kept(&self) -> bool {
        self.violations.is_empty()
    }
}

/// A driver that was stopped or killed isn't held to answers for so long around that.
const OUTAGE_MARGIN: TimeSpan = TimeSpan::millis(1500);

/// Puts a fleet up, plays the script under load, and judges.
pub fn run(program: &Path, plan: &ClusterPlan) -> io::Result<RunReport> {
    let mut cluster = Cluster::start(program, plan)?;
    if plan.gossip_enabled {
        cluster.await_membership()?;
    }
    let from = wall_clock_now();
    let (workloads, until) = {
        let mut store = lock(&cluster.store);
        store.started_at = from;
        store.script = plan.script.clone();
        (store.workloads.clone(), TimeSpan((plan.seconds * 1e6) as u64))
    };
    let arrivals = Arrivals::new(&workloads, plan.rate, plan.groups, until, plan.seed);
    let terms = (plan.clients, plan.behavior, plan.seed);
    let load = roaming_clients::start(&cluster.store, &cluster.listens(), arrivals, from, terms);
    cluster.apply_driver_faults(from, &plan.script)?;
    let records = load.finish();
    let mut run = RunReport {
        cpu_seconds: cluster.cpu_seconds(),
        ..RunReport::default()
    };
    if plan.gossip_enabled {
        let passed = (wall_clock_now() - from).ratio(TimeSpan::millis(1000));
        let mut bytes = 0.0;
        for number in 1..=plan.drivers {
            let status = cluster.query_status(number, "status")?;
            bytes += status["counts"][0]["bytes_sent"].as_f64().unwrap_or(0.0);
        }
        run.gossip_bytes_per_second = bytes / passed / f64::from(plan.drivers);
        run.convergence_seconds = cluster
            .await_equal_copies(START_TIMEOUT)?
            .map(|d| d.as_secs_f64());
        if run.convergence_seconds.is_none() {
            run.violations.insert("copies never equal", 1);
        }
    }
    run.counters = cluster.end();
    evaluate(&cluster, &records, &mut run);
    let _ = std::fs::remove_dir_all(&cluster.folder);
    Ok(run)
}

fn evaluate(cluster: &Cluster, records: &[RoamingRecord], run: &mut RunReport) {
    let store = lock(&cluster.store);
    let spared = |driver: u32, from: Timestamp, until: Timestamp| {
        let hit = |(d, a, b): &(u32, Timestamp, Timestamp)| {
            *d == driver && from < *b + OUTAGE_MARGIN && until + OUTAGE_MARGIN > *a
        };
        cluster.observed_outages.iter().any(hit)
    };
    let mut plain: Vec<_> = records.iter().map(|r| r.record).collect();
    for (r, plain) in records.iter().zip(&mut plain) {
        if plain.outcome == ClientOutcome::NoAnswer {
            // Judged try by try below.
            plain.outcome = ClientOutcome::ConnectionRefused;
        }
        if r.attempts
            .last()
            .is_some_and(|t| spared(t.driver, t.sent, t.ended))
        {
            // One that was stopped answers when it goes on.
            plain.answered = plain.answered.min(plain.sent);
        }
        for t in r
            .attempts
            .iter()
            .filter(|t| t.outcome == ClientOutcome::NoAnswer && !t.abandoned)
        {
            if !spared(t.driver, t.sent, t.ended) {
                *run.violations
                    .entry("lost: no answer from a driver that was up")
                    .or_default() += 1;
            }
        }
    }
    let report = check(&store, &plain);
    for (n, count) in report.violations.iter().enumerate().filter(|(_, c)| **c > 0) {
        // What a session wrote at one driver is no promise at another; it is counted.
        if n == crate::checker::STALE_SESSION_READ {
            run.stale_roaming_reads = *count;
        } else {
            run.violations.insert(crate::checker::VIOLATIONS[n], *count);
        }
    }
    if report.executions_after_drain > 0 {
        run.violations.insert(
            "drains: sent long after it was told",
            report.executions_after_drain,
        );
    }
    if store.overloads_while_warming_up > 0 {
        run.violations
            .insert("cold: a member was pushed over", store.overloads_while_warming_up);
    }
    let r = &mut run.retries;
    for roamed in records {
        let is_unsafe =
            store.workloads[roamed.record.workload].kind == WorkloadKind::Write { deduplicated: false };
        let open = roamed
            .attempts
            .iter()
            .position(|t| t.outcome == ClientOutcome::NoAnswer);
        let repeated = open.is_some_and(|n| n + 1 < roamed.attempts.len());
        if !is_unsafe || !repeated {
            continue;
        }
        let effects = store
            .effects
            .get(&roamed.record.id)
            .map_or(&[][..], Vec::as_slice);
        let again = open
            .and_then(|n| roamed.attempts.get(n + 1))
            .map_or(Timestamp(0), |t| t.sent);
        let executed_before_retry = effects.iter().any(|(_, at)| *at <= again);
        r.retried += 1;
        r.executed_before_retry += u64::from(executed_before_retry);
        r.executed_twice += u64::from(effects.len() > 1);
        match roamed.record.outcome {
            ClientOutcome::Aborted => r.reported_in_doubt += 1,
            ClientOutcome::Rejected => {
                r.reported_not_executed += 1;
                r.false_reports += u64::from(!effects.is_empty());
            }
            ClientOutcome::Row { .. } => r.completed += 1,
            ClientOutcome::NoAnswer | ClientOutcome::ConnectionRefused => {}
        }
    }
    run.asked = report.asked();
    run.completed = report.completed();
    run.rejected = report.rows.iter().map(|r| r.rejected).sum();
    run.aborted = report.rows.iter().map(|r| r.aborted).sum();
    let reads = store.reads.values().fold((0, 0), |(p, r), (a, b)| (p + a, r + b));
    run.reads_at_primaries = f64::from(reads.0) / f64::from((reads.0 + reads.1).max(1));
    run.summary = report.to_string();
}

impl Display for RunReport {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        let table = self.summary.split("rules kept").next().unwrap_or_default();
        let table = table.split("broken:").next().unwrap_or_default();
        write!(f, "{table}")?;
        let r = &self.retries;
        writeln!(
            f,
            "unsafe writes repeated at another driver: {}, of which {} had run; told in doubt {}, untouched {}, completed {}; \
             untrue {}, doubled {}",
            r.retried, r.executed_before_retry, r.reported_in_doubt, r.reported_not_executed, r.completed, r.false_reports, r.executed_twice
        )?;
        writeln!(
            f,
            "reads at primaries {:.2} %, session reads older than a write at another driver: {}",
            self.reads_at_primaries * 100.0,
            self.stale_roaming_reads
        )?;
        let each = self.cpu_seconds * 1e6 / self.asked.max(1) as f64;
        writeln!(f, "drivers' processor time {each:.0} us a statement")?;
        if self.gossip_bytes_per_second > 0.0 {
            let equal = self
                .convergence_seconds
                .map_or("never".to_owned(), |s| format!("after {s:.2} s"));
            writeln!(
                f,
                "told: {:.0} bytes a driver and second; copies equal {equal}",
                self.gossip_bytes_per_second
            )?;
        }
        let count = |name: &str| self.counters.get(name).copied().unwrap_or(0);
        writeln!(
            f,
            "connections opened {} (first {}, busy {}, again {}), probes {}, for all {}, left to others {}, members silent by word {}",
            count("connections_opened"),
            count("opened_first"),
            count("opened_busy"),
            count("opened_again"),
            count("health_checks_sent"),
            count("health_checks_for_fleet"),
            count("health_checks_left_to_peers"),
            count("unresponsive_by_consensus")
        )?;
        for (what, count) in &self.violations {
            writeln!(f, "broken: {count} times {what}")?;
        }
        if self.all_rules_kept() {
            writeln!(f, "rules kept over all processes")?;
        }
        Ok(())
    }
}

/// Scenes by name: what they are for, and what befalls whom. The fleet has five drivers.
pub const SCENARIOS: [(&str, &str); 14] = [
    ("calm", "0s link 1 to 2 slow 0ms for 1ms"),
    ("killed", "1s driver 2 is killed for 2s"),
    ("one-way", "500ms link 1 to 2 is cut for 4s"),
    (
        "split",
        "1s split 1 2 from 3 4 5 for 3s\n1500ms group 1 switches to 2\n2s member 5 lags 2s for 1s",
    ),
    ("drain", "500ms driver 3 hears no list for 5s\n1s member 2 drains for 4s"),
    (
        "drain-in-a-split",
        "500ms driver 3 hears no list for 5s\n800ms split 1 2 from 4 5 for 3s\n1s member 2 drains for 4s",
    ),
    ("doubt", "1s driver 1 stops for 1s\n3s driver 2 is killed for 1s"),
    ("lossy", "0s links lose 30% for 5s\n0s links garble 5% for 5s\n0s links slow 20ms for 5s"),
    (
        "clocks",
        "0s driver 1 is 3600s ahead for 1s\n0s driver 2 is 3600s behind for 1s\n1s driver 3 is killed for 500ms\n2s split 1 3 from 2 4 5 for 1s",
    ),
    ("one-disk", "1s driver 2 is killed and given the disk of 3 for 500ms\n2500ms driver 4 is killed for 500ms"),
    ("paused", "1s driver 4 stops for 3s"),
    ("cold", "500ms member 2 starts for 4s\n500ms member 3 starts for 4s\n2s driver 5 is killed for 1s"),
    (
        "rolling",
        "500ms driver 1 is killed for 200ms\n1500ms driver 2 is killed for 200ms\n2500ms driver 3 is killed for 200ms",
    ),
    (
        "two-wires",
        "300ms driver 1 is renewed for 200ms\n1s driver 2 is renewed for 200ms\n1700ms driver 3 is renewed for 200ms\n2500ms driver 1 is killed for 200ms",
    ),
];

/// The same with so many drivers that each sees little: what they do together.
pub const WIDE_DRIVERS: u32 = 12;
pub const WIDE_SCENARIOS: [(&str, &str); 7] = [
    ("silent", "1s member 2 hangs for 3s"),
    ("silent-lossy", "0s links lose 50% for 6s\n1s member 2 hangs for 3s"),
    // Whoever holds the turn to ask member 2, a stopped or killed one is followed by another.
    (
        "holder",
        "500ms member 2 is down for 4s\n1s driver 1 stops for 2s\n1s driver 2 stops for 2s\n1s driver 3 stops for 2s\n1s driver 4 stops for 2s\n2s driver 5 is killed for 1s\n2s driver 6 is killed for 1s",
    ),
    (
        "third",
        "1s driver 1 is killed for 2s\n1s driver 2 is killed for 2s\n1s driver 3 is killed for 2s\n1s driver 4 is killed for 2s",
    ),
    // Four come late, and four others go.
    (
        "grows-and-shrinks",
        "0s driver 9 is killed for 2s\n0s driver 10 is killed for 2s\n0s driver 11 is killed for 2s\n0s driver 12 is killed for 2s\n3s driver 1 is killed for 2s\n3s driver 2 is killed for 2s\n3s driver 3 is killed for 2s",
    ),
    (
        "zone-cold",
        "500ms member 2 starts for 4s\n500ms member 4 starts for 4s\n500ms member 6 starts for 4s\n1s driver 1 is killed for 1s",
    ),
    (
        "lists-differ",
        "0s driver 3 hears no list for 6s\n0s driver 4 hears no list for 6s\n0s driver 5 hears no list for 6s\n1s member 2 drains for 4s\n1500ms split 3 6 7 from 1 2 for 2s",
    ),
];

/// Every scene: its name, how many drivers it has, and its script; `drivers` for those that leave it open.
pub fn scenes(drivers: u32) -> impl Iterator<Item = (&'static str, u32, &'static str)> {
    let narrow = SCENARIOS
        .into_iter()
        .map(move |(name, text)| (name, drivers, text));
    let wide = WIDE_SCENARIOS
        .into_iter()
        .map(move |(name, text)| (name, drivers.max(WIDE_DRIVERS), text));
    narrow.chain(wide)
}
