//! Callbacks with which the event loop opens and resumes connections.

use super::startup::Startup;
use crate::protocol::client_session::ClientSession;
use crate::protocol::discovery_watch::DiscoveryWatch;
use crate::protocol::member_connection::MemberConnection;
use crate::protocol::messages;
use crate::routing::discovery_requests::DialDiscovery;
use crate::routing::event_loop::Connectors;
use crate::routing::events::Event;
use crate::routing::handover::{AdoptClient, AdoptMemberConnection};
use crate::routing::member_requests::DialMember;
use crate::transport::connection;
use crate::transport::memory_budget::MemoryBudget;

/// Creates connectors whose connections report to the event loop's queue.
pub(super) fn connectors(startup: &Startup) -> Connectors {
    let max_message = messages::max_message_bytes(startup.memory.members.capacity());
    Connectors {
        dial_member: dial_member(startup, max_message),
        dial_discovery: dial_discovery(startup),
        adopt_client: adopt_client(startup),
        adopt_member_connection: adopt_member_connection(startup, max_message),
    }
}

fn dial_member(startup: &Startup, max_message: usize) -> DialMember {
    let queue = startup.queue.clone();
    let clock = startup.clock;
    let memory = startup.memory.members.clone();
    Box::new(move |id, address| {
        let requests = MemberConnection::new(id, max_message);
        connection::dial::<_, Event>(address, requests, &queue, (clock, &memory))
    })
}

fn dial_discovery(startup: &Startup) -> DialDiscovery {
    let queue = startup.queue.clone();
    let clock = startup.clock;
    // There is a single connection to discovery, and the protocol bounds its answers.
    let memory = MemoryBudget::new(usize::MAX);
    Box::new(move |request| {
        let watch = DiscoveryWatch::new(
            request.number,
            request.address.to_string(),
            request.wait_ms,
            request.known_version,
        );
        connection::dial::<_, Event>(request.address, watch, &queue, (clock, &memory))
    })
}

fn adopt_client(startup: &Startup) -> AdoptClient {
    let queue = startup.queue.clone();
    let clock = startup.clock;
    let memory = startup.memory.clients.clone();
    let journal = startup.journal.clone();
    Box::new(move |id, stream, mut state| {
        let session = ClientSession::resume(id, memory.clone(), &state).with_journal(journal.clone());
        let input = std::mem::take(&mut state.input);
        connection::attach::<_, Event>(stream, true, session, &queue, (clock, &memory), input)
    })
}

fn adopt_member_connection(startup: &Startup, max_message: usize) -> AdoptMemberConnection {
    let queue = startup.queue.clone();
    let clock = startup.clock;
    let memory = startup.memory.members.clone();
    Box::new(move |id, stream| {
        let requests = MemberConnection::resume(id, max_message);
        connection::attach::<_, Event>(stream, true, requests, &queue, (clock, &memory), Vec::new())
    })
}
