//! The metrics as one line of the log.

use crate::routing::metrics::Metrics;

/// All metrics as `name=value`, separated by spaces.
pub fn line(metrics: &Metrics) -> String {
    let pairs: Vec<_> = metrics
        .named()
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    pairs.join(" ")
}
