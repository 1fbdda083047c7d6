//! Gossip with other drivers: its settings, its thread and its snapshot on disk.
//!
//! The thread runs a `GossipNode`. The event loop sends it commands through a [`GossipHandle`] without
//! waiting for it, and receives its events through the event loop's queue.

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

/// Environment variable with which tests make this process use the wire format of a later build.
pub const LATER_WIRE_VARIABLE: &str = "ASTERLATCH_LAB_LATER_WIRE";

/// The section `shared` of the operators' file.
#[derive(Clone, Debug, PartialEq)]
pub struct GossipConfig {
    port: u16,
    peers: Vec<ConfiguredPeer>,
    node: NodeSettings,
    routing: GossipSettings,
    /// Interval between two writes of the snapshot; zero disables them.
    snapshot_interval: TimeSpan,
}

impl GossipConfig {
    /// Reads the section `shared`; `None` if gossip is disabled.
    pub fn from_resolved(resolved: &ResolvedSettings) -> Option<GossipConfig> {
        let amount = |setting| resolved.amount(schema(), "shared", setting).max(0);
        let span = |setting| TimeSpan(amount(setting) as u64);
        let port = u16::try_from(amount("port")).ok().filter(|port| *port > 0)?;
        let peers = configured_peers(schema(), resolved);
        let node = NodeSettings {
            fleet: String::new(),
            name: String::new(),
            peers: peers.iter().map(|peer| peer.name.clone()).collect(),
            gossip_interval: span("tick"),
            fanout: amount("fanout") as usize,
            anti_entropy_interval: span("compare"),
            bytes_per_second: amount("rate") as u64,
            membership: MembershipTiming {
                probe_interval: span("probe"),
                suspicion_timeout: span("suspicion"),
            },
            inquiry_timeout: span("ask"),
            operators_file: file_hash(resolved),
            dialect: Dialect::Current,
        };
        let routing = GossipSettings {
            tick: span("tick"),
            inquiry_timeout: span("ask"),
            retry_window: span("window"),
            max_recorded_statements: amount("ids") as usize,
            // From the deployment's settings; set by `event_loop_side`.
            overload_window: TimeSpan(0),
            overload_multiple: 0.0,
        };
        Some(GossipConfig {
            port,
            peers,
            node,
            routing,
            snapshot_interval: span("keep"),
        })
    }

    /// The folder of the snapshot; `None` if none is written.
    fn snapshot_folder(&self, state: Option<&Path>) -> Result<Option<PathBuf>, GossipError> {
        if self.snapshot_interval == TimeSpan(0) {
            return Ok(None);
        }
        let folder = state.ok_or(GossipError::NoStateFolder)?;
        Ok(Some(folder.to_owned()))
    }

    /// The node's settings in this deployment. Drivers with different deployment settings form different
    /// fleets.
    fn node_settings(&self, config: &Config) -> NodeSettings {
        let uses_later_wire = std::env::var_os(LATER_WIRE_VARIABLE).is_some();
        NodeSettings {
            fleet: format!("{:016x}", config.settings_hash),
            name: config.name.clone(),
            dialect: if uses_later_wire {
                Dialect::Later
            } else {
                Dialect::Current
            },
            ..self.node.clone()
        }
    }

    /// Creates the event loop's side of gossip.
    fn event_loop_side(
        &self,
        config: &Config,
        incarnation: u64,
        now: Timestamp,
        handle: GossipHandle,
    ) -> Gossip {
        let deployment = &config.settings;
        let settings = GossipSettings {
            overload_window: deployment.overload_window,
            overload_multiple: deployment.overload_multiple,
            ..self.routing
        };
        let identity = DriverIdentity {
            name: config.name.clone(),
            incarnation,
        };
        let queried = self
            .peers
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

/// The first eight bytes of the file's hash, with which drivers compare their operators' files.
fn file_hash(resolved: &ResolvedSettings) -> u64 {
    let canonical = hash(&resolved.canonical(schema()));
    u64::from_str_radix(canonical.get(..16).unwrap_or_default(), 16).unwrap_or(0)
}

/// Sends messages to the gossip thread, from any thread. Once that has ended they are dropped.
#[derive(Clone)]
pub struct GossipHandle {
    messages: Sender<ThreadMessage>,
    waker: DatagramWaker,
}

impl GossipHandle {
    /// Sends a query to the thread. If that has ended the socket is closed, and the operator gets no answer.
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

/// Why gossip can't start.
#[derive(Debug, thiserror::Error)]
pub enum GossipError {
    /// The address can't be bound.
    #[error("cannot bind {address} for gossip (shared.port): {source}")]
    Bind {
        /// Gossip address of this driver.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// Snapshots are enabled without a folder for them.
    #[error("shared.keep requires a folder, and --state is not given")]
    NoStateFolder,
    /// The thread that writes the snapshot can't be started.
    #[error("cannot start the snapshot thread: {0}")]
    SnapshotThread(#[source] io::Error),
    /// The gossip thread can't be started.
    #[error("cannot start the gossip thread: {0}")]
    Thread(#[source] io::Error),
}

/// Gossip after its start.
pub struct StartedGossip {
    /// The event loop's side.
    pub gossip: Gossip,
    /// For operators' queries.
    pub handle: GossipHandle,
}

/// Starts the gossip thread with those records of the previous incarnation that are still usable.
///
/// # Errors
/// If the address can't be bound, snapshots are enabled without a folder, or a thread can't be started.
pub fn start(
    gossip: &GossipConfig,
    config: &Config,
    clock: Clock,
    queue: Sender<Event>,
    state: Option<&Path>,
) -> Result<StartedGossip, GossipError> {
    let address = SocketAddr::new(config.listen.ip(), gossip.port);
    let peer_addresses = gossip.peers.iter().map(|peer| peer.address).collect();
    let bound = DatagramSocket::bind(address, peer_addresses);
    let socket = bound.map_err(|source| GossipError::Bind { address, source })?;
    let settings = gossip.node_settings(config);
    let now = clock.now();
    let folder = gossip.snapshot_folder(state)?;
    let previous = folder.as_ref().map(|folder| read_previous(folder, &settings));
    let previous = previous.unwrap_or_default();
    let incarnation = now.0.max(previous.incarnation.saturating_add(1));
    let mut node = GossipNode::new(settings, incarnation, config.seed ^ now.0, now);
    let previous_file = previous.file;
    let log_lines = restore(&mut node, previous, now, folder.is_some());
    let (messages, inbox) = channel();
    let waker = socket.waker();
    let handle = GossipHandle { messages, waker };
    let event_loop_side = gossip.event_loop_side(config, incarnation, now, handle.clone());
    let writer =
        folder.map(|f| SnapshotWriter::start(&f, previous_file, gossip.snapshot_interval, now, &handle));
    let thread = GossipThread {
        snapshot_writer: writer.transpose().map_err(GossipError::SnapshotThread)?,
        log_lines,
        node,
        socket,
        inbox,
        queue,
        clock,
        unknown_senders: 0,
        send_failures: 0,
    };
    let builder = std::thread::Builder::new().name("sharing".to_owned());
    let spawned = builder.spawn(move || thread.run());
    spawned.map_err(GossipError::Thread)?;
    Ok(StartedGossip {
        gossip: event_loop_side,
        handle,
    })
}

/// Snapshot that the previous incarnation of this driver wrote.
#[derive(Default)]
struct PreviousSnapshot {
    records: Vec<ObservedRecord>,
    incarnation: u64,
    /// Whether the file could be read, even if its contents are damaged.
    file: PreviousLog,
    /// Why the snapshot can't be used, or not to its end.
    error: Option<String>,
}

fn read_previous(folder: &Path, settings: &NodeSettings) -> PreviousSnapshot {
    match snapshot_file::read_with_retries(folder) {
        Ok(None) => PreviousSnapshot::default(),
        Ok(Some(bytes)) => {
            let contents = snapshot::read(&bytes, &settings.fleet, &settings.name);
            PreviousSnapshot {
                records: contents.records,
                incarnation: contents.incarnation,
                file: PreviousLog::Readable,
                error: contents.error.map(|error| error.to_string()),
            }
        }
        Err(error) => PreviousSnapshot {
            file: PreviousLog::Unreadable,
            error: Some(error.to_string()),
            ..PreviousSnapshot::default()
        },
    }
}

/// Restores the records that are still usable; returns log lines.
fn restore(
    node: &mut GossipNode,
    previous: PreviousSnapshot,
    now: Timestamp,
    has_folder: bool,
) -> Vec<String> {
    let stored = previous.records.into_iter().map(StoredRecord::from);
    let ClassifiedRecords { usable, report } = report::classify(stored, now);
    let mut lines: Vec<String> = previous.error.into_iter().collect();
    if has_folder {
        lines.push(report.to_string());
    }
    // No peer is known yet, so nothing is sent; the event loop receives these records with the first events.
    for UsableRecord { record, age } in usable {
        node.restore(now, record, age);
    }
    lines
}
