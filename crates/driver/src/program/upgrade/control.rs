//! The socket at which upgrades are asked for, and the asking.

use crate::routing::queue::{Input, Notice};
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
pub fn control(path: &Path, queue: Sender<Input>, asks: Sender<Ask>) -> Result<(), String> {
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
            let Some(binary) = line
                .trim_end_matches('\n')
                .strip_prefix("upgrade ")
                .filter(|_| read.is_ok())
            else {
                continue;
            };
            let ask = Ask {
                binary: PathBuf::from(binary),
                reply: stream,
            };
            if asks.send(ask).is_err() || queue.send(Input::Notice(Notice::Done)).is_err() {
                return;
            }
        }
    };
    let thread = std::thread::Builder::new().name("control".to_owned());
    thread.spawn(take).map(drop).map_err(told)
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
