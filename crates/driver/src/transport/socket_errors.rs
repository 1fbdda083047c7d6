//! Classification of errors of Linux socket calls: their origin, whether they are transient, and how to
//! proceed.
//!
//! One function per system call, following its manual page (`man 2 accept` etc., `man 7 ip`, `man 7 tcp`).
//! Undocumented errors are classified as errors of this program, which end only the affected operation.

use libc::{
    EACCES, EADDRINUSE, EADDRNOTAVAIL, EAFNOSUPPORT, EAGAIN, EALREADY, ECONNABORTED, ECONNREFUSED,
    ECONNRESET, EHOSTDOWN, EHOSTUNREACH, EINPROGRESS, EINTR, EISCONN, EMFILE, EMSGSIZE, ENETDOWN, ENETRESET,
    ENETUNREACH, ENFILE, ENOBUFS, ENOMEM, ENONET, ENOPROTOOPT, ENOSPC, ENOTCONN, EOPNOTSUPP, EPERM, EPIPE,
    EPROTO, EPROTONOSUPPORT, ESHUTDOWN, ETIMEDOUT, ETOOMANYREFS,
};
use std::io;

/// Where an error originates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// No failure: the call has not completed yet.
    NoFailure,
    /// This host: it lacks descriptors, memory, ports or a route, or its configuration forbids the call. Such
    /// an error says nothing about the peer.
    Host,
    /// The peer, or the network between it and this host.
    Peer,
    /// A programming error in this program.
    Program,
}

/// How the caller proceeds after an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Wait until the kernel reports the socket as ready.
    Wait,
    /// Repeat the call immediately.
    Retry,
    /// Repeat the call after a delay: the kernel does not report when the resource is available again.
    RetryLater,
    /// Abandon the operation: the connection, the connection attempt or the listening address.
    GiveUp,
}

/// Classification of an error of one system call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SocketError {
    /// Where the error originates.
    pub origin: Origin,
    /// The same call may succeed later without intervention.
    pub is_transient: bool,
    /// How the caller proceeds.
    pub next: NextStep,
}

const fn transient(origin: Origin, next: NextStep) -> SocketError {
    SocketError {
        origin,
        is_transient: true,
        next,
    }
}

const fn permanent(origin: Origin) -> SocketError {
    SocketError {
        origin,
        is_transient: false,
        next: NextStep::GiveUp,
    }
}

const NOT_READY: SocketError = transient(Origin::NoFailure, NextStep::Wait);
const INTERRUPTED: SocketError = transient(Origin::NoFailure, NextStep::Retry);
const HOST_OUT_OF_RESOURCES: SocketError = transient(Origin::Host, NextStep::RetryLater);
const HOST_REFUSED: SocketError = permanent(Origin::Host);
const CONNECTION_BROKEN: SocketError = permanent(Origin::Peer);
/// Also every error that the manual pages don't name for the call; it ends the socket that it befell and nothing
/// else.
const PROGRAM_ERROR: SocketError = permanent(Origin::Program);

/// The `errno` value; 0, which no call reports, for errors that do not come from the kernel.
fn errno(error: &io::Error) -> i32 {
    error.raw_os_error().unwrap_or(0)
}

/// Whether this process or host has run out of file descriptors, so that closing one lets the call succeed.
pub fn is_out_of_descriptors(error: &io::Error) -> bool {
    matches!(errno(error), EMFILE | ENFILE)
}

/// Classifies an error of `accept4`. Only errors of this program prevent the next client from being accepted.
pub fn accept(error: &io::Error) -> SocketError {
    match errno(error) {
        EAGAIN => NOT_READY,
        EINTR => INTERRUPTED,
        EMFILE | ENFILE | ENOBUFS | ENOMEM => HOST_OUT_OF_RESOURCES,
        // Errors of the connection being accepted, which is lost.
        ECONNABORTED | EPROTO | ENOPROTOOPT | ENETDOWN | ENETUNREACH | EHOSTDOWN | EHOSTUNREACH | ENONET
        | EOPNOTSUPP | ETIMEDOUT => transient(Origin::Peer, NextStep::Retry),
        // A firewall rule of this host rejected this client.
        EPERM => transient(Origin::Host, NextStep::Retry),
        _ => PROGRAM_ERROR,
    }
}

/// Classifies an error of `socket`.
pub fn socket(error: &io::Error) -> SocketError {
    match errno(error) {
        EMFILE | ENFILE | ENOBUFS | ENOMEM => HOST_OUT_OF_RESOURCES,
        EINTR => INTERRUPTED,
        EACCES | EPERM | EAFNOSUPPORT | EPROTONOSUPPORT => HOST_REFUSED,
        _ => PROGRAM_ERROR,
    }
}

/// Classifies an error of `bind` or `listen`. `EADDRINUSE` is transient: a predecessor may be about to
/// release the address.
pub fn listen(error: &io::Error) -> SocketError {
    match errno(error) {
        EADDRINUSE | EAGAIN | ENOBUFS | ENOMEM => HOST_OUT_OF_RESOURCES,
        EACCES | EPERM | EADDRNOTAVAIL | EOPNOTSUPP => HOST_REFUSED,
        _ => PROGRAM_ERROR,
    }
}

/// Classifies an error of `connect` on a non-blocking TCP socket, also if read as `SO_ERROR`.
pub fn connect(error: &io::Error) -> SocketError {
    match errno(error) {
        // An interrupted attempt continues in the background.
        EINPROGRESS | EALREADY | EINTR | EISCONN => NOT_READY,
        // EAGAIN and EADDRNOTAVAIL mean a lack of ports or routes here. A new attempt may succeed.
        EAGAIN | EADDRNOTAVAIL | EADDRINUSE | ENOBUFS | ENOMEM | ENETDOWN | ENETUNREACH => {
            transient(Origin::Host, NextStep::GiveUp)
        }
        EACCES | EPERM | EAFNOSUPPORT => HOST_REFUSED,
        ECONNREFUSED | ECONNRESET | ECONNABORTED | ETIMEDOUT | EHOSTUNREACH | EHOSTDOWN | ENETRESET => {
            CONNECTION_BROKEN
        }
        _ => PROGRAM_ERROR,
    }
}

/// Errors that end an established connection, whichever call reports them.
fn is_connection_broken(errno_value: i32) -> bool {
    matches!(
        errno_value,
        ECONNRESET
            | ECONNABORTED
            | ECONNREFUSED
            | EPIPE
            | ESHUTDOWN
            | ENOTCONN
            | ETIMEDOUT
            | EHOSTUNREACH
            | EHOSTDOWN
            | ENETUNREACH
            | ENETDOWN
            | ENETRESET
            | EPROTO
    )
}

/// Classifies an error of `recv` on a connected socket.
pub fn receive(error: &io::Error) -> SocketError {
    match errno(error) {
        EAGAIN => NOT_READY,
        EINTR => INTERRUPTED,
        ENOBUFS | ENOMEM => HOST_OUT_OF_RESOURCES,
        errno_value if is_connection_broken(errno_value) => CONNECTION_BROKEN,
        _ => PROGRAM_ERROR,
    }
}

/// Classifies an error of `send` on a connected socket.
pub fn send(error: &io::Error) -> SocketError {
    match errno(error) {
        EAGAIN => NOT_READY,
        EINTR => INTERRUPTED,
        ENOBUFS | ENOMEM => HOST_OUT_OF_RESOURCES,
        EPERM => HOST_REFUSED,
        errno_value if is_connection_broken(errno_value) => CONNECTION_BROKEN,
        _ => PROGRAM_ERROR,
    }
}

/// Classifies an error of `sendmsg` on a Unix socket, with descriptors attached.
pub fn send_message(error: &io::Error) -> SocketError {
    match errno(error) {
        EAGAIN => NOT_READY,
        EINTR => INTERRUPTED,
        // Too many descriptors of this user are in flight.
        ETOOMANYREFS | ENOBUFS | ENOMEM => HOST_OUT_OF_RESOURCES,
        EMSGSIZE => PROGRAM_ERROR,
        errno_value if is_connection_broken(errno_value) => CONNECTION_BROKEN,
        _ => PROGRAM_ERROR,
    }
}

/// Classifies an error of `epoll_create1`, `epoll_ctl` or `epoll_wait`. Other errors mean an invalid
/// descriptor.
pub fn epoll(error: &io::Error) -> SocketError {
    match errno(error) {
        EINTR => INTERRUPTED,
        // ENOSPC: the user has reached the host's limit of watched descriptors.
        EMFILE | ENFILE | ENOMEM | ENOSPC => HOST_OUT_OF_RESOURCES,
        _ => PROGRAM_ERROR,
    }
}

/// Classifies an error of `getsockopt`, `setsockopt` or `getpeername`.
pub fn socket_option(error: &io::Error) -> SocketError {
    match errno(error) {
        EINTR => INTERRUPTED,
        ENOBUFS | ENOMEM => HOST_OUT_OF_RESOURCES,
        errno_value if is_connection_broken(errno_value) => CONNECTION_BROKEN,
        _ => PROGRAM_ERROR,
    }
}

/// Maximum number of attempts to set a socket option.
const MAX_OPTION_ATTEMPTS: usize = 8;

/// Sets a socket option, with a limited number of immediate retries after transient errors.
///
/// # Errors
/// The error of the last attempt.
pub fn retry_option(mut set: impl FnMut() -> io::Result<()>) -> io::Result<()> {
    let mut result = set();
    for _ in 1..MAX_OPTION_ATTEMPTS {
        match &result {
            Err(error) if socket_option(error).is_transient => result = set(),
            _ => break,
        }
    }
    result
}

/// Whether a connection attempt failed on this host, in `socket`, `connect` or `epoll_ctl`. Nothing was sent
/// then, and the error says nothing about the peer.
pub fn is_local_failure(error: &io::Error) -> bool {
    [socket, connect, epoll]
        .iter()
        .any(|classify| classify(error).origin == Origin::Host)
}
