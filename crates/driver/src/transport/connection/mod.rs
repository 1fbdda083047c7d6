//! Connections, each with a coroutine that waits for socket input and commands and passes both to a
//! [`ConnectionHandler`]. Connections have no timeouts of their own: the owner of the [`ConnectionHandle`]
//! closes them.

mod coroutine;
mod start;

use asterlatch::time::Timestamp;
use may::io::WaitIoWaker;
use std::net::TcpStream;
use std::sync::mpsc::Sender;

pub(crate) use coroutine::spawn;
pub(crate) use start::register;
pub use start::{attach, dial};

/// Output of a handler.
pub struct ConnectionOutput<E> {
    /// Bytes to be written.
    pub bytes: Vec<u8>,
    /// Events for the owner of the connection.
    pub events: Vec<E>,
    /// Close the connection once all bytes are written.
    pub close: bool,
    /// Read once more before waiting, and call `on_all_read` if the socket holds no input.
    pub read_again: bool,
    /// Hand the connection over to another process once all bytes are written, with the unconsumed input.
    pub hand_over: bool,
}

impl<E> Default for ConnectionOutput<E> {
    fn default() -> Self {
        ConnectionOutput {
            bytes: Vec::new(),
            events: Vec::new(),
            close: false,
            read_again: false,
            hand_over: false,
        }
    }
}

/// Protocol state machine of one connection. All methods run on the connection's coroutine.
pub trait ConnectionHandler: Send + 'static {
    /// Commands from the owner.
    type Command: Send + 'static;
    /// Events to the owner.
    type Event: Send + 'static;
    /// Called once with the handler's socket, before any other method.
    fn on_socket(&mut self, _stream: &TcpStream) {}
    /// Whether another process may hold the same socket, so that closing it here does not end the connection.
    fn is_shared(&self) -> bool {
        false
    }
    /// Whether `before_read` must be called before input is read.
    fn is_journaled(&self) -> bool {
        false
    }
    /// These bytes are about to be read from the socket.
    fn before_read(&mut self, _bytes: &[u8]) {}
    /// The connection is established.
    fn on_open(&mut self, _out: &mut ConnectionOutput<Self::Event>) {}
    /// Consumes complete messages from the front of `input`, whose last bytes were read at `at`.
    fn on_input(&mut self, input: &mut Vec<u8>, at: Timestamp, out: &mut ConnectionOutput<Self::Event>);
    /// Handles a command from the owner. Commands may also arrive after `on_closed`.
    fn on_command(&mut self, command: Self::Command, at: Timestamp, out: &mut ConnectionOutput<Self::Event>);
    /// The peer has closed its side without a reset; `_input` is the unconsumed rest of its input.
    fn on_peer_closed(&mut self, _input: &[u8], _out: &mut ConnectionOutput<Self::Event>) {}
    /// The peer of a server has closed its side: it has disconnected, or still waits for answers.
    /// `is_all_read` tells whether all its input was read. Returns whether the connection stays open until
    /// the handler closes it; if so, `on_input` follows. May be called repeatedly.
    fn on_input_ended(&mut self, _is_all_read: bool, _out: &mut ConnectionOutput<Self::Event>) -> bool {
        false
    }
    /// The socket holds input that `wants_input` has declined. The peer may have closed its side behind that input
    /// and behind input that is still on its way.
    fn on_backlog(&mut self, _out: &mut ConnectionOutput<Self::Event>) {}
    /// All input that the socket held at `_at` was read.
    fn on_all_read(&mut self, _at: Timestamp, _out: &mut ConnectionOutput<Self::Event>) {}
    /// Whether this is the server side of the protocol. Such a connection closes gracefully: it closes its
    /// sending side and discards input until the peer closes the other side or the handle is dropped. A
    /// peer's disconnect is detected even while its input is not read.
    fn is_server(&self) -> bool {
        false
    }
    /// The sending side of this end was closed.
    fn on_half_closed(&mut self, _out: &mut ConnectionOutput<Self::Event>) {}
    /// Whether the connection may be closed when the memory budget is exhausted: not while the peer waits for
    /// an answer.
    fn is_evictable(&self) -> bool {
        true
    }
    /// Bytes that the handler holds besides input and output, for the memory budget.
    fn held_bytes(&self) -> usize {
        0
    }
    /// All bytes of the output were written to the socket.
    fn on_written(&mut self, _out: &mut ConnectionOutput<Self::Event>) {}
    /// The connection was closed, by either end. `out` has the events that were not reported yet.
    fn on_closed(&mut self, at: Timestamp, out: &mut ConnectionOutput<Self::Event>);
    /// The buffered bytes exceed the memory budget, so the connection will be closed.
    fn on_memory_exhausted(&mut self, _out: &mut ConnectionOutput<Self::Event>) {}
    /// The connection was handed over: another process continues with the stream and the unconsumed input.
    fn on_handed_over(
        &mut self,
        _stream: TcpStream,
        _input: Vec<u8>,
        _out: &mut ConnectionOutput<Self::Event>,
    ) {
    }
    /// Whether more input may be read while `unconsumed` bytes are buffered.
    fn wants_input(&self, unconsumed: usize) -> bool;
}

/// The owner's handle of a connection, usable from any thread. Dropping it closes the connection.
pub struct ConnectionHandle<C> {
    commands: Option<Sender<C>>,
    /// `None` for a handle without a socket, whose commands go to a channel.
    waker: Option<WaitIoWaker>,
}

impl<C> ConnectionHandle<C> {
    /// Creates a handle without a connection, whose commands go to a channel.
    pub fn to_channel(commands: Sender<C>) -> ConnectionHandle<C> {
        ConnectionHandle {
            commands: Some(commands),
            waker: None,
        }
    }

    fn wake(&self) {
        if let Some(waker) = &self.waker {
            waker.wakeup();
        }
    }

    /// Closes the connection, as dropping the handle does.
    pub fn close(&mut self) {
        self.commands = None;
        self.wake();
    }

    /// Sends a command. A command to a closed connection is dropped; its owner has received the closing
    /// event.
    pub fn send(&self, command: C) {
        if self.commands.as_ref().is_some_and(|c| c.send(command).is_ok()) {
            self.wake();
        }
    }
}

impl<C> Drop for ConnectionHandle<C> {
    fn drop(&mut self) {
        self.close();
    }
}
