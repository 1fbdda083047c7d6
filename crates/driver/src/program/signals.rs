//! Signals as control events of the event loop: SIGTERM and SIGINT shut down, SIGUSR1 logs the metrics,
//! SIGHUP reloads the configuration, SIGUSR2 upgrades to the same program.
//!
//! They are blocked on every thread, and one thread receives them with `sigwait`. Without a signal handler
//! and a pipe from it, no failing system call can lose a signal.

use crate::routing::events::{ControlEvent, Event};
use nix::sys::signal::{SigSet, Signal};
use std::io;
use std::sync::mpsc::Sender;
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

const SIGNALS: [Signal; 5] = [
    Signal::SIGHUP,
    Signal::SIGINT,
    Signal::SIGTERM,
    Signal::SIGUSR1,
    Signal::SIGUSR2,
];

/// Delay after a failed `sigwait`, which by its documentation fails only for invalid signals.
const RETRY_DELAY: Duration = Duration::from_millis(5);

/// Whether shutdown was requested, for code that waits before the event loop runs. Clones share the state.
#[derive(Clone, Default)]
pub struct ShutdownRequest(Arc<(Mutex<bool>, Condvar)>);

impl ShutdownRequest {
    fn set(&self) {
        let (is_requested, changed) = &*self.0;
        *is_requested.lock().unwrap_or_else(PoisonError::into_inner) = true;
        changed.notify_all();
    }

    /// Waits until shutdown is requested, at most for `timeout`; returns whether it was.
    pub fn wait(&self, timeout: Duration) -> bool {
        let (is_requested, changed) = &*self.0;
        let locked = is_requested.lock().unwrap_or_else(PoisonError::into_inner);
        let waited = changed.wait_timeout_while(locked, timeout, |is_requested| !*is_requested);
        let (is_requested, _) = waited.unwrap_or_else(PoisonError::into_inner);
        *is_requested
    }
}

/// Signals that stay pending in the kernel until [`BlockedSignals::forward`] receives them.
pub struct BlockedSignals(SigSet);

impl BlockedSignals {
    /// Blocks the signals on this thread and on those that it starts later. Must be called before any other
    /// thread exists: the kernel delivers a signal to any thread that doesn't block it, which would end the
    /// process.
    ///
    /// # Errors
    /// If the signal mask can't be set.
    pub fn block() -> io::Result<BlockedSignals> {
        let signals: SigSet = SIGNALS.into_iter().collect();
        signals.thread_block()?;
        Ok(BlockedSignals(signals))
    }

    /// Starts a thread that sends each signal to the event loop's `queue` and sets `shutdown` on a request
    /// for it. The thread ends with the event loop.
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
                Err(_) => std::thread::sleep(RETRY_DELAY),
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
