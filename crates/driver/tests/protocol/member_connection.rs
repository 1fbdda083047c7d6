//! Connections to members.

use crate::harness::*;

pub(crate) fn data_row(value: &[u8]) -> Vec<u8> {
    let head = [&1u16.to_be_bytes()[..], &(value.len() as u32).to_be_bytes()].concat();
    message(b'D', &[&head[..], value].concat())
}

pub(crate) fn row_description(columns: u16) -> Vec<u8> {
    message(
        b'T',
        &[
            &columns.to_be_bytes()[..],
            &b"blob\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01".repeat(columns.into()),
        ]
        .concat(),
    )
}

pub(crate) fn parameter_status(name: &str, value: &str) -> Vec<u8> {
    message(b'S', format!("{name}\0{value}\0").as_bytes())
}

pub(crate) fn error_response(code: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0C{code}\0Mwhy\0\0").as_bytes())
}

pub(crate) fn describe_member_events(events: &[member_connection::MemberEvent]) -> Vec<String> {
    let descriptions = events.iter().map(|event| match event {
        member_connection::MemberEvent::Transferred { .. } => "transferred".to_owned(),
        member_connection::MemberEvent::Connected { .. } => "connected".to_owned(),
        member_connection::MemberEvent::RepliedInDoubt { .. } => "in doubt".to_owned(),
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
            if *written { "written" } else { "unwritten" }.to_owned()
        }
    });
    descriptions.collect()
}

#[test]
#[expect(clippy::too_many_lines, reason = "a table of cases, or one run step by step")]
fn on_input_member_answer_is_classified() {
    let ready = message(b'Z', b"I");
    let answer = [row_description(1), data_row(b"v"), message(b'C', b"SELECT 1\0")].concat();
    let ok = |more: Vec<u8>| [&answer[..], &more, &ready].concat();
    let error_answer = |code: &str, more: Vec<u8>| [error_response(code), more, ready.clone()].concat();
    let large_answer = [
        row_description(1),
        data_row(&vec![b'x'; MAX_VALUE_BYTES]),
        message(b'C', b"SELECT 1\0"),
        ready.clone(),
    ]
    .concat();
    #[rustfmt::skip]
    let cases: Vec<(&str, Vec<u8>, &str, bool)> = vec![
        ("a row", ok(vec![]), "rows(v)", false),
        ("a row with position and role", ok([parameter_status("as_of", "1767225600123"), parameter_status("rank", "copy")].concat()), "rows(v)@1767225600123?", false),
        ("a commit on the primary", ok([parameter_status("as_of", "5"), parameter_status("rank", "source")].concat()), "rows(v)@5!", false),
        ("a row with a load report", ok(parameter_status("vitals", "inflight=7,util=0.61")), "rows(v)inflight=7,util=0.61", false),
        ("a notice before a row", [message(b'N', b"SNOTICE\0\0"), ok(vec![])].concat(), "rows(v)", false),
        ("other parameters", ok(parameter_status("TimeZone", "UTC")), "rows(v)", false),
        ("a load report that is not text", ok(message(b'S', b"vitals\0\xff\xfe\0")), "rows(v)", false),
        ("an unterminated load report", ok(message(b'S', b"vitals\0x0=1")), "malformed", true),
        ("invalid position and role", ok([parameter_status("as_of", "soon"), parameter_status("rank", "king")].concat()), "rows(v)", false),
        ("not the primary", error_answer("25006", parameter_status("rank", "copy")), "25006?", false),
        ("too far behind", error_answer("72000", parameter_status("as_of", "9")), "72000@9", false),
        ("an error", error_answer("XX000", vec![]), "XX000", false),
        ("rejected", error_answer("53300", vec![]), "53300", false),
        ("an error that ends the connection", message(b'E', b"SFATAL\0C53300\0Mno\0\0"), "53300", true),
        ("two columns", [row_description(2), data_row(b"v"), ready.clone()].concat(), "malformed", true),
        ("two rows", [row_description(1), data_row(b"v"), data_row(b"w"), ready.clone()].concat(), "malformed", true),
        ("a row without a description", [data_row(b"v"), ready.clone()].concat(), "malformed", true),
        ("no row", [row_description(1), message(b'C', b"SELECT 0\0"), ready.clone()].concat(), "malformed", true),
        ("a truncated row", [row_description(1), message(b'D', b"\0\x01\0\0\0\x09abc"), ready.clone()].concat(), "malformed", true),
        ("ready without an answer", ready.clone(), "malformed", true),
        ("an empty answer", [message(b'I', b""), ready.clone()].concat(), "malformed", true),
        ("an error without a code", [message(b'E', b"SERROR\0\0"), ready.clone()].concat(), "malformed", true),
        ("an invalid code", error_answer("533", vec![]), "malformed", true),
        ("an unterminated error", [message(b'E', b"SERROR\0C53300\0Mno"), ready.clone()].concat(), "malformed", true),
        ("invalid bytes in an error", [message(b'E', b"SERROR\0C53300\0\x03\xff\0\0"), ready.clone()].concat(), "malformed", true),
        ("a malformed description", [message(b'T', b"\0\x01blob\0\0\0"), data_row(b"v"), ready.clone()].concat(), "malformed", true),
        ("a malformed completion", [row_description(1), data_row(b"v"), message(b'C', b"SEL"), ready.clone()].concat(), "malformed", true),
        ("an unknown transaction status", [&answer[..], &message(b'Z', b"?")].concat(), "malformed", true),
        ("a position with a malformed answer", [&answer[..], &parameter_status("as_of", "9"), &parameter_status("rank", "source"), &message(b'Z', b"")].concat(), "malformed", true),
        ("an error after the row", [&answer[..], &error_response("XX000"), &ready].concat(), "malformed", true),
        ("an invalid message length", vec![b'T', 0, 0, 0, 0], "malformed", true),
        ("a message beyond the limit", vec![b'D', 0, 3, 0, 0], "malformed", true),
        ("another protocol", b"HTTP/1.1 400 Bad Request\r\n\r\n".to_vec(), "malformed", true),
        ("unexpected bytes after the answer", [ok(vec![]), vec![b'D']].concat(), "rows(v)", true),
    ];
    for (name, bytes, expected, close) in &cases {
        for chunk_bytes in [bytes.len(), 1] {
            let (mut member, mut out) = busy_member();
            feed_input(&mut member, bytes, chunk_bytes, &mut out);
            assert_eq!(
                (describe_member_events(&out.events), out.close),
                (vec![(*expected).to_owned()], *close),
                "{name}"
            );
        }
    }
    let (mut member, mut out) = busy_member();
    feed_input(&mut member, &large_answer, 1000, &mut out);
    let Some(member_connection::MemberEvent::Replied {
        reply: Reply::Rows(rows),
        ..
    }) = out.events.pop()
    else {
        panic!("expected rows for a value of maximum length");
    };
    assert_eq!(rows, large_answer[..large_answer.len() - ready.len()]);
}

/// A connection that has completed its startup and written its query.
pub(crate) fn busy_member() -> (MemberConnection, ConnectionOutput<member_connection::MemberEvent>) {
    let mut member = MemberConnection::new(1, MAX_QUERY_BYTES);
    let out = complete_startup(&mut member);
    (member, out)
}

pub(crate) fn complete_startup(
    member: &mut MemberConnection,
) -> ConnectionOutput<member_connection::MemberEvent> {
    let mut out = ConnectionOutput::default();
    member.on_open(&mut out);
    member.on_command(MemberCommand::Query(query("q")), AT, &mut out);
    member.on_written(&mut out);
    let startup_response = [
        message(b'R', &[0; 4]),
        parameter_status("rank", "copy"),
        message(b'Z', b"I"),
    ]
    .concat();
    feed_input(member, &startup_response, 7, &mut out);
    member.on_written(&mut out);
    assert_eq!(describe_member_events(&out.events), ["connected"]);
    ConnectionOutput::default()
}

#[test]
fn on_closed_reports_whether_query_was_written() {
    let ready = message(b'Z', b"I");
    let startup_response = [message(b'R', &[0; 4]), ready.clone()].concat();
    let row = [row_description(1), data_row(b"v"), message(b'C', b"SELECT 1\0")].concat();
    // Received messages, number of completed writes, expected events.
    #[rustfmt::skip]
    let cases = [
        ("before any write", vec![], 0, vec!["unwritten"]),
        ("during startup", vec![], 1, vec!["unwritten"]),
        ("rejected during startup", vec![error_response("53300")], 1, vec!["unwritten"]),
        ("password requested", vec![message(b'R', &[0, 0, 0, 3])], 1, vec!["unwritten"]),
        ("query partly written", vec![startup_response.clone()], 1, vec!["connected", "unwritten"]),
        ("query written", vec![startup_response.clone()], 2, vec!["connected", "written"]),
        ("partial row", vec![startup_response.clone(), row[..20].to_vec()], 2, vec!["connected", "written"]),
        ("complete row", vec![startup_response.clone(), row.clone()], 2, vec!["connected", "rows(v)", "unwritten"]),
        ("error", vec![startup_response.clone(), error_response("53300")], 2, vec!["connected", "53300", "unwritten"]),
        ("idle", vec![startup_response.clone(), row, ready], 2, vec!["connected", "rows(v)", "unwritten"]),
    ];
    for (name, received, write_count, expected) in cases {
        let (mut member, mut out) = (
            MemberConnection::new(1, MAX_QUERY_BYTES),
            ConnectionOutput::default(),
        );
        member.on_command(MemberCommand::Query(query("q")), AT, &mut out);
        member.on_open(&mut out);
        let mut remaining_writes = write_count;
        for bytes in &received {
            if remaining_writes > 0 {
                member.on_written(&mut out);
                remaining_writes -= 1;
            }
            feed_input(&mut member, bytes, bytes.len(), &mut out);
        }
        (0..remaining_writes).for_each(|_| member.on_written(&mut out));
        // A failed startup closes the connection.
        assert_eq!(
            out.close,
            name.contains("rejected") || name.contains("password"),
            "{name}"
        );
        member.on_closed(AT, &mut out);
        assert_eq!(describe_member_events(&out.events), expected, "{name}");
    }
}

/// Guards against rows of other statements: a second copy of an answer that arrived behind the next query was taken
/// for the answer to that one.
#[test]
fn on_input_copy_of_last_answer_is_not_the_next_answer() {
    let answer = |value: &[u8], as_of: &str| {
        let messages = [
            row_description(1),
            data_row(value),
            message(b'C', b"SELECT 1\0"),
            parameter_status("as_of", as_of),
            message(b'Z', b"I"),
        ];
        messages.concat()
    };
    let (last, next) = (answer(b"a", "5"), answer(b"b", "5"));
    let both = [last.clone(), next.clone()].concat();
    type Parts<'a> = &'a [(u64, &'a [u8])];
    // Answers of 4 ms; the second query is sent 0.1 ms behind the first answer. Times in us behind that answer.
    #[rustfmt::skip]
    let cases: [(&str, Parts, &[&str]); 8] = [
        ("a copy before the answer", &[(400, &last), (5000, &next)], &["in doubt", "rows(b)@5"]),
        ("two copies before the answer", &[(400, &last), (900, &last), (5000, &next)], &["in doubt", "in doubt", "rows(b)@5"]),
        ("a copy that is read late, with the answer", &[(5000, &both)], &["in doubt", "rows(b)@5"]),
        ("a copy before an answer that is read with it", &[(400, &both)], &["in doubt", "rows(b)@5"]),
        ("an equal answer", &[(4000, &last)], &["rows(a)@5"]),
        ("another row at once", &[(400, &next)], &["rows(b)@5"]),
        ("the same row at another position", &[(400, &answer(b"a", "6"))], &["rows(a)@6"]),
        ("an error at once", &[(400, &error_response("53300")), (400, &message(b'Z', b"I"))], &["53300"]),
    ];
    for (name, parts, expected) in cases {
        for chunk_bytes in [usize::MAX, 1] {
            let (mut member, mut out) = (MemberConnection::resume(1, 1 << 17), ConnectionOutput::default());
            let answered_at = AT + TimeSpan::millis(4);
            member.on_command(MemberCommand::Query(query("a")), AT, &mut out);
            member.on_input(&mut last.clone(), answered_at, &mut out);
            out.events.clear();
            let sent_at = answered_at + TimeSpan(100);
            member.on_command(MemberCommand::Query(query("b")), sent_at, &mut out);
            for (after, bytes) in parts {
                let mut input = Vec::new();
                // Read byte by byte, nothing tells that the answer follows a late copy.
                let chunk_bytes = if bytes.len() == both.len() {
                    usize::MAX
                } else {
                    chunk_bytes
                };
                for chunk in bytes.chunks(chunk_bytes.min(bytes.len())) {
                    input.extend(chunk);
                    member.on_input(&mut input, answered_at + TimeSpan(*after), &mut out);
                }
            }
            assert_eq!(describe_member_events(&out.events), expected, "{name}");
            assert!(!out.close, "{name}");
        }
    }
}
