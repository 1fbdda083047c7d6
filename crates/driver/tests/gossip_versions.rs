//! A process of this version beside a driver of the next one, whose datagrams have another version, items of
//! a kind that isn't known here, and more behind what is: both understand each other as far as both go.

mod harness;
use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_gossip::codec::InquiryId;
use asterlatch_gossip::in_doubt::DispatchStatus;
use asterlatch_gossip::membership::{MembershipTiming, PeerState};
use asterlatch_gossip::node::{GossipNode, NodeInput, NodeOutput, NodeSettings, Observation};
use asterlatch_gossip::record::{ListedState, Record};
use harness::*;
use std::net::UdpSocket;
use std::process::Command;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The same datagram as a driver of another version would send it.
fn of_version(fleet: &str, bytes: &[u8], version: u8) -> Vec<u8> {
    let mut rest = bytes[8..].to_vec();
    rest[0] = version;
    // An item of a kind that nobody here knows.
    rest.extend([231, 0, 3, 1, 2, 3]);
    let hash = xxh3_64_with_seed(&rest, xxh3_64_with_seed(fleet.as_bytes(), 0));
    [&hash.to_be_bytes()[..], &rest].concat()
}

struct Beside {
    /// What was answered to its questions.
    answers: Vec<DispatchStatus>,
    engine: GossipNode,
    socket: UdpSocket,
    began: Instant,
    version: u8,
    fleet: String,
}

impl Beside {
    fn now(&self) -> Timestamp {
        // A clock that stands in 1970.
        Timestamp(1_000_000 + self.began.elapsed().as_micros() as u64)
    }

    fn give(&mut self, input: NodeInput) {
        let now = self.now();
        for output in self.engine.handle(now, input) {
            match output {
                NodeOutput::Send { bytes, .. } => {
                    let bytes = of_version(&self.fleet, &bytes, self.version);
                    let _ = self.socket.send(&bytes);
                }
                NodeOutput::InquiryReplied { status: known, .. } => self.answers.push(known),
                _ => {}
            }
        }
    }

    /// Goes on until that holds; whether it did in time.
    fn until(&mut self, within: Duration, mut holds: impl FnMut(&GossipNode) -> bool) -> bool {
        let deadline = Instant::now() + within;
        let mut buffer = [0; 2048];
        while Instant::now() < deadline {
            if holds(&self.engine) {
                return true;
            }
            match self.socket.recv(&mut buffer) {
                Ok(length) => self.give(NodeInput::Datagram {
                    from: 0,
                    bytes: &buffer[..length],
                }),
                Err(_) => self.give(NodeInput::Tick),
            }
        }
        false
    }
}

fn show(control: &str, what: &str) -> serde_json::Value {
    let output = Command::new(env!("CARGO_BIN_EXE_asterlatch"))
        .args(["fleet", what, "--json", "--control", control])
        .output()
        .expect("run the command");
    serde_json::from_slice(&output.stdout).expect("parse as JSON")
}

fn beside(name: &str, version: u8, more: &str) -> (TempFolder, OperatedDriver, Member, Beside) {
    let folder = TempFolder::new(&format!("versions-{name}"));
    let member = start_member(MemberBehavior::Answer);
    let socket = UdpSocket::bind("127.0.0.1:0").expect("bind a UDP socket");
    let theirs = socket.local_addr().expect("read the bound address").port();
    let port = UdpSocket::bind("127.0.0.1:0")
        .and_then(|s| s.local_addr())
        .expect("bind a UDP port")
        .port();
    let text = format!(
        "shared(port = {port}, tick = 20ms, probe = 100ms, suspicion = 500ms{more})\ndriver(\"later@127.0.0.1\", port = {theirs})\n"
    );
    let file = folder.write("o.latch", &text);
    let control = folder.path("control");
    let driver = start_with_operators_file(
        &format!("versions-{name}"),
        member.address,
        &["--operators", &file, "--control", &control],
    );
    let host = driver.process.listen.ip();
    socket.connect((host, port)).expect("connect the UDP socket");
    socket
        .set_read_timeout(Some(Duration::from_millis(5)))
        .expect("set the read timeout");
    let fleet = show(&control, "status")["fleet"][0]["settings"]
        .as_str()
        .expect("read the hash of the settings")
        .to_owned();
    let settings = NodeSettings {
        fleet: fleet.clone(),
        name: "later".to_owned(),
        peers: vec!["t".to_owned()],
        gossip_interval: TimeSpan::millis(20),
        fanout: 3,
        anti_entropy_interval: TimeSpan::millis(200),
        bytes_per_second: 256 * 1024,
        membership: MembershipTiming {
            probe_interval: TimeSpan::millis(100),
            suspicion_timeout: TimeSpan::millis(500),
        },
        inquiry_timeout: TimeSpan::millis(100),
        operators_file: 0,
        dialect: Default::default(),
    };
    let beside = Beside {
        answers: Vec::new(),
        engine: GossipNode::new(settings, 5, 1, Timestamp(1_000_000)),
        socket,
        began: Instant::now(),
        version,
        fleet,
    };
    (folder, driver, member, beside)
}

#[test]
fn gossip_later_version_is_understood_in_common_part() {
    let (folder, driver, _member, mut later) = beside("next", 2, "");
    let there =
        |e: &GossipNode| e.membership.peers()[0].state == PeerState::Alive && !e.anti_entropy.is_behind();
    assert!(later.until(TEST_TIMEOUT, there), "it finds this one");
    driver.wait_for_log("fleet: driver later is there, was unheard");
    // What this one's member said of itself comes over.
    let member = |e: &GossipNode| {
        e.state
            .entries()
            .any(|e| matches!(&e.record, Record::Member { name, .. } if name == "m"))
    };
    assert!(later.until(TEST_TIMEOUT, member));
    // And what the later one tells is known here.
    let drain = Record::Drain {
        name: "m9".to_owned(),
        started_ms: 0,
        list_version: 3,
        state: ListedState::Draining,
    };
    later.give(NodeInput::Observed(vec![Observation::now(drain)]));
    let control = folder.path("control");
    let mut known = |_: &GossipNode| show(&control, "facts").to_string().contains("m9");
    assert!(later.until(TEST_TIMEOUT, &mut known));
    let counts = &show(&control, "status")["counts"][0];
    assert_eq!(
        (&counts["unknown_version"], &counts["garbled"]),
        (&0.into(), &0.into())
    );
}

/// A version that is too old to be understood is counted, and whoever speaks it stays unheard.
#[test]
fn gossip_unknown_version_is_ignored() {
    let (folder, _operated, _member, mut older) = beside("old", 0, "");
    let control = folder.path("control");
    let counted =
        |_: &GossipNode| show(&control, "status")["counts"][0]["unknown_version"].as_u64() > Some(3);
    assert!(older.until(TEST_TIMEOUT, counted));
    let status = show(&control, "status");
    assert_eq!(status["drivers"][1]["presence"], "unheard");
}

impl Beside {
    /// What the process says of a statement.
    fn asks(&mut self, id: u64) -> DispatchStatus {
        self.answers.clear();
        self.give(NodeInput::StartInquiry(InquiryId {
            id,
            sequence: id as u32,
        }));
        let deadline = Instant::now() + TEST_TIMEOUT;
        while self.answers.is_empty() && Instant::now() < deadline {
            self.until(Duration::from_millis(10), |_| false);
        }
        self.answers
            .first()
            .cloned()
            .expect("receive the reply to the inquiry")
    }
}

struct Ends(rustix::process::Pid);

impl Drop for Ends {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = rustix::process::kill_process(self.0, rustix::process::Signal::KILL);
    }
}

/// While two processes of one driver serve, neither knows what the other has sent: a question is answered so,
/// and a repeat that comes to the new one is in doubt, for it can't ask.
#[test]
#[expect(clippy::too_many_lines, reason = "a table of cases, or one run step by step")]
fn upgrade_in_progress_never_reports_not_executed() {
    let times = "\nupgrade(hello = 5s, ready = 5s, probation = 10min, beat = 50ms, silence = 2s";
    let more = format!(", window = 1s){times}");
    let (folder, driver, _member, mut other) = beside("upgrade", 1, &more);
    let there = |e: &GossipNode| e.membership.peers()[0].state == PeerState::Alive;
    assert!(other.until(TEST_TIMEOUT, there));
    // Its former life may have sent anything within the window.
    let mut id = 100;
    while other.asks(id) == DispatchStatus::Unknown {
        id += 1;
    }
    assert_eq!(other.asks(1), DispatchStatus::NotExecuted);
    let control = folder.path("control");
    let mut asking = Command::new(env!("CARGO_BIN_EXE_asterlatch"))
        .args([
            "upgrade",
            "--control",
            &control,
            "--to",
            env!("CARGO_BIN_EXE_asterlatch"),
        ])
        .spawn()
        .expect("spawn the command");
    let begun = driver.wait_for_log("upgrade: started ");
    let pid: i32 = begun
        .rsplit(' ')
        .next()
        .and_then(|n| n.parse().ok())
        .expect("the log line ends with the process id");
    // Whatever fails here, it ends with the test.
    let new = Ends(rustix::process::Pid::from_raw(pid).expect("a valid process id"));
    driver.wait_for_log("the successor is ready and asked to serve");
    assert_eq!(
        other.asks(2),
        DispatchStatus::Unknown,
        "the other process may have sent it"
    );
    let mut client = driver.process.connect_client();
    for (id, marked, answered) in [
        ("a1", "", "T D C Z"),
        ("a2", ",r=1", "E40003 Z"),
        ("a3", "", "T D C Z"),
    ] {
        let text = format!("/* id={id},c=post,d=25000,cluster=1{marked} */ SELECT 1\0");
        std::io::Write::write_all(&mut client, &message(b'Q', text.as_bytes()))
            .expect("write to the connection");
        assert_eq!(read_answer(&mut client).0, answered, "{id}");
    }
    drop(new);
    driver.wait_for_log("upgrade: failed, this process continues to serve");
    let _ = asking.wait();
    assert_eq!(
        other.asks(3),
        DispatchStatus::Unknown,
        "the dead one may have sent it"
    );
    let mut id = 1000;
    while other.asks(id) == DispatchStatus::Unknown {
        id += 1;
    }
    assert_eq!(
        other.asks(4),
        DispatchStatus::NotExecuted,
        "nothing of that can be repeated any more"
    );
}
