//! What is spoken, as tables of bytes: each input is given whole, and again byte by byte.

use asterlatch::interface::ReplicaStatus;
use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_driver::protocol::client_events::{self, ClientCommand, FinalAnswer};
use asterlatch_driver::protocol::client_session::ClientSession;
use asterlatch_driver::protocol::endpoint_list::{self, EndpointStatus};
use asterlatch_driver::protocol::http::{self, Response};
use asterlatch_driver::protocol::member_connection::{self, MemberCommand, MemberConnection, Reply};
use asterlatch_driver::protocol::messages::{self, NextMessage};
use asterlatch_driver::protocol::startup;
use asterlatch_driver::protocol::statement_comment::{self, StatementComment};
use asterlatch_driver::protocol::{discovery_watch, replica_status};
use asterlatch_driver::transport::connection::{ConnectionHandler, ConnectionOutput};
use asterlatch_driver::transport::memory_budget::MemoryBudget;

/// The longest messages and values that any driver takes.
const QUERY: usize = 135_168;
const VALUE: usize = 64 * 1024;

const AT: Timestamp = Timestamp(1_000_000);

fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    messages::put(&mut out, kind, &[body]);
    out
}

fn query(text: &str) -> Vec<u8> {
    message(b'Q', format!("{text}\0").as_bytes())
}

/// A client's connection, and room for so many bytes of statements.
fn session(room: usize) -> ClientSession {
    ClientSession::new(1, MemoryBudget::new(room))
}

/// Statements that wait fill no more than their part of the memory; what comes beyond is told so at once.
#[test]
fn statements_fill_no_more_than_their_room() {
    let (room, mut input) = (MemoryBudget::new(20), Vec::new());
    let mut sessions = [1, 2, 3].map(|n| (ClientSession::new(n, room.clone()), ConnectionOutput::default()));
    for (n, (session, out)) in sessions.iter_mut().enumerate() {
        input.extend([greeted(), query("SELECT 1")].concat());
        session.on_input(&mut input, AT, out);
        let (news, said) = [("stmt(SELECT 1)", ""), ("no room", " E53300 Z")][n / 2];
        assert_eq!(client_news(&out.events), format!("idle {news}"));
        assert_eq!(spoken(&out.bytes), format!("{WELCOME}{said}"));
    }
    assert_eq!(room.reserved(), 16);
    drop(sessions);
    assert_eq!(room.reserved(), 0, "given back with the statement");
    // An answer that was begun is held whatever it takes, and statements find no room meanwhile.
    let mut unwritten = room.empty_reservation();
    unwritten.force_resize(50);
    assert!(room.reserved() == 50 && client_events::StatementText::new("SELECT 1", &room).is_none());
    assert!(unwritten.resize(9) && client_events::StatementText::new("SELECT 1", &room).is_some());
}

/// What is begun and not ended: said once a message, and ended with a word; who has asked before and begun nothing goes
/// without one, for any would be taken for the answer of a statement on its way.
#[test]
fn a_message_must_end_in_time() {
    let half = |bytes: &[u8]| bytes[..bytes.len() / 2].to_vec();
    let after = |bytes: &[u8]| [&greeted()[..], bytes].concat();
    let passed_over = [&b"Q\0\x08\0\0"[..], &[b'x'; 100]].concat();
    #[rustfmt::skip]
    let cases = [
        ("nothing at all", Vec::new(), "", "E08P01"),
        ("half a startup", half(&greeted()), "", "E08P01"),
        ("nothing behind the startup", greeted(), "idle", "E57P03"),
        ("nothing behind a query", after(&query("")), "idle", ""),
        ("half a statement", after(&half(&query("SELECT 1"))), "idle writing", "E08P01"),
        ("a length that is too long", after(&[b'Q', 0, 0, 1, 0, b'S']), "idle writing", "E08P01"),
        ("too large, and not all of it", after(&passed_over), "idle oversized writing", "E08P01"),
        ("a statement that is out", after(&query("SELECT 1")), "idle stmt(SELECT 1)", "out"),
    ];
    for (name, bytes, news, said) in cases {
        let (mut session, mut out) = (session(1 << 20), ConnectionOutput::default());
        hear(&mut session, &bytes, bytes.len().max(1), &mut out);
        assert_eq!(client_news(&out.events), news, "{name}");
        out.bytes.clear();
        session.on_command(ClientCommand::TimeOut, AT, &mut out);
        match said {
            "out" => assert!(out.bytes.is_empty() && !out.close, "{name}"),
            _ => assert_eq!((&spoken(&out.bytes)[..], out.close), (said, true), "{name}"),
        }
    }
    // Told to leave in the middle of a message: that is taken and answered first.
    let (mut session, mut out, mut input) = (
        session(1 << 20),
        ConnectionOutput::default(),
        after(&half(&query("SELECT 1"))),
    );
    session.on_input(&mut input, AT, &mut out);
    session.on_command(ClientCommand::Drain, AT, &mut out);
    session.on_input(&mut input, AT, &mut out);
    assert!(!out.close);
    input.extend(&query("SELECT 1")[query("SELECT 1").len() / 2..]);
    session.on_input(&mut input, AT, &mut out);
    assert_eq!(client_news(&out.events), "idle writing stmt(SELECT 1)");
    session.on_command(
        ClientCommand::Answer(0, FinalAnswer::Rows(Vec::new())),
        AT,
        &mut out,
    );
    assert_eq!(leaves(&mut session, &mut input, &mut out), "", "it has asked");
    // Told to leave in the middle of one that it doesn't end.
    let (mut session, mut out) = (
        ClientSession::new(1, MemoryBudget::new(1 << 20)),
        ConnectionOutput::default(),
    );
    input.extend(after(&half(&query("SELECT 1"))));
    session.on_input(&mut input, AT, &mut out);
    out.bytes.clear();
    session.on_command(ClientCommand::Drain, AT, &mut out);
    session.on_all_read(&mut out);
    assert!(!out.close && out.bytes.is_empty());
    session.on_command(ClientCommand::TimeOut, AT, &mut out);
    assert_eq!(
        (&spoken(&out.bytes)[..], out.close),
        ("E57P03", true),
        "refused, and none of it was taken"
    );
    input.clear();
    // Told to leave with statements behind the one that is out: they have come, so all are answered.
    let (mut session, mut out) = (
        ClientSession::new(1, MemoryBudget::new(1 << 20)),
        ConnectionOutput::default(),
    );
    input.extend(after(&[query("a"), query("b"), query("c")].concat()));
    session.on_input(&mut input, AT, &mut out);
    session.on_command(ClientCommand::Drain, AT, &mut out);
    for n in 0..3 {
        assert!(!out.close, "{n}");
        session.on_command(
            ClientCommand::Answer(n, FinalAnswer::Rows(Vec::new())),
            AT,
            &mut out,
        );
        session.on_input(&mut input, AT, &mut out);
    }
    assert_eq!(leaves(&mut session, &mut input, &mut out), "");
    assert_eq!(client_news(&out.events), "idle stmt(a) stmt(b) stmt(c) idle");
    // Told to leave while a statement lies at the socket: it came to a connection that stood, and is answered.
    let (mut session, mut out) = (
        ClientSession::new(1, MemoryBudget::new(1 << 20)),
        ConnectionOutput::default(),
    );
    input.extend(greeted());
    session.on_input(&mut input, AT, &mut out);
    session.on_command(ClientCommand::Drain, AT, &mut out);
    assert!(out.read_again && !out.close, "one more look");
    input.extend(query("a"));
    session.on_input(&mut input, AT, &mut out);
    session.on_all_read(&mut out);
    assert!(!out.close);
    assert_eq!(client_news(&out.events), "idle stmt(a)");
    session.on_command(
        ClientCommand::Answer(0, FinalAnswer::Rows(Vec::new())),
        AT,
        &mut out,
    );
    assert_eq!(leaves(&mut session, &mut input, &mut out), "");
}

/// It looks once more at its socket, finds nothing, and ends; says with what word.
fn leaves(
    session: &mut ClientSession,
    input: &mut Vec<u8>,
    out: &mut ConnectionOutput<client_events::ClientEvent>,
) -> String {
    session.on_input(input, AT, out);
    assert!(
        std::mem::take(&mut out.read_again) && !out.close,
        "not before it has looked"
    );
    out.bytes.clear();
    session.on_all_read(out);
    assert!(out.close);
    spoken(&out.bytes)
}

/// A startup message of this version and these fields.
fn startup(version: u32, fields: &[u8]) -> Vec<u8> {
    let length = 8 + fields.len() as u32;
    [&length.to_be_bytes()[..], &version.to_be_bytes(), fields].concat()
}

fn greeted() -> Vec<u8> {
    startup(startup::VERSION, b"user\0api\0database\0ledger\0\0")
}

/// Kinds of the messages, errors with their code and detail; a letter that is no message stands alone.
fn spoken(mut bytes: &[u8]) -> String {
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

fn client_news(notices: &[client_events::ClientEvent]) -> String {
    let told = notices.iter();
    let words = told.map(|n| match n {
        client_events::ClientEvent::Transferred { .. } => "moved".to_owned(),
        client_events::ClientEvent::Statement { text, .. } => format!("stmt({})", text.text),
        client_events::ClientEvent::Idle { .. } => "idle".to_owned(),
        client_events::ClientEvent::PartialMessage { .. } => "writing".to_owned(),
        client_events::ClientEvent::Malformed => "malformed".to_owned(),
        client_events::ClientEvent::Oversized => "oversized".to_owned(),
        client_events::ClientEvent::OutOfMemory => "no room".to_owned(),
        client_events::ClientEvent::HalfClosed { .. } => "half closed".to_owned(),
        client_events::ClientEvent::Closed { .. } => "gone".to_owned(),
    });
    words.collect::<Vec<_>>().join(" ")
}

/// Gives the dialogue all at once, or byte by byte.
fn hear<D: ConnectionHandler>(
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

const WELCOME: &str = "R S S S S S S Z";

#[test]
fn clients_are_understood_however_their_bytes_come() {
    let hello = greeted();
    let after = |bytes: &[u8]| [&hello[..], bytes].concat();
    let long = format!("/* x */ '{}'", "a".repeat(QUERY));
    let welcome = |more: &str| format!("{WELCOME}{more}");
    #[rustfmt::skip]
    let cases: Vec<(&str, Vec<u8>, String, &str, bool)> = vec![
        ("startup", hello.clone(), welcome(""), "idle", false),
        ("startup without fields", startup(startup::VERSION, b"\0"), welcome(""), "idle", false),
        ("newer minor version", startup(startup::VERSION + 2, b"user\0a\0_pq_.x\0y\0\0"), format!("v {WELCOME}"), "idle", false),
        ("encryption asked for", [&startup(80_877_103, b"")[..], &hello].concat(), format!("N! {WELCOME}"), "idle", false),
        ("empty query", after(&query("")), welcome(" I Z"), "idle", false),
        ("only a semicolon", after(&query(" ;\n")), welcome(" I Z"), "idle", false),
        ("query right behind", after(&query("SELECT 7")), welcome(""), "idle stmt(SELECT 7)", false),
        ("a row", after(&[query("a"), query("b")].concat()), welcome(""), "idle stmt(a) stmt(b)", false),
        ("rubbish behind a row", after(&[query("a"), message(b'P', b"")].concat()), welcome(""), "idle stmt(a)", false),
        ("terminate", after(&message(b'X', b"")), welcome(""), "idle", true),
        ("cancel request", startup(80_877_102, &[0; 8]), String::new(), "", true),
        ("older protocol", startup(2 << 16, b"user\0a\0\0"), "E08P01".into(), "malformed", true),
        ("field without value", startup(startup::VERSION, b"user\0\0"), "E08P01".into(), "malformed", true),
        ("startup of no length", vec![0, 0, 0, 7, 0, 3, 0, 0], "E08P01".into(), "malformed", true),
        ("startup of absurd length", vec![0, 1, 0, 0, 0, 3, 0, 0], "E08P01".into(), "malformed", true),
        ("not the protocol at all", b"GET / HTTP/1.1\r\n\r\n".to_vec(), "E08P01".into(), "malformed", true),
        ("extended query", after(&message(b'P', b"\0\0")), welcome(" E08P01"), "idle malformed", true),
        ("message of no length", after(&[b'Q', 0, 0, 0, 3, 0]), welcome(" E08P01"), "idle malformed", true),
        ("length beyond all bounds", after(&[b'Q', 0x7f, 0, 0, 0, 0]), welcome(" E08P01"), "idle malformed", true),
        ("text without an end", after(&message(b'Q', b"SELECT 1")), welcome(" E08P01"), "idle malformed", true),
        ("text in no encoding", after(&message(b'Q', b"\xff\xfe\0")), welcome(" E08P01"), "idle malformed", true),
        ("too large a statement", after(&[query(&long), query("b")].concat()), welcome(" E54000 Z"), "idle oversized stmt(b)", false),
    ];
    for (name, bytes, said, news, close) in &cases {
        for pieces in [bytes.len(), 1] {
            let (mut session, mut out) = (session(1 << 20), ConnectionOutput::default());
            hear(&mut session, bytes, pieces, &mut out);
            assert_eq!(&spoken(&out.bytes), said, "{name}");
            // How often it was in the middle of a message depends on the pieces.
            let told = client_news(&out.events).replace(" writing", "");
            let told = told
                .replacen("idle", "first", 1)
                .replace(" idle", "")
                .replacen("first", "idle", 1);
            assert_eq!((&told[..], out.close), (*news, *close), "{name}");
        }
    }
}

#[test]
fn a_statement_gets_one_answer_and_order_is_kept() {
    let (mut session, mut out, mut input) = (session(1 << 20), ConnectionOutput::default(), Vec::new());
    input.extend([greeted(), query("a"), query("b"), query("c")].concat());
    session.on_input(&mut input, AT, &mut out);
    out.bytes.clear();
    let hold = FinalAnswer::Error {
        code: "53300",
        message: "m",
        retry_after_ms: Some(250),
    };
    let fail = FinalAnswer::Error {
        code: "40003",
        message: "m",
        retry_after_ms: None,
    };
    let rows = [message(b'T', b"t"), message(b'D', b"d"), message(b'C', b"c")].concat();
    // What is said, what goes out, and whether the connection ends.
    let steps = [
        (ClientCommand::Answer(2, fail), "", false),
        (
            ClientCommand::Answer(0, FinalAnswer::Rows(rows.clone())),
            "T D C Z",
            false,
        ),
        (
            ClientCommand::Answer(0, FinalAnswer::Rows(rows.clone())),
            "",
            false,
        ),
        (ClientCommand::Drain, "", false),
        (
            ClientCommand::Answer(2, FinalAnswer::Rows(rows.clone())),
            "",
            false,
        ),
        (ClientCommand::Answer(1, hold), "E53300250 Z E40003 Z", true),
        // Whatever else comes after the end, which is there once nothing more lies at the socket.
        (
            ClientCommand::Answer(1, FinalAnswer::Rows(rows.clone())),
            "",
            true,
        ),
        (ClientCommand::Reject, "", true),
    ];
    for (n, (say, said, close)) in steps.into_iter().enumerate() {
        session.on_command(say, AT, &mut out);
        session.on_input(&mut input, AT, &mut out);
        session.on_all_read(&mut out);
        if n == 1 {
            assert!(
                out.bytes.starts_with(&rows),
                "the bytes of the rows are those that came"
            );
        }
        assert_eq!((&spoken(&out.bytes)[..], out.close), (said, close), "step {n}");
        out.bytes.clear();
    }
    assert_eq!(client_news(&out.events), "idle stmt(a) stmt(b) stmt(c) idle");
}

/// Hundreds of statements at once fill no tables: so many are open together, the others wait unread, and those that
/// need no member keep their place in the order.
#[test]
fn a_row_is_bounded_and_answered_in_order() {
    let (mut session, mut out, mut input) = (session(1 << 20), ConnectionOutput::default(), Vec::new());
    input.extend([greeted(), query("a"), query(""), query("b").repeat(300)].concat());
    session.on_input(&mut input, AT, &mut out);
    let open = out
        .events
        .iter()
        .filter(|n| matches!(n, client_events::ClientEvent::Statement { .. }))
        .count();
    assert!(open < 20 && !session.wants_input(20_000), "{open}");
    out.bytes.clear();
    session.on_command(
        ClientCommand::Answer(2, FinalAnswer::Rows(Vec::new())),
        AT,
        &mut out,
    );
    assert!(out.bytes.is_empty(), "those before it have no answer");
    session.on_command(
        ClientCommand::Answer(0, FinalAnswer::Rows(Vec::new())),
        AT,
        &mut out,
    );
    assert_eq!(spoken(&out.bytes), "Z I Z Z");
    for number in (1..600).filter(|n| *n != 2) {
        session.on_input(&mut input, AT, &mut out);
        session.on_command(
            ClientCommand::Answer(number, FinalAnswer::Rows(Vec::new())),
            AT,
            &mut out,
        );
    }
    assert_eq!(spoken(&out.bytes).matches('Z').count(), 302);
}

#[test]
fn leaving_and_refusing_wait_for_nothing_that_is_not_out() {
    for (before, say, said) in [
        (Vec::new(), ClientCommand::Drain, "E57P03"),
        (greeted(), ClientCommand::Drain, "E57P03"),
        ([greeted(), query("")].concat(), ClientCommand::Drain, ""),
        (Vec::new(), ClientCommand::Reject, "E53300"),
    ] {
        let (mut session, mut out) = (session(1 << 20), ConnectionOutput::default());
        hear(&mut session, &before, 1000, &mut out);
        out.bytes.clear();
        session.on_command(say, AT, &mut out);
        session.on_all_read(&mut out);
        assert_eq!((&spoken(&out.bytes)[..], out.close), (said, true));
        assert!(!session.wants_input(0));
    }
}

fn row(value: &[u8]) -> Vec<u8> {
    let head = [&1u16.to_be_bytes()[..], &(value.len() as u32).to_be_bytes()].concat();
    message(b'D', &[&head[..], value].concat())
}

fn described(columns: u16) -> Vec<u8> {
    message(
        b'T',
        &[
            &columns.to_be_bytes()[..],
            &b"blob\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01".repeat(columns.into()),
        ]
        .concat(),
    )
}

fn status(name: &str, value: &str) -> Vec<u8> {
    message(b'S', format!("{name}\0{value}\0").as_bytes())
}

fn error(code: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0C{code}\0Mwhy\0\0").as_bytes())
}

fn member_news(notices: &[member_connection::MemberEvent]) -> Vec<String> {
    let words = notices.iter().map(|n| match n {
        member_connection::MemberEvent::Transferred { .. } => "moved".to_owned(),
        member_connection::MemberEvent::Connected { .. } => "up".to_owned(),
        member_connection::MemberEvent::Replied {
            reply,
            status,
            report,
            ..
        } => {
            let reply = match reply {
                Reply::Rows(rows) => format!(
                    "rows({})",
                    String::from_utf8_lossy(messages::row_value(rows).unwrap_or_default())
                ),
                Reply::Error(code) => code.clone(),
                Reply::Malformed => "malformed".to_owned(),
            };
            let at = status
                .position
                .map_or(String::new(), |p| format!("@{}", p.0 / 1000));
            let role = status.is_primary.map_or("", |p| if p { "!" } else { "?" });
            format!("{reply}{at}{role}{}", report.as_deref().unwrap_or_default())
        }
        member_connection::MemberEvent::Closed { written, .. } => {
            if *written { "lost" } else { "unwritten" }.to_owned()
        }
    });
    words.collect()
}

#[test]
fn members_answers_are_told_apart() {
    let ready = message(b'Z', b"I");
    let answer = [described(1), row(b"v"), message(b'C', b"SELECT 1\0")].concat();
    let ok = |more: Vec<u8>| [&answer[..], &more, &ready].concat();
    let failed = |code: &str, more: Vec<u8>| [error(code), more, ready.clone()].concat();
    let large = [
        described(1),
        row(&vec![b'x'; VALUE]),
        message(b'C', b"SELECT 1\0"),
        ready.clone(),
    ]
    .concat();
    #[rustfmt::skip]
    let cases: Vec<(&str, Vec<u8>, &str, bool)> = vec![
        ("a row", ok(vec![]), "rows(v)", false),
        ("a row with position and role", ok([status("as_of", "1767225600123"), status("rank", "copy")].concat()), "rows(v)@1767225600123?", false),
        ("a commit at the primary", ok([status("as_of", "5"), status("rank", "source")].concat()), "rows(v)@5!", false),
        ("a report beside it", ok(status("vitals", "inflight=7,util=0.61")), "rows(v)inflight=7,util=0.61", false),
        ("a notice before it", [message(b'N', b"SNOTICE\0\0"), ok(vec![])].concat(), "rows(v)", false),
        ("other parameters", ok(status("TimeZone", "UTC")), "rows(v)", false),
        ("a report that is no text", ok(message(b'S', b"vitals\0\xff\xfe\0")), "rows(v)", false),
        ("a report that doesn't end", ok(message(b'S', b"vitals\0x0=1")), "malformed", true),
        ("unreadable position and role", ok([status("as_of", "soon"), status("rank", "king")].concat()), "rows(v)", false),
        ("no primary", failed("25006", status("rank", "copy")), "25006?", false),
        ("too far behind", failed("72000", status("as_of", "9")), "72000@9", false),
        ("an error", failed("XX000", vec![]), "XX000", false),
        ("turned away", failed("53300", vec![]), "53300", false),
        ("an error that ends the connection", message(b'E', b"SFATAL\0C53300\0Mno\0\0"), "53300", true),
        ("two columns", [described(2), row(b"v"), ready.clone()].concat(), "malformed", true),
        ("two rows", [described(1), row(b"v"), row(b"w"), ready.clone()].concat(), "malformed", true),
        ("a row without its description", [row(b"v"), ready.clone()].concat(), "malformed", true),
        ("no row", [described(1), message(b'C', b"SELECT 0\0"), ready.clone()].concat(), "malformed", true),
        ("a row cut short", [described(1), message(b'D', b"\0\x01\0\0\0\x09abc"), ready.clone()].concat(), "malformed", true),
        ("ready with nothing said", ready.clone(), "malformed", true),
        ("an empty answer", [message(b'I', b""), ready.clone()].concat(), "malformed", true),
        ("an error without a code", [message(b'E', b"SERROR\0\0"), ready.clone()].concat(), "malformed", true),
        ("a code that isn't one", failed("533", vec![]), "malformed", true),
        ("an error that doesn't end", [message(b'E', b"SERROR\0C53300\0Mno"), ready.clone()].concat(), "malformed", true),
        ("noise in an error", [message(b'E', b"SERROR\0C53300\0\x03\xff\0\0"), ready.clone()].concat(), "malformed", true),
        ("a description with too much in it", [message(b'T', b"\0\x01blob\0\0\0"), row(b"v"), ready.clone()].concat(), "malformed", true),
        ("an end of no text", [described(1), row(b"v"), message(b'C', b"SEL"), ready.clone()].concat(), "malformed", true),
        ("ready for nothing known", [&answer[..], &message(b'Z', b"?")].concat(), "malformed", true),
        ("a position beside what is spoilt", [&answer[..], &status("as_of", "9"), &status("rank", "source"), &message(b'Z', b"")].concat(), "malformed", true),
        ("an error behind the row", [&answer[..], &error("XX000"), &ready].concat(), "malformed", true),
        ("a message of no length", vec![b'T', 0, 0, 0, 0], "malformed", true),
        ("longer than any answer", vec![b'D', 0, 3, 0, 0], "malformed", true),
        ("not the protocol at all", b"HTTP/1.1 400 Bad Request\r\n\r\n".to_vec(), "malformed", true),
        ("stray bytes behind the answer", [ok(vec![]), vec![b'D']].concat(), "rows(v)", true),
    ];
    for (name, bytes, news, close) in &cases {
        for pieces in [bytes.len(), 1] {
            let (mut member, mut out) = greeted_member();
            hear(&mut member, bytes, pieces, &mut out);
            assert_eq!(
                (member_news(&out.events), out.close),
                (vec![(*news).to_owned()], *close),
                "{name}"
            );
        }
    }
    let (mut member, mut out) = greeted_member();
    hear(&mut member, &large, 1000, &mut out);
    let Some(member_connection::MemberEvent::Replied {
        reply: Reply::Rows(rows),
        ..
    }) = out.events.pop()
    else {
        panic!("the largest value is an answer");
    };
    assert_eq!(rows, large[..large.len() - ready.len()]);
}

/// A connection whose query has gone out.
fn greeted_member() -> (MemberConnection, ConnectionOutput<member_connection::MemberEvent>) {
    let mut member = MemberConnection::new(1, QUERY);
    let out = greet(&mut member);
    (member, out)
}

fn greet(member: &mut MemberConnection) -> ConnectionOutput<member_connection::MemberEvent> {
    let mut out = ConnectionOutput::default();
    member.on_open(&mut out);
    member.on_command(MemberCommand::Query(query("q")), AT, &mut out);
    member.on_written(&mut out);
    let greeting = [
        message(b'R', &[0; 4]),
        status("rank", "copy"),
        message(b'Z', b"I"),
    ]
    .concat();
    hear(member, &greeting, 7, &mut out);
    member.on_written(&mut out);
    assert_eq!(member_news(&out.events), ["up"]);
    ConnectionOutput::default()
}

#[test]
fn only_what_was_never_written_never_ran() {
    let ready = message(b'Z', b"I");
    let greeting = [message(b'R', &[0; 4]), ready.clone()].concat();
    let row = [described(1), row(b"v"), message(b'C', b"SELECT 1\0")].concat();
    // What came, how often all was with the kernel, what is told at the end.
    #[rustfmt::skip]
    let cases = [
        ("before it came up", vec![], 0, vec!["unwritten"]),
        ("in the greeting", vec![], 1, vec!["unwritten"]),
        ("turned away in the greeting", vec![error("53300")], 1, vec!["unwritten"]),
        ("a password asked for", vec![message(b'R', &[0, 0, 0, 3])], 1, vec!["unwritten"]),
        ("before the query's last byte", vec![greeting.clone()], 1, vec!["up", "unwritten"]),
        ("after it", vec![greeting.clone()], 2, vec!["up", "lost"]),
        ("in the middle of a row", vec![greeting.clone(), row[..20].to_vec()], 2, vec!["up", "lost"]),
        ("behind a row that has ended", vec![greeting.clone(), row.clone()], 2, vec!["up", "rows(v)", "unwritten"]),
        ("behind an error", vec![greeting.clone(), error("53300")], 2, vec!["up", "53300", "unwritten"]),
        ("while idle", vec![greeting.clone(), row, ready], 2, vec!["up", "rows(v)", "unwritten"]),
    ];
    for (name, came, written, told) in cases {
        let (mut member, mut out) = (MemberConnection::new(1, QUERY), ConnectionOutput::default());
        member.on_command(MemberCommand::Query(query("q")), AT, &mut out);
        member.on_open(&mut out);
        let mut left = written;
        for bytes in &came {
            if left > 0 {
                member.on_written(&mut out);
                left -= 1;
            }
            hear(&mut member, bytes, bytes.len(), &mut out);
        }
        (0..left).for_each(|_| member.on_written(&mut out));
        // A greeting that is no welcome is not waited on.
        assert_eq!(
            out.close,
            name.contains("turned away") || name.contains("password"),
            "{name}"
        );
        member.on_closed(AT, &mut out);
        assert_eq!(member_news(&out.events), told, "{name}");
    }
}

#[test]
fn the_comment_is_read_whatever_its_order() {
    let marked = |workload: &str, group, left_ms, repeat, after, key: Option<&str>| StatementComment {
        id_hash: 0,
        workload: workload.to_owned(),
        group,
        time_left_ms: left_ms,
        is_client_retry: repeat,
        required_position_ms: after,
        key: key.map(str::to_owned),
        time_left_range: 0..0,
    };
    #[rustfmt::skip]
    let cases = [
        ("/* id=9b,c=basket,d=480,cluster=2,after=1767225600123 */ SELECT blob FROM rows WHERE handle = '7f3a'",
         Ok(marked("basket", 2, 480, false, Some(1_767_225_600_123), Some("7f3a")))),
        ("  /*cluster=0 , r=1,d=12,new=thing,c=a b,id=x,k=w*/ INSERT INTO rows VALUES ('it''s', '\\x9f03')",
         Ok(marked("a b", 0, 12, true, None, Some("it's")))),
        ("/* id=9,c=a,d=1,cluster=1,r=0 */ SELECT 1", Ok(marked("a", 1, 1, false, None, None))),
        ("SELECT 1", Err("42601")),
        ("/* id=1,c=a,d=1,cluster=1 SELECT 1", Err("42601")),
        ("/* id=1,c=a,d=1,cluster=1 */ SELECT 'open", Err("42601")),
        ("/* c=a,d=1,cluster=1 */ SELECT 1", Err("22023")),
        ("/* id=1,c=a,cluster=1 */ SELECT 1", Err("22023")),
        ("/* id=1,c=a,d=soon,cluster=1 */ SELECT 1", Err("22023")),
        ("/* id=1,c=a,d=-1,cluster=1 */ SELECT 1", Err("22023")),
        ("/* id=1,c=a,d=1,cluster=99999999999 */ SELECT 1", Err("22023")),
        ("/* id=1,c=a,d=1,cluster=1,after=x */ SELECT 1", Err("22023")),
    ];
    for (text, expected) in cases {
        match (statement_comment::parse(text), expected) {
            (Ok(found), Ok(expected)) => {
                let left_at = found.time_left_range.clone();
                assert_eq!(text[left_at.clone()], expected.time_left_ms.to_string(), "{text}");
                let passed = statement_comment::with_time_left(text.as_bytes(), &left_at, 7);
                let passed = String::from_utf8(passed).expect("stays text");
                assert_eq!(
                    passed,
                    text.replacen(&format!("d={}", expected.time_left_ms), "d=7", 1)
                );
                let id = found.id_hash;
                assert_eq!(
                    found,
                    StatementComment {
                        id_hash: id,
                        time_left_range: left_at,
                        ..expected
                    },
                    "{text}"
                );
            }
            (found, expected) => assert_eq!(found.map_err(|e| e.code), expected, "{text}"),
        }
    }
    let id = |id: &str| {
        statement_comment::parse(&format!("/* id={id},c=a,d=1,cluster=1 */ SELECT 1")).map(|m| m.id_hash)
    };
    assert!(id("7").is_ok() && id("7") == id("7") && id("7") != id("8"));
}

/// A driver with more memory takes longer messages, but a fixed share of it at most.
#[test]
fn the_longest_message_follows_the_memory() {
    #[rustfmt::skip]
    let cases = [(0, 135_168), (1 << 20, 135_168), (8 << 20, 512 << 10), (48 << 20, 3 << 20), (1 << 40, 16 << 20)];
    for (room, bound) in cases {
        assert_eq!(messages::max_message(room), bound);
    }
    let value = vec![b'x'; 300_000];
    let answer = [
        described(1),
        row(&value),
        message(b'C', b"SELECT 1\0"),
        message(b'Z', b"I"),
    ]
    .concat();
    for (room, news) in [(1 << 20, "malformed"), (8 << 20, "rows")] {
        let mut member = MemberConnection::new(1, messages::max_message(room));
        let mut out = greet(&mut member);
        hear(&mut member, &answer, 10_000, &mut out);
        assert!(member_news(&out.events)[0].starts_with(news), "{room}");
    }
}

#[test]
fn positions_are_never_told_fresher_than_they_are() {
    let at = |ms: u64| Some(Timestamp(0) + TimeSpan::millis(ms));
    let seen = |position, is_primary| ReplicaStatus { position, is_primary };
    #[rustfmt::skip]
    let cases = [
        ("x0=1767225600.123,x1=1,cpu_share=0.5", seen(at(1_767_225_600_123), Some(true))),
        ("cpu_share=0.5,x1=0,x0=1767225600.9999", seen(at(1_767_225_600_999), Some(false))),
        ("x0=12", seen(at(12_000), None)),
        ("x0=-3,x1=", seen(None, None)),
        ("x0=nan,x1=inf", seen(None, None)),
        ("x0=9e99,x1=1e300", seen(None, None)),
        ("x0=18446744073709551,x1=1", seen(None, Some(true))),
        ("nothing of the kind", seen(None, None)),
        ("", seen(None, None)),
    ];
    for (text, expected) in cases {
        assert_eq!(
            replica_status::parse_load_report(text, Some("x0"), Some("x1")),
            expected,
            "{text}"
        );
    }
    assert_eq!(
        replica_status::parse_load_report("x0=5,x1=1", None, None),
        ReplicaStatus::default()
    );
    for (text, expected) in [
        ("5", at(5)),
        ("0", None),
        ("-5", None),
        ("18446744073709551615", None),
        ("5.5", None),
    ] {
        assert_eq!(replica_status::parse_position(text), expected, "{text}");
    }
}

#[test]
fn discovery_is_read_or_left_out() {
    let whole = |status, body: &[u8], taken, keep| Response::Complete {
        status,
        body: body.to_vec(),
        length: taken,
        keep_alive: keep,
    };
    #[rustfmt::skip]
    let cases: Vec<(&[u8], Response)> = vec![
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}HT", whole(200, b"{}", 40, true)),
        (b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nConnection: close\r\n\r\n{}", whole(200, b"{}", 59, false)),
        (b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", whole(503, b"", 38, true)),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n1\r\n}\r\n0\r\n\r\n", whole(200, b"{}", 64, true)),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{}", Response::Partial),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}", Response::Partial),
        (b"HTTP/1.1 200 OK\r\nCont", Response::Partial),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}x\r\n", Response::Malformed),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", Response::Malformed),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", Response::Malformed),
        (b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", Response::Malformed),
        (b"HTTP/1.1 200 OK\r\n\r\n{}", Response::UntilClose { status: 200, body_start: 19 }),
        (b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n{}", Response::Malformed),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n{}", Response::Malformed),
        (b"SSH-2.0-OpenSSH\r\n", Response::Malformed),
    ];
    for (bytes, expected) in cases {
        assert_eq!(
            http::parse_response(bytes),
            expected,
            "{}",
            String::from_utf8_lossy(bytes)
        );
    }
    let listed = |entry: &str| format!(r#"{{"index":4,"snapshot":false,"endpoints":[{entry}]}}"#);
    let good = r#"{"name":"s","address":"1.2.3.4:5","zone":"a","group":3,"status":"DRAINING","weight":2.5,"since_ms":9,"rank":"source"}"#;
    #[rustfmt::skip]
    let cases = [
        (listed(good), Some((1, 0))),
        (listed(r#"{"name":"s","status":"DELETED"}"#), Some((1, 0))),
        (format!("\r\n {{\n\t\"endpoints\" : [\n    {good}\n  ] ,\r\n  \"index\" :\t4\n}}\n\n"), Some((1, 0))),
        (listed(good)[..60].to_owned(), None),
        (format!("{}x", listed(good)), None),
        (listed(&format!(r#"{good},{{"address":"1.2.3.4:5","status":"SERVING"}},7"#)), Some((1, 2))),
        (listed(r#"{"name":"s","status":"SERVING"}"#), Some((0, 1))),
        (listed(r#"{"name":"s","address":"1.2.3.4:5","status":"AWAY"}"#), Some((0, 1))),
        (listed(r#"{"name":"s","address":"1.2.3.4:5","status":"SERVING","group":"x"}"#), Some((0, 1))),
        (r#"{"index":4}"#.to_owned(), None),
        (r#"{"endpoints":[]}"#.to_owned(), None),
        ("[]".to_owned(), None),
        (listed("").replacen('{', &format!(r#"{{"x":{}1{},"#, "[".repeat(15), "]".repeat(15)), 1), Some((0, 0))),
        (listed("").replacen('{', &format!(r#"{{"x":{}1{},"#, "[".repeat(16), "]".repeat(16)), 1), None),
        (listed("").replacen('{', &format!(r#"{{"x":"\\\"{}","#, "[".repeat(99)), 1), Some((0, 0))),
        ("{".to_owned(), None),
    ];
    for (text, expected) in cases {
        let read = endpoint_list::parse(text.as_bytes());
        assert_eq!(read.map(|r| (r.entries.len(), r.skipped)), expected, "{text}");
    }
    let read = endpoint_list::parse(listed(good).as_bytes()).expect("is good");
    let e = &read.entries[0];
    assert_eq!(
        (read.index, read.is_complete, e.status, e.group),
        (4, false, EndpointStatus::Draining, 3)
    );
    assert_eq!(
        (e.weight, e.since_ms, e.is_primary, &e.zone[..]),
        (2.5, 9, true, "a")
    );
}

#[test]
fn a_watch_goes_on_in_the_turn_in_which_it_was_answered() {
    let answer = |body: &str| format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let list = |index: u32| answer(&format!(r#"{{"index":{index},"snapshot":true,"endpoints":[]}}"#));
    let path = |out: &ConnectionOutput<discovery_watch::DiscoveryMessage>| {
        let text = String::from_utf8_lossy(&out.bytes).into_owned();
        text.split(' ').nth(1).unwrap_or_default().to_owned()
    };
    for (known, first) in [
        (None, "/registry/instances"),
        (Some(7), "/registry/instances?after=7&wait_ms=500"),
    ] {
        let (mut calls, mut out) = (
            discovery_watch::DiscoveryWatch::new(3, "h".to_owned(), 500, known),
            ConnectionOutput::default(),
        );
        calls.on_open(&mut out);
        assert_eq!(path(&out), first);
        for index in [8, 9] {
            out.bytes.clear();
            hear(&mut calls, list(index).as_bytes(), 11, &mut out);
            assert_eq!(
                path(&out),
                format!("/registry/instances?after={index}&wait_ms=500")
            );
            assert!(
                matches!(out.events.pop(), Some(discovery_watch::DiscoveryMessage { request: 3, event: discovery_watch::DiscoveryEvent::Listed(r) }) if r.index == u64::from(index))
            );
        }
        // Discovery began anew, with changes that came after nothing known here; in the end with the whole list.
        out.bytes.clear();
        let change = answer(r#"{"index":2,"snapshot":false,"endpoints":[]}"#);
        hear(&mut calls, change.as_bytes(), 11, &mut out);
        assert_eq!(path(&out), "/registry/instances");
        assert!(matches!(
            out.events.pop(),
            Some(discovery_watch::DiscoveryMessage {
                event: discovery_watch::DiscoveryEvent::Outdated,
                ..
            })
        ));
        hear(&mut calls, list(2).as_bytes(), 11, &mut out);
        assert!(
            matches!(out.events.pop(), Some(discovery_watch::DiscoveryMessage { event: discovery_watch::DiscoveryEvent::Listed(r), .. }) if r.is_complete)
        );
        hear(&mut calls, answer("{}").as_bytes(), 11, &mut out);
        assert!(matches!(
            out.events.pop(),
            Some(discovery_watch::DiscoveryMessage {
                request: 3,
                event: discovery_watch::DiscoveryEvent::Unreadable
            })
        ));
        assert!(out.close);
    }
}

/// An answer that says no length ends with its connection, where the peer ended that. A reset is no end, and one that was cut
/// is none either.
#[test]
fn an_answer_without_a_length_is_whole_at_its_connections_end() {
    let head = "HTTP/1.1 200 OK\r\n\r\n";
    let list = r#"{"index":8,"snapshot":true,"endpoints":[]}"#;
    for (status, bytes, ended, told) in [
        ("whole", format!("{head}{list}"), true, "8"),
        ("reset", format!("{head}{list}"), false, ""),
        ("cut", format!("{head}{}", &list[..20]), true, "unreadable"),
        (
            "not a list",
            format!("HTTP/1.1 503 No\r\n\r\n{list}"),
            true,
            "unreadable",
        ),
        ("only a head", head.to_owned(), true, "unreadable"),
        ("half a head", head[..12].to_owned(), true, ""),
        (
            "half of what was promised",
            format!("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{list}"),
            true,
            "",
        ),
    ] {
        let mut call = discovery_watch::DiscoveryWatch::new(3, "h".to_owned(), 500, Some(7));
        let (mut out, mut input) = (ConnectionOutput::default(), Vec::new());
        call.on_open(&mut out);
        assert!(
            call.wants_input(1 << 20) && !call.wants_input(16 << 20),
            "one that never ends fills no memory"
        );
        for byte in bytes.bytes() {
            input.push(byte);
            call.on_input(&mut input, AT, &mut out);
        }
        assert!(out.events.is_empty(), "{status}: not before its end");
        if ended {
            call.on_peer_closed(&input, &mut out);
        }
        call.on_closed(AT, &mut out);
        let words = out.events.iter().map(|n| match &n.event {
            discovery_watch::DiscoveryEvent::Listed(list) => list.index.to_string(),
            discovery_watch::DiscoveryEvent::Outdated => "older".to_owned(),
            discovery_watch::DiscoveryEvent::Unreadable => "unreadable".to_owned(),
            discovery_watch::DiscoveryEvent::Closed => "down".to_owned(),
        });
        let words = words.collect::<Vec<_>>().join(" ");
        assert_eq!(words, format!("{told} down").trim(), "{status}");
    }
}
