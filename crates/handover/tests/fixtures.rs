//! Frames written by an earlier build: they decode to the same values, and encode to the same bytes again.

use asterlatch_handover::co_serving::CoServingMessage;
use asterlatch_handover::codec::Framed;
use asterlatch_handover::io_journal::JournalRecord;
use asterlatch_handover::message::{ClientState, HandoverMessage};
use std::fmt::Debug;
use std::fs;
use std::path::PathBuf;

fn path(name: &str) -> PathBuf {
    [env!("CARGO_MANIFEST_DIR"), "tests", "fixtures", name]
        .iter()
        .collect()
}

/// One of each variant, in the order of their numbers on the wire.
fn messages() -> Vec<HandoverMessage> {
    vec![
        HandoverMessage::Hello { version: 3 },
        HandoverMessage::State((0..=255).collect()),
        HandoverMessage::Ready,
        HandoverMessage::LoadFailed("the state has form 1, not 2".to_owned()),
        HandoverMessage::Commit,
        HandoverMessage::CommitAcknowledged,
        HandoverMessage::AcceptClients,
        HandoverMessage::ClientConnection(ClientState {
            transfer_id: 300,
            startup_complete: true,
            has_sent_statement: false,
            bytes_to_skip: 70_000,
            input: b"Q\0\0\0\x08abc".to_vec(),
        }),
        HandoverMessage::MemberConnection(129),
        HandoverMessage::CoServing(vec![
            CoServingMessage::InFlight {
                member: "m-1".to_owned(),
                count: 200,
            },
            CoServingMessage::Draining {
                member: "m-2".to_owned(),
                started_ms: 1_700_000_000_000,
            },
            CoServingMessage::Acknowledged,
        ]),
        HandoverMessage::ConnectionMissing(300),
        HandoverMessage::Heartbeat,
        HandoverMessage::ProbationPassed,
    ]
}

/// One of each variant, in the order of their numbers on the wire.
fn records() -> Vec<JournalRecord> {
    vec![
        JournalRecord::Accepted { client: 7 },
        JournalRecord::Adopted {
            client: 200,
            transfer_id: 300,
        },
        JournalRecord::Read {
            client: 7,
            written_to: 1000,
            bytes: b"select 1;".to_vec(),
        },
        JournalRecord::Dispatched {
            client: 7,
            end: 9,
            is_retry_safe: true,
        },
        JournalRecord::Dispatched {
            client: 200,
            end: 4000,
            is_retry_safe: false,
        },
        JournalRecord::Write {
            client: 7,
            length: 50,
            written_to: 1000,
            answered_to: 9,
            startup_complete: true,
            bytes_to_skip: 4096,
        },
        JournalRecord::Closed { client: 200 },
    ]
}

fn frames<T: Framed>(all: &[T]) -> Vec<u8> {
    let frames = all.iter().map(|one| one.encode().expect("fits"));
    frames.collect::<Vec<_>>().concat()
}

fn check<T: Framed + Debug + PartialEq>(name: &str, expected: &[T]) {
    let bytes = fs::read(path(name)).expect("lies there");
    let mut used = 0;
    for (at, one) in expected.iter().enumerate() {
        let decoded = T::decode(&bytes[used..]).expect("is sound").expect("is complete");
        assert_eq!(decoded.message, *one, "frame {at} of {name}");
        let again = decoded.message.encode().expect("fits");
        assert_eq!(
            again,
            bytes[used..used + decoded.frame_length],
            "frame {at} of {name}, encoded again"
        );
        used += decoded.frame_length;
    }
    assert_eq!(used, bytes.len(), "{name} holds more frames");
    assert_eq!(frames(expected), bytes, "{name}, encoded again");
}

#[test]
fn decode_messages_of_earlier_build_yields_same_values() {
    check("messages.bin", &messages());
}

#[test]
fn decode_records_of_earlier_build_yields_same_values() {
    check("records.bin", &records());
}

#[test]
#[ignore = "writes the fixtures: only run it on a build whose frames must stay"]
fn write_fixtures() {
    fs::write(path("messages.bin"), frames(&messages())).expect("is written");
    fs::write(path("records.bin"), frames(&records())).expect("is written");
}
