//! Test bed on one machine's loopback interface.
//!
//! Stand-in members, discovery and clients speak the public protocols around the built program; faults follow a script;
//! a checker compares what clients were told with what members executed.
//!
//! [`fault_script`], [`store_model`], [`arrivals`] and [`checker`] are free of I/O. [`member`], [`discovery`],
//! [`link_proxy`], [`load_generator`] and [`roaming_clients`] put them on sockets; [`deployment`] and [`cluster`] start one
//! process or several of the program among them; [`adverse`] has scenarios with clients of their own; [`cli`] is the command line.

pub mod adverse;
pub mod arrivals;
pub mod checker;
pub mod cli;
pub mod cluster;
pub mod deployment;
pub mod discovery;
pub mod error;
pub mod fault_script;
pub mod link_proxy;
pub mod load_generator;
pub mod member;
pub mod process_guard;
pub mod program_under_test;
pub mod roaming_clients;
pub mod scenario;
pub mod store_model;
pub mod wire;
