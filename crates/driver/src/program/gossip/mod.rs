//! Gossip with other drivers in service: its settings, its thread and its snapshot on disk.
//!
//! The thread runs a `GossipNode`. The event loop sends it commands through a [`GossipHandle`] and never waits for it; its
//! events come back through the event loop's queue.

mod query;
pub mod snapshot_file;
mod snapshot_writer;
mod status;
pub mod table;
mod thread;

use crate::program::config::Config;
use crate::program::operators::schema;
use crate::routing::events::Event;
use crate::routing::gossip::{DriverIdentity, FleetPeers, Gossip, GossipCommand, GossipSettings};
use crate::transport::clock::Clock;
use crate::transport::datagrams::{DatagramSocket, DatagramWaker};
use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_config::resolved::{hash, ResolvedSettings};
use asterlatch_config::service_schema::{configured_peers, ConfiguredPeer};
use asterlatch_gossip::codec::Dialect;
use asterlatch_gossip::membership::MembershipTiming;
use asterlatch_gossip::node::{GossipNode, NodeSettings};
use asterlatch_gossip::record::ObservedRecord;
use asterlatch_gossip::snapshot;
use asterlatch_recovery::report::{self, ClassifiedRecords, StoredRecord, UsableRecord};
use asterlatch_storage::log_file::PreviousLog;
pub use query::{query_service, Query, QueryError, QueryKind};
use snapshot_writer::SnapshotWriter;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, Sender};
use thread::{GossipThread, ThreadMessage};

/// Environment variable by which tests have this process speak as a later build may.
pub const LATER_WIRE: &str = "ASTERLATCH_LAB_LATER_WIRE";

/// The section `shared` of the operators' file.
#[derive(Clone, Debug, PartialEq)]
pub struct GossipConfig {
    port: u16,
    others: Vec<ConfiguredPeer>,
    node: NodeSettings,
    routing: GossipSettings,
    /// Time between two writes of the snapshot; zero writes none.
    snapshot_interval: TimeSpan,
}

impl GossipConfig {
    /// What the operators' file says; `None` where drivers don't gossip.
    pub fn from_meaning(meaning: &ResolvedSettings) -> Option<GossipConfig> {
        let amount = |row| meaning.amount(schema(), "shared", row).max(0);
        let span = |row| TimeSpan(amount(row) as u64);
        let port = u16::try_from(amount("port")).ok().filter(|port| *port > 0)?;
        let others = configured_peers(schema(), meaning);
        let node = NodeSettings {
            fleet: String::new(),
            name: String::new(),
            peers: others.iter().map(|other| other.name.clone()).collect(),
            gossip_interval: span("tick"),
            fanout: amount("fanout") as usize,
            anti_entropy_interval: span("compare"),
            bytes_per_second: amount("rate") as u64,
            membership: MembershipTiming {
                probe_interval: span("probe"),
                suspicion_timeout: span("suspicion"),
            },
            inquiry_timeout: span("ask"),
            operators_file: file_hash(meaning),
            dialect: Dialect::Current,
        };
        let routing = GossipSettings {
            tick: span("tick"),
            inquiry_timeout: span("ask"),
            retry_window: span("window"),
            max_recorded_statements: amount("ids") as usize,
            // The deployment's, set at the start.
            overload_window: TimeSpan(0),
            overload_multiple: 0.0,
        };
        Some(GossipConfig {
            port,
            others,
            node,
            routing,
            snapshot_interval: span("keep"),
        })
    }

    /// The folder for the snapshot; `None` if none is written.
    fn snapshot_folder(&self, state: Option<&Path>) -> Result<Option<PathBuf>, GossipError> {
        if self.snapshot_interval == TimeSpan(0) {
            return Ok(None);
        }
        let folder = state.ok_or(GossipError::NoStateFolder)?;
        Ok(Some(folder.to_owned()))
    }

    /// The node's settings in this deployment. Drivers of other deployments, or with other settings, form other fleets.
    fn node_settings(&self, config: &Config) -> NodeSettings {
        let speaks_later = std::env::var_os(LATER_WIRE).is_some();
        NodeSettings {
            fleet: format!("{:016x}", config.settings_hash),
            name: config.name.clone(),
            dialect: if speaks_later {
                Dialect::Later
            } else {
                Dialect::Current
            },
            ..self.node.clone()
        }
    }

    /// The event loop's side.
    fn event_loop_side(
        &self,
        config: &Config,
        incarnation: u64,
        now: Timestamp,
        handle: GossipHandle,
    ) -> Gossip {
        let rules = &config.settings;
        let settings = GossipSettings {
            overload_window: rules.overload_window,
            overload_multiple: rules.overload_multiple,
            ..self.routing
        };
        let identity = DriverIdentity {
            name: config.name.clone(),
            incarnation,
        };
        let queried = self
            .others
            .iter()
            .enumerate()
            .filter(|(_, other)| other.receives_inquiries);
        let peers = FleetPeers {
            names: self.node.peers.clone(),
            inquiry_peers: queried.map(|(index, _)| index).collect(),
        };
        let send = Box::new(move |command| handle.send(command));
        Gossip::new(now, settings, identity, peers, send)
    }
}

/// The first eight bytes of the file's hash, by which drivers compare their files.
fn file_hash(meaning: &ResolvedSettings) -> u64 {
    let canonical = hash(&meaning.canonical(schema()));
    u64::from_str_radix(canonical.get(..16).unwrap_or_default(), 16).unwrap_or(0)
}

/// Sends messages to the gossip thread, from any thread. A thread that has ended ignores them.
#[derive(Clone)]
pub struct GossipHandle {
    messages: Sender<ThreadMessage>,
    waker: DatagramWaker,
}

impl GossipHandle {
    /// Has a query answered; a thread that has ended drops the socket, which the operator sees.
    pub fn query(&self, query: Query) {
        let _ = self.messages.send(ThreadMessage::Query(query));
        self.wake();
    }

    fn send(&self, command: GossipCommand) {
        let _ = self.messages.send(ThreadMessage::Command(command));
        self.wake();
    }

    fn wake(&self) {
        self.waker.wake();
    }
}

/// Gossip could not be started.
#[derive(Debug, thiserror::Error)]
pub enum GossipError {
    /// The address can't be bound.
    #[error("shared.port: {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// A snapshot is wanted and there is no folder for it.
    #[error("shared.keep: no folder is given with --state")]
    NoStateFolder,
    /// The thread that writes the snapshot can't be started.
    #[error("shared.keep: {0}")]
    SnapshotThread(#[source] io::Error),
    /// The gossip thread can't be started.
    #[error("shared: {0}")]
    Thread(#[source] io::Error),
}

/// What [`start`] returns.
pub struct StartedGossip {
    /// The event loop's side.
    pub gossip: Gossip,
    /// For operators' queries.
    pub handle: GossipHandle,
}

/// Starts the gossip thread, with the records of a former incarnation that are still usable.
///
/// # Errors
/// If the address can't be bound, a snapshot is wanted without a folder, or a thread can't be started.
pub fn start(
    gossip: &GossipConfig,
    config: &Config,
    clock: Clock,
    queue: Sender<Event>,
    state: Option<&Path>,
) -> Result<StartedGossip, GossipError> {
    let address = SocketAddr::new(config.listen.ip(), gossip.port);
    let peers = gossip.others.iter().map(|other| other.address).collect();
    let bound = DatagramSocket::bind(address, peers);
    let socket = bound.map_err(|source| GossipError::Bind { address, source })?;
    let settings = gossip.node_settings(config);
    let now = clock.now();
    let folder = gossip.snapshot_folder(state)?;
    let former = folder.as_ref().map(|folder| read_former(folder, &settings));
    let former = former.unwrap_or_default();
    let incarnation = now.0.max(former.incarnation.saturating_add(1));
    let mut node = GossipNode::new(settings, incarnation, config.seed ^ now.0, now);
    let former_file = former.file;
    let log_lines = restore(&mut node, former, now, folder.is_some());
    let (messages, inbox) = channel();
    let waker = socket.waker();
    let handle = GossipHandle { messages, waker };
    let event_loop_side = gossip.event_loop_side(config, incarnation, now, handle.clone());
    let writer =
        folder.map(|f| SnapshotWriter::start(&f, former_file, gossip.snapshot_interval, now, &handle));
    let thread = GossipThread {
        snapshot_writer: writer.transpose().map_err(GossipError::SnapshotThread)?,
        log_lines,
        node,
        socket,
        inbox,
        queue,
        clock,
        foreign: 0,
        not_sent: 0,
    };
    let builder = std::thread::Builder::new().name("sharing".to_owned());
    let spawned = builder.spawn(move || thread.run());
    spawned.map_err(GossipError::Thread)?;
    Ok(StartedGossip {
        gossip: event_loop_side,
        handle,
    })
}

/// What a former incarnation of this driver has written.
#[derive(Default)]
struct FormerSnapshot {
    records: Vec<ObservedRecord>,
    incarnation: u64,
    /// Whether the disk gave it, damaged or not.
    file: PreviousLog,
    /// Why it can't be read, or not to its end.
    error: Option<String>,
}

fn read_former(folder: &Path, settings: &NodeSettings) -> FormerSnapshot {
    match snapshot_file::read_patiently(folder) {
        Ok(None) => FormerSnapshot::default(),
        Ok(Some(bytes)) => {
            let contents = snapshot::read(&bytes, &settings.fleet, &settings.name);
            FormerSnapshot {
                records: contents.records,
                incarnation: contents.incarnation,
                file: PreviousLog::Readable,
                error: contents.error.map(|error| error.to_string()),
            }
        }
        Err(error) => FormerSnapshot {
            file: PreviousLog::Unreadable,
            error: Some(error.to_string()),
            ..FormerSnapshot::default()
        },
    }
}

/// Restores what is still usable; returns log lines.
fn restore(node: &mut GossipNode, former: FormerSnapshot, now: Timestamp, has_folder: bool) -> Vec<String> {
    let found = former.records.into_iter().map(StoredRecord::from);
    let ClassifiedRecords { usable, report } = report::classify(found, now);
    let mut lines: Vec<String> = former.error.into_iter().collect();
    if has_folder {
        lines.push(report.to_string());
    }
    // No peer is known yet, so nothing is sent; the event loop learns these records with the first events.
    for UsableRecord { record, age } in usable {
        node.restore(now, record, age);
    }
    lines
}
