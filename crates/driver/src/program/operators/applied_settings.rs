//! The settings that a meaning of the operators' file puts in force.

use super::schema;
use crate::program::phases::PhaseDurations;
use crate::routing::limits::{CrowdedIdleTimeout, Limits, Share, WorkloadLimits};
use crate::transport::coroutines::CoroutineStacks;
use asterlatch::time::TimeSpan;
use asterlatch_config::resolved::ResolvedSettings;
use asterlatch_handover::{predecessor, successor};
use std::collections::BTreeMap;

/// Rates are stored in thousandths an hour.
const RATE_UNITS_PER_SECOND: i64 = 3_600_000;

/// Timeouts of a handover, for both sides.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HandoverTimeouts {
    /// Of the process that serves.
    pub predecessor: predecessor::Timeouts,
    /// Of one that takes over.
    pub successor: successor::Timeouts,
}

/// Settings of the operators' file, as the parts of the program take them over.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AppliedSettings {
    /// Of the event loop.
    pub limits: Limits,
    /// Of single workloads, by name.
    pub workload_limits: BTreeMap<String, WorkloadLimits>,
    /// Of the process's phases.
    pub phase_durations: PhaseDurations,
    /// Of the coroutine runtime; takes effect at the start only.
    pub coroutine_stacks: CoroutineStacks,
    /// Log lines a topic and second.
    pub log_lines_per_second: u32,
    /// Of a handover.
    pub handover_timeouts: HandoverTimeouts,
}

/// Reads amounts of a meaning; negative ones count as zero.
struct Amounts<'a>(&'a ResolvedSettings);

impl Amounts<'_> {
    fn amount(&self, section: &str, row: &str) -> i64 {
        self.0.amount(schema(), section, row).max(0)
    }

    fn count(&self, section: &str, row: &str) -> usize {
        self.amount(section, row) as usize
    }

    fn span(&self, section: &str, row: &str) -> TimeSpan {
        TimeSpan(self.amount(section, row) as u64)
    }

    fn share(&self, section: &str, row: &str) -> Share {
        Share(self.amount(section, row) as u32)
    }

    fn limits(&self) -> Limits {
        let client = |row| self.span("clients", row);
        let discovery = |row| self.span("discovery", row);
        let crowded = |from, timeout| CrowdedIdleTimeout {
            min_active_share: self.share("clients", from),
            timeout: client(timeout),
        };
        Limits {
            reserved_descriptors: self.count("descriptors", "reserve"),
            client_share: self.share("descriptors", "clients"),
            client_memory_share: self.share("memory", "clients"),
            member_memory_share: self.share("memory", "members"),
            first_statement_timeout: client("first_statement"),
            message_timeout: client("message"),
            client_idle_timeout: client("rest"),
            crowded_idle_timeouts: [
                crowded("crowded_from", "crowded_rest"),
                crowded("filling_from", "filling_rest"),
            ],
            arrival_grace: client("just_came"),
            accept_backoff: client("accept_again"),
            max_statement_timeout: self.span("statements", "longest_timeout"),
            member_idle_share: self.share("members", "idle"),
            watch_timeout: discovery("watch"),
            watch_grace: discovery("watch_late"),
            list_timeout: discovery("list_late"),
            initial_backoff: discovery("first_pause"),
            max_backoff: discovery("longest_pause"),
        }
    }

    fn workload_limits(&self) -> BTreeMap<String, WorkloadLimits> {
        let row = |name| schema().find("workload", name).map(|(_, row)| row);
        let (timeout, longest) = (row("timeout"), row("longest"));
        let entries = self.0.entries(schema(), "workload");
        let limits = entries.map(|(name, amounts)| {
            let amount = |row: Option<usize>| Some(amounts.get(row?)?.as_ref()?.amount);
            let own = WorkloadLimits {
                max_timeout: amount(timeout).map(|us| TimeSpan(us as u64)),
                max_bytes: amount(longest).map(|bytes| bytes as usize),
            };
            (name.to_owned(), own)
        });
        limits.collect()
    }

    fn handover_timeouts(&self) -> HandoverTimeouts {
        let upgrade = |row| self.span("upgrade", row);
        HandoverTimeouts {
            predecessor: predecessor::Timeouts {
                hello: upgrade("hello"),
                ready: upgrade("ready"),
                commit_acknowledged: upgrade("taken"),
                heartbeat: upgrade("silence"),
            },
            successor: successor::Timeouts {
                // The predecessor has a timeout of its own, which ends first.
                predecessor_response: upgrade("ready") + upgrade("ready"),
                // As long as the predecessor lets this one be silent: it sends ten heartbeats meanwhile.
                predecessor_heartbeat: upgrade("silence"),
                heartbeat_interval: upgrade("beat"),
                probation: upgrade("probation"),
            },
        }
    }
}

impl AppliedSettings {
    /// The settings that a meaning states.
    pub fn from_resolved(meaning: &ResolvedSettings) -> AppliedSettings {
        let amounts = Amounts(meaning);
        let log_lines_per_second = amounts.amount("log", "lines") / RATE_UNITS_PER_SECOND;
        AppliedSettings {
            limits: amounts.limits(),
            workload_limits: amounts.workload_limits(),
            phase_durations: PhaseDurations {
                arrivals: amounts.span("phases", "arrivals"),
                linger: amounts.span("phases", "linger"),
                max_drain: amounts.span("phases", "longest_drain"),
            },
            coroutine_stacks: CoroutineStacks {
                stack_bytes: amounts.count("process", "stack"),
                pool_capacity: amounts.count("process", "spare_stacks"),
            },
            log_lines_per_second: log_lines_per_second.max(1) as u32,
            handover_timeouts: amounts.handover_timeouts(),
        }
    }
}
