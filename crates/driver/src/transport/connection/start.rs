//! Ways to start a connection: one that is established, or one that is to be.

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

/// A connection that could not be registered with the event loop: [`CoIoError::into_data`] gives the stream back.
pub(crate) type CoIoError = may::io::co_io_err::Error<TcpStream>;

/// Registers a connection with the event loop.
///
/// # Errors
/// If the kernel has no memory for it, or the user watches as many descriptors as the host allows.
pub(crate) fn register(stream: TcpStream) -> Result<CoIo<TcpStream>, CoIoError> {
    let _registration = event_registration::lock();
    CoIo::new(stream)
}

/// Starts to establish a connection; its handler learns whether that succeeds.
///
/// # Errors
/// If no socket can be opened, or the address can't be reached.
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
        Err(e) if socket_errors::connect(&e).next == NextStep::GiveUp => return Err(e),
        _ => {}
    }
    attach(socket.into(), false, handler, queue, (clock, budget), Vec::new())
}

/// Runs a handler on a connection as for a client that is accepted, for a caller that owns the handle itself.
///
/// # Errors
/// If the connection can't be registered with the event loop.
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
    let announce = |announced| handle = Some(announced);
    spawn(io, is_open, handler, queue, context, input, announce);
    handle.ok_or_else(|| io::Error::other("no handle announced"))
}
