//! What many drivers do so that it adds up: whose turn it is (`lease`), what they know of a member together (`silence`),
//! what it bears by all their answers (`sums`), and how many of them there are (`size`). Rules without I/O: words of others and the clock go in, what to tell and what may be
//! done comes out. Nobody waits for a turn with a final answer, and no word of one driver moves more than its own part.

pub mod failure_consensus;
pub mod fleet_size;
pub mod lease;
pub mod load_aggregate;

/// A driver, as all know it alike: its name's hash.
pub type NameHash = u64;
