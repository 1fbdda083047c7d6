//! The one owner of the decision module: inputs come through a queue, commands go out to connections.

pub mod endings;
pub mod figures;
pub mod owner;
pub mod queue;
pub mod tables;
