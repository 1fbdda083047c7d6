//! What a predecessor retains of the clients that a successor serves on probation: copies of their connections, and the
//! replay state of the successor's I/O journal. If the successor dies, the predecessor goes on with them.

use crate::routing::handover::TransferredClient;
use crate::transport::io_journal::is_abandoned;
use crate::transport::socket_counts::byte_counts;
use asterlatch_handover::codec::{FrameReader, Received};
use asterlatch_handover::io_journal::{
    ClientRecovery, ConnectionKey, JournalRecord, JournalReplay, RecoveredClient, ReplayError,
    SocketByteCounts,
};
use asterlatch_handover::message::ClientState;
use std::collections::BTreeMap;
use std::io;
use std::net::{Shutdown, TcpStream};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;

/// A copy of a client's connection.
struct RetainedSocket {
    stream: TcpStream,
    /// What the kernel had counted when the successor began with it.
    initial_counts: SocketByteCounts,
}

impl RetainedSocket {
    /// What the kernel has counted since the successor began with it; `None` if that can't be told.
    fn counts_since(&self) -> Option<SocketByteCounts> {
        let total = byte_counts(&self.stream).ok()?;
        Some(SocketByteCounts {
            read: total.read.checked_sub(self.initial_counts.read)?,
            written: total.written.checked_sub(self.initial_counts.written)?,
        })
    }
}

#[derive(Default)]
struct Table {
    /// `None` once nothing is known of the clients any more.
    replay: Option<JournalReplay>,
    sockets: BTreeMap<ConnectionKey, RetainedSocket>,
    error: Option<ReplayError>,
}

impl Table {
    /// Forgets all clients: what the journal says of them is incomplete.
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
        // Neither process reads or writes the connection now, so the counts hold.
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

/// The clients that one successor serves; clones share them. The event loop's thread transfers and reclaims clients, the
/// journal's reader applies records. Dropping the last clone closes the copies.
#[derive(Clone, Default)]
pub(super) struct RetainedClients(Arc<Mutex<Table>>);

/// What is left of a dead successor's clients.
#[derive(Default)]
pub(super) struct Reclaimed {
    /// Clients that can go on here.
    pub(super) clients: Vec<TransferredClient>,
    /// Number of clients that were cut off, since no consistent answer to them is possible.
    pub(super) cut: u64,
    /// Why none can go on, if the journal was incomplete; as operators read it.
    pub(super) incomplete: Option<String>,
}

impl RetainedClients {
    /// No clients; the replay state may take so many bytes.
    pub(super) fn new(memory_limit: usize) -> RetainedClients {
        let table = Table {
            replay: Some(JournalReplay::new(memory_limit)),
            ..Table::default()
        };
        RetainedClients(Arc::new(Mutex::new(table)))
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A client is sent to the successor. It is cut off on reclaim if its connection can't be copied.
    pub(super) fn begin_transfer(&self, client: ClientState, stream: &TcpStream) {
        self.table().begin_transfer(client, stream);
    }

    /// The successor had no descriptor for this client, whose connection therefore ends.
    pub(super) fn cancel_transfer(&self, transfer_id: u64) {
        self.table().cancel_transfer(transfer_id);
    }

    /// Reads the journal on a thread of its own, which ends with the successor's end of the socket.
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

    /// Forgets all clients: the service is the successor's.
    pub(super) fn clear(&self) {
        *self.table() = Table::default();
    }

    /// Takes the clients back. The successor must be dead and its journal read to the end; `abandoned` is the event
    /// descriptor by which it reports that it stopped writing the journal.
    pub(super) fn reclaim(&self, abandoned: &OwnedFd) -> Reclaimed {
        let table = std::mem::take(&mut *self.table());
        let Some(replay) = table.replay else {
            return Reclaimed {
                incomplete: table.error.map(|error| format!("{error:?}")),
                ..Reclaimed::default()
            };
        };
        if is_abandoned(abandoned) {
            return Reclaimed {
                clients: Vec::new(),
                cut: table.sockets.len() as u64,
                incomplete: Some("the new process couldn't write it on".to_owned()),
            };
        }
        recover(replay, table.sockets)
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
                reclaimed.cut += 1;
                if let Some(socket) = socket {
                    // Copies elsewhere would keep the connection open.
                    let _ = socket.stream.shutdown(Shutdown::Both);
                }
            }
        }
    }
    reclaimed
}
