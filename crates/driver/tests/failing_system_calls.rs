//! The driver with system calls that fail, injected by `crates/fault-preload`.

mod harness;

use asterlatch_fault_injection::FaultPlan;
use asterlatch_testbed::program_under_test::inject_faults;
use harness::{
    bind_listener, config_text, driver_command, fault_plan, limited_fault_plan, read_request_head,
    spawn_process, start_driver_with_faults, start_member, start_with_operators_file_and_faults,
    unresponsive_discovery, unused_address, write_config, DriverProcess, MemberBehavior, TempFolder,
};
use std::net::TcpStream;

/// Signals are handled although every `send` fails, including that of the signal handler, as under lack of
/// memory.
#[test]
fn signal_sends_fail_is_handled() {
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
    // Without a control socket the upgrade fails, which is logged.
    driver.process.signal("USR2");
    driver.wait_for_log("upgrade");
    driver.process.signal("TERM");
    assert!(driver.process.exits_successfully());
}

/// An accepted client is served although its registration with the event loop fails at first.
#[test]
fn accept_registration_fails_client_is_answered() {
    let member = start_member(MemberBehavior::Answer);
    for calls in ["epoll_add", "epoll_add=ENOSPC,setsockopt", "epoll_add,accept"] {
        let driver = start_driver_with_faults(
            "registration",
            &config_text(unused_address(), unresponsive_discovery(), member.address),
            &[],
            &fault_plan(calls, 4),
        );
        for _ in 0..6 {
            // Returns after the answer to the first query.
            let _client = driver.connect();
        }
        driver.signal("TERM");
        let (is_success, log) = driver.wait_with_log();
        assert!(is_success, "{log}");
        assert!(
            log.contains("accept: a client could not be accepted"),
            "{calls}: {log}"
        );
    }
}

/// Only a lack of descriptors evicts idle clients.
#[test]
fn accept_out_of_memory_evicts_no_client() {
    let member = start_member(MemberBehavior::Answer);
    for (error, expects_eviction) in [("ENOBUFS", false), ("ENOMEM", false), ("EMFILE", true)] {
        let driver = start_driver_with_faults(
            "accept-fails",
            &config_text(unused_address(), unresponsive_discovery(), member.address),
            &[],
            &fault_plan(&format!("accept={error}"), 2),
        );
        let clients: Vec<_> = (0..5).map(|_| driver.connect()).collect();
        driver.signal("TERM");
        let (is_success, log) = driver.wait_with_log();
        assert!(is_success, "{log}");
        let is_nonzero = |name: &str| !log.contains(&format!("{name}=0 "));
        assert!(is_nonzero("accepts_failed"), "{log}");
        assert_eq!(is_nonzero("clients_evicted"), expects_eviction, "{error}: {log}");
        drop(clients);
    }
}

/// Temporary errors at start are retried; `EADDRINUSE` occurs while a predecessor exits.
#[test]
fn start_temporary_errors_are_retried() {
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
        let folder = TempFolder::new("start-temporary");
        let (file, control) = (folder.write("operators.latch", ""), folder.path("control"));
        let driver = start_driver_with_faults(
            "start-temporary",
            &config_text(unused_address(), unresponsive_discovery(), member.address),
            &["--operators", &file, "--control", &control],
            &limited_fault_plan(calls, 3),
        );
        let _client = driver.connect();
        driver.signal("TERM");
        let (is_success, log) = driver.wait_with_log();
        assert!(is_success, "{calls}: {log}");
    }
}

/// Permanent errors end the start without a retry, which would succeed here.
#[test]
fn start_permanent_error_exits_without_retry() {
    let member = start_member(MemberBehavior::Answer);
    for (calls, expected_error) in [
        ("bind=EACCES", "Permission denied"),
        ("bind=EADDRNOTAVAIL", "Cannot assign requested address"),
        ("socket=EACCES", "Permission denied"),
    ] {
        let text = config_text(unused_address(), unresponsive_discovery(), member.address);
        let path = write_config("start-permanent", &text);
        let mut command = driver_command("serve", &path);
        inject_faults(&mut command, &limited_fault_plan(calls, 1))
            .expect("find the shared object built by cargo");
        let mut process = DriverProcess {
            child: spawn_process(&mut command),
            listen: unused_address(),
            path,
        };
        assert!(!process.exits_successfully(), "{calls}");
        let (_, log) = process.wait_with_log();
        assert!(
            log.lines().count() == 1 && log.contains(expected_error),
            "{calls}: {log}"
        );
    }
}

/// SIGTERM ends a start that is being retried.
#[test]
fn start_sigterm_during_retries_exits_cleanly() {
    let member = start_member(MemberBehavior::Answer);
    let text = config_text(unused_address(), unresponsive_discovery(), member.address);
    let path = write_config("start-sigterm", &text);
    let mut command = driver_command("serve", &path);
    // Each attempt fails: without the signal the start would end with an error.
    inject_faults(&mut command, &fault_plan("bind=EADDRINUSE", 1))
        .expect("find the shared object built by cargo");
    let child = spawn_process(&mut command);
    let listen = unused_address();
    let process = DriverProcess { child, listen, path };
    process.await_blocked_signals();
    process.signal("TERM");
    let (is_success, log) = process.wait_with_log();
    assert!(is_success && log.is_empty(), "{log}");
}

/// Connections to discovery are retried.
#[test]
fn discovery_first_connections_fail_is_retried() {
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
        // Connections that fail after `connect` end without a request.
        let is_asked = |stream: std::io::Result<TcpStream>| {
            read_request_head(&mut stream.expect("read from the connection")).is_ok()
        };
        assert!(discovery.incoming().any(is_asked), "{calls}");
        driver.signal("TERM");
        let (is_success, log) = driver.wait_with_log();
        assert!(is_success, "{calls}: {log}");
    }
}
