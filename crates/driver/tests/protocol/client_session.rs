//! Client connections.

use crate::harness::*;

/// Statements beyond the memory budget are rejected immediately.
#[test]
fn on_input_statement_beyond_memory_budget_is_rejected() {
    let statement_bytes = client_events::STATEMENT_BYTES + "SELECT 1".len();
    let (budget, mut input) = (MemoryBudget::new(2 * statement_bytes + 4), Vec::new());
    let mut sessions =
        [1, 2, 3].map(|n| (ClientSession::new(n, budget.clone()), ConnectionOutput::default()));
    for (index, (session, out)) in sessions.iter_mut().enumerate() {
        input.extend([default_startup(), query("SELECT 1")].concat());
        session.on_input(&mut input, AT, out);
        let (expected_events, expected_output) =
            [("stmt(SELECT 1)", ""), ("out of memory", " E53300 Z")][index / 2];
        assert_eq!(
            describe_client_events(&out.events),
            format!("idle {expected_events}")
        );
        assert_eq!(
            describe_messages(&out.bytes),
            format!("{STARTUP_RESPONSE}{expected_output}")
        );
    }
    assert_eq!(budget.reserved(), 2 * statement_bytes);
    drop(sessions);
    assert_eq!(budget.reserved(), 0, "released with the statement");
    // A partly written answer is always reserved, and statements are rejected meanwhile.
    let mut unwritten = budget.empty_reservation();
    unwritten.force_resize(5 * statement_bytes);
    assert!(
        budget.reserved() == 5 * statement_bytes
            && client_events::StatementText::new("SELECT 1", &budget).is_none()
    );
    assert!(
        unwritten.resize(statement_bytes) && client_events::StatementText::new("SELECT 1", &budget).is_some()
    );
}

/// Guards against a queue that grows without end: each rejected statement of a client that sends without pause
/// was an event of its own, and the event loop couldn't keep up.
#[test]
fn on_input_many_statements_rejected_for_memory_are_one_event() {
    const STATEMENTS: usize = 500;
    let (mut session, mut out) = (new_session(0), ConnectionOutput::default());
    let mut input = [default_startup(), query("SELECT 1").repeat(STATEMENTS)].concat();
    session.on_input(&mut input, AT, &mut out);
    let expected = format!("idle out of memory {STATEMENTS} times");
    assert_eq!(describe_client_events(&out.events), expected);
    assert_eq!(
        describe_messages(&out.bytes).matches("E53300").count(),
        STATEMENTS
    );
}

/// An incomplete message is reported once and its timeout sends an error. An idle client that has sent a
/// query gets no error, since it could be taken for the answer to a statement in transit.
#[test]
#[expect(clippy::too_many_lines, reason = "a table of cases, or one run step by step")]
fn on_command_timeout_without_open_statement_closes_connection() {
    let first_half = |bytes: &[u8]| bytes[..bytes.len() / 2].to_vec();
    let after = |bytes: &[u8]| [&default_startup()[..], bytes].concat();
    let oversized_part = [&b"Q\0\x08\0\0"[..], &[b'x'; 100]].concat();
    #[rustfmt::skip]
    let cases = [
        ("no input", Vec::new(), "", "E08P01"),
        ("partial startup message", first_half(&default_startup()), "", "E08P01"),
        ("idle after startup", default_startup(), "idle", "E57P03"),
        ("idle after a query", after(&query("")), "idle", ""),
        ("partial statement", after(&first_half(&query("SELECT 1"))), "idle partial", "E08P01"),
        ("declared length beyond the input", after(&[b'Q', 0, 0, 1, 0, b'S']), "idle partial", "E08P01"),
        ("partial oversized query", after(&oversized_part), "idle oversized partial", "E08P01"),
        ("open statement", after(&query("SELECT 1")), "idle stmt(SELECT 1)", "open"),
    ];
    for (name, bytes, expected_events, expected_output) in cases {
        let (mut session, mut out) = (new_session(1 << 20), ConnectionOutput::default());
        feed_input(&mut session, &bytes, bytes.len().max(1), &mut out);
        assert_eq!(describe_client_events(&out.events), expected_events, "{name}");
        out.bytes.clear();
        session.on_command(ClientCommand::TimeOut, AT, &mut out);
        match expected_output {
            "open" => assert!(out.bytes.is_empty() && !out.close, "{name}"),
            _ => assert_eq!(
                (&describe_messages(&out.bytes)[..], out.close),
                (expected_output, true),
                "{name}"
            ),
        }
    }
    // Draining within a message: it is read and answered first.
    let (mut session, mut out, mut input) = (
        new_session(1 << 20),
        ConnectionOutput::default(),
        after(&first_half(&query("SELECT 1"))),
    );
    session.on_input(&mut input, AT, &mut out);
    session.on_command(ClientCommand::Drain, AT, &mut out);
    session.on_input(&mut input, AT, &mut out);
    assert!(!out.close);
    input.extend(&query("SELECT 1")[query("SELECT 1").len() / 2..]);
    session.on_input(&mut input, AT, &mut out);
    assert_eq!(describe_client_events(&out.events), "idle partial stmt(SELECT 1)");
    session.on_command(ClientCommand::Answer(0, rows(Vec::new())), AT, &mut out);
    assert_eq!(
        finish_drain(&mut session, &mut input, &mut out),
        "",
        "closed without an error"
    );
    // Draining within a message that is never completed.
    let (mut session, mut out) = (
        ClientSession::new(1, MemoryBudget::new(1 << 20)),
        ConnectionOutput::default(),
    );
    input.extend(after(&first_half(&query("SELECT 1"))));
    session.on_input(&mut input, AT, &mut out);
    out.bytes.clear();
    session.on_command(ClientCommand::Drain, AT, &mut out);
    session.on_all_read(AT, &mut out);
    assert!(!out.close && out.bytes.is_empty());
    session.on_command(ClientCommand::TimeOut, AT, &mut out);
    assert_eq!(
        (&describe_messages(&out.bytes)[..], out.close),
        ("E57P03", true),
        "rejected, and nothing was forwarded"
    );
    input.clear();
    // Draining with a pipeline: all statements that have arrived are answered.
    let (mut session, mut out) = (
        ClientSession::new(1, MemoryBudget::new(1 << 20)),
        ConnectionOutput::default(),
    );
    input.extend(after(&[query("a"), query("b"), query("c")].concat()));
    session.on_input(&mut input, AT, &mut out);
    session.on_command(ClientCommand::Drain, AT, &mut out);
    for number in 0..3 {
        assert!(!out.close, "{number}");
        session.on_command(ClientCommand::Answer(number, rows(Vec::new())), AT, &mut out);
        session.on_input(&mut input, AT, &mut out);
    }
    assert_eq!(finish_drain(&mut session, &mut input, &mut out), "");
    assert_eq!(
        describe_client_events(&out.events),
        "idle stmt(a) stmt(b) stmt(c) idle"
    );
    // Draining while a statement is unread in the socket: it arrived on an open connection and is answered.
    let (mut session, mut out) = (
        ClientSession::new(1, MemoryBudget::new(1 << 20)),
        ConnectionOutput::default(),
    );
    input.extend(default_startup());
    session.on_input(&mut input, AT, &mut out);
    session.on_command(ClientCommand::Drain, AT, &mut out);
    assert!(out.read_again && !out.close, "reads once more");
    input.extend(query("a"));
    session.on_input(&mut input, AT, &mut out);
    session.on_all_read(AT, &mut out);
    assert!(!out.close);
    assert_eq!(describe_client_events(&out.events), "idle stmt(a)");
    session.on_command(ClientCommand::Answer(0, rows(Vec::new())), AT, &mut out);
    assert_eq!(finish_drain(&mut session, &mut input, &mut out), "");
}

/// Finishes a drain after a last read without input; returns the closing output.
fn finish_drain(
    session: &mut ClientSession,
    input: &mut Vec<u8>,
    out: &mut ConnectionOutput<client_events::ClientEvent>,
) -> String {
    session.on_input(input, AT, out);
    assert!(
        std::mem::take(&mut out.read_again) && !out.close,
        "reads once more before it closes"
    );
    out.bytes.clear();
    session.on_all_read(AT, out);
    assert!(out.close);
    describe_messages(&out.bytes)
}

#[test]
fn on_input_in_any_chunks_gives_same_result() {
    let startup = default_startup();
    let after = |bytes: &[u8]| [&startup[..], bytes].concat();
    let oversized = format!("/* x */ '{}'", "a".repeat(MAX_QUERY_BYTES));
    let startup_response = |more: &str| format!("{STARTUP_RESPONSE}{more}");
    #[rustfmt::skip]
    let cases: Vec<(&str, Vec<u8>, String, &str, bool)> = vec![
        ("startup", startup.clone(), startup_response(""), "idle", false),
        ("startup without fields", startup_message(startup::VERSION, b"\0"), startup_response(""), "idle", false),
        ("newer minor version", startup_message(startup::VERSION + 2, b"user\0a\0_pq_.x\0y\0\0"), format!("v {STARTUP_RESPONSE}"), "idle", false),
        ("encryption request", [&startup_message(80_877_103, b"")[..], &startup].concat(), format!("N! {STARTUP_RESPONSE}"), "idle", false),
        ("empty query", after(&query("")), startup_response(" I Z"), "idle", false),
        ("only a semicolon", after(&query(" ;\n")), startup_response(" I Z"), "idle", false),
        ("query after startup", after(&query("SELECT 7")), startup_response(""), "idle stmt(SELECT 7)", false),
        ("two queries", after(&[query("a"), query("b")].concat()), startup_response(""), "idle stmt(a) stmt(b)", false),
        ("unsupported message after a query", after(&[query("a"), message(b'P', b"")].concat()), startup_response(""), "idle stmt(a)", false),
        ("terminate", after(&message(b'X', b"")), startup_response(""), "idle", true),
        ("cancel request", startup_message(80_877_102, &[0; 8]), String::new(), "", true),
        ("older protocol", startup_message(2 << 16, b"user\0a\0\0"), "E08P01".into(), "malformed", true),
        ("field without value", startup_message(startup::VERSION, b"user\0\0"), "E08P01".into(), "malformed", true),
        ("startup with too small a length", vec![0, 0, 0, 7, 0, 3, 0, 0], "E08P01".into(), "malformed", true),
        ("startup with too large a length", vec![0, 1, 0, 0, 0, 3, 0, 0], "E08P01".into(), "malformed", true),
        ("another protocol", b"GET / HTTP/1.1\r\n\r\n".to_vec(), "E08P01".into(), "malformed", true),
        ("extended query", after(&message(b'P', b"\0\0")), startup_response(" E08P01"), "idle malformed", true),
        ("message with too small a length", after(&[b'Q', 0, 0, 0, 3, 0]), startup_response(" E08P01"), "idle malformed", true),
        ("message with too large a length", after(&[b'Q', 0x7f, 0, 0, 0, 0]), startup_response(" E08P01"), "idle malformed", true),
        ("unterminated text", after(&message(b'Q', b"SELECT 1")), startup_response(" E08P01"), "idle malformed", true),
        ("text that is not UTF-8", after(&message(b'Q', b"\xff\xfe\0")), startup_response(" E08P01"), "idle malformed", true),
        ("oversized statement", after(&[query(&oversized), query("b")].concat()), startup_response(" E54000 Z"), "idle oversized stmt(b)", false),
    ];
    for (name, bytes, expected_output, expected_events, close) in &cases {
        for chunk_bytes in [bytes.len(), 1] {
            let (mut session, mut out) = (new_session(1 << 20), ConnectionOutput::default());
            feed_input(&mut session, bytes, chunk_bytes, &mut out);
            assert_eq!(&describe_messages(&out.bytes), expected_output, "{name}");
            // The number of partial messages depends on the chunks.
            let actual_events = describe_client_events(&out.events).replace(" partial", "");
            let actual_events = actual_events
                .replacen("idle", "first", 1)
                .replace(" idle", "")
                .replacen("first", "idle", 1);
            assert_eq!(
                (&actual_events[..], out.close),
                (*expected_events, *close),
                "{name}"
            );
        }
    }
}

#[test]
fn on_command_answers_are_written_once_and_in_order() {
    let (mut session, mut out, mut input) = (new_session(1 << 20), ConnectionOutput::default(), Vec::new());
    input.extend([default_startup(), query("a"), query("b"), query("c")].concat());
    session.on_input(&mut input, AT, &mut out);
    out.bytes.clear();
    let rejection = FinalAnswer::Error {
        code: "53300",
        message: "m",
        retry_after_ms: Some(250),
    };
    let failure = FinalAnswer::Error {
        code: "40003",
        message: "m",
        retry_after_ms: None,
    };
    let messages = [message(b'T', b"t"), message(b'D', b"d"), message(b'C', b"c")].concat();
    // Command, expected output, and whether the connection closes.
    let steps = [
        (ClientCommand::Answer(2, failure), "", false),
        (ClientCommand::Answer(0, rows(messages.clone())), "T D C Z", false),
        (ClientCommand::Answer(0, rows(messages.clone())), "", false),
        (ClientCommand::Drain, "", false),
        (ClientCommand::Answer(2, rows(messages.clone())), "", false),
        (ClientCommand::Answer(1, rejection), "E53300250 Z E40003 Z", true),
        // Commands after the close have no effect.
        (ClientCommand::Answer(1, rows(messages.clone())), "", true),
        (ClientCommand::Reject, "", true),
    ];
    for (step, (command, expected_output, close)) in steps.into_iter().enumerate() {
        session.on_command(command, AT, &mut out);
        session.on_input(&mut input, AT, &mut out);
        session.on_all_read(AT, &mut out);
        if step == 1 {
            assert!(out.bytes.starts_with(&messages), "rows are forwarded unmodified");
        }
        assert_eq!(
            (&describe_messages(&out.bytes)[..], out.close),
            (expected_output, close),
            "step {step}"
        );
        out.bytes.clear();
    }
    assert_eq!(
        describe_client_events(&out.events),
        "idle stmt(a) stmt(b) stmt(c) idle"
    );
}

/// The number of open statements is bounded, further ones stay unread, and statements that need no member are
/// answered in order.
#[test]
fn on_input_long_pipeline_is_bounded_and_answered_in_order() {
    let (mut session, mut out, mut input) = (new_session(1 << 20), ConnectionOutput::default(), Vec::new());
    input.extend([default_startup(), query("a"), query(""), query("b").repeat(300)].concat());
    session.on_input(&mut input, AT, &mut out);
    let open = out
        .events
        .iter()
        .filter(|event| matches!(event, client_events::ClientEvent::Statement { .. }))
        .count();
    let read_ahead = MAX_READ_AHEAD_BYTES;
    assert!(open < 20 && !session.wants_input(read_ahead + 1), "{open}");
    assert!(
        session.wants_input(read_ahead),
        "the client's close is noticed behind this much"
    );
    out.bytes.clear();
    session.on_command(ClientCommand::Answer(2, rows(Vec::new())), AT, &mut out);
    assert!(out.bytes.is_empty(), "earlier statements are open");
    session.on_command(ClientCommand::Answer(0, rows(Vec::new())), AT, &mut out);
    assert_eq!(describe_messages(&out.bytes), "Z I Z Z");
    for number in (1..600).filter(|n| *n != 2) {
        session.on_input(&mut input, AT, &mut out);
        session.on_command(ClientCommand::Answer(number, rows(Vec::new())), AT, &mut out);
    }
    assert_eq!(describe_messages(&out.bytes).matches('Z').count(), 302);
}

#[test]
fn on_command_drain_or_reject_without_open_statement_closes() {
    for (before, command, expected_output) in [
        (Vec::new(), ClientCommand::Drain, "E57P03"),
        (default_startup(), ClientCommand::Drain, "E57P03"),
        ([default_startup(), query("")].concat(), ClientCommand::Drain, ""),
        (Vec::new(), ClientCommand::Reject, "E53300"),
    ] {
        let (mut session, mut out) = (new_session(1 << 20), ConnectionOutput::default());
        feed_input(&mut session, &before, 1000, &mut out);
        out.bytes.clear();
        session.on_command(command, AT, &mut out);
        session.on_all_read(AT, &mut out);
        assert_eq!(
            (&describe_messages(&out.bytes)[..], out.close),
            (expected_output, true)
        );
        assert!(!session.wants_input(0));
    }
}

/// Every statement that was read before the client closed its side is answered, also those beyond the
/// pipeline's capacity. Then the connection closes. Guards against attempts behind a client's leave: statements that
/// weren't reported when the close was read behind them were sent on.
#[test]
fn on_input_ended_every_statement_read_is_answered() {
    for (statement_count, is_reported) in [
        (1, true),
        (2, true),
        (16, true),
        (20, true),
        (2, false),
        (20, false),
    ] {
        let (mut session, mut out) = (new_session(1 << 20), ConnectionOutput::default());
        let mut input = [default_startup(), query("SELECT 1").repeat(statement_count)].concat();
        session.on_input(&mut input, AT, &mut out);
        out.bytes.clear();
        let open = statement_count.min(16);
        let expected_events = if is_reported {
            out.events.clear();
            "input ended".to_owned()
        } else {
            "idle".to_owned()
        };
        session.on_input_ended(true, &mut out);
        session.on_input_ended(true, &mut out);
        assert_eq!(describe_client_events(&out.events), expected_events);
        for number in (0..open as u32).filter(|_| is_reported) {
            assert!(!out.close, "{number} of {statement_count}");
            let rejected = FinalAnswer::Error {
                code: "53300",
                message: "m",
                retry_after_ms: None,
            };
            session.on_command(ClientCommand::Answer(number, rejected), AT, &mut out);
            session.on_input(&mut input, AT, &mut out);
        }
        session.on_input(&mut input, AT, &mut out);
        assert_eq!(
            describe_messages(&out.bytes).matches("E53300 Z").count(),
            statement_count
        );
        assert!(out.close);
    }
}

/// Guards against a process that passes its memory limit: answers that clients didn't read, or that waited for
/// earlier ones, were kept without a bound.
#[test]
fn on_command_answer_that_cannot_be_written_is_dropped_without_memory() {
    const ANSWER_BYTES: usize = 50_000;
    for (is_retry_safe, expected_error) in [(true, "E53300 Z"), (false, "E40003 Z")] {
        let budget = MemoryBudget::new(200_000);
        let (mut session, mut out) = (ClientSession::new(1, budget.clone()), ConnectionOutput::default());
        let mut input = [default_startup(), query("a"), query("b"), query("c")].concat();
        session.on_input(&mut input, AT, &mut out);
        out.bytes.clear();
        let mut answer = |number, out: &mut ConnectionOutput<_>| {
            let messages = message(b'D', &[b'x'; ANSWER_BYTES]);
            let rows = FinalAnswer::rows(messages, is_retry_safe, &budget);
            session.on_command(ClientCommand::Answer(number, rows), AT, out);
            session.on_input(&mut Vec::new(), AT, out);
        };
        // The second one waits for the first, with memory and then without.
        answer(1, &mut out);
        let mut others = budget.empty_reservation();
        others.force_resize(200_000);
        answer(2, &mut out);
        assert!(out.bytes.is_empty());
        // The first one can be written at once.
        answer(0, &mut out);
        let expected_answers = format!("D Z D Z {expected_error}");
        assert_eq!(describe_messages(&out.bytes), expected_answers);
        assert!(describe_client_events(&out.events).ends_with("out of memory idle"));
    }
}

/// Guards against attempts behind a client's leave: a client's close isn't noticed while much of what it has sent
/// is unread, and its statements were sent on one after another.
#[test]
fn on_backlog_statements_are_rejected_until_the_client_was_quiet() {
    const LONG: TimeSpan = TimeSpan::millis(1000);
    let (mut session, mut out) = (new_session(1 << 20), ConnectionOutput::default());
    let mut input = [default_startup(), query("a").repeat(18)].concat();
    session.on_input(&mut input, AT, &mut out);
    assert_eq!(describe_client_events(&out.events).matches("stmt(a)").count(), 16);
    out.events.clear();
    out.bytes.clear();
    session.on_backlog(&mut out);
    session.on_backlog(&mut out);
    assert_eq!(describe_client_events(&out.events), "backlogged");
    out.events.clear();
    // The time in which the session itself reads nothing doesn't count.
    let mut at = AT + LONG;
    for number in 0..16 {
        let answer = ClientCommand::Answer(number, rows(Vec::new()));
        session.on_command(answer, at, &mut out);
        session.on_input(&mut input, AT, &mut out);
    }
    input.extend(query("b"));
    session.on_input(&mut input, at, &mut out);
    session.on_all_read(at, &mut out);
    input.extend(query("c"));
    at = at + TimeSpan::millis(1);
    session.on_input(&mut input, at, &mut out);
    assert_eq!(describe_messages(&out.bytes).matches("E53300").count(), 4);
    session.on_all_read(at, &mut out);
    at = at + LONG;
    input.extend(query("d"));
    session.on_input(&mut input, at, &mut out);
    assert_eq!(
        describe_client_events(&out.events).replace("idle", "").trim(),
        "stmt(d)"
    );
}

#[test]
fn on_input_ended_without_open_statements_closes() {
    for bytes in [
        Vec::new(),
        default_startup(),
        [default_startup(), query("a")[..4].to_vec()].concat(),
    ] {
        let (mut session, mut out) = (new_session(1 << 20), ConnectionOutput::default());
        session.on_input(&mut bytes.clone(), AT, &mut out);
        out.bytes.clear();
        assert!(!session.on_input_ended(true, &mut out));
    }
    // Pending output is written first.
    let (mut session, mut out) = (new_session(1 << 20), ConnectionOutput::default());
    session.on_input(&mut default_startup(), AT, &mut out);
    assert!(session.on_input_ended(true, &mut out));
    session.on_input(&mut Vec::new(), AT, &mut out);
    assert!(out.close);
}

/// A client may send statements along with its startup message, before it is rejected.
#[test]
fn on_command_reject_every_statement_read_is_answered() {
    for statement_count in [0, 1, 3] {
        let (mut session, mut out) = (new_session(1 << 20), ConnectionOutput::default());
        session.on_input(
            &mut [default_startup(), query("SELECT 1").repeat(statement_count)].concat(),
            AT,
            &mut out,
        );
        out.bytes.clear();
        session.on_command(ClientCommand::Reject, AT, &mut out);
        assert_eq!(
            describe_messages(&out.bytes).matches("E53300").count(),
            statement_count.max(1)
        );
        assert!(out.close);
    }
}

/// Guards against a statement without an answer: the event loop drops those of a rejected client, and a session
/// that was told to hand over before ignored the rejection.
#[test]
fn on_command_reject_while_handing_over_answers_statements_read_before() {
    for statement_count in [1, 2, 16] {
        let (mut session, mut out) = (new_session(1 << 20), ConnectionOutput::default());
        let input = [default_startup(), query("SELECT 1").repeat(statement_count)].concat();
        feed_input(&mut session, &input, 1000, &mut out);
        out.bytes.clear();
        session.on_command(ClientCommand::HandOver, AT, &mut out);
        session.on_command(ClientCommand::Reject, AT, &mut out);
        assert_eq!(
            describe_messages(&out.bytes).matches("E53300").count(),
            statement_count
        );
        assert!(out.close);
    }
}

/// A client without an open statement is the other process's, which has its own limits.
#[test]
fn on_command_reject_while_handing_over_without_statement_is_ignored() {
    let (mut session, mut out) = (new_session(1 << 20), ConnectionOutput::default());
    feed_input(&mut session, &default_startup(), 1000, &mut out);
    out.bytes.clear();
    session.on_command(ClientCommand::HandOver, AT, &mut out);
    session.on_command(ClientCommand::Reject, AT, &mut out);
    assert!(out.hand_over && !out.close);
    assert!(out.bytes.is_empty());
}
