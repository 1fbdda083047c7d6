//! The log: lines on standard error, a bounded number of each topic a second, with a count of those suppressed. `tracing`
//! carries them; their form is decided here, once for the process.

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

/// How lines are written.
// Doc comments of the variants are printed by `--help`, so `Text` has none.
#[allow(missing_docs)]
#[derive(Clone, Copy, Debug, Default, PartialEq, clap::ValueEnum)]
pub enum Format {
    #[default]
    Text,
    /// One object a line.
    Json,
}

/// Lines of each topic a second, where operators set nothing.
const DEFAULT_LINES_PER_SECOND: u32 = 5;
/// The time over which lines are counted.
const RATE_WINDOW: TimeSpan = TimeSpan::millis(1000);

/// Limits the rate of each topic's lines. Each thread that logs by the macro `log!` needs one of its own.
pub struct Log {
    topics: BTreeMap<&'static str, TopicRate>,
    /// Lines of each topic a second; it may change at any time.
    pub lines_per_second: u32,
    /// Number of lines that were suppressed so far, of all topics.
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
    window_began_at: Timestamp,
    lines: u32,
    /// Lines suppressed since the last admitted one.
    suppressed: u64,
}

impl Log {
    /// Whether a line of this topic may be written; if so, how many were suppressed since the topic's last line.
    pub fn admit(&mut self, now: Timestamp, topic: &'static str) -> Option<u64> {
        let rate = self.topics.entry(topic).or_default();
        if now - rate.window_began_at >= RATE_WINDOW {
            rate.window_began_at = now;
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

/// Writes a line under a topic, if its rate admits it. Only then is the text formatted, so a flood of lines costs little.
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

/// Sets the form of this process's lines; later calls change nothing. Lines that can't be written are lost.
pub fn start(format: Format) {
    let subscriber = tracing_subscriber::fmt()
        .with_writer(io::stderr)
        .log_internal_errors(false)
        .event_format(LineFormatter(format))
        .finish();
    // Fails if a subscriber is set already.
    let _ = tracing::subscriber::set_global_default(subscriber);
}

struct LineFormatter(Format);

/// What a line is made of.
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

#[expect(clippy::disallowed_methods, reason = "shown to operators alone")]
fn wall_clock() -> SystemTime {
    SystemTime::now()
}

fn text_line(line: &Line) -> String {
    let note = match line.suppressed {
        0 => String::new(),
        suppressed => format!(" ({suppressed} lines left out)"),
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
