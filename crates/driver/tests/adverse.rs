//! The test bed's short adverse scenarios. The longer ones (`fault-after-quiet`, `fault-after-silence`,
//! `discovery-away`) are run by `asterlatch-testbed adverse`.

use asterlatch_testbed::adverse::{find_scenario, SCENARIOS};
use std::path::Path;
use std::sync::{Mutex, PoisonError};

const SEED: u64 = 1;
/// Limits scenarios to two at a time: an overloaded machine is not a fault that any of them tests.
static SLOTS: [Mutex<()>; 2] = [const { Mutex::new(()) }; 2];

fn assert_rules_hold(slot: usize, name: &str) {
    let _slot = SLOTS[slot % SLOTS.len()]
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let scenario = find_scenario(name).expect("find the scenario");
    let program = Path::new(env!("CARGO_BIN_EXE_asterlatch"));
    let report = scenario.run(program, SEED).expect("run the scenario");
    assert!(report.has_no_violations(), "{report}");
    assert!(report.submitted > 500, "too few statements: {report}");
}

macro_rules! short_scenarios {
    ($($slot:literal $test:ident: $scenario:literal,)*) => {
        $(#[test]
        fn $test() {
            assert_rules_hold($slot, $scenario);
        })*

        #[test]
        fn adverse_short_scenarios_are_all_run() {
            let short = SCENARIOS.iter().filter(|scenario| scenario.seconds < 10.0);
            assert_eq!(vec![$($scenario),*], short.map(|scenario| scenario.name).collect::<Vec<_>>());
        }
    };
}

short_scenarios! {
    0 adverse_discovery_away_keeps_all_rules: "discovery-away-shortly",
    1 adverse_discovery_refusing_keeps_all_rules: "discovery-refuses",
    0 adverse_restarts_in_discovery_outage_keep_all_rules: "restarts-in-an-outage",
    1 adverse_idle_connections_forgotten_under_drain_keep_all_rules: "idle-forgotten-under-drain",
    1 adverse_discovery_slow_keeps_all_rules: "discovery-slow",
    0 adverse_discovery_crowded_keeps_all_rules: "discovery-crowded",
    1 adverse_endpoint_lists_without_length_are_used: "lists-without-length",
    0 adverse_ten_reloads_in_a_second_are_all_loaded: "sighup-burst",
    1 adverse_members_closing_idle_connections_cost_no_statement: "idle-closed",
    0 adverse_members_resetting_idle_connections_keep_all_rules: "idle-reset",
    1 adverse_members_forgetting_idle_connections_keep_all_rules: "idle-forgotten",
    0 adverse_stopped_clients_are_closed_within_three_seconds: "clients-stop",
    1 adverse_short_timeouts_get_one_answer: "little-time",
    0 adverse_short_timeouts_at_hanging_members_get_one_answer: "little-time-at-hanging-members",
}
