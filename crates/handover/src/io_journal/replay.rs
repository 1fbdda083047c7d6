//! Replay of the whole journal.

use super::client_replay::{
    transfer_memory, AnnouncedWrite, ClientRecovery, ClientReplay, SocketByteCounts, CLIENT_OVERHEAD,
};
use super::JournalRecord;
use crate::message::ClientState;
use std::collections::BTreeMap;
use thiserror::Error;

/// Why a journal can't be replayed any further. Its clients are the successor's alone from then on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Error)]
pub enum ReplayError {
    /// The state of all clients takes more memory than it may.
    #[error("the journal's clients take more memory than they may")]
    MemoryExceeded,
    /// A record names an unknown client, or an offset that was not reached.
    #[error("the journal contradicts itself")]
    Inconsistent,
}

/// By what a client's connection is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ConnectionKey {
    /// The number of its transfer, until the successor has taken it over.
    Transfer(u64),
    /// The successor's number of the client.
    Client(u32),
}

/// What a replay holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplayUsage {
    /// Clients that are on their way to the successor or there.
    pub clients: usize,
    /// Bytes counted for them.
    pub memory: usize,
}

/// A client of a dead successor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecoveredClient {
    /// By what its connection is known.
    pub key: ConnectionKey,
    /// What becomes of it.
    pub recovery: ClientRecovery,
}

/// All clients of the successor, according to its journal.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct JournalReplay {
    /// Clients that are on their way to the successor, by the number of their transfer.
    transfers: BTreeMap<u64, ClientState>,
    clients: BTreeMap<u32, ClientReplay>,
    /// Bytes counted for all of them, and the most that may be.
    memory_used: usize,
    memory_limit: usize,
}

impl JournalReplay {
    /// An empty replay that may use `memory_limit` bytes.
    pub fn new(memory_limit: usize) -> JournalReplay {
        JournalReplay {
            memory_limit,
            ..JournalReplay::default()
        }
    }

    /// A client is sent to the successor.
    ///
    /// # Errors
    /// [`ReplayError::MemoryExceeded`].
    pub fn begin_transfer(&mut self, client: ClientState) -> Result<(), ReplayError> {
        self.memory_used += transfer_memory(&client);
        self.transfers.insert(client.transfer_id, client);
        self.check_memory()
    }

    /// A client that was sent arrived without its connection.
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
    /// The record contradicts those before it, or the clients take too much memory. The replay is of no use
    /// then.
    pub fn apply(&mut self, record: JournalRecord) -> Result<(), ReplayError> {
        match record {
            JournalRecord::Accepted { client } => self.on_accepted(client),
            JournalRecord::Adopted { client, transfer_id } => self.on_adopted(client, transfer_id)?,
            JournalRecord::Closed { client } => self.on_closed(client),
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
        self.memory_used += CLIENT_OVERHEAD;
        self.clients.insert(client, ClientReplay::default());
    }

    /// The client's memory is counted already and stays so.
    fn on_adopted(&mut self, client: u32, transfer_id: u64) -> Result<(), ReplayError> {
        let transferred = self.transfers.remove(&transfer_id);
        let transferred = transferred.ok_or(ReplayError::Inconsistent)?;
        self.clients
            .insert(client, ClientReplay::from_transfer(transferred));
        Ok(())
    }

    /// A client that the successor rejected before it wrote it down is unknown here.
    fn on_closed(&mut self, client: u32) {
        if let Some(replay) = self.clients.remove(&client) {
            self.memory_used -= replay.memory_used();
        }
    }

    /// The client may have closed its connection while its statement was on the way to a member.
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

    /// What this replay holds.
    pub fn usage(&self) -> ReplayUsage {
        ReplayUsage {
            clients: self.transfers.len() + self.clients.len(),
            memory: self.memory_used,
        }
    }

    /// Recovers the clients of a dead successor whose whole journal was applied, those on their way first.
    /// `byte_counts` returns what the kernel counts of a connection, or nothing where that is unknown.
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
