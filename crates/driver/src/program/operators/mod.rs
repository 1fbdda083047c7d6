//! The operators' file in service: read and stored on a thread of its own (`worker`), decided on by
//! `asterlatch_config::generations`, applied by the main thread. Without a file nothing of this runs.

mod applied_settings;
mod start;
mod worker;

use super::config::Config;
use super::log::{log, Log};
use super::phases::Phases;
use crate::routing::event_loop::EventLoop;
pub use applied_settings::{AppliedSettings, HandoverTimeouts};
use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_config::generations::{Command, Decision, Difference, Generation, Generations};
use asterlatch_config::load::{self, FolderSource, LoadOutcome};
use asterlatch_config::probation::{ProbationCriteria, Sample};
use asterlatch_config::resolved::{changes, hash, ResolvedSettings};
use asterlatch_config::schema::{Machine, Schema, RESOURCES};
use asterlatch_config::service_schema;
use asterlatch_config::store::StoreError;
use asterlatch_handover::predecessor;
pub use start::{start, Given, Start, StartLine};
use std::io;
use std::path::PathBuf;
use std::sync::mpsc::{Receiver, Sender};
use std::sync::OnceLock;
pub use worker::WorkerHandle;
use worker::{Done, Job, StoreReport};

/// Log topic of decisions on the file. Diagnostics have a topic of their own, so that a long list of them can't use up the
/// lines of the one that matters.
pub const DECISIONS: &str = "operators";
/// Log topic of diagnostics of a file.
pub const DETAILS: &str = "operators file";

/// Time between two samples of the driver's metrics.
const SAMPLE_INTERVAL: TimeSpan = TimeSpan::millis(250);

/// The operators' file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum OperatorsError {
    /// The stored generations can't be read.
    #[error("{}: {source}", folder.display())]
    Store {
        /// Their folder.
        folder: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The file is faulty, and `--strict` was given.
    #[error("the operators' file is faulty\n{}", errors.trim_end())]
    Faulty {
        /// Its diagnostics.
        errors: String,
    },
    /// The file is faulty, and no generation is stored.
    #[error("the operators' file is faulty, and no former generation is kept\n{}", errors.trim_end())]
    NoStoredGeneration {
        /// Its diagnostics.
        errors: String,
    },
    /// The thread can't be started.
    #[error("operators: {0}")]
    Thread(#[source] io::Error),
}

/// The settings that operators' files may state.
pub fn schema() -> &'static Schema {
    static SCHEMA: OnceLock<Schema> = OnceLock::new();
    SCHEMA.get_or_init(service_schema::schema)
}

/// The limits of the process, against which a file is checked.
pub fn machine(config: &Config) -> Machine {
    Machine {
        memory: config.runtime.max_memory as i64,
        descriptors: config.runtime.max_descriptors as i64,
    }
}

/// Reads the file of this path.
pub fn read(path: &str, machine: Machine) -> LoadOutcome {
    let (folder, name) = FolderSource::containing(path);
    let mut outcome = load::read(&name, &folder, schema(), machine);
    // Diagnostics name files as the command line did.
    if let Some(parent) = path.strip_suffix(&name).filter(|parent| !parent.is_empty()) {
        for file in &mut outcome.files {
            file.name.insert_str(0, parent);
        }
    }
    outcome
}

/// How many settings differ, and which wants the live ones may cause.
fn difference(old: &ResolvedSettings, new: &ResolvedSettings) -> Difference {
    let mut difference = Difference::default();
    for change in changes(schema(), old, new) {
        if !change.is_live(schema()) {
            difference.at_next_start += 1;
            continue;
        }
        difference.live += 1;
        for want in schema().setting(&change.path).may_exhaust {
            if !difference.may_exhaust.contains(want) {
                difference.may_exhaust.push(*want);
            }
        }
    }
    difference
}

/// The terms of probation that a meaning states.
fn probation_terms(meaning: &ResolvedSettings) -> ProbationCriteria {
    let amount = |row| meaning.amount(schema(), "activation", row).max(0);
    ProbationCriteria {
        probation: TimeSpan(amount("probation") as u64),
        margin: amount("margin") as f64 / 1e6,
        min_rejections: amount("least") as u64,
    }
}

/// Stored generations at most.
fn most_stored(meaning: &ResolvedSettings) -> usize {
    meaning.amount(schema(), "activation", "kept").max(1) as usize
}

/// Whether a read is under way, and whether the file has changed again since it began.
#[derive(Clone, Copy, PartialEq)]
enum Reading {
    Idle,
    UnderWay,
    UnderWayAndOutdated,
}

/// The operators' file of a running process. Owned by the main thread.
pub struct Operators {
    generations: Generations<ResolvedSettings>,
    /// None without a file.
    jobs: Option<Sender<Job>>,
    results: Receiver<Done>,
    reading: Reading,
    stores_generations: bool,
    /// The highest fill, by want, since the last sample.
    highest_fill: [u64; RESOURCES.len()],
    sampled_at: Timestamp,
    /// Timeouts of the next handover, as they are in force now.
    pub upgrade_times: predecessor::Timeouts,
}

impl Operators {
    /// Begins with the meaning that the process started with, which is what a rollback goes to.
    ///
    /// # Errors
    /// If the thread that reads the file can't be started.
    pub fn new(
        given: &Given,
        start: Start,
        upgrade_times: predecessor::Timeouts,
        worker: WorkerHandle,
    ) -> Operators {
        let canonical = start.meaning.canonical(schema());
        let digest = hash(&canonical);
        let number = start.number;
        let most = most_stored(&start.meaning);
        let generations = Generations::new(number, digest, start.meaning, difference, probation_terms);
        let operators = Operators {
            generations,
            jobs: worker.jobs,
            results: worker.results,
            reading: Reading::Idle,
            stores_generations: given.state.is_some(),
            highest_fill: [0; RESOURCES.len()],
            sampled_at: Timestamp(0),
            upgrade_times,
        };
        operators.store(number, canonical, most);
        operators
    }

    fn store(&self, number: u64, canonical: String, most: usize) {
        if !self.stores_generations {
            return;
        }
        if let Some(jobs) = &self.jobs {
            let _ = jobs.send(Job::Store {
                number,
                canonical,
                most,
            });
        }
    }

    /// The file may have changed. Reads follow one another: what changes while one is under way is read next.
    pub fn changed(&mut self, machine: Machine) {
        if self.reading != Reading::Idle {
            self.reading = Reading::UnderWayAndOutdated;
            return;
        }
        if let Some(jobs) = &self.jobs {
            let ticket = self.generations.begin_read();
            if jobs.send(Job::Read { ticket, machine }).is_ok() {
                self.reading = Reading::UnderWay;
            }
        }
    }

    /// Takes results of the thread and the driver's metrics into account, and applies what follows from them.
    pub fn steer(
        &mut self,
        event_loop: &mut EventLoop<Log>,
        phases: &mut Phases,
        now: Timestamp,
        machine: Machine,
    ) {
        while let Ok(done) = self.results.try_recv() {
            self.on_done(event_loop, phases, now, machine, done);
        }
        if self.jobs.is_some() {
            self.watch(event_loop, phases, now);
        }
    }

    fn on_done(
        &mut self,
        event_loop: &mut EventLoop<Log>,
        phases: &mut Phases,
        now: Timestamp,
        machine: Machine,
        done: Done,
    ) {
        let (ticket, outcome, text) = match done {
            Done::Read {
                ticket,
                outcome,
                text,
            } => (ticket, outcome, text),
            Done::Stored(report) => {
                let line = describe_store(&report);
                log!(event_loop.logger, now, DECISIONS, "{line}");
                return;
            }
        };
        let is_outdated = self.reading == Reading::UnderWayAndOutdated;
        self.reading = Reading::Idle;
        if is_outdated {
            self.changed(machine);
        }
        for line in text.lines() {
            log!(event_loop.logger, now, DETAILS, "{line}");
        }
        // What was counted until now was counted before the change, also what no sample holds yet.
        self.watch(event_loop, phases, now);
        self.sample(event_loop, phases, now);
        let effects = self.generations.on_read(now, ticket, outcome);
        self.carry_out(event_loop, phases, now, effects);
    }

    /// Takes a sample if one is due. A sample holds the highest fill since the last one: a full moment between two counts.
    fn watch(&mut self, event_loop: &mut EventLoop<Log>, phases: &mut Phases, now: Timestamp) {
        for (highest, fill) in self.highest_fill.iter_mut().zip(fill(event_loop)) {
            *highest = (*highest).max(fill);
        }
        if now - self.sampled_at >= SAMPLE_INTERVAL {
            self.sample(event_loop, phases, now);
        }
    }

    fn sample(&mut self, event_loop: &mut EventLoop<Log>, phases: &mut Phases, now: Timestamp) {
        self.sampled_at = now;
        let fill = std::mem::replace(&mut self.highest_fill, fill(event_loop));
        let metrics = &event_loop.metrics;
        let sample = Sample {
            demand: [
                metrics.clients_accepted,
                metrics.clients_accepted + metrics.executions_sent,
                metrics.statements_taken,
            ],
            rejected: [
                metrics.clients_rejected + metrics.clients_evicted,
                metrics.accepts_failed + metrics.ended_never_sent,
                metrics.rejected_for_memory,
            ],
            fill,
        };
        let effects = self.generations.on_sample(now, sample);
        self.carry_out(event_loop, phases, now, effects);
    }

    /// When to call `steer` again although nothing comes in.
    pub fn next_at(&self) -> Timestamp {
        if !self.generations.is_on_probation() {
            return Timestamp(u64::MAX);
        }
        let probation_ends_at = self.generations.next_at().unwrap_or(Timestamp(u64::MAX));
        probation_ends_at.min(self.sampled_at + SAMPLE_INTERVAL)
    }

    fn carry_out(
        &mut self,
        event_loop: &mut EventLoop<Log>,
        phases: &mut Phases,
        now: Timestamp,
        effects: Vec<Command<ResolvedSettings>>,
    ) {
        for effect in effects {
            match effect {
                Command::Apply(meaning) => {
                    let force = AppliedSettings::from_resolved(&meaning);
                    self.upgrade_times = force.handover_timeouts.predecessor;
                    take_over(event_loop, phases, &force);
                }
                Command::Store(Generation { number, settings, .. }) => {
                    self.store(number, settings.canonical(schema()), most_stored(&settings));
                }
                Command::Report(told) => {
                    log!(event_loop.logger, now, DECISIONS, "{}", describe(&told));
                }
            }
        }
    }
}

/// How full the driver is, by want.
fn fill(event_loop: &EventLoop<Log>) -> [u64; RESOURCES.len()] {
    let clients = event_loop.open_clients() as u64;
    let connections = event_loop.metrics.open_member_connections;
    let memory = event_loop.reserved_memory() as u64;
    [clients, clients + connections, memory]
}

/// Applies settings to the running process.
pub fn take_over(event_loop: &mut EventLoop<Log>, phases: &mut Phases, force: &AppliedSettings) {
    event_loop.set_limits(force.limits, &force.workload_limits);
    event_loop.logger.lines_per_second = force.log_lines_per_second;
    phases.durations = force.phase_durations;
}

fn describe_store(report: &StoreReport) -> String {
    match report {
        StoreReport::Recovered { number } => {
            format!("generation {number} is stored now, and survives a power failure")
        }
        StoreReport::Failed { number, error } => match error {
            StoreError::NotStored(source) => {
                format!("generation {number} is not stored, and tried again: {source}")
            }
            StoreError::NotDurable { number, source } => format!(
                "generation {number} is stored for the next start, but may be lost in a power failure, and is stored again: {source}"
            ),
            StoreError::OldNotRemoved { number, source } => {
                format!("generation {number} is stored, older ones could not be removed: {source}")
            }
        },
    }
}

fn describe(told: &Decision) -> String {
    match told {
        Decision::Unchanged => "read again, it means the same".to_owned(),
        Decision::Rejected { error_count } => format!("kept as it was: the file has {error_count} errors"),
        Decision::Superseded => "a read was overtaken by a newer one".to_owned(),
        Decision::AlreadyRolledBack { resource } => {
            let want = resource.name();
            format!("not taken again: this was gone back from for want of {want}; change the file")
        }
        Decision::Applied {
            number,
            live,
            at_next_start,
        } => {
            format!(
                "generation {number} is in force: {live} settings changed, {at_next_start} wait for the next start"
            )
        }
        Decision::Confirmed { number } => format!("generation {number} is kept"),
        Decision::RolledBack { from, to, resource } => {
            let want = resource.name();
            format!(
                "WENT BACK from generation {from} to {to}: more was turned away for want of {want}, no fuller than before"
            )
        }
    }
}
