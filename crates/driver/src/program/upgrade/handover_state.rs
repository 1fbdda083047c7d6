//! What goes from one process to the next: what was learned, and by which clock.

use crate::program::log::Log;
use crate::routing::event_loop::{EventLoop, ResumedState};
use crate::transport::clock::Clock;
use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_handover::codec::monotonic_micros;
use serde::{Deserialize, Serialize};

/// Of what is written out, beside the version of the takeover itself.
const FORM: u32 = 2;

/// What goes from one process to the next. Points in time count from the former one's clock, which goes along with the
/// machine's: no reading of a wall clock is believed.
#[derive(Serialize, Deserialize)]
struct Handover {
    form: u32,
    now: Timestamp,
    machine: TimeSpan,
    /// The deployment's settings by which ids of workloads mean something.
    settings: u64,
    module: Vec<u8>,
    members: Vec<u8>,
}

pub fn written(
    event_loop: &EventLoop<Log>,
    now: Timestamp,
    settings: u64,
) -> Result<Vec<u8>, postcard::Error> {
    let learned = event_loop.learned_state();
    let handover = Handover {
        form: FORM,
        now,
        machine: TimeSpan(monotonic_micros()),
        settings,
        module: postcard::to_stdvec(learned.policy)?,
        members: postcard::to_stdvec(learned.members)?,
    };
    postcard::to_stdvec(&handover)
}

/// What a new process goes on from.
pub struct Resumed {
    pub clock: Clock,
    pub learned: ResumedState,
}

pub fn read(bytes: &[u8], settings: u64) -> Result<Resumed, String> {
    let handover: Handover =
        postcard::from_bytes(bytes).map_err(|e| format!("the state can't be read: {e}"))?;
    if handover.form != FORM {
        return Err(format!("the state has form {}, not {FORM}", handover.form));
    }
    if handover.settings != settings {
        return Err("the deployment's settings have changed: only a new start takes those over".to_owned());
    }
    let module = postcard::from_bytes(&handover.module);
    let members = postcard::from_bytes(&handover.members);
    let module = module.map_err(|e| format!("what was learned can't be read: {e}"))?;
    let members = members.map_err(|e| format!("the members can't be read: {e}"))?;
    Ok(Resumed {
        clock: Clock::resume(handover.now, handover.machine, TimeSpan(monotonic_micros())),
        learned: ResumedState {
            policy: module,
            members,
        },
    })
}
