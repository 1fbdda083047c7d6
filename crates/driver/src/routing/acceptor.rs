//! The listener as the event loop controls it: pause, retry after failures, close.

use crate::transport::listener::ListenerHandle;
use asterlatch::time::Timestamp;
use std::net::TcpListener;

/// The listener, from its start until it is closed. Only the event loop uses it.
#[derive(Default)]
pub struct Acceptor {
    listening: Option<ListenerHandle>,
    retry_at: Option<Timestamp>,
    is_closed: bool,
}

impl Acceptor {
    /// Controls this listener from now on.
    pub fn attach(&mut self, listening: ListenerHandle) {
        self.listening = Some(listening);
    }

    /// Whether a listener is attached and not closed.
    pub fn is_listening(&self) -> bool {
        self.listening.is_some()
    }

    /// Whether the listener has closed. Only then no more clients arrive.
    pub fn is_closed(&self) -> bool {
        self.is_closed
    }

    /// Stops accepting clients, which another process accepts from the same socket, or starts again.
    pub fn set_paused(&self, is_paused: bool) {
        if let Some(listening) = &self.listening {
            listening.set_paused(is_paused);
        }
    }

    /// Closes the listener once it has accepted what the kernel has.
    pub fn close(&self) {
        if let Some(listening) = &self.listening {
            listening.close();
        }
    }

    /// The listener has closed.
    pub fn on_closed(&mut self) {
        self.listening = None;
        self.is_closed = true;
    }

    /// An accept failed: it is retried then.
    pub fn on_failed(&mut self, retry_at: Timestamp) {
        self.retry_at = Some(retry_at);
    }

    /// Retries a failed accept if that is due.
    pub fn advance_to(&mut self, now: Timestamp) {
        if self.retry_at.take_if(|at| *at <= now).is_none() {
            return;
        }
        if let Some(listening) = &self.listening {
            listening.retry();
        }
    }

    /// When a failed accept is retried.
    pub fn next_at(&self) -> Option<Timestamp> {
        self.retry_at
    }

    /// A descriptor of the listening socket, for another process.
    pub fn descriptor(&self) -> Option<TcpListener> {
        self.listening.as_ref()?.descriptor().ok()
    }
}
