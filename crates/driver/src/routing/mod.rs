//! The one event loop of the decision module: inputs come through a queue, commands go out to connections.

pub mod clients;
pub mod coordination;
pub mod discovery_requests;
pub mod event_loop;
pub mod events;
pub mod execution_outcomes;
pub mod gossip;
pub mod limits;
pub mod member_requests;
pub mod members;
pub mod metrics;
pub mod statements;
pub mod workloads;
