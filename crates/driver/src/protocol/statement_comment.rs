//! The routing comment at the start of a statement.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::ops::Range;

/// Fields of the routing comment, and the key of the statement.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StatementComment {
    /// Hash of the statement's id (`id`).
    pub id_hash: u64,
    /// Name of the workload (`c`).
    pub workload: String,
    /// Id of the group (`cluster`).
    pub group: u32,
    /// Milliseconds until the client times out (`d`).
    pub time_left_ms: u64,
    /// The client marks a retry (`r=1`).
    pub is_client_retry: bool,
    /// Log position that a read must see, in milliseconds (`after`).
    pub required_position_ms: Option<u64>,
    /// The first quoted literal after the comment, unescaped.
    pub key: Option<String>,
    /// Byte range of the value of `d` within the statement.
    pub time_left_range: Range<usize>,
}

/// An error answer to a statement that cannot be routed.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
#[error("{code}: {message}")]
pub struct StatementError {
    /// SQLSTATE.
    pub code: &'static str,
    /// Human-readable message.
    pub message: &'static str,
}

const fn error(code: &'static str, message: &'static str) -> StatementError {
    StatementError { code, message }
}

/// The statement does not start with a complete comment.
pub const MISSING_COMMENT: StatementError = error(
    "42601",
    "the statement doesn't begin with a comment of its fields",
);
/// A field of the comment is not a valid number.
pub const INVALID_FIELD: StatementError = error("22023", "a field of the statement's comment can't be read");
/// A required field of the comment is missing.
pub const MISSING_FIELD: StatementError = error(
    "22023",
    "the comment lacks one of the fields id, c, d and cluster",
);
/// The endpoint list has no member of the group.
pub const UNKNOWN_GROUP: StatementError = error("22023", "no member of this group is known");
/// The workload is not configured.
pub const UNKNOWN_WORKLOAD: StatementError = error("22023", "no such workload");
/// Another open statement has the same id.
pub const DUPLICATE_ID: StatementError = error("22023", "another statement with this id is open");
/// The memory budget of clients is exhausted.
pub const OUT_OF_MEMORY: StatementError = error("53300", "no memory is left for the statement");
/// The client does not read its answers, and the memory budget of clients is exhausted. The statement was executed
/// and is safe to retry.
pub const ANSWER_DROPPED: StatementError = error("53300", "no memory is left for the answer");
/// Like [`ANSWER_DROPPED`], for a statement that is not safe to retry.
pub const ANSWER_DROPPED_AFTER_EXECUTION: StatementError = error(
    "40003",
    "no memory is left for the answer, and the statement was executed",
);
/// The client has closed its side of the connection.
pub const CLIENT_DISCONNECTED: StatementError =
    error("53300", "the client has closed its side of the connection");
/// The client has sent more ahead than is read, so that its disconnect could go unnoticed.
pub const TOO_FAR_AHEAD: StatementError = error("53300", "too much was sent ahead of this statement");
/// The connection limit is reached.
pub const TOO_MANY_CONNECTIONS: StatementError = error("53300", "too many connections");
/// The statement exceeds the message limit.
pub const TOO_LARGE: StatementError = error("54000", "the statement or its value is too large");
/// Delimiter of literals.
const QUOTE: u8 = b'\'';
/// A quoted literal lacks its closing quote.
const UNTERMINATED_LITERAL: StatementError = error("42601", "a quoted literal doesn't end");

/// Hashes an id or a name; the hash is the same in every run.
pub fn hash_id(text: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    hasher.finish()
}

/// The first quoted literal, with doubled quotes unescaped. All literals must be terminated.
fn first_literal(text: &str) -> Result<Option<String>, StatementError> {
    // Each quote begins or ends a literal; a doubled one ends it and begins it again.
    let quotes = text.bytes().filter(|byte| *byte == QUOTE).count();
    if quotes % 2 != 0 {
        return Err(UNTERMINATED_LITERAL);
    }
    let Some(start) = text.find('\'') else {
        return Ok(None);
    };
    let rest = &text[start + 1..];
    Ok(Some(unescape_literal(rest)))
}

/// The text of a terminated literal, given what follows its opening quote.
fn unescape_literal(rest: &str) -> String {
    let mut literal = Vec::new();
    let mut bytes = rest.bytes();
    while let Some(byte) = bytes.next() {
        if byte == QUOTE && bytes.next() != Some(QUOTE) {
            break;
        }
        literal.push(byte);
    }
    String::from_utf8(literal).expect("only whole quotes were removed")
}

/// The required fields found so far.
#[derive(Default)]
struct FoundFields {
    id: bool,
    workload: bool,
    time_left: bool,
    group: bool,
}

impl FoundFields {
    fn is_complete(&self) -> bool {
        self.id && self.workload && self.time_left && self.group
    }
}

/// Parses the comment of a statement.
///
/// # Errors
/// If the comment is missing, a field is missing or invalid, or a literal is unterminated.
pub fn parse(text: &str) -> Result<StatementComment, StatementError> {
    let start = text.len() - text.trim_start().len();
    let inner = text[start..].strip_prefix("/*").ok_or(MISSING_COMMENT)?;
    let end = inner.find("*/").ok_or(MISSING_COMMENT)?;
    let mut comment = StatementComment::default();
    let mut found = FoundFields::default();
    let mut offset = start + 2;
    for part in inner[..end].split(',') {
        let field = part.trim();
        let (name, value) = field.split_once('=').unwrap_or((field, ""));
        let (name, value) = (name.trim_end(), value.trim_start());
        let value_start = offset + part.trim_end().len() - value.len();
        set_field(&mut comment, &mut found, name, value, value_start)?;
        offset += part.len() + 1;
    }
    if !found.is_complete() {
        return Err(MISSING_FIELD);
    }
    comment.key = first_literal(&inner[end + 2..])?;
    Ok(comment)
}

fn set_field(
    comment: &mut StatementComment,
    found: &mut FoundFields,
    name: &str,
    value: &str,
    value_start: usize,
) -> Result<(), StatementError> {
    let number = || value.parse::<u64>().map_err(|_| INVALID_FIELD);
    match name {
        "id" => {
            comment.id_hash = hash_id(value);
            found.id = !value.is_empty();
        }
        "c" => {
            comment.workload = value.to_owned();
            found.workload = true;
        }
        "d" => {
            comment.time_left_ms = number()?;
            comment.time_left_range = value_start..value_start + value.len();
            found.time_left = true;
        }
        "cluster" => {
            comment.group = number()?.try_into().map_err(|_| INVALID_FIELD)?;
            found.group = true;
        }
        "r" => comment.is_client_retry = value == "1",
        "after" => comment.required_position_ms = Some(number()?),
        _ => {}
    }
    Ok(())
}

/// Copies a statement with the time left (`d`) replaced.
pub fn with_time_left(text: &[u8], range: &Range<usize>, time_left_ms: u64) -> Vec<u8> {
    let digits = time_left_ms.to_string();
    [&text[..range.start], digits.as_bytes(), &text[range.end..]].concat()
}
