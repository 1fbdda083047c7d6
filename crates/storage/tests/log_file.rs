//! The log on a disk that fails: what counts as kept is there after a power failure, and a torn tail is never continued.

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

fn open(disk: &MemoryFileSystem, former: PreviousLog) -> LogFile<MemoryFileSystem> {
    LogFile::new(disk.clone(), Path::new(FOLDER), NAMES, former)
}

fn bytes(disk: &MemoryFileSystem, path: &str) -> Option<String> {
    let bytes = disk.contents(Path::new(path))?;
    Some(String::from_utf8(bytes).expect("is text"))
}

#[test]
fn append_after_any_failed_append_is_refused_until_the_log_is_replaced() {
    for call in [Call::Write, Call::Sync, Call::Inspect] {
        for errno in [libc::ENOSPC, libc::EIO] {
            let disk = MemoryFileSystem::default();
            let mut log = open(&disk, PreviousLog::Readable);
            log.replace(b"one,").expect("is replaced");
            disk.fail_calls(call, errno);
            log.append(b"two,").expect_err("the disk fails");
            disk.clear_fault();
            // The disk works again, and a sync of this file would succeed: it proves nothing.
            log.append(b"three,").expect_err("the tail may be torn");
            log.replace(b"one,two,three,").expect("is replaced");
            log.append(b"four,").expect("is appended");
            disk.restart(ProcessEnd::PowerFailure);
            assert_eq!(
                bytes(&disk, LOG).as_deref(),
                Some("one,two,three,four,"),
                "{call:?}"
            );
        }
    }
}

#[test]
fn failed_replacement_is_written_again_into_a_new_file() {
    for call in ALL_CALLS {
        for errno in [libc::ENOSPC, libc::EIO] {
            let disk = MemoryFileSystem::default();
            let mut log = open(&disk, PreviousLog::Readable);
            log.replace(b"former,").expect("is replaced");
            disk.fail_calls(call, errno);
            let first = log.replace(b"first,");
            disk.clear_fault();
            if first.is_err() {
                log.append(b"tail,").expect_err("not known what the log holds");
                let kept = bytes(&disk, LOG).expect("is there");
                assert!(["former,", "first,"].contains(&kept.as_str()), "{call:?}: {kept}");
                log.replace(b"second,").expect("is replaced");
            }
            log.append(b"tail,").expect("is appended");
            disk.restart(ProcessEnd::PowerFailure);
            let expected = if first.is_ok() {
                "first,tail,"
            } else {
                "second,tail,"
            };
            assert_eq!(bytes(&disk, LOG).as_deref(), Some(expected), "{call:?} {errno}");
        }
    }
}

#[test]
fn kill_or_power_failure_at_any_call_keeps_what_was_told_kept() {
    for end in [ProcessEnd::Kill, ProcessEnd::PowerFailure] {
        for at in 1.. {
            let disk = MemoryFileSystem::default();
            disk.kill_at_call(at);
            let mut log = open(&disk, PreviousLog::Readable);
            let mut told = String::new();
            for round in 0..2 {
                let all = format!("{told}r{round},");
                if log.replace(all.as_bytes()).is_ok() {
                    told = all;
                }
                for n in 0..2 {
                    let record = format!("a{round}{n},");
                    if log.append(record.as_bytes()).is_ok() {
                        told += &record;
                    }
                }
            }
            let was_killed = disk.call_count() >= at;
            disk.restart(end);
            let found = bytes(&disk, LOG).unwrap_or_default();
            assert!(
                found.starts_with(&told),
                "{end:?} at {at}: told {told}, found {found}"
            );
            // The next start knows nothing of this file's tail, and begins with a replacement.
            let mut next = open(&disk, PreviousLog::Readable);
            next.append(b"x").expect_err("the tail may be torn");
            next.replace(b"new,").expect("is replaced");
            assert_eq!(bytes(&disk, LOG).as_deref(), Some("new,"));
            if !was_killed {
                assert!(at > 20, "only {at} calls were tried");
                break;
            }
        }
    }
}

#[test]
fn log_that_could_not_be_read_is_put_aside_and_not_replaced() {
    let disk = MemoryFileSystem::default();
    disk.add_durable_file(Path::new(LOG), b"sound,");
    let mut log = open(&disk, PreviousLog::Unreadable);
    disk.fail_calls(Call::Rename, libc::EIO);
    log.replace(b"new,").expect_err("it can't be put aside");
    assert_eq!(bytes(&disk, LOG).as_deref(), Some("sound,"));
    disk.clear_fault();
    log.replace(b"new,").expect("is replaced");
    log.replace(b"newer,").expect("is replaced");
    disk.restart(ProcessEnd::PowerFailure);
    assert_eq!(bytes(&disk, LOG).as_deref(), Some("newer,"));
    assert_eq!(bytes(&disk, "/state/shared.unread").as_deref(), Some("sound,"));
}
