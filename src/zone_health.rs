//! Detection of unresponsive zones.
//!
//! A driver of a large fleet sends to a single member too rarely to detect that it is unreachable, but often
//! enough to all members of a zone together.

use crate::time::{TimeSpan, Timestamp};
use serde::{Deserialize, Serialize};

/// Multiple of the maximum typical latency after which an execution counts as delayed.
const DELAY_THRESHOLD_LATENCIES: f64 = 2.5;
/// Number of delayed executions, without an answer from their zone since, from which on the zone is
/// unresponsive.
const MIN_DELAYED_EXECUTIONS: usize = 2;
/// Time after which an avoided zone is tried again.
const ZONE_RETRY_DELAY: TimeSpan = TimeSpan::millis(1500);

/// Time before which an execution in flight must have been dispatched to count as delayed.
pub fn delayed_before(now: Timestamp, max_typical: TimeSpan) -> Timestamp {
    now - max_typical * DELAY_THRESHOLD_LATENCIES
}

/// Time of the last answer from each zone, and time since which it is avoided, by zone index.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ZoneHealth {
    answered_at: Vec<Timestamp>,
    avoided_at: Vec<Timestamp>,
}

/// Zone indices are dense, so the vector stays short.
fn set(times: &mut Vec<Timestamp>, zone: u16, now: Timestamp) {
    let index = usize::from(zone);
    times.resize(times.len().max(index + 1), Timestamp(0));
    times[index] = now;
}

fn get(times: &[Timestamp], zone: u16) -> Timestamp {
    times.get(usize::from(zone)).copied().unwrap_or_default()
}

impl ZoneHealth {
    /// Records an answer from a member of the zone.
    pub fn record_answer(&mut self, zone: u16, now: Timestamp) {
        set(&mut self.answered_at, zone, now);
    }

    /// Avoids the zone until it answers or `ZONE_RETRY_DELAY` has passed.
    pub fn avoid(&mut self, zone: u16, now: Timestamp) {
        set(&mut self.avoided_at, zone, now);
    }

    /// Whether the zone is avoided, or has delayed executions without an answer since. `dispatched` are the
    /// dispatch times of the executions in flight there.
    pub fn is_zone_unresponsive(
        &self,
        zone: u16,
        dispatched: &mut dyn Iterator<Item = Timestamp>,
        now: Timestamp,
        max_typical: TimeSpan,
    ) -> bool {
        let answered_at = get(&self.answered_at, zone);
        let avoided_at = get(&self.avoided_at, zone);
        if avoided_at > answered_at && now < avoided_at + ZONE_RETRY_DELAY {
            return true;
        }
        let threshold = delayed_before(now, max_typical);
        let unanswered = dispatched.filter(|at| *at > answered_at && *at < threshold);
        unanswered.count() >= MIN_DELAYED_EXECUTIONS
    }
}
