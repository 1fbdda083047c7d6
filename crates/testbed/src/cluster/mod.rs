//! Several processes of the program with one store behind them, link proxies between them, and scripted faults.

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

/// What a run starts, and under which load and faults.
#[derive(Clone, Debug)]
pub struct ClusterPlan {
    /// Processes of the program.
    pub drivers: u32,
    /// Groups of members.
    pub groups: u32,
    /// Replicas in each group, beside its primary.
    pub replicas: u32,
    /// Faults, from the begin of the load.
    pub script: FaultScript,
    /// Whether drivers share state by gossip.
    pub gossip_enabled: bool,
    /// Length of the load.
    pub seconds: f64,
    /// Statements a second.
    pub rate: f64,
    /// Clients, each with one statement at a time.
    pub clients: usize,
    /// How clients use several drivers.
    pub behavior: RoamingBehavior,
    /// Of arrivals, clients and link proxies.
    pub seed: u64,
}

/// A span in which a driver was killed or stopped.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    /// From 1.
    pub driver: u32,
    /// When the fault began.
    pub from: Timestamp,
    /// When the driver served again.
    pub until: Timestamp,
}

/// A running cluster; dropping it kills its processes and ends the threads of members and discovery.
pub struct Cluster {
    /// What members store and execute.
    pub store: SharedStore,
    script: FaultScript,
    folder: PathBuf,
    program: PathBuf,
    processes: Vec<DriverProcess>,
    /// Faults of processes, as they were carried out.
    pub observed_outages: Vec<Outage>,
    _link_proxies: Vec<Link>,
    /// Addresses of members and discovery, to wake their threads at the end.
    listeners: Vec<SocketAddr>,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        // Otherwise hundreds of runs in one process leave thousands of threads, and each fork copies their memory.
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

/// What other clients find beside the load.
#[derive(Clone, Debug, Default)]
pub struct Findings {
    /// Count of violations by rule.
    pub violations: BTreeMap<&'static str, u64>,
    /// What was measured, a line each.
    pub notes: Vec<String>,
}

/// What other clients use beside the load.
pub struct Surroundings {
    /// What members store and execute.
    pub store: SharedStore,
    /// Addresses of all drivers, in the order of their numbers.
    pub drivers: Vec<SocketAddr>,
    /// Length of the load, which begins now.
    pub seconds: f64,
    /// Of random choices.
    pub seed: u64,
}

/// Starts a cluster, applies the script under load, and checks all records.
pub fn run(program: &Path, plan: &ClusterPlan) -> Result<RunReport> {
    run_beside(program, plan, |_| Findings::default())
}

/// As [`run`], with other clients on a thread beside the load.
pub fn run_beside(
    program: &Path,
    plan: &ClusterPlan,
    beside: impl FnOnce(&Surroundings) -> Findings + Send + 'static,
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
    let surroundings = Surroundings {
        store: cluster.store.clone(),
        drivers: cluster.listen_addresses(),
        seconds: plan.seconds,
        seed: plan.seed,
    };
    let others = std::thread::spawn(move || beside(&surroundings));
    cluster.apply_driver_faults(from, &plan.script)?;
    let records = load.finish();
    let findings = others.join().map_err(|_| Error::RunPanicked)?;
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

/// Gossip traffic since `from`, and how long the copies take to become equal.
fn measure_gossip(cluster: &Cluster, drivers: u32, from: Timestamp, run: &mut RunReport) -> Result<()> {
    let seconds = (wall_clock_now() - from).ratio(TimeSpan::millis(1000));
    let mut bytes = 0.0;
    for number in 1..=drivers {
        let status = cluster.query_status(number, "status")?;
        bytes += status["counts"][0]["bytes_sent"].as_f64().unwrap_or(0.0);
    }
    run.gossip_bytes_per_second = bytes / seconds / f64::from(drivers);
    let converged = cluster.await_equal_copies(START_TIMEOUT)?;
    run.convergence_seconds = converged.map(|span| span.as_secs_f64());
    if converged.is_none() {
        run.violations.insert("copies never equal", 1);
    }
    Ok(())
}
