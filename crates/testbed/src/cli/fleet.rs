//! `fleet`: a cluster of several processes under a scenario or a fault script.

use super::arguments::{read_script, FleetArguments};
use crate::error::{Error, Result};
use crate::scenario::scenarios;
use std::path::Path;

/// Runs a cluster under `script`, or without it under the named scenario; returns whether no rule was
/// violated.
pub(super) fn run(arguments: &FleetArguments, scenario_name: &str, script: Option<&Path>) -> Result<bool> {
    let (drivers, text) = match script {
        Some(path) => (arguments.drivers, read_script(path)?),
        None => {
            let found = scenarios(arguments.drivers).find(|scenario| scenario.name == scenario_name);
            let names: Vec<_> = scenarios(0).map(|scenario| scenario.name).collect();
            let scenario = found.ok_or_else(|| Error::UnknownScenario {
                name: scenario_name.to_owned(),
                known: names.join(", "),
            })?;
            (scenario.drivers, scenario.script.to_owned())
        }
    };
    println!(
        "{drivers} drivers, {} statements per second:\n{text}\n",
        arguments.rate
    );
    let report = arguments.run(drivers, &text, arguments.setup.seed)?;
    println!("{report}");
    Ok(report.has_no_violations())
}
