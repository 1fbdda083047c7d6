//! Snapshot schedule, encoder and log file on a temporarily failing disk. Guards against records that count
//! as stored before they are durable, and against pending records that are never written.

mod common;
use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_gossip::record::Record;
use asterlatch_gossip::snapshot::{read, SnapshotEncoder, SnapshotError, SnapshotSchedule, WriteRequest};
use asterlatch_storage::log_file::{LogFile, LogNames, PreviousLog};
use asterlatch_storage::memory::{Call, MemoryFileSystem, ProcessEnd, ALL_CALLS};
use common::member;
use std::path::Path;

const LOG: &str = "/state/shared.log";
const NAMES: LogNames = LogNames {
    log: "shared.log",
    replacement: "shared.new",
    unreadable: "shared.unread",
};
const INTERVAL: TimeSpan = TimeSpan::millis(50);
const STEP: TimeSpan = TimeSpan::millis(10);
/// Longer than the maximum backoff.
const RECOVERY_TIME: TimeSpan = TimeSpan::millis(31_000);

/// Writes a driver's snapshot as the gossip thread does, in virtual time.
struct Writer {
    log: LogFile<MemoryFileSystem>,
    schedule: SnapshotSchedule,
    encoder: Option<SnapshotEncoder>,
    now: Timestamp,
    records: Vec<Record>,
    /// Number of records in writes that have begun.
    written: usize,
    /// Number of records in writes that have succeeded.
    stored: usize,
}

impl Writer {
    fn new(disk: &MemoryFileSystem) -> Writer {
        let now = Timestamp(5_000_000_000);
        Writer {
            log: LogFile::new(disk.clone(), Path::new("/state"), NAMES, PreviousLog::Readable),
            schedule: SnapshotSchedule::new(now, INTERVAL),
            encoder: None,
            now,
            records: Vec::new(),
            written: 0,
            stored: 0,
        }
    }

    fn add_record(&mut self) {
        let number = self.records.len() as u64;
        self.records.push(member(&format!("m{number}"), number, 0, 5));
        self.schedule.mark_changed();
    }

    fn run(&mut self, span: TimeSpan) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            if let Some(request) = self.schedule.next_request(self.now) {
                self.write(request);
            }
        }
    }

    fn write(&mut self, request: WriteRequest) {
        let mut bytes = Vec::new();
        let from = match request {
            WriteRequest::Append => self.written,
            WriteRequest::Rewrite => {
                let (header, encoder) = SnapshotEncoder::begin("f", "d1", 42);
                (bytes, self.encoder) = (header, Some(encoder));
                0
            }
        };
        let encoder = self.encoder.as_mut().expect("the first request is a rewrite");
        for record in &self.records[from..] {
            encoder.append(&mut bytes, record, self.now);
        }
        let count = self.records.len() - from;
        self.written = self.records.len();
        let result = match request {
            WriteRequest::Append => self.log.append(&bytes),
            WriteRequest::Rewrite => self.log.replace(&bytes),
        };
        if result.is_ok() {
            self.stored = self.written;
        }
        self.schedule.on_written(self.now, request, count, result);
    }
}

/// The records in the snapshot after a restart.
fn read_records(disk: &MemoryFileSystem) -> Vec<Record> {
    let contents = read(&disk.contents(Path::new(LOG)).unwrap_or_default(), "f", "d1");
    let error = contents.error;
    let is_expected = matches!(
        error,
        None | Some(SnapshotError::Empty | SnapshotError::Truncated { .. })
    );
    assert!(
        is_expected,
        "a kill or power failure leaves at most a truncated frame: {error:?}"
    );
    contents.records.into_iter().map(|r| r.record).collect()
}

#[test]
fn pending_records_after_disk_recovery_are_stored() {
    for call in ALL_CALLS {
        for errno in [libc::ENOSPC, libc::EIO] {
            for end in [ProcessEnd::Kill, ProcessEnd::PowerFailure] {
                let disk = MemoryFileSystem::default();
                let mut writer = Writer::new(&disk);
                for _ in 0..3 {
                    writer.add_record();
                    writer.run(INTERVAL + STEP);
                }
                disk.fail_calls(call, errno);
                for _ in 0..3 {
                    writer.add_record();
                    writer.run(TimeSpan::millis(700));
                }
                disk.clear_fault();
                writer.run(RECOVERY_TIME);
                assert_eq!(writer.stored, 6, "{call:?} {errno}");
                assert!(!writer.schedule.is_failing());
                disk.restart(end);
                assert_eq!(read_records(&disk), writer.records, "{call:?} {errno} {end:?}");
            }
        }
    }
}

#[test]
fn stored_records_after_power_failure_on_failing_disk_are_readable() {
    for call in ALL_CALLS {
        for errno in [libc::ENOSPC, libc::EIO] {
            let disk = MemoryFileSystem::default();
            let mut writer = Writer::new(&disk);
            for round in 0..8 {
                // An intermittent fault: a successful sync follows a failed one.
                if round % 3 == 1 {
                    disk.fail_calls(call, errno);
                }
                writer.add_record();
                writer.run(TimeSpan::millis(120));
                disk.clear_fault();
            }
            disk.fail_calls(call, errno);
            writer.add_record();
            writer.run(TimeSpan::millis(2000));
            disk.restart(ProcessEnd::PowerFailure);
            let records = read_records(&disk);
            assert!(
                records.len() >= writer.stored,
                "{call:?}: {} of {}",
                records.len(),
                writer.stored
            );
            assert_eq!(records[..], writer.records[..records.len()], "{call:?} {errno}");
        }
    }
}

#[test]
fn stored_records_after_kill_or_power_failure_at_any_call_are_readable() {
    for end in [ProcessEnd::Kill, ProcessEnd::PowerFailure] {
        for fault in [None, Some(Call::Write), Some(Call::Sync), Some(Call::SyncFolder)] {
            for at in 1.. {
                let disk = MemoryFileSystem::default();
                disk.kill_at_call(at);
                let mut writer = Writer::new(&disk);
                for round in 0..5 {
                    if let Some(call) = fault.filter(|_| round == 2) {
                        disk.fail_calls(call, libc::EIO);
                    }
                    writer.add_record();
                    writer.run(TimeSpan::millis(600));
                    disk.clear_fault();
                }
                let was_killed = disk.call_count() >= at;
                disk.restart(end);
                let records = read_records(&disk);
                assert!(records.len() >= writer.stored, "{end:?} {fault:?} at {at}");
                assert_eq!(
                    records[..],
                    writer.records[..records.len()],
                    "{end:?} {fault:?} at {at}"
                );
                if !was_killed {
                    break;
                }
            }
        }
    }
}
