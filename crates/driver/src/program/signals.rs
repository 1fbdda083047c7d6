//! Signals, as control events of the event loop: SIGTERM and SIGINT shut down, SIGUSR1 logs the metrics, SIGHUP reloads
//! the configuration, SIGUSR2 upgrades to the same program.

use crate::routing::events::{ControlEvent, Event};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1, SIGUSR2};
use signal_hook::iterator::Signals;
use std::io;
use std::sync::mpsc::Sender;

/// Handles these signals from now on, on a thread of its own that ends with the event loop.
///
/// # Errors
/// If the handlers can't be installed or the thread can't be started.
pub fn forward(queue: Sender<Event>) -> io::Result<()> {
    let mut signals = Signals::new([SIGHUP, SIGINT, SIGTERM, SIGUSR1, SIGUSR2])?;
    let forward_all = move || {
        for signal in signals.forever() {
            if queue.send(Event::Control(control_event(signal))).is_err() {
                return;
            }
        }
    };
    std::thread::Builder::new()
        .name("signals".to_owned())
        .spawn(forward_all)?;
    Ok(())
}

fn control_event(signal: i32) -> ControlEvent {
    match signal {
        SIGUSR1 => ControlEvent::ReportMetrics,
        SIGUSR2 => ControlEvent::Upgrade,
        SIGHUP => ControlEvent::Reload,
        _ => ControlEvent::Shutdown,
    }
}
