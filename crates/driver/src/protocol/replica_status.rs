//! Parsers of log positions, roles and load reports as members send them.

use asterlatch::interface::ReplicaStatus;
use asterlatch::time::RemoteTimestamp;

/// ParameterStatus with the log position of an answer.
pub const POSITION: &str = "as_of";
/// ParameterStatus with the member's role.
pub const ROLE: &str = "rank";
/// ParameterStatus with the load report, and the query of a health check that requests it.
pub const LOAD_REPORT: &str = "vitals";

/// Whether the role is that of a primary; `None` for an unknown role.
pub fn parse_role(text: &str) -> Option<bool> {
    match text {
        "source" => Some(true),
        "copy" => Some(false),
        _ => None,
    }
}

/// Converts a Unix time in milliseconds; `None` for zero, which means unknown, and values out of range.
pub fn unix_timestamp(milliseconds: u64) -> Option<RemoteTimestamp> {
    let is_valid = milliseconds > 0 && milliseconds < u64::MAX / 1000;
    is_valid.then(|| RemoteTimestamp::from_millis(milliseconds))
}

/// Parses a log position, a Unix time in milliseconds.
pub fn parse_position(text: &str) -> Option<RemoteTimestamp> {
    text.parse().ok().and_then(unix_timestamp)
}

/// Parses the status in a load report. `position` and `role` are the names of its fields. The position, in
/// seconds, is rounded down, so that a member never appears fresher than it is.
pub fn parse_load_report(text: &str, position: Option<&str>, role: Option<&str>) -> ReplicaStatus {
    let pairs = text.split(',').filter_map(|pair| pair.split_once('='));
    let mut status = ReplicaStatus::default();
    for (name, value) in pairs.map(|(name, value)| (name.trim(), value.trim())) {
        let Some(number) = value.parse::<f64>().ok().filter(|v| v.is_finite()) else {
            continue;
        };
        if Some(name) == position && number > 0.0 {
            // Compensates for the rounding of a decimal fraction to just below the intended millisecond.
            status.position = unix_timestamp((number * 1000.0 + 0.001).floor() as u64);
        }
        // Other numbers are ignored: an invalid report must not demote a primary.
        if Some(name) == role && (number == 0.0 || number == 1.0) {
            status.is_primary = Some(number == 1.0);
        }
    }
    status
}
