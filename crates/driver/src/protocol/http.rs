//! The little of HTTP/1.1 that is spoken with discovery.

/// Bytes of one answer at most.
pub const ANSWER: usize = 4 * 1024 * 1024;
const HEAD: usize = 16 * 1024;

#[derive(Debug, PartialEq)]
pub enum Answer {
    Partial,
    /// Whatever comes up to the connection's end belongs to it: so far this much, from here on.
    UpToTheEnd {
        status: u16,
        from: usize,
    },
    Whole {
        status: u16,
        body: Vec<u8>,
        taken: usize,
        keep: bool,
    },
    Malformed,
}

pub fn get(path: &str, host: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n").into_bytes()
}

pub fn answer(input: &[u8]) -> Answer {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut response = httparse::Response::new(&mut headers);
    let head = match response.parse(input) {
        Ok(httparse::Status::Complete(n)) => n,
        Ok(httparse::Status::Partial) if input.len() <= HEAD => return Answer::Partial,
        _ => return Answer::Malformed,
    };
    let value = |name: &str| {
        let found = response
            .headers
            .iter()
            .find(|h| h.name.eq_ignore_ascii_case(name));
        found
            .and_then(|h| std::str::from_utf8(h.value).ok())
            .map(str::trim)
    };
    let status = response.code.unwrap_or(0);
    let keep = !value("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
    let coding = value("transfer-encoding");
    let body = if coding.is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
        chunked(&input[head..])
    } else {
        match value("content-length").map(str::parse::<usize>) {
            Some(Ok(length)) if length > ANSWER => Err(()),
            Some(Ok(length)) => Ok(input.get(head..head + length).map(|b| (b.to_vec(), length))),
            None if coding.is_none() && input.len() <= head + ANSWER => {
                return Answer::UpToTheEnd { status, from: head }
            }
            _ => Err(()),
        }
    };
    match body {
        Ok(Some((body, length))) => Answer::Whole {
            status,
            body,
            taken: head + length,
            keep,
        },
        Ok(None) if input.len() <= ANSWER + HEAD => Answer::Partial,
        _ => Answer::Malformed,
    }
}

/// The chunks' content and the bytes they took; none while some are still to come.
fn chunked(input: &[u8]) -> Result<Option<(Vec<u8>, usize)>, ()> {
    let (mut body, mut at) = (Vec::new(), 0);
    loop {
        let (used, size) = match httparse::parse_chunk_size(&input[at..]) {
            Ok(httparse::Status::Complete((used, size))) => (used, size as usize),
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(()),
        };
        if size > ANSWER || body.len() + size > ANSWER {
            return Err(());
        }
        let from = at + used;
        let Some(chunk) = input.get(from..from + size + 2) else {
            return Ok(None);
        };
        if !chunk.ends_with(b"\r\n") {
            return Err(());
        }
        body.extend(&chunk[..size]);
        at = from + size + 2;
        if size == 0 {
            return Ok(Some((body, at)));
        }
    }
}
