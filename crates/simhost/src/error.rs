//! Errors of the adapter, which prints the error as one line and exits.

use std::io;

/// An error that ends the process.
#[derive(Debug, thiserror::Error)]
pub(crate) enum HostError {
    /// Standard input failed.
    #[error("cannot read input: {0}")]
    ReadInput(#[source] io::Error),
    /// Standard output failed.
    #[error("cannot write reply: {0}")]
    WriteReply(#[source] io::Error),
    /// Input ended within a frame's header.
    #[error("input ended inside a frame header, after {0} bytes")]
    TruncatedHeader(usize),
    /// A frame declares a length below that of its header.
    #[error("frame {frame} declares {length} bytes, less than its header")]
    LengthBelowHeader {
        /// Number of the frame.
        frame: u32,
        /// The declared length.
        length: u32,
    },
    /// Input ended within a frame.
    #[error("frame {frame} declares {length} bytes but input ended after {received}")]
    TruncatedFrame {
        /// Number of the frame.
        frame: u32,
        /// The declared length.
        length: u32,
        /// Bytes received, with the header.
        received: usize,
    },
    /// Bytes follow the last record of a frame.
    #[error("frame {frame} has trailing bytes after its {record_count} records")]
    TrailingBytes {
        /// Number of the frame.
        frame: u32,
        /// Declared number of records.
        record_count: u32,
    },
    /// A record is invalid.
    #[error("frame {frame}, record {record}: {source}")]
    Record {
        /// Number of the frame.
        frame: u32,
        /// Index of the record.
        record: u32,
        /// The cause.
        source: RecordError,
    },
}

/// An error in a record.
#[derive(Debug, thiserror::Error)]
pub(crate) enum RecordError {
    /// A field extends past the end of the record.
    #[error("field needs {needed} bytes, {remaining} left in the record")]
    FieldBeyondEnd {
        /// Bytes that the field needs.
        needed: usize,
        /// Bytes left in the record.
        remaining: usize,
    },
    /// No event has this code.
    #[error("unknown event code {0}")]
    UnknownEvent(u8),
    /// An event precedes the record that selects its driver.
    #[error("event {0} before any driver was selected")]
    NoDriver(u8),
    /// The event's driver isn't running.
    #[error("event {event} for driver {driver}, which is not running")]
    NotRunning {
        /// Code of the event.
        event: u8,
        /// Number of the driver.
        driver: u16,
    },
    /// No member state has this code.
    #[error("unknown state {code} of member {member}")]
    UnknownState {
        /// Code of the state.
        code: u8,
        /// Id of the member.
        member: u32,
    },
    /// No execution outcome has this code.
    #[error("unknown outcome {0}")]
    UnknownOutcome(u16),
    /// No update mode of endpoint lists has this code.
    #[error("unknown endpoint list mode {0}")]
    UnknownListMode(u8),
    /// An update refers to a list that was not defined.
    #[error("endpoint list {0} is not defined")]
    UndefinedList(u8),
    /// A statement's workload index is out of range.
    #[error("statement {statement} has the unknown workload {workload}")]
    UnknownWorkload {
        /// Id of the statement.
        statement: u32,
        /// Index of the workload.
        workload: u8,
    },
    /// The settings aren't UTF-8.
    #[error("invalid settings text: {0}")]
    SettingsText(#[from] std::str::Utf8Error),
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] asterlatch_settings::SettingsError),
}
