//! Kills the processes under test when the test bed ends, also by SIGKILL.
//!
//! They belong to the process group of a guard, a shell that reads from a pipe whose other end only the test
//! bed holds. When the test bed ends, the kernel closes the pipe and the guard kills its process group,
//! successors of the program included. `PR_SET_PDEATHSIG` would not do: it depends on the spawning thread,
//! and successors don't inherit it.

use std::io;
use std::os::unix::process::CommandExt;
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, PoisonError};

/// Waits for the end of its input, then kills its process group, itself included.
const GUARD_SCRIPT: &str = "read _; kill -KILL 0";

/// The running guard; keeps the write end of its pipe open until this process ends.
static GUARD: Mutex<Option<Child>> = Mutex::new(None);

/// Puts the process that `command` starts into the guard's process group, so that it ends with the test bed.
///
/// # Errors
/// The guard can't be started.
pub fn end_with_this_process(command: &mut Command) -> io::Result<()> {
    let mut guard = GUARD.lock().unwrap_or_else(PoisonError::into_inner);
    let group = match &*guard {
        Some(guard) => guard.id(),
        None => guard.insert(start_guard()?).id(),
    };
    command.process_group(group as i32);
    Ok(())
}

fn start_guard() -> io::Result<Child> {
    Command::new("sh")
        .args(["-c", GUARD_SCRIPT])
        .process_group(0)
        .stdin(Stdio::piped())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
}
