//! Clients of a dead successor, and the I/O journal from which they are reclaimed.

use crate::harness::*;
use crate::upgrade_harness::*;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

/// If the successor dies on probation, the predecessor reclaims its clients, and answers its open statements
/// with errors that match what may have been executed.
#[test]
#[expect(clippy::too_many_lines, reason = "a table of cases, or one run step by step")]
fn handover_successor_dies_clients_are_reclaimed() {
    let member = start_member(MemberBehavior::AnswerOnRelease);
    let settings = HANDOVER_SETTINGS.replace("probation = 200ms", "probation = 10min");
    let harness = UpgradeHarness::new("reclaim", &member, &settings);
    let listen = harness.driver.process.listen;
    let query = |id: u32, workload: &str| {
        let text = format!("/* id={id:x},c={workload},d=25000,cluster=1 */ SELECT {id}\0");
        message(b'Q', text.as_bytes())
    };
    // Some clients move, some connect to the successor, and one has not sent its startup message.
    let mut moved: Vec<_> = (0..4).map(|_| harness.driver.process.connect()).collect();
    let (pid, upgrade_request) = harness.begin_upgrade();
    let mut accepted: Vec<_> = (0..4).map(|_| harness.driver.process.connect()).collect();
    let mut unstarted = TcpStream::connect(listen).expect("connect");
    unstarted
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("set timeout");
    let mut id = 0;
    // A release goes to any waiting statement, so no other statement may wait yet.
    for client in [&mut moved[0], &mut accepted[0]] {
        id += 1;
        client.write_all(&query(id, "post")).expect("send");
        member.next_event();
        member.release.send(()).expect("release the statement");
        assert_eq!(read_answer(client).0, "T D C Z");
    }
    for clients in [&mut moved, &mut accepted] {
        // One client is idle after an answer, one waits for a write, and one has pipelined a read, a write
        // and a partial message.
        id += 10;
        clients[1].write_all(&query(id + 1, "post")).expect("send");
        member.next_event();
        let statements = [
            query(id + 2, "view"),
            query(id + 3, "post"),
            query(id + 4, "view"),
        ]
        .concat();
        clients[2]
            .write_all(&statements[..statements.len() - 5])
            .expect("send");
        member.next_event();
        member.next_event();
        // The successor may or may not have read the partial message when it is killed.
    }
    harness.signal(pid, "KILL");
    assert_eq!(
        upgrade_request.join().expect("join the thread").status.code(),
        Some(1)
    );
    let reclaimed = harness.driver.wait_for_log("clients reclaimed");
    // The four moved clients, the four new ones and the unstarted one.
    assert!(
        reclaimed.contains("9 clients reclaimed, 0 disconnected"),
        "{reclaimed}"
    );
    (0..6).for_each(|_| {
        assert_eq!(
            member.next_event(),
            "disconnected",
            "executions of the killed successor"
        )
    });
    for clients in [&mut moved, &mut accepted] {
        assert_eq!(
            read_answer(&mut clients[1]).0,
            "E40003 Z",
            "a write that may have been executed"
        );
        assert_eq!(
            read_answer(&mut clients[2]).0,
            "E53300 Z",
            "a read can be retried"
        );
        assert_eq!(read_answer(&mut clients[2]).0, "E40003 Z", "the pipelined write");
        id += 100;
        let statements = query(0, "view");
        clients[2]
            .write_all(&statements[statements.len() - 5..])
            .expect("send");
        assert!(
            member.next_event().contains("c=view"),
            "the partial message is completed"
        );
        member.release.send(()).expect("release the statement");
        assert_eq!(read_answer(&mut clients[2]).0, "T D C Z");
        for client in clients.iter_mut() {
            id += 1;
            client.write_all(&query(id, "post")).expect("send");
            member.next_event();
            member.release.send(()).expect("release the statement");
            assert_eq!(
                read_answer(client).0,
                "T D C Z",
                "statement {id} after the reclaim"
            );
        }
    }
    unstarted.write_all(&[0, 0, 0, 9, 0, 3, 0, 0, 0]).expect("send");
    assert_eq!(read_answer(&mut unstarted).0, "Z");
}

/// A hanging predecessor must not block the successor's clients, nor resume them from an incomplete journal.
#[test]
fn io_journal_without_reader_is_abandoned() {
    let member = start_member(MemberBehavior::Answer);
    let settings = HANDOVER_SETTINGS
        .replace("probation = 200ms", "probation = 10min")
        .replace("silence = 1s", "silence = 10min");
    let mut harness = UpgradeHarness::new("unread", &member, &settings);
    let (pid, _upgrade_request) = harness.begin_upgrade();
    harness.pid = Some(pid);
    let mut client = harness.driver.process.connect();
    // The client has moved to the successor.
    harness.wait_for_counter(pid, "open_clients=1 ");
    let predecessor_pid = harness.driver.process.child.id();
    harness.signal(predecessor_pid, "STOP");
    let large_statement = format!(
        "/* id=9,c=post,d=25000,cluster=1 */ SELECT '{}'\0",
        "x".repeat(1 << 20)
    );
    client
        .write_all(&message(b'Q', large_statement.as_bytes()))
        .expect("send");
    assert_eq!(read_answer(&mut client).0, "T D C Z");
    harness
        .driver
        .wait_for_log("the I/O journal is abandoned: the predecessor does not read it");
    harness.signal(pid, "KILL");
    harness.signal(predecessor_pid, "CONT");
    harness
        .driver
        .wait_for_log("clients disconnected, the I/O journal is incomplete");
    assert_eq!(read_answer(&mut client).0, "", "disconnected, not answered twice");
    assert_eq!(harness.execute("post", 10), "T D C Z");
}

/// If a process dies within an answer, the client is disconnected without a second answer; a client whose
/// answer is completely in the kernel's buffer reads it and continues.
#[test]
fn reclaim_partial_answer_disconnects_complete_answer_resumes() {
    let member = start_member(MemberBehavior::Answer);
    let settings = HANDOVER_SETTINGS.replace("probation = 200ms", "probation = 10min");
    let harness = UpgradeHarness::new("partial-answer", &member, &settings);
    let mut partial_reader = harness.driver.process.connect();
    let (pid, _upgrade_request) = harness.begin_upgrade();
    let mut complete_reader = harness.driver.process.connect();
    // Both clients are at the successor.
    harness.wait_for_counter(pid, "open_clients=2 ");
    let statements: Vec<u8> = (1..=LARGE_STATEMENTS).flat_map(large_statement).collect();
    partial_reader.write_all(&statements).expect("send");
    send_statement_with_id(&mut complete_reader, "post", 50);
    (0..=LARGE_STATEMENTS).for_each(|_| drop(member.next_event()));
    complete_reader.peek(&mut [0]).expect("wait for the answer");
    partial_reader
        .peek(&mut [0])
        .expect("wait for the first answer to begin");
    // All statements are completed; wait until the kernel's buffers are full.
    harness.wait_for_counter(pid, &format!("completed={} ", LARGE_STATEMENTS + 1));
    let (mut last_readable, mut stable_polls) = (0, 0);
    while stable_polls < 30 {
        let readable =
            rustix::io::ioctl_fionread(&partial_reader).expect("read the number of readable bytes");
        stable_polls = if readable == last_readable {
            stable_polls + 1
        } else {
            0
        };
        last_readable = readable;
        thread::sleep(Duration::from_millis(10));
    }
    harness.signal(pid, "KILL");
    let reclaimed_line = harness.driver.wait_for_log("clients reclaimed");
    assert!(reclaimed_line.contains(" 1 disconnected"), "{reclaimed_line}");
    let mut answers = 0;
    loop {
        let (kinds, value) = read_answer(&mut partial_reader);
        if kinds != "T D C Z" {
            // The partial answer is truncated and nothing follows it.
            assert!(!kinds.contains('Z') && !kinds.contains('E'), "{kinds}");
            break;
        }
        assert_eq!(value.len(), LARGE_ROW_BYTES);
        answers += 1;
    }
    assert!(
        answers < LARGE_STATEMENTS,
        "the kernel buffered all {answers} answers, so none was partial"
    );
    assert_eq!(
        read_answer(&mut complete_reader).0,
        "T D C Z",
        "the buffered answer is read after the kill"
    );
    send_statement_with_id(&mut complete_reader, "post", 51);
    assert_eq!(
        read_answer(&mut complete_reader).0,
        "T D C Z",
        "continues after the reclaim"
    );
    let executions = take_execution_counts(&member);
    assert_eq!(executions, BTreeMap::from([(51, 1)]), "nothing is executed again");
}
