//! The process: commands, configuration, phases, signals, log and metrics.

pub mod commands;
pub mod config;
pub mod control_socket;
pub mod counters;
pub mod gossip;
pub mod log;
pub mod operators;
pub mod phases;
pub mod recover;
pub mod serve;
pub mod signals;
pub mod upgrade;
