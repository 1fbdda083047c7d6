//! The process's time line, counted by the monotonic clock alone.
//!
//! Its origin is the wall clock at the start, so that log lines can be read, and means nothing else: that clock may have
//! been wrong, and may be set at any time. What members and discovery stamp by their own clock is related to this time line
//! by [`asterlatch::remote_clock`]. Nothing else in this program reads the wall clock but the log.

use asterlatch::time::{TimeSpan, Timestamp};
use std::time::{Duration, Instant, SystemTime};

/// A monotonic clock in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    anchor: Instant,
    /// What it showed then.
    origin: Duration,
}

/// Environment variable by which tests shift this process's wall clock against the machine's, in whole seconds of either
/// sign.
pub const OFFSET_VARIABLE: &str = "ASTERLATCH_LAB_CLOCK";

/// The least origin of a time line. Zero stands for never, and a wall clock without a battery shows 1970.
const LEAST_ORIGIN: Duration = Duration::from_secs(1_000_000_000);

/// The wall clock's Unix time, shifted by [`OFFSET_VARIABLE`].
#[expect(clippy::disallowed_methods, reason = "an origin that means nothing")]
fn wall_clock() -> Duration {
    let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let unix = unix.unwrap_or_default();
    let offset = std::env::var(OFFSET_VARIABLE)
        .ok()
        .and_then(|seconds| seconds.parse::<i64>().ok())
        .unwrap_or(0);
    let distance = Duration::from_secs(offset.unsigned_abs());
    if offset < 0 {
        unix.saturating_sub(distance)
    } else {
        unix + distance
    }
}

impl Clock {
    /// A clock that starts at what the wall clock shows.
    pub fn start() -> Clock {
        Clock {
            anchor: Instant::now(),
            origin: wall_clock().max(LEAST_ORIGIN),
        }
    }

    /// Continues another process's clock, which read `then` when the machine's uptime was `machine_then`. A system clock
    /// that was set in between changes nothing.
    pub fn resume(then: Timestamp, machine_then: TimeSpan, machine_now: TimeSpan) -> Clock {
        let passed = TimeSpan(machine_now.0.saturating_sub(machine_then.0));
        Clock {
            anchor: Instant::now(),
            origin: Duration::from_micros((then + passed).0),
        }
    }

    /// The current time.
    pub fn now(&self) -> Timestamp {
        Timestamp((self.origin + self.anchor.elapsed()).as_micros() as u64)
    }
}
