//! Protocols: PostgreSQL v3 with clients and members, HTTP and JSON with discovery.
//!
//! Handlers are functions of bytes and commands; every length and count is checked against a bound before memory is
//! reserved for it.

pub mod client_events;
pub mod client_session;
pub mod discovery_watch;
pub mod endpoint_list;
pub mod http;
pub mod member_connection;
pub mod messages;
mod pipeline;
pub mod replica_status;
pub mod startup;
pub mod statement_comment;
