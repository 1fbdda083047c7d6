//! Applies the fault script to driver processes, and terminates them.

use super::{Cluster, Outage};
use crate::error::Result;
use crate::fault_script::{DriverFault, FaultScript};
use crate::member::pause;
use crate::wire::wall_clock_now;
use asterlatch::time::{TimeSpan, Timestamp};
use std::collections::BTreeMap;
use std::process::Command;

/// Start or end of a driver's fault.
struct FaultStep {
    at: TimeSpan,
    driver: u32,
    fault: DriverFault,
    is_start: bool,
}

/// Starts and ends of all faults that act on processes `1..=drivers`, sorted by time and driver.
fn fault_steps(script: &FaultScript, drivers: usize) -> Vec<FaultStep> {
    let mut steps = Vec::new();
    for scheduled in script.driver_faults() {
        let acts_on_process = !matches!(
            scheduled.fault,
            DriverFault::DiscoveryStalled
                | DriverFault::DiscoveryRefused
                | DriverFault::DiscoveryDelayed(_)
                | DriverFault::DiscoveryCrowded(_)
                | DriverFault::DiscoveryWithoutLength
                | DriverFault::ClockOffset(_)
        );
        if !acts_on_process || scheduled.driver as usize > drivers {
            continue;
        }
        if let DriverFault::Reloaded(times) = scheduled.fault {
            let interval = (scheduled.until - scheduled.from).0 / u64::from(times.max(1));
            steps.extend((0..times).map(|n| FaultStep {
                at: TimeSpan(scheduled.from.0 + u64::from(n) * interval),
                driver: scheduled.driver,
                fault: scheduled.fault,
                is_start: true,
            }));
            continue;
        }
        for (at, is_start) in [(scheduled.from, true), (scheduled.until, false)] {
            steps.push(FaultStep {
                at,
                driver: scheduled.driver,
                fault: scheduled.fault,
                is_start,
            });
        }
    }
    steps.sort_by_key(|step| (step.at, step.driver));
    steps
}

/// Counters of a driver that state a maximum.
const MAXIMUM_COUNTERS: [&str; 3] = ["queue_longest", "wake_up_latest_us", "turn_longest_us"];

impl Cluster {
    fn signal(&self, number: u32, name: &str) {
        if let Some(child) = &self.processes[number as usize - 1].child {
            let _ = Command::new("kill")
                .arg(format!("-{name}"))
                .arg(child.id().to_string())
                .status();
        }
    }

    /// Kills, stops and restarts drivers by the script, whose times count from `from`; returns after the last
    /// step.
    pub(super) fn apply_driver_faults(&mut self, from: Timestamp, script: &FaultScript) -> Result<()> {
        let mut active_since: BTreeMap<u32, Timestamp> = BTreeMap::new();
        for step in fault_steps(script, self.processes.len()) {
            pause((from + step.at) - wall_clock_now());
            if step.is_start {
                self.start_fault(step.driver, step.fault)?;
                if !matches!(step.fault, DriverFault::Reloaded(_)) {
                    active_since.insert(step.driver, from + step.at);
                }
                continue;
            }
            self.end_fault(step.driver, step.fault)?;
            if let Some(since) = active_since.remove(&step.driver) {
                self.observed_outages.push(Outage {
                    driver: step.driver,
                    from: since,
                    until: wall_clock_now(),
                });
            }
        }
        Ok(())
    }

    fn start_fault(&mut self, driver: u32, fault: DriverFault) -> Result<()> {
        match fault {
            DriverFault::Killed | DriverFault::RestartedOnDiskOf(_) | DriverFault::LaterBuild => {
                self.signal(driver, "KILL");
                if let Some(mut child) = self.processes[driver as usize - 1].child.take() {
                    child.wait()?;
                }
            }
            DriverFault::Stopped => self.signal(driver, "STOP"),
            DriverFault::Reloaded(_) => {
                self.change_discovery(driver)?;
                self.signal(driver, "HUP");
            }
            DriverFault::DiscoveryStalled
            | DriverFault::DiscoveryRefused
            | DriverFault::DiscoveryDelayed(_)
            | DriverFault::DiscoveryCrowded(_)
            | DriverFault::DiscoveryWithoutLength
            | DriverFault::ClockOffset(_) => {}
        }
        Ok(())
    }

    /// Replaces a driver's configuration file atomically by one with the other address of discovery.
    fn change_discovery(&mut self, driver: u32) -> Result<()> {
        let path = self.path(driver, "json");
        let text = std::fs::read_to_string(&path)?;
        let mut config: serde_json::Value = serde_json::from_str(&text).map_err(std::io::Error::other)?;
        let discoveries = &mut self.processes[driver as usize - 1].discoveries;
        discoveries.rotate_left(1);
        config["discovery"] = discoveries[0].to_string().into();
        let temporary = self.path(driver, "json.new");
        std::fs::write(&temporary, config.to_string())?;
        Ok(std::fs::rename(&temporary, &path)?)
    }

    fn end_fault(&mut self, driver: u32, fault: DriverFault) -> Result<()> {
        match fault {
            DriverFault::RestartedOnDiskOf(source) => {
                let log_path = |number| self.path(number, "state").join("shared.log");
                std::fs::copy(log_path(source), log_path(driver))?;
            }
            DriverFault::Killed | DriverFault::LaterBuild => {
                // A kill after an upgrade brings the previous build back.
                self.processes[driver as usize - 1].runs_later_build = fault == DriverFault::LaterBuild;
            }
            DriverFault::Stopped => {
                self.signal(driver, "CONT");
                return Ok(());
            }
            DriverFault::Reloaded(_)
            | DriverFault::DiscoveryStalled
            | DriverFault::DiscoveryRefused
            | DriverFault::DiscoveryDelayed(_)
            | DriverFault::DiscoveryCrowded(_)
            | DriverFault::DiscoveryWithoutLength
            | DriverFault::ClockOffset(_) => return Ok(()),
        }
        self.spawn_driver(driver)?;
        self.await_serving(driver)
    }

    /// Terminates all drivers; returns the counters in their last logs, added up over the drivers but for
    /// those that are maxima.
    pub(super) fn terminate(&mut self) -> BTreeMap<String, u64> {
        for process in &self.processes {
            self.signal(process.number, "CONT");
            self.signal(process.number, "TERM");
        }
        for process in &mut self.processes {
            if let Some(mut child) = process.child.take() {
                let _ = child.wait();
            }
        }
        let mut counters: BTreeMap<String, u64> = BTreeMap::new();
        for process in &self.processes {
            let log = std::fs::read_to_string(self.path(process.number, &format!("{}.log", process.starts)));
            for pair in log.unwrap_or_default().split_whitespace() {
                let count = pair
                    .split_once('=')
                    .and_then(|(name, value)| Some((name, value.parse::<u64>().ok()?)));
                let Some((name, count)) = count else {
                    continue;
                };
                let total = counters.entry(name.to_owned()).or_default();
                *total = if MAXIMUM_COUNTERS.contains(&name) {
                    count.max(*total)
                } else {
                    count + *total
                };
            }
        }
        counters
    }
}
