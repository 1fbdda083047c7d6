//! Signals become notices in the event loop's queue: SIGTERM and SIGINT to leave, SIGUSR1 for the
//! counters, SIGHUP to read the configuration again, SIGUSR2 for a new process to take over.

use crate::routing::events::{ControlEvent, Event};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1, SIGUSR2};
use signal_hook::iterator::Signals;
use std::io;
use std::sync::mpsc::Sender;

pub fn forward(queue: Sender<Event>) -> io::Result<()> {
    let mut signals = Signals::new([SIGHUP, SIGINT, SIGTERM, SIGUSR1, SIGUSR2])?;
    let forward = move || {
        for signal in signals.forever() {
            let notice = match signal {
                SIGUSR1 => ControlEvent::ReportMetrics,
                SIGUSR2 => ControlEvent::Upgrade,
                SIGHUP => ControlEvent::Reload,
                _ => ControlEvent::Shutdown,
            };
            if queue.send(Event::Control(notice)).is_err() {
                return;
            }
        }
    };
    std::thread::Builder::new()
        .name("signals".to_owned())
        .spawn(forward)
        .map(drop)
}
