//! What is trusted of what was kept: every kind, by how long ago it was and whether the clock can be believed.

use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_coordination::lease::{Claim, End};
use asterlatch_gossip::record::{ListedState, LoadShare, ObservedRecord, Record, ALL_KINDS};
use asterlatch_recovery::report::sort;
use asterlatch_recovery::trust::{trust, Use};

const NOW: Timestamp = Timestamp(1_700_000_000_000_000);

fn facts() -> Vec<Record> {
    let name = || "m".to_owned();
    let drain = |standing| Record::Drain {
        name: name(),
        started_ms: 5,
        list_version: 3,
        state: standing,
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
            carried_us: 1,
        },
        Record::Member {
            name: name(),
            started_ms: 5,
            group: 1,
            position: 7,
            primary_at: 7,
            replica_at: 0,
        },
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
            claim: Claim {
                term: 1,
                holder: 2,
                life: 3,
                said: 4,
                end: End::Holds,
            },
        },
        Record::Unanswered {
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

#[test]
fn each_kind_by_how_long_ago_it_was() {
    use Use::*;
    // By fact as above: a second ago, ten minutes ago, a month ago, and with a clock that went back.
    let table: [[Use; 4]; 10] = [
        [AtOnce, Never, Never, AtOnce],
        [AtOnce, Never, Never, AtOnce],
        [Never; 4],
        [Bound, Never, Never, Bound],
        [AtOnce, Never, Never, AtOnce],
        [AfterMember, Never, Never, Never],
        [Never; 4],
        [Never; 4],
        [Never; 4],
        [Never; 4],
    ];
    let all = facts();
    assert!(
        ALL_KINDS.iter().all(|k| all.iter().any(|f| f.kind() == *k)),
        "every kind has its rows"
    );
    for (fact, row) in all.iter().zip(table) {
        let times = [
            NOW - TimeSpan::millis(1000),
            NOW - TimeSpan::millis(600_000),
            NOW - TimeSpan::millis(30 * 86_400_000),
            NOW + TimeSpan::millis(1),
        ];
        for (wall, used) in times.into_iter().zip(row) {
            let verdict = trust(fact, wall, NOW);
            assert_eq!(verdict.used, used, "{fact:?} {wall:?}: {}", verdict.why);
            assert_eq!(verdict.age.is_some(), used != Never, "{fact:?}");
        }
    }
}

/// A clock that went back makes nothing young that was not, but what binds counts as told just now; one in 1970 is one
/// that went back.
#[test]
fn a_clock_that_went_back_is_the_worse_case() {
    for now in [
        NOW - TimeSpan::millis(60_000),
        Timestamp(0),
        Timestamp(86_400_000_000),
    ] {
        for fact in facts() {
            let verdict = trust(&fact, NOW, now);
            assert!(
                matches!(verdict.age, None | Some(TimeSpan(0))),
                "{fact:?} {verdict:?}"
            );
            assert_ne!(verdict.used, Use::AfterMember, "{fact:?}");
        }
    }
    // A day ahead: all that ages is over, and no rule is broken by it but drains that discovery tells again.
    let ahead = NOW + TimeSpan::millis(86_400_000);
    assert!(facts().iter().all(|f| trust(f, NOW, ahead).used == Use::Never));
}

/// (fact, written so long before now; how old it counts)
#[test]
fn time_that_passed_unknown_counts_as_is_worse() {
    let month = TimeSpan::millis(30 * 24 * 3600 * 1000);
    let hour = TimeSpan::millis(3600 * 1000);
    let second = TimeSpan::millis(1000);
    let now = NOW;
    let all = facts();
    let (m, d, s) = (&all[5], &all[0], &all[3]);
    #[rustfmt::skip]
    let table = [
        (m, now - second, Some(second)),
        (m, now - hour, None),
        (d, now - hour, None),
        (s, now - second, Some(second)),
        (s, now - month, None),
        // The clock was set back since: nobody knows how long ago that was.
        (m, now + hour, None),
        (d, now + hour, Some(TimeSpan(0))),
        (s, now + month, Some(TimeSpan(0))),
    ];
    for (fact, wall, counts) in table {
        assert_eq!(trust(fact, wall, now).age, counts, "{fact:?} {wall:?}");
    }
}

#[test]
fn the_report_counts_every_fact_once() {
    let all = facts();
    let walls = [
        NOW - TimeSpan::millis(1000),
        NOW - TimeSpan::millis(3000),
        NOW + TimeSpan::millis(5),
    ];
    let kept: Vec<_> = all
        .iter()
        .flat_map(|f| {
            walls.map(|observed_at| ObservedRecord {
                record: f.clone(),
                observed_at,
            })
        })
        .collect();
    let (usable, report) = sort(kept.clone(), NOW);
    assert_eq!((report.facts, report.from_the_future), (kept.len(), all.len()));
    assert_eq!(report.rows.iter().map(|r| r.facts).sum::<usize>(), kept.len());
    assert_eq!(usable.len(), report.used);
    let drains = report
        .rows
        .iter()
        .find(|r| r.kind == "drain" && r.used == "at once")
        .expect("is there");
    assert_eq!(
        (drains.facts, drains.youngest_ms, drains.oldest_ms),
        (6, Some(1000), Some(3000))
    );
    assert!(report.line().ends_with("the clock was set"), "{}", report.line());
    assert_eq!(
        sort(Vec::new(), NOW).1.line(),
        "0 of 0 kept facts are of use still"
    );
}
