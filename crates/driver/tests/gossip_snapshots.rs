//! The copy that outlives the process: what of it is used again, and disks that are full, vanish or were
//! somebody else's.

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
    fn new(name: &str, kept: Option<&[u8]>) -> SnapshotHarness {
        let folder = TempFolder::new(&format!("kept-{name}"));
        std::fs::create_dir_all(folder.path("state")).expect("create the folder");
        if let Some(bytes) = kept {
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
        start_with_operators_file(&format!("kept-{name}"), member.address, &arguments)
    }

    /// What the program says of itself.
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

    fn wait_for_stored_records(&self, count: usize) {
        let deadline = Instant::now() + TEST_TIMEOUT;
        while self.stored_record_count() < count {
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

    /// Of the settings, which only the program hashes: it lies behind magic, version, length and hash of the
    /// copy's head.
    fn fleet_hash(&self) -> String {
        let at = 8 + 2 + 4 + 8 + 1;
        let bytes = self.snapshot_bytes();
        let fleet = bytes.get(at..at + 16).unwrap_or_default();
        String::from_utf8_lossy(fleet).into_owned()
    }

    fn stored_record_count(&self) -> usize {
        let read = asterlatch_gossip::snapshot::read(&self.snapshot_bytes(), &self.fleet_hash(), "t");
        read.records.len()
    }

    fn execute(&self, id: u32) -> String {
        let mut client = self.driver.process.connect_client();
        let text = format!("/* id={id:x},c=post,d=25000,cluster=1 */ SELECT {id}\0");
        std::io::Write::write_all(&mut client, &message(b'Q', text.as_bytes()))
            .expect("write to the connection");
        read_answer(&mut client).0
    }

    /// Killed, and begun anew on what it left.
    fn restart_after_kill(mut self, name: &str, change: impl FnOnce(&mut Vec<u8>)) -> SnapshotHarness {
        self.driver.process.child.kill().expect("kill the driver");
        self.driver.process.child.wait().expect("wait for the process");
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
    // The member's word and its own.
    harness.wait_for_stored_records(2);
    let life = harness.status()["drivers"][0]["life"].as_u64();
    let harness = harness.restart_after_kill("kill-2", |_| ());
    let told = harness.driver.wait_for_log("stored records are of use still");
    assert!(!told.contains(" 0 of"), "{told}");
    assert!(
        harness.status()["drivers"][0]["life"].as_u64() > life,
        "a new life"
    );
    assert_eq!(harness.execute(2), "T D C Z");
}

#[test]
fn snapshot_damaged_is_logged_and_used_up_to_the_damage() {
    #[allow(clippy::type_complexity)]
    let table: [(&str, fn(&mut Vec<u8>), &str); 5] = [
        ("torn", |b| b.truncate(b.len() - 3), "ends within a record"),
        (
            "flipped",
            |b| {
                let n = b.len();
                b[60.min(n - 1)] ^= 1
            },
            "the snapshot",
        ),
        ("empty", Vec::clear, "the snapshot is empty"),
        ("rubbish", |b| b[..8].fill(b'x'), "has no readable header"),
        ("version", |b| b[9] = 77, "has version 77, not 1"),
    ];
    for (name, change, words) in table {
        let harness = SnapshotHarness::new(name, None);
        assert_eq!(harness.execute(1), "T D C Z");
        harness.wait_for_stored_records(2);
        let harness = harness.restart_after_kill(&format!("{name}-2"), change);
        harness.driver.wait_for_log(words);
        assert_eq!(harness.execute(2), "T D C Z", "{name}: it serves all the same");
        // And writes a whole copy anew.
        harness.wait_for_stored_records(2);
    }
}

#[test]
fn snapshot_is_used_whatever_clocks_show_but_not_of_another_driver() {
    let harness = SnapshotHarness::new("old", None);
    assert_eq!(harness.execute(1), "T D C Z");
    harness.wait_for_stored_records(2);
    let fleet = harness.fleet_hash();
    let month = TimeSpan::millis(30 * 24 * 3600 * 1000);
    let drain = |n: u64| Record::Drain {
        name: format!("m{n}"),
        started_ms: 0,
        list_version: n,
        state: ListedState::Draining,
    };
    let written = |name: &str, at: Timestamp| {
        let (mut bytes, mut writer) = SnapshotEncoder::begin(&fleet, name, 5);
        (0..3).for_each(|n| writer.append(&mut bytes, &drain(n), at));
        bytes
    };
    let (old, foreign) = (
        written("t", wall_clock_now() - month),
        written("u", wall_clock_now()),
    );
    let ahead = written("t", wall_clock_now() + month);
    let harness = harness.restart_after_kill("old-2", |b| *b = old);
    // Drains bind until a newer list ends them, and nobody knows whether a month has passed or the clock was
    // set.
    harness
        .driver
        .wait_for_log("fleet: 3 of 3 stored records are of use still");
    let harness = harness.restart_after_kill("old-3", |b| *b = foreign);
    harness
        .driver
        .wait_for_log("the snapshot is u's: nothing of it is used");
    let harness = harness.restart_after_kill("old-4", |b| *b = ahead);
    harness
        .driver
        .wait_for_log("fleet: 3 of 3 stored records are of use still");
    assert_eq!(harness.execute(2), "T D C Z");
}

/// A limit on the size of files stands for a full disk: nothing is kept, everything is served, and it heals
/// by itself.
#[test]
fn snapshot_full_disk_fails_no_statement() {
    let harness = SnapshotHarness::new("full", None);
    assert_eq!(harness.execute(1), "T D C Z");
    harness.wait_for_stored_records(2);
    let pid = Pid::from_child(&harness.driver.process.child);
    let limit = |most: Option<u64>| {
        let limit = Rlimit {
            current: most,
            maximum: None,
        };
        rustix::process::prlimit(Some(pid), Resource::Fsize, limit).expect("set the file size limit");
    };
    limit(Some(harness.snapshot_bytes().len() as u64 / 2));
    // Each probe of the member is news, and an answer as well.
    let mut id = 10;
    let deadline = Instant::now() + TEST_TIMEOUT;
    while harness.counter("keeps") != "fails" {
        assert!(Instant::now() < deadline, "it never fails");
        assert_eq!(harness.execute(id), "T D C Z");
        id += 1;
    }
    harness
        .driver
        .wait_for_log("cannot write the snapshot, will retry");
    // Ids go on from the last one: one that was used before would be a statement that is known already.
    for next in id..id + 50 {
        assert_eq!(harness.execute(next), "T D C Z");
    }
    limit(None);
    harness.driver.wait_for_log("the snapshot is written again");
    harness.wait_for_stored_records(2);
    assert_eq!(harness.counter("keeps"), "well");
}

/// The folder is taken away, or something else stands in its place.
#[test]
fn snapshot_vanished_folder_is_recreated() {
    let harness = SnapshotHarness::new("gone", None);
    assert_eq!(harness.execute(1), "T D C Z");
    harness.wait_for_stored_records(2);
    let state = harness.folder.path("state");
    std::fs::remove_dir_all(&state).expect("remove the file or folder");
    std::fs::write(&state, "a file").expect("write the file");
    let mut id = 10;
    let deadline = Instant::now() + TEST_TIMEOUT;
    while harness.counter("keeps") != "fails" {
        assert!(Instant::now() < deadline, "it never fails");
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
    let folder = TempFolder::new("kept-none");
    let file = folder.write("o.latch", "shared(port = 9, keep = 1s)\n");
    let member = start_member(MemberBehavior::Answer);
    let text = config_text(unused_address(), unresponsive_discovery(), member.address);
    let path = write_config("kept-none", &text);
    let output = driver_command("serve", &path)
        .args(["--operators", &file])
        .output()
        .expect("run the command");
    let _ = std::fs::remove_file(&path);
    let said = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(1), "{said}");
    assert!(
        said.contains("shared.keep requires a folder, and --state is not given"),
        "{said}"
    );
}

/// A look at the disk before a start says what the start then says, changes nothing, and names what is wrong.
#[test]
fn recover_reports_what_a_start_would_use() {
    let recover = |folder: &str, more: &[&str]| {
        let arguments = [&["recover", folder, "--json"][..], more].concat();
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
    let mut before = Vec::new();
    let harness = harness.restart_after_kill("dry-2", |bytes| {
        bytes.truncate(bytes.len() - 3);
        before = bytes.clone();
        std::fs::create_dir_all(format!("{state}-copy")).expect("create the folder");
        std::fs::write(format!("{state}-copy/shared.log"), &bytes).expect("write the file");
    });
    let line = harness.driver.wait_for_log("stored records are of use still");
    let copy = format!("{state}-copy");
    let (fine, output) = recover(&copy, &[]);
    let said: serde_json::Value = serde_json::from_slice(&output.stdout).expect("parse as JSON");
    let one = &said["copy"][0];
    assert!(fine && one["of"] == "t" && one["nothing_used"] == false, "{said}");
    assert!(
        one["fault"]
            .as_str()
            .is_some_and(|f| f.contains("ends within a record")),
        "{said}"
    );
    let counts = format!("{} of {} stored records", one["of_use"], one["facts"]);
    assert!(line.contains(&counts), "{line}: {counts}");
    let rows = said["kept"].as_array().expect("the report lists stored records");
    assert!(
        rows.iter()
            .any(|r| r["kind"] == "member" && r["used"] == "after the member's own word"),
        "{said}"
    );
    assert_eq!(
        std::fs::read(format!("{copy}/shared.log")).expect("read the file"),
        before,
        "it only looks"
    );
    // Somebody else's, and nothing at all.
    let (_, output) = recover(&copy, &["--name", "other"]);
    let said: serde_json::Value = serde_json::from_slice(&output.stdout).expect("parse as JSON");
    assert_eq!(
        (&said["copy"][0]["nothing_used"], &said["copy"][0]["of_use"]),
        (&true.into(), &0.into())
    );
    let (fine, output) = recover("/nowhere", &[]);
    assert!(
        !fine && String::from_utf8_lossy(&output.stderr).contains("/nowhere: no snapshot is stored there")
    );
    let _ = std::fs::remove_dir_all(copy);
}

/// A folder in the place of the snapshot stands for a disk that doesn't give it at the start.
#[test]
fn snapshot_unreadable_is_put_aside_and_the_next_is_kept() {
    let folder = TempFolder::new("kept-unread");
    let sound = folder.path("state/shared.log");
    std::fs::create_dir_all(&sound).expect("create the folder");
    std::fs::write(format!("{sound}/sound"), "sound").expect("write the file");
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
    let aside = std::fs::read(harness.folder.path("state/shared.unread/sound"));
    assert_eq!(aside.expect("read the file that was moved aside"), b"sound");
}
