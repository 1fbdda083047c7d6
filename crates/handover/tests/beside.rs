//! Whether two processes have room side by side, and what each tells the other that binds both.

use asterlatch_handover::capacity_check::{check, Room};
use asterlatch_handover::co_serving::{Joint, Word};
use std::collections::BTreeMap;

#[test]
fn an_upgrade_that_has_no_room_is_refused_with_its_figures() {
    let mb = |n: u64| n << 20;
    let small = Room {
        descriptors: 256,
        held: 60,
        clients: 20,
        memory: mb(32),
        resident: mb(9),
        messages: 0,
    };
    #[rustfmt::skip]
    let cases = [
        ("the small machine", small, ""),
        ("as many as there may be", Room { held: 196, ..small }, ""),
        ("one more", Room { held: 197, ..small }, "need 257 descriptors (197 held now, one more for each of 20 clients"),
        ("many clients", Room { held: 140, clients: 100, ..small }, "need 280 descriptors"),
        ("half of the memory", Room { resident: mb(16), ..small }, ""),
        ("more than half", Room { resident: mb(17), ..small }, "need 34 MB (17 now, and 17 for the new process), and there are 32"),
        ("more than half, but messages", Room { resident: mb(20), messages: mb(10), ..small }, ""),
        ("a process needs something whatever it knows", Room { resident: mb(28), messages: mb(28), ..small }, "and 6 for the new process"),
    ];
    for (name, room, words) in cases {
        let told = check(&room).err().unwrap_or_default();
        assert!(
            told.contains(words) && told.is_empty() == words.is_empty(),
            "{name}: {told}"
        );
    }
}

#[test]
fn only_what_differs_is_told() {
    let open = |list: &[(&str, u32)]| -> BTreeMap<String, u32> {
        list.iter().map(|(m, n)| ((*m).to_owned(), *n)).collect()
    };
    let mut joint = Joint::default();
    #[rustfmt::skip]
    type Counts<'a> = &'a [(&'a str, u32)];
    let steps: [(Counts, Counts); 5] = [
        (&[("a", 1), ("b", 2)], &[("a", 1), ("b", 2)]),
        (&[("a", 1), ("b", 2)], &[]),
        (&[("a", 1), ("b", 1), ("c", 4)], &[("b", 1), ("c", 4)]),
        (&[("b", 1)], &[("a", 0), ("c", 0)]),
        (&[], &[("b", 0)]),
    ];
    for (now, told) in steps {
        let told: Vec<_> = told
            .iter()
            .map(|(m, n)| Word::Open {
                member: (*m).to_owned(),
                count: *n,
            })
            .collect();
        let words = joint.open(open(now));
        assert_eq!(words, told, "{now:?}");
        joint.heard(&[Word::Heard]);
    }
}

/// A side that hangs, or is slower than this one, is not told more than it takes over.
#[test]
fn what_is_out_is_told_again_only_behind_an_answer() {
    let open = |n: u32| BTreeMap::from([("a".to_owned(), n)]);
    let word = |count| Word::Open {
        member: "a".to_owned(),
        count,
    };
    let (mut one, mut other) = (Joint::default(), Joint::default());
    assert_eq!(one.open(open(1)), [word(1)]);
    assert!(one.open(open(2)).is_empty(), "the first word is still on its way");
    assert!(one.drains("b", 5).is_some(), "drains don't wait");
    let answer = other.heard(&[word(1)]);
    assert_eq!(answer, Some(Word::Heard));
    assert!(
        one.heard(&answer.into_iter().collect::<Vec<_>>()).is_none(),
        "an answer has none: else they would go to and fro"
    );
    assert_eq!(
        one.open(open(3)),
        [word(3)],
        "what holds now, not what held meanwhile"
    );
}

#[test]
fn a_drain_is_told_once_for_each_start() {
    let mut joint = Joint::default();
    assert!(joint.drains("a", 5).is_some());
    assert!(joint.drains("a", 5).is_none(), "told already");
    assert!(
        joint.drains("a", 6).is_some(),
        "it has started anew, and drains again"
    );
    joint.heard(&[Word::Drains {
        member: "b".to_owned(),
        since_ms: 7,
    }]);
    assert!(
        joint.drains("b", 7).is_none(),
        "the other one knows it: told back it would go to and fro"
    );
}
