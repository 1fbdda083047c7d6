//! Arguments that several commands share, and what is started by them.

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

/// What every command puts up.
#[derive(Args)]
pub(super) struct SetupArguments {
    /// The built program; without it the one that lies beside this one.
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
    pub(super) basis: SetupArguments,
    #[arg(long, default_value_t = 5)]
    pub(super) drivers: u32,
    /// Statements a second, over all drivers.
    #[arg(long, default_value_t = 600.0)]
    pub(super) rate: f64,
    #[arg(long, default_value_t = 6.0)]
    pub(super) seconds: f64,
    #[arg(long, default_value_t = 64)]
    pub(super) clients: usize,
    /// Of a thousand statements, those asked at another driver than their session's.
    #[arg(long, default_value_t = 100)]
    pub(super) roam: u32,
    /// Of a thousand writes, those whose client goes away at once and repeats them elsewhere.
    #[arg(long, default_value_t = 100)]
    pub(super) hasty: u32,
    /// Each driver is alone: nothing is shared.
    #[arg(long)]
    pub(super) alone: bool,
}

/// One argument's list, which clap would else take for an argument that is given several times.
#[derive(Clone, Default)]
struct CallList(Vec<CallFault>);

fn parse_calls(text: &str) -> std::result::Result<CallList, PlanError> {
    FaultPlan::parse_calls(text).map(CallList)
}

/// Faults of the program's own system calls and wall clock.
#[derive(Args)]
struct FaultArguments {
    /// System calls of the program that fail, as `accept,socket=EMFILE`; `all` for each of them.
    #[arg(long, value_parser = parse_calls)]
    fail_calls: Option<CallList>,
    /// Each of them fails every so many-th time.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u32).range(1..))]
    every: u32,
    /// So many failures of each of them at most.
    #[arg(long)]
    at_most: Option<u32>,
    /// Seconds that the program's wall clock is ahead; negative if it is behind.
    #[arg(long, default_value_t = 0, allow_negative_numbers = true)]
    clock_offset: i64,
    /// Milliseconds after its start from which the clock is off.
    #[arg(long, default_value_t = 0)]
    clock_after: u64,
    /// Milliseconds after its start until which the clock is off; without it for good.
    #[arg(long)]
    clock_until: Option<u64>,
}

impl FaultArguments {
    fn plan(&self) -> FaultPlan {
        FaultPlan {
            calls: self.fail_calls.clone().unwrap_or_default().0,
            every: self.every,
            most: self.at_most,
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
    pub(super) basis: SetupArguments,
    /// Statements a second.
    #[arg(long, default_value_t = 500.0)]
    pub(super) rate: f64,
    /// Members answer reads from what they have, however old that is.
    #[arg(long)]
    pub(super) unchecked: bool,
    #[command(flatten)]
    faults: FaultArguments,
    /// How many may wait for an answer at once.
    #[arg(long, default_value_t = 96)]
    pub(super) clients: usize,
}

impl LoadArguments {
    /// The program in this file, with the faults that are asked for.
    pub(super) fn program(&self, file: &Path) -> ProgramUnderTest {
        ProgramUnderTest {
            faults: self.faults.plan(),
            ..file.into()
        }
    }

    /// Starts one process of the program under this script.
    pub(super) fn deploy(&self, script: FaultScript) -> Result<Deployment> {
        let folder = std::env::temp_dir().join(format!("asterlatch-lab-{}", std::process::id()));
        let topology = Topology {
            groups: self.basis.groups,
            replicas: self.basis.replicas,
        };
        let program = self.program(&self.basis.driver()?);
        Deployment::start(program, &folder, topology, script, !self.unchecked)
    }

    /// Starts the load; returns it with its begin.
    pub(super) fn start_load(
        &self,
        deployment: &Deployment,
        seconds: f64,
    ) -> (load_generator::Load, Timestamp) {
        let from = wall_clock_now();
        let workloads = lock(&deployment.store).workloads.clone();
        let until = TimeSpan((seconds * 1e6) as u64);
        let arrivals = Arrivals::new(&workloads, self.rate, self.basis.groups, until, self.basis.seed);
        let load = load_generator::start(&deployment.store, deployment.listen, arrivals, from, self.clients);
        (load, from)
    }
}

/// Reads a fault script's text; an error names the file.
pub(super) fn read_script(path: &Path) -> Result<String> {
    std::fs::read_to_string(path).map_err(|source| Error::ReadScript {
        path: path.to_owned(),
        source,
    })
}

/// Ends the program and prints the check of all records; whether all rules were kept.
pub(super) fn conclude(mut deployment: Deployment, records: &[StatementRecord]) -> bool {
    deployment.stop();
    let report = check(&lock(&deployment.store), records);
    println!("{report}");
    let _ = std::fs::remove_dir_all(&deployment.folder);
    report.violation_count() == 0
}

impl FleetArguments {
    /// The plan of a run with this fault script.
    fn plan(&self, drivers: u32, text: &str, seed: u64) -> Result<ClusterPlan> {
        Ok(ClusterPlan {
            drivers,
            groups: self.basis.groups,
            replicas: self.basis.replicas,
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

    /// Runs one cluster.
    pub(super) fn run(&self, drivers: u32, text: &str, seed: u64) -> Result<cluster::RunReport> {
        cluster::run(&self.basis.driver()?, &self.plan(drivers, text, seed)?)
    }
}
