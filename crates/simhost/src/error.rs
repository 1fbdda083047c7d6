//! Errors of the adapter; the program prints one line and exits.

use std::io;

/// What ends the adapter.
#[derive(Debug, thiserror::Error)]
pub(crate) enum HostError {
    /// Standard input can't be read.
    #[error("reading input: {0}")]
    ReadInput(#[source] io::Error),
    /// Standard output can't be written.
    #[error("writing reply: {0}")]
    WriteReply(#[source] io::Error),
    /// Input ended within a frame's header.
    #[error("input ended inside a frame header, after {0} bytes")]
    TruncatedHeader(usize),
    /// A frame states a length that its header exceeds.
    #[error("frame {frame} declares {length} bytes, less than its header")]
    LengthBelowHeader {
        /// Number of the frame.
        frame: u32,
        /// Its stated length.
        length: u32,
    },
    /// Input ended within a frame.
    #[error("frame {frame} declares {length} bytes but input ended after {received}")]
    TruncatedFrame {
        /// Number of the frame.
        frame: u32,
        /// Its stated length.
        length: u32,
        /// Bytes that came.
        received: usize,
    },
    /// A frame is longer than its records.
    #[error("frame {frame} goes on after its {records} records")]
    TrailingBytes {
        /// Number of the frame.
        frame: u32,
        /// Number of its records.
        records: u32,
    },
    /// A record of a frame can't be taken.
    #[error("frame {frame}, record {record}: {source}")]
    Record {
        /// Number of the frame.
        frame: u32,
        /// Index of the record.
        record: u32,
        /// Why.
        source: RecordError,
    },
}

/// What is wrong with a record.
#[derive(Debug, thiserror::Error)]
pub(crate) enum RecordError {
    /// A field goes beyond the record.
    #[error("{wanted} bytes wanted, {left} left in the record")]
    FieldBeyondEnd {
        /// Bytes of the field.
        wanted: usize,
        /// Bytes that are left.
        left: usize,
    },
    /// The record's code is unknown.
    #[error("unknown event code {0}")]
    UnknownEvent(u8),
    /// An event came before the record that names its driver.
    #[error("event {0} before any driver was named")]
    NoDriver(u8),
    /// The event's driver isn't running.
    #[error("event {event} for driver {driver}, which is not running")]
    NotRunning {
        /// Code of the event.
        event: u8,
        /// Number of the driver.
        driver: u16,
    },
    /// A member's state is unknown.
    #[error("unknown standing {code} of member {member}")]
    UnknownState {
        /// Code of the state.
        code: u8,
        /// Id of the member.
        member: u32,
    },
    /// An execution's outcome is unknown.
    #[error("unknown outcome {0}")]
    UnknownOutcome(u16),
    /// The way in which a list is to be taken is unknown.
    #[error("unknown list mode {0}")]
    UnknownListMode(u8),
    /// A list was never defined.
    #[error("list {0} was never defined")]
    UndefinedList(u8),
    /// A statement's workload is unknown.
    #[error("statement {statement} is of the unknown class {workload}")]
    UnknownWorkload {
        /// Id of the statement.
        statement: u32,
        /// Index of the workload.
        workload: u8,
    },
    /// The settings are no text.
    #[error("settings text: {0}")]
    SettingsText(#[from] std::str::Utf8Error),
    /// The settings can't be read.
    #[error(transparent)]
    Settings(#[from] asterlatch_settings::SettingsError),
}
