//! The one owner of the decision module: inputs come through a queue, commands go out to connections.

pub mod calls;
pub mod clients;
pub mod endings;
pub mod errands;
pub mod figures;
pub mod limits;
pub mod owner;
pub mod queue;
pub mod sharing;
pub mod statements;
pub mod tables;
pub mod turns;
