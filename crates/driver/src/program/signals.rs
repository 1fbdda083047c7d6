//! Signals become notices in the event loop's queue: SIGTERM and SIGINT to leave, SIGUSR1 for the
//! counters, SIGHUP to read the configuration again, SIGUSR2 for a new process to take over.

use crate::routing::events::{Input, Notice};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1, SIGUSR2};
use signal_hook::iterator::Signals;
use std::io;
use std::sync::mpsc::Sender;

pub fn forward(queue: Sender<Input>) -> io::Result<()> {
    let mut signals = Signals::new([SIGHUP, SIGINT, SIGTERM, SIGUSR1, SIGUSR2])?;
    let forward = move || {
        for signal in signals.forever() {
            let notice = match signal {
                SIGUSR1 => Notice::Report,
                SIGUSR2 => Notice::Upgrade,
                SIGHUP => Notice::Reload,
                _ => Notice::Leave,
            };
            if queue.send(Input::Notice(notice)).is_err() {
                return;
            }
        }
    };
    std::thread::Builder::new()
        .name("signals".to_owned())
        .spawn(forward)
        .map(drop)
}
