//! The log on a failing disk. Guards against the loss of bytes that were reported durable, and against
//! appending to a torn tail.

use asterlatch_storage::log_file::{LogFile, LogNames, PreviousLog};
use asterlatch_storage::memory::{Call, MemoryFileSystem, ProcessEnd, ALL_CALLS};
use std::path::Path;

const FOLDER: &str = "/state";
const LOG: &str = "/state/shared.log";
const NAMES: LogNames = LogNames {
    log: "shared.log",
    replacement: "shared.new",
    unreadable: "shared.unread",
};

fn open(disk: &MemoryFileSystem, previous: PreviousLog) -> LogFile<MemoryFileSystem> {
    LogFile::new(disk.clone(), Path::new(FOLDER), NAMES, previous)
}

fn contents(disk: &MemoryFileSystem, path: &str) -> Option<String> {
    let contents = disk.contents(Path::new(path))?;
    Some(String::from_utf8(contents).expect("file content is UTF-8"))
}

#[test]
fn append_after_failed_append_fails_until_log_is_replaced() {
    for call in [Call::Write, Call::Sync, Call::Inspect] {
        for errno in [libc::ENOSPC, libc::EIO] {
            let disk = MemoryFileSystem::default();
            let mut log = open(&disk, PreviousLog::Readable);
            log.replace(b"one,").expect("replace the log");
            disk.fail_calls(call, errno);
            log.append(b"two,").expect_err("the call fails");
            disk.clear_fault();
            // A sync of this file would succeed now, but would not write the lost pages.
            log.append(b"three,").expect_err("the tail may be torn");
            log.replace(b"one,two,three,").expect("replace the log");
            log.append(b"four,").expect("append to the new log");
            disk.restart(ProcessEnd::PowerFailure);
            assert_eq!(
                contents(&disk, LOG).as_deref(),
                Some("one,two,three,four,"),
                "{call:?}"
            );
        }
    }
}

#[test]
fn replace_after_failed_replace_is_durable() {
    for call in ALL_CALLS {
        for errno in [libc::ENOSPC, libc::EIO] {
            let disk = MemoryFileSystem::default();
            let mut log = open(&disk, PreviousLog::Readable);
            log.replace(b"previous,").expect("replace the log");
            disk.fail_calls(call, errno);
            let first = log.replace(b"first,");
            disk.clear_fault();
            if first.is_err() {
                log.append(b"tail,")
                    .expect_err("the content of the log is unknown");
                let stored = contents(&disk, LOG).expect("the log exists");
                assert!(
                    ["previous,", "first,"].contains(&stored.as_str()),
                    "{call:?}: {stored}"
                );
                log.replace(b"second,").expect("replace the log");
            }
            log.append(b"tail,").expect("append to the log");
            disk.restart(ProcessEnd::PowerFailure);
            let expected = if first.is_ok() {
                "first,tail,"
            } else {
                "second,tail,"
            };
            assert_eq!(
                contents(&disk, LOG).as_deref(),
                Some(expected),
                "{call:?} {errno}"
            );
        }
    }
}

#[test]
fn log_file_killed_at_any_call_keeps_acknowledged_bytes() {
    for end in [ProcessEnd::Kill, ProcessEnd::PowerFailure] {
        for at in 1.. {
            let disk = MemoryFileSystem::default();
            disk.kill_at_call(at);
            let mut log = open(&disk, PreviousLog::Readable);
            let mut acknowledged = String::new();
            for round in 0..2 {
                let whole_log = format!("{acknowledged}r{round},");
                if log.replace(whole_log.as_bytes()).is_ok() {
                    acknowledged = whole_log;
                }
                for index in 0..2 {
                    let record = format!("a{round}{index},");
                    if log.append(record.as_bytes()).is_ok() {
                        acknowledged += &record;
                    }
                }
            }
            let was_killed = disk.call_count() >= at;
            disk.restart(end);
            let stored = contents(&disk, LOG).unwrap_or_default();
            assert!(
                stored.starts_with(&acknowledged),
                "{end:?} at call {at}: acknowledged {acknowledged}, stored {stored}"
            );
            // After a restart the tail of the log may be torn, so the first write must replace it.
            let mut next = open(&disk, PreviousLog::Readable);
            next.append(b"x").expect_err("the log was not replaced");
            next.replace(b"new,").expect("replace the log");
            assert_eq!(contents(&disk, LOG).as_deref(), Some("new,"));
            if !was_killed {
                assert!(at > 20, "kills at only {at} calls were tested");
                break;
            }
        }
    }
}

#[test]
fn replace_unreadable_previous_log_preserves_it() {
    let disk = MemoryFileSystem::default();
    disk.add_durable_file(Path::new(LOG), b"intact,");
    let mut log = open(&disk, PreviousLog::Unreadable);
    disk.fail_calls(Call::Rename, libc::EIO);
    log.replace(b"new,").expect_err("renaming the previous log fails");
    assert_eq!(contents(&disk, LOG).as_deref(), Some("intact,"));
    disk.clear_fault();
    log.replace(b"new,").expect("replace the log");
    log.replace(b"newer,").expect("replace the log");
    disk.restart(ProcessEnd::PowerFailure);
    assert_eq!(contents(&disk, LOG).as_deref(), Some("newer,"));
    assert_eq!(
        contents(&disk, "/state/shared.unread").as_deref(),
        Some("intact,")
    );
}
