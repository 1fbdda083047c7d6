//! Requests for upgrades, and successors that can't serve.

use crate::harness::*;
use crate::upgrade_harness::*;
use std::os::unix::fs::PermissionsExt;
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn upgrade_successor_unable_to_serve_changes_nothing() {
    let member = start_member(MemberBehavior::Answer);
    let harness = UpgradeHarness::new("unable", &member, &HANDOVER_SETTINGS.replace("= 2s", "= 300ms"));
    let script = |name: &str, text: &str| {
        let path = harness.folder.write(name, &format!("#!/bin/bash\n{text}\n"));
        std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o755))
            .expect("make the script executable");
        path
    };
    #[rustfmt::skip]
    let cases = [
        ("missing", harness.folder.path("nothing"), "No such file"),
        ("no program", harness.folder.write("text", "not a program"), "Permission denied"),
        ("exits with 0", script("zero", "exit 0"), "the new process ended"),
        ("crashes", script("crash", "kill -SEGV $$"), "the new process ended"),
        ("hangs", script("hang", "exec sleep 1000"), "was unresponsive while AwaitingHello"),
        ("sends invalid frames", script("invalid-frames", "eval \"head -c 4000 /dev/zero >&$ASTERLATCH_TAKEOVER\"; exec sleep 1000"), "what can't be read"),
    ];
    for (case_index, (name, binary, expected)) in cases.iter().enumerate() {
        let output = harness.request_upgrade(binary);
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        assert!(
            output.status.code() == Some(1) && text.contains(expected),
            "{name}: {text}"
        );
        harness
            .driver
            .wait_for_log("upgrade: failed, this process continues to serve");
        assert_eq!(
            harness.execute("post", case_index as u32 + 1),
            "T D C Z",
            "{name}"
        );
    }
    // Learned state is invalid under changed deployment settings.
    let path = &harness.driver.process.path;
    let config = std::fs::read_to_string(path).expect("read the file");
    std::fs::write(path, config.replace("\"tick_us\":5000", "\"tick_us\":6000")).expect("write the file");
    let output = harness.request_upgrade(env!("CARGO_BIN_EXE_asterlatch"));
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(
        text.contains("can't serve: the deployment's settings have changed"),
        "{text}"
    );
    std::fs::write(path, "{").expect("write the file");
    assert_eq!(
        harness
            .request_upgrade(env!("CARGO_BIN_EXE_asterlatch"))
            .status
            .code(),
        Some(1)
    );
    assert_eq!(harness.execute("post", 99), "T D C Z");
}

#[test]
fn upgrade_second_request_is_refused_and_shutdown_ends_successor() {
    let member = start_member(MemberBehavior::Answer);
    let harness = UpgradeHarness::new(
        "second",
        &member,
        &HANDOVER_SETTINGS.replace("hello = 2s", "hello = 10min"),
    );
    let hanging_script = harness.folder.write("hang", "#!/bin/sh\nexec sleep 1000\n");
    std::fs::set_permissions(&hanging_script, std::fs::Permissions::from_mode(0o755))
        .expect("make the script executable");
    let mut first = harness.upgrade_command(&hanging_script);
    let first = thread::spawn(move || first.output().expect("run the command"));
    let started_line = harness.driver.wait_for_log("upgrade: started ");
    let second = harness.request_upgrade(env!("CARGO_BIN_EXE_asterlatch"));
    assert_eq!(second.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&second.stdout).contains("another upgrade is in progress"));
    assert_eq!(harness.execute("view", 1), "T D C Z");
    harness.driver.process.signal("TERM");
    assert_eq!(first.join().expect("join the thread").status.code(), Some(1));
    harness.driver.wait_for_log("is stopped");
    let pid = started_line
        .rsplit(' ')
        .next()
        .expect("the log line ends with the process id");
    let deadline = Instant::now() + TEST_TIMEOUT;
    while std::fs::read_to_string(format!("/proc/{pid}/stat")).is_ok_and(|s| !s.contains(") Z")) {
        assert!(Instant::now() < deadline, "the successor is still running");
        thread::sleep(Duration::from_millis(2));
    }
}

/// The resources that both processes together need are checked before the upgrade starts.
#[test]
fn upgrade_without_capacity_for_two_is_refused_with_usage() {
    let member = start_member(MemberBehavior::Answer);
    let mut harness = UpgradeHarness::new("capacity", &member, HANDOVER_SETTINGS);
    let path = harness.driver.process.path.clone();
    let config = std::fs::read_to_string(&path).expect("read the file");
    #[rustfmt::skip]
    let cases = [
        (r#""sockets":256"#, r#""sockets":50"#, "descriptors"),
        (r#""memory_mb":192"#, r#""memory_mb":8"#, "MB"),
    ];
    for (case_index, (before, after, unit)) in cases.into_iter().enumerate() {
        harness.configure(&config.replace(before, after));
        let output = harness.request_upgrade(env!("CARGO_BIN_EXE_asterlatch"));
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        assert_eq!(output.status.code(), Some(1), "{text}");
        let is_expected = text.starts_with("failed: both processes together need") && text.contains(unit);
        assert!(is_expected, "{text}");
        harness
            .driver
            .wait_for_log("upgrade: cannot start: both processes together need");
        assert_eq!(harness.execute("post", case_index as u32 + 1), "T D C Z");
    }
    harness.configure(&config);
    harness.upgrade();
}
