//! Positions, roles and load reports in the words of members.

use asterlatch::interface::ReplicaStatus;
use asterlatch::time::RemoteTimestamp;

/// Parameter with the log position of an answer.
pub const POSITION: &str = "as_of";
/// Parameter with the role of the member.
pub const ROLE: &str = "rank";
/// Parameter, and answer of a health check, with the load report.
pub const REPORT: &str = "vitals";

/// Whether a role is that of a primary; `None` for an unknown word.
pub fn parse_role(text: &str) -> Option<bool> {
    match text {
        "source" => Some(true),
        "copy" => Some(false),
        _ => None,
    }
}

/// A Unix time in whole milliseconds; zero and what is out of range stand for none.
pub fn unix_timestamp(milliseconds: u64) -> Option<RemoteTimestamp> {
    let is_valid = milliseconds > 0 && milliseconds < u64::MAX / 1000;
    is_valid.then(|| RemoteTimestamp::from_millis(milliseconds))
}

/// A log position, as a Unix time in milliseconds.
pub fn parse_position(text: &str) -> Option<RemoteTimestamp> {
    text.parse().ok().and_then(unix_timestamp)
}

/// The status within a load report's text. Its position is in seconds and is rounded down, since no member may seem
/// fresher than it is. `position` and `role` name the fields that hold them.
pub fn parse_load_report(text: &str, position: Option<&str>, role: Option<&str>) -> ReplicaStatus {
    let pairs = text.split(',').filter_map(|pair| pair.split_once('='));
    let mut status = ReplicaStatus::default();
    for (name, value) in pairs.map(|(name, value)| (name.trim(), value.trim())) {
        let Some(number) = value.parse::<f64>().ok().filter(|v| v.is_finite()) else {
            continue;
        };
        if Some(name) == position && number > 0.0 {
            // The text's last digit may stand just below the millisecond that it means.
            status.position = unix_timestamp((number * 1000.0 + 0.001).floor() as u64);
        }
        // Any other number is no role: an unreadable report must not depose a primary.
        if Some(name) == role && (number == 0.0 || number == 1.0) {
            status.is_primary = Some(number == 1.0);
        }
    }
    status
}
