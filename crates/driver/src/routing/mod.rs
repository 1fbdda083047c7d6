//! Routes client statements to members: the event loop and the tables that it owns.
//!
//! [`event_loop`] passes events to the routing policy and carries out its decisions. Each of the other
//! modules has one table or kind of state, which only the event loop modifies.

pub mod acceptor;
pub mod clients;
pub mod discovery_requests;
pub mod dispatch_records;
pub mod event_loop;
pub mod events;
pub mod execution_outcomes;
pub mod gossip;
pub mod handover;
pub mod limits;
pub mod member_requests;
pub mod members;
pub mod metrics;
pub mod runtime_config;
pub mod statements;
pub mod workloads;
