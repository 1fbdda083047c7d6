//! Several processes of the program that share one store, with link proxies between them and scripted faults.

mod driver_faults;
mod evaluate;
mod observe;
mod process;
mod report;
mod setup;

use crate::arrivals::Arrivals;
use crate::deployment::START_TIMEOUT;
use crate::error::{Error, Result};
use crate::fault_script::FaultScript;
use crate::link_proxy::Link;
use crate::member::{lock, SharedStore};
use crate::roaming_clients::{self, RoamingBehavior, RoamingOptions};
use crate::wire::wall_clock_now;
use asterlatch::time::{TimeSpan, Timestamp};
use evaluate::evaluate;
use process::DriverProcess;
pub use report::{RetryCounts, RunReport};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};

/// Processes, load and faults of a run.
#[derive(Clone, Debug)]
pub struct ClusterPlan {
    /// Number of driver processes.
    pub drivers: u32,
    /// Number of groups of members.
    pub groups: u32,
    /// Number of replicas in each group, in addition to its primary.
    pub replicas: u32,
    /// Faults; times count from the start of the load.
    pub script: FaultScript,
    /// Whether drivers share state by gossip.
    pub gossip_enabled: bool,
    /// Length of the load, in seconds.
    pub seconds: f64,
    /// Statements per second.
    pub rate: f64,
    /// Number of clients, each with one statement at a time.
    pub clients: usize,
    /// How clients choose among several drivers.
    pub behavior: RoamingBehavior,
    /// Seed of arrivals, clients and link proxies.
    pub seed: u64,
}

/// A period in which a driver was killed or stopped.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    /// Driver number, from 1.
    pub driver: u32,
    /// Start of the fault.
    pub from: Timestamp,
    /// Time from which the driver served again.
    pub until: Timestamp,
}

/// A running cluster; dropping it kills its processes and stops the threads of members and discovery.
pub struct Cluster {
    /// What members store and execute.
    pub store: SharedStore,
    script: FaultScript,
    folder: PathBuf,
    program: PathBuf,
    processes: Vec<DriverProcess>,
    /// Outages of drivers, with the times at which they were carried out.
    pub observed_outages: Vec<Outage>,
    _link_proxies: Vec<Link>,
    /// Addresses of members and discovery; connecting to them wakes their threads for the shutdown.
    listeners: Vec<SocketAddr>,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        // Without this, hundreds of runs in one process would leave thousands of threads and slow down each
        // fork.
        lock(&self.store).is_shut_down = true;
        for listener in &self.listeners {
            let _ = TcpStream::connect(listener);
        }
        for process in &mut self.processes {
            if let Some(mut child) = process.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}

/// Results of additional clients.
#[derive(Clone, Debug, Default)]
pub struct Findings {
    /// Number of violations, by rule.
    pub violations: BTreeMap<&'static str, u64>,
    /// Measurements, one line each.
    pub notes: Vec<String>,
}

/// The running cluster, as additional clients use it.
pub struct RunContext {
    /// What members store and execute.
    pub store: SharedStore,
    /// Addresses of all drivers, in the order of their numbers.
    pub drivers: Vec<SocketAddr>,
    /// Length of the load, which starts now, in seconds.
    pub seconds: f64,
    /// Seed of random choices.
    pub seed: u64,
}

/// Starts a cluster, applies the fault script under load, and checks all records.
pub fn run(program: &Path, plan: &ClusterPlan) -> Result<RunReport> {
    run_with_extra_clients(program, plan, |_| Findings::default())
}

/// Like [`run`], with additional clients on a thread of their own.
pub fn run_with_extra_clients(
    program: &Path,
    plan: &ClusterPlan,
    run_extra_clients: impl FnOnce(&RunContext) -> Findings + Send + 'static,
) -> Result<RunReport> {
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
    let options = RoamingOptions {
        clients: plan.clients,
        behavior: plan.behavior,
        seed: plan.seed,
    };
    let load = roaming_clients::start(
        &cluster.store,
        &cluster.listen_addresses(),
        arrivals,
        from,
        options,
    );
    let context = RunContext {
        store: cluster.store.clone(),
        drivers: cluster.listen_addresses(),
        seconds: plan.seconds,
        seed: plan.seed,
    };
    let extra_clients = std::thread::spawn(move || run_extra_clients(&context));
    cluster.apply_driver_faults(from, &plan.script)?;
    let records = load.finish();
    let findings = extra_clients.join().map_err(|_| Error::RunPanicked)?;
    let mut run = RunReport {
        cpu_seconds: cluster.cpu_seconds(),
        violations: findings.violations,
        notes: findings.notes,
        ..RunReport::default()
    };
    if plan.gossip_enabled {
        measure_gossip(&cluster, plan.drivers, from, &mut run)?;
    }
    run.counters = cluster.terminate();
    evaluate(&cluster, &records, &mut run);
    {
        let store = lock(&cluster.store);
        run.lists_with_length = store.lists_with_length;
        run.lists_without_length = store.lists_without_length;
    }
    let _ = std::fs::remove_dir_all(&cluster.folder);
    Ok(run)
}

/// Measures the gossip traffic since `from`, and the time until the drivers' replicated state is equal.
fn measure_gossip(cluster: &Cluster, drivers: u32, from: Timestamp, run: &mut RunReport) -> Result<()> {
    let seconds = (wall_clock_now() - from).ratio(TimeSpan::millis(1000));
    let mut bytes = 0.0;
    for number in 1..=drivers {
        let status = cluster.query_fleet(number, "status")?;
        bytes += status["counts"][0]["bytes_sent"].as_f64().unwrap_or(0.0);
    }
    run.gossip_bytes_per_second = bytes / seconds / f64::from(drivers);
    let convergence_time = cluster.await_convergence(START_TIMEOUT)?;
    run.convergence_seconds = convergence_time.map(|span| span.as_secs_f64());
    if convergence_time.is_none() {
        run.violations
            .insert("gossip: replicated state never converged", 1);
    }
    Ok(())
}
