//! Messages between two processes that serve the same members. Guards against messages that are sent without
//! end, and against a queue that grows while the peer hangs.

use asterlatch_handover::co_serving::{CoServingMessage, CoServingState, InFlightCounts};
use asterlatch_handover::learned_fact::{FactQueue, LearnedFact, MAX_FACTS};

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
    // Counts in flight now, and the updates sent.
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

#[test]
fn in_flight_updates_unacknowledged_sends_nothing() {
    let mut sender = CoServingState::default();
    let mut receiver = CoServingState::default();
    assert_eq!(sender.in_flight_updates(counts(&[("a", 1)])), [in_flight("a", 1)]);
    assert!(
        sender.in_flight_updates(counts(&[("a", 2)])).is_empty(),
        "the first counts are not acknowledged"
    );
    assert!(sender.drain_update("b", 5).is_some(), "drains are sent at once");
    let reply = receiver.on_messages(&[in_flight("a", 1)]);
    assert_eq!(reply, Some(CoServingMessage::Acknowledged));
    assert!(
        sender
            .on_messages(&reply.into_iter().collect::<Vec<_>>())
            .is_none(),
        "an acknowledgement is not acknowledged"
    );
    assert_eq!(
        sender.in_flight_updates(counts(&[("a", 3)])),
        [in_flight("a", 3)],
        "current counts, not those skipped in the meantime"
    );
}

#[test]
fn drain_update_known_start_is_not_sent_again() {
    let mut state = CoServingState::default();
    assert!(state.drain_update("a", 5).is_some());
    assert!(state.drain_update("a", 5).is_none(), "already sent");
    assert!(
        state.drain_update("a", 6).is_some(),
        "the member has restarted and drains again"
    );
    state.on_messages(&[CoServingMessage::Draining {
        member: "b".to_owned(),
        started_ms: 7,
    }]);
    assert!(
        state.drain_update("b", 7).is_none(),
        "the peer sent it and knows of it"
    );
}

/// Guards against a session's write that is forgotten while the peer process isn't told: its reads would be stale.
#[test]
fn fact_queue_full_merges_session_writes_and_drops_the_oldest_id() {
    let dispatched = |client_id| LearnedFact::NotExecuted { client_id };
    let write = |session, position| LearnedFact::SessionWrite { session, position };
    let ids = 0..MAX_FACTS as u64 - 2;
    // (positions of the writes of three sessions, position of the write that stands for them)
    let cases = [
        ([Some(5), Some(9), Some(7)], Some(9)),
        ([Some(5), None, Some(7)], None),
    ];
    for (positions, merged) in cases {
        let mut queue = FactQueue::default();
        for (session, position) in (1..).zip(positions) {
            queue.push(write(Some(session), position));
        }
        ids.clone().for_each(|id| queue.push(dispatched(id)));
        let mut expected: Vec<LearnedFact> = ids.clone().map(dispatched).collect();
        expected.push(write(None, merged));
        assert_eq!(queue.take(), expected);
        assert_eq!(queue.take(), []);
    }
    let mut queue = FactQueue::default();
    queue.push(write(Some(1), Some(5)));
    (0..3).for_each(|_| queue.push(LearnedFact::ReloadRequested));
    (0..MAX_FACTS as u64).for_each(|id| queue.push(dispatched(id)));
    let facts = queue.take();
    assert_eq!(facts.len(), MAX_FACTS);
    assert_eq!(facts[0], LearnedFact::ReloadRequested);
    assert_eq!(facts[1], dispatched(2));
    assert!(facts.contains(&write(None, Some(5))));
}
