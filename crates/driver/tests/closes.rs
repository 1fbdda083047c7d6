//! Connections that are closed, by either side, while something is on its way: the built program on loopback. Peers are
//! scripted and wait for a byte, an end or a reset; nothing here waits for time to pass.

mod stand;
use stand::*;
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
fn ends_well<C>(process: Program, clients: C) {
    drop(clients);
    let (good, log) = process.finish();
    assert!(good && log.contains("is stopped"), "{log}");
}

/// The connection is over for the client: whatever it writes is answered by a reset.
fn resets(stream: &mut TcpStream) -> bool {
    let end = Instant::now() + PATIENCE;
    let junk = [b'x'; 16 * 1024];
    while Instant::now() < end {
        match stream.write(&junk) {
            Err(e) if e.kind() == ErrorKind::WouldBlock => std::thread::yield_now(),
            Err(_) => return true,
            Ok(_) => {}
        }
    }
    false
}

/// All of it lies at the driver before that reads any of it, and it reads less at once than there is: closed over the rest
/// the connection would be reset.
#[test]
fn close_input_behind_error_does_not_reset_connection() {
    let member = member(Manner::Answers);
    let process = serve("behind", member.address);
    let junk = [b'x'; 100 * 1024];
    for (name, bytes) in [
        ("another message", message(b'P', &junk)),
        ("no message at all", [&[b'Q', 0, 0, 0, 1][..], &junk].concat()),
    ] {
        let mut client = process.client();
        client.write_all(&bytes).expect("is written");
        assert_eq!(answer(&mut client).0, "E08P01", "{name}");
        assert_eq!(rest(&mut client), (Vec::new(), "end".to_owned()), "{name}");
        client
            .write_all(&message(b'Q', b"\0"))
            .expect("nothing was reset");
        client.shutdown(Shutdown::Write).expect("nothing was reset");
    }
}

/// It sees our end and goes on sending all the same: neither for ever, nor in whatever amount.
#[test]
fn close_client_that_keeps_sending_is_reset() {
    let member = member(Manner::Answers);
    let process = serve("behind-more", member.address);
    let mut client = process.client();
    client.write_all(&message(b'P', b"")).expect("is written");
    assert_eq!(answer(&mut client).0, "E08P01");
    assert_eq!(rest(&mut client), (Vec::new(), "end".to_owned()));
    assert!(resets(&mut client), "it may send for ever");
}

/// A client that rests until it is told, and asks then; one that has come and said nothing yet; one in the middle of a
/// message.
#[test]
fn close_input_after_our_end_is_not_forwarded() {
    let member = member(Manner::Waits);
    let process = serve("leaves-at-once", member.address);
    let (mut busy, mut resting, mut writing) = (process.client(), process.client(), process.client());
    let mut fresh = TcpStream::connect(process.listen).expect("listens");
    fresh.set_read_timeout(Some(PATIENCE)).expect("is set");
    ask(&mut busy, "post");
    assert!(member.told().contains("c=post"));
    process.signal("TERM");
    writing
        .write_all(&message(b'Q', b"SELECT 1\0")[..7])
        .expect("is written");
    assert_eq!(rest(&mut resting), (Vec::new(), "end".to_owned()));
    ask(&mut resting, "view");
    resting.shutdown(Shutdown::Write).expect("nothing was reset");
    assert_eq!(
        answer(&mut fresh).0,
        "E57P03",
        "a new connection is not closed without an answer"
    );
    assert_eq!(rest(&mut fresh), (Vec::new(), "end".to_owned()));
    assert_eq!(
        answer(&mut writing).0,
        "E57P03",
        "refused, for nothing of it was taken"
    );
    member.go.send(()).expect("waits");
    assert_eq!(answer(&mut busy).0, "T D C Z");
    assert_eq!(rest(&mut busy), (Vec::new(), "end".to_owned()));
    ends_well(process, (busy, fresh, writing));
    assert!(
        member.came.try_recv().is_err(),
        "nothing came behind the first statement"
    );
}

/// Signals that cross each other and a statement that is out: it is answered, the process ends well, and takes nothing new.
#[test]
fn shutdown_with_crossing_signals_loses_no_answer() {
    for signals in [
        &["TERM", "TERM"][..],
        &["HUP", "TERM"],
        &["TERM", "HUP", "TERM"],
        &["HUP", "HUP", "TERM", "USR1"],
    ] {
        let member = member(Manner::Waits);
        let process = serve(&format!("signals-{}", signals.join("-")), member.address);
        let (mut busy, mut resting) = (process.client(), process.client());
        ask(&mut busy, "post");
        assert!(member.told().contains("c=post"));
        signals.iter().for_each(|signal| process.signal(signal));
        assert_eq!(rest(&mut resting), (Vec::new(), "end".to_owned()), "{signals:?}");
        member.go.send(()).expect("waits");
        assert_eq!(answer(&mut busy).0, "T D C Z", "{signals:?}");
        assert_eq!(rest(&mut busy), (Vec::new(), "end".to_owned()), "{signals:?}");
        ends_well(process, (busy, resting));
    }
}

/// An answer is half written when the process is told to leave: its client gets all of it, and then the end.
#[test]
fn shutdown_partly_written_answer_is_completed() {
    let member = member(Manner::Answers);
    let folder = Folder::new("half-written");
    // The test may be held up for as long as it likes.
    let file = folder.write("o.latch", "phases(linger = 60s)\n");
    let text = described(free_address(), silent_discovery(), member.address);
    let process = serve_with("half-written", &text, &["--operators", &file]);
    let (mut slow, mut resting) = (process.client(), process.client());
    ask_for(&mut slow, "view", 25_000, "large");
    member.told();
    let mut first = [0];
    slow.peek(&mut first).expect("it has begun");
    process.signal("TERM");
    assert_eq!(rest(&mut resting).1, "end");
    let (said, row) = answer(&mut slow);
    assert_eq!((said.as_str(), row.len()), ("T D C Z", LARGE));
    assert_eq!(rest(&mut slow), (Vec::new(), "end".to_owned()));
    ends_well(process, (slow, resting));
}

/// Told to leave with no list yet: what is asked for is refused by a word, and the process ends well.
#[test]
fn shutdown_before_first_endpoint_list_answers_accepted_statements() {
    let text = described(free_address(), silent_discovery(), free_address());
    let (head, tail) = text.split_once(r#""known":"#).expect("knows a list");
    let (_, tail) = tail.split_once("]},").expect("has an end");
    let process = serve_described("no-list", &format!("{head}{tail}"));
    let (mut client, mut resting) = (process.client(), process.client());
    ask(&mut client, "post");
    process.signal("TERM");
    let (said, _) = answer(&mut client);
    assert!(["E53300 Z", "E22023 Z"].contains(&said.as_str()), "{said}");
    assert_eq!(rest(&mut resting), (Vec::new(), "end".to_owned()));
    assert_eq!(rest(&mut client), (Vec::new(), "end".to_owned()));
    ends_well(process, (client, resting));
}

/// The client has sent so much ahead that it isn't read any further, and goes.
#[test]
fn client_disconnect_with_unread_input_cancels_execution() {
    let member = member(Manner::Waits);
    let process = serve("leaves-unread", member.address);
    for ahead in [20 * 1024, 60 * 1024] {
        let mut client = process.client();
        // It would end by itself long after anybody waits for that here.
        ask_for(&mut client, "view", 90_000, "x");
        assert!(member.told().contains("c=view"));
        client
            .write_all(&message(b'Q', b"\0").repeat(ahead / 6))
            .expect("is written");
        drop(client);
        assert_eq!(member.told(), "ended", "{ahead}");
    }
}

/// The client closes its side and waits: by its end alone it can't be told from one that has left, so nothing more is begun
/// for it, and it has its final answer.
#[test]
fn client_half_closed_gets_its_final_answer() {
    let member = member(Manner::Waits);
    let process = serve("half-closes", member.address);
    for (workload, expected) in [("view", "E53300 Z"), ("post", "E40003 Z")] {
        let mut client = process.client();
        ask(&mut client, workload);
        assert!(member.told().contains(&format!("c={workload}")));
        client.shutdown(Shutdown::Write).expect("is open");
        assert_eq!(answer(&mut client).0, expected);
        assert_eq!(rest(&mut client), (Vec::new(), "end".to_owned()));
        assert_eq!(member.told(), "ended");
    }
}

/// A member hangs through the whole of a shutdown: the process answers and exits before it would be killed.
#[test]
fn shutdown_member_hangs_process_exits_before_the_kill() {
    for (wait, kill) in [(100, 800), (10_000, 3700)] {
        let member = member(Manner::Waits);
        let text = described(free_address(), silent_discovery(), member.address).replace(
            r#""worth":1.0,"#,
            &format!(r#""worth":1.0,"give_up_us":{wait}000,"#),
        );
        let process = serve_described(&format!("hangs-{wait}"), &text);
        let mut client = process.client();
        ask(&mut client, "post");
        member.told();
        let requested_at = Instant::now();
        process.signal("TERM");
        assert_eq!(answer(&mut client).0, "E40003 Z", "{wait}");
        ends_well(process, client);
        let limit = Duration::from_millis(kill);
        assert!(
            requested_at.elapsed() < limit,
            "{wait}: {:?}",
            requested_at.elapsed()
        );
    }
}

/// A start with nobody else there: discovery and the only member say nothing, and clients come at once. It is ready, and what
/// is asked for ends in its time.
#[test]
fn start_unresponsive_dependencies_process_is_ready() {
    let process = serve("silent-others", silent_discovery());
    for workload in ["view", "post"] {
        let mut client = process.client();
        ask_for(&mut client, workload, 300, "x");
        assert_eq!(answer(&mut client).0, "E53300 Z", "nothing of it has left");
    }
}

/// Those for whom there is no memory are told so, and get to read it.
#[test]
fn client_memory_exhausted_is_rejected_with_error() {
    let member = member(Manner::Answers);
    let (_process, mut clients, part) = short_of_memory("no-memory", member.address);
    clients.iter_mut().for_each(|c| drop(c.write_all(&part)));
    let ended = clients.iter_mut().filter_map(|client| {
        // Only whether anything comes is a question of time; who waits for the rest of its message may stay.
        client
            .set_read_timeout(Some(Duration::from_millis(200)))
            .expect("is set");
        let silent = matches!(client.peek(&mut [0]), Err(e) if e.kind() != ErrorKind::ConnectionReset);
        client.set_read_timeout(Some(PATIENCE)).expect("is set");
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
    let (old, new) = (member(Manner::Answers), member(Manner::Answers));
    let (discovery, at) = listener();
    let process = serve_described("list-reset", &described(free_address(), at, old.address));
    let list = format!(
        r#"{{"index":2,"snapshot":true,"endpoints":[{{"name":"n","address":"{}","zone":"a","group":1,"status":"SERVING",
        "weight":1.0,"since_ms":0,"rank":"source"}}]}}"#,
        new.address
    );
    let answers = |reset: bool| {
        let (mut call, _) = discovery.accept().expect("is called");
        read_head(&mut call).expect("asks");
        call.write_all(format!("HTTP/1.1 200 OK\r\n\r\n{list}").as_bytes())
            .expect("is written");
        let linger = reset.then_some(Duration::ZERO);
        socket2::SockRef::from(&call).set_linger(linger).expect("is set");
    };
    let mut client = process.client();
    answers(true);
    // It has called again, so it knows of the reset.
    answers(true);
    ask(&mut client, "post");
    assert!(old.told().contains("c=post"), "the last good list stands");
    assert_eq!(answer(&mut client).0, "T D C Z");
    answers(false);
    let (mut call, _) = discovery.accept().expect("is called");
    assert!(
        read_head(&mut call).expect("asks").contains("after=2&"),
        "it was taken"
    );
    ask(&mut client, "post");
    assert!(new.told().contains("c=post"));
    assert_eq!(answer(&mut client).0, "T D C Z");
}
