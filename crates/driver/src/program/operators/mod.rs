//! The operators' file of a running process: a thread (`worker`) reads the file and stores its generations,
//! `asterlatch_config::generations` decides which settings are active, and the main thread applies them.
//! Without a file there is no thread.

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
pub use start::{load_initial_settings, InitialSettings, LogLine, OperatorsOptions};
use std::io;
use std::path::PathBuf;
use std::sync::mpsc::{Receiver, Sender};
use std::sync::OnceLock;
pub use worker::WorkerHandle;
use worker::{Job, JobResult, StoreReport};

/// Log topic of decisions on the file. Diagnostics have a separate topic, so that many of them can't use up
/// the rate limit of the decisions.
pub const DECISIONS_TOPIC: &str = "operators";
/// Log topic of diagnostics of a file.
pub const DIAGNOSTICS_TOPIC: &str = "operators file";

/// Interval between two samples of the metrics.
const SAMPLE_INTERVAL: TimeSpan = TimeSpan::millis(250);

/// The operators' file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum OperatorsError {
    /// The stored generations can't be read.
    #[error("cannot read the generations in {}: {source}", folder.display())]
    Store {
        /// Folder of the generations.
        folder: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The file is invalid, and `--strict` was given.
    #[error("the operators' file is invalid\n{}", errors.trim_end())]
    Invalid {
        /// Diagnostics of the file.
        errors: String,
    },
    /// The file is invalid, and no generation is stored.
    #[error("the operators' file is invalid, and no generation is stored\n{}", errors.trim_end())]
    NoStoredGeneration {
        /// Diagnostics of the file.
        errors: String,
    },
    /// The worker thread can't be started.
    #[error("cannot start the thread of the operators' file: {0}")]
    Thread(#[source] io::Error),
}

/// The settings that operators' files may state.
pub fn schema() -> &'static Schema {
    static SCHEMA: OnceLock<Schema> = OnceLock::new();
    SCHEMA.get_or_init(service_schema::schema)
}

/// Limits of the process, against which an operators' file is checked.
pub fn machine_limits(config: &Config) -> Machine {
    Machine {
        memory: config.runtime.max_memory as i64,
        descriptors: config.runtime.max_descriptors as i64,
    }
}

/// Reads and checks the operators' file at `path`.
pub fn read(path: &str, machine: Machine) -> LoadOutcome {
    let (folder, name) = FolderSource::containing(path);
    let mut outcome = load::read(&name, &folder, schema(), machine);
    // Diagnostics name files as the command line does.
    if let Some(parent) = path.strip_suffix(&name).filter(|parent| !parent.is_empty()) {
        for file in &mut outcome.files {
            file.name.insert_str(0, parent);
        }
    }
    outcome
}

/// Counts the settings that differ, and collects the resources that changes of live ones may exhaust.
fn difference(old: &ResolvedSettings, new: &ResolvedSettings) -> Difference {
    let mut difference = Difference::default();
    for change in changes(schema(), old, new) {
        if !change.is_live(schema()) {
            difference.at_next_start += 1;
            continue;
        }
        difference.live += 1;
        for resource in schema().setting(&change.path).may_exhaust {
            if !difference.may_exhaust.contains(resource) {
                difference.may_exhaust.push(*resource);
            }
        }
    }
    difference
}

/// The criteria of probation that the settings state.
fn probation_criteria(settings: &ResolvedSettings) -> ProbationCriteria {
    let amount = |setting| settings.amount(schema(), "activation", setting).max(0);
    ProbationCriteria {
        probation: TimeSpan(amount("probation") as u64),
        margin: amount("margin") as f64 / 1e6,
        min_rejections: amount("least") as u64,
    }
}

/// Maximum number of stored generations.
fn max_stored_generations(settings: &ResolvedSettings) -> usize {
    settings.amount(schema(), "activation", "kept").max(1) as usize
}

/// Whether a read is in progress, and whether the file may have changed since it began.
#[derive(Clone, Copy, PartialEq)]
enum ReadState {
    Idle,
    InProgress,
    InProgressAndOutdated,
}

/// The operators' file of a running process. Only the main thread uses it.
pub struct Operators {
    generations: Generations<ResolvedSettings>,
    /// `None` without an operators' file.
    jobs: Option<Sender<Job>>,
    results: Receiver<JobResult>,
    read_state: ReadState,
    stores_generations: bool,
    /// Highest utilization since the last sample, by resource.
    max_utilization: [u64; RESOURCES.len()],
    sampled_at: Timestamp,
    /// Timeouts of the next handover, by the active settings.
    pub predecessor_timeouts: predecessor::Timeouts,
}

impl Operators {
    /// Begins with the settings that the process started with, to which a rollback returns.
    pub fn new(
        options: &OperatorsOptions,
        initial: InitialSettings,
        predecessor_timeouts: predecessor::Timeouts,
        worker: WorkerHandle,
    ) -> Operators {
        let canonical = initial.resolved.canonical(schema());
        let digest = hash(&canonical);
        let number = initial.number;
        let max_stored = max_stored_generations(&initial.resolved);
        let generations = Generations::new(number, digest, initial.resolved, difference, probation_criteria);
        let operators = Operators {
            generations,
            jobs: worker.jobs,
            results: worker.results,
            read_state: ReadState::Idle,
            stores_generations: options.state_folder.is_some(),
            max_utilization: [0; RESOURCES.len()],
            sampled_at: Timestamp(0),
            predecessor_timeouts,
        };
        operators.store(number, canonical, max_stored);
        operators
    }

    fn store(&self, number: u64, canonical: String, max_stored: usize) {
        if !self.stores_generations {
            return;
        }
        if let Some(jobs) = &self.jobs {
            let _ = jobs.send(Job::Store {
                number,
                canonical,
                max_stored,
            });
        }
    }

    /// Reads the file, since it may have changed. A change during a read causes another read after it.
    pub fn reload(&mut self, machine: Machine) {
        if self.read_state != ReadState::Idle {
            self.read_state = ReadState::InProgressAndOutdated;
            return;
        }
        if let Some(jobs) = &self.jobs {
            let ticket = self.generations.begin_read();
            if jobs.send(Job::Read { ticket, machine }).is_ok() {
                self.read_state = ReadState::InProgress;
            }
        }
    }

    /// Processes results of the thread and the metrics, and executes the resulting commands.
    pub fn advance_to(
        &mut self,
        event_loop: &mut EventLoop<Log>,
        phases: &mut Phases,
        now: Timestamp,
        machine: Machine,
    ) {
        while let Ok(result) = self.results.try_recv() {
            self.on_job_result(event_loop, phases, now, machine, result);
        }
        if self.jobs.is_some() {
            self.track_utilization(event_loop, phases, now);
        }
    }

    fn on_job_result(
        &mut self,
        event_loop: &mut EventLoop<Log>,
        phases: &mut Phases,
        now: Timestamp,
        machine: Machine,
        result: JobResult,
    ) {
        let (ticket, outcome, text) = match result {
            JobResult::Read {
                ticket,
                outcome,
                text,
            } => (ticket, outcome, text),
            JobResult::Stored(report) => {
                let line = describe_store_report(&report);
                log!(event_loop.logger, now, DECISIONS_TOPIC, "{line}");
                return;
            }
        };
        let is_outdated = self.read_state == ReadState::InProgressAndOutdated;
        self.read_state = ReadState::Idle;
        if is_outdated {
            self.reload(machine);
        }
        for line in text.lines() {
            log!(event_loop.logger, now, DIAGNOSTICS_TOPIC, "{line}");
        }
        // Everything counted until now was counted under the previous settings, including what no sample
        // contains yet.
        self.track_utilization(event_loop, phases, now);
        self.record_sample(event_loop, phases, now);
        let commands = self.generations.on_read(now, ticket, outcome);
        self.execute(event_loop, phases, now, commands);
    }

    /// Tracks the highest utilization, so that a short peak between two samples counts, and records a sample
    /// if one is due.
    fn track_utilization(&mut self, event_loop: &mut EventLoop<Log>, phases: &mut Phases, now: Timestamp) {
        for (highest, current) in self.max_utilization.iter_mut().zip(utilization(event_loop)) {
            *highest = (*highest).max(current);
        }
        if now - self.sampled_at >= SAMPLE_INTERVAL {
            self.record_sample(event_loop, phases, now);
        }
    }

    fn record_sample(&mut self, event_loop: &mut EventLoop<Log>, phases: &mut Phases, now: Timestamp) {
        self.sampled_at = now;
        let fill = std::mem::replace(&mut self.max_utilization, utilization(event_loop));
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
        let commands = self.generations.on_sample(now, sample);
        self.execute(event_loop, phases, now, commands);
    }

    /// When to call `advance_to` next if nothing else causes it.
    pub fn next_at(&self) -> Timestamp {
        if !self.generations.is_on_probation() {
            return Timestamp(u64::MAX);
        }
        let probation_ends_at = self.generations.next_at().unwrap_or(Timestamp(u64::MAX));
        probation_ends_at.min(self.sampled_at + SAMPLE_INTERVAL)
    }

    fn execute(
        &mut self,
        event_loop: &mut EventLoop<Log>,
        phases: &mut Phases,
        now: Timestamp,
        commands: Vec<Command<ResolvedSettings>>,
    ) {
        for command in commands {
            match command {
                Command::Apply(resolved) => {
                    let settings = AppliedSettings::from_resolved(&resolved);
                    self.predecessor_timeouts = settings.handover_timeouts.predecessor;
                    apply_settings(event_loop, phases, &settings);
                }
                Command::Store(Generation { number, settings, .. }) => {
                    self.store(
                        number,
                        settings.canonical(schema()),
                        max_stored_generations(&settings),
                    );
                }
                Command::Report(decision) => {
                    log!(
                        event_loop.logger,
                        now,
                        DECISIONS_TOPIC,
                        "{}",
                        describe_decision(&decision)
                    );
                }
            }
        }
    }
}

/// Current utilization, by resource.
fn utilization(event_loop: &EventLoop<Log>) -> [u64; RESOURCES.len()] {
    let clients = event_loop.open_clients() as u64;
    let connections = event_loop.metrics.open_member_connections;
    let memory = event_loop.reserved_memory() as u64;
    [clients, clients + connections, memory]
}

/// Applies settings to the running process.
pub fn apply_settings(event_loop: &mut EventLoop<Log>, phases: &mut Phases, settings: &AppliedSettings) {
    event_loop.set_limits(settings.limits, &settings.workload_limits);
    event_loop.logger.lines_per_second = settings.log_lines_per_second;
    phases.durations = settings.phase_durations;
}

fn describe_store_report(report: &StoreReport) -> String {
    match report {
        StoreReport::Recovered { number } => {
            format!("generation {number} is now stored durably")
        }
        StoreReport::Failed { number, error } => match error {
            StoreError::NotStored(source) => {
                format!("cannot store generation {number}, will retry: {source}")
            }
            StoreError::NotDurable { number, source } => format!(
                "generation {number} is stored but may not survive a power failure, will retry: {source}"
            ),
            StoreError::OldNotRemoved { number, source } => {
                format!("generation {number} is stored, but older ones could not be removed: {source}")
            }
        },
    }
}

fn describe_decision(decision: &Decision) -> String {
    match decision {
        Decision::Unchanged => "reloaded, no setting has changed".to_owned(),
        Decision::Rejected { error_count } => format!("not applied: the file has {error_count} errors"),
        Decision::Superseded => "ignored a read that a newer one superseded".to_owned(),
        Decision::AlreadyRolledBack { resource } => {
            let resource = resource.name();
            format!("not applied: these settings were rolled back for lack of {resource}; change the file")
        }
        Decision::Applied {
            number,
            live,
            at_next_start,
        } => {
            format!(
                "generation {number} is applied: {live} settings changed, {at_next_start} require a restart"
            )
        }
        Decision::Confirmed { number } => format!("generation {number} is confirmed"),
        Decision::RolledBack { from, to, resource } => {
            let resource = resource.name();
            format!(
                "ROLLED BACK from generation {from} to {to}: more was rejected for lack of {resource}, at no \
                 higher utilization"
            )
        }
    }
}
