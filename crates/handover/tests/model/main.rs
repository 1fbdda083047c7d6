//! Model check of both state machines with one client and one statement, over all orders of steps, deaths and
//! timeouts within bounds.

mod properties;
mod steps;
mod system_state;

use stateright::Checker;
use stateright::Model;
use system_state::{HandoverModel, SeededBug};

#[test]
fn handover_every_order_of_steps_and_deaths_keeps_one_owner() {
    let model = HandoverModel {
        bug: None,
        max_deaths: 2,
    };
    let checker = model.checker().threads(4).spawn_bfs().join();
    let states = checker.unique_state_count();
    println!("{states} states");
    checker.assert_properties();
    assert!(states > 1000, "only {states} states were checked");
}

#[test]
fn handover_seeded_bug_violates_its_property() {
    #[rustfmt::skip]
    let cases = [
        (SeededBug::AcceptWhenReady, properties::NO_EARLY_ACCEPT),
        (SeededBug::MoveInFlight, properties::ONE_OWNER),
        (SeededBug::IgnoreJournal, properties::NO_STATEMENT_LOST),
        (SeededBug::SkipReclaim, properties::ALL_CLIENTS_RECLAIMED),
        (SeededBug::DrainWithoutNotice, properties::DRAIN_HAS_ACCEPTOR),
        (SeededBug::ReclaimFromLiveSuccessor, properties::RECLAIM_FROM_DEAD),
        (SeededBug::DrainOnProbation, properties::DRAIN_AFTER_PROBATION),
        (SeededBug::WriteNotShared, properties::WRITE_KNOWN),
        (SeededBug::WriteSharedBehindClient, properties::WRITE_KNOWN),
        (SeededBug::JournaledWriteForgotten, properties::WRITE_KNOWN),
    ];
    for (bug, property) in cases {
        let model = HandoverModel {
            bug: Some(bug),
            max_deaths: 1,
        };
        let checker = model.checker().threads(4).spawn_bfs().join();
        assert!(checker.discovery(property).is_some(), "{bug:?} was not found");
    }
}
