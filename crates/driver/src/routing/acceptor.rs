//! Controls the listening socket for the event loop: pause, retry after a failed accept, close.

use crate::transport::listener::ListenerHandle;
use asterlatch::time::Timestamp;
use std::net::TcpListener;

/// State of the listening socket, owned by the event loop.
#[derive(Default)]
pub struct Acceptor {
    listener: Option<ListenerHandle>,
    retry_at: Option<Timestamp>,
    is_closed: bool,
}

impl Acceptor {
    /// Takes control of a listener.
    pub fn attach(&mut self, listener: ListenerHandle) {
        self.listener = Some(listener);
    }

    /// Whether a listener is attached and not closed.
    pub fn is_listening(&self) -> bool {
        self.listener.is_some()
    }

    /// Whether the listener has closed. Until then clients may still be accepted.
    pub fn is_closed(&self) -> bool {
        self.is_closed
    }

    /// Pauses or resumes accepting clients. While paused, a peer process accepts them from the same socket.
    pub fn set_paused(&self, is_paused: bool) {
        if let Some(listener) = &self.listener {
            listener.set_paused(is_paused);
        }
    }

    /// Closes the listener once it has drained the kernel's accept queue.
    pub fn close(&self) {
        if let Some(listener) = &self.listener {
            listener.close();
        }
    }

    /// Records that the listener has closed.
    pub fn on_closed(&mut self) {
        self.listener = None;
        self.is_closed = true;
    }

    /// Schedules a retry after a failed accept.
    pub fn on_failed(&mut self, retry_at: Timestamp) {
        self.retry_at = Some(retry_at);
    }

    /// Retries a failed accept when its backoff is over.
    pub fn advance_to(&mut self, now: Timestamp) {
        if self.retry_at.take_if(|at| *at <= now).is_none() {
            return;
        }
        if let Some(listener) = &self.listener {
            listener.retry();
        }
    }

    /// Time of the scheduled retry.
    pub fn next_at(&self) -> Option<Timestamp> {
        self.retry_at
    }

    /// Duplicates the listening socket for a peer process; `None` if there is none or `dup` fails.
    pub fn descriptor(&self) -> Option<TcpListener> {
        self.listener.as_ref()?.descriptor().ok()
    }
}
