//! Snapshots of gossiped records: restoring after a kill, damage, full or missing disks, other drivers'
//! files.

mod harness;
use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_gossip::record::{ListedState, Record};
use asterlatch_gossip::snapshot::SnapshotEncoder;
use harness::*;
use rustix::process::{Pid, Resource, Rlimit};
use std::net::UdpSocket;
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant, SystemTime};

struct SnapshotHarness {
    folder: TempFolder,
    driver: OperatedDriver,
    member: Member,
}

#[expect(clippy::disallowed_methods, reason = "what a snapshot is written with")]
fn wall_clock_now() -> Timestamp {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    Timestamp(since.expect("the wall clock is after 1970").as_micros() as u64)
}

impl SnapshotHarness {
    fn new(name: &str, snapshot: Option<&[u8]>) -> SnapshotHarness {
        let folder = TempFolder::new(&format!("snapshot-{name}"));
        std::fs::create_dir_all(folder.path("state")).expect("create the folder");
        if let Some(bytes) = snapshot {
            std::fs::write(folder.path("state/shared.log"), bytes).expect("write the file");
        }
        let member = start_member(MemberBehavior::Answer);
        let driver = SnapshotHarness::start_driver(name, &folder, &member);
        SnapshotHarness {
            folder,
            driver,
            member,
        }
    }

    fn start_driver(name: &str, folder: &TempFolder, member: &Member) -> OperatedDriver {
        let port = UdpSocket::bind("127.0.0.1:0")
            .and_then(|s| s.local_addr())
            .expect("bind a UDP port")
            .port();
        let text = format!("log(lines = 100/s)\nshared(port = {port}, keep = 50ms, tick = 20ms)\n");
        let file = folder.write("o.latch", &text);
        let (control, state) = (folder.path("control"), folder.path("state"));
        let arguments = ["--operators", &file, "--control", &control, "--state", &state];
        start_with_operators_file(&format!("snapshot-{name}"), member.address, &arguments)
    }

    /// Returns the driver's `fleet status`.
    fn status(&self) -> serde_json::Value {
        let control = self.folder.path("control");
        let output = Command::new(env!("CARGO_BIN_EXE_asterlatch"))
            .args(["fleet", "status", "--json", "--control", &control])
            .output()
            .expect("run the command");
        serde_json::from_slice(&output.stdout).expect("parse as JSON")
    }

    fn counter(&self, name: &str) -> serde_json::Value {
        self.status()["counts"][0][name].clone()
    }

    fn wait_for_stored_records(&self, min_count: usize) {
        let deadline = Instant::now() + TEST_TIMEOUT;
        while self.stored_record_count() < min_count {
            assert!(
                Instant::now() < deadline,
                "{} on the disk",
                self.stored_record_count()
            );
            thread::sleep(Duration::from_millis(10));
        }
    }

    fn snapshot_bytes(&self) -> Vec<u8> {
        std::fs::read(self.folder.path("state/shared.log")).unwrap_or_default()
    }

    /// Returns the hash of the settings from the snapshot's header: it follows magic, version, length and
    /// hash of the header.
    fn fleet_hash(&self) -> String {
        let offset = 8 + 2 + 4 + 8 + 1;
        let bytes = self.snapshot_bytes();
        let hash = bytes.get(offset..offset + 16).unwrap_or_default();
        String::from_utf8_lossy(hash).into_owned()
    }

    fn stored_record_count(&self) -> usize {
        let read = asterlatch_gossip::snapshot::read(&self.snapshot_bytes(), &self.fleet_hash(), "t");
        read.records.len()
    }

    fn execute(&self, id: u32) -> String {
        let mut client = self.driver.process.connect();
        let text = format!("/* id={id:x},c=post,d=25000,cluster=1 */ SELECT {id}\0");
        std::io::Write::write_all(&mut client, &message(b'Q', text.as_bytes())).expect("send");
        read_answer(&mut client).0
    }

    /// Kills the driver, applies `change` to its snapshot, and starts it again.
    fn restart_after_kill(mut self, name: &str, change: impl FnOnce(&mut Vec<u8>)) -> SnapshotHarness {
        self.driver.process.child.kill().expect("kill the driver");
        self.driver.process.child.wait().expect("wait");
        let mut bytes = self.snapshot_bytes();
        change(&mut bytes);
        std::fs::write(self.folder.path("state/shared.log"), bytes).expect("write the file");
        self.driver = SnapshotHarness::start_driver(name, &self.folder, &self.member);
        self
    }
}

#[test]
fn snapshot_after_kill_is_restored() {
    let harness = SnapshotHarness::new("kill", None);
    harness
        .driver
        .wait_for_log("fleet: 0 of 0 stored records are of use still");
    assert_eq!(harness.execute(1), "T D C Z");
    // One record of the member and one of the driver.
    harness.wait_for_stored_records(2);
    let incarnation = harness.status()["drivers"][0]["life"].as_u64();
    let harness = harness.restart_after_kill("kill-2", |_| ());
    let restored_line = harness.driver.wait_for_log("stored records are of use still");
    assert!(!restored_line.contains(" 0 of"), "{restored_line}");
    assert!(
        harness.status()["drivers"][0]["life"].as_u64() > incarnation,
        "a new incarnation"
    );
    assert_eq!(harness.execute(2), "T D C Z");
}

#[test]
fn snapshot_damaged_is_logged_and_used_up_to_damage() {
    #[allow(clippy::type_complexity)]
    let cases: [(&str, fn(&mut Vec<u8>), &str); 5] = [
        (
            "torn",
            |bytes| bytes.truncate(bytes.len() - 3),
            "ends within a record",
        ),
        (
            "flipped",
            |bytes| {
                let length = bytes.len();
                bytes[60.min(length - 1)] ^= 1
            },
            "the snapshot",
        ),
        ("empty", Vec::clear, "the snapshot is empty"),
        ("rubbish", |bytes| bytes[..8].fill(b'x'), "has no readable header"),
        ("version", |bytes| bytes[9] = 77, "has version 77, not 1"),
    ];
    for (name, damage, expected_log) in cases {
        let harness = SnapshotHarness::new(name, None);
        assert_eq!(harness.execute(1), "T D C Z");
        harness.wait_for_stored_records(2);
        let harness = harness.restart_after_kill(&format!("{name}-2"), damage);
        harness.driver.wait_for_log(expected_log);
        assert_eq!(harness.execute(2), "T D C Z", "{name}: the driver does not serve");
        // The driver writes a complete snapshot again.
        harness.wait_for_stored_records(2);
    }
}

#[test]
fn snapshot_is_used_regardless_of_clock_unless_of_another_driver() {
    let harness = SnapshotHarness::new("old", None);
    assert_eq!(harness.execute(1), "T D C Z");
    harness.wait_for_stored_records(2);
    let fleet_hash = harness.fleet_hash();
    let month = TimeSpan::millis(30 * 24 * 3600 * 1000);
    let drain = |version: u64| Record::Drain {
        name: format!("m{version}"),
        started_ms: 0,
        list_version: version,
        state: ListedState::Draining,
    };
    let encode_snapshot = |name: &str, written_at: Timestamp| {
        let (mut bytes, mut encoder) = SnapshotEncoder::begin(&fleet_hash, name, 5);
        (0..3).for_each(|version| encoder.append(&mut bytes, &drain(version), written_at));
        bytes
    };
    let (month_old, of_other_driver) = (
        encode_snapshot("t", wall_clock_now() - month),
        encode_snapshot("u", wall_clock_now()),
    );
    let month_ahead = encode_snapshot("t", wall_clock_now() + month);
    let harness = harness.restart_after_kill("old-2", |bytes| *bytes = month_old);
    // Drains apply until a newer list ends them; their age is unknown, as the clock may have been set.
    harness
        .driver
        .wait_for_log("fleet: 3 of 3 stored records are of use still");
    let harness = harness.restart_after_kill("old-3", |bytes| *bytes = of_other_driver);
    harness
        .driver
        .wait_for_log("the snapshot is u's: nothing of it is used");
    let harness = harness.restart_after_kill("old-4", |bytes| *bytes = month_ahead);
    harness
        .driver
        .wait_for_log("fleet: 3 of 3 stored records are of use still");
    assert_eq!(harness.execute(2), "T D C Z");
}

/// With a full disk, for which a file size limit stands, no snapshot is written and all statements are
/// served; once there is space again, snapshots are written again.
#[test]
fn snapshot_full_disk_fails_no_statement() {
    let harness = SnapshotHarness::new("full", None);
    assert_eq!(harness.execute(1), "T D C Z");
    harness.wait_for_stored_records(2);
    let pid = Pid::from_child(&harness.driver.process.child);
    let set_file_size_limit = |max_bytes: Option<u64>| {
        let limit = Rlimit {
            current: max_bytes,
            maximum: None,
        };
        rustix::process::prlimit(Some(pid), Resource::Fsize, limit).expect("set the file size limit");
    };
    set_file_size_limit(Some(harness.snapshot_bytes().len() as u64 / 2));
    // Each health check and each answer of the member changes its record, so that a snapshot is due.
    let mut id = 10;
    let deadline = Instant::now() + TEST_TIMEOUT;
    while harness.counter("keeps") != "fails" {
        assert!(Instant::now() < deadline, "writing the snapshot does not fail");
        assert_eq!(harness.execute(id), "T D C Z");
        id += 1;
    }
    harness
        .driver
        .wait_for_log("cannot write the snapshot, will retry");
    // Ids are not reused: a used id would be a duplicate of a known statement.
    for next_id in id..id + 50 {
        assert_eq!(harness.execute(next_id), "T D C Z");
    }
    set_file_size_limit(None);
    harness.driver.wait_for_log("the snapshot is written again");
    harness.wait_for_stored_records(2);
    assert_eq!(harness.counter("keeps"), "well");
}

/// The folder is removed and replaced by a file.
#[test]
fn snapshot_removed_folder_is_recreated() {
    let harness = SnapshotHarness::new("gone", None);
    assert_eq!(harness.execute(1), "T D C Z");
    harness.wait_for_stored_records(2);
    let state = harness.folder.path("state");
    std::fs::remove_dir_all(&state).expect("remove the file or folder");
    std::fs::write(&state, "a file").expect("write the file");
    let mut id = 10;
    let deadline = Instant::now() + TEST_TIMEOUT;
    while harness.counter("keeps") != "fails" {
        assert!(Instant::now() < deadline, "writing the snapshot does not fail");
        assert_eq!(harness.execute(id), "T D C Z");
        id += 1;
    }
    harness
        .driver
        .wait_for_log("cannot write the snapshot, will retry");
    std::fs::remove_file(&state).expect("remove the file or folder");
    harness.driver.wait_for_log("the snapshot is written again");
    harness.wait_for_stored_records(2);
}

#[test]
fn snapshot_without_folder_fails_at_start() {
    let folder = TempFolder::new("snapshot-none");
    let file = folder.write("o.latch", "shared(port = 9, keep = 1s)\n");
    let member = start_member(MemberBehavior::Answer);
    let text = config_text(unused_address(), unresponsive_discovery(), member.address);
    let path = write_config("snapshot-none", &text);
    let output = driver_command("serve", &path)
        .args(["--operators", &file])
        .output()
        .expect("run the command");
    let _ = std::fs::remove_file(&path);
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(1), "{error}");
    assert!(
        error.contains("shared.keep requires a folder, and --state is not given"),
        "{error}"
    );
}

/// `recover` reports the same as the next start, names faults, and changes nothing.
#[test]
fn recover_reports_same_as_next_start() {
    let recover = |folder: &str, extra: &[&str]| {
        let arguments = [&["recover", folder, "--json"][..], extra].concat();
        let output = Command::new(env!("CARGO_BIN_EXE_asterlatch"))
            .args(arguments)
            .output()
            .expect("run the command");
        (output.status.success(), output)
    };
    let harness = SnapshotHarness::new("dry", None);
    assert_eq!(harness.execute(1), "T D C Z");
    harness.wait_for_stored_records(2);
    let state = harness.folder.path("state");
    let mut damaged = Vec::new();
    let harness = harness.restart_after_kill("dry-2", |bytes| {
        bytes.truncate(bytes.len() - 3);
        damaged = bytes.clone();
        std::fs::create_dir_all(format!("{state}-copy")).expect("create the folder");
        std::fs::write(format!("{state}-copy/shared.log"), &bytes).expect("write the file");
    });
    let restored_line = harness.driver.wait_for_log("stored records are of use still");
    let copied = format!("{state}-copy");
    let (is_success, output) = recover(&copied, &[]);
    let report: serde_json::Value = serde_json::from_slice(&output.stdout).expect("parse as JSON");
    let snapshot = &report["copy"][0];
    assert!(
        is_success && snapshot["of"] == "t" && snapshot["nothing_used"] == false,
        "{report}"
    );
    assert!(
        snapshot["fault"]
            .as_str()
            .is_some_and(|f| f.contains("ends within a record")),
        "{report}"
    );
    let counts = format!("{} of {} stored records", snapshot["of_use"], snapshot["facts"]);
    assert!(restored_line.contains(&counts), "{restored_line}: {counts}");
    let records = report["kept"].as_array().expect("list of records");
    assert!(
        records
            .iter()
            .any(|r| r["kind"] == "member" && r["used"] == "after the member's own word"),
        "{report}"
    );
    assert_eq!(
        std::fs::read(format!("{copied}/shared.log")).expect("read the file"),
        damaged,
        "`recover` changed the snapshot"
    );
    // The snapshot of another driver, and a missing folder.
    let (_, output) = recover(&copied, &["--name", "other"]);
    let report: serde_json::Value = serde_json::from_slice(&output.stdout).expect("parse as JSON");
    assert_eq!(
        (&report["copy"][0]["nothing_used"], &report["copy"][0]["of_use"]),
        (&true.into(), &0.into())
    );
    let (is_success, output) = recover("/nowhere", &[]);
    assert!(
        !is_success
            && String::from_utf8_lossy(&output.stderr).contains("/nowhere: no snapshot is stored there")
    );
    let _ = std::fs::remove_dir_all(copied);
}

/// An unreadable snapshot, for which a folder stands, is moved aside at start.
#[test]
fn snapshot_unreadable_is_moved_aside_and_replaced() {
    let folder = TempFolder::new("snapshot-unread");
    let unreadable = folder.path("state/shared.log");
    std::fs::create_dir_all(&unreadable).expect("create the folder");
    std::fs::write(format!("{unreadable}/sound"), "sound").expect("write the file");
    let member = start_member(MemberBehavior::Answer);
    let driver = SnapshotHarness::start_driver("unread", &folder, &member);
    let harness = SnapshotHarness {
        folder,
        driver,
        member,
    };
    harness.driver.wait_for_log("shared.log: ");
    assert_eq!(harness.execute(1), "T D C Z");
    harness.wait_for_stored_records(2);
    let moved = std::fs::read(harness.folder.path("state/shared.unread/sound"));
    assert_eq!(moved.expect("read the file that was moved aside"), b"sound");
}
