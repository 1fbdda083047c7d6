//! Writes the copy of what is shared to a disk, on a thread of its own: however slow that is, nobody waits for it but the
//! next group of writes.

use asterlatch_gossip::snapshot::WriteRequest;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};

pub struct Job {
    pub wish: WriteRequest,
    pub bytes: Vec<u8>,
    pub records: usize,
}

pub type Done = (WriteRequest, usize, Result<(), String>);

/// The copy's file, and the one that is to take its place.
const NAME: &str = "shared.log";
const NEW: &str = "shared.new";

/// What lies there; nothing where nothing was ever kept.
pub fn read(folder: &Path) -> Result<Option<Vec<u8>>, String> {
    let path = folder.join(NAME);
    match std::fs::read(&path) {
        Ok(bytes) => Ok(Some(bytes)),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(e) => Err(format!("{}: {e}", path.display())),
    }
}

/// Takes one job at a time, and says what became of it.
pub fn start(
    folder: &Path,
    mut done: impl FnMut(Done) -> bool + Send + 'static,
) -> io::Result<SyncSender<Job>> {
    // A file that may grow no further is an error like a full disk, not the end of the process.
    // SAFETY: ignoring a signal touches no memory.
    unsafe { libc::signal(libc::SIGXFSZ, libc::SIG_IGN) };
    let (jobs, inbox): (_, Receiver<Job>) = sync_channel(1);
    let folder = folder.to_owned();
    let write = move || {
        let mut file = None;
        for job in inbox {
            let result = carry_out(&folder, &mut file, &job);
            let result = result.map_err(|e| format!("{}: {e}", folder.join(NAME).display()));
            if !done((job.wish, job.records, result)) {
                return;
            }
        }
    };
    let thread = std::thread::Builder::new().name("keeping".to_owned());
    thread.spawn(write)?;
    Ok(jobs)
}

fn carry_out(folder: &PathBuf, file: &mut Option<File>, job: &Job) -> io::Result<()> {
    match job.wish {
        WriteRequest::Append => {
            let file = file.as_mut().ok_or(io::ErrorKind::NotFound)?;
            if file.metadata()?.nlink() == 0 {
                return Err(io::Error::other("the file was taken away"));
            }
            file.write_all(&job.bytes)?;
            file.sync_data()
        }
        WriteRequest::Rewrite => {
            *file = None;
            std::fs::create_dir_all(folder)?;
            let beside = folder.join(NEW);
            let written = write_whole(&beside, &job.bytes);
            if written.is_err() {
                // What it fills others may need.
                let _ = std::fs::remove_file(&beside);
            }
            written?;
            std::fs::rename(&beside, folder.join(NAME))?;
            File::open(folder)?.sync_all()?;
            *file = Some(OpenOptions::new().append(true).open(folder.join(NAME))?);
            Ok(())
        }
    }
}

fn write_whole(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut file = File::create(path)?;
    file.write_all(bytes)?;
    file.sync_all()
}
