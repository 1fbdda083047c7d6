//! Framing of the simulator's protocol. Numbers are little-endian; a record is a code, a length and fields.

use crate::error::{HostError, RecordError};
use std::io::Read;

/// Header of a frame from the simulator: number, length, record count, clock.
const REQUEST_HEADER_BYTES: usize = 20;
/// Header of a reply: number, length, record count.
const REPLY_HEADER_BYTES: usize = 12;

/// Decodes the fields of a record in order.
pub(crate) struct FieldReader<'a> {
    remaining: &'a [u8],
}

/// A record of a frame, with its undecoded fields.
pub(crate) struct WireRecord<'a> {
    pub(crate) code: u8,
    pub(crate) fields: FieldReader<'a>,
}

impl<'a> FieldReader<'a> {
    pub(crate) fn new(bytes: &'a [u8]) -> Self {
        FieldReader { remaining: bytes }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.remaining.is_empty()
    }

    pub(crate) fn take(&mut self, count: usize) -> Result<&'a [u8], RecordError> {
        let Some((head, rest)) = self.remaining.split_at_checked(count) else {
            return Err(RecordError::FieldBeyondEnd {
                needed: count,
                remaining: self.remaining.len(),
            });
        };
        self.remaining = rest;
        Ok(head)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], RecordError> {
        let mut bytes = [0; N];
        bytes.copy_from_slice(self.take(N)?);
        Ok(bytes)
    }

    pub(crate) fn u8(&mut self) -> Result<u8, RecordError> {
        self.array().map(u8::from_le_bytes)
    }

    pub(crate) fn u16(&mut self) -> Result<u16, RecordError> {
        self.array().map(u16::from_le_bytes)
    }

    pub(crate) fn u32(&mut self) -> Result<u32, RecordError> {
        self.array().map(u32::from_le_bytes)
    }

    pub(crate) fn u64(&mut self) -> Result<u64, RecordError> {
        self.array().map(u64::from_le_bytes)
    }

    pub(crate) fn f32(&mut self) -> Result<f32, RecordError> {
        self.array().map(f32::from_le_bytes)
    }

    /// Reads the next record.
    pub(crate) fn next_record(&mut self) -> Result<WireRecord<'a>, RecordError> {
        let code = self.u8()?;
        let length = self.u32()? as usize;
        let fields = FieldReader::new(self.take(length)?);
        Ok(WireRecord { code, fields })
    }
}

/// A frame from the simulator.
pub(crate) struct Frame {
    /// Number of the frame, repeated in the reply.
    pub(crate) number: u32,
    pub(crate) record_count: u32,
    /// The simulator's clock in microseconds.
    pub(crate) clock_us: u64,
    /// The encoded records.
    pub(crate) body: Vec<u8>,
}

/// Reads the next frame; `None` if input ends between two frames.
pub(crate) fn read_frame(input: &mut impl Read) -> Result<Option<Frame>, HostError> {
    let header = read_up_to(input, REQUEST_HEADER_BYTES)?;
    if header.is_empty() {
        return Ok(None);
    }
    let truncated = |_| HostError::TruncatedHeader(header.len());
    let mut fields = FieldReader::new(&header);
    let frame = fields.u32().map_err(truncated)?;
    let length = fields.u32().map_err(truncated)?;
    let record_count = fields.u32().map_err(truncated)?;
    let clock_us = fields.u64().map_err(truncated)?;
    let body_length = (length as usize).checked_sub(REQUEST_HEADER_BYTES);
    let body_length = body_length.ok_or(HostError::LengthBelowHeader { frame, length })?;
    let body = read_up_to(input, body_length)?;
    if body.len() < body_length {
        return Err(HostError::TruncatedFrame {
            frame,
            length,
            received: body.len() + REQUEST_HEADER_BYTES,
        });
    }
    Ok(Some(Frame {
        number: frame,
        record_count,
        clock_us,
        body,
    }))
}

/// Reads up to `count` bytes. Memory grows with the bytes received, so a false length allocates nothing.
fn read_up_to(input: &mut impl Read, count: usize) -> Result<Vec<u8>, HostError> {
    let mut bytes = Vec::new();
    let mut limited = input.by_ref().take(count as u64);
    limited.read_to_end(&mut bytes).map_err(HostError::ReadInput)?;
    Ok(bytes)
}

/// The records of one reply.
#[derive(Default)]
pub(crate) struct Reply {
    body: Vec<u8>,
    record_count: u32,
}

impl Reply {
    pub(crate) fn push_record(&mut self, code: u8, fields: &[&[u8]]) {
        let length: usize = fields.iter().map(|field| field.len()).sum();
        self.body.push(code);
        self.body.extend_from_slice(&(length as u32).to_le_bytes());
        for field in fields {
            self.body.extend_from_slice(field);
        }
        self.record_count += 1;
    }

    /// Encodes the reply to the frame of this number.
    pub(crate) fn encode(&self, number: u32) -> Vec<u8> {
        let length = REPLY_HEADER_BYTES + self.body.len();
        let mut frame = Vec::with_capacity(length);
        frame.extend_from_slice(&number.to_le_bytes());
        frame.extend_from_slice(&(length as u32).to_le_bytes());
        frame.extend_from_slice(&self.record_count.to_le_bytes());
        frame.extend_from_slice(&self.body);
        frame
    }
}
