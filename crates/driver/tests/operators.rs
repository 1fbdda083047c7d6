//! The driver with an operators' file: reloads, generations, rollback, and the `config` commands.

mod harness;
use harness::*;
use std::io::Write;
use std::net::TcpStream;
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn operators_reload_valid_file_applies_invalid_changes_nothing() {
    let (folder, member) = (TempFolder::new("live"), start_member(MemberBehavior::Answer));
    let file = folder.write("o.latch", "workload(\"view\", longest = 256B)\n");
    let driver = start_with_operators_file("live", member.address, &["--operators", &file]);
    let mut client = driver.process.connect();
    let execute_long_statement = |client: &mut TcpStream| {
        let text = format!(
            "/* id=2f,c=view,d=25000,cluster=1 */ SELECT '{}'\0",
            "x".repeat(400)
        );
        client.write_all(&message(b'Q', text.as_bytes())).expect("send");
        read_answer(client).0
    };
    assert_eq!(execute_long_statement(&mut client), "E54000 Z");
    driver.replace_operators_file("workload(\"view\", longest = 1KiB)\nlog(lines = 50/s)\n");
    driver.wait_for_log("generation 2 is applied: 2 settings changed, 0 require");
    assert_eq!(
        execute_long_statement(&mut client),
        "T D C Z",
        "the new limit applies on the same connection"
    );
    driver.replace_operators_file("workload(\"view\", longest = 256)\n");
    driver.wait_for_log("workload(\"view\").longest is a size");
    driver.wait_for_log("not applied: the file has 1 errors");
    assert_eq!(execute_long_statement(&mut client), "T D C Z");
    driver.replace_operators_file(
        "process(stack = 128KiB)\nworkload(\"view\", longest = 1KiB)\nlog(lines = 50/s)\n",
    );
    driver.wait_for_log("generation 3 is applied: 0 settings changed, 1 require a restart");
    driver.replace_operators_file(
        "workload(\"view\", longest = 1KiB)\nlog(lines = 50/s)\nprocess(stack = 2 * 64KiB)\n",
    );
    driver.wait_for_log("reloaded, no setting has changed");
    // SIGTERM within a burst of reloads: the process exits cleanly.
    for rate in 1..20 {
        driver.replace_operators_file(&format!("log(lines = {rate}/s)\n"));
    }
    driver.process.signal("TERM");
    driver.replace_operators_file("log(lines = ");
    drop(client);
    driver.wait_for_log("is stopped");
    let mut process = driver.process;
    assert!(process.child.wait().expect("wait").success());
}

#[test]
fn generation_rejecting_clients_is_rolled_back_once() {
    let (folder, member) = (TempFolder::new("back"), start_member(MemberBehavior::Answer));
    let activation = "activation(probation = 1h, margin = 1%, least = 3)\n";
    let file = folder.write("o.latch", activation);
    let driver = start_with_operators_file("back", member.address, &["--operators", &file]);
    let execute_all = |clients: &mut [TcpStream]| {
        for client in clients.iter_mut() {
            send_statement(client, "view");
            assert_eq!(read_answer(client).0, "T D C Z");
        }
    };
    let mut clients: Vec<_> = (0..30).map(|_| driver.process.connect()).collect();
    execute_all(&mut clients);
    // 5% of 208 descriptors leave 10 for clients, fewer than are open.
    driver.replace_operators_file(&format!("{activation}descriptors(clients = 5%)\n"));
    driver.wait_for_log("generation 2 is applied");
    let deadline = Instant::now() + TEST_TIMEOUT;
    let rollback_line = loop {
        assert!(Instant::now() < deadline, "the generation is not rolled back");
        // Each new client evicts an idle one or is rejected.
        drop(TcpStream::connect(driver.process.listen));
        match driver.log_lines.recv_timeout(Duration::from_millis(20)) {
            Ok(line) if line.contains("ROLLED BACK") => break line,
            _ => {}
        }
    };
    assert!(
        rollback_line.contains("from generation 2 to 1: more was rejected for lack of places for clients"),
        "{rollback_line}"
    );
    let mut clients: Vec<_> = (0..30).map(|_| driver.process.connect()).collect();
    execute_all(&mut clients);
    driver.process.signal("HUP");
    driver.wait_for_log("not applied: these settings were rolled back");
    driver.replace_operators_file(&format!("{activation}log(lines = 6/s)\n"));
    driver.wait_for_log("generation 3 is confirmed");
}

#[test]
#[expect(clippy::too_many_lines, reason = "a table of cases, or one run step by step")]
fn start_invalid_operators_file_uses_newest_stored_generation() {
    let (folder, member) = (TempFolder::new("state"), start_member(MemberBehavior::Answer));
    let state = folder.path("state");
    let valid_text = "workload(\"view\", longest = 256B)\nactivation(probation = 0s)\n";
    let file = folder.write("o.latch", valid_text);
    let arguments = ["--operators", &file, "--state", &state];
    let wait_for_stored_files = |count: usize| {
        let deadline = Instant::now() + TEST_TIMEOUT;
        while std::fs::read_dir(&state).map_or(0, |d| {
            d.filter(|e| {
                e.as_ref()
                    .is_ok_and(|e| e.path().extension().is_some_and(|x| x == "json"))
            })
            .count()
        }) < count
        {
            assert!(Instant::now() < deadline, "the generation is not stored");
            thread::yield_now();
        }
    };
    let first_driver = start_with_operators_file("state1", member.address, &arguments);
    wait_for_stored_files(1);
    first_driver.replace_operators_file(&valid_text.replace("256B", "300B"));
    first_driver.wait_for_log("generation 2 is confirmed");
    wait_for_stored_files(2);
    drop(first_driver.process);
    folder.write("o.latch", "workload(\"view\", longest = 256");
    std::fs::write(
        folder.0.join("state/generation-00000000000000000009.latch.json"),
        "torn",
    )
    .expect("write the file");
    let second_driver = start_with_operators_file("state2", member.address, &arguments);
    second_driver.wait_for_log("ignored stored generation 9: it doesn't begin as one");
    second_driver.wait_for_log("serving with generation 2");
    let mut client = second_driver.process.connect();
    let text = format!(
        "/* id=2f,c=view,d=25000,cluster=1 */ SELECT '{}'\0",
        "x".repeat(230)
    );
    client.write_all(&message(b'Q', text.as_bytes())).expect("send");
    assert_eq!(
        read_answer(&mut client).0,
        "T D C Z",
        "the limit is 300 bytes, not 256"
    );
    drop(second_driver.process);
    let run = |arguments: &[&str]| {
        let output = Command::new(env!("CARGO_BIN_EXE_asterlatch"))
            .args(arguments)
            .output()
            .expect("run the command");
        let text = [output.stdout, output.stderr].concat();
        (output.status.code(), String::from_utf8_lossy(&text).into_owned())
    };
    let (code, text) = run(&["config", "history", &state]);
    assert!(
        code == Some(0) && text.contains("workload(\"view\").longest: 256B -> 300B"),
        "{text}"
    );
    let (code, text) = run(&["config", "rollback", &state]);
    assert_eq!(
        (code, text.contains("stored again as")),
        (Some(0), true),
        "{text}"
    );
    assert_eq!(run(&["config", "rollback", &state, "9"]).0, Some(1));
    let third_driver = start_with_operators_file("state3", member.address, &arguments);
    third_driver.wait_for_log("FILE INVALID");
    let mut client = third_driver.process.connect();
    client
        .write_all(&message(b'Q', statement_of_length(230).as_bytes()))
        .expect("send");
    assert_eq!(
        read_answer(&mut client).0,
        "E54000 Z",
        "the limit is rolled back to 256 bytes"
    );
    let config_path = write_config(
        "strict",
        &config_text(unused_address(), unresponsive_discovery(), member.address),
    );
    let output = driver_command("serve", &config_path)
        .args(arguments)
        .arg("--strict")
        .output()
        .expect("run the command");
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(1), "{text}");
    assert!(text.contains("o.latch:1:3"), "no source location: {text}");
    let output_without_state = driver_command("serve", &config_path)
        .args(&arguments[..2])
        .output()
        .expect("run the command");
    assert_eq!(
        output_without_state.status.code(),
        Some(1),
        "starts without a stored generation"
    );
}

fn statement_of_length(length: usize) -> String {
    format!(
        "/* id=2f,c=view,d=25000,cluster=1 */ SELECT '{}'\0",
        "x".repeat(length)
    )
}

#[test]
fn config_commands_exit_codes_are_fixed() {
    let folder = TempFolder::new("commands");
    let valid = folder.write("plain.latch", "clients(rest = 9s)\n");
    let unformatted = folder.write("same.latch", "clients( rest=9000ms )");
    let changed = folder.write("other.latch", "clients(rest = 8s)\n");
    let invalid = folder.write("faulty.latch", "clients(rest = 8)\nclients(message = 9)\n");
    let missing = folder.path("missing.latch");
    let low_memory = folder.write("small.latch", "memory(clients = 1%)\n");
    #[rustfmt::skip]
    let cases: [(&[&str], i32, &str); 18] = [
        (&["check", &valid], 0, "valid"),
        (&["check", &invalid], 1, "faulty.latch:2:19: clients.message is a duration"),
        (&["check", &missing], 1, "missing.latch:1:1: "),
        (&["check", &low_memory], 0, "valid"),
        (&["check", &low_memory, "--memory", "4MiB"], 1, "under the"),
        (&["check", &low_memory, "--memory", "4"], 2, "a size such as"),
        (&["check", &valid, "--descriptors", "51"], 1, ":1:1: of 51 descriptors"),
        (&["diff", &valid, &unformatted], 0, ""),
        (&["diff", &valid, &changed], 1, "clients.rest: 9s -> 8s (live; bears on"),
        (&["diff", &valid, &invalid], 2, "the bare number 8"),
        (&["diff", &missing, &valid], 2, "can't be read"),
        (&["show", &unformatted], 0, "\"rest\": \"9s\""),
        (&["show", &invalid], 1, "bare number"),
        (&["format", "--check", &unformatted], 1, "not formatted"),
        (&["format", "--check", &valid], 0, ""),
        (&["format", &unformatted], 0, ""),
        (&["format", "--check", &unformatted], 0, ""),
        (&["history", &missing], 1, "missing.latch"),
    ];
    for (arguments, code, expected) in cases {
        let output = Command::new(env!("CARGO_BIN_EXE_asterlatch"))
            .arg("config")
            .args(arguments)
            .output()
            .expect("run the command");
        let text = String::from_utf8_lossy(&[output.stdout, output.stderr].concat()).into_owned();
        assert_eq!(output.status.code(), Some(code), "{arguments:?}\n{text}");
        assert!(text.contains(expected), "{arguments:?}\n{text}");
    }
    assert_eq!(
        std::fs::read_to_string(&unformatted).expect("read the file"),
        "clients(rest = 9000ms)\n"
    );
    let path = write_config(
        "command",
        &config_text(unused_address(), unresponsive_discovery(), unused_address()),
    );
    for (file, code) in [(&valid, Some(0)), (&invalid, Some(1))] {
        let output = driver_command("check", &path)
            .args(["--operators", file])
            .output()
            .expect("run the command");
        assert_eq!(
            output.status.code(),
            code,
            "{}",
            String::from_utf8_lossy(&output.stderr)
        );
    }
}

#[test]
fn log_format_json_writes_one_object_per_line() {
    let member = start_member(MemberBehavior::Answer);
    let text = config_text(unused_address(), unresponsive_discovery(), member.address);
    let process = start_driver_with_arguments("json", &text, &["--log-format", "json"]);
    let mut client = process.connect();
    for _ in 0..8 {
        client.write_all(&message(b'Q', b"no comment\0")).expect("send");
        assert_eq!(read_answer(&mut client).0, "E42601 Z");
    }
    drop(client);
    process.signal("TERM");
    let (is_success, log) = process.wait_with_log();
    assert!(is_success, "{log}");
    let lines: Vec<serde_json::Value> = log
        .lines()
        .map(|l| serde_json::from_str(l).expect("parse the log line as a JSON object"))
        .collect();
    let count_of_topic = |topic: &str| lines.iter().filter(|l| l["topic"] == topic).count();
    assert_eq!(
        (count_of_topic("statement"), count_of_topic("counters")),
        (5, 1),
        "the line limit is exceeded: {log}"
    );
    assert!(lines
        .iter()
        .all(|l| l["unix_ms"].as_u64().is_some_and(|ms| ms > 1_600_000_000_000)));
    let counters = lines
        .iter()
        .find(|l| l["topic"] == "counters")
        .expect("find the line of counters");
    assert!(
        counters["message"]
            .as_str()
            .is_some_and(|m| m.contains("log_lines_left_out=3")),
        "{log}"
    );
}

/// An unreadable generation, for which a folder stands, is reported, left in place, and not skipped by a
/// rollback.
#[test]
fn generation_unreadable_is_reported_and_left_in_place() {
    let (folder, member) = (TempFolder::new("unread"), start_member(MemberBehavior::Answer));
    let state = folder.path("state");
    let valid_text = "workload(\"view\", longest = 256B)\nactivation(probation = 0s)\n";
    let file = folder.write("o.latch", valid_text);
    let arguments = ["--operators", &file, "--state", &state];
    let first_driver = start_with_operators_file("unread1", member.address, &arguments);
    first_driver.replace_operators_file(&valid_text.replace("256B", "300B"));
    first_driver.wait_for_log("generation 2 is confirmed");
    // The thread that stores generations also reads the file, so the previous store has finished then.
    first_driver.replace_operators_file(&format!("{valid_text}# comment\n"));
    first_driver.wait_for_log("generation 3 is applied");
    drop(first_driver.process);
    let unreadable = folder.0.join("state/generation-00000000000000000009.latch.json");
    std::fs::create_dir(&unreadable).expect("create the folder");
    let run = |arguments: &[&str]| {
        let output = Command::new(env!("CARGO_BIN_EXE_asterlatch"))
            .args(arguments)
            .output()
            .expect("run the command");
        let text = [output.stdout, output.stderr].concat();
        (output.status.code(), String::from_utf8_lossy(&text).into_owned())
    };
    let count_files = || std::fs::read_dir(&state).expect("list the folder").count();
    let count_before = count_files();
    let (code, text) = run(&["config", "history", &state]);
    assert!(code == Some(0) && text.starts_with("9 unreadable: "), "{text}");
    // The number of changes is unknown.
    let (code, text) = run(&["config", "rollback", &state]);
    assert!(
        code == Some(1) && text.contains("generation 9 can't be read now"),
        "{text}"
    );
    assert_eq!(count_files(), count_before, "a generation was stored");
    let second_driver = start_with_operators_file("unread2", member.address, &arguments);
    second_driver.wait_for_log("cannot read stored generation 9, which is ignored and left in place");
    second_driver.replace_operators_file(&valid_text.replace("256B", "512B"));
    second_driver.wait_for_log("generation 11 is confirmed");
    drop(second_driver.process);
    assert!(unreadable.is_dir(), "the unreadable generation was removed");
}
