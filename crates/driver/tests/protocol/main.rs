//! What is spoken, as tables of bytes: each input is given whole, and again byte by byte.

mod client_session;
mod discovery;
mod harness;
mod member_connection;
mod messages;
mod statement_comment;
