//! How much work one driver may dispatch to a member that is warming up, given what all drivers have dispatched there.
//!
//! A member that has just started is overloaded by more work in a time window than a multiple of its capacity, which is a
//! fraction of a warm member's. A driver that knows nothing of the others uses half of its even share of that. If all
//! drivers report what they dispatch and what load they carry, the sums are known: what is left of the budget is shared
//! in proportion to each driver's load, and a driver may use its share until the next reports. The older the others'
//! reports, the smaller the share, since they may have used theirs meanwhile. If a reachable driver hasn't reported lately,
//! the budget is unknown, and each driver is as careful as without reports.

use asterlatch::time::{TimeSpan, Timestamp};
use std::collections::{BTreeMap, VecDeque};

/// The overload rule that budgets are computed from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUpRules {
    /// Work within this window counts together.
    pub window: TimeSpan,
    /// More work than this many times its capacity overloads a member.
    pub overload_multiple: f64,
    /// Time between two reports.
    pub report_interval: TimeSpan,
}

/// The part of the rule's budget that is used, because work varies around its mean.
const USED_FRACTION: f64 = 0.75;
/// Reports older than this many intervals are ignored.
const MAX_REPORT_AGE: f64 = 5.0;
/// Loads are reported in millionths of a core.
const MICROS: f64 = 1e6;
/// Keeps a share of no load at all from dividing by zero.
const MIN_TOTAL_LOAD: f64 = 1e-9;

/// What a driver reports about its dispatches to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerReport<'a> {
    /// Name of the driver.
    pub driver: &'a str,
    /// Incarnation of the driver.
    pub incarnation: u64,
    /// When it was reported.
    pub reported_at: Timestamp,
    /// Work dispatched since the member's start, in microseconds.
    pub work_us: u64,
    /// Load that warm members carry for that driver, in millionths of a core.
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

/// What the decision rules know of a member that is warming up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUpLoad {
    /// How far it has warmed up, from zero to one, on the mean of the window.
    pub warm_up_fraction: f64,
    /// Load that a warm member carries for this driver, in cores.
    pub carried_load: f64,
}

/// What this driver reports about its dispatches to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkReport {
    /// Number of the report.
    pub sequence: u64,
    /// Work dispatched since the member's start, in microseconds.
    pub work_us: u64,
    /// Load that warm members carry for this driver, in millionths of a core.
    pub carried_microcores: u64,
}

/// A budget and the report that goes with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WarmUpBudget {
    /// Work that this driver may dispatch until the next report; none if it is unknown.
    pub work: Option<TimeSpan>,
    /// What this driver reports to the others.
    pub report: WorkReport,
}

/// The total work that a peer reported at some time.
#[derive(Clone, Copy, Debug, PartialEq)]
struct ReportedSum {
    reported_at: Timestamp,
    work_us: u64,
}

/// What one peer has reported about one member.
#[derive(Clone, Debug, PartialEq)]
struct PeerWork {
    reported_at: Timestamp,
    incarnation: u64,
    /// In cores.
    carried_load: f64,
    /// Its reports within the window, and the last one before that; oldest first.
    sums: VecDeque<ReportedSum>,
}

impl PeerWork {
    fn new(report: &PeerReport) -> PeerWork {
        PeerWork {
            reported_at: report.reported_at,
            incarnation: report.incarnation,
            carried_load: 0.0,
            sums: VecDeque::new(),
        }
    }

    fn last_sum(&self) -> u64 {
        self.sums.back().map_or(0, |sum| sum.work_us)
    }

    fn is_outdated(&self, report: &PeerReport) -> bool {
        report.incarnation < self.incarnation
            || report.incarnation == self.incarnation && report.reported_at < self.reported_at
    }

    fn apply(&mut self, report: &PeerReport, window: TimeSpan) {
        let reported_at = report.reported_at;
        let mut work_us = report.work_us;
        if report.incarnation > self.incarnation {
            // A restarted driver counts from zero; what it dispatched before still counts.
            work_us += self.last_sum();
            self.incarnation = report.incarnation;
            self.sums.clear();
            self.sums.push_back(ReportedSum {
                reported_at,
                work_us: 0,
            });
        }
        self.sums.push_back(ReportedSum { reported_at, work_us });
        self.reported_at = reported_at;
        self.carried_load = report.carried_microcores as f64 / MICROS;
        while self
            .sums
            .get(1)
            .is_some_and(|sum| reported_at - sum.reported_at >= window)
        {
            self.sums.pop_front();
        }
    }

    /// Work within the window, as far as reported. All work before the first report counts as recent.
    fn recent_work_us(&self, now: Timestamp, window: TimeSpan) -> u64 {
        let last = self.last_sum();
        let before_window = self.sums.iter().rev().find(|sum| now - sum.reported_at >= window);
        last - before_window.map_or(0, |sum| sum.work_us.min(last))
    }

    /// The age of its last report in intervals.
    fn age_in_intervals(&self, now: Timestamp, interval: TimeSpan) -> f64 {
        (now - self.reported_at).ratio(interval)
    }
}

/// Work that this driver dispatched at some time.
#[derive(Clone, Copy, Debug, PartialEq)]
struct DispatchedWork {
    dispatched_at: Timestamp,
    work: TimeSpan,
}

/// What all drivers have dispatched to one start of a member.
#[derive(Clone, Debug, Default, PartialEq)]
struct MemberWork {
    started_ms: u64,
    /// This driver's dispatches within the window, oldest first.
    own: VecDeque<DispatchedWork>,
    own_total_us: u64,
    report_sequence: u64,
    peers: BTreeMap<String, PeerWork>,
}

impl MemberWork {
    /// Forgets everything but the report number if the member has started anew.
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

    fn own_recent_work_us(&mut self, now: Timestamp, window: TimeSpan) -> u64 {
        let is_old = |sent: &mut DispatchedWork| now - sent.dispatched_at >= window;
        while self.own.pop_front_if(is_old).is_some() {}
        self.own.iter().map(|sent| sent.work.0).sum()
    }

    fn next_report(&mut self, carried_load: f64) -> WorkReport {
        self.report_sequence += 1;
        WorkReport {
            sequence: self.report_sequence,
            work_us: self.own_total_us,
            carried_microcores: (carried_load * MICROS) as u64,
        }
    }

    /// The last reports of all these drivers; none if one of them is missing or too old.
    fn fresh_reports(&self, now: Timestamp, interval: TimeSpan, drivers: &[&str]) -> Option<Vec<&PeerWork>> {
        let reports = drivers.iter().map(|driver| {
            let peer = self.peers.get(*driver)?;
            (peer.age_in_intervals(now, interval) <= MAX_REPORT_AGE).then_some(peer)
        });
        reports.collect()
    }

    /// This driver's share of what is left of the budget; none if a required driver hasn't reported lately.
    fn share(
        &mut self,
        now: Timestamp,
        rules: &WarmUpRules,
        load: WarmUpLoad,
        required_drivers: &[&str],
    ) -> Option<TimeSpan> {
        let own_work_us = self.own_recent_work_us(now, rules.window);
        let reports = self.fresh_reports(now, rules.report_interval, required_drivers)?;
        // Work of drivers that are down by now counts too.
        let peers_work_us: u64 = self
            .peers
            .values()
            .map(|peer| peer.recent_work_us(now, rules.window))
            .sum();
        let dispatched = TimeSpan(peers_work_us + own_work_us);
        let peers_load = reports.iter().map(|peer| peer.carried_load).sum::<f64>();
        let carried_load = load.carried_load + peers_load;
        let used_multiple = carried_load * load.warm_up_fraction * rules.overload_multiple * USED_FRACTION;
        let left = (rules.window * used_multiple - dispatched).0 as f64;
        let total_load = carried_load.max(MIN_TOTAL_LOAD);
        // Each peer may have used its share once an interval since its report.
        let unreported = reports.iter().map(|peer| {
            let intervals = peer.age_in_intervals(now, rules.report_interval);
            peer.carried_load / total_load * intervals.min(MAX_REPORT_AGE)
        });
        let left = left / (1.0 + unreported.sum::<f64>());
        Some(TimeSpan((left * load.carried_load / total_load) as u64))
    }
}

/// Budgets of all members that are warming up, by name.
pub struct WarmUpBudgets {
    /// The rule that budgets are computed from.
    pub rules: WarmUpRules,
    members: BTreeMap<String, MemberWork>,
}

impl WarmUpBudgets {
    /// No member is warming up yet.
    pub fn new(rules: WarmUpRules) -> WarmUpBudgets {
        WarmUpBudgets {
            rules,
            members: BTreeMap::new(),
        }
    }

    /// Forgets all members but these, because they are warm.
    pub fn retain(&mut self, warming_up: &[String]) {
        self.members.retain(|name, _| warming_up.contains(name));
    }

    /// Whether anything is known of this member's warm-up.
    pub fn is_warming_up(&self, name: &str) -> bool {
        self.members.contains_key(name)
    }

    /// This driver dispatches work to a member. Ignored for members that aren't warming up.
    pub fn on_dispatch(&mut self, now: Timestamp, name: &str, work: TimeSpan) {
        let Some(member) = self.members.get_mut(name) else {
            return;
        };
        member.own.push_back(DispatchedWork {
            dispatched_at: now,
            work,
        });
        member.own_total_us += work.0;
    }

    /// Another driver reports its dispatches. Ignored for an earlier start of the member and for outdated reports.
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

    /// The work that this driver may dispatch to a member until the next report, and the report to send.
    /// `required_drivers` are the reachable ones, which must all have reported.
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
        let share = work.share(now, &self.rules, load, required_drivers);
        WarmUpBudget { work: share, report }
    }
}
