//! The successor as a child process of the predecessor: its start, its threads and its end.

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

/// A message with the descriptors that go along.
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

/// By which the threads of a successor's process reach the event loop; clones share it.
#[derive(Clone)]
pub(super) struct EventLoopLink {
    /// What the successor sends, and its end.
    pub(super) events: Sender<predecessor::Event>,
    /// Queue of the event loop, to wake it.
    pub(super) queue: Sender<Event>,
    /// Messages with a client or a member connection that are queued and not sent yet.
    pub(super) unsent_connections: Arc<AtomicUsize>,
}

impl EventLoopLink {
    /// Wakes the event loop; whether it is still there.
    pub(super) fn wake(&self) -> bool {
        self.queue.send(Event::Control(ControlEvent::WakeUp)).is_ok()
    }

    /// Passes an event on; whether the event loop is still there.
    pub(super) fn notify(&self, event: predecessor::Event) -> bool {
        self.events.send(event).is_ok() && self.wake()
    }
}

/// A running or ended successor. Dropping it neither kills the process nor waits for it: its writer ends once what is
/// queued was sent, its reader with the process.
pub(super) struct SuccessorProcess {
    /// Its process id.
    pub(super) pid: u32,
    /// Refers to the process also where its id is given to another one.
    pidfd: OwnedFd,
    messages: Sender<OutgoingMessage>,
    journal_readers: Sender<JoinHandle<()>>,
}

impl SuccessorProcess {
    /// Starts `program` with this process's arguments, and the threads that write to it and read from it.
    ///
    /// # Errors
    /// If the program can't be started, or could not be killed for certain later.
    pub(super) fn start(program: &Path, link: &EventLoopLink) -> io::Result<SuccessorProcess> {
        let (socket, child) = spawn_child(program)?;
        let pid = child.id();
        let (child, pidfd) = open_pidfd(child)?;
        let (messages, outgoing) = channel();
        let (journal_readers, journal_reader_handles) = channel();
        let writing_end = socket.try_clone()?;
        let writer_link = link.clone();
        let reader_link = link.clone();
        spawn_thread(move || write_all(&writing_end, outgoing, &writer_link))?;
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

    /// Queues a message. One to a dead successor is lost.
    pub(super) fn send(&self, message: HandoverMessage, descriptors: Vec<OwnedFd>) {
        let _ = self.messages.send(OutgoingMessage { message, descriptors });
    }

    /// The process's end is reported only after this reader of its journal has ended.
    pub(super) fn add_journal_reader(&self, reader: JoinHandle<()>) {
        let _ = self.journal_readers.send(reader);
    }

    /// Kills the process; one that has exited needs no signal.
    pub(super) fn kill(&self) {
        let _ = pidfd_send_signal(&self.pidfd, Signal::KILL);
    }
}

fn spawn_child(program: &Path) -> io::Result<(UnixStream, Child)> {
    let (ours, theirs) = UnixStream::pair()?;
    // Only the successor's end is inherited. No other process is started meanwhile.
    rustix::io::fcntl_setfd(&theirs, rustix::io::FdFlags::empty())?;
    let arguments: Vec<OsString> = std::env::args_os().skip(1).collect();
    let mut command = Command::new(program);
    command.args(arguments);
    command.env(SOCKET_VARIABLE, theirs.as_raw_fd().to_string());
    let child = command.spawn()?;
    Ok((ours, child))
}

/// Kills the child if it gets no descriptor, since it could not be killed for certain later.
fn open_pidfd(mut child: Child) -> io::Result<(Child, OwnedFd)> {
    let pid = i32::try_from(child.id()).ok().and_then(Pid::from_raw);
    let pidfd = match pid {
        Some(pid) => pidfd_open(pid, PidfdFlags::empty()).map_err(io::Error::from),
        None => Err(io::Error::other("no process")),
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

/// Sends what is queued. The descriptors close as they are sent.
fn write_all(socket: &UnixStream, outgoing: Receiver<OutgoingMessage>, link: &EventLoopLink) {
    for queued in outgoing {
        let descriptors: Vec<_> = queued.descriptors.iter().map(AsFd::as_fd).collect();
        // A successor that can't be reached is noticed by its end, or by its missing heartbeats.
        let _ = send(socket, &queued.message, &descriptors);
        if queued.moves_connection() {
            link.unsent_connections.fetch_sub(1, Ordering::AcqRel);
            link.wake();
        }
    }
}

/// Passes on what the successor sends.
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

/// A closed socket doesn't prove the process's end; only the kernel does.
fn wait_for_exit(mut child: Child, journal_readers: &Receiver<JoinHandle<()>>, link: &EventLoopLink) {
    let _ = child.wait();
    for reader in journal_readers.try_iter() {
        let _ = reader.join();
    }
    link.notify(predecessor::Event::SuccessorExited);
}
