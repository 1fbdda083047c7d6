//! Hands a running service over to a new process without a gap.
//!
//! `old` and `new` are the two sides, each an ordered list of rules without I/O: what came in, what the time is, and
//! what to do. `message` is what they say to one another, `wire` carries it, with descriptors, over a Unix socket.
//!
//! | old | new | who accepts clients |
//! | --- | --- | --- |
//! | Serving | | old |
//! | Offered: the new process was started | Started: says hello | old |
//! | Sent: state and listener are on their way | Loaded: says that it is ready | old |
//! | Committed: has it serve whom it is sent | | old |
//! | Standby: accepts, and hands over | Probation: serves whom it is sent | old |
//! | Fencing: the new one is killed, its end awaited | | old |
//! | Done: accepts no more | Owner: accepts | new |
//!
//! The new one accepts on probation only where the old one leaves or has fallen silent, and where it is gone. The old one
//! goes on with the other's clients only once that one's end is certain. The socket tells of a death only after what was
//! sent before it, so a word that was sent is heard even if its sender is gone by then.
//!
//! `fit` says whether both have room, `joint` what binds both while they serve side by side, and `ledger` is what the old one knows of the clients of the new one on probation, and goes on with if that dies.

pub mod capacity_check;
pub mod co_serving;
pub mod codec;
pub mod io_journal;
pub mod message;
pub mod predecessor;
pub mod successor;

/// A condition and an effect: nothing where it doesn't hold.
type Rule<M, A> = fn(&mut M) -> Option<Vec<A>>;

/// Goes through the rules in their order, again and again, until none fires.
fn run_rules<M, A>(rules: &[Rule<M, A>], machine: &mut M) -> Vec<A> {
    let mut actions = Vec::new();
    while let Some(more) = rules.iter().find_map(|rule| rule(machine)) {
        actions.extend(more);
    }
    actions
}
