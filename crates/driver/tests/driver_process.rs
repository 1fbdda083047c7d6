//! The driver process against fake members and discovery: answers, signals, memory limits and start.

mod harness;
use harness::*;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::path::PathBuf;
use std::process::Output;
use std::thread;
use std::time::Duration;

#[test]
fn read_then_sigusr1_answers_and_logs_metrics() {
    let member = start_member(MemberBehavior::Answer);
    let mut process = start_driver("reads", member.address);
    let mut client = process.connect();
    for _ in 0..3 {
        let statement = send_statement(&mut client, "view");
        assert_eq!(
            read_answer(&mut client),
            ("T D C Z".to_owned(), b"\x00value".to_vec())
        );
        let received = member.next_event();
        // Only the remaining time changes on the way to the member.
        let (prefix, suffix) = statement
            .split_once("d=25000")
            .expect("the statement has a timeout");
        assert!(
            received.starts_with(prefix) && received.trim_end_matches('\0').ends_with(suffix),
            "{received}"
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
    client.write_all(&message(b'P', b"\0\0")).expect("send");
    assert_eq!(
        read_answer(&mut client).0,
        "E08P01",
        "an unsupported message is rejected"
    );
}

/// The driver stops reading from a client that reads no answers: memory stays bounded, other clients are
/// served, and no answer is lost.
#[test]
fn session_client_not_reading_is_not_read() {
    const MAX_BYTES: usize = 48 << 20;
    let member = start_member(MemberBehavior::Answer);
    let process = start_driver("floods", member.address);
    let (mut flooding_client, mut other_client) = (process.connect(), process.connect());
    flooding_client
        .set_nonblocking(true)
        .expect("set the blocking mode");
    let queries = message(b'Q', b"\0").repeat(10_000);
    let (mut sent, mut blocked) = (0, 0);
    while sent < MAX_BYTES && blocked < 100 {
        match flooding_client.write(&queries[sent % queries.len()..]) {
            Ok(written) => (sent, blocked) = (sent + written, 0),
            Err(e) => {
                assert_eq!(e.kind(), ErrorKind::WouldBlock);
                blocked += 1;
                thread::sleep(Duration::from_millis(5));
            }
        }
    }
    assert!(sent < MAX_BYTES, "the driver read all input");
    send_statement(&mut other_client, "view");
    assert_eq!(read_answer(&mut other_client).0, "T D C Z");
    flooding_client
        .set_nonblocking(false)
        .expect("set the blocking mode");
    let (mut reader, mut answers) = (BufReader::with_capacity(1 << 16, flooding_client), 0);
    while answers < sent / 6 {
        let mut reply = [0; 11];
        reader.read_exact(&mut reply).expect("read from the connection");
        assert_eq!(&reply, b"I\0\0\0\x04Z\0\0\0\x05I");
        answers += 1;
    }
}

/// Large unfinished messages of many clients stay within the memory budget.
#[test]
fn client_memory_unfinished_messages_stay_within_budget() {
    let member = start_member(MemberBehavior::Answer);
    let (process, mut clients, partial_message) = start_driver_short_of_memory("unfinished", member.address);
    // Writes to clients that are already closed fail.
    let written_count = clients
        .iter_mut()
        .filter_map(|c| c.write_all(&partial_message).ok())
        .count();
    assert!(
        written_count >= 10,
        "the budget has room for ten messages: {written_count}"
    );
    let mut closed_count = 0;
    for client in &mut clients {
        client
            .set_read_timeout(Some(Duration::from_millis(100)))
            .expect("set timeout");
        match client.read(&mut [0]) {
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            _ => closed_count += 1,
        }
    }
    assert!((1..=25).contains(&closed_count), "{closed_count}");
    let mut other_client = process.connect();
    send_statement(&mut other_client, "view");
    assert_eq!(read_answer(&mut other_client).0, "T D C Z");
}

#[test]
fn write_member_closes_early_fails_once() {
    let member = start_member(MemberBehavior::CloseConnection);
    let process = start_driver("closes", member.address);
    let mut client = process.connect();
    send_statement(&mut client, "post");
    assert_eq!(read_answer(&mut client).0, "E40003 Z");
    member.next_event();
    send_statement(&mut client, "view");
    // Idempotent: it is retried, and finally rejected.
    assert_eq!(read_answer(&mut client).0, "E53300 Z");
    assert!(
        member.events.try_iter().all(|text| text.contains("c=view")),
        "the write was sent a second time"
    );
}

#[test]
fn client_disconnect_cancels_execution() {
    let member = start_member(MemberBehavior::AnswerOnRelease);
    let process = start_driver("leaves", member.address);
    let mut client = process.connect();
    send_statement(&mut client, "view");
    assert!(member.next_event().contains("c=view"));
    drop(client);
    assert_eq!(member.next_event(), "disconnected");
}

#[test]
fn shutdown_accepted_statements_are_answered_first() {
    let member = start_member(MemberBehavior::AnswerOnRelease);
    let process = start_driver("sigterm", member.address);
    let (mut client, mut idle_client) = (process.connect(), process.connect());
    send_statement(&mut client, "post");
    assert!(member.next_event().contains("c=post"));
    process.signal("TERM");
    // The idle client is closed without a message, which also shows that the drain has begun.
    assert_eq!(read_answer(&mut idle_client).0, "");
    member.release.send(()).expect("release the statement");
    assert_eq!(
        read_answer(&mut client),
        ("T D C Z".to_owned(), b"\x00value".to_vec())
    );
    assert_eq!(
        read_answer(&mut client).0,
        "",
        "the connection is closed after the answer"
    );
    let listen = process.listen;
    let (is_success, log) = process.wait_with_log();
    assert!(
        is_success && log.contains("is stopped") && log.contains(" completed=1 "),
        "{log}"
    );
    // A new process can bind the same address.
    let restarted = start_driver_at(listen, "sigterm-again", member.address);
    let mut client = restarted.connect();
    send_statement(&mut client, "view");
    assert!(member.next_event().contains("c=view"));
}

/// SIGHUP reloads the configuration: a truncated file changes nothing, a new discovery address is used at
/// once, and an open statement is answered.
#[test]
fn sighup_changed_configuration_is_reloaded() {
    let member = start_member(MemberBehavior::AnswerOnRelease);
    let mut process = start_driver("sighup", member.address);
    let mut client = process.connect();
    send_statement(&mut client, "post");
    assert!(member.next_event().contains("c=post"));
    let valid_config = std::fs::read_to_string(&process.path).expect("read the file");
    std::fs::write(&process.path, &valid_config[..valid_config.len() / 2]).expect("write the file");
    process.signal("HUP");
    let mut lines = BufReader::new(process.child.stderr.as_mut().expect("stderr is piped")).lines();
    assert!(lines.any(|l| l.is_ok_and(|l| l.contains("configuration: unchanged, reload failed"))));
    let (discovery, discovery_address) = bind_listener();
    let mut value: serde_json::Value = serde_json::from_str(&valid_config).expect("parse as JSON");
    value["discovery"] = discovery_address.to_string().into();
    value["settings"]["tick_us"] = 7000.into();
    let new_file = process.path.with_extension("next");
    std::fs::write(&new_file, value.to_string()).expect("write the file");
    std::fs::rename(&new_file, &process.path).expect("replace the configuration file");
    (0..3).for_each(|_| process.signal("HUP"));
    let (mut stream, _) = discovery.accept().expect("accept the connection of the driver");
    let mut request_line = [0; 28];
    stream.read_exact(&mut request_line).expect("read the request");
    assert_eq!(&request_line, b"GET /registry/instances HTTP");
    member.release.send(()).expect("release the statement");
    assert_eq!(read_answer(&mut client).0, "T D C Z");
    process.signal("TERM");
    process.signal("HUP");
    let (is_success, log) = process.wait_with_log();
    assert!(
        is_success
            && log.contains(&format!(
                "reloaded, discovery at {discovery_address}; pending until a restart: settings"
            )),
        "{log}"
    );
}

#[test]
fn start_invalid_configuration_fails_with_one_line() {
    let (bound_listener, bound_address) = bind_listener();
    let free_address = unused_address();
    let valid_config = config_text(free_address, free_address, free_address);
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
            Some(valid_config.replace("categories", "other")),
            "no workload",
        ),
        (
            "no address",
            Some(valid_config.replacen(&free_address.to_string(), "nowhere", 1)),
            "listen",
        ),
        (
            "an address in use",
            Some(valid_config.replacen(&free_address.to_string(), &bound_address.to_string(), 1)),
            "in use",
        ),
    ];
    for (case_index, (name, text, expected_error)) in cases.into_iter().enumerate() {
        let path = match &text {
            Some(text) => write_config(&format!("bad{case_index}"), text),
            None => PathBuf::from("/nonexistent/config.json"),
        };
        for command in ["serve", "check"] {
            let Output { status, stderr, .. } = spawn_process(&mut driver_command(command, &path))
                .wait_with_output()
                .expect("wait for the command");
            let error = String::from_utf8_lossy(&stderr).into_owned();
            assert!(
                !status.success() && error.lines().count() == 1 && error.contains(expected_error),
                "{name}: {error}"
            );
        }
        let _ = std::fs::remove_file(&path);
    }
    drop(bound_listener);
    let path = write_config("good", &valid_config);
    let Output { status, stdout, .. } = spawn_process(&mut driver_command("check", &path))
        .wait_with_output()
        .expect("wait for the command");
    let _ = std::fs::remove_file(&path);
    assert!(status.success() && String::from_utf8_lossy(&stdout).contains("2 workloads, 1 members"));
}
