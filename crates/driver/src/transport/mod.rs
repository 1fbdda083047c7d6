//! Sockets, clocks and coroutines. Nothing here knows what the bytes mean: each connection runs a
//! [`connection::ConnectionHandler`].
//!
//! Connections are coroutines on one worker thread. Whoever owns a [`connection::ConnectionHandle`] sends commands from
//! any thread; events go to that owner through a channel.

pub mod clock;
pub mod connection;
pub mod connection_pool;
pub mod coroutines;
pub mod datagrams;
pub mod event_registration;
pub mod idle_lifetime;
pub mod io_journal;
pub mod listener;
pub mod memory_budget;
pub mod socket_counts;
pub mod socket_errors;
