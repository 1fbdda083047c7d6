//! The subset of HTTP/1.1 that is used with discovery.

/// Maximum size of a response body.
pub const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Maximum size of the status line and the headers of a response.
const MAX_HEAD_BYTES: usize = 16 * 1024;
const MAX_HEADERS: usize = 32;

/// Result of parsing a response.
#[derive(Debug, PartialEq)]
pub enum Response {
    /// More bytes are needed.
    Partial,
    /// The response has no length; its body ends when the connection is closed.
    UntilClose {
        /// Status code.
        status: u16,
        /// Offset of the body.
        body_start: usize,
    },
    /// A complete response.
    Complete {
        /// Status code.
        status: u16,
        /// The decoded body, without chunk headers.
        body: Vec<u8>,
        /// Length of the whole response in the input.
        length: usize,
        /// Whether the connection may be used for another request.
        keep_alive: bool,
    },
    /// Not a valid response.
    Malformed,
}

/// A decoded body and its encoded length in the input.
struct Body {
    content: Vec<u8>,
    length: usize,
}

/// The body is malformed or too large.
struct MalformedBody;

/// Formats a GET request.
pub fn get(path: &str, host: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n").into_bytes()
}

/// Parses a response at the front of `input`.
pub fn parse_response(input: &[u8]) -> Response {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let head_length = match response.parse(input) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if input.len() <= MAX_HEAD_BYTES => return Response::Partial,
        _ => return Response::Malformed,
    };
    let header = |name: &str| {
        let mut headers = response.headers.iter();
        let found = headers.find(|h| h.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(found.value).ok().map(str::trim)
    };
    let status = response.code.unwrap_or(0);
    let keep_alive = !header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
    let transfer_encoding = header("transfer-encoding");
    let is_chunked = transfer_encoding.is_some_and(|v| v.eq_ignore_ascii_case("chunked"));
    let content_length = header("content-length").map(str::parse::<usize>);
    let after_head = &input[head_length..];
    let body = match content_length {
        _ if is_chunked => parse_chunked(after_head),
        Some(Ok(length)) => parse_sized(after_head, length),
        None if transfer_encoding.is_none() && after_head.len() <= MAX_BODY_BYTES => {
            let body_start = head_length;
            return Response::UntilClose { status, body_start };
        }
        _ => Err(MalformedBody),
    };
    match body {
        Ok(Some(body)) => Response::Complete {
            status,
            body: body.content,
            length: head_length + body.length,
            keep_alive,
        },
        Ok(None) if input.len() <= MAX_BODY_BYTES + MAX_HEAD_BYTES => Response::Partial,
        _ => Response::Malformed,
    }
}

/// Parses a body of a declared length; `None` if it is incomplete.
fn parse_sized(input: &[u8], length: usize) -> Result<Option<Body>, MalformedBody> {
    if length > MAX_BODY_BYTES {
        return Err(MalformedBody);
    }
    let content = input.get(..length).map(<[u8]>::to_vec);
    Ok(content.map(|content| Body { content, length }))
}

/// Parses a chunked body; `None` if it is incomplete.
fn parse_chunked(input: &[u8]) -> Result<Option<Body>, MalformedBody> {
    let mut content = Vec::new();
    let mut offset = 0;
    loop {
        let (header, size) = match httparse::parse_chunk_size(&input[offset..]) {
            Ok(httparse::Status::Complete((header, size))) => (header, size as usize),
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(MalformedBody),
        };
        if size > MAX_BODY_BYTES || content.len() + size > MAX_BODY_BYTES {
            return Err(MalformedBody);
        }
        let start = offset + header;
        let Some(chunk) = input.get(start..start + size + 2) else {
            return Ok(None);
        };
        if !chunk.ends_with(b"\r\n") {
            return Err(MalformedBody);
        }
        content.extend(&chunk[..size]);
        offset = start + size + 2;
        if size == 0 {
            let length = offset;
            return Ok(Some(Body { content, length }));
        }
    }
}
