//! When the endpoint list is polled.

use super::RoutingPolicy;
use crate::interface::*;
use crate::time::{TimeSpan, Timestamp};

/// Longest backoff after a failed poll, as a share of the time within which the list must be polled.
const POLL_BACKOFF_SHARE: f64 = 0.1;
/// Backoff after the first failure in a row, as a part of the longest: changes are missed meanwhile.
const FIRST_BACKOFF: f64 = 1.0 / 16.0;

/// Failed polls in a row.
#[derive(Default)]
pub(crate) struct PollFailures {
    /// Failures before the last one.
    in_a_row: i32,
    /// A failure before this time belongs to the same row.
    until: Timestamp,
}

impl RoutingPolicy {
    /// A poll failed or a watch broke: the next poll follows after a backoff with jitter.
    pub fn on_poll_failed(&mut self, now: Timestamp) -> Actions {
        self.set_now(now);
        let longest = self.settings.max_poll_interval * POLL_BACKOFF_SHARE;
        let is_in_a_row = now < self.poll_failures.until;
        let in_a_row = if is_in_a_row {
            self.poll_failures.in_a_row + 1
        } else {
            0
        };
        self.poll_failures = PollFailures {
            in_a_row,
            until: now + longest * 2.0,
        };
        let part = (FIRST_BACKOFF * 2f64.powi(in_a_row)).min(1.0);
        let jitter = 0.5 + self.rng.draw();
        let backoff: TimeSpan = longest * part * jitter;
        self.poll_at = self.settings.poll_endpoint_list.then_some(now + backoff);
        self.run_rules()
    }

    /// Rule: the endpoint list is polled when its time has come.
    pub(super) fn poll_when_due(&mut self) -> bool {
        let is_due = self.poll_at.take_if(|at| *at <= self.now).is_some();
        self.actions.poll_endpoint_list |= is_due;
        is_due
    }
}
