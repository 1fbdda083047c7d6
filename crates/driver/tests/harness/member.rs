//! Fake members.

use super::{bind_listener, read_message, TEST_TIMEOUT};
use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_testbed::wire::{self, data_row, message, parameter_status, wall_clock_now};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Size of the row that answers a statement containing `'large'`; several such rows exceed the socket buffers
/// of a client that doesn't read.
pub(crate) const LARGE_ROW_BYTES: usize = 2 << 20;

/// Size of the row that answers a statement containing `'medium'`.
pub(crate) const MEDIUM_ROW_BYTES: usize = 64 << 10;

/// What a fake member does with a statement.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum MemberBehavior {
    Answer,
    CloseConnection,
    /// Answers when the test sends on [`Member::release`]; one send releases one statement.
    AnswerOnRelease,
}

/// A fake member that answers health checks as a primary. Reports each received statement, and `disconnected`
/// when the peer closes a connection whose statement waits for its release.
pub(crate) struct Member {
    pub(crate) address: SocketAddr,
    pub(crate) events: Receiver<String>,
    pub(crate) release: Sender<()>,
}

impl Member {
    /// Waits for the next statement or `disconnected`.
    pub(crate) fn next_event(&self) -> String {
        self.events
            .recv_timeout(TEST_TIMEOUT)
            .expect("receive an event of the member")
    }
}

/// Role of a fake member in its group, and how far its data is behind; `None` if its answers don't say.
#[derive(Clone, Copy)]
pub(crate) struct MemberRole {
    pub(crate) rank: &'static str,
    pub(crate) lag: Option<TimeSpan>,
}

impl MemberRole {
    /// The parameters that end an answer.
    fn parameters(self) -> Vec<u8> {
        let rank = parameter_status("rank", self.rank);
        let position = self
            .lag
            .map(|lag| ((wall_clock_now() - Timestamp(lag.0)).0 / 1000).to_string());
        let position = position.map(|position| parameter_status("as_of", &position));
        [position.unwrap_or_default(), rank].concat()
    }
}

pub(crate) fn start_member(behavior: MemberBehavior) -> Member {
    let primary = MemberRole {
        rank: "source",
        lag: None,
    };
    start_member_with_role(behavior, primary)
}

pub(crate) fn start_member_with_role(behavior: MemberBehavior, role: MemberRole) -> Member {
    let (listener, address) = bind_listener();
    let (event_sender, events) = channel();
    let (release, released) = channel();
    let released = Arc::new(Mutex::new(released));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (event_sender, released) = (event_sender.clone(), released.clone());
            thread::spawn(move || serve_connection(stream, behavior, role, &event_sender, &released));
        }
    });
    Member {
        address,
        events,
        release,
    }
}

pub(crate) fn serve_connection(
    mut stream: TcpStream,
    behavior: MemberBehavior,
    role: MemberRole,
    event_sender: &Sender<String>,
    released: &Mutex<Receiver<()>>,
) -> Option<()> {
    wire::read_message(&mut stream, false).ok()?;
    let ready = message(b'Z', b"I");
    stream
        .write_all(&[message(b'R', &[0; 4]), ready.clone()].concat())
        .ok()?;
    loop {
        let (_, body) = read_message(&mut stream)?;
        let text = String::from_utf8_lossy(&body).into_owned();
        let value: &[u8] = if text.starts_with("SHOW") {
            b"x0=1,x1=1"
        } else if text.contains("'large'") {
            &[b'x'; LARGE_ROW_BYTES]
        } else if text.contains("'medium'") {
            &[b'x'; MEDIUM_ROW_BYTES]
        } else {
            b"\x00value"
        };
        if !text.starts_with("SHOW") {
            let _ = event_sender.send(text);
            match behavior {
                MemberBehavior::Answer => {}
                MemberBehavior::CloseConnection => return None,
                MemberBehavior::AnswerOnRelease => {
                    stream.set_read_timeout(Some(Duration::from_millis(5))).ok()?;
                    while released.lock().ok()?.try_recv().is_err() {
                        match stream.read(&mut [0]) {
                            Ok(0) => return event_sender.send("disconnected".to_owned()).ok(),
                            Err(e) if e.kind() != ErrorKind::WouldBlock => {
                                return event_sender.send("disconnected".to_owned()).ok()
                            }
                            _ => {}
                        }
                    }
                    stream.set_read_timeout(None).ok()?;
                }
            }
        }
        let answer = [data_row(value), role.parameters(), ready.clone()];
        stream.write_all(&answer.concat()).ok()?;
    }
}
