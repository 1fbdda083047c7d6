//! The routing service on real sockets, in four layers. Each layer calls only the ones declared before it.

pub mod transport;

pub mod protocol;

pub mod routing;

pub mod program;
