//! The metrics as one log line.

use crate::routing::metrics::Metrics;

/// All metrics as `name=value`, separated by spaces.
pub fn format_line(metrics: &Metrics) -> String {
    let pairs: Vec<_> = metrics
        .named()
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    pairs.join(" ")
}
