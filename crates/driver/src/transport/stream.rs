//! One coroutine a connection: it waits for the socket and for commands alike, and gives both to a `Dialogue`.
//! It keeps no time: whoever holds the `Line` says when to end it.

use super::clock::Clock;
use super::memory_budget::{MemoryBudget, MemoryReservation};
use asterlatch::time::Timestamp;
use may::io::{CoIo, WaitIo, WaitIoWaker};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use socket2::{Domain, Protocol, Socket, Type};
use std::cell::RefCell;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender, TryRecvError};

/// Read at once.
const CHUNK: usize = 16 * 1024;
/// Bytes lying at a connection that don't count, and that it keeps memory for.
const SMALL: usize = 1024;
/// Looks in a row after which a connection lets the others have theirs, however much its peer sends.
const TURNS: usize = 32;

/// Bytes that a peer may still send behind our end of a connection: they are read and dropped, for a close over unread ones
/// resets the connection, and takes along what the peer has not read yet.
const BEHIND: usize = 256 * 1024;

/// What a dialogue wants done: bytes to write, news for the event loop, the connection closed once they are out.
pub struct Outbox<N> {
    pub bytes: Vec<u8>,
    pub notices: Vec<N>,
    pub close: bool,
    /// The dialogue could end here, unless more lies at the socket: a look there, then `caught_up`.
    pub look: bool,
    /// The connection goes to another process once all bytes are out, with what lies unused.
    pub surrender: bool,
}

impl<N> Default for Outbox<N> {
    fn default() -> Self {
        Outbox {
            bytes: Vec::new(),
            notices: Vec::new(),
            close: false,
            look: false,
            surrender: false,
        }
    }
}

/// What is spoken on a connection, as a function of what comes in.
pub trait Dialogue: Send + 'static {
    type Command: Send + 'static;
    type Notice: Send + 'static;
    /// It runs on this socket.
    fn stands(&mut self, _stream: &TcpStream) {}
    /// Another process holds the same socket: a close here alone ends nothing.
    fn is_shared(&self) -> bool {
        false
    }
    /// Whether what is read is to be told before.
    fn is_watched(&self) -> bool {
        false
    }
    /// These bytes lie at the socket, and are read next.
    fn reads(&mut self, _bytes: &[u8]) {}
    /// The connection stands.
    fn opened(&mut self, _out: &mut Outbox<Self::Notice>) {}
    /// Takes what it can from the front of `input`, which arrived by `at`.
    fn heard(&mut self, input: &mut Vec<u8>, at: Timestamp, out: &mut Outbox<Self::Notice>);
    fn told(&mut self, command: Self::Command, at: Timestamp, out: &mut Outbox<Self::Notice>);
    /// The peer has ended its side, and did not reset the connection: nothing comes behind what lies unused.
    fn peer_ended(&mut self, _input: &[u8], _out: &mut Outbox<Self::Notice>) {}
    /// All that lay at the socket was heard.
    fn caught_up(&mut self, _out: &mut Outbox<Self::Notice>) {}
    /// The peer asks, and is answered here. Where we end the connection it is to have all that was said: our side is shut
    /// then, and what still comes is dropped until the peer ends its own, or whoever holds the line lets go. Where the peer
    /// has gone that is heard of though what it sent is not read: it wants no answer any more.
    fn is_asked(&self) -> bool {
        false
    }
    /// Our side is shut.
    fn half_closed(&mut self, _out: &mut Outbox<Self::Notice>) {}
    /// Whether it may end for want of room: not while the peer is owed an answer.
    fn may_end(&self) -> bool {
        true
    }
    /// All bytes put out so far are with the kernel.
    fn written(&mut self, _out: &mut Outbox<Self::Notice>) {}
    /// The connection is over, whoever ended it. Commands may still be told after that.
    fn ended(&mut self, at: Timestamp, out: &mut Outbox<Self::Notice>);
    /// What lies here is more than there is room for, so the connection ends.
    fn crowded(&mut self, _out: &mut Outbox<Self::Notice>) {}
    /// The connection was given up, with what lies unused: the other holder of its socket goes on with it.
    fn surrendered(&mut self, _stream: TcpStream, _input: Vec<u8>, _out: &mut Outbox<Self::Notice>) {}
    /// Whether more may be read while this much lies unused.
    fn hungry(&self, unused: usize) -> bool;
}

/// The event loop's end of a connection, which ends when this is dropped.
pub struct Line<C> {
    commands: Option<Sender<C>>,
    /// None where nothing but the commands is wanted, for there is no socket behind it.
    waker: Option<WaitIoWaker>,
}

impl<C> Line<C> {
    /// A line to whoever takes the commands itself.
    pub fn to(commands: Sender<C>) -> Line<C> {
        Line {
            commands: Some(commands),
            waker: None,
        }
    }

    fn wake(&self) {
        if let Some(waker) = &self.waker {
            waker.wakeup();
        }
    }

    /// Ends the connection, as dropping this does.
    pub fn hang_up(&mut self) {
        self.commands = None;
        self.wake();
    }

    /// A command to a connection that has ended is lost, which is harmless: its end has been told.
    pub fn tell(&self, command: C) {
        if self.commands.as_ref().is_some_and(|c| c.send(command).is_ok()) {
            self.wake();
        }
    }
}

impl<C> Drop for Line<C> {
    fn drop(&mut self) {
        self.hang_up();
    }
}

thread_local! {
    /// Where bytes are read to, by one connection at a time: one of its own for each would stay with those that
    /// sit idle, and they are the most.
    static READ: RefCell<Vec<u8>> = RefCell::new(vec![0; CHUNK]);
}

struct Connection<D: Dialogue, M> {
    io: CoIo<TcpStream>,
    up: bool,
    dialogue: D,
    commands: Receiver<D::Command>,
    queue: Sender<M>,
    clock: Clock,
    input: Vec<u8>,
    /// When the last of `input` came.
    read_at: Timestamp,
    out: Outbox<D::Notice>,
    unwritten: bool,
    /// Our side is shut, and so many bytes have come since.
    behind: Option<usize>,
    /// For what lies in `input` and `out`.
    taken: MemoryReservation,
}

enum Flow {
    Wait,
    Again,
    End,
    Surrender,
}

impl<D: Dialogue, M: From<D::Notice> + Send + 'static> Connection<D, M> {
    /// The event loop is gone only when the process ends.
    fn report(&mut self) {
        for notice in self.out.notices.drain(..) {
            let _ = self.queue.send(notice.into());
        }
    }

    fn connect(&mut self) -> Flow {
        match self.io.inner().take_error() {
            Ok(None) => {}
            _ => return Flow::End,
        }
        match self.io.inner().peer_addr() {
            Ok(_) => {
                self.up = true;
                self.dialogue.opened(&mut self.out);
                Flow::Again
            }
            Err(e) if e.kind() == ErrorKind::NotConnected => Flow::Wait,
            Err(_) => Flow::End,
        }
    }

    /// Whether more may be read. Not while a peer leaves unread what it has asked for: it could fill the memory.
    fn hungry(&self) -> bool {
        self.out.bytes.len() <= CHUNK && self.dialogue.hungry(self.input.len())
    }

    fn read(&mut self) -> Flow {
        if !self.hungry() {
            let gone = self.dialogue.is_asked() && self.has_hung_up();
            return if gone { Flow::End } else { Flow::Wait };
        }
        let watched = self.dialogue.is_watched();
        let got = READ.with_borrow_mut(|buffer| {
            let got = match watched {
                // A killed process must not take along what it has read.
                true => self.io.inner().peek(buffer).and_then(|n| {
                    self.dialogue.reads(&buffer[..n]);
                    self.io.inner().read(&mut buffer[..n])
                }),
                false => self.io.inner().read(buffer),
            };
            self.input.extend(&buffer[..*got.as_ref().unwrap_or(&0)]);
            got
        });
        match got {
            Ok(0) => {
                self.dialogue.peer_ended(&self.input, &mut self.out);
                Flow::End
            }
            Ok(_) => {
                self.read_at = self.clock.now();
                self.dialogue.heard(&mut self.input, self.read_at, &mut self.out);
                Flow::Again
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                self.dialogue.caught_up(&mut self.out);
                Flow::Wait
            }
            Err(e) if e.kind() == ErrorKind::Interrupted => Flow::Again,
            Err(_) => Flow::End,
        }
    }

    /// The peer has closed or reset the connection, whatever lies unread before that.
    fn has_hung_up(&self) -> bool {
        let mut fds = [PollFd::new(self.io.inner(), PollFlags::RDHUP)];
        let at_once = Timespec::default();
        let told = poll(&mut fds, Some(&at_once)).map_or(PollFlags::empty(), |_| fds[0].revents());
        told.intersects(PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR)
    }

    /// Ends our side. What was written before is the peer's to read.
    fn half_close(&mut self) -> Flow {
        if self.io.inner().shutdown(Shutdown::Write).is_err() {
            return Flow::End;
        }
        self.behind = Some(0);
        self.input = Vec::new();
        self.taken.resize(0);
        self.dialogue.half_closed(&mut self.out);
        self.report();
        Flow::Again
    }

    /// Drops what comes behind our end, up to the peer's.
    fn drop_behind(&mut self, behind: usize) -> Flow {
        let got = READ.with_borrow_mut(|buffer| self.io.inner().read(buffer));
        let let_go = matches!(self.commands.try_recv(), Err(TryRecvError::Disconnected));
        match got {
            Ok(n) if n > 0 && behind + n <= BEHIND => {
                self.behind = Some(behind + n);
                Flow::Again
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock && !let_go => Flow::Wait,
            Err(e) if e.kind() == ErrorKind::Interrupted => Flow::Again,
            _ => Flow::End,
        }
    }

    fn write(&mut self) -> Flow {
        self.unwritten |= !self.out.bytes.is_empty();
        while !self.out.bytes.is_empty() {
            match self.io.inner().write(&self.out.bytes) {
                Ok(n) => drop(self.out.bytes.drain(..n)),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Flow::Wait,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Flow::End,
            }
        }
        if std::mem::take(&mut self.unwritten) {
            self.dialogue.written(&mut self.out);
        }
        Flow::Wait
    }

    /// Takes room for what lies here, and gives memory back that is not needed.
    fn has_room(&mut self) -> bool {
        for bytes in [&mut self.input, &mut self.out.bytes] {
            if bytes.capacity() > SMALL && bytes.len() <= bytes.capacity() / 4 {
                bytes.shrink_to(2 * bytes.len());
            }
        }
        let lying = (self.input.len() + self.out.bytes.len()).saturating_sub(SMALL);
        // An answer that was begun is never cut off. While many are read slowly, statements find no room instead. Nor does
        // one end that is owed an answer: no more is read ahead of that than `hungry` allows.
        if self.out.bytes.is_empty() && self.dialogue.may_end() {
            return self.taken.resize(lying);
        }
        self.taken.force_resize(lying);
        true
    }

    /// One look at everything. Reading goes before commands, so that what is written to a connection whose
    /// end already lies here is known never to have gone out.
    fn turn(&mut self) -> Flow {
        if let Some(behind) = self.behind {
            return self.drop_behind(behind);
        }
        let was_hungry = self.hungry();
        let mut flow = if self.up { self.read() } else { self.connect() };
        while !matches!(flow, Flow::End) {
            match self.commands.try_recv() {
                Ok(command) => {
                    self.dialogue.told(command, self.clock.now(), &mut self.out);
                    self.dialogue.heard(&mut self.input, self.read_at, &mut self.out);
                }
                Err(TryRecvError::Empty) => break,
                Err(TryRecvError::Disconnected) => flow = Flow::End,
            }
        }
        if self.up && !matches!(flow, Flow::End) && matches!(self.write(), Flow::End) {
            flow = Flow::End;
        }
        if !matches!(flow, Flow::End) && !self.has_room() {
            self.dialogue.crowded(&mut self.out);
            if !self.out.close || matches!(self.write(), Flow::End) {
                flow = Flow::End;
            }
        }
        // The kernel tells of bytes only once: those left with it are asked for as soon as they are wanted.
        if !was_hungry && self.hungry() && matches!(flow, Flow::Wait) {
            flow = Flow::Again;
        }
        self.report();
        if self.out.close && (self.out.bytes.is_empty() || !self.up) && !matches!(flow, Flow::End) {
            return if self.up && self.dialogue.is_asked() {
                self.half_close()
            } else {
                Flow::End
            };
        }
        if std::mem::take(&mut self.out.look) && matches!(flow, Flow::Wait) {
            flow = Flow::Again;
        }
        let given_up = self.out.surrender && self.out.bytes.is_empty();
        if given_up && !matches!(flow, Flow::End) {
            return Flow::Surrender;
        }
        flow
    }

    fn run(mut self) {
        let mut turns = 0;
        loop {
            match self.turn() {
                Flow::Wait => {
                    self.io.wait_io();
                    turns = 0;
                }
                // A coroutine that yields is run again before the sockets are looked at; only a new one waits.
                Flow::Again if turns == TURNS => {
                    may::go!(move || self.run());
                    return;
                }
                Flow::Again => turns += 1,
                Flow::End => break,
                Flow::Surrender => return self.surrender(),
            }
        }
        self.end();
    }

    /// A second descriptor of the socket goes on; the first one is let go here, and with it the event loop's word of it.
    fn surrender(mut self) {
        match self.io.inner().try_clone() {
            Ok(stream) => {
                let input = std::mem::take(&mut self.input);
                super::forget(self.io.inner());
                close(self.io);
                self.dialogue.surrendered(stream, input, &mut self.out);
                for notice in self.out.notices.drain(..) {
                    let _ = self.queue.send(notice.into());
                }
            }
            Err(_) => self.end(),
        }
    }

    fn end(self) {
        if self.up && self.behind.is_none() {
            // Whoever let go of the line wants no more of it, but the peer may still read what was written.
            let _ = self.io.inner().shutdown(Shutdown::Write);
            let drop_some = |buffer: &mut Vec<u8>| matches!(self.io.inner().read(buffer), Ok(n) if n > 0);
            let most = BEHIND / CHUNK;
            READ.with_borrow_mut(|buffer| (0..most).take_while(|_| drop_some(buffer)).count());
        }
        let Connection {
            io,
            mut dialogue,
            commands,
            queue,
            clock,
            mut out,
            ..
        } = self;
        if dialogue.is_shared() {
            super::forget(io.inner());
            // One whose peer is gone can't be shut down, and needn't.
            let _ = io.inner().shutdown(Shutdown::Both);
        }
        // Closed before its end is told, so that no more descriptors are open than the event loop counts.
        close(io);
        dialogue.ended(clock.now(), &mut out);
        while let Ok(command) = commands.try_recv() {
            dialogue.told(command, clock.now(), &mut out);
        }
        for notice in out.notices.drain(..) {
            let _ = queue.send(notice.into());
        }
    }
}

/// Runs `dialogue` on a connection that stands (`up`) or is coming up.
pub fn run<D, M>(
    stream: TcpStream,
    up: bool,
    dialogue: D,
    queue: &Sender<M>,
    (clock, room): (Clock, &MemoryBudget),
    announce: impl FnOnce(Line<D::Command>),
) -> io::Result<()>
where
    D: Dialogue,
    M: From<D::Notice> + Send + 'static,
{
    run_on(stream, up, dialogue, queue, (clock, room), Vec::new(), announce)
}

/// Goes on with a connection from which bytes were read that nobody has taken yet.
pub fn run_on<D, M>(
    stream: TcpStream,
    up: bool,
    mut dialogue: D,
    queue: &Sender<M>,
    (clock, room): (Clock, &MemoryBudget),
    mut input: Vec<u8>,
    announce: impl FnOnce(Line<D::Command>),
) -> io::Result<()>
where
    D: Dialogue,
    M: From<D::Notice> + Send + 'static,
{
    stream.set_nodelay(true)?;
    dialogue.stands(&stream);
    let alone = super::numbers();
    let io = CoIo::new(stream).map_err(|_| io::Error::other("not registered with the event loop"))?;
    drop(alone);
    let (sender, commands) = channel();
    let waker = io.waker();
    let mut out = Outbox::default();
    if up {
        dialogue.opened(&mut out);
    }
    if !input.is_empty() {
        dialogue.heard(&mut input, clock.now(), &mut out);
    }
    let connection = Connection {
        io,
        up,
        dialogue,
        commands,
        queue: queue.clone(),
        clock,
        input,
        read_at: clock.now(),
        out,
        unwritten: false,
        behind: None,
        taken: room.empty_reservation(),
    };
    // The event loop must know the line before the first news from it.
    announce(Line {
        commands: Some(sender),
        waker: Some(waker),
    });
    may::go!(move || connection.run());
    Ok(())
}

fn close(io: CoIo<TcpStream>) {
    let _alone = super::numbers();
    drop(io);
}

/// Opens a connection; whether it comes up is told by its dialogue.
pub fn dial<D, M>(
    address: SocketAddr,
    dialogue: D,
    queue: &Sender<M>,
    (clock, room): (Clock, &MemoryBudget),
) -> io::Result<Line<D::Command>>
where
    D: Dialogue,
    M: From<D::Notice> + Send + 'static,
{
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    match socket.connect(&address.into()) {
        Err(e) if e.kind() != ErrorKind::WouldBlock && e.raw_os_error() != Some(IN_PROGRESS) => {
            return Err(e)
        }
        _ => {}
    }
    hold(socket.into(), false, dialogue, queue, (clock, room), Vec::new())
}

/// As `run_on`, for whoever holds the line from the first.
pub fn hold<D, M>(
    stream: TcpStream,
    up: bool,
    dialogue: D,
    queue: &Sender<M>,
    place: (Clock, &MemoryBudget),
    input: Vec<u8>,
) -> io::Result<Line<D::Command>>
where
    D: Dialogue,
    M: From<D::Notice> + Send + 'static,
{
    let mut line = None;
    run_on(stream, up, dialogue, queue, place, input, |l| line = Some(l))?;
    line.ok_or_else(|| io::Error::other("no line announced"))
}

/// Linux's EINPROGRESS, which std has no kind for.
const IN_PROGRESS: i32 = 115;
