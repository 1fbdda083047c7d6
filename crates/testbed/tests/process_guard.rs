//! A test bed that is ended takes the processes along that it has started.

use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// Long enough for the busiest machine.
const PATIENCE: Duration = Duration::from_secs(30);

/// Tells its process id and serves nothing, so the test bed waits for it.
const PROGRAM: &str = "#!/bin/sh\necho $$ > \"$0.new\"; mv \"$0.new\" \"$0.pid\"; exec sleep 600\n";

fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !condition() {
        assert!(Instant::now() < end, "{what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Whether a process runs; one that nobody has waited for yet doesn't.
fn is_running(pid: &str) -> bool {
    let stat = std::fs::read_to_string(Path::new("/proc").join(pid).join("stat"));
    let state = stat
        .ok()
        .and_then(|stat| Some(stat.rsplit_once(") ")?.1.as_bytes()[0]));
    state.is_some_and(|state| state != b'Z')
}

fn program(folder: &Path) -> PathBuf {
    let program = folder.join("program");
    std::fs::write(&program, PROGRAM).expect("is written");
    std::fs::set_permissions(&program, PermissionsExt::from_mode(0o755)).expect("are set");
    program
}

#[test]
fn programs_end_with_the_testbed() {
    for signal in ["TERM", "INT", "KILL"] {
        let folder = std::env::temp_dir().join(format!("asterlatch-guard-{}-{signal}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("is made");
        let program = program(&folder);
        let mut testbed = Command::new(env!("CARGO_BIN_EXE_asterlatch-testbed"))
            .args(["demo", "--seconds", "1", "--driver"])
            .arg(&program)
            .env("TMPDIR", &folder)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("starts");
        let mut pid = String::new();
        wait_until("the program is never started", || {
            pid = std::fs::read_to_string(folder.join("program.pid")).unwrap_or_default();
            !pid.is_empty()
        });
        let pid = pid.trim();
        assert!(is_running(pid));
        let kill = Command::new("kill")
            .args([&format!("-{signal}"), &testbed.id().to_string()])
            .status();
        assert!(kill.is_ok_and(|status| status.success()));
        testbed.wait().expect("ends");
        wait_until("the program serves on without its test bed", || !is_running(pid));
        std::fs::remove_dir_all(&folder).expect("is removed");
    }
}
