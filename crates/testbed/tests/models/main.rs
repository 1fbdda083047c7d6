//! Fault scripts, the store model, arrivals, the checker and the wire, without sockets.

mod arrivals;
mod checker;
mod fault_script;
mod store_model;
mod wire;

use asterlatch::time::{TimeSpan, Timestamp};

/// Begin of the load.
const START: Timestamp = Timestamp(1_000_000_000_000);

fn ms(n: u64) -> TimeSpan {
    TimeSpan::millis(n)
}

/// Milliseconds after the begin.
fn at(n: u64) -> Timestamp {
    START + ms(n)
}
