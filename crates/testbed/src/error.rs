//! Errors of the test bed itself; rules that a program breaks are results, not errors.

use crate::fault_script::ParseError;
use std::io;
use std::path::PathBuf;

/// Why an experiment can't be run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A socket, file or process of the test bed failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A fault script can't be parsed.
    #[error(transparent)]
    Script(#[from] ParseError),
    /// A fault script can't be read.
    #[error("{path}: {source}")]
    ReadScript {
        /// The script's file.
        path: PathBuf,
        /// What reading it gave.
        source: io::Error,
    },
    /// No scenario has this name.
    #[error("no scene '{name}': {known}")]
    UnknownScenario {
        /// As asked for.
        name: String,
        /// All names.
        known: String,
    },
    /// The program under test can't be started.
    #[error("{program}: {source}")]
    StartProgram {
        /// Its file.
        program: PathBuf,
        /// What starting it gave.
        source: io::Error,
    },
    /// The shared object with the faults isn't there.
    #[error("{path}: not built; cargo build -p asterlatch-fault-preload")]
    NoPreload {
        /// Where it should be.
        path: PathBuf,
    },
    /// The only process of a deployment didn't serve in time.
    #[error("the program doesn't serve: {0}")]
    ProgramNotServing(#[source] io::Error),
    /// A process of a cluster didn't serve in time.
    #[error("driver {driver} doesn't serve: {source}\n{log}")]
    DriverNotServing {
        /// From 1.
        driver: u32,
        /// The last attempt to talk to it.
        source: io::Error,
        /// Log of its first start.
        log: String,
    },
    /// The drivers of a cluster didn't list each other in time.
    #[error("the drivers don't find each other")]
    MembershipTimeout,
    /// A driver's answer about shared state is no JSON.
    #[error("fleet {command} of driver {driver}: {source} {stderr}")]
    InvalidStatus {
        /// The program's subcommand of `fleet`.
        command: String,
        /// From 1.
        driver: u32,
        /// Where parsing stopped.
        source: serde_json::Error,
        /// What the program wrote beside it.
        stderr: String,
    },
    /// The program reported a failed upgrade, with this output.
    #[error("{0}")]
    UpgradeFailed(String),
    /// The program's output after an upgrade doesn't name the successor.
    #[error("names no process: {0}")]
    UnnamedSuccessor(String),
    /// A thread that runs clusters panicked.
    #[error("a play panicked")]
    RunPanicked,
}

/// Result of an operation of the test bed.
pub type Result<T> = std::result::Result<T, Error>;
