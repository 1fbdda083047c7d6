//! Messages of PostgreSQL's protocol, version 3.

use super::startup::VERSION;

/// Lower bound of the message limit: a value of 64 KiB in hexadecimal, and a comment.
const MIN_MESSAGE_LIMIT_BYTES: usize = 2 * 64 * 1024 + 4096;
/// Longer messages are malformed; shorter ones beyond the limit are skipped.
pub const MAX_SKIPPED_MESSAGE_BYTES: usize = 16 * 1024 * 1024;
/// Number of messages of maximum length that fit into the memory budget.
const MESSAGES_PER_BUDGET: usize = 16;
/// Size of a message header: kind and length.
pub const HEADER_BYTES: usize = 5;

/// Maximum message length for a memory budget, in bytes.
pub fn max_message_bytes(budget: usize) -> usize {
    (budget / MESSAGES_PER_BUDGET).clamp(MIN_MESSAGE_LIMIT_BYTES, MAX_SKIPPED_MESSAGE_BYTES)
}

/// The message at the front of the input.
pub enum NextMessage<'a> {
    /// A complete message.
    Complete {
        /// Message type byte.
        kind: u8,
        /// Content without the header.
        body: &'a [u8],
        /// Length including the header.
        length: usize,
    },
    /// More bytes are needed.
    Partial,
    /// A message that exceeds the message limit.
    TooLong {
        /// Message type byte.
        kind: u8,
        /// Length including the header.
        length: usize,
    },
    /// The length is out of range.
    Malformed,
}

/// Reads the message at the front of the input. `max_length` bounds its content in bytes.
pub fn next_message(input: &[u8], max_length: usize) -> NextMessage<'_> {
    let Some(header) = input.first_chunk::<HEADER_BYTES>() else {
        return NextMessage::Partial;
    };
    let kind = header[0];
    let declared_length = u32::from_be_bytes([header[1], header[2], header[3], header[4]]) as usize;
    let length = declared_length.saturating_add(1);
    if declared_length < 4 || length > MAX_SKIPPED_MESSAGE_BYTES {
        return NextMessage::Malformed;
    }
    if declared_length - 4 > max_length {
        return NextMessage::TooLong { kind, length };
    }
    match input.get(HEADER_BYTES..length) {
        Some(body) => NextMessage::Complete { kind, body, length },
        None => NextMessage::Partial,
    }
}

/// Appends a message whose content is the concatenation of `parts`.
pub fn put(out: &mut Vec<u8>, kind: u8, parts: &[&[u8]]) {
    let length: usize = parts.iter().map(|p| p.len()).sum();
    out.push(kind);
    out.extend((length as u32 + 4).to_be_bytes());
    for part in parts {
        out.extend(*part);
    }
}

/// The text of a query without its terminating zero; `None` if it is not valid.
pub fn query_text(body: &[u8]) -> Option<&str> {
    let (last, text) = body.split_last()?;
    let text = std::str::from_utf8(text).ok()?;
    (*last == 0 && !text.contains('\0')).then_some(text)
}

/// Appends a Query message.
pub fn put_query(out: &mut Vec<u8>, text: &[u8]) {
    put(out, b'Q', &[text, b"\0"]);
}

/// Appends a StartupMessage for this user.
pub fn put_startup(out: &mut Vec<u8>, user: &str) {
    let fields = [b"user\0", user.as_bytes(), b"\0\0"].concat();
    out.extend((fields.len() as u32 + 8).to_be_bytes());
    out.extend(VERSION.to_be_bytes());
    out.extend(fields);
}

/// Appends ReadyForQuery with the idle transaction status.
pub fn put_ready(out: &mut Vec<u8>) {
    put(out, b'Z', &[b"I"]);
}

/// Appends the response to a startup message: AuthenticationOk, ParameterStatus messages, ReadyForQuery.
pub fn put_startup_response(out: &mut Vec<u8>) {
    put(out, b'R', &[&0u32.to_be_bytes()]);
    for (name, value) in [
        ("server_version", "15.0"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
    ] {
        put(out, b'S', &[name.as_bytes(), b"\0", value.as_bytes(), b"\0"]);
    }
    put_ready(out);
}

/// Appends NegotiateProtocolVersion for version 3.0, with the options that are not supported.
pub fn put_negotiation(out: &mut Vec<u8>, options: &[&str]) {
    let mut body = 0u32.to_be_bytes().to_vec();
    body.extend((options.len() as u32).to_be_bytes());
    for option in options {
        body.extend(option.as_bytes());
        body.push(0);
    }
    put(out, b'v', &[&body]);
}

/// Appends an ErrorResponse. `detail` is a retry-after time in milliseconds.
pub fn put_error(out: &mut Vec<u8>, severity: &str, code: &str, message: &str, detail: Option<u64>) {
    let field = |kind: u8, text: &str| [&[kind], text.as_bytes(), b"\0"].concat();
    let mut body = [
        field(b'S', severity),
        field(b'V', severity),
        field(b'C', code),
        field(b'M', message),
    ]
    .concat();
    if let Some(detail) = detail {
        body.extend(field(b'D', &detail.to_string()));
    }
    put(out, b'E', &[&body, b"\0"]);
}

/// The field of an ErrorResponse with this type byte.
pub fn error_field(body: &[u8], kind: u8) -> Option<&str> {
    let mut fields = body.split(|b| *b == 0).filter(|f| f.first() == Some(&kind));
    fields.find_map(|f| std::str::from_utf8(&f[1..]).ok())
}

/// The SQLSTATE of a well-formed ErrorResponse; `None` for a malformed one, whose code must not be trusted.
pub fn error_code(body: &[u8]) -> Option<&str> {
    let fields = body.strip_suffix(b"\0\0")?;
    let is_field =
        |f: &[u8]| f.first().is_some_and(u8::is_ascii_alphabetic) && std::str::from_utf8(f).is_ok();
    let is_code_byte = |b: u8| b.is_ascii_digit() || b.is_ascii_uppercase();
    let code = error_field(body, b'C').filter(|c| c.len() == 5 && c.bytes().all(is_code_byte));
    code.filter(|_| fields.split(|b| *b == 0).all(is_field))
}

/// The text of a message that consists of one zero-terminated string.
pub fn c_string(body: &[u8]) -> Option<&str> {
    let text = body.strip_suffix(b"\0")?;
    std::str::from_utf8(text).ok().filter(|t| !t.contains('\0'))
}

/// Name and value of a ParameterStatus.
pub fn parameter(body: &[u8]) -> Option<(&str, &[u8])> {
    let name = body.iter().position(|b| *b == 0)?;
    let value = body[name + 1..].strip_suffix(b"\0")?;
    Some((std::str::from_utf8(&body[..name]).ok()?, value))
}

/// Whether a RowDescription is well-formed and describes exactly one column.
pub fn has_one_column(body: &[u8]) -> bool {
    const BYTES_AFTER_NAME: usize = 18;
    let Some(column) = body.strip_prefix(&1u16.to_be_bytes()[..]) else {
        return false;
    };
    let name_length = column.iter().position(|b| *b == 0);
    name_length.is_some_and(|length| length + 1 + BYTES_AFTER_NAME == column.len())
}

/// The value of a DataRow with one column, which may be NULL (`Some(None)`); `None` for other messages.
pub fn single_value(body: &[u8]) -> Option<Option<&[u8]>> {
    let (count, rest) = body.split_first_chunk::<2>()?;
    let (length, value) = rest.split_first_chunk::<4>()?;
    match (u16::from_be_bytes(*count), i32::from_be_bytes(*length)) {
        (1, -1) if value.is_empty() => Some(None),
        (1, length) if usize::try_from(length).is_ok_and(|l| l == value.len()) => Some(Some(value)),
        _ => None,
    }
}

/// The value of the first DataRow in a sequence of messages.
pub fn row_value(rows: &[u8]) -> Option<&[u8]> {
    let mut rest = rows;
    while let NextMessage::Complete { kind, body, length } = next_message(rest, MAX_SKIPPED_MESSAGE_BYTES) {
        if kind == b'D' {
            return single_value(body).flatten();
        }
        rest = &rest[length..];
    }
    None
}

/// The Query message of a health check, which requests a load report if the member provides one.
pub fn health_check(reports_load: bool) -> Vec<u8> {
    let text: &[u8] = if reports_load { b"SHOW vitals" } else { b"SELECT 1" };
    let mut query = Vec::new();
    put_query(&mut query, text);
    query
}
