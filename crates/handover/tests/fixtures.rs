//! Compatibility with frames of an earlier build: they decode to the same values and encode to the same
//! bytes.

use asterlatch_handover::co_serving::CoServingMessage;
use asterlatch_handover::codec::Framed;
use asterlatch_handover::io_journal::JournalRecord;
use asterlatch_handover::learned_fact::LearnedFact;
use asterlatch_handover::message::{ClientState, HandoverMessage};
use std::fmt::Debug;
use std::fs;
use std::path::PathBuf;

fn fixture_path(name: &str) -> PathBuf {
    [env!("CARGO_MANIFEST_DIR"), "tests", "fixtures", name]
        .iter()
        .collect()
}

/// A message of each variant, in wire order.
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

/// A record of each variant, in wire order.
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

fn facts() -> Vec<LearnedFact> {
    vec![
        LearnedFact::Dispatched {
            client_id: 1 << 40,
            member: "m-1".to_owned(),
            at: 1_010_000_000,
        },
        LearnedFact::NotExecuted { client_id: 7 },
        LearnedFact::SessionWrite {
            session: Some(1 << 50),
            position: Some(1_796_549_526_001_062),
        },
        LearnedFact::SessionWrite {
            session: None,
            position: None,
        },
        LearnedFact::ReloadRequested,
    ]
}

/// Messages with facts, which builds before them don't understand.
fn messages_with_facts() -> Vec<HandoverMessage> {
    let learned = facts().into_iter().map(CoServingMessage::Learned);
    let messages = std::iter::once(CoServingMessage::AcceptsFacts).chain(learned);
    vec![HandoverMessage::CoServing(messages.collect())]
}

/// Records with facts, which builds before them don't understand.
fn records_with_facts() -> Vec<JournalRecord> {
    facts().into_iter().map(JournalRecord::Learned).collect()
}

fn encode_all<T: Framed>(messages: &[T]) -> Vec<u8> {
    let frames = messages
        .iter()
        .map(|message| message.encode().expect("encode a message"));
    frames.collect::<Vec<_>>().concat()
}

fn check_fixture<T: Framed + Debug + PartialEq>(name: &str, expected: &[T]) {
    let bytes = fs::read(fixture_path(name)).expect("read the fixture");
    let mut consumed = 0;
    for (index, message) in expected.iter().enumerate() {
        let decoded = T::decode(&bytes[consumed..])
            .expect("the frame is valid")
            .expect("the frame is complete");
        assert_eq!(decoded.message, *message, "frame {index} of {name}");
        let encoded = decoded.message.encode().expect("encode the message");
        assert_eq!(
            encoded,
            bytes[consumed..consumed + decoded.frame_length],
            "frame {index} of {name}, encoded again"
        );
        consumed += decoded.frame_length;
    }
    assert_eq!(consumed, bytes.len(), "{name} contains more frames");
    assert_eq!(encode_all(expected), bytes, "{name}, encoded again");
}

#[test]
fn decode_messages_of_earlier_build_yields_same_values() {
    check_fixture("messages.bin", &messages());
    check_fixture("messages_with_facts.bin", &messages_with_facts());
}

#[test]
fn decode_records_of_earlier_build_yields_same_values() {
    check_fixture("records.bin", &records());
    check_fixture("records_with_facts.bin", &records_with_facts());
}

#[test]
#[ignore = "overwrites the fixtures: run it only on a build whose frames later builds must support"]
fn write_fixtures() {
    fs::write(fixture_path("messages.bin"), encode_all(&messages())).expect("write messages.bin");
    fs::write(fixture_path("records.bin"), encode_all(&records())).expect("write records.bin");
    let messages = encode_all(&messages_with_facts());
    fs::write(fixture_path("messages_with_facts.bin"), messages).expect("write messages_with_facts.bin");
    let records = encode_all(&records_with_facts());
    fs::write(fixture_path("records_with_facts.bin"), records).expect("write records_with_facts.bin");
}
