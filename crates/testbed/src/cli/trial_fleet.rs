//! `trial-fleet`: every scenario with several seeds.

use super::arguments::FleetArguments;
use crate::cluster::RunReport;
use crate::error::{Error, Result};
use crate::scenario::scenarios;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Mutex;

/// Runs `jobs` clusters at once over the scenarios named in `only`, or all; whether all rules were kept in each.
pub(super) fn run(arguments: &FleetArguments, seeds: u64, jobs: usize, only: &[String]) -> Result<bool> {
    let is_selected = |name: &str| only.is_empty() || only.iter().any(|o| o == name);
    let selected: Vec<_> = scenarios(arguments.drivers)
        .filter(|scenario| is_selected(scenario.name))
        .collect();
    let seeds = arguments.basis.seed..arguments.basis.seed + seeds;
    // Scenario by scenario: an idle worker takes the next.
    let runs = selected
        .iter()
        .flat_map(|scenario| seeds.clone().map(move |seed| (scenario, seed)));
    let runs = Mutex::new(runs.collect::<Vec<_>>().into_iter());
    let (passed, failed) = (AtomicU32::new(0), AtomicU32::new(0));
    let next = || runs.lock().ok()?.next();
    let work = || -> Result<()> {
        while let Some((scenario, seed)) = next() {
            let report = arguments.run(scenario.drivers, scenario.script, seed)?;
            print_line(scenario.name, seed, &report);
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
        let workers: Vec<_> = (0..jobs.max(1)).map(|_| scope.spawn(work)).collect();
        let ends = workers
            .into_iter()
            .map(|worker| worker.join().unwrap_or(Err(Error::RunPanicked)));
        ends.collect::<Result<()>>()
    })?;
    let (passed, failed) = (passed.into_inner(), failed.into_inner());
    println!("{passed} passed, {failed} failed");
    Ok(failed == 0)
}

fn print_line(scenario: &str, seed: u64, report: &RunReport) {
    let retries = report.retries;
    let verdict = if report.has_no_violations() {
        "kept".to_owned()
    } else {
        format!("{:?}", report.violations)
    };
    println!(
        "{scenario:<18} seed {seed:<4} asked {:>6}, rejected {:>4}, in doubt {:>4}; repeats {:>4}, untrue {}, doubled {}; {verdict}",
        report.submitted,
        report.rejected,
        report.aborted,
        retries.retried,
        retries.false_reports,
        retries.executed_twice,
    );
}
