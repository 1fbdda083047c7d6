//! Test records of every kind, and the time of their assessment.
#![allow(dead_code)] // each test file uses some of the items

use asterlatch::time::Timestamp;
use asterlatch_coordination::lease::{Lease, LeaseState};
use asterlatch_gossip::record::{ListedState, LoadShare, Record};

/// The time by the wall clock.
pub(crate) const NOW: Timestamp = Timestamp(1_700_000_000_000_000);

/// Indices of records in the result of [`records`].
pub(crate) const DRAIN: usize = 0;
pub(crate) const SESSION: usize = 3;
pub(crate) const MEMBER: usize = 5;

/// Records of every kind, in the order of the indices above.
pub(crate) fn records() -> Vec<Record> {
    let mut records = persistent_records();
    records.extend(transient_records());
    records
}

/// Drains, a session, work sent to a warming member, and a member.
fn persistent_records() -> Vec<Record> {
    let name = || "m".to_owned();
    let drain = |state| Record::Drain {
        name: name(),
        started_ms: 5,
        list_version: 3,
        state,
    };
    vec![
        drain(ListedState::Draining),
        drain(ListedState::Gone),
        drain(ListedState::Ready),
        Record::Session {
            session: 4,
            position: 9,
        },
        Record::WarmUp {
            member: name(),
            started_ms: 5,
            driver: "d".to_owned(),
            incarnation: 1,
            sequence: 1,
            work_us: 1,
            carried_microcores: 1,
        },
        Record::Member {
            name: name(),
            started_ms: 5,
            group: 1,
            position: 7,
            primary_at: 7,
            replica_at: 0,
        },
    ]
}

/// A driver's report about itself, a lease, a delayed execution and load shares.
fn transient_records() -> Vec<Record> {
    let name = || "m".to_owned();
    vec![
        Record::Driver {
            name: name(),
            incarnation: 1,
            sequence: 1,
            list_version: 1,
            operators_file: 1,
            caught_up: true,
        },
        Record::Lease {
            subject: "probe m".to_owned(),
            lease: Lease {
                term: 1,
                holder: 2,
                incarnation: 3,
                renewals: 4,
                state: LeaseState::Held,
            },
        },
        Record::DelayedExecution {
            member: name(),
            driver: "d".to_owned(),
            incarnation: 1,
            sequence: 1,
            outstanding_us: 1,
        },
        Record::Load {
            driver: "d".to_owned(),
            incarnation: 1,
            sequence: 1,
            shares: vec![LoadShare {
                member: 1,
                admitted: 2,
                answers: 3,
            }],
        },
    ]
}
