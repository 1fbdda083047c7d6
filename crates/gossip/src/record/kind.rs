//! Kinds of records: their wire numbers, time to live and limits.

use asterlatch::time::TimeSpan;

/// The kind of a record, in order of dissemination priority: earlier kinds are sent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RecordKind {
    /// [`super::Record::Drain`]
    Drain,
    /// [`super::Record::Lease`]
    Lease,
    /// [`super::Record::DelayedExecution`]
    DelayedExecution,
    /// [`super::Record::WarmUp`]
    WarmUp,
    /// [`super::Record::Member`]
    Member,
    /// [`super::Record::Driver`]
    Driver,
    /// [`super::Record::Session`]
    Session,
    /// [`super::Record::Load`]
    Load,
}

/// Every kind, in order of dissemination priority.
pub const ALL_KINDS: [RecordKind; 8] = [
    RecordKind::Drain,
    RecordKind::Lease,
    RecordKind::DelayedExecution,
    RecordKind::WarmUp,
    RecordKind::Member,
    RecordKind::Driver,
    RecordKind::Session,
    RecordKind::Load,
];

impl RecordKind {
    /// Message kind of these records in a datagram. A number is never reassigned to another kind.
    pub fn wire_number(self) -> u8 {
        match self {
            RecordKind::Member => 16,
            RecordKind::Drain => 17,
            RecordKind::WarmUp => 18,
            RecordKind::Session => 19,
            RecordKind::Driver => 20,
            RecordKind::Lease => 21,
            RecordKind::DelayedExecution => 22,
            RecordKind::Load => 23,
        }
    }

    /// Name shown to operators. It is part of the key hash, so it must not change between versions.
    pub fn name(self) -> &'static str {
        match self {
            RecordKind::Member => "member",
            RecordKind::Drain => "drain",
            RecordKind::WarmUp => "cold",
            RecordKind::Session => "session",
            RecordKind::Driver => "driver",
            RecordKind::Lease => "turn",
            RecordKind::DelayedExecution => "late",
            RecordKind::Load => "load",
        }
    }

    /// Whether the snapshot contains these records, because a restarted driver can still use them.
    pub fn is_persistent(self) -> bool {
        !matches!(
            self,
            RecordKind::Lease | RecordKind::DelayedExecution | RecordKind::Load
        )
    }

    /// Age at which records are dropped, and rejected on receipt.
    pub fn time_to_live(self) -> TimeSpan {
        match self {
            RecordKind::Member => TimeSpan::millis(120_000),
            RecordKind::Drain => TimeSpan::millis(600_000),
            // Longer than the warm-up of any member.
            RecordKind::WarmUp => TimeSpan::millis(120_000),
            // Replicas that lag further behind receive no reads anyway.
            RecordKind::Session => TimeSpan::millis(30_000),
            RecordKind::Driver => TimeSpan::millis(600_000),
            // Longer than any lease.
            RecordKind::Lease => TimeSpan::millis(60_000),
            RecordKind::DelayedExecution | RecordKind::Load => TimeSpan::millis(5_000),
        }
    }

    /// Maximum number of records of this kind in one driver's state; beyond it the oldest are dropped.
    pub fn max_entries(self) -> usize {
        match self {
            RecordKind::Member | RecordKind::Drain | RecordKind::Lease => 4096,
            RecordKind::DelayedExecution | RecordKind::WarmUp => 16_384,
            RecordKind::Session => 32_768,
            RecordKind::Driver | RecordKind::Load => 1024,
        }
    }
}
