//! Errors of the test bed itself; violations by the program under test are results, not errors.

use crate::fault_script::ParseError;
use std::io;
use std::path::PathBuf;

/// Why a run could not be completed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A socket, file or process of the test bed failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A fault script can't be parsed.
    #[error(transparent)]
    Script(#[from] ParseError),
    /// A fault script can't be read.
    #[error("cannot read fault script {path}: {source}")]
    ReadScript {
        /// The script's file.
        path: PathBuf,
        /// The error of reading it.
        source: io::Error,
    },
    /// No scenario has this name.
    #[error("unknown scenario '{name}'; known scenarios: {known}")]
    UnknownScenario {
        /// The requested name.
        name: String,
        /// Names of all scenarios, separated by commas.
        known: String,
    },
    /// The program under test can't be started.
    #[error("cannot start {program}: {source}")]
    StartProgram {
        /// Path of the executable.
        program: PathBuf,
        /// The error of spawning it.
        source: io::Error,
    },
    /// The shared object that injects faults is missing.
    #[error("cannot find {path}; build it with `cargo build -p asterlatch-fault-preload`")]
    MissingPreload {
        /// Expected path.
        path: PathBuf,
    },
    /// The only process of a deployment didn't serve in time.
    #[error("the program did not serve in time: {0}")]
    ProgramNotServing(#[source] io::Error),
    /// A process of a cluster didn't serve in time.
    #[error("driver {driver} did not serve in time: {source}\n{log}")]
    DriverNotServing {
        /// From 1.
        driver: u32,
        /// The error of the last connection attempt.
        source: io::Error,
        /// Log of its first start.
        log: String,
    },
    /// The drivers of a cluster didn't list each other in time.
    #[error("the drivers did not discover each other in time")]
    MembershipTimeout,
    /// The output of the program's `fleet` command isn't JSON.
    #[error("cannot parse output of `fleet {command}` for driver {driver}: {source} {stderr}")]
    InvalidStatus {
        /// Subcommand of `fleet`.
        command: String,
        /// From 1.
        driver: u32,
        /// The JSON error.
        source: serde_json::Error,
        /// The command's standard error.
        stderr: String,
    },
    /// The program reported a failed upgrade, with this output.
    #[error("upgrade failed: {0}")]
    UpgradeFailed(String),
    /// The program's output after an upgrade doesn't name the successor.
    #[error("upgrade output names no successor process: {0}")]
    UnnamedSuccessor(String),
    /// A thread that runs clusters panicked.
    #[error("a run panicked")]
    RunPanicked,
}

/// Result of an operation of the test bed.
pub type Result<T> = std::result::Result<T, Error>;
