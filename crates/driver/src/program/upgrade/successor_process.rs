//! The successor as a child process of the predecessor: its start, its I/O threads and its exit.

use super::SOCKET_VARIABLE;
use crate::routing::events::{ControlEvent, Event};
use asterlatch_handover::codec::{send, FrameReader, Received};
use asterlatch_handover::message::HandoverMessage;
use asterlatch_handover::predecessor;
use rustix::process::{pidfd_open, pidfd_send_signal, Pid, PidfdFlags, Signal};
use std::ffi::OsString;
use std::io;
use std::os::fd::{AsFd, AsRawFd, OwnedFd};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::process::{Child, Command};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::thread::JoinHandle;

/// A message with the descriptors to send along.
struct OutgoingMessage {
    message: HandoverMessage,
    descriptors: Vec<OwnedFd>,
}

impl OutgoingMessage {
    fn moves_connection(&self) -> bool {
        matches!(
            self.message,
            HandoverMessage::ClientConnection(_) | HandoverMessage::MemberConnection(_)
        )
    }
}

/// Link from a successor's I/O threads to the event loop; clones share it.
#[derive(Clone)]
pub(super) struct EventLoopLink {
    /// Messages and exit of the successor.
    pub(super) events: Sender<predecessor::Event>,
    /// Queue of the event loop, to wake it.
    pub(super) queue: Sender<Event>,
    /// Number of queued messages that carry a client or member connection.
    pub(super) unsent_connections: Arc<AtomicUsize>,
}

impl EventLoopLink {
    /// Wakes the event loop; returns false once it has ended.
    pub(super) fn wake(&self) -> bool {
        self.queue.send(Event::Control(ControlEvent::WakeUp)).is_ok()
    }

    /// Passes an event to the event loop; returns false once it has ended.
    pub(super) fn notify(&self, event: predecessor::Event) -> bool {
        self.events.send(event).is_ok() && self.wake()
    }
}

/// A running or exited successor. Dropping it neither kills the process nor waits for it: its writer thread
/// ends once the queued messages are sent, its reader thread with the process.
pub(super) struct SuccessorProcess {
    /// Process id.
    pub(super) pid: u32,
    /// Refers to this process even after its id is reused.
    pidfd: OwnedFd,
    messages: Sender<OutgoingMessage>,
    journal_readers: Sender<JoinHandle<()>>,
}

impl SuccessorProcess {
    /// Starts `program` with this process's arguments, and its I/O threads.
    ///
    /// # Errors
    /// If the program can't be started, or no descriptor of its process can be opened.
    pub(super) fn start(program: &Path, link: &EventLoopLink) -> io::Result<SuccessorProcess> {
        let (socket, child) = spawn_child(program)?;
        let pid = child.id();
        let (child, pidfd) = open_pidfd(child)?;
        let (messages, outgoing) = channel();
        let (journal_readers, journal_reader_handles) = channel();
        let write_socket = socket.try_clone()?;
        let writer_link = link.clone();
        let reader_link = link.clone();
        spawn_thread(move || write_all(&write_socket, outgoing, &writer_link))?;
        spawn_thread(move || {
            let mut reader = FrameReader::new(socket);
            read_all(&mut reader, &reader_link);
            wait_for_exit(child, &journal_reader_handles, &reader_link);
        })?;
        Ok(SuccessorProcess {
            pid,
            pidfd,
            messages,
            journal_readers,
        })
    }

    /// Queues a message. Messages to an exited successor are dropped.
    pub(super) fn send(&self, message: HandoverMessage, descriptors: Vec<OwnedFd>) {
        let _ = self.messages.send(OutgoingMessage { message, descriptors });
    }

    /// Delays the report of the process's exit until this reader of its I/O journal has ended.
    pub(super) fn add_journal_reader(&self, reader: JoinHandle<()>) {
        let _ = self.journal_readers.send(reader);
    }

    /// Kills the process; has no effect after its exit.
    pub(super) fn kill(&self) {
        let _ = pidfd_send_signal(&self.pidfd, Signal::KILL);
    }
}

fn spawn_child(program: &Path) -> io::Result<(UnixStream, Child)> {
    let (local, remote) = UnixStream::pair()?;
    // Only the successor inherits its end: no other process is started meanwhile.
    rustix::io::fcntl_setfd(&remote, rustix::io::FdFlags::empty())?;
    let arguments: Vec<OsString> = std::env::args_os().skip(1).collect();
    let mut command = Command::new(program);
    command.args(arguments);
    command.env(SOCKET_VARIABLE, remote.as_raw_fd().to_string());
    let child = command.spawn()?;
    Ok((local, child))
}

/// Opens a descriptor of the child's process. Without one the child is killed at once: later its id may
/// belong to another process.
fn open_pidfd(mut child: Child) -> io::Result<(Child, OwnedFd)> {
    let pid = i32::try_from(child.id()).ok().and_then(Pid::from_raw);
    let pidfd = match pid {
        Some(pid) => pidfd_open(pid, PidfdFlags::empty()).map_err(io::Error::from),
        None => Err(io::Error::other("invalid process id")),
    };
    match pidfd {
        Ok(pidfd) => Ok((child, pidfd)),
        Err(error) => {
            child.kill()?;
            child.wait()?;
            Err(error)
        }
    }
}

fn spawn_thread(run: impl FnOnce() + Send + 'static) -> io::Result<()> {
    let thread = std::thread::Builder::new().name("takeover".to_owned());
    thread.spawn(run)?;
    Ok(())
}

/// Sends queued messages. The local descriptors are closed after each.
fn write_all(socket: &UnixStream, outgoing: Receiver<OutgoingMessage>, link: &EventLoopLink) {
    for queued in outgoing {
        let descriptors: Vec<_> = queued.descriptors.iter().map(AsFd::as_fd).collect();
        // An unreachable successor is detected by its exit or by its missing heartbeats.
        let _ = send(socket, &queued.message, &descriptors);
        if queued.moves_connection() {
            link.unsent_connections.fetch_sub(1, Ordering::AcqRel);
            link.wake();
        }
    }
}

/// Passes messages of the successor to the event loop, until the socket closes or a frame is invalid.
fn read_all(reader: &mut FrameReader, link: &EventLoopLink) {
    loop {
        let event = match reader.read() {
            Received::Message(message, _) => predecessor::Event::Message(message),
            Received::Invalid(_) => predecessor::Event::InvalidFrame,
            Received::Closed => return,
        };
        let is_invalid = event == predecessor::Event::InvalidFrame;
        if !link.notify(event) || is_invalid {
            return;
        }
    }
}

/// Reports the exit of the process, which a closed socket doesn't prove.
fn wait_for_exit(mut child: Child, journal_readers: &Receiver<JoinHandle<()>>, link: &EventLoopLink) {
    let _ = child.wait();
    for reader in journal_readers.try_iter() {
        let _ = reader.join();
    }
    link.notify(predecessor::Event::SuccessorExited);
}
