//! Budgets for the work that a driver may dispatch to a member that is warming up.
//!
//! A member that has just started has a fraction of a warm member's capacity, and is overloaded by more work
//! in a time window than a multiple of that. A driver without reports from the others uses half of its even
//! share of this budget. If all drivers report their dispatches and their load, the remaining budget is
//! shared in proportion to the load of each driver, and a driver may use its share until the next reports.
//! Older reports reduce the share, since the reporting drivers may have dispatched more work meanwhile. If a
//! reachable driver hasn't reported recently, the budget is unknown, and each driver behaves as without
//! reports.

use asterlatch::time::{TimeSpan, Timestamp};
use std::collections::{BTreeMap, VecDeque};

/// The overload rule from which budgets are computed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUpRules {
    /// Length of the sliding window over which work is summed.
    pub window: TimeSpan,
    /// Work within the window that overloads a member, as a multiple of its capacity.
    pub overload_multiple: f64,
    /// Time between two reports.
    pub report_interval: TimeSpan,
}

/// Fraction of the budget that is used, because the work of statements varies around its mean.
const USED_FRACTION: f64 = 0.75;
/// Age at which reports are ignored, in report intervals.
const MAX_REPORT_AGE_INTERVALS: f64 = 5.0;
const MICROCORES_PER_CORE: f64 = 1e6;
/// Prevents a division by zero if no driver has any load.
const MIN_TOTAL_LOAD_CORES: f64 = 1e-9;

/// A peer's report of its dispatches to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerReport<'a> {
    /// Name of the reporting driver.
    pub driver: &'a str,
    /// Incarnation of the reporting driver.
    pub incarnation: u64,
    /// When it was reported, by this driver's clock.
    pub reported_at: Timestamp,
    /// Work dispatched since the member's start, in microseconds.
    pub work_us: u64,
    /// Load of that driver on warm members, in millionths of a core.
    pub carried_microcores: u64,
}

/// One start of a member that is warming up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberStart<'a> {
    /// Name of the member.
    pub name: &'a str,
    /// When it started, in milliseconds since 1970.
    pub started_ms: u64,
}

/// Load estimates for a member that is warming up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUpLoad {
    /// Warm-up progress from zero to one, averaged over the window.
    pub warm_up_fraction: f64,
    /// Load of this driver on a warm member, in cores.
    pub carried_load: f64,
}

/// This driver's report of its dispatches to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkReport {
    /// Sequence number of the report.
    pub sequence: u64,
    /// Work dispatched since the member's start, in microseconds.
    pub work_us: u64,
    /// Load of this driver on warm members, in millionths of a core.
    pub carried_microcores: u64,
}

/// A budget and the report to send with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WarmUpBudget {
    /// Work that this driver may dispatch until the next report; `None` if the budget is unknown.
    pub work: Option<TimeSpan>,
    /// The report for the other drivers.
    pub report: WorkReport,
}

/// The total work that a peer had dispatched at the time of a report.
#[derive(Clone, Copy, Debug, PartialEq)]
struct ReportedTotal {
    reported_at: Timestamp,
    work_us: u64,
}

/// Work that one peer has reported for one member.
#[derive(Clone, Debug, PartialEq)]
struct PeerWork {
    reported_at: Timestamp,
    incarnation: u64,
    /// Load of the peer on warm members, in cores.
    carried_load: f64,
    /// Reports within the window and the last one before it, oldest first.
    reported_totals: VecDeque<ReportedTotal>,
}

impl PeerWork {
    fn new(report: &PeerReport) -> PeerWork {
        PeerWork {
            reported_at: report.reported_at,
            incarnation: report.incarnation,
            carried_load: 0.0,
            reported_totals: VecDeque::new(),
        }
    }

    fn last_total_us(&self) -> u64 {
        self.reported_totals.back().map_or(0, |total| total.work_us)
    }

    fn is_outdated(&self, report: &PeerReport) -> bool {
        report.incarnation < self.incarnation
            || report.incarnation == self.incarnation && report.reported_at < self.reported_at
    }

    fn apply(&mut self, report: &PeerReport, window: TimeSpan) {
        let reported_at = report.reported_at;
        let mut work_us = report.work_us;
        if report.incarnation > self.incarnation {
            // A restarted driver counts from zero, but its earlier work still counts.
            work_us += self.last_total_us();
            self.incarnation = report.incarnation;
            self.reported_totals.clear();
            self.reported_totals.push_back(ReportedTotal {
                reported_at,
                work_us: 0,
            });
        }
        self.reported_totals
            .push_back(ReportedTotal { reported_at, work_us });
        self.reported_at = reported_at;
        self.carried_load = report.carried_microcores as f64 / MICROCORES_PER_CORE;
        while self
            .reported_totals
            .get(1)
            .is_some_and(|total| reported_at - total.reported_at >= window)
        {
            self.reported_totals.pop_front();
        }
    }

    /// Reported work within the window. Work before the first report counts as recent.
    fn recent_work_us(&self, now: Timestamp, window: TimeSpan) -> u64 {
        let last = self.last_total_us();
        let before_window = self
            .reported_totals
            .iter()
            .rev()
            .find(|total| now - total.reported_at >= window);
        last - before_window.map_or(0, |total| total.work_us.min(last))
    }

    /// Age of the last report, in report intervals.
    fn age_in_intervals(&self, now: Timestamp, interval: TimeSpan) -> f64 {
        (now - self.reported_at).ratio(interval)
    }
}

/// One dispatch of this driver.
#[derive(Clone, Copy, Debug, PartialEq)]
struct DispatchedWork {
    dispatched_at: Timestamp,
    work: TimeSpan,
}

/// Work that all drivers have dispatched to a member since its start.
#[derive(Clone, Debug, Default, PartialEq)]
struct MemberWork {
    started_ms: u64,
    /// This driver's dispatches within the window, oldest first.
    local_dispatches: VecDeque<DispatchedWork>,
    local_total_us: u64,
    report_sequence: u64,
    peers: BTreeMap<String, PeerWork>,
}

impl MemberWork {
    /// Clears everything but the report sequence number if the member has restarted.
    fn reset_on_restart(&mut self, started_ms: u64) {
        if self.started_ms >= started_ms {
            return;
        }
        *self = MemberWork {
            started_ms,
            report_sequence: self.report_sequence,
            ..MemberWork::default()
        };
    }

    fn recent_local_work_us(&mut self, now: Timestamp, window: TimeSpan) -> u64 {
        let is_old = |dispatch: &mut DispatchedWork| now - dispatch.dispatched_at >= window;
        while self.local_dispatches.pop_front_if(is_old).is_some() {}
        self.local_dispatches.iter().map(|dispatch| dispatch.work.0).sum()
    }

    fn next_report(&mut self, carried_load: f64) -> WorkReport {
        self.report_sequence += 1;
        WorkReport {
            sequence: self.report_sequence,
            work_us: self.local_total_us,
            carried_microcores: (carried_load * MICROCORES_PER_CORE) as u64,
        }
    }

    /// The latest reports of these drivers; `None` if one is missing or too old.
    fn fresh_reports(&self, now: Timestamp, interval: TimeSpan, drivers: &[&str]) -> Option<Vec<&PeerWork>> {
        let reports = drivers.iter().map(|driver| {
            let peer = self.peers.get(*driver)?;
            (peer.age_in_intervals(now, interval) <= MAX_REPORT_AGE_INTERVALS).then_some(peer)
        });
        reports.collect()
    }

    /// This driver's share of the remaining budget; `None` if a required driver hasn't reported recently.
    fn budget_share(
        &mut self,
        now: Timestamp,
        rules: &WarmUpRules,
        load: WarmUpLoad,
        required_drivers: &[&str],
    ) -> Option<TimeSpan> {
        let local_work_us = self.recent_local_work_us(now, rules.window);
        let reports = self.fresh_reports(now, rules.report_interval, required_drivers)?;
        // Work of drivers that are down now counts too.
        let peers_work_us: u64 = self
            .peers
            .values()
            .map(|peer| peer.recent_work_us(now, rules.window))
            .sum();
        let dispatched = TimeSpan(peers_work_us + local_work_us);
        let peers_load = reports.iter().map(|peer| peer.carried_load).sum::<f64>();
        let carried_load = load.carried_load + peers_load;
        let used_multiple = carried_load * load.warm_up_fraction * rules.overload_multiple * USED_FRACTION;
        let remaining = (rules.window * used_multiple - dispatched).0 as f64;
        let total_load = carried_load.max(MIN_TOTAL_LOAD_CORES);
        // Each peer may have used its share in every interval since its report.
        let unreported = reports.iter().map(|peer| {
            let intervals = peer.age_in_intervals(now, rules.report_interval);
            peer.carried_load / total_load * intervals.min(MAX_REPORT_AGE_INTERVALS)
        });
        let remaining = remaining / (1.0 + unreported.sum::<f64>());
        Some(TimeSpan((remaining * load.carried_load / total_load) as u64))
    }
}

/// Budgets of all members that are warming up, by name.
pub struct WarmUpBudgets {
    /// The overload rule.
    pub rules: WarmUpRules,
    members: BTreeMap<String, MemberWork>,
}

impl WarmUpBudgets {
    /// Starts without members.
    pub fn new(rules: WarmUpRules) -> WarmUpBudgets {
        WarmUpBudgets {
            rules,
            members: BTreeMap::new(),
        }
    }

    /// Removes all members but these, because they have warmed up.
    pub fn retain(&mut self, warming_up: &[String]) {
        self.members.retain(|name, _| warming_up.contains(name));
    }

    /// Whether work is tracked for this member.
    pub fn is_warming_up(&self, name: &str) -> bool {
        self.members.contains_key(name)
    }

    /// Records work that this driver dispatches. Ignored for members that aren't tracked.
    pub fn on_dispatch(&mut self, now: Timestamp, name: &str, work: TimeSpan) {
        let Some(member) = self.members.get_mut(name) else {
            return;
        };
        member.local_dispatches.push_back(DispatchedWork {
            dispatched_at: now,
            work,
        });
        member.local_total_us += work.0;
    }

    /// Applies a peer's report. Ignored for an earlier start of the member and for outdated reports.
    pub fn on_peer_report(&mut self, member: MemberStart, report: &PeerReport) {
        let work = self.members.entry(member.name.to_owned()).or_default();
        work.reset_on_restart(member.started_ms);
        if work.started_ms != member.started_ms {
            return;
        }
        let peer = work
            .peers
            .entry(report.driver.to_owned())
            .or_insert_with(|| PeerWork::new(report));
        if !peer.is_outdated(report) {
            peer.apply(report, self.rules.window);
        }
    }

    /// Computes the work that this driver may dispatch to a member until the next report, and the report to
    /// send. `required_drivers` are the reachable peers; the budget is unknown unless each has reported
    /// recently.
    pub fn budget(
        &mut self,
        now: Timestamp,
        member: MemberStart,
        load: WarmUpLoad,
        required_drivers: &[&str],
    ) -> WarmUpBudget {
        let work = self.members.entry(member.name.to_owned()).or_default();
        work.reset_on_restart(member.started_ms);
        let report = work.next_report(load.carried_load);
        let share = work.budget_share(now, &self.rules, load, required_drivers);
        WarmUpBudget { work: share, report }
    }
}
