//! The thread that speaks with other drivers: carries datagrams to the engine of `asterlatch-gossip` and out of it, and its
//! news to the event loop. It keeps no statement waiting: the event loop speaks to it by words, and hears by its own queue.

use super::snapshot_writer::{self, Job};
use crate::program::config::Config;
use crate::program::operators::registry;
use crate::routing::events::Event;
use crate::routing::gossip::{
    DriverIdentity, FleetPeers, Gossip, GossipCommand, GossipMessage, GossipSettings,
};
use crate::transport::clock::Clock;
use crate::transport::datagrams::{DatagramEvent, DatagramSocket, DatagramWaker};
use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_config::host::{drivers, Other};
use asterlatch_config::meaning::{hash, Meaning};
use asterlatch_coordination::lease::Lease;
use asterlatch_gossip::codec::Dialect;
use asterlatch_gossip::membership::MembershipTiming;
use asterlatch_gossip::node::{GossipNode, NodeInput, NodeOutput, NodeSettings};
use asterlatch_gossip::record::{ObservedRecord, Record, RecordKey};
use asterlatch_gossip::snapshot::{self, SnapshotSchedule, WriteRequest, WriteStatusChange};
use asterlatch_gossip::state::ReplicatedState;
use asterlatch_recovery::report::{self, Classified, StoredRecord, UsableRecord};
use serde_json::{json, Value};
use std::io::Write;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::sync::mpsc::{channel, Receiver, Sender, SyncSender};
use std::time::Duration;

/// How the operators set it; nothing where nothing is shared.
#[derive(Clone, Debug, PartialEq)]
pub struct Shares {
    port: u16,
    others: Vec<Other>,
    settings: NodeSettings,
    terms: GossipSettings,
    /// Between two writings; zero keeps nothing.
    keep: TimeSpan,
}

impl Shares {
    pub fn of(meaning: &Meaning) -> Option<Shares> {
        let amount = |row| meaning.amount(registry(), "shared", row).max(0);
        let span = |row| TimeSpan(amount(row) as u64);
        let port = u16::try_from(amount("port")).ok().filter(|p| *p > 0)?;
        let others = drivers(registry(), meaning);
        let canonical = hash(&meaning.canonical(registry()));
        let settings = NodeSettings {
            fleet: String::new(),
            name: String::new(),
            peers: others.iter().map(|o| o.name.clone()).collect(),
            gossip_interval: span("tick"),
            fanout: amount("fanout") as usize,
            anti_entropy_interval: span("compare"),
            bytes_per_second: amount("rate") as u64,
            membership: MembershipTiming {
                probe_interval: span("probe"),
                suspicion_timeout: span("suspicion"),
            },
            inquiry_timeout: span("ask"),
            operators_file: u64::from_str_radix(canonical.get(..16).unwrap_or_default(), 16).unwrap_or(0),
            dialect: Dialect::Current,
        };
        let terms = GossipSettings {
            tick: span("tick"),
            query_timeout: span("ask"),
            retry_window: span("window"),
            max_recorded_statements: amount("ids") as usize,
            // The deployment's, put in at the start.
            overload_window: TimeSpan(0),
            overload_multiple: 0.0,
        };
        Some(Shares {
            port,
            others,
            settings,
            terms,
            keep: span("keep"),
        })
    }
}

/// What an operator asks: the answer goes to the socket.
pub struct Show {
    pub what: What,
    pub json: bool,
    pub reply: UnixStream,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum What {
    /// Who of the fleet is there, and how this driver stands
    Status,
    /// All that is shared, as this driver holds it
    Facts,
    /// What can't both be true
    Differences,
}

impl What {
    pub fn name(self) -> &'static str {
        match self {
            What::Status => "status",
            What::Facts => "facts",
            What::Differences => "differences",
        }
    }

    pub fn named(name: &str) -> Option<What> {
        [What::Status, What::Facts, What::Differences]
            .into_iter()
            .find(|w| w.name() == name)
    }
}

enum ToEngine {
    Word(GossipCommand),
    Show(Show),
}

/// By which others reach the engine's thread.
#[derive(Clone)]
pub struct Line {
    words: Sender<ToEngine>,
    waker: DatagramWaker,
}

impl Line {
    pub fn show(&self, show: Show) {
        // One that is gone drops the socket, which its asker sees.
        let _ = self.words.send(ToEngine::Show(show));
        self.waker.wake();
    }

    fn tell(&self, word: GossipCommand) {
        let _ = self.words.send(ToEngine::Word(word));
        self.waker.wake();
    }
}

/// Where it is set, a laboratory has this process speak to other drivers as a later build may.
pub const LATER_WIRE: &str = "ASTERLATCH_LAB_LATER_WIRE";

/// Begins to share. What can't be bound is an error, for operators asked for it.
pub fn start(
    shares: &Shares,
    config: &Config,
    clock: Clock,
    queue: Sender<Event>,
    state: Option<&Path>,
) -> Result<(Gossip, Line), String> {
    let address = SocketAddr::new(config.listen.ip(), shares.port);
    let addresses = shares.others.iter().map(|o| o.address).collect();
    let datagrams =
        DatagramSocket::bind(address, addresses).map_err(|e| format!("shared.port: {address}: {e}"))?;
    let settings = NodeSettings {
        // Drivers of other deployments, or with other settings, have nothing to tell this one.
        fleet: format!("{:016x}", config.settings_hash),
        name: config.name.clone(),
        dialect: match std::env::var_os(LATER_WIRE) {
            Some(_) => Dialect::Later,
            None => Dialect::Current,
        },
        ..shares.settings.clone()
    };
    let now = clock.now();
    let folder = match state.filter(|_| shares.keep > TimeSpan(0)) {
        None if shares.keep > TimeSpan(0) => {
            return Err("shared.keep: no folder is given with --state".to_owned())
        }
        folder => folder.map(Path::to_owned),
    };
    let kept = folder.as_ref().map(|f| former(f, &settings)).unwrap_or_default();
    let life = now.0.max(kept.life.saturating_add(1));
    let mut engine = GossipNode::new(settings, life, config.seed ^ now.0, now);
    let lines = take_over(&mut engine, kept, now, folder.is_some());
    let (words, inbox) = channel();
    let line = Line {
        words,
        waker: datagrams.waker(),
    };
    let teller = line.clone();
    let peers = shares.others.iter().enumerate().filter(|(_, o)| o.asked);
    let rules = &config.settings;
    let terms = GossipSettings {
        overload_window: rules.overload_window,
        overload_multiple: rules.overload_multiple,
        ..shares.terms
    };
    let gossip = Gossip::new(
        now,
        terms,
        DriverIdentity {
            name: config.name.clone(),
            incarnation: life,
        },
        FleetPeers {
            names: shares.settings.peers.clone(),
            queried: peers.map(|(n, _)| n).collect(),
        },
        Box::new(move |command| teller.tell(command)),
    );
    let keeping = folder
        .map(|f| Keeping::start(&f, shares.keep, now, &line))
        .transpose();
    let keeping = keeping.map_err(|e| format!("shared.keep: {e}"))?;
    let running = Running {
        keeping,
        lines,
        engine,
        datagrams,
        inbox,
        queue,
        clock,
        foreign: 0,
        failed: 0,
    };
    let thread = std::thread::Builder::new().name("sharing".to_owned());
    let spawned = thread.spawn(move || running.run());
    spawned.map_err(|e| format!("shared: {e}"))?;
    Ok((gossip, line))
}

/// What a former life of this driver has kept.
fn former(folder: &Path, settings: &NodeSettings) -> Former {
    match snapshot_writer::read(folder) {
        Ok(None) => Former::default(),
        Ok(Some(bytes)) => {
            let read = snapshot::read(&bytes, &settings.fleet, &settings.name);
            Former {
                facts: read.records,
                life: read.incarnation,
                fault: read.error.map(|f| f.to_string()),
            }
        }
        Err(fault) => Former {
            fault: Some(fault),
            ..Former::default()
        },
    }
}

#[derive(Default)]
struct Former {
    facts: Vec<ObservedRecord>,
    life: u64,
    fault: Option<String>,
}

/// Begins with what was kept, as far as it is of use still; what is to be told of that.
fn take_over(engine: &mut GossipNode, former: Former, now: Timestamp, keeps: bool) -> Vec<String> {
    let found = former.facts.into_iter().map(StoredRecord::from);
    let Classified { usable, report } = report::classify(found, now);
    let mut lines: Vec<String> = former.fault.into_iter().collect();
    if keeps {
        lines.push(report.to_string());
    }
    // Nobody is there to be told of it yet: what comes out is for the event loop alone, which hears it with the first news.
    for UsableRecord { record, age } in usable {
        engine.restore(now, record, age);
    }
    lines
}

/// What keeps the copy.
struct Keeping {
    keeper: SnapshotSchedule,
    jobs: SyncSender<Job>,
    done: Receiver<snapshot_writer::Done>,
    writer: Option<snapshot::SnapshotEncoder>,
}

impl Keeping {
    fn start(folder: &Path, every: TimeSpan, now: Timestamp, line: &Line) -> std::io::Result<Keeping> {
        let (tell, done) = channel();
        let waker = line.waker.clone();
        let told = move |result| {
            let sent = tell.send(result).is_ok();
            waker.wake();
            sent
        };
        Ok(Keeping {
            keeper: SnapshotSchedule::new(now, every),
            jobs: snapshot_writer::start(folder, told)?,
            done,
            writer: None,
        })
    }

    /// Writes what is due, and says what became of what was.
    fn steer(&mut self, engine: &mut GossipNode, now: Timestamp) -> Vec<String> {
        let mut lines = Vec::new();
        while let Ok((wish, records, result)) = self.done.try_recv() {
            if result.is_err() {
                self.writer = None;
            }
            match self.keeper.on_written(now, wish, records, result) {
                Some(WriteStatusChange::Failing(why)) => {
                    lines.push(format!("nothing is kept until that is mended: {why}"))
                }
                Some(WriteStatusChange::Recovered) => lines.push("the copy is kept again".to_owned()),
                None => {}
            }
        }
        if engine.has_changed() {
            self.keeper.mark_changed();
        }
        let Some(wish) = self.keeper.next_request(now) else {
            return lines;
        };
        let changed = engine.take_changed();
        let (wish, mut bytes, facts) = match (wish, changed, &self.writer) {
            (WriteRequest::Append, Some(changed), Some(_)) => (WriteRequest::Append, Vec::new(), changed),
            _ => {
                let settings = engine.settings();
                let (head, writer) = snapshot::SnapshotEncoder::begin(
                    &settings.fleet,
                    &settings.name,
                    engine.membership.own().incarnation,
                );
                self.writer = Some(writer);
                let all = engine.state.entries().filter(|e| e.record.kind().is_persistent());
                (
                    WriteRequest::Rewrite,
                    head,
                    all.map(ObservedRecord::from).collect(),
                )
            }
        };
        if let Some(writer) = &mut self.writer {
            for fact in &facts {
                writer.append(&mut bytes, &fact.record, fact.observed_at);
            }
        }
        let records = facts.len();
        // One at a time, so there is room for it.
        let _ = self.jobs.try_send(Job { wish, bytes, records });
        lines
    }
}

struct Running {
    keeping: Option<Keeping>,
    /// What the event loop is to say.
    lines: Vec<String>,
    engine: GossipNode,
    datagrams: DatagramSocket,
    inbox: Receiver<ToEngine>,
    queue: Sender<Event>,
    clock: Clock,
    /// Datagrams from nobody who may speak here, and such that couldn't be sent.
    foreign: u64,
    failed: u64,
}

/// The longest sleep: a clock that is set can't hold the thread up for ever.
const LONGEST_WAIT: Duration = Duration::from_secs(1);

impl Running {
    fn run(mut self) {
        loop {
            let now = self.clock.now();
            if let Some(keeping) = &mut self.keeping {
                self.lines.extend(keeping.steer(&mut self.engine, now));
            }
            for line in std::mem::take(&mut self.lines) {
                if self
                    .queue
                    .send(Event::Gossip(GossipMessage::LogLine(line)))
                    .is_err()
                {
                    return;
                }
            }
            let keeps_at = self
                .keeping
                .as_ref()
                .map_or(Timestamp(u64::MAX), |k| k.keeper.next_at());
            let next = self.engine.next_at().min(keeps_at);
            let wait = Duration::from_micros((next - now).0).min(LONGEST_WAIT);
            let outputs = match self.datagrams.receive(wait) {
                Ok(DatagramEvent::Received(from, bytes)) => {
                    let now = self.clock.now();
                    self.engine.handle(now, NodeInput::Datagram { from, bytes })
                }
                Ok(DatagramEvent::UnknownSender(_)) => {
                    self.foreign += 1;
                    Vec::new()
                }
                Ok(DatagramEvent::Woken) => Vec::new(),
                Ok(DatagramEvent::TimedOut) => self.engine.handle(self.clock.now(), NodeInput::Tick),
                // Without a socket nothing more comes; what the event loop does goes on.
                Err(_) => return,
            };
            if !self.carry_out(outputs) {
                return;
            }
            while let Ok(word) = self.inbox.try_recv() {
                let leaves = matches!(word, ToEngine::Word(GossipCommand::Leave));
                let outputs = self.word(word);
                if !self.carry_out(outputs) || leaves {
                    return;
                }
            }
        }
    }

    fn word(&mut self, word: ToEngine) -> Vec<NodeOutput> {
        let now = self.clock.now();
        match word {
            ToEngine::Show(show) => {
                self.show(now, show);
                Vec::new()
            }
            ToEngine::Word(word) => self.engine.handle(now, word),
        }
    }

    /// Whether the event loop is still there.
    fn carry_out(&mut self, outputs: Vec<NodeOutput>) -> bool {
        for output in outputs {
            match output {
                NodeOutput::Send { to, bytes } => self.failed += u64::from(!self.datagrams.send(to, &bytes)),
                news => {
                    if self
                        .queue
                        .send(Event::Gossip(GossipMessage::Output(news)))
                        .is_err()
                    {
                        return false;
                    }
                }
            }
        }
        true
    }

    fn show(&self, now: Timestamp, show: Show) {
        let value = match show.what {
            What::Status => self.status(now),
            What::Facts => self.facts(now),
            What::Differences => self.differences(now),
        };
        let text = written(&value, show.json);
        // Who doesn't read holds this thread up for no more than a moment.
        let mut reply = show.reply;
        let _ = reply.set_write_timeout(Some(Duration::from_millis(200)));
        let _ = reply.write_all(text.as_bytes());
    }

    fn status(&self, now: Timestamp) -> Value {
        let own = self.engine.membership.own();
        let told = |name: &str| {
            let of = self.engine.state.entries().map(|e| &e.record);
            of.filter_map(|f| match f {
                Record::Driver {
                    name: n,
                    list_version: list,
                    operators_file: file,
                    ..
                } if n == name => Some((*list, format!("{file:016x}"))),
                _ => None,
            })
            .next()
        };
        let row = |name: &str,
                   presence: &str,
                   life: u64,
                   heard: Option<TimeSpan>,
                   late: TimeSpan,
                   whole: bool| {
            let (list, file) = told(name).unzip();
            json!({
                "driver": name, "presence": presence, "life": life, "heard_ms_ago": heard.map(|h| h.0 / 1000),
                "late_ms": late.0 / 1000, "caught_up": whole, "list": list, "file": file,
            })
        };
        let is_whole = !self.engine.anti_entropy.is_behind();
        let mut rows = vec![row(
            &own.name,
            "this one",
            own.incarnation,
            None,
            TimeSpan(0),
            is_whole,
        )];
        for p in self.engine.membership.peers() {
            let heard = p.last_heard.map(|at| now - at);
            rows.push(row(
                &p.name,
                p.state.name(),
                p.incarnation,
                heard,
                p.delay,
                p.caught_up,
            ));
        }
        let c = &self.engine.metrics;
        json!({
            "fleet": [{ "settings": self.engine.settings().fleet }],
            "drivers": rows,
            "counts": [{
                "keeps": self.keeping.as_ref().map_or("nothing", |k| if k.keeper.is_failing() { "fails" } else { "well" }),
                "facts": self.engine.state.len(), "datagrams_sent": c.datagrams_sent, "bytes_sent": c.bytes_sent,
                "datagrams_heard": c.datagrams_received, "bytes_heard": c.bytes_received, "garbled": c.malformed,
                "unknown_version": c.unknown_version, "passed_over": c.ignored, "foreign": self.foreign,
                "not_sent": self.failed, "facts_told": c.records_sent, "facts_heard": c.records_received,
                "facts_new": c.records_new, "facts_refused": c.records_rejected, "rounds": c.rounds,
            }],
        })
    }

    fn facts(&self, now: Timestamp) -> Value {
        let rows = self.engine.state.entries().map(|entry| {
            let RecordKey { kind, subject } = entry.record.key();
            let age = entry.age(now);
            json!({ "kind": kind.name(), "of": subject, "told_ms_ago": age.0 / 1000, "says": says(&entry.record) })
        });
        let digests = ReplicatedState::digests(&self.engine.state);
        let mark = digests.iter().fold(0u64, |all, d| all.rotate_left(7) ^ d);
        json!({ "facts": rows.collect::<Vec<_>>(), "copy": [{ "mark": format!("{mark:016x}") }] })
    }

    fn differences(&self, now: Timestamp) -> Value {
        let all = self.engine.state.conflicts.iter();
        let rows = all.map(|q| {
            json!({
                "what": q.kind.name(), "about": q.subject, "one": q.sides.one, "other": q.sides.other,
                "first_ms_ago": (now - q.first_seen).0 / 1000, "last_ms_ago": (now - q.last_seen).0 / 1000, "times": q.count,
            })
        });
        json!({ "differences": rows.collect::<Vec<_>>() })
    }
}

/// A record's values as text.
fn says(fact: &Record) -> String {
    match fact {
        Record::Member {
            started_ms,
            group,
            position,
            primary_at,
            replica_at,
            ..
        } => format!("group {group}, at {position}, primary at {primary_at}, replica at {replica_at}, started {started_ms}"),
        Record::Drain { list_version: list, state: standing, .. } => format!("{standing:?} by list {list}"),
        Record::WarmUp {
            work_us, carried_us: carries_us, ..
        } => format!("{work_us} us of work, carries {carries_us} us a second"),
        Record::Session { position, .. } => format!("written at {position}"),
        Record::Lease { lease: claim, .. } => {
            let Lease { term, holder, renewals: said, state: end, .. } = claim;
            format!("{end:?} by {holder:016x}, term {term}, said {said} times")
        }
        Record::Load { shares, .. } => format!("shares of {} members", shares.len()),
        Record::Unanswered { outstanding_us: before_us, .. } => format!("sent {} ms before", before_us / 1000),
        Record::Driver { incarnation: life, list_version: list, operators_file: file, caught_up, .. } => {
            format!("life {life}, list {list}, file {file:016x}, caught up {caught_up}")
        }
    }
}

/// As programs or as people read it.
pub fn written(value: &Value, as_json: bool) -> String {
    match as_json {
        true => serde_json::to_string_pretty(value).unwrap_or_default() + "\n",
        false => table(value),
    }
}

/// Each list of rows with its columns in one line each.
fn table(value: &Value) -> String {
    let mut text = String::new();
    for (name, rows) in value.as_object().into_iter().flatten() {
        let rows: Vec<_> = rows
            .as_array()
            .into_iter()
            .flatten()
            .filter_map(Value::as_object)
            .collect();
        text += &format!("{name}: {}\n", rows.len());
        let Some(first) = rows.first() else { continue };
        let cell = |v: &Value| match v {
            Value::String(s) => s.clone(),
            Value::Null => "-".to_owned(),
            v => v.to_string(),
        };
        let names: Vec<&String> = first.keys().collect();
        let widths: Vec<usize> = names
            .iter()
            .map(|n| {
                rows.iter()
                    .map(|r| cell(&r[*n]).len())
                    .chain([n.len()])
                    .max()
                    .unwrap_or(0)
            })
            .collect();
        let mut line = |cells: Vec<String>| {
            let padded: Vec<_> = cells
                .iter()
                .zip(&widths)
                .map(|(c, w)| format!("{c:<w$}"))
                .collect();
            text += &format!("  {}\n", padded.join("  ").trim_end());
        };
        line(names.iter().map(|n| n.to_string()).collect());
        for row in &rows {
            line(names.iter().map(|n| cell(&row[*n])).collect());
        }
    }
    text
}

/// Asks a running service; prints what it says.
pub fn request(control: &std::path::Path, what: What, json: bool) -> Result<bool, String> {
    let told = |e: std::io::Error| format!("{}: {e}", control.display());
    let mut stream = UnixStream::connect(control).map_err(told)?;
    let form = if json { "json" } else { "table" };
    writeln!(stream, "fleet {} {form}", what.name()).map_err(told)?;
    let mut text = String::new();
    std::io::Read::read_to_string(&mut stream, &mut text).map_err(told)?;
    print!("{text}");
    Ok(!text.is_empty() && !text.starts_with("failed"))
}
