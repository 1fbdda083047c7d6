//! The start of a client's connection: startup messages, requests for encryption and cancellation.

/// Version 3.0.
pub const VERSION: u32 = 3 << 16;
/// Code of a CancelRequest.
const CANCEL: u32 = 80_877_102;
/// Codes of an SSLRequest and a GSSENCRequest.
const ENCRYPTION: [u32; 2] = [80_877_103, 80_877_104];
/// Longest startup message in bytes.
const MAX_LENGTH: usize = 10_000;
/// Bytes of length and code.
const HEADER_LENGTH: usize = 8;

/// What the input holds before the first typed message.
pub enum Startup<'a> {
    /// More bytes are needed.
    Partial,
    /// A request for encryption, which is declined with one letter.
    Encryption {
        /// Its length in bytes.
        length: usize,
    },
    /// A startup message.
    Message {
        /// Its length in bytes.
        length: usize,
        /// Its minor version.
        minor: u32,
        /// Protocol options that aren't known.
        unknown: Vec<&'a str>,
    },
    /// A request to cancel a query, which gets no answer.
    Cancel,
    /// No startup message.
    Malformed,
}

/// Reads what comes before the first typed message.
pub fn read_startup(input: &[u8]) -> Startup<'_> {
    let Some(header) = input.first_chunk::<HEADER_LENGTH>() else {
        return match input.first_chunk::<4>().map(|l| u32::from_be_bytes(*l) as usize) {
            Some(length) if !(HEADER_LENGTH..=MAX_LENGTH).contains(&length) => Startup::Malformed,
            _ => Startup::Partial,
        };
    };
    let [l0, l1, l2, l3, c0, c1, c2, c3] = *header;
    let length = u32::from_be_bytes([l0, l1, l2, l3]) as usize;
    let code = u32::from_be_bytes([c0, c1, c2, c3]);
    if !(HEADER_LENGTH..=MAX_LENGTH).contains(&length) {
        return Startup::Malformed;
    }
    let Some(body) = input.get(HEADER_LENGTH..length) else {
        return Startup::Partial;
    };
    if ENCRYPTION.contains(&code) && body.is_empty() {
        return Startup::Encryption { length };
    }
    if code == CANCEL {
        return Startup::Cancel;
    }
    match unknown_options(code, body) {
        Some(unknown) => Startup::Message {
            length,
            minor: code & 0xffff,
            unknown,
        },
        None => Startup::Malformed,
    }
}

/// Protocol options of a startup message that aren't known; `None` if the message can't be read.
fn unknown_options(code: u32, body: &[u8]) -> Option<Vec<&str>> {
    let fields = std::str::from_utf8(body.strip_suffix(b"\0")?).ok()?;
    let is_readable = code >> 16 == VERSION >> 16 && (fields.is_empty() || fields.ends_with('\0'));
    let names: Vec<&str> = fields.split_terminator('\0').collect();
    if !is_readable || !names.len().is_multiple_of(2) {
        return None;
    }
    let unknown = names.iter().step_by(2).filter(|name| name.starts_with("_pq_."));
    Some(unknown.copied().collect())
}
