//! Carries out what the two sides of a takeover decide. All waiting is done on threads beside the event loop's.

mod handover_state;
pub mod predecessor;
mod retained_clients;
pub mod successor;

use super::log::Log;
use crate::routing::event_loop::EventLoop;
use asterlatch::time::Timestamp;
use asterlatch_handover::co_serving::{CoServingMessage, CoServingState};
use asterlatch_handover::message::HandoverMessage;
pub use handover_state::Resumed;
pub use predecessor::Upgrades;
pub use successor::{inherited, Takeover};

/// Names the descriptor of the socket to the former process, where there is one.
pub const VARIABLE: &str = "ASTERLATCH_TAKEOVER";

/// Takes over what the other process tells that binds both; what it is to be answered.
fn bind(
    event_loop: &mut EventLoop<Log>,
    now: Timestamp,
    joint: &mut CoServingState,
    words: &[CoServingMessage],
) -> Option<HandoverMessage> {
    words
        .iter()
        .for_each(|word| event_loop.on_peer_process_message(now, word));
    let answer = joint.on_messages(words);
    event_loop.metrics.in_flight_at_peer_process = joint.peer_in_flight();
    answer.map(|word| HandoverMessage::CoServing(vec![word]))
}

/// What the other process is to know that binds both: drains that were heard here, and what is out.
fn words(event_loop: &mut EventLoop<Log>, joint: &mut CoServingState) -> Option<HandoverMessage> {
    let drains = event_loop.take_drained_members();
    let drains = drains
        .iter()
        .filter_map(|member| joint.drain_update(&member.name, member.started_ms));
    let mut words: Vec<CoServingMessage> = drains.collect();
    words.extend(joint.in_flight_updates(event_loop.in_flight_by_member()));
    (!words.is_empty()).then_some(HandoverMessage::CoServing(words))
}
