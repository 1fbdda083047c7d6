//! Points in time and spans between them, kept apart by type. Both count microseconds.

use serde::{Deserialize, Serialize};
use std::ops::{Add, Mul, Sub};

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Point(pub u64);

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Span(pub u64);

impl Span {
    pub const fn millis(ms: u64) -> Span {
        Span(ms.saturating_mul(1000))
    }

    /// How many times `other` goes into this span.
    pub fn ratio(self, other: Span) -> f64 {
        self.0 as f64 / other.0.max(1) as f64
    }
}

impl Add<Span> for Point {
    type Output = Point;
    fn add(self, span: Span) -> Point {
        Point(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Point {
    type Output = Point;
    fn sub(self, span: Span) -> Point {
        Point(self.0.saturating_sub(span.0))
    }
}

/// The span from an earlier point; none at all when it is in fact the later one.
impl Sub for Point {
    type Output = Span;
    fn sub(self, earlier: Point) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Add for Span {
    type Output = Span;
    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}

impl Sub for Span {
    type Output = Span;
    fn sub(self, other: Span) -> Span {
        Span(self.0.saturating_sub(other.0))
    }
}

impl Mul<f64> for Span {
    type Output = Span;
    fn mul(self, factor: f64) -> Span {
        Span((self.0 as f64 * factor) as u64)
    }
}
