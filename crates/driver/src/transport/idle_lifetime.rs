//! Estimates for how long an idle connection stays usable. Members and middleboxes may drop idle connections long before
//! the settings say so, and give no sign until something is written.

use asterlatch::time::{TimeSpan, Timestamp};

/// Idle times are grouped by powers of two; this is the width of the first group.
const FIRST_GROUP: TimeSpan = TimeSpan::millis(16);
const GROUPS: usize = 12;
/// A sample counts half after this.
const HALF_LIFE: TimeSpan = TimeSpan::millis(5000);
/// Samples of a group from which on its share of broken connections counts.
const LEAST_SAMPLES: f64 = 8.0;
/// Share of broken connections that is too high.
const TOO_MANY_BROKEN: f64 = 0.2;
/// Multiple of the first group's share that it must exceed as well: connections that break for other reasons are not
/// saved by new ones.
const LEAST_MULTIPLE: f64 = 2.0;

/// How often connections break at their next use, by how long they were idle.
#[derive(Clone, Debug, Default)]
pub struct IdleLifetimeEstimator {
    used: [f64; GROUPS],
    broken: [f64; GROUPS],
    decayed_at: Timestamp,
}

impl IdleLifetimeEstimator {
    /// A connection was used again after it was idle for this long.
    pub fn record(&mut self, now: Timestamp, idle: TimeSpan, broke: bool) {
        let decay = 0.5f64.powf((now - self.decayed_at).ratio(HALF_LIFE));
        self.decayed_at = now;
        for count in self.used.iter_mut().chain(&mut self.broken) {
            *count *= decay;
        }
        let group = ((idle.0 / FIRST_GROUP.0 + 1).ilog2() as usize).min(GROUPS - 1);
        self.used[group] += 1.0;
        self.broken[group] += f64::from(u8::from(broke));
    }

    /// Idle time from which on connections break too often; `None` if that isn't known of any.
    pub fn limit(&self) -> Option<TimeSpan> {
        let broken_share = |group: usize| self.broken[group] / self.used[group].max(1.0);
        let tolerated = TOO_MANY_BROKEN.max(broken_share(0) * LEAST_MULTIPLE);
        let is_unusable =
            |group: &usize| self.used[*group] >= LEAST_SAMPLES && broken_share(*group) > tolerated;
        let first = (1..GROUPS).find(is_unusable)?;
        Some(TimeSpan(FIRST_GROUP.0 * ((1 << first) - 1)))
    }
}
