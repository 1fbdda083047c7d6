//! Messages of PostgreSQL's protocol, version 3.

/// Any driver takes messages of this length: a value of 64 KB as hexadecimal text, and a comment.
const LEAST: usize = 2 * 64 * 1024 + 4096;
/// More than this isn't even passed over.
pub const ABSURD: usize = 16 * 1024 * 1024;
/// How many of the longest messages fit into the room for all of their kind.
const TOGETHER: usize = 16;

/// The longest message that is taken, where all have so much room together.
pub fn bound(room: usize) -> usize {
    (room / TOGETHER).clamp(LEAST, ABSURD)
}

/// A message that lies whole at the front, what is known of one that doesn't, or that it can't be one.
pub enum Front<'a> {
    Message {
        kind: u8,
        body: &'a [u8],
        whole: usize,
    },
    /// More bytes are needed.
    Partial,
    /// Longer than the bound: its kind and its length with its header.
    TooLong {
        kind: u8,
        whole: usize,
    },
    Malformed,
}

pub fn front(input: &[u8], bound: usize) -> Front<'_> {
    let Some(header) = input.first_chunk::<5>() else {
        return Front::Partial;
    };
    let length = u32::from_be_bytes([header[1], header[2], header[3], header[4]]) as usize;
    let (kind, whole) = (header[0], length.saturating_add(1));
    if length < 4 || whole > ABSURD {
        return Front::Malformed;
    }
    if length - 4 > bound {
        return Front::TooLong { kind, whole };
    }
    match input.get(5..whole) {
        Some(body) => Front::Message { kind, body, whole },
        None => Front::Partial,
    }
}

pub fn put(out: &mut Vec<u8>, kind: u8, parts: &[&[u8]]) {
    let length: usize = parts.iter().map(|p| p.len()).sum();
    out.push(kind);
    out.extend((length as u32 + 4).to_be_bytes());
    parts.iter().for_each(|p| out.extend(*p));
}

/// The text of a query: its bytes up to the zero that ends them.
pub fn text(body: &[u8]) -> Option<&str> {
    let (last, text) = body.split_last()?;
    let text = std::str::from_utf8(text).ok()?;
    (*last == 0 && !text.contains('\0')).then_some(text)
}

pub fn put_query(out: &mut Vec<u8>, text: &[u8]) {
    put(out, b'Q', &[text, b"\0"]);
}

pub fn put_startup(out: &mut Vec<u8>, user: &str) {
    let fields = [b"user\0", user.as_bytes(), b"\0\0"].concat();
    out.extend((fields.len() as u32 + 8).to_be_bytes());
    out.extend(VERSION.to_be_bytes());
    out.extend(fields);
}

pub fn put_ready(out: &mut Vec<u8>) {
    put(out, b'Z', &[b"I"]);
}

/// What a client is told once its startup message is read.
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

/// Tells a client of a newer minor version that this is 3.0, and which options aren't known.
pub fn put_negotiation(out: &mut Vec<u8>, options: &[&str]) {
    let mut body = 0u32.to_be_bytes().to_vec();
    body.extend((options.len() as u32).to_be_bytes());
    options
        .iter()
        .for_each(|o| body.extend([o.as_bytes(), b"\0"].concat()));
    put(out, b'v', &[&body]);
}

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
    let fields = body.split(|b| *b == 0).filter(|f| f.first() == Some(&kind));
    fields.filter_map(|f| std::str::from_utf8(&f[1..]).ok()).next()
}

/// The code of an ErrorResponse that holds together: noise must not pass for a code that proves something.
pub fn error_code(body: &[u8]) -> Option<&str> {
    let fields = body.strip_suffix(b"\0\0")?;
    let named = |f: &[u8]| f.first().is_some_and(u8::is_ascii_alphabetic) && std::str::from_utf8(f).is_ok();
    let plain = |b: u8| b.is_ascii_digit() || b.is_ascii_uppercase();
    let code = error_field(body, b'C').filter(|c| c.len() == 5 && c.bytes().all(plain));
    code.filter(|_| fields.split(|b| *b == 0).all(named))
}

/// The one text of a message, up to the zero that ends it.
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

/// Whether a RowDescription holds one column and nothing beside it.
pub fn one_column(body: &[u8]) -> bool {
    const BEHIND_NAME: usize = 18;
    let described = body.strip_prefix(&1u16.to_be_bytes()[..]);
    let name = described.and_then(|d| Some((d.iter().position(|b| *b == 0)?, d.len())));
    name.is_some_and(|(name, whole)| name + 1 + BEHIND_NAME == whole)
}

/// The only value of a DataRow, which may be none.
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
    while let Front::Message { kind, body, whole } = front(rest, ABSURD) {
        if kind == b'D' {
            return only_value(body).flatten();
        }
        rest = &rest[whole..];
    }
    None
}

/// The query of a probe: for a report where the settings promise one.
pub fn probe(reported: bool) -> Vec<u8> {
    let text: &[u8] = if reported { b"SHOW vitals" } else { b"SELECT 1" };
    let mut query = Vec::new();
    put_query(&mut query, text);
    query
}

pub const VERSION: u32 = 3 << 16;
const CANCEL: u32 = 80_877_102;
const ENCRYPTED: [u32; 2] = [80_877_103, 80_877_104];
const STARTUP: usize = 10_000;

/// What comes before the first typed message.
pub enum Opening<'a> {
    Partial,
    /// A wish for encryption, which is declined with one letter.
    Encryption {
        whole: usize,
    },
    Startup {
        whole: usize,
        minor: u32,
        unknown: Vec<&'a str>,
    },
    /// A call to cancel somebody's query, which gets no answer.
    Cancel,
    Malformed,
}

pub fn opening(input: &[u8]) -> Opening<'_> {
    let Some(header) = input.first_chunk::<8>() else {
        return match input.first_chunk::<4>().map(|l| u32::from_be_bytes(*l) as usize) {
            Some(length) if !(8..=STARTUP).contains(&length) => Opening::Malformed,
            _ => Opening::Partial,
        };
    };
    let (length, code) = header.split_at(4);
    let number = |b: &[u8]| b.iter().fold(0u32, |n, b| n << 8 | u32::from(*b));
    let (whole, code) = (number(length) as usize, number(code));
    if !(8..=STARTUP).contains(&whole) {
        return Opening::Malformed;
    }
    let Some(body) = input.get(8..whole) else {
        return Opening::Partial;
    };
    if ENCRYPTED.contains(&code) && body.is_empty() {
        return Opening::Encryption { whole };
    }
    if code == CANCEL {
        return Opening::Cancel;
    }
    let fields = body.strip_suffix(b"\0").and_then(|b| std::str::from_utf8(b).ok());
    let Some(fields) = fields.filter(|f| code >> 16 == 3 && (f.is_empty() || f.ends_with('\0'))) else {
        return Opening::Malformed;
    };
    let names: Vec<_> = fields.split_terminator('\0').collect();
    if names.len() % 2 != 0 {
        return Opening::Malformed;
    }
    let unknown = names.iter().step_by(2).filter(|n| n.starts_with("_pq_."));
    Opening::Startup {
        whole,
        minor: code & 0xffff,
        unknown: unknown.copied().collect(),
    }
}
