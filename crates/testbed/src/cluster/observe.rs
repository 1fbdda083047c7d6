//! What a running cluster reports: membership, replicated state, processor time.

use super::{Cluster, DriverProcess};
use crate::deployment::START_TIMEOUT;
use crate::error::{Error, Result};
use serde_json::Value;
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

impl Cluster {
    /// Waits until each driver lists all others as present and caught up.
    pub fn await_membership(&self) -> Result<()> {
        let end = Instant::now() + START_TIMEOUT;
        while !self.is_membership_complete()? {
            if Instant::now() > end {
                return Err(Error::MembershipTimeout);
            }
            thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    }

    fn is_membership_complete(&self) -> Result<bool> {
        for process in &self.processes {
            let status = self.query_status(process.number, "status")?;
            let rows = status["drivers"].as_array().cloned().unwrap_or_default();
            let fine = |r: &Value| {
                let presence = r["presence"].as_str().unwrap_or_default();
                r["caught_up"] == true && (presence == "there" || presence == "this one")
            };
            if rows.len() != self.processes.len() || !rows.iter().all(fine) {
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// Output of the program's `fleet WHAT` about a driver.
    pub fn query_status(&self, number: u32, what: &str) -> Result<Value> {
        let output = Command::new(&self.program)
            .args(["fleet", what, "--json", "--control"])
            .arg(self.path(number, "control"))
            .output()?;
        serde_json::from_slice(&output.stdout).map_err(|source| Error::InvalidStatus {
            command: what.to_owned(),
            driver: number,
            source,
            stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
        })
    }

    /// How long it takes until all copies are equal once no change comes; `None` if longer than `most`.
    pub fn await_equal_copies(&self, most: Duration) -> Result<Option<Duration>> {
        let waiting_since = Instant::now();
        while waiting_since.elapsed() < most {
            let marks: Result<Vec<Value>> = self
                .processes
                .iter()
                .map(|p| Ok(self.query_status(p.number, "facts")?["copy"].clone()))
                .collect();
            let marks = marks?;
            if marks.windows(2).all(|w| w[0] == w[1]) {
                return Ok(Some(waiting_since.elapsed()));
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(None)
    }

    /// Processor time of all running drivers, in seconds.
    pub(super) fn cpu_seconds(&self) -> f64 {
        let of = |p: &DriverProcess| -> Option<f64> {
            let stat = std::fs::read_to_string(format!("/proc/{}/stat", p.child.as_ref()?.id())).ok()?;
            let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
            let ticks = |n: usize| fields.get(n)?.parse::<f64>().ok();
            // Fields 14 and 15: user and system time, in hundredths of a second.
            Some((ticks(11)? + ticks(12)?) / 100.0)
        };
        self.processes.iter().filter_map(of).sum()
    }
}
