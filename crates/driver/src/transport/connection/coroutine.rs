//! The coroutine of a connection.

use super::{ConnectionHandle, ConnectionHandler, ConnectionOutput};
use crate::transport::clock::Clock;
use crate::transport::event_registration;
use crate::transport::memory_budget::{MemoryBudget, MemoryReservation};
use crate::transport::socket_errors::{self, NextStep, SocketError};
use asterlatch::time::Timestamp;
use may::io::{CoIo, WaitIo};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::cell::RefCell;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender, TryRecvError};
use std::time::Duration;

/// Most bytes of one read.
const READ_SIZE: usize = 16 * 1024;
/// Buffered bytes that a connection keeps memory for and that don't count against the memory budget.
const UNCOUNTED_BYTES: usize = 1024;
/// Steps in a row after which a connection lets others run, however much its peer sends.
const STEPS_IN_A_ROW: usize = 32;
/// Bytes that a peer may still send after our end of a connection was closed. They are read and dropped: a close over
/// unread bytes resets the connection, and the peer loses what it has not read yet.
const MOST_LINGERING_BYTES: usize = 256 * 1024;
/// Pause before a call is made again that failed for a lack which the kernel doesn't report the end of.
const REPEAT_PAUSE: Duration = Duration::from_millis(1);

thread_local! {
    /// Buffer of reads, used by one connection at a time: a buffer for each connection would stay with the idle ones,
    /// which are the most.
    static READ_BUFFER: RefCell<Vec<u8>> = RefCell::new(vec![0; READ_SIZE]);
}

struct Connection<H: ConnectionHandler, M> {
    io: CoIo<TcpStream>,
    is_open: bool,
    handler: H,
    commands: Receiver<H::Command>,
    queue: Sender<M>,
    clock: Clock,
    input: Vec<u8>,
    /// When the last of `input` was read.
    read_at: Timestamp,
    out: ConnectionOutput<H::Event>,
    has_unreported_writes: bool,
    /// The peer has closed its side, and all before that was read.
    is_input_ended: bool,
    /// Bytes dropped since our side was closed.
    lingering: Option<usize>,
    /// For the bytes of `input` and `out`.
    reservation: MemoryReservation,
}

/// What follows a step.
#[derive(Clone, Copy, PartialEq)]
enum Flow {
    /// Wait for the socket or a command.
    Wait,
    /// Take another step at once.
    Continue,
    /// Take another step after [`REPEAT_PAUSE`].
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
    /// Sends the events; the owner is gone only when the process ends.
    fn report_events(&mut self) {
        for event in self.out.events.drain(..) {
            let _ = self.queue.send(event.into());
        }
    }

    fn connect(&mut self) -> Flow {
        match self.io.inner().take_error() {
            Ok(None) => {}
            Ok(Some(_)) => return Flow::Close,
            Err(e) => return socket_errors::socket_option(&e).into(),
        }
        match self.io.inner().peer_addr() {
            Ok(_) => {
                self.is_open = true;
                self.handler.on_open(&mut self.out);
                Flow::Continue
            }
            Err(e) if e.kind() == ErrorKind::NotConnected => Flow::Wait,
            Err(e) => socket_errors::socket_option(&e).into(),
        }
    }

    /// Whether more may be read. Not while a peer doesn't read its answers: it could fill the memory.
    fn wants_input(&self) -> bool {
        self.out.bytes.len() <= READ_SIZE && self.handler.wants_input(self.input.len())
    }

    fn read(&mut self) -> Flow {
        if self.is_input_ended || !self.wants_input() {
            return self.watch_unread_peer();
        }
        match self.read_into_input() {
            Ok(0) => {
                self.handler.on_peer_closed(&self.input, &mut self.out);
                self.is_input_ended = self.handler.on_input_ended(true, &mut self.out);
                if self.is_input_ended {
                    Flow::Wait
                } else {
                    Flow::Close
                }
            }
            Ok(_) => {
                self.read_at = self.clock.now();
                self.handler
                    .on_input(&mut self.input, self.read_at, &mut self.out);
                Flow::Continue
            }
            Err(e) => {
                let flow = socket_errors::receive(&e).into();
                if flow == Flow::Wait {
                    self.handler.on_all_read(&mut self.out);
                }
                flow
            }
        }
    }

    fn read_into_input(&mut self) -> io::Result<usize> {
        READ_BUFFER.with_borrow_mut(|buffer| {
            let count = if self.handler.is_journaled() {
                // A process that is killed must not take along what it has read.
                let count = self.io.inner().peek(buffer)?;
                self.handler.before_read(&buffer[..count]);
                self.io.inner().read(&mut buffer[..count])?
            } else {
                self.io.inner().read(buffer)?
            };
            self.input.extend(&buffer[..count]);
            Ok(count)
        })
    }

    /// Detects that a client leaves while it is not read, whatever is unread before that.
    fn watch_unread_peer(&mut self) -> Flow {
        if !self.handler.is_server() {
            return Flow::Wait;
        }
        let Some(events) = self.poll_peer() else {
            // The kernel has no memory for the answer.
            return Flow::Pause;
        };
        if events.intersects(PollFlags::HUP | PollFlags::ERR) {
            return Flow::Close;
        }
        let closes_its_side = events.contains(PollFlags::RDHUP) && !self.is_input_ended;
        if closes_its_side && !self.handler.on_input_ended(false, &mut self.out) {
            return Flow::Close;
        }
        Flow::Wait
    }

    /// Ends of the connection that the kernel knows of; `None` if it could not be asked.
    fn poll_peer(&self) -> Option<PollFlags> {
        let mut fds = [PollFd::new(self.io.inner(), PollFlags::RDHUP)];
        let at_once = Timespec::default();
        poll(&mut fds, Some(&at_once)).ok()?;
        Some(fds[0].revents())
    }

    /// Closes our side. What was written before is the peer's to read.
    fn half_close(&mut self) -> Flow {
        if self.io.inner().shutdown(Shutdown::Write).is_err() {
            return Flow::Close;
        }
        self.lingering = Some(0);
        self.input = Vec::new();
        self.reservation.resize(0);
        self.handler.on_half_closed(&mut self.out);
        self.report_events();
        Flow::Continue
    }

    /// Drops what comes after our side was closed, until the peer closes its own.
    fn drop_lingering(&mut self, dropped: usize) -> Flow {
        let read = READ_BUFFER.with_borrow_mut(|buffer| self.io.inner().read(buffer));
        let is_released = matches!(self.commands.try_recv(), Err(TryRecvError::Disconnected));
        match read {
            Ok(count) if count > 0 && dropped + count <= MOST_LINGERING_BYTES => {
                self.lingering = Some(dropped + count);
                Flow::Continue
            }
            Ok(_) => Flow::Close,
            Err(e) => match socket_errors::receive(&e).into() {
                Flow::Wait if is_released => Flow::Close,
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
                }
                Err(e) => match socket_errors::send(&e).into() {
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

    /// Returns unneeded buffer memory and reserves memory for the buffered bytes; returns whether the budget has it.
    fn reserve_memory(&mut self) -> bool {
        for bytes in [&mut self.input, &mut self.out.bytes] {
            if bytes.capacity() > UNCOUNTED_BYTES && bytes.len() <= bytes.capacity() / 4 {
                bytes.shrink_to(2 * bytes.len());
            }
        }
        let buffered = (self.input.len() + self.out.bytes.len()).saturating_sub(UNCOUNTED_BYTES);
        // An answer that was begun is never cut off; while many are read slowly, statements find no memory instead. Nor is
        // a connection closed that waits for an answer: no more is read ahead of that than `wants_input` allows.
        if self.out.bytes.is_empty() && self.handler.may_be_closed() {
            return self.reservation.resize(buffered);
        }
        self.reservation.force_resize(buffered);
        true
    }

    /// Handles all that the socket and the owner have. Reading goes before commands, so that what is written to a
    /// connection whose end was already received is known never to have been sent.
    fn step(&mut self) -> Flow {
        if let Some(dropped) = self.lingering {
            return self.drop_lingering(dropped);
        }
        let wanted_input = self.wants_input();
        let flow = if self.is_open { self.read() } else { self.connect() };
        let flow = self.take_commands(flow);
        let mut flow = self.write_and_reserve(flow);
        // The kernel reports bytes only once: those left with it are asked for as soon as they are wanted.
        if !wanted_input && self.wants_input() && flow == Flow::Wait {
            flow = Flow::Continue;
        }
        self.report_events();
        self.finish_step(flow)
    }

    fn take_commands(&mut self, mut flow: Flow) -> Flow {
        while flow != Flow::Close {
            match self.commands.try_recv() {
                Ok(command) => {
                    self.handler.on_command(command, self.clock.now(), &mut self.out);
                    self.handler
                        .on_input(&mut self.input, self.read_at, &mut self.out);
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
        let mut steps = 0;
        loop {
            match self.step() {
                Flow::Wait => {
                    self.io.wait_io();
                    steps = 0;
                }
                // A coroutine that yields is run again before the sockets are polled; only a new one waits.
                Flow::Continue if steps == STEPS_IN_A_ROW => {
                    may::go!(move || self.run());
                    return;
                }
                Flow::Continue => steps += 1,
                Flow::Pause => may::coroutine::sleep(REPEAT_PAUSE),
                Flow::Close => break,
                Flow::HandOver => return self.hand_over(),
            }
        }
        self.close();
    }

    /// Continues with a second descriptor of the socket, while the first one is unregistered and closed.
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
        if self.is_open && self.lingering.is_none() {
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
            // One whose peer is gone can't be shut down, and needn't.
            let _ = io.inner().shutdown(Shutdown::Both);
        }
        // Closed before its end is reported, so that no more descriptors are open than the owner counts.
        close_socket(io);
        handler.on_closed(clock.now(), &mut out);
        while let Ok(command) = commands.try_recv() {
            handler.on_command(command, clock.now(), &mut out);
        }
        for event in out.events.drain(..) {
            let _ = queue.send(event.into());
        }
    }

    /// Whoever dropped the handle wants no more of it, but the peer may still read what was written.
    fn shut_down_write(&self) {
        let _ = self.io.inner().shutdown(Shutdown::Write);
        let drop_some = |buffer: &mut Vec<u8>| matches!(self.io.inner().read(buffer), Ok(count) if count > 0);
        READ_BUFFER.with_borrow_mut(|buffer| {
            for _ in 0..MOST_LINGERING_BYTES / READ_SIZE {
                if !drop_some(buffer) {
                    break;
                }
            }
        });
    }
}

/// Runs a handler on a registered connection that is established (`is_open`) or being established, and from which `input`
/// was read that no handler has consumed yet. `announce` receives the handle before the first event is sent.
pub(crate) fn spawn<H, M>(
    io: CoIo<TcpStream>,
    is_open: bool,
    mut handler: H,
    queue: &Sender<M>,
    (clock, budget): (Clock, &MemoryBudget),
    mut input: Vec<u8>,
    announce: impl FnOnce(ConnectionHandle<H::Command>),
) where
    H: ConnectionHandler,
    M: From<H::Event> + Send + 'static,
{
    // Where it fails for good small writes leave later, which is better than a connection that is closed.
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
        is_input_ended: false,
        lingering: None,
        reservation: budget.empty_reservation(),
    };
    announce(ConnectionHandle {
        commands: Some(sender),
        waker: Some(waker),
    });
    may::go!(move || connection.run());
}

fn close_socket(io: CoIo<TcpStream>) {
    let _registration = event_registration::lock();
    drop(io);
}
