//! Health check leases, failure consensus and load aggregate: connects `asterlatch_coordination` to member
//! names, ticks and gossip records.

use super::DriverIdentity;
use crate::routing::members::fleet_key;
use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_coordination::failure_consensus::{ConsensusSettings, DelayReport, FailureConsensus};
use asterlatch_coordination::fleet_size::FleetSize;
use asterlatch_coordination::lease::{Lease, LeaseState, LeaseStatus, LeaseTable, LeaseTimings};
use asterlatch_coordination::load_aggregate::{AggregateSettings, LoadAggregate, ShareReport};
use asterlatch_coordination::NameHash;
use asterlatch_gossip::node::Observation;
use asterlatch_gossip::record::{LoadShare, Record, MAX_LOAD_SHARES};
use std::collections::{BTreeMap, BTreeSet};

/// Interval between health checks of an unresponsive member by the lease holder.
const HEALTH_CHECK_INTERVAL: TimeSpan = TimeSpan::millis(300);
/// Interval between load reports.
const LOAD_REPORT_INTERVAL: TimeSpan = TimeSpan::millis(500);
/// Time after which a decrease of the fleet size takes effect.
const FLEET_SHRINK_DELAY: TimeSpan = TimeSpan::millis(30_000);
/// A lease update may wait for a tick at each of two drivers before it is received.
const TICKS_PER_LEASE_UPDATE: f64 = 2.5;
/// Units per admission share of 1 in load reports.
const UNITS_PER_SHARE: f64 = 200.0;
/// Units per answer in load reports.
const UNITS_PER_ANSWER: f64 = 10.0;

/// Admission share of a member, by name.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedShare {
    /// Name of the member.
    pub member: String,
    /// Admission share.
    pub share: f64,
}

/// A change of the failure consensus about a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnresponsiveMember {
    /// Name of the member.
    pub member: String,
    /// End of the time in which it counts as unresponsive; zero if it is responsive again.
    pub until: Timestamp,
}

/// Another driver's report of its admission shares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport<'a> {
    /// Name of the driver.
    pub driver: &'a str,
    /// Incarnation of the driver.
    pub incarnation: u64,
    /// Share and answers by member, in the record's units.
    pub shares: &'a [LoadShare],
    /// When it was received.
    pub observed_at: Timestamp,
}

/// Results of a coordination round.
pub struct CoordinationRound {
    /// Records to share, with their age.
    pub(super) records: Vec<Observation>,
    /// Members whose health this driver checks now on behalf of the fleet.
    pub health_checks: Vec<String>,
    /// Members whose responsiveness has changed.
    pub unresponsive: Vec<UnresponsiveMember>,
    /// Admission shares aggregated over the fleet.
    pub shares: Vec<NamedShare>,
}

/// Coordination with the other drivers of the fleet.
pub(super) struct Coordination {
    leases: LeaseTable,
    failure_consensus: FailureConsensus,
    fleet_size: FleetSize,
    load_aggregate: LoadAggregate,
    next_load_report_at: Timestamp,
    local_driver: DriverIdentity,
    /// Sequence number of the last record shared by this incarnation.
    last_sequence: u64,
    /// Members whose health checks the policy wants, and when this driver last sent one as lease holder.
    wanted_checks: BTreeMap<String, Timestamp>,
}

/// Lease subject for a member's health checks. Part of the gossip format.
fn lease_subject(member: &str) -> String {
    format!("probe {member}")
}

impl Coordination {
    /// `fleet_size` is the number of drivers in the operators' file, including this one.
    pub(super) fn new(
        now: Timestamp,
        local_driver: &DriverIdentity,
        tick: TimeSpan,
        fleet_size: u32,
    ) -> Coordination {
        let defaults = LeaseTimings::default();
        let timings = LeaseTimings {
            acquire_delay: defaults.acquire_delay.max(tick * TICKS_PER_LEASE_UPDATE),
            ..defaults
        };
        let key = fleet_key(&local_driver.name);
        Coordination {
            leases: LeaseTable::new(key, local_driver.incarnation, timings),
            failure_consensus: FailureConsensus::new(key, ConsensusSettings::default()),
            fleet_size: FleetSize::new(fleet_size, FLEET_SHRINK_DELAY, now),
            load_aggregate: LoadAggregate::new(AggregateSettings::default()),
            next_load_report_at: now,
            local_driver: local_driver.clone(),
            last_sequence: 0,
            wanted_checks: BTreeMap::new(),
        }
    }

    /// Sets the present peers and returns the resulting fleet size.
    pub(super) fn set_peers(&mut self, now: Timestamp, peers: &BTreeSet<NameHash>) -> u32 {
        self.leases.set_peers(peers);
        self.fleet_size.update(now, peers.len() as u32 + 1)
    }

    /// Returns whether this driver sends a health check that the policy wants, as lease holder or because it
    /// is alone.
    pub(super) fn may_check_health(&mut self, now: Timestamp, member: &str, is_alone: bool) -> bool {
        if is_alone {
            return true;
        }
        let subject = lease_subject(member);
        self.leases.request(now, &subject);
        let status = self.leases.status(now, &subject);
        let may_check = matches!(status, LeaseStatus::HeldHere | LeaseStatus::Completed);
        let checked_at = self
            .wanted_checks
            .entry(member.to_owned())
            .or_insert(Timestamp(0));
        // A health check wanted by the lease holder's own policy also serves the fleet.
        if may_check {
            *checked_at = now;
        }
        may_check
    }

    /// Records that a member has answered this driver.
    pub(super) fn on_answer(&mut self, now: Timestamp, member: &str) {
        self.failure_consensus.on_response(member, now);
        self.load_aggregate.on_answer(now, fleet_key(member));
    }

    /// Records that a member answered another driver at `answered_at`.
    pub(super) fn on_peer_answer(&mut self, member: &str, answered_at: Timestamp) {
        self.failure_consensus.on_response(member, answered_at);
    }

    /// Records another driver's report of a delayed execution at a member.
    pub(super) fn on_peer_delayed_execution(
        &mut self,
        member: &str,
        driver: &str,
        sent_at: Timestamp,
        observed_at: Timestamp,
    ) {
        let report = DelayReport {
            sent_at,
            reported_at: observed_at,
        };
        self.failure_consensus
            .on_delay_report(member, fleet_key(driver), report);
    }

    /// Applies a lease received from another driver.
    pub(super) fn on_lease(&mut self, now: Timestamp, subject: &str, lease: Lease, age: TimeSpan) {
        self.leases.on_lease(now, subject, lease, age);
    }

    /// Applies another driver's report of its admission shares.
    pub(super) fn on_load_report(&mut self, report: &LoadReport) {
        let driver = fleet_key(report.driver);
        for load in report.shares {
            let share_report = ShareReport {
                incarnation: report.incarnation,
                share: f64::from(load.admitted) / UNITS_PER_SHARE,
                answers: f64::from(load.answers) / UNITS_PER_ANSWER,
                reported_at: report.observed_at,
            };
            self.load_aggregate.on_report(load.member, driver, share_report);
        }
    }

    /// Runs a coordination round. `wants_health_check` tells whether the policy still wants a member's health
    /// checked. `delayed` has the dispatch time of the latest delayed execution by member, `shares` this
    /// driver's admission shares.
    pub(super) fn advance_to(
        &mut self,
        now: Timestamp,
        wants_health_check: impl Fn(&str) -> bool,
        delayed: &BTreeMap<String, Timestamp>,
        shares: &[NamedShare],
    ) -> CoordinationRound {
        let mut records = Vec::new();
        self.release_leases(now, wants_health_check, &mut records);
        self.advance_leases(now, &mut records);
        let health_checks = self.due_health_checks(now);
        self.report_delayed_executions(now, delayed, &mut records);
        let changes = self.failure_consensus.take_changes(now).into_iter();
        let unresponsive = changes
            .map(|change| UnresponsiveMember {
                member: change.member,
                until: change.unresponsive_until,
            })
            .collect();
        self.failure_consensus.expire(now);
        self.load_aggregate.expire(now);
        let aggregated = self.aggregated_shares(now, shares);
        let report = self.load_report(now, shares);
        records.extend(report.map(Observation::now));
        CoordinationRound {
            records,
            health_checks,
            unresponsive,
            shares: aggregated,
        }
    }

    /// Releases the leases of members whose health checks are no longer wanted.
    fn release_leases(
        &mut self,
        now: Timestamp,
        wants_health_check: impl Fn(&str) -> bool,
        records: &mut Vec<Observation>,
    ) {
        let members = self.wanted_checks.keys();
        let unwanted: Vec<String> = members.filter(|m| !wants_health_check(m)).cloned().collect();
        for member in unwanted {
            self.wanted_checks.remove(&member);
            let subject = lease_subject(&member);
            if let Some(lease) = self.leases.release(now, &subject, LeaseState::Completed) {
                records.push(Observation::now(Record::Lease { subject, lease }));
            }
        }
    }

    fn advance_leases(&mut self, now: Timestamp, records: &mut Vec<Observation>) {
        for update in self.leases.advance_to(now) {
            let record = Record::Lease {
                subject: update.subject,
                lease: update.lease,
            };
            records.push(Observation::now(record));
        }
    }

    fn due_health_checks(&mut self, now: Timestamp) -> Vec<String> {
        let mut due = Vec::new();
        for (member, checked_at) in &mut self.wanted_checks {
            let is_holder = self.leases.status(now, &lease_subject(member)) == LeaseStatus::HeldHere;
            if is_holder && now - *checked_at >= HEALTH_CHECK_INTERVAL {
                *checked_at = now;
                due.push(member.clone());
            }
        }
        due
    }

    fn report_delayed_executions(
        &mut self,
        now: Timestamp,
        delayed: &BTreeMap<String, Timestamp>,
        records: &mut Vec<Observation>,
    ) {
        let driver_key = fleet_key(&self.local_driver.name);
        for (member, sent_at) in delayed {
            let report = DelayReport {
                sent_at: *sent_at,
                reported_at: now,
            };
            self.failure_consensus.on_delay_report(member, driver_key, report);
            self.last_sequence += 1;
            let record = Record::DelayedExecution {
                member: member.clone(),
                driver: self.local_driver.name.clone(),
                incarnation: self.local_driver.incarnation,
                sequence: self.last_sequence,
                outstanding_us: (now - *sent_at).0,
            };
            records.push(Observation::now(record));
        }
    }

    fn aggregated_shares(&self, now: Timestamp, shares: &[NamedShare]) -> Vec<NamedShare> {
        let aggregated = shares.iter().filter_map(|local| {
            let key = fleet_key(&local.member);
            let share = self.load_aggregate.blended_share(now, key, local.share)?;
            Some(NamedShare {
                member: local.member.clone(),
                share,
            })
        });
        aggregated.collect()
    }

    /// This driver's load report; `None` if it is not due or would be empty.
    fn load_report(&mut self, now: Timestamp, shares: &[NamedShare]) -> Option<Record> {
        if now < self.next_load_report_at {
            return None;
        }
        self.next_load_report_at = now + LOAD_REPORT_INTERVAL;
        let by_key: BTreeMap<NameHash, f64> = shares
            .iter()
            .map(|local| (fleet_key(&local.member), local.share))
            .collect();
        let mut reported = Vec::new();
        for reportable in self.load_aggregate.reportable(now, MAX_LOAD_SHARES) {
            if let Some(share) = by_key.get(&reportable.member) {
                reported.push(LoadShare {
                    member: reportable.member,
                    admitted: (share * UNITS_PER_SHARE) as u8,
                    answers: (reportable.answers * UNITS_PER_ANSWER) as u8,
                });
            }
        }
        self.last_sequence += 1;
        let report = Record::Load {
            driver: self.local_driver.name.clone(),
            incarnation: self.local_driver.incarnation,
            sequence: self.last_sequence,
            shares: reported,
        };
        let is_empty = matches!(&report, Record::Load { shares, .. } if shares.is_empty());
        (!is_empty).then_some(report)
    }
}
