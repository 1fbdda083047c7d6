//! What is spoken: PostgreSQL v3 with clients and members, HTTP and JSON with discovery. Functions of the
//! bytes alone; every length and count is checked against a bound before memory is taken for it.

pub mod comment;
pub mod execution;
pub mod http;
pub mod messages;
pub mod roster;
pub mod session;
pub mod vitals;
pub mod watch;
