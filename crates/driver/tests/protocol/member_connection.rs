//! Connections to members.

use crate::harness::*;

pub(crate) fn row(value: &[u8]) -> Vec<u8> {
    let head = [&1u16.to_be_bytes()[..], &(value.len() as u32).to_be_bytes()].concat();
    message(b'D', &[&head[..], value].concat())
}

pub(crate) fn described(columns: u16) -> Vec<u8> {
    message(
        b'T',
        &[
            &columns.to_be_bytes()[..],
            &b"blob\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01".repeat(columns.into()),
        ]
        .concat(),
    )
}

pub(crate) fn status(name: &str, value: &str) -> Vec<u8> {
    message(b'S', format!("{name}\0{value}\0").as_bytes())
}

pub(crate) fn error(code: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0C{code}\0Mwhy\0\0").as_bytes())
}

pub(crate) fn member_news(notices: &[member_connection::MemberEvent]) -> Vec<String> {
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
#[expect(clippy::too_many_lines, reason = "a table of cases, or one run step by step")]
fn member_answers_are_classified() {
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
pub(crate) fn greeted_member() -> (MemberConnection, ConnectionOutput<member_connection::MemberEvent>) {
    let mut member = MemberConnection::new(1, QUERY);
    let out = greet(&mut member);
    (member, out)
}

pub(crate) fn greet(member: &mut MemberConnection) -> ConnectionOutput<member_connection::MemberEvent> {
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
fn closed_member_connection_reports_whether_query_was_written() {
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
