//! Messages of PostgreSQL's protocol, version 3.

use super::startup::VERSION;

/// Least size of the longest message: a value of 64 KB as hexadecimal text, and a comment.
const LEAST_MAX_MESSAGE: usize = 2 * 64 * 1024 + 4096;
/// Longer messages aren't even skipped.
pub const MAX_SKIPPED_MESSAGE: usize = 16 * 1024 * 1024;
/// How many of the longest messages fit into the memory budget.
const MESSAGES_IN_BUDGET: usize = 16;
/// Bytes of a message's kind and length.
pub const HEADER_LENGTH: usize = 5;

/// Length of the longest message that is accepted within a memory budget, in bytes.
pub fn max_message_bytes(budget: usize) -> usize {
    (budget / MESSAGES_IN_BUDGET).clamp(LEAST_MAX_MESSAGE, MAX_SKIPPED_MESSAGE)
}

/// What the front of the input holds.
pub enum NextMessage<'a> {
    /// A complete message.
    Complete {
        /// Its kind.
        kind: u8,
        /// Its content.
        body: &'a [u8],
        /// Its length with its header.
        length: usize,
    },
    /// More bytes are needed.
    Partial,
    /// A message that exceeds the longest accepted one.
    TooLong {
        /// Its kind.
        kind: u8,
        /// Its length with its header.
        length: usize,
    },
    /// No message.
    Malformed,
}

/// Reads the message at the front of the input, whose content has at most `max_length` bytes.
pub fn next_message(input: &[u8], max_length: usize) -> NextMessage<'_> {
    let Some(header) = input.first_chunk::<HEADER_LENGTH>() else {
        return NextMessage::Partial;
    };
    let kind = header[0];
    let stated = u32::from_be_bytes([header[1], header[2], header[3], header[4]]) as usize;
    let length = stated.saturating_add(1);
    if stated < 4 || length > MAX_SKIPPED_MESSAGE {
        return NextMessage::Malformed;
    }
    if stated - 4 > max_length {
        return NextMessage::TooLong { kind, length };
    }
    match input.get(HEADER_LENGTH..length) {
        Some(body) => NextMessage::Complete { kind, body, length },
        None => NextMessage::Partial,
    }
}

/// Appends a message of these parts.
pub fn put(out: &mut Vec<u8>, kind: u8, parts: &[&[u8]]) {
    let length: usize = parts.iter().map(|p| p.len()).sum();
    out.push(kind);
    out.extend((length as u32 + 4).to_be_bytes());
    for part in parts {
        out.extend(*part);
    }
}

/// The text of a query, without the zero that ends it.
pub fn query_text(body: &[u8]) -> Option<&str> {
    let (last, text) = body.split_last()?;
    let text = std::str::from_utf8(text).ok()?;
    (*last == 0 && !text.contains('\0')).then_some(text)
}

/// Appends a simple query.
pub fn put_query(out: &mut Vec<u8>, text: &[u8]) {
    put(out, b'Q', &[text, b"\0"]);
}

/// Appends a startup message.
pub fn put_startup(out: &mut Vec<u8>, user: &str) {
    let fields = [b"user\0", user.as_bytes(), b"\0\0"].concat();
    out.extend((fields.len() as u32 + 8).to_be_bytes());
    out.extend(VERSION.to_be_bytes());
    out.extend(fields);
}

/// Appends ReadyForQuery, outside a transaction.
pub fn put_ready(out: &mut Vec<u8>) {
    put(out, b'Z', &[b"I"]);
}

/// Appends what follows a client's startup message: authentication, parameters, ReadyForQuery.
pub fn put_welcome(out: &mut Vec<u8>) {
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

/// Appends NegotiateProtocolVersion: this is version 3.0, and these options are unknown.
pub fn put_negotiation(out: &mut Vec<u8>, options: &[&str]) {
    let mut body = 0u32.to_be_bytes().to_vec();
    body.extend((options.len() as u32).to_be_bytes());
    for option in options {
        body.extend(option.as_bytes());
        body.push(0);
    }
    put(out, b'v', &[&body]);
}

/// Appends an ErrorResponse; the detail is a retry-after time in milliseconds.
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

/// One field of an ErrorResponse.
pub fn error_field(body: &[u8], kind: u8) -> Option<&str> {
    let mut fields = body.split(|b| *b == 0).filter(|f| f.first() == Some(&kind));
    fields.find_map(|f| std::str::from_utf8(&f[1..]).ok())
}

/// The SQLSTATE of a well-formed ErrorResponse: noise must not pass for a code that proves something.
pub fn error_code(body: &[u8]) -> Option<&str> {
    let fields = body.strip_suffix(b"\0\0")?;
    let is_field =
        |f: &[u8]| f.first().is_some_and(u8::is_ascii_alphabetic) && std::str::from_utf8(f).is_ok();
    let is_code_byte = |b: u8| b.is_ascii_digit() || b.is_ascii_uppercase();
    let code = error_field(body, b'C').filter(|c| c.len() == 5 && c.bytes().all(is_code_byte));
    code.filter(|_| fields.split(|b| *b == 0).all(is_field))
}

/// The only text of a message, without the zero that ends it.
pub fn only_text(body: &[u8]) -> Option<&str> {
    let text = body.strip_suffix(b"\0")?;
    std::str::from_utf8(text).ok().filter(|t| !t.contains('\0'))
}

/// Name and value of a ParameterStatus.
pub fn parameter(body: &[u8]) -> Option<(&str, &[u8])> {
    let name = body.iter().position(|b| *b == 0)?;
    let value = body[name + 1..].strip_suffix(b"\0")?;
    Some((std::str::from_utf8(&body[..name]).ok()?, value))
}

/// Whether a RowDescription describes exactly one column.
pub fn has_one_column(body: &[u8]) -> bool {
    const LENGTH_AFTER_NAME: usize = 18;
    let Some(column) = body.strip_prefix(&1u16.to_be_bytes()[..]) else {
        return false;
    };
    let name_length = column.iter().position(|b| *b == 0);
    name_length.is_some_and(|length| length + 1 + LENGTH_AFTER_NAME == column.len())
}

/// The only value of a DataRow, which may be NULL (`Some(None)`); `None` if it has another form.
pub fn only_value(body: &[u8]) -> Option<Option<&[u8]>> {
    let (count, rest) = body.split_first_chunk::<2>()?;
    let (length, value) = rest.split_first_chunk::<4>()?;
    match (u16::from_be_bytes(*count), i32::from_be_bytes(*length)) {
        (1, -1) if value.is_empty() => Some(None),
        (1, length) if usize::try_from(length).is_ok_and(|l| l == value.len()) => Some(Some(value)),
        _ => None,
    }
}

/// The value in the messages of a row.
pub fn row_value(rows: &[u8]) -> Option<&[u8]> {
    let mut rest = rows;
    while let NextMessage::Complete { kind, body, length } = next_message(rest, MAX_SKIPPED_MESSAGE) {
        if kind == b'D' {
            return only_value(body).flatten();
        }
        rest = &rest[length..];
    }
    None
}

/// The query of a health check: for a load report where the settings promise one.
pub fn health_check(reports_load: bool) -> Vec<u8> {
    let text: &[u8] = if reports_load { b"SHOW vitals" } else { b"SELECT 1" };
    let mut query = Vec::new();
    put_query(&mut query, text);
    query
}
