//! Connections of the driver that either side closes or resets while data is in transit.

mod harness;
use harness::*;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

/// Reads the rest of the input. Returns it with `end`, or the kind of the error that ended it.
fn read_remaining(stream: &mut TcpStream) -> (Vec<u8>, String) {
    let (mut bytes, mut chunk) = (Vec::new(), [0; 4096]);
    loop {
        match stream.read(&mut chunk) {
            Ok(0) => return (bytes, "end".to_owned()),
            Ok(n) => bytes.extend(&chunk[..n]),
            Err(e) => return (bytes, format!("{:?}", e.kind())),
        }
    }
}

/// Drops the clients and asserts that the driver shuts down cleanly.
fn assert_clean_exit<C>(process: DriverProcess, clients: C) {
    drop(clients);
    let (is_success, log) = process.wait_with_log();
    assert!(is_success && log.contains("is stopped"), "{log}");
}

/// Writes until the connection is reset; returns false if it is not reset in time.
fn is_reset_after_writes(stream: &mut TcpStream) -> bool {
    let deadline = Instant::now() + TEST_TIMEOUT;
    let padding = [b'x'; 16 * 1024];
    while Instant::now() < deadline {
        match stream.write(&padding) {
            Err(e) if e.kind() == ErrorKind::WouldBlock => std::thread::yield_now(),
            Err(_) => return true,
            Ok(_) => {}
        }
    }
    false
}

/// The input exceeds one read of the driver. Closing the socket with unread input would reset the connection.
#[test]
fn close_unread_input_after_error_does_not_reset_connection() {
    let member = start_member(MemberBehavior::Answer);
    let process = start_driver("behind", member.address);
    let padding = [b'x'; 100 * 1024];
    for (name, bytes) in [
        ("an unsupported message", message(b'P', &padding)),
        ("an invalid length", [&[b'Q', 0, 0, 0, 1][..], &padding].concat()),
    ] {
        let mut client = process.connect();
        client.write_all(&bytes).expect("send");
        assert_eq!(read_answer(&mut client).0, "E08P01", "{name}");
        assert_eq!(
            read_remaining(&mut client),
            (Vec::new(), "end".to_owned()),
            "{name}"
        );
        client
            .write_all(&message(b'Q', b"\0"))
            .expect("the connection was not reset");
        client
            .shutdown(Shutdown::Write)
            .expect("the connection was not reset");
    }
}

/// A client that keeps sending after the driver has closed its side is reset.
#[test]
fn close_client_that_keeps_sending_is_reset() {
    let member = start_member(MemberBehavior::Answer);
    let process = start_driver("behind-more", member.address);
    let mut client = process.connect();
    client.write_all(&message(b'P', b"")).expect("send");
    assert_eq!(read_answer(&mut client).0, "E08P01");
    assert_eq!(read_remaining(&mut client), (Vec::new(), "end".to_owned()));
    assert!(is_reset_after_writes(&mut client), "the connection is not reset");
}

/// Shutdown closes clients that are idle, within a message or before their startup message, without executing
/// what they send afterwards.
#[test]
fn shutdown_input_after_close_is_not_forwarded() {
    let member = start_member(MemberBehavior::AnswerOnRelease);
    let process = start_driver("leaves-at-once", member.address);
    let (mut busy_client, mut idle_client, mut partial_client) =
        (process.connect(), process.connect(), process.connect());
    let mut unstarted_client = TcpStream::connect(process.listen).expect("connect");
    unstarted_client
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("set timeout");
    send_statement(&mut busy_client, "post");
    assert!(member.next_event().contains("c=post"));
    process.signal("TERM");
    partial_client
        .write_all(&message(b'Q', b"SELECT 1\0")[..7])
        .expect("send");
    assert_eq!(read_remaining(&mut idle_client), (Vec::new(), "end".to_owned()));
    send_statement(&mut idle_client, "view");
    idle_client
        .shutdown(Shutdown::Write)
        .expect("the connection was not reset");
    assert_eq!(
        read_answer(&mut unstarted_client).0,
        "E57P03",
        "a new connection is rejected with an error"
    );
    assert_eq!(
        read_remaining(&mut unstarted_client),
        (Vec::new(), "end".to_owned())
    );
    assert_eq!(
        read_answer(&mut partial_client).0,
        "E57P03",
        "an incomplete statement is rejected"
    );
    member.release.send(()).expect("release the statement");
    assert_eq!(read_answer(&mut busy_client).0, "T D C Z");
    assert_eq!(read_remaining(&mut busy_client), (Vec::new(), "end".to_owned()));
    assert_clean_exit(process, (busy_client, unstarted_client, partial_client));
    assert!(
        member.events.try_recv().is_err(),
        "only the first statement is executed"
    );
}

/// Repeated and mixed signals during a statement: it is answered, and the process exits cleanly.
#[test]
fn shutdown_repeated_signals_lose_no_answer() {
    for signals in [
        &["TERM", "TERM"][..],
        &["HUP", "TERM"],
        &["TERM", "HUP", "TERM"],
        &["HUP", "HUP", "TERM", "USR1"],
    ] {
        let member = start_member(MemberBehavior::AnswerOnRelease);
        let process = start_driver(&format!("signals-{}", signals.join("-")), member.address);
        let (mut busy_client, mut idle_client) = (process.connect(), process.connect());
        send_statement(&mut busy_client, "post");
        assert!(member.next_event().contains("c=post"));
        signals.iter().for_each(|signal| process.signal(signal));
        assert_eq!(
            read_remaining(&mut idle_client),
            (Vec::new(), "end".to_owned()),
            "{signals:?}"
        );
        member.release.send(()).expect("release the statement");
        assert_eq!(read_answer(&mut busy_client).0, "T D C Z", "{signals:?}");
        assert_eq!(
            read_remaining(&mut busy_client),
            (Vec::new(), "end".to_owned()),
            "{signals:?}"
        );
        assert_clean_exit(process, (busy_client, idle_client));
    }
}

/// A partly written answer is completed during shutdown.
#[test]
fn shutdown_partly_written_answer_is_completed() {
    let member = start_member(MemberBehavior::Answer);
    let folder = TempFolder::new("half-written");
    // The linger phase must not end while a slow machine runs the test.
    let file = folder.write("o.latch", "phases(linger = 60s)\n");
    let text = config_text(unused_address(), unresponsive_discovery(), member.address);
    let process = start_driver_with_arguments("half-written", &text, &["--operators", &file]);
    let (mut slow_client, mut idle_client) = (process.connect(), process.connect());
    send_statement_with(&mut slow_client, "view", 25_000, "large");
    member.next_event();
    let mut first_byte = [0];
    slow_client
        .peek(&mut first_byte)
        .expect("wait for the answer to begin");
    process.signal("TERM");
    assert_eq!(read_remaining(&mut idle_client).1, "end");
    let (kinds, row) = read_answer(&mut slow_client);
    assert_eq!((kinds.as_str(), row.len()), ("T D C Z", LARGE_ROW_BYTES));
    assert_eq!(read_remaining(&mut slow_client), (Vec::new(), "end".to_owned()));
    assert_clean_exit(process, (slow_client, idle_client));
}

/// Shutdown before the first endpoint list: accepted statements are rejected, and the process exits cleanly.
#[test]
fn shutdown_before_first_endpoint_list_answers_accepted_statements() {
    let text = config_text(unused_address(), unresponsive_discovery(), unused_address());
    let (prefix, suffix) = text
        .split_once(r#""known":"#)
        .expect("the configuration has an endpoint list");
    let (_, suffix) = suffix
        .split_once("]},")
        .expect("find the end of the endpoint list");
    let process = start_driver_with_config("no-list", &format!("{prefix}{suffix}"));
    let (mut client, mut idle_client) = (process.connect(), process.connect());
    send_statement(&mut client, "post");
    process.signal("TERM");
    let (kinds, _) = read_answer(&mut client);
    assert!(["E53300 Z", "E22023 Z"].contains(&kinds.as_str()), "{kinds}");
    assert_eq!(read_remaining(&mut idle_client), (Vec::new(), "end".to_owned()));
    assert_eq!(read_remaining(&mut client), (Vec::new(), "end".to_owned()));
    assert_clean_exit(process, (client, idle_client));
}

/// A disconnect is detected although the driver has stopped reading from a client with too many pipelined
/// statements.
#[test]
fn client_disconnect_with_unread_input_cancels_execution() {
    let member = start_member(MemberBehavior::AnswerOnRelease);
    let process = start_driver("leaves-unread", member.address);
    for pipelined_bytes in [20 * 1024, 60 * 1024] {
        let mut client = process.connect();
        // Its timeout exceeds that of the test.
        send_statement_with(&mut client, "view", 90_000, "x");
        assert!(member.next_event().contains("c=view"));
        client
            .write_all(&message(b'Q', b"\0").repeat(pipelined_bytes / 6))
            .expect("send");
        drop(client);
        assert_eq!(member.next_event(), "disconnected", "{pipelined_bytes}");
    }
}

/// A half-closed client can't be told apart from a disconnected one: its execution is cancelled, and it
/// receives the final answer.
#[test]
fn client_half_closed_receives_final_answer() {
    let member = start_member(MemberBehavior::AnswerOnRelease);
    let process = start_driver("half-closed", member.address);
    for (workload, expected) in [("view", "E53300 Z"), ("post", "E40003 Z")] {
        let mut client = process.connect();
        send_statement(&mut client, workload);
        assert!(member.next_event().contains(&format!("c={workload}")));
        client
            .shutdown(Shutdown::Write)
            .expect("close the write side of the connection");
        assert_eq!(read_answer(&mut client).0, expected);
        assert_eq!(read_remaining(&mut client), (Vec::new(), "end".to_owned()));
        assert_eq!(member.next_event(), "disconnected");
    }
}

/// If a member hangs during shutdown, the process answers and exits before the platform's SIGKILL.
#[test]
fn shutdown_member_hangs_process_exits_before_sigkill() {
    for (wait_ms, kill_ms) in [(100, 800), (10_000, 3700)] {
        let member = start_member(MemberBehavior::AnswerOnRelease);
        let text = config_text(unused_address(), unresponsive_discovery(), member.address).replace(
            r#""worth":1.0,"#,
            &format!(r#""worth":1.0,"give_up_us":{wait_ms}000,"#),
        );
        let process = start_driver_with_config(&format!("hangs-{wait_ms}"), &text);
        let mut client = process.connect();
        send_statement(&mut client, "post");
        member.next_event();
        let requested_at = Instant::now();
        process.signal("TERM");
        assert_eq!(read_answer(&mut client).0, "E40003 Z", "{wait_ms}");
        assert_clean_exit(process, client);
        let limit = Duration::from_millis(kill_ms);
        assert!(
            requested_at.elapsed() < limit,
            "{wait_ms}: {:?}",
            requested_at.elapsed()
        );
    }
}

/// The driver serves clients although discovery and the only member are unresponsive; statements are rejected
/// within their timeout.
#[test]
fn start_unresponsive_dependencies_process_is_ready() {
    let process = start_driver("silent-others", unresponsive_discovery());
    for workload in ["view", "post"] {
        let mut client = process.connect();
        send_statement_with(&mut client, workload, 300, "x");
        assert_eq!(
            read_answer(&mut client).0,
            "E53300 Z",
            "nothing was sent to the member"
        );
    }
}

/// Clients for which there is no memory receive an error before they are closed.
#[test]
fn client_memory_exhausted_is_rejected_with_error() {
    let member = start_member(MemberBehavior::Answer);
    let (_process, mut clients, partial_message) = start_driver_short_of_memory("no-memory", member.address);
    clients
        .iter_mut()
        .for_each(|c| drop(c.write_all(&partial_message)));
    let closed_clients = clients.iter_mut().filter_map(|client| {
        // Clients within the memory budget stay open, waiting for the rest of their message.
        client
            .set_read_timeout(Some(Duration::from_millis(200)))
            .expect("set timeout");
        let is_open = matches!(client.peek(&mut [0]), Err(e) if e.kind() != ErrorKind::ConnectionReset);
        client.set_read_timeout(Some(TEST_TIMEOUT)).expect("set timeout");
        let (bytes, end) = (!is_open).then(|| read_remaining(client))?;
        Some((String::from_utf8_lossy(&bytes).contains("C53300\0"), end))
    });
    let closed_clients: Vec<_> = closed_clients.collect();
    assert!(
        !closed_clients.is_empty()
            && closed_clients
                .iter()
                .all(|(is_rejected, end)| *is_rejected && end == "end"),
        "{closed_clients:?}"
    );
}

/// Without a Content-Length, the end of the connection completes an endpoint list, and a reset discards it.
#[test]
fn endpoint_list_reset_in_transfer_is_ignored() {
    let (old_member, new_member) = (
        start_member(MemberBehavior::Answer),
        start_member(MemberBehavior::Answer),
    );
    let (discovery, discovery_address) = bind_listener();
    let process = start_driver_with_config(
        "list-reset",
        &config_text(unused_address(), discovery_address, old_member.address),
    );
    let list = format!(
        r#"{{"index":2,"snapshot":true,"endpoints":[{{"name":"n","address":"{}","zone":"a","group":1,"status":"SERVING",
        "weight":1.0,"since_ms":0,"rank":"source"}}]}}"#,
        new_member.address
    );
    let send_list = |resets_connection: bool| {
        let (mut stream, _) = discovery.accept().expect("accept the connection of the driver");
        read_request_head(&mut stream).expect("read the request");
        stream
            .write_all(format!("HTTP/1.1 200 OK\r\n\r\n{list}").as_bytes())
            .expect("send");
        let linger = resets_connection.then_some(Duration::ZERO);
        socket2::SockRef::from(&stream)
            .set_linger(linger)
            .expect("set SO_LINGER");
    };
    let mut client = process.connect();
    send_list(true);
    // The driver has reconnected, so it has noticed the reset.
    send_list(true);
    send_statement(&mut client, "post");
    assert!(
        old_member.next_event().contains("c=post"),
        "the last valid list is used"
    );
    assert_eq!(read_answer(&mut client).0, "T D C Z");
    send_list(false);
    let (mut stream, _) = discovery.accept().expect("accept the connection of the driver");
    assert!(
        read_request_head(&mut stream)
            .expect("read the request")
            .contains("after=2&"),
        "the list was applied"
    );
    send_statement(&mut client, "post");
    assert!(new_member.next_event().contains("c=post"));
    assert_eq!(read_answer(&mut client).0, "T D C Z");
}

/// Guards against attempts behind a client's leave: a client that had sent much ahead closed its side, and its
/// statements were sent on one after another as earlier ones were answered.
#[test]
fn close_behind_unread_statements_has_no_more_of_them_sent_on() {
    const STATEMENTS: usize = 300;
    const MAX_OPEN: usize = 16;
    let member = start_member(MemberBehavior::AnswerOnRelease);
    let process = start_driver("unread-statements", member.address);
    let mut client = process.connect();
    for number in 0..STATEMENTS {
        let key = "x".repeat(1000);
        let text = format!(
            "/* id=u{number},c=view,d=25000,cluster=1 */ SELECT blob FROM rows WHERE handle = '{key}'\0"
        );
        let statement = message(b'Q', text.as_bytes());
        client.write_all(&statement).expect("write a statement");
    }
    client.shutdown(Shutdown::Write).expect("close the sending side");
    for _ in 0..STATEMENTS {
        member.release.send(()).expect("release a statement");
    }
    let answers = (0..STATEMENTS).filter(|_| read_answer(&mut client).0.ends_with('Z'));
    assert_eq!(answers.count(), STATEMENTS, "each statement has its answer");
    assert_eq!(read_remaining(&mut client), (Vec::new(), "end".to_owned()));
    let sent_on = member.events.try_iter().filter(|event| event.contains("id=u"));
    let sent_on = sent_on.count();
    assert!(sent_on <= MAX_OPEN, "{sent_on} of {STATEMENTS} were sent on");
}
