//! Reads the operators' file and stores generations on a thread of its own: a large file or a slow disk must not delay
//! statements. While the disk fails, the generation kept last is stored again, later each time.

use super::{read, schema, Given, OperatorsError};
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

/// Work for the thread.
pub(super) enum Job {
    /// Read the file.
    Read {
        /// Number of the read.
        ticket: u64,
        /// Limits of the process, against which the file is checked.
        machine: Machine,
    },
    /// Store a generation.
    Store {
        /// Number of the generation.
        number: u64,
        /// Its canonical text.
        canonical: String,
        /// Generations to be kept at most.
        most: usize,
    },
}

/// Work that is done.
pub(super) enum Done {
    /// The file was read.
    Read {
        /// Number of the read.
        ticket: u64,
        /// Its meaning, or how many errors it has.
        outcome: ReadOutcome<ResolvedSettings>,
        /// Diagnostics, a line each.
        text: String,
    },
    /// An attempt to store a generation has ended in a way that operators want to know of.
    Stored(StoreReport),
}

/// What operators are told of storing generations.
pub(super) enum StoreReport {
    /// The first attempt failed.
    Failed {
        /// Number of the generation.
        number: u64,
        /// How far it came, and why no further.
        error: StoreError,
    },
    /// A later attempt succeeded.
    Recovered {
        /// Number of the generation.
        number: u64,
    },
}

type DiskWriter = GenerationWriter<OsFileSystem>;

/// Whether the thread goes on.
#[derive(Clone, Copy, PartialEq)]
enum Flow {
    Continue,
    End,
}

/// The owner's end of the thread.
pub struct WorkerHandle {
    /// `None` without an operators' file: there is no thread.
    pub(super) jobs: Option<Sender<Job>>,
    pub(super) results: Receiver<Done>,
}

impl WorkerHandle {
    /// Starts the thread if there is an operators' file; it ends with this handle or with the event loop.
    ///
    /// # Errors
    /// If the thread can't be started.
    pub fn start(given: &Given, queue: &Sender<Event>) -> Result<WorkerHandle, OperatorsError> {
        let (sender, results) = channel();
        let worker = given.file.clone().map(|file| Worker {
            file,
            state: given.state.clone(),
            results: sender,
            queue: queue.clone(),
        });
        Ok(WorkerHandle {
            jobs: worker.map(Worker::start).transpose()?,
            results,
        })
    }
}

/// The thread's own state.
struct Worker {
    file: String,
    state: Option<PathBuf>,
    results: Sender<Done>,
    queue: Sender<Event>,
}

impl Worker {
    /// Starts the thread; it ends with the returned sender or with the event loop.
    fn start(self) -> Result<Sender<Job>, OperatorsError> {
        let (sender, jobs) = channel();
        let mut writer = self
            .state
            .as_deref()
            .map(|folder| GenerationWriter::new(GenerationStore::new(OsFileSystem, folder)));
        let run = move || while self.step(&jobs, writer.as_mut()) == Flow::Continue {};
        let thread = std::thread::Builder::new().name("operators".to_owned());
        thread.spawn(run).map_err(OperatorsError::Thread)?;
        Ok(sender)
    }

    /// The next job, or another attempt to store the pending generation.
    fn step(&self, jobs: &Receiver<Job>, mut writer: Option<&mut DiskWriter>) -> Flow {
        let pause = writer.as_ref().and_then(|writer| writer.retry_backoff());
        let received = match pause {
            Some(pause) => jobs.recv_timeout(pause),
            None => jobs.recv().map_err(RecvTimeoutError::from),
        };
        let done = match received {
            Ok(Job::Read { ticket, machine }) => Some(self.read(ticket, machine)),
            Ok(Job::Store {
                number,
                canonical,
                most,
            }) => writer
                .as_mut()
                .and_then(|writer| store(writer, number, canonical, most)),
            Err(RecvTimeoutError::Timeout) => writer.as_mut().and_then(|writer| store_again(writer)),
            Err(RecvTimeoutError::Disconnected) => return Flow::End,
        };
        let Some(done) = done else {
            return Flow::Continue;
        };
        match self.results.send(done).is_ok() && self.wake().is_ok() {
            true => Flow::Continue,
            false => Flow::End,
        }
    }

    fn wake(&self) -> Result<(), std::sync::mpsc::SendError<Event>> {
        self.queue.send(Event::Control(ControlEvent::WakeUp))
    }

    fn read(&self, ticket: u64, machine: Machine) -> Done {
        let outcome = read(&self.file, machine);
        let reports = outcome.diagnostics.iter();
        let text = reports.map(|r| diagnostic::render(r, &outcome.files)).collect();
        let error_count = outcome.error_count();
        let outcome = match outcome.settings {
            Some(settings) => {
                let hash = hash(&settings.canonical(schema()));
                ReadOutcome::Valid { hash, settings }
            }
            None => ReadOutcome::Invalid { error_count },
        };
        Done::Read {
            ticket,
            outcome,
            text,
        }
    }
}

/// Stores a generation; `None` if there is nothing to be told.
fn store(writer: &mut DiskWriter, number: u64, canonical: String, most: usize) -> Option<Done> {
    let error = writer.store(number, canonical, most).err()?;
    Some(Done::Stored(StoreReport::Failed { number, error }))
}

/// Stores the pending generation; `None` if it is still pending.
fn store_again(writer: &mut DiskWriter) -> Option<Done> {
    let result = writer.retry()?;
    let number = match result {
        Ok(number) | Err(StoreError::OldNotRemoved { number, .. }) => number,
        Err(_) => return None,
    };
    Some(Done::Stored(StoreReport::Recovered { number }))
}
