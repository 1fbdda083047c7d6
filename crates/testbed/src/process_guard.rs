//! Ends the processes under test when the test bed ends, however it ends.
//!
//! They belong to the process group of a guard, a shell that waits at a pipe of which the test bed alone holds the other
//! end. The kernel closes that end with the test bed, by SIGKILL too, and the guard then kills its group. Successors of
//! the program under test are in the group as well. A parent death signal would be bound to the thread that has started
//! the process, and its successors would not have it.

use std::io;
use std::os::unix::process::CommandExt;
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, PoisonError};

/// Waits for the end of its input, then kills its process group and thereby itself.
const GUARD_SCRIPT: &str = "read _; kill -KILL 0";

/// Holds its end of the pipe until this process ends.
static GUARD: Mutex<Option<Child>> = Mutex::new(None);

/// Has the process that this command starts end with the test bed.
///
/// # Errors
/// If the guard can't be started.
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
