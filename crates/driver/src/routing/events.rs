//! Events of the event loop's queue.

use super::gossip::GossipMessage;
use crate::protocol::client_events::{ClientCommand, ClientEvent};
use crate::protocol::discovery_watch::DiscoveryMessage;
use crate::protocol::member_connection::MemberEvent;
use crate::transport::listener::AcceptEvent;

/// Requests of operators or other threads, which the event loop queues for the program.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ControlEvent {
    /// Shut down gracefully (SIGTERM, SIGINT).
    Shutdown,
    /// Log all counters (SIGUSR1).
    ReportMetrics,
    /// Reload the configuration (SIGHUP).
    Reload,
    /// Reload the configuration, since the peer process was told to.
    ReloadForPeer,
    /// Hand the service over to a new process (SIGUSR2).
    Upgrade,
    /// Another thread has work for the program outside this queue.
    WakeUp,
}

/// An event from any source.
pub enum Event {
    /// The listener accepted a client, failed to, or closed.
    Accept(AcceptEvent<ClientCommand>),
    /// From a client's connection.
    Client(ClientEvent),
    /// From a member's connection.
    Member(MemberEvent),
    /// From a connection to discovery; events of requests other than the current one are stale.
    Discovery(DiscoveryMessage),
    /// For the program.
    Control(ControlEvent),
    /// From the gossip thread.
    Gossip(GossipMessage),
}

macro_rules! event_from {
    ($($source:ty => $variant:ident,)*) => {
        $(impl From<$source> for Event {
            fn from(source: $source) -> Event {
                Event::$variant(source)
            }
        })*
    };
}
event_from! {
    AcceptEvent<ClientCommand> => Accept,
    ClientEvent => Client,
    MemberEvent => Member,
    DiscoveryMessage => Discovery,
}
