//! Result of a run with a cluster, and its printed form.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};

/// Non-idempotent writes that a client retried at another driver after one gave no answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryCounts {
    /// All of them.
    pub retried: u64,
    /// Those that had been executed when they were retried.
    pub executed_before_retry: u64,
    /// Reported as possibly executed.
    pub reported_in_doubt: u64,
    /// Reported as not executed.
    pub reported_not_executed: u64,
    /// Answered with a row.
    pub completed: u64,
    /// Reported as not executed although they were.
    pub false_reports: u64,
    /// Executed twice.
    pub executed_twice: u64,
}

/// Result of a run.
#[derive(Clone, Debug, Default)]
pub struct RunReport {
    /// Table of the checker's report.
    pub summary: String,
    /// Count of violations by rule.
    pub violations: BTreeMap<&'static str, u64>,
    /// Retries of non-idempotent writes.
    pub retries: RetryCounts,
    /// All statements.
    pub submitted: u64,
    /// Answered with a row.
    pub completed: u64,
    /// Reported as not executed.
    pub rejected: u64,
    /// Reported as possibly executed.
    pub aborted: u64,
    /// Share of all reads, from 0 to 1.
    pub reads_at_primaries: f64,
    /// Session reads older than a write of their session at another driver; no violation.
    pub stale_roaming_reads: u64,
    /// Datagram bytes that a driver sends a second.
    pub gossip_bytes_per_second: f64,
    /// Time until all copies were equal; `None` if they never were.
    pub convergence_seconds: Option<f64>,
    /// Processor time of all drivers that ran at the end.
    pub cpu_seconds: f64,
    /// Counters, summed over the drivers' last logs.
    pub counters: BTreeMap<String, u64>,
    /// What other clients have measured beside the load, a line each.
    pub notes: Vec<String>,
    /// Complete lists that discovery sent with a length, and without one.
    pub lists_with_length: u64,
    /// See `lists_with_length`.
    pub lists_without_length: u64,
}

impl RunReport {
    /// A counter, summed over the drivers' last logs.
    pub fn counter(&self, name: &str) -> u64 {
        self.counters.get(name).copied().unwrap_or(0)
    }

    /// Whether no rule was violated.
    pub fn has_no_violations(&self) -> bool {
        self.violations.is_empty()
    }
}

impl RunReport {
    fn write_retries(&self, f: &mut Formatter) -> fmt::Result {
        let r = &self.retries;
        writeln!(
            f,
            "unsafe writes repeated at another driver: {}, of which {} had run; told in doubt {}, untouched {}, completed {}; \
             untrue {}, doubled {}",
            r.retried,
            r.executed_before_retry,
            r.reported_in_doubt,
            r.reported_not_executed,
            r.completed,
            r.false_reports,
            r.executed_twice
        )
    }

    fn write_gossip(&self, f: &mut Formatter) -> fmt::Result {
        let equal = self
            .convergence_seconds
            .map_or("never".to_owned(), |s| format!("after {s:.2} s"));
        writeln!(
            f,
            "told: {:.0} bytes a driver and second; copies equal {equal}",
            self.gossip_bytes_per_second
        )
    }

    fn write_counters(&self, f: &mut Formatter) -> fmt::Result {
        let count = |name: &str| self.counter(name);
        writeln!(
            f,
            "connections opened {} (first {}, busy {}, again {}), probes {}, for all {}, left to others {}, members silent by word {}",
            count("connections_opened"),
            count("opened_first"),
            count("opened_busy"),
            count("opened_again"),
            count("health_checks_sent"),
            count("health_checks_for_fleet"),
            count("health_checks_left_to_peers"),
            count("unresponsive_by_consensus")
        )
    }
}

impl Display for RunReport {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        let table = self.summary.split("rules kept").next().unwrap_or_default();
        let table = table.split("broken:").next().unwrap_or_default();
        write!(f, "{table}")?;
        self.write_retries(f)?;
        writeln!(
            f,
            "reads at primaries {:.2} %, session reads older than a write at another driver: {}",
            self.reads_at_primaries * 100.0,
            self.stale_roaming_reads
        )?;
        let each = self.cpu_seconds * 1e6 / self.submitted.max(1) as f64;
        writeln!(f, "drivers' processor time {each:.0} us a statement")?;
        if self.gossip_bytes_per_second > 0.0 {
            self.write_gossip(f)?;
        }
        self.write_counters(f)?;
        for note in &self.notes {
            writeln!(f, "{note}")?;
        }
        for (what, count) in &self.violations {
            writeln!(f, "broken: {count} times {what}")?;
        }
        if self.has_no_violations() {
            writeln!(f, "rules kept over all processes")?;
        }
        Ok(())
    }
}
