//! The first messages of a client: startup, encryption requests and cancel requests.

/// Protocol version 3.0.
pub const VERSION: u32 = 3 << 16;
/// Request code of a CancelRequest.
const CANCEL_CODE: u32 = 80_877_102;
/// Request codes of SSLRequest and GSSENCRequest.
const ENCRYPTION_CODES: [u32; 2] = [80_877_103, 80_877_104];
/// Maximum length of a startup message.
const MAX_STARTUP_BYTES: usize = 10_000;
/// Size of the length and the request code.
const HEADER_BYTES: usize = 8;

/// A message before the first typed message.
pub enum Startup<'a> {
    /// More bytes are needed.
    Partial,
    /// An encryption request, which is declined with a single byte.
    Encryption {
        /// Length in bytes.
        length: usize,
    },
    /// A StartupMessage.
    Message {
        /// Length in bytes.
        length: usize,
        /// Requested minor version.
        minor_version: u32,
        /// Protocol options that are not supported.
        unsupported_options: Vec<&'a str>,
    },
    /// A CancelRequest, which is not answered.
    Cancel,
    /// Not a valid startup message.
    Malformed,
}

/// Reads the message at the front of the input, before any typed message.
pub fn read_startup(input: &[u8]) -> Startup<'_> {
    let Some(header) = input.first_chunk::<HEADER_BYTES>() else {
        return match input.first_chunk::<4>().map(|l| u32::from_be_bytes(*l) as usize) {
            Some(length) if !(HEADER_BYTES..=MAX_STARTUP_BYTES).contains(&length) => Startup::Malformed,
            _ => Startup::Partial,
        };
    };
    let [l0, l1, l2, l3, c0, c1, c2, c3] = *header;
    let length = u32::from_be_bytes([l0, l1, l2, l3]) as usize;
    let code = u32::from_be_bytes([c0, c1, c2, c3]);
    if !(HEADER_BYTES..=MAX_STARTUP_BYTES).contains(&length) {
        return Startup::Malformed;
    }
    let Some(body) = input.get(HEADER_BYTES..length) else {
        return Startup::Partial;
    };
    if ENCRYPTION_CODES.contains(&code) && body.is_empty() {
        return Startup::Encryption { length };
    }
    if code == CANCEL_CODE {
        return Startup::Cancel;
    }
    match find_unsupported_options(code, body) {
        Some(unsupported_options) => Startup::Message {
            length,
            minor_version: code & 0xffff,
            unsupported_options,
        },
        None => Startup::Malformed,
    }
}

/// Unsupported protocol options of a startup message; `None` if the message is malformed.
fn find_unsupported_options(code: u32, body: &[u8]) -> Option<Vec<&str>> {
    let fields = std::str::from_utf8(body.strip_suffix(b"\0")?).ok()?;
    let is_readable = code >> 16 == VERSION >> 16 && (fields.is_empty() || fields.ends_with('\0'));
    let names: Vec<&str> = fields.split_terminator('\0').collect();
    if !is_readable || !names.len().is_multiple_of(2) {
        return None;
    }
    let unsupported_options = names.iter().step_by(2).filter(|name| name.starts_with("_pq_."));
    Some(unsupported_options.copied().collect())
}
