//! Why `asterlatch serve` and `asterlatch check` fail.

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
    #[error("shut down before it served")]
    ShutDown,
    /// The operators' file or its stored generations can't be used.
    #[error(transparent)]
    Operators(#[from] OperatorsError),
    /// The handover from the predecessor failed.
    #[error(transparent)]
    Successor(#[from] SuccessorError),
    /// Signals can't be handled.
    #[error("signals: {0}")]
    Signals(#[source] io::Error),
    /// The listen address can't be bound or listened at.
    #[error("{address}: {source}")]
    Listener {
        /// The listen address.
        address: SocketAddr,
        /// What the operating system reports.
        source: io::Error,
    },
    /// This driver can't gossip with others.
    #[error(transparent)]
    Gossip(#[from] GossipError),
    /// The control socket can't be opened.
    #[error(transparent)]
    ControlSocket(#[from] ControlSocketError),
}
