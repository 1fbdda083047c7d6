//! Estimates how long an idle connection stays usable. Members and middleboxes may drop idle connections
//! before the configured idle timeout, which goes unnoticed until the next write.

use asterlatch::time::{TimeSpan, Timestamp};

/// Idle times are counted in buckets whose width doubles.
const FIRST_BUCKET_WIDTH: TimeSpan = TimeSpan::millis(16);
const BUCKET_COUNT: usize = 12;
/// Half-life of a sample's weight.
const HALF_LIFE: TimeSpan = TimeSpan::millis(5000);
/// Minimum weight of the samples in a bucket for its fraction of broken connections to be considered.
const MIN_SAMPLES: f64 = 8.0;
/// Tolerated fraction of connections that are found broken.
const MAX_BROKEN_FRACTION: f64 = 0.2;
/// Multiple of the first bucket's fraction that must be exceeded as well: closing idle connections does not
/// help against connections that break for other reasons.
const MIN_BASELINE_MULTIPLE: f64 = 2.0;

/// Fraction of connections found broken at their next use, by idle time.
#[derive(Clone, Debug, Default)]
pub struct IdleLifetimeEstimator {
    used: [f64; BUCKET_COUNT],
    broken: [f64; BUCKET_COUNT],
    decayed_at: Timestamp,
}

impl IdleLifetimeEstimator {
    /// Records the reuse of a connection that had been idle for `idle`, and whether it was found broken.
    pub fn record(&mut self, now: Timestamp, idle: TimeSpan, is_broken: bool) {
        let decay = 0.5f64.powf((now - self.decayed_at).ratio(HALF_LIFE));
        self.decayed_at = now;
        for count in self.used.iter_mut().chain(&mut self.broken) {
            *count *= decay;
        }
        let bucket = ((idle.0 / FIRST_BUCKET_WIDTH.0 + 1).ilog2() as usize).min(BUCKET_COUNT - 1);
        self.used[bucket] += 1.0;
        self.broken[bucket] += f64::from(u8::from(is_broken));
    }

    /// The idle time from which connections are found broken too often; `None` if there is none.
    pub fn limit(&self) -> Option<TimeSpan> {
        let broken_fraction = |bucket: usize| self.broken[bucket] / self.used[bucket].max(1.0);
        let tolerated = MAX_BROKEN_FRACTION.max(broken_fraction(0) * MIN_BASELINE_MULTIPLE);
        let is_unusable =
            |bucket: &usize| self.used[*bucket] >= MIN_SAMPLES && broken_fraction(*bucket) > tolerated;
        let first_unusable = (1..BUCKET_COUNT).find(is_unusable)?;
        Some(TimeSpan(FIRST_BUCKET_WIDTH.0 * ((1 << first_unusable) - 1)))
    }
}
