//! Unix time in microseconds that never goes back: anchored once, then counted by the monotonic clock, since
//! the system's clock may be set while the module compares points.

use asterlatch::time::{Point, Span};
use std::time::{Duration, Instant, SystemTime};

#[derive(Clone, Copy, Debug)]
pub struct Clock {
    anchor: Instant,
    unix: Duration,
}

impl Clock {
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        Clock {
            anchor: Instant::now(),
            unix: unix.unwrap_or_default(),
        }
    }

    /// Goes on from another process's clock, which said so when the machine's clock said that: a wall clock that was
    /// set in between changes nothing.
    pub fn resume(then: Point, machine_then: Span, machine_now: Span) -> Clock {
        let passed = Span(machine_now.0.saturating_sub(machine_then.0));
        Clock {
            anchor: Instant::now(),
            unix: Duration::from_micros((then + passed).0),
        }
    }

    pub fn now(&self) -> Point {
        Point((self.unix + self.anchor.elapsed()).as_micros() as u64)
    }
}
