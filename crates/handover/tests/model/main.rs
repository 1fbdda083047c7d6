//! Model check of both state machines with one client and one statement or one reload, over all orders of steps, deaths and
//! timeouts within bounds.

mod properties;
mod steps;
mod system_state;

use stateright::Checker;
use stateright::Model;
use system_state::{HandoverModel, SeededBug, SharedFact};

#[test]
fn handover_every_order_of_steps_and_deaths_keeps_one_owner() {
    for fact in [SharedFact::Write, SharedFact::Reload] {
        let model = HandoverModel {
            bug: None,
            fact,
            max_deaths: 2,
        };
        let checker = model.checker().threads(4).spawn_bfs().join();
        let states = checker.unique_state_count();
        println!("{fact:?}: {states} states");
        checker.assert_properties();
        assert!(states > 1000, "only {states} states were checked");
    }
}

#[test]
fn handover_seeded_bug_violates_its_property() {
    #[rustfmt::skip]
    let cases = [
        (SeededBug::AcceptWhenReady, SharedFact::Write, properties::NO_EARLY_ACCEPT),
        (SeededBug::MoveInFlight, SharedFact::Write, properties::ONE_OWNER),
        (SeededBug::IgnoreJournal, SharedFact::Write, properties::NO_STATEMENT_LOST),
        (SeededBug::SkipReclaim, SharedFact::Write, properties::ALL_CLIENTS_RECLAIMED),
        (SeededBug::DrainWithoutNotice, SharedFact::Write, properties::DRAIN_HAS_ACCEPTOR),
        (SeededBug::ReclaimFromLiveSuccessor, SharedFact::Write, properties::RECLAIM_FROM_DEAD),
        (SeededBug::DrainOnProbation, SharedFact::Write, properties::DRAIN_AFTER_PROBATION),
        (SeededBug::WriteNotShared, SharedFact::Write, properties::WRITE_KNOWN),
        (SeededBug::WriteSharedBehindClient, SharedFact::Write, properties::WRITE_KNOWN),
        (SeededBug::JournaledWriteForgotten, SharedFact::Write, properties::WRITE_KNOWN),
        (SeededBug::ReloadNotShared, SharedFact::Reload, properties::RELOAD_IN_FORCE),
        (SeededBug::ReloadNotInState, SharedFact::Reload, properties::RELOAD_IN_FORCE),
        (SeededBug::JournaledReloadForgotten, SharedFact::Reload, properties::RELOAD_IN_FORCE),
        (SeededBug::ReloadNotSharedBehindJournal, SharedFact::Reload, properties::RELOAD_IN_FORCE),
    ];
    for (bug, fact, property) in cases {
        let model = HandoverModel {
            bug: Some(bug),
            fact,
            max_deaths: 1,
        };
        let checker = model.checker().threads(4).spawn_bfs().join();
        assert!(checker.discovery(property).is_some(), "{bug:?} was not found");
    }
}
