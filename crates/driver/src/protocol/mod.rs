//! What is spoken: PostgreSQL v3 with clients and members, HTTP and JSON with discovery. Functions of the
//! bytes alone; every length and count is checked against a bound before memory is taken for it.

pub mod client_session;
pub mod discovery_watch;
pub mod endpoint_list;
pub mod http;
pub mod member_connection;
pub mod messages;
pub mod replica_status;
pub mod statement_comment;
