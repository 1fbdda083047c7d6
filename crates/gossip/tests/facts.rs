//! Merging: commutative, associative, idempotent; bounds and ages of a copy.

mod common;
use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_gossip::conflict;
use asterlatch_gossip::record::{Kind, Record, Standing, Stands};
use asterlatch_gossip::state::{Book, Learned};
use common::{drain, member, session};
use proptest::prelude::*;

fn fact() -> impl Strategy<Value = Record> {
    let figure = || 0u64..4;
    let name = || prop_oneof![Just("a".to_owned()), Just("b".to_owned())];
    let standing = prop_oneof![
        Just(Standing::Ready),
        Just(Standing::Draining),
        Just(Standing::Gone)
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
            list,
            standing
        }),
        (name(), figure(), name(), figure(), figure(), figure(), figure()).prop_map(
            |(member, started_ms, driver, life, said, work_us, carries_us)| Record::Cold {
                member,
                started_ms,
                driver,
                life,
                said,
                work_us,
                carries_us
            }
        ),
        (1u64..3, figure()).prop_map(|(session, position)| Record::Session { session, position }),
        (name(), figure(), figure(), figure(), figure(), any::<bool>()).prop_map(
            |(name, life, said, list, file, caught_up)| Record::Driver {
                name,
                life,
                said,
                list,
                file,
                caught_up
            }
        ),
    ]
}

const NOW: Timestamp = Timestamp(1_000_000_000);

fn contents(book: &Book) -> Vec<Record> {
    book.all().map(|e| e.fact.clone()).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), cases: 2000, ..ProptestConfig::default() })]

    #[test]
    fn two_tellings_of_one_key_merge_alike_in_any_order(a in fact(), b in fact(), c in fact()) {
        prop_assert_eq!(a.joined(&a), a.clone());
        if a.key() == b.key() {
            prop_assert_eq!(a.joined(&b), b.joined(&a));
            if b.key() == c.key() {
                prop_assert_eq!(a.joined(&b).joined(&c), a.joined(&b.joined(&c)));
            }
            // It holds what both say: merging it again changes nothing.
            let both = a.joined(&b);
            prop_assert_eq!(both.against(&a) != Stands::Came || both == a, true);
            prop_assert_eq!(both.joined(&b), both);
        }
    }

    #[test]
    fn copies_that_were_told_the_same_are_equal(facts in prop::collection::vec(fact(), 1..40), order in any::<u64>()) {
        let (mut one, mut other) = (Book::default(), Book::default());
        for fact in &facts {
            one.learn(NOW, fact.clone(), NOW);
        }
        // In another order, some of them twice.
        let mut chance = fastrand::Rng::with_seed(order);
        let mut again: Vec<_> = facts.iter().chain(facts.iter().step_by(2)).collect();
        chance.shuffle(&mut again);
        for fact in again {
            other.learn(NOW, fact.clone(), NOW);
        }
        prop_assert_eq!(contents(&one), contents(&other));
        prop_assert_eq!(one.digests(), other.digests());
        // And equal figures stand for equal contents: what is left out shows.
        let key = facts[0].key();
        let mut less = Book::default();
        for fact in facts.iter().filter(|f| f.key() != key) {
            less.learn(NOW, fact.clone(), NOW);
        }
        prop_assert_ne!(less.digests(), one.digests());
    }
}

/// (here, came, what stands)
#[test]
fn the_conservative_telling_stands() {
    let driver = |life, said, caught_up| Record::Driver {
        name: "d".into(),
        life,
        said,
        list: 1,
        file: 1,
        caught_up,
    };
    #[rustfmt::skip]
    let table = [
        // A newer list ends a drain, an older one doesn't; of one version the worse word stands, and that is a quarrel.
        (drain("a", 3, Standing::Draining), drain("a", 4, Standing::Ready), drain("a", 4, Standing::Ready), None),
        (drain("a", 4, Standing::Draining), drain("a", 3, Standing::Ready), drain("a", 4, Standing::Draining), None),
        (drain("a", 4, Standing::Ready), drain("a", 4, Standing::Draining), drain("a", 4, Standing::Draining), Some(conflict::Kind::TwoLists)),
        (drain("a", 4, Standing::Gone), drain("a", 4, Standing::Draining), drain("a", 4, Standing::Gone), Some(conflict::Kind::TwoLists)),
        // Positions only grow, each figure alone.
        (member("a", 10, 10, 0), member("a", 12, 0, 12), member("a", 12, 10, 12), None),
        (session(1, 10), session(1, 9), session(1, 10), None),
        // Whoever hasn't caught up is believed in that.
        (driver(1, 2, true), driver(1, 2, false), driver(1, 2, false), Some(conflict::Kind::TwoDrivers)),
        (driver(1, 9, false), driver(2, 1, true), driver(2, 1, true), None),
    ];
    for (here, came, stands, quarrel) in table {
        let mut book = Book::default();
        book.learn(NOW, here.clone(), NOW);
        book.learn(NOW, came.clone(), NOW);
        assert_eq!(contents(&book), [stands], "{here:?} {came:?}");
        let kinds: Vec<_> = book.quarrels.all().map(|q| q.kind).collect();
        assert_eq!(
            kinds,
            quarrel.into_iter().collect::<Vec<_>>(),
            "{here:?} {came:?}"
        );
    }
}

#[test]
fn a_drain_counts_from_its_first_telling_and_a_position_from_its_last() {
    let later = NOW + TimeSpan::millis(5000);
    for (fact, told) in [
        (drain("a", 3, Standing::Draining), NOW),
        (member("a", 10, 0, 10), later),
    ] {
        for order in [[NOW, later], [later, NOW]] {
            let mut book = Book::default();
            let _ = order.map(|at| book.learn(later, fact.clone(), at));
            assert_eq!(book.get(&fact.key()).map(|e| e.told), Some(told), "{fact:?}");
        }
    }
}

#[test]
fn what_is_old_is_let_go_and_not_taken_again() {
    for kind_fact in [
        drain("a", 3, Standing::Draining),
        member("a", 10, 0, 10),
        session(3, 9),
    ] {
        let kept = kind_fact.kind().kept();
        let mut book = Book::default();
        assert_eq!(book.learn(NOW, kind_fact.clone(), NOW), Learned::More);
        let before = NOW + kept - TimeSpan(1);
        assert_eq!(book.age(before), 0, "{kind_fact:?}");
        assert_eq!(book.age(NOW + kept), 1, "{kind_fact:?}");
        // A peer whose clock of it is a little behind tells it again: it would go to and fro for ever.
        let again = book.learn(NOW + kept, kind_fact.clone(), NOW);
        assert_eq!(again, Learned::Refused, "{kind_fact:?}");
        assert_eq!(book.digests(), Book::default().digests());
    }
}

#[test]
fn a_copy_is_bounded_and_keeps_what_was_told_last() {
    let mut book = Book::default();
    let most = Kind::Session.most() as u64;
    for n in 0..most + 1000 {
        book.learn(NOW, session(n + 1, 5), NOW - TimeSpan(most + 1000 - n));
    }
    assert_eq!(book.count(Kind::Session) as u64, most);
    assert!(
        book.get(&session(1000, 5).key()).is_none(),
        "the oldest have gone"
    );
    assert!(book.get(&session(most + 1000, 5).key()).is_some());
    // Other kinds have their own room.
    assert_eq!(
        book.learn(NOW, drain("a", 1, Standing::Draining), NOW),
        Learned::More
    );
    let long = "x".repeat(1000);
    assert_eq!(
        book.learn(NOW, drain(&long, 1, Standing::Draining), NOW),
        Learned::Refused
    );
}

#[test]
fn two_that_claim_one_group_are_a_quarrel_and_a_takeover_is_none() {
    #[rustfmt::skip]
    let table = [
        ("both at once", member("a", 20, 20, 0), member("b", 20, 20, 0), true),
        ("a takeover: the former one is silent", member("a", 20, 20, 0), member("b", 25, 25, 10), false),
        ("the former one has said that it is a replica", member("a", 20, 20, 21), member("b", 20, 20, 0), false),
        ("a replica", member("a", 20, 20, 0), member("b", 20, 0, 20), false),
    ];
    for (name, one, other, is_quarrel) in table {
        let mut book = Book::default();
        for fact in [one, other] {
            let member = match &fact {
                Record::Member { name, .. } => name.clone(),
                _ => String::new(),
            };
            book.learn(NOW, fact, NOW);
            book.watch_claims(NOW, &member);
        }
        assert_eq!(book.quarrels.all().count() == 1, is_quarrel, "{name}");
    }
}
