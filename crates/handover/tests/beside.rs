//! Whether two processes have room side by side, and what each tells the other that binds both.

use asterlatch_handover::capacity_check::{check_capacity, ResourceUsage};
use asterlatch_handover::co_serving::{CoServingMessage, CoServingState};
use std::collections::BTreeMap;

#[test]
fn an_upgrade_that_has_no_room_is_refused_with_its_figures() {
    let mb = |n: u64| n << 20;
    let small = ResourceUsage {
        descriptor_limit: 256,
        open_descriptors: 60,
        client_connections: 20,
        memory_limit: mb(32),
        resident_memory: mb(9),
        message_memory: 0,
    };
    #[rustfmt::skip]
    let cases = [
        ("the small machine", small, ""),
        ("as many as there may be", ResourceUsage { open_descriptors: 196, ..small }, ""),
        ("one more", ResourceUsage { open_descriptors: 197, ..small }, "need 257 descriptors (197 held now, one more for each of 20 clients"),
        ("many clients", ResourceUsage { open_descriptors: 140, client_connections: 100, ..small }, "need 280 descriptors"),
        ("half of the memory", ResourceUsage { resident_memory: mb(16), ..small }, ""),
        ("more than half", ResourceUsage { resident_memory: mb(17), ..small }, "need 34 MB (17 now, and 17 for the new process), and there are 32"),
        ("more than half, but messages", ResourceUsage { resident_memory: mb(20), message_memory: mb(10), ..small }, ""),
        ("a process needs something whatever it knows", ResourceUsage { resident_memory: mb(28), message_memory: mb(28), ..small }, "and 6 for the new process"),
    ];
    for (name, usage, words) in cases {
        let told = check_capacity(&usage).err().unwrap_or_default();
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
    let mut joint = CoServingState::default();
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
            .map(|(m, n)| CoServingMessage::InFlight {
                member: (*m).to_owned(),
                count: *n,
            })
            .collect();
        let words = joint.in_flight_updates(open(now));
        assert_eq!(words, told, "{now:?}");
        joint.on_messages(&[CoServingMessage::Acknowledged]);
    }
}

/// A side that hangs, or is slower than this one, is not told more than it takes over.
#[test]
fn what_is_out_is_told_again_only_behind_an_answer() {
    let open = |n: u32| BTreeMap::from([("a".to_owned(), n)]);
    let word = |count| CoServingMessage::InFlight {
        member: "a".to_owned(),
        count,
    };
    let (mut one, mut other) = (CoServingState::default(), CoServingState::default());
    assert_eq!(one.in_flight_updates(open(1)), [word(1)]);
    assert!(
        one.in_flight_updates(open(2)).is_empty(),
        "the first word is still on its way"
    );
    assert!(one.drain_update("b", 5).is_some(), "drains don't wait");
    let answer = other.on_messages(&[word(1)]);
    assert_eq!(answer, Some(CoServingMessage::Acknowledged));
    assert!(
        one.on_messages(&answer.into_iter().collect::<Vec<_>>()).is_none(),
        "an answer has none: else they would go to and fro"
    );
    assert_eq!(
        one.in_flight_updates(open(3)),
        [word(3)],
        "what holds now, not what held meanwhile"
    );
}

#[test]
fn a_drain_is_told_once_for_each_start() {
    let mut joint = CoServingState::default();
    assert!(joint.drain_update("a", 5).is_some());
    assert!(joint.drain_update("a", 5).is_none(), "told already");
    assert!(
        joint.drain_update("a", 6).is_some(),
        "it has started anew, and drains again"
    );
    joint.on_messages(&[CoServingMessage::Draining {
        member: "b".to_owned(),
        started_ms: 7,
    }]);
    assert!(
        joint.drain_update("b", 7).is_none(),
        "the other one knows it: told back it would go to and fro"
    );
}
