//! A thread that reads the operators' file and stores generations, so that a large file or a slow disk can't
//! delay statements. While the disk fails, storing the newest generation is retried with a growing backoff.

use super::{read, schema, OperatorsError, OperatorsOptions};
use crate::routing::events::{ControlEvent, Event};
use asterlatch_config::diagnostic;
use asterlatch_config::generation_writer::GenerationWriter;
use asterlatch_config::generations::ReadOutcome;
use asterlatch_config::resolved::{hash, ResolvedSettings};
use asterlatch_config::schema::Machine;
use asterlatch_config::store::{GenerationStore, StoreError};
use asterlatch_storage::OsFileSystem;
use std::path::PathBuf;
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};

/// A job for the thread.
pub(super) enum Job {
    /// Read the file.
    Read {
        /// Ticket of the read.
        ticket: u64,
        /// Limits of the process, against which the file is checked.
        machine: Machine,
    },
    /// Store a generation.
    Store {
        /// Number of the generation.
        number: u64,
        /// Canonical text of its settings.
        canonical: String,
        /// Maximum number of stored generations.
        max_stored: usize,
    },
}

/// Result of a job, or of a retry.
pub(super) enum JobResult {
    /// The file was read.
    Read {
        /// Ticket of the read.
        ticket: u64,
        /// The settings of the file, or the number of its errors.
        outcome: ReadOutcome<ResolvedSettings>,
        /// Diagnostics, one per line.
        text: String,
    },
    /// Storing a generation failed, or succeeded after a failure.
    Stored(StoreReport),
}

/// Report to operators about storing a generation.
pub(super) enum StoreReport {
    /// The first attempt failed.
    Failed {
        /// Number of the generation.
        number: u64,
        /// The step that failed, and why.
        error: StoreError,
    },
    /// A later attempt succeeded.
    Recovered {
        /// Number of the generation.
        number: u64,
    },
}

type DiskWriter = GenerationWriter<OsFileSystem>;

/// Whether the thread continues.
#[derive(Clone, Copy, PartialEq)]
enum Flow {
    Continue,
    End,
}

/// The owner's end of the thread.
pub struct WorkerHandle {
    /// `None` without an operators' file: there is no thread.
    pub(super) jobs: Option<Sender<Job>>,
    pub(super) results: Receiver<JobResult>,
}

impl WorkerHandle {
    /// Starts the thread if there is an operators' file. It ends with this handle or with the event loop.
    ///
    /// # Errors
    /// If the thread can't be started.
    pub fn start(options: &OperatorsOptions, queue: &Sender<Event>) -> Result<WorkerHandle, OperatorsError> {
        let (sender, results) = channel();
        let worker = options.file.clone().map(|file| Worker {
            file,
            state_folder: options.state_folder.clone(),
            results: sender,
            queue: queue.clone(),
        });
        Ok(WorkerHandle {
            jobs: worker.map(Worker::start).transpose()?,
            results,
        })
    }
}

/// State of the thread.
struct Worker {
    file: String,
    state_folder: Option<PathBuf>,
    results: Sender<JobResult>,
    queue: Sender<Event>,
}

impl Worker {
    /// Starts the thread; it ends with the returned sender or with the event loop.
    fn start(self) -> Result<Sender<Job>, OperatorsError> {
        let (sender, jobs) = channel();
        let mut writer = self
            .state_folder
            .as_deref()
            .map(|folder| GenerationWriter::new(GenerationStore::new(OsFileSystem, folder)));
        let run = move || while self.step(&jobs, writer.as_mut()) == Flow::Continue {};
        let thread = std::thread::Builder::new().name("operators".to_owned());
        thread.spawn(run).map_err(OperatorsError::Thread)?;
        Ok(sender)
    }

    /// Runs the next job, or retries to store the pending generation.
    fn step(&self, jobs: &Receiver<Job>, mut writer: Option<&mut DiskWriter>) -> Flow {
        let pause = writer.as_ref().and_then(|writer| writer.retry_backoff());
        let received = match pause {
            Some(pause) => jobs.recv_timeout(pause),
            None => jobs.recv().map_err(RecvTimeoutError::from),
        };
        let result = match received {
            Ok(Job::Read { ticket, machine }) => Some(self.read(ticket, machine)),
            Ok(Job::Store {
                number,
                canonical,
                max_stored,
            }) => writer
                .as_mut()
                .and_then(|writer| store(writer, number, canonical, max_stored)),
            Err(RecvTimeoutError::Timeout) => writer.as_mut().and_then(|writer| retry_store(writer)),
            Err(RecvTimeoutError::Disconnected) => return Flow::End,
        };
        let Some(result) = result else {
            return Flow::Continue;
        };
        match self.results.send(result).is_ok() && self.wake().is_ok() {
            true => Flow::Continue,
            false => Flow::End,
        }
    }

    fn wake(&self) -> Result<(), std::sync::mpsc::SendError<Event>> {
        self.queue.send(Event::Control(ControlEvent::WakeUp))
    }

    fn read(&self, ticket: u64, machine: Machine) -> JobResult {
        let outcome = read(&self.file, machine);
        let diagnostics = outcome.diagnostics.iter();
        let text = diagnostics
            .map(|d| diagnostic::render(d, &outcome.files))
            .collect();
        let error_count = outcome.error_count();
        let outcome = match outcome.settings {
            Some(settings) => {
                let hash = hash(&settings.canonical(schema()));
                ReadOutcome::Valid { hash, settings }
            }
            None => ReadOutcome::Invalid { error_count },
        };
        JobResult::Read {
            ticket,
            outcome,
            text,
        }
    }
}

/// Stores a generation; `None` if there is nothing to report.
fn store(writer: &mut DiskWriter, number: u64, canonical: String, max_stored: usize) -> Option<JobResult> {
    let error = writer.store(number, canonical, max_stored).err()?;
    Some(JobResult::Stored(StoreReport::Failed { number, error }))
}

/// Retries to store the pending generation; `None` if it is still pending.
fn retry_store(writer: &mut DiskWriter) -> Option<JobResult> {
    let result = writer.retry()?;
    let number = match result {
        Ok(number) | Err(StoreError::OldNotRemoved { number, .. }) => number,
        Err(_) => return None,
    };
    Some(JobResult::Stored(StoreReport::Recovered { number }))
}
