//! The state that a predecessor sends to its successor: the state of the policy, the members, and the clock.

use crate::program::log::Log;
use crate::routing::event_loop::{EventLoop, ResumedState};
use crate::transport::clock::Clock;
use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_handover::codec::monotonic_micros;
use asterlatch_handover::learned_fact::LearnedFact;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Version of the serialized state, independent of the version of the handover protocol.
const STATE_VERSION: u32 = 2;

/// The serialized state; `postcard` is positional, so the order of the fields is fixed. Timestamps are those
/// of the predecessor's clock, which advances with the machine's monotonic clock, not with the wall clock.
#[derive(Serialize, Deserialize)]
struct HandoverState {
    version: u32,
    /// The predecessor's clock when it wrote the state.
    now: Timestamp,
    /// The machine's monotonic clock at the same moment.
    monotonic: TimeSpan,
    /// Hash of the deployment's settings, which assign the ids of workloads.
    settings_hash: u64,
    policy: Vec<u8>,
    members: Vec<u8>,
}

/// Why a successor can't resume from its predecessor's state.
#[derive(Debug, Error)]
pub enum HandoverStateError {
    /// The bytes are not a serialized state.
    #[error("cannot decode the handover state: {0}")]
    Unreadable(#[source] postcard::Error),
    /// The predecessor writes another version of the state.
    #[error("the handover state has version {version}, not {STATE_VERSION}")]
    VersionMismatch {
        /// Version that the predecessor writes.
        version: u32,
    },
    /// The predecessor runs with other settings.
    #[error("the deployment's settings have changed, which requires a restart")]
    SettingsChanged,
    /// The state of the policy can't be deserialized.
    #[error("cannot decode the policy state: {0}")]
    PolicyUnreadable(#[source] postcard::Error),
    /// The members can't be deserialized.
    #[error("cannot decode the members: {0}")]
    MembersUnreadable(#[source] postcard::Error),
    /// The state arrived without the listener.
    #[error("the handover state came without a listener")]
    ListenerMissing,
}

/// Serializes the state of a service whose settings have this hash. The facts follow the state: earlier builds
/// ignore what follows it.
///
/// # Errors
/// If a part can't be serialized.
pub(super) fn serialize(
    event_loop: &EventLoop<Log>,
    facts: &[LearnedFact],
    now: Timestamp,
    settings_hash: u64,
) -> Result<Vec<u8>, postcard::Error> {
    let learned = event_loop.learned_state();
    let state = HandoverState {
        version: STATE_VERSION,
        now,
        monotonic: TimeSpan(monotonic_micros()),
        settings_hash,
        policy: postcard::to_stdvec(learned.policy)?,
        members: postcard::to_stdvec(learned.members)?,
    };
    let mut bytes = postcard::to_stdvec(&state)?;
    bytes.extend(postcard::to_stdvec(facts)?);
    Ok(bytes)
}

/// State from which a successor resumes the service.
pub struct ResumedService {
    /// Continues the predecessor's clock.
    pub clock: Clock,
    /// State of the predecessor's event loop.
    pub learned: ResumedState,
}

/// Deserializes a predecessor's state in a process whose settings have this hash.
///
/// # Errors
/// If the state can't be decoded, or has another version or other settings.
pub(super) fn deserialize(bytes: &[u8], settings_hash: u64) -> Result<ResumedService, HandoverStateError> {
    let decoded = postcard::take_from_bytes::<HandoverState>(bytes);
    let (state, rest) = decoded.map_err(HandoverStateError::Unreadable)?;
    if state.version != STATE_VERSION {
        return Err(HandoverStateError::VersionMismatch {
            version: state.version,
        });
    }
    if state.settings_hash != settings_hash {
        return Err(HandoverStateError::SettingsChanged);
    }
    let facts = match rest {
        [] => None,
        rest => Some(postcard::from_bytes(rest).map_err(HandoverStateError::Unreadable)?),
    };
    let policy = postcard::from_bytes(&state.policy).map_err(HandoverStateError::PolicyUnreadable)?;
    let members = postcard::from_bytes(&state.members).map_err(HandoverStateError::MembersUnreadable)?;
    Ok(ResumedService {
        clock: Clock::resume(state.now, state.monotonic, TimeSpan(monotonic_micros())),
        learned: ResumedState {
            policy,
            members,
            facts,
        },
    })
}
