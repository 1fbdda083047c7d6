//! Merging: commutative, associative, idempotent; bounds and ages of a copy.

mod common;
use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_gossip::conflict;
use asterlatch_gossip::record::{ListedState, MergeOutcome, Record, RecordKind};
use asterlatch_gossip::state::{ApplyOutcome, ReplicatedState};
use common::{drain, member, session};
use proptest::prelude::*;

fn record() -> impl Strategy<Value = Record> {
    let figure = || 0u64..4;
    let name = || prop_oneof![Just("a".to_owned()), Just("b".to_owned())];
    let standing = prop_oneof![
        Just(ListedState::Ready),
        Just(ListedState::Draining),
        Just(ListedState::Gone)
    ];
    prop_oneof![
        (name(), figure(), 0u32..2, figure(), figure(), figure()).prop_map(
            |(name, started_ms, group, position, primary_at, replica_at)| Record::Member {
                name,
                started_ms,
                group,
                position,
                primary_at,
                replica_at
            }
        ),
        (name(), figure(), figure(), standing).prop_map(|(name, started_ms, list, standing)| Record::Drain {
            name,
            started_ms,
            list_version: list,
            state: standing
        }),
        (name(), figure(), name(), figure(), figure(), figure(), figure()).prop_map(
            |(member, started_ms, driver, incarnation, said, work_us, carries_us)| Record::WarmUp {
                member,
                started_ms,
                driver,
                incarnation,
                sequence: said,
                work_us,
                carried_us: carries_us
            }
        ),
        (1u64..3, figure()).prop_map(|(session, position)| Record::Session { session, position }),
        (name(), figure(), figure(), figure(), figure(), any::<bool>()).prop_map(
            |(name, incarnation, said, list, file, caught_up)| Record::Driver {
                name,
                incarnation,
                sequence: said,
                list_version: list,
                operators_file: file,
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
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), cases: 2000, ..ProptestConfig::default() })]

    #[test]
    fn merge_of_one_key_is_commutative_associative_and_idempotent(a in record(), b in record(), c in record()) {
        prop_assert_eq!(a.merge(&a), a.clone());
        if a.key() == b.key() {
            prop_assert_eq!(a.merge(&b), b.merge(&a));
            if b.key() == c.key() {
                prop_assert_eq!(a.merge(&b).merge(&c), a.merge(&b.merge(&c)));
            }
            // It holds what both say: merging it again changes nothing.
            let both = a.merge(&b);
            prop_assert_eq!(both.merge_outcome(&a) != MergeOutcome::Remote || both == a, true);
            prop_assert_eq!(both.merge(&b), both);
        }
    }

    #[test]
    fn apply_same_records_in_any_order_gives_equal_states(records in prop::collection::vec(record(), 1..40), order in any::<u64>()) {
        let (mut one, mut other) = (ReplicatedState::default(), ReplicatedState::default());
        for record in &records {
            one.apply(NOW, record.clone(), NOW);
        }
        // In another order, some of them twice.
        let mut chance = fastrand::Rng::with_seed(order);
        let mut again: Vec<_> = records.iter().chain(records.iter().step_by(2)).collect();
        chance.shuffle(&mut again);
        for record in again {
            other.apply(NOW, record.clone(), NOW);
        }
        prop_assert_eq!(contents(&one), contents(&other));
        prop_assert_eq!(one.digests(), other.digests());
        // And equal figures stand for equal contents: what is left out shows.
        let key = records[0].key();
        let mut less = ReplicatedState::default();
        for record in records.iter().filter(|f| f.key() != key) {
            less.apply(NOW, record.clone(), NOW);
        }
        prop_assert_ne!(less.digests(), one.digests());
    }
}

/// (here, came, what stands)
#[test]
fn apply_contradicting_versions_keeps_the_conservative_one() {
    let driver = |incarnation, said, caught_up| Record::Driver {
        name: "d".into(),
        incarnation,
        sequence: said,
        list_version: 1,
        operators_file: 1,
        caught_up,
    };
    #[rustfmt::skip]
    let table = [
        // A newer list ends a drain, an older one doesn't; of one version the worse word stands, and that is a conflict.
        (drain("a", 3, ListedState::Draining), drain("a", 4, ListedState::Ready), drain("a", 4, ListedState::Ready), None),
        (drain("a", 4, ListedState::Draining), drain("a", 3, ListedState::Ready), drain("a", 4, ListedState::Draining), None),
        (drain("a", 4, ListedState::Ready), drain("a", 4, ListedState::Draining), drain("a", 4, ListedState::Draining), Some(conflict::ConflictKind::ListVersionMismatch)),
        (drain("a", 4, ListedState::Gone), drain("a", 4, ListedState::Draining), drain("a", 4, ListedState::Gone), Some(conflict::ConflictKind::ListVersionMismatch)),
        // Positions only grow, each figure alone.
        (member("a", 10, 10, 0), member("a", 12, 0, 12), member("a", 12, 10, 12), None),
        (session(1, 10), session(1, 9), session(1, 10), None),
        // Whoever hasn't caught up is believed in that.
        (driver(1, 2, true), driver(1, 2, false), driver(1, 2, false), Some(conflict::ConflictKind::DuplicateDriver)),
        (driver(1, 9, false), driver(2, 1, true), driver(2, 1, true), None),
    ];
    for (here, came, stands, conflict) in table {
        let mut state = ReplicatedState::default();
        state.apply(NOW, here.clone(), NOW);
        state.apply(NOW, came.clone(), NOW);
        assert_eq!(contents(&state), [stands], "{here:?} {came:?}");
        let kinds: Vec<_> = state.conflicts.iter().map(|conflict| conflict.kind).collect();
        assert_eq!(
            kinds,
            conflict.into_iter().collect::<Vec<_>>(),
            "{here:?} {came:?}"
        );
    }
}

#[test]
fn apply_identical_record_keeps_first_time_of_drains_and_last_of_positions() {
    let later = NOW + TimeSpan::millis(5000);
    for (record, told) in [
        (drain("a", 3, ListedState::Draining), NOW),
        (member("a", 10, 0, 10), later),
    ] {
        for order in [[NOW, later], [later, NOW]] {
            let mut state = ReplicatedState::default();
            let _ = order.map(|at| state.apply(later, record.clone(), at));
            assert_eq!(
                state.get(&record.key()).map(|e| e.observed_at),
                Some(told),
                "{record:?}"
            );
        }
    }
}

#[test]
fn expire_after_time_to_live_drops_and_rejects_the_record() {
    for kind_fact in [
        drain("a", 3, ListedState::Draining),
        member("a", 10, 0, 10),
        session(3, 9),
    ] {
        let kept = kind_fact.kind().time_to_live();
        let mut state = ReplicatedState::default();
        assert_eq!(state.apply(NOW, kind_fact.clone(), NOW), ApplyOutcome::Updated);
        let before = NOW + kept - TimeSpan(1);
        assert_eq!(state.expire(before), 0, "{kind_fact:?}");
        assert_eq!(state.expire(NOW + kept), 1, "{kind_fact:?}");
        // A peer whose clock of it is a little behind tells it again: it would go to and fro for ever.
        let again = state.apply(NOW + kept, kind_fact.clone(), NOW);
        assert_eq!(again, ApplyOutcome::Rejected, "{kind_fact:?}");
        assert_eq!(state.digests(), ReplicatedState::default().digests());
    }
}

#[test]
fn apply_beyond_max_entries_drops_the_oldest() {
    let mut state = ReplicatedState::default();
    let most = RecordKind::Session.max_entries() as u64;
    for n in 0..most + 1000 {
        state.apply(NOW, session(n + 1, 5), NOW - TimeSpan(most + 1000 - n));
    }
    assert_eq!(state.count(RecordKind::Session) as u64, most);
    assert!(
        state.get(&session(1000, 5).key()).is_none(),
        "the oldest have gone"
    );
    assert!(state.get(&session(most + 1000, 5).key()).is_some());
    // Other kinds have their own room.
    assert_eq!(
        state.apply(NOW, drain("a", 1, ListedState::Draining), NOW),
        ApplyOutcome::Updated
    );
    let long = "x".repeat(1000);
    assert_eq!(
        state.apply(NOW, drain(&long, 1, ListedState::Draining), NOW),
        ApplyOutcome::Rejected
    );
}

#[test]
fn detect_competing_primaries_reports_overlap_but_no_takeover() {
    #[rustfmt::skip]
    let table = [
        ("both at once", member("a", 20, 20, 0), member("b", 20, 20, 0), true),
        ("a takeover: the former one is silent", member("a", 20, 20, 0), member("b", 25, 25, 10), false),
        ("the former one has said that it is a replica", member("a", 20, 20, 21), member("b", 20, 20, 0), false),
        ("a replica", member("a", 20, 20, 0), member("b", 20, 0, 20), false),
    ];
    for (name, one, other, is_quarrel) in table {
        let mut state = ReplicatedState::default();
        for record in [one, other] {
            let member = match &record {
                Record::Member { name, .. } => name.clone(),
                _ => String::new(),
            };
            state.apply(NOW, record, NOW);
            state.detect_competing_primaries(NOW, &member);
        }
        assert_eq!(state.conflicts.iter().count() == 1, is_quarrel, "{name}");
    }
}
