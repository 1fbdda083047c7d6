//! The built program and the faults that are injected into it.

use crate::error::{Error, Result};
use crate::process_guard;
use asterlatch_fault_injection::FaultPlan;
use std::path::{Path, PathBuf};
use std::process::Command;

/// File name of the shared object that injects faults.
const PRELOAD_FILE: &str = "libasterlatch_fault_preload.so";

/// An executable to be tested, with its injected faults.
#[derive(Clone, Debug)]
pub struct ProgramUnderTest {
    /// Path of the executable.
    pub file: PathBuf,
    /// Failing system calls and shift of the wall clock, also of its successors.
    pub faults: FaultPlan,
}

impl From<&Path> for ProgramUnderTest {
    fn from(file: &Path) -> ProgramUnderTest {
        ProgramUnderTest {
            file: file.to_owned(),
            faults: FaultPlan::default(),
        }
    }
}

impl From<&PathBuf> for ProgramUnderTest {
    fn from(file: &PathBuf) -> ProgramUnderTest {
        file.as_path().into()
    }
}

impl ProgramUnderTest {
    /// Returns a command that starts the program; its process ends with the test bed.
    ///
    /// # Errors
    /// The guard can't be started, or the shared object that injects faults is missing.
    pub fn command(&self) -> Result<Command> {
        let mut command = Command::new(&self.file);
        process_guard::end_with_this_process(&mut command)?;
        inject_faults(&mut command, &self.faults)?;
        Ok(command)
    }
}

/// Injects `faults` into the process that `command` starts.
///
/// # Errors
/// The shared object that injects faults is missing; not checked if `faults` is empty.
pub fn inject_faults(command: &mut Command, faults: &FaultPlan) -> Result<()> {
    if !faults.is_empty() {
        command.env("LD_PRELOAD", preload_file()?);
        command.envs(faults.environment());
    }
    Ok(())
}

/// Finds the shared object next to this executable, or in `deps`, where cargo puts dependencies.
fn preload_file() -> Result<PathBuf> {
    let executable = std::env::current_exe()?;
    let sibling = executable.with_file_name(PRELOAD_FILE);
    let built_as_dependency = executable.with_file_name("deps").join(PRELOAD_FILE);
    if sibling.exists() {
        Ok(sibling)
    } else if built_as_dependency.exists() {
        Ok(built_as_dependency)
    } else {
        Err(Error::MissingPreload { path: sibling })
    }
}
