//! Stored and sent bytes against fixtures that were written before names were changed: each file must still be read as
//! the values that it was written from, and writing those values again must give the same bytes.
//!
//! `cargo test -p asterlatch-gossip --test fixtures -- --ignored write_fixtures` writes the files anew. That is right
//! only together with a new version number of the format.

mod common;
use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_coordination::lease::{Lease, LeaseState};
use asterlatch_gossip::codec::{decode_datagram, DatagramHeader, Dialect, InquiryId, Message, ShortHashes};
use asterlatch_gossip::in_doubt::DispatchStatus;
use asterlatch_gossip::node::NodeInput;
use asterlatch_gossip::record::{ListedState, LoadShare, ObservedRecord, Record, ALL_KINDS};
use asterlatch_gossip::snapshot::{read, read_owner, SnapshotEncoder, SnapshotError, SnapshotHeader};
use common::{drain, member, session, Link, Network};
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

fn lease(subject: &str, renewals: u64, state: LeaseState) -> Record {
    let lease = Lease {
        term: 3,
        holder: 0x0102_0304_0506_0708,
        incarnation: 77,
        renewals,
        state,
    };
    let subject = subject.to_owned();
    Record::Lease { subject, lease }
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

/// Every kind of record, with every variant of its fields.
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
            carried_microcores: 350_000,
        },
        session(0x7766_5544_3322_1100, 98_765),
        driver("d2", true),
        driver("d3", false),
        lease("probe m1", 1, LeaseState::Held),
        lease("probe m2", 2, LeaseState::Abandoned),
        lease("list", 3, LeaseState::Completed),
        Record::DelayedExecution {
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

/// Where the damage begins: the frame of the sixth record.
fn sixth_record() -> usize {
    let (mut bytes, mut writer) = SnapshotEncoder::begin(FLEET, DRIVER, 1_700_000_000_000_042);
    for (n, record) in records().iter().take(5).enumerate() {
        writer.append(&mut bytes, record, WALL + TimeSpan(n as u64));
    }
    bytes.len()
}

fn truncated() -> Vec<u8> {
    snapshot()[..sixth_record() + 20].to_vec()
}

fn corrupted() -> Vec<u8> {
    let mut bytes = snapshot();
    bytes[sixth_record() + 14] ^= 0x10;
    bytes
}

fn with_times(records: Vec<Record>) -> Vec<ObservedRecord> {
    let times = (0..).map(|n| WALL + TimeSpan(n));
    let observed = |(record, observed_at)| ObservedRecord { record, observed_at };
    records.into_iter().zip(times).map(observed).collect()
}

fn header() -> DatagramHeader {
    DatagramHeader {
        name: DRIVER.to_owned(),
        incarnation: 1_700_000_000_000_042,
        sent: Timestamp(987_654_321),
        known_incarnation: 1_699_999_999_999_999,
        caught_up: true,
    }
}

/// A datagram's messages and the name of its file.
struct MessageCase {
    name: &'static str,
    messages: Vec<Message>,
}

fn case(name: &'static str, messages: Vec<Message>) -> MessageCase {
    MessageCase { name, messages }
}

/// Every kind of message.
fn message_cases() -> Vec<MessageCase> {
    let aged = |(n, record): (usize, Record)| Message::Record {
        record,
        age: TimeSpan(n as u64 * 100_000),
    };
    vec![
        case("membership", vec![Message::Membership((0..=255).collect())]),
        case("records", records().into_iter().enumerate().map(aged).collect()),
        case("digest", vec![digest()]),
        case("range-hashes", vec![range_hashes()]),
        case("range-request", vec![range_request()]),
        case("round-complete", round_complete()),
        case("inquiry", vec![Message::Inquiry(INQUIRY)]),
        case("inquiry-replies", inquiry_replies()),
    ]
}

const INQUIRY: InquiryId = InquiryId {
    id: 0xdead_beef_0123_4567,
    sequence: 6,
};

fn digest() -> Message {
    Message::Digest {
        round: 11,
        digests: (0..64).map(|n| xxh3_64(&[n])).collect(),
    }
}

fn range_hashes() -> Message {
    let entries = [(1, 2), (u32::MAX, 0), (77, 1 << 20)];
    let entries = entries.map(|(key, content)| ShortHashes { key, content });
    Message::RangeHashes {
        round: 11,
        range: 63,
        lowest: 0xfc00_0000_0000_0000,
        highest: u64::MAX,
        entries: entries.to_vec(),
    }
}

fn range_request() -> Message {
    Message::RangeRequest {
        round: 12,
        range: 5,
        keys: vec![4, 5, u32::MAX],
    }
}

fn round_complete() -> Vec<Message> {
    let of_hashes = Message::RoundComplete {
        round: 12,
        parts: Some(3),
    };
    let of_request = Message::RoundComplete {
        round: 13,
        parts: None,
    };
    vec![of_hashes, of_request]
}

fn inquiry_replies() -> Vec<Message> {
    let dispatched = DispatchStatus::Dispatched {
        age: TimeSpan::millis(1500),
        member: "m1".to_owned(),
    };
    [DispatchStatus::NotExecuted, dispatched, DispatchStatus::Unknown]
        .map(|status| Message::InquiryReply {
            inquiry: INQUIRY,
            status,
        })
        .to_vec()
}

const DIALECTS: [(&str, Dialect); 2] = [("current", Dialect::Current), ("later", Dialect::Later)];

fn datagram(dialect: Dialect, messages: &[Message]) -> Vec<u8> {
    let messages: Vec<Vec<u8>> = messages.iter().map(Message::encode).collect();
    dialect.encode(FLEET, &header(), &messages)
}

/// Sender, receiver, length and hash of each datagram over links that lose and delay: membership, retransmits,
/// anti-entropy, an inquiry, a restart and a driver that leaves, by fixed seeds in virtual time.
fn transcript() -> Vec<u8> {
    let mut network = Network::new(4, 38);
    network.link = Link {
        loss_permille: 50,
        duplicate_permille: 20,
        ..Link::default()
    };
    network.transcript = Some(Vec::new());
    network.run(TimeSpan::millis(1500));
    for (n, record) in records().into_iter().enumerate() {
        network.observe(n % 3, record);
        network.run(TimeSpan::millis(70));
    }
    for id in 0..400 {
        network.observe(1, session(id + 1, id * 3));
    }
    network.cut.extend([(0, 2), (2, 0)]);
    network.run(TimeSpan::millis(4000));
    network.input(0, NodeInput::StartInquiry(InquiryId { id: 5, sequence: 1 }));
    network.cut.clear();
    network.restart(3, 60_000_000, 101);
    network.run(TimeSpan::millis(4000));
    network.input(1, NodeInput::ListVersion(4));
    network.input(2, NodeInput::Leave);
    // A driver that has left is not driven any more: its `next_at` stays in the past, so `Network::run` would never return.
    network.drivers[2].is_up = false;
    network.run(TimeSpan::millis(1000));
    network.transcript.take().unwrap_or_default()
}

#[test]
#[ignore = "writes the fixtures anew"]
fn write_fixtures() {
    let write = |name: &str, bytes: &[u8]| std::fs::write(path(name), bytes).expect("fixture is writable");
    std::fs::create_dir_all(path("")).expect("folder can be made");
    write("snapshot-sound.bin", &snapshot());
    write("snapshot-truncated.bin", &truncated());
    write("snapshot-corrupted.bin", &corrupted());
    for (suffix, dialect) in DIALECTS {
        for MessageCase { name, messages } in message_cases() {
            write(
                &format!("datagram-{name}-{suffix}.bin"),
                &datagram(dialect, &messages),
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
    let contents = read(&bytes, FLEET, DRIVER);
    assert_eq!(
        (contents.error, contents.incarnation),
        (None, 1_700_000_000_000_042)
    );
    assert_eq!(contents.records, with_times(records()));
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
    let other_driver = read(&bytes, FLEET, "d2");
    assert_eq!(
        other_driver.error,
        Some(SnapshotError::OtherDriver(DRIVER.to_owned()))
    );
    assert!(other_driver.records.is_empty());
    let other_fleet = read(&bytes, "fleet-b", DRIVER);
    assert_eq!(other_fleet.error, Some(SnapshotError::OtherFleet));
    assert!(other_fleet.records.is_empty());
}

#[test]
fn read_of_damaged_snapshot_fixtures_stops_at_the_damage() {
    let at = sixth_record();
    for (name, written, fault) in [
        (
            "snapshot-truncated.bin",
            truncated(),
            SnapshotError::Truncated { at },
        ),
        (
            "snapshot-corrupted.bin",
            corrupted(),
            SnapshotError::Corrupted { at },
        ),
    ] {
        let bytes = fixture(name);
        let contents = read(&bytes, FLEET, DRIVER);
        assert_eq!(contents.error, Some(fault), "{name}");
        assert_eq!(
            contents.records,
            with_times(records().into_iter().take(5).collect()),
            "{name}"
        );
        assert_eq!(written, bytes, "{name}");
    }
}

#[test]
fn decode_of_datagram_fixtures_round_trips_in_both_dialects() {
    for (suffix, dialect) in DIALECTS {
        for MessageCase { name, messages } in message_cases() {
            let bytes = fixture(&format!("datagram-{name}-{suffix}.bin"));
            let datagram_read = decode_datagram(FLEET, &bytes).expect("is understood");
            assert_eq!(datagram_read.header, header(), "{name} {suffix}");
            assert_eq!(datagram_read.messages, messages, "{name} {suffix}");
            assert_eq!(datagram(dialect, &messages), bytes, "{name} {suffix}");
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
