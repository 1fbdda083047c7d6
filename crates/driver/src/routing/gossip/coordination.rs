//! Leases for health checks, failure consensus and load aggregate. Their rules stand in `asterlatch_coordination`; here
//! they meet members' names, ticks and records.

use super::DriverIdentity;
use crate::routing::members::fleet_key;
use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_coordination::failure_consensus::{ConsensusSettings, FailureConsensus, LateReport};
use asterlatch_coordination::fleet_size::FleetSize;
use asterlatch_coordination::lease::{Lease, LeaseState, LeaseStatus, LeaseTable, LeaseTimings};
use asterlatch_coordination::load_aggregate::{AggregateSettings, LoadAggregate, ShareReport};
use asterlatch_coordination::NameHash;
use asterlatch_gossip::node::Observation;
use asterlatch_gossip::record::{LoadShare, Record, MAX_LOAD_SHARES};
use std::collections::{BTreeMap, BTreeSet};

/// Time between two health checks of an unresponsive member by the lease holder. Without leases, each driver checks the
/// less often the more drivers there are.
const HEALTH_CHECK_INTERVAL: TimeSpan = TimeSpan::millis(300);
/// Time between two load reports.
const LOAD_REPORT_INTERVAL: TimeSpan = TimeSpan::millis(500);
/// Time after which a smaller fleet counts.
const SHRINK_DELAY: TimeSpan = TimeSpan::millis(30_000);
/// A lease update may wait for a tick at each of two drivers before it arrives.
const TICKS_PER_LEASE_UPDATE: f64 = 2.5;
/// Units of admission shares and of answers in load reports.
const SHARE_UNITS: f64 = 200.0;
const ANSWER_UNITS: f64 = 10.0;

/// A member's admission share by its name.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedShare {
    /// Name of the member.
    pub member: String,
    /// Admission share.
    pub share: f64,
}

/// A member that the failure consensus considers unresponsive, or no longer does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnresponsiveMember {
    /// Name of the member.
    pub member: String,
    /// Until when; zero if it is responsive again.
    pub until: Timestamp,
}

/// Another driver's report of its admission shares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport<'a> {
    /// Name of the driver.
    pub driver: &'a str,
    /// Number of its run.
    pub incarnation: u64,
    /// Member, share and answers, in units of the record.
    pub shares: &'a [LoadShare],
    /// When it was received.
    pub observed_at: Timestamp,
}

/// The result of advancing coordination.
pub struct CoordinationRound {
    /// Records to be shared, with their age.
    pub(super) records: Vec<Observation>,
    /// Members whose health this driver checks now for all.
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
    own: DriverIdentity,
    /// Number of records that this run has shared, by which newer ones are known.
    record_count: u64,
    /// Members whose health checks the policy wants, and when this driver last sent one for all.
    wanted: BTreeMap<String, Timestamp>,
}

/// The lease for checking the health of a member. The subject is part of gossip records.
fn lease_subject(member: &str) -> String {
    format!("probe {member}")
}

impl Coordination {
    /// `fleet_size` counts the drivers that the operators' file names, this one among them.
    pub(super) fn new(now: Timestamp, own: &DriverIdentity, tick: TimeSpan, fleet_size: u32) -> Coordination {
        let defaults = LeaseTimings::default();
        let timings = LeaseTimings {
            acquire_delay: defaults.acquire_delay.max(tick * TICKS_PER_LEASE_UPDATE),
            ..defaults
        };
        let key = fleet_key(&own.name);
        Coordination {
            leases: LeaseTable::new(key, own.incarnation, timings),
            failure_consensus: FailureConsensus::new(key, ConsensusSettings::default()),
            fleet_size: FleetSize::new(fleet_size, SHRINK_DELAY, now),
            load_aggregate: LoadAggregate::new(AggregateSettings::default()),
            next_load_report_at: now,
            own: own.clone(),
            record_count: 0,
            wanted: BTreeMap::new(),
        }
    }

    /// These other drivers are present. Returns the number of drivers to count with.
    pub(super) fn on_fleet(&mut self, now: Timestamp, others: &BTreeSet<NameHash>) -> u32 {
        self.leases.set_peers(others);
        self.fleet_size.update(now, others.len() as u32 + 1)
    }

    /// The policy wants a health check of a member. Returns whether this driver sends it; a driver that is alone always
    /// does.
    pub(super) fn may_check_health(&mut self, now: Timestamp, member: &str, is_alone: bool) -> bool {
        if is_alone {
            return true;
        }
        let subject = lease_subject(member);
        self.leases.request(now, &subject);
        let status = self.leases.status(now, &subject);
        let may_check = matches!(status, LeaseStatus::HeldHere | LeaseStatus::Completed);
        let checked_at = self.wanted.entry(member.to_owned()).or_insert(Timestamp(0));
        // A health check that the policy of the lease holder wants serves all.
        if may_check {
            *checked_at = now;
        }
        may_check
    }

    /// A member has answered this driver.
    pub(super) fn on_answer(&mut self, now: Timestamp, member: &str) {
        self.failure_consensus.on_response(member, now);
        self.load_aggregate.on_answer(now, fleet_key(member));
    }

    /// A member has answered another driver then.
    pub(super) fn on_peer_answer(&mut self, member: &str, answered_at: Timestamp) {
        self.failure_consensus.on_response(member, answered_at);
    }

    /// Another driver has an overdue execution at a member.
    pub(super) fn on_peer_overdue(
        &mut self,
        member: &str,
        driver: &str,
        sent_at: Timestamp,
        observed_at: Timestamp,
    ) {
        let report = LateReport {
            sent_at,
            reported_at: observed_at,
        };
        self.failure_consensus
            .on_late_report(member, fleet_key(driver), report);
    }

    /// A lease as another driver knows it.
    pub(super) fn on_lease(&mut self, now: Timestamp, subject: &str, lease: Lease, age: TimeSpan) {
        self.leases.on_lease(now, subject, lease, age);
    }

    /// Another driver's report of its admission shares.
    pub(super) fn on_load_report(&mut self, report: &LoadReport) {
        let driver = fleet_key(report.driver);
        for load in report.shares {
            let share_report = ShareReport {
                incarnation: report.incarnation,
                share: f64::from(load.admitted) / SHARE_UNITS,
                answers: f64::from(load.answers) / ANSWER_UNITS,
                reported_at: report.observed_at,
            };
            self.load_aggregate.on_report(load.member, driver, share_report);
        }
    }

    /// Advances everything. `wants_health_check` tells whether the policy still wants a member's health checked,
    /// `overdue` when the last overdue execution at a member was sent, `shares` what this driver admits.
    pub(super) fn advance_to(
        &mut self,
        now: Timestamp,
        wants_health_check: impl Fn(&str) -> bool,
        overdue: &BTreeMap<String, Timestamp>,
        shares: &[NamedShare],
    ) -> CoordinationRound {
        let mut records = Vec::new();
        self.release_leases(now, wants_health_check, &mut records);
        self.advance_leases(now, &mut records);
        let health_checks = self.due_health_checks(now);
        self.share_overdue(now, overdue, &mut records);
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

    /// A health check is no longer wanted because the member has answered, or is no longer listed.
    fn release_leases(
        &mut self,
        now: Timestamp,
        wants_health_check: impl Fn(&str) -> bool,
        records: &mut Vec<Observation>,
    ) {
        let wanted = self.wanted.keys();
        let unwanted: Vec<String> = wanted.filter(|m| !wants_health_check(m)).cloned().collect();
        for member in unwanted {
            self.wanted.remove(&member);
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
        for (member, checked_at) in &mut self.wanted {
            let is_holder = self.leases.status(now, &lease_subject(member)) == LeaseStatus::HeldHere;
            if is_holder && now - *checked_at >= HEALTH_CHECK_INTERVAL {
                *checked_at = now;
                due.push(member.clone());
            }
        }
        due
    }

    fn share_overdue(
        &mut self,
        now: Timestamp,
        overdue: &BTreeMap<String, Timestamp>,
        records: &mut Vec<Observation>,
    ) {
        let own = fleet_key(&self.own.name);
        for (member, sent_at) in overdue {
            let report = LateReport {
                sent_at: *sent_at,
                reported_at: now,
            };
            self.failure_consensus.on_late_report(member, own, report);
            self.record_count += 1;
            let record = Record::DelayedExecution {
                member: member.clone(),
                driver: self.own.name.clone(),
                incarnation: self.own.incarnation,
                sequence: self.record_count,
                outstanding_us: (now - *sent_at).0,
            };
            records.push(Observation::now(record));
        }
    }

    fn aggregated_shares(&self, now: Timestamp, shares: &[NamedShare]) -> Vec<NamedShare> {
        let aggregated = shares.iter().filter_map(|own| {
            let key = fleet_key(&own.member);
            let share = self.load_aggregate.blended_share(now, key, own.share)?;
            Some(NamedShare {
                member: own.member.clone(),
                share,
            })
        });
        aggregated.collect()
    }

    /// This driver's shares, if a report is due and members have answered it.
    fn load_report(&mut self, now: Timestamp, shares: &[NamedShare]) -> Option<Record> {
        if now < self.next_load_report_at {
            return None;
        }
        self.next_load_report_at = now + LOAD_REPORT_INTERVAL;
        let by_key: BTreeMap<NameHash, f64> = shares
            .iter()
            .map(|own| (fleet_key(&own.member), own.share))
            .collect();
        let mut reported = Vec::new();
        for reportable in self.load_aggregate.reportable(now, MAX_LOAD_SHARES) {
            if let Some(share) = by_key.get(&reportable.member) {
                reported.push(LoadShare {
                    member: reportable.member,
                    admitted: (share * SHARE_UNITS) as u8,
                    answers: (reportable.answers * ANSWER_UNITS) as u8,
                });
            }
        }
        self.record_count += 1;
        let report = Record::Load {
            driver: self.own.name.clone(),
            incarnation: self.own.incarnation,
            sequence: self.record_count,
            shares: reported,
        };
        let is_empty = matches!(&report, Record::Load { shares, .. } if shares.is_empty());
        (!is_empty).then_some(report)
    }
}
