//! The built program against small stand-ins that speak the public protocols on loopback.

mod harness;
use harness::*;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::path::PathBuf;
use std::process::Output;
use std::thread;
use std::time::Duration;

#[test]
fn program_read_then_sigusr1_answers_and_logs_metrics() {
    let member = start_member(MemberBehavior::Answer);
    let mut process = start_driver("reads", member.address);
    let mut client = process.connect_client();
    for _ in 0..3 {
        let text = send_statement(&mut client, "view");
        assert_eq!(
            read_answer(&mut client),
            ("T D C Z".to_owned(), b"\x00value".to_vec())
        );
        let came = member.next_event();
        // All but the time left passes unchanged.
        let (head, tail) = text.split_once("d=25000").expect("the statement has a timeout");
        assert!(
            came.starts_with(head) && came.trim_end_matches('\0').ends_with(tail),
            "{came}"
        );
    }
    process.signal("USR1");
    let mut lines = BufReader::new(process.child.stderr.as_mut().expect("stderr is piped")).lines();
    let counters = lines
        .find_map(|l| l.ok().filter(|l| l.contains("counters")))
        .expect("read the line of counters");
    assert!(
        counters.contains(" completed=3 ") && counters.contains(" open_clients="),
        "{counters}"
    );
    client
        .write_all(&message(b'P', b"\0\0"))
        .expect("write to the connection");
    assert_eq!(
        read_answer(&mut client).0,
        "E08P01",
        "and the connection is closed"
    );
}

/// Against a client that asks on and on and reads nothing: it must not fill the memory, nor keep others
/// waiting, nor lose an answer.
#[test]
fn session_client_not_reading_is_not_read() {
    const MOST: usize = 48 << 20;
    let member = start_member(MemberBehavior::Answer);
    let process = start_driver("floods", member.address);
    let (mut flood, mut other) = (process.connect_client(), process.connect_client());
    flood.set_nonblocking(true).expect("set the blocking mode");
    let queries = message(b'Q', b"\0").repeat(10_000);
    let (mut sent, mut blocked) = (0, 0);
    while sent < MOST && blocked < 100 {
        match flood.write(&queries[sent % queries.len()..]) {
            Ok(n) => (sent, blocked) = (sent + n, 0),
            Err(e) => {
                assert_eq!(e.kind(), ErrorKind::WouldBlock);
                blocked += 1;
                thread::sleep(Duration::from_millis(5));
            }
        }
    }
    assert!(sent < MOST, "all was taken in");
    send_statement(&mut other, "view");
    assert_eq!(read_answer(&mut other).0, "T D C Z");
    flood.set_nonblocking(false).expect("set the blocking mode");
    let (mut unread, mut answers) = (BufReader::with_capacity(1 << 16, flood), 0);
    while answers < sent / 6 {
        let mut reply = [0; 11];
        unread.read_exact(&mut reply).expect("read from the connection");
        assert_eq!(&reply, b"I\0\0\0\x04Z\0\0\0\x05I");
        answers += 1;
    }
}

/// Against clients that each begin a large statement and don't end it: together they would fill a small
/// memory.
#[test]
fn client_memory_unfinished_messages_stay_within_budget() {
    let member = start_member(MemberBehavior::Answer);
    let (process, mut clients, part) = start_driver_short_of_memory("unfinished", member.address);
    // A client that was ended already may not take its part any more.
    let taken = clients.iter_mut().filter_map(|c| c.write_all(&part).ok()).count();
    assert!(taken >= 10, "a mebibyte takes ten of them: {taken}");
    let mut ended = 0;
    for client in &mut clients {
        client
            .set_read_timeout(Some(Duration::from_millis(100)))
            .expect("set the read timeout");
        match client.read(&mut [0]) {
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            _ => ended += 1,
        }
    }
    assert!((1..=25).contains(&ended), "{ended}");
    let mut other = process.connect_client();
    send_statement(&mut other, "view");
    assert_eq!(read_answer(&mut other).0, "T D C Z");
}

#[test]
fn write_member_closes_early_fails_once() {
    let member = start_member(MemberBehavior::CloseConnection);
    let process = start_driver("closes", member.address);
    let mut client = process.connect_client();
    send_statement(&mut client, "post");
    assert_eq!(read_answer(&mut client).0, "E40003 Z");
    member.next_event();
    send_statement(&mut client, "view");
    // Idempotent: may be tried again, and is rejected in the end.
    assert_eq!(read_answer(&mut client).0, "E53300 Z");
    assert!(
        member.events.try_iter().all(|text| text.contains("c=view")),
        "the write came a second time"
    );
}

#[test]
fn client_disconnect_cancels_execution() {
    let member = start_member(MemberBehavior::AnswerOnRelease);
    let process = start_driver("leaves", member.address);
    let mut client = process.connect_client();
    send_statement(&mut client, "view");
    assert!(member.next_event().contains("c=view"));
    drop(client);
    assert_eq!(member.next_event(), "disconnected");
}

#[test]
fn shutdown_accepted_statements_are_answered_first() {
    let member = start_member(MemberBehavior::AnswerOnRelease);
    let process = start_driver("sigterm", member.address);
    let (mut client, mut idle) = (process.connect_client(), process.connect_client());
    send_statement(&mut client, "post");
    assert!(member.next_event().contains("c=post"));
    process.signal("TERM");
    // The idle one is let go without a word, which also shows that the program has begun to drain.
    assert_eq!(read_answer(&mut idle).0, "");
    member.release.send(()).expect("release the statement");
    assert_eq!(
        read_answer(&mut client),
        ("T D C Z".to_owned(), b"\x00value".to_vec())
    );
    assert_eq!(
        read_answer(&mut client).0,
        "",
        "and then its connection is closed"
    );
    let listen = process.listen;
    let (good, log) = process.wait_with_log();
    assert!(
        good && log.contains("is stopped") && log.contains(" completed=1 "),
        "{log}"
    );
    // And it comes back at its address.
    let again = start_driver_at(listen, "sigterm-again", member.address);
    let mut client = again.connect_client();
    send_statement(&mut client, "view");
    assert!(member.next_event().contains("c=view"));
}

/// SIGHUP ends a process that doesn't mind it. A file that is half there changes nothing, one that names
/// another discovery has it called at once, and a statement that is out meanwhile is answered.
#[test]
fn sighup_changed_configuration_is_reloaded() {
    let member = start_member(MemberBehavior::AnswerOnRelease);
    let mut process = start_driver("sighup", member.address);
    let mut client = process.connect_client();
    send_statement(&mut client, "post");
    assert!(member.next_event().contains("c=post"));
    let good = std::fs::read_to_string(&process.path).expect("read the file");
    std::fs::write(&process.path, &good[..good.len() / 2]).expect("write the file");
    process.signal("HUP");
    let mut lines = BufReader::new(process.child.stderr.as_mut().expect("stderr is piped")).lines();
    assert!(lines.any(|l| l.is_ok_and(|l| l.contains("configuration: unchanged, reload failed"))));
    let (discovery, at) = bind_listener();
    let mut value: serde_json::Value = serde_json::from_str(&good).expect("parse as JSON");
    value["discovery"] = at.to_string().into();
    value["settings"]["tick_us"] = 7000.into();
    let next = process.path.with_extension("next");
    std::fs::write(&next, value.to_string()).expect("write the file");
    std::fs::rename(&next, &process.path).expect("replace the configuration file");
    (0..3).for_each(|_| process.signal("HUP"));
    let (mut call, _) = discovery.accept().expect("accept the connection of the driver");
    let mut asked = [0; 28];
    call.read_exact(&mut asked).expect("read the request");
    assert_eq!(&asked, b"GET /registry/instances HTTP");
    member.release.send(()).expect("release the statement");
    assert_eq!(read_answer(&mut client).0, "T D C Z");
    process.signal("TERM");
    process.signal("HUP");
    let (good, log) = process.wait_with_log();
    assert!(
        good && log.contains(&format!(
            "reloaded, discovery at {at}; pending until a restart: settings"
        )),
        "{log}"
    );
}

#[test]
fn start_invalid_configuration_fails_with_one_line() {
    let (taken, address) = bind_listener();
    let free = unused_address();
    let good = config_text(free, free, free);
    let cases = [
        ("no file", None, "No such file"),
        ("no JSON", Some("{".to_owned()), "EOF"),
        (
            "no settings",
            Some(r#"{"listen":"127.0.0.1:1","discovery":"127.0.0.1:1"}"#.to_owned()),
            "settings",
        ),
        (
            "no workload",
            Some(good.replace("categories", "other")),
            "no workload",
        ),
        (
            "no address",
            Some(good.replacen(&free.to_string(), "nowhere", 1)),
            "listen",
        ),
        (
            "an address in use",
            Some(good.replacen(&free.to_string(), &address.to_string(), 1)),
            "in use",
        ),
    ];
    for (n, (name, text, named)) in cases.into_iter().enumerate() {
        let path = match &text {
            Some(text) => write_config(&format!("bad{n}"), text),
            None => PathBuf::from("/nonexistent/config.json"),
        };
        for command in ["serve", "check"] {
            let Output { status, stderr, .. } = spawn_process(&mut driver_command(command, &path))
                .wait_with_output()
                .expect("wait for the command");
            let said = String::from_utf8_lossy(&stderr).into_owned();
            assert!(
                !status.success() && said.lines().count() == 1 && said.contains(named),
                "{name}: {said}"
            );
        }
        let _ = std::fs::remove_file(&path);
    }
    drop(taken);
    let path = write_config("good", &good);
    let Output { status, stdout, .. } = spawn_process(&mut driver_command("check", &path))
        .wait_with_output()
        .expect("wait for the command");
    let _ = std::fs::remove_file(&path);
    assert!(status.success() && String::from_utf8_lossy(&stdout).contains("2 workloads, 1 members"));
}
