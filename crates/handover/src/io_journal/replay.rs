//! Replay of the journal for all clients of the successor.

use super::client_replay::{
    transfer_memory, AnnouncedWrite, ClientRecovery, ClientReplay, SocketByteCounts, CLIENT_OVERHEAD_BYTES,
};
use super::JournalRecord;
use crate::message::ClientState;
use std::collections::BTreeMap;
use thiserror::Error;

/// Why the replay of a journal can't continue. Its clients can't be recovered from then on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Error)]
pub enum ReplayError {
    /// The state of all clients exceeds the replay's memory limit.
    #[error("the state of the journal's clients exceeds the memory limit")]
    MemoryExceeded,
    /// A record refers to an unknown client or transfer, or to an offset that was not reached.
    #[error("a journal record contradicts earlier ones")]
    Inconsistent,
}

/// Identifies the connection of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ConnectionKey {
    /// The client's transfer id, until the successor has taken it over.
    Transfer(u64),
    /// The successor's number of the client.
    Client(u32),
}

/// Resources used by a replay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplayUsage {
    /// Clients in transfer to the successor or served by it.
    pub clients: usize,
    /// Memory counted for them, in bytes.
    pub memory: usize,
}

/// A client of a dead successor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecoveredClient {
    /// Identifies its connection.
    pub key: ConnectionKey,
    /// How the predecessor continues with it.
    pub recovery: ClientRecovery,
}

/// State of all clients of the successor, according to its journal.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct JournalReplay {
    /// Clients in transfer to the successor, by transfer id.
    transfers: BTreeMap<u64, ClientState>,
    clients: BTreeMap<u32, ClientReplay>,
    /// Memory counted for all clients, and its limit, in bytes.
    memory_used: usize,
    memory_limit: usize,
}

impl JournalReplay {
    /// An empty replay with a memory limit in bytes.
    pub fn new(memory_limit: usize) -> JournalReplay {
        JournalReplay {
            memory_limit,
            ..JournalReplay::default()
        }
    }

    /// Adds a client that is sent to the successor.
    ///
    /// # Errors
    /// [`ReplayError::MemoryExceeded`]. The replay must not be used any more then.
    pub fn begin_transfer(&mut self, client: ClientState) -> Result<(), ReplayError> {
        self.memory_used += transfer_memory(&client);
        self.transfers.insert(client.transfer_id, client);
        self.check_memory()
    }

    /// Removes a client that arrived at the successor without its connection.
    pub fn cancel_transfer(&mut self, transfer_id: u64) {
        if let Some(client) = self.transfers.remove(&transfer_id) {
            self.memory_used -= transfer_memory(&client);
        }
    }

    fn check_memory(&self) -> Result<(), ReplayError> {
        if self.memory_used > self.memory_limit {
            return Err(ReplayError::MemoryExceeded);
        }
        Ok(())
    }

    /// Applies the next record of the journal.
    ///
    /// # Errors
    /// If the record contradicts earlier ones, or the clients exceed the memory limit. The replay must not be
    /// used any more then.
    pub fn apply(&mut self, record: JournalRecord) -> Result<(), ReplayError> {
        match record {
            JournalRecord::Accepted { client } => self.on_accepted(client),
            JournalRecord::Adopted { client, transfer_id } => self.on_adopted(client, transfer_id)?,
            JournalRecord::Closed { client } => self.on_closed(client),
            // Facts are not about the journaled clients.
            JournalRecord::Learned(_) => {}
            JournalRecord::Read {
                client,
                written_to,
                bytes,
            } => self.update_client(client, |replay| replay.on_read(written_to, bytes))?,
            JournalRecord::Dispatched {
                client,
                end,
                is_retry_safe,
            } => self.on_dispatched(client, end, is_retry_safe)?,
            JournalRecord::Write {
                client,
                length,
                written_to,
                answered_to,
                startup_complete,
                bytes_to_skip,
            } => {
                let write = AnnouncedWrite {
                    length,
                    answered_to,
                    startup_complete,
                    bytes_to_skip,
                };
                self.update_client(client, |replay| replay.on_write(written_to, &write))?;
            }
        }
        self.check_memory()
    }

    fn on_accepted(&mut self, client: u32) {
        self.memory_used += CLIENT_OVERHEAD_BYTES;
        self.clients.insert(client, ClientReplay::default());
    }

    /// Doesn't change the counted memory, which includes the client since its transfer began.
    fn on_adopted(&mut self, client: u32, transfer_id: u64) -> Result<(), ReplayError> {
        let transferred = self.transfers.remove(&transfer_id);
        let transferred = transferred.ok_or(ReplayError::Inconsistent)?;
        self.clients
            .insert(client, ClientReplay::from_transfer(transferred));
        Ok(())
    }

    /// The client is unknown if the successor rejected it before journaling it.
    fn on_closed(&mut self, client: u32) {
        if let Some(replay) = self.clients.remove(&client) {
            self.memory_used -= replay.memory_used();
        }
    }

    /// The client is unknown if it closed its connection before its statement was sent to a member.
    fn on_dispatched(&mut self, client: u32, end: u64, is_retry_safe: bool) -> Result<(), ReplayError> {
        if !self.clients.contains_key(&client) {
            return Ok(());
        }
        self.update_client(client, |replay| replay.on_dispatched(end, is_retry_safe))
    }

    /// Updates a known client and the memory counted for it.
    fn update_client(
        &mut self,
        client: u32,
        update: impl FnOnce(&mut ClientReplay) -> Result<(), ReplayError>,
    ) -> Result<(), ReplayError> {
        let replay = self.clients.get_mut(&client).ok_or(ReplayError::Inconsistent)?;
        let before = replay.memory_used();
        let updated = update(replay);
        self.memory_used = self.memory_used + replay.memory_used() - before;
        updated
    }

    /// Clients and memory of this replay.
    pub fn usage(&self) -> ReplayUsage {
        ReplayUsage {
            clients: self.transfers.len() + self.clients.len(),
            memory: self.memory_used,
        }
    }

    /// Recovers the clients of a dead successor, those in transfer first. The complete journal must have been
    /// applied. `byte_counts` returns the kernel's byte counts of a connection, or `None` if they are
    /// unknown.
    pub fn recover_clients(
        self,
        mut byte_counts: impl FnMut(ConnectionKey) -> Option<SocketByteCounts>,
    ) -> Vec<RecoveredClient> {
        let transfers = self.transfers.into_iter();
        let transfers = transfers.map(|(transfer_id, client)| {
            let key = ConnectionKey::Transfer(transfer_id);
            (key, ClientReplay::from_transfer(client))
        });
        let clients = self.clients.into_iter();
        let clients = clients.map(|(client, replay)| (ConnectionKey::Client(client), replay));
        let recovered = transfers.chain(clients).map(|(key, replay)| RecoveredClient {
            key,
            recovery: match byte_counts(key) {
                Some(counts) => replay.recover(counts),
                None => ClientRecovery::Disconnect,
            },
        });
        recovered.collect()
    }
}
