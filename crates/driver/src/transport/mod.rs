//! Sockets, clocks and coroutines. This layer is independent of protocols: each connection runs a
//! [`connection::ConnectionHandler`].
//!
//! Connections are coroutines on one worker thread. The owner of a [`connection::ConnectionHandle`] sends
//! commands from any thread and receives events through a channel.

pub mod allocator;
pub mod buffer;
pub mod clock;
pub mod connection;
pub mod connection_pool;
pub mod coroutines;
pub mod datagrams;
pub mod event_registration;
pub mod evictions;
pub mod idle_lifetime;
pub mod io_journal;
pub mod listener;
pub mod memory_budget;
pub mod socket_counts;
pub mod socket_errors;
