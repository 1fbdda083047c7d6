//! What the peer process and this one tell each other while both serve, taken from and given to the event loop.

use crate::program::log::Log;
use crate::routing::event_loop::EventLoop;
use asterlatch::time::Timestamp;
use asterlatch_handover::co_serving::{CoServingMessage, CoServingState};
use asterlatch_handover::message::HandoverMessage;

/// Takes over what the peer process sent, and returns the answer to it.
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

/// What the peer process is still to be told: draining members and executions in flight.
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
    (!messages.is_empty()).then_some(HandoverMessage::CoServing(messages))
}
