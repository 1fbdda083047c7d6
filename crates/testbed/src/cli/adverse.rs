//! `adverse`: scenarios of trouble beyond the operators' bench.

use super::arguments::SetupArguments;
use crate::adverse::{find_scenario, AdverseScenario, SCENARIOS};
use crate::error::{Error, Result};

/// Runs the named scenarios, or all, each with so many seeds; whether all rules were kept.
pub(super) fn run(basis: &SetupArguments, seeds: u64, names: &[String]) -> Result<bool> {
    let selected: Vec<&AdverseScenario> = match names {
        [] => SCENARIOS.iter().collect(),
        names => names.iter().map(|name| named(name)).collect::<Result<_>>()?,
    };
    let program = basis.driver()?;
    let mut failed = 0;
    for scenario in &selected {
        for seed in basis.seed..basis.seed + seeds {
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

fn named(name: &str) -> Result<&'static AdverseScenario> {
    let names: Vec<_> = SCENARIOS.iter().map(|scenario| scenario.name).collect();
    find_scenario(name).ok_or_else(|| Error::UnknownScenario {
        name: name.to_owned(),
        known: names.join(", "),
    })
}
