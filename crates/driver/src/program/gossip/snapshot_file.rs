//! The file that holds the snapshot of the replicated state, written on a thread of its own: however slow the disk is,
//! only the next write waits for it.

use asterlatch_gossip::snapshot::WriteRequest;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};

/// The snapshot, and the file that is to replace it.
const FILE_NAME: &str = "shared.log";
const REPLACEMENT_NAME: &str = "shared.new";

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
    let path = folder.join(FILE_NAME);
    match std::fs::read(&path) {
        Ok(bytes) => Ok(Some(bytes)),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(source) => Err(SnapshotFileError { path, source }),
    }
}

/// Starts the thread. It takes one job at a time and calls `on_written` after each, until that returns false or the sender
/// is dropped.
///
/// # Errors
/// If the thread can't be started.
pub(super) fn start(
    folder: &Path,
    mut on_written: impl FnMut(WriteResult) -> bool + Send + 'static,
) -> io::Result<SyncSender<WriteJob>> {
    // A file that may grow no further is an error like a full disk, not the end of the process.
    // SAFETY: ignoring a signal touches no memory.
    unsafe { libc::signal(libc::SIGXFSZ, libc::SIG_IGN) };
    let (sender, jobs): (_, Receiver<WriteJob>) = sync_channel(1);
    let mut file = SnapshotFile::new(folder);
    let write_all = move || {
        for job in jobs {
            let result = file.write(&job).map_err(|source| SnapshotFileError {
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

struct SnapshotFile {
    folder: PathBuf,
    /// Open for appending, after a successful rewrite.
    file: Option<File>,
}

impl SnapshotFile {
    fn new(folder: &Path) -> SnapshotFile {
        SnapshotFile {
            folder: folder.to_owned(),
            file: None,
        }
    }

    fn path(&self) -> PathBuf {
        self.folder.join(FILE_NAME)
    }

    fn write(&mut self, job: &WriteJob) -> io::Result<()> {
        match job.request {
            WriteRequest::Append => self.append(&job.bytes),
            WriteRequest::Rewrite => self.rewrite(&job.bytes),
        }
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let file = self.file.as_mut().ok_or(io::ErrorKind::NotFound)?;
        if file.metadata()?.nlink() == 0 {
            return Err(io::Error::other("the file was taken away"));
        }
        file.write_all(bytes)?;
        file.sync_data()
    }

    /// Replaces the file by rename, so that a crash leaves the former one or the new one.
    fn rewrite(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.file = None;
        std::fs::create_dir_all(&self.folder)?;
        let replacement = self.folder.join(REPLACEMENT_NAME);
        let written = write_synced(&replacement, bytes);
        if written.is_err() {
            // Others may need the space.
            let _ = std::fs::remove_file(&replacement);
        }
        written?;
        std::fs::rename(&replacement, self.path())?;
        File::open(&self.folder)?.sync_all()?;
        self.file = Some(OpenOptions::new().append(true).open(self.path())?);
        Ok(())
    }
}

fn write_synced(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut file = File::create(path)?;
    file.write_all(bytes)?;
    file.sync_all()
}
