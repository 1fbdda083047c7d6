//! Schedule of snapshot writes: changes are appended in batches; the file is rewritten if its content is
//! unknown or has grown too much.

use asterlatch::time::{TimeSpan, Timestamp};

/// Kind of a write to the snapshot file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteRequest {
    /// Append the changed records.
    Append,
    /// Replace the file with a complete snapshot.
    Rewrite,
}

/// A change between success and failure of writes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteStatusChange<E> {
    /// A write failed with this error after successful ones.
    Failing(E),
    /// A write succeeded after failed ones.
    Recovered,
}

/// Decides when and how the snapshot is written. At most one write runs at a time.
#[derive(Clone, Debug, PartialEq)]
pub struct SnapshotSchedule {
    /// Minimum time between successful writes.
    interval: TimeSpan,
    next_write_at: Timestamp,
    is_writing: bool,
    /// Whether the file is known to contain exactly what was written.
    is_file_known: bool,
    is_failing: bool,
    backoff: TimeSpan,
    /// Records appended since the last complete snapshot.
    appended_records: usize,
    /// Records in the last complete snapshot.
    complete_records: usize,
    has_changes: bool,
}

/// Delay after a failed write; doubles with each further failure up to [`MAX_BACKOFF`].
const INITIAL_BACKOFF: TimeSpan = TimeSpan::millis(500);
const MAX_BACKOFF: TimeSpan = TimeSpan::millis(30_000);
/// The file is rewritten once appended records exceed this multiple of the complete snapshot's records.
const MAX_GROWTH_FACTOR: usize = 2;
/// Number of appended records up to which the file is never rewritten for its size.
const MIN_APPENDED_RECORDS: usize = 4096;

impl SnapshotSchedule {
    /// The first request is a rewrite and due immediately.
    pub fn new(now: Timestamp, interval: TimeSpan) -> SnapshotSchedule {
        SnapshotSchedule {
            interval,
            next_write_at: now,
            is_writing: false,
            is_file_known: false,
            is_failing: false,
            backoff: INITIAL_BACKOFF,
            appended_records: 0,
            complete_records: 0,
            has_changes: true,
        }
    }

    /// Whether the last write failed.
    pub fn is_failing(&self) -> bool {
        self.is_failing
    }

    /// When the next request is due; `u64::MAX` if a write is running or nothing has changed.
    pub fn next_at(&self) -> Timestamp {
        let is_needed = self.has_changes || self.is_failing;
        if self.is_writing || !is_needed {
            return Timestamp(u64::MAX);
        }
        self.next_write_at
    }

    /// Notifies of changes that aren't written yet.
    pub fn mark_changed(&mut self) {
        self.has_changes = true;
    }

    /// Requires the next write to be a rewrite, because changes were not tracked or a write has failed.
    pub fn require_rewrite(&mut self) {
        self.is_file_known = false;
        self.has_changes = true;
    }

    /// Returns the request that is due. It counts as running until [`SnapshotSchedule::on_written`].
    pub fn next_request(&mut self, now: Timestamp) -> Option<WriteRequest> {
        if now < self.next_at() {
            return None;
        }
        self.is_writing = true;
        self.has_changes = false;
        let max_appended = MIN_APPENDED_RECORDS.max(self.complete_records * MAX_GROWTH_FACTOR);
        let can_append = self.is_file_known && self.appended_records <= max_appended;
        Some(match can_append {
            true => WriteRequest::Append,
            false => WriteRequest::Rewrite,
        })
    }

    /// Handles the result of a write of `records` records. Returns a change between success and failure.
    pub fn on_written<E>(
        &mut self,
        now: Timestamp,
        request: WriteRequest,
        records: usize,
        result: Result<(), E>,
    ) -> Option<WriteStatusChange<E>> {
        self.is_writing = false;
        let was_failing = self.is_failing;
        self.is_failing = result.is_err();
        match result {
            Ok(()) => {
                self.on_success(now, request, records);
                was_failing.then_some(WriteStatusChange::Recovered)
            }
            Err(error) => {
                self.on_failure(now);
                (!was_failing).then_some(WriteStatusChange::Failing(error))
            }
        }
    }

    fn on_success(&mut self, now: Timestamp, request: WriteRequest, records: usize) {
        self.is_file_known = true;
        match request {
            WriteRequest::Append => self.appended_records += records,
            WriteRequest::Rewrite => {
                self.appended_records = 0;
                self.complete_records = records;
            }
        }
        self.next_write_at = now + self.interval;
        self.backoff = INITIAL_BACKOFF;
    }

    /// A failed write may have reached the disk in part, so the next one is a rewrite.
    fn on_failure(&mut self, now: Timestamp) {
        self.require_rewrite();
        self.next_write_at = now + self.backoff;
        self.backoff = TimeSpan(self.backoff.0 * 2).min(MAX_BACKOFF);
    }
}
