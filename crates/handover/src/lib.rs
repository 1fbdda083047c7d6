//! Handover of a running service from one process to its successor without a gap.
//!
//! [`predecessor`] and [`successor`] are the state machines of both sides: each is an ordered list of rules
//! without I/O. [`message`] holds what they send to one another, [`codec`] frames it and carries it, with
//! descriptors, over a Unix socket.
//!
//! | predecessor | successor | who accepts clients |
//! | --- | --- | --- |
//! | Serving | | predecessor |
//! | AwaitingHello: it started the successor | Started: sends its hello | predecessor |
//! | AwaitingReady: state and listener are on their way | Loaded: reports that it is ready | predecessor |
//! | AwaitingCommitAcknowledgement: it asked the successor to serve | | predecessor |
//! | Standby: accepts clients and moves them | Probation: serves the clients that are moved | predecessor |
//! | Fencing: the successor is killed, its end awaited | | predecessor |
//! | HandedOver: accepts no more | Serving: accepts | successor |
//!
//! The successor accepts on probation only where the predecessor drains, is unresponsive or has exited. The
//! predecessor goes on with the successor's clients only once that process is certainly dead. A socket
//! reports the death of its peer only after everything that the peer sent before, so no message is lost with
//! its sender.
//!
//! [`capacity_check`] decides whether both processes fit into their limits. [`co_serving`] is what they
//! exchange while both serve. [`io_journal`] records what a successor on probation does with its clients, so
//! that the predecessor can go on with them if the successor dies.

pub mod capacity_check;
pub mod co_serving;
pub mod codec;
pub mod io_journal;
pub mod message;
pub mod predecessor;
pub mod successor;

use asterlatch::time::Timestamp;

/// The deadline of a timer that doesn't run.
const NEVER: Timestamp = Timestamp(u64::MAX);

/// A rule of a state machine: the actions that it takes, or nothing where its condition doesn't hold.
type Rule<M, A> = fn(&mut M) -> Option<Vec<A>>;

/// Runs the first rule whose condition holds, again and again until none does, and returns their actions in
/// order.
fn run_rules<M, A>(rules: &[Rule<M, A>], machine: &mut M) -> Vec<A> {
    let mut actions = Vec::new();
    while let Some(more) = rules.iter().find_map(|rule| rule(machine)) {
        actions.extend(more);
    }
    actions
}
