//! The state that goes from a predecessor to its successor: what the policy has learned, the members, and the clock.

use crate::program::log::Log;
use crate::routing::event_loop::{EventLoop, ResumedState};
use crate::transport::clock::Clock;
use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_handover::codec::monotonic_micros;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Version of the serialized state, beside the version of the handover protocol.
const FORM: u32 = 2;

/// The serialized state; `postcard` is positional, so the order of the fields is fixed. Timestamps count from the
/// predecessor's clock, which advances with the machine's monotonic clock: no wall clock is relied on.
#[derive(Serialize, Deserialize)]
struct HandoverState {
    form: u32,
    /// The predecessor's clock when it wrote this.
    now: Timestamp,
    /// The machine's monotonic clock at the same moment.
    monotonic: TimeSpan,
    /// Hash of the deployment's settings, which give ids of workloads their meaning.
    settings_hash: u64,
    policy: Vec<u8>,
    members: Vec<u8>,
}

/// Why a successor can't go on from its predecessor's state.
#[derive(Debug, Error)]
pub enum HandoverStateError {
    /// The bytes are no serialized state.
    #[error("the state can't be read: {0}")]
    Unreadable(#[source] postcard::Error),
    /// The predecessor writes another form.
    #[error("the state has form {form}, not {FORM}")]
    FormMismatch {
        /// Form that the predecessor writes.
        form: u32,
    },
    /// The predecessor serves with other settings.
    #[error("the deployment's settings have changed: only a new start takes those over")]
    SettingsChanged,
    /// The policy's part can't be deserialized.
    #[error("what was learned can't be read: {0}")]
    PolicyUnreadable(#[source] postcard::Error),
    /// The members' part can't be deserialized.
    #[error("the members can't be read: {0}")]
    MembersUnreadable(#[source] postcard::Error),
    /// The state arrived without the listener.
    #[error("no listener came")]
    ListenerMissing,
}

/// Serializes the state of a service that runs with settings of this hash.
///
/// # Errors
/// If a part can't be serialized.
pub(super) fn serialize(
    event_loop: &EventLoop<Log>,
    now: Timestamp,
    settings_hash: u64,
) -> Result<Vec<u8>, postcard::Error> {
    let learned = event_loop.learned_state();
    let state = HandoverState {
        form: FORM,
        now,
        monotonic: TimeSpan(monotonic_micros()),
        settings_hash,
        policy: postcard::to_stdvec(learned.policy)?,
        members: postcard::to_stdvec(learned.members)?,
    };
    postcard::to_stdvec(&state)
}

/// What a successor goes on from.
pub struct ResumedService {
    /// Continues the predecessor's clock.
    pub clock: Clock,
    /// What the predecessor has learned.
    pub learned: ResumedState,
}

/// Reads a predecessor's state in a process that runs with settings of this hash.
///
/// # Errors
/// If the state is unreadable, of another form or of other settings.
pub(super) fn deserialize(bytes: &[u8], settings_hash: u64) -> Result<ResumedService, HandoverStateError> {
    let state: HandoverState = postcard::from_bytes(bytes).map_err(HandoverStateError::Unreadable)?;
    if state.form != FORM {
        return Err(HandoverStateError::FormMismatch { form: state.form });
    }
    if state.settings_hash != settings_hash {
        return Err(HandoverStateError::SettingsChanged);
    }
    let policy = postcard::from_bytes(&state.policy).map_err(HandoverStateError::PolicyUnreadable)?;
    let members = postcard::from_bytes(&state.members).map_err(HandoverStateError::MembersUnreadable)?;
    Ok(ResumedService {
        clock: Clock::resume(state.now, state.monotonic, TimeSpan(monotonic_micros())),
        learned: ResumedState { policy, members },
    })
}
