//! Starts connections on new and on existing sockets.

use super::coroutine::spawn;
use super::{ConnectionHandle, ConnectionHandler};
use crate::transport::clock::Clock;
use crate::transport::event_registration;
use crate::transport::memory_budget::MemoryBudget;
use crate::transport::socket_errors::{self, NextStep};
use may::io::CoIo;
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::Sender;

/// A failed registration with the event loop; [`CoIoError::into_data`] returns the stream.
pub(crate) type CoIoError = may::io::co_io_err::Error<TcpStream>;

/// Registers a connection with the event loop.
///
/// # Errors
/// If the kernel is out of memory or the user's limit of watched descriptors is reached.
pub(crate) fn register(stream: TcpStream) -> Result<CoIo<TcpStream>, CoIoError> {
    let _registration = event_registration::lock();
    CoIo::new(stream)
}

/// Starts to connect to `address`. The handler's `on_open` or `on_closed` reports the result.
///
/// # Errors
/// If no socket can be opened or registered, or `connect` fails immediately.
pub fn dial<H, M>(
    address: SocketAddr,
    handler: H,
    queue: &Sender<M>,
    (clock, budget): (Clock, &MemoryBudget),
) -> io::Result<ConnectionHandle<H::Command>>
where
    H: ConnectionHandler,
    M: From<H::Event> + Send + 'static,
{
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    match socket.connect(&address.into()) {
        Err(error) if socket_errors::connect(&error).next == NextStep::GiveUp => return Err(error),
        _ => {}
    }
    attach(socket.into(), false, handler, queue, (clock, budget), Vec::new())
}

/// Runs a handler on an existing socket, established (`is_open`) or connecting, and returns the connection's
/// handle. `input` was read from the socket before.
///
/// # Errors
/// If the socket cannot be registered with the event loop.
pub fn attach<H, M>(
    stream: TcpStream,
    is_open: bool,
    handler: H,
    queue: &Sender<M>,
    context: (Clock, &MemoryBudget),
    input: Vec<u8>,
) -> io::Result<ConnectionHandle<H::Command>>
where
    H: ConnectionHandler,
    M: From<H::Event> + Send + 'static,
{
    let io = register(stream)?;
    let mut handle = None;
    let store_handle = |created| handle = Some(created);
    spawn(io, is_open, handler, queue, context, input, store_handle);
    handle.ok_or_else(|| io::Error::other("spawned connection returned no handle"))
}
