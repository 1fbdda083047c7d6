//! Test bed on one machine's loopback interface.
//!
//! Stand-in members, discovery and clients exchange the public protocols with the built program, under
//! scripted faults. A checker compares the answers that clients received with what members executed.
//!
//! [`fault_script`], [`store_model`], [`arrivals`] and [`checker`] do no I/O. [`member`], [`discovery`],
//! [`link_proxy`], [`load_generator`] and [`roaming_clients`] own the sockets. [`deployment`] starts one
//! process of the program, [`cluster`] several. [`adverse`] has scenarios with additional clients; [`cli`] is
//! the command line.

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
