//! A laboratory on one machine's loopback: members, discovery and clients that speak the public protocols, faults by
//! script, and a judge that holds what clients were told against what members did.
//!
//! `script`, `store`, `arrivals` and `judge` are without I/O; `member`, `discovery`, `load` and `scene` put them on
//! sockets.

pub mod arrivals;
pub mod discovery;
pub mod fleet;
pub mod judge;
pub mod load;
pub mod member;
pub mod program;
pub mod relay;
pub mod roam;
pub mod scene;
pub mod script;
pub mod store;
pub mod wire;
