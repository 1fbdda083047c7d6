//! Carries out what the two sides of a takeover decide. All waiting is done on threads beside the event loop's.

pub mod control;
mod handover;
pub mod new;
pub mod old;

use super::log::Log;
use crate::routing::event_loop::EventLoop;
use asterlatch::time::Timestamp;
use asterlatch_handover::co_serving::{Joint, Word};
use asterlatch_handover::message::Message;
pub use control::{control, request};
pub use new::{inherited, Takeover};
pub use old::Upgrades;

/// Names the descriptor of the socket to the former process, where there is one.
pub const VARIABLE: &str = "ASTERLATCH_TAKEOVER";

/// Takes over what the other process tells that binds both; what it is to be answered.
fn bind(
    event_loop: &mut EventLoop<Log>,
    now: Timestamp,
    joint: &mut Joint,
    words: &[Word],
) -> Option<Message> {
    words.iter().for_each(|word| event_loop.bind(now, word));
    let answer = joint.heard(words);
    event_loop.metrics.open_from_beside = joint.beside();
    answer.map(|word| Message::Joint(vec![word]))
}

/// What the other process is to know that binds both: drains that were heard here, and what is out.
fn words(event_loop: &mut EventLoop<Log>, joint: &mut Joint) -> Option<Message> {
    let drains = std::mem::take(&mut event_loop.drains);
    let drains = drains.iter().filter_map(|(m, since)| joint.drains(m, *since));
    let mut words: Vec<Word> = drains.collect();
    words.extend(joint.open(event_loop.out()));
    (!words.is_empty()).then_some(Message::Joint(words))
}
