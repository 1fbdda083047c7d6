//! The file of the replicated state's snapshot, written on its own thread: a slow disk delays only the next
//! write.

use asterlatch_gossip::snapshot::WriteRequest;
use asterlatch_storage::log_file::{LogFile, LogNames, PreviousLog};
use asterlatch_storage::OsFileSystem;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::thread;
use std::time::Duration;

/// Names of the snapshot, of the file that will replace it, and of a file that a start could not read.
const NAMES: LogNames = LogNames {
    log: "shared.log",
    replacement: "shared.new",
    unreadable: "shared.unread",
};

const READ_ATTEMPTS: u32 = 5;
const READ_RETRY_DELAY: Duration = Duration::from_millis(100);

/// A write of the snapshot.
pub(super) struct WriteJob {
    /// Whether the bytes are appended or replace the file.
    pub(super) request: WriteRequest,
    /// Bytes to write.
    pub(super) bytes: Vec<u8>,
    /// Number of records in the bytes.
    pub(super) records: usize,
}

/// Result of a [`WriteJob`].
pub(super) struct WriteResult {
    /// Request of the job.
    pub(super) request: WriteRequest,
    /// Number of records of the job.
    pub(super) records: usize,
    pub(super) result: Result<(), SnapshotFileError>,
}

/// The snapshot can't be read or written.
#[derive(Debug, thiserror::Error)]
#[error("cannot access {}: {source}", path.display())]
pub struct SnapshotFileError {
    path: PathBuf,
    source: io::Error,
}

/// Reads the snapshot in a folder; `None` if there is none.
///
/// # Errors
/// If the file exists and can't be read.
pub fn read(folder: &Path) -> Result<Option<Vec<u8>>, SnapshotFileError> {
    let path = folder.join(NAMES.log);
    match std::fs::read(&path) {
        Ok(bytes) => Ok(Some(bytes)),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(source) => Err(SnapshotFileError { path, source }),
    }
}

/// As [`read`], with retries: a disk error or a lack of descriptors may be transient.
///
/// # Errors
/// If the file exists and every attempt failed. The file may be intact, so the first write moves it aside.
pub(super) fn read_with_retries(folder: &Path) -> Result<Option<Vec<u8>>, SnapshotFileError> {
    let mut result = read(folder);
    for _ in 1..READ_ATTEMPTS {
        if result.is_ok() {
            break;
        }
        thread::sleep(READ_RETRY_DELAY);
        result = read(folder);
    }
    result
}

/// Starts the thread. It runs one job at a time and calls `on_written` after each, until that returns false
/// or the sender is dropped. A `previous` snapshot that could not be read is moved aside before the first
/// write.
///
/// # Errors
/// If the thread can't be started.
pub(super) fn start(
    folder: &Path,
    previous: PreviousLog,
    mut on_written: impl FnMut(WriteResult) -> bool + Send + 'static,
) -> io::Result<SyncSender<WriteJob>> {
    // Turns exceeding the file size limit into a write error; by default the signal ends the process.
    // SAFETY: ignoring a signal touches no memory.
    unsafe { libc::signal(libc::SIGXFSZ, libc::SIG_IGN) };
    let (sender, jobs): (_, Receiver<WriteJob>) = sync_channel(1);
    let mut file = LogFile::new(OsFileSystem, folder, NAMES, previous);
    let write_all = move || {
        for job in jobs {
            let result = write(&mut file, &job).map_err(|source| SnapshotFileError {
                path: file.path(),
                source,
            });
            let outcome = WriteResult {
                request: job.request,
                records: job.records,
                result,
            };
            if !on_written(outcome) {
                return;
            }
        }
    };
    let thread = std::thread::Builder::new().name("keeping".to_owned());
    thread.spawn(write_all)?;
    Ok(sender)
}

fn write(file: &mut LogFile<OsFileSystem>, job: &WriteJob) -> io::Result<()> {
    match job.request {
        WriteRequest::Append => file.append(&job.bytes),
        WriteRequest::Rewrite => file.replace(&job.bytes),
    }
}
