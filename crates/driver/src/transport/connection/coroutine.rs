//! The coroutine of a connection.

use super::{ConnectionHandle, ConnectionHandler, ConnectionOutput};
use crate::transport::buffer;
use crate::transport::clock::Clock;
use crate::transport::event_registration;
use crate::transport::evictions::Wake;
use crate::transport::memory_budget::{MemoryBudget, MemoryReservation};
use crate::transport::socket_errors::{self, NextStep, SocketError};
use asterlatch::time::{TimeSpan, Timestamp};
use may::io::{CoIo, WaitIo};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::cell::RefCell;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender, TryRecvError};
use std::time::Duration;

/// Maximum size of one read.
const MAX_READ_BYTES: usize = 16 * 1024;
/// Memory of a connection that is exempt from the memory budget. Buffers up to this size are not shrunk.
const UNRESERVED_BYTES: usize = 1024;
/// Incomplete messages leave the budget's capacity divided by this to other uses, and so do answers that peers don't
/// read, so that clients that stop in the middle of either don't have all other statements rejected.
const STALLED_MESSAGE_DIVISOR: usize = 4;
/// Time for which a connection that always has input runs before it yields to others.
const MAX_SLICE: TimeSpan = TimeSpan::millis(1);
/// Maximum input that is discarded after the sending side was closed. Closing a socket with unread input
/// resets the connection, and the peer loses answers that it has not read yet.
const MAX_LINGERING_BYTES: usize = 256 * 1024;
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

    /// Detects that a client closes its side while its input is not read.
    fn detect_peer_close(&mut self) -> Flow {
        if !self.handler.is_server() {
            return Flow::Wait;
        }
        let Some(events) = self.poll_socket() else {
            // The kernel is out of memory.
            return Flow::Pause;
        };
        if events.intersects(PollFlags::HUP | PollFlags::ERR) {
            return Flow::Close;
        }
        let is_half_closed = events.contains(PollFlags::RDHUP) && !self.is_input_ended;
        if is_half_closed {
            if !self.handler.on_input_ended(false, &mut self.out) {
                return Flow::Close;
            }
            self.handle_input();
        }
        if events.contains(PollFlags::IN) && !self.handler.wants_input(self.input.len()) {
            self.handler.on_backlog(&mut self.out);
        }
        Flow::Wait
    }

    /// Polls for unread input and a closed or failed connection; `None` if polling fails.
    fn poll_socket(&self) -> Option<PollFlags> {
        let mut fds = [PollFd::new(self.io.inner(), PollFlags::IN | PollFlags::RDHUP)];
        let no_wait = Timespec::default();
        poll(&mut fds, Some(&no_wait)).ok()?;
        Some(fds[0].revents())
    }

    /// Closes the sending side. The peer can still read what was written before.
    fn half_close(&mut self) -> Flow {
        if self.io.inner().shutdown(Shutdown::Write).is_err() {
            return Flow::Close;
        }
        self.discarded_bytes = Some(0);
        self.input = Vec::new();
        self.reservation.resize(0);
        self.handler.on_half_closed(&mut self.out);
        self.report_events();
        Flow::Continue
    }

    /// Discards input after the sending side was closed, until the peer closes the other side.
    fn discard_lingering_input(&mut self, discarded: usize) -> Flow {
        let read = READ_BUFFER.with_borrow_mut(|buffer| self.io.inner().read(buffer));
        let is_handle_dropped = matches!(self.commands.try_recv(), Err(TryRecvError::Disconnected));
        match read {
            Ok(count) if count > 0 && discarded + count <= MAX_LINGERING_BYTES => {
                self.discarded_bytes = Some(discarded + count);
                Flow::Continue
            }
            Ok(_) => Flow::Close,
            Err(error) => match socket_errors::receive(&error).into() {
                Flow::Wait if is_handle_dropped => Flow::Close,
                flow => flow,
            },
        }
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

    /// Shrinks oversized buffers and reserves the memory that the connection holds; returns whether the budget
    /// suffices.
    fn reserve_memory(&mut self) -> bool {
        for bytes in [&mut self.input, &mut self.out.bytes] {
            buffer::shrink(bytes, UNRESERVED_BYTES);
        }
        let buffered = self.input.capacity() + self.out.bytes.capacity();
        let buffered = (buffered + self.handler.held_bytes()).saturating_sub(UNRESERVED_BYTES);
        let has_written = std::mem::take(&mut self.has_written);
        if !self.out.bytes.is_empty() && self.handler.is_server() {
            // A partly written answer is cut off only where unread answers would take the memory of all others.
            let headroom = self.budget_headroom();
            let waker = self.io.waker();
            let wake = || -> Wake { Box::new(move || waker.wakeup()) };
            self.reservation
                .force_resize_evictable(buffered, headroom, has_written, wake);
            return true;
        }
        self.reservation.protect();
        // A connection is not closed while its peer waits for an answer; `wants_input` bounds the input read ahead
        // meanwhile.
        if self.out.bytes.is_empty() && self.handler.is_evictable() {
            let headroom = self.budget_headroom();
            return self.reservation.resize_with_headroom(buffered, headroom);
        }
        self.reservation.force_resize(buffered);
        true
    }

    /// Capacity of the budget that stalled messages leave to others.
    fn budget_headroom(&self) -> usize {
        self.reservation.budget_capacity() / STALLED_MESSAGE_DIVISOR
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

    /// Passes a duplicate of the socket to the handler, and unregisters and closes the original.
    fn hand_over(mut self) {
        match self.io.inner().try_clone() {
            Ok(stream) => {
                let input = std::mem::take(&mut self.input);
                event_registration::unregister(self.io.inner());
                close_socket(self.io);
                self.handler.on_handed_over(stream, input, &mut self.out);
                for event in self.out.events.drain(..) {
                    let _ = self.queue.send(event.into());
                }
            }
            Err(_) => self.close(),
        }
    }

    fn close(self) {
        if self.is_open && self.discarded_bytes.is_none() {
            self.shut_down_write();
        }
        let Connection {
            io,
            mut handler,
            commands,
            queue,
            clock,
            mut out,
            ..
        } = self;
        if handler.is_shared() {
            event_registration::unregister(io.inner());
            // Fails if the peer has already disconnected, which is harmless.
            let _ = io.inner().shutdown(Shutdown::Both);
        }
        // Closed before the event is sent, so that the owner never counts fewer descriptors than are open.
        close_socket(io);
        handler.on_closed(clock.now(), &mut out);
        while let Ok(command) = commands.try_recv() {
            handler.on_command(command, clock.now(), &mut out);
        }
        for event in out.events.drain(..) {
            let _ = queue.send(event.into());
        }
    }

    /// Closes the sending side and discards pending input, so that the peer can still read what was written.
    fn shut_down_write(&self) {
        let _ = self.io.inner().shutdown(Shutdown::Write);
        let discard_chunk =
            |buffer: &mut Vec<u8>| matches!(self.io.inner().read(buffer), Ok(count) if count > 0);
        READ_BUFFER.with_borrow_mut(|buffer| {
            for _ in 0..MAX_LINGERING_BYTES / MAX_READ_BYTES {
                if !discard_chunk(buffer) {
                    break;
                }
            }
        });
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
