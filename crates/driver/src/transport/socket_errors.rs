//! Errors of Linux's socket calls: whose failure each is, whether it passes, and what its caller does next.
//!
//! One function a call, after its manual page (`man 2 accept` and so on, `man 7 ip`, `man 7 tcp`). An error that no page
//! names is taken for a mistake of this program, which ends what it befell and nothing else.

use libc::{
    EACCES, EADDRINUSE, EADDRNOTAVAIL, EAFNOSUPPORT, EAGAIN, EALREADY, ECONNABORTED, ECONNREFUSED,
    ECONNRESET, EHOSTDOWN, EHOSTUNREACH, EINPROGRESS, EINTR, EISCONN, EMFILE, EMSGSIZE, ENETDOWN, ENETRESET,
    ENETUNREACH, ENFILE, ENOBUFS, ENOMEM, ENONET, ENOPROTOOPT, ENOSPC, ENOTCONN, EOPNOTSUPP, EPERM, EPIPE,
    EPROTO, EPROTONOSUPPORT, ESHUTDOWN, ETIMEDOUT, ETOOMANYREFS,
};
use std::io;

/// Whose failure an error is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// Nobody's: the call says only that it isn't done yet.
    Nobody,
    /// This host's: it lacks descriptors, memory, ports or a route, or its configuration forbids the call. It says nothing
    /// about the peer.
    Host,
    /// The peer's, or the network's on the way to it.
    Peer,
    /// A mistake of this program.
    Program,
}

/// What follows an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Wait until the kernel reports the socket as ready.
    Wait,
    /// Make the same call again at once.
    Retry,
    /// Make the same call again after a pause: the kernel reports nothing when the lack is over.
    RetryLater,
    /// Give up what the call was for: a connection, an attempt to connect, an address to listen at.
    GiveUp,
}

/// What an error of one call means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SocketError {
    /// Whose failure it is.
    pub origin: Origin,
    /// The same call may succeed later, though nothing is changed by anybody.
    pub is_transient: bool,
    /// What follows.
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

const NOT_READY: SocketError = transient(Origin::Nobody, NextStep::Wait);
const INTERRUPTED: SocketError = transient(Origin::Nobody, NextStep::Retry);
const HOST_LACKS: SocketError = transient(Origin::Host, NextStep::RetryLater);
const HOST_FORBIDS: SocketError = permanent(Origin::Host);
const CONNECTION_BROKEN: SocketError = permanent(Origin::Peer);
const MISTAKE: SocketError = permanent(Origin::Program);

/// The error number; 0, which no call reports, if the error isn't the kernel's.
fn number(error: &io::Error) -> i32 {
    error.raw_os_error().unwrap_or(0)
}

/// Whether no descriptor is left in this process or on this host: closing one lets the call succeed.
pub fn is_out_of_descriptors(error: &io::Error) -> bool {
    matches!(number(error), EMFILE | ENFILE)
}

/// `accept4`. The next client may be accepted after any error that is not this program's.
pub fn accept(error: &io::Error) -> SocketError {
    match number(error) {
        EAGAIN => NOT_READY,
        EINTR => INTERRUPTED,
        EMFILE | ENFILE | ENOBUFS | ENOMEM => HOST_LACKS,
        // Errors of the connection that was to be accepted, which is gone with them.
        ECONNABORTED | EPROTO | ENOPROTOOPT | ENETDOWN | ENETUNREACH | EHOSTDOWN | EHOSTUNREACH | ENONET
        | EOPNOTSUPP | ETIMEDOUT => transient(Origin::Peer, NextStep::Retry),
        // A firewall of this host refused that one client.
        EPERM => transient(Origin::Host, NextStep::Retry),
        _ => MISTAKE,
    }
}

/// `socket`.
pub fn socket(error: &io::Error) -> SocketError {
    match number(error) {
        EMFILE | ENFILE | ENOBUFS | ENOMEM => HOST_LACKS,
        EINTR => INTERRUPTED,
        EACCES | EPERM | EAFNOSUPPORT | EPROTONOSUPPORT => HOST_FORBIDS,
        _ => MISTAKE,
    }
}

/// `bind` and `listen`, at an address that a predecessor may still hold for a moment.
pub fn listen(error: &io::Error) -> SocketError {
    match number(error) {
        EADDRINUSE | EAGAIN | ENOBUFS | ENOMEM => HOST_LACKS,
        EACCES | EPERM | EADDRNOTAVAIL | EOPNOTSUPP => HOST_FORBIDS,
        _ => MISTAKE,
    }
}

/// `connect` of a TCP socket that does not block, and the error that the socket keeps of it.
pub fn connect(error: &io::Error) -> SocketError {
    match number(error) {
        // An interrupted attempt goes on.
        EINPROGRESS | EALREADY | EINTR | EISCONN => NOT_READY,
        // Here EAGAIN and EADDRNOTAVAIL are a lack of ports or routes. The attempt is over, the next one may succeed.
        EAGAIN | EADDRNOTAVAIL | EADDRINUSE | ENOBUFS | ENOMEM | ENETDOWN | ENETUNREACH => {
            transient(Origin::Host, NextStep::GiveUp)
        }
        EACCES | EPERM | EAFNOSUPPORT => HOST_FORBIDS,
        ECONNREFUSED | ECONNRESET | ECONNABORTED | ETIMEDOUT | EHOSTUNREACH | EHOSTDOWN | ENETRESET => {
            CONNECTION_BROKEN
        }
        _ => MISTAKE,
    }
}

/// Errors that end an established connection, whichever call reports them.
fn is_connection_broken(number: i32) -> bool {
    matches!(
        number,
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

/// `recv` on a connected socket.
pub fn receive(error: &io::Error) -> SocketError {
    match number(error) {
        EAGAIN => NOT_READY,
        EINTR => INTERRUPTED,
        ENOBUFS | ENOMEM => HOST_LACKS,
        number if is_connection_broken(number) => CONNECTION_BROKEN,
        _ => MISTAKE,
    }
}

/// `send` on a connected socket.
pub fn send(error: &io::Error) -> SocketError {
    match number(error) {
        EAGAIN => NOT_READY,
        EINTR => INTERRUPTED,
        ENOBUFS | ENOMEM => HOST_LACKS,
        EPERM => HOST_FORBIDS,
        number if is_connection_broken(number) => CONNECTION_BROKEN,
        _ => MISTAKE,
    }
}

/// `sendmsg` on a Unix socket, with descriptors.
pub fn send_message(error: &io::Error) -> SocketError {
    match number(error) {
        EAGAIN => NOT_READY,
        EINTR => INTERRUPTED,
        // Too many descriptors of this user lie in sockets unread.
        ETOOMANYREFS | ENOBUFS | ENOMEM => HOST_LACKS,
        EMSGSIZE => MISTAKE,
        number if is_connection_broken(number) => CONNECTION_BROKEN,
        _ => MISTAKE,
    }
}

/// `epoll_create1`, `epoll_ctl` and `epoll_wait`. Other errors of theirs mean a wrong descriptor.
pub fn epoll(error: &io::Error) -> SocketError {
    match number(error) {
        EINTR => INTERRUPTED,
        // ENOSPC: the user watches as many descriptors as the host allows.
        EMFILE | ENFILE | ENOMEM | ENOSPC => HOST_LACKS,
        _ => MISTAKE,
    }
}

/// `getsockopt`, `setsockopt`, `getpeername`.
pub fn socket_option(error: &io::Error) -> SocketError {
    match number(error) {
        EINTR => INTERRUPTED,
        ENOBUFS | ENOMEM => HOST_LACKS,
        number if is_connection_broken(number) => CONNECTION_BROKEN,
        _ => MISTAKE,
    }
}

/// Attempts to set an option of a socket.
const MOST_OPTION_ATTEMPTS: usize = 8;

/// Sets an option of a socket, and again at once where it fails for a lack that passes, but not for ever.
///
/// # Errors
/// The last attempt's.
pub fn retry_option(mut set: impl FnMut() -> io::Result<()>) -> io::Result<()> {
    let mut result = set();
    for _ in 1..MOST_OPTION_ATTEMPTS {
        match &result {
            Err(error) if socket_option(error).is_transient => result = set(),
            _ => break,
        }
    }
    result
}

/// Whether an attempt to connect failed by this host alone, at whichever of `socket`, `connect` and `epoll_ctl`: then
/// nothing was sent, and it says nothing about the peer.
pub fn is_local_failure(error: &io::Error) -> bool {
    [socket, connect, epoll]
        .iter()
        .any(|classify| classify(error).origin == Origin::Host)
}
