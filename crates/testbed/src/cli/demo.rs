//! `demo`: one process of the program under load, with faults of members.

use super::arguments::{finish_and_check, read_script, LoadArguments};
use crate::error::Result;
use crate::fault_script::FaultScript;
use std::path::Path;

const DEMO_FAULTS: &str = "
1.5s member 2 slow 60ms for 1s
3s member 3 is down for 1s
4.5s member 9 lags 3s for 1s
5s group 2 switches to 5
6s member 8 drains for 3s
7s member 6 fails for 500ms
8s member 1 hangs for 400ms
9s primary of 3 loses answers for 100ms
";

pub(super) fn run(arguments: &LoadArguments, seconds: f64, script: Option<&Path>) -> Result<bool> {
    let text = match script {
        Some(path) => read_script(path)?,
        None => DEMO_FAULTS.to_owned(),
    };
    let script = FaultScript::parse(&text)?;
    println!(
        "{} groups of {} members, {} statements per second for {seconds} s; faults:",
        arguments.setup.groups,
        arguments.setup.replicas + 1,
        arguments.rate
    );
    println!("{}\n", text.trim());
    let deployment = arguments.deploy(script)?;
    let (load, _) = arguments.start_load(&deployment, seconds);
    let records = load.finish();
    Ok(finish_and_check(deployment, &records))
}
