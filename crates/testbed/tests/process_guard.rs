//! The end of the test bed, by any signal, ends the processes that it has started.

use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// Generous, for machines under load.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Writes its process id to a file and serves nothing, so that the test bed keeps waiting for it.
const PROGRAM: &str = "#!/bin/sh\necho $$ > \"$0.new\"; mv \"$0.new\" \"$0.pid\"; exec sleep 600\n";

fn wait_until(failure: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "{failure}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Whether a process runs; a zombie doesn't.
fn is_running(pid: &str) -> bool {
    let stat = std::fs::read_to_string(Path::new("/proc").join(pid).join("stat"));
    let state = stat
        .ok()
        .and_then(|stat| Some(stat.rsplit_once(") ")?.1.as_bytes()[0]));
    state.is_some_and(|state| state != b'Z')
}

fn write_program(folder: &Path) -> PathBuf {
    let program = folder.join("program");
    std::fs::write(&program, PROGRAM).expect("write the program");
    std::fs::set_permissions(&program, PermissionsExt::from_mode(0o755))
        .expect("make the program executable");
    program
}

#[test]
fn testbed_ended_by_signal_ends_its_programs() {
    for signal in ["TERM", "INT", "KILL"] {
        let folder = std::env::temp_dir().join(format!("asterlatch-guard-{}-{signal}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("create the folder");
        let program = write_program(&folder);
        let mut testbed = Command::new(env!("CARGO_BIN_EXE_asterlatch-testbed"))
            .args(["demo", "--seconds", "1", "--driver"])
            .arg(&program)
            .env("TMPDIR", &folder)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("spawn the test bed");
        let mut pid = String::new();
        wait_until("the program was not started in time", || {
            pid = std::fs::read_to_string(folder.join("program.pid")).unwrap_or_default();
            !pid.is_empty()
        });
        let pid = pid.trim();
        assert!(is_running(pid));
        let kill = Command::new("kill")
            .args([&format!("-{signal}"), &testbed.id().to_string()])
            .status();
        assert!(kill.is_ok_and(|status| status.success()));
        testbed.wait().expect("wait for the test bed");
        wait_until("the program still runs after the end of its test bed", || {
            !is_running(pid)
        });
        std::fs::remove_dir_all(&folder).expect("remove the folder");
    }
}
