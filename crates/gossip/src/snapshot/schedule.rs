//! When the snapshot is written: changes in batches, and everything anew where it isn't known what the disk holds.

use asterlatch::time::{TimeSpan, Timestamp};

/// One write to the disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteRequest {
    /// Append what has changed.
    Append,
    /// Replace the file by a complete snapshot.
    Rewrite,
}

/// Writing has begun to fail, or succeeds again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteStatusChange<E> {
    /// Writes fail from now on, first by this error.
    Failing(E),
    /// Writes succeed again.
    Recovered,
}

/// Decides when and how the snapshot is written. One write runs at a time.
#[derive(Clone, Debug, PartialEq)]
pub struct SnapshotSchedule {
    /// Time between two writes.
    interval: TimeSpan,
    next_write_at: Timestamp,
    is_writing: bool,
    /// Whether the file is known to hold exactly what was written.
    is_file_known: bool,
    is_failing: bool,
    backoff: TimeSpan,
    /// Records appended since the last complete snapshot, and how many that had.
    appended_records: usize,
    complete_records: usize,
    has_changes: bool,
}

/// Time between two attempts on a disk that fails; doubles up to [`MAX_BACKOFF`].
const INITIAL_BACKOFF: TimeSpan = TimeSpan::millis(500);
const MAX_BACKOFF: TimeSpan = TimeSpan::millis(30_000);
/// More appended records than this many times the complete snapshot's make it worth a rewrite.
const MAX_GROWTH_FACTOR: usize = 2;
/// Up to this many appended records never do.
const MIN_APPENDED_RECORDS: usize = 4096;

impl SnapshotSchedule {
    /// The first request is a complete snapshot and due at once.
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

    /// When the next request is due.
    pub fn next_at(&self) -> Timestamp {
        let is_needed = self.has_changes || self.is_failing;
        if self.is_writing || !is_needed {
            return Timestamp(u64::MAX);
        }
        self.next_write_at
    }

    /// Something has changed that isn't written.
    pub fn mark_changed(&mut self) {
        self.has_changes = true;
    }

    /// More has changed than is tracked: only a complete snapshot contains it.
    pub fn require_rewrite(&mut self) {
        self.is_file_known = false;
        self.has_changes = true;
    }

    /// The request that is due, which counts as running until [`SnapshotSchedule::on_written`].
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

    /// A write of this many records has ended. Returns a change between success and failure.
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

    /// Part of the write may have reached the disk.
    fn on_failure(&mut self, now: Timestamp) {
        self.require_rewrite();
        self.next_write_at = now + self.backoff;
        self.backoff = TimeSpan(self.backoff.0 * 2).min(MAX_BACKOFF);
    }
}
