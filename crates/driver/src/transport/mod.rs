//! Sockets and clocks. Nothing here knows what the bytes mean: each connection is run for a `Dialogue`.

pub mod clock;
pub mod listener;
pub mod pool;
pub mod stream;
