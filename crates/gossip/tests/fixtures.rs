//! Stored and sent bytes against fixtures that were written before names were changed: each file must still be read as
//! the values that it was written from, and writing those values again must give the same bytes.
//!
//! `cargo test -p asterlatch-gossip --test fixtures -- --ignored write_fixtures` writes the files anew. That is right
//! only together with a new version number of the format.

mod common;
use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_coordination::lease::{Claim, End};
use asterlatch_gossip::codec::{decode_datagram, DatagramHeader, Dialect, InquiryId, Message, ShortHashes};
use asterlatch_gossip::in_doubt::DispatchStatus;
use asterlatch_gossip::node::NodeInput;
use asterlatch_gossip::record::{ListedState, LoadShare, ObservedRecord, Record, ALL_KINDS};
use asterlatch_gossip::snapshot::{read, read_owner, SnapshotEncoder, SnapshotError, SnapshotHeader};
use common::{drain, member, session, Link, Net};
use std::path::PathBuf;
use xxhash_rust::xxh3::xxh3_64;

const FLEET: &str = "fleet-a";
const DRIVER: &str = "d1";
const WALL: Timestamp = Timestamp(1_700_000_000_000_000);

fn path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(name)
}

fn fixture(name: &str) -> Vec<u8> {
    std::fs::read(path(name)).unwrap_or_else(|error| panic!("{name}: {error}"))
}

fn claim(said: u64, end: End) -> Claim {
    Claim {
        term: 3,
        holder: 0x0102_0304_0506_0708,
        life: 77,
        said,
        end,
    }
}

fn turn(subject: &str, claim: Claim) -> Record {
    let subject = subject.to_owned();
    Record::Lease { subject, claim }
}

fn driver(name: &str, caught_up: bool) -> Record {
    Record::Driver {
        name: name.to_owned(),
        incarnation: 1_700_000_000_123_456,
        sequence: 9,
        list_version: 12,
        operators_file: 0xfeed_beef,
        caught_up,
    }
}

/// Each kind and each variant of what kinds hold.
fn records() -> Vec<Record> {
    let (member_name, driver_name) = ("m2".to_owned(), "d2".to_owned());
    vec![
        member("m1", 123_456, 120_000, 0),
        drain("m1", 7, ListedState::Ready),
        drain("m2", 8, ListedState::Draining),
        drain("m3", 9, ListedState::Gone),
        Record::WarmUp {
            member: member_name.clone(),
            started_ms: 1_700_000_000_000,
            driver: driver_name.clone(),
            incarnation: 78,
            sequence: 4,
            work_us: 2_500_000,
            carried_us: 350_000,
        },
        session(0x7766_5544_3322_1100, 98_765),
        driver("d2", true),
        driver("d3", false),
        turn("probe m1", claim(1, End::Holds)),
        turn("probe m2", claim(2, End::Vain)),
        turn("list", claim(3, End::Done)),
        Record::Unanswered {
            member: member_name,
            driver: driver_name.clone(),
            incarnation: 78,
            sequence: 300,
            outstanding_us: 250_000,
        },
        Record::Load {
            driver: driver_name,
            incarnation: 78,
            sequence: 5,
            shares: vec![
                LoadShare {
                    member: 0x1122_3344_5566_7788,
                    admitted: 200,
                    answers: 17,
                },
                LoadShare {
                    member: 9,
                    admitted: 0,
                    answers: 255,
                },
            ],
        },
    ]
}

fn snapshot() -> Vec<u8> {
    let (mut bytes, mut writer) = SnapshotEncoder::begin(FLEET, DRIVER, 1_700_000_000_000_042);
    for (n, record) in records().iter().enumerate() {
        writer.append(&mut bytes, record, WALL + TimeSpan(n as u64));
    }
    bytes
}

/// Bytes of the damaged copy from here on: the sixth record's record.
fn sixth_record() -> usize {
    let (mut bytes, mut writer) = SnapshotEncoder::begin(FLEET, DRIVER, 1_700_000_000_000_042);
    for (n, record) in records().iter().take(5).enumerate() {
        writer.append(&mut bytes, record, WALL + TimeSpan(n as u64));
    }
    bytes.len()
}

fn torn() -> Vec<u8> {
    snapshot()[..sixth_record() + 20].to_vec()
}

fn flipped() -> Vec<u8> {
    let mut bytes = snapshot();
    bytes[sixth_record() + 14] ^= 0x10;
    bytes
}

fn with_times(records: Vec<Record>) -> Vec<ObservedRecord> {
    let times = (0..).map(|n| WALL + TimeSpan(n));
    let observed = |(record, observed_at)| ObservedRecord { record, observed_at };
    records.into_iter().zip(times).map(observed).collect()
}

fn head() -> DatagramHeader {
    DatagramHeader {
        name: DRIVER.to_owned(),
        incarnation: 1_700_000_000_000_042,
        sent: Timestamp(987_654_321),
        known_incarnation: 1_699_999_999_999_999,
        caught_up: true,
    }
}

/// Each kind of item, by the name of its file.
fn items() -> Vec<(&'static str, Vec<Message>)> {
    let inquiry = InquiryId {
        id: 0xdead_beef_0123_4567,
        sequence: 6,
    };
    let sent = DispatchStatus::Dispatched {
        age: TimeSpan::millis(1500),
        member: "m1".to_owned(),
    };
    let reply = |status| Message::InquiryReply { inquiry, status };
    let aged = |(n, record): (usize, Record)| Message::Record {
        record,
        age: TimeSpan(n as u64 * 100_000),
    };
    vec![
        ("presence", vec![Message::Membership((0..=255).collect())]),
        ("records", records().into_iter().enumerate().map(aged).collect()),
        (
            "digest",
            vec![Message::Digest {
                round: 11,
                digests: (0..64).map(|n| xxh3_64(&[n])).collect(),
            }],
        ),
        (
            "keys",
            vec![Message::RangeHashes {
                round: 11,
                range: 63,
                lowest: 0xfc00_0000_0000_0000,
                highest: u64::MAX,
                entries: vec![
                    ShortHashes { key: 1, content: 2 },
                    ShortHashes {
                        key: u32::MAX,
                        content: 0,
                    },
                    ShortHashes {
                        key: 77,
                        content: 1 << 20,
                    },
                ],
            }],
        ),
        (
            "want",
            vec![Message::RangeRequest {
                round: 12,
                range: 5,
                keys: vec![4, 5, u32::MAX],
            }],
        ),
        (
            "done",
            vec![
                Message::RoundComplete {
                    round: 12,
                    parts: Some(3),
                },
                Message::RoundComplete {
                    round: 13,
                    parts: None,
                },
            ],
        ),
        ("ask", vec![Message::Inquiry(inquiry)]),
        (
            "answers",
            vec![
                reply(DispatchStatus::NotExecuted),
                reply(sent),
                reply(DispatchStatus::Unknown),
            ],
        ),
    ]
}

const DIALECTS: [(&str, Dialect); 2] = [("own", Dialect::Current), ("later", Dialect::Later)];

fn datagram(dialect: Dialect, items: &[Message]) -> Vec<u8> {
    let items: Vec<Vec<u8>> = items.iter().map(Message::encode).collect();
    dialect.encode(FLEET, &head(), &items)
}

/// NodeIdentity sent how long a datagram to whom and its hash, over links that lose and delay: messages of the membership
/// library, retransmits, comparisons of copies, a inquiry, a restart and a driver that leaves, by fixed seeds in virtual time.
fn transcript() -> Vec<u8> {
    let mut net = Net::new(4, 38);
    net.link = Link {
        lost: 50,
        doubled: 20,
        ..Link::default()
    };
    net.record = Some(Vec::new());
    net.run(TimeSpan::millis(1500));
    for (n, record) in records().into_iter().enumerate() {
        net.observe(n % 3, record);
        net.run(TimeSpan::millis(70));
    }
    for id in 0..400 {
        net.observe(1, session(id + 1, id * 3));
    }
    net.cut.extend([(0, 2), (2, 0)]);
    net.run(TimeSpan::millis(4000));
    net.give(0, NodeInput::StartInquiry(InquiryId { id: 5, sequence: 1 }));
    net.cut.clear();
    net.restart(3, 60_000_000, 101);
    net.run(TimeSpan::millis(4000));
    net.give(1, NodeInput::ListVersion(4));
    net.give(2, NodeInput::Leave);
    // A driver that has left is not driven any more: its `next_at` stays in the past, so `Net::run` would never return.
    net.drivers[2].is_up = false;
    net.run(TimeSpan::millis(1000));
    net.record.take().unwrap_or_default()
}

#[test]
#[ignore = "writes the fixtures anew"]
fn write_fixtures() {
    let write = |name: &str, bytes: &[u8]| std::fs::write(path(name), bytes).expect("fixture is writable");
    std::fs::create_dir_all(path("")).expect("folder can be made");
    write("snapshot-sound.bin", &snapshot());
    write("snapshot-torn.bin", &torn());
    write("snapshot-flipped.bin", &flipped());
    for (suffix, dialect) in DIALECTS {
        for (name, items) in items() {
            write(
                &format!("datagram-{name}-{suffix}.bin"),
                &datagram(dialect, &items),
            );
        }
    }
    write("transcript.bin", &transcript());
}

#[test]
fn fixtures_contain_every_record_kind() {
    let held: Vec<_> = records().iter().map(Record::kind).collect();
    assert!(ALL_KINDS.iter().all(|kind| held.contains(kind)));
}

#[test]
fn read_of_sound_snapshot_fixture_round_trips() {
    let bytes = fixture("snapshot-sound.bin");
    let copy = read(&bytes, FLEET, DRIVER);
    assert_eq!((copy.error, copy.incarnation), (None, 1_700_000_000_000_042));
    assert_eq!(copy.records, with_times(records()));
    let owner = SnapshotHeader {
        fleet: FLEET.to_owned(),
        name: DRIVER.to_owned(),
        incarnation: 1_700_000_000_000_042,
    };
    assert_eq!(read_owner(&bytes), Some(owner));
    assert_eq!(snapshot(), bytes);
}

#[test]
fn read_of_snapshot_fixture_for_other_fleet_or_driver_is_rejected() {
    let bytes = fixture("snapshot-sound.bin");
    let foreign = read(&bytes, FLEET, "d2");
    assert_eq!(foreign.error, Some(SnapshotError::OtherDriver(DRIVER.to_owned())));
    assert!(foreign.records.is_empty());
    let other_fleet = read(&bytes, "fleet-b", DRIVER);
    assert_eq!(other_fleet.error, Some(SnapshotError::OtherFleet));
    assert!(other_fleet.records.is_empty());
}

#[test]
fn read_of_damaged_snapshot_fixtures_stops_at_the_damage() {
    let at = sixth_record();
    for (name, written, fault) in [
        ("snapshot-torn.bin", torn(), SnapshotError::Truncated { at }),
        ("snapshot-flipped.bin", flipped(), SnapshotError::Corrupted { at }),
    ] {
        let bytes = fixture(name);
        let copy = read(&bytes, FLEET, DRIVER);
        assert_eq!(copy.error, Some(fault), "{name}");
        assert_eq!(
            copy.records,
            with_times(records().into_iter().take(5).collect()),
            "{name}"
        );
        assert_eq!(written, bytes, "{name}");
    }
}

#[test]
fn decode_of_datagram_fixtures_round_trips_in_both_dialects() {
    for (suffix, dialect) in DIALECTS {
        for (name, items) in items() {
            let bytes = fixture(&format!("datagram-{name}-{suffix}.bin"));
            let datagram_read = decode_datagram(FLEET, &bytes).expect("is understood");
            assert_eq!(datagram_read.header, head(), "{name} {suffix}");
            assert_eq!(datagram_read.messages, items, "{name} {suffix}");
            assert_eq!(datagram(dialect, &items), bytes, "{name} {suffix}");
        }
    }
}

#[test]
fn conversation_of_four_drivers_sends_the_recorded_bytes() {
    let before = fixture("transcript.bin");
    let now = transcript();
    let differs = before.chunks(20).zip(now.chunks(20)).position(|(a, b)| a != b);
    assert_eq!(differs, None, "first datagram that differs");
    assert_eq!(now.len(), before.len());
}
