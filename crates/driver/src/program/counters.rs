//! The counters as one line.

use crate::routing::metrics::Metrics;

pub fn line(metrics: &Metrics) -> String {
    let pairs: Vec<_> = metrics
        .named()
        .map(|(name, count)| format!("{name}={count}"))
        .collect();
    pairs.join(" ")
}
