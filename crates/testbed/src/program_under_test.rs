//! The built program, and the faults that it is started with.

use crate::error::{Error, Result};
use crate::process_guard;
use asterlatch_fault_injection::FaultPlan;
use std::path::{Path, PathBuf};
use std::process::Command;

/// File of the shared object that injects faults, as cargo builds it.
const PRELOAD_FILE: &str = "libasterlatch_fault_preload.so";

/// The program that a test bed starts.
#[derive(Clone, Debug)]
pub struct ProgramUnderTest {
    /// Its file.
    pub file: PathBuf,
    /// System calls of it that fail, and the shift of its wall clock. They hold for its successors too.
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
    /// A command that starts it; the process ends with the test bed.
    ///
    /// # Errors
    /// If the guard can't be started, or the shared object with the faults isn't there.
    pub fn command(&self) -> Result<Command> {
        let mut command = Command::new(&self.file);
        process_guard::end_with_this_process(&mut command)?;
        inject_faults(&mut command, &self.faults)?;
        Ok(command)
    }
}

/// Injects these faults into the process that this command starts, and into no other.
///
/// # Errors
/// If there are faults and the shared object isn't there.
pub fn inject_faults(command: &mut Command, faults: &FaultPlan) -> Result<()> {
    if !faults.is_empty() {
        command.env("LD_PRELOAD", preload_file()?);
        command.envs(faults.environment());
    }
    Ok(())
}

/// The shared object beside this executable, or where cargo leaves what packages depend on.
fn preload_file() -> Result<PathBuf> {
    let executable = std::env::current_exe()?;
    let beside = executable.with_file_name(PRELOAD_FILE);
    let built_for_packages = executable.with_file_name("deps").join(PRELOAD_FILE);
    if beside.exists() {
        Ok(beside)
    } else if built_for_packages.exists() {
        Ok(built_for_packages)
    } else {
        Err(Error::NoPreload { path: beside })
    }
}
