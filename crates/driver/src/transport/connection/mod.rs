//! One coroutine for each connection. It waits for the socket and for commands alike, and passes both to a
//! [`ConnectionHandler`]. It keeps no time: whoever holds the [`ConnectionHandle`] decides when the connection ends.

mod coroutine;
mod start;

use asterlatch::time::Timestamp;
use may::io::WaitIoWaker;
use std::net::TcpStream;
use std::sync::mpsc::Sender;

pub(crate) use coroutine::spawn;
pub(crate) use start::register;
pub use start::{attach, dial};

/// What a handler wants done.
pub struct ConnectionOutput<E> {
    /// Bytes to be written.
    pub bytes: Vec<u8>,
    /// Events for the owner.
    pub events: Vec<E>,
    /// Close the connection once all bytes are written.
    pub close: bool,
    /// Read once more before waiting, and call `on_all_read` if nothing is there.
    pub read_again: bool,
    /// Hand the connection over to another process once all bytes are written, with the unused input.
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

/// A protocol on one connection, as a function of input and commands. All methods run on the connection's coroutine.
pub trait ConnectionHandler: Send + 'static {
    /// What the owner sends.
    type Command: Send + 'static;
    /// What the owner receives.
    type Event: Send + 'static;
    /// The handler runs on this socket.
    fn on_socket(&mut self, _stream: &TcpStream) {}
    /// Whether another process holds the same socket, so that closing it here ends nothing.
    fn is_shared(&self) -> bool {
        false
    }
    /// Whether `before_read` is to be called.
    fn is_journaled(&self) -> bool {
        false
    }
    /// These bytes are read next.
    fn before_read(&mut self, _bytes: &[u8]) {}
    /// The connection is established.
    fn on_open(&mut self, _out: &mut ConnectionOutput<Self::Event>) {}
    /// Consumes what it can from the front of `input`, which arrived by `at`.
    fn on_input(&mut self, input: &mut Vec<u8>, at: Timestamp, out: &mut ConnectionOutput<Self::Event>);
    /// The owner sent a command. Commands may also follow `on_closed`.
    fn on_command(&mut self, command: Self::Command, at: Timestamp, out: &mut ConnectionOutput<Self::Event>);
    /// The peer has closed its side without a reset: nothing follows the unused `_input`.
    fn on_peer_closed(&mut self, _input: &[u8], _out: &mut ConnectionOutput<Self::Event>) {}
    /// A peer whose requests are answered here has closed its side, as one does that has left, or one that only waits for
    /// answers; `is_all_read` tells whether everything before that was read. Returns whether the connection stays open
    /// until the handler closes it; it may be called again.
    fn on_input_ended(&mut self, _is_all_read: bool, _out: &mut ConnectionOutput<Self::Event>) -> bool {
        false
    }
    /// All that the socket held was read.
    fn on_all_read(&mut self, _out: &mut ConnectionOutput<Self::Event>) {}
    /// Whether the peer sends requests that are answered here. Such a connection is closed gracefully: our side first,
    /// then what still comes is dropped until the peer closes its own or the handle is dropped. A peer that leaves is
    /// detected even while its input is not read.
    fn is_server(&self) -> bool {
        false
    }
    /// Our side was closed.
    fn on_half_closed(&mut self, _out: &mut ConnectionOutput<Self::Event>) {}
    /// Whether the connection may be closed for want of memory: not while the peer waits for an answer.
    fn may_be_closed(&self) -> bool {
        true
    }
    /// All bytes so far were written to the socket.
    fn on_written(&mut self, _out: &mut ConnectionOutput<Self::Event>) {}
    /// The connection is closed, whoever closed it.
    fn on_closed(&mut self, at: Timestamp, out: &mut ConnectionOutput<Self::Event>);
    /// The buffered bytes exceed the memory budget, so the connection is closed.
    fn on_memory_exhausted(&mut self, _out: &mut ConnectionOutput<Self::Event>) {}
    /// The connection was handed over with its unused input: the other process continues with it.
    fn on_handed_over(
        &mut self,
        _stream: TcpStream,
        _input: Vec<u8>,
        _out: &mut ConnectionOutput<Self::Event>,
    ) {
    }
    /// Whether more may be read while this many bytes are unused.
    fn wants_input(&self, unused: usize) -> bool;
}

/// The owner's end of a connection. The connection is closed when this is dropped. May be used from any thread.
pub struct ConnectionHandle<C> {
    commands: Option<Sender<C>>,
    /// None if there is no socket and only the commands are wanted.
    waker: Option<WaitIoWaker>,
}

impl<C> ConnectionHandle<C> {
    /// A handle without a connection, whose commands go to a channel.
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

    /// Sends a command. One to a connection that has ended is lost, which is harmless: its end was reported.
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
