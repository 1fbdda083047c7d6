//! Messages of PostgreSQL's protocol, and the comment before a statement.

use crate::store_model::Statement;
use asterlatch::time::{TimeSpan, Timestamp};
use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::SystemTime;

/// The system's wall clock, which members and discovery use for their timestamps.
#[expect(clippy::disallowed_methods, reason = "stands in for the members' clock")]
pub fn wall_clock_now() -> Timestamp {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    Timestamp(since_epoch.unwrap_or_default().as_micros() as u64)
}

/// Encodes a message: its kind, its length and its body.
pub fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    [&[kind][..], &(body.len() as u32 + 4).to_be_bytes(), body].concat()
}

const MAX_MESSAGE_BYTES: usize = 1 << 24;

/// Reads the next message and returns its kind and body. Without `has_kind`, as for the startup message, the
/// kind is 0.
pub fn read_message(stream: &mut TcpStream, has_kind: bool) -> io::Result<(u8, Vec<u8>)> {
    let mut header = [0; 5];
    let start = usize::from(!has_kind);
    stream.read_exact(&mut header[start..])?;
    let length = u32::from_be_bytes([header[1], header[2], header[3], header[4]]) as usize;
    let length = length
        .checked_sub(4)
        .filter(|length| *length <= MAX_MESSAGE_BYTES)
        .ok_or(ErrorKind::InvalidData)?;
    let mut body = vec![0; length];
    stream.read_exact(&mut body)?;
    Ok((header[0], body))
}

/// Sends the startup message and reads responses up to the first `ReadyForQuery`.
pub fn start_session(stream: &mut TcpStream) -> io::Result<()> {
    let fields = b"user\0api\0database\0ledger\0\0";
    let mut startup = (fields.len() as u32 + 8).to_be_bytes().to_vec();
    startup.extend((3u32 << 16).to_be_bytes());
    startup.extend(fields);
    stream.write_all(&startup)?;
    while read_message(stream, true)?.0 != b'Z' {}
    Ok(())
}

/// Encodes an `ErrorResponse`.
pub fn error_response(code: &str, text: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0C{code}\0M{text}\0\0").as_bytes())
}

/// Encodes a `ParameterStatus`.
pub fn parameter_status(name: &str, value: &str) -> Vec<u8> {
    message(b'S', format!("{name}\0{value}\0").as_bytes())
}

/// Encodes a result of one row with one binary column.
pub fn data_row(value: &[u8]) -> Vec<u8> {
    let mut column = 1u16.to_be_bytes().to_vec();
    column.extend(b"blob\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01");
    let mut row = 1u16.to_be_bytes().to_vec();
    row.extend((value.len() as u32).to_be_bytes());
    row.extend(value);
    [
        message(b'T', &column),
        message(b'D', &row),
        message(b'C', b"SELECT 1\0"),
    ]
    .concat()
}

/// Encodes the value that a member returns: the statement's id and the log position of the data.
pub fn encode_value(id: u64, position: Timestamp) -> Vec<u8> {
    format!("{id:x}@{}", position.0 / 1000).into_bytes()
}

/// Decodes a value of [`encode_value`]; `None` if it is malformed.
pub fn decode_value(value: &[u8]) -> Option<(u64, Timestamp)> {
    let (id, ms) = std::str::from_utf8(value).ok()?.split_once('@')?;
    let position = Timestamp(0) + TimeSpan::millis(ms.parse().ok()?);
    Some((u64::from_str_radix(id, 16).ok()?, position))
}

/// Parses the comment before a statement; `names` are the workloads' names, by index. `None` if it is
/// invalid.
pub fn parse_statement(text: &str, names: &[&str]) -> Option<Statement> {
    let comment = text.trim_start().strip_prefix("/*")?.split("*/").next()?;
    let field = |name: &str| {
        let fields = comment.trim().split(',').filter_map(|f| f.split_once('='));
        fields.filter(|(n, _)| *n == name).map(|(_, v)| v).next()
    };
    let after = field("after").and_then(|ms| ms.parse().ok()).unwrap_or(0);
    Some(Statement {
        id: u64::from_str_radix(field("id")?, 16).ok()?,
        workload: names.iter().position(|n| Some(*n) == field("c"))?,
        min_position: Timestamp(0) + TimeSpan::millis(after),
    })
}

/// Parses the remaining time of a statement, in milliseconds, from the comment before it.
pub fn parse_timeout_ms(text: &str) -> Option<u64> {
    let comment = text.trim_start().strip_prefix("/*")?.split("*/").next()?;
    let mut fields = comment.trim().split(',').filter_map(|f| f.split_once('='));
    fields.find(|(name, _)| *name == "d")?.1.parse().ok()
}

/// A client's statement and the fields of its comment.
#[derive(Clone, Copy, Debug)]
pub struct ClientStatement {
    /// The same for all attempts.
    pub id: u64,
    /// Name of the workload.
    pub workload: &'static str,
    /// Remaining time until the client gives up.
    pub timeout: TimeSpan,
    /// Group number, from 1.
    pub group: u32,
    /// Client session; it reads and writes a key of its own.
    pub session: u32,
    /// Whether the statement writes its key or reads it.
    pub is_write: bool,
    /// An attempt after the first.
    pub is_retry: bool,
}

impl ClientStatement {
    /// Encodes the query message.
    pub fn encode(&self) -> Vec<u8> {
        let ClientStatement {
            id,
            workload,
            group,
            session,
            ..
        } = self;
        let milliseconds = self.timeout.0 / 1000;
        let retry_field = if self.is_retry { ",r=1" } else { "" };
        let header = format!("/* id={id:x},c={workload},d={milliseconds},cluster={group}{retry_field} */");
        let text = if self.is_write {
            format!("{header} INSERT INTO rows (handle, blob) VALUES ('s{session}', 'x') RETURNING blob\0")
        } else {
            format!("{header} SELECT blob FROM rows WHERE handle = 's{session}'\0")
        };
        message(b'Q', text.as_bytes())
    }
}
