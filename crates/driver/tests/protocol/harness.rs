//! Test harness: imports, encoders of messages, and descriptions of output and events.

pub(crate) use asterlatch::interface::ReplicaStatus;
pub(crate) use asterlatch::time::{RemoteTimestamp, TimeSpan, Timestamp};
pub(crate) use asterlatch_driver::protocol::client_events::{self, ClientCommand, FinalAnswer};
pub(crate) use asterlatch_driver::protocol::client_session::{ClientSession, MAX_READ_AHEAD_BYTES};
pub(crate) use asterlatch_driver::protocol::endpoint_list::{self, EndpointStatus};
pub(crate) use asterlatch_driver::protocol::http::{self, Response};
pub(crate) use asterlatch_driver::protocol::member_connection::{
    self, MemberCommand, MemberConnection, Reply,
};
pub(crate) use asterlatch_driver::protocol::messages::{self, NextMessage};
pub(crate) use asterlatch_driver::protocol::startup;
pub(crate) use asterlatch_driver::protocol::statement_comment::{self, StatementComment};
pub(crate) use asterlatch_driver::protocol::{discovery_watch, replica_status};
pub(crate) use asterlatch_driver::transport::connection::{ConnectionHandler, ConnectionOutput};
pub(crate) use asterlatch_driver::transport::memory_budget::MemoryBudget;

/// Maximum lengths of messages and values that every driver accepts, whatever its memory budget.
pub(crate) const MAX_QUERY_BYTES: usize = 135_168;
pub(crate) const MAX_VALUE_BYTES: usize = 64 * 1024;

pub(crate) const AT: Timestamp = Timestamp(1_000_000);

pub(crate) fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    messages::put(&mut out, kind, &[body]);
    out
}

pub(crate) fn query(text: &str) -> Vec<u8> {
    message(b'Q', format!("{text}\0").as_bytes())
}

/// A client's handler with a memory budget of `budget_bytes`.
pub(crate) fn new_session(budget_bytes: usize) -> ClientSession {
    ClientSession::new(1, MemoryBudget::new(budget_bytes))
}

/// A member's answer to a statement that is safe to retry.
pub(crate) fn rows(messages: Vec<u8>) -> FinalAnswer {
    FinalAnswer::rows(messages, true, &MemoryBudget::new(0))
}

/// A startup message with this version and these fields.
pub(crate) fn startup_message(version: u32, fields: &[u8]) -> Vec<u8> {
    let length = 8 + fields.len() as u32;
    [&length.to_be_bytes()[..], &version.to_be_bytes(), fields].concat()
}

pub(crate) fn default_startup() -> Vec<u8> {
    startup_message(startup::VERSION, b"user\0api\0database\0ledger\0\0")
}

/// Type bytes of the messages, errors with SQLSTATE and detail; `!` marks a byte outside a message.
pub(crate) fn describe_messages(mut bytes: &[u8]) -> String {
    let mut descriptions = Vec::new();
    while !bytes.is_empty() {
        match messages::next_message(bytes, MAX_QUERY_BYTES) {
            NextMessage::Complete {
                kind: b'E',
                body,
                length,
            } => {
                let field = |kind| messages::error_field(body, kind).unwrap_or_default();
                descriptions.push(format!("E{}{}", field(b'C'), field(b'D')));
                bytes = &bytes[length..];
            }
            NextMessage::Complete { kind, length, .. } => {
                descriptions.push((kind as char).to_string());
                bytes = &bytes[length..];
            }
            _ => {
                descriptions.push(format!("{}!", bytes[0] as char));
                bytes = &bytes[1..];
            }
        }
    }
    descriptions.join(" ")
}

pub(crate) fn describe_client_events(events: &[client_events::ClientEvent]) -> String {
    let events = events.iter();
    let descriptions = events.map(|event| match event {
        client_events::ClientEvent::Transferred { .. } => "transferred".to_owned(),
        client_events::ClientEvent::Statement { text, .. } => format!("stmt({})", text.text),
        client_events::ClientEvent::Idle { .. } => "idle".to_owned(),
        client_events::ClientEvent::PartialMessage { .. } => "partial".to_owned(),
        client_events::ClientEvent::Malformed => "malformed".to_owned(),
        client_events::ClientEvent::Oversized => "oversized".to_owned(),
        client_events::ClientEvent::OutOfMemory { count: 1 } => "out of memory".to_owned(),
        client_events::ClientEvent::OutOfMemory { count } => format!("out of memory {count} times"),
        client_events::ClientEvent::Backlogged { .. } => "backlogged".to_owned(),
        client_events::ClientEvent::InputEnded { .. } => "input ended".to_owned(),
        client_events::ClientEvent::HalfClosed { .. } => "half closed".to_owned(),
        client_events::ClientEvent::Closed { .. } => "closed".to_owned(),
    });
    descriptions.collect::<Vec<_>>().join(" ")
}

/// Feeds the bytes to a handler in chunks of this size.
pub(crate) fn feed_input<H: ConnectionHandler>(
    handler: &mut H,
    bytes: &[u8],
    chunk_bytes: usize,
    out: &mut ConnectionOutput<H::Event>,
) {
    let mut input = Vec::new();
    for chunk in bytes.chunks(chunk_bytes) {
        input.extend(chunk);
        handler.on_input(&mut input, AT, out);
    }
}

pub(crate) const STARTUP_RESPONSE: &str = "R S S S S S S Z";
