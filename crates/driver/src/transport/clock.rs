//! Unix time in microseconds that never goes back: anchored once, then counted by the monotonic clock, since
//! the system's clock may be set while the module compares points.

use asterlatch::time::{TimeSpan, Timestamp};
use std::time::{Duration, Instant, SystemTime};

#[derive(Clone, Copy, Debug)]
pub struct Clock {
    anchor: Instant,
    unix: Duration,
}

/// How many seconds a laboratory has this process's clock stand ahead of the machine's, or behind where it is less than
/// nothing: machines whose clocks are off can't be had otherwise on one machine.
pub const VARIABLE: &str = "ASTERLATCH_LAB_CLOCK";

impl Clock {
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let unix = unix.unwrap_or_default();
        let ahead = std::env::var(VARIABLE).ok().and_then(|s| s.parse::<i64>().ok());
        let by = Duration::from_secs(ahead.unwrap_or(0).unsigned_abs());
        let unix = match ahead {
            Some(s) if s < 0 => unix.saturating_sub(by),
            _ => unix + by,
        };
        Clock {
            anchor: Instant::now(),
            unix,
        }
    }

    /// Goes on from another process's clock, which said so when the machine's clock said that: a wall clock that was
    /// set in between changes nothing.
    pub fn resume(then: Timestamp, machine_then: TimeSpan, machine_now: TimeSpan) -> Clock {
        let passed = TimeSpan(machine_now.0.saturating_sub(machine_then.0));
        Clock {
            anchor: Instant::now(),
            unix: Duration::from_micros((then + passed).0),
        }
    }

    pub fn now(&self) -> Timestamp {
        Timestamp((self.unix + self.anchor.elapsed()).as_micros() as u64)
    }
}
