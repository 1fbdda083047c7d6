//! Runs the built program against fake members and a fake discovery service on loopback.
#![allow(dead_code, unused_imports)] // no test file uses all of it

mod driver_process;
mod member;
mod operated_driver;

use asterlatch_testbed::wire;
pub(crate) use asterlatch_testbed::wire::message;
pub(crate) use driver_process::*;
pub(crate) use member::*;
pub(crate) use operated_driver::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command};
use std::sync::atomic::{AtomicU32, AtomicU8, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Bounds each wait of a test, so that a failing test ends. Passing tests never wait for it to elapse.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(30);

pub(crate) fn read_message(stream: &mut TcpStream) -> Option<(u8, Vec<u8>)> {
    wire::read_message(stream, true).ok()
}

/// Binds a listener to a loopback address of its own, so that no other socket reuses the address and port
/// after it is closed.
pub(crate) fn bind_listener() -> (TcpListener, SocketAddr) {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let last_octet = NEXT.fetch_add(1, Ordering::Relaxed);
    let host = format!(
        "127.{}.{}.{last_octet}:0",
        10 + std::process::id() % 200,
        std::process::id() / 200 % 250
    );
    let listener = TcpListener::bind(host).expect("bind a loopback address");
    let address = listener.local_addr().expect("read the bound address");
    (listener, address)
}

/// Serializes spawning of processes and choice of addresses: until its `exec`, a new process holds copies of
/// all descriptors of this one, so that an address closed meanwhile would still be in use.
pub(crate) static SPAWN_LOCK: Mutex<()> = Mutex::new(());

/// Returns an address at which nobody listens.
pub(crate) fn unused_address() -> SocketAddr {
    let _guard = SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    bind_listener().1
}

pub(crate) fn spawn_process(command: &mut Command) -> Child {
    let _guard = SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    command.spawn().expect("spawn the process")
}

/// Reads the head of an HTTP request to discovery.
pub(crate) fn read_request_head(stream: &mut TcpStream) -> std::io::Result<String> {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte)?;
        head.extend(byte);
    }
    Ok(String::from_utf8_lossy(&head).into_owned())
}

/// Starts a discovery service that accepts connections and never answers, so that the driver uses the
/// endpoint list of its configuration.
pub(crate) fn unresponsive_discovery() -> SocketAddr {
    let (listener, address) = bind_listener();
    thread::spawn(move || listener.incoming().collect::<Vec<_>>());
    address
}

/// Reads messages up to the next `ReadyForQuery` or the end of input. Returns their kinds, errors with their
/// SQLSTATE, and the last row.
pub(crate) fn read_answer(stream: &mut TcpStream) -> (String, Vec<u8>) {
    let (mut kinds, mut row) = (Vec::new(), Vec::new());
    while let Some((kind, body)) = read_message(stream) {
        match kind {
            b'S' | b'R' => {}
            b'E' => {
                let code = body.split(|b| *b == 0).find(|f| f.first() == Some(&b'C'));
                kinds.push(format!(
                    "E{}",
                    String::from_utf8_lossy(&code.expect("an error has an SQLSTATE")[1..])
                ));
            }
            kind => kinds.push((kind as char).to_string()),
        }
        if kind == b'D' {
            row = body[6..].to_vec();
        }
        if kind == b'Z' {
            break;
        }
    }
    (kinds.join(" "), row)
}

pub(crate) fn send_statement(stream: &mut TcpStream, workload: &str) -> String {
    send_statement_with(stream, workload, 25_000, "x")
}

/// Sends a statement for this key with this timeout, under an id of its own; returns its text.
pub(crate) fn send_statement_with(
    stream: &mut TcpStream,
    workload: &str,
    timeout_ms: u32,
    key: &str,
) -> String {
    static LAST_ID: AtomicU32 = AtomicU32::new(0);
    let id = LAST_ID.fetch_add(1, Ordering::Relaxed);
    let text = format!(
        "/* id=h{id:x},c={workload},d={timeout_ms},cluster=1,k=7 */ SELECT blob FROM rows WHERE handle = '{key}'"
    );
    stream
        .write_all(&message(b'Q', format!("{text}\0").as_bytes()))
        .expect("write the statement");
    text
}

/// A temporary folder, removed on drop.
pub(crate) struct TempFolder(pub PathBuf);

impl TempFolder {
    pub(crate) fn new(name: &str) -> TempFolder {
        let path = std::env::temp_dir().join(format!("asterlatch-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).expect("create the temporary folder");
        TempFolder(path)
    }

    pub(crate) fn path(&self, name: &str) -> String {
        self.0.join(name).to_str().expect("the path is UTF-8").to_owned()
    }

    pub(crate) fn write(&self, name: &str, text: &str) -> String {
        std::fs::write(self.0.join(name), text).expect("write the file");
        self.path(name)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
