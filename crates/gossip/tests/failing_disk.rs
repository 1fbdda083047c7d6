//! Schedule, encoder and log together on a disk that fails for a while: no record counts as kept before its sync, and what
//! is pending is written once the disk works.

mod common;
use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_gossip::record::Record;
use asterlatch_gossip::snapshot::{read, SnapshotEncoder, SnapshotError, SnapshotSchedule, WriteRequest};
use asterlatch_storage::log_file::{Former, LogFile, LogNames};
use asterlatch_storage::memory::{Call, End, MemoryFileSystem, CALLS};
use common::member;
use std::path::Path;

const LOG: &str = "/state/shared.log";
const NAMES: LogNames = LogNames {
    log: "shared.log",
    replacement: "shared.new",
    unread: "shared.unread",
};
const INTERVAL: TimeSpan = TimeSpan::millis(50);
const STEP: TimeSpan = TimeSpan::millis(10);
/// Longer than the longest pause between two attempts.
const LONG_ENOUGH: TimeSpan = TimeSpan::millis(31_000);

/// A driver's snapshot as its gossip thread writes it, in virtual time.
struct Writer {
    log: LogFile<MemoryFileSystem>,
    schedule: SnapshotSchedule,
    encoder: Option<SnapshotEncoder>,
    now: Timestamp,
    records: Vec<Record>,
    /// How many of them are in a write that has begun, and how many count as kept.
    written: usize,
    kept: usize,
}

impl Writer {
    fn new(disk: &MemoryFileSystem) -> Writer {
        let now = Timestamp(5_000_000_000);
        Writer {
            log: LogFile::new(disk.clone(), Path::new("/state"), NAMES, Former::Read),
            schedule: SnapshotSchedule::new(now, INTERVAL),
            encoder: None,
            now,
            records: Vec::new(),
            written: 0,
            kept: 0,
        }
    }

    fn add_record(&mut self) {
        let n = self.records.len() as u64;
        self.records.push(member(&format!("m{n}"), n, 0, 5));
        self.schedule.mark_changed();
    }

    fn run(&mut self, span: TimeSpan) {
        let until = self.now + span;
        while self.now < until {
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
            self.kept = self.written;
        }
        self.schedule.on_written(self.now, request, count, result);
    }
}

/// The records that the next start finds.
fn found(disk: &MemoryFileSystem) -> Vec<Record> {
    let contents = read(&disk.bytes(Path::new(LOG)).unwrap_or_default(), "f", "d1");
    let error = contents.error;
    let is_torn = matches!(
        error,
        None | Some(SnapshotError::Empty | SnapshotError::Truncated { .. })
    );
    assert!(is_torn, "a stop leaves a torn tail at most: {error:?}");
    contents.records.into_iter().map(|r| r.record).collect()
}

#[test]
fn records_pending_on_a_failing_disk_are_kept_once_it_works() {
    for call in CALLS {
        for errno in [libc::ENOSPC, libc::EIO] {
            for end in [End::Kill, End::PowerFailure] {
                let disk = MemoryFileSystem::default();
                let mut writer = Writer::new(&disk);
                for _ in 0..3 {
                    writer.add_record();
                    writer.run(INTERVAL + STEP);
                }
                disk.fail(call, errno);
                for _ in 0..3 {
                    writer.add_record();
                    writer.run(TimeSpan::millis(700));
                }
                disk.mend();
                writer.run(LONG_ENOUGH);
                assert_eq!(writer.kept, 6, "{call:?} {errno}");
                assert!(!writer.schedule.is_failing());
                disk.restart(end);
                assert_eq!(found(&disk), writer.records, "{call:?} {errno} {end:?}");
            }
        }
    }
}

#[test]
fn records_told_kept_survive_an_end_while_the_disk_fails() {
    for call in CALLS {
        for errno in [libc::ENOSPC, libc::EIO] {
            let disk = MemoryFileSystem::default();
            let mut writer = Writer::new(&disk);
            for n in 0..8 {
                // A fault that comes and goes: a sync that succeeds follows one that failed.
                if n % 3 == 1 {
                    disk.fail(call, errno);
                }
                writer.add_record();
                writer.run(TimeSpan::millis(120));
                disk.mend();
            }
            disk.fail(call, errno);
            writer.add_record();
            writer.run(TimeSpan::millis(2000));
            disk.restart(End::PowerFailure);
            let found = found(&disk);
            assert!(
                found.len() >= writer.kept,
                "{call:?}: {} of {}",
                found.len(),
                writer.kept
            );
            assert_eq!(found[..], writer.records[..found.len()], "{call:?} {errno}");
        }
    }
}

#[test]
fn kill_or_power_failure_at_any_call_keeps_the_records_told_kept() {
    for end in [End::Kill, End::PowerFailure] {
        for fault in [None, Some(Call::Write), Some(Call::Sync), Some(Call::SyncFolder)] {
            for at in 1.. {
                let disk = MemoryFileSystem::default();
                disk.kill_at(at);
                let mut writer = Writer::new(&disk);
                for n in 0..5 {
                    if let Some(call) = fault.filter(|_| n == 2) {
                        disk.fail(call, libc::EIO);
                    }
                    writer.add_record();
                    writer.run(TimeSpan::millis(600));
                    disk.mend();
                }
                let was_killed = disk.calls() >= at;
                disk.restart(end);
                let found = found(&disk);
                assert!(found.len() >= writer.kept, "{end:?} {fault:?} at {at}");
                assert_eq!(
                    found[..],
                    writer.records[..found.len()],
                    "{end:?} {fault:?} at {at}"
                );
                if !was_killed {
                    break;
                }
            }
        }
    }
}
