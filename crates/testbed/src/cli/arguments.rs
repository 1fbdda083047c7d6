//! Arguments that several commands share, and the runs that they describe.

use crate::arrivals::Arrivals;
use crate::checker::{check, StatementRecord};
use crate::cluster::{self, ClusterPlan};
use crate::deployment::{Deployment, Topology};
use crate::error::{Error, Result};
use crate::fault_script::FaultScript;
use crate::load_generator;
use crate::member::lock;
use crate::program_under_test::ProgramUnderTest;
use crate::roaming_clients::RoamingBehavior;
use crate::wire::wall_clock_now;
use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_fault_injection::{CallFault, ClockShift, FaultPlan, PlanError};
use clap::Args;
use std::path::{Path, PathBuf};

/// Arguments of all commands.
#[derive(Args)]
pub(super) struct SetupArguments {
    /// Executable of the program [default: `asterlatch` in the folder of this executable]
    #[arg(long)]
    driver: Option<PathBuf>,
    #[arg(long, default_value_t = 1)]
    pub(super) seed: u64,
    #[arg(long, default_value_t = 3)]
    pub(super) groups: u32,
    #[arg(long, default_value_t = 2)]
    pub(super) replicas: u32,
}

impl SetupArguments {
    pub(super) fn driver(&self) -> Result<PathBuf> {
        match &self.driver {
            Some(path) => Ok(path.clone()),
            None => Ok(std::env::current_exe()?.with_file_name("asterlatch")),
        }
    }
}

#[derive(Args)]
pub(super) struct FleetArguments {
    #[command(flatten)]
    pub(super) setup: SetupArguments,
    #[arg(long, default_value_t = 5)]
    pub(super) drivers: u32,
    /// Statements per second, for all drivers together
    #[arg(long, default_value_t = 600.0)]
    pub(super) rate: f64,
    #[arg(long, default_value_t = 6.0)]
    pub(super) seconds: f64,
    #[arg(long, default_value_t = 64)]
    pub(super) clients: usize,
    /// Statements per thousand that go to a random driver instead of their session's
    #[arg(long, default_value_t = 100)]
    pub(super) roam: u32,
    /// Writes per thousand whose client disconnects soon after sending them and retries at another driver
    #[arg(long, default_value_t = 100)]
    pub(super) hasty: u32,
    /// Disable gossip: drivers share no state
    #[arg(long)]
    pub(super) alone: bool,
}

/// List in a single argument; clap would treat a plain `Vec` as an argument that may be repeated.
#[derive(Clone, Default)]
struct CallList(Vec<CallFault>);

fn parse_calls(text: &str) -> std::result::Result<CallList, PlanError> {
    FaultPlan::parse_calls(text).map(CallList)
}

/// Injected faults of the program's system calls and wall clock.
#[derive(Args)]
struct FaultArguments {
    /// System calls of the program that fail, e.g. `accept,socket=EMFILE`, or `all`
    #[arg(long, value_parser = parse_calls)]
    fail_calls: Option<CallList>,
    /// Each of these calls fails every Nth time
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u32).range(1..))]
    every: u32,
    /// Maximum number of failures of each of these calls [default: no limit]
    #[arg(long)]
    at_most: Option<u32>,
    /// Seconds by which the program's wall clock is ahead; negative if it is behind
    #[arg(long, default_value_t = 0, allow_negative_numbers = true)]
    clock_offset: i64,
    /// Milliseconds after the program's start from which the clock is shifted
    #[arg(long, default_value_t = 0)]
    clock_after: u64,
    /// Milliseconds after the program's start until which the clock is shifted [default: no end]
    #[arg(long)]
    clock_until: Option<u64>,
}

impl FaultArguments {
    fn plan(&self) -> FaultPlan {
        FaultPlan {
            calls: self.fail_calls.clone().unwrap_or_default().0,
            every: self.every,
            max_failures: self.at_most,
            clock: ClockShift {
                offset_s: self.clock_offset,
                after_ms: self.clock_after,
                until_ms: self.clock_until,
            },
        }
    }
}

#[derive(Args)]
pub(super) struct LoadArguments {
    #[command(flatten)]
    pub(super) setup: SetupArguments,
    /// Statements per second
    #[arg(long, default_value_t = 500.0)]
    pub(super) rate: f64,
    /// Members answer reads even if their data is staler than the read allows
    #[arg(long)]
    pub(super) unchecked: bool,
    #[command(flatten)]
    faults: FaultArguments,
    /// Maximum number of statements in flight
    #[arg(long, default_value_t = 96)]
    pub(super) clients: usize,
}

impl LoadArguments {
    /// The program in `file` with the injected faults.
    pub(super) fn program(&self, file: &Path) -> ProgramUnderTest {
        ProgramUnderTest {
            faults: self.faults.plan(),
            ..file.into()
        }
    }

    /// Starts one process of the program under the fault script.
    pub(super) fn deploy(&self, script: FaultScript) -> Result<Deployment> {
        let folder = std::env::temp_dir().join(format!("asterlatch-lab-{}", std::process::id()));
        let topology = Topology {
            groups: self.setup.groups,
            replicas: self.setup.replicas,
        };
        let program = self.program(&self.setup.driver()?);
        Deployment::start(program, &folder, topology, script, !self.unchecked)
    }

    /// Starts the load; returns it with its start time.
    pub(super) fn start_load(
        &self,
        deployment: &Deployment,
        seconds: f64,
    ) -> (load_generator::Load, Timestamp) {
        let from = wall_clock_now();
        let workloads = lock(&deployment.store).workloads.clone();
        let until = TimeSpan((seconds * 1e6) as u64);
        let arrivals = Arrivals::new(&workloads, self.rate, self.setup.groups, until, self.setup.seed);
        let load = load_generator::start(&deployment.store, deployment.listen, arrivals, from, self.clients);
        (load, from)
    }
}

/// Reads the text of a fault script.
pub(super) fn read_script(path: &Path) -> Result<String> {
    std::fs::read_to_string(path).map_err(|source| Error::ReadScript {
        path: path.to_owned(),
        source,
    })
}

/// Stops the program, checks all records and prints the result; returns whether no rule was violated.
pub(super) fn finish_and_check(mut deployment: Deployment, records: &[StatementRecord]) -> bool {
    deployment.stop();
    let report = check(&lock(&deployment.store), records);
    println!("{report}");
    let _ = std::fs::remove_dir_all(&deployment.folder);
    report.violation_count() == 0
}

impl FleetArguments {
    /// Builds the plan of a run with the fault script in `text`.
    fn plan(&self, drivers: u32, text: &str, seed: u64) -> Result<ClusterPlan> {
        Ok(ClusterPlan {
            drivers,
            groups: self.setup.groups,
            replicas: self.setup.replicas,
            script: FaultScript::parse(text)?,
            gossip_enabled: !self.alone,
            seconds: self.seconds,
            rate: self.rate,
            clients: self.clients,
            behavior: RoamingBehavior {
                roam_per_mille: self.roam,
                abandon_per_mille: self.hasty,
            },
            seed,
        })
    }

    /// Runs a cluster with the fault script in `text`.
    pub(super) fn run(&self, drivers: u32, text: &str, seed: u64) -> Result<cluster::RunReport> {
        cluster::run(&self.setup.driver()?, &self.plan(drivers, text, seed)?)
    }
}
