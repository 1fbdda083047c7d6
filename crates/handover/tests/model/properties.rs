//! What must always hold, and what must be possible.

use crate::world::{ClientAt, HandoverModel, World};
use asterlatch::time::Timestamp;
use asterlatch_handover::predecessor;
use asterlatch_handover::successor::{self, Successor};
use stateright::Property;

pub(crate) const NO_EARLY_ACCEPT: &str =
    "the successor accepts before its probation is passed only for a predecessor that drains, hangs or has exited";
pub(crate) const ONE_OWNER: &str = "a statement has one owner";
pub(crate) const ONE_ANSWER: &str = "no statement is answered twice";
pub(crate) const NO_STATEMENT_LOST: &str =
    "a statement that was sent is answered, or somebody has it, or its process died";
pub(crate) const ALL_CLIENTS_RECLAIMED: &str =
    "a process that serves alone holds all clients that the dead had";
pub(crate) const NO_DEADLOCK: &str = "where nobody accepts, something is on its way";
pub(crate) const DRAIN_AFTER_PROBATION: &str =
    "the predecessor drains only from a service that is the successor's";
pub(crate) const RECLAIM_FROM_DEAD: &str = "clients are reclaimed only from the dead";
pub(crate) const DRAIN_HAS_ACCEPTOR: &str =
    "a predecessor that drains beside a successor has that one accept";

fn has_phase(world: &World, phase: successor::Phase) -> bool {
    let has = |successor: &Successor| successor.phase == phase;
    world.successor.as_ref().is_some_and(has)
}

fn no_early_accept(world: &World) -> bool {
    let may_accept =
        has_phase(world, successor::Phase::Probation) || has_phase(world, successor::Phase::Serving);
    !world.successor_accepts || may_accept
}

fn one_owner(world: &World) -> bool {
    !(world.predecessor_owns_statement && world.successor_owns_statement)
}

fn one_answer(world: &World) -> bool {
    world.answers <= u8::from(world.statement_sent)
}

fn no_statement_lost(world: &World) -> bool {
    let is_held =
        world.statement_unread || world.predecessor_owns_statement || world.successor_owns_statement;
    !world.statement_sent || world.answers > 0 || is_held || world.client == ClientAt::Nobody
}

fn all_clients_reclaimed(world: &World) -> bool {
    let serves_alone = world.predecessor_alive
        && world.predecessor_actions.is_empty()
        && world.successor.is_none()
        && world.predecessor.phase == predecessor::Phase::Serving;
    !serves_alone || matches!(world.client, ClientAt::Predecessor | ClientAt::Nobody)
}

fn no_deadlock(world: &World) -> bool {
    let has_timer = world.predecessor.next_deadline() < Timestamp(u64::MAX);
    let predecessor_goes_on = world.predecessor_alive
        && (!world.predecessor_actions.is_empty() || has_timer || !world.to_predecessor.is_empty());
    let exit_unseen = world.predecessor_alive && world.successor.is_some() && !world.successor_alive;
    let successor_goes_on = world.successor_alive
        && (!world.successor_actions.is_empty() || !world.to_successor.is_empty() || world.is_killing);
    let accepts = world.predecessor_accepts || world.successor_accepts;
    // A successor alone, or nobody at all, waits for no message of the predecessor.
    accepts || predecessor_goes_on || exit_unseen || successor_goes_on || !world.predecessor_alive
}

fn drain_after_probation(world: &World) -> bool {
    !world.predecessor_drained || has_phase(world, successor::Phase::Serving)
}

fn drain_has_acceptor(world: &World) -> bool {
    let is_settled = world.predecessor_actions.is_empty()
        && world.successor_actions.is_empty()
        && world.to_successor.is_empty();
    let both_serve =
        world.predecessor_alive && world.successor_alive && has_phase(world, successor::Phase::Probation);
    let is_standby = world.predecessor.phase == predecessor::Phase::Standby;
    let must_accept = both_serve && is_settled && !world.is_killing && is_standby;
    !must_accept || world.predecessor_accepts || world.successor_accepts
}

fn serves_again_after_death(world: &World) -> bool {
    world.predecessor_accepts
        && world.deaths > 0
        && world.upgrades > 0
        && world.predecessor.phase == predecessor::Phase::Serving
}

fn successor_outlives_predecessor(world: &World) -> bool {
    !world.predecessor_alive
        && !world.predecessor_drained
        && world.successor_accepts
        && has_phase(world, successor::Phase::Serving)
}

/// All properties of the model.
pub(crate) fn all() -> Vec<Property<HandoverModel>> {
    vec![
        Property::always(NO_EARLY_ACCEPT, |_, world| no_early_accept(world)),
        Property::always(ONE_OWNER, |_, world| one_owner(world)),
        Property::always(ONE_ANSWER, |_, world| one_answer(world)),
        Property::always(NO_STATEMENT_LOST, |_, world| no_statement_lost(world)),
        Property::always(ALL_CLIENTS_RECLAIMED, |_, world| all_clients_reclaimed(world)),
        Property::always(NO_DEADLOCK, |_, world| no_deadlock(world)),
        Property::always(DRAIN_AFTER_PROBATION, |_, world| drain_after_probation(world)),
        Property::always(RECLAIM_FROM_DEAD, |_, world: &World| !world.reclaimed_from_living),
        Property::always(DRAIN_HAS_ACCEPTOR, |_, world| drain_has_acceptor(world)),
        Property::sometimes(
            "the predecessor answers what the successor had read",
            |_, world: &World| world.answered_from_journal,
        ),
        Property::sometimes("an upgrade is done", |_, world: &World| {
            world.predecessor_drained && world.successor_accepts
        }),
        Property::sometimes(
            "the predecessor serves again after the successor served",
            |_, world| serves_again_after_death(world),
        ),
        Property::sometimes("the successor outlives the predecessor", |_, world| {
            successor_outlives_predecessor(world)
        }),
    ]
}
