//! Records of every kind, and the time at which they are looked at.
#![allow(dead_code)] // each test file uses a part

use asterlatch::time::Timestamp;
use asterlatch_coordination::lease::{Lease, LeaseState};
use asterlatch_gossip::record::{Record, Standing};

/// What the wall clock shows.
pub(crate) const NOW: Timestamp = Timestamp(1_700_000_000_000_000);

/// Where some records stand in the list.
pub(crate) const DRAIN: usize = 0;
pub(crate) const SESSION: usize = 3;
pub(crate) const MEMBER: usize = 5;

/// Records of every kind, in the order of the indices above.
pub(crate) fn records() -> Vec<Record> {
    let mut records = persistent_records();
    records.extend(transient_records());
    records
}

/// Drains, a session, work sent to a member, and a member.
fn persistent_records() -> Vec<Record> {
    let name = || "m".to_owned();
    let drain = |standing| Record::Drain {
        name: name(),
        started_ms: 5,
        list: 3,
        standing,
    };
    vec![
        drain(Standing::Draining),
        drain(Standing::Gone),
        drain(Standing::Ready),
        Record::Session {
            session: 4,
            position: 9,
        },
        Record::Cold {
            member: name(),
            started_ms: 5,
            driver: "d".to_owned(),
            life: 1,
            said: 1,
            work_us: 1,
            carries_us: 1,
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

/// What a driver says of itself, a lease, a late execution and shares.
fn transient_records() -> Vec<Record> {
    let name = || "m".to_owned();
    vec![
        Record::Driver {
            name: name(),
            life: 1,
            said: 1,
            list: 1,
            file: 1,
            caught_up: true,
        },
        Record::Turn {
            subject: "probe m".to_owned(),
            claim: Lease {
                term: 1,
                holder: 2,
                incarnation: 3,
                renewals: 4,
                state: LeaseState::Held,
            },
        },
        Record::Late {
            member: name(),
            driver: "d".to_owned(),
            life: 1,
            said: 1,
            before_us: 1,
        },
        Record::Load {
            driver: "d".to_owned(),
            life: 1,
            said: 1,
            shares: vec![(1, 2, 3)],
        },
    ]
}
