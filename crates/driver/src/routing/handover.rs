//! Clients and connections on their way from or to another process of this service.

use crate::protocol::client_events::{ClientCommand, ClientTransferState};
use crate::protocol::member_connection::MemberCommand;
use crate::transport::connection::ConnectionHandle;
use asterlatch_handover::io_journal::{StatementVerdict, StatementVerdicts};
use asterlatch_handover::message::ClientState;
use std::collections::BTreeMap;
use std::io;
use std::net::TcpStream;

/// A client on its way from one process to another.
pub struct TransferredClient {
    /// Its connection.
    pub stream: TcpStream,
    /// What its session needs to resume.
    pub session: ClientTransferState,
    /// It has sent at least one statement.
    pub is_active: bool,
    /// How statements are to be answered that a process has read which crashed.
    pub verdicts: StatementVerdicts,
}

impl TransferredClient {
    /// A client as another process describes it; `journal_number` is its number in the I/O journal, if one is kept.
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

/// An idle connection to a member on its way to another process.
pub struct TransferredConnection {
    /// Id of the member.
    pub member: u32,
    /// The connection.
    pub stream: TcpStream,
}

/// A member that was listed as draining or gone while two processes served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrainedMember {
    /// Its name.
    pub name: String,
    /// When it had started, as Unix time in milliseconds; zero if unknown.
    pub started_ms: u64,
}

/// Whether another process of this service serves on the same descriptors and memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CoServing {
    /// No other process serves.
    Alone,
    /// The other process is the predecessor, which will leave.
    WithPredecessor,
    /// The other process is the successor; this one will leave.
    WithSuccessor,
}

/// Resumes a client's connection under this number.
pub type AdoptClient =
    Box<dyn FnMut(u32, TcpStream, ClientTransferState) -> io::Result<ConnectionHandle<ClientCommand>>>;

/// Resumes an idle connection to a member under this number.
pub type AdoptMemberConnection =
    Box<dyn FnMut(u32, TcpStream) -> io::Result<ConnectionHandle<MemberCommand>>>;

/// Numbers of adopted clients begin here, above those of accepted ones.
const FIRST_ADOPTED_CLIENT: u32 = 1 << 31;

/// An adopted client's number and connection.
pub struct AdoptedClient {
    /// Number of its connection.
    pub id: u32,
    /// The connection, unless it could not be resumed.
    pub line: io::Result<ConnectionHandle<ClientCommand>>,
}

/// What is handed over to another process or adopted from one. Only the event loop uses it.
pub struct Handover {
    adopt_client: AdoptClient,
    adopt_member_connection: AdoptMemberConnection,
    last_adopted_client: u32,
    co_serving: CoServing,
    drained_members: Vec<DrainedMember>,
    clients: Vec<TransferredClient>,
    connections: Vec<TransferredConnection>,
    /// Verdicts on statements of clients that were taken back from a crashed process.
    verdicts: BTreeMap<u32, StatementVerdicts>,
}

impl Handover {
    /// Nothing is handed over yet, and no other process serves.
    pub fn new(adopt_client: AdoptClient, adopt_member_connection: AdoptMemberConnection) -> Handover {
        Handover {
            adopt_client,
            adopt_member_connection,
            last_adopted_client: 0,
            co_serving: CoServing::Alone,
            drained_members: Vec::new(),
            clients: Vec::new(),
            connections: Vec::new(),
            verdicts: BTreeMap::new(),
        }
    }

    /// Whether another process serves.
    pub fn is_co_serving(&self) -> bool {
        self.co_serving != CoServing::Alone
    }

    /// Changes whether another process serves, and returns whether one did before.
    pub fn set_co_serving(&mut self, co_serving: CoServing) -> bool {
        let did_co_serve = self.is_co_serving();
        self.co_serving = co_serving;
        self.drained_members = Vec::new();
        did_co_serve
    }

    /// Records a draining member for the other process, if there is one.
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

    /// Records a client that has left its connection to another process.
    pub fn add_client(&mut self, client: TransferredClient) {
        self.clients.push(client);
    }

    /// Takes the clients recorded since the last call.
    pub fn take_clients(&mut self) -> Vec<TransferredClient> {
        std::mem::take(&mut self.clients)
    }

    /// Records a connection that is left to another process.
    pub fn add_connection(&mut self, connection: TransferredConnection) {
        self.connections.push(connection);
    }

    /// Takes the connections recorded since the last call.
    pub fn take_connections(&mut self) -> Vec<TransferredConnection> {
        std::mem::take(&mut self.connections)
    }

    /// Resumes a client of another process under a new number. Its events are queued behind this.
    pub fn adopt_client(&mut self, client: TransferredClient) -> AdoptedClient {
        self.last_adopted_client = self.last_adopted_client.wrapping_add(1) | FIRST_ADOPTED_CLIENT;
        let id = self.last_adopted_client;
        let line = (self.adopt_client)(id, client.stream, client.session);
        if line.is_ok() && client.verdicts != StatementVerdicts::default() {
            self.verdicts.insert(id, client.verdicts);
        }
        AdoptedClient { id, line }
    }

    /// Resumes an idle connection to a member under this number.
    ///
    /// # Errors
    /// If the connection can't be registered.
    pub fn adopt_member_connection(
        &mut self,
        id: u32,
        stream: TcpStream,
    ) -> io::Result<ConnectionHandle<MemberCommand>> {
        (self.adopt_member_connection)(id, stream)
    }

    /// The verdict on a statement that ends at this offset of what its client has sent, if a crashed process had read
    /// it.
    pub fn take_verdict(&mut self, client: u32, end: u64) -> Option<StatementVerdict> {
        let verdicts = self.verdicts.get(&client)?;
        let verdict = verdicts.verdict_for(end);
        if verdicts.is_past_last(end) {
            self.verdicts.remove(&client);
        }
        Some(verdict)
    }

    /// The client's connection is closed.
    pub fn on_client_closed(&mut self, client: u32) {
        self.verdicts.remove(&client);
    }
}
