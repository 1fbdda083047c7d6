//! Batches member statuses and session positions until the next tick.

use crate::routing::members::{MemberDirectory, MemberIdentity};
use asterlatch::interface::ReplicaStatus;
use asterlatch::time::{RemoteTimestamp, TimeSpan, Timestamp};
use asterlatch_gossip::node::Observation;
use asterlatch_gossip::record::{ObservedRecord, Record};
use std::collections::BTreeMap;

/// Maximum number of session positions in a batch. Further ones are dropped until the session's next write.
const MAX_BATCHED_SESSIONS: usize = 4096;

/// Positions that a member has reported, by role, in milliseconds of Unix time; zero means none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberStatusRecord {
    /// Newest position.
    pub position: u64,
    /// Newest position at which it was primary.
    pub primary_at: u64,
    /// Newest position at which it was a replica.
    pub replica_at: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct BatchedStatus {
    reported_at: Timestamp,
    record: MemberStatusRecord,
}

/// Observations batched until the next tick.
pub(super) struct StatusBatch {
    tick: TimeSpan,
    statuses: BTreeMap<u32, BatchedStatus>,
    sessions: Vec<ObservedRecord>,
    due_at: Option<Timestamp>,
}

impl StatusBatch {
    pub(super) fn new(tick: TimeSpan) -> StatusBatch {
        StatusBatch {
            tick,
            statuses: BTreeMap::new(),
            sessions: Vec::new(),
            due_at: None,
        }
    }

    pub(super) fn next_at(&self) -> Option<Timestamp> {
        self.due_at
    }

    fn schedule(&mut self, now: Timestamp) {
        self.due_at = self.due_at.or(Some(now + self.tick));
    }

    /// Adds a status that a member has reported to this driver.
    pub(super) fn add_status(&mut self, now: Timestamp, member: u32, status: ReplicaStatus) {
        if status == ReplicaStatus::default() {
            return;
        }
        let position = status.position.map_or(0, RemoteTimestamp::as_millis);
        let batched = self.statuses.entry(member).or_default();
        batched.reported_at = now;
        let record = &mut batched.record;
        record.position = record.position.max(position);
        // A role is valid from the position at which it was reported; without a position it is not shared.
        match status.is_primary {
            Some(true) => record.primary_at = record.primary_at.max(position),
            Some(false) => record.replica_at = record.replica_at.max(position),
            None => {}
        }
        self.schedule(now);
    }

    /// Adds the position of a session's write.
    pub(super) fn add_session(&mut self, now: Timestamp, session: u64, position: RemoteTimestamp) {
        if session == 0 || self.sessions.len() >= MAX_BATCHED_SESSIONS {
            return;
        }
        let position = position.as_millis();
        self.sessions.push(ObservedRecord {
            record: Record::Session { session, position },
            observed_at: now,
        });
        self.schedule(now);
    }

    /// Takes the batch as records with their age; empty if it is not due.
    pub(super) fn take_due(&mut self, now: Timestamp, members: &MemberDirectory) -> Vec<Observation> {
        if self.due_at.take_if(|at| *at <= now).is_none() {
            return Vec::new();
        }
        let mut records = Vec::new();
        for (member, status) in std::mem::take(&mut self.statuses) {
            if let Some(identity) = members.identity(member) {
                let age = now - status.reported_at;
                let record = member_record(identity, status.record);
                records.push(Observation { record, age });
            }
        }
        for ObservedRecord { record, observed_at } in std::mem::take(&mut self.sessions) {
            let age = now - observed_at;
            records.push(Observation { record, age });
        }
        records
    }
}

fn member_record(identity: MemberIdentity, status: MemberStatusRecord) -> Record {
    Record::Member {
        name: identity.name,
        started_ms: identity.started_ms,
        group: identity.group,
        position: status.position,
        primary_at: status.primary_at,
        replica_at: status.replica_at,
    }
}

/// Converts a member's record to statuses: its latest role with the position of that, and its latest position
/// if newer.
pub fn replica_statuses(record: MemberStatusRecord) -> Vec<ReplicaStatus> {
    let at = |ms: u64| Some(RemoteTimestamp::from_millis(ms));
    let role_at = record.primary_at.max(record.replica_at);
    let mut statuses = Vec::new();
    if role_at > 0 {
        statuses.push(ReplicaStatus {
            position: at(role_at),
            is_position_current: false,
            is_primary: Some(record.primary_at >= record.replica_at),
        });
    }
    if record.position > role_at {
        statuses.push(ReplicaStatus {
            position: at(record.position),
            is_position_current: false,
            is_primary: None,
        });
    }
    statuses
}
