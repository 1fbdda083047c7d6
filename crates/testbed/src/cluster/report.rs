//! Result of a run with a cluster, and its text form.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};

/// Non-idempotent writes that a client retried at another driver after an attempt without an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryCounts {
    /// All retried writes.
    pub retried: u64,
    /// Executed before the retry was sent.
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
    /// Text of the checker's report.
    pub summary: String,
    /// Number of violations, by rule.
    pub violations: BTreeMap<&'static str, u64>,
    /// Retries of non-idempotent writes.
    pub retries: RetryCounts,
    /// Statements that clients sent.
    pub submitted: u64,
    /// Answered with a row.
    pub completed: u64,
    /// Reported as not executed.
    pub rejected: u64,
    /// Reported as possibly executed.
    pub aborted: u64,
    /// Fraction of reads that primaries executed, from 0 to 1.
    pub primary_read_fraction: f64,
    /// Session reads older than a write of their session at another driver; not a violation.
    pub stale_roaming_reads: u64,
    /// Mean bytes of gossip that a driver sends per second.
    pub gossip_bytes_per_second: f64,
    /// Time until the drivers' replicated state was equal; `None` if it never was.
    pub convergence_seconds: Option<f64>,
    /// Processor time of the drivers that ran at the end.
    pub cpu_seconds: f64,
    /// Counters in the drivers' last logs, added up over the drivers but for those that are maxima.
    pub counters: BTreeMap<String, u64>,
    /// Measurements of additional clients and of the scenario, one line each.
    pub notes: Vec<String>,
    /// Endpoint lists that discovery sent with a `Content-Length`.
    pub lists_with_length: u64,
    /// Endpoint lists that discovery sent without a `Content-Length`.
    pub lists_without_length: u64,
}

impl RunReport {
    /// A counter of [`counters`](Self::counters).
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
            "non-idempotent writes retried at another driver: {}, {} already executed; reported in doubt {}, \
             not executed {}, completed {}; false reports {}, executed twice {}",
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
        let convergence = self
            .convergence_seconds
            .map_or("never".to_owned(), |s| format!("after {s:.2} s"));
        writeln!(
            f,
            "gossip: {:.0} bytes per driver and second; replicated state equal {convergence}",
            self.gossip_bytes_per_second
        )
    }

    fn write_counters(&self, f: &mut Formatter) -> fmt::Result {
        let count = |name: &str| self.counter(name);
        writeln!(
            f,
            "connections opened {} (first {}, busy {}, again {}), \
             health checks {}, for the fleet {}, left to peers {}, members unresponsive by consensus {}; \
             longest turn of an event loop {} us, latest wake-up {} us",
            count("connections_opened"),
            count("opened_first"),
            count("opened_busy"),
            count("opened_again"),
            count("health_checks_sent"),
            count("health_checks_for_fleet"),
            count("health_checks_left_to_peers"),
            count("unresponsive_by_consensus"),
            count("turn_longest_us"),
            count("wake_up_latest_us")
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
            self.primary_read_fraction * 100.0,
            self.stale_roaming_reads
        )?;
        let us_per_statement = self.cpu_seconds * 1e6 / self.submitted.max(1) as f64;
        writeln!(
            f,
            "drivers' processor time {us_per_statement:.0} us per statement"
        )?;
        if self.gossip_bytes_per_second > 0.0 {
            self.write_gossip(f)?;
        }
        self.write_counters(f)?;
        for note in &self.notes {
            writeln!(f, "{note}")?;
        }
        for (rule, count) in &self.violations {
            writeln!(f, "broken: {count} times {rule}")?;
        }
        if self.has_no_violations() {
            writeln!(f, "rules kept over all processes")?;
        }
        Ok(())
    }
}
