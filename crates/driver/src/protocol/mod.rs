//! Protocols: PostgreSQL v3 with clients and members, HTTP and JSON with discovery.
//!
//! Handlers are state machines driven by input and commands. They check every length and count against a
//! bound before they allocate memory for it.

mod answer_copies;
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
