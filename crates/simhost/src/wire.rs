//! Frames and records of the simulator's wire: little-endian integers, records of a code, a length and fields.

use crate::error::{HostError, RecordError};
use std::io::Read;

/// Bytes of a frame's header from the simulator.
const REQUEST_HEADER: usize = 20;
/// Bytes of a reply's header.
const REPLY_HEADER: usize = 12;

/// Reads fields one after another.
pub(crate) struct Fields<'a> {
    left: &'a [u8],
}

/// A record of a frame.
pub(crate) struct WireRecord<'a> {
    pub(crate) code: u8,
    pub(crate) fields: Fields<'a>,
}

impl<'a> Fields<'a> {
    pub(crate) fn new(bytes: &'a [u8]) -> Self {
        Fields { left: bytes }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.left.is_empty()
    }

    pub(crate) fn take(&mut self, count: usize) -> Result<&'a [u8], RecordError> {
        let Some((head, rest)) = self.left.split_at_checked(count) else {
            return Err(RecordError::FieldBeyondEnd {
                wanted: count,
                left: self.left.len(),
            });
        };
        self.left = rest;
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

    /// The next record, with its fields.
    pub(crate) fn record(&mut self) -> Result<WireRecord<'a>, RecordError> {
        let code = self.u8()?;
        let length = self.u32()? as usize;
        let fields = Fields::new(self.take(length)?);
        Ok(WireRecord { code, fields })
    }
}

/// A frame from the simulator.
pub(crate) struct Batch {
    /// Number of the frame.
    pub(crate) number: u32,
    /// Number of its records.
    pub(crate) records: u32,
    /// The simulator's clock in microseconds.
    pub(crate) clock: u64,
    /// The records.
    pub(crate) body: Vec<u8>,
}

/// Reads the next frame; `None` where input ends between two frames.
pub(crate) fn read_batch(input: &mut impl Read) -> Result<Option<Batch>, HostError> {
    let header = read_up_to(input, REQUEST_HEADER)?;
    if header.is_empty() {
        return Ok(None);
    }
    let truncated = |_| HostError::TruncatedHeader(header.len());
    let mut fields = Fields::new(&header);
    let frame = fields.u32().map_err(truncated)?;
    let length = fields.u32().map_err(truncated)?;
    let records = fields.u32().map_err(truncated)?;
    let clock = fields.u64().map_err(truncated)?;
    let body_length = (length as usize).checked_sub(REQUEST_HEADER);
    let body_length = body_length.ok_or(HostError::LengthBelowHeader { frame, length })?;
    let body = read_up_to(input, body_length)?;
    if body.len() < body_length {
        return Err(HostError::TruncatedFrame {
            frame,
            length,
            received: body.len() + REQUEST_HEADER,
        });
    }
    Ok(Some(Batch {
        number: frame,
        records,
        clock,
        body,
    }))
}

/// At most `count` bytes. Memory grows with what really arrives, so a false length costs none.
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
    records: u32,
}

impl Reply {
    /// Appends a record.
    pub(crate) fn record(&mut self, code: u8, fields: &[&[u8]]) {
        let length: usize = fields.iter().map(|field| field.len()).sum();
        self.body.push(code);
        self.body.extend_from_slice(&(length as u32).to_le_bytes());
        for field in fields {
            self.body.extend_from_slice(field);
        }
        self.records += 1;
    }

    /// The frame with all records.
    pub(crate) fn frame(&self, number: u32) -> Vec<u8> {
        let length = REPLY_HEADER + self.body.len();
        let mut frame = Vec::with_capacity(length);
        frame.extend_from_slice(&number.to_le_bytes());
        frame.extend_from_slice(&(length as u32).to_le_bytes());
        frame.extend_from_slice(&self.records.to_le_bytes());
        frame.extend_from_slice(&self.body);
        frame
    }
}
