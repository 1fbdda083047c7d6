//! Connections that are closed, by either side, while something is on its way: the built program on loopback.
//! Peers are scripted and wait for a byte, an end or a reset; nothing here waits for time to pass.

mod harness;
use harness::*;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

/// What is left to read, and how it ends.
fn rest(stream: &mut TcpStream) -> (Vec<u8>, String) {
    let (mut bytes, mut chunk) = (Vec::new(), [0; 4096]);
    loop {
        match stream.read(&mut chunk) {
            Ok(0) => return (bytes, "end".to_owned()),
            Ok(n) => bytes.extend(&chunk[..n]),
            Err(e) => return (bytes, format!("{:?}", e.kind())),
        }
    }
}

/// The process ends once its clients have, and well.
fn assert_clean_exit<C>(process: DriverProcess, clients: C) {
    drop(clients);
    let (good, log) = process.wait_with_log();
    assert!(good && log.contains("is stopped"), "{log}");
}

/// The connection is over for the client: whatever it writes is answered by a reset.
fn resets(stream: &mut TcpStream) -> bool {
    let deadline = Instant::now() + TEST_TIMEOUT;
    let junk = [b'x'; 16 * 1024];
    while Instant::now() < deadline {
        match stream.write(&junk) {
            Err(e) if e.kind() == ErrorKind::WouldBlock => std::thread::yield_now(),
            Err(_) => return true,
            Ok(_) => {}
        }
    }
    false
}

/// All of it lies at the driver before that reads any of it, and it reads less at once than there is: closed
/// over the rest the connection would be reset.
#[test]
fn close_input_behind_error_does_not_reset_connection() {
    let member = start_member(MemberBehavior::Answer);
    let process = start_driver("behind", member.address);
    let junk = [b'x'; 100 * 1024];
    for (name, bytes) in [
        ("another message", message(b'P', &junk)),
        ("no message at all", [&[b'Q', 0, 0, 0, 1][..], &junk].concat()),
    ] {
        let mut client = process.connect_client();
        client.write_all(&bytes).expect("write to the connection");
        assert_eq!(read_answer(&mut client).0, "E08P01", "{name}");
        assert_eq!(rest(&mut client), (Vec::new(), "end".to_owned()), "{name}");
        client
            .write_all(&message(b'Q', b"\0"))
            .expect("the connection was not reset");
        client
            .shutdown(Shutdown::Write)
            .expect("the connection was not reset");
    }
}

/// It sees our end and goes on sending all the same: neither for ever, nor in whatever amount.
#[test]
fn close_client_that_keeps_sending_is_reset() {
    let member = start_member(MemberBehavior::Answer);
    let process = start_driver("behind-more", member.address);
    let mut client = process.connect_client();
    client
        .write_all(&message(b'P', b""))
        .expect("write to the connection");
    assert_eq!(read_answer(&mut client).0, "E08P01");
    assert_eq!(rest(&mut client), (Vec::new(), "end".to_owned()));
    assert!(resets(&mut client), "it may send for ever");
}

/// A client that rests until it is told, and asks then; one that has come and said nothing yet; one in the
/// middle of a message.
#[test]
fn close_input_after_our_end_is_not_forwarded() {
    let member = start_member(MemberBehavior::AnswerOnRelease);
    let process = start_driver("leaves-at-once", member.address);
    let (mut busy, mut resting, mut writing) = (
        process.connect_client(),
        process.connect_client(),
        process.connect_client(),
    );
    let mut fresh = TcpStream::connect(process.listen).expect("connect to the driver");
    fresh
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("set the read timeout");
    send_statement(&mut busy, "post");
    assert!(member.next_event().contains("c=post"));
    process.signal("TERM");
    writing
        .write_all(&message(b'Q', b"SELECT 1\0")[..7])
        .expect("write to the connection");
    assert_eq!(rest(&mut resting), (Vec::new(), "end".to_owned()));
    send_statement(&mut resting, "view");
    resting
        .shutdown(Shutdown::Write)
        .expect("the connection was not reset");
    assert_eq!(
        read_answer(&mut fresh).0,
        "E57P03",
        "a new connection is not closed without an answer"
    );
    assert_eq!(rest(&mut fresh), (Vec::new(), "end".to_owned()));
    assert_eq!(
        read_answer(&mut writing).0,
        "E57P03",
        "refused, for nothing of it was taken"
    );
    member.release.send(()).expect("release the statement");
    assert_eq!(read_answer(&mut busy).0, "T D C Z");
    assert_eq!(rest(&mut busy), (Vec::new(), "end".to_owned()));
    assert_clean_exit(process, (busy, fresh, writing));
    assert!(
        member.events.try_recv().is_err(),
        "nothing came behind the first statement"
    );
}

/// Signals that cross each other and a statement that is out: it is answered, the process ends well, and
/// takes nothing new.
#[test]
fn shutdown_with_crossing_signals_loses_no_answer() {
    for signals in [
        &["TERM", "TERM"][..],
        &["HUP", "TERM"],
        &["TERM", "HUP", "TERM"],
        &["HUP", "HUP", "TERM", "USR1"],
    ] {
        let member = start_member(MemberBehavior::AnswerOnRelease);
        let process = start_driver(&format!("signals-{}", signals.join("-")), member.address);
        let (mut busy, mut resting) = (process.connect_client(), process.connect_client());
        send_statement(&mut busy, "post");
        assert!(member.next_event().contains("c=post"));
        signals.iter().for_each(|signal| process.signal(signal));
        assert_eq!(rest(&mut resting), (Vec::new(), "end".to_owned()), "{signals:?}");
        member.release.send(()).expect("release the statement");
        assert_eq!(read_answer(&mut busy).0, "T D C Z", "{signals:?}");
        assert_eq!(rest(&mut busy), (Vec::new(), "end".to_owned()), "{signals:?}");
        assert_clean_exit(process, (busy, resting));
    }
}

/// An answer is half written when the process is told to leave: its client gets all of it, and then the end.
#[test]
fn shutdown_partly_written_answer_is_completed() {
    let member = start_member(MemberBehavior::Answer);
    let folder = TempFolder::new("half-written");
    // The test may be held up for as long as it likes.
    let file = folder.write("o.latch", "phases(linger = 60s)\n");
    let text = config_text(unused_address(), unresponsive_discovery(), member.address);
    let process = start_driver_with_arguments("half-written", &text, &["--operators", &file]);
    let (mut slow, mut resting) = (process.connect_client(), process.connect_client());
    send_statement_with(&mut slow, "view", 25_000, "large");
    member.next_event();
    let mut first = [0];
    slow.peek(&mut first).expect("wait for the answer to begin");
    process.signal("TERM");
    assert_eq!(rest(&mut resting).1, "end");
    let (said, row) = read_answer(&mut slow);
    assert_eq!((said.as_str(), row.len()), ("T D C Z", LARGE_ROW_BYTES));
    assert_eq!(rest(&mut slow), (Vec::new(), "end".to_owned()));
    assert_clean_exit(process, (slow, resting));
}

/// Told to leave with no list yet: what is asked for is refused by a word, and the process ends well.
#[test]
fn shutdown_before_first_endpoint_list_answers_accepted_statements() {
    let text = config_text(unused_address(), unresponsive_discovery(), unused_address());
    let (head, tail) = text
        .split_once(r#""known":"#)
        .expect("the configuration has an endpoint list");
    let (_, tail) = tail.split_once("]},").expect("find the end of the endpoint list");
    let process = start_driver_with_config("no-list", &format!("{head}{tail}"));
    let (mut client, mut resting) = (process.connect_client(), process.connect_client());
    send_statement(&mut client, "post");
    process.signal("TERM");
    let (said, _) = read_answer(&mut client);
    assert!(["E53300 Z", "E22023 Z"].contains(&said.as_str()), "{said}");
    assert_eq!(rest(&mut resting), (Vec::new(), "end".to_owned()));
    assert_eq!(rest(&mut client), (Vec::new(), "end".to_owned()));
    assert_clean_exit(process, (client, resting));
}

/// The client has sent so much ahead that it isn't read any further, and goes.
#[test]
fn client_disconnect_with_unread_input_cancels_execution() {
    let member = start_member(MemberBehavior::AnswerOnRelease);
    let process = start_driver("leaves-unread", member.address);
    for ahead in [20 * 1024, 60 * 1024] {
        let mut client = process.connect_client();
        // It would end by itself long after anybody waits for that here.
        send_statement_with(&mut client, "view", 90_000, "x");
        assert!(member.next_event().contains("c=view"));
        client
            .write_all(&message(b'Q', b"\0").repeat(ahead / 6))
            .expect("write to the connection");
        drop(client);
        assert_eq!(member.next_event(), "disconnected", "{ahead}");
    }
}

/// The client closes its side and waits: by its end alone it can't be told from one that has left, so nothing
/// more is begun for it, and it has its final answer.
#[test]
fn client_half_closed_gets_its_final_answer() {
    let member = start_member(MemberBehavior::AnswerOnRelease);
    let process = start_driver("half-closes", member.address);
    for (workload, expected) in [("view", "E53300 Z"), ("post", "E40003 Z")] {
        let mut client = process.connect_client();
        send_statement(&mut client, workload);
        assert!(member.next_event().contains(&format!("c={workload}")));
        client
            .shutdown(Shutdown::Write)
            .expect("close the write side of the connection");
        assert_eq!(read_answer(&mut client).0, expected);
        assert_eq!(rest(&mut client), (Vec::new(), "end".to_owned()));
        assert_eq!(member.next_event(), "disconnected");
    }
}

/// A member hangs through the whole of a shutdown: the process answers and exits before it would be killed.
#[test]
fn shutdown_member_hangs_process_exits_before_the_kill() {
    for (wait, kill) in [(100, 800), (10_000, 3700)] {
        let member = start_member(MemberBehavior::AnswerOnRelease);
        let text = config_text(unused_address(), unresponsive_discovery(), member.address).replace(
            r#""worth":1.0,"#,
            &format!(r#""worth":1.0,"give_up_us":{wait}000,"#),
        );
        let process = start_driver_with_config(&format!("hangs-{wait}"), &text);
        let mut client = process.connect_client();
        send_statement(&mut client, "post");
        member.next_event();
        let requested_at = Instant::now();
        process.signal("TERM");
        assert_eq!(read_answer(&mut client).0, "E40003 Z", "{wait}");
        assert_clean_exit(process, client);
        let limit = Duration::from_millis(kill);
        assert!(
            requested_at.elapsed() < limit,
            "{wait}: {:?}",
            requested_at.elapsed()
        );
    }
}

/// A start with nobody else there: discovery and the only member say nothing, and clients come at once. It is
/// ready, and what is asked for ends in its time.
#[test]
fn start_unresponsive_dependencies_process_is_ready() {
    let process = start_driver("silent-others", unresponsive_discovery());
    for workload in ["view", "post"] {
        let mut client = process.connect_client();
        send_statement_with(&mut client, workload, 300, "x");
        assert_eq!(read_answer(&mut client).0, "E53300 Z", "nothing of it has left");
    }
}

/// Those for whom there is no memory are told so, and get to read it.
#[test]
fn client_memory_exhausted_is_rejected_with_error() {
    let member = start_member(MemberBehavior::Answer);
    let (_process, mut clients, part) = start_driver_short_of_memory("no-memory", member.address);
    clients.iter_mut().for_each(|c| drop(c.write_all(&part)));
    let ended = clients.iter_mut().filter_map(|client| {
        // Only whether anything comes is a question of time; who waits for the rest of its message may stay.
        client
            .set_read_timeout(Some(Duration::from_millis(200)))
            .expect("set the read timeout");
        let silent = matches!(client.peek(&mut [0]), Err(e) if e.kind() != ErrorKind::ConnectionReset);
        client
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("set the read timeout");
        let (said, end) = (!silent).then(|| rest(client))?;
        Some((String::from_utf8_lossy(&said).contains("C53300\0"), end))
    });
    let ended: Vec<_> = ended.collect();
    assert!(
        !ended.is_empty() && ended.iter().all(|(told, end)| *told && end == "end"),
        "{ended:?}"
    );
}

/// Discovery says no length: its answer is whole where it ends the connection, and none where that is reset.
#[test]
fn endpoint_list_reset_in_transfer_is_ignored() {
    let (old, new) = (
        start_member(MemberBehavior::Answer),
        start_member(MemberBehavior::Answer),
    );
    let (discovery, at) = bind_listener();
    let process = start_driver_with_config("list-reset", &config_text(unused_address(), at, old.address));
    let list = format!(
        r#"{{"index":2,"snapshot":true,"endpoints":[{{"name":"n","address":"{}","zone":"a","group":1,"status":"SERVING",
        "weight":1.0,"since_ms":0,"rank":"source"}}]}}"#,
        new.address
    );
    let answers = |reset: bool| {
        let (mut call, _) = discovery.accept().expect("accept the connection of the driver");
        read_request_head(&mut call).expect("read the request");
        call.write_all(format!("HTTP/1.1 200 OK\r\n\r\n{list}").as_bytes())
            .expect("write to the connection");
        let linger = reset.then_some(Duration::ZERO);
        socket2::SockRef::from(&call)
            .set_linger(linger)
            .expect("set SO_LINGER");
    };
    let mut client = process.connect_client();
    answers(true);
    // It has called again, so it knows of the reset.
    answers(true);
    send_statement(&mut client, "post");
    assert!(old.next_event().contains("c=post"), "the last good list stands");
    assert_eq!(read_answer(&mut client).0, "T D C Z");
    answers(false);
    let (mut call, _) = discovery.accept().expect("accept the connection of the driver");
    assert!(
        read_request_head(&mut call)
            .expect("read the request")
            .contains("after=2&"),
        "it was taken"
    );
    send_statement(&mut client, "post");
    assert!(new.next_event().contains("c=post"));
    assert_eq!(read_answer(&mut client).0, "T D C Z");
}
