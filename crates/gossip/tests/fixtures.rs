//! Stored and sent bytes against fixtures. Guards against accidental changes of the formats: each file must
//! decode to the values that it was written from, and encoding these values must give the same bytes.
//!
//! `cargo test -p asterlatch-gossip --test fixtures -- --ignored write_fixtures` rewrites the files, which is
//! correct only with a new version number of the format.

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
/// Wall clock time of the first record.
const WALL_TIME: Timestamp = Timestamp(1_700_000_000_000_000);

fn path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(name)
}

fn fixture(name: &str) -> Vec<u8> {
    std::fs::read(path(name)).unwrap_or_else(|error| panic!("cannot read fixture {name}: {error}"))
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

/// Records of every kind, with every variant of their fields.
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
    let (mut bytes, mut encoder) = SnapshotEncoder::begin(FLEET, DRIVER, 1_700_000_000_000_042);
    for (index, record) in records().iter().enumerate() {
        encoder.append(&mut bytes, record, WALL_TIME + TimeSpan(index as u64));
    }
    bytes
}

/// Offset of the frame of the sixth record, where the damage begins.
fn sixth_record_offset() -> usize {
    let (mut bytes, mut encoder) = SnapshotEncoder::begin(FLEET, DRIVER, 1_700_000_000_000_042);
    for (index, record) in records().iter().take(5).enumerate() {
        encoder.append(&mut bytes, record, WALL_TIME + TimeSpan(index as u64));
    }
    bytes.len()
}

fn truncated() -> Vec<u8> {
    snapshot()[..sixth_record_offset() + 20].to_vec()
}

fn corrupted() -> Vec<u8> {
    let mut bytes = snapshot();
    bytes[sixth_record_offset() + 14] ^= 0x10;
    bytes
}

fn with_times(records: Vec<Record>) -> Vec<ObservedRecord> {
    let times = (0..).map(|n| WALL_TIME + TimeSpan(n));
    let observed = |(record, observed_at)| ObservedRecord { record, observed_at };
    records.into_iter().zip(times).map(observed).collect()
}

fn header() -> DatagramHeader {
    DatagramHeader {
        name: DRIVER.to_owned(),
        incarnation: 1_700_000_000_000_042,
        sent_at: Timestamp(987_654_321),
        known_incarnation: 1_699_999_999_999_999,
        caught_up: true,
    }
}

/// The messages of a datagram, with the name that its fixture files contain.
struct MessageCase {
    name: &'static str,
    messages: Vec<Message>,
}

fn case(name: &'static str, messages: Vec<Message>) -> MessageCase {
    MessageCase { name, messages }
}

/// Messages of every kind.
fn message_cases() -> Vec<MessageCase> {
    let aged = |(index, record): (usize, Record)| Message::Record {
        record,
        age: TimeSpan(index as u64 * 100_000),
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

/// Sender, receiver, length and hash of each datagram in a deterministic simulation with loss and delay:
/// membership, dissemination, anti-entropy, an inquiry, a restart and a driver that leaves.
fn transcript() -> Vec<u8> {
    let mut network = Network::new(4, 38);
    network.link = Link {
        loss_permille: 50,
        duplicate_permille: 20,
        ..Link::default()
    };
    network.transcript = Some(Vec::new());
    network.run(TimeSpan::millis(1500));
    for (index, record) in records().into_iter().enumerate() {
        network.observe(index % 3, record);
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
    // A driver that has left gets no more ticks: its `next_at` stays in the past, and `Network::run` would
    // not return.
    network.drivers[2].is_up = false;
    network.run(TimeSpan::millis(1000));
    network.transcript.take().unwrap_or_default()
}

#[test]
#[ignore = "rewrites the fixtures"]
fn write_fixtures() {
    let write = |name: &str, bytes: &[u8]| std::fs::write(path(name), bytes).expect("write the fixture");
    std::fs::create_dir_all(path("")).expect("create the fixture folder");
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
    let kinds: Vec<_> = records().iter().map(Record::kind).collect();
    assert!(ALL_KINDS.iter().all(|kind| kinds.contains(kind)));
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
    let at = sixth_record_offset();
    for (name, encoded, error) in [
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
        assert_eq!(contents.error, Some(error), "{name}");
        assert_eq!(
            contents.records,
            with_times(records().into_iter().take(5).collect()),
            "{name}"
        );
        assert_eq!(encoded, bytes, "{name}");
    }
}

#[test]
fn decode_of_datagram_fixtures_round_trips_in_both_dialects() {
    for (suffix, dialect) in DIALECTS {
        for MessageCase { name, messages } in message_cases() {
            let bytes = fixture(&format!("datagram-{name}-{suffix}.bin"));
            let decoded = decode_datagram(FLEET, &bytes).expect("decode the datagram");
            assert_eq!(decoded.header, header(), "{name} {suffix}");
            assert_eq!(decoded.messages, messages, "{name} {suffix}");
            assert_eq!(datagram(dialect, &messages), bytes, "{name} {suffix}");
        }
    }
}

#[test]
fn simulation_of_four_drivers_sends_the_recorded_datagrams() {
    let expected = fixture("transcript.bin");
    let actual = transcript();
    let difference = expected
        .chunks(20)
        .zip(actual.chunks(20))
        .position(|(a, b)| a != b);
    assert_eq!(difference, None, "index of the first datagram that differs");
    assert_eq!(actual.len(), expected.len());
}
