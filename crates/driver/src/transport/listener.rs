//! Accepts clients. What the kernel has accepted counts as accepted, so there is no bound here: the event loop
//! closes connections that sit idle instead.

use super::clock::Clock;
use super::memory_budget::MemoryBudget;
use super::stream::{self, Dialogue, Line};
use may::io::{CoIo, WaitIo, WaitIoWaker};
use std::io::{self, ErrorKind};
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Sender;
use std::sync::Arc;

/// A client's connection, or that one could not be accepted, or that none will be any more.
pub enum Arrival<C> {
    Client(u32, Line<C>),
    Failed(io::Error),
    Closed,
}

pub struct Listening {
    io: Arc<CoIo<TcpListener>>,
    closing: Arc<AtomicBool>,
    /// Another process accepts from the same socket.
    paused: Arc<AtomicBool>,
    waker: WaitIoWaker,
}

impl Listening {
    /// Looks again for clients after a failure.
    pub fn retry(&self) {
        self.waker.wakeup();
    }

    /// A descriptor of the same socket, for another process.
    pub fn descriptor(&self) -> io::Result<TcpListener> {
        self.io.inner().try_clone()
    }

    /// Accepts nobody from now on, or again. Whom the kernel has accepted meanwhile waits for whoever looks first.
    pub fn pause(&self, paused: bool) {
        self.paused.store(paused, Ordering::Release);
        self.waker.wakeup();
    }

    /// Takes in those that the kernel has accepted and then listens no more.
    pub fn close(&self) {
        self.closing.store(true, Ordering::Release);
        self.waker.wakeup();
    }
}

/// Where it begins paused, another process accepts from the same socket.
pub fn listen<D, M>(
    listener: TcpListener,
    paused: bool,
    queue: Sender<M>,
    (clock, room): (Clock, MemoryBudget),
    dialogue: impl Fn(u32) -> D + Send + 'static,
) -> io::Result<Listening>
where
    D: Dialogue,
    M: From<D::Notice> + From<Arrival<D::Command>> + Send + 'static,
{
    let io = CoIo::new(listener).map_err(|_| io::Error::other("listener not registered"))?;
    let io = Arc::new(io);
    let (closing, paused) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicBool::new(paused)),
    );
    let listening = Listening {
        io: io.clone(),
        closing: closing.clone(),
        paused: paused.clone(),
        waker: io.waker(),
    };
    let mut next = 0u32;
    let accept_all = move || loop {
        let last = closing.load(Ordering::Acquire);
        if paused.load(Ordering::Acquire) {
            // Those who wait are the other process's to take.
            if last {
                super::forget(io.inner());
                break drop(queue.send(Arrival::Closed.into()));
            }
            io.wait_io();
            continue;
        }
        match io.inner().accept() {
            Ok((stream, _)) => {
                next = next.wrapping_add(1);
                let id = next;
                let announce = |line| drop(queue.send(Arrival::Client(id, line).into()));
                if let Err(e) = stream::run(stream, true, dialogue(id), &queue, (clock, &room), announce) {
                    let _ = queue.send(Arrival::Failed(e).into());
                }
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock && last => {
                break drop(queue.send(Arrival::Closed.into()))
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => drop(io.wait_io()),
            Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
            Err(e) => {
                // Out of descriptors, most likely: trying on at once would only spin.
                let _ = queue.send(Arrival::Failed(e).into());
                io.wait_io();
            }
        }
    };
    may::go!(accept_all);
    Ok(listening)
}
