//! The process's timeline, which advances with the monotonic clock only.
//!
//! Its origin is the wall-clock time at startup, which makes log lines readable. Nothing else may depend on
//! the origin, since the wall clock may be wrong or be set at any time. [`asterlatch::remote_clock`] relates
//! timestamps of members and discovery to this timeline. Only the log reads the wall clock otherwise.

use asterlatch::time::{TimeSpan, Timestamp};
use std::time::{Duration, Instant, SystemTime};

/// A monotonic clock in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    anchor: Instant,
    /// Reading of this clock at `anchor`.
    origin: Duration,
}

/// Environment variable with which tests shift this process's wall clock: signed whole seconds.
pub const OFFSET_VARIABLE: &str = "ASTERLATCH_LAB_CLOCK";

/// Lower bound of the origin: timestamp zero means never, and an unset wall clock starts in 1970.
const MIN_ORIGIN: Duration = Duration::from_secs(1_000_000_000);

/// The wall clock's Unix time, shifted by [`OFFSET_VARIABLE`].
#[expect(clippy::disallowed_methods, reason = "only the origin of the timeline")]
fn wall_clock() -> Duration {
    let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let unix = unix.unwrap_or_default();
    let offset = std::env::var(OFFSET_VARIABLE)
        .ok()
        .and_then(|seconds| seconds.parse::<i64>().ok())
        .unwrap_or(0);
    let shift = Duration::from_secs(offset.unsigned_abs());
    if offset < 0 {
        unix.saturating_sub(shift)
    } else {
        unix + shift
    }
}

impl Clock {
    /// Starts a clock at the current wall-clock time, or at a fixed minimum if that is earlier.
    pub fn start() -> Clock {
        Clock {
            anchor: Instant::now(),
            origin: wall_clock().max(MIN_ORIGIN),
        }
    }

    /// Continues another process's clock, which showed `reading` at the machine uptime `uptime_then`. Changes
    /// of the wall clock in between have no effect.
    pub fn resume(reading: Timestamp, uptime_then: TimeSpan, uptime_now: TimeSpan) -> Clock {
        let elapsed_before = TimeSpan(uptime_now.0.saturating_sub(uptime_then.0));
        Clock {
            anchor: Instant::now(),
            origin: Duration::from_micros((reading + elapsed_before).0),
        }
    }

    /// The current time on this timeline.
    pub fn now(&self) -> Timestamp {
        Timestamp((self.origin + self.anchor.elapsed()).as_micros() as u64)
    }
}
