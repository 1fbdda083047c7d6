//! The log: lines on standard error, so many a topic and second, with a count of those left out.

use crate::routing::owner::Observer;
use asterlatch::time::{Point, Span};
use std::collections::BTreeMap;
use std::fmt::Arguments;

const LINES_A_SECOND: u32 = 5;

#[derive(Default)]
pub struct Log {
    topics: BTreeMap<&'static str, Topic>,
}

#[derive(Default)]
struct Topic {
    since: Point,
    lines: u32,
    left_out: u64,
}

impl Log {
    /// Whether a line may go out, and how many were left out before it.
    pub fn admit(&mut self, now: Point, topic: &'static str) -> Option<u64> {
        let t = self.topics.entry(topic).or_default();
        if now - t.since >= Span::millis(1000) {
            (t.since, t.lines) = (now, 0);
        }
        t.lines += 1;
        if t.lines > LINES_A_SECOND {
            t.left_out += 1;
            return None;
        }
        Some(std::mem::take(&mut t.left_out))
    }
}

/// The one way to the log. A failed write to standard error is no reason to stop serving.
macro_rules! log {
    ($log:expr, $now:expr, $topic:expr, $($text:tt)*) => {
        if let Some(left_out) = $log.admit($now, $topic) {
            let note = if left_out > 0 { format!(" ({left_out} lines left out)") } else { String::new() };
            eprintln!("asterlatch: {}: {}{note}", $topic, format_args!($($text)*));
        }
    };
}
pub(crate) use log;

impl Observer for Log {
    fn say(&mut self, now: Point, topic: &'static str, text: Arguments) {
        log!(self, now, topic, "{text}");
    }
}
