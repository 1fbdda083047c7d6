//! Model check of both state machines with one client and its statement: every order of steps, deaths and
//! timeouts that a small world allows.

mod properties;
mod steps;
mod world;

use stateright::Checker;
use stateright::Model;
use world::{HandoverModel, Mistake};

#[test]
fn handover_every_order_of_steps_and_deaths_keeps_one_owner() {
    let model = HandoverModel {
        mistake: None,
        max_deaths: 2,
    };
    let checker = model.checker().threads(4).spawn_bfs().join();
    let states = checker.unique_state_count();
    println!("{states} states");
    checker.assert_properties();
    assert!(states > 1000, "{states} states only");
}

#[test]
fn handover_seeded_mistake_violates_its_property() {
    #[rustfmt::skip]
    let cases = [
        (Mistake::AcceptWhenReady, properties::NO_EARLY_ACCEPT),
        (Mistake::MoveInFlight, properties::ONE_OWNER),
        (Mistake::ForgetJournal, properties::NO_STATEMENT_LOST),
        (Mistake::ReclaimNobody, properties::ALL_CLIENTS_RECLAIMED),
        (Mistake::DrainSilently, properties::DRAIN_HAS_ACCEPTOR),
        (Mistake::ReclaimFromLiving, properties::RECLAIM_FROM_DEAD),
        (Mistake::DrainAtOnce, properties::DRAIN_AFTER_PROBATION),
    ];
    for (mistake, property) in cases {
        let model = HandoverModel {
            mistake: Some(mistake),
            max_deaths: 1,
        };
        let checker = model.checker().threads(4).spawn_bfs().join();
        assert!(checker.discovery(property).is_some(), "{mistake:?} is not found");
    }
}
