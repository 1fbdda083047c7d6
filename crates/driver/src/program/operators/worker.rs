//! Reads the operators' file and stores generations on a thread of its own: a large file or a slow disk must not delay
//! statements.

use super::{read, registry, Given, OperatorsError};
use crate::routing::events::{ControlEvent, Event};
use asterlatch_config::generations::Read;
use asterlatch_config::meaning::{hash, Meaning};
use asterlatch_config::registry::Machine;
use asterlatch_config::report;
use asterlatch_config::store::Store;
use std::path::PathBuf;
use std::sync::mpsc::{channel, Receiver, Sender};

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
        outcome: Read<Meaning>,
        /// Diagnostics, a line each.
        text: String,
    },
    /// A generation was stored, or not.
    Stored {
        /// Number of the generation.
        number: u64,
        /// Why it isn't stored.
        error: Option<String>,
    },
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
        let run = move || {
            for job in jobs {
                let done = self.carry_out(job);
                if self.results.send(done).is_err() || self.wake().is_err() {
                    return;
                }
            }
        };
        let thread = std::thread::Builder::new().name("operators".to_owned());
        thread.spawn(run).map_err(OperatorsError::Thread)?;
        Ok(sender)
    }

    fn wake(&self) -> Result<(), std::sync::mpsc::SendError<Event>> {
        self.queue.send(Event::Control(ControlEvent::WakeUp))
    }

    fn carry_out(&self, job: Job) -> Done {
        match job {
            Job::Read { ticket, machine } => self.read(ticket, machine),
            Job::Store {
                number,
                canonical,
                most,
            } => self.store(number, &canonical, most),
        }
    }

    fn read(&self, ticket: u64, machine: Machine) -> Done {
        let outcome = read(&self.file, machine);
        let reports = outcome.reports.iter();
        let text = reports.map(|r| report::text(r, &outcome.files)).collect();
        let errors = outcome.errors();
        let outcome = match outcome.meaning {
            Some(meaning) => {
                let hash = hash(&meaning.canonical(registry()));
                Read::Good { hash, meaning }
            }
            None => Read::Faulty { errors },
        };
        Done::Read {
            ticket,
            outcome,
            text,
        }
    }

    fn store(&self, number: u64, canonical: &str, most: usize) -> Done {
        let store = self.state.as_deref().map(Store::open);
        let stored = store.map(|s| s.and_then(|s| s.keep(number, canonical, most, |_| ())));
        let error = stored.and_then(Result::err).map(|e| e.to_string());
        Done::Stored { number, error }
    }
}
