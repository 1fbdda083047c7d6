//! Unix time in microseconds that never goes back: anchored once, then counted by the monotonic clock, since
//! the system's clock may be set while the module compares points.

use asterlatch::time::Point;
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

    pub fn now(&self) -> Point {
        Point((self.unix + self.anchor.elapsed()).as_micros() as u64)
    }
}
