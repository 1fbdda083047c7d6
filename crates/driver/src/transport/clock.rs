//! Unix time that never goes back: it is read once and then counted by the monotonic clock, since the system's clock may
//! be set while decisions compare timestamps.

use asterlatch::time::{TimeSpan, Timestamp};
use std::time::{Duration, Instant, SystemTime};

/// A monotonic Unix clock in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    anchor: Instant,
    unix: Duration,
}

/// Environment variable by which tests shift this process's clock against the machine's, in whole seconds of either sign.
pub const OFFSET_VARIABLE: &str = "ASTERLATCH_LAB_CLOCK";

impl Clock {
    /// A clock that starts at the system's time, shifted by [`OFFSET_VARIABLE`].
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let unix = unix.unwrap_or_default();
        let offset = std::env::var(OFFSET_VARIABLE)
            .ok()
            .and_then(|seconds| seconds.parse::<i64>().ok())
            .unwrap_or(0);
        let distance = Duration::from_secs(offset.unsigned_abs());
        let unix = if offset < 0 {
            unix.saturating_sub(distance)
        } else {
            unix + distance
        };
        Clock {
            anchor: Instant::now(),
            unix,
        }
    }

    /// Continues another process's clock, which read `then` when the machine's uptime was `machine_then`. A system clock
    /// that was set in between changes nothing.
    pub fn resume(then: Timestamp, machine_then: TimeSpan, machine_now: TimeSpan) -> Clock {
        let passed = TimeSpan(machine_now.0.saturating_sub(machine_then.0));
        Clock {
            anchor: Instant::now(),
            unix: Duration::from_micros((then + passed).0),
        }
    }

    /// The current time.
    pub fn now(&self) -> Timestamp {
        Timestamp((self.unix + self.anchor.elapsed()).as_micros() as u64)
    }
}
