//! The control socket: accepts requests of operators for upgrades and for the state of the fleet, one per
//! connection.

use crate::program::gossip::{GossipHandle, Query, QueryKind};
use crate::routing::events::{ControlEvent, Event};
use std::fs::Permissions;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::sync::mpsc::Sender;
use std::time::Duration;
use thiserror::Error;

/// Bounds how long a connection without a request delays the next one.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_REQUEST_BYTES: u64 = 4096;
/// Only the process's user may connect.
const SOCKET_MODE: u32 = 0o600;

/// The control socket can't be opened or used.
#[derive(Debug, Error)]
#[error("cannot use {}: {source}", path.display())]
pub struct ControlSocketError {
    path: PathBuf,
    source: io::Error,
}

impl ControlSocketError {
    fn for_path(path: &Path) -> impl Fn(io::Error) -> ControlSocketError + '_ {
        |source| ControlSocketError {
            path: path.to_owned(),
            source,
        }
    }
}

/// A request for an upgrade.
pub struct UpgradeRequest {
    /// Executable of the successor.
    pub program: PathBuf,
    /// Connection to which progress is reported, one line per step.
    pub requester: UnixStream,
}

/// Receivers of requests.
struct RequestHandler {
    queue: Sender<Event>,
    upgrade_requests: Sender<UpgradeRequest>,
    /// `None` if this driver doesn't gossip.
    gossip: Option<GossipHandle>,
}

/// Listens at `path` on its own thread, for processes of the same user. Upgrade requests wake the event loop
/// through `queue`; queries about the fleet go to the gossip thread.
///
/// # Errors
/// If the socket can't be created or the thread can't be started.
pub fn listen(
    path: &Path,
    queue: Sender<Event>,
    upgrade_requests: Sender<UpgradeRequest>,
    gossip: Option<GossipHandle>,
) -> Result<(), ControlSocketError> {
    let handler = RequestHandler {
        queue,
        upgrade_requests,
        gossip,
    };
    bind(path)
        .and_then(|listener| spawn(listener, handler))
        .map_err(ControlSocketError::for_path(path))
}

fn bind(path: &Path) -> io::Result<UnixListener> {
    // A predecessor may have left its socket at this path or still listen on it; removing the path makes it
    // unreachable.
    match std::fs::remove_file(path) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
        _ => {}
    }
    let listener = UnixListener::bind(path)?;
    std::fs::set_permissions(path, Permissions::from_mode(SOCKET_MODE))?;
    Ok(listener)
}

fn spawn(listener: UnixListener, handler: RequestHandler) -> io::Result<()> {
    let current_user = rustix::process::getuid();
    let serve_all = move || {
        for stream in listener.incoming().flatten() {
            let peer = rustix::net::sockopt::socket_peercred(&stream);
            if peer.is_ok_and(|peer| peer.uid == current_user) && !handler.serve(stream) {
                return;
            }
        }
    };
    std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(serve_all)?;
    Ok(())
}

impl RequestHandler {
    /// Reads and forwards one request; returns false once the event loop has ended.
    fn serve(&self, stream: UnixStream) -> bool {
        let Ok(request) = read_request(&stream) else {
            return true;
        };
        match request.split_once(' ') {
            Some(("upgrade", program)) => self.request_upgrade(program, stream),
            Some(("fleet", arguments)) => {
                self.query_fleet(arguments, stream);
                true
            }
            _ => true,
        }
    }

    fn request_upgrade(&self, program: &str, requester: UnixStream) -> bool {
        let request = UpgradeRequest {
            program: PathBuf::from(program),
            requester,
        };
        self.upgrade_requests.send(request).is_ok()
            && self.queue.send(Event::Control(ControlEvent::WakeUp)).is_ok()
    }

    /// Forwards a query such as `status table` or `facts json` to the gossip thread.
    fn query_fleet(&self, arguments: &str, mut reply: UnixStream) {
        let (name, format) = arguments.split_once(' ').unwrap_or((arguments, "table"));
        let answer = match (QueryKind::from_name(name), &self.gossip) {
            (Some(query_kind), Some(gossip)) => {
                let is_json = format == "json";
                return gossip.query(Query {
                    kind: query_kind,
                    as_json: is_json,
                    reply,
                });
            }
            (_, None) => {
                "failed: this driver does not gossip: shared.port in the operators' file is 0".to_owned()
            }
            (None, Some(_)) => format!("failed: unknown query '{name}'"),
        };
        let _ = writeln!(reply, "{answer}");
    }
}

fn read_request(stream: &UnixStream) -> io::Result<String> {
    let _ = stream.set_read_timeout(Some(READ_TIMEOUT));
    let mut line = String::new();
    BufReader::new(stream.try_clone()?.take(MAX_REQUEST_BYTES)).read_line(&mut line)?;
    line.truncate(line.trim_end_matches('\n').len());
    Ok(line)
}

/// Requests an upgrade to `program` at the control socket of a service, prints its progress, and returns
/// whether it succeeded.
///
/// # Errors
/// If the service can't be reached or `program` is not a valid path.
pub fn request_upgrade(control: &Path, program: &Path) -> Result<bool, ControlSocketError> {
    let mut stream = UnixStream::connect(control).map_err(ControlSocketError::for_path(control))?;
    let program = std::path::absolute(program).map_err(ControlSocketError::for_path(program))?;
    writeln!(stream, "upgrade {}", program.display()).map_err(ControlSocketError::for_path(control))?;
    let mut last_line = String::new();
    for line in BufReader::new(stream).lines() {
        last_line = line.map_err(ControlSocketError::for_path(control))?;
        println!("{last_line}");
    }
    Ok(last_line.starts_with("done"))
}
