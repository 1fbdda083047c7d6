//! Warm-up budgets, which keep the load from all drivers on a member that is warming up within its capacity.

use super::{DriverIdentity, GossipSettings};
use crate::routing::members::{MemberDirectory, MemberIdentity};
use asterlatch::interface::WarmingMember;
use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_gossip::node::Observation;
use asterlatch_gossip::record::Record;
use asterlatch_gossip::slow_start::{self, MemberStart, PeerReport, WarmUpBudgets, WarmUpLoad};

/// Work that this driver may send to a member that is warming up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUpBudget {
    /// Id of the member.
    pub member: u32,
    /// Remaining budget, as execution time.
    pub work: TimeSpan,
    /// Expiry of the budget.
    pub until: Timestamp,
}

/// Budgets, and records of the work dispatched by this driver.
pub(super) struct WarmUpRound {
    pub(super) budgets: Vec<WarmUpBudget>,
    pub(super) records: Vec<Observation>,
}

/// Tracks the work of all drivers for members that are warming up.
pub(super) struct SlowStart {
    local_driver: DriverIdentity,
    tick: TimeSpan,
    budgets: WarmUpBudgets,
    due_at: Option<Timestamp>,
}

impl SlowStart {
    pub(super) fn new(now: Timestamp, local_driver: &DriverIdentity, settings: &GossipSettings) -> SlowStart {
        SlowStart {
            local_driver: local_driver.clone(),
            tick: settings.tick,
            budgets: WarmUpBudgets::new(slow_start::WarmUpRules {
                window: settings.overload_window,
                overload_multiple: settings.overload_multiple,
                report_interval: settings.tick,
            }),
            due_at: Some(now),
        }
    }

    pub(super) fn next_at(&self) -> Option<Timestamp> {
        self.due_at
    }

    /// Whether budgets are due. Returns true once per call of [`SlowStart::compute_budgets`].
    pub(super) fn take_due(&mut self, now: Timestamp) -> bool {
        self.due_at.take_if(|at| *at <= now).is_some()
    }

    /// Records an execution dispatched to a member, with its expected execution time.
    pub(super) fn on_dispatched(&mut self, now: Timestamp, member: &str, expected_work: TimeSpan) {
        if self.budgets.is_warming_up(member) {
            self.budgets.on_dispatch(now, member, expected_work);
        }
    }

    /// Applies another driver's record of its work for a member that is warming up.
    pub(super) fn on_record(&mut self, observed_at: Timestamp, record: &Record) {
        if let Record::WarmUp {
            member,
            started_ms,
            driver,
            incarnation,
            work_us,
            carried_microcores,
            ..
        } = record
        {
            let member = MemberStart {
                name: member,
                started_ms: *started_ms,
            };
            let report = PeerReport {
                driver,
                incarnation: *incarnation,
                reported_at: observed_at,
                work_us: *work_us,
                carried_microcores: *carried_microcores,
            };
            self.budgets.on_peer_report(member, &report);
        }
    }

    /// Computes the budget for each member that is warming up, given the present drivers.
    pub(super) fn compute_budgets(
        &mut self,
        now: Timestamp,
        warming: &[WarmingMember],
        members: &MemberDirectory,
        present_drivers: &[&str],
    ) -> WarmUpRound {
        // Scheduled even if no member is warming up, to detect the next one.
        self.due_at = Some(now + self.tick);
        let mut known = Vec::new();
        for warming in warming {
            let identity = members.identity(warming.member);
            known.extend(identity.map(|identity| (warming, identity)));
        }
        let names: Vec<String> = known.iter().map(|(_, identity)| identity.name.clone()).collect();
        self.budgets.retain(&names);
        let mut round = WarmUpRound {
            budgets: Vec::new(),
            records: Vec::new(),
        };
        for (warming, identity) in known {
            self.compute_budget(now, warming, identity, present_drivers, &mut round);
        }
        round
    }

    fn compute_budget(
        &mut self,
        now: Timestamp,
        warming: &WarmingMember,
        identity: MemberIdentity,
        present_drivers: &[&str],
        round: &mut WarmUpRound,
    ) {
        let member = MemberStart {
            name: &identity.name,
            started_ms: identity.started_ms,
        };
        let load = WarmUpLoad {
            warm_up_fraction: warming.warm_up_fraction,
            carried_load: warming.carried_load,
        };
        let slow_start::WarmUpBudget { work, report } =
            self.budgets.budget(now, member, load, present_drivers);
        round.budgets.extend(work.map(|work| WarmUpBudget {
            member: warming.member,
            work,
            // Valid beyond the next computation.
            until: now + self.tick + self.tick,
        }));
        let record = Record::WarmUp {
            member: identity.name,
            started_ms: identity.started_ms,
            driver: self.local_driver.name.clone(),
            incarnation: self.local_driver.incarnation,
            sequence: report.sequence,
            work_us: report.work_us,
            carried_microcores: report.carried_microcores,
        };
        round.records.push(Observation::now(record));
    }
}
