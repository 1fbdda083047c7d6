//! Handover of a running service from one process to its successor without interruption.
//!
//! [`predecessor`] and [`successor`] are the state machines of both sides, each an ordered list of rules
//! without I/O. [`message`] defines the messages between them; [`codec`] frames messages and transfers them,
//! with file descriptors, over a Unix socket.
//!
//! | predecessor | successor | who accepts clients |
//! | --- | --- | --- |
//! | Serving | | predecessor |
//! | AwaitingHello: started the successor | Started: sends its hello | predecessor |
//! | AwaitingReady: sent state and listener | Loaded: reports that it is ready | predecessor |
//! | AwaitingCommitAcknowledgement: asked the successor to serve | | predecessor |
//! | Standby: accepts clients and moves them | Probation: serves the moved clients | predecessor |
//! | Fencing: killed the successor and waits for its exit | | predecessor |
//! | HandedOver: accepts no clients | Serving: accepts clients | successor |
//!
//! On probation the successor accepts clients only if the predecessor drains, is unresponsive or has exited.
//! The predecessor resumes the successor's clients only once that process is certainly dead. The end of the
//! socket's stream is read only after all messages that the peer sent before, so no message is lost with its
//! sender.
//!
//! [`capacity_check`] checks that both processes fit into the host's limits. [`co_serving`] shares
//! concurrency limits and drains while both processes serve. [`io_journal`] records the client I/O of a
//! successor on probation, so that the predecessor can resume the clients if the successor dies.

pub mod capacity_check;
pub mod co_serving;
pub mod codec;
pub mod io_journal;
pub mod learned_fact;
pub mod message;
pub mod predecessor;
pub mod successor;

use asterlatch::time::Timestamp;

/// The deadline of a stopped timer.
const NEVER: Timestamp = Timestamp(u64::MAX);

/// A rule of a state machine. Returns its actions, or `None` if its condition doesn't hold.
type Rule<M, A> = fn(&mut M) -> Option<Vec<A>>;

/// Applies the first rule whose condition holds, until no condition holds, and returns all actions in order.
fn run_rules<M, A>(rules: &[Rule<M, A>], machine: &mut M) -> Vec<A> {
    let mut actions = Vec::new();
    while let Some(rule_actions) = rules.iter().find_map(|rule| rule(machine)) {
        actions.extend(rule_actions);
    }
    actions
}
