//! Members as both processes see them: drains, the endpoint list, executions in flight, idle connections.

use crate::harness::*;
use crate::upgrade_harness::*;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};

/// A drain that discovery reports to one of both processes also applies to the other.
#[test]
fn co_serving_drain_of_either_process_binds_both() {
    for notifies_successor in [true, false] {
        let member = start_member(MemberBehavior::Answer);
        let settings = HANDOVER_SETTINGS.replace("probation = 200ms", "probation = 10min");
        let mut harness = UpgradeHarness::new(&format!("drain-{notifies_successor}"), &member, &settings);
        let list = Arc::new(Mutex::new((2, list_entry(&member, "SERVING"))));
        let discovery_address = start_discovery(&list);
        // Only one process is configured with this discovery service; that of the other is unresponsive.
        let path = harness.driver.process.path.clone();
        let original_config = std::fs::read_to_string(&path).expect("read the file");
        let unresponsive_address = original_config
            .split("\"discovery\":\"")
            .nth(1)
            .and_then(|t| t.split('"').next());
        let changed_config = original_config.replace(
            unresponsive_address.expect("find the address of discovery"),
            &discovery_address.to_string(),
        );
        if notifies_successor {
            std::fs::write(&path, &changed_config).expect("write the file");
        } else {
            harness.configure(&changed_config);
            std::fs::write(&path, &original_config).expect("write the file");
        }
        let (pid, _upgrade_request) = harness.begin_upgrade();
        harness.pid = Some(pid);
        assert_eq!(harness.execute("view", 1), "T D C Z");
        *list.lock().expect("lock the endpoint list") = (3, list_entry(&member, "DRAINING"));
        let other_pid = if notifies_successor {
            harness.driver.process.child.id()
        } else {
            pid
        };
        harness.wait_for_counter(other_pid, "drains_from_peer_process=1 ");
        // The only member drains, so the read is rejected.
        assert_eq!(harness.execute_short_read(2), "E53300 Z", "{notifies_successor}");
        assert_eq!(
            take_execution_counts(&member).values().sum::<u32>(),
            1,
            "{notifies_successor}"
        );
    }
}

/// Guards against a successor that never polls the endpoint list: the predecessor had a request open, and each
/// left the next one to the other.
#[test]
fn handover_successor_polls_endpoint_list_by_itself() {
    let member = start_member(MemberBehavior::Answer);
    let list = Arc::new(Mutex::new((2, list_entry(&member, "SERVING"))));
    let config = config_text(unused_address(), start_discovery(&list), member.address);
    let polled = config.replacen(r#""settings":{"#, r#""settings":{"discovery":"ask","#, 1);
    let mut harness = UpgradeHarness::with_config("polled", &polled, HANDOVER_SETTINGS);
    let predecessor = harness.driver.process.child.id();
    // The predecessor's first request is answered, and the next one is open.
    harness.wait_for_counter(predecessor, "endpoint_lists_applied=2 ");
    harness.upgrade();
    let successor = harness.pid.expect("the upgrade has set it");
    harness.wait_for_counter(successor, "endpoint_lists_applied=1 ");
    *list.lock().expect("lock the endpoint list") = (3, list_entry(&member, "DRAINING"));
    harness.wait_for_counter(successor, "endpoint_lists_applied=2 ");
    // The only member drains, so the read is rejected.
    assert_eq!(harness.execute_short_read(1), "E53300 Z");
    assert_eq!(take_execution_counts(&member).values().sum::<u32>(), 0);
}

/// Executions in flight at either process count at the other.
#[test]
fn co_serving_in_flight_counts_are_exchanged() {
    for at_successor in [false, true] {
        let member = start_member(MemberBehavior::AnswerOnRelease);
        let settings = HANDOVER_SETTINGS.replace("probation = 200ms", "probation = 10min");
        let mut harness = UpgradeHarness::new(&format!("in-flight-{at_successor}"), &member, &settings);
        let mut client = harness.driver.process.connect();
        if !at_successor {
            send_statement_with_id(&mut client, "post", 1);
            member.next_event();
        }
        let (pid, _upgrade_request) = harness.begin_upgrade();
        harness.pid = Some(pid);
        if at_successor {
            // The client moves to the successor and sends its statement there.
            harness.wait_for_counter(pid, "open_clients=1 ");
            send_statement_with_id(&mut client, "post", 1);
            member.next_event();
        }
        let other_pid = if at_successor {
            harness.driver.process.child.id()
        } else {
            pid
        };
        harness.wait_for_counter(other_pid, "in_flight_at_peer_process=1 ");
        member.release.send(()).expect("release the statement");
        assert_eq!(read_answer(&mut client).0, "T D C Z");
        harness.wait_for_counter(other_pid, "in_flight_at_peer_process=0 ");
    }
}

/// Idle member connections move too, which avoids a burst of handshakes at each upgrade.
#[test]
fn handover_idle_member_connections_move() {
    let member = start_member(MemberBehavior::AnswerOnRelease);
    let mut harness = UpgradeHarness::new("idle", &member, HANDOVER_SETTINGS);
    let mut clients: Vec<_> = (0..5).map(|_| harness.driver.process.connect()).collect();
    let execute_all = |clients: &mut Vec<TcpStream>, first_id: u32| {
        for (client_index, client) in clients.iter_mut().enumerate() {
            send_statement_with_id(client, "view", first_id + client_index as u32);
            member.next_event();
        }
        clients
            .iter()
            .for_each(|_| member.release.send(()).expect("release the statement"));
        clients
            .iter_mut()
            .for_each(|c| assert_eq!(read_answer(c).0, "T D C Z"));
    };
    execute_all(&mut clients, 1);
    harness.upgrade();
    execute_all(&mut clients, 10);
    harness.signal(harness.pid.expect("a process has taken over"), "USR1");
    let counters = harness.driver.wait_for_log("counters: clients_accepted=");
    for counter in [
        "connections_adopted=5 ",
        "connections_opened=0 ",
        "clients_adopted=5 ",
        "completed=5 ",
    ] {
        assert!(
            counters.contains(&format!(" {counter}")),
            "{counter}in {counters}"
        );
    }
}
