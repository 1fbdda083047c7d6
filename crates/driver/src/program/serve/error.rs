//! Error of `asterlatch serve` and `asterlatch check`.

use crate::program::control_socket::ControlSocketError;
use crate::program::gossip::GossipError;
use crate::program::operators::OperatorsError;
use crate::program::upgrade::SuccessorError;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// Why the process can't serve.
#[derive(Debug, Error)]
pub enum ServeError {
    /// Shutdown was requested before the process served.
    #[error("shut down before serving")]
    ShutDown,
    /// The operators' file or its stored generations can't be used.
    #[error(transparent)]
    Operators(#[from] OperatorsError),
    /// The handover from the predecessor failed.
    #[error(transparent)]
    Successor(#[from] SuccessorError),
    /// Signals can't be blocked or received.
    #[error("cannot handle signals: {0}")]
    Signals(#[source] io::Error),
    /// The listen address can't be bound or listened on.
    #[error("cannot listen on {address}: {source}")]
    Listener {
        /// The listen address.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// Gossip can't be started.
    #[error(transparent)]
    Gossip(#[from] GossipError),
    /// The control socket can't be opened.
    #[error(transparent)]
    ControlSocket(#[from] ControlSocketError),
}
