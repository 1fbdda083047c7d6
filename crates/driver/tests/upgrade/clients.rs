//! Clients that move from the predecessor to the successor.

use crate::harness::*;
use crate::upgrade_harness::*;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpStream;
use std::os::unix::fs::PermissionsExt;
use std::thread;

/// A statement accepted before the handover is answered by the predecessor, exactly once.
#[test]
fn handover_write_in_flight_is_answered_once() {
    let member = start_member(MemberBehavior::AnswerOnRelease);
    let mut harness = UpgradeHarness::new("in-flight", &member, HANDOVER_SETTINGS);
    let mut client = harness.driver.process.connect();
    send_statement_with_id(&mut client, "post", 7);
    assert!(member.next_event().contains("id=7,"));
    let (pid, upgrade_request) = harness.begin_upgrade();
    assert!(upgrade_request.join().expect("join the thread").status.success());
    harness.driver.wait_for_log("upgrade: proven");
    harness.pid = Some(pid);
    // The successor serves other clients meanwhile.
    let mut other = harness.driver.process.connect();
    send_statement_with_id(&mut other, "post", 8);
    assert!(member.next_event().contains("id=8,"));
    member.release.send(()).expect("release the statement");
    member.release.send(()).expect("release the statement");
    assert_eq!(read_answer(&mut client).0, "T D C Z");
    assert_eq!(read_answer(&mut other).0, "T D C Z");
    harness.driver.wait_for_log("is stopped");
    // After its answer the client has moved to the successor on the same connection.
    send_statement_with_id(&mut client, "post", 9);
    assert!(member.next_event().contains("id=9,"));
    member.release.send(()).expect("release the statement");
    assert_eq!(read_answer(&mut client).0, "T D C Z");
    assert!(
        member.events.try_recv().is_err(),
        "a statement was executed twice"
    );
}

/// If either process dies or hangs on probation, the other continues to serve.
#[test]
fn handover_process_dies_or_hangs_other_serves() {
    let settings = HANDOVER_SETTINGS.replace("probation = 200ms", "probation = 1h");
    for (signal, signals_successor, expected_log) in [
        (
            "KILL",
            true,
            "upgrade: failed, this process continues to serve: the new process ended",
        ),
        (
            "STOP",
            true,
            "upgrade: failed, this process continues to serve: the new process was unresponsive while Standby",
        ),
        (
            "KILL",
            false,
            "upgrade: the predecessor is gone, the service is this one's",
        ),
    ] {
        let member = start_member(MemberBehavior::Answer);
        let mut harness = UpgradeHarness::new(&format!("failing-{signal}-{signals_successor}"), &member, &settings);
        assert_eq!(harness.execute("post", 1), "T D C Z");
        let (pid, _upgrade_request) = harness.begin_upgrade();
        harness.pid = Some(pid);
        assert_eq!(harness.execute("post", 2), "T D C Z");
        harness.await_client_moves(pid);
        let predecessor_pid = harness.driver.process.child.id();
        harness.signal(if signals_successor { pid } else { predecessor_pid }, signal);
        harness.driver.wait_for_log(expected_log);
        for id in 3..20 {
            assert_eq!(harness.execute("post", id), "T D C Z", "{signal} {signals_successor}");
        }
        let execution_count = std::iter::from_fn(|| member.events.try_recv().ok()).count();
        assert_eq!(execution_count, 19, "each statement is executed once");
        if signals_successor {
            // The next upgrade succeeds.
            harness.driver.replace_operators_file(HANDOVER_SETTINGS);
            harness.driver.wait_for_log("is applied");
            harness.upgrade();
            assert_eq!(harness.execute("post", 30), "T D C Z");
        }
    }
}

/// Clients between two statements move together with input that was read but not yet accepted.
#[test]
fn handover_clients_move_with_unread_input() {
    let member = start_member(MemberBehavior::Answer);
    let mut harness = UpgradeHarness::new("move", &member, HANDOVER_SETTINGS);
    let listen = harness.driver.process.listen;
    let query = |id: u32, padding: usize| {
        let text = format!(
            "/* id={id:x},c=post,d=25000,cluster=1 */ SELECT '{}'\0",
            "x".repeat(padding)
        );
        message(b'Q', text.as_bytes())
    };
    // One client is idle; others are within a message header, a statement's text, or the startup message.
    let mut idle = harness.driver.process.connect();
    idle.write_all(&query(1, 10)).expect("send");
    assert_eq!(read_answer(&mut idle).0, "T D C Z");
    let splits = [1, 3, 5, 20, 30_000];
    let mut partial: Vec<_> = splits.iter().map(|_| harness.driver.process.connect()).collect();
    for (index, client) in partial.iter_mut().enumerate() {
        client
            .write_all(&query(10 + index as u32, 40_000)[..splits[index]])
            .expect("send");
    }
    let startup = [0, 0, 0, 9, 0, 3, 0, 0, 0];
    let connect = |input: &[u8]| {
        let mut stream = TcpStream::connect(listen).expect("connect");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set timeout");
        stream.write_all(input).expect("send");
        stream
    };
    let mut unstarted = [connect(&[]), connect(&startup[..5])];
    // Part of an oversized message was discarded.
    let mut oversized = harness.driver.process.connect();
    let too_long = message(b'Q', &vec![b'y'; 14 << 20]);
    oversized.write_all(&too_long[..1 << 20]).expect("send");
    harness.upgrade();
    assert!(
        harness.driver.process.child.wait().expect("wait").success(),
        "the predecessor has exited"
    );
    idle.write_all(&query(2, 10)).expect("send");
    assert_eq!(read_answer(&mut idle).0, "T D C Z", "idle client");
    for (index, client) in partial.iter_mut().enumerate() {
        client
            .write_all(&query(10 + index as u32, 40_000)[splits[index]..])
            .expect("send");
        assert_eq!(read_answer(client).0, "T D C Z", "split at {}", splits[index]);
    }
    unstarted[0].write_all(&startup).expect("send");
    unstarted[1].write_all(&startup[5..]).expect("send");
    for (index, client) in unstarted.iter_mut().enumerate() {
        assert_eq!(read_answer(client).0, "Z", "unstarted client {index}");
        client.write_all(&query(100 + index as u32, 10)).expect("send");
        assert_eq!(read_answer(client).0, "T D C Z", "unstarted client {index}");
    }
    oversized.write_all(&too_long[1 << 20..]).expect("send");
    assert_eq!(read_answer(&mut oversized).0, "E54000 Z", "discarded to its end");
    oversized.write_all(&query(200, 10)).expect("send");
    assert_eq!(read_answer(&mut oversized).0, "T D C Z");
    let executions: Vec<String> = std::iter::from_fn(|| member.events.try_recv().ok()).collect();
    assert_eq!(executions.len(), 10, "each statement is executed once");
}

/// Guards against answers after SIGKILL: a predecessor that had handed over ignored SIGTERM while one of its
/// statements was open.
#[test]
fn handover_sigterm_to_draining_predecessor_answers_open_statement_in_time() {
    let member = start_member(MemberBehavior::AnswerOnRelease);
    let config = config_text(unused_address(), unresponsive_discovery(), member.address);
    let limited = config.replace(r#""worth""#, r#""give_up_us":1000000,"worth""#);
    let mut harness = UpgradeHarness::with_config("late-sigterm", &limited, HANDOVER_SETTINGS);
    let mut client = harness.driver.process.connect();
    // The statement's own timeout is longer than the test waits for an answer.
    send_statement_with(&mut client, "post", 10 * TEST_TIMEOUT.as_millis() as u32, "x");
    member.next_event();
    let (successor, upgrade_request) = harness.begin_upgrade();
    harness.pid = Some(successor);
    let output = upgrade_request.join().expect("join the thread");
    assert!(output.status.success(), "the successor owns the service");
    let predecessor = harness.driver.process.child.id();
    harness.signal(predecessor, "TERM");
    // The member never answers.
    assert_eq!(read_answer(&mut client).0, "E40003 Z");
    assert!(harness.driver.process.exits_successfully());
}

/// A slow reader gets all answers from the predecessor, and then moves to the successor.
#[test]
fn handover_slow_reader_gets_complete_answers() {
    let member = start_member(MemberBehavior::Answer);
    let mut harness = UpgradeHarness::new("slow", &member, HANDOVER_SETTINGS);
    let mut slow_client = harness.driver.process.connect();
    let statements: Vec<u8> = (1..=LARGE_STATEMENTS).flat_map(large_statement).collect();
    slow_client.write_all(&statements).expect("send");
    // All statements were executed, so their answers are buffered in the process or the kernel.
    (0..LARGE_STATEMENTS).for_each(|_| drop(member.next_event()));
    let (pid, upgrade_request) = harness.begin_upgrade();
    harness.pid = Some(pid);
    assert!(
        upgrade_request.join().expect("join the thread").status.success(),
        "a slow reader does not delay the upgrade"
    );
    for answer_index in 1..=LARGE_STATEMENTS {
        let (kinds, value) = read_answer(&mut slow_client);
        assert_eq!(
            (kinds.as_str(), value.len()),
            ("T D C Z", LARGE_ROW_BYTES),
            "answer {answer_index}"
        );
    }
    harness.driver.wait_for_log("upgrade: the predecessor has exited");
    send_statement_with_id(&mut slow_client, "post", 100);
    assert_eq!(
        read_answer(&mut slow_client).0,
        "T D C Z",
        "continues at the successor"
    );
    assert_eq!(
        take_execution_counts(&member),
        BTreeMap::from([(100, 1)]),
        "nothing is executed again"
    );
}

/// On probation the predecessor accepts new clients; if it hangs or shuts down, the successor accepts them.
#[test]
fn handover_new_clients_reach_the_remaining_process() {
    for (signal, expected_log) in [
        ("STOP", "accepts, for the predecessor is unresponsive"),
        ("TERM", "accepts, for the predecessor drains"),
    ] {
        let member = start_member(MemberBehavior::AnswerOnRelease);
        let settings = HANDOVER_SETTINGS.replace("probation = 200ms", "probation = 10min");
        let mut harness = UpgradeHarness::new(&format!("accepts-{signal}"), &member, &settings);
        // The open statement prevents the predecessor from exiting.
        let mut draining_client = harness.driver.process.connect();
        send_statement_with_id(&mut draining_client, "post", 1);
        member.next_event();
        let (pid, _upgrade_request) = harness.begin_upgrade();
        harness.pid = Some(pid);
        harness.await_client_moves(pid);
        let predecessor_pid = harness.driver.process.child.id();
        harness.signal(predecessor_pid, signal);
        harness.driver.wait_for_log(expected_log);
        // A release goes to any waiting statement: one more for the statement from before the upgrade.
        member.release.send(()).expect("release the statement");
        for id in 2..5 {
            let mut client = harness.driver.process.connect();
            send_statement_with_id(&mut client, "post", id);
            member.next_event();
            member.release.send(()).expect("release the statement");
            assert_eq!(read_answer(&mut client).0, "T D C Z", "{signal}");
        }
        harness.signal(predecessor_pid, "CONT");
        assert_eq!(read_answer(&mut draining_client).0, "T D C Z", "{signal}");
    }
}

/// Clients beyond the successor's lower descriptor limit are closed instead of waiting without an answer; a
/// half-closed client is closed as well.
#[test]
fn handover_clients_beyond_descriptor_limit_are_closed() {
    let member = start_member(MemberBehavior::Answer);
    let mut harness = UpgradeHarness::new(
        "few-descriptors",
        &member,
        &HANDOVER_SETTINGS.replace("probation = 200ms", "probation = 1s"),
    );
    let mut clients: Vec<_> = (0..60).map(|_| harness.driver.process.connect()).collect();
    let half_closed = clients.pop().expect("at least one client");
    half_closed
        .shutdown(std::net::Shutdown::Write)
        .expect("close the write side of the connection");
    let binary = env!("CARGO_BIN_EXE_asterlatch");
    let script = format!("#!/bin/sh\nulimit -n 50\nexec {binary} \"$@\"\n");
    let script_path = harness.folder.write("small", &script);
    std::fs::set_permissions(&script_path, std::fs::Permissions::from_mode(0o755))
        .expect("make the script executable");
    let mut command = harness.upgrade_command(&script_path);
    let upgrade_request = thread::spawn(move || command.output().expect("run the command"));
    let started_line = harness.driver.wait_for_log("upgrade: started ");
    harness.pid = started_line.rsplit(' ').next().and_then(|n| n.parse().ok());
    harness
        .driver
        .wait_for_log("the successor is ready and asked to serve");
    let (mut served, mut closed) = (0, 0);
    for (client_index, client) in clients.iter_mut().enumerate() {
        // Fails if the client has been closed.
        let _ = client.write_all(&statement("post", client_index as u32 + 1));
        match read_answer(client).0.as_str() {
            "T D C Z" => served += 1,
            "" => closed += 1,
            // No descriptor is left for a member connection.
            "E53300 Z" => {}
            other => panic!("client {client_index}: {other}"),
        }
    }
    let output = upgrade_request.join().expect("join the thread");
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stdout)
    );
    assert!(served > 0 && closed > 5, "{served} served, {closed} closed");
    assert_eq!(
        take_execution_counts(&member)
            .values()
            .filter(|n| **n == 1)
            .count(),
        served,
        "each statement is executed once"
    );
}

/// Pipelined statements keep their order: accepted ones are answered by the predecessor, the others by the
/// successor.
#[test]
fn handover_pipelined_statements_keep_their_order() {
    let member = start_member(MemberBehavior::AnswerOnRelease);
    let mut harness = UpgradeHarness::new("pipeline", &member, HANDOVER_SETTINGS);
    let mut client = harness.driver.process.connect();
    let count = 40u32;
    let pipeline: Vec<u8> = (1..=count)
        .flat_map(|id| {
            message(
                b'Q',
                format!("/* id={id:x},c=view,d=25000,cluster=1 */ SELECT {id}\0").as_bytes(),
            )
        })
        .collect();
    client.write_all(&pipeline).expect("send");
    member.next_event();
    let (pid, upgrade_request) = harness.begin_upgrade();
    harness.pid = Some(pid);
    (0..count).for_each(|_| member.release.send(()).expect("release the statement"));
    for statement_index in 0..count {
        assert_eq!(
            read_answer(&mut client).0,
            "T D C Z",
            "statement {statement_index}"
        );
    }
    assert!(upgrade_request.join().expect("join the thread").status.success());
    harness.driver.wait_for_log("is stopped");
    let mut executions: Vec<String> = std::iter::from_fn(|| member.events.try_recv().ok()).collect();
    executions.sort();
    executions.dedup();
    assert_eq!(
        executions.len() as u32 + 1,
        count,
        "each statement is executed once, and the first was received before"
    );
}
