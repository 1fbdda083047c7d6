//! A kept copy: whatever befell its bytes is told, and what stands whole before that is used; a disk that fails costs
//! durability and nothing else.

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

fn copy(name: &str) -> (Vec<u8>, Vec<usize>) {
    let (mut bytes, mut writer) = SnapshotEncoder::begin("f", name, 42);
    let mut ends = vec![bytes.len()];
    for (n, record) in records().iter().enumerate() {
        writer.append(&mut bytes, record, NOW + TimeSpan(n as u64));
        ends.push(bytes.len());
    }
    (bytes, ends)
}

#[test]
fn read_of_sound_snapshot_returns_all_records() {
    let (bytes, _) = copy("d1");
    let read = read(&bytes, "f", "d1");
    assert_eq!((read.error, read.incarnation), (None, 42));
    let stored: Vec<Record> = read.records.iter().map(|r| r.record.clone()).collect();
    assert_eq!(stored, records());
    assert_eq!(read.records[3].observed_at, NOW + TimeSpan(3));
}

#[test]
fn read_of_truncated_snapshot_returns_records_before_the_cut() {
    let (bytes, ends) = copy("d1");
    for cut in 0..bytes.len() {
        let read = read(&bytes[..cut], "f", "d1");
        let whole = ends.iter().filter(|e| **e <= cut).count().saturating_sub(1);
        assert_eq!(read.records.len(), whole, "{cut}");
        let fault = read.error;
        match cut {
            0 => assert_eq!(fault, Some(SnapshotError::Empty)),
            _ if cut < ends[0] => assert_eq!(fault, Some(SnapshotError::MissingHeader), "{cut}"),
            _ if ends.contains(&cut) => assert_eq!(fault, None, "{cut}"),
            _ => assert_eq!(fault, Some(SnapshotError::Truncated { at: ends[whole] }), "{cut}"),
        }
    }
}

#[test]
fn read_with_any_bit_flipped_returns_at_most_the_records_before() {
    let (bytes, ends) = copy("d1");
    for at in 0..bytes.len() {
        for bit in [0, 7] {
            let mut bytes = bytes.clone();
            bytes[at] ^= 1 << bit;
            let read = read(&bytes, "f", "d1");
            assert!(read.error.is_some(), "{at}");
            let whole = ends.iter().filter(|e| **e <= at).count().saturating_sub(1);
            assert!(read.records.len() <= whole, "{at}: {}", read.records.len());
            assert_eq!(
                read.records[..],
                records()
                    .into_iter()
                    .zip(0..)
                    .take(read.records.len())
                    .map(|(record, n)| ObservedRecord {
                        record,
                        observed_at: NOW + TimeSpan(n),
                    })
                    .collect::<Vec<_>>()[..]
            );
        }
    }
}

#[test]
fn read_of_each_damage_returns_its_own_error() {
    let (bytes, ends) = copy("d1");
    let with = |change: &dyn Fn(&mut Vec<u8>)| {
        let mut bytes = bytes.clone();
        change(&mut bytes);
        bytes
    };
    let (other, _) = copy("d2");
    #[rustfmt::skip]
    let table = [
        ("another driver's", other.clone(), SnapshotError::OtherDriver("d2".into()), 0),
        ("not a copy", b"hello, this is no copy at all".to_vec(), SnapshotError::MissingHeader, 0),
        ("a later version", with(&|b| b[9] = 9), SnapshotError::UnsupportedVersion(9), 0),
        ("the tail is zeros: the size was written, the bytes not", with(&|b| b[ends[10]..].fill(0)), SnapshotError::Truncated { at: ends[10] }, 10),
        ("two records change places", with(&|b| { let (x, y, z) = (ends[4], ends[5], ends[6]); let moved = [&b[y..z], &b[x..y]].concat(); b[x..z].copy_from_slice(&moved); }), SnapshotError::Corrupted { at: ends[4] }, 4),
        ("the tail of another copy", with(&|b| { b.truncate(ends[6]); b.extend(&other[ends[6]..]); }), SnapshotError::Corrupted { at: ends[6] }, 6),
        ("a length beyond all bounds", with(&|b| b[ends[2]] = 0xff), SnapshotError::Corrupted { at: ends[2] }, 2),
    ];
    let mut lines = Vec::new();
    for (name, bytes, fault, used) in table {
        let read = read(&bytes, "f", "d1");
        assert_eq!(
            (read.error.clone(), read.records.len()),
            (Some(fault), used),
            "{name}"
        );
        let line = read.error.expect("has one").to_string();
        assert!(!line.contains('\n') && line.contains("used"), "{line}");
        lines.push(line);
    }
    assert_eq!(read(&bytes, "g", "d1").error, Some(SnapshotError::OtherFleet));
}

#[test]
fn schedule_with_failing_disk_backs_off_and_then_rewrites() {
    let every = TimeSpan::millis(1000);
    let mut keeper = SnapshotSchedule::new(NOW, every);
    assert_eq!(
        keeper.next_request(NOW),
        Some(WriteRequest::Rewrite),
        "nobody knows what lies there"
    );
    assert_eq!(keeper.next_request(NOW + every), None, "one at a time");
    assert_eq!(keeper.on_written(NOW, WriteRequest::Rewrite, 10, SUCCESS), None);
    assert_eq!(keeper.next_at(), Timestamp(u64::MAX), "nothing has changed");
    keeper.mark_changed();
    assert_eq!(keeper.next_request(NOW + TimeSpan(1)), None, "in groups");
    assert_eq!(keeper.next_request(NOW + every), Some(WriteRequest::Append));
    let full = || Err("no space left on device".to_owned());
    let told = keeper.on_written(NOW + every, WriteRequest::Append, 0, full());
    assert_eq!(
        told,
        Some(WriteStatusChange::Failing("no space left on device".to_owned()))
    );
    let (mut at, mut tries) = (keeper.next_at(), 0);
    while at < NOW + TimeSpan::millis(120_000) {
        assert_eq!(
            keeper.next_request(at),
            Some(WriteRequest::Rewrite),
            "part of it may lie there"
        );
        assert_eq!(
            keeper.on_written(at, WriteRequest::Rewrite, 0, full()),
            None,
            "told once"
        );
        (at, tries) = (keeper.next_at(), tries + 1);
    }
    assert!((5..12).contains(&tries), "{tries}");
    assert_eq!(keeper.next_request(at), Some(WriteRequest::Rewrite));
    assert_eq!(
        keeper.on_written(at, WriteRequest::Rewrite, 10, SUCCESS),
        Some(WriteStatusChange::Recovered)
    );
    assert!(!keeper.is_failing());
    // What is appended stays in a proportion to the copy.
    let wishes = (0..6000).map(|_| {
        keeper.mark_changed();
        at = at + every;
        let wish = keeper.next_request(at).expect("is due");
        keeper.on_written(at, wish, 1, SUCCESS);
        wish
    });
    assert_eq!(wishes.filter(|w| *w == WriteRequest::Rewrite).count(), 1);
}
