//! What drivers of one fleet tell each other, so that each decides on what all have heard, and none by chance on what it
//! alone has not. Nothing here does I/O: datagrams and times go in, datagrams and news come out.
//!
//! | module | decides |
//! | --- | --- |
//! | `record` | what is told, and which of two retransmits stands |
//! | `state` | one driver's copy: bounds, ages, what differs from another's |
//! | `conflict` | what can't both be true: kept for operators |
//! | `peers` | who is there, suspected, gone, back; how late its word comes |
//! | `dissemination` | what is told to whom, when, and how much of it |
//! | `anti_entropy` | how a driver that was away comes by what it missed |
//! | `cold` | how much work a cold member may be sent from here, by what all have sent |
//! | `doubts` | statements that must not run twice: who may have sent one, and whether it may go out here |
//! | `node` | all of it together, input by input |
//! | `keep` | what of a copy outlives the process, and what of that is used again |
//! | `wire` | datagrams |
//!
//! Facts travel as ages and never as readings of a clock. What is believed for how long, and what the decisions may do
//! with it, stands with each record.

pub mod anti_entropy;
pub mod codec;
pub mod conflict;
pub mod dissemination;
pub mod in_doubt;
pub mod membership;
pub mod node;
pub mod record;
pub mod slow_start;
pub mod snapshot;
pub mod state;
