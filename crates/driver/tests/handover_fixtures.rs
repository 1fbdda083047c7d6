//! State handed over by an earlier build: its members decode to the same values, and the program resumes from
//! all of it.

mod harness;
use asterlatch::interface::MemberState;
use asterlatch_driver::protocol::endpoint_list::{Endpoint, EndpointStatus};
use asterlatch_driver::routing::members::{DirectorySize, MemberDirectory, MemberIdentity};
use asterlatch_handover::codec::{send, FrameReader, Received};
use asterlatch_handover::message::{HandoverMessage, VERSION};
use harness::*;
use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{AsFd, AsRawFd};
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::process::Stdio;

fn path(name: &str) -> PathBuf {
    [env!("CARGO_MANIFEST_DIR"), "tests", "fixtures", name]
        .iter()
        .collect()
}

fn entry(name: &str, group: u32, status: EndpointStatus) -> Endpoint {
    Endpoint {
        name: name.to_owned(),
        address: format!("10.0.0.{group}:5432"),
        zone: format!("zone-{group}"),
        group,
        status,
        weight: 1.5,
        since_ms: 1_700_000_000_000,
        is_primary: group == 1,
    }
}

/// Three members in two groups, after a fourth was removed.
fn members() -> MemberDirectory {
    let mut members = MemberDirectory::new(&["zone-1".to_owned()]);
    let entries = [
        entry("m-1", 1, EndpointStatus::Serving),
        entry("m-gone", 1, EndpointStatus::Serving),
        entry("m-2", 2, EndpointStatus::Draining),
        entry("m-3", 1, EndpointStatus::Deleted),
    ];
    for e in &entries {
        members.upsert(e).expect("add the member");
    }
    members.remove(1);
    members
}

#[test]
fn members_of_earlier_build_decode_to_same_values() {
    let bytes = fs::read(path("members.bin")).expect("read the fixture");
    let mut read: MemberDirectory = postcard::from_bytes(&bytes).expect("decode the members");
    assert_eq!(postcard::to_stdvec(&read).expect("encode the members"), bytes);
    assert_eq!(
        postcard::to_stdvec(&members()).expect("encode the members"),
        bytes
    );
    assert_eq!(read.size(), DirectorySize { names: 3, ids: 3 });
    assert_eq!(
        read.address(0),
        Some("10.0.0.1:5432".parse().expect("parse the address"))
    );
    let identity = MemberIdentity {
        name: "m-2".to_owned(),
        started_ms: 1_700_000_000_000,
        group: 2,
    };
    assert_eq!(read.identity(2), Some(identity));
    assert_eq!(read.find("m-3"), Some(3));
    assert_eq!((read.name(1), read.find("m-gone")), (None, None));
    assert!(read.has_group(1) && read.has_group(2) && !read.has_group(3));
    // Ids and zones go on from where they were.
    let next = read
        .upsert(&entry("m-4", 3, EndpointStatus::Serving))
        .expect("add the member");
    assert_eq!((next.id, next.zone, next.state), (4, 2, MemberState::Ready));
    let known = read
        .upsert(&entry("m-2", 2, EndpointStatus::Serving))
        .expect("add the member");
    assert_eq!((known.id, known.zone), (2, 1));
}

const LISTEN: &str = "127.0.0.1:1";

/// The state contains the hash of the settings, so these must stay as they are here.
fn settings() -> String {
    let address: SocketAddr = LISTEN.parse().expect("parse the address");
    config_text(address, address, address)
}

#[test]
fn serve_state_of_earlier_build_reports_ready() {
    let bytes = fs::read(path("state.bin")).expect("read the fixture");
    let (ours, theirs) = UnixStream::pair().expect("create a socket pair");
    rustix::io::fcntl_setfd(&theirs, rustix::io::FdFlags::empty()).expect("clear FD_CLOEXEC");
    let configured = write_config("resumes", &settings());
    let mut command = driver_command("serve", &configured);
    command.stdout(Stdio::null()).stderr(Stdio::null());
    command.env("ASTERLATCH_TAKEOVER", theirs.as_raw_fd().to_string());
    let mut child = spawn_process(&mut command);
    drop(theirs);
    ours.set_read_timeout(Some(TEST_TIMEOUT))
        .expect("set the read timeout");
    let mut reader = FrameReader::<HandoverMessage>::new(ours.try_clone().expect("duplicate the socket"));
    let mut next = || match reader.read() {
        Received::Message(message, _) => message,
        other => panic!("{other:?}"),
    };
    assert_eq!(next(), HandoverMessage::Hello { version: VERSION });
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a loopback port");
    let (_ledger, written) = UnixStream::pair().expect("create a socket pair");
    let flags = rustix::event::EventfdFlags::CLOEXEC;
    let given_up = rustix::event::eventfd(0, flags).expect("create the eventfd");
    let beside = [listener.as_fd(), written.as_fd(), given_up.as_fd()];
    send(&ours, &HandoverMessage::State(bytes), &beside).expect("send the state");
    let answer = next();
    let _ = child.kill();
    let _ = child.wait();
    let _ = fs::remove_file(&configured);
    assert_eq!(answer, HandoverMessage::Ready);
}

/// The state is composed field by field, because the program's clocks and seeds differ at each start: form,
/// clock, monotonic clock, hash of the settings, learned state, members.
#[test]
#[ignore = "writes the fixtures: only run it on a build whose state must stay"]
fn write_fixtures() {
    let value = serde_json::from_str(&settings()).expect("parse as JSON");
    let config = asterlatch_driver::program::config::read(&value, |_| None).expect("read the configuration");
    let learned = concat!(env!("CARGO_MANIFEST_DIR"), "/../../tests/fixtures/learned.bin");
    let learned = fs::read(learned).expect("read the fixture");
    let members = postcard::to_stdvec(&members()).expect("encode the members");
    fs::write(path("members.bin"), &members).expect("write the file");
    let state = (
        2u32,
        1_010_000_000u64,
        1000u64,
        config.settings_hash,
        learned,
        members,
    );
    let state = postcard::to_stdvec(&state).expect("encode the members");
    fs::write(path("state.bin"), state).expect("write the file");
}
