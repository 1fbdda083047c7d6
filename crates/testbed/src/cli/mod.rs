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

/// Least time without an event before an upgrade.
const MIN_CALM_SECONDS: f64 = 0.5;

/// Stand-in members, discovery and clients around the built program.
#[derive(Parser)]
#[command(version)]
struct CommandLine {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Three groups, the program, and ten seconds of load with faults: what became of each statement.
    Demo {
        #[command(flatten)]
        common: LoadArguments,
        /// For how many seconds clients ask.
        #[arg(long, default_value_t = 10.0)]
        seconds: f64,
        /// Faults, a line each; without it a few of each kind.
        #[arg(long)]
        script: Option<PathBuf>,
    },
    /// Several processes of the program with faults between them.
    Fleet {
        #[command(flatten)]
        arguments: FleetArguments,
        /// What befalls whom: one of the scenes by name.
        #[arg(long, default_value = "killed")]
        scene: String,
        /// Or a script, a line each.
        #[arg(long)]
        script: Option<PathBuf>,
    },
    /// Trouble beyond the operators' bench, with two or three drivers: idle connections, discovery, clients that stop.
    Adverse {
        #[command(flatten)]
        basis: SetupArguments,
        /// Only these scenarios.
        #[arg(long)]
        scene: Vec<String>,
        #[arg(long, default_value_t = 1)]
        seeds: u64,
    },
    /// All scenes, each with so many seeds.
    TrialFleet {
        #[command(flatten)]
        arguments: FleetArguments,
        #[arg(long, default_value_t = 6)]
        seeds: u64,
        /// So many plays at once: a play of five drivers takes about half of a core.
        #[arg(long, default_value_t = 1)]
        jobs: usize,
        /// Only these scenes.
        #[arg(long)]
        scene: Vec<String>,
    },
    /// Upgrades, or restarts in their place, under load: what clients notice.
    Upgrade {
        #[command(flatten)]
        common: LoadArguments,
        #[arg(long, default_value_t = 20)]
        count: u32,
        /// A restart instead: leaves, and begins with nothing learned.
        #[arg(long)]
        restart: bool,
        /// Another build of the program: upgrades go to it and back in turn.
        #[arg(long, conflicts_with = "restart")]
        next: Option<PathBuf>,
        /// A member's fault beside every second one.
        #[arg(long)]
        faults: bool,
        /// For how many seconds behind each one its effect is looked at.
        #[arg(long, default_value_t = 2.0)]
        after: f64,
        /// For how many seconds before each one nothing happens.
        #[arg(long, default_value_t = 2.0)]
        calm: f64,
    },
}

/// Runs the command line of the program called `name` and returns its exit code: 0 if every rule was kept, 1 if one was
/// broken, 2 on an error.
pub fn main(name: &'static str) -> ExitCode {
    let matches = CommandLine::command().name(name).get_matches();
    let line = CommandLine::from_arg_matches(&matches).unwrap_or_else(|e| e.exit());
    match run(line.command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(e) => {
            eprintln!("{name}: {e}");
            ExitCode::from(2)
        }
    }
}

/// Runs a command; whether all rules were kept.
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
        Command::Adverse { basis, scene, seeds } => adverse::run(&basis, seeds, &scene),
        Command::Demo {
            common,
            seconds,
            script,
        } => demo::run(&common, seconds, script.as_deref()),
        Command::Upgrade {
            common,
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
                calm_before: span(calm.max(MIN_CALM_SECONDS)),
                observed_after: span(after),
            };
            upgrade::run(&common, options)
        }
    }
}

fn span(seconds: f64) -> TimeSpan {
    TimeSpan((seconds.max(0.0) * 1e6) as u64)
}
