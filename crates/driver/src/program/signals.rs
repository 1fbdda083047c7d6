//! Signals, as control events of the event loop: SIGTERM and SIGINT shut down, SIGUSR1 logs the metrics, SIGHUP reloads
//! the configuration, SIGUSR2 upgrades to the same program.
//!
//! They are blocked on every thread, and one thread takes them from the kernel with `sigwait`. There is no handler and no
//! pipe between a handler and that thread, so no call that fails can lose a signal.

use crate::routing::events::{ControlEvent, Event};
use nix::sys::signal::{SigSet, Signal};
use std::io;
use std::sync::mpsc::Sender;
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

/// The signals that are taken.
const SIGNALS: [Signal; 5] = [
    Signal::SIGHUP,
    Signal::SIGINT,
    Signal::SIGTERM,
    Signal::SIGUSR1,
    Signal::SIGUSR2,
];

/// Time between two waits of which the first failed, which `sigwait` documents for invalid signals alone.
const RETRY_PAUSE: Duration = Duration::from_millis(5);

/// Whether shutdown was requested, for those who wait before the event loop runs. Clones share it.
#[derive(Clone, Default)]
pub struct ShutdownRequest(Arc<(Mutex<bool>, Condvar)>);

impl ShutdownRequest {
    fn set(&self) {
        let (is_requested, changed) = &*self.0;
        *is_requested.lock().unwrap_or_else(PoisonError::into_inner) = true;
        changed.notify_all();
    }

    /// Waits until shutdown is requested, at most for so long; returns whether it is.
    pub fn wait(&self, timeout: Duration) -> bool {
        let (is_requested, changed) = &*self.0;
        let locked = is_requested.lock().unwrap_or_else(PoisonError::into_inner);
        let waited = changed.wait_timeout_while(locked, timeout, |is_requested| !*is_requested);
        let (is_requested, _) = waited.unwrap_or_else(PoisonError::into_inner);
        *is_requested
    }
}

/// Signals that wait with the kernel until [`BlockedSignals::forward`] takes them.
pub struct BlockedSignals(SigSet);

impl BlockedSignals {
    /// Blocks the signals on this thread and on those that it starts later. To be called before any other thread exists:
    /// the kernel gives a signal to any thread that doesn't block it, and that would end the process.
    ///
    /// # Errors
    /// If the kernel refuses it.
    pub fn block() -> io::Result<BlockedSignals> {
        let signals: SigSet = SIGNALS.into_iter().collect();
        signals.thread_block()?;
        Ok(BlockedSignals(signals))
    }

    /// Turns them into events from now on, on a thread of its own that ends with the event loop, and sets `shutdown`.
    ///
    /// # Errors
    /// If the thread can't be started.
    pub fn forward(&self, queue: Sender<Event>, shutdown: ShutdownRequest) -> io::Result<()> {
        let signals = self.0;
        let forward_all = move || loop {
            match signals.wait().map(control_event) {
                Ok(event) => {
                    if matches!(event, ControlEvent::Shutdown) {
                        shutdown.set();
                    }
                    if queue.send(Event::Control(event)).is_err() {
                        return;
                    }
                }
                Err(_) => std::thread::sleep(RETRY_PAUSE),
            }
        };
        std::thread::Builder::new()
            .name("signals".to_owned())
            .spawn(forward_all)?;
        Ok(())
    }
}

fn control_event(signal: Signal) -> ControlEvent {
    match signal {
        Signal::SIGUSR1 => ControlEvent::ReportMetrics,
        Signal::SIGUSR2 => ControlEvent::Upgrade,
        Signal::SIGHUP => ControlEvent::Reload,
        _ => ControlEvent::Shutdown,
    }
}
