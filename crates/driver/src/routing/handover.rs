//! Transfer of clients and member connections between processes of this service.

use crate::protocol::client_events::{ClientCommand, ClientTransferState};
use crate::protocol::member_connection::MemberCommand;
use crate::transport::connection::ConnectionHandle;
use asterlatch_handover::io_journal::{StatementVerdict, StatementVerdicts};
use asterlatch_handover::learned_fact::{FactQueue, LearnedFact};
use asterlatch_handover::message::ClientState;
use std::collections::BTreeMap;
use std::io;
use std::net::TcpStream;

/// A client that is transferred between processes.
pub struct TransferredClient {
    /// Its connection.
    pub stream: TcpStream,
    /// Protocol state from which its session resumes.
    pub session: ClientTransferState,
    /// It has sent at least one statement.
    pub is_active: bool,
    /// How to answer statements that a crashed process had read.
    pub verdicts: StatementVerdicts,
}

impl TransferredClient {
    /// Builds a client from a handover message; `journal_number` is its number in the I/O journal, if there
    /// is one.
    pub fn new(
        client: ClientState,
        journal_number: Option<u64>,
        stream: TcpStream,
        verdicts: StatementVerdicts,
    ) -> TransferredClient {
        let session = ClientTransferState {
            startup_complete: client.startup_complete,
            bytes_to_skip: client.bytes_to_skip as usize,
            input: client.input,
            transfer_id: journal_number,
        };
        TransferredClient {
            stream,
            session,
            is_active: client.has_sent_statement,
            verdicts,
        }
    }
}

/// An idle member connection that is transferred to another process.
pub struct TransferredConnection {
    /// Id of the member.
    pub member: u32,
    /// The connection.
    pub stream: TcpStream,
}

/// A member that was listed as draining or gone during co-serving.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrainedMember {
    /// Its name.
    pub name: String,
    /// Time of its last start, as Unix time in milliseconds; zero if unknown.
    pub started_ms: u64,
}

/// Whether a peer process, the predecessor or successor in an upgrade, shares descriptors and memory with
/// this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CoServing {
    /// There is no peer process.
    Alone,
    /// The peer process is the predecessor and will exit.
    WithPredecessor,
    /// The peer process is the successor, and this process will exit.
    WithSuccessor,
}

/// Resumes a client's connection under the given id.
pub type AdoptClient =
    Box<dyn FnMut(u32, TcpStream, ClientTransferState) -> io::Result<ConnectionHandle<ClientCommand>>>;

/// Resumes an idle member connection under the given id.
pub type AdoptMemberConnection =
    Box<dyn FnMut(u32, TcpStream) -> io::Result<ConnectionHandle<MemberCommand>>>;

/// Ids of adopted clients start here, above those of accepted ones.
const FIRST_ADOPTED_CLIENT: u32 = 1 << 31;

/// Result of adopting a client.
pub struct AdoptedClient {
    /// Id of its connection.
    pub id: u32,
    /// The resumed connection, or why it could not be resumed.
    pub handle: io::Result<ConnectionHandle<ClientCommand>>,
}

/// State of transfers to and from other processes, owned by the event loop.
pub struct Handover {
    adopt_client: AdoptClient,
    adopt_member_connection: AdoptMemberConnection,
    last_adopted_client: u32,
    co_serving: CoServing,
    drained_members: Vec<DrainedMember>,
    /// Facts that the peer process is to be told by messages; `None` while there is none, or a journal for them.
    learned_facts: Option<FactQueue>,
    clients: Vec<TransferredClient>,
    connections: Vec<TransferredConnection>,
    /// Verdicts on statements of clients reclaimed from a crashed process.
    verdicts: BTreeMap<u32, StatementVerdicts>,
}

impl Handover {
    /// Starts without a peer process and without transfers.
    pub fn new(adopt_client: AdoptClient, adopt_member_connection: AdoptMemberConnection) -> Handover {
        Handover {
            adopt_client,
            adopt_member_connection,
            last_adopted_client: 0,
            co_serving: CoServing::Alone,
            drained_members: Vec::new(),
            learned_facts: None,
            clients: Vec::new(),
            connections: Vec::new(),
            verdicts: BTreeMap::new(),
        }
    }

    /// Whether a peer process is serving.
    pub fn is_co_serving(&self) -> bool {
        self.co_serving != CoServing::Alone
    }

    /// Sets whether a peer process serves, and returns whether one did before.
    pub fn set_co_serving(&mut self, co_serving: CoServing) -> bool {
        let was_co_serving = self.is_co_serving();
        self.co_serving = co_serving;
        self.drained_members = Vec::new();
        if !self.is_co_serving() {
            self.learned_facts = None;
        }
        was_co_serving
    }

    /// Records a draining member for the peer process, if there is one.
    pub fn add_drained_member(&mut self, name: &str, started_ms: u64) {
        if self.is_co_serving() {
            self.drained_members.push(DrainedMember {
                name: name.to_owned(),
                started_ms,
            });
        }
    }

    /// Takes the members recorded since the last call.
    pub fn take_drained_members(&mut self) -> Vec<DrainedMember> {
        std::mem::take(&mut self.drained_members)
    }

    /// Starts to record facts for the peer process.
    pub fn begin_recording_facts(&mut self) {
        self.learned_facts = Some(FactQueue::default());
    }

    /// Stops recording facts, since no peer process is to be told.
    pub fn end_recording_facts(&mut self) {
        self.learned_facts = None;
    }

    /// Records a fact for the peer process, if facts are recorded.
    pub fn add_learned_fact(&mut self, fact: LearnedFact) {
        if let Some(facts) = &mut self.learned_facts {
            facts.push(fact);
        }
    }

    /// Takes the facts recorded since the last call.
    pub fn take_learned_facts(&mut self) -> Vec<LearnedFact> {
        let facts = self.learned_facts.as_mut().map(FactQueue::take);
        facts.unwrap_or_default()
    }

    /// Records a client whose connection is to be transferred.
    pub fn add_client(&mut self, client: TransferredClient) {
        self.clients.push(client);
    }

    /// Takes the clients recorded since the last call.
    pub fn take_clients(&mut self) -> Vec<TransferredClient> {
        std::mem::take(&mut self.clients)
    }

    /// Records a member connection to be transferred.
    pub fn add_connection(&mut self, connection: TransferredConnection) {
        self.connections.push(connection);
    }

    /// Takes the connections recorded since the last call.
    pub fn take_connections(&mut self) -> Vec<TransferredConnection> {
        std::mem::take(&mut self.connections)
    }

    /// Resumes a client of another process under a new id. Its events are queued after the current one.
    pub fn adopt_client(&mut self, client: TransferredClient) -> AdoptedClient {
        self.last_adopted_client = self.last_adopted_client.wrapping_add(1) | FIRST_ADOPTED_CLIENT;
        let id = self.last_adopted_client;
        let handle = (self.adopt_client)(id, client.stream, client.session);
        if handle.is_ok() && client.verdicts != StatementVerdicts::default() {
            self.verdicts.insert(id, client.verdicts);
        }
        AdoptedClient { id, handle }
    }

    /// Resumes an idle member connection under the given id.
    ///
    /// # Errors
    /// If the connection cannot be registered.
    pub fn adopt_member_connection(
        &mut self,
        id: u32,
        stream: TcpStream,
    ) -> io::Result<ConnectionHandle<MemberCommand>> {
        (self.adopt_member_connection)(id, stream)
    }

    /// The verdict on a statement by the offset of its end in the client's input; `None` if the client was
    /// not reclaimed from a crashed process. Verdicts are dropped after the last one.
    pub fn take_verdict(&mut self, client: u32, end: u64) -> Option<StatementVerdict> {
        let verdicts = self.verdicts.get(&client)?;
        let verdict = verdicts.verdict_for(end);
        if verdicts.is_past_last(end) {
            self.verdicts.remove(&client);
        }
        Some(verdict)
    }

    /// Drops the verdicts of a client whose connection has closed.
    pub fn on_client_closed(&mut self, client: u32) {
        self.verdicts.remove(&client);
    }
}
