//! Polling of the endpoint list.

use super::RoutingPolicy;
use crate::interface::*;
use crate::time::{TimeSpan, Timestamp};

/// Maximum backoff after a failed poll, as a fraction of the maximum poll interval.
const MAX_BACKOFF_FRACTION: f64 = 0.1;
/// Backoff after a first failure, as a fraction of the maximum; short, since changes are missed meanwhile.
const INITIAL_BACKOFF_FRACTION: f64 = 1.0 / 16.0;

/// Consecutive failed polls.
#[derive(Default)]
pub(crate) struct PollFailures {
    /// Consecutive failures before the last one.
    previous_failures: i32,
    /// A failure before this time counts as consecutive.
    consecutive_until: Timestamp,
}

impl RoutingPolicy {
    /// Handles a failed poll or a broken watch: schedules the next poll after an exponential backoff with
    /// jitter.
    pub fn on_poll_failed(&mut self, now: Timestamp) -> Actions {
        self.set_now(now);
        let max_backoff = self.settings.max_poll_interval * MAX_BACKOFF_FRACTION;
        let is_consecutive = now < self.poll_failures.consecutive_until;
        let previous_failures = if is_consecutive {
            self.poll_failures.previous_failures + 1
        } else {
            0
        };
        self.poll_failures = PollFailures {
            previous_failures,
            consecutive_until: now + max_backoff * 2.0,
        };
        let fraction = (INITIAL_BACKOFF_FRACTION * 2f64.powi(previous_failures)).min(1.0);
        let jitter = 0.5 + self.rng.draw();
        let backoff: TimeSpan = max_backoff * fraction * jitter;
        self.poll_at = self.settings.poll_endpoint_list.then_some(now + backoff);
        self.run_rules()
    }

    /// Rule: requests a poll of the endpoint list when one is due.
    pub(super) fn poll_when_due(&mut self) -> bool {
        let is_due = self.poll_at.take_if(|at| *at <= self.now).is_some();
        self.actions.poll_endpoint_list |= is_due;
        is_due
    }
}
