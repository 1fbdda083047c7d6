//! `trial-fleet`: all scenarios of a cluster, with several seeds.

use super::arguments::FleetArguments;
use crate::cluster::RunReport;
use crate::error::{Error, Result};
use crate::scenario::scenarios;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Mutex;

/// Runs the scenarios in `names`, or all, with `seeds` seeds each and `jobs` clusters at a time; returns
/// whether no rule was violated.
pub(super) fn run(arguments: &FleetArguments, seeds: u64, jobs: usize, names: &[String]) -> Result<bool> {
    let is_selected =
        |name: &str| names.is_empty() || names.iter().any(|selected_name| selected_name == name);
    let selected: Vec<_> = scenarios(arguments.drivers)
        .filter(|scenario| is_selected(scenario.name))
        .collect();
    let seeds = arguments.setup.seed..arguments.setup.seed + seeds;
    // Workers take the runs in this order.
    let runs = selected
        .iter()
        .flat_map(|scenario| seeds.clone().map(move |seed| (scenario, seed)));
    let runs = Mutex::new(runs.collect::<Vec<_>>().into_iter());
    let (passed, failed) = (AtomicU32::new(0), AtomicU32::new(0));
    let next = || runs.lock().ok()?.next();
    let run_worker = || -> Result<()> {
        while let Some((scenario, seed)) = next() {
            let report = arguments.run(scenario.drivers, scenario.script, seed)?;
            print_result(scenario.name, seed, &report);
            let count = if report.has_no_violations() {
                &passed
            } else {
                &failed
            };
            count.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    };
    std::thread::scope(|scope| {
        let workers: Vec<_> = (0..jobs.max(1)).map(|_| scope.spawn(run_worker)).collect();
        let results = workers
            .into_iter()
            .map(|worker| worker.join().unwrap_or(Err(Error::RunPanicked)));
        results.collect::<Result<()>>()
    })?;
    let (passed, failed) = (passed.into_inner(), failed.into_inner());
    println!("{passed} passed, {failed} failed");
    Ok(failed == 0)
}

fn print_result(scenario: &str, seed: u64, report: &RunReport) {
    let retries = report.retries;
    let verdict = if report.has_no_violations() {
        "kept".to_owned()
    } else {
        format!("{:?}", report.violations)
    };
    println!(
        "{scenario:<18} seed {seed:<4} submitted {:>6}, rejected {:>4}, in doubt {:>4}; retries {:>4}, \
         false reports {}, executed twice {}; {verdict}",
        report.submitted,
        report.rejected,
        report.aborted,
        retries.retried,
        retries.false_reports,
        retries.executed_twice,
    );
}
