//! The operators' file's settings, as the parts of the program use them.

use super::schema;
use crate::program::phases::PhaseDurations;
use crate::routing::limits::{CrowdedIdleTimeout, Limits, Share, WorkloadLimits};
use crate::transport::coroutines::CoroutineStacks;
use asterlatch::time::TimeSpan;
use asterlatch_config::resolved::ResolvedSettings;
use asterlatch_handover::{predecessor, successor};
use std::collections::BTreeMap;

/// Rates are stored in thousandths per hour.
const RATE_UNITS_PER_SECOND: i64 = 3_600_000;

/// Timeouts of a handover, for both sides.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HandoverTimeouts {
    /// Timeouts of the predecessor.
    pub predecessor: predecessor::Timeouts,
    /// Timeouts of the successor.
    pub successor: successor::Timeouts,
}

/// Settings of the operators' file, grouped by the part of the program that applies them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AppliedSettings {
    /// Limits of the event loop.
    pub limits: Limits,
    /// Limits of individual workloads, by name.
    pub workload_limits: BTreeMap<String, WorkloadLimits>,
    /// Durations of the process's phases.
    pub phase_durations: PhaseDurations,
    /// Stacks of the coroutine runtime; only a restart applies them.
    pub coroutine_stacks: CoroutineStacks,
    /// Log lines per topic.
    pub log_lines_per_second: u32,
    /// Timeouts of a handover.
    pub handover_timeouts: HandoverTimeouts,
}

/// Reads amounts of settings; negative ones count as zero.
struct Amounts<'a>(&'a ResolvedSettings);

impl Amounts<'_> {
    fn amount(&self, section: &str, setting: &str) -> i64 {
        self.0.amount(schema(), section, setting).max(0)
    }

    fn count(&self, section: &str, setting: &str) -> usize {
        self.amount(section, setting) as usize
    }

    fn span(&self, section: &str, setting: &str) -> TimeSpan {
        TimeSpan(self.amount(section, setting) as u64)
    }

    fn share(&self, section: &str, setting: &str) -> Share {
        Share(self.amount(section, setting) as u32)
    }

    fn limits(&self) -> Limits {
        let client = |setting| self.span("clients", setting);
        let discovery = |setting| self.span("discovery", setting);
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
        let setting_index = |name| schema().find("workload", name).map(|(_, setting)| setting);
        let (max_timeout, max_bytes) = (setting_index("timeout"), setting_index("longest"));
        let entries = self.0.entries(schema(), "workload");
        let limits = entries.map(|(name, amounts)| {
            let amount = |setting: Option<usize>| Some(amounts.get(setting?)?.as_ref()?.amount);
            let workload_limits = WorkloadLimits {
                max_timeout: amount(max_timeout).map(|us| TimeSpan(us as u64)),
                max_bytes: amount(max_bytes).map(|bytes| bytes as usize),
            };
            (name.to_owned(), workload_limits)
        });
        limits.collect()
    }

    fn handover_timeouts(&self) -> HandoverTimeouts {
        let upgrade = |setting| self.span("upgrade", setting);
        HandoverTimeouts {
            predecessor: predecessor::Timeouts {
                hello: upgrade("hello"),
                ready: upgrade("ready"),
                commit_acknowledged: upgrade("taken"),
                heartbeat: upgrade("silence"),
                ..predecessor::Timeouts::default()
            },
            successor: successor::Timeouts {
                // The predecessor's own timeout elapses first.
                predecessor_response: upgrade("ready") + upgrade("ready"),
                // The predecessor's own timeout for heartbeats, within which it sends ten of them.
                predecessor_heartbeat: upgrade("silence"),
                heartbeat_interval: upgrade("beat"),
                probation: upgrade("probation"),
            },
        }
    }
}

impl AppliedSettings {
    /// Groups the resolved settings of a file.
    pub fn from_resolved(resolved: &ResolvedSettings) -> AppliedSettings {
        let amounts = Amounts(resolved);
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
