//! Handover state of an earlier build: its members decode to the same values, and a successor accepts all of
//! it.

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

fn fixture_path(name: &str) -> PathBuf {
    [env!("CARGO_MANIFEST_DIR"), "tests", "fixtures", name]
        .iter()
        .collect()
}

fn endpoint(name: &str, group: u32, status: EndpointStatus) -> Endpoint {
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
fn member_directory() -> MemberDirectory {
    let mut members = MemberDirectory::new(&["zone-1".to_owned()]);
    let entries = [
        endpoint("m-1", 1, EndpointStatus::Serving),
        endpoint("m-gone", 1, EndpointStatus::Serving),
        endpoint("m-2", 2, EndpointStatus::Draining),
        endpoint("m-3", 1, EndpointStatus::Deleted),
    ];
    for endpoint in &entries {
        members.upsert(endpoint).expect("add the member");
    }
    members.remove(1);
    members
}

#[test]
fn members_of_earlier_build_decode_to_same_values() {
    let bytes = fs::read(fixture_path("members.bin")).expect("read the fixture");
    let mut members: MemberDirectory = postcard::from_bytes(&bytes).expect("decode the members");
    assert_eq!(postcard::to_stdvec(&members).expect("encode the members"), bytes);
    assert_eq!(
        postcard::to_stdvec(&member_directory()).expect("encode the members"),
        bytes
    );
    assert_eq!(members.size(), DirectorySize { names: 3, ids: 3 });
    assert_eq!(
        members.address(0),
        Some("10.0.0.1:5432".parse().expect("parse the address"))
    );
    let identity = MemberIdentity {
        name: "m-2".to_owned(),
        started_ms: 1_700_000_000_000,
        group: 2,
    };
    assert_eq!(members.identity(2), Some(identity));
    assert_eq!(members.find("m-3"), Some(3));
    assert_eq!((members.name(1), members.find("m-gone")), (None, None));
    assert!(members.has_group(1) && members.has_group(2) && !members.has_group(3));
    // New ids and zones continue the sequence.
    let added = members
        .upsert(&endpoint("m-4", 3, EndpointStatus::Serving))
        .expect("add the member");
    assert_eq!((added.id, added.zone, added.state), (4, 2, MemberState::Ready));
    let updated = members
        .upsert(&endpoint("m-2", 2, EndpointStatus::Serving))
        .expect("add the member");
    assert_eq!((updated.id, updated.zone), (2, 1));
}

const ADDRESS: &str = "127.0.0.1:1";

/// Must not change: the fixture contains the hash of these settings.
fn settings_text() -> String {
    let address: SocketAddr = ADDRESS.parse().expect("parse the address");
    config_text(address, address, address)
}

#[test]
fn serve_state_of_earlier_build_reports_ready() {
    let bytes = fs::read(fixture_path("state.bin")).expect("read the fixture");
    let (predecessor_socket, successor_socket) = UnixStream::pair().expect("create a socket pair");
    rustix::io::fcntl_setfd(&successor_socket, rustix::io::FdFlags::empty()).expect("clear FD_CLOEXEC");
    let config_path = write_config("resumes", &settings_text());
    let mut command = driver_command("serve", &config_path);
    command.stdout(Stdio::null()).stderr(Stdio::null());
    command.env("ASTERLATCH_TAKEOVER", successor_socket.as_raw_fd().to_string());
    let mut child = spawn_process(&mut command);
    drop(successor_socket);
    predecessor_socket
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("set timeout");
    let mut reader =
        FrameReader::<HandoverMessage>::new(predecessor_socket.try_clone().expect("duplicate the socket"));
    let mut next_message = || match reader.read() {
        Received::Message(message, _) => message,
        other => panic!("{other:?}"),
    };
    assert_eq!(next_message(), HandoverMessage::Hello { version: VERSION });
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a loopback port");
    let (_journal_reader, journal_writer) = UnixStream::pair().expect("create a socket pair");
    let flags = rustix::event::EventfdFlags::CLOEXEC;
    let abandoned_event = rustix::event::eventfd(0, flags).expect("create the eventfd");
    let descriptors = [listener.as_fd(), journal_writer.as_fd(), abandoned_event.as_fd()];
    send(&predecessor_socket, &HandoverMessage::State(bytes), &descriptors).expect("send the state");
    let answer = next_message();
    let _ = child.kill();
    let _ = child.wait();
    let _ = fs::remove_file(&config_path);
    assert_eq!(answer, HandoverMessage::Ready);
}

/// Writes the fixtures. The state is built field by field, because a driver's clocks and seeds differ at each
/// start: format version, clock, monotonic clock, hash of the settings, learned state, members.
#[test]
#[ignore = "writes the fixtures: only run it on a build whose state must stay"]
fn write_fixtures() {
    let value = serde_json::from_str(&settings_text()).expect("parse as JSON");
    let config = asterlatch_driver::program::config::read(&value, |_| None).expect("read the configuration");
    let learned = concat!(env!("CARGO_MANIFEST_DIR"), "/../../tests/fixtures/learned.bin");
    let learned = fs::read(learned).expect("read the fixture");
    let members = postcard::to_stdvec(&member_directory()).expect("encode the members");
    fs::write(fixture_path("members.bin"), &members).expect("write the file");
    let state = (
        2u32,
        1_010_000_000u64,
        1000u64,
        config.settings_hash,
        learned,
        members,
    );
    let state = postcard::to_stdvec(&state).expect("encode the state");
    fs::write(fixture_path("state.bin"), state).expect("write the file");
}
