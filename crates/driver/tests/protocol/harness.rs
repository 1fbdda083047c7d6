//! What the tests of the protocols share: imports, messages, and readable forms of what is written.

pub(crate) use asterlatch::interface::ReplicaStatus;
pub(crate) use asterlatch::time::{TimeSpan, Timestamp};
pub(crate) use asterlatch_driver::protocol::client_events::{self, ClientCommand, FinalAnswer};
pub(crate) use asterlatch_driver::protocol::client_session::ClientSession;
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

/// The longest messages and values that any driver takes.
pub(crate) const QUERY: usize = 135_168;
pub(crate) const VALUE: usize = 64 * 1024;

pub(crate) const AT: Timestamp = Timestamp(1_000_000);

pub(crate) fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    messages::put(&mut out, kind, &[body]);
    out
}

pub(crate) fn query(text: &str) -> Vec<u8> {
    message(b'Q', format!("{text}\0").as_bytes())
}

/// A client's connection, and room for so many bytes of statements.
pub(crate) fn session(room: usize) -> ClientSession {
    ClientSession::new(1, MemoryBudget::new(room))
}

/// A startup message of this version and these fields.
pub(crate) fn startup(version: u32, fields: &[u8]) -> Vec<u8> {
    let length = 8 + fields.len() as u32;
    [&length.to_be_bytes()[..], &version.to_be_bytes(), fields].concat()
}

pub(crate) fn greeted() -> Vec<u8> {
    startup(startup::VERSION, b"user\0api\0database\0ledger\0\0")
}

/// Kinds of the messages, errors with their code and detail; a letter that is no message stands alone.
pub(crate) fn spoken(mut bytes: &[u8]) -> String {
    let mut said = Vec::new();
    while !bytes.is_empty() {
        match messages::next_message(bytes, QUERY) {
            NextMessage::Complete {
                kind: b'E',
                body,
                length: whole,
            } => {
                let field = |f| messages::error_field(body, f).unwrap_or_default();
                said.push(format!("E{}{}", field(b'C'), field(b'D')));
                bytes = &bytes[whole..];
            }
            NextMessage::Complete {
                kind, length: whole, ..
            } => {
                said.push((kind as char).to_string());
                bytes = &bytes[whole..];
            }
            _ => {
                said.push(format!("{}!", bytes[0] as char));
                bytes = &bytes[1..];
            }
        }
    }
    said.join(" ")
}

pub(crate) fn client_news(notices: &[client_events::ClientEvent]) -> String {
    let told = notices.iter();
    let words = told.map(|n| match n {
        client_events::ClientEvent::Transferred { .. } => "moved".to_owned(),
        client_events::ClientEvent::Statement { text, .. } => format!("stmt({})", text.text),
        client_events::ClientEvent::Idle { .. } => "idle".to_owned(),
        client_events::ClientEvent::PartialMessage { .. } => "writing".to_owned(),
        client_events::ClientEvent::Malformed => "malformed".to_owned(),
        client_events::ClientEvent::Oversized => "oversized".to_owned(),
        client_events::ClientEvent::OutOfMemory => "no room".to_owned(),
        client_events::ClientEvent::InputEnded { .. } => "input ended".to_owned(),
        client_events::ClientEvent::HalfClosed { .. } => "half closed".to_owned(),
        client_events::ClientEvent::Closed { .. } => "gone".to_owned(),
    });
    words.collect::<Vec<_>>().join(" ")
}

/// Gives the dialogue all at once, or byte by byte.
pub(crate) fn hear<D: ConnectionHandler>(
    dialogue: &mut D,
    bytes: &[u8],
    pieces: usize,
    out: &mut ConnectionOutput<D::Event>,
) {
    let mut input = Vec::new();
    for piece in bytes.chunks(pieces) {
        input.extend(piece);
        dialogue.on_input(&mut input, AT, out);
    }
}

pub(crate) const WELCOME: &str = "R S S S S S S Z";
