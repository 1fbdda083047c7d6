//! Accepts clients. What the kernel has accepted counts as accepted, so there is no bound here: the owner
//! closes connections that sit idle instead.

use super::clock::Clock;
use super::room::Room;
use super::stream::{self, Dialogue, Line};
use may::io::{CoIo, WaitIo, WaitIoWaker};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener};
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
    closing: Arc<AtomicBool>,
    waker: WaitIoWaker,
}

impl Listening {
    /// Looks again for clients after a failure.
    pub fn retry(&self) {
        self.waker.wakeup();
    }

    /// Takes in those that the kernel has accepted and then listens no more.
    pub fn close(&self) {
        self.closing.store(true, Ordering::Release);
        self.waker.wakeup();
    }
}

pub fn listen<D, M>(
    address: SocketAddr,
    queue: Sender<M>,
    (clock, room): (Clock, Room),
    dialogue: impl Fn(u32) -> D + Send + 'static,
) -> io::Result<Listening>
where
    D: Dialogue,
    M: From<D::Notice> + From<Arrival<D::Command>> + Send + 'static,
{
    let io =
        CoIo::new(TcpListener::bind(address)?).map_err(|_| io::Error::other("listener not registered"))?;
    let closing = Arc::new(AtomicBool::new(false));
    let listening = Listening {
        closing: closing.clone(),
        waker: io.waker(),
    };
    let mut next = 0u32;
    let accept_all = move || loop {
        let last = closing.load(Ordering::Acquire);
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
