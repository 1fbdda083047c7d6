//! The built program while its system calls fail, as `crates/fault-preload` has them fail.

mod harness;

use asterlatch_fault_injection::FaultPlan;
use asterlatch_testbed::program_under_test::inject;
use harness::{
    bind_listener, config_text, driver_command, fault_plan, limited_fault_plan, read_request_head,
    spawn_process, start_driver_with_faults, start_member, start_with_operators_file_and_faults,
    unresponsive_discovery, unused_address, write_config, DriverProcess, MemberBehavior, TempFolder,
};
use std::net::TcpStream;

/// Every `send` fails, that of a signal handler to a pipe too, as it may where the kernel has no memory.
#[test]
fn signal_takes_effect_while_sends_fail() {
    let folder = TempFolder::new("signals-sends-fail");
    let file = folder.write("operators.latch", "");
    let member = start_member(MemberBehavior::Answer);
    let mut driver = start_with_operators_file_and_faults(
        "signals",
        member.address,
        &["--operators", &file],
        &fault_plan("send=ENOMEM", 1),
    );
    driver.process.signal("USR1");
    driver.wait_for_log("counters");
    driver.process.signal("HUP");
    driver.wait_for_log("reloaded");
    // Without a control socket a successor can't be proven, but the attempt is logged.
    driver.process.signal("USR2");
    driver.wait_for_log("upgrade");
    driver.process.signal("TERM");
    assert!(driver.process.exits_successfully());
}

/// A client whose connection can't be registered with the event loop at first is accepted, so it is served.
#[test]
fn accepted_client_is_answered_though_its_registration_fails() {
    let member = start_member(MemberBehavior::Answer);
    for calls in ["epoll_add", "epoll_add=ENOSPC,setsockopt", "epoll_add,accept"] {
        let driver = start_driver_with_faults(
            "registration",
            &config_text(unused_address(), unresponsive_discovery(), member.address),
            &[],
            &fault_plan(calls, 4),
        );
        for _ in 0..6 {
            // It has read the answer to its first query when this returns.
            let _client = driver.connect_client();
        }
        driver.signal("TERM");
        let (is_good, log) = driver.wait_with_log();
        assert!(is_good, "{log}");
        assert!(
            log.contains("accept: a client could not be accepted"),
            "{calls}: {log}"
        );
    }
}

/// Nobody is closed for an error that says nothing about descriptors.
#[test]
fn client_is_not_evicted_where_accept_fails_for_lack_of_memory() {
    let member = start_member(MemberBehavior::Answer);
    for (error, are_evicted) in [("ENOBUFS", false), ("ENOMEM", false), ("EMFILE", true)] {
        let driver = start_driver_with_faults(
            "accept-fails",
            &config_text(unused_address(), unresponsive_discovery(), member.address),
            &[],
            &fault_plan(&format!("accept={error}"), 2),
        );
        let clients: Vec<_> = (0..5).map(|_| driver.connect_client()).collect();
        driver.signal("TERM");
        let (is_good, log) = driver.wait_with_log();
        assert!(is_good, "{log}");
        let is_counted = |name: &str| !log.contains(&format!("{name}=0 "));
        assert!(is_counted("accepts_failed"), "{log}");
        assert_eq!(is_counted("clients_evicted"), are_evicted, "{error}: {log}");
        drop(clients);
    }
}

/// What a start needs may be missing for a moment; `EADDRINUSE` is a predecessor that is just ending.
#[test]
fn start_goes_on_where_a_failure_passes() {
    let member = start_member(MemberBehavior::Answer);
    for calls in [
        "thread=EAGAIN",
        "socket=EMFILE",
        "socket=ENFILE",
        "socket=ENOBUFS",
        "bind=EADDRINUSE",
        "listen=EADDRINUSE",
        "accept,connect,send,recv,socket,bind,listen,setsockopt,epoll_wait,short_send,short_recv",
    ] {
        let folder = TempFolder::new("start-passes");
        let (file, control) = (folder.write("operators.latch", ""), folder.path("control"));
        let driver = start_driver_with_faults(
            "start-passes",
            &config_text(unused_address(), unresponsive_discovery(), member.address),
            &["--operators", &file, "--control", &control],
            &limited_fault_plan(calls, 3),
        );
        let _client = driver.connect_client();
        driver.signal("TERM");
        let (is_good, log) = driver.wait_with_log();
        assert!(is_good, "{calls}: {log}");
    }
}

/// The second attempt would succeed, so there is none.
#[test]
fn start_ends_at_once_where_a_failure_lasts() {
    let member = start_member(MemberBehavior::Answer);
    for (calls, told) in [
        ("bind=EACCES", "Permission denied"),
        ("bind=EADDRNOTAVAIL", "Cannot assign requested address"),
        ("socket=EACCES", "Permission denied"),
    ] {
        let text = config_text(unused_address(), unresponsive_discovery(), member.address);
        let path = write_config("start-lasting", &text);
        let mut command = driver_command("serve", &path);
        inject(&mut command, &limited_fault_plan(calls, 1)).expect("find the shared object built by cargo");
        let mut process = DriverProcess {
            child: spawn_process(&mut command),
            listen: unused_address(),
            path,
        };
        assert!(!process.exits_successfully(), "{calls}");
        let (_, log) = process.wait_with_log();
        assert!(log.lines().count() == 1 && log.contains(told), "{calls}: {log}");
    }
}

/// A start that goes on trying can be ended.
#[test]
fn shutdown_ends_a_start_that_is_retried() {
    let member = start_member(MemberBehavior::Answer);
    let text = config_text(unused_address(), unresponsive_discovery(), member.address);
    let path = write_config("start-ended", &text);
    let mut command = driver_command("serve", &path);
    // It fails for good: without the signal the start would end with an error.
    inject(&mut command, &fault_plan("bind=EADDRINUSE", 1)).expect("find the shared object built by cargo");
    let child = spawn_process(&mut command);
    let listen = unused_address();
    let process = DriverProcess { child, listen, path };
    process.await_blocked_signals();
    process.signal("TERM");
    let (is_good, log) = process.wait_with_log();
    assert!(is_good && log.is_empty(), "{log}");
}

/// Nothing reaches discovery at first: it is asked all the same.
#[test]
fn discovery_is_asked_though_its_first_connections_fail() {
    let member = start_member(MemberBehavior::Answer);
    for calls in [
        "socket=EMFILE",
        "connect=ENETUNREACH",
        "connect=EINTR",
        "epoll_add=ENOMEM",
    ] {
        let (discovery, address) = bind_listener();
        let plan = FaultPlan {
            every: 2,
            ..limited_fault_plan(calls, 4)
        };
        let text = config_text(unused_address(), address, member.address);
        let driver = start_driver_with_faults("discovery-fails", &text, &[], &plan);
        // Connections that fail behind `connect` end without a request.
        let is_asked = |stream: std::io::Result<TcpStream>| {
            read_request_head(&mut stream.expect("read from the connection")).is_ok()
        };
        assert!(discovery.incoming().any(is_asked), "{calls}");
        driver.signal("TERM");
        let (is_good, log) = driver.wait_with_log();
        assert!(is_good, "{calls}: {log}");
    }
}
