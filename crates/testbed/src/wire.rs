//! Messages of PostgreSQL's protocol, and the comment at the head of a statement.

use crate::store_model::Statement;
use asterlatch::time::{TimeSpan, Timestamp};
use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::SystemTime;

/// The system's clock, in microseconds since 1970: members and discovery of a test bed stamp with it.
#[expect(clippy::disallowed_methods, reason = "stands for the members' clock")]
pub fn wall_clock_now() -> Timestamp {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    Timestamp(since.unwrap_or_default().as_micros() as u64)
}

/// A message: its kind, its length and its body.
pub fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    [&[kind][..], &(body.len() as u32 + 4).to_be_bytes(), body].concat()
}

/// Longest message in a test bed.
const MAX_MESSAGE_BYTES: usize = 1 << 24;

/// Reads the next message: its kind (0 without `has_kind`) and its body.
pub fn read_message(stream: &mut TcpStream, has_kind: bool) -> io::Result<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    let from = usize::from(!has_kind);
    stream.read_exact(&mut head[from..])?;
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    let length = length
        .checked_sub(4)
        .filter(|l| *l <= MAX_MESSAGE_BYTES)
        .ok_or(ErrorKind::InvalidData)?;
    let mut body = vec![0; length];
    stream.read_exact(&mut body)?;
    Ok((head[0], body))
}

/// Sends the startup message and reads up to the first `ReadyForQuery`.
pub fn start_session(stream: &mut TcpStream) -> io::Result<()> {
    let fields = b"user\0api\0database\0ledger\0\0";
    let mut startup = (fields.len() as u32 + 8).to_be_bytes().to_vec();
    startup.extend((3u32 << 16).to_be_bytes());
    startup.extend(fields);
    stream.write_all(&startup)?;
    while read_message(stream, true)?.0 != b'Z' {}
    Ok(())
}

/// An `ErrorResponse`.
pub fn error_response(code: &str, text: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0C{code}\0M{text}\0\0").as_bytes())
}

/// A `ParameterStatus`.
pub fn parameter_status(name: &str, value: &str) -> Vec<u8> {
    message(b'S', format!("{name}\0{value}\0").as_bytes())
}

/// A row of one binary column.
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

/// The value that a member returns: the statement that it was made for, and its log position.
pub fn encode_value(id: u64, position: Timestamp) -> Vec<u8> {
    format!("{id:x}@{}", position.0 / 1000).into_bytes()
}

/// The statement's id and the position in a value, or `None` if it is no such value.
pub fn decode_value(value: &[u8]) -> Option<(u64, Timestamp)> {
    let (id, ms) = std::str::from_utf8(value).ok()?.split_once('@')?;
    let at = Timestamp(0) + TimeSpan::millis(ms.parse().ok()?);
    Some((u64::from_str_radix(id, 16).ok()?, at))
}

/// Parses a statement by its head comment; `names` are those of the workloads, by index.
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

/// The time that a statement's head comment leaves, in milliseconds.
pub fn parse_timeout_ms(text: &str) -> Option<u64> {
    let comment = text.trim_start().strip_prefix("/*")?.split("*/").next()?;
    let mut fields = comment.trim().split(',').filter_map(|f| f.split_once('='));
    fields.find(|(name, _)| *name == "d")?.1.parse().ok()
}

/// A client's statement, as its query names it.
#[derive(Clone, Copy, Debug)]
pub struct ClientStatement {
    /// Names the statement over all attempts.
    pub id: u64,
    /// Name of its workload.
    pub workload: &'static str,
    /// How long the client still waits.
    pub timeout: TimeSpan,
    /// From 1.
    pub group: u32,
    /// Also the key that is read or written.
    pub session: u32,
    /// Whether it writes the key; otherwise it reads it.
    pub is_write: bool,
    /// An attempt after the first.
    pub is_retry: bool,
}

impl ClientStatement {
    /// The query message.
    pub fn encode(&self) -> Vec<u8> {
        let ClientStatement {
            id,
            workload,
            group,
            session,
            ..
        } = self;
        let milliseconds = self.timeout.0 / 1000;
        let again = if self.is_retry { ",r=1" } else { "" };
        let head = format!("/* id={id:x},c={workload},d={milliseconds},cluster={group}{again} */");
        let text = if self.is_write {
            format!("{head} INSERT INTO rows (handle, blob) VALUES ('s{session}', 'x') RETURNING blob\0")
        } else {
            format!("{head} SELECT blob FROM rows WHERE handle = 's{session}'\0")
        };
        message(b'Q', text.as_bytes())
    }
}
