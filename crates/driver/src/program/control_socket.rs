//! The socket at which upgrades and the fleet's state are asked for.

use crate::program::sharing::{Line, Show, What};
use crate::routing::events::{ControlEvent, Event};
use std::io::{self, BufRead, BufReader, Write};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::sync::mpsc::Sender;
use std::time::Duration;

/// Who asks for an upgrade: to which program, and whom to tell.
pub struct Ask {
    pub binary: PathBuf,
    pub reply: UnixStream,
}

/// Listens for `asterlatch upgrade` at this path. Only who runs as this process's user may ask.
pub fn control(
    path: &Path,
    queue: Sender<Event>,
    asks: Sender<Ask>,
    fleet: Option<Line>,
) -> Result<(), String> {
    let told = |e: io::Error| format!("{}: {e}", path.display());
    // What a former process left there, or still holds: its own stands without the name.
    match std::fs::remove_file(path) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(told(e)),
        _ => {}
    }
    let listener = UnixListener::bind(path).map_err(told)?;
    std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600)).map_err(told)?;
    let own = rustix::process::getuid();
    let take = move || {
        for stream in listener.incoming().flatten() {
            let peer = rustix::net::sockopt::socket_peercred(&stream);
            if peer.map_or(true, |p| p.uid != own) {
                continue;
            }
            // Who says nothing holds up only who asks after it, and not for long.
            let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
            let Ok(reader) = stream.try_clone() else { continue };
            let mut line = String::new();
            let read = BufReader::new(io::Read::take(reader, 4096)).read_line(&mut line);
            if read.is_err() {
                continue;
            }
            let line = line.trim_end_matches('\n');
            let taken = match line.split_once(' ') {
                Some(("upgrade", binary)) => {
                    let ask = Ask {
                        binary: PathBuf::from(binary),
                        reply: stream,
                    };
                    asks.send(ask).is_ok() && queue.send(Event::Control(ControlEvent::WakeUp)).is_ok()
                }
                Some(("fleet", wish)) => {
                    show(wish, stream, fleet.as_ref());
                    true
                }
                _ => true,
            };
            if !taken {
                return;
            }
        }
    };
    let thread = std::thread::Builder::new().name("control".to_owned());
    thread.spawn(take).map(drop).map_err(told)
}

/// `status table`, `facts json` and the like: answered by the thread that speaks with other drivers.
fn show(wish: &str, mut reply: UnixStream, fleet: Option<&Line>) {
    let (what, form) = wish.split_once(' ').unwrap_or((wish, "table"));
    match (What::named(what), fleet) {
        (Some(what), Some(fleet)) => {
            let json = form == "json";
            fleet.show(Show { what, json, reply });
        }
        (_, None) => drop(writeln!(
            reply,
            "failed: nothing is shared with other drivers: shared.port of the operators' file is 0"
        )),
        (None, _) => drop(writeln!(reply, "failed: '{what}' is not known here")),
    }
}

/// Asks a running service for an upgrade, prints what becomes of it; whether it was done.
pub fn request(control: &Path, binary: &Path) -> Result<bool, String> {
    let told = |e: io::Error| format!("{}: {e}", control.display());
    let mut stream = UnixStream::connect(control).map_err(told)?;
    let binary = std::path::absolute(binary).map_err(|e| format!("{}: {e}", binary.display()))?;
    writeln!(stream, "upgrade {}", binary.display()).map_err(told)?;
    let mut last = String::new();
    for line in BufReader::new(stream).lines() {
        last = line.map_err(told)?;
        println!("{last}");
    }
    Ok(last.starts_with("done"))
}
