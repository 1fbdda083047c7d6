//! `adverse`: scenarios with faults of discovery, idle connections, stalled clients and short timeouts.

use super::arguments::SetupArguments;
use crate::adverse::{find_scenario, AdverseScenario, SCENARIOS};
use crate::error::{Error, Result};

/// Runs the named scenarios, or all, with `seeds` seeds each; returns whether no rule was violated.
pub(super) fn run(setup: &SetupArguments, seeds: u64, names: &[String]) -> Result<bool> {
    let selected: Vec<&AdverseScenario> = match names {
        [] => SCENARIOS.iter().collect(),
        names => names
            .iter()
            .map(|name| require_scenario(name))
            .collect::<Result<_>>()?,
    };
    let program = setup.driver()?;
    let mut failed = 0;
    for scenario in &selected {
        for seed in setup.seed..setup.seed + seeds {
            println!(
                "{}, seed {seed}, {} drivers:\n{}",
                scenario.name, scenario.drivers, scenario.script
            );
            let report = scenario.run(&program, seed)?;
            println!("{report}");
            failed += u64::from(!report.has_no_violations());
        }
    }
    println!(
        "{} passed, {failed} failed",
        selected.len() as u64 * seeds - failed
    );
    Ok(failed == 0)
}

fn require_scenario(name: &str) -> Result<&'static AdverseScenario> {
    let names: Vec<_> = SCENARIOS.iter().map(|scenario| scenario.name).collect();
    find_scenario(name).ok_or_else(|| Error::UnknownScenario {
        name: name.to_owned(),
        known: names.join(", "),
    })
}
