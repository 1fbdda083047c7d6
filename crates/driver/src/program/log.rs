//! The log: lines on standard error, rate-limited per topic, with a count of the suppressed ones. Lines go
//! through `tracing`; this module formats them.

use crate::routing::event_loop::Logger;
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

/// Format of log lines.
// Doc comments of the variants are printed by `--help`, so `Text` has none.
#[allow(missing_docs)]
#[derive(Clone, Copy, Debug, Default, PartialEq, clap::ValueEnum)]
pub enum Format {
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Limit per topic unless operators set another one.
const DEFAULT_LINES_PER_SECOND: u32 = 5;
const RATE_WINDOW: TimeSpan = TimeSpan::millis(1000);

/// Limits the rate of each topic's lines. Each thread that uses the macro `log!` needs its own.
pub struct Log {
    topics: BTreeMap<&'static str, TopicRate>,
    /// Limit per topic; it may change at any time.
    pub lines_per_second: u32,
    /// Number of suppressed lines of all topics since the start.
    pub suppressed_lines: u64,
}

impl Default for Log {
    fn default() -> Log {
        Log {
            topics: BTreeMap::new(),
            lines_per_second: DEFAULT_LINES_PER_SECOND,
            suppressed_lines: 0,
        }
    }
}

#[derive(Default)]
struct TopicRate {
    window_started_at: Timestamp,
    lines: u32,
    /// Number of lines suppressed since the last admitted one.
    suppressed: u64,
}

impl Log {
    /// Whether a line of this topic may be written; if so, the number of lines suppressed since the topic's
    /// last one.
    pub fn admit(&mut self, now: Timestamp, topic: &'static str) -> Option<u64> {
        let rate = self.topics.entry(topic).or_default();
        if now - rate.window_started_at >= RATE_WINDOW {
            rate.window_started_at = now;
            rate.lines = 0;
        }
        rate.lines += 1;
        if rate.lines > self.lines_per_second {
            rate.suppressed += 1;
            self.suppressed_lines += 1;
            return None;
        }
        Some(std::mem::take(&mut rate.suppressed))
    }
}

/// Writes a line under a topic unless its rate limit is reached. A suppressed line is not formatted.
macro_rules! log {
    ($log:expr, $now:expr, $topic:expr, $($text:tt)*) => {
        if let Some(suppressed) = $log.admit($now, $topic) {
            ::tracing::info!(topic = $topic, suppressed, "{}", format_args!($($text)*));
        }
    };
}
pub(crate) use log;

impl Logger for Log {
    fn log(&mut self, now: Timestamp, topic: &'static str, text: Arguments) {
        log!(self, now, topic, "{text}");
    }
}

/// Sets the format of this process's lines; later calls have no effect. Lines that can't be written are lost.
pub fn start(format: Format) {
    let subscriber = tracing_subscriber::fmt()
        .with_writer(io::stderr)
        .log_internal_errors(false)
        .event_format(LineFormatter(format))
        .finish();
    // Fails if a subscriber is already set.
    let _ = tracing::subscriber::set_global_default(subscriber);
}

struct LineFormatter(Format);

/// The fields of a line.
#[derive(Default)]
struct Line {
    topic: String,
    text: String,
    suppressed: u64,
}

impl Visit for Line {
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
        if field.name() == "suppressed" {
            self.suppressed = value;
        }
    }
}

impl<S, N> FormatEvent<S, N> for LineFormatter
where
    S: tracing::Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(&self, _: &FmtContext<'_, S, N>, mut out: Writer<'_>, event: &Event<'_>) -> fmt::Result {
        let mut line = Line::default();
        event.record(&mut line);
        let text = match self.0 {
            Format::Text => text_line(&line),
            Format::Json => json_line(&line, wall_clock()),
        };
        writeln!(out, "{text}")
    }
}

#[expect(clippy::disallowed_methods, reason = "only shown to operators")]
fn wall_clock() -> SystemTime {
    SystemTime::now()
}

fn text_line(line: &Line) -> String {
    let note = match line.suppressed {
        0 => String::new(),
        suppressed => format!(" ({suppressed} lines suppressed)"),
    };
    format!("asterlatch: {}: {}{note}", line.topic, line.text)
}

fn json_line(line: &Line, at: SystemTime) -> String {
    let since_epoch = at.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let object = serde_json::json!({
        "unix_ms": since_epoch.as_millis() as u64,
        "topic": line.topic,
        "message": line.text,
        "left_out": line.suppressed,
    });
    object.to_string()
}
