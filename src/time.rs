//! Time types: points in time of two clocks, distinguished by type, and differences between them.
//!
//! All count microseconds. All arithmetic saturates, so a clock that steps back yields zero instead of a
//! panic. [`RemoteClock`](crate::remote_clock::RemoteClock) relates the two clocks.

use serde::{Deserialize, Serialize};
use std::ops::{Add, Mul, Sub};

/// Maximum delay of a driver between reading its clock and the write that follows.
pub const MAX_WRITE_DELAY: TimeSpan = TimeSpan::millis(150);

/// A point in time in microseconds of the host's monotonic clock, whose origin is arbitrary.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Timestamp(pub u64);

/// A non-negative difference between two points in time, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TimeSpan(pub u64);

/// A point in time in microseconds of Unix time, by the clock that members and discovery share, such as a log
/// position or the start of a member. The host's own wall clock may differ by any amount.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RemoteTimestamp(pub u64);

impl RemoteTimestamp {
    /// Unix time in whole milliseconds; saturates at the latest timestamp.
    pub const fn from_millis(milliseconds: u64) -> RemoteTimestamp {
        RemoteTimestamp(milliseconds.saturating_mul(1000))
    }

    /// Unix time in milliseconds, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1000
    }
}

impl TimeSpan {
    /// A span of whole milliseconds; saturates at the longest span.
    pub const fn millis(milliseconds: u64) -> TimeSpan {
        TimeSpan(milliseconds.saturating_mul(1000))
    }

    /// This span divided by `other`; a zero `other` counts as one microsecond.
    pub fn ratio(self, other: TimeSpan) -> f64 {
        self.0 as f64 / other.0.max(1) as f64
    }
}

impl Add<TimeSpan> for Timestamp {
    type Output = Timestamp;
    fn add(self, span: TimeSpan) -> Timestamp {
        Timestamp(self.0.saturating_add(span.0))
    }
}

impl Sub<TimeSpan> for Timestamp {
    type Output = Timestamp;
    fn sub(self, span: TimeSpan) -> Timestamp {
        Timestamp(self.0.saturating_sub(span.0))
    }
}

/// The time since `earlier`; zero if that is the later one.
impl Sub for Timestamp {
    type Output = TimeSpan;
    fn sub(self, earlier: Timestamp) -> TimeSpan {
        TimeSpan(self.0.saturating_sub(earlier.0))
    }
}

impl Add<TimeSpan> for RemoteTimestamp {
    type Output = RemoteTimestamp;
    fn add(self, span: TimeSpan) -> RemoteTimestamp {
        RemoteTimestamp(self.0.saturating_add(span.0))
    }
}

impl Sub<TimeSpan> for RemoteTimestamp {
    type Output = RemoteTimestamp;
    fn sub(self, span: TimeSpan) -> RemoteTimestamp {
        RemoteTimestamp(self.0.saturating_sub(span.0))
    }
}

/// The time since `earlier`; zero if that is the later one.
impl Sub for RemoteTimestamp {
    type Output = TimeSpan;
    fn sub(self, earlier: RemoteTimestamp) -> TimeSpan {
        TimeSpan(self.0.saturating_sub(earlier.0))
    }
}

impl Add for TimeSpan {
    type Output = TimeSpan;
    fn add(self, other: TimeSpan) -> TimeSpan {
        TimeSpan(self.0.saturating_add(other.0))
    }
}

impl Sub for TimeSpan {
    type Output = TimeSpan;
    fn sub(self, other: TimeSpan) -> TimeSpan {
        TimeSpan(self.0.saturating_sub(other.0))
    }
}

impl Mul<f64> for TimeSpan {
    type Output = TimeSpan;
    fn mul(self, factor: f64) -> TimeSpan {
        TimeSpan((self.0 as f64 * factor) as u64)
    }
}
