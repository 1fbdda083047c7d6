//! `upgrade`: upgrades or restarts of one process under load, and their effect on clients.

use super::arguments::{finish_and_check, LoadArguments};
use crate::checker::{latencies, StatementRecord};
use crate::deployment::Deployment;
use crate::error::Result;
use crate::fault_script::FaultScript;
use crate::member::{lock, pause};
use crate::store_model::ReadCounts;
use crate::wire::wall_clock_now;
use asterlatch::time::{TimeSpan, Timestamp};
use std::path::PathBuf;

/// Options of the command.
pub(super) struct UpgradeOptions {
    pub(super) count: u32,
    /// Whether to restart the process instead of upgrading it.
    pub(super) restart: bool,
    /// Executable of another build; upgrades alternate between both.
    pub(super) next: Option<PathBuf>,
    /// Whether to inject a member's fault during every second upgrade.
    pub(super) faults: bool,
    pub(super) calm_before: TimeSpan,
    pub(super) observed_after: TimeSpan,
}

impl UpgradeOptions {
    /// Seconds from one upgrade to the next.
    fn period_s(&self) -> f64 {
        (self.calm_before.0 + self.observed_after.0) as f64 / 1e6 + 2.0
    }

    /// Start of the period of an upgrade, counted from the start of the load.
    fn period_start(&self, index: u32) -> TimeSpan {
        TimeSpan((f64::from(index) * self.period_s() * 1e6) as u64)
    }
}

/// Start and end of a time range; the end is exclusive.
type TimeRange = (Timestamp, Timestamp);

const MEMBER_FAULTS: [&str; 7] = [
    "slow 40ms",
    "is down",
    "switches",
    "fails",
    "lags 2s",
    "drains",
    "hangs",
];

/// Builds the fault script: a fault around every second upgrade.
fn fault_script_text(arguments: &LoadArguments, options: &UpgradeOptions) -> String {
    let mut text = String::new();
    let group_size = arguments.setup.replicas + 1;
    for index in (0..options.count).filter(|index| options.faults && index % 2 == 1) {
        let start_s = f64::from(index) * options.period_s() + options.calm_before.0 as f64 / 1e6 - 0.1;
        let member = index % (arguments.setup.groups * group_size) + 1;
        text += &match MEMBER_FAULTS[(index / 2) as usize % MEMBER_FAULTS.len()] {
            "switches" => {
                let group = (member - 1) / group_size + 1;
                let to = (group - 1) * group_size + index % group_size + 1;
                format!("{}s group {group} switches to {to}\n", start_s + 0.15)
            }
            fault => format!("{start_s}s member {member} {fault} for 700ms\n"),
        };
    }
    text
}

/// Runs the upgrades under load and prints latencies; returns whether no rule was violated.
pub(super) fn run(arguments: &LoadArguments, options: UpgradeOptions) -> Result<bool> {
    let script = FaultScript::parse(&fault_script_text(arguments, &options))?;
    let mut deployment = arguments.deploy(script)?;
    deployment.next_program = options.next.as_ref().map(|file| arguments.program(file));
    let seconds = f64::from(options.count) * options.period_s() + 0.5;
    let (load, from) = arguments.start_load(&deployment, seconds);
    lock(&deployment.store).started_at = from;
    let upgrades = run_upgrades(&mut deployment, &options, from)?;
    let records = load.finish();
    let before: Vec<TimeRange> = upgrades
        .iter()
        .map(|(start, _)| (*start - options.calm_before, *start - TimeSpan::millis(200)))
        .collect();
    let after: Vec<TimeRange> = upgrades
        .iter()
        .map(|(_, end)| (*end, *end + options.observed_after))
        .collect();
    let kind = if options.restart { "restarts" } else { "upgrades" };
    println!(
        "{} {kind}, {} statements per second",
        options.count, arguments.rate
    );
    for (name, ranges) in [("before", &before), ("during", &upgrades), ("after", &after)] {
        print_ranges(name, &deployment, &records, from, ranges);
    }
    let has_no_violations = finish_and_check(deployment, &records);
    // The checker doesn't attribute violations to single upgrades.
    let (passed, failed) = if has_no_violations {
        (options.count, 0)
    } else {
        (0, options.count)
    };
    println!("{passed} passed, {failed} failed");
    Ok(has_no_violations)
}

/// Runs the upgrades or restarts one after the other; returns the start and end of each.
fn run_upgrades(
    deployment: &mut Deployment,
    options: &UpgradeOptions,
    from: Timestamp,
) -> Result<Vec<TimeRange>> {
    let mut ranges = Vec::new();
    for index in 0..options.count {
        let start = from + options.period_start(index) + options.calm_before;
        pause(start - wall_clock_now());
        if options.restart {
            deployment.stop();
            deployment.start_program()?;
        } else {
            deployment.upgrade()?;
        }
        ranges.push((start, wall_clock_now()));
    }
    Ok(ranges)
}

/// Prints latencies of statements that were due within these ranges, and where reads went.
fn print_ranges(
    name: &str,
    deployment: &Deployment,
    records: &[StatementRecord],
    from: Timestamp,
    ranges: &[TimeRange],
) {
    let is_within = |at: &Timestamp| ranges.iter().any(|(start, end)| (*start..*end).contains(at));
    let histogram = latencies(records.iter().filter(|record| is_within(&record.due)));
    let quantile_ms = |q| histogram.value_at_quantile(q) as f64 / 1000.0;
    let reads = count_reads(deployment, from, is_within);
    println!(
        "{name:<10} {:>7} answered, p50 {:>6.1} ms, p99 {:>6.1} ms, max {:>6.1} ms, \
         reads at primaries {:.2} %",
        histogram.len(),
        quantile_ms(0.5),
        quantile_ms(0.99),
        quantile_ms(1.0),
        100.0 * reads.primary_share()
    );
}

/// Counts the reads that were executed at times for which `is_within` returns true.
fn count_reads(
    deployment: &Deployment,
    from: Timestamp,
    is_within: impl Fn(&Timestamp) -> bool,
) -> ReadCounts {
    let store = lock(&deployment.store);
    let time_of = |tenth: u64| from + TimeSpan::millis(tenth * 100);
    let within = store
        .reads
        .iter()
        .filter(|(tenth, _)| is_within(&time_of(**tenth)));
    within.map(|(_, counts)| *counts).sum()
}
