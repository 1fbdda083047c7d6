//! The operators' file in service: read and stored on a thread of its own, decided on by `generations`, put in force by
//! the event loop. Without a file nothing of this runs.

use super::config::Config;
use super::log::{log, Log};
use super::phases::{PhaseDurations, Phases};
use crate::routing::event_loop::EventLoop;
use crate::routing::events::{ControlEvent, Event};
use crate::routing::limits::{CrowdedIdleTimeout, Limits, Share, WorkloadLimits};
use crate::transport::coroutines::CoroutineStacks;
use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_config::generations::{Difference, Effect, Generation, Generations, Read, Told};
use asterlatch_config::load::{self, Folder, Outcome};
use asterlatch_config::meaning::{changes, hash, Meaning};
use asterlatch_config::probation::{Sample, Terms};
use asterlatch_config::registry::{Machine, Registry, WANTS};
use asterlatch_config::store::Store;
use asterlatch_config::{host, report};
use asterlatch_handover::{predecessor, successor};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::OnceLock;

/// What operators may set here.
pub fn registry() -> &'static Registry {
    static REGISTRY: OnceLock<Registry> = OnceLock::new();
    REGISTRY.get_or_init(host::registry)
}

/// What of a meaning the parts of the program take over.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct InForce {
    pub limits: Limits,
    pub workloads: BTreeMap<String, WorkloadLimits>,
    pub times: PhaseDurations,
    pub stacks: CoroutineStacks,
    pub lines_a_second: u32,
    /// Of the process that serves, and of one that takes over.
    pub takeover: (predecessor::Timeouts, successor::Timeouts),
}

impl InForce {
    pub fn of(meaning: &Meaning) -> InForce {
        let amount = |section, row| meaning.amount(registry(), section, row).max(0);
        let span = |section, row| TimeSpan(amount(section, row) as u64);
        let part = |section, row| Share(amount(section, row) as u32);
        let client = |row| span("clients", row);
        let call = |row| span("discovery", row);
        let limits = Limits {
            reserved_descriptors: amount("descriptors", "reserve") as usize,
            client_share: part("descriptors", "clients"),
            client_memory_share: part("memory", "clients"),
            member_memory_share: part("memory", "members"),
            first_statement_timeout: client("first_statement"),
            message_timeout: client("message"),
            client_idle_timeout: client("rest"),
            crowded_idle_timeouts: [
                CrowdedIdleTimeout {
                    from: part("clients", "crowded_from"),
                    timeout: client("crowded_rest"),
                },
                CrowdedIdleTimeout {
                    from: part("clients", "filling_from"),
                    timeout: client("filling_rest"),
                },
            ],
            arrival_grace: client("just_came"),
            accept_backoff: client("accept_again"),
            max_statement_timeout: span("statements", "longest_timeout"),
            member_idle_share: part("members", "idle"),
            watch_timeout: call("watch"),
            watch_grace: call("watch_late"),
            list_timeout: call("list_late"),
            initial_backoff: call("first_pause"),
            max_backoff: call("longest_pause"),
        };
        let times = PhaseDurations {
            arrivals: span("phases", "arrivals"),
            linger: span("phases", "linger"),
            longest_drain: span("phases", "longest_drain"),
        };
        let stacks = CoroutineStacks {
            bytes: amount("process", "stack") as usize,
            spare: amount("process", "spare_stacks") as usize,
        };
        let row = |name| registry().find("workload", name).map(|(_, row)| row);
        let (timeout, longest) = (row("timeout"), row("longest"));
        let workloads = meaning.entries(registry(), "workload").map(|(name, amounts)| {
            let at = |row: Option<usize>| Some(amounts.get(row?)?.as_ref()?.amount);
            let own = WorkloadLimits {
                timeout: at(timeout).map(|us| TimeSpan(us as u64)),
                max_bytes: at(longest).map(|bytes| bytes as usize),
            };
            (name.to_owned(), own)
        });
        let upgrade = |row| span("upgrade", row);
        let serving = predecessor::Timeouts {
            hello: upgrade("hello"),
            ready: upgrade("ready"),
            commit_acknowledged: upgrade("taken"),
            heartbeat: upgrade("silence"),
        };
        let taking = successor::Timeouts {
            // The former process has its own patience, which ends first.
            predecessor_response: upgrade("ready") + upgrade("ready"),
            // As long as the former one lets this one be silent: it tells ten times meanwhile that it lives.
            predecessor_heartbeat: upgrade("silence"),
            heartbeat_interval: upgrade("beat"),
            probation: upgrade("probation"),
        };
        InForce {
            takeover: (serving, taking),
            limits,
            workloads: workloads.collect(),
            times,
            stacks,
            // A rate is held in thousandths an hour.
            lines_a_second: (amount("log", "lines") / 3_600_000).max(1) as u32,
        }
    }
}

fn difference(old: &Meaning, new: &Meaning) -> Difference {
    let mut difference = Difference::default();
    for change in changes(registry(), old, new) {
        if !change.is_live(registry()) {
            difference.at_start += 1;
            continue;
        }
        difference.live += 1;
        let row = registry().row(&change.path);
        let further = row.may_want.iter().filter(|w| !difference.may_want.contains(w));
        let further: Vec<_> = further.copied().collect();
        difference.may_want.extend(further);
    }
    difference
}

fn terms(meaning: &Meaning) -> Terms {
    let amount = |row| meaning.amount(registry(), "activation", row).max(0);
    Terms {
        probation: TimeSpan(amount("probation") as u64),
        margin: amount("margin") as f64 / 1e6,
        least: amount("least") as u64,
    }
}

pub fn machine(config: &Config) -> Machine {
    Machine {
        memory: config.runtime.max_memory as i64,
        descriptors: config.runtime.max_descriptors as i64,
    }
}

/// Reads the file of this path.
pub fn read(path: &str, machine: Machine) -> Outcome {
    let (folder, name) = Folder::of(path);
    let mut outcome = load::read(&name, &folder, registry(), machine);
    // Messages name files as the command line did.
    if let Some(parent) = path.strip_suffix(&name).filter(|p| !p.is_empty()) {
        for file in &mut outcome.files {
            file.name.insert_str(0, parent);
        }
    }
    outcome
}

/// Where the operators' file and its former generations are.
#[derive(Clone, Debug, Default)]
pub struct Given {
    pub file: Option<String>,
    pub state: Option<PathBuf>,
    /// A start with a faulty file fails, whatever was kept.
    pub strict: bool,
}

enum Job {
    Read {
        ticket: u64,
        machine: Machine,
    },
    Keep {
        number: u64,
        canonical: String,
        most: usize,
    },
}

enum Done {
    Read {
        ticket: u64,
        outcome: Read<Meaning>,
        text: String,
    },
    Kept {
        number: u64,
        fault: Option<String>,
    },
}

pub struct Operators {
    generations: Generations<Meaning>,
    jobs: Option<Sender<Job>>,
    done: Receiver<Done>,
    /// A read is under way; the file changed again since it began.
    reading: bool,
    again: bool,
    stores: bool,
    /// The fullest since the last sample.
    fullest: [u64; WANTS.len()],
    sampled: Timestamp,
    is_watched: bool,
    /// As they are in force now.
    pub upgrade_times: predecessor::Timeouts,
}

/// What was decided, and what is wrong with a file: each has its own limit of lines, so that a long list of faults
/// can't keep the one line back that matters.
pub const DECISIONS: &str = "operators";
pub const DETAILS: &str = "operators file";

/// How far apart the driver's metrics are looked at.
const SAMPLES: TimeSpan = TimeSpan::millis(250);

/// What a start found: the meaning to begin with, and lines to tell.
pub struct Start {
    number: u64,
    pub meaning: Meaning,
    pub lines: Vec<(&'static str, String)>,
}

/// Finds what to start with: the file's meaning, else the one kept last.
pub fn start(given: &Given, machine: Machine) -> Result<Start, String> {
    let stored = match &given.state {
        None => Vec::new(),
        Some(folder) => {
            let all = Store::open(folder).and_then(|s| s.all());
            all.map_err(|e| format!("{}: {e}", folder.display()))?
        }
    };
    let mut lines = Vec::new();
    for one in &stored {
        if let Err(damage) = one.canonical {
            let line = format!(
                "stored generation {} {}, passed over",
                one.number,
                damage.reason()
            );
            lines.push((DETAILS, line));
        }
    }
    let newest = stored.first().map_or(0, |s| s.number);
    let Some(path) = &given.file else {
        let meaning = Meaning::default_of(registry());
        return Ok(Start {
            number: newest,
            meaning,
            lines,
        });
    };
    let outcome = read(path, machine);
    if let Some(meaning) = outcome.meaning {
        return Ok(Start {
            number: newest + 1,
            meaning,
            lines,
        });
    }
    let errors = outcome.text();
    if given.strict {
        return Err(format!("the operators' file is faulty\n{}", errors.trim_end()));
    }
    let kept = stored.iter().find_map(|one| {
        let (meaning, left_out) = Meaning::from_canonical(registry(), one.canonical.as_ref().ok()?).ok()?;
        Some((one.number, meaning, left_out))
    });
    let Some((number, meaning, left_out)) = kept else {
        let why = "the operators' file is faulty, and no former generation is kept";
        return Err(format!("{why}\n{}", errors.trim_end()));
    };
    lines.extend(errors.lines().map(|l| (DETAILS, l.to_owned())));
    if !left_out.is_empty() {
        let all = left_out.join(", ");
        let line = format!("generation {number} states what is not known here: {all}");
        lines.push((DETAILS, line));
    }
    let line = format!("THE FILE IS FAULTY: serving on generation {number}, the one kept last");
    lines.push((DECISIONS, line));
    Ok(Start {
        number,
        meaning,
        lines,
    })
}

impl Operators {
    pub fn new(
        given: &Given,
        start: Start,
        upgrade_times: predecessor::Timeouts,
        queue: Sender<Event>,
    ) -> Result<Operators, String> {
        let canonical = start.meaning.canonical(registry());
        let digest = hash(&canonical);
        let (number, most) = (start.number, kept(&start.meaning));
        let generations = Generations::new(number, digest, start.meaning, difference, terms);
        let (tell, done) = channel();
        let jobs = match &given.file {
            Some(file) => Some(worker(file.clone(), given.state.clone(), tell, queue)?),
            None => None,
        };
        let operators = Operators {
            generations,
            jobs,
            done,
            reading: false,
            again: false,
            stores: given.state.is_some(),
            fullest: [0; WANTS.len()],
            sampled: Timestamp(0),
            is_watched: given.file.is_some(),
            upgrade_times,
        };
        // Nothing came before it, so it is what a rollback goes to.
        operators.store(number, canonical, most);
        Ok(operators)
    }

    fn store(&self, number: u64, canonical: String, most: usize) {
        if let Some(jobs) = self.jobs.as_ref().filter(|_| self.stores) {
            let _ = jobs.send(Job::Keep {
                number,
                canonical,
                most,
            });
        }
    }

    /// The file may have changed. Reads go one after another: what changes while one is under way is read next.
    pub fn changed(&mut self, machine: Machine) {
        if self.reading {
            self.again = true;
            return;
        }
        if let Some(jobs) = &self.jobs {
            let ticket = self.generations.begin_read();
            self.reading = jobs.send(Job::Read { ticket, machine }).is_ok();
        }
    }

    /// Takes in what is done and what the driver counts, and carries out what follows from it.
    pub fn steer(
        &mut self,
        event_loop: &mut EventLoop<Log>,
        phases: &mut Phases,
        now: Timestamp,
        machine: Machine,
    ) {
        while let Ok(done) = self.done.try_recv() {
            match done {
                Done::Read {
                    ticket,
                    outcome,
                    text,
                } => {
                    self.reading = false;
                    if std::mem::take(&mut self.again) {
                        self.changed(machine);
                    }
                    for line in text.lines() {
                        log!(event_loop.observer, now, DETAILS, "{line}");
                    }
                    // What was counted until now was counted before the change, also what no sample holds yet.
                    self.look(event_loop, phases, now);
                    self.sample(event_loop, phases, now);
                    let effects = self.generations.read_ended(now, ticket, outcome);
                    self.carry_out(event_loop, phases, now, effects);
                }
                Done::Kept {
                    number,
                    fault: Some(fault),
                } => {
                    log!(
                        event_loop.observer,
                        now,
                        DECISIONS,
                        "generation {number} is not stored: {fault}"
                    );
                }
                Done::Kept { .. } => {}
            }
        }
        if self.is_watched {
            self.look(event_loop, phases, now);
        }
    }

    /// Samples are a while apart, and hold the fullest of the while: a full moment between two counts.
    fn look(&mut self, event_loop: &mut EventLoop<Log>, phases: &mut Phases, now: Timestamp) {
        let fill = fill(event_loop);
        for (fullest, fill) in self.fullest.iter_mut().zip(fill) {
            *fullest = (*fullest).max(fill);
        }
        if now - self.sampled >= SAMPLES {
            self.sample(event_loop, phases, now);
        }
    }

    fn sample(&mut self, event_loop: &mut EventLoop<Log>, phases: &mut Phases, now: Timestamp) {
        let fill = fill(event_loop);
        self.sampled = now;
        let f = &event_loop.metrics;
        let sample = Sample {
            demand: [
                f.clients_accepted,
                f.clients_accepted + f.executions_sent,
                f.statements_taken,
            ],
            turned_away: [
                f.clients_rejected + f.clients_evicted,
                f.accepts_failed + f.ended_never_sent,
                f.rejected_for_memory,
            ],
            fill: std::mem::replace(&mut self.fullest, fill),
        };
        let effects = self.generations.counted(now, sample);
        self.carry_out(event_loop, phases, now, effects);
    }

    /// When to look again though nothing comes in.
    pub fn next_at(&self) -> Timestamp {
        match self.generations.is_on_probation() {
            true => (self.sampled + SAMPLES).min(self.generations.next_at().unwrap_or(Timestamp(u64::MAX))),
            false => Timestamp(u64::MAX),
        }
    }

    fn carry_out(
        &mut self,
        event_loop: &mut EventLoop<Log>,
        phases: &mut Phases,
        now: Timestamp,
        effects: Vec<Effect<Meaning>>,
    ) {
        for effect in effects {
            match effect {
                Effect::TakeOver(meaning) => {
                    let force = InForce::of(&meaning);
                    self.upgrade_times = force.takeover.0;
                    take_over(event_loop, phases, &force);
                }
                Effect::Keep(Generation { number, meaning, .. }) => {
                    self.store(number, meaning.canonical(registry()), kept(&meaning));
                }
                Effect::Tell(told) => log!(event_loop.observer, now, DECISIONS, "{}", written(&told)),
            }
        }
    }
}

/// How full the driver is, by want.
fn fill(event_loop: &EventLoop<Log>) -> [u64; WANTS.len()] {
    let clients = event_loop.open_clients() as u64;
    let connections = event_loop.metrics.open_member_connections;
    [
        clients,
        clients + connections,
        event_loop.reserved_memory() as u64,
    ]
}

fn kept(meaning: &Meaning) -> usize {
    meaning.amount(registry(), "activation", "kept").max(1) as usize
}

pub fn take_over(event_loop: &mut EventLoop<Log>, phases: &mut Phases, force: &InForce) {
    event_loop.set_limits(force.limits, &force.workloads);
    event_loop.observer.lines_per_second = force.lines_a_second;
    phases.durations = force.times;
}

fn written(told: &Told) -> String {
    match told {
        Told::Same => "read again, it means the same".to_owned(),
        Told::Rejected { errors } => format!("kept as it was: the file has {errors} errors"),
        Told::Overtaken => "a read was overtaken by a newer one".to_owned(),
        Told::Refused { why } => {
            format!("not taken again: this was gone back from for want of {}; change the file", why.name())
        }
        Told::InForce { number, live, at_start } => {
            format!("generation {number} is in force: {live} settings changed, {at_start} wait for the next start")
        }
        Told::Kept { number } => format!("generation {number} is kept"),
        Told::GoneBack { from, to, why } => format!(
            "WENT BACK from generation {from} to {to}: more was turned away for want of {}, no fuller than before",
            why.name()
        ),
    }
}

/// Reads and stores on a thread of its own: a large file or a slow disk must not hold statements up.
fn worker(
    file: String,
    state: Option<PathBuf>,
    tell: Sender<Done>,
    queue: Sender<Event>,
) -> Result<Sender<Job>, String> {
    let (jobs, todo) = channel();
    let work = move || {
        for job in todo {
            let done = match job {
                Job::Read { ticket, machine } => {
                    let outcome = read(&file, machine);
                    let text = outcome
                        .reports
                        .iter()
                        .map(|r| report::text(r, &outcome.files))
                        .collect();
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
                Job::Keep {
                    number,
                    canonical,
                    most,
                } => {
                    let store = state.as_deref().map(Store::open);
                    let kept = store.map(|s| s.and_then(|s| s.keep(number, &canonical, most, |_| ())));
                    let fault = kept.and_then(Result::err).map(|e| e.to_string());
                    Done::Kept { number, fault }
                }
            };
            if tell.send(done).is_err() || queue.send(Event::Control(ControlEvent::WakeUp)).is_err() {
                return;
            }
        }
    };
    let thread = std::thread::Builder::new().name("operators".to_owned());
    thread.spawn(work).map_err(|e| format!("operators: {e}"))?;
    Ok(jobs)
}
