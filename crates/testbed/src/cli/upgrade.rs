//! `upgrade`: upgrades or restarts of one process under load, and what clients notice.

use super::arguments::{conclude, LoadArguments};
use crate::checker::{latencies, StatementRecord};
use crate::deployment::Deployment;
use crate::error::Result;
use crate::fault_script::FaultScript;
use crate::member::{lock, pause};
use crate::store_model::ReadCounts;
use crate::wire::wall_clock_now;
use asterlatch::time::{TimeSpan, Timestamp};
use std::path::PathBuf;

/// What is done how often.
pub(super) struct UpgradeOptions {
    pub(super) count: u32,
    /// Restarts in place of upgrades.
    pub(super) restart: bool,
    /// Another build, to and from which upgrades go in turn.
    pub(super) next: Option<PathBuf>,
    /// A member's fault beside every second one.
    pub(super) faults: bool,
    pub(super) calm_before: TimeSpan,
    pub(super) observed_after: TimeSpan,
}

impl UpgradeOptions {
    /// Seconds from one upgrade to the next.
    fn period(&self) -> f64 {
        (self.calm_before.0 + self.observed_after.0) as f64 / 1e6 + 2.0
    }

    /// When upgrade `n` begins, from the begin of the load.
    fn begin_of(&self, n: u32) -> TimeSpan {
        TimeSpan((f64::from(n) * self.period() * 1e6) as u64)
    }
}

/// The span from `.0` up to `.1`, exclusive.
type Span = (Timestamp, Timestamp);

const MEMBER_FAULTS: [&str; 7] = [
    "slow 40ms",
    "is down",
    "switches",
    "fails",
    "lags 2s",
    "drains",
    "hangs",
];

/// A fault beside every second upgrade: while both processes serve, and a little on either side of that.
fn fault_text(common: &LoadArguments, options: &UpgradeOptions) -> String {
    let mut text = String::new();
    let size = common.basis.replicas + 1;
    for n in (0..options.count).filter(|n| options.faults && n % 2 == 1) {
        let at = f64::from(n) * options.period() + options.calm_before.0 as f64 / 1e6 - 0.1;
        let member = n % (common.basis.groups * size) + 1;
        text += &match MEMBER_FAULTS[(n / 2) as usize % MEMBER_FAULTS.len()] {
            "switches" => {
                let group = (member - 1) / size + 1;
                let to = (group - 1) * size + n % size + 1;
                format!("{}s group {group} switches to {to}\n", at + 0.15)
            }
            fault => format!("{at}s member {member} {fault} for 700ms\n"),
        };
    }
    text
}

/// Runs the upgrades under load and prints what clients noticed; whether all rules were kept.
pub(super) fn run(common: &LoadArguments, options: UpgradeOptions) -> Result<bool> {
    let script = FaultScript::parse(&fault_text(common, &options))?;
    let mut deployment = common.deploy(script)?;
    deployment.next_program = options.next.as_ref().map(|file| common.program(file));
    let seconds = f64::from(options.count) * options.period() + 0.5;
    let (load, from) = common.start_load(&deployment, seconds);
    lock(&deployment.store).started_at = from;
    let upgrades = run_upgrades(&mut deployment, &options, from)?;
    let records = load.finish();
    let calm: Vec<Span> = upgrades
        .iter()
        .map(|(at, _)| (*at - options.calm_before, *at - TimeSpan::millis(200)))
        .collect();
    let after: Vec<Span> = upgrades
        .iter()
        .map(|(_, end)| (*end, *end + options.observed_after))
        .collect();
    let kind = if options.restart { "restarts" } else { "upgrades" };
    println!("{} {kind}, {} statements a second", options.count, common.rate);
    for (name, spans) in [("before", &calm), ("meanwhile", &upgrades), ("behind", &after)] {
        print_spans(name, &deployment, &records, from, spans);
    }
    let kept = conclude(deployment, &records);
    // The checker looks at all of them together.
    let (passed, failed) = if kept {
        (options.count, 0)
    } else {
        (0, options.count)
    };
    println!("{passed} passed, {failed} failed");
    Ok(kept)
}

/// Upgrades or restarts one after the other; when each began and had ended.
fn run_upgrades(deployment: &mut Deployment, options: &UpgradeOptions, from: Timestamp) -> Result<Vec<Span>> {
    let mut spans = Vec::new();
    for n in 0..options.count {
        let at = from + options.begin_of(n) + options.calm_before;
        pause(at - wall_clock_now());
        if options.restart {
            deployment.stop();
            deployment.start_program()?;
        } else {
            deployment.upgrade()?;
        }
        spans.push((at, wall_clock_now()));
    }
    Ok(spans)
}

/// Prints latencies of statements that were due within these spans, and where reads went.
fn print_spans(
    name: &str,
    deployment: &Deployment,
    records: &[StatementRecord],
    from: Timestamp,
    spans: &[Span],
) {
    let is_within = |at: &Timestamp| spans.iter().any(|(begin, end)| (*begin..*end).contains(at));
    let own = latencies(records.iter().filter(|record| is_within(&record.due)));
    let quantile = |q| own.value_at_quantile(q) as f64 / 1000.0;
    let reads = count_reads(deployment, from, is_within);
    println!(
        "{name:<10} {:>7} answered, p50 {:>6.1} ms, p99 {:>6.1} ms, most {:>6.1} ms, reads at primaries {:.2} %",
        own.len(),
        quantile(0.5),
        quantile(0.99),
        quantile(1.0),
        100.0 * reads.primary_share()
    );
}

/// Reads executed at times that are within.
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
