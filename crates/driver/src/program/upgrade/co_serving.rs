//! Messages that both processes exchange while they serve together, passed from and to the event loop.

use crate::program::log::Log;
use crate::routing::event_loop::EventLoop;
use asterlatch::time::Timestamp;
use asterlatch_handover::co_serving::{CoServingMessage, CoServingState};
use asterlatch_handover::message::HandoverMessage;

/// Applies messages of the peer process, and returns the acknowledgement if one is due.
pub(super) fn on_messages(
    event_loop: &mut EventLoop<Log>,
    now: Timestamp,
    state: &mut CoServingState,
    messages: &[CoServingMessage],
) -> Option<HandoverMessage> {
    for message in messages {
        event_loop.on_peer_process_message(now, message);
    }
    let answer = state.on_messages(messages);
    event_loop.metrics.in_flight_at_peer_process = state.peer_in_flight();
    answer.map(|message| HandoverMessage::CoServing(vec![message]))
}

/// The next message to the peer process, about draining members, executions in flight and learned facts; `None`
/// if there is nothing new.
pub(super) fn next_message(
    event_loop: &mut EventLoop<Log>,
    state: &mut CoServingState,
) -> Option<HandoverMessage> {
    let mut messages: Vec<CoServingMessage> = event_loop
        .take_drained_members()
        .iter()
        .filter_map(|member| state.drain_update(&member.name, member.started_ms))
        .collect();
    messages.extend(state.in_flight_updates(event_loop.in_flight_by_member()));
    if state.peer_accepts_facts() {
        let facts = event_loop.take_learned_facts().into_iter();
        messages.extend(facts.map(CoServingMessage::Learned));
    }
    (!messages.is_empty()).then_some(HandoverMessage::CoServing(messages))
}
