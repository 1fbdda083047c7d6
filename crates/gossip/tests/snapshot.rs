//! Reading of sound and damaged snapshots, and the schedule of writes to a failing disk.

mod common;
use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_gossip::record::{ListedState, ObservedRecord, Record};
use asterlatch_gossip::snapshot::{
    read, SnapshotEncoder, SnapshotError, SnapshotSchedule, WriteRequest, WriteStatusChange,
};
use common::{drain, member, session};

const SUCCESS: Result<(), String> = Ok(());
const NOW: Timestamp = Timestamp(5_000_000_000);

fn records() -> Vec<Record> {
    let mut all: Vec<Record> = (0..20).map(|n| member(&format!("m{n}"), n * 10, 0, 5)).collect();
    all.extend([drain("m3", 9, ListedState::Draining), session(77, 900)]);
    all
}

/// A snapshot and the end offset of each of its frames.
fn snapshot_with_frame_ends(name: &str) -> (Vec<u8>, Vec<usize>) {
    let (mut bytes, mut encoder) = SnapshotEncoder::begin("f", name, 42);
    let mut ends = vec![bytes.len()];
    for (index, record) in records().iter().enumerate() {
        encoder.append(&mut bytes, record, NOW + TimeSpan(index as u64));
        ends.push(bytes.len());
    }
    (bytes, ends)
}

#[test]
fn read_of_sound_snapshot_returns_all_records() {
    let (bytes, _) = snapshot_with_frame_ends("d1");
    let contents = read(&bytes, "f", "d1");
    assert_eq!((contents.error, contents.incarnation), (None, 42));
    let stored: Vec<Record> = contents.records.iter().map(|r| r.record.clone()).collect();
    assert_eq!(stored, records());
    assert_eq!(contents.records[3].observed_at, NOW + TimeSpan(3));
}

#[test]
fn read_of_truncated_snapshot_returns_records_before_the_cut() {
    let (bytes, ends) = snapshot_with_frame_ends("d1");
    for cut in 0..bytes.len() {
        let contents = read(&bytes[..cut], "f", "d1");
        let complete = ends.iter().filter(|e| **e <= cut).count().saturating_sub(1);
        assert_eq!(contents.records.len(), complete, "{cut}");
        let error = contents.error;
        match cut {
            0 => assert_eq!(error, Some(SnapshotError::Empty)),
            _ if cut < ends[0] => assert_eq!(error, Some(SnapshotError::MissingHeader), "{cut}"),
            _ if ends.contains(&cut) => assert_eq!(error, None, "{cut}"),
            _ => assert_eq!(
                error,
                Some(SnapshotError::Truncated { at: ends[complete] }),
                "{cut}"
            ),
        }
    }
}

#[test]
fn read_with_flipped_bit_returns_at_most_the_records_before() {
    let (bytes, ends) = snapshot_with_frame_ends("d1");
    for at in 0..bytes.len() {
        for bit in [0, 7] {
            let mut bytes = bytes.clone();
            bytes[at] ^= 1 << bit;
            let contents = read(&bytes, "f", "d1");
            assert!(contents.error.is_some(), "{at}");
            let complete = ends.iter().filter(|e| **e <= at).count().saturating_sub(1);
            assert!(
                contents.records.len() <= complete,
                "{at}: {}",
                contents.records.len()
            );
            assert_eq!(
                contents.records[..],
                records()
                    .into_iter()
                    .zip(0..)
                    .take(contents.records.len())
                    .map(|(record, index)| ObservedRecord {
                        record,
                        observed_at: NOW + TimeSpan(index),
                    })
                    .collect::<Vec<_>>()[..]
            );
        }
    }
}

#[test]
fn read_of_damaged_or_foreign_snapshot_returns_a_distinct_error() {
    let (bytes, ends) = snapshot_with_frame_ends("d1");
    let with = |change: &dyn Fn(&mut Vec<u8>)| {
        let mut bytes = bytes.clone();
        change(&mut bytes);
        bytes
    };
    let (other, _) = snapshot_with_frame_ends("d2");
    #[rustfmt::skip]
    let table = [
        ("other driver", other.clone(), SnapshotError::OtherDriver("d2".into()), 0),
        ("not a snapshot", b"hello, this is no snapshot at all".to_vec(), SnapshotError::MissingHeader, 0),
        ("later version", with(&|b| b[9] = 9), SnapshotError::UnsupportedVersion(9), 0),
        ("zeros at the end: the size was written, the content was not",
            with(&|b| b[ends[10]..].fill(0)), SnapshotError::Truncated { at: ends[10] }, 10),
        ("two records exchanged", with(&|bytes| {
            let (start, middle, end) = (ends[4], ends[5], ends[6]);
            let exchanged = [&bytes[middle..end], &bytes[start..middle]].concat();
            bytes[start..end].copy_from_slice(&exchanged);
        }), SnapshotError::Corrupted { at: ends[4] }, 4),
        ("rest of another snapshot", with(&|bytes| {
            bytes.truncate(ends[6]);
            bytes.extend(&other[ends[6]..]);
        }), SnapshotError::Corrupted { at: ends[6] }, 6),
        ("excessive length", with(&|b| b[ends[2]] = 0xff), SnapshotError::Corrupted { at: ends[2] }, 2),
    ];
    let mut lines = Vec::new();
    for (name, bytes, error, record_count) in table {
        let contents = read(&bytes, "f", "d1");
        assert_eq!(
            (contents.error.clone(), contents.records.len()),
            (Some(error), record_count),
            "{name}"
        );
        let line = contents.error.expect("the snapshot has an error").to_string();
        assert!(!line.contains('\n') && line.contains("used"), "{line}");
        lines.push(line);
    }
    assert_eq!(read(&bytes, "g", "d1").error, Some(SnapshotError::OtherFleet));
}

#[test]
fn schedule_with_failing_disk_backs_off_and_then_rewrites() {
    let interval = TimeSpan::millis(1000);
    let mut schedule = SnapshotSchedule::new(NOW, interval);
    assert_eq!(
        schedule.next_request(NOW),
        Some(WriteRequest::Rewrite),
        "the content of the file is unknown"
    );
    assert_eq!(schedule.next_request(NOW + interval), None, "one write at a time");
    assert_eq!(schedule.on_written(NOW, WriteRequest::Rewrite, 10, SUCCESS), None);
    assert_eq!(schedule.next_at(), Timestamp(u64::MAX), "nothing to write");
    schedule.mark_changed();
    assert_eq!(
        schedule.next_request(NOW + TimeSpan(1)),
        None,
        "changes are written in batches"
    );
    assert_eq!(schedule.next_request(NOW + interval), Some(WriteRequest::Append));
    let disk_full = || Err("no space left on device".to_owned());
    let change = schedule.on_written(NOW + interval, WriteRequest::Append, 0, disk_full());
    assert_eq!(
        change,
        Some(WriteStatusChange::Failing("no space left on device".to_owned()))
    );
    let (mut at, mut attempts) = (schedule.next_at(), 0);
    while at < NOW + TimeSpan::millis(120_000) {
        assert_eq!(
            schedule.next_request(at),
            Some(WriteRequest::Rewrite),
            "the file may contain part of the failed write"
        );
        assert_eq!(
            schedule.on_written(at, WriteRequest::Rewrite, 0, disk_full()),
            None,
            "the failure is reported once"
        );
        (at, attempts) = (schedule.next_at(), attempts + 1);
    }
    assert!((5..12).contains(&attempts), "{attempts}");
    assert_eq!(schedule.next_request(at), Some(WriteRequest::Rewrite));
    assert_eq!(
        schedule.on_written(at, WriteRequest::Rewrite, 10, SUCCESS),
        Some(WriteStatusChange::Recovered)
    );
    assert!(!schedule.is_failing());
    // Appended records are limited in proportion to the complete snapshot.
    let requests = (0..6000).map(|_| {
        schedule.mark_changed();
        at = at + interval;
        let request = schedule.next_request(at).expect("a write is due");
        schedule.on_written(at, request, 1, SUCCESS);
        request
    });
    assert_eq!(requests.filter(|w| *w == WriteRequest::Rewrite).count(), 1);
}
