//! Accepts clients. Connections that the kernel has completed count as accepted, so the listener applies no
//! limit: the owner closes idle connections instead.

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

/// An event from a listener to its owner.
pub enum AcceptEvent<C> {
    /// A client has connected: its id, which is unique for this listener, and the handle of its connection.
    Client(u32, ConnectionHandle<C>),
    /// Accepting a client failed; the listener stays open.
    Failed(io::Error),
    /// The listener has ended; no further clients are accepted.
    Closed,
}

/// Controls a listening socket and its coroutine from any thread.
pub struct ListenerHandle {
    io: Arc<CoIo<TcpListener>>,
    is_closing: Arc<AtomicBool>,
    /// Set while another process accepts from the same socket.
    is_paused: Arc<AtomicBool>,
    waker: WaitIoWaker,
}

impl ListenerHandle {
    /// Retries after a failure to accept.
    pub fn retry(&self) {
        self.waker.wakeup();
    }

    /// Duplicates the socket's descriptor for another process.
    ///
    /// # Errors
    /// If the descriptor cannot be duplicated.
    pub fn descriptor(&self) -> io::Result<TcpListener> {
        self.io.inner().try_clone()
    }

    /// Pauses or resumes accepting. Clients in the kernel's queue go to whichever process accepts them first.
    pub fn set_paused(&self, is_paused: bool) {
        self.is_paused.store(is_paused, Ordering::Release);
        self.waker.wakeup();
    }

    /// Accepts the clients in the kernel's queue and then ends the listener. A paused listener ends
    /// immediately.
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
    /// An accepted connection whose registration with the event loop failed and will be retried.
    unregistered: Option<TcpStream>,
}

/// Delay of a retry after failures other than a lack of descriptors; queued clients wait for it.
const RETRY_DELAY: Duration = Duration::from_millis(5);

/// How the coroutine proceeds after an attempt to accept.
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
                Flow::Pause => may::coroutine::sleep(RETRY_DELAY),
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
            // The other process accepts the clients in the queue.
            event_registration::unregister(self.io.inner());
            return Flow::End;
        }
        match self.io.inner().accept() {
            Ok((stream, _)) => self.serve(stream),
            Err(error) => match socket_errors::accept(&error).next {
                NextStep::Wait if is_closing => Flow::End,
                NextStep::Wait => Flow::Wait,
                NextStep::Retry => Flow::Continue,
                // An immediate retry would cause a busy loop.
                NextStep::RetryLater | NextStep::GiveUp => self.report_failure::<H::Command>(error),
            },
        }
    }

    fn report_failure<C>(&mut self, error: io::Error) -> Flow
    where
        M: From<AcceptEvent<C>>,
    {
        // The owner frees a descriptor and then calls `retry`.
        let waits_for_owner = socket_errors::is_out_of_descriptors(&error);
        let _ = self.queue.send(AcceptEvent::Failed(error).into());
        if waits_for_owner {
            Flow::Wait
        } else {
            Flow::Pause
        }
    }

    /// Starts the connection of an accepted client. If its registration fails it is retried with the next
    /// attempt, since an accepted connection may not be closed without an answer.
    fn serve<H>(&mut self, stream: TcpStream) -> Flow
    where
        H: ConnectionHandler,
        M: From<H::Event> + From<AcceptEvent<H::Command>> + Send + 'static,
        F: Fn(u32) -> H,
    {
        let io = match connection::register(stream) {
            Ok(io) => io,
            Err(error) => {
                let reported_error = io::Error::other(error.to_string());
                self.unregistered = Some(error.into_data());
                return self.report_failure::<H::Command>(reported_error);
            }
        };
        self.last_id = self.last_id.wrapping_add(1);
        let id = self.last_id;
        let send_handle = |handle| {
            let _ = self.queue.send(AcceptEvent::Client(id, handle).into());
        };
        let context = (self.clock, &self.budget);
        let handler = (self.handler)(id);
        connection::spawn(io, true, handler, &self.queue, context, Vec::new(), send_handle);
        Flow::Continue
    }
}

/// A listener that is registered with the event loop.
pub struct RegisteredListener(Arc<CoIo<TcpListener>>);

/// Registers the listener with the event loop and takes it out of `listener`, where it stays for a retry
/// after a failure.
///
/// # Errors
/// If the kernel is out of memory, the user's limit of watched descriptors is reached, or `listener` is
/// `None`.
pub fn register(listener: &mut Option<TcpListener>) -> io::Result<RegisteredListener> {
    let unregistered = listener.as_ref().ok_or(io::ErrorKind::NotConnected)?;
    let registered = CoIo::new(unregistered.try_clone()?)?;
    *listener = None;
    Ok(RegisteredListener(Arc::new(registered)))
}

/// Starts to accept clients; `handler` creates the handler of each from the client's id. With `is_paused`,
/// accepting starts with `set_paused(false)`.
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
