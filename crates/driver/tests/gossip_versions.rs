//! Gossip with a peer of another wire version: datagrams with another version number, unknown items and
//! trailing data.

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

/// Rewrites a datagram as a driver of another version would send it, with an unknown item appended.
fn with_version(fleet_hash: &str, bytes: &[u8], version: u8) -> Vec<u8> {
    let mut rest = bytes[8..].to_vec();
    rest[0] = version;
    // An item of an unknown kind.
    rest.extend([231, 0, 3, 1, 2, 3]);
    let hash = xxh3_64_with_seed(&rest, xxh3_64_with_seed(fleet_hash.as_bytes(), 0));
    [&hash.to_be_bytes()[..], &rest].concat()
}

/// A peer driver of another version, run by the test.
struct PeerDriver {
    inquiry_replies: Vec<DispatchStatus>,
    node: GossipNode,
    socket: UdpSocket,
    started_at: Instant,
    version: u8,
    fleet: String,
}

impl PeerDriver {
    fn now(&self) -> Timestamp {
        // The peer's wall clock is in 1970.
        Timestamp(1_000_000 + self.started_at.elapsed().as_micros() as u64)
    }

    fn handle_input(&mut self, input: NodeInput) {
        let now = self.now();
        for output in self.node.handle(now, input) {
            match output {
                NodeOutput::Send { bytes, .. } => {
                    let bytes = with_version(&self.fleet, &bytes, self.version);
                    let _ = self.socket.send(&bytes);
                }
                NodeOutput::InquiryReplied { status: reply, .. } => self.inquiry_replies.push(reply),
                _ => {}
            }
        }
    }

    /// Exchanges datagrams until the condition holds; returns false if it does not hold in time.
    fn run_until(&mut self, timeout: Duration, mut condition: impl FnMut(&GossipNode) -> bool) -> bool {
        let deadline = Instant::now() + timeout;
        let mut buffer = [0; 2048];
        while Instant::now() < deadline {
            if condition(&self.node) {
                return true;
            }
            match self.socket.recv(&mut buffer) {
                Ok(length) => self.handle_input(NodeInput::Datagram {
                    from: 0,
                    bytes: &buffer[..length],
                }),
                Err(_) => self.handle_input(NodeInput::Tick),
            }
        }
        false
    }
}

fn fleet_command(control: &str, subcommand: &str) -> serde_json::Value {
    let output = Command::new(env!("CARGO_BIN_EXE_asterlatch"))
        .args(["fleet", subcommand, "--json", "--control", control])
        .output()
        .expect("run the command");
    serde_json::from_slice(&output.stdout).expect("parse as JSON")
}

fn start_with_peer(
    name: &str,
    version: u8,
    extra_settings: &str,
) -> (TempFolder, OperatedDriver, Member, PeerDriver) {
    let folder = TempFolder::new(&format!("versions-{name}"));
    let member = start_member(MemberBehavior::Answer);
    let socket = UdpSocket::bind("127.0.0.1:0").expect("bind a UDP socket");
    let peer_port = socket.local_addr().expect("read the bound address").port();
    let port = UdpSocket::bind("127.0.0.1:0")
        .and_then(|s| s.local_addr())
        .expect("bind a UDP port")
        .port();
    let text = format!(
        "shared(port = {port}, tick = 20ms, probe = 100ms, suspicion = 500ms{extra_settings})\ndriver(\"later@127.0.0.1\", port = {peer_port})\n"
    );
    let file = folder.write("o.latch", &text);
    let control = folder.path("control");
    let driver = start_with_operators_file(
        &format!("versions-{name}"),
        member.address,
        &["--operators", &file, "--control", &control],
    );
    // The control socket is opened after the listener.
    driver.wait_for_log("phase: t is serving");
    let host = driver.process.listen.ip();
    socket.connect((host, port)).expect("connect the UDP socket");
    socket
        .set_read_timeout(Some(Duration::from_millis(5)))
        .expect("set timeout");
    let fleet = fleet_command(&control, "status")["fleet"][0]["settings"]
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
    let peer = PeerDriver {
        inquiry_replies: Vec::new(),
        node: GossipNode::new(settings, 5, 1, Timestamp(1_000_000)),
        socket,
        started_at: Instant::now(),
        version,
        fleet,
    };
    (folder, driver, member, peer)
}

#[test]
fn gossip_later_version_exchanges_known_items() {
    let (folder, driver, _member, mut later) = start_with_peer("next", 2, "");
    let is_alive = |node: &GossipNode| {
        node.membership.peers()[0].state == PeerState::Alive && !node.anti_entropy.is_behind()
    };
    assert!(
        later.run_until(TEST_TIMEOUT, is_alive),
        "the peer finds the driver"
    );
    driver.wait_for_log("fleet: driver later is there, was unheard");
    // The peer receives the record of the driver's member.
    let knows_member = |node: &GossipNode| {
        node.state
            .entries()
            .any(|entry| matches!(&entry.record, Record::Member { name, .. } if name == "m"))
    };
    assert!(later.run_until(TEST_TIMEOUT, knows_member));
    // The driver receives a record of the peer.
    let drain = Record::Drain {
        name: "m9".to_owned(),
        started_ms: 0,
        list_version: 3,
        state: ListedState::Draining,
    };
    later.handle_input(NodeInput::Observed(vec![Observation::now(drain)]));
    let control = folder.path("control");
    let mut is_known = |_: &GossipNode| fleet_command(&control, "facts").to_string().contains("m9");
    assert!(later.run_until(TEST_TIMEOUT, &mut is_known));
    let counts = &fleet_command(&control, "status")["counts"][0];
    assert_eq!(
        (&counts["unknown_version"], &counts["garbled"]),
        (&0.into(), &0.into())
    );
}

/// Datagrams of an unsupported old version are counted, and their sender stays unheard.
#[test]
fn gossip_unknown_version_is_ignored() {
    let (folder, _driver, _member, mut older) = start_with_peer("old", 0, "");
    let control = folder.path("control");
    let is_counted =
        |_: &GossipNode| fleet_command(&control, "status")["counts"][0]["unknown_version"].as_u64() > Some(3);
    assert!(older.run_until(TEST_TIMEOUT, is_counted));
    let status = fleet_command(&control, "status");
    assert_eq!(status["drivers"][1]["presence"], "unheard");
}

impl PeerDriver {
    /// Asks the driver whether it has executed a statement.
    fn inquire(&mut self, id: u64) -> DispatchStatus {
        self.inquiry_replies.clear();
        self.handle_input(NodeInput::StartInquiry(InquiryId {
            id,
            sequence: id as u32,
        }));
        let deadline = Instant::now() + TEST_TIMEOUT;
        while self.inquiry_replies.is_empty() && Instant::now() < deadline {
            self.run_until(Duration::from_millis(10), |_| false);
        }
        self.inquiry_replies
            .first()
            .cloned()
            .expect("receive the reply to the inquiry")
    }
}

struct KillOnDrop(rustix::process::Pid);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = rustix::process::kill_process(self.0, rustix::process::Signal::KILL);
    }
}

/// During an upgrade neither process knows what the other has sent: inquiries are answered with `Unknown`,
/// and a client retry at the successor is in doubt.
#[test]
#[expect(clippy::too_many_lines, reason = "a table of cases, or one run step by step")]
fn upgrade_in_progress_never_reports_not_executed() {
    let upgrade_settings = "\nupgrade(hello = 5s, ready = 5s, probation = 10min, beat = 50ms, silence = 2s";
    let extra_settings = format!(", window = 1s){upgrade_settings}");
    let (folder, driver, _member, mut peer) = start_with_peer("upgrade", 1, &extra_settings);
    let is_alive = |node: &GossipNode| node.membership.peers()[0].state == PeerState::Alive;
    assert!(peer.run_until(TEST_TIMEOUT, is_alive));
    // The previous incarnation may have sent any statement within the window.
    let mut id = 100;
    while peer.inquire(id) == DispatchStatus::Unknown {
        id += 1;
    }
    assert_eq!(peer.inquire(1), DispatchStatus::NotExecuted);
    let control = folder.path("control");
    let mut upgrade_request = Command::new(env!("CARGO_BIN_EXE_asterlatch"))
        .args([
            "upgrade",
            "--control",
            &control,
            "--to",
            env!("CARGO_BIN_EXE_asterlatch"),
        ])
        .spawn()
        .expect("spawn the command");
    let started_line = driver.wait_for_log("upgrade: started ");
    let pid: i32 = started_line
        .rsplit(' ')
        .next()
        .and_then(|n| n.parse().ok())
        .expect("the log line ends with the process id");
    // Ends the successor even if the test fails.
    let successor = KillOnDrop(rustix::process::Pid::from_raw(pid).expect("a valid process id"));
    driver.wait_for_log("the successor is ready and asked to serve");
    assert_eq!(
        peer.inquire(2),
        DispatchStatus::Unknown,
        "the other process may have sent it"
    );
    let mut client = driver.process.connect();
    for (id, retry_field, expected) in [
        ("a1", "", "T D C Z"),
        ("a2", ",r=1", "E40003 Z"),
        ("a3", "", "T D C Z"),
    ] {
        let text = format!("/* id={id},c=post,d=25000,cluster=1{retry_field} */ SELECT 1\0");
        std::io::Write::write_all(&mut client, &message(b'Q', text.as_bytes())).expect("send");
        assert_eq!(read_answer(&mut client).0, expected, "{id}");
    }
    drop(successor);
    driver.wait_for_log("upgrade: failed, this process continues to serve");
    let _ = upgrade_request.wait();
    assert_eq!(
        peer.inquire(3),
        DispatchStatus::Unknown,
        "the killed process may have sent it"
    );
    let mut id = 1000;
    while peer.inquire(id) == DispatchStatus::Unknown {
        id += 1;
    }
    assert_eq!(
        peer.inquire(4),
        DispatchStatus::NotExecuted,
        "the window has passed"
    );
}
