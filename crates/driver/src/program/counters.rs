//! The counters as one line.

use crate::routing::metrics::Figures;

pub fn line(figures: &Figures) -> String {
    let pairs: Vec<_> = figures
        .named()
        .map(|(name, count)| format!("{name}={count}"))
        .collect();
    pairs.join(" ")
}
