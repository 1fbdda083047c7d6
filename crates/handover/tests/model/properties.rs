//! Properties that hold in all states, and properties that hold in some state.

use crate::system_state::{ClientLocation, HandoverModel, SharedFact, SystemState};
use asterlatch::time::Timestamp;
use asterlatch_handover::predecessor;
use asterlatch_handover::successor::{self, Successor};
use stateright::Property;

pub(crate) const NO_EARLY_ACCEPT: &str =
    "the successor accepts clients only on probation or once it owns the service";
pub(crate) const ONE_OWNER: &str = "at most one process owns the statement";
pub(crate) const ONE_ANSWER: &str = "no statement is answered twice";
pub(crate) const NO_STATEMENT_LOST: &str =
    "a statement that was sent is answered or still pending, unless its client's process died";
pub(crate) const ALL_CLIENTS_RECLAIMED: &str =
    "a predecessor that serves alone has reclaimed all clients of a dead successor";
pub(crate) const NO_DEADLOCK: &str = "if no process accepts clients, a further step is possible";
pub(crate) const DRAIN_AFTER_PROBATION: &str =
    "the predecessor exits after a drain only if the successor owns the service";
pub(crate) const RECLAIM_FROM_DEAD: &str = "clients are reclaimed only from a dead successor";
pub(crate) const DRAIN_HAS_ACCEPTOR: &str =
    "while both processes serve on probation, one of them accepts clients";
pub(crate) const RELOAD_IN_FORCE: &str =
    "a reload is in force in each process that serves, once nothing is on its way";
pub(crate) const WRITE_KNOWN: &str =
    "the process that has the client knows of the write that was answered to it";

fn successor_has_phase(state: &SystemState, phase: successor::Phase) -> bool {
    let has = |successor: &Successor| successor.phase == phase;
    state.successor.as_ref().is_some_and(has)
}

fn no_early_accept(state: &SystemState) -> bool {
    let may_accept = successor_has_phase(state, successor::Phase::Probation)
        || successor_has_phase(state, successor::Phase::Serving);
    !state.successor_accepts || may_accept
}

fn one_owner(state: &SystemState) -> bool {
    !(state.predecessor_owns_statement && state.successor_owns_statement)
}

fn one_answer(state: &SystemState) -> bool {
    state.answers <= u8::from(state.statement_sent)
}

fn no_statement_lost(state: &SystemState) -> bool {
    let is_pending =
        state.statement_unread || state.predecessor_owns_statement || state.successor_owns_statement;
    !state.statement_sent || state.answers > 0 || is_pending || state.client == ClientLocation::Lost
}

fn all_clients_reclaimed(state: &SystemState) -> bool {
    let serves_alone = state.predecessor_alive
        && state.predecessor_actions.is_empty()
        && state.successor.is_none()
        && state.predecessor.phase == predecessor::Phase::Serving;
    !serves_alone || matches!(state.client, ClientLocation::Predecessor | ClientLocation::Lost)
}

fn no_deadlock(state: &SystemState) -> bool {
    let has_timer = state.predecessor.next_deadline() < Timestamp(u64::MAX);
    let predecessor_can_continue = state.predecessor_alive
        && (!state.predecessor_actions.is_empty() || has_timer || !state.to_predecessor.is_empty());
    let exit_unseen = state.predecessor_alive && state.successor.is_some() && !state.successor_alive;
    let successor_can_continue = state.successor_alive
        && (!state.successor_actions.is_empty() || !state.to_successor.is_empty() || state.is_killing);
    let accepts = state.predecessor_accepts || state.successor_accepts;
    // Without a predecessor no process waits for a message.
    accepts || predecessor_can_continue || exit_unseen || successor_can_continue || !state.predecessor_alive
}

fn drain_after_probation(state: &SystemState) -> bool {
    !state.predecessor_drained || successor_has_phase(state, successor::Phase::Serving)
}

fn drain_has_acceptor(state: &SystemState) -> bool {
    let is_settled = state.predecessor_actions.is_empty()
        && state.successor_actions.is_empty()
        && state.to_successor.is_empty();
    let both_serve = state.predecessor_alive
        && state.successor_alive
        && successor_has_phase(state, successor::Phase::Probation);
    let is_standby = state.predecessor.phase == predecessor::Phase::Standby;
    let must_accept = both_serve && is_settled && !state.is_killing && is_standby;
    !must_accept || state.predecessor_accepts || state.successor_accepts
}

fn write_known(state: &SystemState) -> bool {
    let is_executed = state.answers > 0 && !state.answered_from_journal;
    let is_known = match state.client {
        ClientLocation::Predecessor => state.predecessor_knows_fact || !state.predecessor_alive,
        ClientLocation::Successor => state.successor_knows_fact || !state.successor_alive,
        ClientLocation::InTransfer | ClientLocation::Lost => true,
    };
    !is_executed || is_known
}

pub(crate) fn successor_serves(state: &SystemState) -> bool {
    successor_has_phase(state, successor::Phase::Probation)
        || successor_has_phase(state, successor::Phase::Serving)
}

/// Whether a reload is in force wherever it has to be once nothing is on its way.
fn reload_in_force(state: &SystemState) -> bool {
    let is_on_its_way = state.is_fact_unshared
        || state.is_fact_journaled
        || !state.predecessor_actions.is_empty()
        || !state.successor_actions.is_empty()
        || !state.to_predecessor.is_empty()
        || !state.to_successor.is_empty();
    // A predecessor that drains behind a dead successor isn't told.
    let is_orphaned = !state.successor_alive && state.predecessor.phase == predecessor::Phase::HandedOver;
    let in_predecessor = state.predecessor_knows_fact || !state.predecessor_alive || is_orphaned;
    let in_successor = state.successor_knows_fact || !state.successor_alive || !successor_serves(state);
    state.reloads == 0 || state.is_reload_lost || is_on_its_way || (in_predecessor && in_successor)
}

fn serves_again_after_death(state: &SystemState) -> bool {
    state.predecessor_accepts
        && state.deaths > 0
        && state.upgrades > 0
        && state.predecessor.phase == predecessor::Phase::Serving
}

fn successor_outlives_predecessor(state: &SystemState) -> bool {
    !state.predecessor_alive
        && !state.predecessor_drained
        && state.successor_accepts
        && successor_has_phase(state, successor::Phase::Serving)
}

/// All properties that the checker evaluates.
pub(crate) fn all(fact: SharedFact) -> Vec<Property<HandoverModel>> {
    let mut all = vec![
        Property::always(NO_EARLY_ACCEPT, |_, state| no_early_accept(state)),
        Property::always(ONE_OWNER, |_, state| one_owner(state)),
        Property::always(ONE_ANSWER, |_, state| one_answer(state)),
        Property::always(NO_STATEMENT_LOST, |_, state| no_statement_lost(state)),
        Property::always(ALL_CLIENTS_RECLAIMED, |_, state| all_clients_reclaimed(state)),
        Property::always(NO_DEADLOCK, |_, state| no_deadlock(state)),
        Property::always(DRAIN_AFTER_PROBATION, |_, state| drain_after_probation(state)),
        Property::always(RECLAIM_FROM_DEAD, |_, state: &SystemState| !state.reclaimed_early),
        Property::always(DRAIN_HAS_ACCEPTOR, |_, state| drain_has_acceptor(state)),
        Property::always(WRITE_KNOWN, |_, state| write_known(state)),
        Property::always(RELOAD_IN_FORCE, |_, state| reload_in_force(state)),
        Property::sometimes("an upgrade is completed", |_, state: &SystemState| {
            state.predecessor_drained && state.successor_accepts
        }),
        Property::sometimes(
            "the predecessor serves again after a death during an upgrade",
            |_, state| serves_again_after_death(state),
        ),
        Property::sometimes("the successor outlives the predecessor", |_, state| {
            successor_outlives_predecessor(state)
        }),
    ];
    // Without statements there is none to recover.
    if fact == SharedFact::Write {
        all.push(Property::sometimes(
            "the predecessor answers a statement that the successor had read",
            |_, state: &SystemState| state.answered_from_journal,
        ));
    }
    all
}
