//! The replicated state: merge rules, limits, expiry and conflicts.

mod common;
use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_gossip::conflict;
use asterlatch_gossip::record::{ListedState, MergeOutcome, Record, RecordKind};
use asterlatch_gossip::state::{ApplyOutcome, ReplicatedState};
use common::{drain, member, session};
use proptest::prelude::*;

fn record() -> impl Strategy<Value = Record> {
    let number = || 0u64..4;
    let name = || prop_oneof![Just("a".to_owned()), Just("b".to_owned())];
    let state = prop_oneof![
        Just(ListedState::Ready),
        Just(ListedState::Draining),
        Just(ListedState::Gone)
    ];
    prop_oneof![
        (name(), number(), 0u32..2, number(), number(), number()).prop_map(
            |(name, started_ms, group, position, primary_at, replica_at)| Record::Member {
                name,
                started_ms,
                group,
                position,
                primary_at,
                replica_at
            }
        ),
        (name(), number(), number(), state).prop_map(|(name, started_ms, list_version, state)| {
            Record::Drain {
                name,
                started_ms,
                list_version,
                state,
            }
        }),
        (name(), number(), name(), number(), number(), number(), number()).prop_map(
            |(member, started_ms, driver, incarnation, sequence, work_us, carried_microcores)| {
                Record::WarmUp {
                    member,
                    started_ms,
                    driver,
                    incarnation,
                    sequence,
                    work_us,
                    carried_microcores,
                }
            }
        ),
        (1u64..3, number()).prop_map(|(session, position)| Record::Session { session, position }),
        (name(), number(), number(), number(), number(), any::<bool>()).prop_map(
            |(name, incarnation, sequence, list_version, operators_file, caught_up)| Record::Driver {
                name,
                incarnation,
                sequence,
                list_version,
                operators_file,
                caught_up
            }
        ),
    ]
}

const NOW: Timestamp = Timestamp(1_000_000_000);

fn contents(state: &ReplicatedState) -> Vec<Record> {
    state.entries().map(|e| e.record.clone()).collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        cases: 2000,
        ..ProptestConfig::default()
    })]

    #[test]
    fn merge_of_one_key_is_commutative_associative_and_idempotent(
        first in record(),
        second in record(),
        third in record(),
    ) {
        prop_assert_eq!(first.merge(&first), first.clone());
        if first.key() == second.key() {
            prop_assert_eq!(first.merge(&second), second.merge(&first));
            if second.key() == third.key() {
                prop_assert_eq!(first.merge(&second).merge(&third), first.merge(&second.merge(&third)));
            }
            // The result contains both: merging again changes nothing.
            let both = first.merge(&second);
            prop_assert_eq!(both.merge_outcome(&first) != MergeOutcome::Remote || both == first, true);
            prop_assert_eq!(both.merge(&second), both);
        }
    }

    #[test]
    fn apply_same_records_in_any_order_gives_equal_states(
        records in prop::collection::vec(record(), 1..40),
        order_seed in any::<u64>(),
    ) {
        let (mut one, mut other) = (ReplicatedState::default(), ReplicatedState::default());
        for record in &records {
            one.apply(NOW, record.clone(), NOW);
        }
        // The same records in another order, half of them twice.
        let mut rng = fastrand::Rng::with_seed(order_seed);
        let mut shuffled: Vec<_> = records.iter().chain(records.iter().step_by(2)).collect();
        rng.shuffle(&mut shuffled);
        for record in shuffled {
            other.apply(NOW, record.clone(), NOW);
        }
        prop_assert_eq!(contents(&one), contents(&other));
        prop_assert_eq!(one.digests(), other.digests());
        // A missing record changes the digests.
        let key = records[0].key();
        let mut partial = ReplicatedState::default();
        for record in records.iter().filter(|record| record.key() != key) {
            partial.apply(NOW, record.clone(), NOW);
        }
        prop_assert_ne!(partial.digests(), one.digests());
    }
}

/// Cases are the local version, the remote version, the result and the conflict.
#[test]
fn apply_contradicting_versions_keeps_the_conservative_one() {
    let driver = |incarnation, sequence, caught_up| Record::Driver {
        name: "d".into(),
        incarnation,
        sequence,
        list_version: 1,
        operators_file: 1,
        caught_up,
    };
    let table = [
        // A newer list ends a drain, an older one doesn't. Within one version the worse state wins, with a
        // conflict.
        (
            drain("a", 3, ListedState::Draining),
            drain("a", 4, ListedState::Ready),
            drain("a", 4, ListedState::Ready),
            None,
        ),
        (
            drain("a", 4, ListedState::Draining),
            drain("a", 3, ListedState::Ready),
            drain("a", 4, ListedState::Draining),
            None,
        ),
        (
            drain("a", 4, ListedState::Ready),
            drain("a", 4, ListedState::Draining),
            drain("a", 4, ListedState::Draining),
            Some(conflict::ConflictKind::EndpointListMismatch),
        ),
        (
            drain("a", 4, ListedState::Gone),
            drain("a", 4, ListedState::Draining),
            drain("a", 4, ListedState::Gone),
            Some(conflict::ConflictKind::EndpointListMismatch),
        ),
        // Positions only grow, independently of each other.
        (
            member("a", 10, 10, 0),
            member("a", 12, 0, 12),
            member("a", 12, 10, 12),
            None,
        ),
        (session(1, 10), session(1, 9), session(1, 10), None),
        // The report of the driver that is behind wins.
        (
            driver(1, 2, true),
            driver(1, 2, false),
            driver(1, 2, false),
            Some(conflict::ConflictKind::DuplicateDriver),
        ),
        (driver(1, 9, false), driver(2, 1, true), driver(2, 1, true), None),
    ];
    for (local, remote, expected, conflict) in table {
        let mut state = ReplicatedState::default();
        state.apply(NOW, local.clone(), NOW);
        state.apply(NOW, remote.clone(), NOW);
        assert_eq!(contents(&state), [expected], "{local:?} {remote:?}");
        let kinds: Vec<_> = state.conflicts.iter().map(|conflict| conflict.kind).collect();
        assert_eq!(
            kinds,
            conflict.into_iter().collect::<Vec<_>>(),
            "{local:?} {remote:?}"
        );
    }
}

#[test]
fn apply_identical_record_retains_first_time_of_drains_and_last_of_positions() {
    let later = NOW + TimeSpan::millis(5000);
    for (record, expected) in [
        (drain("a", 3, ListedState::Draining), NOW),
        (member("a", 10, 0, 10), later),
    ] {
        for order in [[NOW, later], [later, NOW]] {
            let mut state = ReplicatedState::default();
            let _ = order.map(|at| state.apply(later, record.clone(), at));
            assert_eq!(
                state.get(&record.key()).map(|e| e.observed_at),
                Some(expected),
                "{record:?}"
            );
        }
    }
}

#[test]
fn expire_after_time_to_live_drops_and_rejects_the_record() {
    for record in [
        drain("a", 3, ListedState::Draining),
        member("a", 10, 0, 10),
        session(3, 9),
    ] {
        let time_to_live = record.kind().time_to_live();
        let mut state = ReplicatedState::default();
        assert_eq!(state.apply(NOW, record.clone(), NOW), ApplyOutcome::Updated);
        let before = NOW + time_to_live - TimeSpan(1);
        assert_eq!(state.expire(before), 0, "{record:?}");
        assert_eq!(state.expire(NOW + time_to_live), 1, "{record:?}");
        // A peer that expires the record a little later sends it again; it must not circulate indefinitely.
        let outcome = state.apply(NOW + time_to_live, record.clone(), NOW);
        assert_eq!(outcome, ApplyOutcome::Rejected, "{record:?}");
        assert_eq!(state.digests(), ReplicatedState::default().digests());
    }
}

#[test]
fn apply_beyond_max_entries_drops_the_oldest() {
    let mut state = ReplicatedState::default();
    let max_entries = RecordKind::Session.max_entries() as u64;
    for number in 0..max_entries + 1000 {
        state.apply(
            NOW,
            session(number + 1, 5),
            NOW - TimeSpan(max_entries + 1000 - number),
        );
    }
    assert_eq!(state.count(RecordKind::Session) as u64, max_entries);
    assert!(
        state.get(&session(1000, 5).key()).is_none(),
        "the oldest are dropped"
    );
    assert!(state.get(&session(max_entries + 1000, 5).key()).is_some());
    // Other kinds have their own limits.
    assert_eq!(
        state.apply(NOW, drain("a", 1, ListedState::Draining), NOW),
        ApplyOutcome::Updated
    );
    let long_name = "x".repeat(1000);
    assert_eq!(
        state.apply(NOW, drain(&long_name, 1, ListedState::Draining), NOW),
        ApplyOutcome::Rejected
    );
}

#[test]
fn detect_competing_primaries_reports_overlap_but_no_takeover() {
    #[rustfmt::skip]
    let table = [
        ("same log position", member("a", 20, 20, 0), member("b", 20, 20, 0), true),
        ("takeover, no report as replica", member("a", 20, 20, 0), member("b", 25, 25, 10), false),
        ("takeover, report as replica", member("a", 20, 20, 21), member("b", 20, 20, 0), false),
        ("primary and replica", member("a", 20, 20, 0), member("b", 20, 0, 20), false),
    ];
    for (name, one, other, is_conflict) in table {
        let mut state = ReplicatedState::default();
        for record in [one, other] {
            let member = match &record {
                Record::Member { name, .. } => name.clone(),
                _ => String::new(),
            };
            state.apply(NOW, record, NOW);
            state.detect_competing_primaries(NOW, &member);
        }
        assert_eq!(state.conflicts.iter().count() == 1, is_conflict, "{name}");
    }
}
