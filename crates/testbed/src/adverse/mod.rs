//! Adverse scenarios with two or three drivers: idle connections, faults of discovery, stalled clients, short
//! timeouts.
//!
//! Times are compressed: an idle period of hours becomes twenty seconds, and an outage of discovery lasts
//! until the backoff between requests has reached its maximum. [`crate::checker`] checks the ordinary load;
//! the additional clients in [`clients`] check their own results.

pub mod clients;

use crate::cluster::{run_with_extra_clients, ClusterPlan, Findings, RunContext, RunReport};
use crate::error::Result;
use crate::fault_script::{DriverFault, FaultScript};
use crate::roaming_clients::RoamingBehavior;
use std::path::Path;

/// Additional clients that run next to the ordinary load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExtraClients {
    /// No additional clients.
    None,
    /// Clients that stall in the middle of a request.
    Stalled,
    /// Clients whose statements have timeouts of 1 to 20 ms.
    ShortTimeout,
    /// Clients that are idle until the last six seconds.
    LoadAfterIdle,
}

/// One scenario.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdverseScenario {
    /// Name on the command line.
    pub name: &'static str,
    /// Number of driver processes.
    pub drivers: u32,
    /// Length of the load, in seconds.
    pub seconds: f64,
    /// Statements per second of the ordinary load.
    pub rate: f64,
    /// Text of the fault script.
    pub script: &'static str,
    /// Additional clients.
    pub extra_clients: ExtraClients,
    /// Minimum fraction of the ordinary load that has to be answered with a row.
    pub min_completed: f64,
    /// Whether at least half of the endpoint lists without a length have to be applied.
    pub checks_applied_lists: bool,
}

const fn scenario(name: &'static str, drivers: u32, seconds: f64, script: &'static str) -> AdverseScenario {
    AdverseScenario {
        name,
        drivers,
        seconds,
        rate: STATEMENTS_PER_SECOND,
        script,
        extra_clients: ExtraClients::None,
        min_completed: 0.9,
        checks_applied_lists: false,
    }
}

/// All scenarios.
pub const SCENARIOS: [AdverseScenario; 17] = [
    scenario(
        "fault-after-quiet",
        3,
        26.0,
        "20s member 2 hangs for 1500ms\n20s primary of 2 loses answers for 200ms\n20200ms member 3 drains for 5s",
    ),
    // Longer than connections to members may be idle (30 s), and than drivers keep connections of idle
    // clients.
    AdverseScenario {
        rate: 0.5,
        extra_clients: ExtraClients::LoadAfterIdle,
        min_completed: 0.0,
        ..scenario(
            "fault-after-silence",
            2,
            44.0,
            "38s member 2 hangs for 1500ms\n38s primary of 2 is down for 500ms\n38200ms member 3 drains for 5s",
        )
    },
    scenario(
        "discovery-away",
        3,
        26.0,
        "1s driver 1 hears no list for 18s\n1s driver 2 hears no list for 18s\n1s driver 3 hears no list for 18s\n\
         5s member 5 is down for 1s\n7s group 1 switches to 2\n18500ms member 3 drains for 7s",
    ),
    scenario(
        "discovery-away-shortly",
        2,
        8.0,
        "500ms driver 1 hears no list for 4s\n500ms driver 2 hears no list for 4s\n\
         1s member 5 is down for 500ms\n2s group 1 switches to 2\n4s member 3 drains for 4s",
    ),
    scenario(
        "discovery-refuses",
        2,
        8.0,
        "500ms driver 1 is refused lists for 4s\n500ms driver 2 is refused lists for 4s\n\
         1s member 5 is down for 500ms\n2s group 1 switches to 2\n4s member 3 drains for 4s",
    ),
    scenario(
        "restarts-in-an-outage",
        3,
        9.0,
        "500ms driver 1 hears no list for 4s\n500ms driver 2 hears no list for 4s\n\
         500ms driver 3 hears no list for 4s\n1s driver 2 is killed for 300ms\n2s driver 3 is killed for 300ms\n\
         4s member 3 drains for 5s\n4200ms driver 1 is killed for 300ms",
    ),
    AdverseScenario {
        min_completed: 0.8,
        ..scenario(
            "idle-forgotten-under-drain",
            2,
            7.0,
            "1s member 1 forgets idle for 2s\n1s member 2 forgets idle for 2s\n1s member 3 forgets idle for 2s\n\
             1s member 4 forgets idle for 2s\n1s member 5 forgets idle for 2s\n1s member 6 forgets idle for 2s\n\
             1500ms member 2 drains for 4s\n2s member 5 resets idle for 2s",
        )
    },
    scenario(
        "discovery-slow",
        3,
        8.0,
        "0s driver 1 hears lists 600ms late for 8s\n0s driver 2 hears lists 600ms late for 8s\n\
         0s driver 3 hears lists 600ms late for 8s\n1s member 2 drains for 3s\n3s member 6 drains for 5s",
    ),
    scenario(
        "discovery-crowded",
        3,
        8.0,
        "0s driver 1 hears lists in turns of 150ms for 8s\n0s driver 2 hears lists in turns of 150ms for 8s\n\
         0s driver 3 hears lists in turns of 150ms for 8s\n1s member 2 drains for 3s\n3s member 6 drains for 5s",
    ),
    AdverseScenario {
        checks_applied_lists: true,
        ..scenario(
            "lists-without-length",
            2,
            6.0,
            "0s driver 1 hears lists without length for 6s\n0s driver 2 hears lists without length for 6s\n\
             1s member 2 drains for 4s\n2s member 6 drains for 4s",
        )
    },
    scenario(
        "sighup-burst",
        2,
        6.0,
        "1s driver 1 reloads 10 times for 1s\n1500ms driver 2 reloads 10 times for 1s\n\
         1200ms member 2 hangs for 500ms\n3s member 3 drains for 3s",
    ),
    scenario(
        "idle-closed",
        2,
        6.0,
        "0s member 1 closes idle for 6s\n0s member 2 closes idle for 6s\n0s member 3 closes idle for 6s\n\
         0s member 4 closes idle for 6s\n0s member 5 closes idle for 6s\n0s member 6 closes idle for 6s",
    ),
    scenario(
        "idle-reset",
        2,
        6.0,
        "1s member 1 resets idle for 2s\n1s member 2 resets idle for 2s\n1s member 3 resets idle for 2s\n\
         1s member 4 resets idle for 2s\n1s member 5 resets idle for 2s\n1s member 6 resets idle for 2s",
    ),
    AdverseScenario {
        min_completed: 0.8,
        ..scenario(
            "idle-forgotten",
            2,
            6.0,
            "1s member 1 forgets idle for 2s\n1s member 2 forgets idle for 2s\n1s member 3 forgets idle for 2s\n\
             1s member 4 forgets idle for 2s\n1s member 5 forgets idle for 2s\n1s member 6 forgets idle for 2s",
        )
    },
    AdverseScenario {
        extra_clients: ExtraClients::Stalled,
        ..scenario("clients-stop", 3, 6.0, "1s member 2 hangs for 1s")
    },
    AdverseScenario {
        extra_clients: ExtraClients::ShortTimeout,
        ..scenario(
            "little-time",
            2,
            6.0,
            "0s member 1 drops short for 6s\n0s member 2 drops short for 6s\n0s member 3 drops short for 6s\n\
             0s member 4 drops short for 6s\n0s member 5 drops short for 6s\n0s member 6 drops short for 6s",
        )
    },
    AdverseScenario {
        extra_clients: ExtraClients::ShortTimeout,
        ..scenario(
            "little-time-at-hanging-members",
            2,
            6.0,
            "1s member 2 hangs for 2s\n1s member 5 hangs for 2s\n2s primary of 2 slow 15ms for 2s",
        )
    },
];

const GROUPS: u32 = 2;
const REPLICAS: u32 = 2;
const STATEMENTS_PER_SECOND: f64 = 150.0;
const CLIENTS: usize = 24;
const ROAMING: RoamingBehavior = RoamingBehavior {
    roam_per_mille: 100,
    abandon_per_mille: 0,
};

/// Violation: too few statements were answered with a row.
pub const TOO_FEW_COMPLETED: &str =
    "served: fewer statements were answered with a row than the scenario requires";
/// Violation: complete endpoint lists without a length were not applied.
pub const TOO_FEW_LISTS_APPLIED: &str =
    "lists: fewer than half of the complete lists without a length were applied";

/// Violation: a SIGHUP didn't load the changed configuration.
pub const MISSED_RELOADS: &str = "reloads: changed configurations were not loaded";

/// Finds a scenario by its name.
pub fn find_scenario(name: &str) -> Option<&'static AdverseScenario> {
    SCENARIOS.iter().find(|scenario| scenario.name == name)
}

impl AdverseScenario {
    /// Builds the plan of a run.
    fn plan(&self, seed: u64) -> Result<ClusterPlan> {
        Ok(ClusterPlan {
            drivers: self.drivers,
            groups: GROUPS,
            replicas: REPLICAS,
            script: FaultScript::parse(self.script)?,
            gossip_enabled: true,
            seconds: self.seconds,
            rate: self.rate,
            clients: CLIENTS,
            behavior: ROAMING,
            seed,
        })
    }

    /// Runs the scenario once and checks its own rules in addition to those of the checker.
    ///
    /// # Errors
    /// The test bed itself fails; violations are part of the report.
    pub fn run(&self, program: &Path, seed: u64) -> Result<RunReport> {
        let extra_clients = self.extra_clients;
        let run_extra_clients = move |context: &RunContext| match extra_clients {
            ExtraClients::None => Findings::default(),
            ExtraClients::Stalled => clients::run_stalled_clients(context),
            ExtraClients::ShortTimeout => clients::run_short_timeout_clients(context),
            ExtraClients::LoadAfterIdle => clients::run_load_after_idle(context, STATEMENTS_PER_SECOND),
        };
        let mut report = run_with_extra_clients(program, &self.plan(seed)?, run_extra_clients)?;
        if (report.completed as f64) < self.min_completed * report.submitted as f64 {
            let missing = report.submitted - report.completed;
            report.violations.insert(TOO_FEW_COMPLETED, missing);
        }
        if self.checks_applied_lists {
            check_applied_lists(&mut report, self.drivers);
        }
        self.check_reloads(&mut report)?;
        Ok(report)
    }

    /// Checks that each SIGHUP of the script has loaded the changed configuration.
    fn check_reloads(&self, report: &mut RunReport) -> Result<()> {
        let faults = FaultScript::parse(self.script)?.driver_faults();
        let sent: u64 = faults
            .iter()
            .map(|scheduled| match scheduled.fault {
                DriverFault::Reloaded(times) => u64::from(times),
                _ => 0,
            })
            .sum();
        if sent == 0 {
            return Ok(());
        }
        let reloads = report.counter("reloads");
        report
            .notes
            .push(format!("configurations: {sent} sent, {reloads} loaded"));
        if reloads < sent {
            report.violations.insert(MISSED_RELOADS, sent - reloads);
        }
        Ok(())
    }
}

/// Checks that at least half of the complete endpoint lists without a length were applied. Each driver's
/// initial list and all lists with a length are assumed to be applied.
fn check_applied_lists(report: &mut RunReport, drivers: u32) {
    let (with_length, without_length) = (report.lists_with_length, report.lists_without_length);
    let applied = report.counter("endpoint_lists_applied");
    report.notes.push(format!(
        "lists: {with_length} sent with length, {without_length} without; \
         {applied} applied, {drivers} initial ones included"
    ));
    let applied_without_length = applied.saturating_sub(with_length + u64::from(drivers));
    if without_length == 0 || applied_without_length * 2 < without_length {
        report.violations.insert(
            TOO_FEW_LISTS_APPLIED,
            (without_length - applied_without_length.min(without_length)).max(1),
        );
    }
}
