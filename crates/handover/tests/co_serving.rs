//! What two processes that serve side by side tell one another.

use asterlatch_handover::co_serving::{CoServingMessage, CoServingState, InFlightCounts};

fn counts(list: &[(&str, u32)]) -> InFlightCounts {
    let counts = list.iter().map(|(member, count)| ((*member).to_owned(), *count));
    counts.collect()
}

fn in_flight(member: &str, count: u32) -> CoServingMessage {
    CoServingMessage::InFlight {
        member: member.to_owned(),
        count,
    }
}

#[test]
fn in_flight_updates_acknowledged_sends_only_changes() {
    let mut state = CoServingState::default();
    type Counts<'a> = &'a [(&'a str, u32)];
    let steps: [(Counts, Counts); 5] = [
        (&[("a", 1), ("b", 2)], &[("a", 1), ("b", 2)]),
        (&[("a", 1), ("b", 2)], &[]),
        (&[("a", 1), ("b", 1), ("c", 4)], &[("b", 1), ("c", 4)]),
        (&[("b", 1)], &[("a", 0), ("c", 0)]),
        (&[], &[("b", 0)]),
    ];
    for (now, expected) in steps {
        let expected: Vec<_> = expected.iter().map(|(m, n)| in_flight(m, *n)).collect();
        assert_eq!(state.in_flight_updates(counts(now)), expected, "{now:?}");
        state.on_messages(&[CoServingMessage::Acknowledged]);
    }
}

/// A peer that hangs, or is slower than this process, is not sent more than it takes over.
#[test]
fn in_flight_updates_unacknowledged_sends_nothing() {
    let mut one = CoServingState::default();
    let mut other = CoServingState::default();
    assert_eq!(one.in_flight_updates(counts(&[("a", 1)])), [in_flight("a", 1)]);
    assert!(
        one.in_flight_updates(counts(&[("a", 2)])).is_empty(),
        "the first message is still on its way"
    );
    assert!(one.drain_update("b", 5).is_some(), "drains don't wait");
    let answer = other.on_messages(&[in_flight("a", 1)]);
    assert_eq!(answer, Some(CoServingMessage::Acknowledged));
    assert!(
        one.on_messages(&answer.into_iter().collect::<Vec<_>>()).is_none(),
        "an acknowledgement has none: else they would go to and fro"
    );
    assert_eq!(
        one.in_flight_updates(counts(&[("a", 3)])),
        [in_flight("a", 3)],
        "what holds now, not what held meanwhile"
    );
}

#[test]
fn drain_update_known_start_is_not_sent_again() {
    let mut state = CoServingState::default();
    assert!(state.drain_update("a", 5).is_some());
    assert!(state.drain_update("a", 5).is_none(), "sent already");
    assert!(
        state.drain_update("a", 6).is_some(),
        "it has restarted and drains again"
    );
    state.on_messages(&[CoServingMessage::Draining {
        member: "b".to_owned(),
        started_ms: 7,
    }]);
    assert!(
        state.drain_update("b", 7).is_none(),
        "the peer knows it: sent back it would go to and fro"
    );
}
