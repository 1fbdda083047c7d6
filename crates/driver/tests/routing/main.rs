//! Tests of the event loop with simulated events and clock, without sockets.

mod client_disconnects;
mod clients;
mod configuration;
mod discovery;
mod harness;
mod members;
mod statements;
mod turns;
