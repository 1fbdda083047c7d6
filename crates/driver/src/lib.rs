//! The routing service on real sockets, in four layers, of which each calls only those before it.

pub mod transport;

pub mod protocol;

pub mod routing;

pub mod program;
