//! Command line of the test bed.

mod adverse;
mod arguments;
mod demo;
mod fleet;
mod trial_fleet;
mod upgrade;

use crate::error::Result;
use arguments::{FleetArguments, LoadArguments, SetupArguments};
use asterlatch::time::TimeSpan;
use clap::{CommandFactory, FromArgMatches, Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;
use upgrade::UpgradeOptions;

/// Minimum time without faults before an upgrade.
const MIN_CALM_SECONDS: f64 = 0.5;

/// Test bed of the program with stand-in members, discovery and clients
#[derive(Parser)]
#[command(version)]
struct CommandLine {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run one process under load with faults of members, and check all answers
    Demo {
        #[command(flatten)]
        arguments: LoadArguments,
        /// Length of the load in seconds
        #[arg(long, default_value_t = 10.0)]
        seconds: f64,
        /// File of the fault script [default: a few faults of each kind]
        #[arg(long)]
        script: Option<PathBuf>,
    },
    /// Run several processes under load with faults of drivers, links and members, and check all answers
    Fleet {
        #[command(flatten)]
        arguments: FleetArguments,
        /// Name of the scenario
        #[arg(long, default_value = "killed")]
        scene: String,
        /// File of a fault script, in place of a scenario
        #[arg(long)]
        script: Option<PathBuf>,
    },
    /// Run scenarios with idle connections, faults of discovery, stalled clients and short timeouts
    Adverse {
        #[command(flatten)]
        setup: SetupArguments,
        /// Name of a scenario to run; may be repeated [default: all]
        #[arg(long)]
        scene: Vec<String>,
        #[arg(long, default_value_t = 1)]
        seeds: u64,
    },
    /// Run all scenarios of `fleet`, each with several seeds
    TrialFleet {
        #[command(flatten)]
        arguments: FleetArguments,
        #[arg(long, default_value_t = 6)]
        seeds: u64,
        /// Number of concurrent runs; one of five drivers takes about half a core
        #[arg(long, default_value_t = 1)]
        jobs: usize,
        /// Name of a scenario to run; may be repeated [default: all]
        #[arg(long)]
        scene: Vec<String>,
    },
    /// Run upgrades or restarts of one process under load, and compare latencies before, during and after
    Upgrade {
        #[command(flatten)]
        arguments: LoadArguments,
        #[arg(long, default_value_t = 20)]
        count: u32,
        /// Restart the process instead of upgrading it
        #[arg(long)]
        restart: bool,
        /// Executable of another build; upgrades alternate between both
        #[arg(long, conflicts_with = "restart")]
        next: Option<PathBuf>,
        /// Inject a member's fault during every second upgrade
        #[arg(long)]
        faults: bool,
        /// Seconds after each upgrade in which its effect is measured
        #[arg(long, default_value_t = 2.0)]
        after: f64,
        /// Seconds without faults before each upgrade
        #[arg(long, default_value_t = 2.0)]
        calm: f64,
    },
}

/// Runs the command line of the executable `name`; returns its exit code: 0 if no rule was violated, 1 if one
/// was, 2 on an error.
pub fn main(name: &'static str) -> ExitCode {
    let matches = CommandLine::command().name(name).get_matches();
    let command_line = CommandLine::from_arg_matches(&matches).unwrap_or_else(|e| e.exit());
    match run(command_line.command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(e) => {
            eprintln!("{name}: {e}");
            ExitCode::from(2)
        }
    }
}

/// Runs a command; returns whether no rule was violated.
fn run(command: Command) -> Result<bool> {
    match command {
        Command::Fleet {
            arguments,
            scene,
            script,
        } => fleet::run(&arguments, &scene, script.as_deref()),
        Command::TrialFleet {
            arguments,
            seeds,
            jobs,
            scene,
        } => trial_fleet::run(&arguments, seeds, jobs, &scene),
        Command::Adverse { setup, scene, seeds } => adverse::run(&setup, seeds, &scene),
        Command::Demo {
            arguments,
            seconds,
            script,
        } => demo::run(&arguments, seconds, script.as_deref()),
        Command::Upgrade {
            arguments,
            count,
            restart,
            next,
            faults,
            after,
            calm,
        } => {
            let options = UpgradeOptions {
                count,
                restart,
                next,
                faults,
                calm_before: seconds_to_span(calm.max(MIN_CALM_SECONDS)),
                observed_after: seconds_to_span(after),
            };
            upgrade::run(&arguments, options)
        }
    }
}

fn seconds_to_span(seconds: f64) -> TimeSpan {
    TimeSpan((seconds.max(0.0) * 1e6) as u64)
}
