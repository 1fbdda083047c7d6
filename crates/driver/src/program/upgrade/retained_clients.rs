//! Clients that a successor serves on probation, as the predecessor retains them: duplicates of their
//! sockets, and the replay state of the successor's I/O journal. If the successor dies, the predecessor
//! resumes them.

use crate::routing::handover::TransferredClient;
use crate::transport::io_journal::is_abandoned;
use crate::transport::socket_counts::byte_counts;
use asterlatch_handover::codec::{FrameReader, Received};
use asterlatch_handover::io_journal::{
    ClientRecovery, ConnectionKey, JournalRecord, JournalReplay, RecoveredClient, ReplayError,
    SocketByteCounts,
};
use asterlatch_handover::learned_fact::{FactQueue, LearnedFact};
use asterlatch_handover::message::ClientState;
use std::collections::BTreeMap;
use std::io;
use std::net::{Shutdown, TcpStream};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;

/// A duplicate of a client's socket.
struct RetainedSocket {
    stream: TcpStream,
    /// The kernel's byte counts when the successor took the connection over.
    initial_counts: SocketByteCounts,
}

impl RetainedSocket {
    /// Bytes transferred since the successor took the connection over; `None` if the counts are unavailable.
    fn counts_since(&self) -> Option<SocketByteCounts> {
        let totals = byte_counts(&self.stream).ok()?;
        Some(SocketByteCounts {
            read: totals.read.checked_sub(self.initial_counts.read)?,
            written: totals.written.checked_sub(self.initial_counts.written)?,
        })
    }
}

#[derive(Default)]
struct ClientTable {
    /// `None` once the state of the clients is unknown.
    replay: Option<JournalReplay>,
    sockets: BTreeMap<ConnectionKey, RetainedSocket>,
    error: Option<ReplayError>,
    /// Facts that the successor has journaled, kept also when the state of the clients is dropped.
    facts: FactQueue,
}

impl ClientTable {
    /// Drops all clients, since the journal is incomplete.
    fn abandon(&mut self, error: ReplayError) {
        self.replay = None;
        self.error = Some(error);
        self.sockets.clear();
    }

    fn begin_transfer(&mut self, client: ClientState, stream: &TcpStream) {
        let Some(replay) = &mut self.replay else { return };
        let key = ConnectionKey::Transfer(client.transfer_id);
        if let Err(error) = replay.begin_transfer(client) {
            return self.abandon(error);
        }
        // Neither process reads or writes the connection at this point, so the counts are exact.
        if let (Ok(stream), Ok(initial_counts)) = (stream.try_clone(), byte_counts(stream)) {
            let socket = RetainedSocket {
                stream,
                initial_counts,
            };
            self.sockets.insert(key, socket);
        }
    }

    fn cancel_transfer(&mut self, transfer_id: u64) {
        if let Some(replay) = &mut self.replay {
            replay.cancel_transfer(transfer_id);
        }
        self.sockets.remove(&ConnectionKey::Transfer(transfer_id));
    }

    fn apply(&mut self, record: JournalRecord, descriptor: Option<OwnedFd>) {
        if let JournalRecord::Learned(fact) = record {
            return self.facts.push(fact);
        }
        let Some(replay) = &mut self.replay else { return };
        match record {
            JournalRecord::Accepted { client } => {
                if let Some(descriptor) = descriptor {
                    let socket = RetainedSocket {
                        stream: TcpStream::from(descriptor),
                        initial_counts: SocketByteCounts::default(),
                    };
                    self.sockets.insert(ConnectionKey::Client(client), socket);
                }
            }
            JournalRecord::Adopted { client, transfer_id } => {
                if let Some(socket) = self.sockets.remove(&ConnectionKey::Transfer(transfer_id)) {
                    self.sockets.insert(ConnectionKey::Client(client), socket);
                }
            }
            JournalRecord::Closed { client } => {
                self.sockets.remove(&ConnectionKey::Client(client));
            }
            _ => {}
        }
        if let Err(error) = replay.apply(record) {
            self.abandon(error);
        }
    }
}

/// The clients that one successor serves; clones share them. The event loop's thread transfers and reclaims
/// clients, the journal's reader thread applies records. Dropping the last clone closes the duplicate
/// sockets.
#[derive(Clone, Default)]
pub(super) struct RetainedClients(Arc<Mutex<ClientTable>>);

/// Clients reclaimed from a dead successor.
#[derive(Default)]
pub(super) struct Reclaimed {
    /// Clients that this process can resume.
    pub(super) clients: Vec<TransferredClient>,
    /// What the successor has learned.
    pub(super) facts: Vec<LearnedFact>,
    /// Number of clients that were disconnected, since no consistent answer to them is possible.
    pub(super) disconnected: u64,
    /// Why no client can be resumed, if the journal is incomplete; for the log.
    pub(super) incomplete: Option<String>,
}

impl RetainedClients {
    /// Creates an empty table whose replay state may take `memory_limit` bytes.
    pub(super) fn new(memory_limit: usize) -> RetainedClients {
        let table = ClientTable {
            replay: Some(JournalReplay::new(memory_limit)),
            ..ClientTable::default()
        };
        RetainedClients(Arc::new(Mutex::new(table)))
    }

    fn table(&self) -> MutexGuard<'_, ClientTable> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a client is sent to the successor. If its socket can't be duplicated, the client is
    /// disconnected on reclaim.
    pub(super) fn begin_transfer(&self, client: ClientState, stream: &TcpStream) {
        self.table().begin_transfer(client, stream);
    }

    /// Drops a client whose descriptor the successor didn't receive.
    pub(super) fn cancel_transfer(&self, transfer_id: u64) {
        self.table().cancel_transfer(transfer_id);
    }

    /// Reads the journal on its own thread, which ends when the successor's end of the socket is closed.
    ///
    /// # Errors
    /// If the thread can't be started.
    pub(super) fn spawn_journal_reader(&self, socket: UnixStream) -> io::Result<JoinHandle<()>> {
        let clients = self.clone();
        let read_all = move || {
            let mut reader = FrameReader::<JournalRecord>::new(socket);
            loop {
                match reader.read() {
                    Received::Message(record, descriptors) => {
                        clients.table().apply(record, descriptors.into_iter().next());
                    }
                    Received::Invalid(_) => clients.table().abandon(ReplayError::Inconsistent),
                    Received::Closed => return,
                }
            }
        };
        std::thread::Builder::new()
            .name("ledger".to_owned())
            .spawn(read_all)
    }

    /// Takes the facts that the successor has journaled since the last call.
    pub(super) fn take_facts(&self) -> Vec<LearnedFact> {
        self.table().facts.take()
    }

    /// Drops all clients, since the successor owns the service. Facts that it journaled before are still read.
    pub(super) fn clear(&self) {
        let mut table = self.table();
        let facts = std::mem::take(&mut table.facts);
        *table = ClientTable {
            facts,
            ..ClientTable::default()
        };
    }

    /// Reclaims the clients. The successor must have exited and its journal must be read to the end;
    /// `abandoned` is the event descriptor through which it reports that it stopped writing the journal.
    pub(super) fn reclaim(&self, abandoned: &OwnedFd) -> Reclaimed {
        let mut table = std::mem::take(&mut *self.table());
        let facts = table.facts.take();
        let Some(replay) = table.replay else {
            return Reclaimed {
                facts,
                incomplete: table.error.map(|error| format!("{error:?}")),
                ..Reclaimed::default()
            };
        };
        if is_abandoned(abandoned) {
            return Reclaimed {
                clients: Vec::new(),
                facts,
                disconnected: table.sockets.len() as u64,
                incomplete: Some("the successor stopped writing it".to_owned()),
            };
        }
        Reclaimed {
            facts,
            ..recover(replay, table.sockets)
        }
    }
}

fn recover(replay: JournalReplay, mut sockets: BTreeMap<ConnectionKey, RetainedSocket>) -> Reclaimed {
    let mut reclaimed = Reclaimed::default();
    let counts_since = |key| sockets.get(&key).and_then(RetainedSocket::counts_since);
    for RecoveredClient { key, recovery } in replay.recover_clients(counts_since) {
        match (recovery, sockets.remove(&key)) {
            (ClientRecovery::Resume { client, verdicts }, Some(socket)) => {
                let client = TransferredClient::new(client, None, socket.stream, verdicts);
                reclaimed.clients.push(client);
            }
            (_, socket) => {
                reclaimed.disconnected += 1;
                if let Some(socket) = socket {
                    // Duplicates in other processes would keep the connection open.
                    let _ = socket.stream.shutdown(Shutdown::Both);
                }
            }
        }
    }
    reclaimed
}
