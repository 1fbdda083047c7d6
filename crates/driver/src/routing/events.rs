//! Events in the queue of the event loop.

use super::gossip::GossipMessage;
use crate::protocol::client_events::{ClientCommand, ClientEvent};
use crate::protocol::discovery_watch::DiscoveryMessage;
use crate::protocol::member_connection::MemberEvent;
use crate::transport::listener::AcceptEvent;

/// What operators or other threads ask of the process. The event loop only collects these for the program.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ControlEvent {
    /// Shut down gracefully (SIGTERM, SIGINT).
    Shutdown,
    /// Log all counters (SIGUSR1).
    ReportMetrics,
    /// Read the configuration again (SIGHUP).
    Reload,
    /// Hand the service over to a new process (SIGUSR2).
    Upgrade,
    /// Another thread has left something for the program outside this queue.
    WakeUp,
}

/// An event of any source.
pub enum Event {
    /// The listener accepted a client, failed to, or closed.
    Arrival(AcceptEvent<ClientCommand>),
    /// From a client's connection.
    Client(ClientEvent),
    /// From a member's connection.
    Member(MemberEvent),
    /// From a connection to discovery; events of any other than the current request are stale.
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
    AcceptEvent<ClientCommand> => Arrival,
    ClientEvent => Client,
    MemberEvent => Member,
    DiscoveryMessage => Discovery,
}
