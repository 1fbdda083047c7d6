//! When each zone last answered, and when it was left. Nothing here chooses.
//!
//! One driver meets a member too rarely to learn of it alone what it learns of all members of a zone together.

use crate::time::{TimeSpan, Timestamp};
use serde::{Deserialize, Serialize};

/// An execution is overdue after so many of the longest typical latencies.
const OVERDUE_LATENCIES: f64 = 2.5;
/// So many overdue executions, without an answer from their zone since, are not chance.
const LEAST_OVERDUE: usize = 2;
/// A zone that was left is tried again after this.
const RETRY_ZONE_AFTER: TimeSpan = TimeSpan::millis(1500);

/// Executions dispatched before this time are overdue.
pub fn delayed_before(now: Timestamp, longest_typical: TimeSpan) -> Timestamp {
    now - longest_typical * OVERDUE_LATENCIES
}

/// Last answer and last departure of each zone, by the zone's index.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ZoneHealth {
    answered_at: Vec<Timestamp>,
    left_at: Vec<Timestamp>,
}

/// Zones are numbered densely, by the settings and the list.
fn set(times: &mut Vec<Timestamp>, zone: u16, now: Timestamp) {
    let index = usize::from(zone);
    times.resize(times.len().max(index + 1), Timestamp(0));
    times[index] = now;
}

fn get(times: &[Timestamp], zone: u16) -> Timestamp {
    times.get(usize::from(zone)).copied().unwrap_or_default()
}

impl ZoneHealth {
    /// A member of the zone has answered.
    pub fn record_answer(&mut self, zone: u16, now: Timestamp) {
        set(&mut self.answered_at, zone, now);
    }

    /// The zone is avoided from now on, until it answers or it is time to try again.
    pub fn leave(&mut self, zone: u16, now: Timestamp) {
        set(&mut self.left_at, zone, now);
    }

    /// Whether nothing comes from the zone, by the dispatch times of the executions in flight there.
    pub fn is_silent(
        &self,
        zone: u16,
        dispatched: &mut dyn Iterator<Item = Timestamp>,
        now: Timestamp,
        longest_typical: TimeSpan,
    ) -> bool {
        let answered_at = get(&self.answered_at, zone);
        let left_at = get(&self.left_at, zone);
        if left_at > answered_at && now < left_at + RETRY_ZONE_AFTER {
            return true;
        }
        let overdue = delayed_before(now, longest_typical);
        let unanswered = dispatched.filter(|at| *at > answered_at && *at < overdue);
        unanswered.count() >= LEAST_OVERDUE
    }
}
