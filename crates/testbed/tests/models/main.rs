//! Tests of the modules without I/O (fault scripts, the store model, arrivals, the checker and the wire
//! format) and of the clients' records.

mod arrivals;
mod checker;
mod fault_script;
mod roaming_clients;
mod store_model;
mod wire;

use asterlatch::time::{TimeSpan, Timestamp};

/// Start of the load.
const START: Timestamp = Timestamp(1_000_000_000_000);

fn ms(milliseconds: u64) -> TimeSpan {
    TimeSpan::millis(milliseconds)
}

/// Time in milliseconds after the start of the load.
fn at(milliseconds: u64) -> Timestamp {
    START + ms(milliseconds)
}
