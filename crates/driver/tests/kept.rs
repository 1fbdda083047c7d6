//! The copy that outlives the process: what of it is used again, and disks that are full, vanish or were somebody else's.

mod stand;
use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_gossip::record::{ListedState, Record};
use asterlatch_gossip::snapshot::SnapshotEncoder;
use rustix::process::{Pid, Resource, Rlimit};
use stand::*;
use std::net::UdpSocket;
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant, SystemTime};

struct Stage {
    folder: Folder,
    operated: Operated,
    member: Member,
}

#[expect(clippy::disallowed_methods, reason = "what a snapshot is written with")]
fn wall() -> Timestamp {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    Timestamp(since.expect("is later").as_micros() as u64)
}

impl Stage {
    fn new(name: &str, kept: Option<&[u8]>) -> Stage {
        let folder = Folder::new(&format!("kept-{name}"));
        std::fs::create_dir_all(folder.path("state")).expect("is made");
        if let Some(bytes) = kept {
            std::fs::write(folder.path("state/shared.log"), bytes).expect("is written");
        }
        let member = member(Manner::Answers);
        let operated = Stage::begin(name, &folder, &member);
        Stage {
            folder,
            operated,
            member,
        }
    }

    fn begin(name: &str, folder: &Folder, member: &Member) -> Operated {
        let port = UdpSocket::bind("127.0.0.1:0")
            .and_then(|s| s.local_addr())
            .expect("is free")
            .port();
        let text = format!("log(lines = 100/s)\nshared(port = {port}, keep = 50ms, tick = 20ms)\n");
        let file = folder.write("o.latch", &text);
        let (control, state) = (folder.path("control"), folder.path("state"));
        let arguments = ["--operators", &file, "--control", &control, "--state", &state];
        operated(&format!("kept-{name}"), member.address, &arguments)
    }

    /// What the program says of itself.
    fn status(&self) -> serde_json::Value {
        let control = self.folder.path("control");
        let output = Command::new(env!("CARGO_BIN_EXE_asterlatch"))
            .args(["fleet", "status", "--json", "--control", &control])
            .output()
            .expect("runs");
        serde_json::from_slice(&output.stdout).expect("is JSON")
    }

    fn count(&self, name: &str) -> serde_json::Value {
        self.status()["counts"][0][name].clone()
    }

    fn await_kept(&self, facts: usize) {
        let end = Instant::now() + PATIENCE;
        while self.facts_on_disk() < facts {
            assert!(Instant::now() < end, "{} on the disk", self.facts_on_disk());
            thread::sleep(Duration::from_millis(10));
        }
    }

    fn bytes(&self) -> Vec<u8> {
        std::fs::read(self.folder.path("state/shared.log")).unwrap_or_default()
    }

    /// Of the settings, which only the program hashes: it lies behind magic, version, length and hash of the copy's head.
    fn fleet(&self) -> String {
        let at = 8 + 2 + 4 + 8 + 1;
        let bytes = self.bytes();
        let fleet = bytes.get(at..at + 16).unwrap_or_default();
        String::from_utf8_lossy(fleet).into_owned()
    }

    fn facts_on_disk(&self) -> usize {
        let read = asterlatch_gossip::snapshot::read(&self.bytes(), &self.fleet(), "t");
        read.records.len()
    }

    fn ask(&self, id: u32) -> String {
        let mut client = self.operated.program.client();
        let text = format!("/* id={id:x},c=post,d=25000,cluster=1 */ SELECT {id}\0");
        std::io::Write::write_all(&mut client, &message(b'Q', text.as_bytes())).expect("is written");
        answer(&mut client).0
    }

    /// Killed, and begun anew on what it left.
    fn again(mut self, name: &str, change: impl FnOnce(&mut Vec<u8>)) -> Stage {
        self.operated.program.child.kill().expect("is killed");
        self.operated.program.child.wait().expect("ends");
        let mut bytes = self.bytes();
        change(&mut bytes);
        std::fs::write(self.folder.path("state/shared.log"), bytes).expect("is written");
        self.operated = Stage::begin(name, &self.folder, &self.member);
        self
    }
}

#[test]
fn snapshot_after_kill_is_restored() {
    let stage = Stage::new("kill", None);
    stage
        .operated
        .told("fleet: 0 of 0 stored records are of use still");
    assert_eq!(stage.ask(1), "T D C Z");
    // The member's word and its own.
    stage.await_kept(2);
    let life = stage.status()["drivers"][0]["life"].as_u64();
    let stage = stage.again("kill-2", |_| ());
    let told = stage.operated.told("stored records are of use still");
    assert!(!told.contains(" 0 of"), "{told}");
    assert!(stage.status()["drivers"][0]["life"].as_u64() > life, "a new life");
    assert_eq!(stage.ask(2), "T D C Z");
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
        let stage = Stage::new(name, None);
        assert_eq!(stage.ask(1), "T D C Z");
        stage.await_kept(2);
        let stage = stage.again(&format!("{name}-2"), change);
        stage.operated.told(words);
        assert_eq!(stage.ask(2), "T D C Z", "{name}: it serves all the same");
        // And writes a whole copy anew.
        stage.await_kept(2);
    }
}

#[test]
fn snapshot_is_used_whatever_clocks_show_but_not_of_another_driver() {
    let stage = Stage::new("old", None);
    assert_eq!(stage.ask(1), "T D C Z");
    stage.await_kept(2);
    let fleet = stage.fleet();
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
    let (old, foreign) = (written("t", wall() - month), written("u", wall()));
    let ahead = written("t", wall() + month);
    let stage = stage.again("old-2", |b| *b = old);
    // Drains bind until a newer list ends them, and nobody knows whether a month has passed or the clock was set.
    stage
        .operated
        .told("fleet: 3 of 3 stored records are of use still");
    let stage = stage.again("old-3", |b| *b = foreign);
    stage.operated.told("the snapshot is u's: nothing of it is used");
    let stage = stage.again("old-4", |b| *b = ahead);
    stage
        .operated
        .told("fleet: 3 of 3 stored records are of use still");
    assert_eq!(stage.ask(2), "T D C Z");
}

/// A limit on the size of files stands for a full disk: nothing is kept, everything is served, and it heals by itself.
#[test]
fn snapshot_full_disk_fails_no_statement() {
    let stage = Stage::new("full", None);
    assert_eq!(stage.ask(1), "T D C Z");
    stage.await_kept(2);
    let pid = Pid::from_child(&stage.operated.program.child);
    let limit = |most: Option<u64>| {
        let limit = Rlimit {
            current: most,
            maximum: None,
        };
        rustix::process::prlimit(Some(pid), Resource::Fsize, limit).expect("is set");
    };
    limit(Some(stage.bytes().len() as u64 / 2));
    // Each probe of the member is news, and an answer as well.
    let mut id = 10;
    let end = Instant::now() + PATIENCE;
    while stage.count("keeps") != "fails" {
        assert!(Instant::now() < end, "it never fails");
        assert_eq!(stage.ask(id), "T D C Z");
        id += 1;
    }
    stage.operated.told("cannot write the snapshot, will retry");
    // Ids go on from the last one: one that was used before would be a statement that is known already.
    for next in id..id + 50 {
        assert_eq!(stage.ask(next), "T D C Z");
    }
    limit(None);
    stage.operated.told("the snapshot is written again");
    stage.await_kept(2);
    assert_eq!(stage.count("keeps"), "well");
}

/// The folder is taken away, or something else stands in its place.
#[test]
fn snapshot_vanished_folder_is_recreated() {
    let stage = Stage::new("gone", None);
    assert_eq!(stage.ask(1), "T D C Z");
    stage.await_kept(2);
    let state = stage.folder.path("state");
    std::fs::remove_dir_all(&state).expect("is removed");
    std::fs::write(&state, "a file").expect("is written");
    let mut id = 10;
    let end = Instant::now() + PATIENCE;
    while stage.count("keeps") != "fails" {
        assert!(Instant::now() < end, "it never fails");
        assert_eq!(stage.ask(id), "T D C Z");
        id += 1;
    }
    stage.operated.told("cannot write the snapshot, will retry");
    std::fs::remove_file(&state).expect("is removed");
    stage.operated.told("the snapshot is written again");
    stage.await_kept(2);
}

#[test]
fn snapshot_without_folder_fails_at_start() {
    let folder = Folder::new("kept-none");
    let file = folder.write("o.latch", "shared(port = 9, keep = 1s)\n");
    let member = member(Manner::Answers);
    let text = described(free_address(), silent_discovery(), member.address);
    let path = config("kept-none", &text);
    let output = program("serve", &path)
        .args(["--operators", &file])
        .output()
        .expect("runs");
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
            .expect("runs");
        (output.status.success(), output)
    };
    let stage = Stage::new("dry", None);
    assert_eq!(stage.ask(1), "T D C Z");
    stage.await_kept(2);
    let state = stage.folder.path("state");
    let mut before = Vec::new();
    let stage = stage.again("dry-2", |bytes| {
        bytes.truncate(bytes.len() - 3);
        before = bytes.clone();
        std::fs::create_dir_all(format!("{state}-copy")).expect("is made");
        std::fs::write(format!("{state}-copy/shared.log"), &bytes).expect("is written");
    });
    let line = stage.operated.told("stored records are of use still");
    let copy = format!("{state}-copy");
    let (fine, output) = recover(&copy, &[]);
    let said: serde_json::Value = serde_json::from_slice(&output.stdout).expect("is JSON");
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
    let rows = said["kept"].as_array().expect("has rows");
    assert!(
        rows.iter()
            .any(|r| r["kind"] == "member" && r["used"] == "after the member's own word"),
        "{said}"
    );
    assert_eq!(
        std::fs::read(format!("{copy}/shared.log")).expect("is there"),
        before,
        "it only looks"
    );
    // Somebody else's, and nothing at all.
    let (_, output) = recover(&copy, &["--name", "other"]);
    let said: serde_json::Value = serde_json::from_slice(&output.stdout).expect("is JSON");
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
    let folder = Folder::new("kept-unread");
    let sound = folder.path("state/shared.log");
    std::fs::create_dir_all(&sound).expect("is made");
    std::fs::write(format!("{sound}/sound"), "sound").expect("is written");
    let member = member(Manner::Answers);
    let operated = Stage::begin("unread", &folder, &member);
    let stage = Stage {
        folder,
        operated,
        member,
    };
    stage.operated.told("shared.log: ");
    assert_eq!(stage.ask(1), "T D C Z");
    stage.await_kept(2);
    let aside = std::fs::read(stage.folder.path("state/shared.unread/sound"));
    assert_eq!(aside.expect("was put aside"), b"sound");
}
