//! Observes a running cluster: membership, replicated state, processor time.

use super::{Cluster, DriverProcess};
use crate::deployment::START_TIMEOUT;
use crate::error::{Error, Result};
use serde_json::Value;
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

impl Cluster {
    /// Waits until each driver reports all drivers as present and caught up.
    pub fn await_membership(&self) -> Result<()> {
        let deadline = Instant::now() + START_TIMEOUT;
        while !self.is_membership_complete()? {
            if Instant::now() > deadline {
                return Err(Error::MembershipTimeout);
            }
            thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    }

    fn is_membership_complete(&self) -> Result<bool> {
        for process in &self.processes {
            let status = self.query_fleet(process.number, "status")?;
            let rows = status["drivers"].as_array().cloned().unwrap_or_default();
            let is_ready = |row: &Value| {
                let presence = row["presence"].as_str().unwrap_or_default();
                row["caught_up"] == true && (presence == "there" || presence == "this one")
            };
            if rows.len() != self.processes.len() || !rows.iter().all(is_ready) {
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// Runs `fleet SUBCOMMAND --json` of the program for a driver; returns its output.
    pub fn query_fleet(&self, number: u32, subcommand: &str) -> Result<Value> {
        let output = Command::new(&self.program)
            .args(["fleet", subcommand, "--json", "--control"])
            .arg(self.path(number, "control"))
            .output()?;
        serde_json::from_slice(&output.stdout).map_err(|source| Error::InvalidStatus {
            command: subcommand.to_owned(),
            driver: number,
            source,
            stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
        })
    }

    /// Waits until the drivers' replicated state is equal; returns the time that it took, or `None` after
    /// `timeout`.
    pub fn await_convergence(&self, timeout: Duration) -> Result<Option<Duration>> {
        let started_at = Instant::now();
        while started_at.elapsed() < timeout {
            let copies: Result<Vec<Value>> = self
                .processes
                .iter()
                .map(|p| Ok(self.query_fleet(p.number, "facts")?["copy"].clone()))
                .collect();
            let copies = copies?;
            if copies.windows(2).all(|w| w[0] == w[1]) {
                return Ok(Some(started_at.elapsed()));
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(None)
    }

    /// Processor time of all running drivers, in seconds.
    pub(super) fn cpu_seconds(&self) -> f64 {
        let process_seconds = |process: &DriverProcess| -> Option<f64> {
            let stat =
                std::fs::read_to_string(format!("/proc/{}/stat", process.child.as_ref()?.id())).ok()?;
            let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
            let ticks = |index: usize| fields.get(index)?.parse::<f64>().ok();
            // utime and stime, fields 14 and 15 of proc_pid_stat(5), in hundredths of a second.
            Some((ticks(11)? + ticks(12)?) / 100.0)
        };
        self.processes.iter().filter_map(process_seconds).sum()
    }
}
