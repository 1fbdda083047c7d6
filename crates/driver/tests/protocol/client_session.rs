//! Connections of clients.

use crate::harness::*;

/// Statements that wait fill no more than their part of the memory; what comes beyond is told so at once.
#[test]
fn client_statements_stay_within_memory_budget() {
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
#[expect(clippy::too_many_lines, reason = "a table of cases, or one run step by step")]
fn client_message_not_ended_in_time_closes_connection() {
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

#[test]
fn client_messages_in_any_pieces_are_read_alike() {
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
fn pipelined_statements_get_one_answer_each_in_order() {
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
fn pipeline_is_bounded_and_answered_in_order() {
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
fn drain_and_reject_close_once_nothing_is_open() {
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

/// A client that closes its side has an answer to each statement that was read, those included for which the pipeline had no
/// place yet; then the connection ends.
#[test]
fn on_input_ended_every_statement_read_is_answered() {
    for ahead in [1, 2, 16, 20] {
        let (mut session, mut out) = (session(1 << 20), ConnectionOutput::default());
        let mut input = [greeted(), query("SELECT 1").repeat(ahead)].concat();
        session.on_input(&mut input, AT, &mut out);
        out.bytes.clear();
        assert!(session.on_input_ended(true, &mut out), "answers are owed");
        assert!(session.on_input_ended(true, &mut out), "said once");
        assert_eq!(client_news(&out.events).matches("input ended").count(), 1);
        let open = ahead.min(16) as u32;
        for number in 0..open {
            assert!(!out.close, "{number} of {ahead}");
            let rejected = FinalAnswer::Error {
                code: "53300",
                message: "m",
                retry_after_ms: None,
            };
            session.on_command(ClientCommand::Answer(number, rejected), AT, &mut out);
            session.on_input(&mut input, AT, &mut out);
        }
        assert_eq!(spoken(&out.bytes).matches("E53300 Z").count(), ahead);
        assert!(out.close);
    }
}

#[test]
fn on_input_ended_without_open_statements_closes() {
    for bytes in [
        Vec::new(),
        greeted(),
        [greeted(), query("a")[..4].to_vec()].concat(),
    ] {
        let (mut session, mut out) = (session(1 << 20), ConnectionOutput::default());
        session.on_input(&mut bytes.clone(), AT, &mut out);
        out.bytes.clear();
        assert!(!session.on_input_ended(true, &mut out));
    }
    // What is still to be written is written first.
    let (mut session, mut out) = (session(1 << 20), ConnectionOutput::default());
    session.on_input(&mut greeted(), AT, &mut out);
    assert!(session.on_input_ended(true, &mut out) && out.close);
}

/// A client may send statements with its startup, before it is known that there is no place for it.
#[test]
fn reject_answers_every_statement_that_was_read() {
    for ahead in [0, 1, 3] {
        let (mut session, mut out) = (session(1 << 20), ConnectionOutput::default());
        session.on_input(
            &mut [greeted(), query("SELECT 1").repeat(ahead)].concat(),
            AT,
            &mut out,
        );
        out.bytes.clear();
        session.on_command(ClientCommand::Reject, AT, &mut out);
        assert_eq!(spoken(&out.bytes).matches("E53300").count(), ahead.max(1));
        assert!(out.close);
    }
}
