//! The log: lines on standard error, so many a topic and second, with a count of those left out. `tracing` carries
//! them; what a line looks like is decided here, once for the process.

use crate::routing::event_loop::Observer;
use asterlatch::time::{TimeSpan, Timestamp};
use std::collections::BTreeMap;
use std::fmt::{self, Arguments, Write};
use std::io;
use std::time::SystemTime;
use tracing::field::{Field, Visit};
use tracing::Event;
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

/// How lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, clap::ValueEnum)]
pub enum Format {
    #[default]
    Text,
    /// One object a line.
    Json,
}

/// Lines of each topic within a second, where the operators say nothing.
const LINES_A_SECOND: u32 = 5;

pub struct Log {
    topics: BTreeMap<&'static str, Topic>,
    pub lines_a_second: u32,
    /// All that were ever left out.
    pub left_out: u64,
}

impl Default for Log {
    fn default() -> Log {
        Log {
            topics: BTreeMap::new(),
            lines_a_second: LINES_A_SECOND,
            left_out: 0,
        }
    }
}

#[derive(Default)]
struct Topic {
    since: Timestamp,
    lines: u32,
    left_out: u64,
}

impl Log {
    /// Whether a line may go out, and how many were left out before it.
    pub fn admit(&mut self, now: Timestamp, topic: &'static str) -> Option<u64> {
        let t = self.topics.entry(topic).or_default();
        if now - t.since >= TimeSpan::millis(1000) {
            (t.since, t.lines) = (now, 0);
        }
        t.lines += 1;
        if t.lines > self.lines_a_second {
            t.left_out += 1;
            self.left_out += 1;
            return None;
        }
        Some(std::mem::take(&mut t.left_out))
    }
}

/// The one way to the log. The text is put together only for lines that go out: a flood costs a look at the count.
macro_rules! log {
    ($log:expr, $now:expr, $topic:expr, $($text:tt)*) => {
        if let Some(left_out) = $log.admit($now, $topic) {
            ::tracing::info!(topic = $topic, left_out, "{}", format_args!($($text)*));
        }
    };
}
pub(crate) use log;

impl Observer for Log {
    fn log(&mut self, now: Timestamp, topic: &'static str, text: Arguments) {
        log!(self, now, topic, "{text}");
    }
}

/// Sets up how this process writes its lines. A failed write to standard error is no reason to stop serving.
pub fn start(format: Format) {
    let subscriber = tracing_subscriber::fmt()
        .with_writer(io::stderr)
        .log_internal_errors(false)
        .event_format(Lines(format))
        .finish();
    // Only a second call fails, which changes nothing.
    let _ = tracing::subscriber::set_global_default(subscriber);
}

struct Lines(Format);

/// What a line is made of.
#[derive(Default)]
struct Parts {
    topic: String,
    text: String,
    left_out: u64,
}

impl Visit for Parts {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        if field.name() == "message" {
            let _ = write!(self.text, "{value:?}");
        }
    }

    fn record_str(&mut self, field: &Field, value: &str) {
        if field.name() == "topic" {
            self.topic.push_str(value);
        }
    }

    fn record_u64(&mut self, field: &Field, value: u64) {
        if field.name() == "left_out" {
            self.left_out = value;
        }
    }
}

impl<S, N> FormatEvent<S, N> for Lines
where
    S: tracing::Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(&self, _: &FmtContext<'_, S, N>, mut out: Writer<'_>, event: &Event<'_>) -> fmt::Result {
        let mut parts = Parts::default();
        event.record(&mut parts);
        let line = match self.0 {
            Format::Text => text_line(&parts),
            Format::Json => json_line(&parts, SystemTime::now()),
        };
        writeln!(out, "{line}")
    }
}

fn text_line(parts: &Parts) -> String {
    let note = match parts.left_out {
        0 => String::new(),
        left_out => format!(" ({left_out} lines left out)"),
    };
    format!("asterlatch: {}: {}{note}", parts.topic, parts.text)
}

fn json_line(parts: &Parts, at: SystemTime) -> String {
    let at = at.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let line = serde_json::json!({
        "unix_ms": at.as_millis() as u64,
        "topic": parts.topic,
        "message": parts.text,
        "left_out": parts.left_out,
    });
    line.to_string()
}
