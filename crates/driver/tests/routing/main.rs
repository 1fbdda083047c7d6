//! The event loop, given events and a clock, without a socket.

mod clients;
mod configuration;
mod departures;
mod discovery;
mod harness;
mod members;
mod statements;
