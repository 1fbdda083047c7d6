//! The file that holds the snapshot of the replicated state, written on a thread of its own: however slow the disk is,
//! only the next write waits for it.

use asterlatch_gossip::snapshot::WriteRequest;
use asterlatch_storage::log_file::{LogFile, LogNames, PreviousLog};
use asterlatch_storage::OsFileSystem;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::thread;
use std::time::Duration;

/// The snapshot, the file that is to replace it, and one that a start could not read.
const NAMES: LogNames = LogNames {
    log: "shared.log",
    replacement: "shared.new",
    unreadable: "shared.unread",
};

/// Attempts of a start to read the snapshot, and the time between two.
const READ_ATTEMPTS: u32 = 5;
const READ_PAUSE: Duration = Duration::from_millis(100);

/// Bytes to be written.
pub(super) struct WriteJob {
    /// Whether they are appended or replace the file.
    pub(super) request: WriteRequest,
    /// The bytes.
    pub(super) bytes: Vec<u8>,
    /// Number of records in them.
    pub(super) records: usize,
}

/// The end of a write.
pub(super) struct WriteResult {
    /// What was requested.
    pub(super) request: WriteRequest,
    /// Number of records.
    pub(super) records: usize,
    /// Whether it succeeded.
    pub(super) result: Result<(), SnapshotFileError>,
}

/// The file could not be read or written.
#[derive(Debug, thiserror::Error)]
#[error("{}: {source}", path.display())]
pub struct SnapshotFileError {
    path: PathBuf,
    source: io::Error,
}

/// The bytes of the snapshot in a folder; `None` if none was ever written.
///
/// # Errors
/// If the file is there and can't be read.
pub fn read(folder: &Path) -> Result<Option<Vec<u8>>, SnapshotFileError> {
    let path = folder.join(NAMES.log);
    match std::fs::read(&path) {
        Ok(bytes) => Ok(Some(bytes)),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(source) => Err(SnapshotFileError { path, source }),
    }
}

/// As [`read`], again where that fails: a disk or the lack of descriptors may pass.
///
/// # Errors
/// If the file is there and could not be read in any attempt. It may be sound: the first write puts it aside.
pub(super) fn read_patiently(folder: &Path) -> Result<Option<Vec<u8>>, SnapshotFileError> {
    let mut found = read(folder);
    for _ in 1..READ_ATTEMPTS {
        if found.is_ok() {
            break;
        }
        thread::sleep(READ_PAUSE);
        found = read(folder);
    }
    found
}

/// Starts the thread. It takes one job at a time and calls `on_written` after each, until that returns false or the sender
/// is dropped. A `former` snapshot that wasn't read is put aside before the first write.
///
/// # Errors
/// If the thread can't be started.
pub(super) fn start(
    folder: &Path,
    former: PreviousLog,
    mut on_written: impl FnMut(WriteResult) -> bool + Send + 'static,
) -> io::Result<SyncSender<WriteJob>> {
    // A file that may grow no further is an error like a full disk, not the end of the process.
    // SAFETY: ignoring a signal touches no memory.
    unsafe { libc::signal(libc::SIGXFSZ, libc::SIG_IGN) };
    let (sender, jobs): (_, Receiver<WriteJob>) = sync_channel(1);
    let mut file = LogFile::new(OsFileSystem, folder, NAMES, former);
    let write_all = move || {
        for job in jobs {
            let result = write(&mut file, &job).map_err(|source| SnapshotFileError {
                path: file.path(),
                source,
            });
            let done = WriteResult {
                request: job.request,
                records: job.records,
                result,
            };
            if !on_written(done) {
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
