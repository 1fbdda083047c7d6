//! Copies of the connections of clients that another process serves on probation, with the ledger of what it does.

use crate::routing::handover::TransferredClient;
use crate::transport::io_journal::is_abandoned;
use crate::transport::socket_counts::counts;
use asterlatch_handover::codec::{FrameReader, Received};
use asterlatch_handover::io_journal::{
    ClientRecovery, ConnectionKey, JournalRecord, JournalReplay, RecoveredClient, ReplayError,
    SocketByteCounts,
};
use asterlatch_handover::message::ClientState;
use std::collections::BTreeMap;
use std::net::{Shutdown, TcpStream};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;

#[derive(Default)]
struct Table {
    /// None where nothing is known of the clients any more.
    ledger: Option<JournalReplay>,
    /// Each with what the kernel had counted of it when the other process began.
    sockets: BTreeMap<ConnectionKey, (TcpStream, SocketByteCounts)>,
    broken: Option<ReplayError>,
}

impl Table {
    fn give_up(&mut self, broken: ReplayError) {
        (self.ledger, self.broken) = (None, Some(broken));
        self.sockets.clear();
    }
}

/// One for each new process.
#[derive(Clone, Default)]
pub struct Kept(Arc<Mutex<Table>>);

/// What was had back.
#[derive(Default)]
pub struct TakenBack {
    pub clients: Vec<TransferredClient>,
    /// Those to whom nothing whole could be said any more.
    pub cut: u64,
    /// Why nobody was, where the ledger was not whole.
    pub fault: Option<String>,
}

impl Kept {
    pub fn new(most: usize) -> Kept {
        let kept = Kept::default();
        kept.table().ledger = Some(JournalReplay::new(most));
        kept
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A client goes to the other process; where no copy of its connection can be had it will be cut.
    pub fn hand_over(&self, client: ClientState, stream: &TcpStream) {
        let mut table = self.table();
        let table = &mut *table;
        let Some(ledger) = &mut table.ledger else { return };
        let key = ConnectionKey::Transfer(client.transfer_id);
        if let Err(broken) = ledger.begin_transfer(client) {
            return table.give_up(broken);
        }
        // Nobody reads or writes it in this moment.
        if let (Ok(copy), Ok(base)) = (stream.try_clone(), counts(stream)) {
            table.sockets.insert(key, (copy, base));
        }
    }

    /// One that the other process could not hold: its client sees the end, and comes again.
    pub fn missing(&self, handed: u64) {
        let mut table = self.table();
        if let Some(ledger) = &mut table.ledger {
            ledger.cancel_transfer(handed);
        }
        table.sockets.remove(&ConnectionKey::Transfer(handed));
    }

    fn take(&self, record: JournalRecord, descriptor: Option<OwnedFd>) {
        let mut table = self.table();
        let table = &mut *table;
        let Some(ledger) = &mut table.ledger else { return };
        match record {
            JournalRecord::Accepted { client } => {
                if let Some(descriptor) = descriptor {
                    let socket = (TcpStream::from(descriptor), SocketByteCounts::default());
                    table.sockets.insert(ConnectionKey::Client(client), socket);
                }
            }
            JournalRecord::Adopted {
                client,
                transfer_id: handed,
            } => {
                let socket = table.sockets.remove(&ConnectionKey::Transfer(handed));
                table
                    .sockets
                    .extend(socket.map(|s| (ConnectionKey::Client(client), s)));
            }
            JournalRecord::Closed { client } => drop(table.sockets.remove(&ConnectionKey::Client(client))),
            _ => {}
        }
        if let Err(broken) = ledger.apply(record) {
            table.give_up(broken);
        }
    }

    /// Reads on a thread of its own for as long as the other process writes.
    pub fn follow(&self, socket: UnixStream) -> std::io::Result<JoinHandle<()>> {
        let kept = self.clone();
        let read = move || {
            let mut reader = FrameReader::<JournalRecord>::new(socket);
            loop {
                match reader.read() {
                    Received::Message(record, beside) => kept.take(record, beside.into_iter().next()),
                    Received::Invalid(_) => kept.table().give_up(ReplayError::Inconsistent),
                    Received::Closed => return,
                }
            }
        };
        std::thread::Builder::new().name("ledger".to_owned()).spawn(read)
    }

    /// The other process has the service for good.
    pub fn clear(&self) {
        *self.table() = Table::default();
    }

    /// The other process is dead and all it wrote was read: what becomes of its clients.
    pub fn take_back(&self, given_up: &OwnedFd) -> TakenBack {
        let Table {
            ledger,
            mut sockets,
            broken,
        } = std::mem::take(&mut *self.table());
        let mut back = TakenBack {
            fault: broken.map(|b| format!("{b:?}")),
            ..TakenBack::default()
        };
        let Some(ledger) = ledger else { return back };
        if is_abandoned(given_up) {
            back.fault = Some("the new process couldn't write it on".to_owned());
            back.cut = sockets.len() as u64;
            return back;
        }
        let since = |key| {
            let (socket, base): &(TcpStream, SocketByteCounts) = sockets.get(&key)?;
            let all = counts(socket).ok()?;
            Some(SocketByteCounts {
                read: all.read.checked_sub(base.read)?,
                written: all.written.checked_sub(base.written)?,
            })
        };
        for RecoveredClient { key, recovery } in ledger.recover_clients(since) {
            match (recovery, sockets.remove(&key)) {
                (ClientRecovery::Resume { client, verdicts }, Some((stream, _))) => {
                    back.clients
                        .push(TransferredClient::new(client, None, stream, verdicts));
                }
                (_, socket) => {
                    back.cut += 1;
                    // Its client sees that no more comes.
                    socket.map(|(stream, _)| stream.shutdown(Shutdown::Both));
                }
            }
        }
        back
    }
}
