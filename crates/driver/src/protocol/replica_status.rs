//! Positions, roles and reports as members word them.

use asterlatch::interface::ReplicaStatus;
use asterlatch::time::{TimeSpan, Timestamp};

pub const POSITION: &str = "as_of";
pub const ROLE: &str = "rank";
pub const REPORT: &str = "vitals";

pub fn role(text: &str) -> Option<bool> {
    match text {
        "source" => Some(true),
        "copy" => Some(false),
        _ => None,
    }
}

/// A Unix time in whole milliseconds; zero stands for none.
pub fn unix(ms: u64) -> Option<Timestamp> {
    (ms > 0 && ms < u64::MAX / 1000).then(|| Timestamp(0) + TimeSpan::millis(ms))
}

pub fn position(text: &str) -> Option<Timestamp> {
    text.parse().ok().and_then(unix)
}

/// What a report's text holds: its position is in seconds there, and is rounded down, for no member may seem
/// fresher than it is. `position` and `role` name the fields that hold them.
pub fn report(text: &str, position: Option<&str>, role: Option<&str>) -> ReplicaStatus {
    let pairs = text.split(',').filter_map(|p| p.split_once('='));
    let mut sighting = ReplicaStatus::default();
    for (name, value) in pairs.map(|(n, v)| (n.trim(), v.trim())) {
        let Some(number) = value.parse::<f64>().ok().filter(|v| v.is_finite()) else {
            continue;
        };
        if Some(name) == position && number > 0.0 {
            // The text's last digit may stand just below the millisecond that it means.
            sighting.position = unix((number * 1000.0 + 0.001).floor() as u64);
        }
        // Any other number is no role: a report that can't be read must not depose a primary.
        if Some(name) == role && (number == 0.0 || number == 1.0) {
            sighting.is_primary = Some(number == 1.0);
        }
    }
    sighting
}
