//! `fleet`: a cluster of several processes under one scenario or script.

use super::arguments::{read_script, FleetArguments};
use crate::error::{Error, Result};
use crate::scenario::scenarios;
use std::path::Path;

/// Runs the cluster under `script`, or else under the named scenario; whether all rules were kept.
pub(super) fn run(arguments: &FleetArguments, scene: &str, script: Option<&Path>) -> Result<bool> {
    let (drivers, text) = match script {
        Some(path) => (arguments.drivers, read_script(path)?),
        None => {
            let found = scenarios(arguments.drivers).find(|scenario| scenario.name == scene);
            let names: Vec<_> = scenarios(0).map(|scenario| scenario.name).collect();
            let scenario = found.ok_or_else(|| Error::UnknownScenario {
                name: scene.to_owned(),
                known: names.join(", "),
            })?;
            (scenario.drivers, scenario.script.to_owned())
        }
    };
    println!(
        "{drivers} drivers, {} statements a second:\n{text}\n",
        arguments.rate
    );
    let report = arguments.run(drivers, &text, arguments.basis.seed)?;
    println!("{report}");
    Ok(report.has_no_violations())
}
