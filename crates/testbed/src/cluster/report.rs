//! Result of a run with a cluster, and its printed form.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};

/// What became of statements whose client had no answer at one driver and repeated them at another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryCounts {
    pub retried: u64,
    /// Of those that had run when they were repeated.
    pub executed_before_retry: u64,
    pub reported_in_doubt: u64,
    pub reported_not_executed: u64,
    pub completed: u64,
    /// Told that nothing ran where something had.
    pub false_reports: u64,
    /// Ran twice.
    pub executed_twice: u64,
}

#[derive(Clone, Debug, Default)]
pub struct RunReport {
    pub summary: String,
    /// Rules broken, by name.
    pub violations: BTreeMap<&'static str, u64>,
    pub retries: RetryCounts,
    pub asked: u64,
    pub completed: u64,
    pub rejected: u64,
    pub aborted: u64,
    pub reads_at_primaries: f64,
    /// Session reads at another driver than the write's that were older than that write.
    pub stale_roaming_reads: u64,
    /// Datagram bytes a driver and second.
    pub gossip_bytes_per_second: f64,
    /// Until all copies were equal, in seconds.
    pub convergence_seconds: Option<f64>,
    /// Processor time of all drivers that lived to the end, in seconds.
    pub cpu_seconds: f64,
    /// What drivers counted, summed over those that lived to the end.
    pub counters: BTreeMap<String, u64>,
}

impl RunReport {
    pub fn all_rules_kept(&self) -> bool {
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
        let count = |name: &str| self.counters.get(name).copied().unwrap_or(0);
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
        let each = self.cpu_seconds * 1e6 / self.asked.max(1) as f64;
        writeln!(f, "drivers' processor time {each:.0} us a statement")?;
        if self.gossip_bytes_per_second > 0.0 {
            self.write_gossip(f)?;
        }
        self.write_counters(f)?;
        for (what, count) in &self.violations {
            writeln!(f, "broken: {count} times {what}")?;
        }
        if self.all_rules_kept() {
            writeln!(f, "rules kept over all processes")?;
        }
        Ok(())
    }
}
