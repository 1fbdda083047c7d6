//! The control socket: operators ask it for upgrades and for the state of the fleet, one line a connection.

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

/// Whoever sends no request delays those behind it by no more than this.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest request in bytes.
const MAX_REQUEST: u64 = 4096;
/// Only the process's user may connect.
const SOCKET_MODE: u32 = 0o600;

/// The control socket can't be opened or used.
#[derive(Debug, Error)]
#[error("{}: {source}", path.display())]
pub struct ControlSocketError {
    path: PathBuf,
    source: io::Error,
}

impl ControlSocketError {
    fn at(path: &Path) -> impl Fn(io::Error) -> ControlSocketError + '_ {
        |source| ControlSocketError {
            path: path.to_owned(),
            source,
        }
    }
}

/// A request for an upgrade.
pub struct UpgradeRequest {
    /// Program of the successor.
    pub program: PathBuf,
    /// Connection on which the progress is reported, a line each.
    pub requester: UnixStream,
}

/// Where requests go.
struct RequestHandler {
    queue: Sender<Event>,
    upgrade_requests: Sender<UpgradeRequest>,
    /// Set if this driver takes part in gossip.
    gossip: Option<GossipHandle>,
}

/// Listens at this path on a thread of its own, for processes of this user. Upgrade requests wake the event loop by
/// `queue`; questions about the fleet go to the gossip thread.
///
/// # Errors
/// If the socket can't be made at this path or the thread can't be started.
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
        .map_err(ControlSocketError::at(path))
}

fn bind(path: &Path) -> io::Result<UnixListener> {
    // A former process may have left its socket there, or may still listen: without the name nobody reaches it.
    match std::fs::remove_file(path) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
        _ => {}
    }
    let listener = UnixListener::bind(path)?;
    std::fs::set_permissions(path, Permissions::from_mode(SOCKET_MODE))?;
    Ok(listener)
}

fn spawn(listener: UnixListener, handler: RequestHandler) -> io::Result<()> {
    let own_user = rustix::process::getuid();
    let serve_all = move || {
        for stream in listener.incoming().flatten() {
            let peer = rustix::net::sockopt::socket_peercred(&stream);
            if peer.is_ok_and(|peer| peer.uid == own_user) && !handler.serve(stream) {
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
    /// Reads one request and passes it on; whether the event loop is still there.
    fn serve(&self, stream: UnixStream) -> bool {
        let Ok(request) = read_request(&stream) else {
            return true;
        };
        match request.split_once(' ') {
            Some(("upgrade", program)) => self.request_upgrade(program, stream),
            Some(("fleet", arguments)) => {
                self.show_fleet(arguments, stream);
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

    /// `status table`, `facts json` and the like, which the gossip thread answers.
    fn show_fleet(&self, arguments: &str, mut reply: UnixStream) {
        let (name, format) = arguments.split_once(' ').unwrap_or((arguments, "table"));
        let answer = match (QueryKind::named(name), &self.gossip) {
            (Some(what), Some(gossip)) => {
                let json = format == "json";
                return gossip.query(Query {
                    kind: what,
                    as_json: json,
                    reply,
                });
            }
            (_, None) => {
                "failed: nothing is shared with other drivers: shared.port of the operators' file is 0"
                    .to_owned()
            }
            (None, Some(_)) => format!("failed: '{name}' is not known here"),
        };
        let _ = writeln!(reply, "{answer}");
    }
}

fn read_request(stream: &UnixStream) -> io::Result<String> {
    let _ = stream.set_read_timeout(Some(READ_TIMEOUT));
    let mut line = String::new();
    BufReader::new(stream.try_clone()?.take(MAX_REQUEST)).read_line(&mut line)?;
    line.truncate(line.trim_end_matches('\n').len());
    Ok(line)
}

/// Asks the service at this control socket for an upgrade to `program`, prints its progress, and returns whether it
/// succeeded.
///
/// # Errors
/// If the service can't be reached or `program` is no path.
pub fn request_upgrade(control: &Path, program: &Path) -> Result<bool, ControlSocketError> {
    let mut stream = UnixStream::connect(control).map_err(ControlSocketError::at(control))?;
    let program = std::path::absolute(program).map_err(ControlSocketError::at(program))?;
    writeln!(stream, "upgrade {}", program.display()).map_err(ControlSocketError::at(control))?;
    let mut last = String::new();
    for line in BufReader::new(stream).lines() {
        last = line.map_err(ControlSocketError::at(control))?;
        println!("{last}");
    }
    Ok(last.starts_with("done"))
}
