//! Accepts clients. What the kernel has accepted counts as accepted, so there is no limit here: the owner closes idle
//! connections instead.

use super::clock::Clock;
use super::connection::{self, ConnectionHandle, ConnectionHandler};
use super::event_registration;
use super::memory_budget::MemoryBudget;
use super::socket_errors::{self, NextStep};
use may::io::{CoIo, WaitIo, WaitIoWaker};
use std::io;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Sender;
use std::sync::Arc;
use std::time::Duration;

/// What a listener reports to its owner.
pub enum AcceptEvent<C> {
    /// A client has connected, with an id of its own.
    Client(u32, ConnectionHandle<C>),
    /// A client could not be accepted.
    Failed(io::Error),
    /// No more clients are accepted.
    Closed,
}

/// A listening socket and the flags by which any thread controls its coroutine.
pub struct ListenerHandle {
    io: Arc<CoIo<TcpListener>>,
    is_closing: Arc<AtomicBool>,
    /// Another process accepts from the same socket.
    is_paused: Arc<AtomicBool>,
    waker: WaitIoWaker,
}

impl ListenerHandle {
    /// Accepts again after a failure.
    pub fn retry(&self) {
        self.waker.wakeup();
    }

    /// A descriptor of the same socket, for another process.
    ///
    /// # Errors
    /// If the descriptor can't be duplicated.
    pub fn descriptor(&self) -> io::Result<TcpListener> {
        self.io.inner().try_clone()
    }

    /// Stops accepting, or starts again. Clients that the kernel has accepted meanwhile are left to whichever process
    /// accepts first.
    pub fn set_paused(&self, is_paused: bool) {
        self.is_paused.store(is_paused, Ordering::Release);
        self.waker.wakeup();
    }

    /// Accepts those that the kernel has accepted and then ends.
    pub fn close(&self) {
        self.is_closing.store(true, Ordering::Release);
        self.waker.wakeup();
    }
}

struct Acceptor<M, F> {
    io: Arc<CoIo<TcpListener>>,
    is_closing: Arc<AtomicBool>,
    is_paused: Arc<AtomicBool>,
    queue: Sender<M>,
    clock: Clock,
    budget: MemoryBudget,
    handler: F,
    last_id: u32,
    /// Accepted, but not registered with the event loop yet: the kernel had no memory for it.
    unregistered: Option<TcpStream>,
}

/// Pause before another attempt after a failure that isn't a lack of descriptors: clients in the kernel's queue wait for it.
const REPEAT_PAUSE: Duration = Duration::from_millis(5);

/// What follows an attempt to accept.
enum Flow {
    Wait,
    Pause,
    Continue,
    End,
}

impl<M, F> Acceptor<M, F> {
    fn run<H>(mut self)
    where
        H: ConnectionHandler,
        M: From<H::Event> + From<AcceptEvent<H::Command>> + Send + 'static,
        F: Fn(u32) -> H,
    {
        loop {
            match self.accept::<H>() {
                Flow::Wait => {
                    self.io.wait_io();
                }
                Flow::Pause => may::coroutine::sleep(REPEAT_PAUSE),
                Flow::Continue => {}
                Flow::End => break,
            }
        }
        let _ = self.queue.send(AcceptEvent::Closed.into());
    }

    fn accept<H>(&mut self) -> Flow
    where
        H: ConnectionHandler,
        M: From<H::Event> + From<AcceptEvent<H::Command>> + Send + 'static,
        F: Fn(u32) -> H,
    {
        if let Some(stream) = self.unregistered.take() {
            return self.serve(stream);
        }
        let is_closing = self.is_closing.load(Ordering::Acquire);
        if self.is_paused.load(Ordering::Acquire) {
            if !is_closing {
                return Flow::Wait;
            }
            // Those who wait are the other process's to accept.
            event_registration::unregister(self.io.inner());
            return Flow::End;
        }
        match self.io.inner().accept() {
            Ok((stream, _)) => self.serve(stream),
            Err(e) => match socket_errors::accept(&e).next {
                NextStep::Wait if is_closing => Flow::End,
                NextStep::Wait => Flow::Wait,
                NextStep::Retry => Flow::Continue,
                // Another attempt at once would only spin.
                NextStep::RetryLater | NextStep::GiveUp => self.report_failure::<H::Command>(e),
            },
        }
    }

    fn report_failure<C>(&mut self, error: io::Error) -> Flow
    where
        M: From<AcceptEvent<C>>,
    {
        // The owner has a descriptor closed, and asks for another attempt then.
        let waits_for_owner = socket_errors::is_out_of_descriptors(&error);
        let _ = self.queue.send(AcceptEvent::Failed(error).into());
        if waits_for_owner {
            Flow::Wait
        } else {
            Flow::Pause
        }
    }

    /// Starts the connection of a client. One that can't be registered is kept, and registered with the next attempt: it
    /// is accepted, so it may not be closed without an answer.
    fn serve<H>(&mut self, stream: TcpStream) -> Flow
    where
        H: ConnectionHandler,
        M: From<H::Event> + From<AcceptEvent<H::Command>> + Send + 'static,
        F: Fn(u32) -> H,
    {
        let io = match connection::register(stream) {
            Ok(io) => io,
            Err(error) => {
                let reported = io::Error::other(error.to_string());
                self.unregistered = Some(error.into_data());
                return self.report_failure::<H::Command>(reported);
            }
        };
        self.last_id = self.last_id.wrapping_add(1);
        let id = self.last_id;
        let announce = |handle| {
            let _ = self.queue.send(AcceptEvent::Client(id, handle).into());
        };
        let context = (self.clock, &self.budget);
        let handler = (self.handler)(id);
        connection::spawn(io, true, handler, &self.queue, context, Vec::new(), announce);
        Flow::Continue
    }
}

/// A listener that is registered with the event loop.
pub struct RegisteredListener(Arc<CoIo<TcpListener>>);

/// Registers the listener with the event loop, and takes it. After a failure it is still there, for another attempt.
///
/// # Errors
/// If the kernel has no memory for it, the user watches as many descriptors as the host allows, or there is no listener.
pub fn register(listener: &mut Option<TcpListener>) -> io::Result<RegisteredListener> {
    let unregistered = listener.as_ref().ok_or(io::ErrorKind::NotConnected)?;
    let registered = CoIo::new(unregistered.try_clone()?)?;
    *listener = None;
    Ok(RegisteredListener(Arc::new(registered)))
}

/// Starts to accept clients, each with a handler of its own. With `is_paused` another process accepts from the same
/// socket at first.
pub fn listen<H, M>(
    listener: RegisteredListener,
    is_paused: bool,
    queue: Sender<M>,
    (clock, budget): (Clock, MemoryBudget),
    handler: impl Fn(u32) -> H + Send + 'static,
) -> ListenerHandle
where
    H: ConnectionHandler,
    M: From<H::Event> + From<AcceptEvent<H::Command>> + Send + 'static,
{
    let RegisteredListener(io) = listener;
    let is_closing = Arc::new(AtomicBool::new(false));
    let is_paused = Arc::new(AtomicBool::new(is_paused));
    let handle = ListenerHandle {
        io: io.clone(),
        is_closing: is_closing.clone(),
        is_paused: is_paused.clone(),
        waker: io.waker(),
    };
    let acceptor = Acceptor {
        io,
        is_closing,
        is_paused,
        queue,
        clock,
        budget,
        handler,
        last_id: 0,
        unregistered: None,
    };
    may::go!(move || acceptor.run::<H>());
    handle
}
