//! Protocol handlers, tested with tables of input bytes that arrive whole and byte by byte.

mod client_session;
mod discovery;
mod harness;
mod member_connection;
mod messages;
mod statement_comment;
