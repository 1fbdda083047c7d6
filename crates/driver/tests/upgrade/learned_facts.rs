//! What either process learns and the other one needs: ids, session writes, reloads.

use crate::harness::*;
use crate::upgrade_harness::*;
use asterlatch::time::TimeSpan;
use std::io::Write;
use std::net::TcpStream;
use std::thread;

/// Sends a write, waits until the member has it, closes the connection, and waits until the process that serves it
/// has noticed that.
fn abandon_write(harness: &UpgradeHarness, member: &Member, id: u32, serving_pid: u32) {
    let mut client = harness.connect_at(serving_pid);
    send_statement_with_id(&mut client, "post", id);
    let statement = format!("id={id:x},");
    while !member.next_event().contains(&statement) {}
    drop(client);
    harness.wait_for_counter(serving_pid, "open_statements=0 ");
}

fn assert_not_sent_again(harness: &UpgradeHarness, member: &Member, id: u32, serving_pid: u32) {
    let mut client = harness.connect_at(serving_pid);
    while member.events.try_recv().is_ok() {}
    send_statement_with_id(&mut client, "post", id);
    assert_eq!(read_answer(&mut client).0, "E40003 Z", "id {id}");
    let statement = format!("id={id:x},");
    let is_sent_again = member.events.try_iter().any(|event| event.contains(&statement));
    assert!(!is_sent_again, "id {id} is sent again");
}

/// Guards against a write that is executed twice: its id came again at the other process of an upgrade after its
/// client had left.
#[test]
fn handover_id_sent_by_either_process_is_not_sent_again() {
    check_ids_of_handover(0);
}

/// Guards against the same in a later upgrade: the predecessor still counted on the I/O journal of its own handover,
/// which had ended, to tell its successor.
#[test]
fn handover_id_sent_by_either_process_of_second_upgrade_is_not_sent_again() {
    check_ids_of_handover(1);
}

fn check_ids_of_handover(earlier_upgrades: u32) {
    let member = start_member(MemberBehavior::AnswerOnRelease);
    let mut harness = UpgradeHarness::new(&format!("ids-{earlier_upgrades}"), &member, HANDOVER_SETTINGS);
    (0..earlier_upgrades).for_each(|_| harness.upgrade());
    let predecessor = harness.pid.unwrap_or(harness.driver.process.child.id());
    harness.set_long_probation(predecessor);
    abandon_write(&harness, &member, 1, predecessor);
    // Of these, as many are sent as the member takes at once; the rest wait in the predecessor.
    let mut waiting_client = harness.driver.process.connect();
    for id in 100..116 {
        send_statement_with_id(&mut waiting_client, "post", id);
    }
    harness.wait_for_counter(predecessor, "statements_taken=17 ");
    let sent = harness.counter(predecessor, "executions_sent") - 1;
    assert!(sent < 16, "statements wait in the predecessor");
    let is_statement = |event: &String| event.contains("id=");
    let next_statement = || std::iter::repeat_with(|| member.next_event()).find(is_statement);
    (0..sent).for_each(|_| drop(next_statement()));
    let (successor, _upgrade_request) = harness.begin_upgrade();
    harness.pid = Some(successor);
    harness.await_client_moves(successor);
    // The predecessor sends the next one on probation, after the successor has its state.
    member.release.send(()).expect("release a statement");
    let sent_on_probation = next_statement().expect("a waiting statement is sent");
    let sent_id = sent_on_probation.split("id=").nth(1);
    let sent_id = sent_id.and_then(|text| text.split(',').next());
    let sent_id = u32::from_str_radix(sent_id.expect("the statement has an id"), 16).expect("parse the id");
    drop(waiting_client);
    harness.wait_for_counter(predecessor, "open_statements=0 ");
    for id in [1, sent_id] {
        assert_not_sent_again(&harness, &member, id, successor);
    }
    abandon_write(&harness, &member, 200, successor);
    // The predecessor knows it while both serve.
    harness.wait_for_counter(predecessor, "facts_from_peer_process=1 ");
    harness.signal(successor, "KILL");
    harness.pid = Some(predecessor);
    let failure = "upgrade: failed, this process continues to serve: the new process ended";
    harness.driver.wait_for_log(failure);
    for id in [1, sent_id, 200] {
        assert_not_sent_again(&harness, &member, id, predecessor);
    }
}

/// A configuration with a replica and with reads that must see their session's writes.
fn session_config(primary: &Member, replica: &Member) -> String {
    let replica = format!(
        r#"{{"name":"r","address":"{}","zone":"a","group":1,"status":"SERVING","weight":1.0,"since_ms":0,"rank":"copy"}}"#,
        replica.address
    );
    config_text(unused_address(), unresponsive_discovery(), primary.address)
        .replacen(
            r#""rank":"source"}"#,
            &format!(r#""rank":"source"}},{replica}"#),
            1,
        )
        .replacen(r#""name":"view""#, r#""name":"own""#, 1)
        .replacen(
            r#"["loose","update"]"#,
            r#"["own_writes","update"],"tokens":"router","answers_stamped":true"#,
            1,
        )
}

fn send_for_session(client: &mut TcpStream, workload: &str, id: u32, session: u32) {
    let text = format!(
        "/* id={id:x},c={workload},d=25000,cluster=1 */ SELECT blob FROM rows WHERE handle = '{session}'\0"
    );
    client.write_all(&message(b'Q', text.as_bytes())).expect("send");
}

/// Guards against reads that miss a write of their session: the other process of the upgrade had answered it after the
/// state was sent, or had died after its answer.
#[test]
fn handover_session_reads_see_writes_that_either_process_answered() {
    let role = |rank, lag| MemberRole {
        rank,
        lag: Some(TimeSpan::millis(lag)),
    };
    let primary = start_member_with_role(MemberBehavior::AnswerOnRelease, role("source", 0));
    let replica = start_member_with_role(MemberBehavior::Answer, role("copy", 60_000));
    let config = session_config(&primary, &replica);
    let mut harness = UpgradeHarness::with_config("session-writes", &config, HANDOVER_SETTINGS);
    let predecessor = harness.driver.process.child.id();
    harness.set_long_probation(predecessor);
    let mut client = harness.driver.process.connect();
    let await_answer_of_primary = |client: &mut TcpStream, id: u32| {
        let statement = format!("id={id:x},");
        while !primary.next_event().contains(&statement) {}
        primary.release.send(()).expect("release the statement");
        assert_eq!(read_answer(client).0, "T D C Z", "{id}");
    };
    // Reads of a session without writes go to the replica.
    send_for_session(&mut client, "own", 1, 7);
    assert_eq!(read_answer(&mut client).0, "T D C Z");
    assert!(replica.next_event().contains("id=1,"));
    send_for_session(&mut client, "post", 2, 7);
    let (successor, _upgrade_request) = harness.begin_upgrade();
    harness.pid = Some(successor);
    harness.await_client_moves(successor);
    await_answer_of_primary(&mut client, 2);
    harness.wait_for_counter(predecessor, "open_clients=0 ");
    send_for_session(&mut client, "own", 3, 7);
    await_answer_of_primary(&mut client, 3);
    send_for_session(&mut client, "post", 4, 8);
    await_answer_of_primary(&mut client, 4);
    harness.signal(successor, "KILL");
    harness.pid = Some(predecessor);
    let failure = "upgrade: failed, this process continues to serve: the new process ended";
    harness.driver.wait_for_log(failure);
    send_for_session(&mut client, "own", 6, 9);
    assert_eq!(read_answer(&mut client).0, "T D C Z");
    assert!(replica.next_event().contains("id=6,"));
    send_for_session(&mut client, "own", 5, 8);
    await_answer_of_primary(&mut client, 5);
    assert!(
        replica.events.try_recv().is_err(),
        "the replica has none of these writes"
    );
}

/// SIGHUP to either process during an upgrade reloads its files without affecting the upgrade.
#[test]
fn handover_reload_during_upgrade_changes_nothing() {
    let member = start_member(MemberBehavior::Answer);
    let mut harness = UpgradeHarness::new(
        "reload",
        &member,
        &HANDOVER_SETTINGS.replace("probation = 200ms", "probation = 1s"),
    );
    let mut idle_client = harness.driver.process.connect();
    let (pid, upgrade_request) = harness.begin_upgrade();
    harness.pid = Some(pid);
    for signalled_pid in [harness.driver.process.child.id(), pid] {
        harness.signal(signalled_pid, "HUP");
        harness.driver.wait_for_log("configuration: reloaded");
        assert_eq!(harness.execute("post", signalled_pid), "T D C Z");
    }
    send_statement_with_id(&mut idle_client, "post", 7);
    assert_eq!(read_answer(&mut idle_client).0, "T D C Z");
    assert!(upgrade_request.join().expect("join the thread").status.success());
    harness.driver.wait_for_log("upgrade: the predecessor has exited");
    assert!(take_execution_counts(&member).values().all(|n| *n == 1));
}

/// Guards against a reload by the signalled process alone: the other one kept the former address of discovery. Both
/// serve on probation; behind it the predecessor still answers a statement.
#[test]
fn handover_reload_of_either_process_reaches_both() {
    for (probation, progress) in [
        ("10min", "upgrade: the successor is ready and asked to serve"),
        ("200ms", "upgrade: done, the successor owns the service"),
    ] {
        let member = start_member(MemberBehavior::AnswerOnRelease);
        let settings = HANDOVER_SETTINGS.replace("200ms", probation);
        let mut harness = UpgradeHarness::new(&format!("reload-{probation}"), &member, &settings);
        let predecessor = harness.driver.process.child.id();
        let mut client = harness.driver.process.connect();
        send_statement_with_id(&mut client, "post", 1);
        while !member.next_event().contains("id=1,") {}
        let mut command = harness.upgrade_command(env!("CARGO_BIN_EXE_asterlatch"));
        let _upgrade_request = thread::spawn(move || command.output());
        let started = harness.driver.wait_for_log("upgrade: started ");
        let successor = started.rsplit(' ').next().and_then(|pid| pid.parse().ok());
        let successor = successor.expect("the log line ends with the process id");
        harness.pid = Some(successor);
        harness.driver.wait_for_log(progress);
        harness.await_client_moves(successor);
        harness.signal(predecessor, "HUP");
        harness.wait_for_counter(successor, "reloads=1 ");
        harness.signal(successor, "HUP");
        harness.wait_for_counter(predecessor, "reloads=2 ");
        member.release.send(()).expect("release the statement");
        assert_eq!(read_answer(&mut client).0, "T D C Z", "{probation}");
    }
}
