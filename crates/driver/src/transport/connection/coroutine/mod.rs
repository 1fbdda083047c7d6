//! The coroutine of a connection.

mod closing;
mod memory;

use super::{ConnectionHandle, ConnectionHandler, ConnectionOutput};
use crate::transport::buffer;
use crate::transport::clock::Clock;
use crate::transport::event_registration;
use crate::transport::memory_budget::{MemoryBudget, MemoryReservation};
use crate::transport::socket_errors::{self, NextStep, SocketError};
use asterlatch::time::{TimeSpan, Timestamp};
use may::io::{CoIo, WaitIo};
use std::cell::RefCell;
use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::mpsc::{channel, Receiver, Sender, TryRecvError};
use std::time::Duration;

/// Maximum size of one read.
const MAX_READ_BYTES: usize = 16 * 1024;
/// Memory of a connection that is exempt from the memory budget. Buffers up to this size are not shrunk.
const UNRESERVED_BYTES: usize = 1024;
/// Time for which a connection that always has input runs before it yields to others.
const MAX_SLICE: TimeSpan = TimeSpan::millis(1);
/// Delay of a retry after errors whose end the kernel does not report.
const RETRY_DELAY: Duration = Duration::from_millis(1);

thread_local! {
    /// Read buffer that all connections of a thread share, since most connections are idle.
    static READ_BUFFER: RefCell<Vec<u8>> = RefCell::new(vec![0; MAX_READ_BYTES]);
}

struct Connection<H: ConnectionHandler, M> {
    io: CoIo<TcpStream>,
    is_open: bool,
    handler: H,
    commands: Receiver<H::Command>,
    queue: Sender<M>,
    clock: Clock,
    input: Vec<u8>,
    /// Time of the last read into `input`.
    read_at: Timestamp,
    out: ConnectionOutput<H::Event>,
    has_unreported_writes: bool,
    /// Bytes were written since memory was last reserved.
    has_written: bool,
    /// The peer has closed its side, and all its input was read.
    is_input_ended: bool,
    /// Bytes discarded since the sending side was closed; `None` before that.
    discarded_bytes: Option<usize>,
    /// Covers the capacity of `input` and `out`, and what the handler holds.
    reservation: MemoryReservation,
}

/// How the coroutine proceeds after a step.
#[derive(Clone, Copy, PartialEq)]
enum Flow {
    /// Wait for the socket or a command.
    Wait,
    /// Take another step immediately.
    Continue,
    /// Take another step after [`RETRY_DELAY`].
    Pause,
    Close,
    HandOver,
}

impl From<SocketError> for Flow {
    fn from(error: SocketError) -> Flow {
        match error.next {
            NextStep::Wait => Flow::Wait,
            NextStep::Retry => Flow::Continue,
            NextStep::RetryLater => Flow::Pause,
            NextStep::GiveUp => Flow::Close,
        }
    }
}

impl<H: ConnectionHandler, M: From<H::Event> + Send + 'static> Connection<H, M> {
    /// Sends the events to the owner. Sending fails only while the process exits.
    fn report_events(&mut self) {
        for event in self.out.events.drain(..) {
            let _ = self.queue.send(event.into());
        }
    }

    fn connect(&mut self) -> Flow {
        match self.io.inner().take_error() {
            Ok(None) => {}
            Ok(Some(_)) => return Flow::Close,
            Err(error) => return socket_errors::socket_option(&error).into(),
        }
        match self.io.inner().peer_addr() {
            Ok(_) => {
                self.is_open = true;
                self.handler.on_open(&mut self.out);
                Flow::Continue
            }
            Err(error) if error.kind() == ErrorKind::NotConnected => Flow::Wait,
            Err(error) => socket_errors::socket_option(&error).into(),
        }
    }

    /// Whether more input may be read. Not while the peer does not read its answers, which bounds the output
    /// buffer.
    fn wants_input(&self) -> bool {
        self.out.bytes.len() <= MAX_READ_BYTES && self.handler.wants_input(self.input.len())
    }

    fn read(&mut self) -> Flow {
        if self.is_input_ended || !self.wants_input() {
            return self.detect_peer_close();
        }
        match self.read_into_input() {
            Ok(0) => {
                self.handler.on_peer_closed(&self.input, &mut self.out);
                self.is_input_ended = self.handler.on_input_ended(true, &mut self.out);
                if !self.is_input_ended {
                    return Flow::Close;
                }
                self.handle_input();
                Flow::Wait
            }
            Ok(_) => {
                self.read_at = self.clock.now();
                self.handle_input();
                Flow::Continue
            }
            Err(error) => {
                let flow = socket_errors::receive(&error).into();
                if flow == Flow::Wait {
                    self.handler.on_all_read(self.clock.now(), &mut self.out);
                }
                flow
            }
        }
    }

    fn handle_input(&mut self) {
        self.handler
            .on_input(&mut self.input, self.read_at, &mut self.out);
    }

    fn read_into_input(&mut self) -> io::Result<usize> {
        READ_BUFFER.with_borrow_mut(|buffer| {
            let count = if self.handler.is_journaled() {
                // Input is recorded before it leaves the socket, so that it survives a kill of this process.
                let count = self.io.inner().peek(buffer)?;
                self.handler.before_read(&buffer[..count]);
                self.io.inner().read(&mut buffer[..count])?
            } else {
                self.io.inner().read(buffer)?
            };
            buffer::append(&mut self.input, &buffer[..count]);
            Ok(count)
        })
    }

    fn write(&mut self) -> Flow {
        self.has_unreported_writes |= !self.out.bytes.is_empty();
        while !self.out.bytes.is_empty() {
            match self.io.inner().write(&self.out.bytes) {
                Ok(count) => {
                    self.out.bytes.drain(..count);
                    self.has_written = true;
                }
                Err(error) => match socket_errors::send(&error).into() {
                    Flow::Continue => {}
                    flow => return flow,
                },
            }
        }
        if std::mem::take(&mut self.has_unreported_writes) {
            self.handler.on_written(&mut self.out);
        }
        Flow::Wait
    }

    /// Handles pending socket input and commands. Input comes first, so that a query commanded after the peer
    /// has closed the connection is known not to have been sent.
    fn step(&mut self) -> Flow {
        if let Some(discarded) = self.discarded_bytes {
            return self.discard_lingering_input(discarded);
        }
        if self.reservation.is_evicted() {
            self.handler.on_memory_exhausted(&mut self.out);
            return Flow::Close;
        }
        let previously_wanted_input = self.wants_input();
        let flow = if self.is_open { self.read() } else { self.connect() };
        let flow = self.handle_commands(flow);
        let mut flow = self.write_and_reserve(flow);
        // The event loop is edge-triggered: input left in the socket must be read without another event.
        if !previously_wanted_input && self.wants_input() && flow == Flow::Wait {
            flow = Flow::Continue;
        }
        // A server reports what it has read once it knows that the client has not closed its side behind it.
        if flow != Flow::Continue || !self.handler.is_server() {
            self.report_events();
        }
        self.finish_step(flow)
    }

    fn handle_commands(&mut self, mut flow: Flow) -> Flow {
        while flow != Flow::Close {
            match self.commands.try_recv() {
                Ok(command) => {
                    self.handler.on_command(command, self.clock.now(), &mut self.out);
                    self.handle_input();
                }
                Err(TryRecvError::Empty) => break,
                Err(TryRecvError::Disconnected) => flow = Flow::Close,
            }
        }
        flow
    }

    fn write_if_open(&mut self) -> Flow {
        if self.is_open {
            self.write()
        } else {
            Flow::Wait
        }
    }

    fn write_and_reserve(&mut self, flow: Flow) -> Flow {
        if flow == Flow::Close {
            return Flow::Close;
        }
        let flow = match self.write_if_open() {
            Flow::Wait => flow,
            write_flow => write_flow,
        };
        if flow == Flow::Close || self.reserve_memory() {
            return flow;
        }
        self.handler.on_memory_exhausted(&mut self.out);
        if !self.out.close || self.write() == Flow::Close {
            return Flow::Close;
        }
        flow
    }

    fn finish_step(&mut self, flow: Flow) -> Flow {
        if flow == Flow::Close {
            return Flow::Close;
        }
        let is_written = self.out.bytes.is_empty();
        if self.out.close && (is_written || !self.is_open) {
            return if self.is_open && self.handler.is_server() {
                self.half_close()
            } else {
                Flow::Close
            };
        }
        let read_again = std::mem::take(&mut self.out.read_again);
        if self.out.hand_over && is_written {
            return Flow::HandOver;
        }
        if read_again && flow == Flow::Wait {
            return Flow::Continue;
        }
        flow
    }

    fn run(mut self) {
        let mut slice_ends_at = self.clock.now() + MAX_SLICE;
        loop {
            match self.step() {
                Flow::Wait => {
                    self.io.wait_io();
                    slice_ends_at = self.clock.now() + MAX_SLICE;
                }
                // A yielding coroutine would run again before sockets are polled; a new coroutine does not.
                Flow::Continue if self.clock.now() >= slice_ends_at => {
                    if self.detect_peer_close() == Flow::Close {
                        break;
                    }
                    self.report_events();
                    may::go!(move || self.run());
                    return;
                }
                Flow::Continue => {}
                Flow::Pause => may::coroutine::sleep(RETRY_DELAY),
                Flow::Close => break,
                Flow::HandOver => return self.hand_over(),
            }
        }
        self.close();
    }
}

/// Spawns the coroutine of a registered connection that is established (`is_open`) or connecting. `input` was
/// read from it but not consumed. `on_handle` receives the handle before the first event is sent.
pub(crate) fn spawn<H, M>(
    io: CoIo<TcpStream>,
    is_open: bool,
    mut handler: H,
    queue: &Sender<M>,
    (clock, budget): (Clock, &MemoryBudget),
    mut input: Vec<u8>,
    on_handle: impl FnOnce(ConnectionHandle<H::Command>),
) where
    H: ConnectionHandler,
    M: From<H::Event> + Send + 'static,
{
    // A permanent failure only delays small writes, which is better than closing the connection.
    let _ = socket_errors::retry_option(|| io.inner().set_nodelay(true));
    handler.on_socket(io.inner());
    let (sender, commands) = channel();
    let waker = io.waker();
    let mut out = ConnectionOutput::default();
    if is_open {
        handler.on_open(&mut out);
    }
    if !input.is_empty() {
        handler.on_input(&mut input, clock.now(), &mut out);
    }
    let connection = Connection {
        io,
        is_open,
        handler,
        commands,
        queue: queue.clone(),
        clock,
        input,
        read_at: clock.now(),
        out,
        has_unreported_writes: false,
        has_written: false,
        is_input_ended: false,
        discarded_bytes: None,
        reservation: budget.empty_reservation(),
    };
    on_handle(ConnectionHandle {
        commands: Some(sender),
        waker: Some(waker),
    });
    may::go!(move || connection.run());
}

fn close_socket(io: CoIo<TcpStream>) {
    let _registration = event_registration::lock();
    drop(io);
}
